package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockroad/internal/fake"
	"lockroad/internal/faultproxy"
	"lockroad/internal/invariants"
)

// foundFile is where a random scenario that violates a rule is stored.
const foundFile = "testdata/found.lisp"

// formatScenario writes a scenario as parseScenario reads it.
func formatScenario(s Scenario) string {
	front := s.Front
	if s.Shared > 0 {
		front = "shared"
	}
	return fmt.Sprintf("; front %s servers %d seed %d\n%s\n; acts\n%s\n", front, s.Servers, s.Seed, s.Rules, s.Actions)
}

// parseScenario reads a scenario of the corpus.
func parseScenario(text string) (s Scenario, err error) {
	head, rest, _ := strings.Cut(text, "\n")
	if _, err := fmt.Sscanf(head, "; front %s servers %d seed %d", &s.Front, &s.Servers, &s.Seed); err != nil {
		return s, fmt.Errorf("the head %q: %w", head, err)
	}
	if s.Front == "shared" { // connections to servers, by AMQP
		s.Front, s.Shared = "amqp", 4
	}
	s.Rules, s.Actions, _ = strings.Cut(rest, "; acts\n")
	s.Rate, s.Duration, s.MeanLifetime, s.SetupTime = 15, 2500*time.Millisecond, 300*time.Millisecond, 5*time.Millisecond
	return s, nil
}

// violations runs a scenario and returns the violations of rules, as text. What goes wrong at a server
// with injected faults is not due to the relay; the answers are, whatever happens.
func violations(t interface{ Fatal(...any) }, s Scenario) string {
	list, err := faultproxy.ParseRules(s.Rules)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var env *Environment
	history, err := Run(ctx, s, func(_ context.Context, started *Environment) { env = started })
	if err != nil {
		t.Fatal(err)
	}
	faulty := make(map[string]bool)
	for _, r := range list {
		for _, name := range r.Routes {
			faulty[name] = true
		}
	}
	actions, _ := fake.ParseScript(s.Actions, env.Site.Names())
	for _, a := range actions {
		faulty[a.Server] = faulty[a.Server] || a.Kind == "restart"
	}
	history.Broken = func(p fake.Attempt) bool { return faulty[p.Server] }
	byServer := make(map[string]string)
	for _, p := range history.Attempts {
		byServer[p.Name] = p.Server
	}
	// What a client got garbled or late from a faulty server is due to the fault.
	for i := range history.Sessions {
		if v := &history.Sessions[i]; faulty[byServer[v.Name]] {
			v.Garbled, v.MaxHeld = 0, 0
		}
	}
	if faulty["discovery"] {
		history.Limits.Drain = time.Hour // nobody knows when relays were notified
	}
	history.Limits.Late, history.Limits.Held = history.Limits.Late+busyMachine, history.Limits.Held+busyMachine
	all := invariants.Check(history)
	if len(all) == 0 {
		return ""
	}
	var b bytes.Buffer
	Report(&b, env.Injections(), all)
	return b.String()
}

// TestCorpus runs the scenarios that violated a rule once.
func TestCorpus(t *testing.T) {
	files, err := filepath.Glob("testdata/*.lisp")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := parseScenario(string(source))
			if err != nil {
				t.Fatal(err)
			}
			if what := violations(t, s); what != "" {
				t.Error(what)
			}
		})
	}
}

// drawScenario draws a random scenario of a few servers.
func drawScenario(rt *rapid.T) Scenario {
	n := rapid.IntRange(2, 4).Draw(rt, "servers")
	server := rapid.Map(rapid.IntRange(1, n), func(i int) string { return fmt.Sprintf("s-%d", i) })
	ms := func(what string, most int) string { return fmt.Sprintf("%dms", rapid.IntRange(1, most).Draw(rt, what)) }
	var list, actions []string
	for i := range rapid.IntRange(0, 3).Draw(rt, "rules") {
		route := server.Draw(rt, "route")
		if rapid.IntRange(0, 5).Draw(rt, "of discovery") == 0 {
			route = "discovery"
		}
		when := rapid.SampledFrom([]string{"", "(at %d0ms)", "(after-bytes %d)", "(at-line %d)", "(at-frame %d)", "(chance %d)", "(at-performative attach)", "(at-performative transfer)"}).Draw(rt, "when")
		if strings.Contains(when, "%d") {
			when = fmt.Sprintf(when, rapid.IntRange(1, 99).Draw(rt, "n"))
		}
		what := rapid.SampledFrom([]string{"(swallow)", "(stall)", "(merge)", "(split 1)", "(split 7)", "(garble flip 4)", "(garble insert 9)", "(garble drop 3)", "(garble duplicate 30)",
			"(cut rst)", "(cut fin)", "(half-close)", "(latency 20ms 10ms normal)", "(drip 1 3ms)", "(bandwidth 4000)", "(pause)", "(refuse)", "(mute)", "(queue-full)", "(vanish)"}).Draw(rt, "what")
		if strings.HasPrefix(what, "(refuse") || strings.HasPrefix(what, "(mute") || strings.HasPrefix(what, "(queue") || strings.HasPrefix(what, "(vanish") {
			when = fmt.Sprintf("(at %s)", ms("at", 1500))
		}
		list = append(list, fmt.Sprintf("(rule r%d (route %s) (direction %s) (fraction %d) %s (for %s) %s)", i, route,
			rapid.SampledFrom([]string{"up", "down", "both"}).Draw(rt, "direction"), rapid.IntRange(20, 100).Draw(rt, "fraction"), when, ms("for", 1500), what))
	}
	for range rapid.IntRange(0, 2).Draw(rt, "acts") {
		at, s := ms("at", 1800), server.Draw(rt, "server")
		actions = append(actions, fmt.Sprintf("(at %s %s)", at, rapid.SampledFrom([]string{
			fmt.Sprintf("(hang %s %s)", s, ms("for", 1500)), fmt.Sprintf("(busy %s %s)", s, ms("for", 1500)), fmt.Sprintf("(error %s %s)", s, ms("for", 1500)),
			fmt.Sprintf("(break %s %s)", s, ms("for", 1500)), fmt.Sprintf("(drain %s)", s), fmt.Sprintf("(restart %s %s)", s, ms("for", 900)),
			fmt.Sprintf("(drop %d)", rapid.IntRange(1, 100).Draw(rt, "percent"))}).Draw(rt, "act")))
	}
	s, err := parseScenario(formatScenario(Scenario{Front: rapid.SampledFrom([]string{"line", "amqp", "shared"}).Draw(rt, "front"), Servers: n, Seed: rapid.Uint64Range(1, 99).Draw(rt, "seed"),
		Rules: strings.Join(list, "\n"), Actions: strings.Join(actions, "\n")}))
	if err != nil {
		rt.Fatal(err)
	}
	return s
}

// TestRandomScripts runs random scenarios and shrinks one that violates a rule to a least
// one, which is stored in testdata. It takes real time: `make trouble-long`.
func TestRandomScripts(t *testing.T) {
	if os.Getenv("LOCKROAD_TROUBLE") == "" {
		t.Skip("LOCKROAD_TROUBLE is not set: make trouble-long")
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		if what := violations(rt, s); what != "" {
			if err := os.WriteFile(foundFile, []byte(formatScenario(s)), 0o644); err != nil {
				t.Fatal(err)
			}
			rt.Fatalf("%s\n%s", formatScenario(s), what)
		}
	})
}
