package balancer

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// goneRetention is how long the record of a gone endpoint is kept after the last attempt at it.
	goneRetention = time.Minute

	// largeTableSize is the number of endpoints from which totals are updated incrementally. They differ
	// from a fresh sum by rounding errors, which a smaller table avoids.
	largeTableSize = 64

	// loadRoundingError is the largest total load that counts as zero, in mean connections.
	loadRoundingError = 1e-9
)

// endpointTable holds the records of all endpoints and totals over them.
type endpointTable struct {
	sorted       []*endpointRecord // by ID
	recentSetups decayingCounter   // new connections established at warm endpoints
	meanLoad     float64           // of a connection, in seconds of work per second; 0 if unknown
	loadSamples  float64           // number of load reports

	derivedState

	readyLoad   float64           // sum over the ready endpoints, in mean connections
	readySize   float64           // sum over the ready endpoints
	largestSize float64           // maximum of the ready endpoints
	outliers    []*endpointRecord // includes every endpoint that is warming up or slow
	idHashes    []uint64          // of the endpoint IDs, in the order of sorted
	filter      drawFilter        // of the current draw
}

// derivedState is computed during decisions. Reporting a decision to an observer restores it, so that an
// observer changes no decision.
type derivedState struct {
	setupsPerSize    float64     // setup rate per size of warm endpoints, when there last were any
	eventTotals      tableTotals // for the event being handled, if eventTotalsValid
	eventTotalsValid bool
	totalsValid      bool // whether readyLoad to idHashes are valid; cleared by a list update
}

// tableTotals are sums over the ready endpoints.
type tableTotals struct {
	load     float64 // placed by this relay, in mean connections
	size     float64
	warmSize float64 // of endpoints that are warm
	slowSize float64 // of endpoints that are slow
}

// loadPerSize returns the mean load per size; NaN if there is no ready endpoint.
func (t tableTotals) loadPerSize() float64 { return t.load / t.size }

// search returns the index of an endpoint, or where to insert it, and whether it is in the table.
func (t *endpointTable) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(endpoint *endpointRecord, id EndpointID) int {
		return cmp.Compare(endpoint.ID, id)
	})
}

// find returns the record of an endpoint, or nil if there is none.
func (t *endpointTable) find(id EndpointID) *endpointRecord {
	if i, ok := t.search(id); ok {
		return t.sorted[i]
	}
	return nil
}

// insert adds an endpoint. It also removes endpoints that have been gone for goneRetention, so that the table
// does not grow without limit if the relay gets only list deltas.
func (t *endpointTable) insert(endpoint *endpointRecord, now time.Duration) {
	t.totalsValid = false
	t.sorted = slices.DeleteFunc(t.sorted, func(endpoint *endpointRecord) bool {
		return endpoint.State == StateGone && len(endpoint.connections) == 0 &&
			now > max(endpoint.lastAttemptAt, endpoint.establishedAt, endpoint.failedAt)+goneRetention
	})
	endpoint.connectionsByGroup = make(map[uint64]int)
	i, _ := t.search(endpoint.ID)
	t.sorted = slices.Insert(t.sorted, i, endpoint)
}

// replaceAll marks the endpoints missing from a full list as gone and removes those without connections.
func (t *endpointTable) replaceAll(list []Endpoint) {
	t.totalsValid = false
	listedIDs := make(map[EndpointID]bool, len(list))
	for _, listed := range list {
		listedIDs[listed.ID] = true
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(endpoint *endpointRecord) bool {
		if !listedIDs[endpoint.ID] {
			endpoint.State = StateGone
		}
		return endpoint.State == StateGone && len(endpoint.connections) == 0
	})
}

// warmingUp yields the ready endpoints that started less than a duration ago.
func (t *endpointTable) warmingUp(now, within time.Duration) iter.Seq[*endpointRecord] {
	endpoints := t.sorted
	if len(endpoints) >= largeTableSize && t.totalsValid {
		endpoints = t.outliers
	}
	return func(yield func(*endpointRecord) bool) {
		for _, endpoint := range endpoints {
			if endpoint.State == StateReady && endpoint.StartedAt > 0 && now < endpoint.StartedAt+within &&
				!yield(endpoint) {
				return
			}
		}
	}
}

// recordConnection adds a connection to its endpoint, with its expected load if known.
func (t *endpointTable) recordConnection(request *requestRecord) {
	request.endpoint.addConnection(request)
	if request.ExpectedLoad > 0 {
		t.recordLoad(request, request.ExpectedLoad)
	}
}

// recordLoad records the reported load of a connection, in seconds of work per second.
func (t *endpointTable) recordLoad(request *requestRecord, load float64) {
	t.loadSamples++
	t.meanLoad += (load - t.meanLoad) / min(meanLoadSamples, t.loadSamples)
	if request.endpoint != nil && t.meanLoad > 0 {
		load = min(maxConnectionLoad, load/t.meanLoad)
		defer request.endpoint.adjustReadyLoad(request.endpoint.demand())
		request.endpoint.load += load - request.load
		request.load = load
	}
}

// totals returns the sums over the ready endpoints. They are computed once per event; for a large table this
// visits only the outliers.
func (b *Balancer) totals() tableTotals {
	table := &b.endpoints
	if !table.eventTotalsValid {
		if len(table.sorted) >= largeTableSize {
			table.eventTotals = b.cachedTotals()
		} else {
			table.eventTotals = b.sumTotals(table.sorted)
		}
		table.eventTotalsValid = true
	}
	return table.eventTotals
}

// sumTotals computes the totals of the ready ones among the endpoints.
func (b *Balancer) sumTotals(endpoints []*endpointRecord) (totals tableTotals) {
	for _, endpoint := range endpoints {
		if endpoint.State == StateReady {
			totals.load += endpoint.demand()
			totals.size += endpoint.relativeSize()
			if b.warmth(endpoint) >= 1 {
				totals.warmSize += endpoint.relativeSize()
			}
			if endpoint.isSlow(b.now) {
				totals.slowSize += endpoint.relativeSize()
			}
		}
	}
	return totals
}

// cachedTotals computes the totals from those kept in the table and from the outliers, as all other endpoints
// are warm and not slow.
func (b *Balancer) cachedTotals() tableTotals {
	table := &b.endpoints
	if !table.totalsValid {
		table.recomputeTotals()
	}
	outliers := b.sumTotals(table.outliers)
	load := table.readyLoad
	if load < loadRoundingError {
		load = 0
	}
	return tableTotals{
		load:     load,
		size:     table.readySize,
		warmSize: table.readySize - outliers.size + outliers.warmSize,
		slowSize: outliers.slowSize,
	}
}

// recomputeTotals recomputes the totals, outliers and ID hashes from all endpoints, after a list update.
func (t *endpointTable) recomputeTotals() {
	t.totalsValid = true
	t.readyLoad, t.readySize, t.largestSize = 0, 0, 0
	t.outliers, t.idHashes = t.outliers[:0], t.idHashes[:0]
	for _, endpoint := range t.sorted {
		endpoint.table, endpoint.outlier = t, endpoint.StartedAt > 0 || endpoint.lastSlowAt > 0
		t.idHashes = append(t.idHashes, hashEndpointID(endpoint.ID))
		if endpoint.State == StateReady {
			t.readyLoad += endpoint.demand()
			t.readySize += endpoint.relativeSize()
			t.largestSize = max(t.largestSize, endpoint.relativeSize())
		}
		if endpoint.outlier {
			t.outliers = append(t.outliers, endpoint)
		}
	}
}
