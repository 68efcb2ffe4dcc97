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

// errCrash is returned by all operations that change something after a simulated crash.
var errCrash = errors.New("simulated crash")

// memFS is an in-memory FS that simulates a crash: any part of the unsynced writes to a file, and any unsynced change
// of a file name, may be lost.
type memFS struct {
	mu         sync.Mutex // guards the fields below, and the data of all files
	files      map[string]*memFileData
	synced     map[string]*memFileData // the files as of the last SyncDir
	locked     bool
	operations int  // number of operations so far that change something
	crashAt    int  // number of the operation that a crash prevents; 0: no crash
	fullAt     int  // number of the operation from which the disk is full; 0: never full
	bytesLeft  int  // bytes that can still be written to a full disk
	down       bool // the crash has happened
}

// memFileData is the content of a file.
type memFileData struct {
	data, synced []byte
	unsynced     []memWrite // writes since the last sync
}

// memWrite is a write or a truncation.
type memWrite struct {
	offset int64
	data   []byte // nil: truncated to offset
}

// memFile is an open file.
type memFile struct {
	fs   *memFS
	data *memFileData
}

func newMemFS() *memFS {
	return &memFS{files: make(map[string]*memFileData), synced: make(map[string]*memFileData)}
}

// countOperation counts an operation that changes something. It returns errCrash from the crash on.
func (m *memFS) countOperation() error {
	if m.operations++; m.down || m.crashAt > 0 && m.operations >= m.crashAt {
		m.down = true
		return errCrash
	}
	return nil
}

func (m *memFS) isFull() bool { return m.fullAt > 0 && m.operations >= m.fullAt }

func (m *memFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if file := m.files[name]; file != nil {
		return &memFile{m, file}, nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	if m.isFull() {
		return nil, unix.ENOSPC
	}
	m.files[name] = &memFileData{}
	return &memFile{m, m.files[name]}, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memFS) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	m.synced = maps.Clone(m.files)
	return nil
}

type memLock struct{ fs *memFS }

func (l memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	l.fs.locked = false
	return nil
}

func (m *memFS) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return memLock{m}, nil
}

// afterCrash returns a copy with a random choice of the states that a crash may leave behind.
func (m *memFS) afterCrash(rng *rand.Rand) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := newMemFS()
	names := maps.Clone(m.synced)
	for name, file := range m.files { // an unsynced name may be on disk
		if rng.IntN(2) == 0 {
			names[name] = file
		}
	}
	for name := range m.synced {
		if m.files[name] == nil && rng.IntN(2) == 0 {
			delete(names, name)
		}
	}
	for name, file := range names {
		data := slices.Clone(file.synced)
		for _, write := range file.unsynced { // any unsynced write may be on disk, as a whole or in part
			if rng.IntN(3) > 0 {
				if write.data != nil {
					write.data = write.data[:rng.IntN(len(write.data)+1)]
				}
				data = write.applyTo(data)
			}
		}
		after.files[name] = &memFileData{data: data, synced: slices.Clone(data)}
	}
	after.synced = maps.Clone(after.files)
	return after
}

// clone returns a copy with the current names and data, all of them synced.
func (m *memFS) clone() *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := newMemFS()
	for name, file := range m.files {
		copied.files[name] = &memFileData{data: slices.Clone(file.data), synced: slices.Clone(file.data)}
	}
	copied.synced = maps.Clone(copied.files)
	return copied
}

// applyTo returns a file's data after the write.
func (write memWrite) applyTo(data []byte) []byte {
	if write.data == nil {
		if int64(len(data)) > write.offset {
			return data[:write.offset]
		}
		return append(data, make([]byte, write.offset-int64(len(data)))...)
	}
	if need := int(write.offset) + len(write.data); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[write.offset:], write.data)
	return data
}

// change applies a write. At a crash or on a full disk it fails, and may apply a part of the write.
func (f *memFile) change(write memWrite) error {
	if err := f.fs.countOperation(); err != nil {
		if write.data != nil { // a part of the write may be on disk
			write.data = write.data[:len(write.data)/2]
			f.data.unsynced = append(f.data.unsynced, write)
		}
		return err
	}
	var full error
	if write.data != nil && f.fs.isFull() {
		n := min(f.fs.bytesLeft, len(write.data))
		f.fs.bytesLeft -= n
		if write.data, full = write.data[:n], unix.ENOSPC; n == 0 {
			return full
		}
	}
	f.data.data = write.applyTo(f.data.data)
	f.data.unsynced = append(f.data.unsynced, write)
	return full
}

func (f *memFile) WriteAt(data []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.change(memWrite{offset, append([]byte{}, data...)}); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (f *memFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.change(memWrite{size, nil})
}

func (f *memFile) ReadAt(data []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if offset >= int64(len(f.data.data)) {
		return 0, io.EOF
	}
	n := copy(data, f.data.data[offset:])
	if n < len(data) {
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
