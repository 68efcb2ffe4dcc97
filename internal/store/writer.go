package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxBatchBytes     = 128 << 10   // a batch of at least this size takes no further commits
	maxSegmentBytes   = 4 << 20     // a larger segment is not appended to
	diskRetryDelay    = time.Second // between a failed write and the next one
	retentionInterval = time.Minute // between checks of retention while nothing is committed
)

// runWriter writes queued commits in batches until the store is closed. It ignores the
// errors of syncs and merges, which are logged and reported to the waiting commits where
// they occur.
func (s *Store) runWriter() {
	defer close(s.stopped)
	var groupSync <-chan time.Time // fires when written commits are due to be synced
	retention := time.NewTicker(retentionInterval)
	defer retention.Stop()
	for {
		select {
		case c := <-s.queue:
			if syncNow := s.writeBatch(s.collectBatch(c)); syncNow {
				_ = s.syncAndComplete()
				groupSync = nil
			} else if groupSync == nil && len(s.awaitingSync) > 0 {
				groupSync = time.After(GroupCommitInterval)
			}
		case <-groupSync:
			_ = s.syncAndComplete()
			groupSync = nil
		case <-retention.C:
			s.mu.Lock()
			s.index.applyRetention(time.Now())
			s.mu.Unlock()
			_ = s.merge(false)
		case <-s.stopping:
			s.finishWriting()
			return
		}
	}
}

// finishWriting writes the queued commits, for up to closeTimeout, and a final frame
// without entries. The frame says that all commits before it are synced, so that
// unreadable data is later recognized as damage rather than a torn tail.
func (s *Store) finishWriting() {
	for deadline := time.Now().Add(closeTimeout); time.Now().Before(deadline); {
		c := s.nextQueued()
		if c == nil {
			break
		}
		s.writeBatch(s.collectBatch(c))
	}
	_ = s.syncAndComplete()
	if !s.broken && s.diskFailedAt.IsZero() && s.appendFrames([][]entry{nil}) == nil {
		_ = s.syncAndComplete()
	}
}

// nextQueued returns the next queued commit; nil if there is none.
func (s *Store) nextQueued() *commit {
	select {
	case c := <-s.queue:
		return c
	default:
		return nil
	}
}

// collectBatch returns a commit and the commits queued after it, up to about
// maxBatchBytes.
func (s *Store) collectBatch(first *commit) []*commit {
	batch := []*commit{first}
	for size := first.size(); size < maxBatchBytes; {
		c := s.nextQueued()
		if c == nil {
			break
		}
		batch = append(batch, c)
		size += c.size()
	}
	return batch
}

// writeBatch appends the commits of a batch, completes those that need no sync, and then
// runs the tasks. It reports whether a commit must be synced at once.
func (s *Store) writeBatch(batch []*commit) (syncNow bool) {
	if s.broken || !s.diskFailedAt.IsZero() && time.Since(s.diskFailedAt) < diskRetryDelay {
		s.completeAll(batch, s.diskError)
		return false
	}
	commits, tasks := splitTasks(batch)
	defer func() {
		for _, c := range tasks {
			c.result <- c.task()
		}
	}()
	if len(commits) == 0 {
		return false
	}
	s.mergeIfWasteful()
	commits = s.rejectPutsIfFull(commits)
	if len(commits) == 0 {
		return false
	}
	if err := s.appendFrames(entriesOf(commits)); err != nil {
		s.completeAll(commits, err)
		return false
	}
	for _, c := range commits {
		policy := s.syncPolicyOf(c)
		syncNow = syncNow || policy == SyncImmediate
		if policy == SyncBestEffort {
			s.complete(c, nil)
		} else {
			s.awaitingSync = append(s.awaitingSync, c)
		}
	}
	return syncNow
}

// splitTasks splits a batch into commits and tasks. It reuses the array of the batch.
func splitTasks(batch []*commit) (commits, tasks []*commit) {
	commits = slices.DeleteFunc(batch, func(c *commit) bool {
		if c.task == nil {
			return false
		}
		tasks = append(tasks, c)
		return true
	})
	return commits, tasks
}

// rejectPutsIfFull completes commits that put records into a full store with ErrFull,
// and returns the others, which only remove records.
func (s *Store) rejectPutsIfFull(commits []*commit) []*commit {
	if s.index.liveBytes <= s.maxBytes {
		return commits
	}
	return slices.DeleteFunc(commits, func(c *commit) bool {
		puts := slices.ContainsFunc(c.changes, func(change Change) bool { return !change.Deleted })
		if puts {
			s.complete(c, ErrFull)
		}
		return puts
	})
}

// entriesOf converts the changes of each commit to entries.
func entriesOf(commits []*commit) [][]entry {
	frames := make([][]entry, len(commits))
	for i, c := range commits {
		for _, change := range c.changes {
			frames[i] = append(frames[i], entry{
				Kind: change.Kind, Key: change.Key, At: change.At.UnixMilli(),
				Version: change.Version, Body: change.Body, Deleted: change.Deleted,
			})
		}
	}
	return frames
}

// syncPolicyOf returns the strictest SyncPolicy among a commit's kinds.
func (s *Store) syncPolicyOf(c *commit) SyncPolicy {
	policy := SyncBestEffort
	for _, change := range c.changes {
		policy = min(policy, s.kinds[change.Kind].Sync)
	}
	return policy
}

// complete reports the outcome of a commit to its caller, and counts it if it failed.
func (s *Store) complete(c *commit, err error) {
	if err != nil {
		s.countDropped(c.changes)
	}
	if c.result != nil {
		c.result <- err
	}
}

func (s *Store) completeAll(commits []*commit, err error) {
	for _, c := range commits {
		s.complete(c, err)
	}
}

// appendFrames appends a frame for each commit to the last segment, either all or none,
// and updates the index.
func (s *Store) appendFrames(commits [][]entry) error {
	target, err := s.appendableSegment()
	if err != nil {
		return err
	}
	frames, err := s.encodeFrames(commits)
	if err != nil {
		return err // a commit is too large: the disk has not failed
	}
	if _, err := target.file.WriteAt(s.writeBuffer, target.size); err != nil {
		// A partial write must not remain in front of later commits.
		if truncateErr := target.file.Truncate(target.size); truncateErr != nil {
			return s.markBroken(errors.Join(err, truncateErr))
		}
		return s.recordDiskError(err)
	}
	s.indexFrames(target, frames)
	return nil
}

// lastSegment returns the segment with the latest commits.
func (s *Store) lastSegment() *segment { return s.index.segments[len(s.index.segments)-1] }

// appendableSegment returns the last segment, or a new one if the last is full or
// merged.
func (s *Store) appendableSegment() (*segment, error) {
	last := s.lastSegment()
	if last.size <= maxSegmentBytes && !last.merged {
		return last, nil
	}
	if err := s.syncAndComplete(); err != nil {
		return nil, err
	}
	if err := s.addSegment(); err != nil {
		return nil, s.recordDiskError(err)
	}
	return s.lastSegment(), nil
}

// encodeFrames encodes commits to writeBuffer. Their numbers follow that of the last
// commit.
func (s *Store) encodeFrames(commits [][]entry) ([]frame, error) {
	s.writeBuffer = s.writeBuffer[:0]
	number := s.index.nextNumber
	var frames []frame
	for _, entries := range commits {
		start := len(s.writeBuffer)
		var err error
		if s.writeBuffer, err = appendFrame(s.writeBuffer, number, s.syncedNumber, entries); err != nil {
			return nil, err
		}
		frames = append(frames, frame{number: number, synced: s.syncedNumber, entries: entries, size: len(s.writeBuffer) - start})
		number++
	}
	return frames, nil
}

// indexFrames updates the index with frames that were appended to a segment, and resets
// the state of a failed disk.
func (s *Store) indexFrames(target *segment, frames []frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := target.size
	for _, f := range frames {
		s.index.apply(target, offset, f)
		offset += int64(f.size)
	}
	s.index.nextNumber += uint64(len(frames))
	s.index.totalBytes += offset - target.size
	target.size = offset
	s.commits += uint64(len(frames))
	s.index.applyRetention(time.Now())
	if s.diskError != nil {
		s.log.Info("store writes resumed")
	}
	s.diskError, s.diskFailedAt = nil, time.Time{}
}

// recordDiskError records an error of the disk and returns it. Commits fail with this error
// until diskRetryDelay has passed.
func (s *Store) recordDiskError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskError == nil {
		s.log.Error("store writes failing", "error", err, "full", errors.Is(err, unix.ENOSPC))
	}
	s.diskError, s.diskFailedAt = err, time.Now()
	return err
}

// markBroken records an error after which the content of the files is unknown, and stops
// all further writes. It returns the error.
func (s *Store) markBroken(err error) error {
	s.broken = true
	return s.recordDiskError(err)
}

// syncAndComplete syncs the last segment and completes the commits that wait for the sync.
func (s *Store) syncAndComplete() error {
	err := s.syncLastSegment()
	s.completeAll(s.awaitingSync, err)
	s.awaitingSync = s.awaitingSync[:0]
	return err
}

// syncLastSegment syncs the last segment if it has unsynced commits.
func (s *Store) syncLastSegment() error {
	if s.broken {
		return s.diskError
	}
	if s.syncedNumber >= s.index.nextNumber-1 {
		return nil
	}
	if err := s.lastSegment().file.Sync(); err != nil {
		// The kernel may have discarded the dirty pages, in which case another sync
		// would succeed without the data.
		return s.markBroken(fmt.Errorf("sync: %w", err))
	}
	s.syncedNumber = s.index.nextNumber - 1
	s.mu.Lock()
	s.syncs++
	s.mu.Unlock()
	return nil
}

// prepareAppend removes leftovers and the torn tail of a crash, and makes sure that the
// last segment can be appended to.
func (s *Store) prepareAppend() error {
	if err := s.index.removeLeftovers(); err != nil {
		return err
	}
	s.syncedNumber = s.index.nextNumber - 1 // commits that were read are synced below
	if len(s.index.segments) == 0 || s.lastSegment().merged {
		return s.addSegment()
	}
	last := s.lastSegment()
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

// writeHeader truncates a segment's file and writes its header.
func (s *Store) writeHeader(target *segment) error {
	if err := target.file.Truncate(0); err != nil {
		return err
	}
	if _, err := target.file.WriteAt(target.segmentHeader.appendTo(nil), 0); err != nil {
		return err
	}
	if err := target.file.Sync(); err != nil {
		return err
	}
	s.index.totalBytes += segmentHeaderSize - target.size
	target.size = segmentHeaderSize
	return s.dir.SyncDir()
}

// addSegment creates an empty segment after the last one.
func (s *Store) addSegment() error {
	added := &segment{segmentHeader: segmentHeader{first: s.index.nextNumber}}
	added.name = added.fileName()
	var err error
	if added.file, err = s.dir.Create(added.name); err != nil {
		return err
	}
	if err := s.writeHeader(added); err != nil {
		_ = added.file.Close()
		return err
	}
	s.mu.Lock()
	s.index.segments = append(s.index.segments, added)
	s.mu.Unlock()
	return nil
}
