package line

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// upstreamConn is the connection to the endpoint of a request.
type upstreamConn struct {
	*net.TCPConn
	reader          *reader
	endpoint        balancer.EndpointID
	establishedLine []byte // the UP line, which Pipe relays to the client; nil for an adopted request
}

func newUpstreamConn(conn *net.TCPConn, endpoint balancer.EndpointID) *upstreamConn {
	return &upstreamConn{TCPConn: conn, reader: newReader(conn), endpoint: endpoint}
}

// Close closes the connection.
func (u *upstreamConn) Close() { u.TCPConn.Close() }

// end ends the connection the way the client's has ended, with err: after ECONNRESET it resets
// the connection, after anything else it closes the relay's half.
func (u *upstreamConn) end(err error) {
	if errors.Is(err, syscall.ECONNRESET) {
		reset(u.TCPConn)
		return
	}
	u.CloseWrite()
	u.SetReadDeadline(time.Now().Add(endpointCloseTimeout))
}

// Attempt connects to an endpoint, sends it the opening line and waits for its answer.
func (x *exchange) Attempt(ctx context.Context, attempt proxy.Attempt) (proxy.UpstreamConn, balancer.AttemptStatus) {
	dialer := net.Dialer{Timeout: x.frontend.Proxy.Settings().ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", attempt.Endpoint.Address)
	if err != nil {
		return nil, listener.NotSentStatus(ctx)
	}
	upstream := newUpstreamConn(conn.(*net.TCPConn), attempt.Endpoint.ID)
	stop := context.AfterFunc(ctx, upstream.Close)
	status := x.sendOpening(ctx, upstream, attempt)
	if !stop() && status == balancer.StatusOK {
		status = listener.FailedStatus(ctx, balancer.StatusReset)
	}
	if status != balancer.StatusOK {
		upstream.Close()
		return nil, status
	}
	return upstream, status
}

// sendOpening sends the opening line, waits for the endpoint's answer and returns the status of
// the attempt.
func (x *exchange) sendOpening(ctx context.Context, upstream *upstreamConn, attempt proxy.Attempt) balancer.AttemptStatus {
	if !attempt.StillPermitted(ctx) {
		return balancer.StatusNotSent
	}
	if _, err := upstream.Write(x.opening.withTimeout(attempt.TimeLeft(ctx))); err != nil {
		return listener.NotSentStatus(ctx) // an endpoint does not execute an incomplete line
	}
	x.frontend.Proxy.Metrics.Attempts.Add(1)
	text, err := upstream.reader.readLine()
	if err != nil {
		return listener.FailedStatus(ctx, balancer.StatusReset)
	}
	switch kind, _ := parseLine(text); kind {
	case lineUp:
		upstream.establishedLine = slices.Clone(text)
		return balancer.StatusOK
	case lineBusy:
		return balancer.StatusFull
	}
	return balancer.StatusError
}

// Pipe sends UP to the client and relays data in both directions until the connection has ended.
func (x *exchange) Pipe(ctx context.Context, conn proxy.UpstreamConn, heartbeat *proxy.Heartbeat) balancer.AttemptStatus {
	upstream := conn.(*upstreamConn)
	stop := context.AfterFunc(ctx, upstream.Close)
	defer stop()
	// relayToEndpoint gets the connection before UP is written: a client that closes its half as
	// soon as it reads UP must not be taken for one that has cancelled the request.
	x.upstream = upstream
	x.established <- establishedUpstream{conn: upstream, heartbeat: heartbeat}
	if upstream.establishedLine != nil && x.client.write(upstream.establishedLine) != nil {
		return balancer.StatusCancelled
	}
	heartbeat.Established()
	return x.relayToClient(ctx, upstream, heartbeat)
}
