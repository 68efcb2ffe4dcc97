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

// foundFile is where TestRandomScripts stores a scenario that violates an invariant.
const foundFile = "testdata/found.lisp"

// formatScenario formats a scenario for parseScenario.
func formatScenario(scenario Scenario) string {
	frontend := scenario.Frontend
	if scenario.SessionsPerConn > 0 {
		frontend = "shared"
	}
	return fmt.Sprintf("; front %s servers %d seed %d\n%s\n; acts\n%s\n", frontend, scenario.Servers, scenario.Seed, scenario.Rules, scenario.Actions)
}

// parseScenario parses a scenario of the corpus.
func parseScenario(text string) (scenario Scenario, err error) {
	head, rest, _ := strings.Cut(text, "\n")
	if _, err := fmt.Sscanf(head, "; front %s servers %d seed %d", &scenario.Frontend, &scenario.Servers, &scenario.Seed); err != nil {
		return scenario, fmt.Errorf("parse scenario's first line %q: %w", head, err)
	}
	if scenario.Frontend == "shared" { // AMQP with shared connections to servers
		scenario.Frontend, scenario.SessionsPerConn = "amqp", 4
	}
	scenario.Rules, scenario.Actions, _ = strings.Cut(rest, "; acts\n")
	scenario.Rate, scenario.Duration, scenario.MeanLifetime, scenario.SetupTime = 15, 2500*time.Millisecond, 300*time.Millisecond, 5*time.Millisecond
	return scenario, nil
}

// violations runs a scenario and returns a report of the violated invariants, or "" if none is. Attempts at
// servers with injected faults are excluded, but the answers to clients are always checked.
func violations(t interface{ Fatal(...any) }, scenario Scenario) string {
	rules, err := faultproxy.ParseRules(scenario.Rules)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var env *Environment
	history, err := Run(ctx, scenario, func(_ context.Context, started *Environment) { env = started })
	if err != nil {
		t.Fatal(err)
	}
	faulty := make(map[string]bool)
	for _, rule := range rules {
		for _, name := range rule.Routes {
			faulty[name] = true
		}
	}
	actions, _ := fake.ParseScript(scenario.Actions, env.Site.Names())
	for _, action := range actions {
		faulty[action.Server] = faulty[action.Server] || action.Kind == "restart"
	}
	history.ServerFaulted = func(attempt fake.Attempt) bool { return faulty[attempt.Endpoint] }
	byServer := make(map[string]string)
	for _, attempt := range history.Attempts {
		byServer[attempt.Name] = attempt.Endpoint
	}
	// Garbled and delayed messages from a faulty server are due to the fault.
	for i := range history.Sessions {
		if session := &history.Sessions[i]; faulty[byServer[session.Name]] {
			session.Garbled, session.MaxMessageDelay = 0, 0
		}
	}
	if faulty["discovery"] {
		history.Limits.DrainDelay = time.Hour // the time at which relays were notified is unknown
	}
	history.Limits.AnswerTolerance, history.Limits.MaxMessageDelay = history.Limits.AnswerTolerance+loadTolerance, history.Limits.MaxMessageDelay+loadTolerance
	found := invariants.Check(history)
	if len(found) == 0 {
		return ""
	}
	var b bytes.Buffer
	Report(&b, env.Injections(), found)
	return b.String()
}

// TestCorpus guards against regressions: it runs the violating scenarios that random tests have found.
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
			scenario, err := parseScenario(string(source))
			if err != nil {
				t.Fatal(err)
			}
			if report := violations(t, scenario); report != "" {
				t.Error(report)
			}
		})
	}
}

// drawScenario draws a random scenario with a few servers.
func drawScenario(rt *rapid.T) Scenario {
	servers := rapid.IntRange(2, 4).Draw(rt, "servers")
	server := rapid.Map(rapid.IntRange(1, servers), func(i int) string { return fmt.Sprintf("s-%d", i) })
	milliseconds := func(label string, most int) string {
		return fmt.Sprintf("%dms", rapid.IntRange(1, most).Draw(rt, label))
	}
	var rules, actions []string
	for i := range rapid.IntRange(0, 3).Draw(rt, "rules") {
		route := server.Draw(rt, "route")
		if rapid.IntRange(0, 5).Draw(rt, "of discovery") == 0 {
			route = "discovery"
		}
		trigger := rapid.SampledFrom([]string{"", "(at %d0ms)", "(after-bytes %d)", "(at-line %d)", "(at-frame %d)", "(chance %d)", "(at-performative attach)", "(at-performative transfer)"}).Draw(rt, "when")
		if strings.Contains(trigger, "%d") {
			trigger = fmt.Sprintf(trigger, rapid.IntRange(1, 99).Draw(rt, "n"))
		}
		fault := rapid.SampledFrom([]string{"(swallow)", "(stall)", "(merge)", "(split 1)", "(split 7)", "(garble flip 4)", "(garble insert 9)", "(garble drop 3)", "(garble duplicate 30)",
			"(cut rst)", "(cut fin)", "(half-close)", "(latency 20ms 10ms normal)", "(drip 1 3ms)", "(bandwidth 4000)", "(pause)", "(refuse)", "(mute)", "(queue-full)", "(vanish)"}).Draw(rt, "what")
		if strings.HasPrefix(fault, "(refuse") || strings.HasPrefix(fault, "(mute") || strings.HasPrefix(fault, "(queue") || strings.HasPrefix(fault, "(vanish") {
			trigger = fmt.Sprintf("(at %s)", milliseconds("at", 1500))
		}
		rules = append(rules, fmt.Sprintf("(rule r%d (route %s) (direction %s) (fraction %d) %s (for %s) %s)", i, route,
			rapid.SampledFrom([]string{"up", "down", "both"}).Draw(rt, "direction"), rapid.IntRange(20, 100).Draw(rt, "fraction"), trigger, milliseconds("for", 1500), fault))
	}
	for range rapid.IntRange(0, 2).Draw(rt, "acts") {
		at, name := milliseconds("at", 1800), server.Draw(rt, "server")
		actions = append(actions, fmt.Sprintf("(at %s %s)", at, rapid.SampledFrom([]string{
			fmt.Sprintf("(hang %s %s)", name, milliseconds("for", 1500)), fmt.Sprintf("(busy %s %s)", name, milliseconds("for", 1500)), fmt.Sprintf("(error %s %s)", name, milliseconds("for", 1500)),
			fmt.Sprintf("(break %s %s)", name, milliseconds("for", 1500)), fmt.Sprintf("(drain %s)", name), fmt.Sprintf("(restart %s %s)", name, milliseconds("for", 900)),
			fmt.Sprintf("(drop %d)", rapid.IntRange(1, 100).Draw(rt, "percent"))}).Draw(rt, "act")))
	}
	scenario, err := parseScenario(formatScenario(Scenario{Frontend: rapid.SampledFrom([]string{"line", "amqp", "shared"}).Draw(rt, "front"), Servers: servers, Seed: rapid.Uint64Range(1, 99).Draw(rt, "seed"),
		Rules: strings.Join(rules, "\n"), Actions: strings.Join(actions, "\n")}))
	if err != nil {
		rt.Fatal(err)
	}
	return scenario
}

// TestRandomScripts checks the invariants in random scenarios. It shrinks a violating scenario and
// stores it in testdata. A scenario takes several seconds, so the test runs in `make trouble-long` only.
func TestRandomScripts(t *testing.T) {
	if os.Getenv("LOCKROAD_TROUBLE") == "" {
		t.Skip("LOCKROAD_TROUBLE is not set; run make trouble-long")
	}
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawScenario(rt)
		if report := violations(rt, scenario); report != "" {
			if err := os.WriteFile(foundFile, []byte(formatScenario(scenario)), 0o644); err != nil {
				t.Fatal(err)
			}
			rt.Fatalf("%s\n%s", formatScenario(scenario), report)
		}
	})
}
