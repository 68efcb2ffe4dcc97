package demo

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lockroad/internal/decisionlog"
)

// The short form of `make why-run`: while servers hang, fill up, drain and restart and
// clients drop, each answer to "why" is as clients and servers saw it, and telemetry
// tells the same.
func TestExplanationsMatchWhatWasSeen(t *testing.T) {
	var out strings.Builder
	options := Options{Servers: 4, Rate: 25, For: 12 * time.Second, Seed: 3, AMQP: 0.4, Bytes: decisionlog.MinBytes, Asks: 500, Out: &out, Log: slog.New(slog.DiscardHandler)}
	if err := options.Check(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result, err := Run(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Bad) > 0 {
		t.Error(strings.Join(result.Bad, "\n"))
	}
	if asked := min(result.Sessions, options.Asks); result.Asked != asked || result.Sessions < 150 || result.Gone > asked/10 || result.Spans < asked/2 || result.Crossed > asked/10 {
		t.Errorf("of %d visits %d were asked for, %d gone, %d crossed, %d spans", result.Sessions, result.Asked, result.Gone, result.Crossed, result.Spans)
	}
	for _, want := range []string{"s-1 hangs", "s-2 drains", "s-4 is killed", "30% of the clients drop", "live-preview", "moved off s-2, which drains", "SET-UP"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("nothing is told of %q in\n%s", want, out.String())
		}
	}
}

func TestOptionsOutOfRangeAreRejected(t *testing.T) {
	good := Options{Servers: 4, Rate: 1, For: time.Minute, AMQP: 1}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, spoil := range []func(*Options){
		func(options *Options) { options.Servers = 1 }, func(options *Options) { options.Rate = 0 }, func(options *Options) { options.Rate = 1e9 },
		func(options *Options) { options.For = time.Millisecond }, func(options *Options) { options.AMQP = 2 },
	} {
		options := good
		if spoil(&options); options.Check() == nil {
			t.Errorf("%+v was taken", options)
		}
	}
	options := good
	options.Script, options.Out, options.Log = "(at 1s (hang s-9 2s))", &strings.Builder{}, slog.New(slog.DiscardHandler)
	if _, err := Run(context.Background(), options); err == nil || !strings.Contains(err.Error(), `script: line 1, column 14: unknown server "s-9"`) {
		t.Errorf("a script about nobody: %v", err)
	}
}
