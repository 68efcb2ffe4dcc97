// Package server starts a relay, runs it, and shuts it down in good order.
//
// Run is all that a program calls. It goes through three phases: the start (start.go, and hotrestart.go where there is a process
// to take over from), the services that run until the end (services.go, frontends.go, reload.go), and the shutdown
// (shutdown.go). What outlasts a restart is in persistentstate.go.
package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/assert"
	"lockroad/internal/config"
	"lockroad/internal/decisionlog"
	"lockroad/internal/discovery"
	"lockroad/internal/frontend/line"
	"lockroad/internal/healthcheck/prober"
	"lockroad/internal/hotrestart"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// RunOptions are what a process passes to the relay that it runs, beside the configuration. The zero value is of use: such a
// relay runs until its context ends.
type RunOptions struct {
	Shutdown   <-chan struct{}         // closed once the relay is to shut down; nil: only the console or ctx ends it
	Reload     <-chan os.Signal        // a value each time that the file at ConfigPath has been replaced
	ConfigPath string                  // of the platform's configuration or the site's file
	Site       *config.Site            // that the configuration is of; nil: the platform's, with a discovery agent
	LogTail    func(most int) []string // returns the last lines of the log; nil: none are retained
	// Supervised says that whoever started the process starts it again after ErrRestart.
	Supervised bool
}

// ErrRestart is what Run returns once the relay has shut down in good order and is to be started again.
var ErrRestart = errors.New("the relay is to be started again")

// relay is a relay that has been started. Fields without a comment on synchronization are set by Run's goroutine before the
// services start, and only read from then on.
type relay struct {
	options  RunOptions
	config   *config.Config
	operator *config.Operator
	log      *slog.Logger

	proxy        *proxy.Proxy
	watcher      *discovery.Watcher
	listSynced   <-chan struct{}  // closed once discovery has sent its list
	prober       *prober.Prober   // of a site's servers; nil: discovery lists them
	decisionLog  *decisionlog.Log // nil: no decisions are recorded
	persistence  *persistentState
	credentials  credentials
	lineFrontend *line.Frontend
	frontends    []boundFrontend
	limiters     []*listener.ConnLimiter // in the order of frontends
	slots        int                     // of all frontends
	admin        net.Listener            // of the second address; nil: there is none

	asPredecessor   *hotrestart.Predecessor // towards a process that comes to take over; nil: none can
	asSuccessor     *hotrestart.Successor   // towards the process to take over from, while it is there; nil: there is none
	predecessorGone chan struct{}           // closed once there is no process to take over from
	inherited       *handoffState           // from the predecessor, as far as it is of use

	ready          atomic.Bool // new clients are admitted
	shuttingDown   atomic.Bool
	reloadRequests chan reloadRequest // from the console

	shutdownOnce      sync.Once     // guards the close of shutdownRequested
	shutdownRequested chan struct{} // closed once the console asks for the shutdown
	restartRequested  atomic.Bool   // the relay is to be started again after its shutdown
}

func newRelay(options RunOptions, c *config.Config, o *config.Operator, log *slog.Logger) *relay {
	r := &relay{
		options:           options,
		config:            c,
		operator:          o,
		log:               log,
		predecessorGone:   make(chan struct{}),
		reloadRequests:    make(chan reloadRequest),
		shutdownRequested: make(chan struct{}),
	}
	r.persistence = newPersistentState(r)
	return r
}

// Run runs a relay until options.Shutdown is closed or the console asks for its end, and all clients have been seen through
// or moved, or until ctx ends. It returns ErrRestart if the console asked for a restart, and an error if the relay can't
// start, such as that of an address which is taken. It sets limits of the whole process (GOMAXPROCS, the memory limit): a
// process runs one relay at a time.
//
// Each phase of the start that takes hold of something is followed by the deferred call that lets go of it.
func Run(ctx context.Context, options RunOptions, c *config.Config, o *config.Operator, log *slog.Logger) error {
	limitCPUs(c.Cores)
	r := newRelay(options, c, o, log)
	r.limitMemory(wholeProcess)
	r.connectPredecessor()
	defer r.disconnectPredecessor()
	r.openStore()
	defer r.persistence.close()
	saved := r.persistence.loadSnapshot()
	if err := r.createProxy(saved); err != nil {
		return err
	}
	if err := r.listenAdmin(); err != nil {
		return err
	}
	defer r.closeAdmin()
	r.createWatcher()
	r.restore(saved)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopTelemetry, err := r.startTelemetry(ctx)
	if err != nil {
		return err
	}
	defer stopTelemetry()
	if err := r.openFrontends(); err != nil {
		return err
	}
	defer r.closeListeners()
	r.startArchive()
	defer r.stopArchive() // before the store is closed: what has ended is saved

	group, ctx := errgroup.WithContext(ctx)
	if err := r.startServices(ctx, cancel, group); err != nil {
		return err
	}
	r.becomeReady(ctx, group)
	err = group.Wait()
	log.Info("stopped", "transactions", r.proxy.Requests.Len(), "broken_invariants", assert.Violations())
	if err == nil && r.restartRequested.Load() {
		return ErrRestart
	}
	return err
}
