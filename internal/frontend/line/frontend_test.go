package line

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
	"lockroad/internal/testutil"
)

// environment is a frontend with one endpoint, whose side the test plays.
type environment struct {
	t               *testing.T
	proxy           *proxy.Proxy
	frontend        *Frontend
	frontendAddress string
	endpoint        net.Listener
}

// newEnvironment starts a frontend with one endpoint, and stops it at the end of the test. slots
// is how many clients it admits.
func newEnvironment(t *testing.T, slots int, observers ...proxy.Observer) *environment {
	t.Helper()
	core := proxy.New(balancer.Settings{
		Classes:    []balancer.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, MessageLatencyObjective: 60 * time.Millisecond}},
		RelayCount: 1, MaxAttempts: 3, ConnectTimeout: time.Second, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}, 1, proxy.NewClock())
	for _, observer := range observers {
		core.Observe(observer)
	}
	env := &environment{t: t, proxy: core, frontend: &Frontend{Proxy: core, Limiter: &listener.ConnLimiter{Slots: slots, MaxIdle: 4}}}
	var listeners [2]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
	}
	env.endpoint, env.frontendAddress = listeners[0], listeners[1].Addr().String()
	core.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: core.Endpoints.AssignID("s-1"), State: balancer.StateReady, Size: 1}},
		[]string{env.endpoint.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = core.Run(ctx) })
	running.Go(func() { _ = env.frontend.Serve(ctx, listeners[1]) })
	t.Cleanup(func() {
		listeners[0].Close()
		listeners[1].Close()
		cancel()
		running.Wait()
	})
	return env
}

// peer is the test's end of a connection. Its methods fail the test after 5 s.
type peer struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

// peer wraps the result of net.Dial or Accept.
func (env *environment) peer(conn net.Conn, err error) *peer {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &peer{conn.(*net.TCPConn), bufio.NewReader(conn), env.t}
}

func (p *peer) send(text string) { io.WriteString(p, text) }

// expect fails the test unless the next bytes that arrive are text.
func (p *peer) expect(text string) {
	p.t.Helper()
	data := make([]byte, len(text))
	if count, err := io.ReadFull(p.reader, data); err != nil || string(data) != text {
		p.t.Fatalf("received %q, error %v, want %q", data[:count], err, text)
	}
}

// expectEnd fails the test unless the other side ends the connection without more data, by a
// reset if reset is true and by a close otherwise.
func (p *peer) expectEnd(reset bool) {
	p.t.Helper()
	rest, err := io.ReadAll(p.reader)
	if len(rest) > 0 || reset != errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatalf("connection ended after %q with error %v, want no data and reset %v", rest, err, reset)
	}
}

// client connects to the frontend.
func (env *environment) client() *peer { return env.peer(net.Dial("tcp", env.frontendAddress)) }

// openingFormat is the format of an opening line; its argument is the timeout in milliseconds.
const openingFormat = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59,x=y\r\n"

// establish establishes a request, and returns its client and its endpoint.
func (env *environment) establish() (client, endpoint *peer) {
	env.t.Helper()
	client = env.client()
	client.send(fmt.Sprintf(openingFormat, 4000))
	endpoint = env.peer(env.endpoint.Accept())
	text, err := endpoint.reader.ReadString('\n')
	var milliseconds int
	if _, scanErr := fmt.Sscanf(text, openingFormat, &milliseconds); err != nil || scanErr != nil || milliseconds > 4000 || text != fmt.Sprintf(openingFormat, milliseconds) {
		env.t.Fatalf("the endpoint received %q, error %v", text, errors.Join(err, scanErr))
	}
	endpoint.send("UP receipt of 7\r\n")
	client.expect("UP receipt of 7\r\n")
	return client, endpoint
}

func TestLinesAreRelayedUnchanged(t *testing.T) {
	client, endpoint := newEnvironment(t, 8).establish()
	for _, text := range []string{"M 1 2d0b68f9246a7ad6\r\n", "\x00\xff odd\n", strings.Repeat("long ", 4000) + "\r\n"} {
		go client.send(text)
		endpoint.expect(text)
		go endpoint.send(text)
		client.expect(text)
	}
	// Incomplete lines are relayed at once.
	endpoint.send("half a li")
	client.expect("half a li")
	endpoint.send("ne\r\nBYE\r\n")
	client.expect("ne\r\nBYE\r\n")
	endpoint.Close()
	client.expectEnd(false)
}

func TestConnectionEndsAreRelayed(t *testing.T) {
	t.Run("the client closes its half", func(t *testing.T) {
		client, endpoint := newEnvironment(t, 8).establish()
		client.CloseWrite()
		endpoint.expectEnd(false)
		endpoint.send("LOAD 4000\r\nBYE\r\n")
		client.expect("LOAD 4000\r\nBYE\r\n")
		endpoint.Close()
		client.expectEnd(false)
	})
	t.Run("the client resets", func(t *testing.T) {
		client, endpoint := newEnvironment(t, 8).establish()
		client.SetLinger(0)
		client.Close()
		endpoint.expectEnd(true)
	})
	t.Run("the endpoint resets", func(t *testing.T) {
		client, endpoint := newEnvironment(t, 8).establish()
		endpoint.SetLinger(0)
		endpoint.Close()
		client.expectEnd(true)
	})
	t.Run("the endpoint closes", func(t *testing.T) {
		client, endpoint := newEnvironment(t, 8).establish()
		endpoint.Close()
		client.expectEnd(false)
	})
}

func TestMigrationFollowsCurrentLine(t *testing.T) {
	env := newEnvironment(t, 8)
	client, endpoint := env.establish()
	endpoint.send("half a li")
	client.expect("half a li")
	env.proxy.MigrateAll(time.Millisecond)
	endpoint.send("ne\r\n")
	client.expect("ne\r\nMOVE\r\n")
	client.expectEnd(false)
	endpoint.expectEnd(false)
}

// MOVE must not be written into a line whose rest arrives late.
func TestMigrationWaitsForRestOfLine(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t, 8)
	client, endpoint := env.establish()
	endpoint.send("half a li")
	client.expect("half a li")
	env.proxy.MigrateAll(time.Millisecond)
	began := env.proxy.Clock.Now()
	testutil.Until(t, "500 ms have not passed on the proxy's clock", func() bool { return env.proxy.Clock.Now()-began > 500*time.Millisecond })
	endpoint.send("ne\r\n")
	client.expect("ne\r\nMOVE\r\n")
	client.expectEnd(false)
	endpoint.expectEnd(false)
}

func TestMalformedOpeningsAreAnsweredOnce(t *testing.T) {
	env := newEnvironment(t, 8)
	for _, text := range []string{
		"HELLO\r\n", "OPEN 1 2 c=other,d=5\r\n", "OPEN 1 2 c=page,d=x\r\n", strings.Repeat("x", maxLineBytes+10),
	} {
		client := env.client()
		client.send(text)
		client.expect("ERR\r\n")
		client.expectEnd(false)
	}
	if count := env.proxy.Counters.ProtocolErrors.Load(); count != 4 {
		t.Errorf("counted %d protocol errors, want 4", count)
	}
}

// If tenants are configured, an opening line must name one of them, and the endpoint receives
// the name unchanged.
func TestOpeningMustNameConfiguredTenant(t *testing.T) {
	env := newEnvironment(t, 8)
	settings := *env.proxy.Settings()
	settings.Tenants = []string{"fraser", "cedar"}
	env.proxy.UpdateSettings(&settings)
	for _, text := range []string{"OPEN 1 2 c=page,d=4000\r\n", "OPEN 1 2 c=page,t=other,d=4000\r\n", "OPEN 1 2 c=page,t=,d=4000\r\n"} {
		client := env.client()
		client.send(text)
		client.expect("ERR\r\n")
		client.expectEnd(false)
	}
	client := env.client()
	client.send("OPEN 1 2 c=page,t=cedar,d=4000\r\n")
	endpoint := env.peer(env.endpoint.Accept())
	if text, err := endpoint.reader.ReadString('\n'); err != nil || !strings.HasPrefix(text, "OPEN 1 2 c=page,t=cedar,d=") {
		t.Errorf("the endpoint received %q, error %v", text, err)
	}
	endpoint.send("UP x\r\n")
	client.expect("UP x\r\n")
}

// A client whose opening line arrives while it is evicted must receive BUSY: a close with the line
// unread would reset its connection.
func TestEvictedClientReceivesRejection(t *testing.T) {
	env := newEnvironment(t, 8)
	client := env.peer(net.Dial("tcp", env.endpoint.Addr().String()))
	accepted := env.peer(env.endpoint.Accept()) // never read
	opening := fmt.Sprintf(openingFormat, 4000)
	client.send(opening)
	testutil.AwaitUnread(t, accepted.TCPConn, len(opening))
	rejectEvicted(accepted.TCPConn)
	client.expect("BUSY\r\n")
	client.expectEnd(false)
}

func TestPingIsAnsweredBeforeOpening(t *testing.T) {
	client := newEnvironment(t, 8).client()
	client.send("PING\r\nPING\r\n")
	client.expect("PONG\r\nPONG\r\n")
}

// A client beyond the connection limit must receive BUSY: a close with its opening line unread
// would reset its connection.
func TestClientsBeyondConnectionLimitAreRejected(t *testing.T) {
	env := newEnvironment(t, 1)
	env.establish()
	client := env.client()
	client.send("OPEN a1 7f3a9c21e0b4d655 c=page,d=4000\r\n")
	client.expect("BUSY 100\r\n") // retry-after of the balancer while an endpoint has capacity
	client.expectEnd(false)
}

// A client may send only a limited number of PING lines before its opening line.
func TestPingsAreLimited(t *testing.T) {
	client := newEnvironment(t, 8).client()
	client.send(strings.Repeat("PING\r\n", 300))
	client.expect(strings.Repeat("PONG\r\n", maxPings+1) + "ERR\r\n")
	client.expectEnd(false)
}

// A client that has sent a part of its opening line at shutdown must receive BUSY, not a close
// without an answer.
func TestPartialOpeningIsRejectedAtShutdown(t *testing.T) {
	env := newEnvironment(t, 4)
	client := env.client()
	client.send("PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21")
	client.expect("PONG\r\n") // the frontend is reading the opening line
	began := time.Now()
	env.proxy.RejectPending()
	client.expect("BUSY\r\n")
	if took := time.Since(began); took > time.Second {
		t.Errorf("rejected after %v, want at most 1s", took)
	}
	client.send("e0b4d655 c=page,d=1500\r\n") // must be read: a reset could make the client lose the answer
	client.CloseWrite()
	client.expectEnd(false)
	// A complete opening line is rejected too.
	client = env.client()
	client.send(fmt.Sprintf(openingFormat, 4000))
	client.expect("BUSY\r\n")
}

// A client may reconnect to a request whose endpoint has begun to drain: the request is resumed,
// and the client is migrated after UP.
func TestResumedRequestIsMigratedOffDrainingEndpoint(t *testing.T) {
	env := newEnvironment(t, 8)
	env.proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: env.proxy.Endpoints.AssignID("s-1"), State: balancer.StateDraining, Size: 1}},
		[]string{env.endpoint.Addr().String()})
	client := env.client()
	client.send(strings.Replace(fmt.Sprintf(openingFormat, 4000), "\r\n", ",at=s-1\r\n", 1))
	endpoint := env.peer(env.endpoint.Accept())
	if text, err := endpoint.reader.ReadString('\n'); err != nil || !strings.Contains(text, "at=s-1") {
		t.Fatalf("the endpoint received %q, error %v", text, err)
	}
	endpoint.send("UP receipt of 7\r\n")
	client.expect("UP receipt of 7\r\nMOVE\r\n")
	client.expectEnd(false)
	endpoint.expectEnd(false)
}
