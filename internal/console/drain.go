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

// This file has the commands that drain endpoints or the relay. Operators know a drain directive
// as an order.

// Persistence applies and stores drain directives, archives requests, and reports on the store.
// Its methods are called concurrently, from the goroutines of the sessions.
type Persistence interface {
	// Drain puts a drain directive into force at once. previous is the directive of the same endpoint
	// that it replaces, or nil. storeErr says why the directive does not outlast a restart, nil if it
	// does. If err is set, the directive was rejected.
	Drain(ctx context.Context, directive persistence.DrainDirective) (previous *persistence.DrainDirective, storeErr, err error)
	// Undrain withdraws the drain directive of an endpoint, and returns it. storeErr says why the
	// withdrawal does not outlast a restart, nil if it does. If err is set, there was no directive.
	Undrain(ctx context.Context, endpoint, user string) (withdrawn persistence.DrainDirective, storeErr, err error)
	// DrainDirectives returns the directives in force.
	DrainDirectives() []persistence.DrainDirective
	// Stats returns the statistics of the store, or the error that it could not be opened with.
	Stats() (store.Stats, error)
	// ArchivePinned archives the explanation of a request, so that it outlasts a restart.
	ArchivePinned(number uint64)
}

var errNoPersistence = errors.New("this relay does not support orders to drain servers")

// drain puts a drain directive into force. Without arguments it migrates all clients off the relay
// and stops it.
func drain(ctx context.Context, s *Server, call call, out io.Writer) error {
	if call.args == "" {
		if err := s.Shutdown(); err != nil {
			return err
		}
		fmt.Fprintln(out, "all clients are being moved away; the relay stops after the last has left")
		return nil
	}
	if s.Persistence == nil {
		return errNoPersistence
	}
	directive, err := parseDrainDirective(call.args, call.user, time.Now())
	if err != nil {
		return err
	}
	previous, storeErr, err := s.Persistence.Drain(ctx, directive)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s drains: it gets no new transactions, and its %d transactions are moved away; %s\n",
		directive.Endpoint, s.requestsByEndpoint(ctx)[directive.Endpoint], persistenceText(storeErr))
	if previous != nil {
		fmt.Fprintf(out, "this replaces the order of %s from %s%s\n", previous.By, formatTime(previous.Since), reasonClause(previous.Reason))
	}
	return nil
}

// parseDrainDirective parses the arguments SERVER [for TIME] [because WORDS].
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
				return directive, fmt.Errorf("for %q: expected a duration above 0, such as 90m or 12h", value)
			}
			directive.Until, text = now.Add(duration), rest
		case "because":
			if after == "" {
				return directive, errors.New("because: expected a reason")
			}
			directive.Reason, text = after, ""
		default:
			return directive, fmt.Errorf("unexpected argument %q: expected SERVER [for TIME] [because WORDS]", word)
		}
	}
	return directive, nil
}

// cutWord splits a text at its first space, into the first word and the trimmed rest.
func cutWord(text string) (word, rest string) {
	word, rest, _ = strings.Cut(text, " ")
	return word, strings.TrimSpace(rest)
}

// undrain withdraws the drain directive of an endpoint.
func undrain(ctx context.Context, s *Server, call call, out io.Writer) error {
	if s.Persistence == nil {
		return errNoPersistence
	}
	if call.args == "" || strings.Contains(call.args, " ") {
		return errors.New("expected one argument, SERVER")
	}
	withdrawn, storeErr, err := s.Persistence.Undrain(ctx, call.args, call.user)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s follows the endpoint list again; the order of %s from %s%s is withdrawn; %s\n",
		call.args, withdrawn.By, formatTime(withdrawn.Since), reasonClause(withdrawn.Reason), persistenceText(storeErr))
	return nil
}

// persistenceText says whether a change outlasts a restart. storeErr is the error of storing it.
func persistenceText(storeErr error) string {
	if storeErr == nil {
		return "this outlasts a restart"
	}
	return fmt.Sprintf("this does not outlast a restart: %v", storeErr)
}

func formatTime(t time.Time) string { return t.Local().Format("2006-01-02 15:04:05") }

func reasonClause(reason string) string {
	if reason == "" {
		return ""
	}
	return fmt.Sprintf(" because %q", reason)
}

// drainDirectives shows the drain directives in force, with the number of requests that are still
// at each endpoint.
func drainDirectives(ctx context.Context, s *Server, _ call, out io.Writer) error {
	var directives []persistence.DrainDirective
	if s.Persistence != nil {
		directives = s.Persistence.DrainDirectives()
	}
	if len(directives) == 0 {
		fmt.Fprintln(out, "no order is in force")
		return nil
	}
	requests := s.requestsByEndpoint(ctx)
	writeTable(out, []string{"SERVER", "LEFT THERE", "BY", "SINCE", "UNTIL", "BECAUSE"}, func(row rowFunc) {
		for _, directive := range directives {
			until := "withdrawn"
			if !directive.Until.IsZero() {
				until = formatTime(directive.Until)
			}
			row(directive.Endpoint, requests[directive.Endpoint], directive.By, formatTime(directive.Since), until, strconv.Quote(directive.Reason))
		}
	})
	return nil
}
