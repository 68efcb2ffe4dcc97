package balancer

import (
	"math"
	"time"
)

const (
	// redirectedDuration is how long an endpoint that redirects its clients is avoided: by then the
	// list says that it drains.
	redirectedDuration = 10 * time.Second

	// migrationInterval is the time between two steps in which a draining endpoint loses connections.
	migrationInterval = 250 * time.Millisecond

	// migrationShare is the share of its connections that migrates in a step, where relays are few.
	migrationShare = 0.15

	// migrationGrace is how long each of many relays waits for the endpoint to redirect its clients
	// itself.
	migrationGrace = 2 * time.Second

	// migrationDeadline is the time by which many relays have migrated all connections, counted as
	// migrationGrace is from when the list first said that the endpoint drains.
	migrationDeadline = 4 * time.Second
)

// migrateDraining migrates a share of a draining endpoint's connections and sets a timer for the next
// step. It guards against clients that are cut off when the endpoint stops. They migrate in steps, lest
// the endpoints that take them in are flooded; of many relays each picks its number by chance.
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
