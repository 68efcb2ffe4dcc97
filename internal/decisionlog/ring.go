package decisionlog

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// The ring's memory is cut into blocks of words. A transaction is a chain of
// blocks: a head, then as many as its steps need. Writers hold a lock among
// themselves for the time of some stores; readers hold none. A reader copies a
// chain word by word and takes the copy for good only if the head's epoch is even
// and the same before and after, as every change of a chain makes it odd first.
const (
	blockWords = 16
	blockBytes = 8 * blockWords
	// perBlock is what a block costs in all: its words, its epoch, its place in a list.
	perBlock = blockBytes + 8 + 4 + 4 + 4 + 4

	chainMost = 14 // blocks of one transaction, its end aside
	copyTries = 64 // of a reader at a chain that keeps changing

	// eventfulShare is the part of the blocks, in 100, that eventful transactions may
	// hold while there are others to keep; pinnedShare that of pinned ones, ever.
	eventfulShare = 75
	pinnedShare   = 12

	tagFree = 0
	tagHead = 1
	tagBody = 2

	none = ^uint32(0)
)

// list is where a transaction stands in the order in which transactions go.
type list uint8

const (
	underWay list = iota // its client waits for an answer
	plain                // it went where it was sent at once
	eventful             // refused, failed, tried again, made to wait, or moved off a slow server
	pinned               // kept by hand
	lists
	stay = lists // in the list where it is
)

// ring is the memory. The caller holds mu for all but what reads by epochs.
type ring struct {
	mu sync.Mutex

	blocks int
	words  []uint64 // blocks times blockWords; atomic
	epochs []uint64 // of chains, by their head; atomic

	older, newer []uint32 // of a head: its neighbours in its list; newer also links the free
	tail         []uint32 // of a head: the last block of its chain
	hints        []uint32 // where the chain of a number may begin, by the number's rest; atomic
	free         uint32
	oldest       [lists]uint32
	newest       [lists]uint32
	held         [lists]atomic.Int64 // blocks
	chains       [lists]atomic.Int64

	dropped [lists]atomic.Uint64 // whole transactions, by the list that they were in
	horizon atomic.Uint64        // when the youngest of them began
}

func newRing(bytes int) *ring {
	n := bytes / perBlock
	r := &ring{
		blocks: n, words: make([]uint64, n*blockWords), epochs: make([]uint64, n),
		older: make([]uint32, n), newer: make([]uint32, n), tail: make([]uint32, n),
		hints: make([]uint32, n),
	}
	for i := range n {
		r.newer[i] = uint32(i + 1)
	}
	r.newer[n-1] = none
	for l := range lists {
		r.oldest[l], r.newest[l] = none, none
	}
	return r
}

func (r *ring) at(block uint32, i int) *uint64 { return &r.words[int(block)*blockWords+i] }

func (r *ring) load(block uint32, i int) uint64 { return atomic.LoadUint64(r.at(block, i)) }

func (r *ring) store(block uint32, i int, v uint64) { atomic.StoreUint64(r.at(block, i), v) }

// open makes a chain's epoch odd: what is read of it from now on is not taken.
func (r *ring) open(head uint32) { atomic.AddUint64(&r.epochs[head], 1) }

// shut makes it even again.
func (r *ring) shut(head uint32) { atomic.AddUint64(&r.epochs[head], 1) }

// link is the first word of a block: its tag, how many of its words are used, and
// the next of its chain.
func link(tag, used int, next uint32) uint64 {
	return uint64(tag) | uint64(used)<<8 | uint64(next)<<32
}

func tagOf(w uint64) int     { return int(w & 0xff) }
func usedOf(w uint64) int    { return int(w >> 8 & 0xff) }
func nextOf(w uint64) uint32 { return uint32(w >> 32) }
func listOf(w uint64) list   { return list(w >> 16 & 0xff) }

// enter puts a head at the young end of a list.
func (r *ring) enter(head uint32, l list) {
	r.older[head], r.newer[head] = r.newest[l], none
	if r.newest[l] != none {
		r.newer[r.newest[l]] = head
	} else {
		r.oldest[l] = head
	}
	r.newest[l] = head
	r.chains[l].Add(1)
}

// quit takes a head out of its list.
func (r *ring) quit(head uint32, l list) {
	if o := r.older[head]; o != none {
		r.newer[o] = r.newer[head]
	} else {
		r.oldest[l] = r.newer[head]
	}
	if n := r.newer[head]; n != none {
		r.older[n] = r.older[head]
	} else {
		r.newest[l] = r.older[head]
	}
	r.chains[l].Add(-1)
}

// length is the number of blocks of a chain.
func (r *ring) length(head uint32) int {
	n := 0
	for b := head; b != none; b = nextOf(r.load(b, 0)) {
		n++
	}
	return n
}

// victim is the transaction that has to go for another: the oldest uneventful one,
// unless eventful ones hold more than their share; then the oldest of those; and
// only then one whose client still waits. Pinned ones never go.
func (r *ring) victim(spare uint32) (uint32, list) {
	order := [...]list{plain, eventful, underWay}
	if int(r.held[eventful].Load()) > r.blocks*eventfulShare/100 {
		order = [...]list{eventful, plain, underWay}
	}
	for _, l := range order {
		for head := r.oldest[l]; head != none; head = r.newer[head] {
			if head != spare {
				return head, l
			}
		}
	}
	return none, 0
}

// take returns a block that is free, making room if it has to. spare is the chain
// that it is for, or none. It fails where nothing may go.
func (r *ring) take(spare uint32) uint32 {
	if r.free == none {
		head, l := r.victim(spare)
		if head == none {
			return none
		}
		r.horizon.Store(max(r.horizon.Load(), r.load(head, headBegan)))
		r.drop(head, l)
		r.dropped[l].Add(1)
	}
	b := r.free
	r.free = r.newer[b]
	return b
}

// drop frees a chain. Its epoch is odd while its tag says that it is still there.
func (r *ring) drop(head uint32, l list) {
	r.quit(head, l)
	r.open(head)
	for b := head; b != none; {
		next := nextOf(r.load(b, 0))
		r.store(b, 0, link(tagFree, 0, none))
		r.newer[b], r.free = r.free, b
		r.held[l].Add(-1)
		b = next
	}
	r.shut(head)
}

// begin returns a new chain in a list, its epoch odd; none where there is no room.
func (r *ring) begin(l list) uint32 {
	head := r.take(none)
	if head == none {
		return none
	}
	r.open(head)
	r.store(head, 0, link(tagHead, blockWords, none)|uint64(l)<<16)
	r.tail[head] = head
	r.held[l].Add(1)
	r.enter(head, l)
	return head
}

// shift puts a chain at the young end of a list. Its epoch is odd.
func (r *ring) shift(head uint32, to list) {
	w := r.load(head, 0)
	from, n := listOf(w), r.length(head)
	r.quit(head, from)
	r.held[from].Add(int64(-n))
	r.held[to].Add(int64(n))
	r.enter(head, to)
	r.store(head, 0, w&^(0xff<<16)|uint64(to)<<16)
}

// add appends words to a chain whose epoch is odd, all or none of them.
func (r *ring) add(head uint32, words []uint64) bool {
	l := listOf(r.load(head, 0))
	last := r.tail[head]
	room := blockWords - usedOf(r.load(last, 0))
	need := (len(words) - room + blockWords - 2) / (blockWords - 1)
	var fresh [8]uint32
	if len(words) <= room {
		need = 0
	}
	if need > len(fresh) {
		return false
	}
	for i := range need {
		b := r.take(head)
		if b == none {
			for _, back := range fresh[:i] {
				r.newer[back], r.free = r.free, back
			}
			return false
		}
		fresh[i] = b
	}
	for i := 0; len(words) > 0; i++ {
		w := r.load(last, 0)
		used := usedOf(w)
		n := min(len(words), blockWords-used)
		for j, word := range words[:n] {
			r.store(last, used+j, word)
		}
		words = words[n:]
		w = w&^(0xff<<8) | uint64(used+n)<<8
		if len(words) == 0 {
			r.store(last, 0, w)
			break
		}
		r.store(fresh[i], 0, link(tagBody, 1, none))
		r.store(last, 0, w&0xffffffff|uint64(fresh[i])<<32)
		last = fresh[i]
		r.held[l].Add(1)
	}
	r.tail[head] = last
	return true
}

// copyChain copies a chain without a lock. It fails if no chain begins at the
// block, or if it changed each time that it was tried.
func (r *ring) copyChain(head uint32, into []uint64) ([]uint64, bool) {
	for range copyTries {
		into = into[:0]
		epoch := atomic.LoadUint64(&r.epochs[head])
		if epoch&1 != 0 { // a writer is at it; on one core it may have been put off
			runtime.Gosched()
			continue
		}
		w := r.load(head, 0)
		if tagOf(w) != tagHead {
			return into, false
		}
		for i := range blockWords {
			into = append(into, r.load(head, i))
		}
		for b, n := nextOf(w), 0; b != none && int(b) < r.blocks && n < r.blocks; n++ {
			w := r.load(b, 0)
			if tagOf(w) != tagBody {
				break
			}
			for i := 1; i < min(usedOf(w), blockWords); i++ {
				into = append(into, r.load(b, i))
			}
			b = nextOf(w)
		}
		if atomic.LoadUint64(&r.epochs[head]) == epoch {
			return into, true
		}
	}
	return into, false
}
