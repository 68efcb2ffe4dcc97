package balancer

import (
	"math"
	"time"
)

// delayViewDuration is how long a delay is shown to operators after it was reported.
const delayViewDuration = 10 * time.Second

// EndpointView is the state of an endpoint as shown to operators.
type EndpointView struct {
	Endpoint      EndpointID
	Delay         time.Duration // last reported delay of a message; 0 if none was reported recently
	Load          float64       // of this relay's connections, in multiples of their mean load
	AvoidedReason string        // why it gets no new requests now; "" if it may get them
}

// endpointViews returns a view of each listed endpoint.
func (b *Balancer) endpointViews() (views []EndpointView) {
	for _, endpoint := range b.endpoints.sorted {
		if endpoint.State == StateGone {
			continue
		}
		view := EndpointView{Endpoint: endpoint.ID, Load: endpoint.load}
		if endpoint.delayAt > 0 && b.now < endpoint.delayAt+delayViewDuration {
			view.Delay = endpoint.delay
		}
		if b.now < endpoint.avoidedUntil() {
			switch {
			case endpoint.State == StateDraining:
				view.AvoidedReason = "drains"
			case endpoint.isRedirecting(b.now):
				view.AvoidedReason = "sends away"
			default:
				view.AvoidedReason = "slow or full"
			}
		}
		views = append(views, view)
	}
	return views
}

// avoidedUntil returns the time until which the endpoint gets no new requests because it drains, redirected
// a client, or was slow or full; 0 if none of these happened.
func (e *endpointRecord) avoidedUntil() (until time.Duration) {
	switch {
	case e.State == StateDraining:
		return math.MaxInt64
	case e.redirectedAt > 0:
		until = e.redirectedAt + redirectedDuration
	}
	if e.lastSlowAt > 0 && e.lastSlowAt == e.delayAt {
		until = max(until, e.delayAt+slowDuration)
	}
	return until
}

// avoidedEndpoints returns the number of listed endpoints and, for each that is avoided now, the time until
// which it is avoided. It appends these times to buffer[:0].
func (b *Balancer) avoidedEndpoints(buffer []time.Duration) (listed int, until []time.Duration) {
	until = buffer[:0]
	for _, endpoint := range b.endpoints.sorted {
		if endpoint.State == StateGone {
			continue
		}
		listed++
		if at := endpoint.avoidedUntil(); b.now < at {
			until = append(until, at)
		}
	}
	return listed, until
}
