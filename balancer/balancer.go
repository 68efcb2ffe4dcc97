package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer decides for one relay. It is not safe for concurrent use.
type Balancer struct {
	set      *Settings     // in force
	aim      time.Duration // shortest wanted time of a message; 0 if not known
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	requests map[RequestID]*request
	timers   map[uint32]*request // a nil request: the list's timer
	leaving  map[uint32]*server  // timers of servers that drain
	token    uint32
	routes   routes
	fleet    fleet
	window   window
	list     listReader
	salt     uint64  // sets this relay apart from others
	part     float64 // of the budget of cold servers that is this process's
	pace     fading  // requests that servers were looked for, by this relay
	setups   setups  // how long they take
	seen     observer
}

// New returns a Balancer that has just started. Equal settings, seeds and
// events give equal actions.
func New(s Settings, seed uint64) *Balancer {
	return &Balancer{
		set:      &s,
		aim:      s.shortestAim(),
		part:     1,
		salt:     rand.NewPCG(seed, 1).Uint64(),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		requests: make(map[RequestID]*request),
		timers:   make(map[uint32]*request),
		leaving:  make(map[uint32]*server),
		routes:   routes{size: cacheSize, at: make(map[uint64]int)},
		fleet:    fleet{recent: fading{over: rateMemory}},
		pace:     fading{over: paceMemory},
		window:   window{size: windowMax, sharedUntil: math.MinInt64},
		list:     listReader{readAt: math.MinInt64},
	}
}

// Handle takes an event at the relay's clock and returns what to do, in order.
// The slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.out, b.fleet.summed, b.pace.from = now, b.out[:0], false, cmp.Or(b.pace.from, now)
	switch ev := ev.(type) {
	case EndpointList:
		b.listArrived(ev)
	case SettingsChanged:
		b.retune(ev.Settings)
	case Request:
		b.arrived(ev)
	case Resumed:
		b.resumed(ev)
	case Established:
		b.stands(ev)
	case Outcome:
		b.ended(ev)
	case AnswerRequired:
		if q := b.requests[ev.Request]; q != nil && !q.up {
			b.end(q, ReasonShutdown)
		}
	case ClientLeft:
		b.forget(b.requests[ev.Request])
	case ConnectionLoad:
		if q := b.requests[ev.Request]; q != nil && q.up {
			b.fleet.weigh(q, ev.Load)
		}
	case EndpointDelay:
		if s := b.fleet.find(ev.Endpoint); s != nil {
			b.delayed(s, ev.Delay)
		}
	case Timer:
		b.timerFired(ev.Token)
	}
	b.release()
	return b.out
}

func (b *Balancer) timerFired(token uint32) {
	q, ok := b.timers[token]
	s := b.leaving[token]
	delete(b.timers, token)
	delete(b.leaving, token)
	switch {
	case s != nil:
		s.sending = false
		b.sendAway(s)
	case !ok:
	case q == nil && (b.list.out || b.list.fails > 0):
		b.watch()
	case q == nil || q.over || q.up:
	case b.now >= q.giveUp:
		b.end(q, ReasonDeadlineExceeded)
	case q.waiting && b.now < q.listUntil:
		b.wake(q, q.listUntil-b.now)
	case q.waiting && b.now >= q.notBefore:
		b.advance(q)
	}
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// wake asks for a timer of a request, or of the list where q is nil.
func (b *Balancer) wake(q *request, after time.Duration) {
	b.token++
	b.timers[b.token] = q
	b.do(SetTimer{Token: b.token, After: after})
}
