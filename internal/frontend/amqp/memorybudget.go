package amqp

import (
	"context"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/framing"
)

const (
	// reservedMemory is what frames of one connection may always take, however many of other connections wait, in bytes.
	reservedMemory = 4 * framing.MaxFrameSize
	// memoryPollInterval is the time between two calls of the poll function of await.
	memoryPollInterval = 50 * time.Millisecond
)

// memoryBudget limits the memory that frames of all clients take while they wait in the relay. A connection whose frames
// take more than reservedMemory is not read while the budget is used up. Thus the sum is at most the limit, and for each
// connection reservedMemory and one frame more. A frame that stands for many may exceed that once.
type memoryBudget struct {
	limit int // in bytes; 0: no limit

	mu      sync.Mutex // guards the fields below and those of all accounts
	used    int
	waiting []*memoryAccount // in the order in which they began to wait
}

// memoryAccount counts the memory that frames of one connection take. All methods may be called on nil, which counts
// nothing, and by any goroutine.
type memoryAccount struct {
	budget *memoryBudget
	wake   chan struct{} // receives a value when await is to look again

	used   int
	closed bool
}

func newMemoryBudget(limit int) *memoryBudget { return &memoryBudget{limit: limit} }

// open returns the account of a new connection.
func (b *memoryBudget) open() *memoryAccount {
	return &memoryAccount{budget: b, wake: make(chan struct{}, 1)}
}

// exceeded reports whether the budget is used up. The caller holds the lock.
func (b *memoryBudget) exceeded() bool { return b.limit > 0 && b.used >= b.limit }

// add counts bytes that frames take from now on or, if negative, no longer take.
func (a *memoryAccount) add(bytes int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.addLocked(bytes)
}

// addLocked is add for a caller that holds the lock.
func (a *memoryAccount) addLocked(bytes int) {
	if a.closed {
		return
	}
	a.used += bytes
	a.budget.used += bytes
	if bytes >= 0 {
		return
	}
	if a.used <= reservedMemory {
		a.notify()
	}
	a.budget.wakeWaiting()
}

// tryAdd is add that counts nothing, and reports false, if the budget or the connection's part of it is used up.
func (a *memoryAccount) tryAdd(bytes int) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.budget.exceeded() && a.used+bytes > reservedMemory {
		return false
	}
	a.addLocked(bytes)
	return true
}

// wakeWaiting wakes as many of those that wait as the budget has room for frames. The caller holds the lock.
func (b *memoryBudget) wakeWaiting() {
	for room := b.limit - b.used; room > 0 && len(b.waiting) > 0; room -= framing.MaxFrameSize {
		b.waiting[0].notify()
		b.waiting = b.waiting[1:]
	}
}

// notify wakes await.
func (a *memoryAccount) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// mayRead reports whether the connection may be read. If not, it is added to those that wait.
func (a *memoryAccount) mayRead() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.budget.exceeded() || a.used <= reservedMemory {
		return true
	}
	a.budget.waiting = append(a.budget.waiting, a)
	return false
}

// stopWaiting removes the account from those that wait.
func (a *memoryAccount) stopWaiting() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	kept := a.budget.waiting[:0]
	for _, waiting := range a.budget.waiting {
		if waiting != a {
			kept = append(kept, waiting)
		}
	}
	a.budget.waiting = kept
}

// await waits until the connection may be read or ctx ends. Meanwhile it calls poll again and again.
func (a *memoryAccount) await(ctx context.Context, poll func()) {
	for a != nil && ctx.Err() == nil && !a.mayRead() {
		select {
		case <-a.wake:
		case <-ctx.Done():
		case <-time.After(memoryPollInterval):
			poll()
		}
		a.stopWaiting()
	}
}

// close counts nothing from now on, and releases what is counted.
func (a *memoryAccount) close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.addLocked(-a.used)
	a.closed = true
}
