package record

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

// Transaction is what is kept of one: the reader's own copy.
type Transaction struct {
	Number   uint64
	Front    string
	Class    string
	Tenant   string // "" if it has none
	Name     string // as the client calls it, or its first part
	NameCut  bool
	Group    uint64        // 0 if none
	Item     uint64        // 0 if none; in the platform's protocol the key of the flow
	Began    time.Duration // on the relay's clock
	Patience time.Duration // that its client had then
	Load     float64       // expected, in seconds of work a second; 0 if unknown
	Return   bool          // its client was back after a break or a move
	Open     bool          // it was open at a server before the relay's start
	Cut      bool          // its first steps are no longer kept
	Full     bool          // not all of its steps were kept
	Eventful bool
	Pinned   bool
	Ended    bool
	Steps    []Step
	block    uint32
	hash     uint64                        // of the whole name
	believed []balancer.ConsideredEndpoint // of all decisions
}

// Clone returns a copy that shares nothing.
func (t *Transaction) Clone() *Transaction {
	c := *t
	c.Steps = slices.Clone(t.Steps)
	for i := range c.Steps {
		c.Steps[i].Decision.Considered = slices.Clone(c.Steps[i].Decision.Considered)
	}
	c.believed = nil
	return &c
}

// StepKind tells what a step is.
type StepKind uint8

// The kinds of step.
const (
	Decided  StepKind = stepDecided // by the module: Decision and Again
	PassOut  StepKind = stepPass    // a proxy pass to Server begins
	PassBack StepKind = stepPassed  // the pass to Server ended as How, accepted if that is balancer.StatusOK
	Up       StepKind = stepUp      // the module has it standing
	Final    StepKind = stepEnded   // Final says how
)

// Step is one thing that happened to a transaction.
type Step struct {
	Kind     StepKind
	At       time.Duration // on the relay's clock
	Decision balancer.Decision
	Again    int // times that the same was decided again right after
	Server   balancer.EndpointID
	How      balancer.AttemptStatus
	Final    proxy.Result
}

// Answer is how the transaction ended, and false if it has not, or not in what is kept.
func (t *Transaction) Answer() (proxy.Result, bool) {
	if n := len(t.Steps); n > 0 && t.Steps[n-1].Kind == Final {
		return t.Steps[n-1].Final, true
	}
	return proxy.Result{}, false
}

// AnswerName is the word for how it ended, or how far it has come: "waiting" or "up".
func (t *Transaction) AnswerName() string {
	if f, ok := t.Answer(); ok {
		return f.End.String()
	}
	if slices.ContainsFunc(t.Steps, func(s Step) bool { return s.Kind == Up }) {
		return "up"
	}
	return "waiting"
}

// Last is the time of its last step.
func (t *Transaction) Last() time.Duration {
	if n := len(t.Steps); n > 0 {
		return t.Steps[n-1].At
	}
	return t.Began
}

// Passes are the servers that it was sent to, with the outcomes, in order. A pass
// that is out has no outcome yet.
func (t *Transaction) Passes() []Pass {
	var all []Pass
	for _, s := range t.Steps {
		switch s.Kind {
		case PassOut:
			all = append(all, Pass{Server: s.Server, Out: true, Began: s.At})
		case PassBack:
			if n := len(all); n > 0 && all[n-1].Out && all[n-1].Server == s.Server {
				all[n-1].Out, all[n-1].How, all[n-1].Took = false, s.How, s.At-all[n-1].Began
			}
		}
	}
	return all
}

// Pass is a proxy pass as it went.
type Pass struct {
	Server balancer.EndpointID
	How    balancer.AttemptStatus
	Out    bool // it has not ended
	Began  time.Duration
	Took   time.Duration
}

// ErrGone says that a transaction was kept and is no longer.
var ErrGone = errors.New("no longer kept")

// ErrNever says that there has been no such transaction.
var ErrNever = errors.New("has not come")

// Number returns the transaction of a number. The error wraps ErrGone or ErrNever.
func (r *Record) Number(number uint64) (*Transaction, error) {
	if number == 0 || number > r.last.Load() {
		return nil, fmt.Errorf("transaction %d %w: the last was %d", number, ErrNever, r.last.Load())
	}
	// Most are where their number was last seen; that spares a look at all blocks.
	hint := atomic.LoadUint32(&r.ring.hints[number%uint64(r.ring.blocks)])
	if words, ok := r.ring.copyChain(hint, nil); ok && words[headNumber] == number {
		t := &Transaction{block: hint}
		r.decode(t, words)
		return t, nil
	}
	var found *Transaction
	r.each(func(word func(int) uint64) bool { return word(headNumber) == number }, func(t *Transaction) bool {
		found = t.Clone()
		return false
	})
	if found == nil {
		return nil, fmt.Errorf("transaction %d is %w", number, ErrGone)
	}
	return found, nil
}

// Name returns the transactions of a name, or of a flow's key in hexadecimal as
// clients write it, the youngest first. The error wraps ErrGone if one of that name
// may have been dropped, and ErrNever if none has.
func (r *Record) Name(name string) ([]*Transaction, error) {
	hash := hashOf(name)
	item, _ := parseKey(name)
	var all []*Transaction
	r.each(func(word func(int) uint64) bool {
		return word(headHash) == hash || item != 0 && word(headItem) == item
	}, func(t *Transaction) bool {
		all = append(all, t.Clone())
		return true
	})
	if len(all) > 0 {
		slices.SortFunc(all, func(x, y *Transaction) int { return cmp.Compare(y.Number, x.Number) })
		return all, nil
	}
	if s := r.Stats(); s.DroppedAll() == 0 {
		return nil, fmt.Errorf("a transaction called %q %w: all since the start are kept", name, ErrNever)
	}
	return nil, fmt.Errorf("a transaction called %q is %w, if it came", name, ErrGone)
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
func (r *Record) Each(do func(*Transaction) bool) {
	r.each(func(func(int) uint64) bool { return true }, do)
}

// Related calls do for each transaction that shares its name, flow or group with
// another, which may be among them, until it returns false; as Each does.
func (r *Record) Related(t *Transaction, do func(*Transaction) bool) {
	r.each(func(word func(int) uint64) bool {
		return word(headHash) == t.hash || t.Item != 0 && word(headItem) == t.Item || t.Group != 0 && word(headGroup) == t.Group
	}, do)
}

// each calls do for the transactions whose heads want it to.
func (r *Record) each(want func(word func(int) uint64) bool, do func(*Transaction) bool) {
	words := make([]uint64, 0, chainMost*blockWords)
	t := &Transaction{}
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
func (r *Record) decode(t *Transaction, w []uint64) {
	facts, flags := w[headFacts], w[headFacts]>>16&0xffff
	has := func(flag uint64) bool { return flags&flag != 0 }
	*t = Transaction{
		Steps: t.Steps[:0], believed: t.believed[:0], block: t.block,
		Number: w[headNumber], Began: time.Duration(w[headBegan]), Group: w[headGroup], Item: w[headItem],
		Patience: time.Duration(w[headPatience]), Load: math.Float64frombits(w[headLoad]),
		Class: r.name(facts & 0xff), Front: r.name(facts >> 8 & 0xff), Tenant: r.name(facts >> 40 & 0xff),
		Return: has(flagReturn), Open: has(flagOpen), Cut: has(flagCut), Full: has(flagFull),
		Eventful: has(flagHeld) || has(flagBad), Pinned: listOf(w[0]) == pinned, Ended: has(flagEnded),
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
		t.Steps = append(t.Steps, t.step(w[:n]))
		w = w[n:]
	}
}

func (t *Transaction) step(w []uint64) Step {
	s := Step{Kind: StepKind(w[0] & 0xff), At: time.Duration(w[1])}
	switch s.Kind {
	case Decided:
		s.Again = int(w[2] >> 32 & 0xffff)
		s.Decision = t.decision(w)
	case PassOut:
		s.Server = balancer.EndpointID(w[2])
	case PassBack:
		s.Server, s.How = balancer.EndpointID(w[2]), balancer.AttemptStatus(w[2]>>32)
	case Final:
		s.Final = proxy.Result{
			RetryAfter: time.Duration(w[2]&math.MaxUint32) * time.Microsecond,
			End:        registry.End(w[2] >> 32), Cause: proxy.EndCause(w[2] >> 40), Status: balancer.AttemptStatus(w[2] >> 48),
		}
	}
	return s
}

func (t *Transaction) decision(w []uint64) balancer.Decision {
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

// ErrPins says that pins hold all that they may.
var ErrPins = errors.New("the share for pins is used up")

// Pin keeps a transaction until it is unpinned, or lets it go again. The errors are
// those of Number, and one that wraps ErrPins.
func (r *Record) Pin(number uint64, on bool) error {
	t, err := r.Number(number)
	if err != nil {
		return err
	}
	g := r.ring
	g.mu.Lock()
	defer g.mu.Unlock()
	if tagOf(g.load(t.block, 0)) != tagHead || g.load(t.block, headNumber) != number {
		return fmt.Errorf("transaction %d is %w", number, ErrGone)
	}
	now := listOf(g.load(t.block, 0))
	switch {
	case on == (now == pinned):
		return nil
	case on && int(g.held[pinned].Load())+g.length(t.block) > g.blocks*pinnedShare/100:
		return fmt.Errorf("transaction %d: %w: %d are pinned; unpin one first", number, ErrPins, g.chains[pinned].Load())
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
	Bytes   int            // of memory, all told
	Blocks  int            // that it is cut into
	Kept    map[string]int // transactions, by kind
	Held    map[string]int // blocks, by kind
	Dropped map[string]uint64
	Lost    uint64        // steps that there was no room for
	Began   uint64        // number of the youngest transaction begun
	Horizon time.Duration // when the youngest of those dropped began; 0 if none was
}

// Kinds are the names of the lists that transactions are kept in.
var Kinds = [lists]string{"under-way", "uneventful", "eventful", "pinned"}

// DroppedAll is how many transactions were dropped, of all kinds.
func (s Stats) DroppedAll() (n uint64) {
	for _, d := range s.Dropped {
		n += d
	}
	return n
}

// Stats counts, without holding writers up: figures of a moment when much is going
// on need not add up.
func (r *Record) Stats() Stats {
	g := r.ring
	s := Stats{
		Bytes: r.Bytes(), Blocks: g.blocks, Lost: r.lost.Load(), Began: r.last.Load(), Horizon: time.Duration(g.horizon.Load()),
		Kept: make(map[string]int), Held: make(map[string]int), Dropped: make(map[string]uint64),
	}
	for l, name := range Kinds {
		s.Kept[name], s.Held[name] = int(g.chains[l].Load()), int(g.held[l].Load())
		s.Dropped[name] = g.dropped[l].Load()
	}
	return s
}

// Clock is the clock that the times are on.
func (r *Record) Clock() proxy.Clock { return r.clock }

var _ proxy.Observer = (*Record)(nil)
