// Package server starts a relay, runs it and shuts it down gracefully.
//
// Run is the entry point. It has three phases: startup (start.go, and hotrestart.go if a predecessor process is
// running), the services that run until shutdown (services.go, frontends.go, reload.go), and the shutdown itself
// (shutdown.go). persistentstate.go holds the state that survives a restart.
package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

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
	"lockroad/internal/registry"
	"lockroad/internal/throttle"
)

// RunOptions configures how a process runs a relay, in addition to the relay's configuration. With the zero
// value, the relay runs until its context is cancelled.
type RunOptions struct {
	Shutdown   <-chan struct{}  // closed to request a shutdown; nil: only the console or ctx stops the relay
	Reload     <-chan os.Signal // receives a value each time the file at ConfigPath should be reloaded
	ConfigPath string           // path of the platform configuration or site file
	// ConfigReadAt is a time before the configuration was read. A reload by a predecessor after that is repeated.
	ConfigReadAt time.Time
	Site         *config.Site                // source of the configuration; nil: the platform
	LogTail      func(maxLines int) []string // returns the last log lines; nil: no lines are retained
	// Supervised reports whether a supervisor restarts the process after ErrRestart.
	Supervised bool
}

// ErrRestart is returned by Run after a graceful shutdown that was requested as a restart.
var ErrRestart = errors.New("relay restart requested")

// relay is a running relay. Unless noted otherwise, fields are set by Run's goroutine before the services start
// and are read-only afterwards.
type relay struct {
	options  RunOptions
	config   *config.Config
	operator *config.Operator
	log      *slog.Logger

	proxy         *proxy.Proxy
	watcher       *discovery.Watcher
	listSynced    <-chan struct{}  // closed once discovery has sent its endpoint list
	prober        *prober.Prober   // probes a site's endpoints; nil: endpoints come from discovery
	decisionLog   *decisionlog.Log // nil: decisions are not recorded
	persistence   *persistentState
	credentials   credentials
	lineFrontend  *line.Frontend
	frontends     []boundFrontend
	limiters      []*listener.ConnLimiter // in the order of frontends
	slots         int                     // admission slots of all frontends
	throttle      *throttle.Throttle      // shared by all frontends
	adminListener net.Listener            // listener of the admin address; nil: no admin address is configured

	asPredecessor   *hotrestart.Predecessor // hands over to a later successor; nil: hot restart is unavailable
	asSuccessor     *hotrestart.Successor   // takes over from the running predecessor; nil: there is no predecessor
	predecessorGone chan struct{}           // closed once the predecessor has exited or if there was none
	inherited       *handoffState           // usable state received from the predecessor

	ready          atomic.Bool // new clients are admitted
	shuttingDown   atomic.Bool
	handedOver     atomic.Bool                            // a successor serves the clients, or did when the shutdown began
	handoverBegun  chan struct{}                          // receives a value when handedOver becomes true; buffered
	offeredNames   atomic.Pointer[[]registry.RequestName] // names of requests in the last offer to a successor
	reloadedAt     atomic.Pointer[time.Time]              // of the last reload; nil: there was none
	reloadRequests chan reloadRequest                     // from the console

	shutdownOnce      sync.Once     // guards closing shutdownRequested
	shutdownRequested chan struct{} // closed when the console requests a shutdown
	restartRequested  atomic.Bool   // Run returns ErrRestart after the shutdown
}

func newRelay(options RunOptions, cfg *config.Config, operator *config.Operator, log *slog.Logger) *relay {
	r := &relay{
		options:           options,
		config:            cfg,
		operator:          operator,
		log:               log,
		predecessorGone:   make(chan struct{}),
		reloadRequests:    make(chan reloadRequest),
		shutdownRequested: make(chan struct{}),
		handoverBegun:     make(chan struct{}, 1),
	}
	r.persistence = newPersistentState(r)
	return r
}

// Run runs a relay until ctx is cancelled, or until a shutdown is requested through options.Shutdown or the
// console and all clients have finished or been migrated. It returns ErrRestart if the console requested a
// restart, or an error if the relay cannot start, for example because an address is in use. It sets process-wide
// limits (GOMAXPROCS and the memory limit), so a process can run only one relay at a time.
//
// Each startup step that acquires a resource is followed by the deferred call that releases it.
func Run(ctx context.Context, options RunOptions, cfg *config.Config, operator *config.Operator, log *slog.Logger) error {
	limitCPUs(cfg.Cores)
	relay := newRelay(options, cfg, operator, log)
	relay.limitMemory(wholeProcess)
	relay.connectPredecessor()
	defer relay.disconnectPredecessor()
	relay.openStore()
	defer relay.persistence.close()
	saved := relay.persistence.loadSnapshot()
	if err := relay.createProxy(saved); err != nil {
		return err
	}
	if err := relay.listenAdmin(); err != nil {
		return err
	}
	defer relay.closeAdmin()
	relay.createWatcher()
	relay.restore(saved)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopTelemetry, err := relay.startTelemetry(ctx)
	if err != nil {
		return err
	}
	defer stopTelemetry()
	if err := relay.openFrontends(); err != nil {
		return err
	}
	defer relay.closeListeners()
	relay.startArchive()
	defer relay.stopArchive() // runs before the store is closed, so that queued explanations are saved

	group, ctx := errgroup.WithContext(ctx)
	if err := relay.startServices(ctx, cancel, group); err != nil {
		return err
	}
	relay.becomeReady(ctx, group)
	err = group.Wait()
	log.Info("relay stopped", "transactions", relay.proxy.Requests.Len(), "broken_invariants", assert.Violations())
	if err == nil && relay.restartRequested.Load() {
		return ErrRestart
	}
	return err
}
