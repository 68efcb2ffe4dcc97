// Package prober finds out which application servers of a list are up, where no discovery tells: it carries out
// the probes that internal/healthcheck asks for, and lists servers by what that holds of them.
package prober

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// Endpoint is one of the list.
type Endpoint struct {
	Name    string
	Address string
	Zone    int
	Size    float64
}

// Prober lists servers. It is an observer of transactions, whose passes tell of servers too.
type Prober struct {
	Proxy *proxy.Proxy
	Ping  bool // servers answer PING with PONG; else a connection that comes up will do

	mu      sync.Mutex
	set     healthcheck.Settings
	servers []Endpoint
	members *healthcheck.Tracker
	wake    chan struct{}
	doubts  bool
}

// New returns a prober of servers, all of which are held to be up at first.
func New(k *proxy.Proxy, set healthcheck.Settings, servers []Endpoint, ping bool) *Prober {
	p := &Prober{Proxy: k, Ping: ping, set: set, servers: servers, wake: make(chan struct{}, 1)}
	p.members = healthcheck.New(set, names(servers), k.Clock.Now())
	return p
}

func names(servers []Endpoint) (all []string) {
	for _, s := range servers {
		all = append(all, s.Name)
	}
	return all
}

// Start lists all servers. It is called before the first turn.
func (p *Prober) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list()
}

// Replace puts another list and other settings in place. Clients of a server that it no longer names are moved.
func (p *Prober) Replace(set healthcheck.Settings, servers []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.servers {
		if !slices.ContainsFunc(servers, func(s Endpoint) bool { return s.Name == old.Name }) {
			p.tell(old, balancer.StateDraining, 0)
		}
	}
	was := p.servers
	p.set, p.servers = set, servers
	p.members.UpdateSettings(set)
	p.members.Replace(names(servers), p.Proxy.Clock.Now())
	for _, s := range servers {
		if i := slices.IndexFunc(was, func(old Endpoint) bool { return old.Name == s.Name }); i >= 0 && was[i] != s {
			p.tell(s, balancer.StateReady, 0) // at another address, or of another size
		}
	}
	p.list()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// find returns a server of the list.
func (p *Prober) find(name string) (Endpoint, bool) {
	i := slices.IndexFunc(p.servers, func(s Endpoint) bool { return s.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return p.servers[i], true
}

// tell lists a server.
func (p *Prober) tell(s Endpoint, state balancer.EndpointState, born time.Duration) {
	p.Proxy.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: p.Proxy.Endpoints.ID(s.Name), State: state, Zone: s.Zone, Weight: s.Size, StartedAt: born}}, []string{s.Address})
}

// list tells of all that has changed.
func (p *Prober) list() {
	for _, c := range p.members.Changes() {
		s, ok := p.find(c.Name)
		if !ok {
			continue
		}
		state := balancer.StateReady
		if c.State == healthcheck.StateDown {
			state = balancer.StateGone
		}
		p.tell(s, state, c.RecoveredAt)
	}
	if d := p.members.PanicMode(); d != p.doubts {
		if p.doubts = d; d {
			p.Proxy.Log.Error("most servers seem to be down: this box is doubted before them, and all are listed as up")
		} else {
			p.Proxy.Log.Info("servers are listed as they are found again")
		}
	}
}

// Health tells of all servers.
func (p *Prober) Health() (all []healthcheck.EndpointHealth, doubts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Health(p.Proxy.Clock.Now()), p.members.PanicMode()
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var out sync.WaitGroup
	defer out.Wait()
	for {
		p.mu.Lock()
		now := p.Proxy.Clock.Now()
		due, next := p.members.Due(now)
		wait := p.set.Timeout
		for _, name := range due {
			if s, ok := p.find(name); ok {
				out.Go(func() { p.probe(ctx, s, wait) })
			}
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		case <-time.After(next - now):
		}
	}
}

func (p *Prober) probe(ctx context.Context, s Endpoint, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := p.ask(ctx, s.Address)
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the relay ends
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	why := ""
	if err != nil {
		why = err.Error()
	}
	p.members.ProbeEnded(p.Proxy.Clock.Now(), s.Name, err == nil, why)
	p.list()
}

// answerMost bounds what a server may answer.
const answerMost = 64

// ask asks a server whether it is there.
func (p *Prober) ask(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if !p.Ping {
		return nil
	}
	until, _ := ctx.Deadline()
	c.SetDeadline(until)
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := c.Write([]byte("PING\r\n")); err != nil {
		return err
	}
	text, err := bufio.NewReaderSize(c, answerMost).ReadSlice('\n')
	if err != nil {
		return err
	}
	if string(text) != "PONG\r\n" {
		return fmt.Errorf("it answers %q to PING", text)
	}
	return nil
}

// Began follows a transaction's passes.
func (p *Prober) Began(uint64, proxy.Request) proxy.RequestObserver { return passes{p} }

type passes struct{ *Prober }

func (passes) Decided(*balancer.Decision) {}
func (passes) Established()               {}
func (passes) Ended(proxy.Result)         {}

// AttemptStarted takes the outcome of a pass. A server that turns it away, or that sends its clients away, is there.
func (p passes) AttemptStarted(server balancer.EndpointID) func(how balancer.AttemptStatus) {
	return func(how balancer.AttemptStatus) {
		switch how {
		case balancer.StatusNotSent, balancer.StatusCancelled:
			return
		}
		ok := how == balancer.StatusOK || how == balancer.StatusFull || how == balancer.StatusRedirected
		p.mu.Lock()
		defer p.mu.Unlock()
		p.members.AttemptEnded(p.Proxy.Clock.Now(), p.Proxy.Endpoints.Name(server), ok, "a pass: "+registry.StatusNames[how])
		p.list()
	}
}
