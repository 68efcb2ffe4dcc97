package balancer

import "math"

// drawFilter makes a draw from a large table skip endpoints that cannot have the least cost. With a route key
// the variate is computed from a hash and no weight exceeds maxDrawWeight, so the hash gives a lower bound of
// the cost. Filtering does not change the result of a draw.
type drawFilter struct {
	endpoints      []*endpointRecord
	routeKey       uint64
	idHashes       []uint64        // of all endpoints; nil: no endpoint is skipped
	candidates     []drawCandidate // endpoints whose hash is at least candidateFloor
	candidateFloor uint64
	hashFloor      uint64  // an endpoint with a smaller hash cannot have the least cost
	bestIndex      int     // of the endpoint with the largest hash, which is visited first
	maxDrawWeight  float64 // upper bound of all draw weights
}

// drawCandidate is an endpoint that is likely to have the least cost.
type drawCandidate struct {
	hash  uint64
	index int // in the filter's endpoints
}

// expectedCandidates is the expected number of endpoints whose hash reaches the candidate floor. If a draw
// has to visit more endpoints, it computes the hashes again.
const expectedCandidates = 64

// prepareFilter prepares the table's filter for a draw. The filter skips endpoints only if the table is
// large, the request has a route key and there is load.
func (b *Balancer) prepareFilter(routeKey uint64, loadPerSize float64) *drawFilter {
	table := &b.endpoints
	filter := &table.filter
	*filter = drawFilter{endpoints: table.sorted, candidates: filter.candidates[:0]}
	if len(table.sorted) < largeTableSize || routeKey == 0 || !(loadPerSize > 0) {
		return filter
	}
	if !table.totalsValid {
		table.recomputeTotals()
	}
	largest := table.largestSize
	filter.maxDrawWeight = maxWeight * largest / math.Pow(1+1/largest/loadPerSize, loadExponent)
	if b.settings.CrossZoneCost > 0 {
		filter.maxDrawWeight *= localZoneFactor
	}
	filter.routeKey, filter.idHashes = routeKey, table.idHashes
	filter.candidateFloor = math.MaxUint64 - math.MaxUint64/uint64(len(table.sorted))*expectedCandidates
	filter.findCandidates()
	return filter
}

// findCandidates hashes all endpoints and records the one with the largest hash and the candidates.
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

// candidateEndpoints yields the endpoints that may have the least cost, starting with the largest hash.
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

// raiseFloor raises the hash floor to the smallest hash whose cost may be below the least cost so far.
func (f *drawFilter) raiseFloor(least float64) {
	if f.idHashes != nil {
		// A lower cost requires -log(u)/maxDrawWeight < least. The margins allow for rounding errors.
		u := math.Exp(-least * f.maxDrawWeight * (1 + 1e-9))
		f.hashFloor = uint64(max(0, u*(1<<53)-2)) << 11
	}
}
