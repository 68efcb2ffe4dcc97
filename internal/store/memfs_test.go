package store

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
)

var errCrash = errors.New("the machine is down")

// memFS is a folder in memory that loses at a crash what was not synced: of each file any part of what was
// written since, of the folder the names that changed since.
type memFS struct {
	mu         sync.Mutex
	files      map[string]*memFileData
	synced     map[string]*memFileData // as of the last SyncDir
	locked     bool
	operations int // operations that change something, so far
	crashAt    int // the operation that the machine goes down before; 0: none
	fullAt     int // the operation from which on the disk is full; 0: none
	bytesLeft  int // bytes that the first write to a full disk still takes
	down       bool
}

type memFileData struct {
	data, synced []byte
	unsynced     []memWrite // since the last sync
}

type memWrite struct {
	offset int64
	data   []byte // nil: cut to at
}

type memFile struct {
	fs   *memFS
	data *memFileData
}

func newMemFS() *memFS {
	return &memFS{files: make(map[string]*memFileData), synced: make(map[string]*memFileData)}
}

// countOperation counts an operation that changes something.
func (folder *memFS) countOperation() error {
	if folder.operations++; folder.down || folder.crashAt > 0 && folder.operations >= folder.crashAt {
		folder.down = true
		return errCrash
	}
	return nil
}

func (folder *memFS) isFull() bool { return folder.fullAt > 0 && folder.operations >= folder.fullAt }

func (folder *memFS) Open(name string) (File, error) {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	if d := folder.files[name]; d != nil {
		return &memFile{folder, d}, nil
	}
	return nil, fs.ErrNotExist
}

func (folder *memFS) Create(name string) (File, error) {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	if err := folder.countOperation(); err != nil {
		return nil, err
	}
	if folder.isFull() {
		return nil, unix.ENOSPC
	}
	folder.files[name] = &memFileData{}
	return &memFile{folder, folder.files[name]}, nil
}

func (folder *memFS) Rename(from, to string) error {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	if err := folder.countOperation(); err != nil {
		return err
	}
	folder.files[to] = folder.files[from]
	delete(folder.files, from)
	return nil
}

func (folder *memFS) Remove(name string) error {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	if err := folder.countOperation(); err != nil {
		return err
	}
	if folder.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(folder.files, name)
	return nil
}

func (folder *memFS) List() ([]string, error) {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	return slices.Sorted(maps.Keys(folder.files)), nil
}

func (folder *memFS) SyncDir() error {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	if err := folder.countOperation(); err != nil {
		return err
	}
	folder.synced = maps.Clone(folder.files)
	return nil
}

type memLock struct{ m *memFS }

func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.m.locked = false
	return nil
}

func (folder *memFS) Lock() (io.Closer, error) {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	if folder.locked {
		return nil, ErrLocked
	}
	folder.locked = true
	return memLock{folder}, nil
}

// afterCrash is the folder as it may be found after a crash.
func (folder *memFS) afterCrash(rng *rand.Rand) *memFS {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	after := newMemFS()
	names := maps.Clone(folder.synced)
	for name, d := range folder.files { // a name's change may have got there by itself
		if rng.IntN(2) == 0 {
			names[name] = d
		}
	}
	for name := range folder.synced {
		if folder.files[name] == nil && rng.IntN(2) == 0 {
			delete(names, name)
		}
	}
	for name, d := range names {
		b := slices.Clone(d.synced)
		for _, w := range d.unsynced { // in any order and any part, as the kernel writes back
			if rng.IntN(3) > 0 {
				if w.data != nil {
					w.data = w.data[:rng.IntN(len(w.data)+1)]
				}
				b = w.applyTo(b)
			}
		}
		after.files[name] = &memFileData{data: b, synced: slices.Clone(b)}
	}
	after.synced = maps.Clone(after.files)
	return after
}

// clone is the folder as it stands, with the names and bytes of now.
func (folder *memFS) clone() *memFS {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	c := newMemFS()
	for name, d := range folder.files {
		c.files[name] = &memFileData{data: slices.Clone(d.data), synced: slices.Clone(d.data)}
	}
	c.synced = maps.Clone(c.files)
	return c
}

func (w memWrite) applyTo(b []byte) []byte {
	if w.data == nil {
		if int64(len(b)) > w.offset {
			return b[:w.offset]
		}
		return append(b, make([]byte, w.offset-int64(len(b)))...)
	}
	if need := int(w.offset) + len(w.data); need > len(b) {
		b = append(b, make([]byte, need-len(b))...)
	}
	copy(b[w.offset:], w.data)
	return b
}

func (f *memFile) change(w memWrite) error {
	if err := f.fs.countOperation(); err != nil {
		if w.data != nil { // a write may get there in part
			w.data = w.data[:len(w.data)/2]
			f.data.unsynced = append(f.data.unsynced, w)
		}
		return err
	}
	var full error
	if w.data != nil && f.fs.isFull() {
		n := min(f.fs.bytesLeft, len(w.data))
		f.fs.bytesLeft -= n
		if w.data, full = w.data[:n], unix.ENOSPC; n == 0 {
			return full
		}
	}
	f.data.data = w.applyTo(f.data.data)
	f.data.unsynced = append(f.data.unsynced, w)
	return full
}

func (f *memFile) WriteAt(b []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.change(memWrite{at, append([]byte{}, b...)}); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (f *memFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.change(memWrite{size, nil})
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if at >= int64(len(f.data.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.data.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.data.data)), nil
}

func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	f.data.synced, f.data.unsynced = slices.Clone(f.data.data), nil
	return nil
}

func (f *memFile) Close() error { return nil }
