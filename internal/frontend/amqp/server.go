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
	serverIdle   = 2 * time.Second // an application server is told this much
	serverSilent = 6 * time.Second // and is dead after this much

	propClass  = "class"
	propTenant = "tenant"
	propGiveUp = "give-up-ms"
	propGroup  = "group"
	propItem   = "item"
	propLoad   = "load-us" // microseconds of work a second
	propAgain  = "again"
	infoBack   = "come-back-ms"
)

// upstream is an application server's side of a transaction: one session with one link, on a connection of
// its own or on one that others share.
type upstream struct {
	*session
	lane     *lane       // of a shared connection; nil: it has its own
	shared   connpool.ID // that connection
	trunks   *trunks
	sessions int                  // that the connection is to have at the most; 0: as any other
	channels uint16               // highest channel that the server takes
	idle     time.Duration        // that it wants to hear something within
	attach   framing.Performative // the server's
	credit   *framing.Performative
	stop     chan struct{}
	shows    bool     // the relay has shown a certificate
	tcp      net.Conn // below TLS, if that is there: its end waits for nobody
}

// Close ends the connection at once.
func (u *upstream) Close() {
	if u.lane != nil {
		u.trunks.end(u.shared, u.lane)
		return
	}
	u.session.end()
	u.tcp.Close()
}

// next waits for the server's next frame, for so long at the most; 0: as long as the server gives a sign of life, which on a
// shared connection its reader sees to.
func (u *upstream) next(wait time.Duration) (framing.Frame, error) {
	if u.lane != nil {
		return u.lane.next(wait)
	}
	return u.read(framing.TypeAMQP, cmp.Or(wait, serverSilent))
}

// last has the server say what it still has to say within a time.
func (u *upstream) last(wait time.Duration) {
	if u.lane != nil {
		u.lane.bound(time.Now().Add(wait))
		return
	}
	u.SetReadDeadline(time.Now().Add(wait))
}

// reach opens a connection to a server, with a session on it; on a shared one the session begins as the attach goes out.
func (f *Frontend) reach(ctx context.Context, to registry.Endpoint, address string, bound time.Duration) (*upstream, error) {
	if f.trunks != nil {
		l, id, err := f.trunks.lane(ctx, to, address, bound)
		if err != nil {
			return nil, err
		}
		return &upstream{session: l.session, lane: l, shared: id, trunks: f.trunks, stop: make(chan struct{})}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	u, err := f.dial(ctx, address, bound)
	if err != nil {
		return nil, err
	}
	cut := context.AfterFunc(ctx, func() { u.tcp.Close() })
	go u.beat(u.idle, u.stop)
	err = u.starts(bound)
	if !cut() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		close(u.stop)
		u.Close()
		return nil, err
	}
	return u, nil
}

// starts begins the one session of a connection.
func (u *upstream) starts(bound time.Duration) error {
	if err := u.write(0, u.begin(nil), nil); err != nil {
		return err
	}
	for {
		f, err := u.read(framing.TypeAMQP, bound)
		switch {
		case err != nil:
			return err
		case f.Empty:
		case f.Code == framing.CodeBegin:
			return u.begun(f.Performative)
		default:
			return errGreeting
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
	_, plain := f.plain.Load(address)
	u, err := f.dialOnce(ctx, address, bound, plain)
	if errors.Is(err, errOtherLayer) {
		if plain = !plain; plain {
			f.plain.Store(address, true)
		} else {
			f.plain.Delete(address)
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
	over := socket(tcp.(*net.TCPConn))
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
	u := &upstream{session: newSession(newConn(over), 0), stop: make(chan struct{}), tcp: tcp, shows: shows, sessions: f.Pool.MaxSessions}
	cut := context.AfterFunc(ctx, func() { tcp.Close() })
	err = u.greet(bound, plain)
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
	errGreeting = errors.New("the server's greeting makes no sense")
	// errOtherLayer says that the server wants to begin with the other header: without
	// the security layer, or with it.
	errOtherLayer = errors.New("the server begins with another layer")
)

// secure passes the security layer.
func (u *upstream) secure(bound time.Duration) error {
	if err := u.header(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	switch h, err := u.readHeader(bound); {
	case err == nil && h == framing.ProtocolHeaderAMQP:
		return errOtherLayer
	case err != nil || h != framing.ProtocolHeaderSASL:
		return errors.Join(err, errGreeting)
	}
	f, err := u.read(framing.TypeSASL, bound)
	if err != nil || f.Code != framing.CodeSASLMechanisms {
		return errors.Join(err, errGreeting)
	}
	begin := framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.Anonymous), []byte("lockroad")}}
	if u.shows && offers(f.Field(0), auth.External) {
		begin = framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.External), []byte{}}}
	}
	if err := u.sasl(begin); err != nil {
		return err
	}
	f, err = u.read(framing.TypeSASL, bound)
	if err != nil || f.Code != framing.CodeSASLOutcome || f.Uint32(0, 1) != 0 {
		return errors.Join(err, errGreeting)
	}
	return nil
}

// offers tells whether a peer's mechanisms, which are one or an array, have one among them.
func offers(mechanisms any, name string) bool {
	all, ok := mechanisms.(codec.Array)
	if !ok {
		all = codec.Array{mechanisms}
	}
	return slices.ContainsFunc(all, func(v any) bool { return codec.AsString(v) == name })
}

func (u *upstream) greet(bound time.Duration, plain bool) error {
	if !plain {
		if err := u.secure(bound); err != nil {
			return err
		}
	}
	if err := u.header(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	switch h, err := u.readHeader(bound); {
	case err == nil && plain && h == framing.ProtocolHeaderSASL:
		return errOtherLayer
	case err != nil || h != framing.ProtocolHeaderAMQP:
		return errors.Join(err, errGreeting)
	}
	ours := open("lockroad").With(4, uint32(serverIdle.Milliseconds()))
	if u.sessions > 0 {
		ours = ours.With(3, uint16(u.sessions-1))
	}
	if err := u.write(0, ours, nil); err != nil {
		return err
	}
	f, err := u.read(framing.TypeAMQP, bound)
	if err != nil || f.Code != framing.CodeOpen {
		return errors.Join(err, errGreeting)
	}
	u.idle = u.conn.opened(f.Performative)
	u.channels = uint16(min(f.Uint32(3, math.MaxUint16), math.MaxUint16))
	return nil
}

// Attempt attaches the client's link at a server, and waits for its attach and, if
// the client is to send, for credit.
func (l *link) Attempt(ctx context.Context, out proxy.Attempt) (up proxy.UpstreamConn, how balancer.AttemptStatus) {
	address := out.Endpoint.Address
	if host, _, err := net.SplitHostPort(address); err == nil && l.front.EndpointPort != 0 {
		address = net.JoinHostPort(host, strconv.Itoa(l.front.EndpointPort))
	}
	u, err := l.front.reach(ctx, out.Endpoint, address, min(cmp.Or(l.front.Proxy.Settings().ConnectTimeout, out.Timeout), out.Timeout))
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	stop := context.AfterFunc(ctx, u.Close)
	how = l.ask(ctx, u, out)
	if !stop() && how == balancer.StatusOK {
		how = listener.BrokenStatus(ctx, balancer.StatusReset)
	}
	if how != balancer.StatusOK {
		close(u.stop)
		u.Close()
		return nil, how
	}
	return u, how
}

// ask returns what came of the attach at a server.
func (l *link) ask(ctx context.Context, u *upstream, out proxy.Attempt) balancer.AttemptStatus {
	props, _ := l.attach.Field(13).(codec.Map)
	p := l.attach.With(1, uint32(0)).With(13, props.With(propGiveUp, uint32(max(1, out.TimeLeft(ctx).Milliseconds()))))
	frames := []framing.Performative{p}
	may := func() bool { return out.StillPermitted(ctx) }
	if u.lane != nil { // the attach follows the begin without waiting for the answer, which saves a round trip
		frames = []framing.Performative{u.begin(nil), p}
		may = func() bool { return out.StillPermitted(ctx) && u.lane.begins() }
	}
	switch err := u.sendFirst(ctx, may, frames...); {
	case errors.Is(err, errMoot):
		return balancer.StatusNotSent
	case err != nil:
		return listener.NotSentStatus(ctx) // of a frame that is not whole nothing runs
	}
	l.front.Proxy.Metrics.Attempts.Add(1)
	for {
		f, err := u.next(out.Timeout)
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
			u.flowed(f.Performative)
			if f.Uint32(6, 0) > 0 {
				u.credit = &f.Performative
			}
		case f.Code == framing.CodeDetach:
			return refused(f.Performative, 2)
		case f.Code == framing.CodeEnd, f.Code == framing.CodeClose:
			return refused(f.Performative, 0)
		default:
			return balancer.StatusError
		}
		// An attach without the terminus that the server owns announces a refusal.
		if !l.sends && u.attach.Field(5) != nil || l.sends && u.attach.Field(6) != nil && u.credit != nil {
			return balancer.StatusOK
		}
	}
}

// refused is the outcome of a pass that a server has turned down.
func refused(p framing.Performative, at int) balancer.AttemptStatus {
	if cond, _ := p.Condition(at); cond == framing.CondResourceLimitExceeded {
		return balancer.StatusFull
	}
	return balancer.StatusError
}
