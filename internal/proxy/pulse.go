package proxy

import (
	"context"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/metrics"
)

const (
	pulseEvery = 100 * time.Millisecond // how often the pulses are looked at
	delayEvery = time.Second            // how often a server's delay is told

	// A connection without an echo for this long is dead. The rule allows 7 s since
	// something came back; up to 2 s of them pass before the client speaks again.
	silentAfter = 4500 * time.Millisecond
)

// Heartbeat is the beat of one connection: what its client says should bring
// something back at once. It guards against servers that go silent while their
// connections stay open.
type Heartbeat struct {
	clock  Clock
	server balancer.EndpointID
	up     chan struct{}
	kind   *metrics.ClassCounters
	silent func()
	load   func(float64)
	delay  func(time.Duration)

	mu    sync.Mutex
	asked time.Duration // since when the client's word is unanswered; 0 if it is not
	echo  time.Duration // the longest answer since the last look
	told  float64       // the load that the server told last, in seconds of work a second
}

// Established notes that the client has been told that it is up. It is called once.
func (p *Heartbeat) Established() {
	close(p.up)
	p.kind.CountEstablished()
}

// ClientSent notes that the client has said something.
func (p *Heartbeat) ClientSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == 0 {
		p.asked = p.clock.Now()
	}
}

// EndpointSent notes that the server has said something back.
func (p *Heartbeat) EndpointSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked != 0 {
		p.echo = max(p.echo, p.clock.Now()-p.asked)
		p.asked = 0
	}
}

// TimedOut notes that the server has not even said that it lives.
func (p *Heartbeat) TimedOut() { p.silent() }

// ReportLoad notes the load that the server tells of the connection.
func (p *Heartbeat) ReportLoad(load float64) {
	p.mu.Lock()
	p.told = load
	p.mu.Unlock()
	p.load(load)
}

// ReportDelay notes how long a message takes at the server, as it says itself.
func (p *Heartbeat) ReportDelay(delay time.Duration) { p.delay(delay) }

// take returns the longest answer since the last look, or the wait for the one
// that is still to come, and whether it has gone silent.
func (p *Heartbeat) take(now time.Duration) (delay time.Duration, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay, p.echo = p.echo, 0
	if p.asked != 0 {
		delay = max(delay, now-p.asked)
		silent = now-p.asked >= silentAfter
	}
	return delay, silent
}

// pulses holds the pulses of all connections that stand, and tells the module
// how long messages take at a server while that matters.
type pulses struct {
	clock Clock
	floor time.Duration // delays under it are not told; 0 if none are

	mu   sync.Mutex
	all  map[*Heartbeat]struct{}
	told map[balancer.EndpointID]told
}

type told struct {
	at    time.Duration
	worst time.Duration // since then
	over  bool          // the last told was over the floor

	said   time.Duration // what the server itself last said, at saidAt
	saidAt time.Duration
}

// saidFor is how long a server's own word on its delay holds, with a little to
// spare: it comes once a second.
const saidFor = 1500 * time.Millisecond

func newPulses(s *balancer.Settings, clock Clock) *pulses {
	p := &pulses{clock: clock, all: make(map[*Heartbeat]struct{}), told: make(map[balancer.EndpointID]told)}
	p.retune(s)
	return p
}

// retune goes over to other settings.
func (p *pulses) retune(s *balancer.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.floor = 0
	for _, c := range s.Classes {
		if aim := c.MessageLatencyObjective / 3; aim > 0 && (p.floor == 0 || aim < p.floor) {
			p.floor = aim
		}
	}
}

func (p *pulses) add(pulse *Heartbeat) *Heartbeat {
	pulse.clock = p.clock
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[pulse] = struct{}{}
	return pulse
}

func (p *pulses) remove(pulse *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, pulse)
}

// heard notes what a server says itself of its delay.
func (p *pulses) heard(id balancer.EndpointID, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.told[id]
	t.said, t.saidAt = delay, p.clock.Now()
	p.told[id] = t
}

// look takes all pulses, ends the silent ones and returns the delays to tell:
// once a second of a server while it is over the floor, and once more when it is
// back under.
func (p *pulses) look(now time.Duration) []balancer.DelayReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	worst := make(map[balancer.EndpointID]time.Duration)
	for pulse := range p.all {
		delay, silent := pulse.take(now)
		worst[pulse.server] = max(worst[pulse.server], delay)
		if silent {
			pulse.silent()
		}
	}
	var tell []balancer.DelayReport
	for id, delay := range worst {
		t := p.told[id]
		t.worst = max(t.worst, delay)
		if now-t.at >= delayEvery && p.floor > 0 {
			if over := t.worst > p.floor; over || t.over {
				// A missing echo tells only that a message takes that long at the least.
				// Told beside the server's own word, a younger and so smaller wait reads
				// as a delay that falls fast, and a hung server was left its connections.
				if now < t.saidAt+saidFor {
					t.worst = max(t.worst, t.said)
				}
				tell = append(tell, balancer.DelayReport{Endpoint: id, Delay: t.worst})
				t.over = over
			}
			t.at, t.worst = now, 0
		}
		p.told[id] = t
	}
	return tell
}

// MonitorHeartbeats looks at the pulses until ctx ends.
func (c *Proxy) MonitorHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			for _, d := range c.pulses.look(c.Clock.Now()) {
				c.facade.Report(d)
			}
		}
	}
}
