package amqp

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lockroad/internal/auth"
	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

const (
	openTimeout   = listener.OpeningTimeout // from a client's connecting to its open
	shutdownGrace = 200 * time.Millisecond  // from the relay's shutdown to the close of a client's connection
	closeTimeout  = time.Second             // for a peer's answer to a close or a detach
)

// Frontend accepts clients that speak AMQP 1.0. Its exported fields are set before Serve is called, and not changed after.
type Frontend struct {
	Proxy   *proxy.Proxy
	Limiter *listener.ConnLimiter // slots are for links, idle places for connections without
	// EndpointPort is the port on which endpoints speak AMQP; 0: that of their address in the endpoint list.
	EndpointPort int
	IdleTimeout  time.Duration // a client that is silent for this long is closed; 0: 30 s

	Authenticator *auth.Authenticator // authenticates clients and authorizes classes; nil: all may open all
	EndpointTLS   *auth.EndpointTLS   // of connections to endpoints; nil: plain TCP
	Pool          connpool.Settings   // of connections to endpoints that requests share; zero: each request has its own
	Placements    []Placement         // rules for links whose attach lacks properties; each compiled

	endpointsWithoutSASL sync.Map           // keys are addresses
	sharedConnections    *sharedConnections // nil: no connections are shared
}

// Serve accepts clients until the listener is closed, and returns when the last of them has ended. ctx ends the
// connections at once.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	if f.Pool.MaxSessions > 0 {
		f.sharedConnections = newSharedConnections(f, f.Pool)
		defer f.sharedConnections.close()
		defer context.AfterFunc(ctx, f.sharedConnections.close)() // at shutdown nothing waits for an endpoint that does not read
	}
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

// serveClient serves one connection until its end. The listener calls it in a goroutine for each.
func (f *Frontend) serveClient(ctx context.Context, tcp *net.TCPConn, admission *listener.Admission) {
	ctx, cancel := context.WithCancel(ctx)
	c := &clientConnection{
		connection: newConnection(tcp), frontend: f, admission: admission, ctx: ctx, tcp: tcp,
		sessions: make(map[uint16]*clientSession), done: make(chan struct{}), user: auth.AnonymousUser,
	}
	stopClose := context.AfterFunc(ctx, func() { tcp.Close() })
	err := c.handshakeTLS()
	if err == nil {
		err = c.serve()
	}
	if conditionErr := (framing.ConditionError{}); errors.As(err, &conditionErr) {
		f.Proxy.ProtocolError("amqp", conditionErr.Description)
		c.writeFrame(0, framing.NewClose(conditionErr), nil)
	}
	for _, s := range c.sessions { // before the wait: endpoints are to be sent nothing more of them
		s.disconnect()
	}
	c.linger()
	c.activeLinks.Wait()
	close(c.done)
	stopClose()
	cancel()
	tcp.Close()
}
