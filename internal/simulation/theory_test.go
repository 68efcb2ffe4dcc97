package simulation

import (
	"fmt"
	"hash/fnv"
	"math"
	"testing"
	"time"
)

// queueWorld returns a world with one server whose set-ups are an M/D/1 queue: no network delays,
// no failures, no rejections.
func queueWorld(cores int, arrivalRate float64, setupWork time.Duration) World {
	world := ReferenceWorld()
	world.Servers, world.Relays, world.Zones, world.InitialConnections, world.SlowShare = 1, 1, 1, 0, 0
	world.ArrivalRate, world.RateAmplitude, world.Duration = arrivalRate, 0, 400*time.Second
	world.Speed, world.ConnectionsPerCore, world.CoresPerServer, world.GroupCost = [2]float64{1, 1}, 1e9, cores, 0
	world.SetupWork, world.SetupQueueLimit = setupWork, 1_000_000
	world.SameZoneDelay, world.CrossZoneDelay, world.ClientDelay = [2]time.Duration{}, [2]time.Duration{}, [2]time.Duration{}
	world.MeanLifetime = time.Hour
	for i := range world.Classes {
		world.Classes[i].Deadline, world.Classes[i].LoadFactor = time.Hour, [2]float64{1, 1}
	}
	return world
}

// The mean waiting time in an M/D/1 queue is rho/(2(1-rho)) service times, by the
// Pollaczek-Khinchine formula.
func TestSetupWaitMatchesMD1Queue(t *testing.T) {
	for _, rho := range []float64{0.3, 0.6, 0.8} {
		const setupWork = 20 * time.Millisecond
		totalTime, count := 0.0, 0
		for seed := range uint64(5) {
			world := queueWorld(1, rho/setupWork.Seconds(), setupWork)
			s := New(world, nil, mustFindPolicy("random"), seed)
			result := s.Run(nil)
			for i := range s.Classes {
				histogram := s.statistics.setupTimes[i]
				totalTime += histogram.Mean() / 1e6 * float64(histogram.TotalCount())
				count += int(histogram.TotalCount())
			}
			if result.Rejected > 0 || result.FailedAttempts > 0 {
				t.Fatalf("utilization %v: attempts failed or were rejected: %s", rho, summary(result))
			}
		}
		got := totalTime/float64(count) - setupWork.Seconds()
		want := rho / (2 * (1 - rho)) * setupWork.Seconds()
		if math.Abs(got-want) > 0.08*want+0.0003 {
			t.Errorf("utilization %v: set-ups wait %.4f s on average, want %.4f s", rho, got, want)
		}
	}
}

// The mean response time in an M/G/1 processor-sharing queue is S/(1-rho).
func TestMessageDelayMatchesMG1ProcessorSharing(t *testing.T) {
	world := ReferenceWorld()
	s := New(world, nil, mustFindPolicy("random"), 1)
	for _, server := range s.servers {
		for _, rho := range []float64{0, 0.3, 0.6, 0.9} {
			want := world.IdleMessageTime.Seconds() / server.speed / (1 - rho)
			if got := s.messageDelay(server, rho).Seconds(); math.Abs(got-want) > 1e-6 {
				t.Errorf("utilization %v: a message takes %v s, want %v s", rho, got, want)
			}
		}
	}
}

// The number of connections in an M/G/infinity queue is Poisson distributed, with the mean given by
// Little's law.
func TestConnectionCountMatchesLittlesLaw(t *testing.T) {
	world := ReferenceWorld()
	world.Duration, world.InitialConnections, world.RateAmplitude, world.Servers = 600*time.Second, 0, 0, 60
	s := New(world, nil, mustFindPolicy("oracle"), 5)
	result := s.Run(nil)
	mean, squares, count := 0.0, 0.0, 0.0
	for _, second := range result.Seconds[200:] { // five mean lifetimes after the start
		mean, squares, count = mean+float64(second.Established), squares+float64(second.Established)*float64(second.Established), count+1
	}
	mean /= count
	want := world.ArrivalRate * world.MeanLifetime.Seconds()
	if variance := squares/count - mean*mean; math.Abs(mean-want) > 0.12*want || variance < 0.2*want || variance > 3*want {
		t.Errorf("the number of connections has mean %.1f and variance %.1f, want %.1f for both", mean, variance, want)
	}
}

// Guards against clients that leave twice or never.
func TestEachClientLeavesOnce(t *testing.T) {
	for _, policy := range Policies {
		s := New(ReferenceWorld(), mustParseActions(t, "(at 10s (hang 2 10s)) (at 20s (drop 60)) (at 30s (restart 3 4s))"), policy, 9)
		s.Run(nil)
		present := 0
		for i := range s.clients {
			if s.clients[i].state != stateGone {
				present++
			}
		}
		departed := s.statistics.departedClients
		if s.statistics.clients != present+departed {
			t.Errorf("%s: %d clients arrived, but %d are present and %d have left", policy.Name, s.statistics.clients, present, departed)
		}
		if err := s.checkConsistency(); err != nil {
			t.Errorf("%s: %v", policy.Name, err)
		}
	}
}

// eventDigest returns a hash of all events of a run, in order.
func eventDigest(world World, actions []ScriptedAction, policy Policy, seed uint64) uint64 {
	s := New(world, actions, policy, seed)
	h := fnv.New64a()
	for len(s.events) > 0 {
		event := s.events.pop()
		if event.at > s.end {
			break
		}
		s.now = event.at
		fmt.Fprintln(h, event.at, event.kind, event.subject, event.generation, event.value)
		s.handleEvent(event)
	}
	return h.Sum64()
}

func TestSeedDeterminesAllEvents(t *testing.T) {
	for _, policy := range Policies {
		actions := mustParseActions(t, "(at 5s (hang 2 8s)) (at 12s (drop 40)) (at 15s (relay-restart 1 3s))")
		if x, y := eventDigest(ReferenceWorld(), actions, policy, 7), eventDigest(ReferenceWorld(), actions, policy, 7); x != y {
			t.Errorf("%s: two runs with one seed have the event digests %x and %x", policy.Name, x, y)
		}
	}
}

// Guards against scores that do not increase with a policy's knowledge of the servers' state.
func TestPoliciesRankByTheirKnowledge(t *testing.T) {
	score := func(name string) (mean float64) {
		for seed := range uint64(12) {
			mean += New(ReferenceWorld(), nil, mustFindPolicy(name), seed).Run(nil).Score / 12
		}
		return mean
	}
	random, twoChoices, module, oracle := score("random"), score("two-choices"), score("module"), score("oracle")
	if !(random < twoChoices && twoChoices < module && module <= oracle) {
		t.Errorf("scores do not rise from random %.3f, two-choices %.3f, module %.3f to oracle %.3f", random, twoChoices, module, oracle)
	}
}
