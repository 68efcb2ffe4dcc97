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

// errCrash is what all operations return after the crash.
var errCrash = errors.New("the machine is down")

// memFS is a folder in memory that loses what was not synced at a crash: of each file any part of what was written
// since the last sync, of the folder the names that changed since.
type memFS struct {
	mu         sync.Mutex // guards what follows, and the data of all files
	files      map[string]*memFileData
	synced     map[string]*memFileData // as of the last SyncDir
	locked     bool
	operations int // operations that change something, so far
	crashAt    int // the operation that the machine crashes before; 0: none
	fullAt     int // the operation from which on the disk is full; 0: none
	bytesLeft  int // bytes that the first write to a full disk still takes
	down       bool
}

// memFileData is the content of a file.
type memFileData struct {
	data, synced []byte
	unsynced     []memWrite // since the last sync
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
	if file := folder.files[name]; file != nil {
		return &memFile{folder, file}, nil
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

type memLock struct{ folder *memFS }

func (l memLock) Close() error {
	l.folder.mu.Lock()
	defer l.folder.mu.Unlock()
	l.folder.locked = false
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

// afterCrash returns the folder as it may be found after a crash.
func (folder *memFS) afterCrash(rng *rand.Rand) *memFS {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	after := newMemFS()
	names := maps.Clone(folder.synced)
	for name, file := range folder.files { // a change of a name may be on disk without a sync
		if rng.IntN(2) == 0 {
			names[name] = file
		}
	}
	for name := range folder.synced {
		if folder.files[name] == nil && rng.IntN(2) == 0 {
			delete(names, name)
		}
	}
	for name, file := range names {
		data := slices.Clone(file.synced)
		for _, write := range file.unsynced { // in any order and any part, as the kernel writes back
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

// clone returns a copy of the folder with its current names and bytes, all of them synced.
func (folder *memFS) clone() *memFS {
	folder.mu.Lock()
	defer folder.mu.Unlock()
	copied := newMemFS()
	for name, file := range folder.files {
		copied.files[name] = &memFileData{data: slices.Clone(file.data), synced: slices.Clone(file.data)}
	}
	copied.synced = maps.Clone(copied.files)
	return copied
}

// applyTo returns a file's bytes after the write.
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

// change applies a write, which fails in part or as a whole at a crash or on a full disk.
func (f *memFile) change(write memWrite) error {
	if err := f.fs.countOperation(); err != nil {
		if write.data != nil { // part of a write may be on disk
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
