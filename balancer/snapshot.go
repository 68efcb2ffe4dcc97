package balancer

import (
	"cmp"
	"slices"
	"time"
)

// routesKept bounds the routes that are taken over; those confirmed last come first.
const routesKept = 4096

// Snapshot is what a Balancer has learnt.
type Snapshot struct {
	Salt              uint64             `json:"Salt" cbor:"Salt"` // turns stay where they are
	Endpoints         []EndpointSnapshot `json:"Servers" cbor:"Servers"`
	Routes            []RouteSnapshot    `json:"Routes" cbor:"Routes"`
	RecentSetups      CounterSnapshot    `json:"Recent" cbor:"Recent"` // set-ups that warm servers took
	ArrivalRate       CounterSnapshot    `json:"Pace" cbor:"Pace"`     // requests
	SetupsPerSize     float64            `json:"PerSize" cbor:"PerSize"`
	MeanLoad          float64            `json:"Load" cbor:"Load"` // of a connection, as told
	LoadSamples       float64            `json:"Loads" cbor:"Loads"`
	ConcurrencyWindow float64            `json:"Window" cbor:"Window"` // set-ups that may be under way
}

// EndpointSnapshot is what was learnt of a server.
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

// RouteSnapshot is the route of a group.
type RouteSnapshot struct {
	Key       uint64        `json:"Key" cbor:"Key"`
	Endpoint  EndpointID    `json:"Server" cbor:"Server"`
	ExpiresAt time.Duration `json:"Until" cbor:"Until"`
}

// CounterSnapshot is a count in which what is past fades.
type CounterSnapshot struct {
	Count       float64       `json:"Count" cbor:"Count"`
	UpdatedAt   time.Duration `json:"Since" cbor:"Since"`
	CountedFrom time.Duration `json:"From" cbor:"From"`
}

// Snapshot returns what the Balancer has learnt.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{
		Salt: b.salt, RecentSetups: b.fleet.recent.memory(), ArrivalRate: b.pace.memory(),
		SetupsPerSize: b.fleet.perSize, MeanLoad: b.fleet.load,
		LoadSamples: b.fleet.loads, ConcurrencyWindow: b.window.size,
	}
	for _, s := range b.fleet.servers {
		m.Endpoints = append(m.Endpoints, EndpointSnapshot{
			s.ID, s.weight, s.weighed, s.lastSent, s.stoodAt, s.failedAt, s.lastSlow, s.delay, s.delayAt,
			s.relieved, s.drainAt, s.awayAt, s.StartedAt,
		})
	}
	for _, r := range b.routes.ring {
		if b.now < r.until {
			m.Routes = append(m.Routes, RouteSnapshot{r.key, r.server, r.until})
		}
	}
	slices.SortFunc(m.Routes, func(x, y RouteSnapshot) int { return cmp.Compare(y.ExpiresAt, x.ExpiresAt) })
	m.Routes = m.Routes[:min(len(m.Routes), routesKept)]
	return m
}

// Restore takes over what another has learnt, for those who drive a Balancer without a Facade.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.now = now
	b.restoreSnapshot(m)
}

// restoreSnapshot takes over what another has learnt, of the servers that are listed. What was
// learnt of a server before its last start is left aside.
func (b *Balancer) restoreSnapshot(m Snapshot) {
	b.salt = m.Salt
	b.fleet.recent.restore(m.RecentSetups)
	b.pace.restore(m.ArrivalRate)
	b.fleet.perSize, b.fleet.load, b.fleet.loads = m.SetupsPerSize, m.MeanLoad, m.LoadSamples
	b.window.size = min(windowMax, max(1, m.ConcurrencyWindow))
	for _, k := range m.Endpoints {
		s := b.fleet.find(k.ID)
		if s == nil || s.StartedAt > k.StartedAt {
			continue
		}
		s.weight, s.weighed = min(weightCeil, max(weightFloor, k.Weight)), k.WeightSetAt
		s.lastSent, s.stoodAt, s.failedAt = k.LastAttemptAt, k.EstablishedAt, k.FailedAt
		s.lastSlow, s.delay, s.delayAt = k.SlowAt, k.Delay, k.DelayAt
		s.relieved, s.drainAt, s.awayAt = k.RelievedAt, k.DrainingSince, k.RedirectedAt
	}
	b.fleet.sure = false
	for _, r := range slices.Backward(m.Routes) { // those confirmed last stay longest
		if b.fleet.find(r.Endpoint) != nil && b.now < r.ExpiresAt {
			b.routes.put(r.Key, r.Endpoint, r.ExpiresAt)
		}
	}
}

// Renumber gives servers the numbers that they have here; those without one are left out.
func (m *Snapshot) Renumber(number func(EndpointID) (EndpointID, bool)) {
	known := func(id *EndpointID) bool {
		n, ok := number(*id)
		*id = n
		return ok
	}
	servers, routes := m.Endpoints, m.Routes
	m.Endpoints, m.Routes = nil, nil
	for _, s := range servers {
		if known(&s.ID) {
			m.Endpoints = append(m.Endpoints, s)
		}
	}
	for _, r := range routes {
		if known(&r.Endpoint) {
			m.Routes = append(m.Routes, r)
		}
	}
}

func (f *fading) memory() CounterSnapshot { return CounterSnapshot{f.count, f.since, f.from} }

func (f *fading) restore(m CounterSnapshot) {
	f.count, f.since, f.from = m.Count, m.UpdatedAt, m.CountedFrom
}
