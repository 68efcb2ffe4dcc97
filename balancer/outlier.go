package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reliefInterval is the least time between two steps of load relief at an endpoint: the effect of
	// one shows in its delays before the next.
	reliefInterval = 900 * time.Millisecond

	// slowDuration is how long an endpoint counts as slow after the last report of a delay.
	slowDuration = 3 * time.Second

	// slowAvoidanceShare is the share of the fleet's size below which slow endpoints are passed over in
	// the draw. Where more of it is slow, requests are held for them.
	slowAvoidanceShare = 0.3

	// recoveryAvoidanceShare is the slow share of the fleet's size below which the draw passes over
	// endpoints that are recovering and have no slot for this relay.
	recoveryAvoidanceShare = 0.1

	// recoveryDuration is the length of the recovery ramp: for this long after it was slow, an endpoint
	// takes one set-up per recoveryInterval, from all relays together.
	recoveryDuration = 10 * time.Second
	recoveryInterval = 200 * time.Millisecond

	// backlogDrainTime is the time in which the work queued at a slow endpoint should be done. Shorter
	// migrates more of its connections.
	backlogDrainTime = 3 * time.Second

	// minKeptShare is the share of its connections that an endpoint keeps in a step of load relief.
	minKeptShare = 0.2
)

// observeDelay takes in how long a message takes at an endpoint. It guards against an endpoint that slows
// but accepts, and so keeps its groups. Delays above the objective count as a failure: the weight is cut,
// and so many connections migrate that the backlog can be worked off in time.
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

// delayGrowth is by how many seconds a second the delay grows: by that much the load exceeds what the
// endpoint does. Without a recent report it is taken to have grown from nothing within a second.
func (b *Balancer) delayGrowth(endpoint *endpointRecord, delay time.Duration) float64 {
	if elapsed := b.now - endpoint.delayAt; endpoint.delay > 0 && elapsed > 0 && elapsed < slowDuration {
		return float64(delay-endpoint.delay) / float64(elapsed)
	}
	return delay.Seconds()
}

// shedLoad cuts a slow endpoint's weight and its connections to a share. Fractions of a connection
// migrate by chance, lest many relays all migrate their only one.
func (b *Balancer) shedLoad(endpoint *endpointRecord, keptShare float64) {
	endpoint.cutWeight(keptShare, b.now)
	count := int(float64(len(endpoint.connections))*(1-keptShare) + b.rng.Float64())
	b.migrateConnections(endpoint, count, ReasonLoadRelief)
}

// mustHold reports whether requests are held rather than sent to an endpoint, as it is slow or full, or is
// recovering and has no slot for this relay. It guards against set-ups that keep slow endpoints slow, and
// against requests that were held all arriving at once. A group whose cached endpoint is so is drawn anew
// first.
func (b *Balancer) mustHold(endpoint *endpointRecord) bool {
	if endpoint.isSlow(b.now) {
		return true
	}
	if endpoint.lastSlowAt <= 0 || b.now >= endpoint.lastSlowAt+recoveryDuration {
		return false
	}
	setups := b.slowStartShare * b.settings.OverloadWindow.Seconds() / recoveryInterval.Seconds() /
		float64(b.settings.Relays)
	return !b.hasSlot(endpoint, setups)
}

// migrateConnections migrates count of an endpoint's connections: small groups first and completely, as a
// group on two endpoints is paid for twice; then a part of a large group, which has outgrown its endpoint.
// Their routes are invalidated, so the groups grow elsewhere.
func (b *Balancer) migrateConnections(endpoint *endpointRecord, count int, reason Reason) {
	connections := slices.Clone(endpoint.connections)
	rank := func(request *requestRecord) float64 {
		groupSize := endpoint.connectionsByGroup[request.routeKey()]
		return float64(groupSize/b.settings.Relays) + uniform(request.routeKey(), endpoint.ID)
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

// isSlow reports whether the endpoint was slow or full when last heard of, and that was lately.
func (e *endpointRecord) isSlow(now time.Duration) bool {
	return e.lastSlowAt > 0 && e.lastSlowAt == e.delayAt && now < e.delayAt+slowDuration
}

// trackOutlier adds an endpoint that is slow now to the table's outliers.
func (b *Balancer) trackOutlier(endpoint *endpointRecord) {
	if table := &b.endpoints; table.totalsValid && !endpoint.outlier {
		endpoint.outlier = true
		table.outliers = append(table.outliers, endpoint)
	}
}
