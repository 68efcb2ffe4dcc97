package server

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	rereads    = 5                     // of a file that is replaced while it is read
	rereadWait = 10 * time.Millisecond // between two
)

// readWhole reads a file as it stands. It guards against one that is written anew while
// it is read: what is read then is part of the one and part of the other.
func readWhole(path string) ([]byte, error) {
	for i := 0; ; i++ {
		before, err1 := os.Stat(path)
		text, err2 := os.ReadFile(path)
		after, err3 := os.Stat(path)
		if err := cmp.Or(err1, err2, err3); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		same := os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()) && after.Size() == int64(len(text))
		if same || i == rereads {
			return text, nil
		}
		time.Sleep(rereadWait)
	}
}

// shorter adds the keys that the file in force has and this one lacks.
func (f *finder) shorter(text, inForce []byte) {
	var before, now map[string]any
	if json.Unmarshal(inForce, &before) == nil && json.Unmarshal(text, &now) == nil {
		f.lacks("", before, now)
	}
}

// lacks adds the keys that an object had and has no more. It looks at objects within
// objects, not at those in lists: a class or a server that is left out is no missing key.
func (f *finder) lacks(path string, before, now map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		at := path + key
		value, has := now[key]
		if !has {
			if !slices.ContainsFunc(f.found, func(p *Problem) bool { return p.Key == at }) {
				f.add(at, "is missing; the file in force has it")
			}
			continue
		}
		if old, is := before[key].(map[string]any); is {
			if object, is := value.(map[string]any); is {
				f.lacks(at+".", old, object)
			}
		}
	}
}

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
	inForce, fixed := r.config.text, r.config
	return func(ask reloadAsk) (changes []string, err error) {
		text, err := readWhole(words.ConfigPath)
		var c *Config
		if err == nil {
			c, err = parseConfig(words.ConfigPath, text, inForce)
		}
		if err != nil {
			return nil, err
		}
		if ask.answer != nil { // under load, at SIGHUP, nobody reads it
			var before, now any
			was, is := make(map[string]string), make(map[string]string)
			if json.Unmarshal(inForce, &before) == nil && json.Unmarshal(text, &now) == nil {
				flatten(was, "", before)
				flatten(is, "", now)
			}
			changes = differences(was, is, func(key string) bool { return key == "discovery" || strings.HasPrefix(key, "settings.") })
		}
		if ask.dry {
			return changes, nil
		}
		if c.Listen != fixed.Listen || c.Name != fixed.Name || c.Sockets != fixed.Sockets || c.MemoryMB != fixed.MemoryMB ||
			c.Cores != fixed.Cores || c.fileAdmin != fixed.fileAdmin {
			r.log.Warn("name, addresses but discovery's, and limits take effect with the next start only")
		}
		if zone := c.Settings.Zone; zone >= 0 && zone < len(c.Zones) { // servers keep the numbers that their localities have here
			c.Settings.Zone = r.watcher.ZoneNumber(c.Zones[zone])
		}
		inForce = text
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
		next, err := ReadSite(words.ConfigPath)
		if err != nil {
			return nil, err
		}
		changes := differences(inForce.flat, next.flat, live)
		if ask.dry {
			return changes, nil
		}
		inForce = next
		r.core.UpdateSettings(&next.Config.Settings)
		r.prober.Replace(next.Health, next.Servers)
		r.core.Quota.UpdateSettings(next.limits(r.seats))
		for _, change := range changes {
			r.log.Info("the site's file", "change", change)
		}
		r.log.Info("configuration taken", "servers", len(next.Servers), "classes", len(next.Config.Settings.Classes), "attempts", next.Config.Settings.MaxAttempts)
		return changes, nil
	}
}
