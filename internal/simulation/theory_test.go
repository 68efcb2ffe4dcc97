package simulation

import (
	"fmt"
	"hash/fnv"
	"math"
	"testing"
	"time"
)

// queueWorld is a world with one server and one relay that is nothing but a queue of
// set-ups: no loads, no delays, no retries.
func queueWorld(cores int, perSecond float64, setUp time.Duration) World {
	world := ReferenceWorld()
	world.Servers, world.Relays, world.Zones, world.InitialConnections, world.SlowShare = 1, 1, 1, 0, 0
	world.ArrivalRate, world.RateAmplitude, world.Duration = perSecond, 0, 400*time.Second
	world.Speed, world.ConnectionsPerCore, world.CoresPerServer, world.GroupCost = [2]float64{1, 1}, 1e9, cores, 0
	world.SetupWork, world.SetupQueueLimit = setUp, 1_000_000
	world.SameZoneDelay, world.CrossZoneDelay, world.ClientDelay = [2]time.Duration{}, [2]time.Duration{}, [2]time.Duration{}
	world.MeanLifetime = time.Hour
	for i := range world.Classes {
		world.Classes[i].Deadline, world.Classes[i].LoadFactor = time.Hour, [2]float64{1, 1}
	}
	return world
}

// A server's set-ups are a queue with one line and a fixed time each, M/D/1: the mean
// wait is rho/(2(1-rho)) of a service (Pollaczek and Khinchine).
func TestSetUpsWaitAsInMD1(t *testing.T) {
	for _, rho := range []float64{0.3, 0.6, 0.8} {
		const setUp = 20 * time.Millisecond
		wait, n := 0.0, 0
		for seed := range uint64(5) {
			world := queueWorld(1, rho/setUp.Seconds(), setUp)
			s := New(world, nil, mustFindPolicy("random"), seed)
			result := s.Run(nil)
			for i := range s.Classes {
				h := s.statistics.setupTimes[i]
				wait += h.Mean() / 1e6 * float64(h.TotalCount())
				n += int(h.TotalCount())
			}
			if result.Rejected > 0 || result.FailedAttempts > 0 {
				t.Fatalf("rho %v: %s", rho, summary(result))
			}
		}
		got := wait/float64(n) - setUp.Seconds()
		want := rho / (2 * (1 - rho)) * setUp.Seconds()
		if math.Abs(got-want) > 0.08*want+0.0003 {
			t.Errorf("rho %v: set-ups wait %.4f s on average, by the closed form %.4f", rho, got, want)
		}
	}
}

// A message at a server takes its time over what is left of the server: S/(1-rho), as in
// a queue that shares its server (M/G/1-PS), whatever the distribution of the work.
func TestMessagesTakeAsLongAsInMG1PS(t *testing.T) {
	world := ReferenceWorld()
	s := New(world, nil, mustFindPolicy("random"), 1)
	for _, server := range s.servers {
		for _, rho := range []float64{0, 0.3, 0.6, 0.9} {
			want := world.IdleMessageTime.Seconds() / server.speed / (1 - rho)
			if got := s.messageDelay(server, rho).Seconds(); math.Abs(got-want) > 1e-6 {
				t.Errorf("at load %v a message takes %v s, by the closed form %v", rho, got, want)
			}
		}
	}
}

// Connections arrive at random and stay for a random time, with no bound on how many:
// M/G/infinity. Their number is Poisson with mean arrivals times life, whatever the
// distribution of lives; and Little's law holds: mean number is rate times mean stay.
func TestStandingConnectionsKeepLittlesLaw(t *testing.T) {
	world := ReferenceWorld()
	world.Duration, world.InitialConnections, world.RateAmplitude, world.Servers = 600*time.Second, 0, 0, 60
	s := New(world, nil, mustFindPolicy("oracle"), 5)
	result := s.Run(nil)
	mean, square, n := 0.0, 0.0, 0.0
	for _, x := range result.Seconds[200:] { // five lives after the start
		mean, square, n = mean+float64(x.Established), square+float64(x.Established)*float64(x.Established), n+1
	}
	mean /= n
	want := world.ArrivalRate * world.MeanLifetime.Seconds()
	if variance := square/n - mean*mean; math.Abs(mean-want) > 0.12*want || variance < 0.2*want || variance > 3*want {
		t.Errorf("%.1f stand on average with variance %.1f, by Little's law %.1f", mean, variance, want)
	}
}

// Every client that came has left, or is there: visits end once.
func TestEachVisitEndsOnce(t *testing.T) {
	for _, p := range Policies {
		s := New(ReferenceWorld(), mustParseActions(t, "(at 10s (hang 2 10s)) (at 20s (drop 60)) (at 30s (restart 3 4s))"), p, 9)
		s.Run(nil)
		there := 0
		for i := range s.clients {
			if s.clients[i].state != stateGone {
				there++
			}
		}
		left := s.statistics.departedClients
		if s.statistics.clients != there+left {
			t.Errorf("%s: %d came, %d are there and %d have left", p.Name, s.statistics.clients, there, left)
		}
		if err := s.checkConsistency(); err != nil {
			t.Errorf("%s: %v", p.Name, err)
		}
	}
}

// eventDigest is a hash of all events of a run, in order.
func eventDigest(world World, actions []ScriptedAction, p Policy, seed uint64) uint64 {
	s := New(world, actions, p, seed)
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

func TestSameSeedSameDigestOfAllEvents(t *testing.T) {
	for _, p := range Policies {
		actions := mustParseActions(t, "(at 5s (hang 2 8s)) (at 12s (drop 40)) (at 15s (relay-restart 1 3s))")
		if x, y := eventDigest(ReferenceWorld(), actions, p, 7), eventDigest(ReferenceWorld(), actions, p, 7); x != y {
			t.Errorf("%s: %x, and again %x", p.Name, x, y)
		}
	}
}

// Policies come in the order that the textbooks have for them where loads differ: blind
// chance, then two choices or fewest connections, then who knows what is there.
func TestPoliciesComeInTheirOrder(t *testing.T) {
	g := func(name string) (sum float64) {
		for seed := range uint64(12) {
			sum += New(ReferenceWorld(), nil, mustFindPolicy(name), seed).Run(nil).Score / 12
		}
		return sum
	}
	random, two, module, oracle := g("random"), g("two-choices"), g("module"), g("oracle")
	if !(random < two && two < module && module <= oracle) {
		t.Errorf("random %.3f, two choices %.3f, module %.3f, oracle %.3f", random, two, module, oracle)
	}
}
