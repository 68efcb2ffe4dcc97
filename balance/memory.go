package balance

import (
	"cmp"
	"slices"
	"time"
)

// This file holds what a Balancer has learnt in a form that another of the same relay
// can take over: the one of a process that takes its place. Nothing is decided here. Times
// are on the clock that the two have in common.

// routesKept bounds the routes that are taken over; those confirmed last come first.
const routesKept = 4096

// Memory is what a Balancer has learnt.
type Memory struct {
	Salt    uint64         `json:"Salt" cbor:"Salt"` // turns that come by chance stay where they are
	Servers []ServerMemory `json:"Servers" cbor:"Servers"`
	Routes  []RouteMemory  `json:"Routes" cbor:"Routes"`
	Recent  CountMemory    `json:"Recent" cbor:"Recent"` // set-ups that warm servers took
	Pace    CountMemory    `json:"Pace" cbor:"Pace"`     // requests that servers were looked for
	PerSize float64        `json:"PerSize" cbor:"PerSize"`
	Load    float64        `json:"Load" cbor:"Load"` // mean told load of a connection, over Loads of them
	Loads   float64        `json:"Loads" cbor:"Loads"`
	Window  float64        `json:"Window" cbor:"Window"` // set-ups that may be under way
}

// ServerMemory is what was learnt of a server.
type ServerMemory struct {
	ID       ServerID      `json:"ID" cbor:"ID"`
	Weight   float64       `json:"Weight" cbor:"Weight"`
	Weighed  time.Duration `json:"Weighed" cbor:"Weighed"`
	LastSent time.Duration `json:"LastSent" cbor:"LastSent"`
	StoodAt  time.Duration `json:"StoodAt" cbor:"StoodAt"`
	FailedAt time.Duration `json:"FailedAt" cbor:"FailedAt"`
	LastSlow time.Duration `json:"LastSlow" cbor:"LastSlow"`
	Delay    time.Duration `json:"Delay" cbor:"Delay"`
	DelayAt  time.Duration `json:"DelayAt" cbor:"DelayAt"`
	Relieved time.Duration `json:"Relieved" cbor:"Relieved"`
	DrainAt  time.Duration `json:"DrainAt" cbor:"DrainAt"`
	AwayAt   time.Duration `json:"AwayAt" cbor:"AwayAt"`
	LastBorn time.Duration `json:"LastBorn" cbor:"LastBorn"`
}

// RouteMemory is the route of a group.
type RouteMemory struct {
	Key    uint64        `json:"Key" cbor:"Key"`
	Server ServerID      `json:"Server" cbor:"Server"`
	Until  time.Duration `json:"Until" cbor:"Until"`
}

// CountMemory is a count in which what is past fades.
type CountMemory struct {
	Count float64       `json:"Count" cbor:"Count"`
	Since time.Duration `json:"Since" cbor:"Since"`
	From  time.Duration `json:"From" cbor:"From"`
}

func (f *fading) memory() CountMemory { return CountMemory{f.count, f.since, f.from} }

func (f *fading) restore(m CountMemory) { f.count, f.since, f.from = m.Count, m.Since, m.From }

// Remember takes over what another has learnt, for those who drive a Balancer without a Facade.
func (b *Balancer) Remember(now time.Duration, m Memory) {
	b.now = now
	b.restore(m)
}

// Recollect returns what the Balancer has learnt.
func (b *Balancer) Recollect() Memory {
	m := Memory{
		Salt: b.salt, Recent: b.fleet.recent.memory(), Pace: b.pace.memory(),
		PerSize: b.fleet.perSize, Load: b.fleet.load, Loads: b.fleet.loads, Window: b.window.size,
	}
	for _, s := range b.fleet.servers {
		m.Servers = append(m.Servers, ServerMemory{
			s.ID, s.weight, s.weighed, s.lastSent, s.stoodAt, s.failedAt, s.lastSlow, s.delay, s.delayAt,
			s.relieved, s.drainAt, s.awayAt, s.Born,
		})
	}
	for _, r := range b.routes.ring {
		if b.now < r.until {
			m.Routes = append(m.Routes, RouteMemory{r.key, r.server, r.until})
		}
	}
	slices.SortFunc(m.Routes, func(x, y RouteMemory) int { return cmp.Compare(y.Until, x.Until) })
	m.Routes = m.Routes[:min(len(m.Routes), routesKept)]
	return m
}

// restore takes over what another has learnt, of the servers that are listed. What was
// learnt of a server before its last start is left aside.
func (b *Balancer) restore(m Memory) {
	b.salt = m.Salt
	b.fleet.recent.restore(m.Recent)
	b.pace.restore(m.Pace)
	b.fleet.perSize, b.fleet.load, b.fleet.loads = m.PerSize, m.Load, m.Loads
	b.window.size = min(windowMax, max(1, m.Window))
	for _, k := range m.Servers {
		s := b.fleet.find(k.ID)
		if s == nil || s.Born > k.LastBorn {
			continue
		}
		s.weight, s.weighed = min(weightCeil, max(weightFloor, k.Weight)), k.Weighed
		s.lastSent, s.stoodAt, s.failedAt = k.LastSent, k.StoodAt, k.FailedAt
		s.lastSlow, s.delay, s.delayAt = k.LastSlow, k.Delay, k.DelayAt
		s.relieved, s.drainAt, s.awayAt = k.Relieved, k.DrainAt, k.AwayAt
	}
	b.fleet.sure = false
	for _, r := range slices.Backward(m.Routes) { // those confirmed last stay longest
		if b.fleet.find(r.Server) != nil && b.now < r.Until {
			b.routes.put(r.Key, r.Server, r.Until)
		}
	}
}

// Renumber gives servers the numbers that they have here; those without one are left out.
func (m *Memory) Renumber(number func(ServerID) (ServerID, bool)) {
	known := func(id *ServerID) bool {
		n, ok := number(*id)
		*id = n
		return ok
	}
	servers, routes := m.Servers, m.Routes
	m.Servers, m.Routes = nil, nil
	for _, s := range servers {
		if known(&s.ID) {
			m.Servers = append(m.Servers, s)
		}
	}
	for _, r := range routes {
		if known(&r.Server) {
			m.Routes = append(m.Routes, r)
		}
	}
}

// View is what a Balancer holds of a server, for those who look on.
type View struct {
	Server  ServerID
	Delay   time.Duration // of a message there, as last heard; 0: nothing was heard lately
	Load    float64       // of this relay's connections there, in mean connections
	Avoided string        // why nothing new goes there now; "" if it may
}

// views tells what is held of each server that is listed.
func (b *Balancer) views() (all []View) {
	for _, s := range b.fleet.servers {
		if s.State == Gone {
			continue
		}
		v := View{Server: s.ID, Load: s.load}
		if s.delayAt > 0 && b.now < s.delayAt+viewLife {
			v.Delay = s.delay
		}
		if b.now < s.avoidedUntil() {
			switch {
			case s.State == Draining:
				v.Avoided = "drains"
			case s.awayAt > 0 && b.now < s.awayAt+awayFor:
				v.Avoided = "sends away"
			default:
				v.Avoided = "slow or full"
			}
		}
		all = append(all, v)
	}
	return all
}

// viewLife is how long a delay is told after it was heard.
const viewLife = 10 * time.Second
