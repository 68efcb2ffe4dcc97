package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the directory of a store. It takes file names without a path. Data written to a
// file survives a power failure only after File.Sync, and a created, renamed or removed
// name only after SyncDir. A store calls the methods from one goroutine at a time,
// except File.ReadAt, which it may call from any goroutine.
type FS interface {
	Open(name string) (File, error)   // opens an existing file for reading and writing
	Create(name string) (File, error) // creates an empty file, or truncates an existing one
	Rename(from, to string) error     // replaces an existing file
	Remove(name string) error
	List() ([]string, error) // the names in lexical order
	SyncDir() error
	Lock() (io.Closer, error) // returns ErrLocked if another process holds the lock
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error) // in bytes
	Truncate(size int64) error
	Sync() error
}

// ErrLocked is returned if another process has the store open.
var ErrLocked = errors.New("another process has the store open")

// lockFile is the name of the file that a process locks while it has the store open.
const lockFile = "lock"

// Dir is the path of a directory of the operating system. It implements FS.
type Dir string

// osFile is a File of the operating system.
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

// Open opens an existing file for reading and writing.
func (d Dir) Open(name string) (File, error) { return d.openFile(name, os.O_RDWR) }

// Create creates an empty file, or truncates an existing one.
func (d Dir) Create(name string) (File, error) {
	return d.openFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Rename renames a file. It replaces an existing file of the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List returns the names of the files in lexical order.
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

// SyncDir syncs the directory, so that created, renamed and removed names survive a
// power failure.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened for reading: a failed close loses nothing
	return f.Sync()
}

// Lock locks the directory for this process until the lock is closed or the process
// ends. It returns ErrLocked if another process holds the lock.
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
