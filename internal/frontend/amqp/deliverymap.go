package amqp

import (
	"sync"

	"lockroad/internal/frontend/amqp/framing"
)

// deliveryMap maps the numbers of a link's unsettled deliveries between the two
// sessions that it passes through.
type deliveryMap struct {
	mu                  sync.Mutex
	destinationBySource map[uint32]uint32 // by their number where they come from
	sourceByDestination map[uint32]uint32 // and the other way round
	currentSource       uint32            // the far number of the one that is coming in,
	currentDestination  uint32            // and its near one
	partial             bool
	boundaryWaiters     []chan struct{} // to be closed once it is whole
}

func newDeliveryMap() *deliveryMap {
	return &deliveryMap{destinationBySource: make(map[uint32]uint32), sourceByDestination: make(map[uint32]uint32)}
}

// translateTransfer gives a transfer the number that it has in the session it goes to.
func (d *deliveryMap) translateTransfer(transfer framing.Performative, to *session) (framing.Performative, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.partial {
		if err := transfer.RequireUint32(framing.TransferDeliveryID); err != nil {
			return transfer, err
		}
		d.currentSource = transfer.Uint32(framing.TransferDeliveryID, 0)
		if _, known := d.destinationBySource[d.currentSource]; known || len(d.destinationBySource) >= maxUnsettledDeliveries {
			return transfer, framing.Errorf(framing.CondResourceLimitExceeded, "too many deliveries are unsettled, or one has a number twice")
		}
		d.currentDestination = to.takeDeliveryID()
		d.destinationBySource[d.currentSource], d.sourceByDestination[d.currentDestination] = d.currentDestination, d.currentSource
	}
	d.partial = transfer.Bool(framing.TransferMore) && !transfer.Bool(framing.TransferAborted)
	if !d.partial {
		for _, done := range d.boundaryWaiters {
			close(done)
		}
		d.boundaryWaiters = nil
	}
	if !d.partial && (transfer.Bool(framing.TransferSettled) || transfer.Bool(framing.TransferAborted)) {
		delete(d.destinationBySource, d.currentSource)
		delete(d.sourceByDestination, d.currentDestination)
	}
	return transfer.With(framing.TransferDeliveryID, d.currentDestination), nil
}

// boundary returns a channel that is closed once no delivery is in part.
func (d *deliveryMap) boundary() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	done := make(chan struct{})
	if d.partial {
		d.boundaryWaiters = append(d.boundaryWaiters, done)
	} else {
		close(done)
	}
	return done
}

// translateDisposition turns a disposition into those of the other session. back says that
// it comes from where the deliveries go to.
func (d *deliveryMap) translateDisposition(disposition framing.Performative, fromDestination bool) []framing.Performative {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, to := d.destinationBySource, d.sourceByDestination
	if fromDestination {
		from, to = d.sourceByDestination, d.destinationBySource
	}
	first := disposition.Uint32(framing.DispositionFirst, 0)
	span := disposition.Uint32(framing.DispositionLast, first) - first
	var translated []framing.Performative
	pass := func(here, there uint32) {
		translated = append(translated, disposition.With(framing.DispositionFirst, there).With(framing.DispositionLast, there))
		if disposition.Bool(framing.DispositionSettled) {
			delete(from, here)
			delete(to, there)
		}
	}
	if span < uint32(len(from)) {
		for offset := uint32(0); offset <= span; offset++ {
			if there, ok := from[first+offset]; ok {
				pass(first+offset, there)
			}
		}
		return translated
	}
	for here, there := range from {
		if here-first <= span {
			pass(here, there)
		}
	}
	return translated
}
