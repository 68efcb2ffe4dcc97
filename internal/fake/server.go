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

	mu      sync.Mutex
	address [2]string // of the line and the AMQP listener
	open    []net.Listener
	conns   map[net.Conn]context.CancelFunc
	mode    ServerMode
	delay   time.Duration // of an echo
	leaving bool
	up      int // transactions that stand
	burden  burden
	stop    context.CancelFunc // of what goes on while it is up
	told    told
	all     sync.WaitGroup
}

// Start opens the server's doors: line at one address and AMQP at another, which may
// be empty. After Stop it can be started again, at the same addresses.
func (s *Server) Start(line, amqp10 string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.leaving = ModeAccept, 0, false
	s.conns = make(map[net.Conn]context.CancelFunc)
	again := s.stop != nil
	s.burden = burden{Capacity: s.Capacity, groups: make(map[string]int)}
	if again {
		s.burden.born = time.Now()
	}
	s.told.doors = nil
	for i, address := range append([]string{line, amqp10}, s.ExtraListeners...) {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range s.open {
				l.Close()
			}
			s.open = nil
			return fmt.Errorf("stand-in %s: %w", s.Name, err)
		}
		s.open = append(s.open, l)
		serve := func(ctx context.Context, c *net.TCPConn) { s.line(ctx, c, i) }
		switch i {
		case 0:
			s.address[0] = l.Addr().String()
		case 1:
			s.address[1] = l.Addr().String()
			serve = s.amqp
		default:
			s.ExtraListeners[i-2] = l.Addr().String()
		}
		s.all.Go(func() { s.accept(l, serve) })
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if s.Capacity.Work > 0 {
		s.all.Go(func() { s.tells(ctx) })
	}
	return nil
}

// Address is where the line door is; AMQP where the other is.
func (s *Server) Address() string { return s.door(0) }

// AMQP is where the AMQP door is.
func (s *Server) AMQP() string { return s.door(1) }

func (s *Server) door(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address[i]
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
	s.leaving = true
}

// Stop kills the server: its connections break, and new ones are refused.
func (s *Server) Stop() {
	s.Log.tell(EndpointChange{At: time.Now(), Endpoint: s.Name, State: Killed})
	s.mu.Lock()
	if s.stop != nil {
		s.stop()
	}
	for _, l := range s.open {
		l.Close()
	}
	s.open = nil
	for c, cancel := range s.conns {
		cancel()
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

func (s *Server) accept(l net.Listener, serve func(context.Context, *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		if s.open == nil { // it was stopped meanwhile
			s.mu.Unlock()
			cancel()
			c.Close()
			continue
		}
		s.conns[c] = cancel
		s.mu.Unlock()
		s.all.Go(func() {
			defer cancel()
			serve(ctx, c.(*net.TCPConn))
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// verdict is what the server does with one transaction, after the time of a set-up.
func (s *Server) verdict(ctx context.Context) ServerMode {
	s.mu.Lock()
	m, wait := s.mode, s.SetupTime
	if m == ModeAccept && (s.leaving || s.MaxConns > 0 && s.up >= s.MaxConns) {
		m = ModeBusy
	}
	if m == ModeAccept {
		s.up++
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

func (s *Server) gone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up--
}

// echo waits as long as an answer takes now to what took so long to here. It tells whether there is one.
func (s *Server) echo(ctx context.Context, took time.Duration) bool {
	s.mu.Lock()
	m, delay := s.mode, s.delay
	if own := s.burden.delay(time.Now()); own > 0 {
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

// sendsAway tells whether a connection is to be sent away now: a part of them is,
// each time that it is asked of all.
func (s *Server) sendsAway(seq int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && seq%4 == 0
}

const (
	awayEvery = 100 * time.Millisecond
	peerQuiet = 30 * time.Second
)

// line serves one connection of the platform's protocol that came to a door.
func (s *Server) line(ctx context.Context, c *net.TCPConn, door int) {
	r := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(peerQuiet))
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
	pass := s.Log.pass(p)
	defer s.closed(pass)
	answered := func(what string) {
		s.Log.change(func() { pass.Answer, pass.Answered = what, time.Now() })
	}
	switch s.verdict(ctx) {
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
	defer s.gone()
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
		s.Log.change(func() {
			if pass.End == "" {
				pass.End, pass.Ended = how, time.Now()
			}
		})
	}
	if write("UP r-"+s.Name+"\r\n") != nil {
		ended("gone")
		return
	}
	if s.Capacity.Work > 0 {
		s.told.add(door, &write)
		defer s.told.remove(door, &write)
		s.bears(p.Class, group, true)
		defer s.bears(p.Class, group, false)
	} else if s.Load > 0 {
		_ = write(fmt.Sprintf("LOAD %d\r\n", s.Load.Microseconds()))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.all.Go(func() {
		s.awaitLeave(ctx, func() {
			ended("away")
			_ = write("MOVE\r\n")
			c.CloseWrite()
		})
	})
	for seq := 1; ; seq++ {
		c.SetReadDeadline(time.Now().Add(peerQuiet))
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
		took := s.heard(pass, text, seq)
		if s.echo(ctx, took) && write(fmt.Sprintf("M %d %s", time.Now().UnixMicro(), text)) != nil {
			ended("gone")
			return
		}
	}
}

// bears books a connection that stands, or takes it off.
func (s *Server) bears(class, group string, stands bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stands {
		s.burden.add(time.Now(), class, group)
	} else {
		s.burden.remove(time.Now(), class, group)
	}
}

// heard holds a note of a client against what it should be. It returns how long it took to here.
func (s *Server) heard(pass *Attempt, text string, seq int) time.Duration {
	took, ok := readNote(strings.TrimRight(text, "\r\n"), seq, pass.Name)
	s.Log.change(func() {
		pass.MaxHeld = max(pass.MaxHeld, took)
		if !ok {
			pass.Garbled++
		}
	})
	return took
}

// closed notes that a pass's connection is at an end.
func (s *Server) closed(pass *Attempt) {
	s.Log.change(func() { pass.Closed = time.Now() })
}

// awaitLeave calls away once a connection is to be sent away, as its server leaves.
func (s *Server) awaitLeave(ctx context.Context, away func()) {
	tick := time.NewTicker(awayEvery)
	defer tick.Stop()
	for seq := int(time.Now().UnixNano() / 1000 % 4); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.sendsAway(seq) {
			away()
			return
		}
	}
}

// amqp serves one connection of AMQP 1.0, and the sessions on it side by side.
func (s *Server) amqp(ctx context.Context, c *net.TCPConn) {
	conn, err := amqp.AcceptPeerConn(c, peerQuiet, s.Plain)
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
		all.Go(func() { s.session(ctx, p, breaks) })
	}
}

// session serves one session, which is one transaction.
func (s *Server) session(ctx context.Context, p *amqp.Peer, breaks func()) {
	defer p.End()
	var pass *Attempt
	ended := func(how string) {
		s.Log.change(func() {
			if pass != nil && pass.Answer == "up" && pass.End == "" {
				pass.End, pass.Ended = how, time.Now()
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
			pass = s.Log.pass(Attempt{Server: s.Name, Frontend: "amqp", Name: e.Name, Class: class, At: time.Now(),
				TimeLimit: time.Duration(ms) * time.Millisecond})
			defer s.closed(pass)
			answered := func(what string) {
				s.Log.change(func() { pass.Answer, pass.Answered = what, time.Now() })
			}
			switch s.verdict(ctx) {
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
			defer s.gone()
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
			s.all.Go(func() {
				s.awaitLeave(ctx, func() {
					ended("away")
					p.Detach(e.Handle, amqp.ConditionDetachForced)
				})
			})
		case amqp.PeerDelivered:
			took := s.heard(pass, string(e.Payload), int(delivered)+1)
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
