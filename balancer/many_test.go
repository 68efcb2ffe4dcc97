package balancer

import (
	"testing"
	"time"
)

// farm answers what a fleet of relays sends, and keeps the account of each request.
type farm struct {
	t      *testing.T
	relays []*relay
	seats  map[EndpointID]int // free; a server without any turns away
	hung   map[EndpointID]bool

	asked map[key]*visit
	late  map[time.Duration][]func() // outcomes to come, by time
}

type key struct {
	relay int
	id    RequestID
}

type visit struct {
	at, answered time.Duration
	out          bool
	up           bool
	tried        []EndpointID
	back         time.Duration
}

func newFarm(t *testing.T, s Settings, servers, seats int) *farm {
	f := &farm{t: t, relays: fleetOf(t, s, ready(servers)...), seats: map[EndpointID]int{}, hung: map[EndpointID]bool{}, asked: map[key]*visit{}, late: map[time.Duration][]func(){}}
	for i := range servers {
		f.seats[EndpointID(i+1)] = seats
	}
	return f
}

// take carries out what a relay does.
func (f *farm) take(i int, done []Action) {
	r := f.relays[i]
	for _, a := range done {
		switch a := a.(type) {
		case SendAttempt:
			v := f.asked[key{i, a.Request}]
			if v.out || v.up || v.answered > 0 {
				f.t.Errorf("relay %d: request %d is sent while %+v", i, a.Request, v)
			}
			v.out = true
			v.tried = append(v.tried, a.Endpoint)
			end := func(ev Event) {
				v.out = false
				f.take(i, r.do(ev))
			}
			switch {
			case f.hung[a.Endpoint]:
				at := r.now + a.Timeout
				f.late[at.Truncate(10*ms)] = append(f.late[at.Truncate(10*ms)], func() {
					end(Outcome{Request: a.Request, Endpoint: a.Endpoint, Status: StatusTimeout})
				})
			case f.seats[a.Endpoint] == 0:
				end(Outcome{Request: a.Request, Endpoint: a.Endpoint, Status: StatusFull})
			default:
				f.seats[a.Endpoint]--
				v.up, v.answered = true, r.now
				end(Established{Request: a.Request, Endpoint: a.Endpoint, SetupTime: ms})
			}
		case Reject:
			v := f.asked[key{i, a.Request}]
			if v.answered > 0 || v.out {
				f.t.Errorf("relay %d: request %d is refused while %+v", i, a.Request, v)
			}
			v.answered, v.back = r.now, a.RetryAfter
		case Fail:
			f.t.Errorf("request %d fails, which may be repeated", a.Request)
		}
	}
}

// ask has a client come to a relay.
func (f *farm) ask(i int, group uint64) {
	r := f.relays[i]
	r.next++
	f.asked[key{i, r.next}] = &visit{at: r.now}
	f.take(i, r.do(Request{ID: r.next, Group: group, TimeLeft: 2 * time.Second}))
}

// pass lets time go by for all relays.
func (f *farm) pass(d time.Duration) {
	for range d / (10 * ms) {
		for i, r := range f.relays {
			f.take(i, r.pass(10*ms))
		}
		now := f.relays[0].now
		for _, end := range f.late[now] {
			end()
		}
		delete(f.late, now)
	}
}

// answered checks that each request has one answer in time, and returns how many are up.
func (f *farm) answered() (up, tries int) {
	f.t.Helper()
	for k, v := range f.asked {
		if v.answered == 0 || v.answered > v.at+2*time.Second {
			f.t.Errorf("relay %d: request %d was answered at %v: %+v", k.relay, k.id, v.answered-v.at, v)
		}
		for i, id := range v.tried {
			for _, other := range v.tried[:i] {
				if id == other {
					f.t.Errorf("request %d came to server %d twice", k.id, id)
				}
			}
		}
		if tries += len(v.tried); v.up {
			up++
		}
	}
	return up, tries
}

// More clients come back at once, to eighty relays that know nothing of each other, than
// all servers have seats for: each is answered in time, no seat stays empty, and who finds
// none is told to stay away for a while.
func TestMoreClientsThanTheFleetCanSeat(t *testing.T) {
	s := testSettings()
	s.Relays, s.MaxAttempts, s.MaxRetryAfter = 80, 5, 2*time.Second
	f := newFarm(t, s, 6, 20)
	for i := range 300 {
		f.ask(i*37%80, uint64(1+i%40))
		if i%3 == 0 {
			f.pass(10 * ms)
		}
	}
	f.pass(3 * time.Second)
	up, tries := f.answered()
	if up != 120 {
		t.Errorf("%d of 120 seats are taken", up)
	}
	if tries > 300*s.MaxAttempts {
		t.Errorf("%d attempts", tries)
	}
	for k, v := range f.asked {
		if !v.up && (v.back < backoffBase || v.back > s.MaxRetryAfter) {
			t.Errorf("request %d is told to come again after %v", k.id, v.back)
		}
	}
}

// A server that takes requests and answers none, and that no relay has met before: each
// request is still served in time, by another, and none tries it twice.
func TestHungServerThatNoRelayHasMet(t *testing.T) {
	s := testSettings()
	s.Relays = 80
	f := newFarm(t, s, 6, 1000)
	f.hung[3] = true
	for i := range 160 {
		f.ask(i%80, uint64(1+i))
		if i%4 == 0 {
			f.pass(10 * ms)
		}
	}
	f.pass(3 * time.Second)
	up, tries := f.answered()
	if up != 160 {
		t.Errorf("%d of 160 are up", up)
	}
	if extra := tries - 160; extra < 10 || extra > 60 {
		t.Errorf("%d attempts were lost on the hung server, a sixth of 160 would be 27", extra)
	}
}
