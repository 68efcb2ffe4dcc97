package balancer

import (
	"cmp"
	"slices"
	"time"
)

// maxSnapshotRoutes limits the routes in a snapshot to those that expire last.
const maxSnapshotRoutes = 4096

// Snapshot is the observed state of a Balancer, for the relay's next process to restore. Times are on a clock
// that both processes share. The salt is kept so that time slots stay where they are. The names in the tags
// must not change, as other versions read stored snapshots.
type Snapshot struct {
	Salt             uint64             `json:"Salt" cbor:"Salt"` // of hashes that assign time slots
	Endpoints        []EndpointSnapshot `json:"Servers" cbor:"Servers"`
	Routes           []RouteSnapshot    `json:"Routes" cbor:"Routes"`
	RecentSetups     CounterSnapshot    `json:"Recent" cbor:"Recent"` // at warm endpoints
	ArrivalRate      CounterSnapshot    `json:"Pace" cbor:"Pace"`     // of requests in draws
	SetupsPerSize    float64            `json:"PerSize" cbor:"PerSize"`
	MeanLoad         float64            `json:"Load" cbor:"Load"` // per connection
	LoadSamples      float64            `json:"Loads" cbor:"Loads"`
	ConcurrencyLimit float64            `json:"Window" cbor:"Window"` // maximum setups in flight
}

// EndpointSnapshot is the observed state of an endpoint. A time is 0 if its event never happened.
type EndpointSnapshot struct {
	ID            EndpointID    `json:"ID" cbor:"ID"`
	Weight        float64       `json:"Weight" cbor:"Weight"`
	WeightSetAt   time.Duration `json:"Weighed" cbor:"Weighed"`
	LastAttemptAt time.Duration `json:"LastSent" cbor:"LastSent"`
	EstablishedAt time.Duration `json:"StoodAt" cbor:"StoodAt"`
	FailedAt      time.Duration `json:"FailedAt" cbor:"FailedAt"`
	SlowAt        time.Duration `json:"LastSlow" cbor:"LastSlow"`
	Delay         time.Duration `json:"Delay" cbor:"Delay"`
	DelayAt       time.Duration `json:"DelayAt" cbor:"DelayAt"`
	RelievedAt    time.Duration `json:"Relieved" cbor:"Relieved"`
	DrainingSince time.Duration `json:"DrainAt" cbor:"DrainAt"`
	RedirectedAt  time.Duration `json:"AwayAt" cbor:"AwayAt"`
	StartedAt     time.Duration `json:"LastBorn" cbor:"LastBorn"`
}

// RouteSnapshot is a cached route.
type RouteSnapshot struct {
	Key       uint64        `json:"Key" cbor:"Key"`
	Endpoint  EndpointID    `json:"Server" cbor:"Server"`
	ExpiresAt time.Duration `json:"Until" cbor:"Until"`
}

// CounterSnapshot is the state of an exponentially decaying counter.
type CounterSnapshot struct {
	Count       float64       `json:"Count" cbor:"Count"`
	UpdatedAt   time.Duration `json:"Since" cbor:"Since"`
	CountedFrom time.Duration `json:"From" cbor:"From"`
}

// Snapshot returns the observed state of the Balancer, for another process to restore.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{
		Salt:             b.salt,
		RecentSetups:     b.endpoints.recentSetups.snapshot(),
		ArrivalRate:      b.arrivalRate.snapshot(),
		SetupsPerSize:    b.endpoints.setupsPerSize,
		MeanLoad:         b.endpoints.meanLoad,
		LoadSamples:      b.endpoints.loadSamples,
		ConcurrencyLimit: b.concurrency.limit,
	}
	for _, endpoint := range b.endpoints.sorted {
		snapshot.Endpoints = append(snapshot.Endpoints, endpoint.snapshot())
	}
	for _, route := range b.routes.ring {
		if b.now < route.expiresAt {
			snapshot.Routes = append(snapshot.Routes, RouteSnapshot{
				Key: route.key, Endpoint: route.endpoint, ExpiresAt: route.expiresAt,
			})
		}
	}
	slices.SortFunc(snapshot.Routes, func(first, second RouteSnapshot) int {
		return cmp.Compare(second.ExpiresAt, first.ExpiresAt)
	})
	snapshot.Routes = snapshot.Routes[:min(len(snapshot.Routes), maxSnapshotRoutes)]
	return snapshot
}

// Restore restores a snapshot of another Balancer. It ignores endpoints that are not listed. Use it only
// without a Loop; RestoreSnapshot does the same for a Loop.
func (b *Balancer) Restore(now time.Duration, snapshot Snapshot) {
	b.now = now
	b.restoreSnapshot(snapshot)
}

// restoreSnapshot restores a snapshot at the time b.now. It ignores the state of endpoints that have
// restarted since the snapshot.
func (b *Balancer) restoreSnapshot(snapshot Snapshot) {
	b.salt = snapshot.Salt
	b.endpoints.recentSetups.restore(snapshot.RecentSetups)
	b.arrivalRate.restore(snapshot.ArrivalRate)
	b.endpoints.setupsPerSize = snapshot.SetupsPerSize
	b.endpoints.meanLoad, b.endpoints.loadSamples = snapshot.MeanLoad, snapshot.LoadSamples
	b.concurrency.limit = min(maxConcurrency, max(1, snapshot.ConcurrencyLimit))
	for _, saved := range snapshot.Endpoints {
		endpoint := b.endpoints.find(saved.ID)
		if endpoint == nil || endpoint.StartedAt > saved.StartedAt {
			continue
		}
		endpoint.restore(saved)
	}
	b.endpoints.totalsValid = false
	for _, route := range slices.Backward(snapshot.Routes) { // the route added last is evicted last
		if b.endpoints.find(route.Endpoint) != nil && b.now < route.ExpiresAt {
			b.routes.put(route.Key, route.Endpoint, route.ExpiresAt)
		}
	}
}

// Renumber replaces each endpoint ID with its newID and removes the entries of endpoints without one. The
// next process of a relay may number endpoints differently.
func (s *Snapshot) Renumber(newID func(EndpointID) (EndpointID, bool)) {
	renumber := func(id *EndpointID) bool {
		renumbered, ok := newID(*id)
		*id = renumbered
		return ok
	}
	endpoints, routes := s.Endpoints, s.Routes
	s.Endpoints, s.Routes = nil, nil
	for _, endpoint := range endpoints {
		if renumber(&endpoint.ID) {
			s.Endpoints = append(s.Endpoints, endpoint)
		}
	}
	for _, route := range routes {
		if renumber(&route.Endpoint) {
			s.Routes = append(s.Routes, route)
		}
	}
}

func (e *endpointRecord) snapshot() EndpointSnapshot {
	return EndpointSnapshot{
		ID:            e.ID,
		Weight:        e.weight,
		WeightSetAt:   e.weightSetAt,
		LastAttemptAt: e.lastAttemptAt,
		EstablishedAt: e.establishedAt,
		FailedAt:      e.failedAt,
		SlowAt:        e.lastSlowAt,
		Delay:         e.delay,
		DelayAt:       e.delayAt,
		RelievedAt:    e.relievedAt,
		DrainingSince: e.drainingSince,
		RedirectedAt:  e.redirectedAt,
		StartedAt:     e.StartedAt,
	}
}

// restore restores the observed state of the endpoint, with its weight within the limits.
func (e *endpointRecord) restore(saved EndpointSnapshot) {
	e.weight, e.weightSetAt = min(maxWeight, max(minWeight, saved.Weight)), saved.WeightSetAt
	e.lastAttemptAt = saved.LastAttemptAt
	e.establishedAt = saved.EstablishedAt
	e.failedAt = saved.FailedAt
	e.lastSlowAt, e.delay, e.delayAt = saved.SlowAt, saved.Delay, saved.DelayAt
	e.relievedAt = saved.RelievedAt
	e.drainingSince = saved.DrainingSince
	e.redirectedAt = saved.RedirectedAt
}

func (c *decayingCounter) snapshot() CounterSnapshot {
	return CounterSnapshot{Count: c.count, UpdatedAt: c.updatedAt, CountedFrom: c.countedFrom}
}

func (c *decayingCounter) restore(snapshot CounterSnapshot) {
	c.count, c.updatedAt, c.countedFrom = snapshot.Count, snapshot.UpdatedAt, snapshot.CountedFrom
}
