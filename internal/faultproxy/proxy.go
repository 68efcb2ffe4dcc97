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

// Route is a listener and the target that its connections are forwarded to.
type Route struct {
	Name   string
	Listen string // host:port; port 0 picks a free one
	Target string
}

// Proxy forwards connections from its routes' listeners to their targets and injects the
// faults of its rules. It is safe for concurrent use.
type Proxy struct {
	Seed        uint64
	OnInjection func(Injection) // called for each fault; must not block. Set before the first OpenRoute

	mu          sync.Mutex // guards the fields below, and the routes
	rules       []*Rule
	startedAt   time.Time
	clockOffset atomic.Int64 // start of the script's clock, in nanoseconds after startedAt
	routes      map[string]*route
	triggered   map[string]bool // names of rules that a command triggered, which apply to new connections
	closed      bool
	running     sync.WaitGroup // all goroutines; Close waits for them
	ctx         context.Context
	cancel      context.CancelFunc
}

// NewProxy returns a proxy with the given rules. The script's clock starts now.
func NewProxy(rules []*Rule, seed uint64) *Proxy {
	p := &Proxy{Seed: seed, rules: slices.Clone(rules), startedAt: time.Now(), routes: make(map[string]*route), triggered: make(map[string]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// now returns the time on the script's clock.
func (p *Proxy) now() time.Duration {
	return time.Since(p.startedAt) - time.Duration(p.clockOffset.Load())
}

// ResetClock sets the script's clock to zero. Pending times are relative to the new start.
func (p *Proxy) ResetClock() { p.clockOffset.Store(int64(time.Since(p.startedAt))) }

// OpenRoute opens a route's listener and returns its address.
func (p *Proxy) OpenRoute(config Route) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes[config.Name] != nil {
		return "", fmt.Errorf("route %s is already open", config.Name)
	}
	r := &route{Route: config, proxy: p, conns: make(map[*connection]struct{})}
	if err := r.listen(); err != nil {
		return "", fmt.Errorf("route %s: %w", config.Name, err)
	}
	r.Listen = r.listener.Addr().String() // reused when the listener is reopened
	p.routes[config.Name] = r
	for _, rule := range p.rules {
		p.arm(rule, r)
	}
	return r.Listen, nil
}

// eachStream calls do for each direction of each connection. The caller holds mu.
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

// Add adds rules for new and existing connections. A rule replaces one of the same name.
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

// Trigger triggers the on-command rule of a name for existing connections and, unless the rule
// has a duration or ends connections, for new ones. It returns an error if there is no such rule.
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
			default: // full: the connection is reset, since waiting would hold mu
				go s.conn.reset()
			}
		}
		s.notify()
	})
	return nil
}

// Clear removes the rules of a name, or all rules if name is empty, and ends their faults.
func (p *Proxy) Clear(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear(name)
}

// clear does what Clear does. The caller holds mu.
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

// endListenerFaults ends a rule's active listener faults, unless they end after a duration.
// The caller holds mu.
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

// RouteStatus reports a route's connections and traffic.
type RouteStatus struct {
	Route
	Conns uint64 // accepted since the route was opened
	Open  int    // connections that are open now
	Up    uint64 // bytes received from clients
	Down  uint64 // bytes received from targets
}

// Status returns the routes, sorted by name, and the current rules.
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

// ResetRoute resets all connections of a route; the route stays open.
func (p *Proxy) ResetRoute(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[name]; r != nil {
		for conn := range r.conns {
			conn.reset()
		}
	}
}

// CloseRoute closes a route's listener, resets its connections and removes the route.
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

// Close closes all listeners and connections and waits for all goroutines.
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
