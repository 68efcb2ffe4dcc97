package server

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/admin"
	"lockroad/internal/auth"
	"lockroad/internal/console"
	"lockroad/internal/frontend/amqp"
	"lockroad/internal/frontend/line"
	"lockroad/internal/listener"
	"lockroad/internal/quota"
	"lockroad/internal/throttle"
)

const (
	// Defaults if the configuration doesn't limit file descriptors.
	defaultSlots   = 4096
	defaultMaxIdle = 1024

	// The number of admission slots is slotEighths eighths of the number of file descriptors. Each slot uses two
	// descriptors, one for the client and one for the endpoint.
	slotEighths = 3
	// reservedDescriptors is the number of descriptors for uses other than clients and endpoints. The remaining
	// descriptors are for idle connections, which have no request yet.
	reservedDescriptors = 24
	// The frames of all AMQP clients that wait in the relay may take one pendingShare-th of the configured memory.
	pendingShare = 8
)

// firstListTimeout is how long to wait for the first endpoint list before admitting clients; a running discovery
// agent answers immediately. Until then, connections wait in the accept queues. It is a variable so that tests
// can change it.
var firstListTimeout = 300 * time.Millisecond

// frontend is the server of one client protocol. Serve returns once ctx is cancelled or the listener is closed,
// and all admitted clients have left.
type frontend interface {
	Serve(ctx context.Context, l net.Listener) error
}

// boundFrontend is a frontend with its listener.
type boundFrontend struct {
	console.Frontend
	frontend
	*listener.Listener
}

// frontendLimits limits the concurrent requests and idle connections of the frontends.
type frontendLimits struct {
	lineSlots, amqpSlots int // concurrent requests; amqpSlots is 0 if the AMQP frontend is off
	maxIdle              int // connections without a request, for each frontend
}

// frontendLimits divides the configured number of file descriptors among the frontends.
func (r *relay) frontendLimits() frontendLimits {
	limits := frontendLimits{lineSlots: defaultSlots, maxIdle: defaultMaxIdle}
	if sockets := r.config.Sockets; sockets > 0 {
		limits.lineSlots = max(1, sockets*slotEighths/8)
		reserved := reservedDescriptors
		if r.config.AdminAddr != "" {
			reserved += admin.MaxConnections + 1 // one more connection is open while the oldest is evicted
		}
		if r.operator.Console.Socket != "" {
			reserved += console.MaxSessions
		}
		limits.maxIdle = max(1, sockets-2*limits.lineSlots-reserved)
	}
	if r.operator.AMQP.Listen != "" {
		limits.amqpSlots = r.operator.AMQP.MaxLinks
		if limits.amqpSlots == 0 || limits.amqpSlots > limits.lineSlots/2 {
			limits.amqpSlots = max(1, limits.lineSlots/2)
		}
		limits.lineSlots = max(1, limits.lineSlots-limits.amqpSlots)
		limits.maxIdle = max(1, limits.maxIdle/2)
	}
	return limits
}

// openFrontends creates the frontends and opens their listeners or takes over those of the predecessor. Clients
// are admitted only once the services run. An error aborts the start.
func (r *relay) openFrontends() error {
	limits := r.frontendLimits()
	r.throttle = throttle.New()
	r.slots = limits.lineSlots + limits.amqpSlots
	if err := r.openLineFrontend(limits); err != nil {
		return err
	}
	if r.operator.AMQP.Listen != "" {
		if err := r.openAMQPFrontend(limits); err != nil {
			return err
		}
	}
	if site := r.options.Site; site != nil {
		r.proxy.Quota = quota.New(site.QuotaSettings(r.slots))
	}
	r.closeUnclaimedListeners()
	return nil
}

func (r *relay) openLineFrontend(limits frontendLimits) error {
	limiter := &listener.ConnLimiter{Slots: limits.lineSlots, MaxIdle: limits.maxIdle}
	r.limiters = append(r.limiters, limiter)
	r.lineFrontend = &line.Frontend{Proxy: r.proxy, Limiter: limiter, Throttle: r.throttle}
	return r.bindFrontend("line", r.config.Listen, r.lineFrontend)
}

func (r *relay) openAMQPFrontend(limits frontendLimits) error {
	settings := &r.operator.AMQP
	limiter := &listener.ConnLimiter{Slots: limits.amqpSlots, MaxIdle: limits.maxIdle}
	r.limiters = append(r.limiters, limiter)
	amqpFrontend := &amqp.Frontend{
		Proxy: r.proxy, EndpointPort: settings.EndpointPort, Limiter: limiter, Pool: settings.PoolSettings(),
		MaxPendingBytes: int(r.config.MemoryMB<<20) / pendingShare, Throttle: r.throttle,
	}
	var err error
	if amqpFrontend.Placements, err = settings.CompiledPlacements(); err != nil {
		return err
	}
	if r.credentials.authenticator, err = auth.New(settings.AuthSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	if r.credentials.endpointTLS, err = auth.NewEndpointTLS(settings.EndpointTLSSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	amqpFrontend.Authenticator, amqpFrontend.EndpointTLS = r.credentials.authenticator, r.credentials.endpointTLS
	return r.bindFrontend("amqp", settings.Listen, amqpFrontend)
}

// bindFrontend registers a frontend with a listener: the one that the predecessor offers for this name and
// address, or a new one.
func (r *relay) bindFrontend(name, address string, f frontend) error {
	frontendListener := r.inheritedListener(name, address)
	var err error
	if frontendListener == nil {
		frontendListener, err = listener.Listen(address, r.config.AdminAddr != "") // both processes of a hot restart listen
	}
	if err != nil {
		r.closeListeners()
		return fmt.Errorf("open %s frontend: %w", name, err)
	}
	r.frontends = append(r.frontends, boundFrontend{console.Frontend{Name: name, Address: frontendListener.Addr().String()}, f, frontendListener})
	return nil
}

// closeListeners stops admitting clients. It is safe for concurrent and repeated use.
func (r *relay) closeListeners() {
	for _, f := range r.frontends {
		f.Shutdown()
	}
}

// serveFrontends runs the frontends. When all clients of all frontends have left, it stops the other services by
// calling cancel.
func (r *relay) serveFrontends(ctx context.Context, cancel context.CancelFunc) error {
	defer cancel()
	if r.prober == nil && r.asSuccessor == nil { // the configured or saved list may be outdated
		select {
		case <-r.listSynced:
		case <-ctx.Done():
		case <-time.After(firstListTimeout):
		}
	}
	var group errgroup.Group
	for _, f := range r.frontends {
		group.Go(func() error { return f.frontend.Serve(ctx, f.Listener) })
	}
	return group.Wait()
}
