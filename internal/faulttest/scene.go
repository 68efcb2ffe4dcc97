// Package faulttest plays scenes: a whole relay among stand-ins, with a fault injector
// between it and each of them, and a judge of the operators' rules at the end. Its tests
// reproduce every known failure through both fronts.
package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lockroad/internal/config"
	"lockroad/internal/console"
	"lockroad/internal/discovery"
	"lockroad/internal/fake"
	"lockroad/internal/faultproxy"
	"lockroad/internal/invariants"
	"lockroad/internal/server"
)

// Scenario is what is to be played.
type Scenario struct {
	Front        string // line or amqp: that clients and servers speak
	Servers      int
	Rules        string // of the fault injector: routes door, discovery, and each server by its name
	Actions      string // of the stand-ins
	Plain        bool   // servers speak AMQP without the security layer
	Shared       int    // transactions of AMQP over one connection to a server; 0: each has its own
	Seed         uint64
	SetupTime    time.Duration     // that a set-up takes a server
	Rate         float64           // of the crowd: new clients a second; 0: none
	Duration     time.Duration     // for which it comes, and the acts go on
	MeanLifetime time.Duration     // of a connection of the crowd, on average
	Limits       invariants.Limits // zero: the usual
}

// Class is that of all clients of a scene.
var Class = fake.Class{Name: "page-render", Share: 1, TimeLimit: 2400 * time.Millisecond}

// Environment is a scene under way.
type Environment struct {
	Scenario
	Site  *fake.Site
	Proxy *faultproxy.Proxy
	Class fake.Class

	mu     sync.Mutex
	did    []faultproxy.Injection
	socket string
	folder string
	cancel context.CancelFunc
	ended  chan error
	acts   sync.WaitGroup
}

// Run plays a scene: do is called once the relay is ready, and may have clients come;
// the crowd and the acts go on beside it. It returns all that there is to judge.
func Run(ctx context.Context, s Scenario, do func(context.Context, *Environment)) (invariants.History, error) {
	if s.Limits == (invariants.Limits{}) {
		s.Limits = invariants.DefaultLimits()
	}
	st := &Environment{Scenario: s, Class: Class}
	st.Class.MeanLifetime = max(s.MeanLifetime, 100*time.Millisecond)
	if err := st.start(ctx); err != nil {
		_ = st.stop()
		return invariants.History{}, err
	}
	acts, err := fake.ParseScript(s.Actions, st.Site.Names())
	if err != nil {
		_ = st.stop()
		return invariants.History{}, fmt.Errorf("acts: %w", err)
	}
	coming, done := context.WithTimeout(ctx, s.Duration)
	defer done()
	st.Proxy.Restart()
	acted := make(chan struct{}, len(acts))
	st.acts.Go(func() { st.Site.Run(coming, acts, func(fake.ScriptedAction) { acted <- struct{}{} }) })
	for _, a := range acts { // a server that hangs from the start does before the first client comes
		if a.At > 0 {
			continue
		}
		select {
		case <-acted:
		case <-coming.Done():
		}
	}
	if s.Rate > 0 {
		st.acts.Go(func() { st.Site.Clients.Run(coming) })
	}
	if do != nil {
		do(ctx, st)
	}
	if s.Rate > 0 || len(acts) > 0 {
		<-coming.Done()
	}
	done()
	st.acts.Wait()
	h := invariants.History{Sessions: st.Site.Log.Sessions(), Attempts: st.Site.Log.Attempts(), EndpointChanges: st.Site.Log.EndpointChanges(), Limits: s.Limits}
	return h, st.stop()
}

// start builds the site, the proxy's routes, and the relay between them.
func (st *Environment) start(ctx context.Context) error {
	list, err := faultproxy.ParseRules(st.Rules)
	if err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	if st.Site, err = fake.NewSite(st.Servers, st.SetupTime, 0, nil); err != nil {
		return err
	}
	for _, server := range st.Site.Servers {
		server.Plain = st.Plain
	}
	st.Proxy = faultproxy.NewProxy(list, st.Seed)
	st.Proxy.OnInjection = func(d faultproxy.Injection) {
		st.mu.Lock()
		defer st.mu.Unlock()
		if len(st.did) < 10_000 {
			st.did = append(st.did, d)
		}
	}
	for tries := 0; ; tries++ {
		if err = st.routes(); err == nil || tries == 20 {
			break
		}
	}
	if err != nil {
		return err
	}
	at, err := st.Proxy.Open(faultproxy.Route{Name: "discovery", Listen: "127.0.0.1:0", Target: st.Site.Discovery.Address()})
	if err != nil {
		return err
	}
	text, err := st.Site.Config([]fake.Class{st.Class}, st.Seed+1, 0)
	if err != nil {
		return err
	}
	platform, err := config.ParseConfig(text)
	if err != nil {
		return err
	}
	platform.Discovery = at
	if st.folder, err = os.MkdirTemp("", "lockroad-trouble-"); err != nil {
		return err
	}
	st.socket = filepath.Join(st.folder, "console")
	o := &config.Operator{Console: config.Console{Socket: st.socket}, AMQP: config.AMQP{Listen: "127.0.0.1:0", EndpointPort: st.Site.AMQPPort, Shared: st.Shared}}
	ctx, st.cancel = context.WithCancel(ctx)
	st.ended = make(chan error, 1)
	go func() {
		st.ended <- server.Run(ctx, server.RunOptions{}, platform, o, slog.New(slog.DiscardHandler))
	}()
	front, err := st.front()
	if err != nil {
		return err
	}
	door, err := st.Proxy.Open(faultproxy.Route{Name: "door", Listen: "127.0.0.1:0", Target: front})
	if err != nil {
		return err
	}
	st.Site.Clients = &fake.ClientPool{Log: st.Site.Log, LineAddress: door, Classes: []fake.Class{st.Class}, Rate: st.Rate, Groups: 30,
		MessageInterval: 100 * time.Millisecond, MaxClients: 500, Seed: st.Seed}
	if st.Front == "amqp" {
		st.Site.Clients.AMQPAddress, st.Site.Clients.Share = door, 1
	}
	st.Site.Clients.Prepare()
	return nil
}

// routes puts a route before each server, and has discovery list those. All servers
// speak AMQP on one port, so each route has an address of its own.
func (st *Environment) routes() error {
	port := "0"
	opened := st.Site.AMQPPort
	for i, server := range st.Site.Servers {
		target, listen := server.Address(), "127.0.0.1:0"
		if st.Front == "amqp" {
			target, listen = server.AMQP(), net.JoinHostPort(fmt.Sprintf("127.0.2.%d", i+1), port)
		}
		at, err := st.Proxy.Open(faultproxy.Route{Name: server.Name, Listen: listen, Target: target})
		if err != nil {
			for _, one := range st.Site.Servers[:i] {
				st.Proxy.Shut(one.Name)
			}
			return err
		}
		if st.Front == "amqp" {
			_, port, _ = net.SplitHostPort(at)
			_, _ = fmt.Sscan(port, &opened)
		}
		st.Site.Discovery.Set(discovery.Member{ID: server.Name, HostPort: at, Locality: "hall", Flavor: "stand-in", Phase: "ready", Size: 1})
	}
	st.Site.AMQPPort = opened
	return nil
}

// front waits until the relay answers at its console, and returns where its front is.
func (st *Environment) front() (string, error) {
	for late := time.Now().Add(10 * time.Second); time.Now().Before(late); {
		select {
		case err := <-st.ended:
			st.ended <- err
			return "", fmt.Errorf("the relay has ended: %w", err)
		default:
		}
		text, err := st.Command("fronts")
		if err != nil {
			time.Sleep(5 * time.Millisecond) // a poll with a bound: nothing waits for it
			continue
		}
		for line := range strings.Lines(text) {
			if words := strings.Fields(line); len(words) == 2 && words[0] == st.Front {
				return words[1], nil
			}
		}
	}
	return "", errors.New("the relay does not answer at its console")
}

// Command has the relay run a command of its console.
func (st *Environment) Command(command string) (string, error) {
	var out, errs strings.Builder
	if code := console.Run(st.socket, command, nil, &out, &errs); code != console.ExitOK {
		return "", errors.New(errs.String())
	}
	return out.String(), nil
}

// Injections are the faults that were done.
func (st *Environment) Injections() []faultproxy.Injection {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.did[:len(st.did):len(st.did)]
}

// RunSessions has n clients of as many groups come at once, each for a time, and returns what
// they saw.
func (st *Environment) RunSessions(ctx context.Context, n int, stay time.Duration) []fake.Session {
	all := make([]fake.Session, n)
	var here sync.WaitGroup
	for i := range n {
		here.Go(func() {
			all[i] = st.Site.Clients.RunSession(ctx, st.Front, st.Class, fmt.Sprintf("%x", 100+i), stay)
		})
	}
	here.Wait()
	return all
}

// stop ends the relay and all around it.
func (st *Environment) stop() error {
	var err error
	if st.cancel != nil {
		st.cancel()
		select {
		case err = <-st.ended:
		case <-time.After(10 * time.Second):
			err = errors.New("the relay does not end")
		}
	}
	if st.Proxy != nil {
		st.Proxy.Close()
	}
	if st.Site != nil {
		st.Site.Stop()
	}
	if st.folder != "" {
		_ = os.RemoveAll(st.folder)
	}
	return err
}

// Report writes what was done and what was broken, for a person.
func Report(w io.Writer, did []faultproxy.Injection, broken []invariants.Violation) {
	for _, d := range did {
		fmt.Fprintf(w, "%10v  %s: %s on %s, connection %d %s, byte %d\n", d.At.Round(time.Millisecond), d.Rule, d.Kind, d.Route, d.Conn, d.Direction, d.Offset)
	}
	for _, b := range broken {
		fmt.Fprintf(w, "broken: %s\n", b)
	}
}
