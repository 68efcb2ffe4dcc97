// Package demo starts a relay among fake servers and clients on loopback, performs a script
// of faults, and compares the relay's explanations of its decisions with what the servers and
// clients saw. It is `lockroad demo`, and a test that anybody can watch.
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
	Servers int
	Rate    float64       // new clients a second
	For     time.Duration // clients arrive for this long
	Seed    uint64
	AMQP    float64 // share of the clients that use AMQP 1.0
	Bytes   int     // of the decision log
	Asks    int     // explanations that are compared with what was seen
	Script  string  // as fake.ParseScript reads it; empty: Usual
	Out     io.Writer
	Log     *slog.Logger // the relay's
}

// RateMost and ForMost bound the load of a demonstration on a machine.
const (
	MaxRate     = 500
	MaxDuration = time.Hour
	maxClients  = 4000 // at a time
)

const (
	readyTimeout = 10 * time.Second // of the relay
	pollInterval = 10 * time.Millisecond
)

// Check reports what is wrong with the options.
func (options *Options) Check() error {
	switch {
	case options.Servers < 2 || options.Servers > 64:
		return fmt.Errorf("%d servers are not within 2 and 64", options.Servers)
	case !(options.Rate > 0 && options.Rate <= MaxRate):
		return fmt.Errorf("a rate of %v is not within 0 and %d", options.Rate, MaxRate)
	case options.For < time.Second || options.For > MaxDuration:
		return fmt.Errorf("%v is not within a second and %v", options.For, MaxDuration)
	case !(options.AMQP >= 0 && options.AMQP <= 1):
		return fmt.Errorf("a part of %v is not within 0 and 1", options.AMQP)
	}
	return nil
}

// DefaultOptions returns the default script of a demonstration of a length: one server hangs, one is
// full for a while, one drains, one is killed and restarts, and clients drop.
func DefaultOptions(length time.Duration) string {
	at := func(part float64) time.Duration { return time.Duration(part * float64(length)).Round(time.Millisecond) }
	return fmt.Sprintf(`; a server takes clients and answers none
(at %v (hang s-1 %v))
(at %v (busy s-3 %v))
(at %v (drain s-2))
(at %v (restart s-4 %v))
(at %v (drop 30))
`, at(.15), min(at(.2), 8*time.Second), at(.4), min(at(.1), 5*time.Second), at(.5), at(.65), min(at(.1), 3*time.Second), at(.8))
}

// Classes are the classes of the clients.
var Classes = []fake.Class{
	{Name: "page-render", Share: 0.35, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 3 * time.Second},
	{Name: "part-extract", Share: 0.30, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 4 * time.Second},
	{Name: "live-preview", Share: 0.27, TimeLimit: time.Second, MeanLifetime: 4 * time.Second},
	{Name: "print-export", Share: 0.08, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 2 * time.Second},
}

// Result is the result of a demonstration.
type Result struct {
	Sessions int
	Asked    int
	Gone     int // of those asked for, no longer retained
	Crossed  int // attempts whose end the two sides saw differently, but at the same time
	Spans    int // that were compared with explanations
	Bad      []string
	Record   string // the console's status of the decision log
	Attempts int
	ByAnswer map[string]int
}

// Run runs a demonstration. An error says that it could not be run; what did not match is in
// the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	site, err := fake.NewSite(options.Servers, 10*time.Millisecond, 0, nil)
	if err != nil {
		return nil, err
	}
	defer site.Stop()
	actions, err := fake.ParseScript(cmp.Or(options.Script, DefaultOptions(options.For)), site.Names())
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
	site.Clients = &fake.ClientPool{Log: site.Log, LineAddress: d.frontends["line"], AMQPAddress: d.frontends["amqp"], AMQPShare: options.AMQP, Classes: Classes, Rate: options.Rate,
		Groups: 40, MessageInterval: 250 * time.Millisecond, MaxClients: maxClients, Seed: options.Seed}
	site.Clients.Prepare()
	arrivals, done := context.WithTimeout(ctx, options.For)
	defer done()
	var script sync.WaitGroup
	script.Go(func() { site.Run(arrivals, actions, func(action fake.ScriptedAction) { d.logf("%s", action) }) })
	site.Clients.Run(arrivals)
	script.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	d.logf("the last client has left; %d answers are held against what the stand-ins saw", options.Asks)
	explanations, err := d.checkExplanations()
	if err != nil {
		return nil, err
	}
	if err := d.writeSummary(); err != nil {
		return nil, err
	}
	if d.result.Record, err = d.command("record"); err != nil {
		return nil, err
	}
	fmt.Fprintf(options.Out, "\nthe record of decisions\n%s", d.result.Record)
	stopped = true
	if err := d.stop(); err != nil {
		return nil, err
	}
	d.result.Spans = d.checkSpans(explanations)
	fmt.Fprintf(options.Out, "\n%d answers of %d asked for are as the stand-ins saw it (%d crossings, %d no longer kept), %d spans of telemetry as the answers\n",
		d.result.Asked-d.result.Gone-len(d.result.Bad), d.result.Asked, d.result.Crossed, d.result.Gone, d.result.Spans)
	for _, bad := range d.result.Bad {
		fmt.Fprintln(options.Out, "not as seen:", bad)
	}
	return &d.result, nil
}

// demonstration is a demonstration that runs.
type demonstration struct {
	Options
	site      *fake.Site
	rng       *rand.Rand
	startedAt time.Time
	directory string
	socket    string
	frontends map[string]string
	collector *fake.Collector
	telemetry *http.Server
	cancel    context.CancelFunc
	ended     chan error
	result    Result
}

// logf writes a line with the time since the start.
func (d *demonstration) logf(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the collector and the relay, and waits until the relay answers.
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.collector = &fake.Collector{}
	d.telemetry = &http.Server{Handler: d.collector, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.telemetry.Serve(l) }()
	operator := &config.Operator{
		AMQP:        config.AMQP{Listen: "127.0.0.1:0", EndpointPort: d.site.AMQPPort},
		Console:     config.Console{Socket: d.socket},
		OTLP:        config.OTLP{Endpoint: "http://" + l.Addr().String()},
		DecisionLog: config.DecisionLog{Bytes: &d.Bytes},
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.ended = make(chan error, 1)
	go func() { d.ended <- server.Run(ctx, server.RunOptions{}, platform, operator, d.Log) }()
	for deadline := time.Now().Add(readyTimeout); ; {
		if d.frontends, err = d.listFrontends(); err == nil {
			break
		}
		select {
		case err := <-d.ended:
			d.ended <- err
			return fmt.Errorf("the relay has not started: %w", err)
		case <-time.After(pollInterval):
		}
		if time.Now().After(deadline) {
			return errors.New("the relay does not answer at its console")
		}
	}
	fmt.Fprintf(d.Out, "a relay and %d stand-in servers are up for %v, %v new clients a second (seed %d)\n", d.Servers, d.For, d.Rate, d.Seed)
	for name, address := range d.frontends {
		fmt.Fprintf(d.Out, "  front %-5s %s\n", name, address)
	}
	fmt.Fprintf(d.Out, "  console     %s\n  try         lockroad why --socket %s --where '(eventful)'\n", d.socket, d.socket)
	return nil
}

// stop ends the relay, which sends the last of its telemetry, and the collector.
func (d *demonstration) stop() error {
	defer func() { _ = os.RemoveAll(d.directory) }()
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	err := <-d.ended
	_ = d.telemetry.Close()
	return err
}

// command runs a command of the relay's console, and returns its output.
func (d *demonstration) command(command string) (string, error) {
	var out, errs strings.Builder
	if code := console.Run(d.socket, command, nil, &out, &errs); code != console.ExitOK {
		return "", errors.New(strings.TrimSpace(errs.String()))
	}
	return out.String(), nil
}

// listFrontends returns the addresses of the relay's frontends by their names.
func (d *demonstration) listFrontends() (map[string]string, error) {
	text, err := d.command("fronts")
	if err != nil {
		return nil, err
	}
	fronts := make(map[string]string)
	for line := range strings.Lines(text) {
		if words := strings.Fields(line); len(words) == 2 && words[0] != "FRONT" {
			fronts[words[0]] = words[1]
		}
	}
	return fronts, nil
}
