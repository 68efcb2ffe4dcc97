// Package faulttest runs a complete relay among fake clients, servers and discovery, with a
// fault proxy between the relay and each of them. Its tests reproduce known failures through
// both frontends and check the relay's invariants.
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

// Scenario describes a run.
type Scenario struct {
	Front           string // protocol of clients and servers: line or amqp
	Servers         int
	Rules           string // fault script; routes: door (the relay's frontend), discovery, and server names
	Actions         string // script of the servers and clients; see fake.ParseScript
	WithoutSASL     bool   // servers speak AMQP without the SASL layer
	SessionsPerConn int    // AMQP requests that may share a connection to a server; 0: each has its own
	Seed            uint64
	SetupTime       time.Duration     // time in which a server accepts an attempt
	Rate            float64           // new clients per second of the client pool; 0: no pool
	Duration        time.Duration     // time that the client pool and the actions run
	MeanLifetime    time.Duration     // mean duration of the client pool's sessions
	Limits          invariants.Limits // zero: invariants.DefaultLimits
}

// Class is the class of all clients.
var Class = fake.Class{Name: "page-render", Share: 1, TimeLimit: 2400 * time.Millisecond}

// Environment is a running scenario. Its methods are safe for concurrent use.
type Environment struct {
	Scenario
	Site  *fake.Site
	Proxy *faultproxy.Proxy
	Class fake.Class

	mu         sync.Mutex // guards injections
	injections []faultproxy.Injection
	socket     string // path of the relay's console socket
	directory  string // holds the socket
	cancel     context.CancelFunc
	ended      chan error     // gets the relay's error when it has ended
	running    sync.WaitGroup // client pool and actions; Run waits for them
}

// Run runs a scenario and returns its history for invariants.Check. Once the relay is ready it
// calls do, which may start sessions, while the client pool and the actions run.
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
	actions, err := fake.ParseScript(s.Actions, st.Site.Names())
	if err != nil {
		_ = st.stop()
		return invariants.History{}, fmt.Errorf("parse actions: %w", err)
	}
	running, done := context.WithTimeout(ctx, s.Duration)
	defer done()
	st.Proxy.ResetClock()
	st.startActions(running, actions)
	if s.Rate > 0 {
		st.running.Go(func() { st.Site.Clients.Run(running) })
	}
	if do != nil {
		do(ctx, st)
	}
	if s.Rate > 0 || len(actions) > 0 {
		<-running.Done()
	}
	done()
	st.running.Wait()
	history := invariants.History{Sessions: st.Site.Log.Sessions(), Attempts: st.Site.Log.Attempts(), EndpointChanges: st.Site.Log.EndpointChanges(), Limits: s.Limits}
	return history, st.stop()
}

// startActions starts the actions and waits until those of time 0 have begun, so that they
// precede the first client.
func (st *Environment) startActions(ctx context.Context, actions []fake.ScriptedAction) {
	begun := make(chan struct{}, len(actions))
	st.running.Go(func() { st.Site.Run(ctx, actions, func(fake.ScriptedAction) { begun <- struct{}{} }) })
	for _, action := range actions {
		if action.At > 0 {
			continue
		}
		select {
		case <-begun:
		case <-ctx.Done():
		}
	}
}

// start starts the site, the proxy's routes and the relay.
func (st *Environment) start(ctx context.Context) error {
	rules, err := faultproxy.ParseRules(st.Rules)
	if err != nil {
		return fmt.Errorf("parse fault rules: %w", err)
	}
	if st.Site, err = fake.NewSite(st.Servers, st.SetupTime, 0, nil); err != nil {
		return err
	}
	for _, server := range st.Site.Servers {
		server.WithoutSASL = st.WithoutSASL
	}
	st.Proxy = faultproxy.NewProxy(rules, st.Seed)
	st.Proxy.OnInjection = st.addInjection
	if err = st.openServerRoutes(); err != nil {
		return err
	}
	discoveryAddress, err := st.Proxy.OpenRoute(faultproxy.Route{Name: "discovery", Listen: "127.0.0.1:0", Target: st.Site.Discovery.Address()})
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
	platform.DiscoveryAddr = discoveryAddress
	if st.directory, err = os.MkdirTemp("", "lockroad-trouble-"); err != nil {
		return err
	}
	st.socket = filepath.Join(st.directory, "console")
	o := &config.Operator{Console: config.Console{Socket: st.socket}, AMQP: config.AMQP{Listen: "127.0.0.1:0", EndpointPort: st.Site.AMQPPort, MaxSessionsPerConn: st.SessionsPerConn}}
	ctx, st.cancel = context.WithCancel(ctx)
	st.ended = make(chan error, 1)
	go func() {
		st.ended <- server.Run(ctx, server.RunOptions{}, platform, o, slog.New(slog.DiscardHandler))
	}()
	return st.openFrontend()
}

// openFrontend opens the route to the relay's frontend and prepares the client pool.
func (st *Environment) openFrontend() error {
	frontend, err := st.awaitFrontend()
	if err != nil {
		return err
	}
	address, err := st.Proxy.OpenRoute(faultproxy.Route{Name: "door", Listen: "127.0.0.1:0", Target: frontend})
	if err != nil {
		return err
	}
	st.Site.Clients = &fake.ClientPool{Log: st.Site.Log, LineAddress: address, Classes: []fake.Class{st.Class}, Rate: st.Rate, Groups: 30,
		MessageInterval: 100 * time.Millisecond, MaxClients: 500, Seed: st.Seed}
	if st.Front == "amqp" {
		st.Site.Clients.AMQPAddress, st.Site.Clients.AMQPShare = address, 1
	}
	st.Site.Clients.Prepare()
	return nil
}

const (
	maxInjections = 10_000 // recorded
	routeAttempts = 21     // to find an AMQP port that is free on all addresses
	readyTimeout  = 10 * time.Second
	pollInterval  = 5 * time.Millisecond
	stopTimeout   = 10 * time.Second
)

func (st *Environment) addInjection(injection faultproxy.Injection) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.injections) < maxInjections {
		st.injections = append(st.injections, injection)
	}
}

func (st *Environment) openServerRoutes() (err error) {
	for range routeAttempts {
		if err = st.tryServerRoutes(); err == nil {
			return nil
		}
	}
	return err
}

// tryServerRoutes opens a route to each server and makes discovery list the routes' addresses.
// All servers use the same AMQP port, so each route has its own IP address.
func (st *Environment) tryServerRoutes() error {
	port := "0"
	amqpPort := st.Site.AMQPPort
	for i, server := range st.Site.Servers {
		target, listen := server.LineAddress(), "127.0.0.1:0"
		if st.Front == "amqp" {
			target, listen = server.AMQPAddress(), net.JoinHostPort(fmt.Sprintf("127.0.2.%d", i+1), port)
		}
		at, err := st.Proxy.OpenRoute(faultproxy.Route{Name: server.Name, Listen: listen, Target: target})
		if err != nil {
			for _, opened := range st.Site.Servers[:i] {
				st.Proxy.CloseRoute(opened.Name)
			}
			return err
		}
		if st.Front == "amqp" {
			_, port, _ = net.SplitHostPort(at)
			_, _ = fmt.Sscan(port, &amqpPort)
		}
		st.Site.Discovery.SetMember(discovery.Member{ID: server.Name, HostPort: at, Locality: "hall", Flavor: "stand-in", Phase: "ready", Size: 1})
	}
	st.Site.AMQPPort = amqpPort
	return nil
}

// awaitFrontend waits until the relay's console answers, and returns the frontend's address.
func (st *Environment) awaitFrontend() (string, error) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		select {
		case err := <-st.ended:
			st.ended <- err
			return "", fmt.Errorf("relay ended during start: %w", err)
		default:
		}
		text, err := st.Command("fronts")
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		for line := range strings.Lines(text) {
			if words := strings.Fields(line); len(words) == 2 && words[0] == st.Front {
				return words[1], nil
			}
		}
	}
	return "", errors.New("relay's console does not report the frontend in time")
}

// Command runs a command on the relay's console and returns its output.
func (st *Environment) Command(command string) (string, error) {
	var out, errs strings.Builder
	if code := console.Run(st.socket, command, nil, &out, &errs); code != console.ExitOK {
		return "", errors.New(errs.String())
	}
	return out.String(), nil
}

// Injections returns the injected faults, at most the first maxInjections.
func (st *Environment) Injections() []faultproxy.Injection {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.injections[:len(st.injections):len(st.injections)]
}

// RunSessions runs count sessions concurrently, each of a client and group of its own and with
// the given lifetime, and returns their records.
func (st *Environment) RunSessions(ctx context.Context, count int, lifetime time.Duration) []fake.Session {
	sessions := make([]fake.Session, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			sessions[i] = st.Site.Clients.RunSession(ctx, st.Front, st.Class, fmt.Sprintf("%x", 100+i), lifetime)
		})
	}
	running.Wait()
	return sessions
}

// stop stops the relay, the proxy and the site, and returns the relay's error.
func (st *Environment) stop() error {
	var err error
	if st.cancel != nil {
		st.cancel()
		select {
		case err = <-st.ended:
		case <-time.After(stopTimeout):
			err = errors.New("relay does not end after its context")
		}
	}
	if st.Proxy != nil {
		st.Proxy.Close()
	}
	if st.Site != nil {
		st.Site.Stop()
	}
	if st.directory != "" {
		_ = os.RemoveAll(st.directory)
	}
	return err
}

// Report writes the injected faults and the violations in readable form.
func Report(w io.Writer, injections []faultproxy.Injection, violations []invariants.Violation) {
	for _, injection := range injections {
		fmt.Fprintf(w, "%10v  %s: %s on %s, connection %d %s, byte %d\n", injection.At.Round(time.Millisecond), injection.Rule, injection.Kind, injection.Route, injection.Conn, injection.Direction, injection.Offset)
	}
	for _, violation := range violations {
		fmt.Fprintf(w, "violated: %s\n", violation)
	}
}
