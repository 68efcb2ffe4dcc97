package decisionlog

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"lockroad/internal/proxy"
)

// Limits and default of a Log's memory, in bytes. More memory makes the log reach further
// back; nothing else depends on it.
const (
	MinBytes     = 512 << 10
	DefaultBytes = 2 << 20
	MaxBytes     = 1 << 30
)

// maxInternedNames bounds the names that are interned, as a head has eight bits for each.
const maxInternedNames = 255

// Log is a bounded log of requests. It is safe for concurrent use.
type Log struct {
	pool  *blockPool
	clock proxy.Clock

	// internedNames are the names of classes, frontends and tenants, by number. The slice
	// only ever grows; writers replace it under the pool's lock.
	internedNames atomic.Pointer[[]string]

	lastNumber atomic.Uint64 // number of the youngest request begun
	eventsLost atomic.Uint64 // events that there was no room for
}

var _ proxy.Observer = (*Log)(nil)

// New returns an empty log of so many bytes, from MinBytes to MaxBytes. All of its memory
// is allocated here.
func New(bytes int, clock proxy.Clock) (*Log, error) {
	if bytes < MinBytes || bytes > MaxBytes {
		return nil, fmt.Errorf("record: %d bytes are not within %d and %d", bytes, MinBytes, MaxBytes)
	}
	l := &Log{pool: newBlockPool(bytes), clock: clock}
	l.internedNames.Store(&[]string{})
	return l, nil
}

// Bytes returns the size of the log's memory.
func (l *Log) Bytes() int { return l.pool.blockCount * bytesPerBlock }

// Clock returns the clock that the log's times are read from.
func (l *Log) Clock() proxy.Clock { return l.clock }

// RequestStarted starts the entry of a request and returns the observer that records its events.
func (l *Log) RequestStarted(number uint64, request proxy.Request) proxy.RequestObserver {
	r := &recorder{log: l, number: number, request: request, startedAt: l.clock.Now(), head: noBlock}
	r.lastHold.block = noBlock
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.lastNumber.Store(max(number, l.lastNumber.Load()))
	if r.startChain(0) {
		l.pool.endUpdate(r.head)
	}
	return r
}

// internName returns the number of a name, and interns it if it is new. There are few
// names; past maxInternedNames all further ones share the first number. The caller holds
// the pool's lock.
func (l *Log) internName(name string) uint64 {
	names := *l.internedNames.Load()
	i := slices.Index(names, name)
	if i < 0 && len(names) < maxInternedNames {
		i = len(names)
		grown := append(slices.Clip(names), name)
		l.internedNames.Store(&grown)
	}
	return uint64(max(0, i))
}

// internedName returns the name of a number, "" if there is none.
func (l *Log) internedName(number uint64) string {
	if names := *l.internedNames.Load(); number < uint64(len(names)) {
		return names[number]
	}
	return ""
}

// Stats says what the log holds and what it has evicted.
type Stats struct {
	Bytes           int               // of memory in all
	Blocks          int               // that the memory is divided into
	Entries         map[string]int    // entries, by category
	BlocksInUse     map[string]int    // blocks, by category
	Evicted         map[string]uint64 // entries evicted since the start, by category
	EventsLost      uint64            // events that there was no room for
	LastNumber      uint64            // number of the youngest request begun
	EvictionHorizon time.Duration     // when the youngest of those evicted began; 0 if none was
}

// CategoryNames are the names of the categories that entries are kept in.
var CategoryNames = [categoryCount]string{"under-way", "uneventful", "eventful", "pinned"}

// TotalEvicted returns how many entries were evicted, of all categories.
func (s Stats) TotalEvicted() (total uint64) {
	for _, dropped := range s.Evicted {
		total += dropped
	}
	return total
}

// Stats counts without blocking writers. While requests come and go, the figures are of
// slightly different moments and need not add up.
func (l *Log) Stats() Stats {
	pool := l.pool
	stats := Stats{
		Bytes:           l.Bytes(),
		Blocks:          pool.blockCount,
		EventsLost:      l.eventsLost.Load(),
		LastNumber:      l.lastNumber.Load(),
		EvictionHorizon: time.Duration(pool.evictionHorizon.Load()),
		Entries:         make(map[string]int),
		BlocksInUse:     make(map[string]int),
		Evicted:         make(map[string]uint64),
	}
	for category, name := range CategoryNames {
		stats.Entries[name] = int(pool.entryCount[category].Load())
		stats.BlocksInUse[name] = int(pool.blocksInUse[category].Load())
		stats.Evicted[name] = pool.evicted[category].Load()
	}
	return stats
}
