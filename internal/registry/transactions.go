package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
)

// Stage is how far a transaction has come.
type Stage uint8

// The stages of a transaction, in their order.
const (
	StageWaiting     Stage = iota // for a decision
	StageAttempting               // a pass is out
	StageEstablished              // it stands at an application server
)

func (s Stage) String() string { return [...]string{"waiting", "out", "open"}[s] }

// Request is one that is under way.
type Request struct {
	Number   uint64
	Front    string
	Name     string // as the client calls it
	Class    string
	Since    time.Duration
	Stage    Stage
	Endpoint balancer.EndpointID
	Attempts int
}

// Requests holds those under way. It is safe for concurrent use.
type Requests struct {
	mu    sync.Mutex
	last  uint64
	all   map[uint64]*Request
	names map[RequestName]struct{} // of those that have one

	elsewhere map[RequestName]struct{} // under way in another process of this relay
}

// RequestName is what a transaction goes by outside. A process hands those under way to the next as JSON.
type RequestName struct {
	Front string `json:"Front"`
	Name  string `json:"Name"`
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{all: make(map[uint64]*Request), names: make(map[RequestName]struct{})}
}

// Add enters a transaction and returns its number. It fails if another of that
// front and name is under way.
func (t *Requests) Add(x Request) (number uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	by := RequestName{x.Front, x.Name}
	_, taken := t.names[by]
	if _, other := t.elsewhere[by]; taken || other {
		return 0, false
	}
	if x.Name != "" {
		t.names[by] = struct{}{}
	}
	t.last++
	x.Number = t.last
	t.all[x.Number] = &x
	return x.Number, true
}

// Reserve keeps names that are under way in another process of this relay from being
// used here, until Adopt or Release.
func (t *Requests) Reserve(names []RequestName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.elsewhere = make(map[RequestName]struct{}, len(names))
	for _, n := range names {
		t.elsewhere[n] = struct{}{}
	}
}

// Release gives up all names reserved: the other process has ended.
func (t *Requests) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.elsewhere = nil
}

// Adopt enters a transaction that comes from another process.
func (t *Requests) Adopt(x Request) (number uint64, ok bool) {
	t.mu.Lock()
	delete(t.elsewhere, RequestName{x.Front, x.Name})
	t.mu.Unlock()
	return t.Add(x)
}

// Names returns those under way that have one.
func (t *Requests) Names() []RequestName {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.names))
}

// Number gives out the number of a transaction that is never entered.
func (t *Requests) Number() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	return t.last
}

// Set notes how far a transaction has come.
func (t *Requests) Set(number uint64, stage Stage, server balancer.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.all[number]; x != nil {
		if stage == StageAttempting {
			x.Attempts++
		}
		x.Stage, x.Endpoint = stage, server
	}
}

// Remove takes out a transaction that is over.
func (t *Requests) Remove(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.all[number]; x != nil {
		delete(t.names, RequestName{x.Front, x.Name})
		delete(t.all, number)
	}
}

// CountByStage returns how many are at each stage.
func (t *Requests) CountByStage() [3]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n [3]int64
	for _, x := range t.all {
		n[x.Stage]++
	}
	return n
}

// Len returns how many are under way.
func (t *Requests) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.all)
}

// List returns those under way, in the order in which they came.
func (t *Requests) List() []Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Request, 0, len(t.all))
	for _, x := range t.all {
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b Request) int { return cmp.Compare(a.Number, b.Number) })
	return list
}
