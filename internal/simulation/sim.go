package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"lockroad/balancer"
)

// Decider makes the decisions of one relay, as balancer.Balancer does. The returned actions are
// valid until the next call.
type Decider interface {
	Handle(now time.Duration, ev balancer.Event) []balancer.Action
}

// Policy creates the deciders of relays.
type Policy struct {
	Name       string
	NewDecider func(s *Sim, relayIndex int) Decider
}

// startTime is the clock when measurement begins. It is far above zero, as a relay's clock is.
const startTime = time.Hour

// warmUpTime is how long before startTime the initial connections begin to arrive.
const warmUpTime = 10 * time.Second

// tickInterval is the interval at which servers' delays and the statistics are updated.
const tickInterval = 250 * time.Millisecond

// Sim is a running simulation. It is not safe for concurrent use.
type Sim struct {
	World
	now            time.Duration
	lastSequence   uint64
	events         eventQueue
	rng            *rand.Rand
	clients        []clientModel
	freeClients    []uint32
	servers        []*serverModel
	relays         []*relayModel
	actions        []ScriptedAction
	newDecider     func(s *Sim, relayIndex int) Decider
	extraListDelay time.Duration // added to the world's ListDelay
	statistics     statistics
	clientsByClass []int     // clients that have not left, by class
	groupWeights   []float64 // cumulative popularity
	eventCount     uint64    // handled events

	loadMean, lifeMean float64 // of the classes' factors, weighted by their shares
	end                time.Duration
}

// New returns a simulation that performs the actions of a script. The world must be valid.
// Equal arguments give equal results.
func New(world World, actions []ScriptedAction, policy Policy, seed uint64) *Sim {
	sim := &Sim{World: world, now: startTime - warmUpTime, rng: rand.New(rand.NewPCG(seed, 1)), actions: actions, newDecider: policy.NewDecider, clientsByClass: make([]int, len(world.Classes)), end: startTime + world.Duration}
	sim.statistics.start(sim)
	for _, class := range world.Classes {
		sim.loadMean += class.Share * (class.LoadFactor[0] + class.LoadFactor[1]) / 2
		sim.lifeMean += class.Share * (class.LifetimeFactor[0] + class.LifetimeFactor[1]) / 2
	}
	total := 0.0
	for i := range world.Groups {
		total += math.Pow(float64(i+1), -world.GroupSkew)
		sim.groupWeights = append(sim.groupWeights, total)
	}
	for i := range world.Servers {
		speed := sim.uniform(world.Speed)
		if math.Floor(float64(i+1)*world.SlowShare) > math.Floor(float64(i)*world.SlowShare) {
			speed = sim.uniform(world.SlowSpeed)
		}
		sim.newServer(speed, 0)
	}
	// The number of slow machines is exact; which servers run on them is random.
	sim.rng.Shuffle(len(sim.servers), func(i, j int) {
		a, b := sim.servers[i], sim.servers[j]
		a.speed, b.speed, a.capacity, b.capacity = b.speed, a.speed, b.capacity, a.capacity
	})
	for i := range world.Relays {
		relay := &relayModel{zone: i % world.Zones}
		sim.relays = append(sim.relays, relay)
		sim.startRelay(uint32(i))
	}
	for range world.InitialConnections {
		sim.schedule(time.Duration(sim.rng.Float64()*float64(warmUpTime)*0.8), scheduledEvent{kind: eventClientArrives, value: 1})
	}
	if world.ArrivalRate > 0 {
		sim.push(scheduledEvent{at: startTime, kind: eventClientArrives})
	}
	sim.push(scheduledEvent{at: startTime - warmUpTime + tickInterval, kind: eventTick})
	for i, action := range actions {
		sim.push(scheduledEvent{at: startTime + action.At, kind: eventScriptedAction, value: uint32(i)})
	}
	return sim
}

// push schedules an event at its own time; simultaneous events are handled in the order of scheduling.
func (s *Sim) push(event scheduledEvent) {
	s.lastSequence++
	event.sequence = s.lastSequence
	s.events.push(event)
}

// schedule schedules an event after a delay.
func (s *Sim) schedule(after time.Duration, event scheduledEvent) {
	event.at = s.now + after
	s.push(event)
}

// uniform draws a uniformly distributed number.
func (s *Sim) uniform(bounds [2]float64) float64 {
	return bounds[0] + (bounds[1]-bounds[0])*s.rng.Float64()
}

// uniformDuration draws a uniformly distributed duration.
func (s *Sim) uniformDuration(bounds [2]time.Duration) time.Duration {
	return bounds[0] + time.Duration(s.rng.Float64()*float64(bounds[1]-bounds[0]))
}

// Run runs the simulation to its end and returns the result. progress, unless nil, is called
// from time to time with the completed share of the duration.
func (s *Sim) Run(progress func(share float64)) *Result {
	started := time.Now()
	for len(s.events) > 0 {
		event := s.events.pop()
		if event.at > s.end {
			break
		}
		s.now = event.at
		s.eventCount++
		if s.eventCount&0xffff == 0 && progress != nil {
			progress(float64(s.now-startTime) / float64(s.Duration))
		}
		s.handleEvent(event)
	}
	return s.statistics.result(s, time.Since(started))
}

// handleEvent dispatches an event. Events of clients, timers and probes that are out of date are ignored.
func (s *Sim) handleEvent(event scheduledEvent) {
	switch event.kind {
	case eventClientArrives:
		s.newClient()
		if event.value == 0 {
			s.schedule(time.Duration(s.rng.ExpFloat64()/s.arrivalRateNow()*float64(time.Second)), scheduledEvent{kind: eventClientArrives})
		}
	case eventRequestArrives:
		s.requestArrives(event)
	case eventTimer:
		if relay := s.relays[event.subject]; relay.up && relay.incarnation == event.value {
			s.handle(event.subject, balancer.Timer{Token: event.generation})
		}
	case eventAttemptArrives:
		s.attemptArrives(event)
	case eventAttemptResult:
		s.attemptResult(event)
	case eventAttemptTimeout:
		if client := &s.clients[event.subject]; client.state == stateWaiting && client.attemptGeneration == event.generation && client.server >= 0 {
			s.attemptFailed(event.subject, balancer.StatusTimeout)
		}
	case eventDeadline:
		if client := &s.clients[event.subject]; client.state == stateWaiting && client.generation == event.generation {
			s.abandonRequest(event.subject)
			s.statistics.gaveUp++
			s.retry(event.subject, 0)
		}
	case eventLifetimeEnds:
		s.lifetimeEnds(event)
	case eventClientReturns:
		if client := &s.clients[event.subject]; client.state == stateAway && client.generation == event.generation {
			s.connect(event.subject)
		}
	case eventHeartbeatTimeout:
		if client := &s.clients[event.subject]; client.state == stateEstablished && client.generation == event.generation && client.serverSilent {
			s.statistics.heartbeatTimeouts++
			s.breakConnection(event.subject, balancer.StatusReset, s.uniformDuration(s.ReturnDelay))
		}
	case eventListUpdate:
		s.listUpdate(event)
	case eventProbesDue:
		if relay := s.relays[event.subject]; relay.up && relay.incarnation == event.generation {
			s.sendProbes(event.subject)
		}
	case eventProbeResult:
		s.probeResult(event)
	case eventTick:
		s.tick()
	case eventScriptedAction:
		s.startAction(s.actions[event.value])
	case eventMigrateClients:
		s.migrateClients(int(event.value))
	case eventServerStops:
		s.stopServer(int(event.value), event.generation == 1)
	case eventServerRecovers:
		s.recoverServer(int(event.value))
	case eventRelayStarts:
		s.startRelay(event.subject)
	}
}

// arrivalRateNow returns the current number of new clients per second.
func (s *Sim) arrivalRateNow() float64 {
	if s.RateAmplitude == 0 {
		return s.ArrivalRate
	}
	return s.ArrivalRate * (1 + s.RateAmplitude*math.Sin(2*math.Pi*float64(s.now-startTime)/float64(s.RatePeriod)))
}
