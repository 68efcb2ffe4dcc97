package amqp

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/frontend/line"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// The same cases run through both fronts, with stand-ins for clients and
// application servers on both sides of each, and have to end alike.

// endpointAction is what a stand-in of an application server does with a transaction.
type endpointAction int

const (
	actionAccept            endpointAction = iota
	actionRejectFull                       // turns it away
	actionFail                             // answers with an error
	actionHang                             // takes it and says nothing
	actionReset                            // takes it and breaks the connection
	actionNoCredit                         // attaches it and grants no credit; a line has no such thing and hangs
	actionAcceptAndDetach                  // accepts it and ends it at once
	actionAcceptAndRedirect                // accepts it and sends the client away at once
	actionAcceptAndReset                   // accepts it and breaks the connection
)

// scenario is what the servers of a case do with one transaction after another,
// whichever of them it comes to. After its end they accept.
type scenario struct {
	mu              sync.Mutex
	actions         []endpointAction
	received        int
	pending         int // transactions that are at a server and unanswered
	maxPending      int // of them at a time
	ended           chan struct{}
	lastAddress     string        // the address that the last transaction came to
	excludedAddress string        // none may come to this one
	lastTimeout     time.Duration // that the last was told the relay waits
	beforeAnswer    func()        // what a server waits for before it does anything; nil: nothing. Set before the first comes
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

// recordTimeout notes how long a server was told that the relay waits.
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

// requestResult is how a transaction went at the client.
type requestResult struct {
	answer     string // up, unavailable, failed or lost
	retryAfter bool   // it was told when to come back
	end        string // of a transaction that was up: ended, moved or broken
}

// frontendServer is a front.
type frontendServer interface {
	Serve(context.Context, net.Listener) error
}

// frontendProtocol is one of the two ways to speak.
type frontendProtocol struct {
	name        string
	newFrontend func(k *proxy.Proxy, seats int) frontendServer
	// server answers one connection to an application server.
	serveEndpoint func(t testing.TB, c *net.TCPConn, s *scenario)
	// open begins a transaction of a name and waits for its answer; the client
	// leaves with ctx. hold waits for the end of one that is up.
	open func(ctx context.Context, address, name string, timeout time.Duration) (answer string, advice bool, hold func() string)
	// hasty begins a transaction, goes on at once as if it were up, and returns
	// the answer.
	openAndSend func(t *testing.T, address string) string
	// slow and endless are what clients send that never come to their point.
	slowPieces []string
	endless    string
}

var protocols = []frontendProtocol{
	{name: "line", newFrontend: func(k *proxy.Proxy, seats int) frontendServer {
		return &line.Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
	}, serveEndpoint: serveLineEndpoint, open: openLine, openAndSend: openAndSendLine,
		slowPieces: []string{"PING\r\n", "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=", "p"}, endless: "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c="},
	{name: "amqp", newFrontend: func(k *proxy.Proxy, seats int) frontendServer {
		return &Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
	}, serveEndpoint: serveAMQPEndpoint, open: openAMQP, openAndSend: openAndSendAMQP,
		slowPieces: []string{string(framing.ProtocolHeaderAMQP[:]), "\x00\x00\x10\x00\x02\x00\x00\x00", "p"}, endless: string(framing.ProtocolHeaderAMQP[:]) + "\x7f\xff\xff\xff\x02\x00\x00\x00"},
}

func serveLineEndpoint(t testing.TB, c *net.TCPConn, s *scenario) {
	relay := bufio.NewReader(c)
	text, err := relay.ReadString('\n')
	if err != nil {
		return
	}
	if !strings.HasPrefix(text, "OPEN ") {
		t.Errorf("a server was told %q", text)
	}
	_, told, _ := strings.Cut(text, ",d=")
	told, _, _ = strings.Cut(told, ",")
	ms, _ := strconv.Atoi(told)
	s.recordTimeout(time.Duration(ms) * time.Millisecond)
	act := s.next(t, c.LocalAddr())
	up := func(more string) { s.answered(); io.WriteString(c, "UP r1\r\n"+more) }
	switch act {
	case actionAccept:
		up("")
		_, _ = io.Copy(c, relay)
	case actionRejectFull:
		s.answered()
		io.WriteString(c, "BUSY\r\n")
	case actionFail:
		s.answered()
		io.WriteString(c, "ERR\r\n")
	case actionHang, actionNoCredit:
		_, _ = io.Copy(io.Discard, relay)
		s.answered()
	case actionReset:
		s.answered()
		c.SetLinger(0)
	case actionAcceptAndDetach:
		up("BYE\r\n")
	case actionAcceptAndRedirect:
		up("MOVE\r\n")
	case actionAcceptAndReset:
		up("")
		c.SetLinger(0)
	}
}

func openLine(ctx context.Context, address, name string, timeout time.Duration) (string, bool, func() string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "lost", false, nil
	}
	context.AfterFunc(ctx, func() { c.Close() })
	fmt.Fprintf(c, "OPEN %s 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59\r\n", name, timeout.Milliseconds())
	relay := bufio.NewReader(c)
	text, err := relay.ReadString('\n')
	switch word := strings.Fields(text); {
	case err != nil:
		return "lost", false, nil
	case word[0] == "BUSY":
		return "unavailable", len(word) > 1, nil
	case word[0] != "UP":
		return "failed", false, nil
	}
	return "up", false, func() string {
		for {
			text, err := relay.ReadString('\n')
			switch {
			case text == "BYE\r\n":
				return "ended"
			case text == "MOVE\r\n":
				return "moved"
			case err != nil:
				return "broken"
			}
		}
	}
}

func openAndSendLine(t *testing.T, address string) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(serverWait))
	io.WriteString(c, strings.Repeat("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=1200\r\n", 200))
	text, err := bufio.NewReader(c).ReadString('\n')
	if text != "ERR\r\n" {
		return fmt.Sprintf("%q, %v", text, err)
	}
	return "failed"
}

func openAndSendAMQP(t *testing.T, address string) string {
	c := dialRaw(t, address).begin()
	c.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(1200)})
	for i := range uint32(200) {
		c.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(1), i, []byte("t")}}, nil)
	}
	c.expect(framing.CodeAttach, 0, "")
	c.expect(framing.CodeDetach, 2, framing.CondTransferLimitExceeded)
	return "failed"
}

const serverWait = 5 * time.Second

// negotiateAsEndpoint is a stand-in's half of the greeting, as the standard has it, up to
// the opens.
func negotiateAsEndpoint(t testing.TB, tcp streamConn) (*connection, bool) {
	c := newConnection(tcp)
	header, err := c.readProtocolHeader(serverWait)
	if err != nil {
		return nil, false
	}
	if header != framing.ProtocolHeaderSASL {
		t.Errorf("a server was greeted with %q", header)
	}
	c.writeProtocolHeader(framing.ProtocolHeaderSASL)
	want, offered := "ANONYMOUS", codec.Array{codec.Symbol("ANONYMOUS")}
	if _, is := tcp.(*tls.Conn); is { // to which the relay has shown a certificate
		want, offered = "EXTERNAL", codec.Array{codec.Symbol("EXTERNAL"), codec.Symbol("ANONYMOUS")}
	}
	c.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{offered}})
	frame, err := c.readFrame(framing.TypeSASL, serverWait)
	if err != nil {
		return nil, false // the relay may give a pass up at any time, as of a client that has gone
	}
	if frame.Code != framing.CodeSASLInit || codec.AsString(frame.Field(0)) != want {
		t.Errorf("a server got %v for an init", frame)
		return nil, false
	}
	c.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
	_, _ = c.readProtocolHeader(serverWait)
	c.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	return c, true
}

// answerOpenOrBegin answers the frames that open a stand-in's connection and its session.
func answerOpenOrBegin(c *connection, s *session, frame framing.Frame) {
	switch frame.Code {
	case framing.CodeOpen:
		c.applyOpen(frame.Performative)
		c.writeFrame(0, newOpen("server"), nil)
	case framing.CodeBegin:
		_ = s.applyBegin(frame.Performative)
		c.writeFrame(0, s.newBegin(uint16(0)), nil)
	}
}

// serveAMQPEndpoint does as the script says.
func serveAMQPEndpoint(t testing.TB, tcp *net.TCPConn, s *scenario) { serveAMQPEndpointOn(t, tcp, s) }

func serveAMQPEndpointOn(t testing.TB, over streamConn, s *scenario) {
	c, ok := negotiateAsEndpoint(t, over)
	if !ok {
		return
	}
	session := newSession(c, 0)
	for {
		frame, err := c.readFrame(framing.TypeAMQP, serverWait)
		if err != nil {
			return
		}
		switch frame.Code {
		case framing.CodeOpen, framing.CodeBegin:
			answerOpenOrBegin(c, session, frame)
		case framing.CodeAttach:
			if !answerAttach(t, c, session, frame.Performative, s) {
				return
			}
		case framing.CodeTransfer:
			if frame.Bool(5) {
				continue
			}
			c.writeFrame(0, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, frame.Field(1), nil, true, codec.Described{Descriptor: uint64(0x24), Value: codec.List{}}}}, nil)
		case framing.CodeDetach:
			c.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		case framing.CodeClose:
			return
		}
	}
}

// answerAttach tells whether the connection goes on.
func answerAttach(t testing.TB, c *connection, session *session, p framing.Performative, s *scenario) bool {
	props, _ := p.Field(13).(codec.Map)
	ms, _ := codec.AsUint64(props.Get(propDeadline))
	s.recordTimeout(time.Duration(ms) * time.Millisecond)
	act := s.next(t, c.LocalAddr())
	reply := p.With(1, uint32(0)).With(2, !p.Bool(2)).With(9, nil).With(13, nil)
	end := func(cond string) bool {
		var e any
		if cond != "" {
			e = framing.NewErrorValue(cond, "as the case has it", nil)
		}
		c.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true, e}}, nil)
		return true
	}
	up := func() {
		s.answered()
		c.writeFrame(0, reply, nil)
		session.sendFlow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, uint32(0), uint32(0), uint32(10)}})
	}
	switch act {
	case actionAccept:
		up()
	case actionRejectFull:
		s.answered()
		c.writeFrame(0, reply.With(6, nil), nil)
		return end(framing.CondResourceLimitExceeded)
	case actionFail:
		s.answered()
		c.writeFrame(0, reply.With(6, nil), nil)
		return end(framing.CondInternalError)
	case actionHang, actionNoCredit:
		if act == actionNoCredit {
			c.writeFrame(0, reply, nil)
		}
		_, _ = io.Copy(io.Discard, c.reader)
		s.answered()
		return false
	case actionReset:
		s.answered()
		c.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	case actionAcceptAndDetach:
		up()
		return end("")
	case actionAcceptAndRedirect:
		up()
		return end(framing.CondDetachForced)
	case actionAcceptAndReset:
		up()
		c.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	}
	return true
}

func openAMQP(ctx context.Context, address, name string, timeout time.Duration) (string, bool, func() string) {
	c, err := client10.Dial(ctx, "amqp://"+address, &client10.ConnOptions{SASLType: client10.SASLTypeAnonymous(), ContainerID: name})
	if err != nil {
		return "lost", false, nil
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	session, err := c.NewSession(ctx, nil)
	if err != nil {
		return "lost", false, nil
	}
	sender, err := session.NewSender(ctx, "score", &client10.SenderOptions{Name: "a link", Properties: map[string]any{
		propClass: "page", propDeadline: uint32(timeout.Milliseconds()), propGroup: "5c0f6e1a2b3d4c59",
	}})
	var end *client10.Error
	switch {
	case err != nil && !errors.As(err, &end):
		return "lost", false, nil
	case err != nil && end.Condition == client10.ErrCond(framing.CondResourceLimitExceeded):
		_, told := end.Info[infoRetryAfter]
		return "unavailable", told, nil
	case err != nil:
		return "failed", false, nil
	}
	return "up", false, func() string {
		for {
			err := sender.Send(context.Background(), client10.NewMessage([]byte("a note")), nil)
			var gone *client10.LinkError
			switch {
			case err == nil:
				continue
			case !errors.As(err, &gone) || gone.RemoteErr != nil && gone.RemoteErr.Condition == client10.ErrCond(framing.CondConnectionForced):
				return "broken"
			case gone.RemoteErr == nil:
				return "ended"
			case gone.RemoteErr.Condition == client10.ErrCond(framing.CondDetachForced):
				return "moved"
			}
			return gone.Error()
		}
	}
}

// caseResult is how a case went.
type caseResult struct {
	results  []requestResult
	attempts string // outcomes of passes, as counted
	received int    // transactions that came to a server
}

// testRelay is a core with one front and a farm of stand-ins.
type testRelay struct {
	proxy             *proxy.Proxy
	scenario          *scenario
	address           string
	endpoints         []balancer.Endpoint
	endpointAddresses []string
	lastName          atomic.Uint64 // of transactions, handed out
	shutdown          func()        // ends the relay and its servers, and waits for both
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

// newDelayedTestRelay is one that takes no turn before it is told to.
func newDelayedTestRelay(t testing.TB, protocol frontendProtocol, servers int, acts []endpointAction, seats int, turns <-chan struct{}) *testRelay {
	t.Helper()
	set := balancer.Settings{
		Classes:     []balancer.Class{{Name: "page", LatencyObjective: 200 * time.Millisecond, Deadline: clientTimeout}},
		Relays:      1,
		MaxAttempts: 3, MinTick: 2 * time.Millisecond, ConnectTimeout: 400 * time.Millisecond,
		MaxRetryAfter: 2 * time.Second, InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	relay := &testRelay{proxy: proxy.New(set, 1, proxy.NewClock()), scenario: &scenario{actions: acts, ended: make(chan struct{}, 64)}}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range servers {
		l := listen(t)
		relay.endpointAddresses = append(relay.endpointAddresses, l.Addr().String())
		relay.endpoints = append(relay.endpoints, balancer.Endpoint{
			ID: relay.proxy.Endpoints.ID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Weight: 1,
		})
		all.Go(func() { serveAll(t, l, protocol, relay.scenario) })
		context.AfterFunc(ctx, func() { l.Close() })
	}
	relay.proxy.UpdateEndpoints(balancer.ListFull, relay.endpoints, relay.endpointAddresses)
	l := listen(t)
	relay.address = l.Addr().String()
	all.Go(func() {
		<-turns
		_ = relay.proxy.Run(ctx)
	})
	all.Go(func() { _ = protocol.newFrontend(relay.proxy, seats).Serve(ctx, l) })
	relay.shutdown = sync.OnceFunc(func() {
		l.Close()
		cancel()
		all.Wait()
	})
	t.Cleanup(relay.shutdown)
	return relay
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serveAll answers a stand-in's connections until its listener is closed, and
// then ends them.
func serveAll(t testing.TB, l net.Listener, protocol frontendProtocol, s *scenario) {
	var all sync.WaitGroup
	defer all.Wait()
	var mu sync.Mutex
	var open []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		mu.Lock()
		open = append(open, c)
		mu.Unlock()
		all.Go(func() {
			protocol.serveEndpoint(t, c.(*net.TCPConn), s)
			c.Close()
			select {
			case s.ended <- struct{}{}:
			default:
			}
		})
	}
}

// setEndpointState changes the phase of all servers.
func (relay *testRelay) setEndpointState(phase balancer.EndpointState, born time.Duration) {
	relay.endpoints = slices.Clone(relay.endpoints) // what was handed over is the core's
	for i := range relay.endpoints {
		relay.endpoints[i].State, relay.endpoints[i].StartedAt = phase, born
	}
	relay.proxy.UpdateEndpoints(balancer.ListDelta, relay.endpoints, relay.endpointAddresses)
}

// waitIdle waits until no transaction is under way and returns the verdict.
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

// runRequest sees a single transaction through. Its client stays to the end if it is up.
func runRequest(t *testing.T, relay *testRelay, protocol frontendProtocol, timeout time.Duration, meanwhile func()) requestResult {
	t.Helper()
	return runNamedRequest(t, relay, protocol, relay.nextName(), timeout, meanwhile)
}

// nextName is one that no transaction has had.
func (relay *testRelay) nextName() string { return fmt.Sprintf("%016x", relay.lastName.Add(1)) }

func runNamedRequest(t *testing.T, relay *testRelay, protocol frontendProtocol, name string, timeout time.Duration, meanwhile func()) requestResult {
	t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	began := time.Now()
	answer, advice, hold := protocol.open(ctx, relay.address, name, timeout)
	if took := time.Since(began); took > timeout+time.Second {
		t.Errorf("answered after %v, the client gives up after %v", took, timeout)
	}
	s := requestResult{answer: answer, retryAfter: advice}
	if hold != nil {
		if meanwhile != nil {
			meanwhile()
		}
		s.end = hold()
	}
	return s
}

const clientTimeout = 1200 * time.Millisecond

func TestBothFrontsGiveTheSameVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int
		acts    []endpointAction
		run     func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult
		want    caseResult
	}{
		{"served to its end", 2, []endpointAction{actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1", 1}},
		{"busy, then up", 2, []endpointAction{actionRejectFull, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 full=1", 2}},
		{"busy everywhere", 2, []endpointAction{actionRejectFull, actionRejectFull}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "full=2", 2}},
		{"error, then up", 2, []endpointAction{actionFail, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 error=1", 2}},
		{"reset, then up", 2, []endpointAction{actionReset, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 reset=1", 2}},
		{"a hung server, then up", 2, []endpointAction{actionHang, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit, then up", 2, []endpointAction{actionNoCredit, actionAcceptAndDetach}, nil,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit until the deadline", 1, []endpointAction{actionNoCredit}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"hung until the deadline", 1, []endpointAction{actionHang}, nil,
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"sent away by the server", 1, []endpointAction{actionAcceptAndRedirect}, nil,
			caseResult{[]requestResult{{"up", false, "moved"}}, "sent_away=1", 1}},
		// It drains, which the list doesn't say yet: the client would be sent away again.
		{"sent away by the server, and back", 2, []endpointAction{actionAcceptAndRedirect, actionAcceptAndDetach},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				first := runRequest(t, relay, protocol, clientTimeout, nil)
				relay.waitIdle(t, first)
				relay.scenario.mu.Lock()
				relay.scenario.excludedAddress = relay.scenario.lastAddress
				relay.scenario.mu.Unlock()
				return relay.waitIdle(t, first, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"up", false, "moved"}, {"up", false, "ended"}}, "ok=1 sent_away=1", 2}},
		{"the server dies", 1, []endpointAction{actionAcceptAndReset}, nil,
			caseResult{[]requestResult{{"up", false, "broken"}}, "reset=1", 1}},
		{"the relay leaves", 1, []endpointAction{actionAccept},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, func() { relay.proxy.MigrateAll(time.Millisecond) }))
			},
			caseResult{[]requestResult{{"up", false, "moved"}}, "cancelled=1", 1}},
		{"the client leaves a pass that is out", 1, []endpointAction{actionHang}, clientLeaves,
			caseResult{[]requestResult{{"lost", false, ""}}, "cancelled=1", 1}},
		{"nothing goes to a draining server", 2, nil,
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				relay.setEndpointState(balancer.StateDraining, 0)
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "", 0}},
		{"nothing goes to a server that is gone", 2, nil,
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				relay.setEndpointState(balancer.StateGone, 0)
				return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "", 0}},
		// Passed on, it would be turned down by one server after another, each of
		// them blamed for it.
		{"the name of another's open transaction", 2, []endpointAction{actionAccept, actionFail, actionFail}, sameName,
			caseResult{[]requestResult{{"failed", false, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"a client that doesn't wait for its answer", 1, []endpointAction{actionHang},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				v := relay.waitIdle(t, requestResult{answer: protocol.openAndSend(t, relay.address)})
				return caseResult{results: v.results} // a pass may have gone out, or not
			},
			caseResult{[]requestResult{{"failed", false, ""}}, "", 0}},
		{"no seat is free", 1, []endpointAction{actionAccept},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				var late requestResult
				first := runRequest(t, relay, protocol, clientTimeout, func() {
					late = runRequest(t, relay, protocol, clientTimeout, nil)
					relay.proxy.MigrateAll(time.Millisecond)
				})
				return relay.waitIdle(t, late, first)
			},
			caseResult{[]requestResult{{"unavailable", true, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"a crowd that never comes to its point", 1, []endpointAction{actionAcceptAndDetach}, slowClients,
			caseResult{[]requestResult{{"up", false, "ended"}}, "ok=1", 1}},
		{"a client that says it waits for hours", 1, []endpointAction{actionHang},
			func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
				ctx, leave := context.WithTimeout(context.Background(), 4*clientTimeout)
				defer leave()
				answer, advice, _ := protocol.open(ctx, relay.address, relay.nextName(), time.Hour)
				return relay.waitIdle(t, requestResult{answer: answer, retryAfter: advice})
			},
			caseResult{[]requestResult{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"a cold server is spared", 1, []endpointAction{actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach, actionAcceptAndDetach}, clientsAtWarmingEndpoint,
			caseResult{[]requestResult{
				{"unavailable", true, ""}, {"unavailable", true, ""}, {"unavailable", true, ""}, {"up", false, "ended"},
			}, "ok=1", 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, protocol := range protocols {
				t.Run(protocol.name, func(t *testing.T) {
					t.Parallel()
					seats := 64
					if c.name == "no seat is free" {
						seats = 1
					}
					relay := newTestRelayWithSlots(t, protocol, c.servers, c.acts, seats)
					run := c.run
					if run == nil {
						run = func(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
							return relay.waitIdle(t, runRequest(t, relay, protocol, clientTimeout, nil))
						}
					}
					got := run(t, relay, protocol)
					if !slices.Equal(got.results, c.want.results) || got.attempts != c.want.attempts || got.received != c.want.received {
						t.Errorf("got  %+v\nwant %+v", got, c.want)
					}
				})
			}
		})
	}
}

// clientLeaves has the client go while the server says nothing: the pass is
// closed with it.
func clientLeaves(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	ctx, leave := context.WithCancel(context.Background())
	result := make(chan requestResult)
	go func() {
		answer, advice, _ := protocol.open(ctx, relay.address, relay.nextName(), 5*time.Second)
		result <- requestResult{answer: answer, retryAfter: advice}
	}()
	for out := 0; out == 0; time.Sleep(time.Millisecond) { // a poll: the test's own limit bounds it
		relay.scenario.mu.Lock()
		out = relay.scenario.pending
		relay.scenario.mu.Unlock()
	}
	leave()
	s := <-result
	select {
	case <-relay.scenario.ended:
	case <-time.After(2 * time.Second):
		t.Error("the pass is still out though its client has left")
	}
	return relay.waitIdle(t, s)
}

// sameName has a second client come with the name of one that is up.
func sameName(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	var second requestResult
	name := relay.nextName()
	first := runNamedRequest(t, relay, protocol, name, clientTimeout, func() {
		second = runNamedRequest(t, relay, protocol, name, clientTimeout, nil)
		relay.proxy.MigrateAll(time.Millisecond)
	})
	return relay.waitIdle(t, second, first)
}

// sendSlowly dials and says something, a piece at a time, and more to the end. It
// returns how long the front bears that.
func sendSlowly(t *testing.T, address string, pieces []string, more string, every time.Duration) time.Duration {
	began := time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer c.Close()
	c.SetDeadline(began.Add(serverWait))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	}()
	tick := time.NewTicker(max(every, time.Nanosecond))
	defer tick.Stop()
	for most := 64 << 20; most > 0; {
		var part string
		if len(pieces) > 0 {
			part, pieces = pieces[0], pieces[1:]
		} else {
			part = more
		}
		if _, err := io.WriteString(c, part); err != nil {
			break
		}
		most -= len(part)
		select {
		case <-ended:
			return time.Since(began)
		case <-tick.C:
		}
	}
	<-ended
	return time.Since(began)
}

// slowClients has clients come that say nothing, more of them than there is room
// for, and others that never come to their point. All go within 3 s, and a usual
// client is served meanwhile.
func slowClients(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	var all sync.WaitGroup
	for i := range 150 {
		pieces, more, every := protocol.slowPieces[:0], "", 100*time.Millisecond
		switch i % 50 {
		case 0:
			pieces, more = protocol.slowPieces, protocol.slowPieces[len(protocol.slowPieces)-1]
		case 1:
			pieces, more, every = []string{protocol.endless}, strings.Repeat("x", 1<<16), 0
		}
		all.Go(func() {
			if took := sendSlowly(t, relay.address, pieces, more, every); took > 3*time.Second {
				t.Errorf("a client that says %q goes after %v", pieces, took)
			}
		})
	}
	// On a busy machine the client's own first word can be late, and its place be
	// given to another: then it comes again.
	s := requestResult{}
	for try := 0; try < 5 && s.answer != "up"; try++ {
		s = runRequest(t, relay, protocol, clientTimeout, nil)
	}
	all.Wait()
	return relay.waitIdle(t, s)
}

// clientsAtWarmingEndpoint has four clients ask at once for a server that has just
// started. Within the time that could push it over it takes one of them.
func clientsAtWarmingEndpoint(t *testing.T, relay *testRelay, protocol frontendProtocol) caseResult {
	relay.setEndpointState(balancer.StateReady, relay.proxy.Clock.Now()-18*time.Second)
	var all sync.WaitGroup
	got := make([]requestResult, 4)
	for i := range got {
		all.Go(func() { got[i] = runRequest(t, relay, protocol, clientTimeout, nil) })
	}
	all.Wait()
	slices.SortFunc(got, func(a, b requestResult) int { return -strings.Compare(a.answer, b.answer) })
	slices.Reverse(got)
	return relay.waitIdle(t, got...)
}
