package amqp

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/frontend/line"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// The same cases run through both frontends, with fake peers for clients and
// endpoints on both sides of each, and have to end alike.

// endpointAction is what a fake endpoint does with a request.
type endpointAction int

const (
	actionAccept            endpointAction = iota
	actionRejectFull                       // rejects it as full
	actionFail                             // answers with an error
	actionHang                             // accepts nothing and sends nothing
	actionReset                            // resets the connection before an answer
	actionNoCredit                         // attaches it and grants no credit; the line protocol has no credit, and hangs
	actionAcceptAndDetach                  // accepts it and detaches it at once
	actionAcceptAndRedirect                // accepts it and redirects the client at once
	actionAcceptAndReset                   // accepts it and resets the connection
)

// scenario is what the endpoints of a case do with one request after another,
// whichever of them it comes to. After its end they accept.
type scenario struct {
	mu              sync.Mutex
	actions         []endpointAction
	received        int
	pending         int // requests that are at an endpoint and unanswered
	maxPending      int // of them at a time
	ended           chan struct{}
	lastAddress     string        // the address that the last request came to
	excludedAddress string        // none may come to this one
	lastTimeout     time.Duration // that the last was told the relay waits
	beforeAnswer    func()        // what an endpoint waits for before it does anything; nil: nothing. Set before the first comes
}

func (s *scenario) next(t testing.TB, at net.Addr) endpointAction {
	act := s.receive(t, at)
	if s.beforeAnswer != nil {
		s.beforeAnswer()
	}
	return act
}

func (s *scenario) receive(t testing.TB, at net.Addr) endpointAction {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastAddress = at.String(); s.lastAddress == s.excludedAddress {
		t.Errorf("a transaction came to %s", s.lastAddress)
	}
	s.received++
	s.pending++
	s.maxPending = max(s.maxPending, s.pending)
	if len(s.actions) < s.received {
		return actionAccept
	}
	return s.actions[s.received-1]
}

// recordTimeout notes how long an endpoint was told that the relay waits.
func (s *scenario) recordTimeout(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTimeout = wait
}

func (s *scenario) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

// requestResult is the result of a request as its client sees it.
type requestResult struct {
	answer     string // up, unavailable, failed or lost
	retryAfter bool   // the rejection said when to retry
	end        string // of a request that was up: ended, moved or broken
}

// frontendServer is a frontend of either protocol.
type frontendServer interface {
	Serve(context.Context, net.Listener) error
}

// frontendProtocol is one of the relay's two protocols, with its peers.
type frontendProtocol struct {
	name        string
	newFrontend func(relayProxy *proxy.Proxy, seats int) frontendServer
	// serveEndpoint serves one connection of a fake endpoint.
	serveEndpoint func(t testing.TB, conn *net.TCPConn, s *scenario)
	// open begins a request of a name and waits for its answer; the client
	// leaves with ctx. hold waits for the end of one that is up.
	open func(ctx context.Context, address, name string, timeout time.Duration) (answer string, advice bool, hold func() string)
	// openAndSend begins a request, sends at once as if it were established, and returns the answer.
	openAndSend func(t *testing.T, address string) string
	// slowPieces and endless are what clients send that never complete their opening.
	slowPieces []string
	endless    string
}

var protocols = []frontendProtocol{
	{name: "line", newFrontend: func(relayProxy *proxy.Proxy, seats int) frontendServer {
		return &line.Frontend{Proxy: relayProxy, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
	}, serveEndpoint: serveLineEndpoint, open: openLine, openAndSend: openAndSendLine,
		slowPieces: []string{"PING\r\n", "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=", "p"}, endless: "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c="},
	{name: "amqp", newFrontend: func(relayProxy *proxy.Proxy, seats int) frontendServer {
		return &Frontend{Proxy: relayProxy, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
	}, serveEndpoint: serveAMQPEndpoint, open: openAMQP, openAndSend: openAndSendAMQP,
		slowPieces: []string{string(framing.ProtocolHeaderAMQP[:]), "\x00\x00\x10\x00\x02\x00\x00\x00", "p"}, endless: string(framing.ProtocolHeaderAMQP[:]) + "\x7f\xff\xff\xff\x02\x00\x00\x00"},
}

// amqpProtocol is AMQP with a frontend that is prepared, and endpoints that speak TLS if theirs is given.
func amqpProtocol(prepare func(*Frontend), servers *tls.Config) frontendProtocol {
	protocol := protocols[1]
	protocol.newFrontend = func(relayProxy *proxy.Proxy, seats int) frontendServer {
		frontend := &Frontend{Proxy: relayProxy, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
		prepare(frontend)
		return frontend
	}
	if servers != nil {
		protocol.serveEndpoint = func(t testing.TB, tcp *net.TCPConn, s *scenario) {
			secured := tls.Server(tcp, servers)
			if secured.Handshake() == nil {
				serveAMQPEndpointOn(t, secured, s)
			}
		}
	}
	return protocol
}

// caseResult is how a case went.
type caseResult struct {
	results  []requestResult
	attempts string // outcomes of attempts, as counted
	received int    // requests that came to an endpoint
}

const clientTimeout = 1200 * time.Millisecond

const serverWait = 5 * time.Second

// testRelay is a proxy with one frontend and a list of fake peers.
type testRelay struct {
	proxy             *proxy.Proxy
	scenario          *scenario
	address           string
	endpoints         []balancer.Endpoint
	endpointAddresses []string
	lastName          atomic.Uint64 // of requests, handed out
	shutdown          func()        // ends the relay and its endpoints, and waits for both
}

func newTestRelay(t testing.TB, protocol frontendProtocol, servers int, acts []endpointAction) *testRelay {
	return newTestRelayWithSlots(t, protocol, servers, acts, 64)
}

func newTestRelayWithSlots(t testing.TB, protocol frontendProtocol, servers int, acts []endpointAction, seats int) *testRelay {
	t.Helper()
	now := make(chan struct{})
	close(now)
	return newDelayedTestRelay(t, protocol, servers, acts, seats, now)
}

// newDelayedTestRelay is a relay whose event loop starts only when turns is closed.
func newDelayedTestRelay(t testing.TB, protocol frontendProtocol, servers int, acts []endpointAction, seats int, turns <-chan struct{}) *testRelay {
	t.Helper()
	set := balancer.Settings{
		Classes:     []balancer.Class{{Name: "page", LatencyObjective: 200 * time.Millisecond, Deadline: clientTimeout}},
		RelayCount:  1,
		MaxAttempts: 3, ClockResolution: 2 * time.Millisecond, ConnectTimeout: 400 * time.Millisecond,
		MaxRetryAfter: 2 * time.Second, InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	relay := &testRelay{proxy: proxy.New(set, 1, proxy.NewClock()), scenario: &scenario{actions: acts, ended: make(chan struct{}, 64)}}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range servers {
		netListener := listen(t)
		relay.endpointAddresses = append(relay.endpointAddresses, netListener.Addr().String())
		relay.endpoints = append(relay.endpoints, balancer.Endpoint{
			ID: relay.proxy.Endpoints.AssignID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Size: 1,
		})
		all.Go(func() { serveAll(t, netListener, protocol, relay.scenario) })
		context.AfterFunc(ctx, func() { netListener.Close() })
	}
	relay.proxy.UpdateEndpoints(balancer.ListFull, relay.endpoints, relay.endpointAddresses)
	netListener := listen(t)
	relay.address = netListener.Addr().String()
	all.Go(func() {
		<-turns
		_ = relay.proxy.Run(ctx)
	})
	all.Go(func() { _ = protocol.newFrontend(relay.proxy, seats).Serve(ctx, netListener) })
	relay.shutdown = sync.OnceFunc(func() {
		netListener.Close()
		cancel()
		all.Wait()
	})
	t.Cleanup(relay.shutdown)
	return relay
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return netListener
}

// serveAll answers a fake endpoint's connections until its listener is closed, and
// then ends them.
func serveAll(t testing.TB, netListener net.Listener, protocol frontendProtocol, s *scenario) {
	var all sync.WaitGroup
	defer all.Wait()
	var mu sync.Mutex
	var open []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range open {
			conn.Close()
		}
	}()
	for {
		conn, err := netListener.Accept()
		if err != nil {
			return
		}
		mu.Lock()
		open = append(open, conn)
		mu.Unlock()
		all.Go(func() {
			protocol.serveEndpoint(t, conn.(*net.TCPConn), s)
			conn.Close()
			select {
			case s.ended <- struct{}{}:
			default:
			}
		})
	}
}

// setEndpointState changes the state of all endpoints.
func (relay *testRelay) setEndpointState(state balancer.EndpointState, startedAt time.Duration) {
	relay.endpoints = slices.Clone(relay.endpoints) // what was handed over is the proxy's
	for i := range relay.endpoints {
		relay.endpoints[i].State, relay.endpoints[i].StartedAt = state, startedAt
	}
	relay.proxy.UpdateEndpoints(balancer.ListDelta, relay.endpoints, relay.endpointAddresses)
}

// updateSettings puts other settings in force.
func (relay *testRelay) updateSettings(change func(*balancer.Settings)) {
	settings := *relay.proxy.Settings()
	settings.Classes = append([]balancer.Class(nil), settings.Classes...)
	change(&settings)
	relay.proxy.UpdateSettings(&settings)
}

// waitIdle waits until no request is in progress and returns the result.
func (relay *testRelay) waitIdle(t *testing.T, all ...requestResult) caseResult {
	t.Helper()
	for late := time.Now().Add(5 * time.Second); relay.proxy.Requests.Len() > 0; {
		if time.Now().After(late) {
			t.Fatal("a transaction is under way long after its end")
		}
		time.Sleep(time.Millisecond) // a poll with a bound: nothing waits for it
	}
	var passes []string
	for i, name := range registry.StatusNames {
		if n := relay.proxy.Counters.Attempts(balancer.AttemptStatus(i)); n > 0 {
			passes = append(passes, fmt.Sprintf("%s=%d", name, n))
		}
	}
	relay.scenario.mu.Lock()
	defer relay.scenario.mu.Unlock()
	if relay.scenario.maxPending > 1 && len(all) == 1 {
		t.Errorf("%d passes were out at once", relay.scenario.maxPending)
	}
	return caseResult{results: all, attempts: strings.Join(passes, " "), received: relay.scenario.received}
}

// nextName returns a name that no request has had.
func (relay *testRelay) nextName() string { return fmt.Sprintf("%016x", relay.lastName.Add(1)) }

// runRequest runs one request. Its client stays until the end if the request is established.
func runRequest(t *testing.T, relay *testRelay, protocol frontendProtocol, timeout time.Duration, meanwhile func()) requestResult {
	t.Helper()
	return runNamedRequest(t, relay, protocol, relay.nextName(), timeout, meanwhile)
}

func runNamedRequest(t *testing.T, relay *testRelay, protocol frontendProtocol, name string, timeout time.Duration, meanwhile func()) requestResult {
	t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	began := time.Now()
	answer, advice, hold := protocol.open(ctx, relay.address, name, timeout)
	if took := time.Since(began); took > timeout+time.Second {
		t.Errorf("answered after %v, the client gives up after %v", took, timeout)
	}
	result := requestResult{answer: answer, retryAfter: advice}
	if hold != nil {
		if meanwhile != nil {
			meanwhile()
		}
		result.end = hold()
	}
	return result
}
