// Package demo implements `lockroad demo`. It runs a relay among fake servers and clients on
// loopback, performs a script of faults, and compares the relay's explanations and spans with
// what the servers and clients observed.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lockroad/internal/config"
	"lockroad/internal/console"
	"lockroad/internal/fake"
	"lockroad/internal/server"
)

// Options configure a demonstration.
type Options struct {
	Servers          int
	Rate             float64       // new clients per second
	Duration         time.Duration // how long new clients arrive
	Seed             uint64
	AMQPShare        float64 // share of the clients that use AMQP 1.0
	DecisionLogBytes int     // memory of the decision log
	SampleSize       int     // number of explanations to compare with observations
	Script           string  // in the syntax of fake.ParseScript; empty: DefaultScript
	Out              io.Writer
	Log              *slog.Logger // log of the relay
}

// Limits of the load that a demonstration puts on a machine.
const (
	MaxRate     = 500
	MaxDuration = time.Hour
	maxClients  = 4000 // connected at the same time
)

const (
	readyTimeout = 10 * time.Second      // limit for the start of the relay
	pollInterval = 10 * time.Millisecond // of the console, until the relay has started
)

// Check returns an error for the first option that is out of range.
func (options *Options) Check() error {
	switch {
	case options.Servers < 2 || options.Servers > 64:
		return fmt.Errorf("%d servers: expected 2 to 64", options.Servers)
	case !(options.Rate > 0 && options.Rate <= MaxRate):
		return fmt.Errorf("rate %v: expected more than 0 and at most %d clients per second", options.Rate, MaxRate)
	case options.Duration < time.Second || options.Duration > MaxDuration:
		return fmt.Errorf("duration %v: expected 1s to %v", options.Duration, MaxDuration)
	case !(options.AMQPShare >= 0 && options.AMQPShare <= 1):
		return fmt.Errorf("AMQP share %v: expected 0 to 1", options.AMQPShare)
	}
	return nil
}

// DefaultScript returns the default script of a demonstration of a given length: one server
// hangs, one is full for a while, one drains, one is killed and restarts, and clients drop.
func DefaultScript(length time.Duration) string {
	at := func(part float64) time.Duration { return time.Duration(part * float64(length)).Round(time.Millisecond) }
	return fmt.Sprintf(`; s-1 accepts clients but does not answer
(at %v (hang s-1 %v))
(at %v (busy s-3 %v))
(at %v (drain s-2))
(at %v (restart s-4 %v))
(at %v (drop 30))
`, at(.15), min(at(.2), 8*time.Second), at(.4), min(at(.1), 5*time.Second), at(.5), at(.65), min(at(.1), 3*time.Second), at(.8))
}

// Classes are the classes of the fake clients.
var Classes = []fake.Class{
	{Name: "page-render", Share: 0.35, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 3 * time.Second},
	{Name: "part-extract", Share: 0.30, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 4 * time.Second},
	{Name: "live-preview", Share: 0.27, TimeLimit: time.Second, MeanLifetime: 4 * time.Second},
	{Name: "print-export", Share: 0.08, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 2 * time.Second},
}

// Result is the result of a demonstration. Sessions, Attempts and ByAnswer count what clients
// and servers observed; the other counts are of comparisons with the sampled explanations.
type Result struct {
	Sessions         int
	Sampled          int      // sessions whose explanation was requested
	Unexplained      int      // sampled sessions without an explanation: evicted, or never received by the relay
	Races            int      // tolerated differences between events that two sides saw at almost the same time
	SpansCompared    int      // transaction spans that were compared with explanations
	Mismatches       []string // descriptions of explanations and spans that contradict observations
	DecisionLogStats string   // output of the console command record
	Attempts         int
	ByAnswer         map[string]int // sessions by the answer that the client received
}

// Run runs a demonstration and writes its progress and summary to options.Out. Mismatches are
// not an error: they are listed in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	site, err := fake.NewSite(options.Servers, 10*time.Millisecond, 0, nil)
	if err != nil {
		return nil, err
	}
	defer site.Stop()
	actions, err := fake.ParseScript(cmp.Or(options.Script, DefaultScript(options.Duration)), site.Names())
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	d := &demonstration{Options: options, site: site, rng: rand.New(rand.NewPCG(options.Seed, 3)), startedAt: time.Now()}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	stopped := false
	defer func() {
		if !stopped {
			_ = d.stop()
		}
	}()
	site.Clients = &fake.ClientPool{Log: site.Log, LineAddress: d.frontends["line"], AMQPAddress: d.frontends["amqp"], AMQPShare: options.AMQPShare, Classes: Classes, Rate: options.Rate,
		Groups: 40, MessageInterval: 250 * time.Millisecond, MaxClients: maxClients, Seed: options.Seed}
	site.Clients.Prepare()
	arrivals, stopArrivals := context.WithTimeout(ctx, options.Duration)
	defer stopArrivals()
	var script sync.WaitGroup
	script.Go(func() { site.Run(arrivals, actions, func(action fake.ScriptedAction) { d.logf("%s", action) }) })
	site.Clients.Run(arrivals)
	script.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	d.logf("all clients have left; comparing up to %d explanations with the observations of servers and clients", options.SampleSize)
	explanations, err := d.checkExplanations()
	if err != nil {
		return nil, err
	}
	if err := d.writeSummary(); err != nil {
		return nil, err
	}
	if d.result.DecisionLogStats, err = d.command("record"); err != nil {
		return nil, err
	}
	fmt.Fprintf(options.Out, "\ndecision log\n%s", d.result.DecisionLogStats)
	stopped = true
	if err := d.stop(); err != nil {
		return nil, err
	}
	d.result.SpansCompared = d.checkSpans(explanations)
	fmt.Fprintf(options.Out, "\n%d of %d sampled explanations match the observations (%d races tolerated, %d explanations unavailable); %d spans compared\n",
		d.result.Sampled-d.result.Unexplained-len(d.result.Mismatches), d.result.Sampled, d.result.Races, d.result.Unexplained, d.result.SpansCompared)
	for _, mismatch := range d.result.Mismatches {
		fmt.Fprintln(options.Out, "mismatch:", mismatch)
	}
	return &d.result, nil
}

// demonstration is the state of a running demonstration.
type demonstration struct {
	Options
	site            *fake.Site
	rng             *rand.Rand
	startedAt       time.Time
	directory       string            // temporary; contains the console socket
	socket          string            // path of the relay's console socket
	frontends       map[string]string // addresses of the relay's frontends, by name
	collector       *fake.Collector
	collectorServer *http.Server
	cancel          context.CancelFunc // ends the relay; nil: not started
	relayDone       chan error         // receives the error that the relay ended with
	result          Result
}

// logf writes a line to Out, prefixed with the time since the start.
func (d *demonstration) logf(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the collector and the relay, and waits until the relay's console answers.
func (d *demonstration) start(ctx context.Context) error {
	var err error
	if d.directory, err = os.MkdirTemp("", "lockroad-demo-"); err != nil {
		return err
	}
	d.socket = filepath.Join(d.directory, "console.sock")
	text, err := d.site.Config(Classes, d.Seed, 0)
	if err != nil {
		return err
	}
	platform, err := config.ParseConfig(text)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.collector = &fake.Collector{}
	d.collectorServer = &http.Server{Handler: d.collector, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.collectorServer.Serve(listener) }()
	operator := &config.Operator{
		AMQP:        config.AMQP{Listen: "127.0.0.1:0", EndpointPort: d.site.AMQPPort},
		Console:     config.Console{Socket: d.socket},
		OTLP:        config.OTLP{Endpoint: "http://" + listener.Addr().String()},
		DecisionLog: config.DecisionLog{Bytes: &d.DecisionLogBytes},
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.relayDone = make(chan error, 1)
	go func() { d.relayDone <- server.Run(ctx, server.RunOptions{}, platform, operator, d.Log) }()
	for deadline := time.Now().Add(readyTimeout); ; {
		if d.frontends, err = d.listFrontends(); err == nil {
			break
		}
		select {
		case err := <-d.relayDone:
			d.relayDone <- err
			return fmt.Errorf("start relay: %w", err)
		case <-time.After(pollInterval):
		}
		if time.Now().After(deadline) {
			return errors.New("start relay: its console does not answer")
		}
	}
	fmt.Fprintf(d.Out, "running a relay and %d fake servers for %v with %v new clients per second (seed %d)\n", d.Servers, d.Duration, d.Rate, d.Seed)
	for name, address := range d.frontends {
		fmt.Fprintf(d.Out, "  frontend %-5s %s\n", name, address)
	}
	fmt.Fprintf(d.Out, "  console        %s\n  try            lockroad why --socket %s --where '(eventful)'\n", d.socket, d.socket)
	return nil
}

// stop ends the relay, which then exports its remaining telemetry, and stops the collector. It
// returns the relay's error.
func (d *demonstration) stop() error {
	defer func() { _ = os.RemoveAll(d.directory) }()
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	err := <-d.relayDone
	_ = d.collectorServer.Close()
	return err
}

// command runs a command on the relay's console and returns its output.
func (d *demonstration) command(command string) (string, error) {
	var out, errs strings.Builder
	if code := console.Run(d.socket, command, nil, &out, &errs); code != console.ExitOK {
		return "", errors.New(strings.TrimSpace(errs.String()))
	}
	return out.String(), nil
}

// listFrontends returns the addresses of the relay's frontends by name.
func (d *demonstration) listFrontends() (map[string]string, error) {
	text, err := d.command("fronts")
	if err != nil {
		return nil, err
	}
	frontends := make(map[string]string)
	for line := range strings.Lines(text) {
		if words := strings.Fields(line); len(words) == 2 && words[0] != "FRONT" {
			frontends[words[0]] = words[1]
		}
	}
	return frontends, nil
}
