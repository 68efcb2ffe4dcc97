package decisionlog

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// Entry is what is kept of one: the reader's own copy.
type Entry struct {
	Number        uint64
	Front         string
	Class         string
	Tenant        string // "" if it has none
	Name          string // as the client calls it, or its first part
	NameCut       bool
	Group         uint64        // 0 if none
	Item          uint64        // 0 if none; in the platform's protocol the key of the flow
	StartedAt     time.Duration // on the relay's clock
	TimeLimit     time.Duration // that its client had then
	Load          float64       // expected, in seconds of work a second; 0 if unknown
	Returning     bool          // its client was back after a break or a move
	Resumed       bool          // it was open at a server before the relay's start
	HeadEvicted   bool          // its first steps are no longer kept
	EventsOmitted bool          // not all of its steps were kept
	Notable       bool
	Pinned        bool
	Ended         bool
	Events        []Event
	block         uint32
	hash          uint64                        // of the whole name
	believed      []balancer.ConsideredEndpoint // of all decisions
}

// Clone returns a copy that shares nothing.
func (t *Entry) Clone() *Entry {
	c := *t
	c.Events = slices.Clone(t.Events)
	for i := range c.Events {
		c.Events[i].Decision.Considered = slices.Clone(c.Events[i].Decision.Considered)
	}
	c.believed = nil
	return &c
}

// EventKind tells what a step is.
type EventKind uint8

// The kinds of step.
const (
	EventDecision       EventKind = stepDecided // by the module: Decision and Again
	EventAttemptStarted EventKind = stepPass    // a proxy pass to Server begins
	EventAttemptEnded   EventKind = stepPassed  // the pass to Server ended as How, accepted if that is balancer.StatusOK
	EventEstablished    EventKind = stepUp      // the module has it standing
	EventEnded          EventKind = stepEnded   // Final says how
)

// Event is one thing that happened to a transaction.
type Event struct {
	Kind     EventKind
	At       time.Duration // on the relay's clock
	Decision balancer.Decision
	Repeats  int // times that the same was decided again right after
	Endpoint balancer.EndpointID
	Status   balancer.AttemptStatus
	Result   proxy.Result
}

// Result is how the transaction ended, and false if it has not, or not in what is kept.
func (t *Entry) Result() (proxy.Result, bool) {
	if n := len(t.Events); n > 0 && t.Events[n-1].Kind == EventEnded {
		return t.Events[n-1].Result, true
	}
	return proxy.Result{}, false
}

// ResultName is the word for how it ended, or how far it has come: "waiting" or "up".
func (t *Entry) ResultName() string {
	if f, ok := t.Result(); ok {
		return f.End.String()
	}
	if slices.ContainsFunc(t.Events, func(s Event) bool { return s.Kind == EventEstablished }) {
		return "up"
	}
	return "waiting"
}

// LastEventAt is the time of its last step.
func (t *Entry) LastEventAt() time.Duration {
	if n := len(t.Events); n > 0 {
		return t.Events[n-1].At
	}
	return t.StartedAt
}

// Attempts are the servers that it was sent to, with the outcomes, in order. A pass
// that is out has no outcome yet.
func (t *Entry) Attempts() []Attempt {
	var all []Attempt
	for _, s := range t.Events {
		switch s.Kind {
		case EventAttemptStarted:
			all = append(all, Attempt{Endpoint: s.Endpoint, InProgress: true, StartedAt: s.At})
		case EventAttemptEnded:
			if n := len(all); n > 0 && all[n-1].InProgress && all[n-1].Endpoint == s.Endpoint {
				all[n-1].InProgress, all[n-1].Status, all[n-1].Duration = false, s.Status, s.At-all[n-1].StartedAt
			}
		}
	}
	return all
}

// Attempt is a proxy pass as it went.
type Attempt struct {
	Endpoint   balancer.EndpointID
	Status     balancer.AttemptStatus
	InProgress bool // it has not ended
	StartedAt  time.Duration
	Duration   time.Duration
}

// ErrEvicted says that a transaction was kept and is no longer.
var ErrEvicted = errors.New("no longer kept")

// ErrUnknown says that there has been no such transaction.
var ErrUnknown = errors.New("has not come")

// Number returns the transaction of a number. The error wraps ErrGone or ErrNever.
func (r *Log) Number(number uint64) (*Entry, error) {
	if number == 0 || number > r.last.Load() {
		return nil, fmt.Errorf("transaction %d %w: the last was %d", number, ErrUnknown, r.last.Load())
	}
	// Most are where their number was last seen; that spares a look at all blocks.
	hint := atomic.LoadUint32(&r.ring.hints[number%uint64(r.ring.blocks)])
	if words, ok := r.ring.copyChain(hint, nil); ok && words[headNumber] == number {
		t := &Entry{block: hint}
		r.decode(t, words)
		return t, nil
	}
	var found *Entry
	r.each(func(word func(int) uint64) bool { return word(headNumber) == number }, func(t *Entry) bool {
		found = t.Clone()
		return false
	})
	if found == nil {
		return nil, fmt.Errorf("transaction %d is %w", number, ErrEvicted)
	}
	return found, nil
}

// Name returns the transactions of a name, or of a flow's key in hexadecimal as
// clients write it, the youngest first. The error wraps ErrGone if one of that name
// may have been dropped, and ErrNever if none has.
func (r *Log) Name(name string) ([]*Entry, error) {
	hash := hashOf(name)
	item, _ := parseKey(name)
	var all []*Entry
	r.each(func(word func(int) uint64) bool {
		return word(headHash) == hash || item != 0 && word(headItem) == item
	}, func(t *Entry) bool {
		all = append(all, t.Clone())
		return true
	})
	if len(all) > 0 {
		slices.SortFunc(all, func(x, y *Entry) int { return cmp.Compare(y.Number, x.Number) })
		return all, nil
	}
	if s := r.Stats(); s.DroppedAll() == 0 {
		return nil, fmt.Errorf("a transaction called %q %w: all since the start are kept", name, ErrUnknown)
	}
	return nil, fmt.Errorf("a transaction called %q is %w, if it came", name, ErrEvicted)
}

func parseKey(name string) (key uint64, ok bool) {
	if len(name) == 0 || len(name) > 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(name, "%x", &key)
	return key, err == nil && fmt.Sprintf("%0*x", len(name), key) == name
}

// Each calls do for each transaction that is kept, in no order, until it returns false.
// What do is given is used again for the next: it must keep a Clone.
func (r *Log) Each(do func(*Entry) bool) {
	r.each(func(func(int) uint64) bool { return true }, do)
}

// Related calls do for each transaction that shares its name, flow or group with
// another, which may be among them, until it returns false; as Each does.
func (r *Log) Related(t *Entry, do func(*Entry) bool) {
	r.each(func(word func(int) uint64) bool {
		return word(headHash) == t.hash || t.Item != 0 && word(headItem) == t.Item || t.Group != 0 && word(headGroup) == t.Group
	}, do)
}

// each calls do for the transactions whose heads want it to.
func (r *Log) each(want func(word func(int) uint64) bool, do func(*Entry) bool) {
	words := make([]uint64, 0, chainMost*blockWords)
	t := &Entry{}
	for b := range uint32(r.ring.blocks) {
		// A first look spares the copy; only the copy counts.
		if tagOf(r.ring.load(b, 0)) != tagHead || !want(func(i int) uint64 { return r.ring.load(b, i) }) {
			continue
		}
		var ok bool
		if words, ok = r.ring.copyChain(b, words); !ok || !want(func(i int) uint64 { return words[i] }) {
			continue
		}
		t.block = b
		if r.decode(t, words); !do(t) {
			return
		}
	}
}

// decode reads a chain's words into a transaction, whose room it uses again.
func (r *Log) decode(t *Entry, w []uint64) {
	facts, flags := w[headFacts], w[headFacts]>>16&0xffff
	has := func(flag uint64) bool { return flags&flag != 0 }
	*t = Entry{
		Events: t.Events[:0], believed: t.believed[:0], block: t.block,
		Number: w[headNumber], StartedAt: time.Duration(w[headBegan]), Group: w[headGroup], Item: w[headItem],
		TimeLimit: time.Duration(w[headPatience]), Load: math.Float64frombits(w[headLoad]),
		Class: r.name(facts & 0xff), Front: r.name(facts >> 8 & 0xff), Tenant: r.name(facts >> 40 & 0xff),
		Returning: has(flagReturn), Resumed: has(flagOpen), HeadEvicted: has(flagCut), EventsOmitted: has(flagFull),
		Notable: has(flagHeld) || has(flagBad), Pinned: listOf(w[0]) == pinned, Ended: has(flagEnded),
	}
	name := make([]byte, min(int(facts>>32&0xff), nameMost))
	for i := range name {
		name[i] = byte(w[headName+i/8] >> (8 * (i % 8)))
	}
	t.hash = w[headHash]
	t.Name, t.NameCut = string(name), hashOf(string(name)) != t.hash
	for w = w[blockWords:]; len(w) > 0; {
		n := int(w[0] >> 8 & 0xff)
		if n < 3 || n > len(w) {
			break
		}
		t.Events = append(t.Events, t.step(w[:n]))
		w = w[n:]
	}
}

func (t *Entry) step(w []uint64) Event {
	s := Event{Kind: EventKind(w[0] & 0xff), At: time.Duration(w[1])}
	switch s.Kind {
	case EventDecision:
		s.Repeats = int(w[2] >> 32 & 0xffff)
		s.Decision = t.decision(w)
	case EventAttemptStarted:
		s.Endpoint = balancer.EndpointID(w[2])
	case EventAttemptEnded:
		s.Endpoint, s.Status = balancer.EndpointID(w[2]), balancer.AttemptStatus(w[2]>>32)
	case EventEnded:
		s.Result = proxy.Result{
			RetryAfter: time.Duration(w[2]&math.MaxUint32) * time.Microsecond,
			End:        registry.End(w[2] >> 32), Cause: proxy.EndCause(w[2] >> 40), Status: balancer.AttemptStatus(w[2] >> 48),
		}
	}
	return s
}

func (t *Entry) decision(w []uint64) balancer.Decision {
	us := func(v uint64) time.Duration { return time.Duration(v&math.MaxUint32) * time.Microsecond }
	part := func(v uint64) float64 { return float64(v&0xffff) / 0xffff }
	// A time of which there may be none is one more than it is.
	maybe := func(v uint64) time.Duration {
		if v &= math.MaxUint32; v > 0 {
			return time.Duration(v-1) * time.Millisecond
		}
		return -1
	}
	d := balancer.Decision{
		At: time.Duration(w[1]), Verdict: balancer.Verdict(w[0] >> 16), Reason: balancer.Reason(w[0] >> 24),
		Attempt: int(w[0] >> 32 & 0xff), Preferred: int(w[0]>>48&0xff) - 1,
		Endpoint: balancer.EndpointID(w[2]), ReadyEndpoints: int(w[2] >> 48),
		Wait: us(w[3]), TimeLeft: us(w[3] >> 32), Revision: w[4], ListAge: maybe(w[5]), SlowShare: part(w[5] >> 32),
	}
	from := len(t.believed)
	for f := w[6:]; len(f) >= 3; f = f[3:] {
		t.believed = append(t.believed, balancer.ConsideredEndpoint{
			Endpoint: balancer.EndpointID(f[0]), State: balancer.EndpointState(f[0] >> 32 & 3), Exclusions: balancer.Exclusions(f[0] >> 34 & 0x3fff),
			Weight: part(f[0] >> 48), Load: float64(math.Float32frombits(uint32(f[1]))), Warmth: part(f[1] >> 32),
			Probability: part(f[1] >> 48), Delay: us(f[2]), DelayAge: maybe(f[2] >> 32),
		})
	}
	if d.Considered = t.believed[from:len(t.believed):len(t.believed)]; len(d.Considered) == 0 {
		d.Considered = nil
	}
	return d
}

// ErrPinLimit says that pins hold all that they may.
var ErrPinLimit = errors.New("the share for pins is used up")

// Pin keeps a transaction until it is unpinned, or lets it go again. The errors are
// those of Number, and one that wraps ErrPins.
func (r *Log) Pin(number uint64, on bool) error {
	t, err := r.Number(number)
	if err != nil {
		return err
	}
	g := r.ring
	g.mu.Lock()
	defer g.mu.Unlock()
	if tagOf(g.load(t.block, 0)) != tagHead || g.load(t.block, headNumber) != number {
		return fmt.Errorf("transaction %d is %w", number, ErrEvicted)
	}
	now := listOf(g.load(t.block, 0))
	switch {
	case on == (now == pinned):
		return nil
	case on && int(g.held[pinned].Load())+g.length(t.block) > g.blocks*pinnedShare/100:
		return fmt.Errorf("transaction %d: %w: %d are pinned; unpin one first", number, ErrPinLimit, g.chains[pinned].Load())
	}
	g.open(t.block)
	defer g.shut(t.block)
	to := pinned
	if flags := g.load(t.block, headFacts) >> 16; !on && flags&flagEnded == 0 {
		to = underWay
	} else if !on && flags&(flagHeld|flagBad) != 0 {
		to = eventful
	} else if !on {
		to = plain
	}
	g.shift(t.block, to)
	return nil
}

// Stats tells what the record holds and what it has let go.
type Stats struct {
	Bytes       int            // of memory, all told
	Blocks      int            // that it is cut into
	Entries     map[string]int // transactions, by kind
	BlocksInUse map[string]int // blocks, by kind
	Dropped     map[string]uint64
	EventsLost  uint64        // steps that there was no room for
	LastNumber  uint64        // number of the youngest transaction begun
	Horizon     time.Duration // when the youngest of those dropped began; 0 if none was
}

// CategoryNames are the names of the lists that transactions are kept in.
var CategoryNames = [lists]string{"under-way", "uneventful", "eventful", "pinned"}

// DroppedAll is how many transactions were dropped, of all kinds.
func (s Stats) DroppedAll() (n uint64) {
	for _, d := range s.Dropped {
		n += d
	}
	return n
}

// Stats counts, without holding writers up: figures of a moment when much is going
// on need not add up.
func (r *Log) Stats() Stats {
	g := r.ring
	s := Stats{
		Bytes: r.Bytes(), Blocks: g.blocks, EventsLost: r.lost.Load(), LastNumber: r.last.Load(), Horizon: time.Duration(g.horizon.Load()),
		Entries: make(map[string]int), BlocksInUse: make(map[string]int), Dropped: make(map[string]uint64),
	}
	for l, name := range CategoryNames {
		s.Entries[name], s.BlocksInUse[name] = int(g.chains[l].Load()), int(g.held[l].Load())
		s.Dropped[name] = g.dropped[l].Load()
	}
	return s
}

// Clock is the clock that the times are on.
func (r *Log) Clock() proxy.Clock { return r.clock }

var _ proxy.Observer = (*Log)(nil)
