package balancer

import "math"

// drawFilter spares a draw from a large table the endpoints that can't have the least cost: with a route
// key the variate comes from a hash, and no weight is above maxDrawWeight. It changes no result.
type drawFilter struct {
	endpoints      []*endpointRecord
	routeKey       uint64
	idHashes       []uint64        // of all endpoints; nil: the filter passes them all
	candidates     []drawCandidate // those with a hash of at least candidateFloor
	candidateFloor uint64
	hashFloor      uint64 // an endpoint with a smaller hash can't have the least cost
	bestIndex      int    // of the endpoint with the largest hash: it is looked at first
	maxDrawWeight  float64
}

// drawCandidate is an endpoint that may well have the least cost.
type drawCandidate struct {
	hash  uint64
	index int // in the filter's endpoints
}

// expectedCandidates is how many endpoints of a large table a draw is expected to have to look at. Where
// it needs more, the others are hashed once more.
const expectedCandidates = 64

// prepareFilter prepares the table's filter for a draw. It filters only where the table is large and
// there are a route key and some load.
func (b *Balancer) prepareFilter(routeKey uint64, meanLoad float64) *drawFilter {
	table := &b.endpoints
	filter := &table.filter
	*filter = drawFilter{endpoints: table.sorted, candidates: filter.candidates[:0]}
	if len(table.sorted) < largeTableSize || routeKey == 0 || !(meanLoad > 0) {
		return filter
	}
	if !table.totalsValid {
		table.recomputeTotals()
	}
	largest := table.largestSize
	filter.maxDrawWeight = maxWeight * largest / math.Pow(1+1/largest/meanLoad, loadExponent)
	if b.settings.CrossZoneCost > 0 {
		filter.maxDrawWeight *= localZoneFactor
	}
	filter.routeKey, filter.idHashes = routeKey, table.idHashes
	filter.candidateFloor = math.MaxUint64 - math.MaxUint64/uint64(len(table.sorted))*expectedCandidates
	filter.findCandidates()
	return filter
}

// findCandidates hashes all endpoints once, and keeps the best and those above the candidate floor.
func (f *drawFilter) findCandidates() {
	best, candidateFloor, routeKey := uint64(0), f.candidateFloor, f.routeKey
	for i, idHash := range f.idHashes {
		hash := mixBits(routeKey ^ idHash)
		if hash < candidateFloor && hash <= best {
			continue
		}
		if hash > best {
			best, f.bestIndex = hash, i
		}
		if hash >= candidateFloor {
			f.candidates = append(f.candidates, drawCandidate{hash, i})
		}
	}
}

// candidateEndpoints yields the endpoints that may have the least cost, the one with the largest hash first.
func (f *drawFilter) candidateEndpoints(yield func(*endpointRecord) bool) {
	if f.idHashes == nil {
		for _, endpoint := range f.endpoints {
			if !yield(endpoint) {
				return
			}
		}
		return
	}
	if !yield(f.endpoints[f.bestIndex]) {
		return
	}
	for _, candidate := range f.candidates {
		if candidate.hash >= f.hashFloor && candidate.index != f.bestIndex &&
			!yield(f.endpoints[candidate.index]) {
			return
		}
	}
	if f.hashFloor >= f.candidateFloor {
		return
	}
	for i, idHash := range f.idHashes {
		hash := mixBits(f.routeKey ^ idHash)
		if hash >= f.hashFloor && hash < f.candidateFloor && i != f.bestIndex && !yield(f.endpoints[i]) {
			return
		}
	}
}

// raiseFloor raises the floor to the hash that it takes to come below the least cost so far.
func (f *drawFilter) raiseFloor(least float64) {
	if f.idHashes != nil {
		// -log(u)/maxDrawWeight has to be below least; a little is left for rounding.
		u := math.Exp(-least * f.maxDrawWeight * (1 + 1e-9))
		f.hashFloor = uint64(max(0, u*(1<<53)-2)) << 11
	}
}
