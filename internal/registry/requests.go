package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
)

// Stage is the progress of a request.
type Stage uint8

// The stages of a request, in their order.
const (
	StageWaiting     Stage = iota // waiting for the balancer's decision
	StageAttempting               // an attempt is in progress
	StageEstablished              // established at an endpoint
)

// String returns the name of a stage as shown to operators.
func (s Stage) String() string { return [...]string{"waiting", "out", "open"}[s] }

// Request is an open request.
type Request struct {
	Number   uint64 // unique in the process
	Frontend string // the frontend's name
	Name     string // given by the client; "" if it has none
	Class    string
	Since    time.Duration // start time on the proxy's clock
	Stage    Stage
	Endpoint balancer.EndpointID // of the last attempt
	Attempts int                 // number of attempts started
}

func (r *Request) requestName() RequestName { return RequestName{Frontend: r.Frontend, Name: r.Name} }

// RequestName is the name under which clients refer to an open request. A process sends the names of its open
// requests to the next process of its relay as JSON.
type RequestName struct {
	Frontend string `json:"Front"`
	Name     string `json:"Name"`
}

// Requests holds the open requests. It is safe for concurrent use.
type Requests struct {
	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	byNumber   map[uint64]*Request
	names      map[RequestName]struct{} // of the named open requests
	reserved   map[RequestName]struct{} // of requests that are open in another process of this relay
}

// NewRequests returns an empty table of requests.
func NewRequests() *Requests {
	return &Requests{
		byNumber: make(map[uint64]*Request),
		names:    make(map[RequestName]struct{}),
	}
}

// Add adds a request and returns the number that it assigns to it. It fails if a request
// of the same frontend and name is open in this or another process of this relay.
func (r *Requests) Add(request Request) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.add(request)
}

// add is Add for a caller that holds mu.
func (r *Requests) add(request Request) (number uint64, ok bool) {
	name := request.requestName()
	_, open := r.names[name]
	if _, reserved := r.reserved[name]; open || reserved {
		return 0, false
	}
	if name.Name != "" {
		r.names[name] = struct{}{}
	}
	r.lastNumber++
	request.Number = r.lastNumber
	r.byNumber[request.Number] = &request
	return request.Number, true
}

// Reserve reserves the names of requests that are open in another process of this relay.
// Adopt ends the reservation of one name, ReleaseReservations of all.
func (r *Requests) Reserve(names []RequestName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = make(map[RequestName]struct{}, len(names))
	for _, name := range names {
		r.reserved[name] = struct{}{}
	}
}

// Release ends the reservations of requests that have ended in the other process.
func (r *Requests) Release(names []RequestName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		delete(r.reserved, name)
	}
}

// ReleaseReservations ends all reservations. It is called after the other process has ended.
func (r *Requests) ReleaseReservations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = nil
}

// Adopt adds a request that another process has handed off, and ends the reservation of its
// name. It fails like Add.
func (r *Requests) Adopt(request Request) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, request.requestName()) // together with add, so that Names lists the name all the time
	return r.add(request)
}

// Names returns the names that Add refuses, in no particular order: those of the named open
// requests, and the reserved ones.
func (r *Requests) Names() []RequestName {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := slices.Collect(maps.Keys(r.names))
	for name := range r.reserved {
		if _, open := r.names[name]; !open {
			names = append(names, name)
		}
	}
	return names
}

// NextNumber returns a new number, for a request that is rejected without being added.
func (r *Requests) NextNumber() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	return r.lastNumber
}

// SetStage sets the stage and endpoint of a request, and counts an attempt if the stage is
// StageAttempting. It has no effect on a request that was removed.
func (r *Requests) SetStage(number uint64, stage Stage, endpoint balancer.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.byNumber[number]
	if request == nil {
		return
	}
	if stage == StageAttempting {
		request.Attempts++
	}
	request.Stage, request.Endpoint = stage, endpoint
}

// Remove removes a request that has ended. Later calls with its number have no effect.
func (r *Requests) Remove(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request := r.byNumber[number]; request != nil {
		delete(r.names, request.requestName())
		delete(r.byNumber, number)
	}
}

// CountByStage returns the number of open requests at each stage, indexed by Stage.
func (r *Requests) CountByStage() [3]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts [3]int64
	for _, request := range r.byNumber {
		counts[request.Stage]++
	}
	return counts
}

// Len returns the number of open requests.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byNumber)
}

// List returns the open requests in the order in which they were added.
func (r *Requests) List() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Request, 0, len(r.byNumber))
	for _, request := range r.byNumber {
		list = append(list, *request)
	}
	slices.SortFunc(list, func(a, b Request) int { return cmp.Compare(a.Number, b.Number) })
	return list
}
