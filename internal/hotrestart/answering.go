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
// context ends when the predecessor stops waiting for the result, or when this process
// shuts down.
type CallFunc func(ctx context.Context, method Method, argument json.RawMessage) (result any, err error)

// callQueue answers calls on a goroutine of its own, so that a slow call does not
// delay the adoption of connections.
type callQueue struct {
	channel channel
	pending chan callMessage
	done    chan struct{} // closed once the goroutine has ended
}

func (s *Successor) startAnswering(ctx context.Context, answer CallFunc) *callQueue {
	queue := &callQueue{channel: s.channel, pending: make(chan callMessage, maxQueuedCalls), done: make(chan struct{})}
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

// run carries out all calls until pending is closed, also those that arrived just before
// the predecessor ended: one may take back an earlier one. Calls that are queued when ctx
// ends are dropped.
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
			q.channel.Close() // ends Adopt, if the predecessor has not done so
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

// stop waits until the calls that have arrived are carried out.
func (q *callQueue) stop() {
	close(q.pending)
	<-q.done
}
