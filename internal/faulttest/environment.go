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
	Frontend        string // frontend that the clients use, and protocol of the servers: line or amqp
	Servers         int
	Rules           string // fault script; its routes are frontend (of the relay), discovery, and the servers' names
	Actions         string // script of the servers and clients; see fake.ParseScript
	WithoutSASL     bool   // servers speak AMQP without the SASL layer
	SessionsPerConn int    // maximum of AMQP requests that share a connection to a server; 0: each has its own
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
	ended      chan error     // receives the relay's error when it has stopped
	running    sync.WaitGroup // client pool and actions; Run waits for them
}

// Run runs a scenario and returns its history for invariants.Check. Once the relay is ready, it
// calls do, which may run sessions, while the client pool and the actions run.
func Run(ctx context.Context, scenario Scenario, do func(context.Context, *Environment)) (invariants.History, error) {
	if scenario.Limits == (invariants.Limits{}) {
		scenario.Limits = invariants.DefaultLimits()
	}
	env := &Environment{Scenario: scenario, Class: Class}
	env.Class.MeanLifetime = max(scenario.MeanLifetime, 100*time.Millisecond)
	if err := env.start(ctx); err != nil {
		_ = env.stop()
		return invariants.History{}, err
	}
	actions, err := fake.ParseScript(scenario.Actions, env.Site.Names())
	if err != nil {
		_ = env.stop()
		return invariants.History{}, fmt.Errorf("parse actions: %w", err)
	}
	runCtx, cancel := context.WithTimeout(ctx, scenario.Duration)
	defer cancel()
	env.Proxy.ResetClock()
	env.startActions(runCtx, actions)
	if scenario.Rate > 0 {
		env.running.Go(func() { env.Site.Clients.Run(runCtx) })
	}
	if do != nil {
		do(ctx, env)
	}
	if scenario.Rate > 0 || len(actions) > 0 {
		<-runCtx.Done()
	}
	cancel()
	env.running.Wait()
	history := invariants.History{Sessions: env.Site.Log.Sessions(), Attempts: env.Site.Log.Attempts(), EndpointChanges: env.Site.Log.EndpointChanges(), Limits: scenario.Limits}
	return history, env.stop()
}

// startActions starts the actions and waits until those of time 0 have begun, so that they
// precede the first client.
func (e *Environment) startActions(ctx context.Context, actions []fake.ScriptedAction) {
	begun := make(chan struct{}, len(actions))
	e.running.Go(func() { e.Site.Run(ctx, actions, func(fake.ScriptedAction) { begun <- struct{}{} }) })
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
func (e *Environment) start(ctx context.Context) error {
	rules, err := faultproxy.ParseRules(e.Rules)
	if err != nil {
		return fmt.Errorf("parse fault rules: %w", err)
	}
	if e.Site, err = fake.NewSite(e.Servers, e.SetupTime, 0, nil); err != nil {
		return err
	}
	for _, server := range e.Site.Servers {
		server.WithoutSASL = e.WithoutSASL
	}
	e.Proxy = faultproxy.NewProxy(rules, e.Seed)
	e.Proxy.OnInjection = e.addInjection
	if err = e.openServerRoutes(); err != nil {
		return err
	}
	discoveryAddress, err := e.Proxy.OpenRoute(faultproxy.Route{Name: "discovery", Listen: "127.0.0.1:0", Target: e.Site.Discovery.Address()})
	if err != nil {
		return err
	}
	text, err := e.Site.Config([]fake.Class{e.Class}, e.Seed+1, 0)
	if err != nil {
		return err
	}
	platform, err := config.ParseConfig(text)
	if err != nil {
		return err
	}
	platform.DiscoveryAddr = discoveryAddress
	if e.directory, err = os.MkdirTemp("", "lockroad-faulttest-"); err != nil {
		return err
	}
	e.socket = filepath.Join(e.directory, "console")
	operator := &config.Operator{Console: config.Console{Socket: e.socket}, AMQP: config.AMQP{Listen: "127.0.0.1:0", EndpointPort: e.Site.AMQPPort, MaxSessionsPerConn: e.SessionsPerConn}}
	ctx, e.cancel = context.WithCancel(ctx)
	e.ended = make(chan error, 1)
	go func() {
		e.ended <- server.Run(ctx, server.RunOptions{}, platform, operator, slog.New(slog.DiscardHandler))
	}()
	return e.openFrontend()
}

// openFrontend opens the route to the relay's frontend and prepares the client pool.
func (e *Environment) openFrontend() error {
	frontend, err := e.awaitFrontend()
	if err != nil {
		return err
	}
	address, err := e.Proxy.OpenRoute(faultproxy.Route{Name: "frontend", Listen: "127.0.0.1:0", Target: frontend})
	if err != nil {
		return err
	}
	e.Site.Clients = &fake.ClientPool{Log: e.Site.Log, LineAddress: address, Classes: []fake.Class{e.Class}, Rate: e.Rate, Groups: 30,
		MessageInterval: 100 * time.Millisecond, MaxClients: 500, Seed: e.Seed}
	if e.Frontend == "amqp" {
		e.Site.Clients.AMQPAddress, e.Site.Clients.AMQPShare = address, 1
	}
	e.Site.Clients.Prepare()
	return nil
}

const (
	maxInjections = 10_000 // that are recorded
	routeAttempts = 21     // to find an AMQP port that is free on all servers' addresses
	readyTimeout  = 10 * time.Second
	pollInterval  = 5 * time.Millisecond
	stopTimeout   = 10 * time.Second
)

func (e *Environment) addInjection(injection faultproxy.Injection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.injections) < maxInjections {
		e.injections = append(e.injections, injection)
	}
}

func (e *Environment) openServerRoutes() (err error) {
	for range routeAttempts {
		if err = e.tryServerRoutes(); err == nil {
			return nil
		}
	}
	return err
}

// tryServerRoutes opens a route to each server and makes discovery list the routes' addresses.
// All servers use the same AMQP port, so each route has its own IP address.
func (e *Environment) tryServerRoutes() error {
	port := "0"
	amqpPort := e.Site.AMQPPort
	for i, server := range e.Site.Servers {
		target, listen := server.LineAddress(), "127.0.0.1:0"
		if e.Frontend == "amqp" {
			target, listen = server.AMQPAddress(), net.JoinHostPort(fmt.Sprintf("127.0.2.%d", i+1), port)
		}
		address, err := e.Proxy.OpenRoute(faultproxy.Route{Name: server.Name, Listen: listen, Target: target})
		if err != nil {
			for _, opened := range e.Site.Servers[:i] {
				e.Proxy.CloseRoute(opened.Name)
			}
			return err
		}
		if e.Frontend == "amqp" {
			_, port, _ = net.SplitHostPort(address)
			_, _ = fmt.Sscan(port, &amqpPort)
		}
		e.Site.Discovery.SetMember(discovery.Member{ID: server.Name, HostPort: address, Locality: "hall", Flavor: "stand-in", Phase: "ready", Size: 1})
	}
	e.Site.AMQPPort = amqpPort
	return nil
}

// awaitFrontend waits until the relay's console answers, and returns the frontend's address.
func (e *Environment) awaitFrontend() (string, error) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		select {
		case err := <-e.ended:
			e.ended <- err
			return "", fmt.Errorf("relay stopped during its start: %w", err)
		default:
		}
		text, err := e.Command("fronts")
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		for line := range strings.Lines(text) {
			if words := strings.Fields(line); len(words) == 2 && words[0] == e.Frontend {
				return words[1], nil
			}
		}
	}
	return "", errors.New("relay's console did not report the frontend's address in time")
}

// Command runs a command on the relay's console and returns its output.
func (e *Environment) Command(command string) (string, error) {
	var out, errs strings.Builder
	if code := console.Run(e.socket, command, nil, &out, &errs); code != console.ExitOK {
		return "", errors.New(errs.String())
	}
	return out.String(), nil
}

// Injections returns the injected faults, at most the first maxInjections.
func (e *Environment) Injections() []faultproxy.Injection {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.injections[:len(e.injections):len(e.injections)]
}

// RunSessions runs count sessions concurrently, each of a client and group of its own and with
// the given lifetime, and returns their records.
func (e *Environment) RunSessions(ctx context.Context, count int, lifetime time.Duration) []fake.Session {
	sessions := make([]fake.Session, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			sessions[i] = e.Site.Clients.RunSession(ctx, e.Frontend, e.Class, fmt.Sprintf("%x", 100+i), lifetime)
		})
	}
	running.Wait()
	return sessions
}

// stop stops the relay, the proxy and the site, and returns the relay's error.
func (e *Environment) stop() error {
	var err error
	if e.cancel != nil {
		e.cancel()
		select {
		case err = <-e.ended:
		case <-time.After(stopTimeout):
			err = errors.New("relay did not stop after its context was cancelled")
		}
	}
	if e.Proxy != nil {
		e.Proxy.Close()
	}
	if e.Site != nil {
		e.Site.Stop()
	}
	if e.directory != "" {
		_ = os.RemoveAll(e.directory)
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
