package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lockroad/internal/decisionlog"
	"lockroad/internal/demo"
	"lockroad/internal/logging"
)

// demoCommand implements "lockroad demo": it runs a relay among fake servers and clients on loopback.
type demoCommand struct {
	For     time.Duration `default:"20s" help:"How long new clients arrive."`
	Rate    float64       `default:"8" help:"New clients per second."`
	Seed    uint64        `default:"1" help:"Seed of the random numbers. The same seed generates the same clients."`
	Servers int           `default:"4" help:"Number of fake application servers. The default script needs four."`
	AMQP    float64       `name:"amqp" default:"0.3" help:"Share of clients that use AMQP 1.0, from 0 to 1."`
	Asks    int           `default:"200" help:"Number of explanations to verify against the observations of servers and clients."`
	Script  string        `type:"existingfile" placeholder:"FILE" help:"Script of faults that replaces the default one."`
	Log     bool          `help:"Print the relay's log to standard error."`
}

// Help returns the description, examples and exit codes shown by --help.
func (*demoCommand) Help() string {
	return `The demonstration runs a relay, fake application servers, a fake discovery service, a
fake telemetry collector and clients of four classes in one process, on loopback. One
server hangs, one is full, one drains and one restarts. It then prints a summary and some
explanations of routing decisions, and verifies explanations and spans against what the
servers and clients observed.

Examples:
  lockroad demo
  lockroad demo --for 1m --rate 50 --seed 7
  lockroad demo --script outage.lisp

A script is a list of timed actions, for example:
  (at 3s (hang s-1 5s))
  (at 9s (drop 50))

Exit codes:
  0    all verified explanations and spans match the observations
  1    an explanation or a span does not match, or the demonstration failed
  2    the command line is malformed`
}

// Run runs the demonstration until it is complete or interrupted.
func (c *demoCommand) Run(std streams) error {
	options := demo.Options{
		Servers: c.Servers, Rate: c.Rate, Duration: c.For, Seed: c.Seed, AMQPShare: c.AMQP, DecisionLogBytes: decisionlog.DefaultBytes, SampleSize: c.Asks, Out: std.out,
	}
	if c.Script != "" {
		text, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		options.Script = string(text)
	}
	to := io.Discard
	if c.Log {
		to = std.err
	}
	log := logging.New(logging.Options{Format: "text"}, to)
	defer log.Close()
	options.Log = log.Logger
	if err := options.Check(); err != nil {
		fmt.Fprintf(std.err, "lockroad: demo: %v\n", err)
		return exitError(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if len(result.Mismatches) > 0 {
		return exitError(exitFailed)
	}
	return nil
}
