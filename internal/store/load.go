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
	head
	name string
	file File
	size int64
}

// slot is where a record is.
type slot struct {
	kind, key string
	at        time.Time
	version   uint
	number    uint64
	seg       *segment
	off       int64 // of its frame
	size      int   // of its frame
	pos       int   // in the frame
	weight    int64 // of its own bytes, about
	place     *list.Element
}

// table holds a kind's records, in the order in which they were last put.
type table struct {
	Kind
	keys  map[string]*slot
	order *list.List
}

// image is a store as its files have it.
type image struct {
	fs       FS
	kinds    map[string]*table
	segments []*segment // the last is the one that is appended to, if it is plain
	next     uint64     // number of the next commit
	synced   uint64     // commits that were sure to last when the last of them was written
	bytes    int64
	live     int64
	report   Report
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
func load(folder FS, kinds []Kind, salvage bool) (m *image, err error) {
	began := time.Now()
	m = &image{fs: folder, kinds: make(map[string]*table), next: 1}
	for _, k := range kinds {
		m.kinds[k.Name] = &table{k, make(map[string]*slot), list.New()}
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
	heads := make([]head, 0, len(names))
	for _, name := range names {
		if h, ok := ofName(name); ok {
			heads = append(heads, h)
		}
	}
	// Of those that begin alike the one that stands for most comes first.
	slices.SortFunc(heads, func(x, y head) int {
		return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(y.last, x.last))
	})
	covered := uint64(0)
	for i, h := range heads {
		if h.first <= covered {
			m.report.Replaced = append(m.report.Replaced, h.name())
			continue
		}
		if h.merged {
			covered = h.last
		}
		lastOne := !slices.ContainsFunc(heads[i+1:], func(x head) bool { return x.first > covered })
		d, err := m.read(h, lastOne && !h.merged, salvage)
		if err != nil {
			return m, err
		}
		if m.report.Damaged = append(m.report.Damaged, d...); len(d) > 0 && !salvage {
			return m, d[0]
		}
	}
	m.retain(time.Now())
	for _, t := range m.kinds {
		m.report.Records += len(t.keys)
	}
	m.report.Commits, m.report.Files, m.report.Bytes, m.report.LiveBytes = m.next-1, len(m.segments), m.bytes, m.live
	m.report.Duration = time.Since(began)
	return m, nil
}

// read reads a segment. What is at the end of the last may be torn.
func (m *image) read(h head, last, salvage bool) (damages []*Damage, err error) {
	name := h.name()
	f, err := m.fs.Open(name)
	if err != nil {
		return nil, err
	}
	s := &segment{head: h, name: name, file: f}
	m.segments = append(m.segments, s)
	b, err := readAll(f)
	if err != nil {
		return nil, err
	}
	s.size = int64(len(b))
	m.bytes += s.size
	damage := func(at int, err error) {
		damages = append(damages, &Damage{name, int64(at), err})
	}
	if h.first != m.next {
		damage(0, fmt.Errorf("the commits from %d to %d are not there", m.next, h.first-1))
	}
	// Commits that an earlier file lost are no reason to number later ones anew.
	m.next = h.first
	at := headSize
	inside, err := readHead(name, b)
	var other *FormatError
	switch {
	case errors.As(err, &other):
		return damages, err
	case err == nil && inside != h:
		err = errors.New("its head is another file's")
		fallthrough
	case err != nil:
		if last && len(b) <= headSize { // its head is synced before anything else is written
			m.report.TornTail = &TornTail{name, 0, s.size}
			m.bytes -= s.size
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
		case h.merged && (f.number < h.first || f.number > h.last), !h.merged && f.number != m.next:
			err = fmt.Errorf("commit %d is not the one that belongs here, %d", f.number, m.next)
		}
		if err == nil {
			m.apply(s, int64(at), f)
			whole = h.merged && len(f.entries) == 0
			at += f.size
			if !h.merged {
				m.next, m.synced = f.number+1, max(m.synced, f.synced)
			}
			continue
		}
		if last && m.torn(b, at) {
			m.report.TornTail = &TornTail{name, int64(at), s.size - int64(at)}
			m.bytes -= s.size - int64(at)
			s.size = int64(at)
			return damages, nil
		}
		damage(at, err)
		n := nextFrame(b[at:])
		if !salvage || n < 0 {
			break
		}
		at += n
		if f, _ := readFrame(b[at:]); !h.merged && f.number > m.next {
			m.next = f.number
		}
	}
	if h.merged {
		if !whole && len(damages) == 0 {
			damage(len(b), errShort)
		}
		m.next = h.last + 1
	}
	if !h.merged && !last {
		m.synced = m.next - 1 // a file is synced before the next is begun
	}
	return damages, nil
}

// torn tells whether what can't be read from a place of the last file on may be a tail that a crash tore: whether
// no later commit says that what should be there was sure to last.
func (m *image) torn(b []byte, at int) bool {
	for rest := b[at:]; ; {
		n := nextFrame(rest)
		if n < 0 {
			return true
		}
		rest = rest[n:]
		if f, err := readFrame(rest); err == nil && f.synced >= m.next {
			return false
		}
	}
}

// apply enters a commit's records.
func (m *image) apply(s *segment, off int64, f frame) {
	for i, e := range f.entries {
		if m.kinds[e.Kind] == nil { // of another version of this program: kept as it is
			m.kinds[e.Kind] = &table{Kind{Name: e.Kind}, make(map[string]*slot), list.New()}
		}
		m.remove(m.kinds[e.Kind].keys[e.Key])
		if e.Gone {
			continue
		}
		m.enter(&slot{kind: e.Kind, key: e.Key, at: time.UnixMilli(e.At), version: e.Version, number: f.number, seg: s, off: off, size: f.size, pos: i,
			weight: int64(len(e.Kind) + len(e.Key) + len(e.Body) + 24)})
	}
}

func (m *image) enter(s *slot) {
	t := m.kinds[s.kind]
	t.keys[s.key] = s
	s.place = t.order.PushBack(s)
	m.live += s.weight
}

func (m *image) remove(s *slot) {
	if s == nil {
		return
	}
	t := m.kinds[s.kind]
	delete(t.keys, s.key)
	t.order.Remove(s.place)
	m.live -= s.weight
}

// retain lets go of records that are too old or too many, the oldest first.
func (m *image) retain(now time.Time) {
	for _, t := range m.kinds {
		for e := t.order.Front(); e != nil; e = t.order.Front() {
			s := e.Value.(*slot)
			if !(t.MaxRecords > 0 && len(t.keys) > t.MaxRecords || t.Retention > 0 && now.Sub(s.at) > t.Retention) {
				break
			}
			m.remove(s)
		}
	}
}

// body reads a record.
func (m *image) body(s *slot) (entry, error) {
	b := make([]byte, s.size)
	if n, err := s.seg.file.ReadAt(b, s.off); n < len(b) {
		return entry{}, &Damage{s.seg.name, s.off, err}
	}
	f, err := readFrame(b)
	if err != nil {
		return entry{}, &Damage{s.seg.name, s.off, err}
	}
	if s.pos >= len(f.entries) || f.entries[s.pos].Key != s.key || f.entries[s.pos].Kind != s.kind {
		return entry{}, &Damage{s.seg.name, s.off, errors.New("it is another record")}
	}
	return f.entries[s.pos], nil
}

// clean removes what a crash left: files that were not finished, and those that another stands for.
func (m *image) clean() error {
	names, err := m.fs.List()
	if err != nil {
		return err
	}
	for _, name := range append(slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".tmp") }), m.report.Replaced...) {
		if err := m.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

func (m *image) close() {
	for _, s := range m.segments {
		_ = s.file.Close() // what was written to it was synced
	}
	m.segments = nil
}
