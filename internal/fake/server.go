package fake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// ServerMode is what a server does with attempts that come.
type ServerMode string

// The modes of a server.
const (
	ModeAccept   ServerMode = "accept"
	ModeHang     ServerMode = "hang"      // accepts them and does not answer
	ModeNoCredit ServerMode = "no-credit" // attaches links and grants no credit; on the line protocol it hangs
	ModeBusy     ServerMode = "busy"      // rejects them
	ModeError    ServerMode = "error"     // answers with an error
	ModeBreak    ServerMode = "break"     // accepts them and breaks the connection
)

// Server plays an application server. It speaks both protocols. Its exported fields are set
// before Start; its methods may be called from any goroutine.
type Server struct {
	Name          string
	Log           *EventLog
	SetupTime     time.Duration // of each attempt
	MaxConns      int           // at a time; more are rejected. 0: without bound
	Load          time.Duration // work a second that it reports of each connection
	WithoutSASL   bool          // AMQP without the security layer
	AnswersProbes bool          // are answered: PING by PONG
	// Capacity is what it can do; line connections alone count. With it the server reports
	// delays instead of loads.
	Capacity       Capacity
	ExtraListeners []string // addresses of further line listeners, one for each relay beyond the first

	mu           sync.Mutex // guards the fields below
	addresses    [2]string  // of the line and the AMQP listener
	listeners    []net.Listener
	conns        map[net.Conn]context.CancelFunc
	mode         ServerMode
	delay        time.Duration // of echoes
	draining     bool
	established  int // attempts that are accepted and not ended
	workload     workload
	stop         context.CancelFunc // ends reportDelays; nil before the first Start
	delayReports delayReports
	running      sync.WaitGroup // all goroutines of the server; Stop waits for them
}

// Numbers of a server's listeners; those from the third on are its ExtraListeners.
const (
	listenerLine = iota
	listenerAMQP
	listenersOfOneRelay
)

// Start opens the server's listeners: line at one address and AMQP at another, which may
// be empty. After Stop it can be started again, at the same addresses; it then counts
// as just started.
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
	for number, address := range append([]string{line, amqp10}, s.ExtraListeners...) {
		if address == "" {
			continue
		}
		if err := s.listen(number, address); err != nil {
			for _, listener := range s.listeners {
				listener.Close()
			}
			s.listeners = nil
			return fmt.Errorf("stand-in %s: %w", s.Name, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if s.Capacity.WorkRate > 0 {
		s.running.Go(func() { s.reportDelays(ctx) })
	}
	return nil
}

// listen opens one listener, and notes its address. The caller holds mu.
func (s *Server) listen(number int, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, listener)
	serve := func(ctx context.Context, conn *net.TCPConn) { s.serveLine(ctx, conn, number) }
	switch number {
	case listenerLine:
		s.addresses[number] = listener.Addr().String()
	case listenerAMQP:
		s.addresses[number] = listener.Addr().String()
		serve = s.serveAMQP
	default:
		s.ExtraListeners[number-listenersOfOneRelay] = listener.Addr().String()
	}
	s.running.Go(func() { s.accept(listener, serve) })
	return nil
}

// LineAddress returns the address of the line listener.
func (s *Server) LineAddress() string { return s.listenAddress(listenerLine) }

// AMQPAddress returns the address of the AMQPAddress listener.
func (s *Server) AMQPAddress() string { return s.listenAddress(listenerAMQP) }

func (s *Server) listenAddress(number int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[number]
}

// SetMode changes what the server does with attempts that come from now on, and how long
// echoes take.
func (s *Server) SetMode(mode ServerMode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = mode, delay
}

// Drain makes the server migrate its clients, a share of them every tenth of a second.
// It rejects new attempts.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Stop kills the server: its connections break, and new ones are refused. It returns when
// all goroutines of the server have ended.
func (s *Server) Stop() {
	s.Log.addChange(EndpointChange{At: time.Now(), Endpoint: s.Name, State: Killed})
	s.mu.Lock()
	if s.stop != nil {
		s.stop()
	}
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.listeners = nil
	for conn, cancel := range s.conns {
		cancel()
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// accept serves a listener's connections until it is closed.
func (s *Server) accept(listener net.Listener, serve func(context.Context, *net.TCPConn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		if s.listeners == nil { // it was stopped meanwhile
			s.mu.Unlock()
			cancel()
			conn.Close()
			continue
		}
		s.conns[conn] = cancel
		s.mu.Unlock()
		s.running.Go(func() {
			defer cancel()
			serve(ctx, conn.(*net.TCPConn))
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

// admit decides what the server does with one attempt, after the time of its set-up. After
// ModeAccept the caller calls release once.
func (s *Server) admit(ctx context.Context) ServerMode {
	s.mu.Lock()
	mode, wait := s.mode, s.SetupTime
	if mode == ModeAccept && (s.draining || s.MaxConns > 0 && s.established >= s.MaxConns) {
		mode = ModeBusy
	}
	if mode == ModeAccept {
		s.established++
	}
	s.mu.Unlock()
	if mode == ModeAccept && wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return mode
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established--
}

// awaitEcho waits as long as an echo takes now to a message that took so long to arrive. It
// reports whether there is one.
func (s *Server) awaitEcho(ctx context.Context, took time.Duration) bool {
	s.mu.Lock()
	mode, delay := s.mode, s.delay
	if own := s.workload.delay(time.Now()); own > 0 {
		delay += own - took // counts from when it was sent: messages that wait behind one another wait at the same time
	}
	s.mu.Unlock()
	if mode == ModeHang {
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

// shouldMigrate reports whether a connection is to be migrated now: one in four is, each
// time that all of them ask.
func (s *Server) shouldMigrate(sequence int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && sequence%drainRounds == 0
}

const (
	drainInterval = 100 * time.Millisecond
	drainRounds   = 4 // until all connections have been migrated
	readTimeout   = 30 * time.Second
	writeTimeout  = time.Second
)

// awaitDrain calls migrate once a connection is to be migrated, as its server drains, or
// returns when ctx ends.
func (s *Server) awaitDrain(ctx context.Context, migrate func()) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for sequence := int(time.Now().UnixNano() / 1000 % drainRounds); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.shouldMigrate(sequence) {
			migrate()
			return
		}
	}
}
