package core

import (
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balance"
)

// Delays are told once a second while they matter, and once more when they don't.
func TestMissingEchoesAreToldAsDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPulses(settings(), NewClock())
		silent := 0
		pulse := p.add(&Pulse{server: 1, silent: func() { silent++ }})
		look := func(after time.Duration) []balance.Delay {
			time.Sleep(after) // of the fake clock
			return p.look(p.clock.Now())
		}
		pulse.Asked()
		time.Sleep(5 * ms)
		pulse.Answered()
		if tell := look(time.Second); len(tell) != 0 {
			t.Errorf("a quick echo was told as %v", tell)
		}
		pulse.Asked()
		if tell := look(time.Second); len(tell) != 1 || tell[0].Delay != time.Second {
			t.Errorf("an echo missing for a second was told as %v", tell)
		}
		pulse.Asked() // the first is still unanswered
		if tell := look(500 * ms); len(tell) != 0 {
			t.Errorf("told again within the second: %v", tell)
		}
		pulse.Answered()
		if tell := look(500 * ms); len(tell) != 1 || tell[0].Delay != 1500*ms {
			t.Errorf("a late echo was told as %v", tell)
		}
		if tell := look(time.Second); len(tell) != 1 || tell[0].Delay != 0 {
			t.Errorf("being back was told as %v", tell)
		}
		if tell := look(time.Second); len(tell) != 0 {
			t.Errorf("being back was told again: %v", tell)
		}
		pulse.Asked()
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
