package amqp

import (
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

// deliveryMap maps the ids of a link's unsettled deliveries between its two sessions: the source, on which transfers
// arrive, and the destination, to which they are forwarded. For each transfer receive is called first, then translate,
// then finishCurrent, and finally sent if it is the last of its delivery.
type deliveryMap struct {
	mu                  sync.Mutex
	destinationBySource map[uint32]uint32 // delivery id in the source session to that in the destination session
	sourceByDestination map[uint32]uint32 // the inverse
	current             receivedDelivery  // whose transfers are arriving
	unsent              int               // deliveries that were received, at least in part, and are not sent completely
	stopped             bool              // no further delivery is accepted
	allSent             chan struct{}     // closed once it is stopped and unsent is 0
}

// receivedDelivery is the delivery whose transfers are arriving.
type receivedDelivery struct {
	sourceID      uint32
	destinationID uint32
	translated    bool // destinationID is set
	partial       bool // more transfers will follow
	settled       bool // a transfer of it was settled, which holds for all (section 2.7.5)
	final         bool // no disposition follows: it is complete, and settled or aborted
}

// arrival says what a transfer is for its delivery.
type arrival struct {
	first bool // it begins the delivery
	last  bool // it ends the delivery
	final bool // it ends the delivery, and no disposition follows
}

func newDeliveryMap() *deliveryMap {
	return &deliveryMap{
		destinationBySource: make(map[uint32]uint32), sourceByDestination: make(map[uint32]uint32),
		allSent: make(chan struct{}),
	}
}

// receive records an arriving transfer. It fails with errLinkEnded if the transfer belongs to a delivery that began after
// stop, and otherwise with a ConditionError about the transfer.
func (d *deliveryMap) receive(transfer framing.Performative) (arrival, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.current.partial
	if first && d.stopped {
		return arrival{}, errLinkEnded
	}
	if err := checkDeliveryTag(transfer); err != nil {
		return arrival{}, err
	}
	if first {
		if err := d.begin(transfer); err != nil {
			return arrival{}, err
		}
	}
	id, aborted := d.current.sourceID, transfer.Bool(framing.TransferAborted)
	if transfer.Uint32(framing.TransferDeliveryID, id) != id {
		return arrival{}, framing.Errorf(framing.CondInvalidField, "a transfer within delivery %d has another delivery-id", id)
	}
	d.current.partial = transfer.Bool(framing.TransferMore) && !aborted
	d.current.settled = d.current.settled || transfer.Bool(framing.TransferSettled)
	d.current.final = !d.current.partial && (d.current.settled || aborted)
	return arrival{first: first, last: !d.current.partial, final: d.current.final}, nil
}

// begin records the delivery that a transfer begins. The caller holds the lock.
func (d *deliveryMap) begin(transfer framing.Performative) error {
	if err := transfer.RequireUint32(framing.TransferDeliveryID); err != nil {
		return err
	}
	id := transfer.Uint32(framing.TransferDeliveryID, 0)
	if _, known := d.destinationBySource[id]; known {
		return framing.Errorf(framing.CondInvalidField, "delivery-id %d is that of an unsettled delivery", id)
	}
	if len(d.destinationBySource) >= maxUnsettledDeliveries {
		return framing.Errorf(framing.CondTransferLimitExceeded, "%d deliveries are unsettled, more than the credit allows", maxUnsettledDeliveries)
	}
	d.current = receivedDelivery{sourceID: id}
	d.unsent++
	return nil
}

// translate returns the transfer that was received last with its delivery id in the destination session. The first one
// of a delivery takes the session's next id, so it must be sent before any other takes one.
func (d *deliveryMap) translate(transfer framing.Performative, destination *session) framing.Performative {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := &d.current
	if !current.translated {
		current.translated, current.destinationID = true, destination.takeDeliveryID()
		d.destinationBySource[current.sourceID] = current.destinationID
		d.sourceByDestination[current.destinationID] = current.sourceID
	}
	return transfer.With(framing.TransferDeliveryID, current.destinationID)
}

// finishCurrent removes the delivery whose transfers are arriving if no disposition follows. It returns the number of
// deliveries removed: 1, or 0 if it is not final or a disposition has settled it before.
func (d *deliveryMap) finishCurrent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, unsettled := d.destinationBySource[d.current.sourceID]; !unsettled || !d.current.final {
		return 0
	}
	delete(d.destinationBySource, d.current.sourceID)
	delete(d.sourceByDestination, d.current.destinationID)
	return 1
}

// sent records that the last transfer of a delivery was sent.
func (d *deliveryMap) sent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsent--
	if d.stopped && d.unsent == 0 {
		close(d.allSent)
	}
}

// stop accepts no further deliveries. It returns a channel that is closed once all earlier ones are sent.
func (d *deliveryMap) stop() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped && d.unsent == 0 {
		close(d.allSent)
	}
	d.stopped = true
	return d.allSent
}

// unsentCount returns how many deliveries were received, at least in part, and are not sent completely.
func (d *deliveryMap) unsentCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unsent
}

// maxDeliveryTagSize is the size limit of a delivery-tag, in bytes (section 2.8.7).
const maxDeliveryTagSize = 32

// checkDeliveryTag returns a ConditionError if a transfer's delivery-tag is not a binary value of a permitted size.
func checkDeliveryTag(transfer framing.Performative) error {
	value := transfer.Field(framing.TransferDeliveryTag)
	if value == nil { // permitted on all but the first transfer of a delivery
		return nil
	}
	tag, ok := value.([]byte)
	if !ok || len(tag) > maxDeliveryTagSize {
		return framing.Errorf(framing.CondInvalidField, "a delivery-tag has to be a binary value of %d bytes at most", maxDeliveryTagSize)
	}
	return nil
}

// translateDisposition returns the dispositions for the other session, one for each of the link's deliveries in the
// range, and how many of those it settles. Settled deliveries are removed. fromDestination says which of the two
// sessions the disposition came from.
func (d *deliveryMap) translateDisposition(disposition framing.Performative, fromDestination bool) (translated []framing.Performative, settled int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	translations, inverse := d.destinationBySource, d.sourceByDestination
	if fromDestination {
		translations, inverse = d.sourceByDestination, d.destinationBySource
	}
	first := disposition.Uint32(framing.DispositionFirst, 0)
	span := disposition.Uint32(framing.DispositionLast, first) - first
	translate := func(id, otherID uint32) {
		translated = append(translated, disposition.With(framing.DispositionFirst, otherID).With(framing.DispositionLast, otherID))
		if disposition.Bool(framing.DispositionSettled) {
			delete(translations, id)
			delete(inverse, otherID)
			settled++
		}
	}
	if span < uint32(len(translations)) {
		for offset := uint32(0); offset <= span; offset++ {
			if otherID, ok := translations[first+offset]; ok {
				translate(first+offset, otherID)
			}
		}
		return translated, settled
	}
	for id, otherID := range translations {
		if id-first <= span {
			translate(id, otherID)
		}
	}
	return translated, settled
}
