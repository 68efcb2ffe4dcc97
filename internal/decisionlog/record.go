// Package decisionlog keeps why each recent transaction went where it went, within a
// fixed number of bytes.
//
// The turn loop and the goroutines of transactions write; what they write is a few
// words into memory that was set aside at the start, and makes no garbage. Readers
// copy whole transactions and never hold a writer up: see ring.go. When the memory
// is used up whole transactions go, the oldest first, by this rule:
//
//   - Uneventful ones go before eventful ones: those refused, failed, tried again,
//     made to wait, gone silent, or moved off a slow server. Eventful ones may hold
//     three quarters of the memory; past that the oldest of them goes.
//   - One whose client still waits for an answer goes last.
//   - One that is pinned stays until it is unpinned. Pins may hold an eighth.
//
// A transaction that stands for longer than the record reaches back may be gone when
// it ends. Then its end is kept by itself, and said to be all that is left.
//
// Who embeds a Record (1) sets it up before the first transaction, as the observer
// of a core, (2) never blocks in what it calls back, as there is nothing of the kind,
// and (3) asks from any goroutine, at any time.
package decisionlog

import (
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// Bytes that a Record may have.
const (
	MinBytes     = 512 << 10
	DefaultBytes = 2 << 20
	MaxBytes     = 1 << 30
)

// The words of a head, after the link.
const (
	headNumber = 1 + iota
	headBegan
	headGroup
	headItem
	headPatience
	headLoad
	headFacts // class, front, flags, length of the name, tenant
	headHash  // of the whole name
	headName  // its first bytes
)

const nameMost = 8 * (blockWords - headName)

// Flags among the facts of a head.
const (
	flagReturn = 1 << iota
	flagOpen
	flagCut    // its first steps are no longer kept
	flagFull   // it had more steps than are kept of one
	flagHeld   // it was made to wait
	flagBad    // a pass has failed, or its answer was none it wanted
	flagPinned // by hand
	flagEnded
)

// Kinds of steps.
const (
	stepDecided = 1 + iota
	stepPass
	stepPassed
	stepUp
	stepEnded
)

// Log is a bounded record of transactions. It is safe for concurrent use.
type Log struct {
	ring  *ring
	clock proxy.Clock
	names atomic.Pointer[[]string] // of classes and fronts, by number; only ever grows

	last atomic.Uint64 // number of the youngest transaction begun
	lost atomic.Uint64 // steps that there was no room for
}

// New returns an empty record of so many bytes, from LeastBytes to MostBytes.
func New(bytes int, clock proxy.Clock) (*Log, error) {
	if bytes < MinBytes || bytes > MaxBytes {
		return nil, fmt.Errorf("record: %d bytes are not within %d and %d", bytes, MinBytes, MaxBytes)
	}
	r := &Log{ring: newRing(bytes), clock: clock}
	r.names.Store(&[]string{})
	return r, nil
}

// Bytes is what the record's memory takes.
func (r *Log) Bytes() int { return r.ring.blocks * perBlock }

// word returns the number of a class's or front's name. There are few; past 255 the
// last stands for all.
func (r *Log) word(name string) uint64 {
	all := *r.names.Load()
	i := slices.Index(all, name)
	if i < 0 && len(all) < 255 {
		i = len(all)
		grown := append(slices.Clip(all), name)
		r.names.Store(&grown)
	}
	return uint64(max(0, i))
}

func (r *Log) name(i uint64) string {
	if all := *r.names.Load(); i < uint64(len(all)) {
		return all[i]
	}
	return ""
}

// trace is a transaction as it is written. Its steps come from the turn loop and
// from the transaction's own goroutines. All but what was there at the start is
// guarded by the ring's lock.
type trace struct {
	r      *Log
	number uint64
	ask    proxy.Request
	began  time.Duration

	head uint32
	hold holding
}

// holding is the last step, if that is a decision to hold. The same again is
// counted there: a transaction that waits for long is held every tenth of a second.
type holding struct {
	reason balancer.Reason
	block  uint32 // where the word of the step is that counts; none if there is no such step
	word   int
	count  uint64
}

// Began begins to keep a transaction.
func (r *Log) Began(number uint64, ask proxy.Request) proxy.RequestObserver {
	t := &trace{r: r, number: number, ask: ask, began: r.clock.Now(), head: none}
	t.hold.block = none
	r.ring.mu.Lock()
	defer r.ring.mu.Unlock()
	r.last.Store(max(number, r.last.Load()))
	if t.open(0) {
		r.ring.shut(t.head)
	}
	return t
}

// open begins the chain. Its epoch is odd then.
func (t *trace) open(flags uint64) bool {
	r := t.r
	head := r.ring.begin(underWay)
	if head == none {
		r.lost.Add(1)
		return false
	}
	t.head, t.hold.block = head, none
	if t.ask.Returning {
		flags |= flagReturn
	}
	if t.ask.Established {
		flags |= flagOpen
	}
	n := min(len(t.ask.Name), nameMost)
	s := func(i int, v uint64) { r.ring.store(head, i, v) }
	atomic.StoreUint32(&r.ring.hints[t.number%uint64(r.ring.blocks)], head)
	s(headNumber, t.number)
	s(headBegan, uint64(t.began))
	s(headGroup, t.ask.Group)
	s(headItem, t.ask.Item)
	s(headPatience, uint64(max(0, t.ask.Deadline-t.began)))
	s(headLoad, math.Float64bits(t.ask.ExpectedLoad))
	s(headFacts, r.word(t.ask.Class)|r.word(t.ask.Front)<<8|flags<<16|uint64(n)<<32|r.word(t.ask.Tenant)<<40)
	s(headHash, hashOf(t.ask.Name))
	for i := range nameMost / 8 {
		var w uint64
		for j := range 8 {
			if k := 8*i + j; k < n {
				w |= uint64(t.ask.Name[k]) << (8 * j)
			}
		}
		s(headName+i, w)
	}
	return true
}

// hashOf is FNV-1a of a name, without the garbage of a hash.Hash.
func hashOf(name string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 0x100000001b3
	}
	return h
}

// lock opens the chain for a change; one that has been dropped is begun anew, and
// says so. It tells whether there is a chain, and holds the ring's lock either way.
func (t *trace) lock() bool {
	r := t.r.ring
	r.mu.Lock()
	if t.head != none && tagOf(r.load(t.head, 0)) == tagHead && r.load(t.head, headNumber) == t.number {
		r.open(t.head)
		return true
	}
	return t.open(flagCut)
}

// write appends a step and sets flags. With to the transaction goes over to a list;
// a pinned one stays where it is.
func (t *trace) write(flags uint64, to list, step []uint64) {
	r := t.r.ring
	defer r.mu.Unlock()
	if !t.lock() {
		return
	}
	defer r.shut(t.head)
	t.append(flags, to, step)
}

// append appends a step to a chain that is open for a change.
func (t *trace) append(flags uint64, to list, step []uint64) {
	r := t.r.ring
	t.hold.block = none
	if flags&flagEnded == 0 && r.length(t.head) >= chainMost || !r.add(t.head, step) {
		flags |= flagFull
		t.r.lost.Add(1)
	}
	facts := r.load(t.head, headFacts) | flags<<16
	r.store(t.head, headFacts, facts)
	now := listOf(r.load(t.head, 0))
	if (to == plain || now == plain) && facts>>16&(flagHeld|flagBad) != 0 {
		to = eventful
	}
	if now != pinned && to != stay && (to != now || flags&flagEnded != 0) {
		r.shift(t.head, to)
	}
}

// Decided keeps a decision of the module. One that has crossed the end, as when the
// client leaves just as its time is up, came to nothing and is left aside.
func (t *trace) Decided(d *balancer.Decision) {
	r := t.r.ring
	defer r.mu.Unlock()
	if !t.lock() {
		return
	}
	defer r.shut(t.head)
	if r.load(t.head, headFacts)>>16&flagEnded != 0 {
		return
	}
	if h := &t.hold; d.Verdict == balancer.VerdictHeld && h.block != none && h.reason == d.Reason {
		h.count++
		r.store(h.block, h.word, r.load(h.block, h.word)&^(0xffff<<32)|min(h.count, 0xffff)<<32)
		return
	}
	var room [6 + 3*balancer.MaxConsidered]uint64
	step := encode(room[:0], d)
	var flags uint64
	switch {
	case d.Verdict == balancer.VerdictHeld && d.Reason != balancer.ReasonBackoff:
		flags = flagHeld
	case d.Verdict == balancer.VerdictRejected, d.Verdict == balancer.VerdictFailed, d.Reason == balancer.ReasonLoadRelief, d.Attempt > 1:
		flags = flagBad
	}
	block, word := r.tail[t.head], usedOf(r.load(r.tail[t.head], 0))+2
	t.append(flags, stay, step)
	if d.Verdict != balancer.VerdictHeld || r.tail[t.head] == block && word >= blockWords {
		return // nothing to count, or the step did not fit
	}
	for ; word >= blockWords; word -= blockWords - 1 {
		block = nextOf(r.load(block, 0))
	}
	t.hold = holding{reason: d.Reason, block: block, word: word}
}

// AttemptStarted keeps that a pass begins, and with what it returns how it ended.
func (t *trace) AttemptStarted(server balancer.EndpointID) func(how balancer.AttemptStatus) {
	t.note(stepPass, uint64(server), 0, stay)
	return func(how balancer.AttemptStatus) {
		var flags uint64
		if how != balancer.StatusOK && how != balancer.StatusCancelled {
			flags = flagBad
		}
		t.note(stepPassed, uint64(server)|uint64(how)<<32, flags, stay)
	}
}

// Established keeps that the client was told that it is up.
func (t *trace) Established() { t.note(stepUp, 0, 0, plain) }

// Ended keeps the final answer, or the end that a transaction which stood came to.
func (t *trace) Ended(f proxy.Result) {
	flags := uint64(flagEnded)
	switch f.End {
	case registry.EndRejected, registry.EndFailed, registry.EndHeartbeatTimeout:
		flags |= flagBad
	}
	us := min(uint64(f.RetryAfter/time.Microsecond), math.MaxUint32)
	t.note(stepEnded, us|uint64(f.End)<<32|uint64(f.Cause)<<40|uint64(f.Status)<<48, flags, plain)
}

// note keeps a step of one figure.
func (t *trace) note(kind uint64, figure, flags uint64, to list) {
	t.write(flags, to, []uint64{kind | 3<<8, uint64(t.r.clock.Now()), figure})
}

// encode appends the words of a decision.
func encode(to []uint64, d *balancer.Decision) []uint64 {
	n := len(d.Considered)
	to = append(to,
		stepDecided|uint64(6+3*n)<<8|uint64(d.Verdict)<<16|uint64(d.Reason)<<24|uint64(min(d.Attempt, 255))<<32|
			uint64(n)<<40|uint64(d.Preferred+1)<<48,
		uint64(d.At),
		uint64(d.Endpoint)|uint64(min(d.ReadyEndpoints, 0xffff))<<48, // between them: how often it was decided again
		clip(d.Wait, time.Microsecond)|clip(d.TimeLeft, time.Microsecond)<<32,
		d.Revision,
		clip(d.ListAge+time.Millisecond, time.Millisecond)|part(d.SlowShare)<<32) // 0: not known
	for _, f := range d.Considered {
		to = append(to,
			uint64(f.Endpoint)|uint64(f.State)<<32|uint64(f.Exclusions)<<34|part(f.Weight)<<48,
			uint64(math.Float32bits(float32(f.Load)))|part(f.Warmth)<<32|part(f.Probability)<<48,
			clip(f.Delay, time.Microsecond)|clip(f.DelayAge+time.Millisecond, time.Millisecond)<<32) // 0: none
	}
	return to
}

// clip is a time in a unit, within 32 bits.
func clip(d, unit time.Duration) uint64 { return uint64(min(max(d/unit, 0), math.MaxUint32)) }

// part is a number from 0 to 1 in 16 bits.
func part(x float64) uint64 { return uint64(math.Round(min(max(x, 0), 1) * 0xffff)) }
