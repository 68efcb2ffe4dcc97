package amqp

import (
	"context"
)

// timedMutex is a lock that can be waited for within a time: who writes keeps it for as long as the peer does not read.
type timedMutex chan struct{}

func (t timedMutex) Lock() { t <- struct{}{} }

func (t timedMutex) Unlock() { <-t }

func (t timedMutex) TryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

// LockContext takes the lock unless ctx ends first.
func (t timedMutex) LockContext(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
