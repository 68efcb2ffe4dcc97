package registry

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"

	"lockroad/balancer"
)

// State is an endpoint's state by the endpoint list.
type State = balancer.EndpointState

// StateName returns the name of a state, as operators read it.
func StateName(state State) string { return [...]string{"gone", "ready", "draining"}[state] }

// Endpoint is an endpoint as the list last named it.
type Endpoint struct {
	ID       balancer.EndpointID
	Name     string
	Address  string
	State    State
	Draining <-chan struct{} // closed once the endpoint drains or is gone; nil until a list has named it
}

// IsDraining reports whether the endpoint drains or is gone by now.
func (e Endpoint) IsDraining() bool { return isClosed(e.Draining) }

// Endpoints is the endpoint list, with an ID for each name that it was ever asked for.
// It is safe for concurrent use.
type Endpoints struct {
	mu       sync.Mutex // guards what follows
	byID     map[balancer.EndpointID]*endpointRecord
	idByName map[string]balancer.EndpointID
}

type endpointRecord struct {
	Endpoint
	drain chan struct{} // Endpoint.Draining, to close it
}

// NewEndpoints returns an empty endpoint list.
func NewEndpoints() *Endpoints {
	return &Endpoints{
		byID:     make(map[balancer.EndpointID]*endpointRecord),
		idByName: make(map[string]balancer.EndpointID),
	}
}

// AssignID returns the ID of an endpoint, and assigns one if it has none. It is the same at
// every relay: the hexadecimal end of the name, or else a hash of it. Two names never
// share one.
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

// preferredID returns the ID of a name while no other has it.
func preferredID(name string) balancer.EndpointID {
	suffix := name[strings.LastIndexByte(name, '-')+1:]
	if number, err := strconv.ParseUint(suffix, 16, 32); err == nil {
		return balancer.EndpointID(number)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return balancer.EndpointID(hash.Sum32())
}

// Lookup returns the ID of an endpoint that has one. Names that clients send are looked
// up and get no ID, as otherwise every unknown name would stay in memory.
func (e *Endpoints) Lookup(name string) (balancer.EndpointID, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, ok := e.idByName[name]
	return id, ok
}

// Name returns the name of an endpoint, or its ID as a decimal number if that was never
// assigned.
func (e *Endpoints) Name(id balancer.EndpointID) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if record := e.byID[id]; record != nil {
		return record.Name
	}
	return strconv.FormatUint(uint64(id), 10)
}

// Update takes an update of one endpoint; an empty address leaves the address as it is.
// Draining is closed at once where the endpoint drains or is gone, and made anew where
// it is ready again. An ID that was never assigned is ignored.
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
	if record.drain == nil || ready && isClosed(record.drain) {
		record.drain = make(chan struct{})
		record.Draining = record.drain
	}
	if !ready && !isClosed(record.drain) {
		close(record.drain)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// RetainOnly marks every endpoint as gone that a complete list leaves out.
func (e *Endpoints) RetainOnly(listed []balancer.Endpoint) {
	isListed := make(map[balancer.EndpointID]bool, len(listed)) // lists of thousands arrive while clients wait
	for _, endpoint := range listed {
		isListed[endpoint.ID] = true
	}
	for _, endpoint := range e.List() {
		if endpoint.State != balancer.StateGone && !isListed[endpoint.ID] {
			e.Update(endpoint.ID, "", balancer.StateGone)
		}
	}
}

// Find returns an endpoint that the list has named; it may be draining or gone.
func (e *Endpoints) Find(id balancer.EndpointID) (Endpoint, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.byID[id]
	if record == nil || record.Draining == nil {
		return Endpoint{}, false
	}
	return record.Endpoint, true
}

// List returns all endpoints, sorted by name.
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

// CountByState returns how many endpoints are in each state.
func (e *Endpoints) CountByState() [3]int64 {
	var counts [3]int64
	for _, endpoint := range e.List() {
		counts[endpoint.State]++
	}
	return counts
}
