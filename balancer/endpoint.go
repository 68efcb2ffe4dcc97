package balancer

import "time"

const (
	// groupCost is what an endpoint pays for having a group at all, in mean connections. Higher keeps
	// groups on fewer endpoints.
	groupCost = 2.0

	// maxConnectionLoad bounds the load of one connection, in mean connections.
	maxConnectionLoad = 20

	// meanLoadSamples is over how many reports at most the mean load of a connection is taken.
	meanLoadSamples = 200

	// minRelativeSize stands in for a registered size that is smaller or missing.
	minRelativeSize = 1e-3
)

// endpointRecord is what a Balancer keeps of an endpoint. Times are 0 for what never happened.
type endpointRecord struct {
	Endpoint
	weight      float64 // the controller's, as of weightSetAt
	weightSetAt time.Duration

	connections        []*requestRecord
	connectionsByGroup map[uint64]int // number of connections, by route key
	load               float64        // of connections, in mean connections

	lastAttemptAt time.Duration
	establishedAt time.Duration // a connection was last established
	failedAt      time.Duration // a set-up last failed in a way that a shared cause makes it fail
	lastSlowAt    time.Duration // messages were slow, or it was full
	delay         time.Duration // of a message, as of delayAt
	delayAt       time.Duration
	relievedAt    time.Duration // the last step of load relief

	migrating     bool          // it drains, and a timer for the next step of migration is set
	drainingSince time.Duration // if it is migrating: when the list said that it drains
	redirectedAt  time.Duration // it last redirected a client

	table   *endpointTable // once its totals included this endpoint
	outlier bool           // it is among the table's outliers
}

// relativeSize is the endpoint's registered size, above 0.
func (e *endpointRecord) relativeSize() float64 { return max(e.Size, minRelativeSize) }

// demand is what this relay's connections and their groups ask of the endpoint, in mean connections.
func (e *endpointRecord) demand() float64 {
	return e.load + groupCost*float64(len(e.connectionsByGroup))
}

// isRedirecting reports whether the endpoint lately redirected a client.
func (e *endpointRecord) isRedirecting(now time.Duration) bool {
	return e.redirectedAt > 0 && now < e.redirectedAt+redirectedDuration
}

// addConnection books a connection, with the load of a mean one.
func (e *endpointRecord) addConnection(request *requestRecord) {
	defer e.adjustReadyLoad(e.demand())
	request.connectionIndex, request.load = len(e.connections), 1
	e.connections = append(e.connections, request)
	e.connectionsByGroup[request.routeKey()]++
	e.load += request.load
}

// removeConnection removes a connection from the books.
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
		e.load = 0 // what rounding leaves is no load: draws compare loads with their mean
	}
}

// adjustReadyLoad keeps the table's load valid over a change of this endpoint's demand.
func (e *endpointRecord) adjustReadyLoad(before float64) {
	if e.table != nil && e.State == StateReady {
		e.table.readyLoad += e.demand() - before
	}
}
