package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// callTimeout limits a call. A successor that has a successor of its own spends half
// of what is left on passing a call on, so that the answer arrives in time.
const callTimeout = 1500 * time.Millisecond

// Call has the successor that serves carry out a call, and decodes the result into
// result unless that is nil. It returns ErrNoSuccessor if no successor has taken over,
// ErrCallsUnsupported, ErrSuccessorLost, a *CallError with the successor's own error,
// or an error if there is no result in time: the successor may then still carry the
// call out. It may be called from any goroutine.
func (p *Predecessor) Call(ctx context.Context, method Method, argument, result any) error {
	text, err := json.Marshal(argument)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	successor, number, err := p.beginCall(ctx)
	if err != nil {
		return err
	}
	results, end := successor.expectResult(number)
	defer end()
	deadline, _ := ctx.Deadline()
	call := callMessage{Number: number, Method: method, Argument: text, Timeout: time.Until(deadline) / 2}
	if err := successor.send(messageTimeout, kindCall, call); err != nil {
		successor.Close() // it ignores an incomplete message
		return ErrSuccessorLost
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("hotrestart: successor did not answer the call %s: %w", method, ctx.Err())
	case <-successor.lost:
		return ErrSuccessorLost
	case received := <-results:
		if received.Error != "" {
			return &CallError{Text: received.Error}
		}
		if result == nil {
			return nil
		}
		return json.Unmarshal(received.Result, result)
	}
}

// beginCall returns the successor that serves and the number of a new call. It waits
// until a successor that is taking over has been told so.
func (p *Predecessor) beginCall(ctx context.Context) (successor *peer, number int, err error) {
	p.mu.Lock()
	successor, takenOver := p.peer, p.state.takenOver
	p.lastNumber++
	number = p.lastNumber
	p.mu.Unlock()
	switch {
	case successor == nil:
		return nil, 0, ErrNoSuccessor
	case !successor.acceptsCalls:
		return nil, 0, ErrCallsUnsupported
	case !takenOver:
		return nil, 0, ErrNoSuccessor
	}
	select {
	case <-successor.serving:
		return successor, number, nil
	case <-successor.lost:
		return nil, 0, ErrSuccessorLost
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// SuccessorPID returns the process ID of the connected successor, which may not have
// taken over yet.
func (p *Predecessor) SuccessorPID() (pid int, connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peer == nil {
		return 0, false
	}
	return p.peer.pid, true
}
