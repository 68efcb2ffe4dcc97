package proxy

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"lockroad/internal/registry"
)

// endGracePeriod is how long a connection that could not be paused may take to end before
// its client is migrated.
const endGracePeriod = 500 * time.Millisecond

// EstablishedRequest is the state of an established request that one process of a relay
// sends to the next. Times are on the clock that both processes share.
type EstablishedRequest struct {
	Frontend        string          `json:"Front"`
	Name            string          `json:"Name"`
	Class           string          `json:"Class"`
	Tenant          string          `json:"Tenant"` // "" if it has none, or if the sending process is older than the field
	Endpoint        string          `json:"Server"`
	Item            uint64          `json:"Item"`
	Group           uint64          `json:"Group"`
	Load            float64         `json:"Load"` // as its endpoint reported last; before any report, as expected
	Returning       bool            `json:"Return"`
	UnansweredSince time.Duration   `json:"Asked"` // time of its client's oldest unanswered message; 0: none
	FrontendState   json.RawMessage `json:"Wire"`  // state returned by Transferable.Pause
}

// HandoffFunc sends a request and its sockets to another process. If it returns nil, the
// other process serves the request from then on. It is safe for concurrent use.
type HandoffFunc func(established any, sockets ...syscall.Conn) error

// Transferable is a Downstream whose connections can be handed off to another process.
type Transferable interface {
	Downstream
	// Pause stops the copying in both directions between two reads, and returns the state
	// and the sockets that another process needs to continue. It fails if either side has
	// ended, or if a write is blocked. Nothing is sent on either side until Resolve.
	Pause() (state any, sockets []syscall.Conn, ok bool)
	// Resolve ends the pause. If handedOff is true, another process serves the request and
	// nothing more is sent on either side; otherwise the client can still be told to
	// migrate. Only the first call has an effect; later ones return the first's argument.
	Resolve(handedOff bool) bool
}

// Adopt serves an established request that another process of this relay has handed off
// together with its connection. It is called like Serve.
func (p *Proxy) Adopt(ctx context.Context, established *EstablishedRequest, request Request, downstream Downstream, conn UpstreamConn) {
	request.EndpointName, request.Established = established.Endpoint, true
	number, ok := p.Requests.Adopt(registry.Request{
		Frontend: request.Frontend, Name: request.Name, Class: request.Class, Since: p.Clock.Now(),
	})
	if !ok {
		conn.Close()
		downstream.Migrate() // another request has been opened under its name
		return
	}
	p.serve(ctx, number, request, downstream, func(r *requestRun) bool { return r.adopt(established, conn) })
}

// adopt establishes a handed-off request at the endpoint where it is open. It runs in the
// request's goroutine.
func (r *requestRun) adopt(established *EstablishedRequest, conn UpstreamConn) bool {
	r.class = nil // the other process has counted it under its class
	r.unansweredSince = established.UnansweredSince
	id, known := r.proxy.Endpoints.Lookup(established.Endpoint)
	endpoint, ok := r.proxy.Endpoints.Find(id)
	if !known || !ok { // not listed yet: it is served, but the balancer cannot attribute it to an endpoint
		endpoint = registry.Endpoint{Name: established.Endpoint}
	}
	r.establishAt(endpoint, conn)
	return true
}

// handOff hands an established request off to another process, and reports whether that
// process now serves it. relocate calls it.
func (r *requestRun) handOff(attempt *attemptRun, heartbeat *Heartbeat, endpoint registry.Endpoint) bool {
	handoff := r.proxy.handoff.Load()
	downstream, transferable := r.downstream.(Transferable)
	if handoff == nil || !transferable || !attempt.notifiedBeforeEnd() {
		return false
	}
	state, sockets, ok := downstream.Pause()
	if !ok {
		// Usually one side has ended and the other is about to, so no migration is needed.
		attempt.waitForEnd(endGracePeriod)
		return false
	}
	encoded, err := json.Marshal(state)
	established := r.establishedRequest(heartbeat, endpoint, encoded)
	if err == nil {
		err = (*handoff)(established, sockets...)
	}
	downstream.Resolve(err == nil)
	if err != nil {
		r.proxy.Log.Warn("connection handoff failed, migrating client", "error", err)
	}
	return err == nil
}

// establishedRequest returns the request's state as it is sent to the next process.
func (r *requestRun) establishedRequest(heartbeat *Heartbeat, endpoint registry.Endpoint, frontendState json.RawMessage) *EstablishedRequest {
	heartbeat.mu.Lock()
	defer heartbeat.mu.Unlock()
	return &EstablishedRequest{
		Frontend:        r.request.Frontend,
		Name:            r.request.Name,
		Class:           r.request.Class,
		Tenant:          r.request.Tenant,
		Endpoint:        endpoint.Name,
		Item:            r.request.Item,
		Group:           r.request.Group,
		Load:            heartbeat.reportedLoad,
		Returning:       r.request.Returning,
		UnansweredSince: heartbeat.unansweredSince,
		FrontendState:   frontendState,
	}
}

// notifiedBeforeEnd waits until the client knows that its request is established or the
// connection has ended, and reports whether the notification came first.
func (a *attemptRun) notifiedBeforeEnd() bool {
	select {
	case <-a.connEnded:
		return false
	default:
	}
	select {
	case <-a.clientNotified:
		return true
	case <-a.connEnded:
		return false
	}
}

// waitForEnd waits until the connection has ended, but at most for limit.
func (a *attemptRun) waitForEnd(limit time.Duration) {
	select {
	case <-a.connEnded:
	case <-time.After(limit):
	}
}
