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
	for _, n := range nodes {
		a, err := ParseScriptedAction(n)
		if err != nil {
			t.Fatal(err)
		}
		actions = append(actions, a)
	}
	return actions
}

func mustFindPolicy(name string) Policy {
	p, ok := FindPolicy(name)
	if !ok {
		panic(name)
	}
	return p
}

// summary is a result without its seconds.
func summary(result *Result) string {
	c := *result
	c.Seconds = nil
	return fmt.Sprintf("%+v", c)
}

// The same seed brings the same day, whatever happens in it; another seed another.
func TestSeedDeterminesResult(t *testing.T) {
	actions := mustParseActions(t, "(at 5s (hang 2 8s)) (at 8s (drain 1)) (at 10s (restart 1 3s)) (at 12s (drop 40)) (at 15s (relay-restart 1 3s)) (at 18s (slow 2 0.3 5s)) (at 20s (surge 3 4s)) (at 21s (list-behind 4s 6s)) (at 25s (add 2))")
	for _, p := range Policies {
		run := func(seed uint64) *Result {
			result := New(ReferenceWorld(), actions, p, seed).Run(nil)
			result.RunTime = 0
			return result
		}
		first := run(3)
		if again := run(3); !reflect.DeepEqual(first, again) {
			t.Errorf("%s: G %v with %d events, and again %v with %d", p.Name, first.Score, first.Events, again.Score, again.Events)
		}
		if other := run(4); other.Events == first.Events && other.Score == first.Score {
			t.Errorf("%s: another seed brings the same day", p.Name)
		}
		if first.Clients < 80 || first.Service < 0.3 || first.Migrations+first.BrokenConnections == 0 || len(first.Annotations) < 9 {
			t.Errorf("%s: %s", p.Name, summary(first))
		}
	}
}

// checkConsistency checks that what the world holds fits together.
func (s *Sim) checkConsistency() error {
	stand, out := 0, make(map[int]int)
	for i := range s.clients {
		if c := &s.clients[i]; c.state == stateWaiting && c.server >= 0 {
			out[int(c.server)]++
		}
	}
	for i, server := range s.servers {
		load, groups, by := 0.0, make(map[uint32]int), make([]int, len(s.Classes))
		for slot, id := range server.conns {
			c := &s.clients[id]
			if c.state != stateEstablished || int(c.server) != i || int(c.connIndex) != slot {
				return fmt.Errorf("client %d stands at server %d in state %d, place %d of server %d", id, i, c.state, c.connIndex, c.server)
			}
			load += float64(c.load)
			groups[c.group]++
			by[c.class]++
			stand++
		}
		load += s.GroupCost * float64(len(groups))
		if d := load - server.load; d > 1e-3 || d < -1e-3 || !reflect.DeepEqual(groups, server.connectionsByGroup) || !reflect.DeepEqual(by, server.connectionsByClass) {
			return fmt.Errorf("server %d has load %v and groups %v, counted %v and %v", i, server.load, server.connectionsByGroup, load, groups)
		}
		if out[i] != server.pendingAttempts {
			return fmt.Errorf("server %d counts %d passes, out are %d", i, server.pendingAttempts, out[i])
		}
		if server.down && len(server.conns) > 0 {
			return fmt.Errorf("server %d is down and has connections", i)
		}
	}
	present, ups := make([]int, len(s.Classes)), 0
	for i := range s.clients {
		c := &s.clients[i]
		if c.state != stateGone {
			present[c.class]++
		}
		if c.state == stateEstablished {
			ups++
			if result := s.relays[c.relay]; !result.up || result.clientsByRequest[c.requestID] != uint32(i) {
				return fmt.Errorf("client %d stands by relay %d, which does not know it", i, c.relay)
			}
		}
	}
	if ups != stand || !reflect.DeepEqual(present, s.clientsByClass) {
		return fmt.Errorf("%d clients are up and %d stand; present are %v, counted %v", ups, stand, s.clientsByClass, present)
	}
	return nil
}

// Whatever happens to it, the world stays whole: no client is in two places, no load is
// lost, and nothing goes to a server long after its drain was told to a relay that keeps
// the rule.
func TestRandomScenariosStayConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world := ReferenceWorld()
		world.Servers, world.Relays, world.Duration = rapid.IntRange(1, 20).Draw(rt, "servers"), rapid.IntRange(1, 5).Draw(rt, "relays"), 12*time.Second
		world.ArrivalRate, world.InitialConnections = float64(rapid.IntRange(0, 20).Draw(rt, "rate")), rapid.IntRange(0, 200).Draw(rt, "standing")
		world.MeanLifetime = time.Duration(rapid.IntRange(1, 30).Draw(rt, "life")) * time.Second
		var b strings.Builder
		for range rapid.IntRange(0, 6).Draw(rt, "acts") {
			fmt.Fprintf(&b, "(at %dms %s)", rapid.IntRange(0, 12000).Draw(rt, "at"), rapid.SampledFrom([]string{
				"(hang 2 3s)", "(slow 2 0.2 4s)", "(drain 1)", "(restart 2 2s)", "(drop 60)", "(relay-restart 1 2s)", "(surge 5 2s)", "(list-behind 3s 4s)", "(add 2)"}).Draw(rt, "act"))
		}
		p := rapid.SampledFrom(Policies).Draw(rt, "policy")
		s := New(world, mustParseActions(rt, b.String()), p, rapid.Uint64().Draw(rt, "seed"))
		for i := 0; len(s.events) > 0; i++ {
			event := s.events.pop()
			if event.at < s.now {
				rt.Fatalf("time goes back from %v to %v", s.now, event.at)
			}
			if event.at > s.end {
				break
			}
			s.now = event.at
			s.handleEvent(event)
			if i%50 == 0 {
				if err := s.checkConsistency(); err != nil {
					rt.Fatalf("%s: %v", p.Name, err)
				}
			}
		}
		result := s.statistics.result(s, 0)
		for _, part := range []float64{result.Service, result.WorstTenSeconds, result.Classes[0].Service} {
			if part < 0 || part > 1 {
				rt.Fatalf("service of %v: %s", part, summary(result))
			}
		}
		if p.Name == "module" && result.LateAfterDrain > 0 {
			rt.Fatalf("%d passes went to servers long after their drain was told", result.LateAfterDrain)
		}
	})
}

// The figures that the pages tell have to come out of the model: calm days are served,
// and troubles cost what one would expect.
func TestModelBehavesAsThePagesSay(t *testing.T) {
	mean := func(actions, p string, change func(*World)) (service, attempts float64, result *Result) {
		for seed := range uint64(5) {
			world := ReferenceWorld()
			if change != nil {
				change(&world)
			}
			result = New(world, mustParseActions(t, actions), mustFindPolicy(p), seed).Run(nil)
			service += result.Service / 5
			attempts += result.AttemptsPerRequest / 5
		}
		return service, attempts, result
	}
	calm, attempts, result := mean("", "module", func(world *World) { world.ArrivalRate, world.InitialConnections = 1.5, 55 })
	if calm < 0.93 || attempts > 1.2 || result.Overloaded > 0 || result.HeartbeatTimeouts > 0 {
		t.Errorf("a calm day has %.3f of service with %.2f attempts: %s", calm, attempts, summary(result))
	}
	hung, _, _ := mean("(at 10s (hang 2 15s))", "module", nil)
	usual, _, _ := mean("", "module", nil)
	if hung >= usual {
		t.Errorf("two hung servers: %.3f, without %.3f", hung, usual)
	}
	over, _, _ := mean("", "module", func(world *World) { world.ArrivalRate, world.InitialConnections = 8, 300 })
	if over > usual-0.1 {
		t.Errorf("an overload is served %.3f, a usual day %.3f", over, usual)
	}
	oracle, _, _ := mean("", "oracle", nil)
	random, _, _ := mean("", "random", nil)
	if oracle < random {
		t.Errorf("who sees all serves %.3f, chance %.3f", oracle, random)
	}
	cold, _, result := mean("(at 5s (restart 2 2s))", "module", nil)
	if result.Overloaded > 0 || cold < 0.5 {
		t.Errorf("cold servers fell over %d times; service %.3f", result.Overloaded, cold)
	}
}

// Relays that find out by themselves which servers are up find one that hangs, as no list does, and one
// that dies within three probes or passes; none that is well, unless probes get lost. A day with all of it
// stays whole.
func TestProbedRelaysFindOut(t *testing.T) {
	day := func(probed bool, loss float64, actions string) *Result {
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
	const hangs, dies = "(at 15s (hang 2 12s))", "(at 15s (restart 2 12s))"
	if result := day(false, 0, hangs); result.DetectionTime != 0 || result.Probes != 0 {
		t.Errorf("a list that is told finds hung servers in %v s, with %d probes", result.DetectionTime, result.Probes)
	}
	most := (3*healthcheck.DefaultSettings().Interval + healthcheck.DefaultSettings().Timeout).Seconds()
	for _, actions := range []string{hangs, dies} {
		if result := day(true, 0, actions); result.DetectionTime <= 0 || result.DetectionTime > most {
			t.Errorf("%s: found in %v s, want within %v", actions, result.DetectionTime, most)
		}
	}
	if result := day(true, 0, ""); result.FalseAlarms != 0 || result.Probes < 13*4*20 {
		t.Errorf("%d false alarms, %d probes", result.FalseAlarms, result.Probes)
	}
	if result := day(true, 0.4, "(at 10s (add 1)) (at 20s (drain 1)) (at 22s (relay-restart 1 3s))"); result.FalseAlarms == 0 {
		t.Error("probes that get lost bring no alarm")
	}
}

// The baselines keep their published rules.
func TestBaselinesChooseAsTheyShould(t *testing.T) {
	ask := func(name string, n int, group uint64) map[balancer.EndpointID]int {
		s := New(ReferenceWorld(), nil, mustFindPolicy(name), 1)
		got := make(map[balancer.EndpointID]int)
		for i := range n {
			id := balancer.RequestID(9000 + i)
			for _, a := range s.relays[0].decider.Handle(startTime, balancer.Request{ID: id, Group: group, TimeLeft: time.Second}) {
				if send, ok := a.(balancer.SendAttempt); ok {
					got[send.Endpoint]++
					s.relays[0].decider.Handle(startTime, balancer.Established{Request: id, Endpoint: send.Endpoint})
				}
			}
		}
		return got
	}
	for name, want := range map[string][3]int{ // servers that are chosen of 13, and the fewest and most times, of 130
		"round-robin": {13, 10, 10}, "least-connections": {13, 10, 10}, "two-choices": {13, 5, 14}, "random": {13, 1, 25}, "bounded-hash": {13, 0, 13},
	} {
		got := ask(name, 130, 7)
		least, most := 130, 0
		for _, n := range got {
			least, most = min(least, n), max(most, n)
		}
		if len(got) > want[0] || least < want[1] || most > want[2] {
			t.Errorf("%s chooses %v", name, got)
		}
	}
	if got := ask("bounded-hash", 1, 7); len(got) != 1 || fmt.Sprint(got) != fmt.Sprint(ask("bounded-hash", 1, 7)) {
		t.Errorf("one group is hashed to %v", got)
	}
}

func TestWorldsThatMakeNoSenseAreRefused(t *testing.T) {
	for want, change := range map[string]func(*World){
		"servers 0": func(world *World) { world.Servers = 0 }, "relays 9999": func(world *World) { world.Relays = 9999 }, "rate -1": func(world *World) { world.ArrivalRate = -1 },
		"for 0s": func(world *World) { world.Duration = 0 }, "no classes": func(world *World) { world.Classes = nil }, "groups 0": func(world *World) { world.Groups = 0 },
		"cold-share 2": func(world *World) { world.InitialCapacity = 2 }, "swing 1": func(world *World) { world.RateAmplitude = 1 }, "zones 0": func(world *World) { world.Zones = 0 },
	} {
		world := ReferenceWorld()
		change(&world)
		if err := world.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	world := ReferenceWorld()
	if err := world.Validate(); err != nil {
		t.Error(err)
	}
	for text, want := range map[string]string{
		"(at 1s (melt 2))": `column 8: there is no act "melt"`, "(at 1s (hang 2))": "column 8: hang wants 2 values", "(in 1s)": "column 1: expected (at TIME (ACT ...))",
		"(at 1s (drop 200))": `column 14: 200 is not within 0 and 100`, "(at 1s (drain 0))": "column 15: 0 is not within",
	} {
		nodes, err := sexp.Parse(text)
		if err == nil {
			_, err = ParseScriptedAction(nodes[0])
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// A relay of the model is a Balancer of the program.
var _ Decider = (*balancer.Balancer)(nil)

// BenchmarkDay simulates days of several sizes, and reports how many times as fast as
// real time, events a second, and the memory of a standing connection.
func BenchmarkDay(b *testing.B) {
	for _, size := range []struct {
		by     float64
		relays int
	}{{1, 4}, {10, 16}, {154, 64}} {
		b.Run(fmt.Sprintf("servers=%d", int(13*size.by)), func(b *testing.B) {
			for range b.N {
				world := ReferenceWorld().Scaled(size.by, size.relays)
				world.Duration = 20 * time.Second
				result := New(world, nil, mustFindPolicy("module"), 1).Run(nil)
				b.ReportMetric(world.Duration.Seconds()/result.RunTime, "times-real")
				b.ReportMetric(float64(result.Events)/result.RunTime, "events/s")
				b.ReportMetric(float64(result.Established), "standing")
			}
		})
	}
}
