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

// knownFailure is a failure that has occurred, with the service that clients must get in spite of it.
type knownFailure struct {
	name         string
	scenario     Scenario
	onlyFrontend string // the only frontend that it applies to; "": both
	whyOnly      string // why it does not apply to the other frontend
	// connect runs sessions; nil: 18 at the same time, each of its own group, for 600 ms.
	connect func(ctx context.Context, t *testing.T, env *Environment) []fake.Session
	// want is the answer that every client must get within a time; "": any.
	want   string
	within time.Duration
	// served is the smallest allowed share of established sessions; 0: not checked.
	served        float64
	check         func(t *testing.T, env *Environment, all []fake.Session, history invariants.History)
	clientFaulted func(fake.Session) bool
	serverFaulted func(fake.Attempt) bool
}

const (
	serverCount   = 6 // default number of servers
	second        = time.Second
	ms            = time.Millisecond
	loadTolerance = 500 * ms // added to time limits, as the machine may be busy
)

func anySession(fake.Session) bool { return true }
func anyAttempt(fake.Attempt) bool { return true }

// oneSession returns a function that runs one session.
func oneSession(lifetime time.Duration) func(context.Context, *testing.T, *Environment) []fake.Session {
	return func(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
		return env.RunSessions(ctx, 1, lifetime)
	}
}

// manySessions returns a function that runs 18 sessions of as many groups.
func manySessions(lifetime time.Duration) func(context.Context, *testing.T, *Environment) []fake.Session {
	return func(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
		return env.RunSessions(ctx, 18, lifetime)
	}
}

// sessionsAfterUpdate makes discovery send an update of each server, and then runs 18 sessions.
func sessionsAfterUpdate(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
	for _, name := range env.Site.Names() {
		env.Site.Discovery.SetState(name, "ready", false)
	}
	return env.RunSessions(ctx, 18, 600*ms)
}

// checkEnds returns a check that sessions ended in one of the ways, separated by "|", within a time.
func checkEnds(ends string, within time.Duration) func(*testing.T, *Environment, []fake.Session, invariants.History) {
	return func(t *testing.T, _ *Environment, all []fake.Session, _ invariants.History) {
		for _, session := range all {
			if !slices.Contains(strings.Split(ends, "|"), session.End) || session.EstablishedFor > within+loadTolerance {
				t.Errorf("session %s ended %q after %v; want %s within %v", session.Name, session.End, session.EstablishedFor, ends, within)
			}
		}
	}
}

var knownFailures = []knownFailure{
	// One of six servers fails and all clients are served, or all servers fail and clients are rejected.
	{name: "a server refuses connections", scenario: Scenario{Rules: `(rule a (route s-1) (refuse))`}, want: "up", within: second},
	{name: "connections to a server time out", scenario: Scenario{Rules: `(rule a (route s-1) (queue-full))`}, want: "up", within: 1200 * ms},
	{name: "a server accepts and never answers", scenario: Scenario{Rules: `(rule a (route s-1) (mute))`}, want: "up", within: 2 * second},
	{name: "a server is full", scenario: Scenario{Actions: `(at 0s (busy s-1 9s))`}, want: "up", within: second},
	{name: "a server answers with errors", scenario: Scenario{Actions: `(at 0s (error s-1 9s))`}, want: "up", within: second},
	{name: "a server accepts connections and resets them", scenario: Scenario{Actions: `(at 0s (break s-1 9s))`}, want: "up", within: second},
	{name: "a server accepts requests and hangs", scenario: Scenario{Actions: `(at 0s (hang s-1 9s))`}, want: "up", within: 2 * second},
	{name: "all servers hang", scenario: Scenario{Servers: 2, Actions: `(at 0s (hang s-1 9s)) (at 0s (hang s-2 9s))`}, want: "unavailable", within: 2450 * ms},
	{name: "all servers refuse", scenario: Scenario{Servers: 2, Rules: `(rule a (route s-1 s-2) (refuse))`}, want: "unavailable", within: second},

	// Data is split, merged, delayed or garbled.
	{name: "an answer byte by byte", scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (split 1))`}, want: "up", within: second,
		check: checkEnds("left", 2*second)},
	{name: "an answer in small delayed pieces", scenario: Scenario{Rules: `(rule a (route s-1) (direction down) (for 300ms) (drip 8 30ms))`}, want: "up", within: 2 * second},
	{name: "an answer merged with what follows", scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (merge))`}, want: "up", within: second},
	{name: "a request byte by byte", scenario: Scenario{Rules: `(rule a (route frontend) (direction up) (split 1))`}, want: "up", within: second, check: checkEnds("left", 2*second)},
	{name: "a garbled answer", scenario: Scenario{Rules: `(rule a (route s-1) (direction down) (garble flip 3))`}, want: "up", within: 2 * second, serverFaulted: anyAttempt},
	{name: "a garbled request to a server", scenario: Scenario{Rules: `(rule a (route s-1) (direction up) (garble flip 5))`}, want: "up", within: 2 * second, serverFaulted: anyAttempt},
	{name: "a garbled request of a client", scenario: Scenario{Rules: `(rule a (route frontend) (direction up) (garble flip 4))`}, connect: oneSession(second), clientFaulted: anySession,
		check: func(t *testing.T, _ *Environment, all []fake.Session, history invariants.History) {
			if session := all[0]; session.Answer == "up" || session.Answer == "unavailable" || session.SetupTime > 3*second || len(history.Attempts) > 0 {
				t.Errorf("the client got %s after %v, and servers got %d attempts; want a failure and none", session.Answer, session.SetupTime, len(history.Attempts))
			}
		}},
	{name: "garbled messages of an established session", scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (after-bytes 300) (garble flip 6))`}, connect: manySessions(2500 * ms), want: "up", within: second,
		clientFaulted: anySession, serverFaulted: anyAttempt, check: checkEnds("left|broken|bye|moved", 8*second)},
	{name: "a slow connection to a server", scenario: Scenario{Rules: `(rule a (route s-1) (latency 40ms 20ms normal))`}, want: "up", within: second, check: checkEnds("left", 2*second)},

	// One side closes the connection, or it breaks.
	{name: "a half-close from the server while the client still sends", connect: oneSession(3 * second),
		scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (after-bytes 700) (half-close))`}, want: "up", within: second, serverFaulted: anyAttempt,
		check: checkEnds("bye|broken|moved", 3*second)},
	{name: "a half-close from the client while the server still sends", connect: oneSession(3 * second),
		scenario: Scenario{Rules: `(rule a (route frontend) (direction up) (after-bytes 700) (half-close))`}, want: "up", within: second, clientFaulted: anySession,
		check: checkEnds("bye|broken|moved", 4*second)},
	{name: "a reset in the middle of a message", connect: oneSession(3 * second),
		scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (direction down) (after-bytes 733) (cut rst))`}, want: "up", within: second, serverFaulted: anyAttempt, check: checkEnds("broken", 2*second)},
	{name: "servers vanish with established sessions", connect: oneSession(9 * second),
		scenario: Scenario{Rules: `(rule a (route s-1 s-2 s-3 s-4 s-5 s-6) (at 1s) (for 9s) (vanish))`}, want: "up", within: second, serverFaulted: anyAttempt, check: checkEnds("moved", 8*second)},
	{name: "a client disconnects during its attempt", scenario: Scenario{Servers: 1, Duration: 2 * second, Actions: `(at 0s (hang s-1 9s))`, Rules: `(rule a (route frontend) (at 500ms) (for 200ms) (cut rst))`}, connect: oneSession(second),
		clientFaulted: anySession, check: func(t *testing.T, _ *Environment, all []fake.Session, history invariants.History) {
			if len(history.Attempts) != 1 || all[0].Answer != "none" {
				t.Fatalf("the client got %s after %d attempts; want none after 1", all[0].Answer, len(history.Attempts))
			}
			if attempt := history.Attempts[0]; attempt.ClosedAt.IsZero() || attempt.ClosedAt.Sub(attempt.At) > 1200*ms {
				t.Errorf("the attempt was in progress for %v, although its client disconnected at 500ms; want at most 1.2s", attempt.ClosedAt.Sub(attempt.At))
			}
		}},
	{name: "migrations while clients leave", scenario: Scenario{Servers: 2, Rate: 40, Duration: 3 * second, MeanLifetime: 60 * ms, Actions: `(at 1s (drain s-1))`}, served: 0.85},

	// Failures under load.
	{name: "one of six hangs for 6 s under load", scenario: Scenario{Rate: 6, Duration: 8 * second, MeanLifetime: 2 * second, Actions: `(at 1s (hang s-1 6s))`}, served: 0.8},
	{name: "half of the clients drop their connections and return", scenario: Scenario{Rate: 6, Duration: 6 * second, MeanLifetime: 3 * second, Actions: `(at 3s (drop 50))`}, served: 0.9,
		check: func(t *testing.T, _ *Environment, all []fake.Session, _ invariants.History) {
			returned := 0
			for _, session := range all {
				if session.Returning && session.Answer == "up" {
					returned++
				}
			}
			if returned < 3 {
				t.Errorf("%d clients returned and were accepted, want at least 3", returned)
			}
		}},
	{name: "a server restarts with slow start", scenario: Scenario{Rate: 10, Duration: 7 * second, MeanLifetime: second, Actions: `(at 2s (restart s-1 1s))`,
		Limits: invariants.Limits{AnswerTolerance: 50 * ms, DrainDelay: 550 * ms, MaxMessageDelay: 1050 * ms, SlowStartDuration: 5 * second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: second, Capacity: 10. / serverCount}}, served: 0.8,
		serverFaulted: func(attempt fake.Attempt) bool { return attempt.Endpoint == "s-1" }},
	{name: "a server drains while the endpoint list is 4 s late", scenario: Scenario{Rate: 6, Duration: 7 * second, MeanLifetime: 2 * second, Actions: `(at 1s (drain s-1))`,
		Rules: `(rule a (route discovery) (direction down) (latency 4s))`, Limits: limitsOfLateList(4 * second)}, served: 0.85},

	// Discovery.
	{name: "discovery refuses", scenario: Scenario{Rules: `(rule a (route discovery) (refuse))`}, want: "up", within: second},
	{name: "discovery accepts connections and does not answer", scenario: Scenario{Rules: `(rule a (route discovery) (mute))`}, want: "up", within: second},
	{name: "discovery repeatedly sends an incomplete object", scenario: Scenario{Rules: `(rule a (route discovery) (direction down) (after-bytes 150) (cut fin))`}, connect: sessionsAfterUpdate, want: "up", within: second},
	{name: "discovery's answers are garbled", scenario: Scenario{Rules: `(rule a (route discovery) (direction down) (after-bytes 150) (garble flip 30))`}, connect: sessionsAfterUpdate, want: "up", within: second},
	{name: "discovery goes back in revision", scenario: Scenario{}, want: "up", within: second,
		connect: func(ctx context.Context, _ *testing.T, env *Environment) []fake.Session {
			env.Site.Discovery.ResetRevisions()
			env.Proxy.ResetRoute("discovery")
			return env.RunSessions(ctx, 18, 600*ms)
		}},

	// Failures of AMQP only.
	{name: "a server grants no credit", onlyFrontend: "amqp", whyOnly: "the line protocol has no credit", scenario: Scenario{Actions: `(at 0s (no-credit s-1 9s))`}, want: "up", within: 2 * second},
	{name: "servers without the SASL layer", onlyFrontend: "amqp", whyOnly: "the line protocol has no SASL layer", scenario: Scenario{WithoutSASL: true}, want: "up", within: second, check: checkEnds("left", 2*second)},
	{name: "a link's attach is cut in the middle", onlyFrontend: "amqp", whyOnly: "the line protocol has no frames", scenario: Scenario{Rules: `(rule a (route s-1) (direction up) (at-performative attach) (cut rst))`}, want: "up", within: second},
}

// limitsOfLateList returns the default limits for an endpoint list that reaches relays with a delay.
func limitsOfLateList(delay time.Duration) invariants.Limits {
	limits := invariants.DefaultLimits()
	limits.DrainDelay += delay
	return limits
}

// TestKnownFailures runs every known failure through the frontends that it applies to, and through
// the AMQP frontend also with shared connections to servers.
func TestKnownFailures(t *testing.T) {
	for _, failure := range knownFailures {
		for _, variant := range []string{"line", "amqp", "shared"} {
			t.Run(failure.name+"/"+variant, func(t *testing.T) {
				frontend, sessionsPerConn := variant, 0
				if variant == "shared" {
					frontend, sessionsPerConn = "amqp", 8
				}
				if failure.onlyFrontend != "" && failure.onlyFrontend != frontend {
					t.Skip(failure.whyOnly)
				}
				if sessionsPerConn > 0 && strings.Contains(failure.scenario.Rules, "(after-bytes") {
					t.Skip("on a shared connection, which request is at a byte offset varies; TestRandomScripts covers such faults")
				}
				t.Parallel()
				failure.run(t, frontend, sessionsPerConn)
			})
		}
	}
}

func (r knownFailure) run(t *testing.T, frontend string, sessionsPerConn int) {
	scenario := r.scenario
	scenario.SessionsPerConn = sessionsPerConn
	scenario.Frontend, scenario.Seed, scenario.SetupTime = frontend, 1, 5*ms
	if scenario.Servers == 0 {
		scenario.Servers = serverCount
	}
	if scenario.Duration == 0 && scenario.Actions != "" {
		scenario.Duration = 3 * second // how long the actions run
	}
	// The tests check behaviour, on a machine that may be busy, so the time limits are relaxed;
	// the exact limits are covered by the tests of package invariants.
	if scenario.Limits == (invariants.Limits{}) {
		scenario.Limits = invariants.DefaultLimits()
	}
	scenario.Limits.AnswerTolerance, scenario.Limits.MaxMessageDelay = scenario.Limits.AnswerTolerance+loadTolerance, scenario.Limits.MaxMessageDelay+loadTolerance
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
	history.ClientFaulted, history.ServerFaulted = r.clientFaulted, r.serverFaulted
	if violations := invariants.Check(history); len(violations) > 0 {
		var b bytes.Buffer
		Report(&b, env.Injections(), violations)
		t.Errorf("invariants are violated:\n%s", b.String())
	}
	r.checkAnswers(t, all)
	if strings.Contains(scenario.Rules, "(rule") && len(env.Injections()) == 0 {
		t.Error("no fault was injected")
	}
	if r.check != nil {
		r.check(t, env, all, history)
	}
}

// checkAnswers checks the answers of all sessions and the share that was served.
func (r knownFailure) checkAnswers(t *testing.T, all []fake.Session) {
	t.Helper()
	for _, session := range all {
		if r.want != "" && (session.Answer != r.want || session.SetupTime > r.within+loadTolerance) {
			t.Errorf("session %s of group %s got %s after %v; want %s within %v", session.Name, session.Group, session.Answer, session.SetupTime, r.want, r.within)
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
		t.Errorf("a share of %.2f of %d sessions was served, want %.2f of at least 10: %v", share, len(all), r.served, count)
	}
}
