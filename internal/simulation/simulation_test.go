package simulation

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
	"lockroad/internal/sexp"
)

// mustParseActions parses a script, and fails the test if it is invalid.
func mustParseActions(t interface {
	Helper()
	Fatal(...any)
}, text string) []ScriptedAction {
	t.Helper()
	nodes, err := sexp.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var actions []ScriptedAction
	for _, node := range nodes {
		action, err := ParseScriptedAction(node)
		if err != nil {
			t.Fatal(err)
		}
		actions = append(actions, action)
	}
	return actions
}

func mustFindPolicy(name string) Policy {
	policy, ok := FindPolicy(name)
	if !ok {
		panic("unknown policy " + name)
	}
	return policy
}

// summary formats a result without its seconds.
func summary(result *Result) string {
	short := *result
	short.Seconds = nil
	return fmt.Sprintf("%+v", short)
}

// Guards against results that differ between runs with one seed, or do not differ between seeds.
func TestSeedDeterminesResult(t *testing.T) {
	actions := mustParseActions(t, "(at 5s (hang 2 8s)) (at 8s (drain 1)) (at 10s (restart 1 3s)) (at 12s (drop 40)) (at 15s (relay-restart 1 3s)) (at 18s (slow 2 0.3 5s)) (at 20s (surge 3 4s)) (at 21s (list-behind 4s 6s)) (at 25s (add 2))")
	for _, policy := range Policies {
		run := func(seed uint64) *Result {
			result := New(ReferenceWorld(), actions, policy, seed).Run(nil)
			result.RunTime = 0
			return result
		}
		first := run(3)
		if again := run(3); !reflect.DeepEqual(first, again) {
			t.Errorf("%s: the first run has score %v and %d events, the second score %v and %d events", policy.Name, first.Score, first.Events, again.Score, again.Events)
		}
		if other := run(4); other.Events == first.Events && other.Score == first.Score {
			t.Errorf("%s: seeds 3 and 4 give the same score and number of events", policy.Name)
		}
		if first.Clients < 80 || first.Service < 0.3 || first.Migrations+first.BrokenConnections == 0 || len(first.Annotations) < 9 {
			t.Errorf("%s: the scripted actions had no effect: %s", policy.Name, summary(first))
		}
	}
}

// checkConsistency recomputes the totals of clients, servers and relays and compares them.
func (s *Sim) checkConsistency() error {
	connections, pendingAttempts := 0, make(map[int]int)
	for i := range s.clients {
		if client := &s.clients[i]; client.state == stateWaiting && client.server >= 0 {
			pendingAttempts[int(client.server)]++
		}
	}
	for i, server := range s.servers {
		load, groups, byClass := 0.0, make(map[uint32]int), make([]int, len(s.Classes))
		for connIndex, id := range server.conns {
			client := &s.clients[id]
			if client.state != stateEstablished || int(client.server) != i || int(client.connIndex) != connIndex {
				return fmt.Errorf("server %d has client %d, which is in state %d at index %d of server %d", i, id, client.state, client.connIndex, client.server)
			}
			load += float64(client.load)
			groups[client.group]++
			byClass[client.class]++
			connections++
		}
		load += s.GroupCost * float64(len(groups))
		if d := load - server.load; d > 1e-3 || d < -1e-3 || !reflect.DeepEqual(groups, server.connectionsByGroup) || !reflect.DeepEqual(byClass, server.connectionsByClass) {
			return fmt.Errorf("server %d has load %v and groups %v, but its connections add up to %v and %v", i, server.load, server.connectionsByGroup, load, groups)
		}
		if pendingAttempts[i] != server.pendingAttempts {
			return fmt.Errorf("server %d has %d pending attempts, but clients have %d", i, server.pendingAttempts, pendingAttempts[i])
		}
		if server.down && len(server.conns) > 0 {
			return fmt.Errorf("server %d is down and has %d connections", i, len(server.conns))
		}
	}
	byClass, established := make([]int, len(s.Classes)), 0
	for i := range s.clients {
		client := &s.clients[i]
		if client.state != stateGone {
			byClass[client.class]++
		}
		if client.state == stateEstablished {
			established++
			if relay := s.relays[client.relay]; !relay.up || relay.clientsByRequest[client.requestID] != uint32(i) {
				return fmt.Errorf("client %d is established at relay %d, which has no such request", i, client.relay)
			}
		}
	}
	if established != connections || !reflect.DeepEqual(byClass, s.clientsByClass) {
		return fmt.Errorf("%d clients are established with %d connections at servers; clients by class are %v, counted %v", established, connections, s.clientsByClass, byClass)
	}
	return nil
}

// Guards against clients and loads that are lost or counted twice under random scripts, and against
// attempts that the balancer sends to draining servers after the grace period.
func TestRandomScenariosStayConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world := ReferenceWorld()
		world.Servers, world.Relays, world.Duration = rapid.IntRange(1, 20).Draw(rt, "servers"), rapid.IntRange(1, 5).Draw(rt, "relays"), 12*time.Second
		world.ArrivalRate, world.InitialConnections = float64(rapid.IntRange(0, 20).Draw(rt, "rate")), rapid.IntRange(0, 200).Draw(rt, "standing")
		world.MeanLifetime = time.Duration(rapid.IntRange(1, 30).Draw(rt, "life")) * time.Second
		var script strings.Builder
		for range rapid.IntRange(0, 6).Draw(rt, "acts") {
			fmt.Fprintf(&script, "(at %dms %s)", rapid.IntRange(0, 12000).Draw(rt, "at"), rapid.SampledFrom([]string{
				"(hang 2 3s)", "(slow 2 0.2 4s)", "(drain 1)", "(restart 2 2s)", "(drop 60)", "(relay-restart 1 2s)", "(surge 5 2s)", "(list-behind 3s 4s)", "(add 2)"}).Draw(rt, "act"))
		}
		policy := rapid.SampledFrom(Policies).Draw(rt, "policy")
		s := New(world, mustParseActions(rt, script.String()), policy, rapid.Uint64().Draw(rt, "seed"))
		for i := 0; len(s.events) > 0; i++ {
			event := s.events.pop()
			if event.at < s.now {
				rt.Fatalf("an event at %v is handled after one at %v", event.at, s.now)
			}
			if event.at > s.end {
				break
			}
			s.now = event.at
			s.handleEvent(event)
			if i%50 == 0 {
				if err := s.checkConsistency(); err != nil {
					rt.Fatalf("%s: %v", policy.Name, err)
				}
			}
		}
		result := s.statistics.result(s, 0)
		for _, service := range []float64{result.Service, result.WorstTenSeconds, result.Classes[0].Service} {
			if service < 0 || service > 1 {
				rt.Fatalf("service %v is not between 0 and 1: %s", service, summary(result))
			}
		}
		if policy.Name == "module" && result.LateAfterDrain > 0 {
			rt.Fatalf("%d attempts were sent to servers over %v after the notification of their drain", result.LateAfterDrain, drainGracePeriod)
		}
	})
}

// Guards against a model in which failures and overload do not lower the service, or in which service
// is low without them.
func TestFailuresAndOverloadLowerService(t *testing.T) {
	mean := func(actions, policy string, change func(*World)) (service, attempts float64, result *Result) {
		for seed := range uint64(5) {
			world := ReferenceWorld()
			if change != nil {
				change(&world)
			}
			result = New(world, mustParseActions(t, actions), mustFindPolicy(policy), seed).Run(nil)
			service += result.Service / 5
			attempts += result.AttemptsPerRequest / 5
		}
		return service, attempts, result
	}
	undisturbed, attempts, result := mean("", "module", func(world *World) { world.ArrivalRate, world.InitialConnections = 1.5, 55 })
	if undisturbed < 0.93 || attempts > 1.2 || result.Overloaded > 0 || result.HeartbeatTimeouts > 0 {
		t.Errorf("without failures, service is %.3f, want at least 0.93, and %.2f attempts per request, want at most 1.2: %s", undisturbed, attempts, summary(result))
	}
	hung, _, _ := mean("(at 10s (hang 2 15s))", "module", nil)
	usual, _, _ := mean("", "module", nil)
	if hung >= usual {
		t.Errorf("service is %.3f with two hung servers and %.3f without, want less with them", hung, usual)
	}
	overload, _, _ := mean("", "module", func(world *World) { world.ArrivalRate, world.InitialConnections = 8, 300 })
	if overload > usual-0.1 {
		t.Errorf("service is %.3f under overload and %.3f without, want it lower by 0.1 or more", overload, usual)
	}
	oracle, _, _ := mean("", "oracle", nil)
	random, _, _ := mean("", "random", nil)
	if oracle < random {
		t.Errorf("service is %.3f with the oracle and %.3f with random choice, want more with the oracle", oracle, random)
	}
	restarted, _, result := mean("(at 5s (restart 2 2s))", "module", nil)
	if result.Overloaded > 0 || restarted < 0.5 {
		t.Errorf("%d restarted servers failed from overload, want none; service is %.3f, want at least 0.5", result.Overloaded, restarted)
	}
}

// Guards against relays with health checks that miss hung or stopped servers, detect them late, or
// report healthy servers although no probe is lost.
func TestHealthChecksDetectHungAndStoppedServers(t *testing.T) {
	run := func(probed bool, loss float64, actions string) *Result {
		world := ReferenceWorld()
		world.UseHealthChecks, world.ProbeLoss = probed, loss
		if err := world.Validate(); err != nil {
			t.Fatal(err)
		}
		s := New(world, mustParseActions(t, actions), mustFindPolicy("module"), 5)
		result := s.Run(nil)
		if err := s.checkConsistency(); err != nil {
			t.Error(err)
		}
		return result
	}
	const hang, restart = "(at 15s (hang 2 12s))", "(at 15s (restart 2 12s))"
	if result := run(false, 0, hang); result.DetectionTime != 0 || result.Probes != 0 {
		t.Errorf("without health checks, hung servers are detected after %v s with %d probes, want none", result.DetectionTime, result.Probes)
	}
	limit := (3*healthcheck.DefaultSettings().Interval + healthcheck.DefaultSettings().Timeout).Seconds()
	for _, actions := range []string{hang, restart} {
		if result := run(true, 0, actions); result.DetectionTime <= 0 || result.DetectionTime > limit {
			t.Errorf("%s: detected after %v s, want within %v s", actions, result.DetectionTime, limit)
		}
	}
	if result := run(true, 0, ""); result.FalseAlarms != 0 || result.Probes < 13*4*20 {
		t.Errorf("without failures, there are %d false alarms, want none, and %d probes, want at least %d", result.FalseAlarms, result.Probes, 13*4*20)
	}
	if result := run(true, 0.4, "(at 10s (add 1)) (at 20s (drain 1)) (at 22s (relay-restart 1 3s))"); result.FalseAlarms == 0 {
		t.Error("lost probes cause no false alarm")
	}
}

// Guards against baselines that do not choose servers by the rule that they are named after.
func TestBaselinesFollowTheirRules(t *testing.T) {
	choices := func(name string, n int, group uint64) map[balancer.EndpointID]int {
		s := New(ReferenceWorld(), nil, mustFindPolicy(name), 1)
		got := make(map[balancer.EndpointID]int)
		for i := range n {
			id := balancer.RequestID(9000 + i)
			for _, action := range s.relays[0].decider.Handle(startTime, balancer.Request{ID: id, Group: group, TimeLeft: time.Second}) {
				if send, ok := action.(balancer.SendAttempt); ok {
					got[send.Endpoint]++
					s.relays[0].decider.Handle(startTime, balancer.Established{Request: id, Endpoint: send.Endpoint})
				}
			}
		}
		return got
	}
	for name, want := range map[string][3]int{ // maximum of servers chosen, minimum and maximum of requests for each
		"round-robin": {13, 10, 10}, "least-connections": {13, 10, 10}, "two-choices": {13, 5, 14}, "random": {13, 1, 25}, "bounded-hash": {13, 0, 13},
	} {
		got := choices(name, 130, 7)
		fewest, most := 130, 0
		for _, n := range got {
			fewest, most = min(fewest, n), max(most, n)
		}
		if len(got) > want[0] || fewest < want[1] || most > want[2] {
			t.Errorf("%s: requests by server are %v, want at most %d servers with %d to %d each", name, got, want[0], want[1], want[2])
		}
	}
	if got := choices("bounded-hash", 1, 7); len(got) != 1 || fmt.Sprint(got) != fmt.Sprint(choices("bounded-hash", 1, 7)) {
		t.Errorf("bounded-hash: the first request of a group goes to %v, and not there again in a second run", got)
	}
}

func TestInvalidWorldsAndActionsAreRejected(t *testing.T) {
	for want, change := range map[string]func(*World){
		"servers 0": func(world *World) { world.Servers = 0 }, "relays 9999": func(world *World) { world.Relays = 9999 }, "rate -1": func(world *World) { world.ArrivalRate = -1 },
		"for 0s": func(world *World) { world.Duration = 0 }, "no classes": func(world *World) { world.Classes = nil }, "groups 0": func(world *World) { world.Groups = 0 },
		"cold-share 2": func(world *World) { world.InitialCapacity = 2 }, "swing 1": func(world *World) { world.RateAmplitude = 1 }, "zones 0": func(world *World) { world.Zones = 0 },
	} {
		world := ReferenceWorld()
		change(&world)
		if err := world.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v, want one with %q", err, want)
		}
	}
	world := ReferenceWorld()
	if err := world.Validate(); err != nil {
		t.Errorf("the reference world is invalid: %v", err)
	}
	for text, want := range map[string]string{
		"(at 1s (melt 2))": `column 8: unknown action "melt"`, "(at 1s (hang 2))": "column 8: hang takes 2 arguments", "(in 1s)": "column 1: expected (at TIME (ACTION ...))",
		"(at 1s (drop 200))": `column 14: 200 is not a number between 0 and 100`, "(at 1s (drain 0))": "column 15: 0 is not between",
	} {
		nodes, err := sexp.Parse(text)
		if err == nil {
			_, err = ParseScriptedAction(nodes[0])
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error is %v, want one with %q", text, err, want)
		}
	}
}

// The production balancer implements Decider.
var _ Decider = (*balancer.Balancer)(nil)

// BenchmarkSimulation reports, for worlds of several sizes, the simulated seconds and the events per
// second of run time, and the number of connections at the end.
func BenchmarkSimulation(b *testing.B) {
	for _, size := range []struct {
		factor float64
		relays int
	}{{1, 4}, {10, 16}, {154, 64}} {
		b.Run(fmt.Sprintf("servers=%d", int(13*size.factor)), func(b *testing.B) {
			for range b.N {
				world := ReferenceWorld().Scaled(size.factor, size.relays)
				world.Duration = 20 * time.Second
				result := New(world, nil, mustFindPolicy("module"), 1).Run(nil)
				b.ReportMetric(world.Duration.Seconds()/result.RunTime, "times-real")
				b.ReportMetric(float64(result.Events)/result.RunTime, "events/s")
				b.ReportMetric(float64(result.Established), "standing")
			}
		})
	}
}
