package server

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/admin"
	"lockroad/internal/console"
	"lockroad/internal/explain"
)

// startServices starts the goroutines that run until the end, each as one of group, which Run waits for. The first error of
// one ends ctx, and with it all others; end is for those whose return without an error ends the relay as well.
func (r *relay) startServices(ctx context.Context, end context.CancelFunc, group *errgroup.Group) error {
	if err := r.startConsole(ctx, group); err != nil {
		return err
	}
	if r.admin != nil {
		group.Go(func() error { return r.serveAdmin(ctx) })
	}
	group.Go(func() error { return r.proxy.Run(ctx) })
	group.Go(func() error { return r.proxy.MonitorHeartbeats(ctx) })
	if r.prober != nil {
		group.Go(func() error { return r.prober.Run(ctx) })
	} else {
		group.Go(func() error { return r.watcher.Run(ctx) })
	}
	group.Go(func() error { return r.serveFrontends(ctx, end) })
	group.Go(func() error { return r.runReloads(ctx) })
	group.Go(func() error { return r.credentials.watchExpiry(ctx, r.log) })
	if r.operator.Store.Dir != "" || r.operator.Console.Socket != "" {
		group.Go(func() error { return r.persistence.run(ctx, r.operator.Store) })
	}
	group.Go(func() error { return r.awaitShutdown(ctx, end) })
	return nil
}

// startConsole opens the console's socket, where the operator names one, and serves it. Where there is a predecessor the
// socket is that process's until it is gone.
func (r *relay) startConsole(ctx context.Context, group *errgroup.Group) error {
	if r.operator.Console.Socket == "" {
		return nil
	}
	var l net.Listener
	if r.asSuccessor == nil {
		var err error
		if l, err = console.Listen(r.operator.Console.Socket); err != nil {
			return err
		}
	}
	server := r.consoleServer()
	group.Go(func() error { return r.serveConsole(ctx, server, l) })
	return nil
}

func (r *relay) consoleServer() *console.Server {
	server := &console.Server{
		Name:        r.config.Name,
		Proxy:       r.proxy,
		Drain:       r.requestShutdown,
		Persistence: r.persistence,
		Reload:      r.requestReload,
		Log:         r.options.LogTail,
		Restart:     r.requestRestart,
	}
	if r.prober != nil {
		server.Health = r.prober.Health
	}
	if r.decisionLog != nil {
		server.Explainer = &explain.Explainer{Log: r.decisionLog, Names: r.proxy.Endpoints}
		if r.persistence.archive != nil {
			server.Explainer = r.persistence.archive.explainer
		}
	}
	for _, f := range r.frontends {
		server.Frontends = append(server.Frontends, f.Frontend)
	}
	return server
}

// serveConsole serves the console at l or, if l is nil, at its socket once the predecessor has let go of it. Without a console
// the relay runs on.
func (r *relay) serveConsole(ctx context.Context, server *console.Server, l net.Listener) error {
	if l == nil {
		var err error
		if l, err = r.listenConsoleAfterPredecessor(ctx, r.operator.Console.Socket); err != nil {
			r.log.Error("console unavailable", "error", err)
		}
		if l == nil {
			return nil
		}
	}
	return server.Serve(ctx, l)
}

// serveAdmin serves the second address. Without it clients are served all the same.
func (r *relay) serveAdmin(ctx context.Context) error {
	server := &admin.Server{Ready: r.ready.Load, Metrics: r.proxy.Metrics}
	if err := server.Serve(ctx, r.admin); err != nil {
		r.log.Error("admin server failed", "error", err)
	}
	return nil
}
