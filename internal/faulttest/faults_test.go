package faulttest

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"lockroad/internal/fake"
	"lockroad/internal/invariants"
)

// knownFailure is a known failure, and what clients must get in spite of it, and when.
type knownFailure struct {
	name         string
	scenario     Scenario
	onlyFrontend string // the one frontend that can have it; "": both
	whyOnly      string // the other can not
	// do starts sessions; nil: 18 of as many groups at once, for 600 ms each.
	connect func(ctx context.Context, t *testing.T, env *Environment) []fake.Session
	// want is the answer that every client must get, and within what time.
	want   string
	within time.Duration
	// served is the least share of the client pool's sessions that must be established.
	served  float64
	check   func(t *testing.T, env *Environment, all []fake.Session, history invariants.History)
	spoiled func(fake.Session) bool
	broken  func(fake.Attempt) bool
}

const (
	serverCount = 6 // servers: one of them with a fault is the 16% of the operators' pages
	second      = time.Second
	ms          = time.Millisecond
	busyMachine = 500 * ms // that anything may take longer on a busy machine
)

func anySession(fake.Session) bool { return true }
func anyAttempt(fake.Attempt) bool { return true }

// oneSession runs one session of a lifetime.
func oneSession(stay time.Duration) func(context.Context, *testing.T, *Environment) []fake.Session {
	return func(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
		return env.RunSessions(ctx, 1, stay)
	}
}

// manySessions runs sessions of 18 clients of as many groups, of a lifetime.
func manySessions(stay time.Duration) func(context.Context, *testing.T, *Environment) []fake.Session {
	return func(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
		return env.RunSessions(ctx, 18, stay)
	}
}

// sessionsAfterUpdate makes discovery send an update, and then runs sessions.
func sessionsAfterUpdate(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
	for _, name := range env.Site.Names() {
		env.Site.Discovery.SetState(name, "ready", false)
	}
	return env.RunSessions(ctx, 18, 600*ms)
}

// checkEnds checks how established sessions ended, and when.
func checkEnds(how string, within time.Duration) func(*testing.T, *Environment, []fake.Session, invariants.History) {
	return func(t *testing.T, _ *Environment, all []fake.Session, _ invariants.History) {
		for _, session := range all {
			if !slices.Contains(strings.Split(how, "|"), session.End) || session.EstablishedFor > within+busyMachine {
				t.Errorf("%s ended %q after %v; want %s within %v", session.Name, session.End, session.EstablishedFor, how, within)
			}
		}
	}
}

var knownFailures = []knownFailure{
	// Every status of the protocol's table: one server of six has it, and all clients are served.
	{name: "a server refuses connections", scenario: Scenario{Rules: `(rule a (route s-1) (refuse))`}, want: "up", within: second},
	{name: "connections to a server never come up", scenario: Scenario{Rules: `(rule a (route s-1) (queue-full))`}, want: "up", within: 1200 * ms},
	{name: "a server accepts and never answers", scenario: Scenario{Rules: `(rule a (route s-1) (mute))`}, want: "up", within: 2 * second},
	{name: "a server is full", scenario: Scenario{Actions: `(at 0s (busy s-1 9s))`}, want: "up", within: second},
	{name: "a server answers with errors", scenario: Scenario{Actions: `(at 0s (error s-1 9s))`}, want: "up", within: second},
	{name: "a server takes it and breaks", scenario: Scenario{Actions: `(at 0s (break s-1 9s))`}, want: "up", within: second},
	{name: "a server takes it and hangs", scenario: Scenario{Actions: `(at 0s (hang s-1 9s))`}, want: "up", within: 2 * second},
	{name: "all servers hang", scenario: Scenario{Servers: 2, Actions: `(at 0s (hang s-1 9s)) (at 0s (hang s-2 9s))`}, want: "unavailable", within: 2450 * ms},
	{name: "all servers refuse", scenario: Scenario{Servers: 2, Rules: `(rule a (route s-1 s-2) (refuse))`}, want: "unavailable", within: second},

	// Data that arrives in other packets, late, or garbled.
	{name: "an answer byte by byte", scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (split 1))`}, want: "up", within: second,
		check: checkEnds("left", 2*second)},
	{name: "an answer that drips", scenario: Scenario{Rules: `(rule a (route s-1) (direction down) (for 300ms) (drip 8 30ms))`}, want: "up", within: 2 * second},
	{name: "an answer merged with what follows", scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (merge))`}, want: "up", within: second},
	{name: "an opening byte by byte", scenario: Scenario{Rules: `(rule a (route door) (direction up) (split 1))`}, want: "up", within: second, check: checkEnds("left", 2*second)},
	{name: "a garbled answer", scenario: Scenario{Rules: `(rule a (route s-1) (direction down) (garble flip 3))`}, want: "up", within: 2 * second, broken: anyAttempt},
	{name: "a garbled first line to a server", scenario: Scenario{Rules: `(rule a (route s-1) (direction up) (garble flip 5))`}, want: "up", within: 2 * second, broken: anyAttempt},
	{name: "a garbled opening of a client", scenario: Scenario{Rules: `(rule a (route door) (direction up) (garble flip 4))`}, connect: oneSession(second), spoiled: anySession,
		check: func(t *testing.T, _ *Environment, all []fake.Session, history invariants.History) {
			if session := all[0]; session.Answer == "up" || session.Answer == "unavailable" || session.SetupTime > 3*second || len(history.Attempts) > 0 {
				t.Errorf("it got %s after %v, and servers saw %d passes", session.Answer, session.SetupTime, len(history.Attempts))
			}
		}},
	{name: "garbled in the middle", scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (after-bytes 300) (garble flip 6))`}, connect: manySessions(2500 * ms), want: "up", within: second,
		spoiled: anySession, broken: anyAttempt, check: checkEnds("left|broken|bye|moved", 8*second)},
	{name: "a slow line to a server", scenario: Scenario{Rules: `(rule a (route s-1) (latency 40ms 20ms normal))`}, want: "up", within: second, check: checkEnds("left", 2*second)},

	// Ends by one side, or in the middle.
	{name: "a half-close from the server while the client still sends", connect: oneSession(3 * second),
		scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (after-bytes 700) (half-close))`}, want: "up", within: second, broken: anyAttempt,
		check: checkEnds("bye|broken|moved", 3*second)},
	{name: "a half-close from the client while the server still sends", connect: oneSession(3 * second),
		scenario: Scenario{Rules: `(rule a (route door) (direction up) (after-bytes 700) (half-close))`}, want: "up", within: second, spoiled: anySession,
		check: checkEnds("bye|broken|moved", 4*second)},
	{name: "a reset in the middle of a line", connect: oneSession(3 * second),
		scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (after-bytes 733) (cut rst))`}, want: "up", within: second, broken: anyAttempt, check: checkEnds("broken", 2*second)},
	{name: "a server vanishes under its connections", connect: oneSession(9 * second),
		scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (at 1s) (for 9s) (vanish))`}, want: "up", within: second, broken: anyAttempt, check: checkEnds("moved", 8*second)},
	{name: "a client drops while its pass is out", scenario: Scenario{Servers: 1, Duration: 2 * second, Actions: `(at 0s (hang s-1 9s))`, Rules: `(rule a (route door) (at 500ms) (for 200ms) (cut rst))`}, connect: oneSession(second),
		spoiled: anySession, check: func(t *testing.T, _ *Environment, all []fake.Session, history invariants.History) {
			if len(history.Attempts) != 1 || all[0].Answer != "none" {
				t.Fatalf("the client got %s, of %d passes", all[0].Answer, len(history.Attempts))
			}
			if attempt := history.Attempts[0]; attempt.ClosedAt.IsZero() || attempt.ClosedAt.Sub(attempt.At) > 1200*ms {
				t.Errorf("the pass was out for %v", attempt.ClosedAt.Sub(attempt.At))
			}
		}},
	{name: "moves that cross the client's last line", scenario: Scenario{Servers: 2, Rate: 40, Duration: 3 * second, MeanLifetime: 60 * ms, Actions: `(at 1s (drain s-1))`}, served: 0.85},

	// Many servers and clients.
	{name: "one of six hangs for 6 s under load", scenario: Scenario{Rate: 6, Duration: 8 * second, MeanLifetime: 2 * second, Actions: `(at 1s (hang s-1 6s))`}, served: 0.8},
	{name: "half of the clients drop and come again", scenario: Scenario{Rate: 6, Duration: 6 * second, MeanLifetime: 3 * second, Actions: `(at 3s (drop 50))`}, served: 0.9,
		check: func(t *testing.T, _ *Environment, all []fake.Session, _ invariants.History) {
			again := 0
			for _, session := range all {
				if session.Returning && session.Answer == "up" {
					again++
				}
			}
			if again < 3 {
				t.Errorf("%d came again and were up", again)
			}
		}},
	{name: "a server restarts and is cold", scenario: Scenario{Rate: 10, Duration: 7 * second, MeanLifetime: second, Actions: `(at 2s (restart s-1 1s))`,
		Limits: invariants.Limits{AnswerTolerance: 50 * ms, DrainDelay: 550 * ms, MaxMessageDelay: 1050 * ms, SlowStartDuration: 5 * second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: second, Capacity: 10. / serverCount}}, served: 0.8,
		broken: func(attempt fake.Attempt) bool { return attempt.Endpoint == "s-1" }},
	{name: "a server drains while the list is 4 s behind", scenario: Scenario{Rate: 6, Duration: 7 * second, MeanLifetime: 2 * second, Actions: `(at 1s (drain s-1))`,
		Rules: `(rule a (route discovery) (direction down) (latency 4s))`, Limits: limitsOfLateList(4 * second)}, served: 0.85},

	// Discovery.
	{name: "discovery refuses", scenario: Scenario{Rules: `(rule a (route discovery) (refuse))`}, want: "up", within: second},
	{name: "discovery accepts and says nothing", scenario: Scenario{Rules: `(rule a (route discovery) (mute))`}, want: "up", within: second},
	{name: "discovery sends half an object, again and again", scenario: Scenario{Rules: `(rule a (route discovery) (direction down) (after-bytes 150) (cut fin))`}, connect: sessionsAfterUpdate, want: "up", within: second},
	{name: "discovery's words are garbled", scenario: Scenario{Rules: `(rule a (route discovery) (direction down) (after-bytes 150) (garble flip 30))`}, connect: sessionsAfterUpdate, want: "up", within: second},
	{name: "discovery goes back in revision", scenario: Scenario{}, want: "up", within: second,
		connect: func(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
			env.Site.Discovery.ResetRevisions()
			env.Proxy.ResetRoute("discovery")
			return env.RunSessions(ctx, 18, 600*ms)
		}},

	// What only one protocol has.
	{name: "credit that never comes while the give-up time runs", onlyFrontend: "amqp", whyOnly: "a line has no credit", scenario: Scenario{Actions: `(at 0s (no-credit s-1 9s))`}, want: "up", within: 2 * second},
	{name: "servers without the security layer", onlyFrontend: "amqp", whyOnly: "a line has no layers", scenario: Scenario{WithoutSASL: true}, want: "up", within: second, check: checkEnds("left", 2*second)},
	{name: "a link's attach is cut in the middle", onlyFrontend: "amqp", whyOnly: "a line has no frames", scenario: Scenario{Rules: `(rule a (route s-1) (direction up) (at-performative attach) (cut rst))`}, want: "up", within: second},
}

// limitsOfLateList returns the default limits where relays are notified so much later than discovery knows.
func limitsOfLateList(by time.Duration) invariants.Limits {
	l := invariants.DefaultLimits()
	l.DrainDelay += by
	return l
}

// TestKnownFailures runs every known failure through both frontends, or the one that has it, and once more through
// AMQP's with connections to servers that requests share.
func TestKnownFailures(t *testing.T) {
	for _, r := range knownFailures {
		for _, way := range []string{"line", "amqp", "shared"} {
			t.Run(r.name+"/"+way, func(t *testing.T) {
				front, shared := way, 0
				if way == "shared" {
					front, shared = "amqp", 8
				}
				if r.onlyFrontend != "" && r.onlyFrontend != front {
					t.Skip(r.whyOnly)
				}
				if shared > 0 && strings.Contains(r.scenario.Rules, "(after-bytes") {
					t.Skip("a byte of a connection is whichever transaction's that is there then; random scripts have such faults")
				}
				t.Parallel()
				r.run(t, front, shared)
			})
		}
	}
}

func (r knownFailure) run(t *testing.T, front string, shared int) {
	scenario := r.scenario
	scenario.SessionsPerConn = shared
	scenario.Front, scenario.Seed, scenario.SetupTime = front, 1, 5*ms
	if scenario.Servers == 0 {
		scenario.Servers = serverCount
	}
	if scenario.Duration == 0 && scenario.Actions != "" {
		scenario.Duration = 3 * second // acts end with it
	}
	// What is checked here is behaviour, on a machine that may be busy; the 50 ms of the
	// rules are checked by the tests of invariants and the benchmark.
	if scenario.Limits == (invariants.Limits{}) {
		scenario.Limits = invariants.DefaultLimits()
	}
	scenario.Limits.AnswerTolerance, scenario.Limits.MaxMessageDelay = scenario.Limits.AnswerTolerance+busyMachine, scenario.Limits.MaxMessageDelay+busyMachine
	ctx, cancel := context.WithTimeout(context.Background(), 30*second)
	defer cancel()
	var all []fake.Session
	var env *Environment
	history, err := Run(ctx, scenario, func(ctx context.Context, started *Environment) {
		env = started
		switch {
		case r.connect != nil:
			all = r.connect(ctx, t, env)
		case scenario.Rate == 0:
			all = env.RunSessions(ctx, 18, 600*ms)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if scenario.Rate > 0 {
		all = history.Sessions
	}
	history.ClientFaulted, history.ServerFaulted = r.spoiled, r.broken
	if violations := invariants.Check(history); len(violations) > 0 {
		var b bytes.Buffer
		Report(&b, env.Injections(), violations)
		t.Errorf("rules are broken\n%s", b.String())
	}
	r.checkAnswers(t, all)
	if strings.Contains(scenario.Rules, "(rule") && len(env.Injections()) == 0 {
		t.Error("no fault was done")
	}
	if r.check != nil {
		r.check(t, env, all, history)
	}
}

// checkAnswers checks what all clients got, and how many were served.
func (r knownFailure) checkAnswers(t *testing.T, all []fake.Session) {
	t.Helper()
	for _, session := range all {
		if r.want != "" && (session.Answer != r.want || session.SetupTime > r.within+busyMachine) {
			t.Errorf("%s of group %s got %s after %v; want %s within %v", session.Name, session.Group, session.Answer, session.SetupTime, r.want, r.within)
		}
	}
	if r.served == 0 {
		return
	}
	count := make(map[string]int)
	for _, session := range all {
		count[session.Answer]++
	}
	if share := float64(count["up"]) / float64(len(all)); len(all) < 10 || share < r.served {
		t.Errorf("%.2f of %d were served, want %.2f: %v", share, len(all), r.served, count)
	}
}
