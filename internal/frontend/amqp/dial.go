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
	// errNegotiation is returned if the endpoint violates the standard while the connection is opened.
	errNegotiation = errors.New("endpoint violates the AMQP 1.0 connection negotiation")
	// errSASLMismatch is returned if the endpoint answers with the other protocol header: AMQP for SASL, or SASL for
	// AMQP.
	errSASLMismatch = errors.New("endpoint answered the SASL header with the AMQP header, or the reverse")
)

// dial connects to an endpoint and exchanges opens within timeout. Nothing of a request is sent. An endpoint that does
// not use SASL answers the SASL header with the AMQP header (section 2.2) and closes the connection. dial then tries
// again without SASL, and records the result for the address. The reverse applies to an endpoint that requires SASL.
func (f *Frontend) dial(ctx context.Context, address string, timeout time.Duration) (*upstream, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, withoutSASL := f.endpointsWithoutSASL.Load(address)
	dialed, err := f.dialOnce(ctx, address, timeout, withoutSASL)
	if errors.Is(err, errSASLMismatch) {
		if withoutSASL = !withoutSASL; withoutSASL {
			f.endpointsWithoutSASL.Store(address, true)
		} else {
			f.endpointsWithoutSASL.Delete(address)
		}
		dialed, err = f.dialOnce(ctx, address, timeout, withoutSASL)
	}
	return dialed, err
}

// dialOnce connects once, with or without SASL. It fails with errSASLMismatch if the endpoint expects the other. The
// settings' ConnectTimeout is for the TCP connection: the round trips after it may take longer where the relay is busy.
func (f *Frontend) dialOnce(ctx context.Context, address string, timeout time.Duration, withoutSASL bool) (*upstream, error) {
	dialer := net.Dialer{Timeout: f.Proxy.Settings().ConnectTimeout, KeepAlive: -1}
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := streamConn(tcp.(*net.TCPConn))
	host, _, _ := net.SplitHostPort(address)
	hasClientCertificate := false
	if config := f.EndpointTLS.ConfigFor(host); config != nil {
		tlsConn := tls.Client(tcp, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			tcp.Close()
			return nil, err
		}
		conn, hasClientCertificate = tlsConn, len(config.Certificates) > 0
	}
	dialed := &upstream{
		linkEnd: newLinkEnd(newSession(newConnection(conn), 0), 0, writeTimeout), done: make(chan struct{}), tcp: tcp,
		hasClientCertificate: hasClientCertificate, maxSessions: f.Pool.MaxSessions,
	}
	stopClose := context.AfterFunc(ctx, func() { tcp.Close() })
	err = dialed.negotiate(timeout, withoutSASL)
	if !stopClose() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		dialed.Close()
		return nil, err
	}
	return dialed, nil
}

// negotiate exchanges protocol headers, SASL frames and opens with the endpoint. timeout bounds each read.
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

// authenticate runs the SASL exchange. It uses EXTERNAL if the relay has a client certificate and the endpoint offers
// that mechanism, and ANONYMOUS otherwise.
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
	saslInit := framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.Anonymous), []byte("lockroad")}}
	if u.hasClientCertificate && offersMechanism(frame.Field(framing.SASLMechanismsOffered), auth.External) {
		saslInit = framing.Performative{Code: framing.CodeSASLInit, Fields: codec.List{codec.Symbol(auth.External), []byte{}}}
	}
	if err := u.writeSASL(saslInit); err != nil {
		return err
	}
	frame, err = u.readFrame(framing.TypeSASL, timeout)
	if err != nil || frame.Code != framing.CodeSASLOutcome || frame.Uint32(framing.SASLOutcomeCode, 1) != 0 {
		return errors.Join(err, errNegotiation)
	}
	return nil
}

// offersMechanism reports whether the offered mechanisms, a symbol or an array of symbols, include name.
func offersMechanism(mechanisms any, name string) bool {
	offered, ok := mechanisms.(codec.Array)
	if !ok {
		offered = codec.Array{mechanisms}
	}
	return slices.ContainsFunc(offered, func(mechanism any) bool { return codec.AsString(mechanism) == name })
}
