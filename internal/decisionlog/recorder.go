package decisionlog

import (
	"math"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// recorder writes the entry of one request. Its events come from the proxy's event loop
// and from the request's own goroutines. The pool's lock guards the fields below the
// first group, which never changes.
type recorder struct {
	log       *Log
	number    uint64
	request   proxy.Request
	startedAt time.Duration

	head     uint32 // block that the chain begins at; noBlock if it never had one
	lastHold repeatedHold
}

var _ proxy.RequestObserver = (*recorder)(nil)

// repeatedHold is the last event, if that is a decision to hold the request. The same
// decision again is counted there, as a request that waits for long is held every tenth
// of a second.
type repeatedHold struct {
	reason balancer.Reason
	block  uint32 // block of the event's word that counts; noBlock if there is no such event
	word   int    // index of that word in its block
	count  uint64 // of repetitions
}

// startChain begins the request's chain, whose sequence is odd after it. It reports
// whether there was room. The caller holds the pool's lock.
func (r *recorder) startChain(flags uint64) bool {
	head := r.log.pool.newChain(categoryPending)
	if head == noBlock {
		r.log.eventsLost.Add(1)
		return false
	}
	r.head, r.lastHold.block = head, noBlock
	r.writeHead(flags)
	return true
}

// writeHead writes the words of the chain's head.
func (r *recorder) writeHead(flags uint64) {
	log, request := r.log, &r.request
	if request.Returning {
		flags |= flagReturning
	}
	if request.Established {
		flags |= flagResumed
	}
	nameLength := min(len(request.Name), maxNameBytes)
	facts := log.internName(request.Class) |
		log.internName(request.Frontend)<<8 |
		flags<<16 |
		uint64(nameLength)<<32 |
		log.internName(request.Tenant)<<40
	store := func(word int, value uint64) { log.pool.store(r.head, word, value) }
	atomic.StoreUint32(&log.pool.headHints[r.number%uint64(log.pool.blockCount)], r.head)
	store(headNumber, r.number)
	store(headStartedAt, uint64(r.startedAt))
	store(headGroup, request.Group)
	store(headItem, request.Item)
	store(headTimeLimit, uint64(max(0, request.Deadline-r.startedAt)))
	store(headLoad, math.Float64bits(request.ExpectedLoad))
	store(headFacts, facts)
	store(headHash, hashName(request.Name))
	for i := range maxNameBytes / bytesPerWord {
		store(headName+i, packBytes(request.Name[:nameLength], i*bytesPerWord))
	}
}

// lockChain takes the pool's lock and makes the chain's sequence odd for a change. A chain
// that has been evicted is begun anew, and marked so. It reports whether there is a chain;
// the pool's lock is held either way.
func (r *recorder) lockChain() bool {
	pool := r.log.pool
	pool.mu.Lock()
	if r.head != noBlock && tagOf(pool.load(r.head, 0)) == tagHead && pool.load(r.head, headNumber) == r.number {
		pool.beginUpdate(r.head)
		return true
	}
	return r.startChain(flagHeadEvicted)
}

// appendEvent appends an event, sets flags, and moves the entry to a category, unless that
// is keepCategory. A pinned entry stays pinned.
func (r *recorder) appendEvent(flags uint64, to category, event []uint64) {
	pool := r.log.pool
	defer pool.mu.Unlock()
	if !r.lockChain() {
		return
	}
	defer pool.endUpdate(r.head)
	r.appendLocked(flags, to, event)
}

// appendLocked does the same for a chain that lockChain has locked.
func (r *recorder) appendLocked(flags uint64, to category, event []uint64) {
	pool := r.log.pool
	r.lastHold.block = noBlock
	if flags&flagEnded == 0 && pool.chainLength(r.head) >= maxChainBlocks || !pool.appendWords(r.head, event) {
		flags |= flagEventsOmitted
		r.log.eventsLost.Add(1)
	}
	facts := pool.load(r.head, headFacts) | flags<<16
	pool.store(r.head, headFacts, facts)
	current := categoryOf(pool.load(r.head, 0))
	if (to == categoryRoutine || current == categoryRoutine) && facts>>16&(flagHeld|flagFailed) != 0 {
		to = categoryNotable
	}
	if current != categoryPinned && to != keepCategory && (to != current || flags&flagEnded != 0) {
		pool.moveToCategory(r.head, to)
	}
}

// Decided records a decision of the balancer. A decision that comes after the end, as when
// the client leaves just as its deadline passes, had no effect and is ignored.
func (r *recorder) Decided(decision *balancer.Decision) {
	pool := r.log.pool
	defer pool.mu.Unlock()
	if !r.lockChain() {
		return
	}
	defer pool.endUpdate(r.head)
	if pool.load(r.head, headFacts)>>16&flagEnded != 0 || r.countRepeatedHold(decision) {
		return
	}
	var room [decisionWords + consideredWords*balancer.MaxConsidered]uint64
	event := encodeDecision(room[:0], decision)
	block, word := pool.lastBlock[r.head], usedOf(pool.load(pool.lastBlock[r.head], 0))+repeatsWord
	r.appendLocked(decisionFlags(decision), keepCategory, event)
	if decision.Verdict != balancer.VerdictHeld || pool.lastBlock[r.head] == block && word >= blockWords {
		return // there is nothing to count, or the event did not fit
	}
	for ; word >= blockWords; word -= blockWords - 1 {
		block = nextOf(pool.load(block, 0))
	}
	r.lastHold = repeatedHold{reason: decision.Reason, block: block, word: word}
}

// countRepeatedHold counts a decision that repeats the last event, and reports whether it
// does.
func (r *recorder) countRepeatedHold(decision *balancer.Decision) bool {
	hold := &r.lastHold
	if decision.Verdict != balancer.VerdictHeld || hold.block == noBlock || hold.reason != decision.Reason {
		return false
	}
	hold.count++
	pool := r.log.pool
	rest := pool.load(hold.block, hold.word) &^ (maxRepeats << repeatsShift)
	pool.store(hold.block, hold.word, rest|min(hold.count, maxRepeats)<<repeatsShift)
	return true
}

// decisionFlags returns the flags that a decision sets.
func decisionFlags(decision *balancer.Decision) uint64 {
	switch {
	case decision.Verdict == balancer.VerdictHeld && decision.Reason != balancer.ReasonBackoff:
		return flagHeld
	case decision.Verdict == balancer.VerdictRejected,
		decision.Verdict == balancer.VerdictFailed,
		decision.Reason == balancer.ReasonLoadRelief,
		decision.Attempt > 1:
		return flagFailed
	}
	return 0
}

// AttemptStarted records the start of an attempt; what it returns records how it ended.
func (r *recorder) AttemptStarted(endpoint balancer.EndpointID) func(status balancer.AttemptStatus) {
	r.appendShortEvent(EventAttemptStarted, uint64(endpoint), 0, keepCategory)
	return func(status balancer.AttemptStatus) {
		var flags uint64
		if status != balancer.StatusOK && status != balancer.StatusCancelled {
			flags = flagFailed
		}
		r.appendShortEvent(EventAttemptEnded, uint64(endpoint)|uint64(status)<<32, flags, keepCategory)
	}
}

// Established records that the client was notified that its request is established.
func (r *recorder) Established() { r.appendShortEvent(EventEstablished, 0, 0, categoryRoutine) }

// Ended records the final answer, or how an established request ended.
func (r *recorder) Ended(result proxy.Result) {
	flags := uint64(flagEnded)
	switch result.End {
	case registry.EndRejected, registry.EndFailed, registry.EndHeartbeatTimeout:
		flags |= flagFailed
	}
	r.appendShortEvent(EventEnded, encodeResult(result), flags, categoryRoutine)
}

// appendShortEvent appends an event that has a single word of its own.
func (r *recorder) appendShortEvent(kind EventKind, value, flags uint64, to category) {
	event := []uint64{uint64(kind) | shortEventWords<<8, uint64(r.log.clock.Now()), value}
	r.appendEvent(flags, to, event)
}
