package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
)

// maxQueuedCalls bounds the calls that wait for the one in progress.
const maxQueuedCalls = 32

var errTooManyCalls = errors.New("too many calls are waiting")

// CallFunc carries out a call of the predecessor. Its result is encoded in JSON. The
// context ends when the predecessor is lost, or stops waiting for the result.
type CallFunc func(ctx context.Context, method Method, argument json.RawMessage) (result any, err error)

// callQueue answers calls on a goroutine of its own, so that a slow call does not
// delay the adoption of connections.
type callQueue struct {
	channel channel
	pending chan callMessage
	cancel  context.CancelFunc
	done    chan struct{} // closed once the goroutine has ended
}

func (s *Successor) startAnswering(ctx context.Context, answer CallFunc) *callQueue {
	ctx, cancel := context.WithCancel(ctx)
	queue := &callQueue{channel: s.channel, pending: make(chan callMessage, maxQueuedCalls), cancel: cancel, done: make(chan struct{})}
	go queue.run(ctx, answer)
	return queue
}

// add queues a call, or rejects it if the queue is full.
func (q *callQueue) add(call callMessage) error {
	select {
	case q.pending <- call:
		return nil
	default:
		return q.respond(call.Number, nil, errTooManyCalls)
	}
}

// run answers calls until pending is closed. Calls that are queued when ctx ends are
// dropped.
func (q *callQueue) run(ctx context.Context, answer CallFunc) {
	defer close(q.done)
	for call := range q.pending {
		if ctx.Err() != nil {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, call.Timeout)
		result, err := answer(callContext, call.Method, call.Argument)
		cancel()
		if q.respond(call.Number, result, err) != nil {
			q.channel.Close() // ends Adopt
		}
	}
}

// respond sends the result of a call.
func (q *callQueue) respond(number int, result any, callErr error) error {
	response := resultMessage{Number: number}
	if callErr != nil {
		response.Error = callErr.Error()
	} else {
		text, err := json.Marshal(result)
		if err != nil {
			response.Error = err.Error()
		}
		response.Result = text
	}
	return q.channel.send(messageTimeout, kindResult, response)
}

// stop cancels the call in progress and waits for the goroutine.
func (q *callQueue) stop() {
	q.cancel()
	close(q.pending)
	<-q.done
}
