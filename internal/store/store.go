// Package store is an embedded, log-structured key-value store for records that must
// survive a restart. It has an append-only log in segment files, an in-memory index of
// the live records, and merges that rewrite the log without obsolete records.
//
// Guarantees:
//
//   - A commit that was reported as successful survives a kill of the process, and
//     a power failure as the SyncPolicy of its kind specifies.
//   - Truncating the last segment file loses the commits after that point and no
//     others.
//   - Damaged data is reported with its file and byte offset, and is never returned
//     as a record.
//   - Only Commit waits for the disk. Put queues its changes; if the queue is full,
//     they are dropped and counted.
//
// One goroutine, the writer, writes all files; Open starts it and Close waits
// for it. All methods of Store are safe for concurrent use.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// SyncPolicy says when commits of a kind are synced to disk, so that they survive a
// power failure. All commits survive a kill of the process.
type SyncPolicy uint8

// The sync policies, from the most to the least durable.
const (
	SyncImmediate  SyncPolicy = iota // before the commit is reported
	SyncGrouped                      // together with others within GroupCommitInterval; reported once synced
	SyncBestEffort                   // when the kernel writes it back; reported once written
)

// Kind describes a kind of record: its name, durability and retention.
type Kind struct {
	Name       string
	Sync       SyncPolicy
	MaxRecords int           // the oldest are removed first; 0: no limit
	Retention  time.Duration // since the last put; 0: no limit
}

const (
	// GroupCommitInterval is the maximum time that commits of a SyncGrouped kind
	// wait for their sync.
	GroupCommitInterval = 50 * time.Millisecond

	// DefaultMaxBytes is the default of Options.MaxBytes.
	DefaultMaxBytes = 64 << 20

	maxQueuedCommits = 1024
	maxEntryOverhead = 64              // bytes of an encoded record in addition to its kind, key and body
	closeTimeout     = 2 * time.Second // for writing commits that are queued when the store is closed
)

var (
	// ErrClosed is returned for a change to a closed store.
	ErrClosed = errors.New("the store is closed")
	// ErrFull is returned when the queue or the store is full.
	ErrFull = errors.New("the store has no room")
	// ErrTooLarge is returned for a commit that exceeds the maximum frame size.
	ErrTooLarge = errors.New("the commit is too large")
)

// Options configure a store.
type Options struct {
	Kinds    []Kind
	MaxBytes int64        // approximate limit of the live records; files may be larger between merges. 0: DefaultMaxBytes
	Log      *slog.Logger // nil: nothing is logged
}

// Change is a put or a removal of one record.
type Change struct {
	Kind, Key string
	At        time.Time // of the put; zero: now
	Version   uint      // schema version of the body
	Body      []byte
	Deleted   bool // the record is removed
}

// Record is a live record of a store.
type Record struct {
	Change
	CommitNumber uint64 // number of the commit that put it
}

// commit is an item of the writer's queue: changes to be committed atomically, or a
// task.
type commit struct {
	changes []Change
	result  chan error   // buffered; receives the outcome. nil: no caller waits
	task    func() error // run by the writer between two commits
}

// size returns an upper bound of the commit's encoded size in bytes.
func (c *commit) size() (bytes int) {
	for _, change := range c.changes {
		bytes += len(change.Kind) + len(change.Key) + len(change.Body) + maxEntryOverhead
	}
	return bytes
}

// Stats are statistics of a store.
type Stats struct {
	Records       map[string]int    // by kind
	Dropped       map[string]uint64 // changes that were not committed, by kind
	Commits       uint64
	Syncs         uint64
	Merges        uint64
	Files         int
	Bytes         int64 // of all files
	LiveBytes     int64 // of live records, approximate
	QueuedCommits int
	LastError     error         // of the disk; nil while commits succeed
	OldestAge     time.Duration // age of the oldest record; 0 if there are none
}

// Store is an open store.
type Store struct {
	dir       FS
	lock      io.Closer
	maxBytes  int64
	log       *slog.Logger
	kinds     map[string]Kind
	dropped   map[string]*atomic.Uint64 // by kind
	queue     chan *commit
	stopping  chan struct{} // closed by Close, to stop the writer
	stopped   chan struct{} // closed when the writer has returned
	closeOnce sync.Once

	// mu guards the fields up to merges, which only the writer changes. The writer does not
	// hold it while it writes files.
	mu        sync.RWMutex
	index     *fileIndex
	diskError error // nil while commits succeed
	commits   uint64
	syncs     uint64
	merges    uint64

	// Used by the writer only.
	syncedNumber uint64    // number of the last synced commit
	awaitingSync []*commit // written; reported once they are synced
	diskFailedAt time.Time // zero while writes succeed
	broken       bool      // the files' content is unknown after a failed sync: no further writes
	writeBuffer  []byte
}

// Open opens a store, and removes temporary files, replaced segments and a torn tail
// that a crash left behind. The report is empty if the files could not be read. The
// error may wrap ErrLocked, *DamageError or *FormatError.
func Open(dir FS, options Options) (*Store, Report, error) {
	lock, err := dir.Lock()
	if err != nil {
		return nil, Report{}, fmt.Errorf("store: %w", err)
	}
	index, err := load(dir, options.Kinds, false)
	if err != nil {
		_ = lock.Close()
		return nil, Report{}, fmt.Errorf("store: %w", err)
	}
	s := newStore(dir, lock, index, options)
	if err := s.prepareAppend(); err != nil {
		index.close()
		_ = lock.Close()
		return nil, index.report, fmt.Errorf("store: %w", err)
	}
	go s.runWriter()
	return s, index.report, nil
}

func newStore(dir FS, lock io.Closer, index *fileIndex, options Options) *Store {
	s := &Store{
		dir: dir, lock: lock, maxBytes: options.MaxBytes, log: options.Log, index: index,
		kinds: make(map[string]Kind), dropped: make(map[string]*atomic.Uint64),
		queue: make(chan *commit, maxQueuedCommits), stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
	if s.maxBytes <= 0 {
		s.maxBytes = DefaultMaxBytes
	}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	for _, kind := range options.Kinds {
		s.kinds[kind.Name], s.dropped[kind.Name] = kind, &atomic.Uint64{}
	}
	return s
}

// Put queues changes to be committed atomically. It never blocks: if the queue is full,
// the changes are dropped and counted.
func (s *Store) Put(changes ...Change) {
	c := &commit{changes: changes}
	err := s.enqueue(c)
	if err == nil {
		return
	}
	s.countDropped(changes)
	if errors.Is(err, ErrTooLarge) { // unlike a full queue, this is not temporary
		s.log.Warn("store changes dropped: too large for one commit", "kind", changes[0].Kind, "bytes", c.size(), "most", maxFrameBytes)
	}
}

// Commit commits changes atomically, and waits until they are as durable as the
// strictest SyncPolicy among their kinds requires. The error wraps ErrClosed, ErrFull,
// ErrTooLarge or an error of the disk. If ctx ends first, the changes may or may not be
// committed.
func (s *Store) Commit(ctx context.Context, changes ...Change) error {
	c := &commit{changes: changes, result: make(chan error, 1)}
	if err := s.enqueue(c); err != nil {
		s.countDropped(changes)
		return fmt.Errorf("store: %w", err)
	}
	select {
	case err := <-c.result:
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("store: commit not confirmed: %w", context.Cause(ctx))
	case <-s.stopped: // the store was closed while the commit was queued
		return resultAfterStop(c)
	}
}

// resultAfterStop returns the outcome of a commit after the writer has returned, or
// ErrClosed if the writer left it in the queue.
func resultAfterStop(c *commit) error {
	select {
	case err := <-c.result:
		return err
	default:
		return fmt.Errorf("store: %w", ErrClosed)
	}
}

// enqueue queues a commit without blocking. It sets the time of changes without one.
func (s *Store) enqueue(c *commit) error {
	for i, change := range c.changes {
		if _, known := s.kinds[change.Kind]; !known {
			return fmt.Errorf("unknown record kind %q", change.Kind)
		}
		if change.At.IsZero() {
			c.changes[i].At = time.Now()
		}
	}
	if c.size() > maxFrameBytes { // a frame that can't be encoded would fail its whole batch
		return ErrTooLarge
	}
	select {
	case <-s.stopping:
		return ErrClosed
	default:
	}
	select {
	case s.queue <- c:
		return nil
	default:
		return ErrFull
	}
}

// runTask runs a task in the writer's goroutine, between two commits, and waits for it.
func (s *Store) runTask(task func() error) error {
	c := &commit{task: task, result: make(chan error, 1)}
	if err := s.enqueue(c); err != nil {
		return err
	}
	select {
	case err := <-c.result:
		return err
	case <-s.stopped:
		return resultAfterStop(c)
	}
}

// Compact merges the files, which removes obsolete records from them.
func (s *Store) Compact() error { return s.runTask(func() error { return s.merge(true) }) }

// countDropped counts changes that were not committed.
func (s *Store) countDropped(changes []Change) {
	for _, change := range changes {
		if count := s.dropped[change.Kind]; count != nil {
			count.Add(1)
		}
	}
}

// Close writes queued commits, for up to closeTimeout, and closes the store. It may be
// called more than once.
func (s *Store) Close() error {
	s.closeOnce.Do(func() { close(s.stopping) })
	select {
	case <-s.stopped:
	case <-time.After(2 * closeTimeout): // the disk hangs; the kernel releases the lock when the process ends
		return errors.New("store: close: the writer did not stop in time: the disk is not responding")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.close()
	return s.lock.Close()
}

// Get reads a record from its file. Its error is a *DamageError.
func (s *Store) Get(kind, key string) (record Record, found bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	table := s.index.tables[kind]
	if table == nil || table.byKey[key] == nil {
		return record, false, nil
	}
	record, err = s.index.readRecord(table.byKey[key])
	return record, err == nil, err
}

// Each calls visit with the records of a kind until it returns false, in the order of
// their last put, or the reverse if newestFirst. visit must not call the store. The error
// is a *DamageError.
func (s *Store) Each(kind string, newestFirst bool, visit func(Record) bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.each(kind, newestFirst, visit)
}

// Stats returns the store's current statistics.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stats := Stats{
		Records: make(map[string]int), Dropped: make(map[string]uint64), Commits: s.commits, Syncs: s.syncs, Merges: s.merges,
		Files: len(s.index.segments), Bytes: s.index.totalBytes, LiveBytes: s.index.liveBytes, QueuedCommits: len(s.queue), LastError: s.diskError,
	}
	for name, table := range s.index.tables {
		stats.Records[name] = len(table.byKey)
		if oldest := table.order.Front(); oldest != nil {
			stats.OldestAge = max(stats.OldestAge, time.Since(oldest.Value.(*location).at))
		}
	}
	for name, count := range s.dropped {
		stats.Dropped[name] = count.Load()
	}
	return stats
}
