// Package registry holds what the relay keeps: the farm, the transactions that
// are open, and the counters.
package registry

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"

	"lockroad/balancer"
)

// State is what discovery says of an application server.
type State = balancer.EndpointState

// Endpoint is an application server as discovery last named it.
type Endpoint struct {
	ID       balancer.EndpointID
	Name     string
	Address  string
	State    State
	Draining <-chan struct{} // closed once the server drains or is gone
}

// IsDraining tells whether the server drains or is gone by now.
func (s Endpoint) IsDraining() bool { return closed(s.Draining) }

// Endpoints is discovery's list. It is safe for concurrent use.
type Endpoints struct {
	mu      sync.Mutex
	servers map[balancer.EndpointID]*entry
	names   map[string]balancer.EndpointID
}

type entry struct {
	Endpoint
	leave chan struct{}
}

// NewEndpoints returns a farm that names no server.
func NewEndpoints() *Endpoints {
	return &Endpoints{servers: make(map[balancer.EndpointID]*entry), names: make(map[string]balancer.EndpointID)}
}

// ID returns the number of a server, the same at every relay: the hexadecimal
// end of its name, or else a hash of it. Two names never share one.
func (f *Endpoints) ID(name string) balancer.EndpointID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.names[name]; ok {
		return id
	}
	n, err := strconv.ParseUint(name[strings.LastIndexByte(name, '-')+1:], 16, 32)
	if err != nil {
		h := fnv.New32a()
		h.Write([]byte(name))
		n = uint64(h.Sum32())
	}
	id := balancer.EndpointID(n)
	for f.servers[id] != nil {
		id++
	}
	f.names[name] = id
	f.servers[id] = &entry{Endpoint: Endpoint{ID: id, Name: name}}
	return id
}

// Lookup returns the number of a server that has one. What clients name makes no
// entry: those would pile up with every odd name.
func (f *Endpoints) Lookup(name string) (balancer.EndpointID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[name]
	return id, ok
}

// Name is the name of a server that has a number, or its number.
func (f *Endpoints) Name(id balancer.EndpointID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.servers[id]; e != nil {
		return e.Name
	}
	return strconv.FormatUint(uint64(id), 10)
}

// Update takes a line of the list. A server that drains or is gone is leaving
// at once, also for passes about to go out.
func (f *Endpoints) Update(id balancer.EndpointID, address string, phase State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.servers[id]
	if e == nil {
		return
	}
	if address != "" {
		e.Address = address
	}
	e.State = phase
	switch {
	case phase == balancer.StateReady && (e.leave == nil || closed(e.leave)):
		e.leave = make(chan struct{})
		e.Draining = e.leave
	case phase != balancer.StateReady && e.leave == nil:
		e.leave = make(chan struct{})
		e.Draining = e.leave
		fallthrough
	case phase != balancer.StateReady && !closed(e.leave):
		close(e.leave)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// RetainOnly marks every server as gone that a whole list leaves out.
func (f *Endpoints) RetainOnly(named []balancer.Endpoint) {
	there := make(map[balancer.EndpointID]bool, len(named)) // lists of thousands come while clients wait
	for _, n := range named {
		there[n.ID] = true
	}
	for _, s := range f.List() {
		if s.State != balancer.StateGone && !there[s.ID] {
			f.Update(s.ID, "", balancer.StateGone)
		}
	}
}

// Find returns a server that the list has named.
func (f *Endpoints) Find(id balancer.EndpointID) (Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.servers[id]
	if e == nil || e.Draining == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// List returns the servers by name.
func (f *Endpoints) List() []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Endpoint, 0, len(f.servers))
	for _, e := range f.servers {
		list = append(list, e.Endpoint)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// StateName is discovery's word for a phase.
func StateName(p State) string { return [...]string{"gone", "ready", "draining"}[p] }

// CountByState returns how many servers are in each phase.
func (f *Endpoints) CountByState() [3]int64 {
	var n [3]int64
	for _, s := range f.List() {
		n[s.State]++
	}
	return n
}
