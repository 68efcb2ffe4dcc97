// Package console is the operator's terminal console: commands in a line each
// over a Unix socket.
package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"lockroad/balance"
	"lockroad/internal/assert"
	"lockroad/internal/core"
	"lockroad/internal/memory"
)

const (
	commandMost = 1 << 10          // bytes of a command
	quietMost   = 10 * time.Minute // a console that says nothing for this long goes
	answerMost  = 5 * time.Second  // an answer may take this long
)

// Fronts tells of a front that clients come in by.
type Fronts struct{ Name, Listen string }

// Desk answers the console's commands.
type Desk struct {
	Name   string
	Core   *core.Core
	Fronts []Fronts
	Drain  func() // has the relay leave
}

type command struct {
	name, help string
	run        func(d *Desk, w io.Writer)
}

// commands is filled in at the start as help lists it itself.
var commands []command

func init() {
	commands = []command{
		{"status", "what the relay has done since its start", (*Desk).status},
		{"farm", "the application servers, as discovery last named them", (*Desk).farm},
		{"transactions", "those under way", (*Desk).transactions},
		{"fronts", "where clients come in", (*Desk).fronts},
		{"drain", "move everyone away and stop", (*Desk).drain},
		{"help", "this list", (*Desk).help},
	}
}

// Listen opens the console's socket for its owner alone. What an earlier run has
// left there goes, unless it still answers.
func Listen(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("console: %s answers already", path)
	}
	if info, err := os.Stat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("console: %w", err)
	}
	return l, nil
}

// Serve answers consoles until ctx ends.
func (d *Desk) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		go func() {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			d.talk(c)
		}()
	}
}

// talk answers one console. An answer is a head, "ok N" or "error N", and N bytes.
func (d *Desk) talk(c net.Conn) {
	r := bufio.NewReaderSize(c, commandMost)
	for {
		c.SetDeadline(time.Now().Add(quietMost))
		text, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		verdict, answer := d.answer(strings.TrimSpace(string(text)))
		c.SetDeadline(time.Now().Add(answerMost))
		if _, err := fmt.Fprintf(c, "%s %d\n%s", verdict, len(answer), answer); err != nil {
			return
		}
	}
}

func (d *Desk) answer(text string) (verdict, answer string) {
	var b strings.Builder
	for _, c := range commands {
		if c.name == text {
			c.run(d, &b)
			return "ok", b.String()
		}
	}
	return "error", fmt.Sprintf("unknown command %q; help lists those there are\n", text)
}

// table writes rows in columns.
func table(w io.Writer, rows func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
	t.Flush()
}

func (d *Desk) status(w io.Writer) {
	c := d.Core.Counters
	table(w, func(row func(...any)) {
		row("relay", d.Name)
		row("transactions", c.Transactions.Load())
		for stage, n := range d.Core.Transactions.Stages() {
			row("  "+memory.Stage(stage).String(), n)
		}
		for _, e := range c.Ends() {
			row(e.Name, e.Count)
		}
		for how, name := range memory.Statuses {
			row("passes "+name, c.Passes(balance.Status(how)))
		}
		row("bad openings", c.BadLines.Load())
		row("broken invariants", assert.Broken())
	})
}

func (d *Desk) farm(w io.Writer) {
	table(w, func(row func(...any)) {
		row("SERVER", "ADDRESS", "PHASE")
		for _, s := range d.Core.Farm.List() {
			row(s.Name, s.Address, memory.PhaseName(s.Phase))
		}
	})
}

func (d *Desk) transactions(w io.Writer) {
	names := make(map[balance.ServerID]string)
	for _, s := range d.Core.Farm.List() {
		names[s.ID] = s.Name
	}
	now := d.Core.Clock.Now()
	table(w, func(row func(...any)) {
		row("NUMBER", "FRONT", "NAME", "CLASS", "STAGE", "SERVER", "PASSES", "AGE")
		for _, t := range d.Core.Transactions.List() {
			server := "-"
			if t.Stage != memory.Waiting {
				server = names[t.Server]
			}
			row(t.Number, t.Front, t.Name, t.Class, t.Stage, server, t.Passes, (now - t.Since).Round(time.Millisecond))
		}
	})
}

func (d *Desk) fronts(w io.Writer) {
	table(w, func(row func(...any)) {
		row("FRONT", "LISTENS")
		for _, f := range d.Fronts {
			row(f.Name, f.Listen)
		}
	})
}

func (d *Desk) drain(w io.Writer) {
	d.Drain()
	fmt.Fprintln(w, "everyone is being moved; the relay stops after the last")
}

func (d *Desk) help(w io.Writer) {
	table(w, func(row func(...any)) {
		for _, c := range commands {
			row(c.name, c.help)
		}
	})
}
