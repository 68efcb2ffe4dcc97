package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
)

// Delays are told once a second while they matter, and once more when they don't.
func TestMissingEchoesAreToldAsDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPulses(new(settings()), NewClock())
		silent := 0
		pulse := p.add(&Heartbeat{server: 1, silent: func() { silent++ }})
		look := func(after time.Duration) []balancer.DelayReport {
			time.Sleep(after) // of the fake clock
			return p.look(p.clock.Now())
		}
		pulse.ClientSent()
		time.Sleep(5 * ms)
		pulse.EndpointSent()
		if tell := look(time.Second); len(tell) != 0 {
			t.Errorf("a quick echo was told as %v", tell)
		}
		pulse.ClientSent()
		if tell := look(time.Second); len(tell) != 1 || tell[0].Delay != time.Second {
			t.Errorf("an echo missing for a second was told as %v", tell)
		}
		pulse.ClientSent() // the first is still unanswered
		if tell := look(500 * ms); len(tell) != 0 {
			t.Errorf("told again within the second: %v", tell)
		}
		pulse.EndpointSent()
		if tell := look(500 * ms); len(tell) != 1 || tell[0].Delay != 1500*ms {
			t.Errorf("a late echo was told as %v", tell)
		}
		if tell := look(time.Second); len(tell) != 1 || tell[0].Delay != 0 {
			t.Errorf("being back was told as %v", tell)
		}
		if tell := look(time.Second); len(tell) != 0 {
			t.Errorf("being back was told again: %v", tell)
		}
		pulse.ClientSent()
		if look(silentAfter - ms); silent != 0 {
			t.Error("silent before its time")
		}
		if look(ms); silent == 0 {
			t.Error("not silent after its time")
		}
		p.remove(pulse)
		if tell := look(time.Second); len(tell) != 0 {
			t.Errorf("a connection that has ended was told as %v", tell)
		}
	})
}

func TestStartsAreTurnedIntoTheClocksTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClock()
		time.Sleep(time.Minute)
		born := time.Now().Add(-10 * time.Second).UnixMilli()
		if got := c.AtUnixMilli(born); got < c.Now()-10*time.Second-ms || got > c.Now()-10*time.Second+ms {
			t.Errorf("a start 10 s ago is at %v, now is %v", got, c.Now())
		}
		if got := c.AtUnixMilli(0); got != 0 {
			t.Errorf("long ago is at %v", got)
		}
		if now := c.Now(); now%time.Microsecond != 0 {
			t.Errorf("the clock shows %v", now)
		}
	})
}

// Seen: a hung server says 10.7 s, and 0.7 s later an echo is missing for 1.7 s.
// Told as it was, the module took the delay to fall by 9 s and moved nobody.
func TestMissingEchoDoesNotOutdateTheServersWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPulses(new(settings()), NewClock())
		pulse := p.add(&Heartbeat{server: 1, silent: func() {}})
		p.heard(1, 10*time.Second)
		pulse.ClientSent()
		time.Sleep(time.Second)
		if tell := p.look(p.clock.Now()); len(tell) != 1 || tell[0].Delay != 10*time.Second {
			t.Errorf("told as %v", tell)
		}
		time.Sleep(2 * time.Second) // the word has grown old
		if tell := p.look(p.clock.Now()); len(tell) != 1 || tell[0].Delay != 3*time.Second {
			t.Errorf("later told as %v", tell)
		}
	})
}
