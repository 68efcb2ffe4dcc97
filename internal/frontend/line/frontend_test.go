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

// environment is a frontend with one endpoint, which the test plays.
type environment struct {
	t               *testing.T
	proxy           *proxy.Proxy
	frontend        *Frontend
	frontendAddress string
	endpoint        net.Listener
}

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
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = opened
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

// peer is the test's end of a connection.
type peer struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

func (env *environment) peer(client net.Conn, err error) *peer {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(5 * time.Second))
	return &peer{client.(*net.TCPConn), bufio.NewReader(client), env.t}
}

func (p *peer) send(text string) { io.WriteString(p, text) }

func (p *peer) expect(text string) {
	p.t.Helper()
	data := make([]byte, len(text))
	if count, err := io.ReadFull(p.reader, data); err != nil || string(data) != text {
		p.t.Fatalf("got %q, %v, want %q", data[:count], err, text)
	}
}

// expectEnd waits for the connection's end: by the other side's close, or by a reset.
func (p *peer) expectEnd(reset bool) {
	p.t.Helper()
	rest, err := io.ReadAll(p.reader)
	if len(rest) > 0 || reset != errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatalf("the connection ended after %q with %v", rest, err)
	}
}

func (env *environment) client() *peer { return env.peer(net.Dial("tcp", env.frontendAddress)) }

const openingFormat = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59,x=y\r\n"

// establish returns both ends of an established request.
func (env *environment) establish() (client, endpoint *peer) {
	env.t.Helper()
	client = env.client()
	client.send(fmt.Sprintf(openingFormat, 4000))
	endpoint = env.peer(env.endpoint.Accept())
	text, err := endpoint.reader.ReadString('\n')
	var milliseconds int
	if _, scan := fmt.Sscanf(text, openingFormat, &milliseconds); err != nil || scan != nil || milliseconds > 4000 || text != fmt.Sprintf(openingFormat, milliseconds) {
		env.t.Fatalf("the endpoint was sent %q, %v", text, errors.Join(err, scan))
	}
	endpoint.send("UP receipt of 7\r\n")
	client.expect("UP receipt of 7\r\n")
	return client, endpoint
}

func TestLinesPassUnchanged(t *testing.T) {
	client, endpoint := newEnvironment(t, 8).establish()
	for _, text := range []string{"M 1 2d0b68f9246a7ad6\r\n", "\x00\xff odd\n", strings.Repeat("long ", 4000) + "\r\n"} {
		go client.send(text)
		endpoint.expect(text)
		go endpoint.send(text)
		client.expect(text)
	}
	// Not even half a line is delayed.
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

// The rest of a line may come late.
func TestMigrationWaitsForRestOfLine(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t, 8)
	client, endpoint := env.establish()
	endpoint.send("half a li")
	client.expect("half a li")
	env.proxy.MigrateAll(time.Millisecond)
	began := env.proxy.Clock.Now()
	testutil.Until(t, "half a second is over", func() bool { return env.proxy.Clock.Now()-began > 500*time.Millisecond })
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
		t.Errorf("%d protocol errors were counted, want 4", count)
	}
}

// Where the settings name tenants an opening has to name one of them; the endpoint is sent it as the client wrote it.
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
		t.Errorf("the endpoint was sent %q, %v", text, err)
	}
	endpoint.send("UP x\r\n")
	client.expect("UP x\r\n")
}

// A client that is evicted as its opening comes is rejected: closing with the opening unread would reset its connection.
func TestEvictedClientReadsItsRejection(t *testing.T) {
	env := newEnvironment(t, 8)
	client := env.peer(net.Dial("tcp", env.endpoint.Addr().String()))
	accepted := env.peer(env.endpoint.Accept()) // which nobody reads
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

// Beyond its connection limit a relay rejects clients, and so that they can read it: closing
// with their opening unread would reset the connection.
func TestClientsBeyondConnectionLimitAreRejected(t *testing.T) {
	env := newEnvironment(t, 1)
	env.establish()
	client := env.client()
	client.send("OPEN a1 7f3a9c21e0b4d655 c=page,d=4000\r\n")
	client.expect("BUSY 100\r\n") // the balancer's retry-after where an endpoint takes work
	client.expectEnd(false)
}

// A client may ask whether the relay is there, but only so often.
func TestPingsAreBounded(t *testing.T) {
	client := newEnvironment(t, 8).client()
	client.send(strings.Repeat("PING\r\n", 300))
	client.expect(strings.Repeat("PONG\r\n", maxPings+1) + "ERR\r\n")
	client.expectEnd(false)
}

// A client that writes its opening in pieces while the relay shuts down is rejected: closed without an answer, what it
// has sent by then would be lost.
func TestPartialOpeningIsRejectedAtShutdown(t *testing.T) {
	env := newEnvironment(t, 4)
	client := env.client()
	client.send("PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21")
	client.expect("PONG\r\n") // the opening is being read
	began := time.Now()
	env.proxy.RejectPending()
	client.expect("BUSY\r\n")
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %v", took)
	}
	client.send("e0b4d655 c=page,d=1500\r\n") // which is read: else a reset could overtake the answer
	client.CloseWrite()
	client.expectEnd(false)
	// A complete opening is rejected like a pending request.
	client = env.client()
	client.send(fmt.Sprintf(openingFormat, 4000))
	client.expect("BUSY\r\n")
}

// A connection from before the start whose endpoint drains by then is established again, and migrates: the balancer may
// migrate it in the same turn in which it takes it up.
func TestReturningConnectionMigratesOffDrainingEndpoint(t *testing.T) {
	env := newEnvironment(t, 8)
	env.proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: env.proxy.Endpoints.AssignID("s-1"), State: balancer.StateDraining, Size: 1}},
		[]string{env.endpoint.Addr().String()})
	client := env.client()
	client.send(strings.Replace(fmt.Sprintf(openingFormat, 4000), "\r\n", ",at=s-1\r\n", 1))
	endpoint := env.peer(env.endpoint.Accept())
	if text, err := endpoint.reader.ReadString('\n'); err != nil || !strings.Contains(text, "at=s-1") {
		t.Fatalf("the endpoint was sent %q, %v", text, err)
	}
	endpoint.send("UP receipt of 7\r\n")
	client.expect("UP receipt of 7\r\nMOVE\r\n")
	client.expectEnd(false)
	endpoint.expectEnd(false)
}
