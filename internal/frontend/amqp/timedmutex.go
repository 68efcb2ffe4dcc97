package amqp

import (
	"context"
)

// timedMutex is a mutex that can be waited for until a context ends: a writer holds it for as long as the peer does not
// read. It is made with a capacity of one.
type timedMutex chan struct{}

// Lock waits for the mutex and locks it.
func (t timedMutex) Lock() { t <- struct{}{} }

// Unlock unlocks the mutex.
func (t timedMutex) Unlock() { <-t }

// TryLock locks the mutex if it is free, and reports whether it did.
func (t timedMutex) TryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

// LockContext waits for the mutex and locks it, and reports true; or false if ctx has ended first.
func (t timedMutex) LockContext(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
