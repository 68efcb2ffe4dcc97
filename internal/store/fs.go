package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the folder that a store is in. Names are those of files in it. What is written, made, renamed or
// removed is sure to outlast a power cut only after Sync of the file, or SyncDir.
type FS interface {
	Open(name string) (File, error)   // to read and write; there has to be such a file
	Create(name string) (File, error) // empty, whatever was there
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
	Lock() (io.Closer, error) // ErrLocked if another process has it
}

// File is a file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// ErrLocked says that another process has the store open.
var ErrLocked = errors.New("another process has it open")

// Dir is a folder of the operating system's.
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

// Open opens a file.
func (d Dir) Open(name string) (File, error) { return d.openFile(name, os.O_RDWR) }

// Create makes a file.
func (d Dir) Create(name string) (File, error) {
	return d.openFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Rename renames a file, over one that may be there.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List names the files, in order.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir makes files' names outlast a power cut.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing is written by it
	return f.Sync()
}

// Lock takes the store for this process, until the lock is closed or the process ends.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path("lock"), os.O_RDWR|os.O_CREATE, 0o600)
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
