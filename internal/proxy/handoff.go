package proxy

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"lockroad/internal/registry"
)

// endGracePeriod is how long a connection that can't be handed off may take to end by
// itself before its client is migrated.
const endGracePeriod = 500 * time.Millisecond

// EstablishedRequest is an established request as one process of a relay hands it to the
// next. Times are on the clock that the two have in common.
type EstablishedRequest struct {
	Frontend        string          `json:"Front"`
	Name            string          `json:"Name"`
	Class           string          `json:"Class"`
	Tenant          string          `json:"Tenant"` // "" if the settings name none, or from a process that doesn't send it
	Endpoint        string          `json:"Server"`
	Item            uint64          `json:"Item"`
	Group           uint64          `json:"Group"`
	Load            float64         `json:"Load"` // that its endpoint reported last, or that was expected
	Returning       bool            `json:"Return"`
	UnansweredSince time.Duration   `json:"Asked"` // since when its client awaits an echo; 0 if it doesn't
	FrontendState   json.RawMessage `json:"Wire"`  // the frontend's own
}

// HandoffFunc hands a request over to another process with its sockets. Once it has
// returned nil the request is the other process's. Goroutines of several requests may
// call it at the same time.
type HandoffFunc func(what any, sockets ...syscall.Conn) error

// Transferable is a Downstream that another process can carry on.
type Transferable interface {
	Downstream
	// Pause stops the copying on both sides, between two reads, and returns what another
	// process needs. It fails where one side has ended, or is in the middle of a write
	// that takes long. Until Resolve nothing is sent on what is paused.
	Pause() (state any, sockets []syscall.Conn, ok bool)
	// Resolve says whether another process carries on what was paused: then nothing is
	// ever sent here on either side; otherwise its client is still to be migrated. The
	// first call counts, and its word is returned.
	Resolve(handedOff bool) bool
}

// Adopt serves a request that is already established, as another process of this relay
// has handed it off with its connection. It is called like Serve.
func (p *Proxy) Adopt(ctx context.Context, established *EstablishedRequest, request Request, downstream Downstream, conn UpstreamConn) {
	request.EndpointName, request.Established = established.Endpoint, true
	number, ok := p.Requests.Adopt(registry.Request{
		Frontend: request.Frontend, Name: request.Name, Class: request.Class, Since: p.Clock.Now(),
	})
	if !ok {
		conn.Close()
		downstream.Migrate() // a client has its name by now
		return
	}
	p.serve(ctx, number, request, downstream, func(r *requestRun) bool { return r.adopt(established, conn) })
}

// adopt establishes a request where another process had it. The request's goroutine
// calls it.
func (r *requestRun) adopt(established *EstablishedRequest, conn UpstreamConn) bool {
	r.class = nil // the other process has counted it
	r.unansweredSince = established.UnansweredSince
	id, named := r.proxy.Endpoints.Lookup(established.Endpoint)
	endpoint, ok := r.proxy.Endpoints.Find(id)
	if !named || !ok { // no list has named it yet: it is carried on, and the balancer sees no endpoint
		endpoint = registry.Endpoint{Name: established.Endpoint}
	}
	r.establishAt(endpoint, conn)
	return true
}

// handOff hands an established request to another process, and reports whether that one
// carries it on. The departure's goroutine calls it.
func (r *requestRun) handOff(a *attemptRun, heartbeat *Heartbeat, endpoint registry.Endpoint) bool {
	handoff := r.proxy.handoff.Load()
	downstream, transferable := r.downstream.(Transferable)
	if handoff == nil || !transferable || !a.notifiedBeforeEnd() {
		return false
	}
	state, sockets, ok := downstream.Pause()
	if !ok {
		// Mostly one side has ended, and the other is about to: no migration is needed.
		a.waitForEnd(endGracePeriod)
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

// establishedRequest returns what the next process is sent of the request.
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

// notifiedBeforeEnd waits until the client was notified that it is established, and
// reports whether that came before the connection's end.
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

// waitForEnd waits until the connection has ended, and no longer than a time.
func (a *attemptRun) waitForEnd(limit time.Duration) {
	select {
	case <-a.connEnded:
	case <-time.After(limit):
	}
}
