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
)

const (
	// Where the configuration sets no limit of sockets.
	defaultSlots   = 4096
	defaultMaxIdle = 1024

	// slotEighths is how many eighths of the descriptors are admission slots, each of which takes two: the client's and the
	// endpoint's.
	slotEighths = 3
	// reservedDescriptors are for all but clients. What then is left is for idle connections, which have no request yet.
	reservedDescriptors = 24
)

// firstListTimeout is how long the first list is waited for before clients are admitted: an agent that is up answers at once.
// Those who come meanwhile wait in the listeners' queues. It is a variable for tests alone.
var firstListTimeout = 300 * time.Millisecond

// frontend is the server of one client protocol. Serve returns once ctx has ended or the listener is closed, and all clients
// that it has admitted are gone.
type frontend interface {
	Serve(ctx context.Context, l net.Listener) error
}

// boundFrontend is a frontend with its listener.
type boundFrontend struct {
	console.Frontend
	frontend
	*listener.Listener
}

// frontendLimits are how many clients the frontends admit at a time.
type frontendLimits struct {
	lineSlots, amqpSlots int // requests under way; amqpSlots is 0 where that frontend is off
	maxIdle              int // connections without a request, of each frontend
}

// frontendLimits divides the descriptors that the configuration allows the process.
func (r *relay) frontendLimits() frontendLimits {
	limits := frontendLimits{lineSlots: defaultSlots, maxIdle: defaultMaxIdle}
	if sockets := r.config.Sockets; sockets > 0 {
		limits.lineSlots = max(1, sockets*slotEighths/8)
		reserved := reservedDescriptors
		if r.config.AdminAddr != "" {
			reserved += admin.MaxConnections + 1 // and the one that finds all taken
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

// openFrontends opens the frontends' listeners, or takes over those of the predecessor. Clients are admitted only once the
// services run. After an error Run gives the relay up.
func (r *relay) openFrontends() error {
	limits := r.frontendLimits()
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
	r.lineFrontend = &line.Frontend{Proxy: r.proxy, Limiter: limiter}
	return r.bindFrontend("line", r.config.Listen, r.lineFrontend)
}

func (r *relay) openAMQPFrontend(limits frontendLimits) error {
	settings := &r.operator.AMQP
	limiter := &listener.ConnLimiter{Slots: limits.amqpSlots, MaxIdle: limits.maxIdle}
	r.limiters = append(r.limiters, limiter)
	front := &amqp.Frontend{Proxy: r.proxy, EndpointPort: settings.EndpointPort, Limiter: limiter, Pool: settings.PoolSettings()}
	var err error
	if front.Placements, err = settings.CompiledPlacements(); err != nil {
		return err
	}
	if r.credentials.authenticator, err = auth.New(settings.AuthSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	if r.credentials.endpointTLS, err = auth.NewEndpointTLS(settings.EndpointTLSSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	front.Authenticator, front.EndpointTLS = r.credentials.authenticator, r.credentials.endpointTLS
	return r.bindFrontend("amqp", settings.Listen, front)
}

// bindFrontend gives a frontend its listener: that of the predecessor, if it offers one of this name and address, or a new one.
func (r *relay) bindFrontend(name, address string, f frontend) error {
	l := r.inheritedListener(name, address)
	var err error
	if l == nil {
		l, err = listener.Listen(address, r.config.AdminAddr != "") // who asks there whether it is ready may replace it under load
	}
	if err != nil {
		r.closeListeners()
		return fmt.Errorf("front %s: %w", name, err)
	}
	r.frontends = append(r.frontends, boundFrontend{console.Frontend{Name: name, Listen: l.Addr().String()}, f, l})
	return nil
}

// closeListeners stops the admission of clients. It may be called more than once, by any goroutine.
func (r *relay) closeListeners() {
	for _, f := range r.frontends {
		f.Shutdown()
	}
}

// serveFrontends runs the frontends. Once all clients of all frontends have been seen through, it ends the relay.
func (r *relay) serveFrontends(ctx context.Context, end context.CancelFunc) error {
	defer end()
	if r.prober == nil && r.asSuccessor == nil { // what was known before the start is older than what counts as notified
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
