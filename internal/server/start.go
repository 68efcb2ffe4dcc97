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

// This file has the phases of the start in the order in which Run goes through them, but for those that have a file of their
// own.

const (
	// memoryShare is the part of the configured memory that the garbage collector keeps the heap to. The rest is for what it
	// doesn't count.
	memoryShare = 0.7
	// Parts of that which a process has: all of it, or half while another process of the same relay is there.
	wholeProcess = 1.0
	halfProcess  = 0.5

	telemetryInterval     = 10 * time.Second
	telemetryFlushTimeout = time.Second // for what still waits at the end
)

// limitCPUs sets how many threads run at a time, the configured cores rounded up. 0 leaves it as it is.
func limitCPUs(cores float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
}

// limitMemory keeps the process to a part of the relay's memory.
func (r *relay) limitMemory(part float64) {
	if r.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.config.MemoryMB<<20) * memoryShare * part))
	}
}

// openStore opens the store, unless a predecessor still holds it: then persistentState.run does once that process is gone.
func (r *relay) openStore() {
	if r.asSuccessor == nil || r.operator.Store.Dir == "" {
		r.persistence.open(r.operator.Store)
	} else {
		r.persistence.deferToPredecessor()
	}
}

// createProxy makes the proxy and its observers. Its clock goes on with that of the predecessor, or of the saved snapshot, as
// times in what is restored are that clock's.
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

// installObservers makes requests logged and, if the operator wants it, their decisions recorded.
// The record comes first, as the archive and telemetry read in it what has ended.
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

// listenAdmin opens the second address, where there is one. Its error names the key.
func (r *relay) listenAdmin() error {
	if r.config.AdminAddr == "" {
		return nil
	}
	l, err := net.Listen("tcp", r.config.AdminAddr)
	if err != nil {
		return fmt.Errorf("admin_addr: %w", err)
	}
	r.admin = l
	r.proxy.PublishCounts()
	return nil
}

func (r *relay) closeAdmin() {
	if r.admin != nil {
		r.admin.Close()
	}
}

// createWatcher makes the watcher of discovery's list, which a site has as well, but doesn't run.
func (r *relay) createWatcher() {
	r.watcher = &discovery.Watcher{
		Proxy:      r.proxy,
		Address:    r.config.DiscoveryAddr,
		Zones:      r.config.Zones,
		RetainList: r.config.AdminAddr != "" || r.operator.Store.Dir != "",
	}
	r.listSynced = r.watcher.Synced()
}

// startTelemetry exports telemetry where the operator names a collector, until ctx ends. The function that it returns sends
// what is left; it takes telemetryFlushTimeout at the most.
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
			r.log.Warn("final telemetry export failed", "error", err)
		}
	}, nil
}

// startArchive starts the goroutine that saves explanations; stopArchive waits for it.
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

// becomeReady is the last phase of the start. It takes over from the predecessor, where there is one, and from then on a
// successor can take over from this process. Listeners are open, and settings and the endpoint list are there.
func (r *relay) becomeReady(ctx context.Context, group *errgroup.Group) {
	if err := r.takeOver(ctx); err != nil {
		r.log.Warn("takeover failed, continuing alone", "error", err)
	}
	r.ready.Store(true)
	if r.asPredecessor != nil {
		group.Go(func() error { return r.asPredecessor.Serve(ctx) })
	}
	r.log.Info("ready", "name", r.config.Name, "listen", r.config.Listen)
}
