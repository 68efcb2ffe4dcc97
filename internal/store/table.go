package store

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Table is a kind of record with a type. Bodies are CBOR, of a version each.
type Table[T any] struct {
	Store   *Store // nil: nothing is kept, and nothing is there
	Kind    string
	Version uint
	// Upgrade reads a body of an older version; nil: there is none.
	Upgrade func(version uint, body []byte) (T, error)
}

// bodyEncoding writes times whole: as the usual form has it they are cut to seconds, and a server that started within
// one would pass for one that has started again.
var bodyEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func (t *Table[T]) encode(key string, v T) (Change, error) {
	body, err := bodyEncoding.Marshal(v)
	return Change{Kind: t.Kind, Key: key, Version: t.Version, Body: body}, err
}

// Put keeps a record some time soon, as Store.Put does.
func (t *Table[T]) Put(key string, v T) {
	if t.Store == nil {
		return
	}
	c, err := t.encode(key, v)
	if err != nil {
		t.Store.countDropped([]Change{{Kind: t.Kind}})
		return
	}
	t.Store.Put(c)
}

// Commit keeps a record, as Store.Commit does.
func (t *Table[T]) Commit(ctx context.Context, key string, v T) error {
	if t.Store == nil {
		return ErrClosed
	}
	c, err := t.encode(key, v)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return t.Store.Commit(ctx, c)
}

// Remove removes a record for good, as Store.Commit does.
func (t *Table[T]) Remove(ctx context.Context, key string) error {
	if t.Store == nil {
		return ErrClosed
	}
	return t.Store.Commit(ctx, Change{Kind: t.Kind, Key: key, Deleted: true})
}

// Get returns a record and when it was put.
func (t *Table[T]) Get(key string) (v T, at time.Time, ok bool, err error) {
	if t.Store == nil {
		return v, at, false, nil
	}
	r, ok, err := t.Store.Get(t.Kind, key)
	if !ok {
		return v, at, false, err
	}
	v, err = t.decode(r)
	return v, r.At, err == nil, err
}

// Each calls do with all records until it returns false, newest first if so wanted. Those that can't be
// read, as they are of a newer version, are passed over; the first such error is returned.
func (t *Table[T]) Each(newest bool, do func(key string, at time.Time, v T) bool) error {
	if t.Store == nil {
		return nil
	}
	var odd error
	err := t.Store.Each(t.Kind, newest, func(r Record) bool {
		v, err := t.decode(r)
		if err != nil {
			if odd == nil {
				odd = err
			}
			return true
		}
		return do(r.Key, r.At, v)
	})
	if err != nil {
		return err
	}
	return odd
}

func (t *Table[T]) decode(r Record) (v T, err error) {
	switch {
	case r.Version == t.Version:
		err = cbor.Unmarshal(r.Body, &v)
	case r.Version < t.Version && t.Upgrade != nil:
		v, err = t.Upgrade(r.Version, r.Body)
	default:
		err = fmt.Errorf("it is of version %d, this program's is %d", r.Version, t.Version)
	}
	if err != nil {
		err = fmt.Errorf("store: %s %q: %w", r.Kind, r.Key, err)
	}
	return v, err
}
