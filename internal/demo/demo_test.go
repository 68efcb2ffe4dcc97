package demo

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lockroad/internal/decisionlog"
)

// While servers hang, fill up, drain and restart and clients drop, each explanation must match
// what its client and servers observed, and the exported spans. `make why-run` runs longer.
func TestExplanationsMatchObservations(t *testing.T) {
	var out strings.Builder
	options := Options{Servers: 4, Rate: 25, Duration: 12 * time.Second, Seed: 3, AMQPShare: 0.4, DecisionLogBytes: decisionlog.MinBytes, SampleSize: 500, Out: &out, Log: slog.New(slog.DiscardHandler)}
	if err := options.Check(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result, err := Run(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Mismatches) > 0 {
		t.Error(strings.Join(result.Mismatches, "\n"))
	}
	if sampled := min(result.Sessions, options.SampleSize); result.Sampled != sampled || result.Sessions < 150 || result.Unexplained > sampled/10 || result.SpansCompared < sampled/2 || result.Races > sampled/10 {
		t.Errorf("%d sessions, want at least 150: %d sampled, %d unexplained, %d races, %d spans compared", result.Sessions, result.Sampled, result.Unexplained, result.Races, result.SpansCompared)
	}
	for _, want := range []string{"s-1 hangs", "s-2 drains", "s-4 is killed", "30% of the clients drop", "live-preview", "moved off s-2, which drains", "SETUP"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in the output:\n%s", want, out.String())
		}
	}
}

func TestOptionsOutOfRangeAreRejected(t *testing.T) {
	good := Options{Servers: 4, Rate: 1, Duration: time.Minute, AMQPShare: 1}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, invalidate := range []func(*Options){
		func(options *Options) { options.Servers = 1 }, func(options *Options) { options.Rate = 0 }, func(options *Options) { options.Rate = 1e9 },
		func(options *Options) { options.Duration = time.Millisecond }, func(options *Options) { options.AMQPShare = 2 },
	} {
		options := good
		if invalidate(&options); options.Check() == nil {
			t.Errorf("%+v was accepted", options)
		}
	}
	options := good
	options.Script, options.Out, options.Log = "(at 1s (hang s-9 2s))", &strings.Builder{}, slog.New(slog.DiscardHandler)
	if _, err := Run(context.Background(), options); err == nil || !strings.Contains(err.Error(), `script: line 1, column 14: unknown server "s-9"`) {
		t.Errorf("a script with an unknown server: got error %v, want one with its name and position", err)
	}
}
