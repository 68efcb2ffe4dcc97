package server

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/decisionlog"
	"lockroad/internal/discovery"
	"lockroad/internal/explain"
	"lockroad/internal/healthcheck/prober"
	"lockroad/internal/logging"
	"lockroad/internal/proxy"
	"lockroad/internal/telemetry"
)

// This file has the startup steps in the order in which Run calls them, except for those with a file of their own.

const (
	// memoryLimitShare is the share of the configured memory that becomes the Go memory limit. The rest is for
	// memory that the Go runtime does not account for.
	memoryLimitShare = 0.7
	// Share of the memory limit that one process gets: all of it, or half while two processes of the relay run
	// during a hot restart.
	wholeProcess = 1.0
	halfProcess  = 0.5

	telemetryInterval     = 10 * time.Second
	telemetryFlushTimeout = time.Second // for the final export at shutdown
)

// limitCPUs sets GOMAXPROCS to the configured number of cores, rounded up. 0 keeps the runtime's default.
func limitCPUs(cores float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
}

// limitMemory sets the Go memory limit of this process to a share of the relay's memory.
func (r *relay) limitMemory(processShare float64) {
	if r.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.config.MemoryMB<<20) * memoryLimitShare * processShare))
	}
}

// openStore opens the store. If a predecessor still holds it, persistentState.run opens it once that process has
// exited.
func (r *relay) openStore() {
	if r.asSuccessor == nil || r.operator.Store.Dir == "" {
		r.persistence.open(r.operator.Store)
	} else {
		r.persistence.deferToPredecessor()
	}
}

// createProxy creates the proxy and its observers. The proxy's clock continues that of the predecessor or of the
// saved snapshot, because restored state contains times of that clock.
func (r *relay) createProxy(saved savedSnapshot) error {
	clock := proxy.NewClock()
	switch {
	case r.asSuccessor != nil:
		clock = proxy.ContinueClock(r.asSuccessor.Offer.Clock, r.asSuccessor.Offer.ClockStart)
	case saved.usable:
		clock = proxy.ContinueClock(saved.Clock+saved.age, saved.ClockStart)
	}
	r.proxy = proxy.New(r.config.Settings, r.config.Seed, clock)
	r.persistence.proxy = r.proxy
	if r.operator.Store.Dir != "" {
		r.proxy.Instruments = r.persistence.instruments()
	}
	if err := r.installObservers(); err != nil {
		return err
	}
	if site := r.options.Site; site != nil {
		r.prober = prober.New(r.proxy, site.Health, site.Endpoints, site.ProbeWithPing)
		r.proxy.Observe(r.prober)
	}
	return nil
}

// installObservers installs the request logger and, if enabled, the decision log and the archive of explanations. The
// decision log is installed first: the archive and telemetry read ended requests from it.
func (r *relay) installObservers() error {
	r.proxy.Log = r.log
	if bytes := r.operator.DecisionLogBytes(); bytes > 0 {
		var err error
		if r.decisionLog, err = decisionlog.New(bytes, r.proxy.Clock); err != nil {
			return err
		}
		r.proxy.Observe(r.decisionLog)
		if r.operator.Store.Dir != "" {
			r.persistence.archive = newArchive(r.persistence)
			r.persistence.archive.explainer = &explain.Explainer{Log: r.decisionLog, Names: r.proxy.Endpoints, Archive: r.persistence.archive}
			r.proxy.Observe(r.persistence.archive)
		}
	}
	r.proxy.Observe(&logging.RequestObserver{Log: r.log, Clock: r.proxy.Clock, EndpointName: r.proxy.Endpoints.Name})
	return nil
}

// listenAdmin listens on the admin address, if one is configured. An error is prefixed with its configuration key.
func (r *relay) listenAdmin() error {
	if r.config.AdminAddr == "" {
		return nil
	}
	adminListener, err := net.Listen("tcp", r.config.AdminAddr)
	if err != nil {
		return fmt.Errorf("admin_addr: %w", err)
	}
	r.adminListener = adminListener
	r.proxy.PublishCounts()
	return nil
}

func (r *relay) closeAdmin() {
	if r.adminListener != nil {
		r.adminListener.Close()
	}
}

// createWatcher creates the watcher of the discovery agent's endpoint list. A site's relay has one too but never
// runs it.
func (r *relay) createWatcher() {
	r.watcher = &discovery.Watcher{
		Proxy:      r.proxy,
		Address:    r.config.DiscoveryAddr,
		Zones:      r.config.Zones,
		RetainList: r.config.AdminAddr != "" || r.operator.Store.Dir != "",
	}
	r.listSynced = r.watcher.Synced()
}

// startTelemetry exports telemetry until ctx is cancelled, if the operator configured a collector. The returned
// function performs the final export, for at most telemetryFlushTimeout.
func (r *relay) startTelemetry(ctx context.Context) (stop func(), err error) {
	if r.operator.OTLP.Endpoint == "" {
		return func() {}, nil
	}
	exporter, err := telemetry.Start(ctx, r.operator.OTLP.Endpoint, r.config.Name, telemetryInterval, r.proxy, r.decisionLog)
	if err != nil {
		return nil, err
	}
	return func() {
		flushContext, cancel := context.WithTimeout(context.Background(), telemetryFlushTimeout)
		defer cancel()
		if err := exporter.Stop(flushContext); err != nil {
			r.log.Warn("failed to export final telemetry", "error", err)
		}
	}, nil
}

// startArchive starts the goroutine that saves explanations, if there is an archive. stopArchive waits for it.
func (r *relay) startArchive() {
	if a := r.persistence.archive; a != nil {
		go a.run()
	}
}

func (r *relay) stopArchive() {
	if a := r.persistence.archive; a != nil {
		a.stop()
	}
}

// becomeReady is the last startup step, called once the listeners are open and the services run. It takes over
// from the predecessor, if there is one, admits clients, and lets a later successor take over from this process.
func (r *relay) becomeReady(ctx context.Context, group *errgroup.Group) {
	if err := r.takeOver(ctx); err != nil {
		r.log.Warn("takeover from predecessor failed, continuing without it", "error", err)
	}
	r.ready.Store(true)
	if r.asPredecessor != nil {
		group.Go(func() error { return r.asPredecessor.Serve(ctx) })
		group.Go(func() error { return r.releaseNames(ctx) })
	}
	r.log.Info("relay ready", "name", r.config.Name, "listen", r.config.Listen)
}
