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

// found is where a random script that broke a rule is kept.
const found = "testdata/found.lisp"

// text writes a scene as scene reads it.
func text(s Scenario) string {
	front := s.Front
	if s.Shared > 0 {
		front = "shared"
	}
	return fmt.Sprintf("; front %s servers %d seed %d\n%s\n; acts\n%s\n", front, s.Servers, s.Seed, s.Rules, s.Actions)
}

// scene reads a scene of the corpus.
func scene(text string) (s Scenario, err error) {
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

// broken plays a scene and returns what broke a rule. What goes wrong on a server that
// is spoilt is not the relay's doing; the answers are, whatever happens.
func broken(t interface{ Fatal(...any) }, s Scenario) string {
	list, err := faultproxy.ParseRules(s.Rules)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var stage *Environment
	h, err := Run(ctx, s, func(_ context.Context, st *Environment) { stage = st })
	if err != nil {
		t.Fatal(err)
	}
	spoilt := make(map[string]bool)
	for _, r := range list {
		for _, name := range r.Routes {
			spoilt[name] = true
		}
	}
	acts, _ := fake.ParseScript(s.Actions, stage.Site.Names())
	for _, a := range acts {
		spoilt[a.Server] = spoilt[a.Server] || a.Kind == "restart"
	}
	h.Broken = func(p fake.Attempt) bool { return spoilt[p.Server] }
	byServer := make(map[string]string)
	for _, p := range h.Attempts {
		byServer[p.Name] = p.Server
	}
	// What a client saw come garbled or late from a spoilt server is the spoiler's.
	for i := range h.Sessions {
		if v := &h.Sessions[i]; spoilt[byServer[v.Name]] {
			v.Garbled, v.MaxHeld = 0, 0
		}
	}
	if spoilt["discovery"] {
		h.Limits.Drain = time.Hour // nobody knows when it was told
	}
	h.Limits.Late, h.Limits.Held = h.Limits.Late+busy, h.Limits.Held+busy
	all := invariants.Check(h)
	if len(all) == 0 {
		return ""
	}
	var b bytes.Buffer
	Report(&b, stage.Injections(), all)
	return b.String()
}

// TestCorpus plays the scripts that broke a rule once.
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
			s, err := scene(string(source))
			if err != nil {
				t.Fatal(err)
			}
			if what := broken(t, s); what != "" {
				t.Error(what)
			}
		})
	}
}

// draw makes a random scene of a small farm.
func draw(rt *rapid.T) Scenario {
	n := rapid.IntRange(2, 4).Draw(rt, "servers")
	server := rapid.Map(rapid.IntRange(1, n), func(i int) string { return fmt.Sprintf("s-%d", i) })
	ms := func(what string, most int) string { return fmt.Sprintf("%dms", rapid.IntRange(1, most).Draw(rt, what)) }
	var list, acts []string
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
		acts = append(acts, fmt.Sprintf("(at %s %s)", at, rapid.SampledFrom([]string{
			fmt.Sprintf("(hang %s %s)", s, ms("for", 1500)), fmt.Sprintf("(busy %s %s)", s, ms("for", 1500)), fmt.Sprintf("(error %s %s)", s, ms("for", 1500)),
			fmt.Sprintf("(break %s %s)", s, ms("for", 1500)), fmt.Sprintf("(drain %s)", s), fmt.Sprintf("(restart %s %s)", s, ms("for", 900)),
			fmt.Sprintf("(drop %d)", rapid.IntRange(1, 100).Draw(rt, "percent"))}).Draw(rt, "act")))
	}
	s, err := scene(text(Scenario{Front: rapid.SampledFrom([]string{"line", "amqp", "shared"}).Draw(rt, "front"), Servers: n, Seed: rapid.Uint64Range(1, 99).Draw(rt, "seed"),
		Rules: strings.Join(list, "\n"), Actions: strings.Join(acts, "\n")}))
	if err != nil {
		rt.Fatal(err)
	}
	return s
}

// TestRandomScripts plays random scripts over small farms and shrinks one that breaks a
// rule to a least one, which is kept in testdata. It takes real time: `make trouble-long`.
func TestRandomScripts(t *testing.T) {
	if os.Getenv("LOCKROAD_TROUBLE") == "" {
		t.Skip("LOCKROAD_TROUBLE is not set: make trouble-long")
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := draw(rt)
		if what := broken(rt, s); what != "" {
			if err := os.WriteFile(found, []byte(text(s)), 0o644); err != nil {
				t.Fatal(err)
			}
			rt.Fatalf("%s\n%s", text(s), what)
		}
	})
}
