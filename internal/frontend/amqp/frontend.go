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
	"lockroad/internal/throttle"
)

const (
	openTimeout   = listener.OpeningTimeout // from accepting a client's connection to receiving its open
	shutdownGrace = 200 * time.Millisecond  // from rejecting pending requests to closing client connections
	closeTimeout  = time.Second             // wait for a peer's reply to a close or a detach
)

// Frontend accepts clients that speak AMQP 1.0. Exported fields must be set before Serve and not change afterwards.
type Frontend struct {
	Proxy   *proxy.Proxy
	Limiter *listener.ConnLimiter // a link takes a slot; a connection without links counts as idle
	// EndpointPort is the AMQP port of all endpoints; 0: the port in each endpoint's address.
	EndpointPort int
	IdleTimeout  time.Duration // closes a client connection that is silent for this long; 0: 30 s

	Authenticator *auth.Authenticator // authenticates clients and authorizes classes; nil: no checks
	EndpointTLS   *auth.EndpointTLS   // for connections to endpoints; nil: plain TCP
	Pool          connpool.Settings   // of shared connections to endpoints; zero: each request has its own connection
	Placements    []Placement         // rules for links whose attach lacks the relay's properties; must be compiled
	// MaxPendingBytes limits the memory of the frames of all clients that wait in the relay, beyond a few for each
	// connection. While it is used up, connections that have many are not read; 0: no limit.
	MaxPendingBytes int
	Throttle        *throttle.Throttle // of connections that send without a pause; nil: none

	endpointsWithoutSASL sync.Map           // set of endpoint addresses
	sharedConnections    *sharedConnections // nil if Pool is zero
	memory               *memoryBudget      // set by Serve
}

// Serve accepts clients until the listener is closed, and returns after the last client connection has ended.
// Cancelling ctx closes all connections immediately.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) error {
	f.memory = newMemoryBudget(f.MaxPendingBytes)
	if f.Pool.MaxSessions > 0 {
		f.sharedConnections = newSharedConnections(f, f.Pool)
		defer f.sharedConnections.close()
		defer context.AfterFunc(ctx, f.sharedConnections.close)() // unblocks writes to endpoints that do not read
	}
	return listener.Serve(ctx, l, f.Limiter, f.serveClient)
}

// serveClient serves one client connection until it ends. The listener calls it in a separate goroutine per connection.
func (f *Frontend) serveClient(ctx context.Context, tcp *net.TCPConn, admission *listener.Admission) {
	ctx, cancel := context.WithCancel(ctx)
	client := &clientConnection{
		connection: newConnection(tcp), frontend: f, admission: admission, ctx: ctx, tcp: tcp,
		sessions: make(map[uint16]*clientSession), done: make(chan struct{}), user: auth.AnonymousUser,
		memory: f.memory.open(), meter: f.Throttle.NewMeter(),
	}
	defer client.memory.close()
	stopClose := context.AfterFunc(ctx, func() { tcp.Close() })
	err := client.handshakeTLS()
	if err == nil {
		err = client.serve()
	}
	if err == nil {
		client.answerClose()
	}
	if conditionErr := (framing.ConditionError{}); errors.As(err, &conditionErr) {
		f.Proxy.ProtocolError("amqp", conditionErr.Description)
		client.writeFrame(0, framing.NewClose(conditionErr), nil)
	}
	for _, s := range client.sessions { // before lingering, so that nothing more is sent to endpoints
		s.disconnect()
	}
	client.linger()
	client.activeLinks.Wait()
	close(client.done)
	stopClose()
	cancel()
	tcp.Close()
}
