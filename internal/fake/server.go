package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp"
)

// ServerMode is what a server does with transactions that come.
type ServerMode string

// The modes of a server.
const (
	ModeAccept   ServerMode = "accept"
	ModeHang     ServerMode = "hang"      // takes them and says nothing
	ModeNoCredit ServerMode = "no-credit" // attaches links and grants no credit; a line has no such thing and hangs
	ModeBusy     ServerMode = "busy"      // turns them away
	ModeError    ServerMode = "error"     // answers with an error
	ModeBreak    ServerMode = "break"     // takes them and breaks the connection
)

// Server is a stand-in of an application server. It speaks both wires.
type Server struct {
	Name      string
	Log       *EventLog
	SetupTime time.Duration // that a set-up takes
	MaxConns  int           // connections at a time; more are turned away
	Load      time.Duration // work a second that it tells of each connection
	Plain     bool          // it speaks AMQP without the security layer
	Probes    bool          // it answers PING with PONG
	// Capacity is what it can do; line connections alone count. With it the server tells delays instead
	// of loads.
	Capacity       Capacity
	ExtraListeners []string // further line doors, one for each relay beyond the first

	mu           sync.Mutex
	addresses    [2]string // of the line and the AMQP listener
	listeners    []net.Listener
	conns        map[net.Conn]context.CancelFunc
	mode         ServerMode
	delay        time.Duration // of an echo
	draining     bool
	established  int // transactions that stand
	workload     workload
	stop         context.CancelFunc // of what goes on while it is up
	delayReports delayReports
	running      sync.WaitGroup
}

// Start opens the server's doors: line at one address and AMQP at another, which may
// be empty. After Stop it can be started again, at the same addresses.
func (s *Server) Start(line, amqp10 string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.draining = ModeAccept, 0, false
	s.conns = make(map[net.Conn]context.CancelFunc)
	again := s.stop != nil
	s.workload = workload{Capacity: s.Capacity, groups: make(map[string]int)}
	if again {
		s.workload.startedAt = time.Now()
	}
	s.delayReports.byListener = nil
	for i, address := range append([]string{line, amqp10}, s.ExtraListeners...) {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range s.listeners {
				l.Close()
			}
			s.listeners = nil
			return fmt.Errorf("stand-in %s: %w", s.Name, err)
		}
		s.listeners = append(s.listeners, l)
		serve := func(ctx context.Context, c *net.TCPConn) { s.serveLine(ctx, c, i) }
		switch i {
		case 0:
			s.addresses[0] = l.Addr().String()
		case 1:
			s.addresses[1] = l.Addr().String()
			serve = s.serveAMQP
		default:
			s.ExtraListeners[i-2] = l.Addr().String()
		}
		s.running.Go(func() { s.accept(l, serve) })
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if s.Capacity.Work > 0 {
		s.running.Go(func() { s.reportDelays(ctx) })
	}
	return nil
}

// Address is where the line door is; AMQP where the other is.
func (s *Server) Address() string { return s.listenAddress(0) }

// AMQP is where the AMQP door is.
func (s *Server) AMQP() string { return s.listenAddress(1) }

func (s *Server) listenAddress(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[i]
}

// Set changes what the server does with transactions that come from now on, and how
// long echoes take.
func (s *Server) Set(m ServerMode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = m, delay
}

// Drain has the server send its clients away, a part of them every tenth of a second.
// It takes nothing new.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Stop kills the server: its connections break, and new ones are refused.
func (s *Server) Stop() {
	s.Log.addChange(EndpointChange{At: time.Now(), Endpoint: s.Name, State: Killed})
	s.mu.Lock()
	if s.stop != nil {
		s.stop()
	}
	for _, l := range s.listeners {
		l.Close()
	}
	s.listeners = nil
	for c, cancel := range s.conns {
		cancel()
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept(l net.Listener, serve func(context.Context, *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		if s.listeners == nil { // it was stopped meanwhile
			s.mu.Unlock()
			cancel()
			c.Close()
			continue
		}
		s.conns[c] = cancel
		s.mu.Unlock()
		s.running.Go(func() {
			defer cancel()
			serve(ctx, c.(*net.TCPConn))
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// admit is what the server does with one transaction, after the time of a set-up.
func (s *Server) admit(ctx context.Context) ServerMode {
	s.mu.Lock()
	m, wait := s.mode, s.SetupTime
	if m == ModeAccept && (s.draining || s.MaxConns > 0 && s.established >= s.MaxConns) {
		m = ModeBusy
	}
	if m == ModeAccept {
		s.established++
	}
	s.mu.Unlock()
	if m == ModeAccept && wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return m
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established--
}

// echo waits as long as an answer takes now to what took so long to here. It tells whether there is one.
func (s *Server) echo(ctx context.Context, took time.Duration) bool {
	s.mu.Lock()
	m, delay := s.mode, s.delay
	if own := s.workload.delay(time.Now()); own > 0 {
		delay += own - took // from when it was said: notes that wait behind one another wait at one time
	}
	s.mu.Unlock()
	if m == ModeHang {
		return false
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	return true
}

// shouldMigrate tells whether a connection is to be sent away now: a part of them is,
// each time that it is asked of all.
func (s *Server) shouldMigrate(seq int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && seq%4 == 0
}

const (
	drainInterval = 100 * time.Millisecond
	readTimeout   = 30 * time.Second
)

// serveLine serves one connection of the platform's protocol that came to a door.
func (s *Server) serveLine(ctx context.Context, c *net.TCPConn, door int) {
	r := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(readTimeout))
	first, err := r.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(first)
	if len(words) != 4 || words[0] != "OPEN" {
		answer := "SYNTAX\r\n"
		if len(words) == 1 && (words[0] == "PING" || words[0] == "STATS") {
			answer = "NO\r\n"
			if s.Probes {
				answer = "PONG\r\n"
			}
		}
		io.WriteString(c, answer)
		return
	}
	p := Attempt{Server: s.Name, Frontend: "line", Name: words[1], At: time.Now()}
	group := ""
	for field := range strings.SplitSeq(words[3], ",") {
		switch key, value, _ := strings.Cut(field, "="); key {
		case "c":
			p.Class = value
		case "g":
			group = value
		case "d":
			ms, _ := strconv.Atoi(value)
			p.TimeLimit = time.Duration(ms) * time.Millisecond
		}
	}
	attempt := s.Log.addAttempt(p)
	defer s.recordClosed(attempt)
	answered := func(what string) {
		s.Log.update(func() { attempt.Answer, attempt.Answered = what, time.Now() })
	}
	switch s.admit(ctx) {
	case ModeHang, ModeNoCredit:
		_, _ = io.Copy(io.Discard, r)
		return
	case ModeBusy:
		answered("busy")
		io.WriteString(c, "BUSY\r\n")
		return
	case ModeError:
		answered("error")
		io.WriteString(c, "ERR\r\n")
		return
	case ModeBreak:
		answered("broken")
		c.SetLinger(0)
		return
	}
	defer s.release()
	// What came while it was set up: the relay may have gone.
	if ctx.Err() != nil {
		return
	}
	answered("up")
	var mu sync.Mutex // of writes
	write := func(text string) error {
		mu.Lock()
		defer mu.Unlock()
		c.SetWriteDeadline(time.Now().Add(time.Second))
		_, err := io.WriteString(c, text)
		return err
	}
	ended := func(how string) {
		s.Log.update(func() {
			if attempt.End == "" {
				attempt.End, attempt.Ended = how, time.Now()
			}
		})
	}
	if write("UP r-"+s.Name+"\r\n") != nil {
		ended("gone")
		return
	}
	if s.Capacity.Work > 0 {
		s.delayReports.add(door, &write)
		defer s.delayReports.remove(door, &write)
		s.updateWorkload(p.Class, group, true)
		defer s.updateWorkload(p.Class, group, false)
	} else if s.Load > 0 {
		_ = write(fmt.Sprintf("LOAD %d\r\n", s.Load.Microseconds()))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.running.Go(func() {
		s.awaitDrain(ctx, func() {
			ended("away")
			_ = write("MOVE\r\n")
			c.CloseWrite()
		})
	})
	for seq := 1; ; seq++ {
		c.SetReadDeadline(time.Now().Add(readTimeout))
		text, err := r.ReadString('\n')
		if err != nil {
			switch {
			case ctx.Err() != nil:
				ended("broken")
			case errors.Is(err, io.EOF):
				ended("bye")
				_ = write("BYE\r\n")
			default:
				ended("gone")
			}
			return
		}
		took := s.checkNote(attempt, text, seq)
		if s.echo(ctx, took) && write(fmt.Sprintf("M %d %s", time.Now().UnixMicro(), text)) != nil {
			ended("gone")
			return
		}
	}
}

// updateWorkload books a connection that stands, or takes it off.
func (s *Server) updateWorkload(class, group string, stands bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stands {
		s.workload.add(time.Now(), class, group)
	} else {
		s.workload.remove(time.Now(), class, group)
	}
}

// checkNote holds a note of a client against what it should be. It returns how long it took to here.
func (s *Server) checkNote(attempt *Attempt, text string, seq int) time.Duration {
	took, ok := readNote(strings.TrimRight(text, "\r\n"), seq, attempt.Name)
	s.Log.update(func() {
		attempt.MaxHeld = max(attempt.MaxHeld, took)
		if !ok {
			attempt.Garbled++
		}
	})
	return took
}

// recordClosed notes that a pass's connection is at an end.
func (s *Server) recordClosed(attempt *Attempt) {
	s.Log.update(func() { attempt.Closed = time.Now() })
}

// awaitDrain calls away once a connection is to be sent away, as its server leaves.
func (s *Server) awaitDrain(ctx context.Context, away func()) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for seq := int(time.Now().UnixNano() / 1000 % 4); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.shouldMigrate(seq) {
			away()
			return
		}
	}
}

// serveAMQP serves one connection of AMQP 1.0, and the sessions on it side by side.
func (s *Server) serveAMQP(ctx context.Context, c *net.TCPConn) {
	conn, err := amqp.AcceptPeerConn(c, readTimeout, s.Plain)
	if err != nil {
		return
	}
	var all sync.WaitGroup
	defer all.Wait()
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	breaks := func() { // and all that share the connection
		cancel()
		c.SetLinger(0)
		c.Close()
	}
	for p := conn.Session(); p != nil; p = conn.Session() {
		all.Go(func() { s.serveSession(ctx, p, breaks) })
	}
}

// serveSession serves one session, which is one transaction.
func (s *Server) serveSession(ctx context.Context, p *amqp.Peer, breaks func()) {
	defer p.End()
	var attempt *Attempt
	ended := func(how string) {
		s.Log.update(func() {
			if attempt != nil && attempt.Answer == "up" && attempt.End == "" {
				attempt.End, attempt.Ended = how, time.Now()
			}
		})
	}
	var delivered uint32
	for {
		e, err := p.Next()
		if err != nil {
			if ctx.Err() != nil {
				ended("broken")
			} else {
				ended("gone")
			}
			return
		}
		switch e.Kind {
		case amqp.PeerAttached:
			class, _ := e.Properties["class"].(string)
			ms, _ := amqp.WholeNumber(e.Properties["give-up-ms"])
			attempt = s.Log.addAttempt(Attempt{Server: s.Name, Frontend: "amqp", Name: e.Name, Class: class, At: time.Now(),
				TimeLimit: time.Duration(ms) * time.Millisecond})
			defer s.recordClosed(attempt)
			answered := func(what string) {
				s.Log.update(func() { attempt.Answer, attempt.Answered = what, time.Now() })
			}
			switch s.admit(ctx) {
			case ModeNoCredit:
				p.Attach(e, 0)
				p.DiscardInput()
				return
			case ModeHang:
				p.DiscardInput()
				return
			case ModeBusy:
				answered("busy")
				p.RejectAttach(e, amqp.ConditionResourceLimit)
				continue
			case ModeError:
				answered("error")
				p.RejectAttach(e, amqp.ConditionInternalError)
				continue
			case ModeBreak:
				answered("broken")
				breaks()
				return
			}
			defer s.release()
			if ctx.Err() != nil {
				return
			}
			answered("up")
			if p.Attach(e, 100) != nil {
				ended("gone")
				return
			}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			s.running.Go(func() {
				s.awaitDrain(ctx, func() {
					ended("away")
					p.Detach(e.Handle, amqp.ConditionDetachForced)
				})
			})
		case amqp.PeerDelivered:
			took := s.checkNote(attempt, string(e.Payload), int(delivered)+1)
			delivered++
			if !s.echo(ctx, took) {
				continue
			}
			if !e.Settled && p.Settle(e.Delivery) != nil {
				ended("gone")
				return
			}
			if delivered%50 == 0 {
				p.Credit(e.Handle, delivered, 100)
			}
		case amqp.PeerDetached:
			ended("bye")
			p.Detach(e.Handle, "")
		}
	}
}
