package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/core"
	"lockroad/internal/spoken/discovery"
	"lockroad/internal/spoken/line"
)

const (
	acceptFor = 600 * time.Millisecond // clients still come for this long after the word to leave
	spareFDs  = 64                     // descriptors for all but transactions
	memPart   = 0.7                    // of the memory limit, for the collector to keep to
)

// Run runs a relay until drain is closed and everyone has been moved, or ctx ends.
func Run(ctx context.Context, drain <-chan struct{}, c *Config, log *slog.Logger) error {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * memPart))
	}
	most := 4096
	if c.Sockets > 0 {
		most = max(1, (c.Sockets-spareFDs)/2) // one for the client, one for its server
	}

	k := core.New(c.Settings, c.Seed, core.NewClock())
	watcher := &discovery.Watcher{Core: k, Address: c.Discovery, Zones: c.Zones}
	if err := watcher.Know(c.Known); err != nil {
		log.Warn("the list from before the start is of no use", "error", err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	defer l.Close()
	log.Info("ready", "name", c.Name, "listen", c.Listen, "most", most)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.Run(ctx) })
	g.Go(func() error { return k.Watch(ctx) })
	g.Go(func() error { return watcher.Run(ctx) })
	g.Go(func() error {
		defer cancel() // all clients have been seen through
		front := &line.Front{Core: k, Classes: c.Classes, Most: most}
		return front.Serve(ctx, l)
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			l.Close()
			return nil
		case <-drain:
		}
		log.Info("leaving", "transactions", k.Transactions.Len())
		leave(ctx, k, l, c)
		cancel()
		return nil
	})
	err = g.Wait()
	log.Info("stopped", "transactions", k.Transactions.Len())
	return err
}

// leave moves everyone away while clients still come, then closes the door and
// waits for the last of them, no longer than the platform does.
func leave(ctx context.Context, k *core.Core, l net.Listener, c *Config) {
	last := 3 * time.Second
	for _, class := range c.Settings.Classes {
		last = max(last, class.Deadline)
	}
	kill := time.NewTimer(last + 400*time.Millisecond) // SIGKILL comes 300 ms later
	defer kill.Stop()
	k.MoveAll()
	select {
	case <-ctx.Done():
	case <-time.After(acceptFor):
	}
	l.Close()
	select {
	case <-ctx.Done():
	case <-kill.C:
	}
}
