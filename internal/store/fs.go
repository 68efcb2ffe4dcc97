package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the folder that a store is in. Names are those of files in it. What is
// written, created, renamed or removed is known to outlast a power failure only
// after Sync of the file, or SyncDir. A store calls its methods from one goroutine
// at a time, but ReadAt of a File from any.
type FS interface {
	Open(name string) (File, error)   // for reading and writing; the file must exist
	Create(name string) (File, error) // empty; a file of that name is truncated
	Rename(from, to string) error     // replaces a file that is there
	Remove(name string) error
	List() ([]string, error) // names in order
	SyncDir() error
	Lock() (io.Closer, error) // ErrLocked if another process holds the lock
}

// File is a file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error) // in bytes
	Truncate(size int64) error
	Sync() error
}

// ErrLocked says that another process has the store open.
var ErrLocked = errors.New("another process has it open")

// lockFile is the name of the file that a process with an open store has locked.
const lockFile = "lock"

// Dir is the path of a folder of the operating system. It implements FS.
type Dir string

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

func (d Dir) openFile(name string, flags int) (File, error) {
	f, err := os.OpenFile(d.path(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens an existing file.
func (d Dir) Open(name string) (File, error) { return d.openFile(name, os.O_RDWR) }

// Create creates an empty file.
func (d Dir) Create(name string) (File, error) {
	return d.openFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Rename renames a file, and replaces one that is there.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List returns the names of the files, in order.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// SyncDir makes the files' names outlast a power failure.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing is written by it
	return f.Sync()
}

// Lock locks the store for this process, until the lock is closed or the process
// ends. It returns ErrLocked if another process has done so.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path(lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return f, nil
}
