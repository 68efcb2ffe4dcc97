package fake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// ServerMode is how a server treats new attempts.
type ServerMode string

// The modes of a server.
const (
	ModeAccept   ServerMode = "accept"
	ModeHang     ServerMode = "hang"      // reads them and does not answer
	ModeNoCredit ServerMode = "no-credit" // attaches links and grants no credit; on the line protocol it hangs
	ModeBusy     ServerMode = "busy"      // rejects them
	ModeError    ServerMode = "error"     // answers with an error
	ModeBreak    ServerMode = "break"     // resets the connection
)

// Server is an application server that speaks both protocols. Its exported fields are set before
// Start. Its methods are safe for concurrent use.
type Server struct {
	Name          string
	Log           *EventLog
	SetupTime     time.Duration // time to accept an attempt
	MaxConns      int           // maximum of established attempts; further ones are rejected. 0: unbounded
	Load          time.Duration // load that the server reports for each connection, in work per second
	WithoutSASL   bool          // AMQP without the SASL layer
	AnswersProbes bool          // answers health probes: PING by PONG
	// Capacity applies to line connections only. If WorkRate is set, the server reports delays
	// instead of loads.
	Capacity       Capacity
	ExtraListeners []string // addresses of further line listeners, one for each relay beyond the first

	mu           sync.Mutex // guards the fields below
	addresses    [2]string  // of the line and the AMQP listener, indexed by listener number
	listeners    []net.Listener
	conns        map[net.Conn]context.CancelFunc
	mode         ServerMode
	delay        time.Duration // of each echo
	draining     bool
	established  int // accepted attempts that have not ended
	workload     workload
	stop         context.CancelFunc // ends reportDelays; nil before the first Start
	delayReports delayReports
	running      sync.WaitGroup // all goroutines of the server; Stop waits for them
}

// Numbers of a server's listeners. Numbers from listenersOfOneRelay on belong to ExtraListeners.
const (
	listenerLine = iota
	listenerAMQP
	listenersOfOneRelay
)

// Start opens the server's listeners. An empty address opens none. After Stop, the server can
// be started again and then goes through slow start.
func (s *Server) Start(line, amqp10 string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.draining = ModeAccept, 0, false
	s.conns = make(map[net.Conn]context.CancelFunc)
	restarted := s.stop != nil
	s.workload = workload{Capacity: s.Capacity, groups: make(map[string]int)}
	if restarted {
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
			return fmt.Errorf("start fake server %s: %w", s.Name, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if s.Capacity.WorkRate > 0 {
		s.running.Go(func() { s.reportDelays(ctx) })
	}
	return nil
}

// listen opens one listener and stores its address. The caller holds mu.
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

// AMQPAddress returns the address of the AMQP listener.
func (s *Server) AMQPAddress() string { return s.listenAddress(listenerAMQP) }

func (s *Server) listenAddress(number int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[number]
}

// SetMode changes how the server treats new attempts, and the delay of echoes.
func (s *Server) SetMode(mode ServerMode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = mode, delay
}

// Drain makes the server reject new attempts and migrate its clients, a quarter of them every
// drainInterval.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Stop kills the server: its connections are reset and new ones refused. It returns once all
// goroutines of the server have ended.
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

// accept accepts and serves connections until the listener is closed.
func (s *Server) accept(listener net.Listener, serve func(context.Context, *net.TCPConn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		if s.listeners == nil { // stopped since Accept returned
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

// admit returns how the server treats an attempt. For ModeAccept it waits for SetupTime first,
// and the caller must call release once.
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

// release ends an attempt that admit accepted.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established--
}

// awaitEcho waits until the echo of a message is due; took is the time that the message took to
// arrive. It reports whether the message is echoed at all.
func (s *Server) awaitEcho(ctx context.Context, took time.Duration) bool {
	s.mu.Lock()
	mode, delay := s.mode, s.delay
	if queueDelay := s.workload.delay(time.Now()); queueDelay > 0 {
		delay += queueDelay - took // counted from when it was sent, as queued messages wait concurrently
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

// shouldMigrate reports whether a connection is to be migrated now, which is the case in one of
// drainRounds calls while the server drains. sequence increases by one with each call.
func (s *Server) shouldMigrate(sequence int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && sequence%drainRounds == 0
}

const (
	drainInterval = 100 * time.Millisecond
	drainRounds   = 4 // number of intervals in which all connections are migrated
	readTimeout   = 30 * time.Second
	writeTimeout  = time.Second
)

// awaitDrain waits until the connection is to be migrated because the server drains, and calls
// migrate; or it returns when ctx ends.
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
