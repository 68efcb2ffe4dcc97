package balancer

import (
	"cmp"
	"time"
)

// requestRecord is the state of a request from its arrival to the end of its connection.
type requestRecord struct {
	Request
	settings       *Settings     // current when it arrived; kept until it ends
	class          *Class        // its class in those settings
	deadline       time.Duration // time by which it is answered
	attempts       int           // number of attempts sent
	triedEndpoints []EndpointID  // endpoints that failed this request

	endpoint        *endpointRecord // of the attempt in flight or the connection; nil if none
	attemptSentAt   time.Duration   // when the last attempt was sent
	established     bool
	load            float64 // recorded at its endpoint, in mean connections
	connectionIndex int     // index in the endpoint's connections

	done          bool
	held          bool          // held until notBefore, and until listDeadline for a fresh list
	notBefore     time.Duration // when its next attempt may be sent
	listDeadline  time.Duration
	arrivalWindow time.Duration // number of the overload window in which it was last counted; 0: never

	// Whether an attempt may have been executed. The first such attempt was sent at mayHaveRunSince to an
	// endpoint in runZone and runCell.
	mayHaveRun      bool
	mayHaveRunSince time.Duration
	runZone         int
	runCell         int
}

// routeKey returns the key of the request's cached route: its group, else its item; 0 if it has neither.
func (r *requestRecord) routeKey() uint64 { return cmp.Or(r.Group, r.Item) }

// addRequest adds the record of a request, with the settings that apply until it ends.
func (b *Balancer) addRequest(event Request) *requestRecord {
	request := &requestRecord{Request: event, settings: cmp.Or(event.Settings, b.settings)}
	request.class = request.settings.classAt(event.Class)
	b.requests[request.ID] = request
	return request
}

// removeRequest removes a request that has ended, with its connection or attempt in flight. It ignores nil.
func (b *Balancer) removeRequest(request *requestRecord) {
	if request == nil {
		return
	}
	request.done = true
	if request.endpoint != nil && request.established {
		request.endpoint.removeConnection(request)
	} else if request.endpoint != nil {
		b.concurrency.inFlight--
	}
	delete(b.requests, request.ID)
}

// isEstablished reports whether a request has an established connection.
func (b *Balancer) isEstablished(id RequestID) bool {
	request := b.requests[id]
	return request != nil && request.established
}
