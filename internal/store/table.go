package store

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Table stores values of a Go type as the records of one kind. Bodies are encoded in
// CBOR and have a schema version. The methods are safe for concurrent use.
type Table[T any] struct {
	Store   *Store // nil: Put does nothing, Commit and Remove fail, and the table is empty
	Kind    string
	Version uint // schema version of the bodies that are put
	// Upgrade decodes a body of an older version. nil: there is no older version.
	Upgrade func(version uint, body []byte) (T, error)
}

// bodyEncoding encodes times with nanoseconds. The default truncates them to seconds,
// so that a stored start time would differ from the real one and an endpoint would be
// mistaken for a restarted one.
var bodyEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant and valid
	}
	return mode
}()

// encode returns the change that puts a value under a key.
func (t *Table[T]) encode(key string, value T) (Change, error) {
	body, err := bodyEncoding.Marshal(value)
	return Change{Kind: t.Kind, Key: key, Version: t.Version, Body: body}, err
}

// Put queues a value to be stored under a key. It never blocks: see Store.Put.
func (t *Table[T]) Put(key string, value T) {
	if t.Store == nil {
		return
	}
	change, err := t.encode(key, value)
	if err != nil {
		t.Store.countDropped([]Change{{Kind: t.Kind}})
		return
	}
	t.Store.Put(change)
}

// Commit stores a value under a key, and waits until it is durable: see Store.Commit.
func (t *Table[T]) Commit(ctx context.Context, key string, value T) error {
	if t.Store == nil {
		return ErrClosed
	}
	change, err := t.encode(key, value)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return t.Store.Commit(ctx, change)
}

// Remove removes the record of a key, and waits until that is durable: see Store.Commit.
func (t *Table[T]) Remove(ctx context.Context, key string) error {
	if t.Store == nil {
		return ErrClosed
	}
	return t.Store.Commit(ctx, Change{Kind: t.Kind, Key: key, Deleted: true})
}

// Get returns the value of a key and the time at which it was put.
func (t *Table[T]) Get(key string) (value T, at time.Time, found bool, err error) {
	if t.Store == nil {
		return value, at, false, nil
	}
	record, found, err := t.Store.Get(t.Kind, key)
	if !found {
		return value, at, false, err
	}
	value, err = t.decode(record)
	return value, record.At, err == nil, err
}

// Each calls visit with all values until it returns false, in the order of their last
// put, or the reverse if newestFirst. Records that can't be decoded, for example of a
// newer version, are skipped, and the first such error is returned. visit must not call
// the store.
func (t *Table[T]) Each(newestFirst bool, visit func(key string, at time.Time, value T) bool) error {
	if t.Store == nil {
		return nil
	}
	var firstDecodeErr error
	err := t.Store.Each(t.Kind, newestFirst, func(record Record) bool {
		value, err := t.decode(record)
		if err != nil {
			if firstDecodeErr == nil {
				firstDecodeErr = err
			}
			return true
		}
		return visit(record.Key, record.At, value)
	})
	if err != nil {
		return err
	}
	return firstDecodeErr
}

// decode decodes a record's body. Its error has the record's kind and key.
func (t *Table[T]) decode(record Record) (value T, err error) {
	switch {
	case record.Version == t.Version:
		err = cbor.Unmarshal(record.Body, &value)
	case record.Version < t.Version && t.Upgrade != nil:
		value, err = t.Upgrade(record.Version, record.Body)
	default:
		err = fmt.Errorf("record has version %d, which this program's version %d can't read", record.Version, t.Version)
	}
	if err != nil {
		err = fmt.Errorf("store: %s %q: %w", record.Kind, record.Key, err)
	}
	return value, err
}
