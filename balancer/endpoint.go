package balancer

import "time"

const (
	// groupCost is the fixed cost of each group at an endpoint, in mean connections. A higher value keeps
	// groups on fewer endpoints.
	groupCost = 2.0

	// maxConnectionLoad limits the recorded load of one connection, in mean connections.
	maxConnectionLoad = 20

	// meanLoadSamples is the maximum number of reports averaged for the mean load of a connection.
	meanLoadSamples = 200

	// minRelativeSize replaces a registered size that is smaller or missing.
	minRelativeSize = 1e-3
)

// endpointRecord is the state of an endpoint. A time is 0 if its event never happened. Loads are in mean
// connections, which are multiples of the mean load of a connection.
type endpointRecord struct {
	Endpoint
	weight      float64 // the controller's weight as of weightSetAt
	weightSetAt time.Duration

	connections        []*requestRecord
	connectionsByGroup map[uint64]int // number of connections, by route key
	load               float64        // of all connections, in mean connections

	lastAttemptAt time.Duration
	establishedAt time.Duration // when a connection was last established
	failedAt      time.Duration // when a setup last failed with an error or timeout
	lastSlowAt    time.Duration // when messages were last slow, or it was last full
	delay         time.Duration // of a message, as of delayAt
	delayAt       time.Duration
	relievedAt    time.Duration // when load was last shed

	migrating     bool          // the timer for the next step of migration is set
	drainingSince time.Duration // when the list first marked it as draining; valid while migrating
	redirectedAt  time.Duration // when it last redirected a client

	table   *endpointTable // set once the table's totals include this endpoint
	outlier bool           // whether it is in the table's outliers
}

// relativeSize returns the endpoint's registered size, at least minRelativeSize.
func (e *endpointRecord) relativeSize() float64 { return max(e.Size, minRelativeSize) }

// demand returns the load of this relay's connections and the cost of their groups, in mean connections.
func (e *endpointRecord) demand() float64 {
	return e.load + groupCost*float64(len(e.connectionsByGroup))
}

// isRedirecting reports whether the endpoint recently redirected a client.
func (e *endpointRecord) isRedirecting(now time.Duration) bool {
	return e.redirectedAt > 0 && now < e.redirectedAt+redirectedDuration
}

// addConnection adds a connection with the mean load.
func (e *endpointRecord) addConnection(request *requestRecord) {
	defer e.adjustReadyLoad(e.demand())
	request.connectionIndex, request.load = len(e.connections), 1
	e.connections = append(e.connections, request)
	e.connectionsByGroup[request.routeKey()]++
	e.load += request.load
}

// removeConnection removes a connection and its load.
func (e *endpointRecord) removeConnection(request *requestRecord) {
	defer e.adjustReadyLoad(e.demand())
	last := e.connections[len(e.connections)-1]
	e.connections[request.connectionIndex], last.connectionIndex = last, request.connectionIndex
	e.connections = e.connections[:len(e.connections)-1]
	group := request.routeKey()
	if e.connectionsByGroup[group]--; e.connectionsByGroup[group] == 0 {
		delete(e.connectionsByGroup, group)
	}
	if e.load -= request.load; len(e.connections) == 0 {
		e.load = 0 // drop the rounding error: draws compare loads with their mean
	}
}

// adjustReadyLoad adds the change of this endpoint's demand since before to the table's load.
func (e *endpointRecord) adjustReadyLoad(before float64) {
	if e.table != nil && e.State == StateReady {
		e.table.readyLoad += e.demand() - before
	}
}
