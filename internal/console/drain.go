package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"lockroad/internal/persistence"
	"lockroad/internal/store"
)

// This file has the commands that drain endpoints or the relay.

// Persistence stores drain directives, and reports on the store. Its methods are called from
// the goroutines of sessions.
type Persistence interface {
	// Drain puts a drain directive into force at once. kept says why it does not outlast a restart,
	// nil if it does; was is the directive that it replaces, nil if none.
	Drain(ctx context.Context, directive persistence.DrainDirective) (was *persistence.DrainDirective, kept, err error)
	// Undrain withdraws the drain directive of an endpoint, and returns it.
	Undrain(ctx context.Context, endpoint, user string) (was persistence.DrainDirective, kept, err error)
	DrainDirectives() []persistence.DrainDirective
	Stats() (store.Stats, error)
	// ArchivePinned archives the explanation of a request, so that it outlasts a restart.
	ArchivePinned(number uint64)
}

var errNoPersistence = errors.New("this relay takes no orders")

// drain puts a drain directive into force, or without arguments drains the relay and stops it.
func drain(ctx context.Context, s *Server, call call, out io.Writer) error {
	if call.args == "" {
		s.Shutdown()
		fmt.Fprintln(out, "everyone is being moved; the relay stops after the last")
		return nil
	}
	if s.Persistence == nil {
		return errNoPersistence
	}
	directive, err := parseDrainDirective(call.args, call.user, time.Now())
	if err != nil {
		return err
	}
	replaced, persistErr, err := s.Persistence.Drain(ctx, directive)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s drains: nothing new goes there, and its %d transactions are moved; %s\n",
		directive.Endpoint, s.requestsByEndpoint()[directive.Endpoint], persistedText(persistErr))
	if replaced != nil {
		fmt.Fprintf(out, "this replaces the order of %s since %s%s\n", replaced.By, formatTime(replaced.Since), reasonClause(replaced.Reason))
	}
	return nil
}

// parseDrainDirective reads SERVER [for TIME] [because WORDS].
func parseDrainDirective(text, user string, now time.Time) (directive persistence.DrainDirective, err error) {
	directive = persistence.DrainDirective{By: user, Since: now}
	directive.Endpoint, text = cutWord(text)
	for text != "" {
		word, after := cutWord(text)
		switch word {
		case "for":
			value, rest := cutWord(after)
			duration, err := time.ParseDuration(value)
			if err != nil || duration <= 0 {
				return directive, fmt.Errorf("for %q: expected a time above 0, such as 90m or 12h", value)
			}
			directive.Until, text = now.Add(duration), rest
		case "because":
			if after == "" {
				return directive, errors.New("because: expected words")
			}
			directive.Reason, text = after, ""
		default:
			return directive, fmt.Errorf("%q: expected SERVER [for TIME] [because WORDS]", word)
		}
	}
	return directive, nil
}

// cutWord returns the first word of a text, and what follows it.
func cutWord(text string) (word, rest string) {
	word, rest, _ = strings.Cut(text, " ")
	return word, strings.TrimSpace(rest)
}

// undrain withdraws a drain directive.
func undrain(ctx context.Context, s *Server, call call, out io.Writer) error {
	if s.Persistence == nil {
		return errNoPersistence
	}
	if call.args == "" || strings.Contains(call.args, " ") {
		return errors.New("expected SERVER")
	}
	withdrawn, persistErr, err := s.Persistence.Undrain(ctx, call.args, call.user)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is as the list has it again; the order of %s since %s%s is withdrawn, %s\n",
		call.args, withdrawn.By, formatTime(withdrawn.Since), reasonClause(withdrawn.Reason), persistedText(persistErr))
	return nil
}

// persistedText says whether a change outlasts a restart.
func persistedText(persistErr error) string {
	if persistErr == nil {
		return "and that outlasts a restart"
	}
	return fmt.Sprintf("but that does not outlast a restart: %v", persistErr)
}

func formatTime(t time.Time) string { return t.Local().Format("2006-01-02 15:04:05") }

func reasonClause(reason string) string {
	if reason == "" {
		return ""
	}
	return fmt.Sprintf(" because %q", reason)
}

// drainDirectives shows the drain directives in force, with how many requests are still to be
// migrated.
func (s *Server) drainDirectives(out io.Writer) {
	var directives []persistence.DrainDirective
	if s.Persistence != nil {
		directives = s.Persistence.DrainDirectives()
	}
	if len(directives) == 0 {
		fmt.Fprintln(out, "no order is in force")
		return
	}
	requests := s.requestsByEndpoint()
	writeTable(out, []string{"SERVER", "LEFT THERE", "BY", "SINCE", "UNTIL", "BECAUSE"}, func(row rowFunc) {
		for _, directive := range directives {
			until := "withdrawn"
			if !directive.Until.IsZero() {
				until = formatTime(directive.Until)
			}
			row(directive.Endpoint, requests[directive.Endpoint], directive.By, formatTime(directive.Since), until, strconv.Quote(directive.Reason))
		}
	})
}
