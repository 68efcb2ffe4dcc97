package server

import (
	"context"

	"lockroad/internal/config"
)

// reloadAsk is a reload that someone asks for at the console.
type reloadAsk struct {
	dry    bool              // only tell what it would change
	answer chan reloadAnswer // nil: nobody waits for one
}

type reloadAnswer struct {
	changes []string
	err     error
}

// askReload has the file taken, as SIGHUP has, or with dry tells what that would change.
func (r *relay) askReload(ctx context.Context, dry bool) ([]string, error) {
	ask := reloadAsk{dry, make(chan reloadAnswer, 1)}
	select {
	case r.reloads <- ask:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case a := <-ask.answer:
		return a.changes, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reload takes a new configuration each time the file has been replaced: its settings and
// the address of discovery, or a site's servers. One that can't be read, or has anything wrong with it,
// changes nothing.
func (r *relay) reload(ctx context.Context, words RunOptions) error {
	take := r.platform(words)
	if words.Site != nil {
		take = r.site(words)
	}
	for {
		ask := reloadAsk{}
		select {
		case <-ctx.Done():
			return nil
		case <-words.Reload:
		case ask = <-r.reloads:
		}
		changes, err := take(ask)
		if !ask.dry {
			r.keys.reload(r.log)
		}
		switch {
		case err != nil && !ask.dry:
			r.core.Metrics.ReloadsRejected.Add(1)
			r.log.Error("the configuration stays as it was", "error", err)
		case !ask.dry:
			r.core.Metrics.ReloadsApplied.Add(1)
		}
		if ask.answer != nil {
			ask.answer <- reloadAnswer{changes, err}
		}
	}
}

// platform takes the platform's configuration. It tells what it changes, where someone wants to know.
func (r *relay) platform(words RunOptions) func(reloadAsk) ([]string, error) {
	inForce, fixed := r.config.Text(), r.config
	return func(ask reloadAsk) (changes []string, err error) {
		c, err := config.ReadReplacement(words.ConfigPath, inForce)
		if err != nil {
			return nil, err
		}
		if ask.answer != nil { // under load, at SIGHUP, nobody reads it
			changes = config.Differences(inForce, c.Text())
		}
		if ask.dry {
			return changes, nil
		}
		if c.NeedsRestart(fixed) {
			r.log.Warn("name, addresses but discovery's, and limits take effect with the next start only")
		}
		if zone := c.Settings.Zone; zone >= 0 && zone < len(c.Zones) { // servers keep the numbers that their localities have here
			c.Settings.Zone = r.watcher.ZoneNumber(c.Zones[zone])
		}
		inForce = c.Text()
		r.core.UpdateSettings(&c.Settings)
		r.watcher.SetAddress(c.Discovery)
		r.log.Info("configuration taken", "discovery", c.Discovery, "classes", len(c.Settings.Classes), "attempts", c.Settings.MaxAttempts)
		return changes, nil
	}
}

// site takes a site's file. It tells what it changes.
func (r *relay) site(words RunOptions) func(reloadAsk) ([]string, error) {
	inForce := words.Site
	return func(ask reloadAsk) ([]string, error) {
		next, err := config.ReadSite(words.ConfigPath)
		if err != nil {
			return nil, err
		}
		changes := inForce.Differences(next)
		if ask.dry {
			return changes, nil
		}
		inForce = next
		r.core.UpdateSettings(&next.Config.Settings)
		r.prober.Replace(next.Health, next.Servers)
		r.core.Quota.UpdateSettings(next.QuotaSettings(r.seats))
		for _, change := range changes {
			r.log.Info("the site's file", "change", change)
		}
		r.log.Info("configuration taken", "servers", len(next.Servers), "classes", len(next.Config.Settings.Classes), "attempts", next.Config.Settings.MaxAttempts)
		return changes, nil
	}
}
