package amqp

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/balancer"
	"lockroad/internal/connpool"
	"lockroad/internal/testutil"
)

// sharedEndpoint is a fake endpoint that takes any number of sessions on a connection, and counts both.
type sharedEndpoint struct {
	connections, sessions, maxSessions atomic.Int64 // most: channels in use on one connection at a time
	acceptAttach                       func(conn, session int64) bool
}

func (s *sharedEndpoint) serve(_ testing.TB, tcp *net.TCPConn, _ *scenario) {
	conn, err := AcceptPeerConn(tcp, serverWait, false)
	if err != nil {
		return
	}
	number := s.connections.Add(1)
	var all sync.WaitGroup
	defer all.Wait()
	defer conn.Close()
	for peer := conn.AcceptSession(); peer != nil; peer = conn.AcceptSession() {
		n := s.sessions.Add(1)
		if now := int64(peer.channel) + 1; now > s.maxSessions.Load() { // the lowest that is free is taken
			s.maxSessions.Store(now)
		}
		all.Go(func() {
			defer peer.End()
			settleSession(peer, 50, func() bool {
				if s.acceptAttach == nil || s.acceptAttach(number, n) {
					return true
				}
				tcp.Close()
				return false
			})
		})
	}
}

// newSharedTestRelay is a relay whose requests share connections to one endpoint.
func newSharedTestRelay(t testing.TB, shared *sharedEndpoint, set connpool.Settings) *testRelay {
	t.Helper()
	protocol := amqpProtocol(func(frontend *Frontend) { frontend.Pool = set }, nil)
	protocol.serveEndpoint = shared.serve
	return newTestRelayWithSlots(t, protocol, 1, nil, 2000)
}

// Seven requests go over as few connections as the settings and the endpoint allow, one after another over the
// same; a connection without any is closed in its time.
func TestRequestsShareConnections(t *testing.T) {
	shared := &sharedEndpoint{}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 3, IdleTimeout: 300 * time.Millisecond})
	c := clientOf(t, relay)
	var all []*client10.Sender
	for i := range 7 {
		all = append(all, attach(t, c, fmt.Sprint("link ", i)))
	}
	for _, one := range all {
		sendOne(t, one)
	}
	if n, most := shared.connections.Load(), shared.maxSessions.Load(); n != 3 || most != 3 {
		t.Errorf("%d connections, of which one had %d sessions", n, most)
	}
	for _, one := range all {
		_ = one.Close(t.Context())
	}
	testutil.Until(t, "a transaction is left", func() bool { return relay.proxy.Requests.Len() == 0 })
	for i := range 3 {
		one := attach(t, c, fmt.Sprint("again ", i))
		sendOne(t, one)
		_ = one.Close(t.Context())
	}
	if n := shared.connections.Load(); n != 3 {
		t.Errorf("transactions one after another make %d connections of 3", n)
	}
	testutil.Until(t, "connections stay", func() bool { return descriptorsTo(relay.endpointAddresses[0]) == 0 })
	sendOne(t, attach(t, c, "late"))
}

// descriptorsTo counts this process's connections whose other end is an address, by the system's own table.
func descriptorsTo(address string) int {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return -1
	}
	text, _ := os.ReadFile("/proc/self/net/tcp")
	ip := a.IP.To4()
	want := fmt.Sprintf(" %02X%02X%02X%02X:%04X 01 ", ip[3], ip[2], ip[1], ip[0], a.Port) // established, and it is the remote end
	n := 0
	for i := 0; i+len(want) <= len(text); i++ {
		if string(text[i:i+len(want)]) == want {
			n++
		}
	}
	return n
}

// A connection that breaks ends each of its requests cleanly, and none of another connection's; those that were on
// their way are tried elsewhere or answered.
func TestConnectionEndAffectsOnlyItsRequests(t *testing.T) {
	shared := &sharedEndpoint{acceptAttach: func(_, session int64) bool { return session != 5 }} // the fifth breaks the second connection
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 3, IdleTimeout: time.Minute})
	c := clientOf(t, relay)
	var all []*client10.Sender
	for i := range 4 {
		all = append(all, attach(t, c, fmt.Sprint("link ", i)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := c.NewSender(ctx, "there", &client10.SenderOptions{Name: "fifth", Properties: linkProperties()}); err != nil {
		t.Logf("the fifth is told %v", err) // there is but one server, which it has tried
	}
	for _, one := range all[:3] {
		sendOne(t, one)
	}
	if err := all[3].Send(ctx, client10.NewMessage([]byte("n")), nil); err == nil {
		t.Error("the fourth's connection has broken, and it goes on")
	}
	testutil.Until(t, "the fourth is still there", func() bool { return relay.proxy.Requests.Len() == 3 })
}

// Many come and go at once: each is answered, and in the end nothing is left of any.
func TestSharedConnectionsUnderLoad(t *testing.T) {
	shared := &sharedEndpoint{}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 5, IdleTimeout: 100 * time.Millisecond})
	before := runtime.NumGoroutine()
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			conn, err := dialSecured(relay.address, nil, client10.SASLTypeAnonymous())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			for range 1 + i%4 {
				if err := attachTo(conn, "there", linkProperties()); err != nil {
					t.Errorf("client %d: %v", i, err)
				}
			}
		})
	}
	all.Wait()
	testutil.Until(t, "something is left", func() bool {
		return relay.proxy.Requests.Len() == 0 && descriptorsTo(relay.endpointAddresses[0]) == 0 && runtime.NumGoroutine() <= before+2
	})
	if shared.maxSessions.Load() > 5 {
		t.Errorf("%d sessions on one connection", shared.maxSessions.Load())
	}
}

// An endpoint that drains gets nothing new over the connection that it has, which goes with its last request.
func TestDrainingEndpointsConnectionEmpties(t *testing.T) {
	shared := &sharedEndpoint{}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 8, IdleTimeout: time.Minute})
	c := clientOf(t, relay)
	attach(t, c, "one")
	relay.endpoints[0].State = balancer.StateDraining
	relay.proxy.UpdateEndpoints(balancer.ListDelta, relay.endpoints, relay.endpointAddresses)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := c.NewSender(ctx, "there", &client10.SenderOptions{Name: "two", Properties: linkProperties()}); err == nil {
		t.Error("a server that drains got another")
	}
	testutil.Until(t, "the connection stays, though its clients were moved", func() bool { return descriptorsTo(relay.endpointAddresses[0]) == 0 })
}

// BenchmarkSetUp is the time from a link's attach to its answer, with a connection to the endpoint for each and with shared
// ones. Compare within one run.
func BenchmarkSetUp(b *testing.B) {
	for _, way := range []struct {
		name string
		set  connpool.Settings
	}{{"a connection each", connpool.Settings{}}, {"shared by 64", connpool.Settings{MaxSessions: 64, IdleTimeout: time.Minute}}} {
		b.Run(way.name, func(b *testing.B) {
			relay := newSharedTestRelay(b, &sharedEndpoint{}, way.set)
			session := clientOf(b, relay)
			n := 0
			for b.Loop() {
				n++
				sender, err := session.NewSender(b.Context(), "there", &client10.SenderOptions{Name: fmt.Sprint(n), Properties: linkProperties()})
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				_ = sender.Close(b.Context())
				b.StartTimer()
			}
		})
	}
}
