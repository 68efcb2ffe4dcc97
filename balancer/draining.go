package balancer

import (
	"math"
	"time"
)

const (
	// redirectedDuration is how long an endpoint is avoided after it redirected a client. By then the
	// endpoint list marks it as draining.
	redirectedDuration = 10 * time.Second

	// migrationInterval is the time between two steps of migration from a draining endpoint.
	migrationInterval = 250 * time.Millisecond

	// migrationShare is the share of its connections that migrates in each step if relays are few.
	migrationShare = 0.15

	// migrationGrace is how long each of many relays waits for the endpoint to redirect its own clients.
	migrationGrace = 2 * time.Second

	// migrationDeadline is the time within which many relays migrate all connections. It starts with
	// migrationGrace, when the endpoint list first marks the endpoint as draining.
	migrationDeadline = 4 * time.Second
)

// migrateDraining migrates a share of a draining endpoint's connections, so that they are not cut when it
// stops, and sets a timer for the next step. Steps keep the remaining endpoints from being flooded. With many
// relays each step rounds its number of connections randomly. It ignores nil and endpoints in other states.
func (b *Balancer) migrateDraining(endpoint *endpointRecord) {
	if endpoint == nil || endpoint.migrating || endpoint.State != StateDraining ||
		len(endpoint.connections) == 0 {
		return
	}
	endpoint.migrating = true
	connections := float64(len(endpoint.connections))
	count, delay := int(math.Ceil(connections*migrationShare)), migrationInterval
	if wait := endpoint.drainingSince + migrationGrace - b.now; b.manyRelays() && wait > 0 {
		count, delay = 0, wait
	} else if b.manyRelays() {
		timeLeft := max(endpoint.drainingSince+migrationDeadline-b.now, migrationInterval)
		count = int(connections*float64(migrationInterval)/float64(timeLeft) + b.rng.Float64())
	}
	b.migrateConnections(endpoint, count, ReasonEndpointDraining)
	b.setDrainTimer(endpoint, delay)
}
