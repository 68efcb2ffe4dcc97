package decisionlog

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"lockroad/internal/proxy"
)

// Limits and default of a log's size in bytes. A larger log keeps more requests; nothing
// else depends on its size.
const (
	MinBytes     = 512 << 10
	DefaultBytes = 2 << 20
	MaxBytes     = 1 << 30
)

// maxInternedNames is the maximum number of interned names; a head has eight bits for each.
const maxInternedNames = 255

// Log is a fixed-size log of requests. It is safe for concurrent use.
type Log struct {
	pool  *blockPool
	clock proxy.Clock

	// internedNames are the names of classes, frontends and tenants, by number. The slice is
	// append-only; writers replace it under the pool's lock.
	internedNames atomic.Pointer[[]string]

	lastNumber atomic.Uint64 // highest number of a started request
	eventsLost atomic.Uint64 // events that were dropped for lack of space
}

var _ proxy.Observer = (*Log)(nil)

// New returns an empty log whose size in bytes is between MinBytes and MaxBytes. It
// allocates all of the log's memory.
func New(bytes int, clock proxy.Clock) (*Log, error) {
	if bytes < MinBytes || bytes > MaxBytes {
		return nil, fmt.Errorf("decision log: size of %d bytes is not between %d and %d", bytes, MinBytes, MaxBytes)
	}
	l := &Log{pool: newBlockPool(bytes), clock: clock}
	l.internedNames.Store(&[]string{})
	return l, nil
}

// Bytes returns the size of the log's memory in bytes.
func (l *Log) Bytes() int { return l.pool.blockCount * bytesPerBlock }

// Clock returns the clock of the times in the log's entries.
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

// internName returns the number of a name, and interns the name if it is new. Once there are
// maxInternedNames names, all further ones share the number of the first. The caller must
// hold the pool's lock.
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

// internedName returns the name that internName gave a number, or "" if there is none.
func (l *Log) internedName(number uint64) string {
	if names := *l.internedNames.Load(); number < uint64(len(names)) {
		return names[number]
	}
	return ""
}

// Stats are statistics of a log.
type Stats struct {
	Bytes           int               // size of the log's memory
	Blocks          int               // number of blocks in the memory
	Entries         map[string]int    // number of entries, by category
	BlocksInUse     map[string]int    // number of used blocks, by category
	Evicted         map[string]uint64 // number of entries evicted since the start, by category
	EventsLost      uint64            // events that were dropped for lack of space
	LastNumber      uint64            // highest number of a started request
	EvictionHorizon time.Duration     // latest start time of an evicted entry; 0 if none was evicted
}

// CategoryNames are the names of the categories of entries, as operators see them.
var CategoryNames = [categoryCount]string{"under-way", "uneventful", "eventful", "pinned"}

// TotalEvicted returns the number of evicted entries of all categories.
func (s Stats) TotalEvicted() (total uint64) {
	for _, evicted := range s.Evicted {
		total += evicted
	}
	return total
}

// Stats returns the current statistics without blocking writers. They are not a consistent
// snapshot: while the log is written to, the numbers need not add up.
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
