package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"lockroad/internal/hotrestart"
	"lockroad/internal/registry"
)

// While two processes of the relay run, the console belongs to the older one and the clients are served by the
// newer. An order at the console has to be in force in both: the newer one serves, and if it is lost the older one
// serves again. The older process passes each order on and confirms it only once the newer one has.

// Methods of the calls to a successor. A successor of another release carries them out, so they must not change.
const (
	methodDirectives hotrestart.Method = "orders"   // put a directiveState into force
	methodReload     hotrestart.Method = "reload"   // reload the configuration; reloadCall, reloadReply
	methodRequests   hotrestart.Method = "requests" // requestsReply
	methodEnded      hotrestart.Method = "ended"    // release the names of endedCall
)

// currentState is the state that may change between the offer to a successor and its takeover. A successor of
// another release reads it, so the JSON keys must not change.
type currentState struct {
	Directives directiveState `json:"Orders"`
	ReloadedAt time.Time      `json:"ReloadedAt,omitzero"` // when this process last reloaded its configuration; zero: never
}

// reloadCall is the argument of methodReload.
type reloadCall struct {
	DryRun bool `json:"DryRun"`
}

// reloadReply is the result of methodReload: a line for each change.
type reloadReply struct {
	Changes []string `json:"Changes"`
}

// endedCall is the argument of methodEnded.
type endedCall struct {
	Names []registry.RequestName `json:"Names"` // of requests that have ended in the older process
}

// requestsReply is the result of methodRequests: the number of requests at each endpoint, by name.
type requestsReply struct {
	Requests map[string]int `json:"Requests"`
}

// Errors of orders that the process that serves could not confirm.
var (
	errSuccessorTooOld      = errors.New("a process of an earlier version is taking over, and accepts no orders from this one: give the order again once this process has ended")
	errSuccessorUnreachable = errors.New("this process is ending and can't reach the one that serves the clients: give the order again in a moment")
	errHandingOver          = errors.New("another process of this relay takes over or has taken over")
)

// callSuccessor has the process that serves the clients carry out a call, if that is another process than this one.
// served is false if it is this one. After an error the other process may or may not have carried out the call.
func (r *relay) callSuccessor(ctx context.Context, method hotrestart.Method, argument, result any) (served bool, err error) {
	if r.asPredecessor == nil {
		return false, nil
	}
	err = r.asPredecessor.Call(ctx, method, argument, result)
	var rejected *hotrestart.CallError
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, hotrestart.ErrNoSuccessor), errors.Is(err, hotrestart.ErrSuccessorLost):
		if r.shuttingDown.Load() && r.handedOver.Load() {
			return false, errSuccessorUnreachable
		}
		return false, nil
	case errors.Is(err, hotrestart.ErrCallsUnsupported):
		return false, errSuccessorTooOld
	case errors.As(err, &rejected):
		return true, errors.New(rejected.Text)
	}
	return true, fmt.Errorf("the process that serves the clients did not confirm this: %w", err)
}

// publishState sends currentState to a successor that is about to take over. It is called after each change.
func (r *relay) publishState() {
	if r.asPredecessor != nil {
		r.asPredecessor.PublishState()
	}
}

// CurrentState returns what may have changed since the offer. It is called by asPredecessor's goroutines.
func (r *relay) CurrentState() any {
	state := currentState{Directives: r.persistence.directiveState()}
	if at := r.reloadedAt.Load(); at != nil {
		state.ReloadedAt = *at
	}
	return state
}

// MergeState applies the state of another process of this relay. It is called by asPredecessor's goroutines.
func (r *relay) MergeState(text json.RawMessage) error {
	var state currentState
	if err := json.Unmarshal(text, &state); err != nil {
		return fmt.Errorf("state of the other process: %w", err)
	}
	r.persistence.mergeDirectives(state.Directives)
	return nil
}

// AdoptFrom serves an older process that yielded to this one. It is called by asPredecessor's goroutines.
func (r *relay) AdoptFrom(ctx context.Context, older *hotrestart.Successor) {
	r.limitMemory(halfProcess)
	defer r.limitMemory(wholeProcess)
	r.adoptFrom(ctx, older)
}

// adoptFrom adopts the connections of an older process and answers its calls, until that process has ended.
func (r *relay) adoptFrom(ctx context.Context, older *hotrestart.Successor) {
	err := older.Adopt(ctx, func(payload json.RawMessage, sockets []net.Conn) (func(), error) {
		return r.adoptRequest(ctx, payload, sockets)
	}, r.answerCall)
	if err != nil && ctx.Err() == nil {
		r.log.Warn("connection to the older process failed", "error", err)
		r.persistence.markOutOfSync()
	}
}

// answerCall carries out a call of the older process.
func (r *relay) answerCall(ctx context.Context, method hotrestart.Method, argument json.RawMessage) (result any, err error) {
	switch method {
	case methodDirectives:
		var state directiveState
		if err := json.Unmarshal(argument, &state); err != nil {
			return nil, err
		}
		return nil, r.persistence.replaceDirectives(ctx, state)
	case methodReload:
		var call reloadCall
		if err := json.Unmarshal(argument, &call); err != nil {
			return nil, err
		}
		changes, err := r.requestReload(ctx, call.DryRun)
		return reloadReply{Changes: changes}, err
	case methodEnded:
		var call endedCall
		if err := json.Unmarshal(argument, &call); err != nil {
			return nil, err
		}
		r.proxy.Requests.Release(call.Names)
		return nil, nil
	case methodRequests:
		return requestsReply{Requests: r.requestsByEndpoint(ctx)}, nil
	}
	return nil, fmt.Errorf("unknown method %q", method)
}

// applyPredecessorState applies the last state that the predecessor has sent by the takeover, before this process
// admits clients.
func (r *relay) applyPredecessorState(ctx context.Context, takenOver bool) {
	if r.asSuccessor.State == nil { // the predecessor is of an earlier release
		return
	}
	var state currentState
	if err := json.Unmarshal(r.asSuccessor.State, &state); err != nil {
		r.log.Warn("state from predecessor rejected", "error", err)
		return
	}
	r.persistence.mergeDirectives(state.Directives)
	if !takenOver {
		r.persistence.markOutOfSync() // the predecessor may still run and accept orders
	}
	if state.ReloadedAt.After(r.options.ConfigReadAt) {
		r.reloadInherited(ctx)
	}
}

// reloadInherited reads the configuration again after the predecessor has reloaded it while this process started.
func (r *relay) reloadInherited(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inheritedReloadTimeout)
	defer cancel()
	if _, err := r.submitReload(ctx, reloadRequest{inherited: true}); err != nil {
		r.log.Error("configuration that the predecessor has reloaded rejected", "error", err)
	}
}

// requireSoleProcess returns an error while another process takes over or has taken over: an order to stop or restart
// the relay would end this process only.
func (r *relay) requireSoleProcess() error {
	if r.asPredecessor == nil {
		return nil
	}
	pid, connected := r.asPredecessor.SuccessorPID()
	if !connected {
		return nil
	}
	return fmt.Errorf("%w (process %d); SIGTERM to process %d ends this one, and then the order can be given again", errHandingOver, pid, os.Getpid())
}

// requestsByEndpoint counts the requests at each endpoint in this process and in a successor that serves.
func (r *relay) requestsByEndpoint(ctx context.Context) map[string]int {
	counts := r.proxy.RequestsByEndpoint()
	var reply requestsReply
	if served, err := r.callSuccessor(ctx, methodRequests, nil, &reply); !served || err != nil {
		return counts
	}
	for endpoint, requests := range reply.Requests {
		counts[endpoint] += requests
	}
	return counts
}
