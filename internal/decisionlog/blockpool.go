package decisionlog

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// The log's memory is divided into blocks of 64-bit words. An entry is a chain of blocks: a
// head, then as many body blocks as its events need. Writers hold the pool's lock while they
// change a chain; readers hold no lock. Each chain has a sequence number, as in a seqlock: a
// writer makes it odd before a change and even afterwards. A reader copies the chain word by
// word, and uses the copy only if the sequence was even and the same before and after.
const (
	blockWords = 16
	blockBytes = 8 * blockWords
	// bytesPerBlock is the total memory per block: its words, its sequence, and its elements
	// of older, newer, lastBlock and headHints.
	bytesPerBlock = blockBytes + 8 + 4 + 4 + 4 + 4

	maxChainBlocks  = 14 // a chain of this length accepts only the final event
	maxCopyAttempts = 64 // of a reader, while writers keep changing the chain

	// notableSharePercent is the share of the blocks beyond which notable entries are evicted
	// before routine ones. pinnedSharePercent is the maximum share of pinned entries.
	notableSharePercent = 75
	pinnedSharePercent  = 12

	noBlock = ^uint32(0)
)

// The tags say what a block is used for.
const (
	tagFree = iota
	tagHead
	tagBody
)

// category determines how soon an entry is evicted. The entries of each category are in a
// linked list, the oldest first.
type category uint8

const (
	categoryPending category = iota // the client waits for an answer
	categoryRoutine                 // established at the first attempt
	categoryNotable                 // rejected, failed, retried, made to wait, or migrated off a slow endpoint
	categoryPinned                  // pinned by an operator
	categoryCount
	keepCategory = categoryCount // leaves the category unchanged
)

// blockPool is the memory of a Log. Callers must hold mu, except for copyChain, and for load
// when copyChain verifies what was loaded.
type blockPool struct {
	mu sync.Mutex

	// Written under mu and read without it, with atomic operations.
	words     []uint64 // blockCount times blockWords
	sequences []uint64 // sequence numbers of chains, by head block
	headHints []uint32 // possible head block of a request, by its number modulo blockCount

	// Updated under mu and read without it.
	blocksInUse     [categoryCount]atomic.Int64
	entryCount      [categoryCount]atomic.Int64
	evicted         [categoryCount]atomic.Uint64 // number of evicted entries
	evictionHorizon atomic.Uint64                // latest start time of an evicted entry

	// Guarded by mu. The slices are indexed by the head block of a chain.
	older, newer []uint32 // neighbours in the category's list; newer also links the free blocks
	lastBlock    []uint32 // last block of the chain
	firstFree    uint32   // first block of the free list
	oldest       [categoryCount]uint32
	newest       [categoryCount]uint32

	blockCount int // immutable
}

func newBlockPool(bytes int) *blockPool {
	blockCount := bytes / bytesPerBlock
	pool := &blockPool{
		blockCount: blockCount,
		words:      make([]uint64, blockCount*blockWords),
		sequences:  make([]uint64, blockCount),
		headHints:  make([]uint32, blockCount),
		older:      make([]uint32, blockCount),
		newer:      make([]uint32, blockCount),
		lastBlock:  make([]uint32, blockCount),
	}
	for block := range blockCount {
		pool.newer[block] = uint32(block + 1)
	}
	pool.newer[blockCount-1] = noBlock
	for category := range categoryCount {
		pool.oldest[category], pool.newest[category] = noBlock, noBlock
	}
	return pool
}

func (p *blockPool) wordAt(block uint32, word int) *uint64 {
	return &p.words[int(block)*blockWords+word]
}

func (p *blockPool) load(block uint32, word int) uint64 {
	return atomic.LoadUint64(p.wordAt(block, word))
}

func (p *blockPool) store(block uint32, word int, value uint64) {
	atomic.StoreUint64(p.wordAt(block, word), value)
}

// beginUpdate makes a chain's sequence odd, so that readers discard their copies.
func (p *blockPool) beginUpdate(head uint32) { atomic.AddUint64(&p.sequences[head], 1) }

// endUpdate makes the sequence even again after a change.
func (p *blockPool) endUpdate(head uint32) { atomic.AddUint64(&p.sequences[head], 1) }

// linkWord returns the first word of a block: its tag, the number of its used words, and
// the next block of its chain. In a head block, setCategory adds the entry's category.
func linkWord(tag, used int, next uint32) uint64 {
	return uint64(tag) | uint64(used)<<8 | uint64(next)<<32
}

func tagOf(link uint64) int           { return int(link & 0xff) }
func usedOf(link uint64) int          { return int(link >> 8 & 0xff) }
func nextOf(link uint64) uint32       { return uint32(link >> 32) }
func categoryOf(link uint64) category { return category(link >> 16 & 0xff) }

func setCategory(link uint64, to category) uint64 { return link&^(0xff<<16) | uint64(to)<<16 }
func setUsed(link uint64, used int) uint64        { return link&^(0xff<<8) | uint64(used)<<8 }
func setNext(link uint64, next uint32) uint64     { return link&0xffffffff | uint64(next)<<32 }

// pushNewest adds a chain as the newest of a category's list.
func (p *blockPool) pushNewest(head uint32, to category) {
	p.older[head], p.newer[head] = p.newest[to], noBlock
	if p.newest[to] != noBlock {
		p.newer[p.newest[to]] = head
	} else {
		p.oldest[to] = head
	}
	p.newest[to] = head
	p.entryCount[to].Add(1)
}

// unlink removes a chain from its category's list.
func (p *blockPool) unlink(head uint32, from category) {
	if older := p.older[head]; older != noBlock {
		p.newer[older] = p.newer[head]
	} else {
		p.oldest[from] = p.newer[head]
	}
	if newer := p.newer[head]; newer != noBlock {
		p.older[newer] = p.older[head]
	} else {
		p.newest[from] = p.older[head]
	}
	p.entryCount[from].Add(-1)
}

// chainLength returns the number of blocks of a chain.
func (p *blockPool) chainLength(head uint32) int {
	length := 0
	for block := head; block != noBlock; block = nextOf(p.load(block, 0)) {
		length++
	}
	return length
}

// evictionCandidate returns the head and category of the next chain to evict: the oldest
// routine entry, or the oldest notable one if those exceed their share, and a pending one
// only if there is no other. It never returns a pinned entry or the chain with the head
// excluded. It returns noBlock if there is no candidate.
func (p *blockPool) evictionCandidate(excluded uint32) (uint32, category) {
	order := [...]category{categoryRoutine, categoryNotable, categoryPending}
	if int(p.blocksInUse[categoryNotable].Load()) > p.blockCount*notableSharePercent/100 {
		order = [...]category{categoryNotable, categoryRoutine, categoryPending}
	}
	for _, category := range order {
		for head := p.oldest[category]; head != noBlock; head = p.newer[head] {
			if head != excluded {
				return head, category
			}
		}
	}
	return noBlock, 0
}

// allocate returns a free block, and evicts an entry if there is none. It does not evict the
// chain with the head forChain, which the block is for, if that is not noBlock. It returns
// noBlock if nothing can be evicted.
func (p *blockPool) allocate(forChain uint32) uint32 {
	if p.firstFree == noBlock {
		head, from := p.evictionCandidate(forChain)
		if head == noBlock {
			return noBlock
		}
		p.evictionHorizon.Store(max(p.evictionHorizon.Load(), p.load(head, headStartedAt)))
		p.freeChain(head, from)
		p.evicted[from].Add(1)
	}
	block := p.firstFree
	p.firstFree = p.newer[block]
	return block
}

// freeBlock adds a block, which must not be in a chain, to the free list.
func (p *blockPool) freeBlock(block uint32) {
	p.newer[block], p.firstFree = p.firstFree, block
}

// freeChain removes a chain and frees its blocks. The sequence is odd meanwhile, so that no
// reader uses a partly freed chain.
func (p *blockPool) freeChain(head uint32, from category) {
	p.unlink(head, from)
	p.beginUpdate(head)
	for block := head; block != noBlock; {
		next := nextOf(p.load(block, 0))
		p.store(block, 0, linkWord(tagFree, 0, noBlock))
		p.freeBlock(block)
		p.blocksInUse[from].Add(-1)
		block = next
	}
	p.endUpdate(head)
}

// newChain returns the head of a new chain in a category, with an odd sequence, or noBlock
// if there is no memory.
func (p *blockPool) newChain(in category) uint32 {
	head := p.allocate(noBlock)
	if head == noBlock {
		return noBlock
	}
	p.beginUpdate(head)
	p.store(head, 0, setCategory(linkWord(tagHead, blockWords, noBlock), in))
	p.lastBlock[head] = head
	p.blocksInUse[in].Add(1)
	p.pushNewest(head, in)
	return head
}

// moveToCategory moves a chain to a category as its newest. The chain's sequence must be odd.
func (p *blockPool) moveToCategory(head uint32, to category) {
	link := p.load(head, 0)
	from, length := categoryOf(link), int64(p.chainLength(head))
	p.unlink(head, from)
	p.blocksInUse[from].Add(-length)
	p.blocksInUse[to].Add(length)
	p.pushNewest(head, to)
	p.store(head, 0, setCategory(link, to))
}

// maxAppendedBlocks is the maximum number of blocks that one event needs.
const maxAppendedBlocks = 8

// appendWords appends words to a chain, either all or none, and reports whether there was
// memory for them. The chain's sequence must be odd.
func (p *blockPool) appendWords(head uint32, words []uint64) bool {
	last := p.lastBlock[head]
	needed := 0
	if space := blockWords - usedOf(p.load(last, 0)); len(words) > space {
		needed = (len(words) - space + blockWords - 2) / (blockWords - 1)
	}
	var fresh [maxAppendedBlocks]uint32
	if needed > len(fresh) || !p.allocateAll(head, fresh[:needed]) {
		return false
	}
	in := categoryOf(p.load(head, 0))
	for i := 0; len(words) > 0; i++ {
		link := p.load(last, 0)
		used := usedOf(link)
		count := min(len(words), blockWords-used)
		for j, word := range words[:count] {
			p.store(last, used+j, word)
		}
		words = words[count:]
		link = setUsed(link, used+count)
		if len(words) == 0 {
			p.store(last, 0, link)
			break
		}
		p.store(fresh[i], 0, linkWord(tagBody, 1, noBlock))
		p.store(last, 0, setNext(link, fresh[i]))
		last = fresh[i]
		p.blocksInUse[in].Add(1)
	}
	p.lastBlock[head] = last
	return true
}

// allocateAll fills a slice with allocated blocks. If there are not enough, it allocates
// none and returns false.
func (p *blockPool) allocateAll(forChain uint32, blocks []uint32) bool {
	for i := range blocks {
		block := p.allocate(forChain)
		if block == noBlock {
			for _, allocated := range blocks[:i] {
				p.freeBlock(allocated)
			}
			return false
		}
		blocks[i] = block
	}
	return true
}

// copyChain copies the words of a chain, beginning with its head, and reuses the memory of
// into. It takes no lock and may be called from any goroutine. It returns false if no chain
// begins at the block, or if the chain changed during each of maxCopyAttempts copies.
func (p *blockPool) copyChain(head uint32, into []uint64) ([]uint64, bool) {
	for range maxCopyAttempts {
		into = into[:0]
		sequence := atomic.LoadUint64(&p.sequences[head])
		if sequence&1 != 0 { // a writer is changing the chain; let it finish
			runtime.Gosched()
			continue
		}
		link := p.load(head, 0)
		if tagOf(link) != tagHead {
			return into, false
		}
		for word := range blockWords {
			into = append(into, p.load(head, word))
		}
		into = p.copyBodies(nextOf(link), into)
		if atomic.LoadUint64(&p.sequences[head]) == sequence {
			return into, true
		}
	}
	return into, false
}

// copyBodies appends the words of the body blocks of a chain, without their link words. As
// the chain may change meanwhile, it limits its steps and checks the tag of each block.
func (p *blockPool) copyBodies(first uint32, into []uint64) []uint64 {
	block := first
	for step := 0; block != noBlock && int(block) < p.blockCount && step < p.blockCount; step++ {
		link := p.load(block, 0)
		if tagOf(link) != tagBody {
			break
		}
		for word := 1; word < min(usedOf(link), blockWords); word++ {
			into = append(into, p.load(block, word))
		}
		block = nextOf(link)
	}
	return into
}
