// Package store keeps records that must outlast a restart, on installations that
// have a disk: a log of commits in a chain of segment files, an index of the
// records in memory, and merges that leave behind what is no longer wanted.
//
// What a store guarantees:
//
//   - A commit that was reported is there after a kill, and after a power failure
//     as the Sync of its kind says. One that failed is never reported.
//   - A file that was truncated anywhere loses what came after that place and
//     nothing else.
//   - Damage is reported by file and byte, and never read as data.
//   - Only a caller that asks to (Commit) waits for the disk. Put queues, and
//     what finds no room is dropped and counted.
//
// One goroutine, the writer, writes all files; Open starts it and Close waits
// for it. All methods of Store may be called from any goroutine.
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

// SyncPolicy is when a kind's commits are made to outlast a power failure. All outlast
// a kill of the process.
type SyncPolicy uint8

// The times at which commits are synced, the safest first.
const (
	SyncImmediate  SyncPolicy = iota // before they are reported
	SyncGrouped                      // with others within GroupCommitInterval, and reported then
	SyncBestEffort                   // when the kernel writes them back; reported once written
)

// Kind is a kind of record.
type Kind struct {
	Name       string
	Sync       SyncPolicy
	MaxRecords int           // records retained; the oldest go first. 0: any number
	Retention  time.Duration // for which they are retained; 0: for good
}

const (
	// GroupCommitInterval bounds how long commits of a SyncGrouped kind wait for
	// their sync.
	GroupCommitInterval = 50 * time.Millisecond

	// DefaultMaxBytes bounds the records of a store, about; its files may have some
	// more between merges.
	DefaultMaxBytes = 64 << 20

	maxQueuedCommits = 1024
	maxEntryOverhead = 64              // bytes that a record takes beside its kind, key and body, at the most
	closeTimeout     = 2 * time.Second // for commits that are queued when the store is closed
)

var (
	// ErrClosed says that the store is closed.
	ErrClosed = errors.New("the store is closed")
	// ErrNoRoom says that as many records are queued or retained as may be.
	ErrNoRoom = errors.New("the store has no room")
	// ErrTooLarge says that a commit is larger than one may be.
	ErrTooLarge = errors.New("the commit is too large")
)

// Options say how a store is opened.
type Options struct {
	Kinds    []Kind
	MaxBytes int64        // bound on its records, about; 0: DefaultMaxBytes
	Log      *slog.Logger // nil: nothing is logged
}

// Change is one record that is put or removed.
type Change struct {
	Kind, Key string
	At        time.Time // zero: now
	Version   uint      // of the body's form
	Body      []byte
	Deleted   bool
}

// Record is a record that is in a store.
type Record struct {
	Change
	CommitNumber uint64 // of its commit
}

// commit is what is queued for the writer: changes that belong together, or a
// task.
type commit struct {
	changes []Change
	result  chan error   // gets the outcome, without blocking; nil: nobody waits
	task    func() error // run by the writer between two commits
}

// size returns the bytes that the commit takes in a file, at the most.
func (c *commit) size() (bytes int) {
	for _, change := range c.changes {
		bytes += len(change.Kind) + len(change.Key) + len(change.Body) + maxEntryOverhead
	}
	return bytes
}

// Stats says what a store has done and holds.
type Stats struct {
	Records       map[string]int    // by kind
	Dropped       map[string]uint64 // changes by kind, for lack of room or because the disk failed
	Commits       uint64
	Syncs         uint64
	Merges        uint64
	Files         int
	Bytes         int64         // of all files
	LiveBytes     int64         // of records that are retained
	QueuedCommits int           // commits that are queued
	LastError     error         // of the disk, while commits fail
	OldestAge     time.Duration // age of the oldest record; 0 if there are none
}

// Store is an open store.
type Store struct {
	folder    FS
	lock      io.Closer
	maxBytes  int64
	log       *slog.Logger
	kinds     map[string]Kind
	dropped   map[string]*atomic.Uint64 // by kind
	queue     chan *commit
	stopping  chan struct{} // closed by Close
	stopped   chan struct{} // closed when the writer has ended
	closeOnce sync.Once

	mu        sync.RWMutex // guards what follows up to merges; only the writer changes it, and no file is written while it is held
	index     *fileIndex
	diskError error // while commits fail
	commits   uint64
	syncs     uint64
	merges    uint64

	// Used by the writer only.
	syncedNumber uint64    // of the last commit that outlasts a power failure
	awaitingSync []*commit // written, to be reported once they are synced
	diskFailedAt time.Time // zero while it works
	broken       bool      // what the disk has is not known: nothing is written any more
	writeBuffer  []byte
}

// Open opens a store, and removes what a crash left of it. The report is empty if
// the files could not be read. The error wraps ErrLocked, *DamageError or *FormatError
// where that is the cause.
func Open(folder FS, options Options) (*Store, Report, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, Report{}, fmt.Errorf("store: %w", err)
	}
	index, err := load(folder, options.Kinds, false)
	if err != nil {
		_ = lock.Close()
		return nil, Report{}, fmt.Errorf("store: %w", err)
	}
	s := newStore(folder, lock, index, options)
	if err := s.prepareAppend(); err != nil {
		index.close()
		_ = lock.Close()
		return nil, index.report, fmt.Errorf("store: %w", err)
	}
	go s.runWriter()
	return s, index.report, nil
}

func newStore(folder FS, lock io.Closer, index *fileIndex, options Options) *Store {
	s := &Store{
		folder: folder, lock: lock, maxBytes: options.MaxBytes, log: options.Log, index: index,
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

// Put queues changes that are to be committed together. It never blocks: where
// there is no room for them they are dropped, and counted.
func (s *Store) Put(changes ...Change) {
	c := &commit{changes: changes}
	err := s.enqueue(c)
	if err == nil {
		return
	}
	s.countDropped(changes)
	if errors.Is(err, ErrTooLarge) { // it would be so the next time too
		s.log.Warn("record too large for the store", "kind", changes[0].Kind, "bytes", c.size(), "most", maxFrameBytes)
	}
}

// Commit commits changes together and waits until they are, as the Sync of their
// kinds requires. The error wraps ErrClosed, ErrNoRoom or ErrTooLarge where that
// is the cause, or that of the disk. After ctx has ended it is not known whether
// the changes are committed.
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
	case <-s.stopped: // it came just as the store was closed
		return resultAfterStop(c)
	}
}

// resultAfterStop returns the outcome of a commit that the writer may have left
// in the queue when it ended.
func resultAfterStop(c *commit) error {
	select {
	case err := <-c.result:
		return err
	default:
		return fmt.Errorf("store: %w", ErrClosed)
	}
}

// enqueue queues a commit without blocking.
func (s *Store) enqueue(c *commit) error {
	for i, change := range c.changes {
		if _, known := s.kinds[change.Kind]; !known {
			return fmt.Errorf("unknown kind %q", change.Kind)
		}
		if change.At.IsZero() {
			c.changes[i].At = time.Now()
		}
	}
	if c.size() > maxFrameBytes { // it would fail with all that is written beside it
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
		return ErrNoRoom
	}
}

// runTask makes the writer run a task between two commits, and waits for it.
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

// Compact merges the files, so that they hold nothing that is no longer wanted.
func (s *Store) Compact() error { return s.runTask(func() error { return s.merge(true) }) }

// countDropped counts changes that are not committed.
func (s *Store) countDropped(changes []Change) {
	for _, change := range changes {
		if count := s.dropped[change.Kind]; count != nil {
			count.Add(1)
		}
	}
}

// Close commits what is queued, for up to two seconds, and closes the store. It
// may be called more than once.
func (s *Store) Close() error {
	s.closeOnce.Do(func() { close(s.stopping) })
	select {
	case <-s.stopped:
	case <-time.After(2 * closeTimeout): // a disk that hangs: the lock goes with the process
		return errors.New("store: close: disk not responding")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.close()
	return s.lock.Close()
}

// Get returns a record. It reads the file, and its error is a *DamageError.
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

// Each calls visit with the records of a kind until it returns false, in the
// order in which they were last put, or the newest first. visit must not call
// the store. The error is a *DamageError.
func (s *Store) Each(kind string, newestFirst bool, visit func(Record) bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.each(kind, newestFirst, visit)
}

// Stats returns what the store has done and holds.
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
