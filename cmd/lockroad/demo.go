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

// demoCommand runs a relay among fakes on loopback.
type demoCommand struct {
	For     time.Duration `default:"20s" help:"Clients come for this long."`
	Rate    float64       `default:"8" help:"New clients a second."`
	Seed    uint64        `default:"1" help:"For the stand-ins' chance; the same seed brings the same clients."`
	Servers int           `default:"4" help:"Stand-ins of application servers; the usual script needs four."`
	AMQP    float64       `name:"amqp" default:"0.3" help:"Part of the clients that speak AMQP 1.0."`
	Asks    int           `default:"200" help:"Answers that are held against what the stand-ins saw."`
	Script  string        `type:"existingfile" placeholder:"FILE" help:"What happens, in place of the usual."`
	Log     bool          `help:"Show the relay's log as well."`
}

// Help has examples.
func (*demoCommand) Help() string {
	return `A relay, stand-ins of application servers, of discovery and of a collector, and clients
of four classes, all in this process and on loopback. One server hangs, one is full, one
drains and one restarts; then a summary, some answers to "why", and how many of them are
as the stand-ins saw it.

Examples:
  lockroad demo
  lockroad demo --for 1m --rate 50 --seed 7
  lockroad demo --script outage.lisp      such as (at 3s (hang s-1 5s)) (at 9s (drop 50))

It ends with 1 if an answer is not as the stand-ins saw it.`
}

// Run runs the demonstration until its end or an interrupt.
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
