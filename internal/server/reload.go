package server

import (
	"context"

	"lockroad/internal/config"
)

// reloadRequest is a reload that someone asks for at the console.
type reloadRequest struct {
	dryRun bool              // only tell what it would change
	result chan reloadResult // nil: nobody waits for one
}

type reloadResult struct {
	changes []string
	err     error
}

// requestReload has the file taken, as SIGHUP has, or with dry tells what that would change.
func (r *relay) requestReload(ctx context.Context, dry bool) ([]string, error) {
	ask := reloadRequest{dry, make(chan reloadResult, 1)}
	select {
	case r.reloadRequests <- ask:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case a := <-ask.result:
		return a.changes, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runReloads takes a new configuration each time the file has been replaced: its settings and
// the address of discovery, or a site's servers. One that can't be read, or has anything wrong with it,
// changes nothing.
func (r *relay) runReloads(ctx context.Context, options RunOptions) error {
	take := r.platformReloader(options)
	if options.Site != nil {
		take = r.siteReloader(options)
	}
	for {
		ask := reloadRequest{}
		select {
		case <-ctx.Done():
			return nil
		case <-options.Reload:
		case ask = <-r.reloadRequests:
		}
		changes, err := take(ask)
		if !ask.dryRun {
			r.credentials.reload(r.log)
		}
		switch {
		case err != nil && !ask.dryRun:
			r.proxy.Metrics.ReloadsRejected.Add(1)
			r.log.Error("the configuration stays as it was", "error", err)
		case !ask.dryRun:
			r.proxy.Metrics.ReloadsApplied.Add(1)
		}
		if ask.result != nil {
			ask.result <- reloadResult{changes, err}
		}
	}
}

// platformReloader takes the platform's configuration. It tells what it changes, where someone wants to know.
func (r *relay) platformReloader(options RunOptions) func(reloadRequest) ([]string, error) {
	inForce, fixed := r.config.Text(), r.config
	return func(ask reloadRequest) (changes []string, err error) {
		c, err := config.ReadReplacement(options.ConfigPath, inForce)
		if err != nil {
			return nil, err
		}
		if ask.result != nil { // under load, at SIGHUP, nobody reads it
			changes = config.Differences(inForce, c.Text())
		}
		if ask.dryRun {
			return changes, nil
		}
		if c.NeedsRestart(fixed) {
			r.log.Warn("name, addresses but discovery's, and limits take effect with the next start only")
		}
		if zone := c.Settings.Zone; zone >= 0 && zone < len(c.Zones) { // servers keep the numbers that their localities have here
			c.Settings.Zone = r.watcher.ZoneNumber(c.Zones[zone])
		}
		inForce = c.Text()
		r.proxy.UpdateSettings(&c.Settings)
		r.watcher.SetAddress(c.Discovery)
		r.log.Info("configuration taken", "discovery", c.Discovery, "classes", len(c.Settings.Classes), "attempts", c.Settings.MaxAttempts)
		return changes, nil
	}
}

// siteReloader takes a site's file. It tells what it changes.
func (r *relay) siteReloader(options RunOptions) func(reloadRequest) ([]string, error) {
	inForce := options.Site
	return func(ask reloadRequest) ([]string, error) {
		next, err := config.ReadSite(options.ConfigPath)
		if err != nil {
			return nil, err
		}
		changes := inForce.Differences(next)
		if ask.dryRun {
			return changes, nil
		}
		inForce = next
		r.proxy.UpdateSettings(&next.Config.Settings)
		r.prober.Replace(next.Health, next.Servers)
		r.proxy.Quota.UpdateSettings(next.QuotaSettings(r.slots))
		for _, change := range changes {
			r.log.Info("the site's file", "change", change)
		}
		r.log.Info("configuration taken", "servers", len(next.Servers), "classes", len(next.Config.Settings.Classes), "attempts", next.Config.Settings.MaxAttempts)
		return changes, nil
	}
}
