package store

import (
	"cmp"
	"container/list"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"time"
)

// Damage is a place in a store's file that can't be read and was not torn by a crash: what was sure to
// last is not there.
type Damage struct {
	File   string
	Offset int64
	Err    error
}

func (d *Damage) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", d.File, d.Offset, d.Err)
}

func (d *Damage) Unwrap() error { return d.Err }

// TornTail is the end of the last file as a crash left it: nothing in it was reported committed to last.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Report tells what opening a store found.
type Report struct {
	Records   int
	Commits   uint64 // the last one's number
	Files     int
	Bytes     int64
	LiveBytes int64 // of them, of records that are still there; a merge leaves these
	TornTail  *TornTail
	Damaged   []*Damage // found by a check, or passed over by a repair
	Replaced  []string  // files that a merged one stands for, left by a crash
	Duration  time.Duration
}

// segment is one file of the chain.
type segment struct {
	segmentHeader
	name string
	file File
	size int64
}

// location is where a record is.
type location struct {
	kind, key string
	at        time.Time
	version   uint
	number    uint64
	segment   *segment
	offset    int64 // of its frame
	frameSize int   // of its frame
	position  int   // in the frame
	bytes     int64 // of its own bytes, about
	element   *list.Element
}

// kindTable holds a kind's records, in the order in which they were last put.
type kindTable struct {
	Kind
	byKey map[string]*location
	order *list.List
}

// fileIndex is a store as its files have it.
type fileIndex struct {
	folder       FS
	tables       map[string]*kindTable
	segments     []*segment // the last is the one that is appended to, if it is plain
	nextNumber   uint64     // number of the next commit
	syncedNumber uint64     // commits that were sure to last when the last of them was written
	totalBytes   int64
	liveBytes    int64
	report       Report
}

// readAll reads a file.
func readAll(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	n, err := f.ReadAt(b, 0)
	if n == len(b) {
		return b, nil
	}
	return nil, err
}

// load reads the files of a store. With salvage damages are passed over and told of; else
// the first is the error.
func load(folder FS, kinds []Kind, salvage bool) (m *fileIndex, err error) {
	began := time.Now()
	m = &fileIndex{folder: folder, tables: make(map[string]*kindTable), nextNumber: 1}
	for _, k := range kinds {
		m.tables[k.Name] = &kindTable{k, make(map[string]*location), list.New()}
	}
	defer func() {
		if err != nil {
			m.close()
			m = nil
		}
	}()
	names, err := folder.List()
	if err != nil {
		return m, err
	}
	heads := make([]segmentHeader, 0, len(names))
	for _, name := range names {
		if h, ok := parseSegmentName(name); ok {
			heads = append(heads, h)
		}
	}
	// Of those that begin alike the one that stands for most comes first.
	slices.SortFunc(heads, func(x, y segmentHeader) int {
		return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(y.last, x.last))
	})
	covered := uint64(0)
	for i, h := range heads {
		if h.first <= covered {
			m.report.Replaced = append(m.report.Replaced, h.fileName())
			continue
		}
		if h.merged {
			covered = h.last
		}
		lastOne := !slices.ContainsFunc(heads[i+1:], func(x segmentHeader) bool { return x.first > covered })
		d, err := m.readSegment(h, lastOne && !h.merged, salvage)
		if err != nil {
			return m, err
		}
		if m.report.Damaged = append(m.report.Damaged, d...); len(d) > 0 && !salvage {
			return m, d[0]
		}
	}
	m.applyRetention(time.Now())
	for _, t := range m.tables {
		m.report.Records += len(t.byKey)
	}
	m.report.Commits, m.report.Files, m.report.Bytes, m.report.LiveBytes = m.nextNumber-1, len(m.segments), m.totalBytes, m.liveBytes
	m.report.Duration = time.Since(began)
	return m, nil
}

// readSegment reads a segment. What is at the end of the last may be torn.
func (m *fileIndex) readSegment(h segmentHeader, last, salvage bool) (damages []*Damage, err error) {
	name := h.fileName()
	f, err := m.folder.Open(name)
	if err != nil {
		return nil, err
	}
	s := &segment{segmentHeader: h, name: name, file: f}
	m.segments = append(m.segments, s)
	b, err := readAll(f)
	if err != nil {
		return nil, err
	}
	s.size = int64(len(b))
	m.totalBytes += s.size
	damage := func(at int, err error) {
		damages = append(damages, &Damage{name, int64(at), err})
	}
	if h.first != m.nextNumber {
		damage(0, fmt.Errorf("the commits from %d to %d are not there", m.nextNumber, h.first-1))
	}
	// Commits that an earlier file lost are no reason to number later ones anew.
	m.nextNumber = h.first
	at := segmentHeaderSize
	inside, err := readSegmentHeader(name, b)
	var other *FormatError
	switch {
	case errors.As(err, &other):
		return damages, err
	case err == nil && inside != h:
		err = errors.New("its head is another file's")
		fallthrough
	case err != nil:
		if last && len(b) <= segmentHeaderSize { // its head is synced before anything else is written
			m.report.TornTail = &TornTail{name, 0, s.size}
			m.totalBytes -= s.size
			s.size = 0
			return damages, nil
		}
		damage(0, err)
		if at = min(at, len(b)); nextFrame(b) < 0 {
			at = len(b)
		}
	}
	whole := false // a merged one has come to its end
	for at < len(b) {
		f, err := readFrame(b[at:])
		switch {
		case err != nil:
		case whole:
			err = errors.New("something follows its end")
		case h.merged && (f.number < h.first || f.number > h.last), !h.merged && f.number != m.nextNumber:
			err = fmt.Errorf("commit %d is not the one that belongs here, %d", f.number, m.nextNumber)
		}
		if err == nil {
			m.apply(s, int64(at), f)
			whole = h.merged && len(f.entries) == 0
			at += f.size
			if !h.merged {
				m.nextNumber, m.syncedNumber = f.number+1, max(m.syncedNumber, f.synced)
			}
			continue
		}
		if last && m.isTornTail(b, at) {
			m.report.TornTail = &TornTail{name, int64(at), s.size - int64(at)}
			m.totalBytes -= s.size - int64(at)
			s.size = int64(at)
			return damages, nil
		}
		damage(at, err)
		n := nextFrame(b[at:])
		if !salvage || n < 0 {
			break
		}
		at += n
		if f, _ := readFrame(b[at:]); !h.merged && f.number > m.nextNumber {
			m.nextNumber = f.number
		}
	}
	if h.merged {
		if !whole && len(damages) == 0 {
			damage(len(b), errTruncated)
		}
		m.nextNumber = h.last + 1
	}
	if !h.merged && !last {
		m.syncedNumber = m.nextNumber - 1 // a file is synced before the next is begun
	}
	return damages, nil
}

// isTornTail tells whether what can't be read from a place of the last file on may be a tail that a crash tore: whether
// no later commit says that what should be there was sure to last.
func (m *fileIndex) isTornTail(b []byte, at int) bool {
	for rest := b[at:]; ; {
		n := nextFrame(rest)
		if n < 0 {
			return true
		}
		rest = rest[n:]
		if f, err := readFrame(rest); err == nil && f.synced >= m.nextNumber {
			return false
		}
	}
}

// apply enters a commit's records.
func (m *fileIndex) apply(s *segment, off int64, f frame) {
	for i, e := range f.entries {
		if m.tables[e.Kind] == nil { // of another version of this program: kept as it is
			m.tables[e.Kind] = &kindTable{Kind{Name: e.Kind}, make(map[string]*location), list.New()}
		}
		m.remove(m.tables[e.Kind].byKey[e.Key])
		if e.Deleted {
			continue
		}
		m.insert(&location{kind: e.Kind, key: e.Key, at: time.UnixMilli(e.At), version: e.Version, number: f.number, segment: s, offset: off, frameSize: f.size, position: i,
			bytes: int64(len(e.Kind) + len(e.Key) + len(e.Body) + 24)})
	}
}

func (m *fileIndex) insert(s *location) {
	t := m.tables[s.kind]
	t.byKey[s.key] = s
	s.element = t.order.PushBack(s)
	m.liveBytes += s.bytes
}

func (m *fileIndex) remove(s *location) {
	if s == nil {
		return
	}
	t := m.tables[s.kind]
	delete(t.byKey, s.key)
	t.order.Remove(s.element)
	m.liveBytes -= s.bytes
}

// applyRetention lets go of records that are too old or too many, the oldest first.
func (m *fileIndex) applyRetention(now time.Time) {
	for _, t := range m.tables {
		for e := t.order.Front(); e != nil; e = t.order.Front() {
			s := e.Value.(*location)
			if !(t.MaxRecords > 0 && len(t.byKey) > t.MaxRecords || t.Retention > 0 && now.Sub(s.at) > t.Retention) {
				break
			}
			m.remove(s)
		}
	}
}

// readEntry reads a record.
func (m *fileIndex) readEntry(s *location) (entry, error) {
	b := make([]byte, s.frameSize)
	if n, err := s.segment.file.ReadAt(b, s.offset); n < len(b) {
		return entry{}, &Damage{s.segment.name, s.offset, err}
	}
	f, err := readFrame(b)
	if err != nil {
		return entry{}, &Damage{s.segment.name, s.offset, err}
	}
	if s.position >= len(f.entries) || f.entries[s.position].Key != s.key || f.entries[s.position].Kind != s.kind {
		return entry{}, &Damage{s.segment.name, s.offset, errors.New("it is another record")}
	}
	return f.entries[s.position], nil
}

// removeLeftovers removes what a crash left: files that were not finished, and those that another stands for.
func (m *fileIndex) removeLeftovers() error {
	names, err := m.folder.List()
	if err != nil {
		return err
	}
	for _, name := range append(slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".tmp") }), m.report.Replaced...) {
		if err := m.folder.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

func (m *fileIndex) close() {
	for _, s := range m.segments {
		_ = s.file.Close() // what was written to it was synced
	}
	m.segments = nil
}
