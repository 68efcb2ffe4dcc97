package registry

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"

	"lockroad/balancer"
)

// State is an endpoint's state according to the endpoint list.
type State = balancer.EndpointState

// StateName returns the name of a state as shown to operators.
func StateName(state State) string { return [...]string{"gone", "ready", "draining"}[state] }

// Endpoint is an endpoint as last reported by the endpoint list.
type Endpoint struct {
	ID       balancer.EndpointID
	Name     string
	Address  string
	State    State
	Draining <-chan struct{} // closed once the endpoint drains or is gone; nil until the endpoint is listed
}

// IsDraining reports whether the endpoint is draining or gone, even if that changed after
// e was returned.
func (e Endpoint) IsDraining() bool { return isClosed(e.Draining) }

// Endpoints is the endpoint list. It assigns IDs to the names of endpoints, and keeps them
// for endpoints that are gone. It is safe for concurrent use.
type Endpoints struct {
	mu       sync.Mutex // guards the fields below
	byID     map[balancer.EndpointID]*endpointRecord
	idByName map[string]balancer.EndpointID
}

type endpointRecord struct {
	Endpoint
	drainSignal chan struct{} // Endpoint.Draining as a channel that can be closed
}

// NewEndpoints returns an empty endpoint list.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		byID:     make(map[balancer.EndpointID]*endpointRecord),
		idByName: make(map[string]balancer.EndpointID),
	}
}

// AssignID returns the ID of an endpoint, and assigns one if it has none. The ID is the
// hexadecimal suffix of the name, or else a hash of the name, so that all relays assign the
// same ID. If another name already has that ID, the next free one is assigned.
func (e *Endpoints) AssignID(name string) balancer.EndpointID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id, ok := e.idByName[name]; ok {
		return id
	}
	id := preferredID(name)
	for e.byID[id] != nil {
		id++
	}
	e.idByName[name] = id
	e.byID[id] = &endpointRecord{Endpoint: Endpoint{ID: id, Name: name}}
	return id
}

// preferredID returns the ID that a name is assigned unless another name already has it.
func preferredID(name string) balancer.EndpointID {
	suffix := name[strings.LastIndexByte(name, '-')+1:]
	if number, err := strconv.ParseUint(suffix, 16, 32); err == nil {
		return balancer.EndpointID(number)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return balancer.EndpointID(hash.Sum32())
}

// Lookup returns the ID of an endpoint if it has been assigned one. It is meant for names
// that clients send: AssignID would keep every unknown name in memory.
func (e *Endpoints) Lookup(name string) (balancer.EndpointID, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, ok := e.idByName[name]
	return id, ok
}

// Name returns the name of an endpoint, or the decimal ID if the ID was never assigned.
func (e *Endpoints) Name(id balancer.EndpointID) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if record := e.byID[id]; record != nil {
		return record.Name
	}
	return strconv.FormatUint(uint64(id), 10)
}

// Update sets the state of an endpoint, and its address unless that is empty. It closes
// Draining if the endpoint is draining or gone, and replaces a closed Draining if the
// endpoint is ready again. An ID that was never assigned is ignored.
func (e *Endpoints) Update(id balancer.EndpointID, address string, state State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.byID[id]
	if record == nil {
		return
	}
	if address != "" {
		record.Address = address
	}
	record.State = state
	ready := state == balancer.StateReady
	if record.drainSignal == nil || ready && isClosed(record.drainSignal) {
		record.drainSignal = make(chan struct{})
		record.Draining = record.drainSignal
	}
	if !ready && !isClosed(record.drainSignal) {
		close(record.drainSignal)
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// RetainOnly marks all endpoints as gone that are missing from a complete list.
func (e *Endpoints) RetainOnly(listed []balancer.Endpoint) {
	isListed := make(map[balancer.EndpointID]bool, len(listed)) // keeps updates with thousands of endpoints fast
	for _, endpoint := range listed {
		isListed[endpoint.ID] = true
	}
	for _, endpoint := range e.List() {
		if endpoint.State != balancer.StateGone && !isListed[endpoint.ID] {
			e.Update(endpoint.ID, "", balancer.StateGone)
		}
	}
}

// Find returns an endpoint that has been listed; it may be draining or gone.
func (e *Endpoints) Find(id balancer.EndpointID) (Endpoint, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.byID[id]
	if record == nil || record.Draining == nil {
		return Endpoint{}, false
	}
	return record.Endpoint, true
}

// List returns all endpoints, sorted by name, including those never listed.
func (e *Endpoints) List() []Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Endpoint, 0, len(e.byID))
	for _, record := range e.byID {
		list = append(list, record.Endpoint)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// CountByState returns the number of endpoints in each state, indexed by State.
func (e *Endpoints) CountByState() [3]int64 {
	var counts [3]int64
	for _, endpoint := range e.List() {
		counts[endpoint.State]++
	}
	return counts
}
