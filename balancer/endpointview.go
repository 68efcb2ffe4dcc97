package balancer

import (
	"math"
	"time"
)

// delayViewDuration is how long a delay is shown after it was reported.
const delayViewDuration = 10 * time.Second

// EndpointView is what a Balancer knows of an endpoint, for operators.
type EndpointView struct {
	Endpoint      EndpointID
	Delay         time.Duration // of a message there, as last reported; 0: none was reported lately
	Load          float64       // of this relay's connections there, in mean connections
	AvoidedReason string        // why nothing new is sent there now; "" if it may be
}

// endpointViews returns a view of each endpoint that is listed.
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

// avoidedUntil is the time until which nothing new is sent to the endpoint, because of what was observed
// of it; 0 if it is not avoided.
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

// avoidedEndpoints returns how many endpoints are listed and, for each that is avoided now, until when.
// It appends the latter to buffer[:0].
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
