package amqp

import (
	"context"
)

// timedMutex is a mutex that can also be locked until a context ends: a writer holds it for as long as the peer does
// not read. It must be made with a capacity of one.
type timedMutex chan struct{}

// Lock locks the mutex, waiting until it is free.
func (t timedMutex) Lock() { t <- struct{}{} }

// Unlock unlocks the mutex.
func (t timedMutex) Unlock() { <-t }

// TryLock locks the mutex if it is free, and reports whether it succeeded.
func (t timedMutex) TryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

// LockContext locks the mutex, waiting until it is free or ctx ends. It reports whether it locked the mutex.
func (t timedMutex) LockContext(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
