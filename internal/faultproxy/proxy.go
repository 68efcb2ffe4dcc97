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

	mu      sync.Mutex
	rules   []*Rule
	began   time.Time
	shift   atomic.Int64 // of the script's clock, in nanoseconds
	routes  map[string]*route
	started map[string]bool // rules that were set off by command
	closed  bool
	all     sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// route is a route that is open.
type route struct {
	Route
	p      *Proxy
	l      net.Listener
	conns  map[*pair]struct{}
	count  uint64
	shut   int        // rules that have the door shut
	queue  []net.Conn // that fill the door's queue
	full   bool
	mute   int
	silent atomic.Int32 // rules that have it vanish

	passed [2]atomic.Uint64 // bytes, up and down
}

// pair is one connection through a route.
type pair struct {
	r         *route
	number    uint64
	near, far *net.TCPConn
	flows     [2]*stream
	first     []byte
	ctx       context.Context
	cancel    context.CancelFunc
}

// stream is one direction of a pair as it is carried out.
type stream struct {
	order  sync.Mutex // is held from what the flow wants done to the writer's queue
	mu     sync.Mutex
	flow   *Flow
	queue  chan Op
	gone   chan struct{} // closed once the writer has ended
	wake   chan struct{} // the rules have changed
	again  chan struct{} // something may be due by the clock that was not
	paired *pair
	from   *net.TCPConn
	to     *net.TCPConn
}

// NewProxy returns a proxy with the rules of a script, whose clock starts now.
func NewProxy(rules []*Rule, seed uint64) *Proxy {
	p := &Proxy{Seed: seed, rules: slices.Clone(rules), began: time.Now(), routes: make(map[string]*route), started: make(map[string]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// now is the script's clock.
func (p *Proxy) now() time.Duration { return time.Since(p.began) - time.Duration(p.shift.Load()) }

// Restart starts the script's clock anew. What waits for a time on it waits on.
func (p *Proxy) Restart() { p.shift.Store(int64(time.Since(p.began))) }

// Open opens a route and returns the address of its door.
func (p *Proxy) Open(to Route) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes[to.Name] != nil {
		return "", fmt.Errorf("route %s is open already", to.Name)
	}
	r := &route{Route: to, p: p, conns: make(map[*pair]struct{})}
	if err := r.listen(); err != nil {
		return "", fmt.Errorf("route %s: %w", to.Name, err)
	}
	r.Listen = r.l.Addr().String() // it stays the same when the door is opened again
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
	r.l = l
	r.p.all.Go(func() { r.accept(l) })
	return nil
}

func (r *route) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || r.p.ctx.Err() != nil {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors: it passes
			continue
		}
		r.p.all.Go(func() { r.serve(c.(*net.TCPConn)) })
	}
}

// serve sees one connection through.
func (r *route) serve(near *net.TCPConn) {
	p := r.p
	defer near.Close()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	pr := &pair{r: r, near: near, ctx: ctx, cancel: cancel}
	p.mu.Lock()
	r.count++
	pr.number = r.count
	r.conns[pr] = struct{}{}
	mute := r.mute > 0
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
	pr.far = far
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
		s := &stream{flow: NewFlow(w, p.rules, p.Seed, pr.first, p.OnInjection), queue: make(chan Op, 256), gone: make(chan struct{}), wake: make(chan struct{}, 1), again: make(chan struct{}, 1), paired: pr, from: ends[0], to: ends[1]}
		for name := range p.started {
			s.flow.Command(name, p.now())
		}
		pr.flows[dir] = s
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pr.flows[Up].run(Up, b) })
	both.Go(func() { pr.flows[Down].run(Down, nil) })
	both.Wait()
}

const quietMost = 10 * time.Millisecond // of a direction without rules, before it looks again

// run carries a direction out: what is read goes through the flow, and what the flow
// wants done is done in order by a writer beside it.
func (s *stream) run(dir Direction, first []byte) {
	p := s.paired.r.p
	s.paired.r.p.all.Go(s.write)
	defer func() { <-s.gone }()
	defer s.give(Op{Kind: opLast})
	feed := func(b []byte) bool {
		s.paired.r.passed[dir].Add(uint64(len(b)))
		s.order.Lock()
		defer s.order.Unlock()
		s.mu.Lock()
		ops := s.flow.Feed(p.now(), b)
		timed := !s.flow.Idle()
		s.mu.Unlock()
		if timed {
			signal(s.again)
		}
		return s.give(ops...)
	}
	if len(first) > 0 && !feed(first) {
		return
	}
	// A timer of the flow's wakes it where no byte does.
	ticking := make(chan struct{})
	defer close(ticking)
	s.paired.r.p.all.Go(func() { s.tick(ticking) })
	buf := make([]byte, pieceMost)
	for {
		s.mu.Lock()
		stalled, until := s.flow.Stalled(p.now())
		s.mu.Unlock()
		if stalled || s.paired.r.isSilent() {
			if !s.rest(until) {
				return
			}
			continue
		}
		n, err := s.from.Read(buf)
		if n > 0 {
			// What was read while a stall began waits as well.
			for s.paired.r.isSilent() {
				if !s.rest(0) {
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
			end := Op{Kind: OpHalf}
			if !errors.Is(err, io.EOF) {
				end.Kind = OpRST // it broke, and is broken on
			}
			for s.paired.r.isSilent() {
				if !s.rest(0) {
					return
				}
			}
			s.give(append(ops, end)...)
			return
		}
	}
}

// give hands ops to the writer, in order. It tells whether the connection goes on.
func (s *stream) give(ops ...Op) bool {
	for _, op := range ops {
		select {
		case s.queue <- op:
		case <-s.gone:
			return false
		case <-s.paired.ctx.Done():
			return false
		}
	}
	return true
}

// rest waits while a direction is stalled. It tells whether the connection goes on.
func (s *stream) rest(until time.Duration) bool {
	wait := quietMost
	if until > 0 {
		wait = min(wait, max(0, until-s.paired.r.p.now()))
	}
	select {
	case <-s.paired.ctx.Done():
		return false
	case <-s.wake:
	case <-time.After(wait):
	}
	return true
}

// tick has the flow do what is due by the clock.
func (s *stream) tick(done <-chan struct{}) {
	p := s.paired.r.p
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
		case <-s.paired.ctx.Done():
			return
		case <-s.again:
			continue
		case <-due:
		}
		s.order.Lock()
		s.mu.Lock()
		ops := s.flow.Due(p.now())
		s.mu.Unlock()
		s.give(ops...)
		s.order.Unlock()
	}
}

// write does what the flow wants done, each in its time, until the last.
func (s *stream) write() {
	defer close(s.gone)
	p := s.paired.r.p
	lost := false
	for {
		var op Op
		select {
		case op = <-s.queue:
		case <-s.paired.ctx.Done():
			return
		}
		for wait := op.At - p.now(); wait > 0 || s.paired.r.isSilent(); wait = quietMost {
			select {
			case <-time.After(wait):
			case <-s.paired.ctx.Done():
				return
			}
			if !s.paired.r.isSilent() {
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
		case op.Kind == OpHalf:
			s.to.CloseWrite()
			lost = true
		case op.Kind == OpFIN:
			s.paired.cancel()
			lost = true
		case op.Kind == OpRST:
			s.paired.breaks()
			lost = true
		}
	}
}

// breaks resets both sides.
func (pr *pair) breaks() {
	pr.near.SetLinger(0)
	if pr.far != nil {
		pr.far.SetLinger(0)
	}
	pr.cancel()
}

func (r *route) isSilent() bool { return r.silent.Load() > 0 }

// arm sets a rule's faults of doors to work at a route. The caller holds the lock.
func (p *Proxy) arm(rule *Rule, r *route) {
	if len(rule.Routes) > 0 && !slices.Contains(rule.Routes, r.Name) {
		return
	}
	for _, f := range rule.Faults {
		if !f.Kind.ofDoor() {
			continue
		}
		switch t := rule.Trigger; t.Kind {
		case FromStart:
			p.door(rule, f.Kind, r)
		case AtTime:
			p.at(t.At, func() { p.door(rule, f.Kind, r) })
		}
	}
}

// at does something at a time of the script's clock, which may start anew meanwhile.
func (p *Proxy) at(at time.Duration, do func()) {
	p.later(at-p.now(), func() {
		if p.now() < at {
			p.at(at, do)
			return
		}
		do()
	})
}

// later does something under the lock after a time, unless the proxy is closed.
func (p *Proxy) later(wait time.Duration, do func()) {
	p.all.Go(func() {
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

// door begins a fault of a door, and has it end in its time. The caller holds the lock.
func (p *Proxy) door(rule *Rule, k Kind, r *route) {
	if p.OnInjection != nil {
		p.OnInjection(Injection{Rule: rule.Name, Kind: k, Location: Location{Route: r.Name, Direction: Both}, At: p.now()})
	}
	r.change(k, 1)
	if rule.For > 0 {
		p.later(rule.For, func() { r.change(k, -1) })
	}
}

// change begins or ends a fault of the door. The caller holds the lock.
func (r *route) change(k Kind, by int) {
	switch k {
	case Refuse:
		if r.shut += by; r.shut > 0 && r.l != nil {
			r.l.Close()
			r.l = nil
		}
	case Mute:
		r.mute += by
	case QueueFull:
		r.full = by > 0
	case Vanish:
		if by > 0 {
			r.silent.Add(1)
		}
		r.full = by > 0 || r.silent.Load() > 1
	}
	switch {
	case r.full && len(r.queue) == 0:
		r.fill()
	case !r.full && len(r.queue) > 0:
		r.drain()
	}
	if r.shut <= 0 && !r.full && r.l == nil && !r.p.closed {
		_ = r.listen() // if this fails, the door stays shut, as a server's may
	}
	if k == Vanish && by < 0 {
		if !r.full { // it comes back as another, with its door open; what stood hears no more of it
			for pr := range r.conns {
				pr.breaks()
			}
		}
		r.silent.Add(-1)
	}
}

// fill shuts the door and puts one with the shortest queue in its place, full: what
// connects then is neither taken nor refused.
func (r *route) fill() {
	if r.l != nil {
		r.l.Close()
		r.l = nil
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
	r.queue = append(r.queue, plug(fd))
	for range 2 { // a queue of none holds one, on Linux
		if c, err := net.DialTimeout("tcp", r.Listen, 100*time.Millisecond); err == nil {
			r.queue = append(r.queue, c)
		}
	}
}

func (r *route) drain() {
	for _, c := range slices.Backward(r.queue) {
		c.Close()
	}
	r.queue = nil
}

// plug is a listening socket that nobody accepts from.
type plug int

func (p plug) Close() error                   { return syscall.Close(int(p)) }
func (plug) Read([]byte) (int, error)         { return 0, io.EOF }
func (plug) Write([]byte) (int, error)        { return 0, io.ErrClosedPipe }
func (plug) LocalAddr() net.Addr              { return nil }
func (plug) RemoteAddr() net.Addr             { return nil }
func (plug) SetDeadline(time.Time) error      { return nil }
func (plug) SetReadDeadline(time.Time) error  { return nil }
func (plug) SetWriteDeadline(time.Time) error { return nil }

// each calls do for every direction of every connection. The caller holds the lock.
func (p *Proxy) each(do func(*stream)) {
	for _, r := range p.routes {
		for pr := range r.conns {
			for _, s := range pr.flows {
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
		p.each(func(s *stream) {
			s.mu.Lock()
			s.flow.Add(rule, s.paired.first)
			s.mu.Unlock()
			s.wakeUp()
		})
	}
}

func (s *stream) wakeUp() {
	signal(s.wake)
	signal(s.again)
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
				if f.Kind.ofDoor() {
					p.door(rule, f.Kind, r)
				}
			}
		}
	}
	if rule.For == 0 && !slices.ContainsFunc(rule.Faults, func(f Fault) bool { return f.Kind == Cut || f.Kind == Half }) {
		p.started[name] = true
	}
	p.each(func(s *stream) {
		s.mu.Lock()
		ops, _ := s.flow.Command(name, p.now())
		s.mu.Unlock()
		for _, op := range ops {
			select {
			case s.queue <- op:
			default: // full: the writer is behind, and is cut where it stands
				go s.paired.breaks()
			}
		}
		s.wakeUp()
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
				if f.Kind.ofDoor() && rule.For == 0 && (rule.Trigger.Kind == FromStart || p.started[rule.Name]) {
					r.change(f.Kind, -1)
				}
			}
		}
	}
	p.rules = slices.DeleteFunc(p.rules, func(r *Rule) bool { return name == "" || r.Name == name })
	if name == "" {
		clear(p.started)
	}
	delete(p.started, name)
	p.each(func(s *stream) {
		s.mu.Lock()
		s.flow.Clear(name)
		s.mu.Unlock()
		s.wakeUp()
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
		all = append(all, RouteStatus{Route: r.Route, Conns: r.count, Open: len(r.conns), Up: r.passed[Up].Load(), Down: r.passed[Down].Load()})
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
			pr.breaks()
		}
	}
}

// Shut closes a route for good.
func (p *Proxy) Shut(name string) {
	p.Cut(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[name]; r != nil {
		if r.l != nil {
			r.l.Close()
		}
		r.drain()
		delete(p.routes, name)
	}
}

// Close ends all connections and shuts all doors.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, r := range p.routes {
		if r.l != nil {
			r.l.Close()
		}
		r.drain()
	}
	p.mu.Unlock()
	p.cancel()
	p.all.Wait()
}
