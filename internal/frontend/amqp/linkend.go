package amqp

import (
	"errors"
	"math"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
)

// linkEnd sends the relay's frames on a link in one session, that of its client or that of its endpoint. Nothing is sent
// after the detach, as the handle then belongs to the session's next link. Any goroutine may call its methods.
type linkEnd struct {
	*session
	handle        uint32
	windowTimeout time.Duration // how long the peer's window may stay closed; 0: without limit
	attached      bool          // sendAttach has sent the attach; guarded by the connection's lock
	detached      bool          // this side's detach was sent; guarded by the connection's lock

	closeOnce sync.Once
	closed    chan struct{} // closed by closeTransfers
}

func newLinkEnd(s *session, handle uint32, windowTimeout time.Duration) *linkEnd {
	return &linkEnd{session: s, handle: handle, windowTimeout: windowTimeout, closed: make(chan struct{})}
}

var (
	// errLinkEnded is returned by operations on a link that this side has detached or is about to detach.
	errLinkEnded = errors.New("AMQP link has ended")
	// errWindowClosed is returned if the peer's session window stayed closed for the link's windowTimeout.
	errWindowClosed = errors.New("session window of the peer stayed closed")
)

// closeTransfers makes sendTransfer fail, also where it waits for the peer's window. Other frames can still be sent.
func (e *linkEnd) closeTransfers() { e.closeOnce.Do(func() { close(e.closed) }) }

// lockForWriting locks the connection, and fails after the link's detach or the session's end.
func (e *linkEnd) lockForWriting() error {
	if err := e.session.lockForWriting(); err != nil {
		return err
	}
	if e.detached {
		e.connection.mu.Unlock()
		return errLinkEnded
	}
	return nil
}

// send sends a frame of the link that none of the methods below sends.
func (e *linkEnd) send(performative framing.Performative) error {
	if err := e.lockForWriting(); err != nil {
		return err
	}
	defer e.connection.mu.Unlock()
	return e.writeLocked(e.channel, performative, nil)
}

// sendAttach sends the attach that answers the peer's.
func (e *linkEnd) sendAttach(attach framing.Performative) error {
	if err := e.lockForWriting(); err != nil {
		return err
	}
	defer e.connection.mu.Unlock()
	err := e.writeLocked(e.channel, attach, nil)
	e.attached = err == nil
	return err
}

// sendDetach sends the link's last frame. If its error does not fit into a frame it is sent without info.
func (e *linkEnd) sendDetach(detach framing.Performative) error {
	if err := e.lockForWriting(); err != nil {
		return err
	}
	defer e.connection.mu.Unlock()
	return e.writeDetachLocked(detach)
}

// sendLastFrames sends the detach and, if sendAttach has not answered the peer's attach, an attach before it. If that does
// not fit into a frame, smallerAttach is sent in its place.
func (e *linkEnd) sendLastFrames(attach, smallerAttach, detach framing.Performative) error {
	if err := e.lockForWriting(); err != nil {
		return err
	}
	defer e.connection.mu.Unlock()
	if !e.attached {
		if err := e.writeFirstThatFitsLocked(attach, smallerAttach); err != nil {
			return err
		}
	}
	return e.writeDetachLocked(detach)
}

// writeDetachLocked sends the detach. The caller holds the connection's lock.
func (e *linkEnd) writeDetachLocked(detach framing.Performative) error {
	e.detached = true
	detach = detach.With(framing.DetachHandle, e.handle)
	return e.writeFirstThatFitsLocked(detach, detach.WithoutErrorInfo(framing.DetachError))
}

// writeFirstThatFitsLocked sends a performative or, if that is too large for the peer, a smaller one in its place. The
// caller holds the connection's lock.
func (e *linkEnd) writeFirstThatFitsLocked(performative, smaller framing.Performative) error {
	err := e.writeLocked(e.channel, performative, nil)
	if conditionErr := (framing.ConditionError{}); errors.As(err, &conditionErr) {
		return e.writeLocked(e.channel, smaller, nil)
	}
	return err
}

// isDetached reports whether this side's detach was sent.
func (e *linkEnd) isDetached() bool {
	e.connection.mu.Lock()
	defer e.connection.mu.Unlock()
	return e.detached
}

// sendFlow sends a flow of the link with the session fields filled in. It reopens the incoming window. It fails with a
// ConditionError, and changes nothing, if the flow is too large for the peer.
func (e *linkEnd) sendFlow(flow framing.Performative) error {
	if err := e.lockForWriting(); err != nil {
		return err
	}
	defer e.connection.mu.Unlock()
	flow = flow.With(framing.FlowHandle, e.handle)
	size := len(framing.AppendFrame(nil, framing.TypeAMQP, 0, withLargestSessionFields(flow), nil))
	if err := checkFrameSize(flow, size, int(e.peerMaxFrameSize)); err != nil {
		return err
	}
	return e.writeLocked(e.channel, e.fillFlow(flow), nil)
}

// withLargestSessionFields returns a flow that is at least as large as any with these link fields.
func withLargestSessionFields(flow framing.Performative) framing.Performative {
	for _, i := range []int{framing.FlowNextIncomingID, framing.FlowIncomingWindow, framing.FlowNextOutgoingID, framing.FlowOutgoingWindow} {
		flow = flow.With(i, uint32(math.MaxUint32))
	}
	return flow
}

// sendTransfer sends a transfer, split into as many frames as the peer's maximum frame size requires. It blocks while
// the peer's window is closed. translate, if not nil, is called just before the first frame is written, with the
// connection's lock held, and returns the transfer that is sent, which may differ in its delivery-id only. It fails with
// a ConditionError, and sends nothing, if the transfer is too large for the peer.
func (e *linkEnd) sendTransfer(transfer framing.Performative, payload []byte, translate func(framing.Performative) framing.Performative) error {
	transfer = transfer.With(framing.TransferHandle, e.handle)
	largest := transfer.With(framing.TransferMore, true).With(framing.TransferDeliveryID, uint32(math.MaxUint32))
	maxBytes, err := e.maxPayload(largest)
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		if err := e.lockWithWindow(); err != nil {
			return err
		}
		if first && translate != nil {
			transfer = translate(transfer)
		}
		if len(payload) <= maxBytes {
			err := e.writeLocked(e.channel, transfer, payload)
			e.connection.mu.Unlock()
			return err
		}
		err := e.writeLocked(e.channel, transfer.With(framing.TransferMore, true), payload[:maxBytes])
		e.connection.mu.Unlock()
		if err != nil {
			return err
		}
		payload = payload[maxBytes:]
	}
}

// lockWithWindow waits until the peer's window admits a transfer, locks the connection and takes a place in the window.
func (e *linkEnd) lockWithWindow() error {
	for {
		if err := e.awaitWindow(); err != nil {
			return err
		}
		if err := e.lockForWriting(); err != nil {
			return err
		}
		if e.takeTransferID() {
			return nil
		}
		e.connection.mu.Unlock() // another link of the session was faster
	}
}

// awaitWindow waits until the peer's window admits a transfer. It fails with errWindowClosed after windowTimeout, with
// errLinkEnded after closeTransfers, and with errConnectionClosing at the session's end.
func (e *linkEnd) awaitWindow() error {
	var timeout <-chan time.Time
	if e.windowTimeout > 0 {
		timer := time.NewTimer(e.windowTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case <-e.closed:
			return errLinkEnded
		default:
		}
		opened, isOpen, err := e.windowState()
		if err != nil || isOpen {
			return err
		}
		select {
		case <-opened:
		case <-e.closed:
		case <-timeout:
			return errWindowClosed
		}
	}
}
