package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Route is a door, and where what comes in by it goes.
type Route struct {
	Name   string
	Listen string // host:port; port 0 for a free one
	Target string
}

// Proxy passes connections between routes' doors and targets, and spoils them by its
// rules. It is safe for concurrent use.
type Proxy struct {
	Seed        uint64
	OnInjection func(Injection) // is told of each fault; it must not block. Set before the first route

	mu          sync.Mutex
	rules       []*Rule
	startedAt   time.Time
	clockOffset atomic.Int64 // of the script's clock, in nanoseconds
	routes      map[string]*route
	triggered   map[string]bool // rules that were set off by command
	closed      bool
	running     sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
}

// route is a route that is open.
type route struct {
	Route
	proxy        *Proxy
	listener     net.Listener
	conns        map[*connection]struct{}
	accepted     uint64
	refusals     int        // rules that have the door shut
	queueFillers []net.Conn // that fill the door's queue
	queueFull    bool
	mutes        int
	silences     atomic.Int32 // rules that have it vanish

	passed [2]atomic.Uint64 // bytes, up and down
}

// connection is one connection through a route.
type connection struct {
	route          *route
	number         uint64
	client, target *net.TCPConn
	streams        [2]*stream
	first          []byte
	ctx            context.Context
	cancel         context.CancelFunc
}

// stream is one direction of a pair as it is carried out.
type stream struct {
	ordering   sync.Mutex // is held from what the flow wants done to the writer's queue
	mu         sync.Mutex
	flow       *Flow
	queue      chan Op
	writerDone chan struct{} // closed once the writer has ended
	wake       chan struct{} // the rules have changed
	reschedule chan struct{} // something may be due by the clock that was not
	conn       *connection
	from       *net.TCPConn
	to         *net.TCPConn
}

// NewProxy returns a proxy with the rules of a script, whose clock starts now.
func NewProxy(rules []*Rule, seed uint64) *Proxy {
	p := &Proxy{Seed: seed, rules: slices.Clone(rules), startedAt: time.Now(), routes: make(map[string]*route), triggered: make(map[string]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// now is the script's clock.
func (p *Proxy) now() time.Duration {
	return time.Since(p.startedAt) - time.Duration(p.clockOffset.Load())
}

// Restart starts the script's clock anew. What waits for a time on it waits on.
func (p *Proxy) Restart() { p.clockOffset.Store(int64(time.Since(p.startedAt))) }

// Open opens a route and returns the address of its door.
func (p *Proxy) Open(to Route) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes[to.Name] != nil {
		return "", fmt.Errorf("route %s is open already", to.Name)
	}
	r := &route{Route: to, proxy: p, conns: make(map[*connection]struct{})}
	if err := r.listen(); err != nil {
		return "", fmt.Errorf("route %s: %w", to.Name, err)
	}
	r.Listen = r.listener.Addr().String() // it stays the same when the door is opened again
	p.routes[to.Name] = r
	for _, rule := range p.rules {
		p.arm(rule, r)
	}
	return r.Listen, nil
}

// listen opens the door. The caller holds the lock.
func (r *route) listen() error {
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	r.listener = l
	r.proxy.running.Go(func() { r.accept(l) })
	return nil
}

func (r *route) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || r.proxy.ctx.Err() != nil {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors: it passes
			continue
		}
		r.proxy.running.Go(func() { r.serve(c.(*net.TCPConn)) })
	}
}

// serve sees one connection through.
func (r *route) serve(near *net.TCPConn) {
	p := r.proxy
	defer near.Close()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	pr := &connection{route: r, client: near, ctx: ctx, cancel: cancel}
	p.mu.Lock()
	r.accepted++
	pr.number = r.accepted
	r.conns[pr] = struct{}{}
	mute := r.mutes > 0
	wantsFirst := slices.ContainsFunc(p.rules, func(x *Rule) bool { return x.First != "" })
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(r.conns, pr)
	}()
	stop := context.AfterFunc(ctx, func() { near.Close() })
	defer stop()
	if mute {
		_, _ = io.Copy(io.Discard, near) // accepted, read, and never answered
		return
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", r.Target)
	if err != nil {
		near.SetLinger(0) // as refused as it can be by now
		return
	}
	far := c.(*net.TCPConn)
	defer far.Close()
	defer context.AfterFunc(ctx, func() { far.Close() })()
	pr.target = far
	var b []byte
	if wantsFirst {
		b = make([]byte, 4<<10)
		n, err := near.Read(b)
		if b = b[:n]; err != nil && n == 0 {
			return
		}
		pr.first = b
	}
	p.mu.Lock()
	for dir, ends := range [2][2]*net.TCPConn{{near, far}, {far, near}} {
		w := Location{r.Name, pr.number, Direction(dir)}
		s := &stream{flow: NewFlow(w, p.rules, p.Seed, pr.first, p.OnInjection), queue: make(chan Op, 256), writerDone: make(chan struct{}), wake: make(chan struct{}, 1), reschedule: make(chan struct{}, 1), conn: pr, from: ends[0], to: ends[1]}
		for name := range p.triggered {
			s.flow.Command(name, p.now())
		}
		pr.streams[dir] = s
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pr.streams[Up].run(Up, b) })
	both.Go(func() { pr.streams[Down].run(Down, nil) })
	both.Wait()
}

const pollInterval = 10 * time.Millisecond // of a direction without rules, before it looks again

// run carries a direction out: what is read goes through the flow, and what the flow
// wants done is done in order by a writer beside it.
func (s *stream) run(dir Direction, first []byte) {
	p := s.conn.route.proxy
	s.conn.route.proxy.running.Go(s.write)
	defer func() { <-s.writerDone }()
	defer s.enqueue(Op{Kind: opLast})
	feed := func(b []byte) bool {
		s.conn.route.passed[dir].Add(uint64(len(b)))
		s.ordering.Lock()
		defer s.ordering.Unlock()
		s.mu.Lock()
		ops := s.flow.Feed(p.now(), b)
		timed := !s.flow.Idle()
		s.mu.Unlock()
		if timed {
			signal(s.reschedule)
		}
		return s.enqueue(ops...)
	}
	if len(first) > 0 && !feed(first) {
		return
	}
	// A timer of the flow's wakes it where no byte does.
	ticking := make(chan struct{})
	defer close(ticking)
	s.conn.route.proxy.running.Go(func() { s.runTimers(ticking) })
	buf := make([]byte, maxPacket)
	for {
		s.mu.Lock()
		stalled, until := s.flow.Stalled(p.now())
		s.mu.Unlock()
		if stalled || s.conn.route.isSilent() {
			if !s.awaitStall(until) {
				return
			}
			continue
		}
		n, err := s.from.Read(buf)
		if n > 0 {
			// What was read while a stall began waits as well.
			for s.conn.route.isSilent() {
				if !s.awaitStall(0) {
					return
				}
			}
			if !feed(buf[:n]) {
				return
			}
		}
		if err != nil {
			s.mu.Lock()
			ops := s.flow.End(p.now())
			s.mu.Unlock()
			end := Op{Kind: OpHalfClose}
			if !errors.Is(err, io.EOF) {
				end.Kind = OpRST // it broke, and is broken on
			}
			for s.conn.route.isSilent() {
				if !s.awaitStall(0) {
					return
				}
			}
			s.enqueue(append(ops, end)...)
			return
		}
	}
}

// enqueue hands ops to the writer, in order. It tells whether the connection goes on.
func (s *stream) enqueue(ops ...Op) bool {
	for _, op := range ops {
		select {
		case s.queue <- op:
		case <-s.writerDone:
			return false
		case <-s.conn.ctx.Done():
			return false
		}
	}
	return true
}

// awaitStall waits while a direction is stalled. It tells whether the connection goes on.
func (s *stream) awaitStall(until time.Duration) bool {
	wait := pollInterval
	if until > 0 {
		wait = min(wait, max(0, until-s.conn.route.proxy.now()))
	}
	select {
	case <-s.conn.ctx.Done():
		return false
	case <-s.wake:
	case <-time.After(wait):
	}
	return true
}

// runTimers has the flow do what is due by the clock.
func (s *stream) runTimers(done <-chan struct{}) {
	p := s.conn.route.proxy
	for {
		s.mu.Lock()
		now := p.now()
		next, found := s.flow.Next(now)
		s.mu.Unlock()
		var due <-chan time.Time
		if found {
			due = time.After(next - now)
		}
		select {
		case <-done:
			return
		case <-s.conn.ctx.Done():
			return
		case <-s.reschedule:
			continue
		case <-due:
		}
		s.ordering.Lock()
		s.mu.Lock()
		ops := s.flow.Due(p.now())
		s.mu.Unlock()
		s.enqueue(ops...)
		s.ordering.Unlock()
	}
}

// write does what the flow wants done, each in its time, until the last.
func (s *stream) write() {
	defer close(s.writerDone)
	p := s.conn.route.proxy
	lost := false
	for {
		var op Op
		select {
		case op = <-s.queue:
		case <-s.conn.ctx.Done():
			return
		}
		for wait := op.At - p.now(); wait > 0 || s.conn.route.isSilent(); wait = pollInterval {
			select {
			case <-time.After(wait):
			case <-s.conn.ctx.Done():
				return
			}
			if !s.conn.route.isSilent() {
				break
			}
		}
		switch {
		case op.Kind == opLast:
			return
		case lost:
		case op.Kind == OpWrite:
			if _, err := s.to.Write(op.Data); err != nil {
				lost = true // the other direction sees why
			}
		case op.Kind == OpHalfClose:
			s.to.CloseWrite()
			lost = true
		case op.Kind == OpFIN:
			s.conn.cancel()
			lost = true
		case op.Kind == OpRST:
			s.conn.reset()
			lost = true
		}
	}
}

// reset resets both sides.
func (pr *connection) reset() {
	pr.client.SetLinger(0)
	if pr.target != nil {
		pr.target.SetLinger(0)
	}
	pr.cancel()
}

func (r *route) isSilent() bool { return r.silences.Load() > 0 }

// arm sets a rule's faults of doors to work at a route. The caller holds the lock.
func (p *Proxy) arm(rule *Rule, r *route) {
	if len(rule.Routes) > 0 && !slices.Contains(rule.Routes, r.Name) {
		return
	}
	for _, f := range rule.Faults {
		if !f.Kind.ofListener() {
			continue
		}
		switch t := rule.Trigger; t.Kind {
		case FromStart:
			p.inject(rule, f.Kind, r)
		case AtTime:
			p.atScriptTime(t.At, func() { p.inject(rule, f.Kind, r) })
		}
	}
}

// atScriptTime does something at a time of the script's clock, which may start anew meanwhile.
func (p *Proxy) atScriptTime(at time.Duration, do func()) {
	p.after(at-p.now(), func() {
		if p.now() < at {
			p.atScriptTime(at, do)
			return
		}
		do()
	})
}

// after does something under the lock after a time, unless the proxy is closed.
func (p *Proxy) after(wait time.Duration, do func()) {
	p.running.Go(func() {
		select {
		case <-time.After(wait):
		case <-p.ctx.Done():
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			do()
		}
	})
}

// inject begins a fault of a door, and has it end in its time. The caller holds the lock.
func (p *Proxy) inject(rule *Rule, k Kind, r *route) {
	if p.OnInjection != nil {
		p.OnInjection(Injection{Rule: rule.Name, Kind: k, Location: Location{Route: r.Name, Direction: Both}, At: p.now()})
	}
	r.changeFault(k, 1)
	if rule.For > 0 {
		p.after(rule.For, func() { r.changeFault(k, -1) })
	}
}

// changeFault begins or ends a fault of the door. The caller holds the lock.
func (r *route) changeFault(k Kind, by int) {
	switch k {
	case Refuse:
		if r.refusals += by; r.refusals > 0 && r.listener != nil {
			r.listener.Close()
			r.listener = nil
		}
	case Mute:
		r.mutes += by
	case QueueFull:
		r.queueFull = by > 0
	case Vanish:
		if by > 0 {
			r.silences.Add(1)
		}
		r.queueFull = by > 0 || r.silences.Load() > 1
	}
	switch {
	case r.queueFull && len(r.queueFillers) == 0:
		r.fillQueue()
	case !r.queueFull && len(r.queueFillers) > 0:
		r.releaseQueue()
	}
	if r.refusals <= 0 && !r.queueFull && r.listener == nil && !r.proxy.closed {
		_ = r.listen() // if this fails, the door stays shut, as a server's may
	}
	if k == Vanish && by < 0 {
		if !r.queueFull { // it comes back as another, with its door open; what stood hears no more of it
			for pr := range r.conns {
				pr.reset()
			}
		}
		r.silences.Add(-1)
	}
}

// fillQueue shuts the door and puts one with the shortest queue in its place, full: what
// connects then is neither taken nor refused.
func (r *route) fillQueue() {
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
	address, err := net.ResolveTCPAddr("tcp", r.Listen)
	if err != nil {
		return
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) // without it Bind may fail, which is looked at
	at := &syscall.SockaddrInet4{Port: address.Port}
	copy(at.Addr[:], address.IP.To4())
	if syscall.Bind(fd, at) != nil || syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return
	}
	r.queueFillers = append(r.queueFillers, fullListener(fd))
	for range 2 { // a queue of none holds one, on Linux
		if c, err := net.DialTimeout("tcp", r.Listen, 100*time.Millisecond); err == nil {
			r.queueFillers = append(r.queueFillers, c)
		}
	}
}

func (r *route) releaseQueue() {
	for _, c := range slices.Backward(r.queueFillers) {
		c.Close()
	}
	r.queueFillers = nil
}

// fullListener is a listening socket that nobody accepts from.
type fullListener int

func (p fullListener) Close() error                   { return syscall.Close(int(p)) }
func (fullListener) Read([]byte) (int, error)         { return 0, io.EOF }
func (fullListener) Write([]byte) (int, error)        { return 0, io.ErrClosedPipe }
func (fullListener) LocalAddr() net.Addr              { return nil }
func (fullListener) RemoteAddr() net.Addr             { return nil }
func (fullListener) SetDeadline(time.Time) error      { return nil }
func (fullListener) SetReadDeadline(time.Time) error  { return nil }
func (fullListener) SetWriteDeadline(time.Time) error { return nil }

// eachStream calls do for every direction of every connection. The caller holds the lock.
func (p *Proxy) eachStream(do func(*stream)) {
	for _, r := range p.routes {
		for pr := range r.conns {
			for _, s := range pr.streams {
				if s != nil {
					do(s)
				}
			}
		}
	}
}

// Add adds rules, for the connections there are as well. One of a name that is taken
// takes the other's place.
func (p *Proxy) Add(rules ...*Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rule := range rules {
		p.clear(rule.Name)
		p.rules = append(p.rules, rule)
		for _, r := range p.routes {
			p.arm(rule, r)
		}
		p.eachStream(func(s *stream) {
			s.mu.Lock()
			s.flow.Add(rule, s.conn.first)
			s.mu.Unlock()
			s.notify()
		})
	}
}

func (s *stream) notify() {
	signal(s.wake)
	signal(s.reschedule)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Command sets off the rules of a name that wait for it, now and for connections to
// come. It fails if there is none.
func (p *Proxy) Command(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.rules, func(r *Rule) bool { return r.Name == name && r.Trigger.Kind == OnCommand })
	if i < 0 {
		return fmt.Errorf("no rule called %q waits for a command", name)
	}
	rule := p.rules[i]
	for _, r := range p.routes {
		if len(rule.Routes) == 0 || slices.Contains(rule.Routes, r.Name) {
			for _, f := range rule.Faults {
				if f.Kind.ofListener() {
					p.inject(rule, f.Kind, r)
				}
			}
		}
	}
	if rule.For == 0 && !slices.ContainsFunc(rule.Faults, func(f Fault) bool { return f.Kind == Cut || f.Kind == HalfClose }) {
		p.triggered[name] = true
	}
	p.eachStream(func(s *stream) {
		s.mu.Lock()
		ops, _ := s.flow.Command(name, p.now())
		s.mu.Unlock()
		for _, op := range ops {
			select {
			case s.queue <- op:
			default: // full: the writer is behind, and is cut where it stands
				go s.conn.reset()
			}
		}
		s.notify()
	})
	return nil
}

// Clear ends the rules of a name, or all; faults of doors end as well.
func (p *Proxy) Clear(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear(name)
}

func (p *Proxy) clear(name string) {
	for _, rule := range p.rules {
		if name != "" && rule.Name != name {
			continue
		}
		for _, r := range p.routes {
			if len(rule.Routes) > 0 && !slices.Contains(rule.Routes, r.Name) {
				continue
			}
			for _, f := range rule.Faults {
				if f.Kind.ofListener() && rule.For == 0 && (rule.Trigger.Kind == FromStart || p.triggered[rule.Name]) {
					r.changeFault(f.Kind, -1)
				}
			}
		}
	}
	p.rules = slices.DeleteFunc(p.rules, func(r *Rule) bool { return name == "" || r.Name == name })
	if name == "" {
		clear(p.triggered)
	}
	delete(p.triggered, name)
	p.eachStream(func(s *stream) {
		s.mu.Lock()
		s.flow.Clear(name)
		s.mu.Unlock()
		s.notify()
	})
}

// RouteStatus is what a route has passed.
type RouteStatus struct {
	Route
	Conns uint64 // since the start
	Open  int
	Up    uint64 // bytes
	Down  uint64
}

// Status tells of the routes, by name, and of the rules in force.
func (p *Proxy) Status() ([]RouteStatus, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []RouteStatus
	for _, r := range p.routes {
		all = append(all, RouteStatus{Route: r.Route, Conns: r.accepted, Open: len(r.conns), Up: r.passed[Up].Load(), Down: r.passed[Down].Load()})
	}
	slices.SortFunc(all, func(x, y RouteStatus) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	var rules []string
	for _, r := range p.rules {
		rules = append(rules, r.String())
	}
	return all, rules
}

// Cut ends all connections of a route.
func (p *Proxy) Cut(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[name]; r != nil {
		for pr := range r.conns {
			pr.reset()
		}
	}
}

// Shut closes a route for good.
func (p *Proxy) Shut(name string) {
	p.Cut(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[name]; r != nil {
		if r.listener != nil {
			r.listener.Close()
		}
		r.releaseQueue()
		delete(p.routes, name)
	}
}

// Close ends all connections and shuts all doors.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, r := range p.routes {
		if r.listener != nil {
			r.listener.Close()
		}
		r.releaseQueue()
	}
	p.mu.Unlock()
	p.cancel()
	p.running.Wait()
}
