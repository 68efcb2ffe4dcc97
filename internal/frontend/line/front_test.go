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

// site is a front with one application server, whose end the test holds.
type site struct {
	t       *testing.T
	core    *proxy.Proxy
	front   *Frontend
	address string
	server  net.Listener
}

func newSite(t *testing.T, most int, observers ...proxy.Observer) *site {
	t.Helper()
	k := proxy.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, MessageLatencyObjective: 60 * time.Millisecond}},
		Relays:  1, MaxAttempts: 3, ConnectTimeout: time.Second, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}, 1, proxy.NewClock())
	for _, o := range observers {
		k.Observe(o)
	}
	s := &site{t: t, core: k, front: &Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: most, MaxIdle: 4}}}
	var doors [2]net.Listener
	for i := range doors {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		doors[i] = l
	}
	s.server, s.address = doors[0], doors[1].Addr().String()
	k.UpdateEndpoints(balancer.ListFull, []balancer.Endpoint{{ID: k.Endpoints.ID("s-1"), State: balancer.StateReady, Weight: 1}},
		[]string{s.server.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { _ = k.Run(ctx) })
	all.Go(func() { _ = s.front.Serve(ctx, doors[1]) })
	t.Cleanup(func() {
		doors[0].Close()
		doors[1].Close()
		cancel()
		all.Wait()
	})
	return s
}

// peer is a side of a connection that the test holds.
type peer struct {
	*net.TCPConn
	r *bufio.Reader
	t *testing.T
}

func (s *site) peer(c net.Conn, err error) *peer {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &peer{c.(*net.TCPConn), bufio.NewReader(c), s.t}
}

func (p *peer) say(text string) { io.WriteString(p, text) }

func (p *peer) want(text string) {
	p.t.Helper()
	b := make([]byte, len(text))
	if n, err := io.ReadFull(p.r, b); err != nil || string(b) != text {
		p.t.Fatalf("got %q, %v, want %q", b[:n], err, text)
	}
}

// wantEnd waits for the connection's end: by the other side's close, or broken.
func (p *peer) wantEnd(broken bool) {
	p.t.Helper()
	rest, err := io.ReadAll(p.r)
	if len(rest) > 0 || broken != errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatalf("the end came after %q with %v", rest, err)
	}
}

func (s *site) client() *peer { return s.peer(net.Dial("tcp", s.address)) }

const first = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59,x=y\r\n"

// open has a client up at the server.
func (s *site) open() (client, server *peer) {
	s.t.Helper()
	client = s.client()
	client.say(fmt.Sprintf(first, 4000))
	server = s.peer(s.server.Accept())
	text, err := server.r.ReadString('\n')
	var d int
	if _, scan := fmt.Sscanf(text, first, &d); err != nil || scan != nil || d > 4000 || text != fmt.Sprintf(first, d) {
		s.t.Fatalf("the server was told %q, %v", text, errors.Join(err, scan))
	}
	server.say("UP receipt of 7\r\n")
	client.want("UP receipt of 7\r\n")
	return client, server
}

func TestLinesPassUnchanged(t *testing.T) {
	client, server := newSite(t, 8).open()
	for _, text := range []string{"M 1 2d0b68f9246a7ad6\r\n", "\x00\xff odd\n", strings.Repeat("long ", 4000) + "\r\n"} {
		go client.say(text)
		server.want(text)
		go server.say(text)
		client.want(text)
	}
	// Not even half a line is held back.
	server.say("half a li")
	client.want("half a li")
	server.say("ne\r\nBYE\r\n")
	client.want("ne\r\nBYE\r\n")
	server.Close()
	client.wantEnd(false)
}

func TestEndsArePassedOnAlike(t *testing.T) {
	t.Run("the client closes its half", func(t *testing.T) {
		client, server := newSite(t, 8).open()
		client.CloseWrite()
		server.wantEnd(false)
		server.say("LOAD 4000\r\nBYE\r\n")
		client.want("LOAD 4000\r\nBYE\r\n")
		server.Close()
		client.wantEnd(false)
	})
	t.Run("the client breaks", func(t *testing.T) {
		client, server := newSite(t, 8).open()
		client.SetLinger(0)
		client.Close()
		server.wantEnd(true)
	})
	t.Run("the server breaks", func(t *testing.T) {
		client, server := newSite(t, 8).open()
		server.SetLinger(0)
		server.Close()
		client.wantEnd(true)
	})
	t.Run("the server closes", func(t *testing.T) {
		client, server := newSite(t, 8).open()
		server.Close()
		client.wantEnd(false)
	})
}

func TestMoveFollowsTheLineThatIsUnderWay(t *testing.T) {
	s := newSite(t, 8)
	client, server := s.open()
	server.say("half a li")
	client.want("half a li")
	s.core.MigrateAll(time.Millisecond)
	server.say("ne\r\n")
	client.want("ne\r\nMOVE\r\n")
	client.wantEnd(false)
	server.wantEnd(false)
}

// A line may come in pieces, with time between them.
func TestMoveWaitsForTheRestOfALine(t *testing.T) {
	t.Parallel()
	s := newSite(t, 8)
	client, server := s.open()
	server.say("half a li")
	client.want("half a li")
	s.core.MigrateAll(time.Millisecond)
	began := s.core.Clock.Now()
	testutil.Until(t, "half a second is over", func() bool { return s.core.Clock.Now()-began > 500*time.Millisecond })
	server.say("ne\r\n")
	client.want("ne\r\nMOVE\r\n")
	client.wantEnd(false)
	server.wantEnd(false)
}

func TestOpeningsThatMakeNoSenseGetOneFailure(t *testing.T) {
	s := newSite(t, 8)
	for _, text := range []string{
		"HELLO\r\n", "OPEN 1 2 c=other,d=5\r\n", "OPEN 1 2 c=page,d=x\r\n", strings.Repeat("x", maxLine+10),
	} {
		client := s.client()
		client.say(text)
		client.want("ERR\r\n")
		client.wantEnd(false)
	}
	if n := s.core.Counters.ProtocolErrors.Load(); n != 4 {
		t.Errorf("%d bad openings were counted, want 4", n)
	}
}

// Where the settings name tenants an opening has to name one of them; the server hears of it as the client said it.
func TestOpeningsNameATenant(t *testing.T) {
	s := newSite(t, 8)
	terms := *s.core.Settings()
	terms.Tenants = []string{"fraser", "cedar"}
	s.core.UpdateSettings(&terms)
	for _, text := range []string{"OPEN 1 2 c=page,d=4000\r\n", "OPEN 1 2 c=page,t=other,d=4000\r\n", "OPEN 1 2 c=page,t=,d=4000\r\n"} {
		client := s.client()
		client.say(text)
		client.want("ERR\r\n")
		client.wantEnd(false)
	}
	client := s.client()
	client.say("OPEN 1 2 c=page,t=cedar,d=4000\r\n")
	server := s.peer(s.server.Accept())
	if text, err := server.r.ReadString('\n'); err != nil || !strings.HasPrefix(text, "OPEN 1 2 c=page,t=cedar,d=") {
		t.Errorf("the server was told %q, %v", text, err)
	}
	server.say("UP x\r\n")
	client.want("UP x\r\n")
}

// A client that is shown out as its opening comes is told so: closing over what has come would reset its connection.
func TestWhoIsShownOutAsItSpeaksIsTold(t *testing.T) {
	s := newSite(t, 8)
	client := s.peer(net.Dial("tcp", s.server.Addr().String()))
	door := s.peer(s.server.Accept()) // nobody reads there
	opening := fmt.Sprintf(first, 4000)
	client.say(opening)
	testutil.Unread(t, door.TCPConn, len(opening))
	showOut(door.TCPConn)
	client.want("BUSY\r\n")
	client.wantEnd(false)
}

func TestPingIsAnswered(t *testing.T) {
	client := newSite(t, 8).client()
	client.say("PING\r\nPING\r\n")
	client.want("PONG\r\nPONG\r\n")
}

// Past its seats a relay has to turn clients away, and so that they can read it:
// closing with their opening unread would reset the connection.
func TestClientsBeyondTheSeatsAreTurnedAway(t *testing.T) {
	s := newSite(t, 1)
	s.open()
	client := s.client()
	client.say("OPEN a1 7f3a9c21e0b4d655 c=page,d=4000\r\n")
	client.want("BUSY 100\r\n") // the module's advice where a server takes work
	client.wantEnd(false)
}

// A client may ask whether the relay is there, but not without end.
func TestPingsAreBounded(t *testing.T) {
	client := newSite(t, 8).client()
	client.say(strings.Repeat("PING\r\n", 300))
	client.want(strings.Repeat("PONG\r\n", pingsMost+1) + "ERR\r\n")
	client.wantEnd(false)
}

// A client that writes its opening in pieces while the relay ends is told to come again: closed without a word, what it
// has said by then would be lost.
func TestAnOpeningThatIsUnderWayIsAnsweredAtTheEnd(t *testing.T) {
	s := newSite(t, 4)
	c := s.client()
	c.say("PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21")
	c.want("PONG\r\n") // it is being read
	began := time.Now()
	s.core.RejectPending()
	c.want("BUSY\r\n")
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %v", took)
	}
	c.say("e0b4d655 c=page,d=1500\r\n") // which is read, lest the answer is lost to a reset
	c.CloseWrite()
	c.wantEnd(false)
	// Who still comes to the point is answered as one that waits.
	c = s.client()
	c.say(fmt.Sprintf(first, 4000))
	c.want("BUSY\r\n")
}

// A connection from before the start whose server drains by then is up again, and moves: the module may have it move in the
// very turn in which it takes it up.
func TestAConnectionFromBeforeTheStartMovesOffAServerThatDrains(t *testing.T) {
	s := newSite(t, 8)
	s.core.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: s.core.Endpoints.ID("s-1"), State: balancer.StateDraining, Weight: 1}},
		[]string{s.server.Addr().String()})
	client := s.client()
	client.say(strings.Replace(fmt.Sprintf(first, 4000), "\r\n", ",at=s-1\r\n", 1))
	server := s.peer(s.server.Accept())
	if text, err := server.r.ReadString('\n'); err != nil || !strings.Contains(text, "at=s-1") {
		t.Fatalf("the server was told %q, %v", text, err)
	}
	server.say("UP receipt of 7\r\n")
	client.want("UP receipt of 7\r\nMOVE\r\n")
	client.wantEnd(false)
	server.wantEnd(false)
}
