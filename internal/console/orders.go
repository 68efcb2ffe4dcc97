package console

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lockroad/internal/healthcheck"
	"lockroad/internal/persistence"
	"lockroad/internal/registry"
	"lockroad/internal/store"
)

// Persistence keeps orders that have servers drain, and tells of what is kept on disk.
type Persistence interface {
	// Drain has a server drain at once. kept says why the order does not outlast a restart, was what it replaces.
	Drain(ctx context.Context, o persistence.DrainDirective) (was *persistence.DrainDirective, kept, err error)
	// Undrain withdraws an order, and returns it.
	Undrain(ctx context.Context, server, who string) (was persistence.DrainDirective, kept, err error)
	DrainDirectives() []persistence.DrainDirective
	Stats() (store.Stats, error)
	Pinned(number uint64) // has the account of a transaction outlast a restart
}

var errNoKeeper = errors.New("this relay takes no orders")

// who is the user at the other end of a console's connection.
func who(c net.Conn) string {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return "unknown"
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return "unknown"
	}
	name := "unknown"
	raw.Control(func(fd uintptr) {
		if cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			name = "uid " + strconv.Itoa(int(cred.Uid))
			if of, err := user.LookupId(strconv.Itoa(int(cred.Uid))); err == nil {
				name = of.Username
			}
		}
	})
	return name
}

// parseOrder reads SERVER [for TIME] [because WORDS].
func parseOrder(words, who string, now time.Time) (o persistence.DrainDirective, err error) {
	o = persistence.DrainDirective{By: who, Since: now}
	server, rest, _ := strings.Cut(words, " ")
	o.Endpoint = server
	for rest = strings.TrimSpace(rest); rest != ""; {
		word, after, _ := strings.Cut(rest, " ")
		after = strings.TrimSpace(after)
		switch word {
		case "for":
			value, last, _ := strings.Cut(after, " ")
			d, err := time.ParseDuration(value)
			if err != nil || d <= 0 {
				return o, fmt.Errorf("for %q: expected a time above 0, such as 90m or 12h", value)
			}
			o.Until, rest = now.Add(d), strings.TrimSpace(last)
		case "because":
			if after == "" {
				return o, errors.New("because: expected words")
			}
			o.Reason, rest = after, ""
		default:
			return o, fmt.Errorf("%q: expected SERVER [for TIME] [because WORDS]", word)
		}
	}
	return o, nil
}

func drain(d *Server, a asked, w io.Writer) error {
	if a.words == "" {
		d.Drain()
		fmt.Fprintln(w, "everyone is being moved; the relay stops after the last")
		return nil
	}
	if d.Persistence == nil {
		return errNoKeeper
	}
	o, err := parseOrder(a.words, a.who, time.Now())
	if err != nil {
		return err
	}
	was, kept, err := d.Persistence.Drain(a.ctx, o)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s drains: nothing new goes there, and its %d transactions are moved; %s\n", o.Endpoint, d.at()[o.Endpoint], keptWords(kept))
	if was != nil {
		fmt.Fprintf(w, "this replaces the order of %s since %s%s\n", was.By, stamp(was.Since), because(was.Reason))
	}
	return nil
}

func undrain(d *Server, a asked, w io.Writer) error {
	if d.Persistence == nil {
		return errNoKeeper
	}
	if a.words == "" || strings.Contains(a.words, " ") {
		return errors.New("expected SERVER")
	}
	was, kept, err := d.Persistence.Undrain(a.ctx, a.words, a.who)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s is as the list has it again; the order of %s since %s%s is withdrawn, %s\n", a.words, was.By, stamp(was.Since), because(was.Reason), keptWords(kept))
	return nil
}

func keptWords(kept error) string {
	if kept == nil {
		return "and that outlasts a restart"
	}
	return fmt.Sprintf("but that does not outlast a restart: %v", kept)
}

func stamp(t time.Time) string { return t.Local().Format("2006-01-02 15:04:05") }

func because(why string) string {
	if why == "" {
		return ""
	}
	return fmt.Sprintf(" because %q", why)
}

// at counts the transactions at each server, those that are on their way there included.
func (d *Server) at() map[string]int {
	at := make(map[string]int)
	for _, t := range d.Proxy.Requests.List() {
		if t.Stage != registry.StageWaiting {
			at[d.Proxy.Endpoints.Name(t.Endpoint)]++
		}
	}
	return at
}

// orders lists orders, with how many transactions are still to be moved.
func (d *Server) orders(w io.Writer) {
	var all []persistence.DrainDirective
	if d.Persistence != nil {
		all = d.Persistence.DrainDirectives()
	}
	if len(all) == 0 {
		fmt.Fprintln(w, "no order is in force")
		return
	}
	at := d.at()
	table(w, []string{"SERVER", "LEFT THERE", "BY", "SINCE", "UNTIL", "BECAUSE"}, func(row func(...any)) {
		for _, o := range all {
			until := "withdrawn"
			if !o.Until.IsZero() {
				until = stamp(o.Until)
			}
			row(o.Endpoint, at[o.Endpoint], o.By, stamp(o.Since), until, strconv.Quote(o.Reason))
		}
	})
}

// store tells what is kept on disk.
func (d *Server) store(w io.Writer) {
	if d.Persistence == nil {
		fmt.Fprintln(w, "nothing is kept on disk")
		return
	}
	s, err := d.Persistence.Stats()
	if err != nil {
		fmt.Fprintf(w, "nothing is kept on disk: %v\n", err)
		return
	}
	table(w, nil, func(row func(...any)) {
		state := "all is well"
		if s.LastError != nil {
			state = fmt.Sprintf("NOTHING IS KEPT NOW: %v", s.LastError)
		}
		row("state", state)
		row("files", fmt.Sprintf("%d, %d bytes, %d of them wanted", s.Files, s.Bytes, s.LiveBytes))
		row("commits", fmt.Sprintf("%d, %d syncs, %d merges", s.Commits, s.Syncs, s.Merges))
		row("waiting", s.Waiting)
		row("reaches back", cmp.Or(s.Retained.Round(time.Second).String(), "-"))
		for _, kind := range slices.Sorted(maps.Keys(s.Records)) {
			row("  "+kind, fmt.Sprintf("%d kept, %d dropped", s.Records[kind], s.Dropped[kind]))
		}
	})
}

// reload has the configuration's file taken.
func reload(d *Server, a asked, w io.Writer) error {
	if a.words != "" && a.words != "--dry-run" {
		return fmt.Errorf("%q: expected nothing or --dry-run", a.words)
	}
	if d.Reload == nil {
		return errors.New("this relay has no file to take")
	}
	ctx, cancel := context.WithTimeout(a.ctx, answerMost)
	defer cancel()
	changes, err := d.Reload(ctx, a.words != "")
	if err != nil {
		return err
	}
	for _, line := range changes {
		fmt.Fprintln(w, line)
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "nothing changes")
	}
	return nil
}

// health tells which servers are up.
func (d *Server) health(w io.Writer) {
	if d.Health == nil {
		fmt.Fprintln(w, "discovery tells which servers are up; farm has them")
		return
	}
	all, doubts := d.Health()
	if doubts {
		fmt.Fprintln(w, "most seem to be down: this box is doubted first, and all are listed as up")
	}
	table(w, []string{"SERVER", "STATE", "FOR", "FAILED IN A ROW", "WHY"}, func(row func(...any)) {
		for _, h := range all {
			state, since := "up", any(nil)
			if h.State == healthcheck.StateDown {
				state, since = "down", h.Since.Round(time.Second)
			}
			row(h.Name, state, since, h.ConsecutiveFailures, h.Reason)
		}
	})
}
