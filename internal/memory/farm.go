// Package memory holds what the relay keeps: the farm, the transactions that
// are open, and the counters.
package memory

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"

	"lockroad/balancer"
)

// Phase is what discovery says of an application server.
type Phase = balancer.EndpointState

// Server is an application server as discovery last named it.
type Server struct {
	ID      balancer.EndpointID
	Name    string
	Address string
	Phase   Phase
	Leaving <-chan struct{} // closed once the server drains or is gone
}

// IsLeaving tells whether the server drains or is gone by now.
func (s Server) IsLeaving() bool { return closed(s.Leaving) }

// Farm is discovery's list. It is safe for concurrent use.
type Farm struct {
	mu      sync.Mutex
	servers map[balancer.EndpointID]*entry
	names   map[string]balancer.EndpointID
}

type entry struct {
	Server
	leave chan struct{}
}

// NewFarm returns a farm that names no server.
func NewFarm() *Farm {
	return &Farm{servers: make(map[balancer.EndpointID]*entry), names: make(map[string]balancer.EndpointID)}
}

// ID returns the number of a server, the same at every relay: the hexadecimal
// end of its name, or else a hash of it. Two names never share one.
func (f *Farm) ID(name string) balancer.EndpointID {
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
	f.servers[id] = &entry{Server: Server{ID: id, Name: name}}
	return id
}

// Lookup returns the number of a server that has one. What clients name makes no
// entry: those would pile up with every odd name.
func (f *Farm) Lookup(name string) (balancer.EndpointID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[name]
	return id, ok
}

// Name is the name of a server that has a number, or its number.
func (f *Farm) Name(id balancer.EndpointID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.servers[id]; e != nil {
		return e.Name
	}
	return strconv.FormatUint(uint64(id), 10)
}

// Update takes a line of the list. A server that drains or is gone is leaving
// at once, also for passes about to go out.
func (f *Farm) Update(id balancer.EndpointID, address string, phase Phase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.servers[id]
	if e == nil {
		return
	}
	if address != "" {
		e.Address = address
	}
	e.Phase = phase
	switch {
	case phase == balancer.StateReady && (e.leave == nil || closed(e.leave)):
		e.leave = make(chan struct{})
		e.Leaving = e.leave
	case phase != balancer.StateReady && e.leave == nil:
		e.leave = make(chan struct{})
		e.Leaving = e.leave
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

// Keep marks every server as gone that a whole list leaves out.
func (f *Farm) Keep(named []balancer.Endpoint) {
	there := make(map[balancer.EndpointID]bool, len(named)) // lists of thousands come while clients wait
	for _, n := range named {
		there[n.ID] = true
	}
	for _, s := range f.List() {
		if s.Phase != balancer.StateGone && !there[s.ID] {
			f.Update(s.ID, "", balancer.StateGone)
		}
	}
}

// Find returns a server that the list has named.
func (f *Farm) Find(id balancer.EndpointID) (Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.servers[id]
	if e == nil || e.Leaving == nil {
		return Server{}, false
	}
	return e.Server, true
}

// List returns the servers by name.
func (f *Farm) List() []Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Server, 0, len(f.servers))
	for _, e := range f.servers {
		list = append(list, e.Server)
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// PhaseName is discovery's word for a phase.
func PhaseName(p Phase) string { return [...]string{"gone", "ready", "draining"}[p] }

// Phases returns how many servers are in each phase.
func (f *Farm) Phases() [3]int64 {
	var n [3]int64
	for _, s := range f.List() {
		n[s.Phase]++
	}
	return n
}
