package server

import (
	"context"
	"errors"
	"time"

	"lockroad/balancer"
)

// The platform sends SIGTERM, goes on sending clients for up to 0.4 s, and sends SIGKILL at a time that follows from the
// classes' deadlines. The shutdown uses all of that time: clients are moved as late as may be, since the relays that are to
// take them in may be restarting themselves.
const (
	// SIGKILL comes no earlier than killGrace after the longest deadline of a class, where a longer one than maxKillDeadline
	// counts as that.
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second

	// migrationDelay is how long after SIGTERM the first client is moved, at the earliest. Who were moved before could come back
	// to this very relay, to be moved once more.
	migrationDelay = 450 * time.Millisecond
	// migrationDuration is what the migration is spread over, where the time until SIGKILL has room for it.
	migrationDuration = 800 * time.Millisecond

	// What follows is so long before SIGKILL. Together with migrationDuration the migration begins 1.9 s before it.

	// lastMigrationLead: the last client is told to move, 0.2 s before the listeners close.
	lastMigrationLead = 1100 * time.Millisecond
	// closeListenersLead: the listeners close. Who waits in their queues is admitted first, and has 0.1 s until rejectPendingLead.
	closeListenersLead = 900 * time.Millisecond
	// rejectPendingLead: each request that still waits for an endpoint gets the one answer that its class allows. A client that is
	// in the middle of its opening has 0.2 s more.
	rejectPendingLead = 800 * time.Millisecond
	// exitLead: the services end, and what is deferred in Run has the rest of the time.
	exitLead = 150 * time.Millisecond
)

// errNotSupervised says why a restart is rejected.
var errNotSupervised = errors.New("nobody would start the relay again: neither INVOCATION_ID, as systemd sets it, nor LOCKROAD_SUPERVISED is set")

// requestRestart shuts the relay down to be started again. It may be called by any goroutine.
func (r *relay) requestRestart() error {
	if !r.options.Supervised {
		return errNotSupervised
	}
	r.restartRequested.Store(true)
	r.requestShutdown()
	return nil
}

// requestShutdown shuts the relay down. It returns at once, and may be called by any goroutine, more than once.
func (r *relay) requestShutdown() { r.shutdownOnce.Do(func() { close(r.shutdownRequested) }) }

// awaitShutdown waits for the request to shut down, and then goes through the phases of the shutdown. It is a service of its
// own goroutine. It ends the relay when it returns, which is timeUntilKill less exitLead after the request at the latest; the
// frontends end it sooner once the last client is gone.
func (r *relay) awaitShutdown(ctx context.Context, end context.CancelFunc) error {
	defer end()
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
	r.log.Info("shutting down", "transactions", r.proxy.Requests.Len())
	hasSuccessor := r.asPredecessor != nil && r.asPredecessor.BeginShutdown()
	ctx, cancel := context.WithTimeout(ctx, killAfter-exitLead)
	defer cancel()
	sleepUntil := func(offset time.Duration) { sleep(ctx, time.Until(requestedAt.Add(offset))) }
	if hasSuccessor {
		r.handOffClients(sleepUntil, killAfter)
	} else {
		r.migrateClients(sleepUntil, killAfter)
	}
	<-ctx.Done()
	return nil
}

// timeUntilKill is how long after SIGTERM the platform sends SIGKILL.
func timeUntilKill(settings *balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, min(class.Deadline, maxKillDeadline))
	}
	return longest + killGrace
}

// handOffClients is the shutdown of a process that has a successor, which admits all new clients. Those that are established
// here go there, and those that are still to be as soon as they are. It returns rejectPendingLead before SIGKILL.
func (r *relay) handOffClients(sleepUntil func(offset time.Duration), killAfter time.Duration) {
	r.closeListeners()
	r.proxy.HandOffAll(r.asPredecessor.HandOff, migrationDuration)
	sleepUntil(killAfter - rejectPendingLead)
	r.proxy.RejectPending()
}

// migrateClients is the shutdown of a process without a successor. Clients are told to move to other relays while new ones are
// still admitted. It returns rejectPendingLead before SIGKILL.
func (r *relay) migrateClients(sleepUntil func(offset time.Duration), killAfter time.Duration) {
	migrateAt := max(migrationDelay, killAfter-lastMigrationLead-migrationDuration)
	sleepUntil(migrateAt)
	r.proxy.MigrateAll(max(time.Millisecond, killAfter-lastMigrationLead-migrateAt))
	sleepUntil(killAfter - closeListenersLead)
	r.closeListeners()
	sleepUntil(killAfter - rejectPendingLead)
	r.proxy.RejectPending()
}

// sleep returns after a time, or once ctx has ended.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
