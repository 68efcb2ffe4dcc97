package server

import (
	"context"

	"lockroad/internal/config"
)

// reloadRequest is a reload that is asked for at the console. The zero value is one by SIGHUP.
type reloadRequest struct {
	dryRun bool              // only report what it would change
	result chan reloadResult // has room for one; nil: nobody waits for it
}

type reloadResult struct {
	changes []string
	err     error
}

// reloader puts a configuration file in force, or only reads it at a dry run, and returns what it changes, a line each. After
// an error nothing has changed. Only the goroutine of runReloads calls it.
type reloader func(request reloadRequest) (changes []string, err error)

// requestReload reloads the configuration, as SIGHUP does, or with dryRun reports what that would change. It waits for the
// result or the end of ctx, and may be called by any goroutine.
func (r *relay) requestReload(ctx context.Context, dryRun bool) ([]string, error) {
	request := reloadRequest{dryRun: dryRun, result: make(chan reloadResult, 1)}
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

// runReloads reloads each time that the file has been replaced or the console asks, until ctx ends: the settings and the address
// of discovery, or a site's servers, and the files of credentials. A configuration that can't be read, or has anything wrong
// with it, changes nothing.
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
			r.countReload(err)
		}
		if request.result != nil {
			request.result <- reloadResult{changes: changes, err: err}
		}
	}
}

func (r *relay) countReload(err error) {
	if err != nil {
		r.proxy.Metrics.ReloadsRejected.Add(1)
		r.log.Error("configuration reload rejected", "error", err)
		return
	}
	r.proxy.Metrics.ReloadsApplied.Add(1)
}

// platformReloader reloads the platform's configuration.
func (r *relay) platformReloader() reloader {
	started, inForce := r.config, r.config.Text()
	return func(request reloadRequest) (changes []string, err error) {
		next, err := config.ReadReplacement(r.options.ConfigPath, inForce)
		if err != nil {
			return nil, err
		}
		if request.result != nil { // at SIGHUP, which may come under load, nobody reads it
			changes = config.Differences(inForce, next.Text())
		}
		if request.dryRun {
			return changes, nil
		}
		if next.NeedsRestart(started) {
			r.log.Warn("changed name, addresses or limits need a restart")
		}
		if zone := next.Settings.Zone; zone >= 0 && zone < len(next.Zones) { // endpoints keep the numbers that their zones have here
			next.Settings.Zone = r.watcher.ZoneNumber(next.Zones[zone])
		}
		inForce = next.Text()
		r.proxy.UpdateSettings(&next.Settings)
		r.watcher.SetAddress(next.DiscoveryAddr)
		r.log.Info("configuration reloaded", "discovery", next.DiscoveryAddr, "classes", len(next.Settings.Classes), "attempts", next.Settings.MaxAttempts)
		return changes, nil
	}
}

// siteReloader reloads a site's file.
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
