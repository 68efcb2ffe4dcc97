package faultproxy

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Route is a listener, and the target that its connections are passed to.
type Route struct {
	Name   string
	Listen string // host:port; port 0 for a free one
	Target string
}

// Proxy passes connections between routes' listeners and targets, and injects the faults of
// its rules. It is safe for concurrent use.
type Proxy struct {
	Seed        uint64
	OnInjection func(Injection) // is called for each fault, and must not block. Set before the first route

	mu          sync.Mutex // guards the fields below, and the routes
	rules       []*Rule
	startedAt   time.Time
	clockOffset atomic.Int64 // of the script's clock, in nanoseconds after startedAt
	routes      map[string]*route
	triggered   map[string]bool // names of rules that a command triggered, for connections to come
	closed      bool
	running     sync.WaitGroup // all goroutines; Close waits for them
	ctx         context.Context
	cancel      context.CancelFunc
}

// NewProxy returns a proxy with the rules of a script, whose clock starts now.
func NewProxy(rules []*Rule, seed uint64) *Proxy {
	p := &Proxy{Seed: seed, rules: slices.Clone(rules), startedAt: time.Now(), routes: make(map[string]*route), triggered: make(map[string]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// now returns the time on the script's clock.
func (p *Proxy) now() time.Duration {
	return time.Since(p.startedAt) - time.Duration(p.clockOffset.Load())
}

// ResetClock sets the script's clock to zero. What waits for a time on it goes on waiting.
func (p *Proxy) ResetClock() { p.clockOffset.Store(int64(time.Since(p.startedAt))) }

// OpenRoute opens a route and returns the address of its listener.
func (p *Proxy) OpenRoute(config Route) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes[config.Name] != nil {
		return "", fmt.Errorf("route %s is open already", config.Name)
	}
	r := &route{Route: config, proxy: p, conns: make(map[*connection]struct{})}
	if err := r.listen(); err != nil {
		return "", fmt.Errorf("route %s: %w", config.Name, err)
	}
	r.Listen = r.listener.Addr().String() // it stays the same when the listener is opened again
	p.routes[config.Name] = r
	for _, rule := range p.rules {
		p.arm(rule, r)
	}
	return r.Listen, nil
}

// eachStream calls do for every direction of every connection. The caller holds the lock.
func (p *Proxy) eachStream(do func(*stream)) {
	for _, r := range p.routes {
		for conn := range r.conns {
			for _, s := range conn.streams {
				if s != nil {
					do(s)
				}
			}
		}
	}
}

// Add adds rules, for present connections as well. A rule replaces one of the same name.
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

// Trigger triggers the rules of a name that wait for it, for present connections and, unless
// the rule has a duration or ends connections, for those to come. It fails if there is none.
func (p *Proxy) Trigger(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.rules, func(r *Rule) bool { return r.Name == name && r.Trigger.Kind == OnCommand })
	if i < 0 {
		return fmt.Errorf("no rule called %q waits for a command", name)
	}
	rule := p.rules[i]
	for _, r := range p.routes {
		if !rule.isForRoute(r.Name) {
			continue
		}
		for _, fault := range rule.Faults {
			if fault.Kind.ofListener() {
				p.inject(rule, fault.Kind, r)
			}
		}
	}
	if rule.For == 0 && !slices.ContainsFunc(rule.Faults, func(fault Fault) bool { return fault.Kind == Cut || fault.Kind == HalfClose }) {
		p.triggered[name] = true
	}
	p.eachStream(func(s *stream) {
		s.mu.Lock()
		ops, _ := s.flow.Trigger(name, p.now())
		s.mu.Unlock()
		for _, op := range ops {
			select {
			case s.queue <- op:
			default: // full: the writer is behind, and its connection is reset where it is
				go s.conn.reset()
			}
		}
		s.notify()
	})
	return nil
}

// Clear ends the rules of a name, or all if it is empty; listener faults end as well.
func (p *Proxy) Clear(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear(name)
}

// clear ends rules. The caller holds mu.
func (p *Proxy) clear(name string) {
	for _, rule := range p.rules {
		if name == "" || rule.Name == name {
			p.endListenerFaults(rule)
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

// endListenerFaults ends those of a rule's faults that don't end by themselves. The caller
// holds mu.
func (p *Proxy) endListenerFaults(rule *Rule) {
	if rule.For != 0 || rule.Trigger.Kind != FromStart && !p.triggered[rule.Name] {
		return
	}
	for _, r := range p.routes {
		if !rule.isForRoute(r.Name) {
			continue
		}
		for _, fault := range rule.Faults {
			if fault.Kind.ofListener() {
				r.changeFault(fault.Kind, -1)
			}
		}
	}
}

// RouteStatus says what a route has passed.
type RouteStatus struct {
	Route
	Conns uint64 // accepted since the start
	Open  int    // connections now
	Up    uint64 // bytes
	Down  uint64
}

// Status returns the routes, sorted by name, and the rules in force.
func (p *Proxy) Status() ([]RouteStatus, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []RouteStatus
	for _, r := range p.routes {
		all = append(all, RouteStatus{Route: r.Route, Conns: r.accepted, Open: len(r.conns), Up: r.passed[Up].Load(), Down: r.passed[Down].Load()})
	}
	slices.SortFunc(all, func(a, b RouteStatus) int { return strings.Compare(a.Name, b.Name) })
	var rules []string
	for _, r := range p.rules {
		rules = append(rules, r.String())
	}
	return all, rules
}

// ResetRoute resets all connections of a route.
func (p *Proxy) ResetRoute(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[name]; r != nil {
		for conn := range r.conns {
			conn.reset()
		}
	}
}

// CloseRoute closes a route for good.
func (p *Proxy) CloseRoute(name string) {
	p.ResetRoute(name)
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

// Close closes all listeners, ends all connections, and waits for all goroutines.
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
