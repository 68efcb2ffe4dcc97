package amqp

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"lockroad/balancer"
	"lockroad/internal/auth"
	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

const (
	advertisedEndpointIdleTimeout = 2 * time.Second // an application server is told this much
	endpointSilenceTimeout        = 6 * time.Second // and is dead after this much

	propClass      = "class"
	propTenant     = "tenant"
	propDeadline   = "give-up-ms"
	propGroup      = "group"
	propItem       = "item"
	propLoad       = "load-us" // microseconds of work a second
	propReturning  = "again"
	infoRetryAfter = "come-back-ms"
)

// upstream is an application server's side of a transaction: one session with one link, on a connection of
// its own or on one that others share.
type upstream struct {
	*session
	sharedSession        *sharedSession // of a shared connection; nil: it has its own
	connectionID         connpool.ID    // that connection
	sharedConnections    *sharedConnections
	maxSessions          int                  // that the connection is to have at the most; 0: as any other
	peerMaxChannel       uint16               // highest channel that the server takes
	peerIdleTimeout      time.Duration        // that it wants to hear something within
	attach               framing.Performative // the server's
	creditFlow           *framing.Performative
	done                 chan struct{}
	hasClientCertificate bool     // the relay has shown a certificate
	tcp                  net.Conn // below TLS, if that is there: its end waits for nobody
}

// Close ends the connection at once.
func (u *upstream) Close() {
	if u.sharedSession != nil {
		u.sharedConnections.endSession(u.connectionID, u.sharedSession)
		return
	}
	u.session.markEnded()
	u.tcp.Close()
}

// nextFrame waits for the server's next frame, for so long at the most; 0: as long as the server gives a sign of life, which on a
// shared connection its reader sees to.
func (u *upstream) nextFrame(wait time.Duration) (framing.Frame, error) {
	if u.sharedSession != nil {
		return u.sharedSession.nextFrame(wait)
	}
	return u.readFrame(framing.TypeAMQP, cmp.Or(wait, endpointSilenceTimeout))
}

// limitRemaining has the server say what it still has to say within a time.
func (u *upstream) limitRemaining(wait time.Duration) {
	if u.sharedSession != nil {
		u.sharedSession.setDeadline(time.Now().Add(wait))
		return
	}
	u.SetReadDeadline(time.Now().Add(wait))
}

// connect opens a connection to a server, with a session on it; on a shared one the session begins as the attach goes out.
func (f *Frontend) connect(ctx context.Context, to registry.Endpoint, address string, bound time.Duration) (*upstream, error) {
	if f.sharedConnections != nil {
		l, id, err := f.sharedConnections.openSession(ctx, to, address, bound)
		if err != nil {
			return nil, err
		}
		return &upstream{session: l.session, sharedSession: l, connectionID: id, sharedConnections: f.sharedConnections, done: make(chan struct{})}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	u, err := f.dial(ctx, address, bound)
	if err != nil {
		return nil, err
	}
	cut := context.AfterFunc(ctx, func() { u.tcp.Close() })
	go u.sendHeartbeats(u.peerIdleTimeout, u.done)
	err = u.beginSession(bound)
	if !cut() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		close(u.done)
		u.Close()
		return nil, err
	}
	return u, nil
}

// beginSession begins the one session of a connection.
func (u *upstream) beginSession(bound time.Duration) error {
	if err := u.writeFrame(0, u.newBegin(nil), nil); err != nil {
		return err
	}
	for {
		f, err := u.readFrame(framing.TypeAMQP, bound)
		switch {
		case err != nil:
			return err
		case f.Empty:
		case f.Code == framing.CodeBegin:
			return u.applyBegin(f.Performative)
		default:
			return errNegotiation
		}
	}
}

// dial opens a connection to a server up to where a session can begin. All of
// that is bounded as a connection's set-up: nothing has run by then. A server that
// speaks without the security layer says so to the header of that layer (part 2,
// section 2.2), and closes: it is dialled again without, and so from then on.
func (f *Frontend) dial(ctx context.Context, address string, bound time.Duration) (*upstream, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, plain := f.endpointsWithoutSASL.Load(address)
	u, err := f.dialOnce(ctx, address, bound, plain)
	if errors.Is(err, errSASLMismatch) {
		if plain = !plain; plain {
			f.endpointsWithoutSASL.Store(address, true)
		} else {
			f.endpointsWithoutSASL.Delete(address)
		}
		u, err = f.dialOnce(ctx, address, bound, plain)
	}
	return u, err
}

func (f *Frontend) dialOnce(ctx context.Context, address string, bound time.Duration, plain bool) (*upstream, error) {
	d := net.Dialer{KeepAlive: -1}
	tcp, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	over := streamConn(tcp.(*net.TCPConn))
	host, _, _ := net.SplitHostPort(address)
	shows := false // the relay shows a certificate
	if config := f.EndpointTLS.For(host); config != nil {
		secured := tls.Client(tcp, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			tcp.Close()
			return nil, err
		}
		over, shows = secured, len(config.Certificates) > 0
	}
	u := &upstream{session: newSession(newConnection(over), 0), done: make(chan struct{}), tcp: tcp, hasClientCertificate: shows, maxSessions: f.Pool.MaxSessions}
	cut := context.AfterFunc(ctx, func() { tcp.Close() })
	err = u.negotiate(bound, plain)
	if !cut() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		u.Close()
		return nil, err
	}
	return u, nil
}

var (
	errNegotiation = errors.New("the server's greeting makes no sense")
	// errSASLMismatch says that the server wants to begin with the other header: without
	// the security layer, or with it.
	errSASLMismatch = errors.New("the server begins with another layer")
)

// authenticate passes the security layer.
func (u *upstream) authenticate(bound time.Duration) error {
	if err := u.writeProtocolHeader(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	switch h, err := u.readProtocolHeader(bound); {
	case err == nil && h == framing.ProtocolHeaderAMQP:
		return errSASLMismatch
	case err != nil || h != framing.ProtocolHeaderSASL:
		return errors.Join(err, errNegotiation)
	}
	f, err := u.readFrame(framing.TypeSASL, bound)
	if err != nil || f.Code != framing.CodeSASLMechanisms {
		return errors.Join(err, errNegotiation)
	}
	begin := framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.Anonymous), []byte("lockroad")}}
	if u.hasClientCertificate && offersMechanism(f.Field(0), auth.External) {
		begin = framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.External), []byte{}}}
	}
	if err := u.writeSASL(begin); err != nil {
		return err
	}
	f, err = u.readFrame(framing.TypeSASL, bound)
	if err != nil || f.Code != framing.CodeSASLOutcome || f.Uint32(0, 1) != 0 {
		return errors.Join(err, errNegotiation)
	}
	return nil
}

// offersMechanism tells whether a peer's mechanisms, which are one or an array, have one among them.
func offersMechanism(mechanisms any, name string) bool {
	all, ok := mechanisms.(codec.Array)
	if !ok {
		all = codec.Array{mechanisms}
	}
	return slices.ContainsFunc(all, func(v any) bool { return codec.AsString(v) == name })
}

func (u *upstream) negotiate(bound time.Duration, plain bool) error {
	if !plain {
		if err := u.authenticate(bound); err != nil {
			return err
		}
	}
	if err := u.writeProtocolHeader(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	switch h, err := u.readProtocolHeader(bound); {
	case err == nil && plain && h == framing.ProtocolHeaderSASL:
		return errSASLMismatch
	case err != nil || h != framing.ProtocolHeaderAMQP:
		return errors.Join(err, errNegotiation)
	}
	ours := newOpen("lockroad").With(4, uint32(advertisedEndpointIdleTimeout.Milliseconds()))
	if u.maxSessions > 0 {
		ours = ours.With(3, uint16(u.maxSessions-1))
	}
	if err := u.writeFrame(0, ours, nil); err != nil {
		return err
	}
	f, err := u.readFrame(framing.TypeAMQP, bound)
	if err != nil || f.Code != framing.CodeOpen {
		return errors.Join(err, errNegotiation)
	}
	u.peerIdleTimeout = u.connection.applyOpen(f.Performative)
	u.peerMaxChannel = uint16(min(f.Uint32(3, math.MaxUint16), math.MaxUint16))
	return nil
}

// Attempt attaches the client's link at a server, and waits for its attach and, if
// the client is to send, for credit.
func (l *link) Attempt(ctx context.Context, out proxy.Attempt) (up proxy.UpstreamConn, how balancer.AttemptStatus) {
	address := out.Endpoint.Address
	if host, _, err := net.SplitHostPort(address); err == nil && l.frontend.EndpointPort != 0 {
		address = net.JoinHostPort(host, strconv.Itoa(l.frontend.EndpointPort))
	}
	u, err := l.frontend.connect(ctx, out.Endpoint, address, min(cmp.Or(l.frontend.Proxy.Settings().ConnectTimeout, out.Timeout), out.Timeout))
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	stop := context.AfterFunc(ctx, u.Close)
	how = l.attachUpstream(ctx, u, out)
	if !stop() && how == balancer.StatusOK {
		how = listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	if how != balancer.StatusOK {
		close(u.done)
		u.Close()
		return nil, how
	}
	return u, how
}

// attachUpstream returns what came of the attach at a server.
func (l *link) attachUpstream(ctx context.Context, u *upstream, out proxy.Attempt) balancer.AttemptStatus {
	props, _ := l.attach.Field(13).(codec.Map)
	p := l.attach.With(1, uint32(0)).With(13, props.With(propDeadline, uint32(max(1, out.TimeLeft(ctx).Milliseconds()))))
	frames := []framing.Performative{p}
	may := func() bool { return out.StillPermitted(ctx) }
	if u.sharedSession != nil { // the attach follows the begin without waiting for the answer, which saves a round trip
		frames = []framing.Performative{u.newBegin(nil), p}
		may = func() bool { return out.StillPermitted(ctx) && u.sharedSession.announce() }
	}
	switch err := u.writeInitial(ctx, may, frames...); {
	case errors.Is(err, errNoLongerPermitted):
		return balancer.StatusNotSent
	case err != nil:
		return listener.NotSentStatus(ctx) // of a frame that is not whole nothing runs
	}
	l.frontend.Proxy.Metrics.Attempts.Add(1)
	for {
		f, err := u.nextFrame(out.Timeout)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return balancer.StatusTimeout
			}
			return listener.BrokenStatus(ctx, balancer.StatusReset)
		}
		switch {
		case f.Empty:
		case f.Code == framing.CodeAttach:
			u.attach = f.Performative
		case f.Code == framing.CodeFlow:
			u.applyFlow(f.Performative)
			if f.Uint32(6, 0) > 0 {
				u.creditFlow = &f.Performative
			}
		case f.Code == framing.CodeDetach:
			return rejectionStatus(f.Performative, 2)
		case f.Code == framing.CodeEnd, f.Code == framing.CodeClose:
			return rejectionStatus(f.Performative, 0)
		default:
			return balancer.StatusError
		}
		// An attach without the terminus that the server owns announces a refusal.
		if !l.clientSends && u.attach.Field(5) != nil || l.clientSends && u.attach.Field(6) != nil && u.creditFlow != nil {
			return balancer.StatusOK
		}
	}
}

// rejectionStatus is the outcome of a pass that a server has turned down.
func rejectionStatus(p framing.Performative, at int) balancer.AttemptStatus {
	if cond, _ := p.Condition(at); cond == framing.CondResourceLimitExceeded {
		return balancer.StatusFull
	}
	return balancer.StatusError
}
