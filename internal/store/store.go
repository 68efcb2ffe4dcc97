// Package store keeps records that must outlast a restart, on installations that have a disk: a log of
// commits in a chain of files, an index of them in memory, and merges that leave what is no longer wanted behind.
//
// A record reported committed is there after a kill or a power cut; one that was not committed is never reported;
// a file that was cut anywhere loses what came after the cut and nothing else; what is damaged is named by file
// and byte and never read as data. Nothing waits for the disk but who asks to (Commit): Put queues, and what finds
// no room is dropped and counted.
package store

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Sync is when a kind's commits are made sure to outlast a power cut. All outlast a kill.
type Sync uint8

// The times at which commits are synced.
const (
	SyncImmediate  Sync = iota // before they are reported
	SyncGrouped                // with others within GroupWait, and reported then
	SyncBestEffort             // when the kernel writes them back
)

// Kind is a kind of record.
type Kind struct {
	Name       string
	Sync       Sync
	MaxRecords int           // records kept; the oldest go first. 0: any number
	Retention  time.Duration // for which they are kept; 0: for good
}

const (
	// GroupCommitInterval is within what commits of the kind Grouped are made sure to last.
	GroupCommitInterval = 50 * time.Millisecond

	maxQueuedCommits = 1024      // commits that wait for the disk
	maxBatchBytes    = 128 << 10 // bytes that are written at once, about
	maxSegmentBytes  = 4 << 20   // a file is not appended to beyond that
	minMergeBytes    = 256 << 10 // files smaller than that in all are not merged
	diskRetryDelay   = time.Second
	closeTimeout     = 2 * time.Second // at the end, for what is queued
	maxEntryOverhead = 64              // bytes that a record takes beside its words and body, at the most

	// DefaultBytes bounds the files of a store, about.
	DefaultBytes = 64 << 20
)

var (
	// ErrClosed says that the store is closed.
	ErrClosed = errors.New("the store is closed")
	// ErrNoRoom says that as many records wait or are kept as may be.
	ErrNoRoom = errors.New("the store has no room")
	// ErrTooLarge says that a commit is larger than one may be.
	ErrTooLarge = errors.New("the commit is too large")
)

// Options say how a store is to be opened.
type Options struct {
	Kinds []Kind
	Bytes int64        // of its files, about; 0: DefaultBytes
	Log   *slog.Logger // nil: nothing is logged
}

// Change is one record that is to be put or removed.
type Change struct {
	Kind, Key string
	At        time.Time // zero: now
	Version   uint
	Body      []byte
	Deleted   bool
}

// Record is one that is there.
type Record struct {
	Change
	Number uint64 // of its commit
}

// commit is what waits to be written.
type commit struct {
	changes []Change
	result  chan error   // nil: nobody waits
	task    func() error // by the writer, in place of changes
}

// size is what the commit takes in a file, at the most.
func (c *commit) size() (n int) {
	for _, x := range c.changes {
		n += len(x.Kind) + len(x.Key) + len(x.Body) + maxEntryOverhead
	}
	return n
}

// Stats tell what a store has done.
type Stats struct {
	Records   map[string]int    // by kind
	Dropped   map[string]uint64 // by kind, for lack of room or as the disk failed
	Commits   uint64
	Syncs     uint64
	Merges    uint64
	Files     int
	Bytes     int64
	LiveBytes int64
	Waiting   int
	LastError error         // what the disk last said, if commits fail now
	Retained  time.Duration // since the oldest record; 0 if there are none
}

// Store is an open store.
type Store struct {
	folder    FS
	lock      io.Closer
	maxBytes  int64
	log       *slog.Logger
	kinds     map[string]Kind
	queue     chan *commit
	stopping  chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once

	mu        sync.RWMutex // of what follows; files are written without it
	index     *fileIndex
	diskError error
	dropped   map[string]*atomic.Uint64
	commits   uint64
	syncs     uint64
	merges    uint64

	// Of the writer alone.
	syncedNumber uint64    // commits that are sure to last
	awaitingSync []*commit // that are to be reported once they are
	diskFailedAt time.Time // the disk last failed
	broken       bool      // for good: what the disk has is not known
	writeBuffer  []byte
}

// Open opens a store. The report is there whatever the error, as far as it was read.
func Open(folder FS, o Options) (*Store, Report, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, Report{}, fmt.Errorf("store: %w", err)
	}
	m, err := load(folder, o.Kinds, false)
	if err != nil {
		_ = lock.Close()
		return nil, Report{}, fmt.Errorf("store: %w", err)
	}
	s := &Store{folder: folder, lock: lock, maxBytes: o.Bytes, log: o.Log, index: m, kinds: make(map[string]Kind), queue: make(chan *commit, maxQueuedCommits),
		stopping: make(chan struct{}), stopped: make(chan struct{}), dropped: make(map[string]*atomic.Uint64)}
	if s.maxBytes <= 0 {
		s.maxBytes = DefaultBytes
	}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	for _, k := range o.Kinds {
		s.kinds[k.Name], s.dropped[k.Name] = k, &atomic.Uint64{}
	}
	if err := s.prepareAppend(); err != nil {
		m.close()
		_ = lock.Close()
		return nil, m.report, fmt.Errorf("store: %w", err)
	}
	go s.runWriter()
	return s, m.report, nil
}

// prepareAppend makes the last file one that can be appended to.
func (s *Store) prepareAppend() error {
	if err := s.index.removeLeftovers(); err != nil {
		return err
	}
	s.syncedNumber = s.index.nextNumber - 1 // what was read is synced below
	if n := len(s.index.segments); n > 0 && !s.index.segments[n-1].merged {
		last := s.index.segments[n-1]
		if last.size < segmentHeaderSize {
			if err := s.writeHeader(last); err != nil {
				return err
			}
		}
		if err := last.file.Truncate(last.size); err != nil {
			return err
		}
		return last.file.Sync()
	}
	return s.addSegment()
}

// writeHeader writes a file's head.
func (s *Store) writeHeader(g *segment) error {
	if err := g.file.Truncate(0); err != nil {
		return err
	}
	if _, err := g.file.WriteAt(g.segmentHeader.appendTo(nil), 0); err != nil {
		return err
	}
	if err := g.file.Sync(); err != nil {
		return err
	}
	s.index.totalBytes += segmentHeaderSize - g.size
	g.size = segmentHeaderSize
	return s.folder.SyncDir()
}

// addSegment adds a file to the chain.
func (s *Store) addSegment() error {
	g := &segment{segmentHeader: segmentHeader{first: s.index.nextNumber}}
	g.name = g.segmentHeader.fileName()
	var err error
	if g.file, err = s.folder.Create(g.name); err != nil {
		return err
	}
	if err := s.writeHeader(g); err != nil {
		_ = g.file.Close()
		return err
	}
	s.mu.Lock()
	s.index.segments = append(s.index.segments, g)
	s.mu.Unlock()
	return nil
}

// Put has changes committed together, some time soon. It never waits: where there is no room
// for them they are dropped, and counted.
func (s *Store) Put(changes ...Change) {
	c := &commit{changes: changes}
	err := s.enqueue(c)
	if err == nil {
		return
	}
	s.countDropped(changes)
	if errors.Is(err, ErrTooLarge) { // it would be so the next time too
		s.log.Warn("a record is too large to be kept", "kind", changes[0].Kind, "bytes", c.size(), "most", maxFrameBytes)
	}
}

// Commit has changes committed together and waits until they are, as their kinds have it.
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
		return fmt.Errorf("store: not known to be kept: %w", context.Cause(ctx))
	case <-s.stopped: // it came just as the store was closed
		return resultAfterStop(c)
	}
}

// resultAfterStop is what became of a commit that the writer may have left behind at its end.
func resultAfterStop(c *commit) error {
	select {
	case err := <-c.result:
		return err
	default:
		return fmt.Errorf("store: %w", ErrClosed)
	}
}

func (s *Store) enqueue(c *commit) error {
	for i, x := range c.changes {
		if _, ok := s.kinds[x.Kind]; !ok {
			return fmt.Errorf("there is no kind %q", x.Kind)
		}
		if x.At.IsZero() {
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

// runTask has the writer do something between two commits.
func (s *Store) runTask(do func() error) error {
	c := &commit{task: do, result: make(chan error, 1)}
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

func (s *Store) countDropped(changes []Change) {
	for _, x := range changes {
		if n := s.dropped[x.Kind]; n != nil {
			n.Add(1)
		}
	}
}

// Close commits what is queued and closes the store.
func (s *Store) Close() error {
	s.closeOnce.Do(func() { close(s.stopping) })
	select {
	case <-s.stopped:
	case <-time.After(2 * closeTimeout): // a disk that hangs: the lock goes with the process
		return errors.New("store: the disk does not answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.close()
	return s.lock.Close()
}

// runWriter is the writer: all that waits goes to the disk together. Errors of sync and merge are told to the commits that wait
// and to the log where they come up, so that nothing is left to be done about them here.
func (s *Store) runWriter() {
	defer close(s.stopped)
	var due <-chan time.Time // commits are to be synced
	tidy := time.NewTicker(time.Minute)
	defer tidy.Stop()
	for {
		select {
		case c := <-s.queue:
			if s.writeBatch(s.collectBatch(c)) {
				_ = s.syncSegment()
				due = nil
			} else if due == nil && len(s.awaitingSync) > 0 {
				due = time.After(GroupCommitInterval)
			}
		case <-due:
			_ = s.syncSegment()
			due = nil
		case <-tidy.C:
			s.mu.Lock()
			s.index.applyRetention(time.Now())
			s.mu.Unlock()
			_ = s.merge(false)
		case <-s.stopping:
			for until := time.Now().Add(closeTimeout); time.Now().Before(until); {
				select {
				case c := <-s.queue:
					s.writeBatch(s.collectBatch(c))
					continue
				default:
				}
				break
			}
			_ = s.syncSegment()
			// An end that says that all before it is sure to last: what is spoilt later is damage.
			if !s.broken && s.diskFailedAt.IsZero() && s.appendFrames([][]entry{nil}) == nil {
				_ = s.syncSegment()
			}
			return
		}
	}
}

// collectBatch takes what waits, up to a size.
func (s *Store) collectBatch(c *commit) []*commit {
	all := []*commit{c}
	for size := c.size(); size < maxBatchBytes; {
		select {
		case next := <-s.queue:
			all = append(all, next)
			size += next.size()
		default:
			return all
		}
	}
	return all
}

// writeBatch appends commits and reports those that need no sync. It tells whether one wants it at once.
func (s *Store) writeBatch(all []*commit) (atOnce bool) {
	fail := func(err error) {
		for _, c := range all {
			s.complete(c, err)
		}
	}
	if s.broken || !s.diskFailedAt.IsZero() && time.Since(s.diskFailedAt) < diskRetryDelay {
		fail(s.diskError)
		return false
	}
	var asks []*commit
	all = slices.DeleteFunc(all, func(c *commit) bool {
		if c.task != nil {
			asks = append(asks, c)
		}
		return c.task != nil
	})
	defer func() {
		for _, c := range asks {
			c.result <- c.task()
		}
	}()
	if len(all) == 0 {
		return false
	}
	s.mergeIfWasteful()
	if s.index.liveBytes > s.maxBytes { // what makes room may come
		all = slices.DeleteFunc(all, func(c *commit) bool {
			puts := slices.ContainsFunc(c.changes, func(x Change) bool { return !x.Deleted })
			if puts {
				s.complete(c, ErrNoRoom)
			}
			return puts
		})
		if len(all) == 0 {
			return false
		}
	}
	frames := make([][]entry, len(all))
	for i, c := range all {
		for _, x := range c.changes {
			frames[i] = append(frames[i], entry{Kind: x.Kind, Key: x.Key, At: x.At.UnixMilli(), Version: x.Version, Body: x.Body, Deleted: x.Deleted})
		}
	}
	if err := s.appendFrames(frames); err != nil {
		fail(err)
		return false
	}
	for _, c := range all {
		when := SyncBestEffort
		for _, x := range c.changes {
			when = min(when, s.kinds[x.Kind].Sync)
		}
		if atOnce = atOnce || when == SyncImmediate; when == SyncBestEffort {
			s.complete(c, nil)
		} else {
			s.awaitingSync = append(s.awaitingSync, c)
		}
	}
	return atOnce
}

func (s *Store) complete(c *commit, err error) {
	if err != nil {
		s.countDropped(c.changes)
	}
	if c.result != nil {
		c.result <- err
	}
}

// appendFrames appends a frame for each commit to the last file, all or none, and enters them in the index.
func (s *Store) appendFrames(commits [][]entry) error {
	g := s.index.segments[len(s.index.segments)-1]
	if g.size > maxSegmentBytes || g.merged {
		if err := s.syncSegment(); err != nil {
			return err
		}
		if err := s.addSegment(); err != nil {
			return s.diskFailed(err)
		}
		g = s.index.segments[len(s.index.segments)-1]
	}
	s.writeBuffer = s.writeBuffer[:0]
	number := s.index.nextNumber
	var frames []frame
	for _, entries := range commits {
		from := len(s.writeBuffer)
		var err error
		if s.writeBuffer, err = appendFrame(s.writeBuffer, number, s.syncedNumber, entries); err != nil {
			return err // too large: nothing is wrong with the disk
		}
		frames = append(frames, frame{number, s.syncedNumber, entries, len(s.writeBuffer) - from})
		number++
	}
	if _, err := g.file.WriteAt(s.writeBuffer, g.size); err != nil {
		// What was written in part must not be taken for a commit that follows it.
		if cut := g.file.Truncate(g.size); cut != nil {
			return s.markBroken(errors.Join(err, cut))
		}
		return s.diskFailed(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	off := g.size
	for _, f := range frames {
		s.index.apply(g, off, f)
		off += int64(f.size)
	}
	s.index.nextNumber = number
	s.index.totalBytes += off - g.size
	g.size = off
	s.commits += uint64(len(frames))
	s.index.applyRetention(time.Now())
	if s.diskError != nil {
		s.log.Info("the store keeps records again")
	}
	s.diskError, s.diskFailedAt = nil, time.Time{}
	return nil
}

// diskFailed notes that the disk failed; commits are tried again after a while.
func (s *Store) diskFailed(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskError == nil {
		s.log.Error("the store keeps nothing: the disk fails", "error", err, "full", errors.Is(err, unix.ENOSPC))
	}
	s.diskError, s.diskFailedAt = err, time.Now()
	return err
}

// markBroken ends all commits: what the disk has of those that were not synced is not known.
func (s *Store) markBroken(err error) error {
	s.broken = true
	return s.diskFailed(err)
}

// syncSegment makes all that was written sure to last, and reports it.
func (s *Store) syncSegment() (err error) {
	if !s.broken && s.syncedNumber < s.index.nextNumber-1 {
		if err = s.index.segments[len(s.index.segments)-1].file.Sync(); err != nil {
			// The kernel may have let go of what it could not write: a second sync would say
			// that all is well.
			err = s.markBroken(fmt.Errorf("sync: %w", err))
		} else {
			s.syncedNumber = s.index.nextNumber - 1
			s.mu.Lock()
			s.syncs++
			s.mu.Unlock()
		}
	} else if s.broken {
		err = s.diskError
	}
	for _, c := range s.awaitingSync {
		s.complete(c, err)
	}
	s.awaitingSync = s.awaitingSync[:0]
	return err
}

// mergeIfWasteful merges the files where they hold too much that is no longer wanted. If merge fails, it has said so.
func (s *Store) mergeIfWasteful() {
	if s.index.totalBytes > minMergeBytes && s.index.totalBytes > 2*s.index.liveBytes+maxSegmentBytes/8 {
		_ = s.merge(false)
	}
}

// merge writes what is still wanted to one file, in place of all. Not wanted are records that were removed, put
// again, or retained no longer.
func (s *Store) merge(whatever bool) error {
	if s.broken || !whatever && (s.index.totalBytes <= minMergeBytes || s.index.totalBytes <= 2*s.index.liveBytes) {
		return nil
	}
	if err := s.syncSegment(); err != nil {
		return err
	}
	old := s.index.segments
	h := segmentHeader{merged: true, first: old[0].first, last: s.index.nextNumber - 1}
	if h.last < h.first {
		return nil // nothing was ever committed
	}
	merged, slots, err := s.index.writeMerged(h)
	if err != nil {
		var d *Damage
		if errors.As(err, &d) {
			return s.markBroken(err)
		}
		return s.diskFailed(err)
	}
	s.mu.Lock()
	for _, to := range slots {
		to.location.segment, to.location.offset, to.location.frameSize, to.location.position = merged, to.offset, to.frameSize, to.position
	}
	s.index.segments = []*segment{merged}
	s.index.totalBytes = merged.size
	s.merges++
	s.mu.Unlock()
	for _, g := range old {
		_ = g.file.Close()
		if g.name != merged.name { // one that stays is passed over at the next start
			_ = s.folder.Remove(g.name)
		}
	}
	if err := s.addSegment(); err != nil {
		return s.diskFailed(err)
	}
	return nil
}

// relocation is where a record is in a merged file.
type relocation struct {
	location  *location
	offset    int64
	frameSize int
	position  int
}

// writeMerged writes all records to a merged file.
func (m *fileIndex) writeMerged(h segmentHeader) (_ *segment, slots []relocation, err error) {
	g := &segment{segmentHeader: h, name: h.fileName()}
	temporary := g.name + ".tmp"
	if g.file, err = m.folder.Create(temporary); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = g.file.Close()
			_ = m.folder.Remove(temporary)
		}
	}()
	var live []*location
	for _, t := range m.tables {
		for e := t.order.Front(); e != nil; e = e.Next() {
			live = append(live, e.Value.(*location))
		}
	}
	slices.SortFunc(live, func(x, y *location) int {
		return cmp.Or(cmp.Compare(x.number, y.number), cmp.Compare(x.position, y.position))
	})
	write := func(b []byte) error {
		_, err := g.file.WriteAt(b, g.size)
		g.size += int64(len(b))
		return err
	}
	if err = write(h.appendTo(nil)); err != nil {
		return nil, nil, err
	}
	flush := func(number uint64, entries []entry) error {
		b, err := appendFrame(nil, number, h.last, entries)
		if err != nil {
			return err
		}
		for i := range entries {
			at := &slots[len(slots)-len(entries)+i]
			at.offset, at.frameSize = g.size, len(b)
		}
		return write(b)
	}
	// A commit's records stay together: what was put whole is whole whenever the merge is read.
	for len(live) > 0 {
		n := 1
		for n < len(live) && live[n].number == live[0].number {
			n++
		}
		var entries []entry
		for i, s := range live[:n] {
			var e entry
			if e, err = m.readEntry(s); err != nil {
				return nil, nil, err
			}
			entries = append(entries, e)
			slots = append(slots, relocation{location: s, position: i})
		}
		if err = flush(live[0].number, entries); err != nil {
			return nil, nil, err
		}
		live = live[n:]
	}
	if err = flush(h.last, nil); err != nil {
		return nil, nil, err
	}
	if err = g.file.Sync(); err != nil {
		return nil, nil, err
	}
	if err = m.folder.Rename(temporary, g.name); err != nil {
		return nil, nil, err
	}
	if err = m.folder.SyncDir(); err != nil {
		return nil, nil, err
	}
	return g, slots, nil
}

// Get returns a record.
func (s *Store) Get(kind, key string) (r Record, ok bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.index.tables[kind]
	if t == nil || t.byKey[key] == nil {
		return r, false, nil
	}
	r, err = s.index.readRecord(t.byKey[key])
	return r, err == nil, err
}

func (m *fileIndex) readRecord(s *location) (Record, error) {
	e, err := m.readEntry(s)
	return Record{Change{Kind: s.kind, Key: s.key, At: s.at, Version: s.version, Body: e.Body}, s.number}, err
}

// Each calls do with the records of a kind until it returns false, in the order in which they were
// last put; newest first if so wanted. It must not call the store.
func (s *Store) Each(kind string, newest bool, do func(Record) bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.each(kind, newest, do)
}

func (m *fileIndex) each(kind string, newest bool, do func(Record) bool) error {
	t := m.tables[kind]
	if t == nil {
		return nil
	}
	at, next := t.order.Front(), (*list.Element).Next
	if newest {
		at, next = t.order.Back(), (*list.Element).Prev
	}
	for ; at != nil; at = next(at) {
		r, err := m.readRecord(at.Value.(*location))
		if err != nil {
			return err
		}
		if !do(r) {
			break
		}
	}
	return nil
}

// Stats tells what the store has done and holds.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st := Stats{Records: make(map[string]int), Dropped: make(map[string]uint64), Commits: s.commits, Syncs: s.syncs, Merges: s.merges,
		Files: len(s.index.segments), Bytes: s.index.totalBytes, LiveBytes: s.index.liveBytes, Waiting: len(s.queue), LastError: s.diskError}
	for name, t := range s.index.tables {
		st.Records[name] = len(t.byKey)
		if e := t.order.Front(); e != nil {
			st.Retained = max(st.Retained, time.Since(e.Value.(*location).at))
		}
	}
	for name, n := range s.dropped {
		st.Dropped[name] = n.Load()
	}
	return st
}
