// Package probe finds out which application servers of a list are up, where no discovery tells: it carries out
// the probes that internal/members asks for, and lists servers by what that holds of them.
package probe

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
	"lockroad/internal/members"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// Server is one of the list.
type Server struct {
	Name    string
	Address string
	Zone    int
	Size    float64
}

// Prober lists servers. It is an observer of transactions, whose passes tell of servers too.
type Prober struct {
	Core *proxy.Proxy
	Ping bool // servers answer PING with PONG; else a connection that comes up will do

	mu      sync.Mutex
	set     members.Settings
	servers []Server
	members *members.Members
	wake    chan struct{}
	doubts  bool
}

// New returns a prober of servers, all of which are held to be up at first.
func New(k *proxy.Proxy, set members.Settings, servers []Server, ping bool) *Prober {
	p := &Prober{Core: k, Ping: ping, set: set, servers: servers, wake: make(chan struct{}, 1)}
	p.members = members.New(set, names(servers), k.Clock.Now())
	return p
}

func names(servers []Server) (all []string) {
	for _, s := range servers {
		all = append(all, s.Name)
	}
	return all
}

// Begin lists all servers. It is called before the first turn.
func (p *Prober) Begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list()
}

// Replace puts another list and other settings in place. Clients of a server that it no longer names are moved.
func (p *Prober) Replace(set members.Settings, servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.servers {
		if !slices.ContainsFunc(servers, func(s Server) bool { return s.Name == old.Name }) {
			p.tell(old, balancer.StateDraining, 0)
		}
	}
	was := p.servers
	p.set, p.servers = set, servers
	p.members.Retune(set)
	p.members.Replace(names(servers), p.Core.Clock.Now())
	for _, s := range servers {
		if i := slices.IndexFunc(was, func(old Server) bool { return old.Name == s.Name }); i >= 0 && was[i] != s {
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
func (p *Prober) find(name string) (Server, bool) {
	i := slices.IndexFunc(p.servers, func(s Server) bool { return s.Name == name })
	if i < 0 {
		return Server{}, false
	}
	return p.servers[i], true
}

// tell lists a server.
func (p *Prober) tell(s Server, state balancer.EndpointState, born time.Duration) {
	p.Core.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{{ID: p.Core.Endpoints.ID(s.Name), State: state, Zone: s.Zone, Weight: s.Size, StartedAt: born}}, []string{s.Address})
}

// list tells of all that has changed.
func (p *Prober) list() {
	for _, c := range p.members.Changes() {
		s, ok := p.find(c.Name)
		if !ok {
			continue
		}
		state := balancer.StateReady
		if c.State == members.Down {
			state = balancer.StateGone
		}
		p.tell(s, state, c.Born)
	}
	if d := p.members.Doubts(); d != p.doubts {
		if p.doubts = d; d {
			p.Core.Log.Error("most servers seem to be down: this box is doubted before them, and all are listed as up")
		} else {
			p.Core.Log.Info("servers are listed as they are found again")
		}
	}
}

// Health tells of all servers.
func (p *Prober) Health() (all []members.Health, doubts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Health(p.Core.Clock.Now()), p.members.Doubts()
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var out sync.WaitGroup
	defer out.Wait()
	for {
		p.mu.Lock()
		now := p.Core.Clock.Now()
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

func (p *Prober) probe(ctx context.Context, s Server, wait time.Duration) {
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
	p.members.Probed(p.Core.Clock.Now(), s.Name, err == nil, why)
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
		p.members.Passed(p.Core.Clock.Now(), p.Core.Endpoints.Name(server), ok, "a pass: "+registry.StatusNames[how])
		p.list()
	}
}
