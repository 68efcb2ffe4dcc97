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

// behaviour is what a stand-in of an application server does with a transaction.
type behaviour int

const (
	accept   behaviour = iota
	busy               // turns it away
	fault1             // answers with an error
	hang               // takes it and says nothing
	breaks             // takes it and breaks the connection
	noCredit           // attaches it and grants no credit; a line has no such thing and hangs
	bye                // accepts it and ends it at once
	sendAway           // accepts it and sends the client away at once
	dies               // accepts it and breaks the connection
)

// script is what the servers of a case do with one transaction after another,
// whichever of them it comes to. After its end they accept.
type script struct {
	mu    sync.Mutex
	acts  []behaviour
	taken int
	out   int // transactions that are at a server and unanswered
	most  int // of them at a time
	ends  chan struct{}
	last  string        // the address that the last transaction came to
	spare string        // none may come to this one
	waits time.Duration // that the last was told the relay waits
	hold  func()        // what a server waits for before it does anything; nil: nothing. Set before the first comes
}

func (s *script) next(t testing.TB, at net.Addr) behaviour {
	act := s.takes(t, at)
	if s.hold != nil {
		s.hold()
	}
	return act
}

func (s *script) takes(t testing.TB, at net.Addr) behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last = at.String(); s.last == s.spare {
		t.Errorf("a transaction came to %s", s.last)
	}
	s.taken++
	s.out++
	s.most = max(s.most, s.out)
	if len(s.acts) < s.taken {
		return accept
	}
	return s.acts[s.taken-1]
}

// told notes how long a server was told that the relay waits.
func (s *script) told(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = wait
}

func (s *script) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out--
}

// seen is how a transaction went at the client.
type seen struct {
	answer string // up, unavailable, failed or lost
	advice bool   // it was told when to come back
	end    string // of a transaction that was up: ended, moved or broken
}

// server is a front.
type server interface {
	Serve(context.Context, net.Listener) error
}

// wire is one of the two ways to speak.
type wire struct {
	name  string
	front func(k *proxy.Proxy, seats int) server
	// server answers one connection to an application server.
	server func(t testing.TB, c *net.TCPConn, s *script)
	// open begins a transaction of a name and waits for its answer; the client
	// leaves with ctx. hold waits for the end of one that is up.
	open func(ctx context.Context, address, name string, giveUp time.Duration) (answer string, advice bool, hold func() string)
	// hasty begins a transaction, goes on at once as if it were up, and returns
	// the answer.
	hasty func(t *testing.T, address string) string
	// slow and endless are what clients send that never come to their point.
	slow    []string
	endless string
}

var wires = []wire{
	{name: "line", front: func(k *proxy.Proxy, seats int) server {
		return &line.Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
	}, server: lineServer, open: lineOpen, hasty: lineHasty,
		slow: []string{"PING\r\n", "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=", "p"}, endless: "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c="},
	{name: "amqp", front: func(k *proxy.Proxy, seats int) server {
		return &Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
	}, server: amqpServer, open: amqpOpen, hasty: amqpHasty,
		slow: []string{string(framing.ProtocolHeaderAMQP[:]), "\x00\x00\x10\x00\x02\x00\x00\x00", "p"}, endless: string(framing.ProtocolHeaderAMQP[:]) + "\x7f\xff\xff\xff\x02\x00\x00\x00"},
}

func lineServer(t testing.TB, c *net.TCPConn, s *script) {
	r := bufio.NewReader(c)
	text, err := r.ReadString('\n')
	if err != nil {
		return
	}
	if !strings.HasPrefix(text, "OPEN ") {
		t.Errorf("a server was told %q", text)
	}
	_, told, _ := strings.Cut(text, ",d=")
	told, _, _ = strings.Cut(told, ",")
	ms, _ := strconv.Atoi(told)
	s.told(time.Duration(ms) * time.Millisecond)
	act := s.next(t, c.LocalAddr())
	up := func(more string) { s.answered(); io.WriteString(c, "UP r1\r\n"+more) }
	switch act {
	case accept:
		up("")
		_, _ = io.Copy(c, r)
	case busy:
		s.answered()
		io.WriteString(c, "BUSY\r\n")
	case fault1:
		s.answered()
		io.WriteString(c, "ERR\r\n")
	case hang, noCredit:
		_, _ = io.Copy(io.Discard, r)
		s.answered()
	case breaks:
		s.answered()
		c.SetLinger(0)
	case bye:
		up("BYE\r\n")
	case sendAway:
		up("MOVE\r\n")
	case dies:
		up("")
		c.SetLinger(0)
	}
}

func lineOpen(ctx context.Context, address, name string, giveUp time.Duration) (string, bool, func() string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "lost", false, nil
	}
	context.AfterFunc(ctx, func() { c.Close() })
	fmt.Fprintf(c, "OPEN %s 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59\r\n", name, giveUp.Milliseconds())
	r := bufio.NewReader(c)
	text, err := r.ReadString('\n')
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
			text, err := r.ReadString('\n')
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

func lineHasty(t *testing.T, address string) string {
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

func amqpHasty(t *testing.T, address string) string {
	c := dialRaw(t, address).begin()
	c.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(1200)})
	for i := range uint32(200) {
		c.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(1), i, []byte("t")}}, nil)
	}
	c.want(framing.CodeAttach, 0, "")
	c.want(framing.CodeDetach, 2, framing.CondTransferLimitExceeded)
	return "failed"
}

const serverWait = 5 * time.Second

// greetClient is a stand-in's half of the greeting, as the standard has it, up to
// the opens.
func greetClient(t testing.TB, tcp streamConn) (*connection, bool) {
	c := newConnection(tcp)
	h, err := c.readProtocolHeader(serverWait)
	if err != nil {
		return nil, false
	}
	if h != framing.ProtocolHeaderSASL {
		t.Errorf("a server was greeted with %q", h)
	}
	c.writeProtocolHeader(framing.ProtocolHeaderSASL)
	want, offered := "ANONYMOUS", codec.Array{codec.Symbol("ANONYMOUS")}
	if _, is := tcp.(*tls.Conn); is { // to which the relay has shown a certificate
		want, offered = "EXTERNAL", codec.Array{codec.Symbol("EXTERNAL"), codec.Symbol("ANONYMOUS")}
	}
	c.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{offered}})
	f, err := c.readFrame(framing.TypeSASL, serverWait)
	if err != nil {
		return nil, false // the relay may give a pass up at any time, as of a client that has gone
	}
	if f.Code != framing.CodeSASLInit || codec.AsString(f.Field(0)) != want {
		t.Errorf("a server got %v for an init", f)
		return nil, false
	}
	c.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
	_, _ = c.readProtocolHeader(serverWait)
	c.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	return c, true
}

// opened answers the frames that open a stand-in's connection and its session.
func opened(c *connection, s *session, f framing.Frame) {
	switch f.Code {
	case framing.CodeOpen:
		c.applyOpen(f.Performative)
		c.writeFrame(0, newOpen("server"), nil)
	case framing.CodeBegin:
		_ = s.applyBegin(f.Performative)
		c.writeFrame(0, s.newBegin(uint16(0)), nil)
	}
}

// amqpServer does as the script says.
func amqpServer(t testing.TB, tcp *net.TCPConn, s *script) { amqpServerOver(t, tcp, s) }

func amqpServerOver(t testing.TB, over streamConn, s *script) {
	c, ok := greetClient(t, over)
	if !ok {
		return
	}
	session := newSession(c, 0)
	for {
		f, err := c.readFrame(framing.TypeAMQP, serverWait)
		if err != nil {
			return
		}
		switch f.Code {
		case framing.CodeOpen, framing.CodeBegin:
			opened(c, session, f)
		case framing.CodeAttach:
			if !amqpAttached(t, c, session, f.Performative, s) {
				return
			}
		case framing.CodeTransfer:
			if f.Bool(5) {
				continue
			}
			c.writeFrame(0, framing.Performative{Code: framing.CodeDisposition, Fields: codec.List{true, f.Field(1), nil, true, codec.Described{Descriptor: uint64(0x24), Value: codec.List{}}}}, nil)
		case framing.CodeDetach:
			c.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		case framing.CodeClose:
			return
		}
	}
}

// amqpAttached tells whether the connection goes on.
func amqpAttached(t testing.TB, c *connection, session *session, p framing.Performative, s *script) bool {
	props, _ := p.Field(13).(codec.Map)
	ms, _ := codec.AsUint64(props.Get(propDeadline))
	s.told(time.Duration(ms) * time.Millisecond)
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
	case accept:
		up()
	case busy:
		s.answered()
		c.writeFrame(0, reply.With(6, nil), nil)
		return end(framing.CondResourceLimitExceeded)
	case fault1:
		s.answered()
		c.writeFrame(0, reply.With(6, nil), nil)
		return end(framing.CondInternalError)
	case hang, noCredit:
		if act == noCredit {
			c.writeFrame(0, reply, nil)
		}
		_, _ = io.Copy(io.Discard, c.reader)
		s.answered()
		return false
	case breaks:
		s.answered()
		c.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	case bye:
		up()
		return end("")
	case sendAway:
		up()
		return end(framing.CondDetachForced)
	case dies:
		up()
		c.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	}
	return true
}

func amqpOpen(ctx context.Context, address, name string, giveUp time.Duration) (string, bool, func() string) {
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
		propClass: "page", propDeadline: uint32(giveUp.Milliseconds()), propGroup: "5c0f6e1a2b3d4c59",
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

// verdict is how a case went.
type verdict struct {
	seen   []seen
	passes string // outcomes of passes, as counted
	taken  int    // transactions that came to a server
}

// rig is a core with one front and a farm of stand-ins.
type rig struct {
	core    *proxy.Proxy
	script  *script
	address string
	farm    []balancer.Endpoint
	names   []string
	handed  atomic.Uint64 // of transactions, handed out
	end     func()        // ends the relay and its servers, and waits for both
}

func newRig(t testing.TB, w wire, servers int, acts []behaviour) *rig {
	return newSeatedRig(t, w, servers, acts, 64)
}

func newSeatedRig(t testing.TB, w wire, servers int, acts []behaviour, seats int) *rig {
	t.Helper()
	now := make(chan struct{})
	close(now)
	return newLateRig(t, w, servers, acts, seats, now)
}

// newLateRig is one that takes no turn before it is told to.
func newLateRig(t testing.TB, w wire, servers int, acts []behaviour, seats int, turns <-chan struct{}) *rig {
	t.Helper()
	set := balancer.Settings{
		Classes:     []balancer.Class{{Name: "page", LatencyObjective: 200 * time.Millisecond, Deadline: patience}},
		Relays:      1,
		MaxAttempts: 3, MinTick: 2 * time.Millisecond, ConnectTimeout: 400 * time.Millisecond,
		MaxRetryAfter: 2 * time.Second, InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	r := &rig{core: proxy.New(set, 1, proxy.NewClock()), script: &script{acts: acts, ends: make(chan struct{}, 64)}}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range servers {
		l := listen(t)
		r.names = append(r.names, l.Addr().String())
		r.farm = append(r.farm, balancer.Endpoint{
			ID: r.core.Endpoints.ID(fmt.Sprintf("s-%d", i+1)), State: balancer.StateReady, Weight: 1,
		})
		all.Go(func() { serveAll(t, l, w, r.script) })
		context.AfterFunc(ctx, func() { l.Close() })
	}
	r.core.UpdateEndpoints(balancer.ListFull, r.farm, r.names)
	l := listen(t)
	r.address = l.Addr().String()
	all.Go(func() {
		<-turns
		_ = r.core.Run(ctx)
	})
	all.Go(func() { _ = w.front(r.core, seats).Serve(ctx, l) })
	r.end = sync.OnceFunc(func() {
		l.Close()
		cancel()
		all.Wait()
	})
	t.Cleanup(r.end)
	return r
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
func serveAll(t testing.TB, l net.Listener, w wire, s *script) {
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
			w.server(t, c.(*net.TCPConn), s)
			c.Close()
			select {
			case s.ends <- struct{}{}:
			default:
			}
		})
	}
}

// list changes the phase of all servers.
func (r *rig) list(phase balancer.EndpointState, born time.Duration) {
	r.farm = slices.Clone(r.farm) // what was handed over is the core's
	for i := range r.farm {
		r.farm[i].State, r.farm[i].StartedAt = phase, born
	}
	r.core.UpdateEndpoints(balancer.ListDelta, r.farm, r.names)
}

// settled waits until no transaction is under way and returns the verdict.
func (r *rig) settled(t *testing.T, all ...seen) verdict {
	t.Helper()
	for late := time.Now().Add(5 * time.Second); r.core.Requests.Len() > 0; {
		if time.Now().After(late) {
			t.Fatal("a transaction is under way long after its end")
		}
		time.Sleep(time.Millisecond) // a poll with a bound: nothing waits for it
	}
	var passes []string
	for i, name := range registry.StatusNames {
		if n := r.core.Counters.Attempts(balancer.AttemptStatus(i)); n > 0 {
			passes = append(passes, fmt.Sprintf("%s=%d", name, n))
		}
	}
	r.script.mu.Lock()
	defer r.script.mu.Unlock()
	if r.script.most > 1 && len(all) == 1 {
		t.Errorf("%d passes were out at once", r.script.most)
	}
	return verdict{seen: all, passes: strings.Join(passes, " "), taken: r.script.taken}
}

// one sees a single transaction through. Its client stays to the end if it is up.
func one(t *testing.T, r *rig, w wire, giveUp time.Duration, meanwhile func()) seen {
	t.Helper()
	return named(t, r, w, r.name(), giveUp, meanwhile)
}

// name is one that no transaction has had.
func (r *rig) name() string { return fmt.Sprintf("%016x", r.handed.Add(1)) }

func named(t *testing.T, r *rig, w wire, name string, giveUp time.Duration, meanwhile func()) seen {
	t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	began := time.Now()
	answer, advice, hold := w.open(ctx, r.address, name, giveUp)
	if took := time.Since(began); took > giveUp+time.Second {
		t.Errorf("answered after %v, the client gives up after %v", took, giveUp)
	}
	s := seen{answer: answer, advice: advice}
	if hold != nil {
		if meanwhile != nil {
			meanwhile()
		}
		s.end = hold()
	}
	return s
}

const patience = 1200 * time.Millisecond

func TestBothFrontsGiveTheSameVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int
		acts    []behaviour
		run     func(t *testing.T, r *rig, w wire) verdict
		want    verdict
	}{
		{"served to its end", 2, []behaviour{bye}, nil,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1", 1}},
		{"busy, then up", 2, []behaviour{busy, bye}, nil,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1 full=1", 2}},
		{"busy everywhere", 2, []behaviour{busy, busy}, nil,
			verdict{[]seen{{"unavailable", true, ""}}, "full=2", 2}},
		{"error, then up", 2, []behaviour{fault1, bye}, nil,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1 error=1", 2}},
		{"reset, then up", 2, []behaviour{breaks, bye}, nil,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1 reset=1", 2}},
		{"a hung server, then up", 2, []behaviour{hang, bye}, nil,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit, then up", 2, []behaviour{noCredit, bye}, nil,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1 timeout=1", 2}},
		{"no credit until the deadline", 1, []behaviour{noCredit}, nil,
			verdict{[]seen{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"hung until the deadline", 1, []behaviour{hang}, nil,
			verdict{[]seen{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"sent away by the server", 1, []behaviour{sendAway}, nil,
			verdict{[]seen{{"up", false, "moved"}}, "sent_away=1", 1}},
		// It drains, which the list doesn't say yet: the client would be sent away again.
		{"sent away by the server, and back", 2, []behaviour{sendAway, bye},
			func(t *testing.T, r *rig, w wire) verdict {
				first := one(t, r, w, patience, nil)
				r.settled(t, first)
				r.script.mu.Lock()
				r.script.spare = r.script.last
				r.script.mu.Unlock()
				return r.settled(t, first, one(t, r, w, patience, nil))
			},
			verdict{[]seen{{"up", false, "moved"}, {"up", false, "ended"}}, "ok=1 sent_away=1", 2}},
		{"the server dies", 1, []behaviour{dies}, nil,
			verdict{[]seen{{"up", false, "broken"}}, "reset=1", 1}},
		{"the relay leaves", 1, []behaviour{accept},
			func(t *testing.T, r *rig, w wire) verdict {
				return r.settled(t, one(t, r, w, patience, func() { r.core.MigrateAll(time.Millisecond) }))
			},
			verdict{[]seen{{"up", false, "moved"}}, "cancelled=1", 1}},
		{"the client leaves a pass that is out", 1, []behaviour{hang}, clientLeaves,
			verdict{[]seen{{"lost", false, ""}}, "cancelled=1", 1}},
		{"nothing goes to a draining server", 2, nil,
			func(t *testing.T, r *rig, w wire) verdict {
				r.list(balancer.StateDraining, 0)
				return r.settled(t, one(t, r, w, patience, nil))
			},
			verdict{[]seen{{"unavailable", true, ""}}, "", 0}},
		{"nothing goes to a server that is gone", 2, nil,
			func(t *testing.T, r *rig, w wire) verdict {
				r.list(balancer.StateGone, 0)
				return r.settled(t, one(t, r, w, patience, nil))
			},
			verdict{[]seen{{"unavailable", true, ""}}, "", 0}},
		// Passed on, it would be turned down by one server after another, each of
		// them blamed for it.
		{"the name of another's open transaction", 2, []behaviour{accept, fault1, fault1}, sameName,
			verdict{[]seen{{"failed", false, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"a client that doesn't wait for its answer", 1, []behaviour{hang},
			func(t *testing.T, r *rig, w wire) verdict {
				v := r.settled(t, seen{answer: w.hasty(t, r.address)})
				return verdict{seen: v.seen} // a pass may have gone out, or not
			},
			verdict{[]seen{{"failed", false, ""}}, "", 0}},
		{"no seat is free", 1, []behaviour{accept},
			func(t *testing.T, r *rig, w wire) verdict {
				var late seen
				first := one(t, r, w, patience, func() {
					late = one(t, r, w, patience, nil)
					r.core.MigrateAll(time.Millisecond)
				})
				return r.settled(t, late, first)
			},
			verdict{[]seen{{"unavailable", true, ""}, {"up", false, "moved"}}, "cancelled=1", 1}},
		{"a crowd that never comes to its point", 1, []behaviour{bye}, rudeCrowd,
			verdict{[]seen{{"up", false, "ended"}}, "ok=1", 1}},
		{"a client that says it waits for hours", 1, []behaviour{hang},
			func(t *testing.T, r *rig, w wire) verdict {
				ctx, leave := context.WithTimeout(context.Background(), 4*patience)
				defer leave()
				answer, advice, _ := w.open(ctx, r.address, r.name(), time.Hour)
				return r.settled(t, seen{answer: answer, advice: advice})
			},
			verdict{[]seen{{"unavailable", true, ""}}, "timeout=1", 1}},
		{"a cold server is spared", 1, []behaviour{bye, bye, bye, bye, bye, bye}, crowdAtColdServer,
			verdict{[]seen{
				{"unavailable", true, ""}, {"unavailable", true, ""}, {"unavailable", true, ""}, {"up", false, "ended"},
			}, "ok=1", 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, w := range wires {
				t.Run(w.name, func(t *testing.T) {
					t.Parallel()
					seats := 64
					if c.name == "no seat is free" {
						seats = 1
					}
					r := newSeatedRig(t, w, c.servers, c.acts, seats)
					run := c.run
					if run == nil {
						run = func(t *testing.T, r *rig, w wire) verdict {
							return r.settled(t, one(t, r, w, patience, nil))
						}
					}
					got := run(t, r, w)
					if !slices.Equal(got.seen, c.want.seen) || got.passes != c.want.passes || got.taken != c.want.taken {
						t.Errorf("got  %+v\nwant %+v", got, c.want)
					}
				})
			}
		})
	}
}

// clientLeaves has the client go while the server says nothing: the pass is
// closed with it.
func clientLeaves(t *testing.T, r *rig, w wire) verdict {
	ctx, leave := context.WithCancel(context.Background())
	result := make(chan seen)
	go func() {
		answer, advice, _ := w.open(ctx, r.address, r.name(), 5*time.Second)
		result <- seen{answer: answer, advice: advice}
	}()
	for out := 0; out == 0; time.Sleep(time.Millisecond) { // a poll: the test's own limit bounds it
		r.script.mu.Lock()
		out = r.script.out
		r.script.mu.Unlock()
	}
	leave()
	s := <-result
	select {
	case <-r.script.ends:
	case <-time.After(2 * time.Second):
		t.Error("the pass is still out though its client has left")
	}
	return r.settled(t, s)
}

// sameName has a second client come with the name of one that is up.
func sameName(t *testing.T, r *rig, w wire) verdict {
	var second seen
	name := r.name()
	first := named(t, r, w, name, patience, func() {
		second = named(t, r, w, name, patience, nil)
		r.core.MigrateAll(time.Millisecond)
	})
	return r.settled(t, second, first)
}

// rude dials and says something, a piece at a time, and more to the end. It
// returns how long the front bears that.
func rude(t *testing.T, address string, pieces []string, more string, every time.Duration) time.Duration {
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

// rudeCrowd has clients come that say nothing, more of them than there is room
// for, and others that never come to their point. All go within 3 s, and a usual
// client is served meanwhile.
func rudeCrowd(t *testing.T, r *rig, w wire) verdict {
	var all sync.WaitGroup
	for i := range 150 {
		pieces, more, every := w.slow[:0], "", 100*time.Millisecond
		switch i % 50 {
		case 0:
			pieces, more = w.slow, w.slow[len(w.slow)-1]
		case 1:
			pieces, more, every = []string{w.endless}, strings.Repeat("x", 1<<16), 0
		}
		all.Go(func() {
			if took := rude(t, r.address, pieces, more, every); took > 3*time.Second {
				t.Errorf("a client that says %q goes after %v", pieces, took)
			}
		})
	}
	// On a busy machine the client's own first word can be late, and its place be
	// given to another: then it comes again.
	s := seen{}
	for try := 0; try < 5 && s.answer != "up"; try++ {
		s = one(t, r, w, patience, nil)
	}
	all.Wait()
	return r.settled(t, s)
}

// crowdAtColdServer has four clients ask at once for a server that has just
// started. Within the time that could push it over it takes one of them.
func crowdAtColdServer(t *testing.T, r *rig, w wire) verdict {
	r.list(balancer.StateReady, r.core.Clock.Now()-18*time.Second)
	var all sync.WaitGroup
	got := make([]seen, 4)
	for i := range got {
		all.Go(func() { got[i] = one(t, r, w, patience, nil) })
	}
	all.Wait()
	slices.SortFunc(got, func(a, b seen) int { return -strings.Compare(a.answer, b.answer) })
	slices.Reverse(got)
	return r.settled(t, got...)
}
