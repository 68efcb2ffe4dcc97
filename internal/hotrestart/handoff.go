package hotrestart

import (
	"encoding/json"
	"syscall"
	"time"
)

// HandOff hands off a connection, with its sockets and a payload that describes it,
// and waits up to a second for the acknowledgement. If it returns nil, the caller
// must neither read from nor write to the connection any more; after an error, the
// caller still owns it. It may be called from any goroutine, and hands off one
// connection at a time.
func (p *Predecessor) HandOff(payload any, sockets ...syscall.Conn) error {
	text, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	p.handOffMu.Lock()
	defer p.handOffMu.Unlock()
	p.mu.Lock()
	permitted, successor := p.state.MayHandOff(), p.peer
	p.lastNumber++
	number := p.lastNumber
	p.mu.Unlock()
	if !permitted {
		return errNoPeer
	}
	if err := successor.send(messageTimeout, kindConnection, connectionMessage{number, text}, sockets...); err != nil {
		successor.Close() // the successor ignores an incomplete message
		return err
	}
	return p.awaitAcknowledgement(successor, number)
}

// awaitAcknowledgement waits for the acknowledgement of a connection. It returns nil
// if the successor owns the connection, or after a timeout, when it may own it.
func (p *Predecessor) awaitAcknowledgement(successor *peer, number int) error {
	for timeout := time.After(messageTimeout); ; {
		select {
		case <-successor.lost:
			return errNoPeer
		case received := <-successor.acknowledgements:
			var acknowledged int
			if received.decode(&acknowledged) != nil || acknowledged != number {
				continue
			}
			if received.kind == kindNack {
				return errDeclined
			}
			return nil
		case <-timeout:
			// The successor may still adopt the connection. If both processes served it, its data would be corrupted.
			p.log.Warn("hot restart successor did not acknowledge a connection in time, ending the handoff")
			successor.Close() // so that the remaining connections are migrated, without a timeout for each
			return nil
		}
	}
}
