package balancer

import (
	"cmp"
	"time"
)

// requestRecord is what a Balancer keeps of a request, from its arrival to the end of its connection.
type requestRecord struct {
	Request
	settings       *Settings     // in force when it arrived, and until it ends
	class          *Class        // of those settings
	deadline       time.Duration // it is answered by then
	attempts       int           // sent so far
	triedEndpoints []EndpointID  // those that have failed it

	endpoint        *endpointRecord // of the attempt in flight or of the connection; nil if there is none
	attemptSentAt   time.Duration   // the last one
	established     bool
	load            float64 // booked at its endpoint, in mean connections
	connectionIndex int     // in the endpoint's connections

	done          bool
	waiting       bool          // it is held until notBefore, and for a list until listDeadline
	notBefore     time.Duration // when its next attempt may leave
	listDeadline  time.Duration
	arrivalWindow time.Duration // number of the overload window in which it was last counted; 0 if never

	// An attempt may have run, sent at mayHaveRunSince to an endpoint of runZone and runCell.
	mayHaveRun      bool
	mayHaveRunSince time.Duration
	runZone         int
	runCell         int
}

// routeKey is the key that the request's route is cached by: its group, or its item where it has no
// group; 0 if it has neither.
func (r *requestRecord) routeKey() uint64 { return cmp.Or(r.Group, r.Item) }

// addRequest adds the record of a request, with the settings that it keeps to its end.
func (b *Balancer) addRequest(event Request) *requestRecord {
	request := &requestRecord{Request: event, settings: cmp.Or(event.Settings, b.settings)}
	request.class = request.settings.classAt(event.Class)
	b.requests[request.ID] = request
	return request
}

// removeRequest drops a request that has ended, with its connection or the attempt in flight. The
// request may be nil.
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

// isEstablished reports whether a request's connection is established.
func (b *Balancer) isEstablished(id RequestID) bool {
	request := b.requests[id]
	return request != nil && request.established
}
