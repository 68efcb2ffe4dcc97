// Package console is the operator's terminal console: commands in a line each
// over a Unix socket.
package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/decisionlog"
	"lockroad/internal/explain"
	"lockroad/internal/healthcheck"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

const (
	commandMost = 4 << 10          // bytes of a command
	quietMost   = 10 * time.Minute // a console that says nothing for this long goes
	answerMost  = 5 * time.Second  // an answer may take this long

	// MaxSessions bounds those that are open at a time, and so the descriptors that they take.
	MaxSessions = 24
)

// Frontend tells of a front that clients come in by.
type Frontend struct{ Name, Listen string }

// Server answers the console's commands.
type Server struct {
	Name        string
	Proxy       *proxy.Proxy
	Frontends   []Frontend
	Drain       func()             // has the relay leave
	Explainer   *explain.Explainer // tells of decisions; nil: none are kept
	Persistence Persistence        // takes orders; nil: none are taken
	// Reload has the configuration's file taken, and tells what changes; with dry it only tells.
	Reload func(ctx context.Context, dry bool) ([]string, error)
	Health func() (all []healthcheck.EndpointHealth, doubts bool) // of a site's servers; nil: discovery tells of them
	Log    func(most int) []string                                // the last lines of the log; nil: none are kept
	// Restart has the relay leave and be started again. An error says why that can't be.
	Restart func() error
}

type command struct {
	name, args, help string
	// run answers. An error turns the command down.
	run func(d *Server, a asked, w io.Writer) error
	// forms says that --json may follow, and the answer is an object a line.
	forms bool
}

// asked is one command as it came.
type asked struct {
	ctx   context.Context // ends with the console
	words string          // that follow the name
	who   string          // asks
}

// bare is a command that takes no words.
func bare(run func(d *Server, a asked, w io.Writer) error) func(*Server, asked, io.Writer) error {
	return func(d *Server, a asked, w io.Writer) error {
		if a.words != "" {
			return fmt.Errorf("nothing may follow here, not %q", a.words)
		}
		return run(d, a, w)
	}
}

// plain is one that can't fail, either.
func plain(run func(d *Server, w io.Writer)) func(*Server, asked, io.Writer) error {
	return bare(func(d *Server, _ asked, w io.Writer) error {
		run(d, w)
		return nil
	})
}

// commands is filled in at the start as help lists it itself.
var commands []command

func init() {
	commands = []command{
		{"status", "", "what the relay has done since its start", plain((*Server).status), true},
		{"farm", "", "the application servers, as discovery last named them", plain((*Server).farm), true},
		{"servers", "", "the servers with what is there of transactions, and what is held of them", bare((*Server).servers), true},
		{"transactions", "", "those under way", plain((*Server).transactions), true},
		{"fronts", "", "where clients come in", plain((*Server).fronts), true},
		{"why", "NUMBER|NAME|(QUERY)", "why a transaction went where it went; help why tells more", (*Server).why, false},
		{"pin", "NUMBER", "keep the record of a transaction", pin(true), false},
		{"unpin", "NUMBER", "let it go again", pin(false), false},
		{"record", "", "what the record of decisions holds and has let go", (*Server).record, true},
		{"drain", "[SERVER [for TIME] [because WORDS]]", "have a server drain whatever the list says; without one, move everyone away and stop", drain, false},
		{"undrain", "SERVER", "withdraw the order", undrain, false},
		{"restart", "", "move everyone away and be started again, where a supervisor does that", bare(restart), false},
		{"health", "", "which servers are up by their probes and passes", plain((*Server).health), true},
		{"reload", "[--dry-run]", "take the configuration's file anew, or tell what that would change", reload, false},
		{"orders", "", "the orders in force that have servers drain", plain((*Server).orders), true},
		{"store", "", "what is kept on disk", plain((*Server).store), true},
		{"log", "[LINES]", "the last lines of the log", (*Server).log, true},
		{"help", "[why]", "this list; those with --json write an object a line", (*Server).help, false},
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
		_ = os.Remove(path) // if it stays, Listen fails
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
func (d *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	places := make(chan struct{}, MaxSessions)
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
		select {
		case places <- struct{}{}:
		default: // of a console that knows nothing of it this is the answer to its first command
			c.SetDeadline(time.Now().Add(time.Millisecond))
			io.WriteString(c, frame("error", fmt.Sprintf("%d consoles are open, as many as may be\n", MaxSessions)))
			c.Close()
			continue
		}
		go func() {
			defer func() { <-places }()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			d.talk(ctx, c)
		}()
	}
}

// talk answers one console. An answer is a head, "ok N" or "error N", and N bytes.
func (d *Server) talk(ctx context.Context, c net.Conn) {
	by := who(c)
	r := bufio.NewReaderSize(c, commandMost)
	for {
		c.SetDeadline(time.Now().Add(quietMost))
		text, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		verdict, answer := d.answer(ctx, strings.TrimSpace(string(text)), by)
		c.SetDeadline(time.Now().Add(answerMost))
		if _, err := io.WriteString(c, frame(verdict, answer)); err != nil {
			return
		}
	}
}

// frame is an answer as it goes to a console, with nothing in it that would move a terminal.
func frame(verdict, answer string) string {
	answer = Sanitize(answer)
	return fmt.Sprintf("%s %d\n%s", verdict, len(answer), answer)
}

func (d *Server) answer(ctx context.Context, text, by string) (verdict, answer string) {
	var b strings.Builder
	name, words, _ := strings.Cut(text, " ")
	for _, c := range commands {
		if c.name == name {
			words, form := strings.TrimSpace(words), io.Writer(&b)
			if before, is := strings.CutSuffix(words, "--json"); is && c.forms {
				words, form = strings.TrimSpace(before), &objects{&b}
			}
			if err := c.run(d, asked{ctx, words, by}, form); err != nil {
				return "error", fmt.Sprintf("%s: %v\n", name, err)
			}
			return "ok", b.String()
		}
	}
	return "error", fmt.Sprintf("unknown command %q; help lists those there are\n", name)
}

func (d *Server) status(w io.Writer) {
	c := d.Proxy.Counters
	table(w, nil, func(row func(...any)) {
		row("relay", d.Name)
		row("transactions", c.Requests.Load())
		for stage, n := range d.Proxy.Requests.CountByStage() {
			row("  "+registry.Stage(stage).String(), n)
		}
		for _, e := range c.Ends() {
			row(e.Name, e.Count)
		}
		for how, name := range registry.StatusNames {
			row("passes "+name, c.Attempts(balancer.AttemptStatus(how)))
		}
		row("bad openings", c.ProtocolErrors.Load())
		row("broken invariants", assert.Broken())
	})
}

func (d *Server) farm(w io.Writer) {
	table(w, []string{"SERVER", "ADDRESS", "PHASE"}, func(row func(...any)) {
		for _, s := range d.Proxy.Endpoints.List() {
			row(s.Name, s.Address, d.phase(s))
		}
	})
}

// viewWait bounds the wait for the turn in which the module tells what it holds of servers.
const viewWait = time.Second

// servers lists those that are not gone, or that someone is left at.
func (d *Server) servers(a asked, w io.Writer) error {
	at := d.at()
	ctx, cancel := context.WithTimeout(a.ctx, viewWait)
	defer cancel()
	held := d.Proxy.EndpointViews(ctx)
	table(w, []string{"SERVER", "STATE", "TRANSACTIONS", "DELAY", "LOAD", "AVOIDED", "ADDRESS"}, func(row func(...any)) {
		for _, s := range d.Proxy.Endpoints.List() {
			if s.State == balancer.StateGone && at[s.Name] == 0 {
				continue
			}
			var delay, load, avoided any
			if h, ok := held[s.ID]; ok {
				if h.Delay > 0 {
					delay = h.Delay.Round(100 * time.Microsecond)
				}
				load = math.Round(h.Load*10) / 10
				if h.Avoided != "" {
					avoided = h.Avoided
				}
			}
			row(s.Name, d.phase(s), at[s.Name], delay, load, avoided, s.Address)
		}
	})
	return nil
}

// phase is a server's phase, and whose word it is.
func (d *Server) phase(s registry.Endpoint) string {
	if s.State == balancer.StateDraining && d.Proxy.DrainDirected(s.Name) {
		return registry.StateName(s.State) + ", as ordered"
	}
	return registry.StateName(s.State)
}

func (d *Server) transactions(w io.Writer) {
	names := make(map[balancer.EndpointID]string)
	for _, s := range d.Proxy.Endpoints.List() {
		names[s.ID] = s.Name
	}
	now := d.Proxy.Clock.Now()
	table(w, []string{"NUMBER", "FRONT", "NAME", "CLASS", "STAGE", "SERVER", "PASSES", "AGE"}, func(row func(...any)) {
		for _, t := range d.Proxy.Requests.List() {
			var server any
			if t.Stage != registry.StageWaiting {
				server = names[t.Endpoint]
			}
			row(t.Number, t.Front, t.Name, t.Class, t.Stage, server, t.Attempts, (now - t.Since).Round(time.Millisecond))
		}
	})
}

func (d *Server) fronts(w io.Writer) {
	table(w, []string{"FRONT", "LISTENS"}, func(row func(...any)) {
		for _, f := range d.Frontends {
			row(f.Name, f.Listen)
		}
	})
}

func (d *Server) help(a asked, w io.Writer) error {
	switch a.words {
	case "":
		table(w, nil, func(row func(...any)) {
			for _, c := range commands {
				args := c.args
				if c.forms {
					args = strings.TrimSpace(args + " [--json]")
				}
				row(strings.TrimSpace(c.name+" "+args), c.help)
			}
		})
	case "why":
		fmt.Fprintf(w, "why NUMBER|NAME|FLOW\nwhy [--json] [--most N] [--by FIELD,...] [(QUERY)]\n\nA query is one of\n%s", explain.Help())
	default:
		return fmt.Errorf("there is more to tell of why only, not of %q", a.words)
	}
	return nil
}

var errNoRecord = errors.New("no decisions are kept: the operator's file has why.bytes = 0")

// why answers a question about decisions.
func (d *Server) why(a asked, w io.Writer) error {
	if d.Explainer == nil {
		return errNoRecord
	}
	q, err := explain.ParseLine(a.words)
	if err != nil {
		return err
	}
	return d.Explainer.Answer(q, w)
}

// pin keeps the record of a transaction, or lets it go.
func pin(on bool) func(*Server, asked, io.Writer) error {
	return func(d *Server, a asked, w io.Writer) error {
		if d.Explainer == nil {
			return errNoRecord
		}
		number, err := strconv.ParseUint(a.words, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is no transaction's number; why tells it", a.words)
		}
		if err := d.Explainer.Log.Pin(number, on); err != nil {
			return err
		}
		if on && d.Persistence != nil {
			d.Persistence.Pinned(number)
		}
		fmt.Fprintf(w, "transaction %d is %s\n", number, map[bool]string{true: "pinned", false: "no longer pinned"}[on])
		return nil
	}
}

// record tells of the record itself.
func (d *Server) record(a asked, w io.Writer) error {
	if d.Explainer == nil {
		return errNoRecord
	}
	return plain(func(d *Server, w io.Writer) {
		s := d.Explainer.Log.Stats()
		table(w, []string{"KIND", "KEPT", "SHARE", "NO LONGER KEPT"}, func(row func(...any)) {
			for _, kind := range decisionlog.CategoryNames {
				row(kind, s.Entries[kind], fmt.Sprintf("%.1f%%", 100*float64(s.BlocksInUse[kind])/float64(s.Blocks)), s.Dropped[kind])
			}
		})
		fmt.Fprintf(w, "%d bytes, all set aside at the start; %d steps found no room\n", s.Bytes, s.EventsLost)
		if s.Horizon > 0 {
			fmt.Fprintf(w, "all that came within the last %s are kept\n", (d.Proxy.Clock.Now() - s.Horizon).Round(time.Second))
		}
	})(d, a, w)
}

const (
	logUsual = 20 // lines of the log that are told if nothing else is asked for
	logMost  = 1000
)

// log tells the last lines of the log.
func (d *Server) log(a asked, w io.Writer) error {
	if d.Log == nil {
		return errors.New("this relay keeps no lines of its log")
	}
	most := logUsual
	if a.words != "" {
		n, err := strconv.Atoi(a.words)
		if err != nil || n < 1 || n > logMost {
			return fmt.Errorf("%q is no number of lines within 1 and %d", a.words, logMost)
		}
		most = n
	}
	for _, line := range d.Log(most) {
		fmt.Fprintln(w, strings.TrimRight(line, "\n"))
	}
	return nil
}

// restart has the relay leave and be started again.
func restart(d *Server, _ asked, w io.Writer) error {
	if d.Restart == nil {
		return errors.New("this relay can't be started again from here")
	}
	if err := d.Restart(); err != nil {
		return err
	}
	fmt.Fprintln(w, "everyone is being moved; the relay starts again after the last")
	return nil
}
