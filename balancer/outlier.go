package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reliefInterval is the minimum time between two steps of load relief at an endpoint, so that the
	// effect of one shows in its delays before the next.
	reliefInterval = 900 * time.Millisecond

	// slowDuration is how long an endpoint counts as slow after its last delay report.
	slowDuration = 3 * time.Second

	// slowAvoidanceShare is the slow share of the fleet's size below which the draw skips slow endpoints.
	// Above it, requests are held for them.
	slowAvoidanceShare = 0.3

	// recoveryAvoidanceShare is the slow share of the fleet's size below which the draw skips recovering
	// endpoints that have no slot for this relay.
	recoveryAvoidanceShare = 0.1

	// recoveryDuration is how long an endpoint recovers after it was slow. Until then it gets one setup
	// per recoveryInterval from all relays together.
	recoveryDuration = 10 * time.Second
	recoveryInterval = 200 * time.Millisecond

	// backlogDrainTime is the time within which a slow endpoint should process its queued work. A shorter
	// time migrates more of its connections.
	backlogDrainTime = 3 * time.Second

	// minKeptShare is the minimum share of its connections that an endpoint keeps in a step of load relief.
	minKeptShare = 0.2
)

// observeDelay records the delay of a message at an endpoint. A delay above the objective counts as a
// failure, as an endpoint that slows down but accepts connections would otherwise keep its groups. It cuts
// the weight and migrates enough connections for the endpoint to process its backlog in time.
func (b *Balancer) observeDelay(endpoint *endpointRecord, delay time.Duration) {
	growth := b.delayGrowth(endpoint, delay)
	endpoint.delay, endpoint.delayAt = delay, b.now
	if b.messageObjective == 0 || delay <= b.messageObjective {
		return
	}
	endpoint.lastSlowAt = b.now
	b.trackOutlier(endpoint)
	if b.now < endpoint.relievedAt+reliefInterval {
		return
	}
	keptShare := (1 - float64(delay)/float64(backlogDrainTime)) / max(0.1, 1+growth)
	if keptShare >= 1 {
		return
	}
	endpoint.relievedAt = b.now
	b.shedLoad(endpoint, max(minKeptShare, keptShare))
}

// delayGrowth returns the growth of the delay in seconds per second, which is the share by which the load
// exceeds the endpoint's capacity. Without a recent report it assumes growth from zero within a second.
func (b *Balancer) delayGrowth(endpoint *endpointRecord, delay time.Duration) float64 {
	if elapsed := b.now - endpoint.delayAt; endpoint.delay > 0 && elapsed > 0 && elapsed < slowDuration {
		return float64(delay-endpoint.delay) / float64(elapsed)
	}
	return delay.Seconds()
}

// shedLoad reduces a slow endpoint's weight and connections to a share. The number of connections that
// migrate is rounded randomly, so that not all of many relays migrate their only one.
func (b *Balancer) shedLoad(endpoint *endpointRecord, keptShare float64) {
	endpoint.cutWeight(keptShare, b.now)
	count := int(float64(len(endpoint.connections))*(1-keptShare) + b.rng.Float64())
	b.migrateConnections(endpoint, count, ReasonLoadRelief)
}

// mustHold reports whether requests must be held instead of sent to an endpoint: it is slow or full, or is
// recovering and has no slot for this relay. Holding keeps setups from prolonging slowness, and slots keep
// held requests from all arriving at once. If it applies to the cached endpoint of a group, the request is
// drawn again first.
func (b *Balancer) mustHold(endpoint *endpointRecord) bool {
	if endpoint.isSlow(b.now) {
		return true
	}
	if endpoint.lastSlowAt <= 0 || b.now >= endpoint.lastSlowAt+recoveryDuration {
		return false
	}
	setups := b.slowStartShare * b.settings.OverloadWindow.Seconds() / recoveryInterval.Seconds() /
		float64(b.settings.RelayCount)
	return !b.hasSlot(endpoint, setups)
}

// migrateConnections migrates count of an endpoint's connections: small groups first and completely, as a
// group that is split costs twice, then part of a large group, which has outgrown the endpoint. It
// invalidates their routes, so that these groups grow on other endpoints.
func (b *Balancer) migrateConnections(endpoint *endpointRecord, count int, reason Reason) {
	connections := slices.Clone(endpoint.connections)
	rank := func(request *requestRecord) float64 {
		groupSize := endpoint.connectionsByGroup[request.routeKey()]
		return float64(groupSize/b.settings.RelayCount) + uniform(request.routeKey(), endpoint.ID)
	}
	slices.SortStableFunc(connections, func(first, second *requestRecord) int {
		return cmp.Compare(rank(first), rank(second))
	})
	for _, request := range connections[:count] {
		b.routes.invalidate(request.routeKey(), endpoint.ID)
		b.observeDecision(VerdictMigrated, reason, request, endpoint, 0)
		b.emit(Migrate{Request: request.ID})
		b.removeRequest(request)
	}
}

// isSlow reports whether the endpoint's last delay report was recent and showed it as slow or full.
func (e *endpointRecord) isSlow(now time.Duration) bool {
	return e.lastSlowAt > 0 && e.lastSlowAt == e.delayAt && now < e.delayAt+slowDuration
}

// trackOutlier adds a slow endpoint to the table's outliers.
func (b *Balancer) trackOutlier(endpoint *endpointRecord) {
	if table := &b.endpoints; table.totalsValid && !endpoint.outlier {
		endpoint.outlier = true
		table.outliers = append(table.outliers, endpoint)
	}
}
