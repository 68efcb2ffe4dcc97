package server

import (
	"context"
	"errors"
	"time"

	"lockroad/balancer"
)

// After SIGTERM the platform routes new clients to the relay for up to 0.4 s more. It sends SIGKILL at a time
// derived from the classes' deadlines. The shutdown uses all of that time and migrates clients as late as
// possible, because the relays that would take them may be restarting too.
const (
	// SIGKILL comes no earlier than killGrace after the longest class deadline. Deadlines above maxKillDeadline
	// count as maxKillDeadline.
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second

	// migrationDelay is the minimum time from SIGTERM to the first migration. A client migrated earlier could be
	// routed back to this relay.
	migrationDelay = 450 * time.Millisecond
	// migrationDuration is the period over which migrations are spread, if enough time is left until SIGKILL.
	migrationDuration = 800 * time.Millisecond

	// The leads below are times before SIGKILL. Migration starts 1.9 s before SIGKILL: lastMigrationLead plus
	// migrationDuration.

	// lastMigrationLead: the last client is told to move, 0.2 s before the listeners close.
	lastMigrationLead = 1100 * time.Millisecond
	// closeListenersLead: the listeners close. Connections in their accept queues are admitted first, and have
	// 0.1 s until rejectPendingLead.
	closeListenersLead = 900 * time.Millisecond
	// rejectPendingLead: each request that still waits for an endpoint is answered as its class allows. A client
	// that has sent part of its opening line has another 0.2 s.
	rejectPendingLead = 800 * time.Millisecond
	// exitLead: the services stop. The remaining time is for Run's deferred calls.
	exitLead = 150 * time.Millisecond
)

// errNotSupervised is returned for a restart request if no supervisor would start the relay again.
var errNotSupervised = errors.New("restart refused: no supervisor would start the relay again (neither INVOCATION_ID, set by systemd, nor LOCKROAD_SUPERVISED is set)")

// requestRestart shuts the relay down and makes Run return ErrRestart. It is safe for concurrent use.
func (r *relay) requestRestart() error {
	if !r.options.Supervised {
		return errNotSupervised
	}
	if err := r.requireSoleProcess(); err != nil {
		return err
	}
	r.restartRequested.Store(true)
	r.requestShutdown()
	return nil
}

// orderShutdown starts the shutdown for the console. It returns an error while another process of the relay would
// continue to serve. It is safe for concurrent and repeated use.
func (r *relay) orderShutdown() error {
	if err := r.requireSoleProcess(); err != nil {
		return err
	}
	r.requestShutdown()
	return nil
}

// requestShutdown starts the shutdown and returns immediately. It is safe for concurrent and repeated use.
func (r *relay) requestShutdown() { r.shutdownOnce.Do(func() { close(r.shutdownRequested) }) }

// awaitShutdown waits for a shutdown request and then runs the shutdown. When it returns, it stops all services
// by calling cancel, at the latest exitLead before SIGKILL. The frontends stop them earlier once the last client
// has left.
func (r *relay) awaitShutdown(ctx context.Context, cancel context.CancelFunc) error {
	defer cancel()
	defer r.closeListeners()
	select {
	case <-ctx.Done():
		return nil
	case <-r.options.Shutdown:
	case <-r.shutdownRequested:
	}
	r.shuttingDown.Store(true)
	r.ready.Store(false)
	requestedAt, killAfter := time.Now(), timeUntilKill(r.proxy.Settings())
	r.log.Info("relay shutting down", "transactions", r.proxy.Requests.Len())
	hasSuccessor := r.asPredecessor != nil && r.asPredecessor.BeginShutdown()
	ctx, cancelTimeout := context.WithTimeout(ctx, killAfter-exitLead)
	defer cancelTimeout()
	sleepUntil := func(offset time.Duration) { sleep(ctx, time.Until(requestedAt.Add(offset))) }
	if hasSuccessor {
		r.handOffClients(sleepUntil, killAfter)
	} else {
		r.migrateClients(sleepUntil, killAfter)
	}
	<-ctx.Done()
	return nil
}

// timeUntilKill returns the time from SIGTERM to the platform's SIGKILL.
func timeUntilKill(settings *balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, min(class.Deadline, maxKillDeadline))
	}
	return longest + killGrace
}

// handOffClients is the shutdown of a process with a successor, which admits all new clients. Established
// requests are handed off to the successor, and pending ones as soon as they are established. It returns
// rejectPendingLead before SIGKILL.
func (r *relay) handOffClients(sleepUntil func(offset time.Duration), killAfter time.Duration) {
	r.closeListeners()
	r.proxy.HandOffAll(r.asPredecessor.HandOff, migrationDuration)
	sleepUntil(killAfter - rejectPendingLead)
	r.proxy.RejectPending()
}

// migrateClients is the shutdown of a process without a successor. It tells clients to move to other relays
// while new clients are still admitted. It returns rejectPendingLead before SIGKILL.
func (r *relay) migrateClients(sleepUntil func(offset time.Duration), killAfter time.Duration) {
	migrateAt := max(migrationDelay, killAfter-lastMigrationLead-migrationDuration)
	sleepUntil(migrateAt)
	r.proxy.MigrateAll(max(time.Millisecond, killAfter-lastMigrationLead-migrateAt))
	sleepUntil(killAfter - closeListenersLead)
	r.closeListeners()
	sleepUntil(killAfter - rejectPendingLead)
	r.proxy.RejectPending()
}

// sleep waits for duration or until ctx is cancelled.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
