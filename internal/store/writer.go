package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxBatchBytes     = 128 << 10 // written at once, about
	maxSegmentBytes   = 4 << 20   // a segment is not appended to beyond that
	diskRetryDelay    = time.Second
	retentionInterval = time.Minute // between checks of age while nothing is committed
)

// runWriter writes the files until the store is closed: what is queued goes to
// the disk together. Errors of sync and merge are reported to the commits that
// wait, and logged, where they come up: nothing is left to be done about them
// here.
func (s *Store) runWriter() {
	defer close(s.stopped)
	var groupSync <-chan time.Time // when commits that wait are to be synced
	retention := time.NewTicker(retentionInterval)
	defer retention.Stop()
	for {
		select {
		case c := <-s.queue:
			if syncNow := s.writeBatch(s.collectBatch(c)); syncNow {
				_ = s.syncSegment()
				groupSync = nil
			} else if groupSync == nil && len(s.awaitingSync) > 0 {
				groupSync = time.After(GroupCommitInterval)
			}
		case <-groupSync:
			_ = s.syncSegment()
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

// finishWriting writes what is still queued, for up to closeTimeout, and a last
// frame which says that all before it is synced: what is unreadable later is
// damage, and no torn tail.
func (s *Store) finishWriting() {
	for deadline := time.Now().Add(closeTimeout); time.Now().Before(deadline); {
		c := s.nextQueued()
		if c == nil {
			break
		}
		s.writeBatch(s.collectBatch(c))
	}
	_ = s.syncSegment()
	if !s.broken && s.diskFailedAt.IsZero() && s.appendFrames([][]entry{nil}) == nil {
		_ = s.syncSegment()
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

// collectBatch returns a commit with those queued after it, up to a size.
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

// writeBatch appends commits, completes those that need no sync, and runs tasks
// afterwards. It reports whether a commit is to be synced at once.
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
	commits = s.rejectWithoutRoom(commits)
	if len(commits) == 0 {
		return false
	}
	if err := s.appendFrames(entriesOf(commits)); err != nil {
		s.completeAll(commits, err)
		return false
	}
	for _, c := range commits {
		when := s.syncOf(c)
		syncNow = syncNow || when == SyncImmediate
		if when == SyncBestEffort {
			s.complete(c, nil)
		} else {
			s.awaitingSync = append(s.awaitingSync, c)
		}
	}
	return syncNow
}

// splitTasks splits a batch, whose array it reuses, into commits and tasks.
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

// rejectWithoutRoom rejects commits that put records into a store that is full.
// Those that only remove may make room.
func (s *Store) rejectWithoutRoom(commits []*commit) []*commit {
	if s.index.liveBytes <= s.maxBytes {
		return commits
	}
	return slices.DeleteFunc(commits, func(c *commit) bool {
		puts := slices.ContainsFunc(c.changes, func(change Change) bool { return !change.Deleted })
		if puts {
			s.complete(c, ErrNoRoom)
		}
		return puts
	})
}

// entriesOf returns the entries of each commit.
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

// syncOf returns the safest Sync of a commit's kinds.
func (s *Store) syncOf(c *commit) SyncPolicy {
	when := SyncBestEffort
	for _, change := range c.changes {
		when = min(when, s.kinds[change.Kind].Sync)
	}
	return when
}

// complete reports the outcome of a commit.
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

// appendFrames appends a frame for each commit to the last segment, all or none,
// and enters them in the index.
func (s *Store) appendFrames(commits [][]entry) error {
	target, err := s.appendableSegment()
	if err != nil {
		return err
	}
	frames, err := s.encodeFrames(commits)
	if err != nil {
		return err // too large: nothing is wrong with the disk
	}
	if _, err := target.file.WriteAt(s.writeBuffer, target.size); err != nil {
		// What was written in part must not be taken for a commit that follows it.
		if truncateErr := target.file.Truncate(target.size); truncateErr != nil {
			return s.markBroken(errors.Join(err, truncateErr))
		}
		return s.diskFailed(err)
	}
	s.indexFrames(target, frames)
	return nil
}

// lastSegment returns the segment at the end of the chain.
func (s *Store) lastSegment() *segment { return s.index.segments[len(s.index.segments)-1] }

// appendableSegment returns the last segment, or a new one if that is full or
// merged.
func (s *Store) appendableSegment() (*segment, error) {
	last := s.lastSegment()
	if last.size <= maxSegmentBytes && !last.merged {
		return last, nil
	}
	if err := s.syncSegment(); err != nil {
		return nil, err
	}
	if err := s.addSegment(); err != nil {
		return nil, s.diskFailed(err)
	}
	return s.lastSegment(), nil
}

// encodeFrames encodes commits to writeBuffer, with the numbers that follow the
// last commit.
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

// indexFrames enters frames that were written at the end of a segment in the
// index. The disk works again if it had failed.
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

// diskFailed notes that the disk failed with an error, which it returns. Commits
// are tried again after diskRetryDelay.
func (s *Store) diskFailed(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskError == nil {
		s.log.Error("store writes failing", "error", err, "full", errors.Is(err, unix.ENOSPC))
	}
	s.diskError, s.diskFailedAt = err, time.Now()
	return err
}

// markBroken ends all writing, as it is not known which of the commits that were
// not synced the disk has. It returns its error.
func (s *Store) markBroken(err error) error {
	s.broken = true
	return s.diskFailed(err)
}

// syncSegment makes all that was written outlast a power failure, and completes
// the commits that wait for it.
func (s *Store) syncSegment() error {
	err := s.syncLast()
	s.completeAll(s.awaitingSync, err)
	s.awaitingSync = s.awaitingSync[:0]
	return err
}

// syncLast syncs the last segment if commits were written since its last sync.
func (s *Store) syncLast() error {
	if s.broken {
		return s.diskError
	}
	if s.syncedNumber >= s.index.nextNumber-1 {
		return nil
	}
	if err := s.lastSegment().file.Sync(); err != nil {
		// The kernel may have dropped what it could not write: a second sync would
		// report that all is well.
		return s.markBroken(fmt.Errorf("sync: %w", err))
	}
	s.syncedNumber = s.index.nextNumber - 1
	s.mu.Lock()
	s.syncs++
	s.mu.Unlock()
	return nil
}

// prepareAppend makes the last segment one that can be appended to.
func (s *Store) prepareAppend() error {
	if err := s.index.removeLeftovers(); err != nil {
		return err
	}
	s.syncedNumber = s.index.nextNumber - 1 // what was read is synced below
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

// writeHeader writes a segment's header to an empty file.
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
	return s.folder.SyncDir()
}

// addSegment adds a segment to the chain.
func (s *Store) addSegment() error {
	added := &segment{segmentHeader: segmentHeader{first: s.index.nextNumber}}
	added.name = added.fileName()
	var err error
	if added.file, err = s.folder.Create(added.name); err != nil {
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
