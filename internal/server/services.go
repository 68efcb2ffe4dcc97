package server

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/admin"
	"lockroad/internal/console"
	"lockroad/internal/explain"
)

// startServices starts the relay's long-running goroutines in group, which Run waits for. The first error
// cancels ctx and so stops all services. The frontends and the shutdown call cancel when they return, to stop
// the others without an error.
func (r *relay) startServices(ctx context.Context, cancel context.CancelFunc, group *errgroup.Group) error {
	if err := r.startConsole(ctx, group); err != nil {
		return err
	}
	if r.adminListener != nil {
		group.Go(func() error { return r.serveAdmin(ctx) })
	}
	group.Go(func() error { return r.proxy.Run(ctx) })
	group.Go(func() error { return r.proxy.MonitorHeartbeats(ctx) })
	if r.prober != nil {
		group.Go(func() error { return r.prober.Run(ctx) })
	} else {
		group.Go(func() error { return r.watcher.Run(ctx) })
	}
	group.Go(func() error { return r.serveFrontends(ctx, cancel) })
	group.Go(func() error { return r.runReloads(ctx) })
	group.Go(func() error { return r.credentials.watchExpiry(ctx, r.log) })
	if r.operator.Store.Dir != "" || r.operator.Console.Socket != "" {
		group.Go(func() error { return r.persistence.run(ctx, r.operator.Store) })
	}
	group.Go(func() error { return r.awaitShutdown(ctx, cancel) })
	return nil
}

// startConsole opens and serves the console's socket, if one is configured. If there is a predecessor, the
// socket belongs to it until it has exited.
func (r *relay) startConsole(ctx context.Context, group *errgroup.Group) error {
	if r.operator.Console.Socket == "" {
		return nil
	}
	var consoleListener net.Listener
	if r.asSuccessor == nil {
		var err error
		if consoleListener, err = console.Listen(r.operator.Console.Socket); err != nil {
			return err
		}
	}
	server := r.consoleServer()
	group.Go(func() error { return r.serveConsole(ctx, server, consoleListener) })
	return nil
}

func (r *relay) consoleServer() *console.Server {
	server := &console.Server{
		Name:        r.config.Name,
		Proxy:       r.proxy,
		Shutdown:    r.orderShutdown,
		Persistence: r.persistence,
		Reload:      r.requestReload,
		LogTail:     r.options.LogTail,
		Restart:     r.requestRestart,
		Requests:    r.requestsByEndpoint,
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

// serveConsole serves the console on consoleListener. If consoleListener is nil, it first waits until the
// predecessor has released the socket. The relay keeps running while the socket can't be opened.
func (r *relay) serveConsole(ctx context.Context, server *console.Server, consoleListener net.Listener) error {
	if consoleListener == nil {
		if consoleListener = r.listenConsoleAfterPredecessor(ctx, r.operator.Console.Socket); consoleListener == nil {
			return nil
		}
	}
	return server.Serve(ctx, consoleListener)
}

// serveAdmin serves the admin address. A failure is logged and doesn't stop the relay.
func (r *relay) serveAdmin(ctx context.Context) error {
	server := &admin.Server{Ready: r.ready.Load, Metrics: r.proxy.Metrics}
	if err := server.Serve(ctx, r.adminListener); err != nil {
		r.log.Error("admin server failed", "error", err)
	}
	return nil
}
