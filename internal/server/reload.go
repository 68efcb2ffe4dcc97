package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lockroad/internal/config"
)

// reloadRequest is a reload requested at the console. The zero value is a reload requested by SIGHUP.
type reloadRequest struct {
	dryRun    bool              // only report what would change
	inherited bool              // repeats a reload of the predecessor, which has counted it
	result    chan reloadResult // buffered for one result; nil: the requester doesn't wait
}

type reloadResult struct {
	changes []string
	err     error
}

// reloader applies a configuration file, or only reads it in a dry run, and returns one line per change. After
// an error nothing has changed. It is called only by runReloads's goroutine.
type reloader func(request reloadRequest) (changes []string, err error)

// requestReload reloads the configuration, as SIGHUP does, or reports what a reload would change (dryRun), in the
// process that serves the clients. If that is a successor, this process reloads too, as it serves again if the
// successor is lost. It waits for the result or until ctx is cancelled. It is safe for concurrent use.
func (r *relay) requestReload(ctx context.Context, dryRun bool) ([]string, error) {
	changes, served, err := r.reloadSuccessor(ctx, dryRun)
	if err != nil || served && dryRun {
		return changes, err
	}
	own, err := r.submitReload(ctx, reloadRequest{dryRun: dryRun})
	switch {
	case served && err != nil:
		return append(changes, fmt.Sprintf("the process that hands over keeps its configuration: %v", err)), nil
	case served:
		return changes, nil
	case err != nil || dryRun:
		return own, err
	}
	// A successor may have taken over meanwhile.
	changes, served, err = r.reloadSuccessor(ctx, dryRun)
	if err == nil && !served {
		changes = own
	}
	return changes, err
}

// reloadSuccessor has the successor reload its configuration. served is false if none serves the clients.
func (r *relay) reloadSuccessor(ctx context.Context, dryRun bool) (changes []string, served bool, err error) {
	var reply reloadReply
	served, err = r.callSuccessor(ctx, methodReload, reloadCall{DryRun: dryRun}, &reply)
	if errors.Is(err, context.DeadlineExceeded) && !dryRun {
		err = fmt.Errorf("%w; it may have reloaded all the same", err)
	}
	return reply.Changes, served, err
}

// submitReload has this process reload its configuration, and waits for the result or until ctx is cancelled.
func (r *relay) submitReload(ctx context.Context, request reloadRequest) ([]string, error) {
	request.result = make(chan reloadResult, 1)
	select {
	case r.reloadRequests <- request:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case result := <-request.result:
		return result.changes, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runReloads handles reload requests from SIGHUP and the console until ctx is cancelled. A reload applies the
// configuration (settings and discovery address, or a site's endpoints and settings) and the credential files.
// An unreadable or invalid configuration is rejected as a whole.
func (r *relay) runReloads(ctx context.Context) error {
	reload := r.platformReloader()
	if r.options.Site != nil {
		reload = r.siteReloader()
	}
	for {
		request := reloadRequest{}
		select {
		case <-ctx.Done():
			return nil
		case <-r.options.Reload:
		case request = <-r.reloadRequests:
		}
		changes, err := reload(request)
		if !request.dryRun {
			r.credentials.reload(r.log)
			r.recordReload(request, err)
		}
		if request.result != nil {
			request.result <- reloadResult{changes: changes, err: err}
		}
	}
}

// recordReload counts a reload, and tells a successor that is about to take over of one that was applied.
func (r *relay) recordReload(request reloadRequest, err error) {
	if err == nil {
		now := time.Now()
		r.reloadedAt.Store(&now)
		r.publishState()
	}
	if request.inherited {
		return
	}
	if err != nil {
		r.proxy.Metrics.ReloadsRejected.Add(1)
		r.log.Error("configuration reload rejected", "error", err)
		return
	}
	r.proxy.Metrics.ReloadsApplied.Add(1)
}

// platformReloader returns the reloader of the platform configuration.
func (r *relay) platformReloader() reloader {
	started, inForce := r.config, r.config.Text()
	return func(request reloadRequest) (changes []string, err error) {
		next, err := config.ReadReplacement(r.options.ConfigPath, inForce)
		if err != nil {
			return nil, err
		}
		if request.result != nil { // a reload by SIGHUP skips the comparison, as nothing reads its result
			changes = config.Differences(inForce, next.Text())
		}
		if request.dryRun {
			return changes, nil
		}
		if next.NeedsRestart(started) {
			r.log.Warn("restart required to apply changes of name, listen address, admin address or limits")
		}
		if zone := next.Settings.Zone; zone >= 0 && zone < len(next.Zones) { // zones keep their numbers
			next.Settings.Zone = r.watcher.ZoneNumber(next.Zones[zone])
		}
		inForce = next.Text()
		r.proxy.UpdateSettings(&next.Settings)
		r.watcher.SetAddress(next.DiscoveryAddr)
		r.log.Info("configuration reloaded", "discovery", next.DiscoveryAddr, "classes", len(next.Settings.Classes), "attempts", next.Settings.MaxAttempts)
		return changes, nil
	}
}

// siteReloader returns the reloader of a site file.
func (r *relay) siteReloader() reloader {
	inForce := r.options.Site
	return func(request reloadRequest) ([]string, error) {
		next, err := config.ReadSite(r.options.ConfigPath)
		if err != nil {
			return nil, err
		}
		changes := inForce.Differences(next)
		if request.dryRun {
			return changes, nil
		}
		inForce = next
		settings := &next.Config.Settings
		r.proxy.UpdateSettings(settings)
		r.prober.Replace(next.Health, next.Endpoints)
		r.proxy.Quota.UpdateSettings(next.QuotaSettings(r.slots))
		for _, change := range changes {
			r.log.Info("site setting changed", "change", change)
		}
		r.log.Info("configuration reloaded", "servers", len(next.Endpoints), "classes", len(settings.Classes), "attempts", settings.MaxAttempts)
		return changes, nil
	}
}
