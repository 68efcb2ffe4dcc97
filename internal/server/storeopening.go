package server

import (
	"context"
	"errors"
	"time"

	"lockroad/internal/config"
	"lockroad/internal/store"
)

const (
	// storeRetryInterval is the time between two attempts to open a store that another process holds.
	storeRetryInterval = 50 * time.Millisecond
	// lostPredecessorWait is how long a new process waits for the store of a predecessor that was lost during the
	// takeover. A process that was killed releases its lock within that time.
	lostPredecessorWait = 250 * time.Millisecond
)

// storeOpening opens the store once the predecessor has released it. It keeps trying as long as another process of
// the relay holds the store. It is used by one goroutine at a time.
type storeOpening struct {
	state    *persistentState
	settings config.Store
	begun    time.Time // of the first attempt
	reported bool      // a long wait was logged
	done     bool      // no further attempt is needed
}

// nextAttempt returns a channel that is ready when the next attempt is due.
func (o *storeOpening) nextAttempt(predecessorGone <-chan struct{}) <-chan struct{} {
	switch {
	case o.done:
		return nil
	case o.begun.IsZero():
		return predecessorGone
	}
	due := make(chan struct{})
	time.AfterFunc(storeRetryInterval, func() { close(due) })
	return due
}

// attempt opens the store unless another process holds it, and brings it and the directives in force up to date.
func (o *storeOpening) attempt(ctx context.Context) {
	if o.begun.IsZero() {
		o.begun = time.Now()
	}
	if !o.state.isOpen() {
		err := o.state.tryOpen(o.settings)
		if errors.Is(err, store.ErrLocked) {
			o.waitOn()
			return
		}
		if err != nil {
			o.state.logOpenError(o.settings, err)
		}
		o.state.reconcileDirectives(ctx)
	}
	o.done = true
	o.state.settleStore()
}

// waitOn lets the console open without the store if that is held for long.
func (o *storeOpening) waitOn() {
	if !o.reported && time.Since(o.begun) > predecessorExitTimeout {
		o.reported = true
		o.state.relay.log.Error("the store is held by another process, running without it until it is released", "folder", o.settings.Dir)
		o.state.settleStore()
	}
}
