package balancer

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// goneRetention is how long an endpoint that is gone is kept after the last attempt at it.
	goneRetention = time.Minute

	// largeTableSize is the number of endpoints from which it pays to keep totals up to date. Sums kept
	// that way differ in their last digits from those added up anew; a smaller table has no need of it.
	largeTableSize = 64

	// loadRoundingError, in mean connections, is what rounding may leave of the load of a table that
	// has none.
	loadRoundingError = 1e-9
)

// endpointTable holds the records of all endpoints, and totals over them.
type endpointTable struct {
	sorted       []*endpointRecord // by ID
	recentSetups decayingCounter   // new connections that warm endpoints took
	meanLoad     float64           // of a connection, in seconds of work a second; 0 if none was reported
	loadSamples  float64           // reports of a load so far

	derivedState

	readyLoad   float64           // of the ready endpoints together, in mean connections
	readySize   float64           // of the ready endpoints together
	largestSize float64           // of a ready endpoint
	outliers    []*endpointRecord // those that may be warming up or have been slow; no other endpoint is
	idHashes    []uint64          // of sorted, in the same order
	filter      drawFilter        // of the draw being made
}

// derivedState is what is worked out while a decision is made. Only decisions may change it: observing
// puts it back, so that decisions are the same with an observer and without.
type derivedState struct {
	setupsPerSize    float64     // new connections a second and size, when warm endpoints were last seen
	eventTotals      tableTotals // as of the event being handled, if eventTotalsValid
	eventTotalsValid bool
	totalsValid      bool // of the table: readyLoad and what follows it; an update of the list ends it
}

// tableTotals are sums over the ready endpoints.
type tableTotals struct {
	load     float64 // that this relay has placed, in mean connections
	size     float64
	warmSize float64 // of endpoints that are warm
	slowSize float64 // of endpoints that are slow
}

// meanLoad is the load by size; NaN if there is no ready endpoint.
func (t tableTotals) meanLoad() float64 { return t.load / t.size }

func (t *endpointTable) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(endpoint *endpointRecord, id EndpointID) int {
		return cmp.Compare(endpoint.ID, id)
	})
}

// find returns the record of an endpoint; nil if there is none.
func (t *endpointTable) find(id EndpointID) *endpointRecord {
	if i, ok := t.search(id); ok {
		return t.sorted[i]
	}
	return nil
}

// insert adds an endpoint. Those that are long gone make room: deltas alone may come for as long as the
// relay runs, and only a full list drops what it leaves out.
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

// replaceAll marks the endpoints that a full list leaves out as gone, and drops those without connections.
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

// warmingUp yields the ready endpoints that started within a time.
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

// recordConnection books a connection at its endpoint, with its expected load if that is known.
func (t *endpointTable) recordConnection(request *requestRecord) {
	request.endpoint.addConnection(request)
	if request.ExpectedLoad > 0 {
		t.recordLoad(request, request.ExpectedLoad)
	}
}

// recordLoad books the load reported of a connection, in seconds of work a second.
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

// totals returns the sums over the ready endpoints. They are worked out once an event; of a large table
// only the outliers are looked at.
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

// sumTotals adds up endpoints one by one.
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

// cachedTotals returns the totals that the table keeps, and sums over the outliers for the rest: all other
// endpoints are warm and not slow.
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

// recomputeTotals goes through the whole table, after an update of the list.
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
