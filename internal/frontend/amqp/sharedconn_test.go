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

// sharedEndpoint is a fake endpoint that accepts many sessions on a connection, and counts connections and sessions.
type sharedEndpoint struct {
	connections, sessions, maxSessions atomic.Int64                         // maxSessions: on one connection at a time
	acceptAttach                       func(connection, session int64) bool // false: closes the connection; nil: accepts all
}

func (s *sharedEndpoint) serve(_ testing.TB, tcp *net.TCPConn, _ *scenario) {
	conn, err := AcceptPeerConn(tcp, peerReadTimeout, false)
	if err != nil {
		return
	}
	connection := s.connections.Add(1)
	var served sync.WaitGroup
	defer served.Wait()
	defer conn.Close()
	for peer := conn.AcceptSession(); peer != nil; peer = conn.AcceptSession() {
		session := s.sessions.Add(1)
		if inUse := int64(peer.channel) + 1; inUse > s.maxSessions.Load() { // the relay uses the lowest free channel
			s.maxSessions.Store(inUse)
		}
		served.Go(func() {
			defer peer.End()
			settleSession(peer, 50, func() bool {
				if s.acceptAttach == nil || s.acceptAttach(connection, session) {
					return true
				}
				tcp.Close()
				return false
			})
		})
	}
}

// newSharedTestRelay returns a relay whose requests share connections to one endpoint.
func newSharedTestRelay(t testing.TB, shared *sharedEndpoint, settings connpool.Settings) *testRelay {
	t.Helper()
	protocol := amqpProtocol(func(frontend *Frontend) { frontend.Pool = settings }, nil)
	protocol.serveEndpoint = shared.serve
	return newTestRelayWithSlots(t, protocol, 1, nil, 2000)
}

// Requests must use as few connections as the settings allow, reuse them, and idle connections must be closed.
func TestRequestsShareConnections(t *testing.T) {
	shared := &sharedEndpoint{}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 3, IdleTimeout: 300 * time.Millisecond})
	session := newClientSession(t, relay)
	var senders []*client10.Sender
	for i := range 7 {
		senders = append(senders, attach(t, session, fmt.Sprint("link ", i)))
	}
	for _, sender := range senders {
		sendOne(t, sender)
	}
	if connections, sessions := shared.connections.Load(), shared.maxSessions.Load(); connections != 3 || sessions != 3 {
		t.Errorf("endpoint accepted %d connections with up to %d sessions, want 3 with 3", connections, sessions)
	}
	for _, sender := range senders {
		_ = sender.Close(t.Context())
	}
	testutil.Until(t, "requests did not end", func() bool { return relay.proxy.Requests.Len() == 0 })
	for i := range 3 {
		sender := attach(t, session, fmt.Sprint("again ", i))
		sendOne(t, sender)
		_ = sender.Close(t.Context())
	}
	if connections := shared.connections.Load(); connections != 3 {
		t.Errorf("consecutive requests increased the connections from 3 to %d", connections)
	}
	testutil.Until(t, "idle connections were not closed", func() bool { return connectionsTo(relay.endpointAddresses[0]) == 0 })
	sendOne(t, attach(t, session, "late"))
}

// connectionsTo counts the established connections to an address in the kernel's table; -1 if the address is invalid.
func connectionsTo(address string) int {
	tcpAddress, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return -1
	}
	table, _ := os.ReadFile("/proc/self/net/tcp")
	ip := tcpAddress.IP.To4()
	// The remote address and the state "established".
	want := fmt.Sprintf(" %02X%02X%02X%02X:%04X 01 ", ip[3], ip[2], ip[1], ip[0], tcpAddress.Port)
	count := 0
	for i := 0; i+len(want) <= len(table); i++ {
		if string(table[i:i+len(want)]) == want {
			count++
		}
	}
	return count
}

// The loss of a shared connection must end the established requests on it, and no requests on other connections.
func TestConnectionEndAffectsOnlyItsRequests(t *testing.T) {
	// The fifth attach closes the second connection.
	shared := &sharedEndpoint{acceptAttach: func(_, session int64) bool { return session != 5 }}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 3, IdleTimeout: time.Minute})
	session := newClientSession(t, relay)
	var senders []*client10.Sender
	for i := range 4 {
		senders = append(senders, attach(t, session, fmt.Sprint("link ", i)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := session.NewSender(ctx, "there", &client10.SenderOptions{Name: "fifth", Properties: linkProperties()}); err != nil {
		t.Logf("attach of the fifth link: %v", err) // may fail: there is no other endpoint for a retry
	}
	for _, sender := range senders[:3] {
		sendOne(t, sender)
	}
	if err := senders[3].Send(ctx, client10.NewMessage([]byte("n")), nil); err == nil {
		t.Error("sending on the fourth link succeeded after the loss of its connection")
	}
	testutil.Until(t, "the request of the fourth link did not end", func() bool { return relay.proxy.Requests.Len() == 3 })
}

// Concurrent requests must all be answered, and leave no requests, connections or goroutines behind.
func TestSharedConnectionsUnderLoad(t *testing.T) {
	shared := &sharedEndpoint{}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 5, IdleTimeout: 100 * time.Millisecond})
	before := runtime.NumGoroutine()
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() {
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
	clients.Wait()
	testutil.Until(t, "requests, connections or goroutines did not end", func() bool {
		return relay.proxy.Requests.Len() == 0 && connectionsTo(relay.endpointAddresses[0]) == 0 && runtime.NumGoroutine() <= before+2
	})
	if shared.maxSessions.Load() > 5 {
		t.Errorf("one connection had %d sessions, want at most 5", shared.maxSessions.Load())
	}
}

// A draining endpoint must get no new requests on an existing shared connection, which must close after its last
// request.
func TestSharedConnectionOfDrainingEndpointCloses(t *testing.T) {
	shared := &sharedEndpoint{}
	relay := newSharedTestRelay(t, shared, connpool.Settings{MaxSessions: 8, IdleTimeout: time.Minute})
	session := newClientSession(t, relay)
	attach(t, session, "one")
	relay.endpoints[0].State = balancer.StateDraining
	relay.proxy.UpdateEndpoints(balancer.ListDelta, relay.endpoints, relay.endpointAddresses)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := session.NewSender(ctx, "there", &client10.SenderOptions{Name: "two", Properties: linkProperties()}); err == nil {
		t.Error("a draining endpoint accepted another request")
	}
	testutil.Until(t, "the connection was not closed after its requests were migrated", func() bool { return connectionsTo(relay.endpointAddresses[0]) == 0 })
}

// BenchmarkSetUp measures the time from a link's attach to its answer, with dedicated and with shared connections to
// the endpoint. Only results of the same run are comparable.
func BenchmarkSetUp(b *testing.B) {
	for _, testCase := range []struct {
		name     string
		settings connpool.Settings
	}{{"dedicated", connpool.Settings{}}, {"shared by 64", connpool.Settings{MaxSessions: 64, IdleTimeout: time.Minute}}} {
		b.Run(testCase.name, func(b *testing.B) {
			relay := newSharedTestRelay(b, &sharedEndpoint{}, testCase.settings)
			session := newClientSession(b, relay)
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
