package amqp

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"slices"
	"time"

	"lockroad/internal/auth"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

var (
	// errNegotiation says that the endpoint's opening breaks the standard.
	errNegotiation = errors.New("the server's greeting makes no sense")
	// errSASLMismatch says that the endpoint expects the other protocol header: without the security layer, or with it.
	errSASLMismatch = errors.New("the server begins with another layer")
)

// dial opens a connection to an endpoint, up to where a session can begin, within a timeout: nothing of a request has been
// sent by then. An endpoint that does not use the security layer answers its header with the other one (section 2.2) and
// closes the connection: it is dialled again without the layer, which is remembered for its address.
func (f *Frontend) dial(ctx context.Context, address string, timeout time.Duration) (*upstream, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, withoutSASL := f.endpointsWithoutSASL.Load(address)
	u, err := f.dialOnce(ctx, address, timeout, withoutSASL)
	if errors.Is(err, errSASLMismatch) {
		if withoutSASL = !withoutSASL; withoutSASL {
			f.endpointsWithoutSASL.Store(address, true)
		} else {
			f.endpointsWithoutSASL.Delete(address)
		}
		u, err = f.dialOnce(ctx, address, timeout, withoutSASL)
	}
	return u, err
}

// dialOnce is one try of dial. It fails with errSASLMismatch if the other protocol header is expected.
func (f *Frontend) dialOnce(ctx context.Context, address string, timeout time.Duration, withoutSASL bool) (*upstream, error) {
	dialer := net.Dialer{KeepAlive: -1}
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := streamConn(tcp.(*net.TCPConn))
	host, _, _ := net.SplitHostPort(address)
	hasClientCertificate := false
	if config := f.EndpointTLS.ConfigFor(host); config != nil {
		secured := tls.Client(tcp, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			tcp.Close()
			return nil, err
		}
		conn, hasClientCertificate = secured, len(config.Certificates) > 0
	}
	u := &upstream{
		session: newSession(newConnection(conn), 0), done: make(chan struct{}), tcp: tcp,
		hasClientCertificate: hasClientCertificate, maxSessions: f.Pool.MaxSessions,
	}
	stopClose := context.AfterFunc(ctx, func() { tcp.Close() })
	err = u.negotiate(timeout, withoutSASL)
	if !stopClose() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		u.Close()
		return nil, err
	}
	return u, nil
}

// negotiate exchanges the protocol headers, the frames of the security layer, and the opens. timeout bounds each read.
func (u *upstream) negotiate(timeout time.Duration, withoutSASL bool) error {
	if !withoutSASL {
		if err := u.authenticate(timeout); err != nil {
			return err
		}
	}
	if err := u.writeProtocolHeader(framing.ProtocolHeaderAMQP); err != nil {
		return err
	}
	switch header, err := u.readProtocolHeader(timeout); {
	case err == nil && withoutSASL && header == framing.ProtocolHeaderSASL:
		return errSASLMismatch
	case err != nil || header != framing.ProtocolHeaderAMQP:
		return errors.Join(err, errNegotiation)
	}
	open := newOpen("lockroad").With(framing.OpenIdleTimeout, uint32(advertisedEndpointIdleTimeout.Milliseconds()))
	if u.maxSessions > 0 {
		open = open.With(framing.OpenChannelMax, uint16(u.maxSessions-1))
	}
	if err := u.writeFrame(0, open, nil); err != nil {
		return err
	}
	frame, err := u.readFrame(framing.TypeAMQP, timeout)
	if err != nil || frame.Code != framing.CodeOpen {
		return errors.Join(err, errNegotiation)
	}
	u.peerIdleTimeout = u.connection.applyOpen(frame.Performative)
	u.peerMaxChannel = uint16(min(frame.Uint32(framing.OpenChannelMax, math.MaxUint16), math.MaxUint16))
	return nil
}

// authenticate passes the security layer: by the relay's certificate if it has shown one and the endpoint offers that,
// and anonymously otherwise.
func (u *upstream) authenticate(timeout time.Duration) error {
	if err := u.writeProtocolHeader(framing.ProtocolHeaderSASL); err != nil {
		return err
	}
	switch header, err := u.readProtocolHeader(timeout); {
	case err == nil && header == framing.ProtocolHeaderAMQP:
		return errSASLMismatch
	case err != nil || header != framing.ProtocolHeaderSASL:
		return errors.Join(err, errNegotiation)
	}
	frame, err := u.readFrame(framing.TypeSASL, timeout)
	if err != nil || frame.Code != framing.CodeSASLMechanisms {
		return errors.Join(err, errNegotiation)
	}
	begin := framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.Anonymous), []byte("lockroad")}}
	if u.hasClientCertificate && offersMechanism(frame.Field(framing.SASLMechanismsOffered), auth.External) {
		begin = framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.External), []byte{}}}
	}
	if err := u.writeSASL(begin); err != nil {
		return err
	}
	frame, err = u.readFrame(framing.TypeSASL, timeout)
	if err != nil || frame.Code != framing.CodeSASLOutcome || frame.Uint32(framing.SASLOutcomeCode, 1) != 0 {
		return errors.Join(err, errNegotiation)
	}
	return nil
}

// offersMechanism reports whether a mechanism is among those offered, which are one symbol or an array of them.
func offersMechanism(mechanisms any, name string) bool {
	all, ok := mechanisms.(codec.Array)
	if !ok {
		all = codec.Array{mechanisms}
	}
	return slices.ContainsFunc(all, func(mechanism any) bool { return codec.AsString(mechanism) == name })
}
