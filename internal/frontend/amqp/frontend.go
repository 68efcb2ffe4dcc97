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
	openTimeout   = listener.OpeningTimeout // a client may take this long to open, all in all
	shutdownGrace = 200 * time.Millisecond  // a connection whose links are moved or answered has this long once the relay ends
	closeTimeout  = time.Second             // a peer may take this long to answer a close
)

// Frontend is where clients that speak AMQP come in.
type Frontend struct {
	Proxy   *proxy.Proxy
	Limiter *listener.ConnLimiter // its seats are for links, its room for connections without
	// ServerPort is where application servers speak AMQP; 0: as discovery says.
	EndpointPort int
	IdleTimeout  time.Duration // a client that is silent for this long goes; 0: the usual

	Authenticator *auth.Authenticator // says who clients are and what they may open; nil: everyone everything
	EndpointTLS   *auth.EndpointTLS   // how connections to application servers are secured; nil: they are not
	Pool          connpool.Settings   // connections to servers that transactions share; zero: each has its own
	Placements    []Placement         // what links want whose attach does not say it; each is compiled

	endpointsWithoutSASL sync.Map           // addresses of servers that speak without the security layer
	sharedConnections    *sharedConnections // nil: no connections are shared
}

// Serve takes clients until the listener is closed, and then sees those through
// that it has.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	if f.Pool.MaxSessions > 0 {
		f.sharedConnections = newSharedConnections(f, f.Pool)
		defer f.sharedConnections.close()
		defer context.AfterFunc(ctx, f.sharedConnections.close)() // at the relay's end nobody waits for a server that does not read
	}
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

// serveClient sees one connection through.
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
	for _, s := range c.sessions { // ahead of the wait: nothing of them is to go to a server any more
		s.disconnect()
	}
	c.linger()
	c.activeLinks.Wait()
	close(c.done)
	stopClose()
	cancel()
	tcp.Close()
}
