package decisionlog

import (
	"math"
	"sync/atomic"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// recorder records the events of one request. Its methods are called by the proxy's event
// loop and by the request's own goroutines.
type recorder struct {
	log       *Log
	number    uint64
	request   proxy.Request
	startedAt time.Duration

	// Guarded by the pool's lock.
	head     uint32 // head block of the chain; noBlock if the request has had no chain yet
	lastHold repeatedHold
}

var _ proxy.RequestObserver = (*recorder)(nil)

// repeatedHold locates the last event of a request if that is a decision to hold it. If the
// balancer repeats the decision, as it does at a short interval while the request waits, the
// event's counter is incremented instead of appending another event.
type repeatedHold struct {
	reason balancer.Reason
	block  uint32 // block of the event's counter word; noBlock if the last event is not a hold
	word   int    // index of the counter word in the block
	count  uint64 // number of repetitions
}

// startChain allocates the request's chain and writes its head. It leaves the chain's
// sequence odd, and reports whether there was memory. The caller must hold the pool's lock.
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

// writeHead writes the head of the request's chain.
func (r *recorder) writeHead(flags uint64) {
	log, request := r.log, &r.request
	if request.Returning {
		flags |= flagReturning
	}
	if request.Established {
		flags |= flagResumed
	}
	nameLength := min(len(request.Name), maxNameBytes)
	attributes := log.internName(request.Class) |
		log.internName(request.Frontend)<<8 |
		flags<<16 |
		uint64(nameLength)<<32 |
		log.internName(request.Tenant)<<40
	store := func(word int, value uint64) { log.pool.store(r.head, word, value) }
	atomic.StoreUint32(&log.pool.headHints[r.number%uint64(log.pool.blockCount)], r.head)
	store(headNumber, r.number)
	store(headStartedAt, uint64(r.startedAt))
	store(headGroup, request.Group)
	store(headFlow, request.Item)
	store(headTimeLimit, uint64(max(0, request.Deadline-r.startedAt)))
	store(headLoad, math.Float64bits(request.ExpectedLoad))
	store(headAttributes, attributes)
	store(headHash, hashName(request.Name))
	for i := range maxNameBytes / bytesPerWord {
		store(headName+i, packBytes(request.Name[:nameLength], i*bytesPerWord))
	}
}

// lockChain takes the pool's lock and makes the chain's sequence odd for a change. If the
// chain was evicted, it starts a new one with flagHeadEvicted. It returns false if there is
// no memory for one; the pool's lock is held either way.
func (r *recorder) lockChain() bool {
	pool := r.log.pool
	pool.mu.Lock()
	if r.head != noBlock && tagOf(pool.load(r.head, 0)) == tagHead && pool.load(r.head, headNumber) == r.number {
		pool.beginUpdate(r.head)
		return true
	}
	return r.startChain(flagHeadEvicted)
}

// appendEvent locks the chain, appends an event, sets flags, and moves the entry to a
// category unless that is keepCategory. A pinned entry stays pinned.
func (r *recorder) appendEvent(flags uint64, to category, event []uint64) {
	pool := r.log.pool
	defer pool.mu.Unlock()
	if !r.lockChain() {
		return
	}
	defer pool.endUpdate(r.head)
	r.appendLocked(flags, to, event)
}

// appendLocked is appendEvent for a chain that lockChain has locked. Of a full chain, it
// appends only the final event.
func (r *recorder) appendLocked(flags uint64, to category, event []uint64) {
	pool := r.log.pool
	r.lastHold.block = noBlock
	if flags&flagEnded == 0 && pool.chainLength(r.head) >= maxChainBlocks || !pool.appendWords(r.head, event) {
		flags |= flagEventsOmitted
		r.log.eventsLost.Add(1)
	}
	attributes := pool.load(r.head, headAttributes) | flags<<16
	pool.store(r.head, headAttributes, attributes)
	current := categoryOf(pool.load(r.head, 0))
	if (to == categoryRoutine || current == categoryRoutine) && attributes>>16&(flagHeld|flagFailed) != 0 {
		to = categoryNotable
	}
	if current != categoryPinned && to != keepCategory && (to != current || flags&flagEnded != 0) {
		pool.moveToCategory(r.head, to)
	}
}

// Decided records a decision of the balancer. It ignores a decision after the end of the
// request, which had no effect: for example, a deadline that passes as the client leaves.
func (r *recorder) Decided(decision *balancer.Decision) {
	pool := r.log.pool
	defer pool.mu.Unlock()
	if !r.lockChain() {
		return
	}
	defer pool.endUpdate(r.head)
	if pool.load(r.head, headAttributes)>>16&flagEnded != 0 || r.countRepeatedHold(decision) {
		return
	}
	var buffer [decisionWords + consideredWords*balancer.MaxConsidered]uint64
	event := encodeDecision(buffer[:0], decision)
	block, word := pool.lastBlock[r.head], usedOf(pool.load(pool.lastBlock[r.head], 0))+repeatsWord
	r.appendLocked(decisionFlags(decision), keepCategory, event)
	if decision.Verdict != balancer.VerdictHeld || pool.lastBlock[r.head] == block && word >= blockWords {
		return // the decision is not a hold, or the event was omitted
	}
	for ; word >= blockWords; word -= blockWords - 1 {
		block = nextOf(pool.load(block, 0))
	}
	r.lastHold = repeatedHold{reason: decision.Reason, block: block, word: word}
}

// countRepeatedHold increments the counter of the last event if a decision repeats it, and
// reports whether it does.
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

// decisionFlags returns the entry's flags that a decision sets.
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

// AttemptStarted records the start of an attempt. The function it returns records its end.
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

// Established records that the client was notified of its established request.
func (r *recorder) Established() { r.appendShortEvent(EventEstablished, 0, 0, categoryRoutine) }

// Ended records the end of the request.
func (r *recorder) Ended(result proxy.Result) {
	flags := uint64(flagEnded)
	switch result.End {
	case registry.EndRejected, registry.EndFailed, registry.EndHeartbeatTimeout:
		flags |= flagFailed
	}
	r.appendShortEvent(EventEnded, encodeResult(result), flags, categoryRoutine)
}

// appendShortEvent appends an event with a single word of data.
func (r *recorder) appendShortEvent(kind EventKind, value, flags uint64, to category) {
	event := []uint64{uint64(kind) | shortEventWords<<8, uint64(r.log.clock.Now()), value}
	r.appendEvent(flags, to, event)
}
