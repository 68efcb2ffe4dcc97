package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
)

// Delays are reported once a second while they matter, and once more when they don't.
func TestMissingEchoesAreReportedAsDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := newHeartbeatMonitor(new(settings()), NewClock())
		timedOut := 0
		heartbeat := monitor.add(&Heartbeat{endpoint: 1, onTimeout: func() { timedOut++ }})
		checkAfter := func(after time.Duration) []balancer.DelayReport {
			time.Sleep(after) // of the fake clock
			return monitor.check(monitor.clock.Now())
		}
		heartbeat.ClientSent()
		time.Sleep(5 * ms)
		heartbeat.EndpointSent()
		if reports := checkAfter(time.Second); len(reports) != 0 {
			t.Errorf("a quick echo was reported as %v", reports)
		}
		heartbeat.ClientSent()
		if reports := checkAfter(time.Second); len(reports) != 1 || reports[0].Delay != time.Second {
			t.Errorf("an echo missing for a second was reported as %v", reports)
		}
		heartbeat.ClientSent() // the first is still unanswered
		if reports := checkAfter(500 * ms); len(reports) != 0 {
			t.Errorf("reported again within the second: %v", reports)
		}
		heartbeat.EndpointSent()
		if reports := checkAfter(500 * ms); len(reports) != 1 || reports[0].Delay != 1500*ms {
			t.Errorf("a late echo was reported as %v", reports)
		}
		if reports := checkAfter(time.Second); len(reports) != 1 || reports[0].Delay != 0 {
			t.Errorf("the recovery was reported as %v", reports)
		}
		if reports := checkAfter(time.Second); len(reports) != 0 {
			t.Errorf("the recovery was reported again: %v", reports)
		}
		heartbeat.ClientSent()
		if checkAfter(heartbeatTimeout - ms); timedOut != 0 {
			t.Error("timed out too early")
		}
		if checkAfter(ms); timedOut == 0 {
			t.Error("not timed out in time")
		}
		monitor.remove(heartbeat)
		if reports := checkAfter(time.Second); len(reports) != 0 {
			t.Errorf("a connection that has ended was reported as %v", reports)
		}
	})
}

// Seen: a hung endpoint reports 10.7 s, and 0.7 s later an echo is missing for 1.7 s.
// Reported as it was, the balancer took the delay to fall by 9 s and migrated nobody.
func TestMissingEchoDoesNotOverrideEndpointReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := newHeartbeatMonitor(new(settings()), NewClock())
		heartbeat := monitor.add(&Heartbeat{endpoint: 1, onTimeout: func() {}})
		monitor.recordSelfReport(1, 10*time.Second)
		heartbeat.ClientSent()
		time.Sleep(time.Second)
		if reports := monitor.check(monitor.clock.Now()); len(reports) != 1 || reports[0].Delay != 10*time.Second {
			t.Errorf("reported as %v", reports)
		}
		time.Sleep(2 * time.Second) // the endpoint's report has expired
		if reports := monitor.check(monitor.clock.Now()); len(reports) != 1 || reports[0].Delay != 3*time.Second {
			t.Errorf("later reported as %v", reports)
		}
	})
}
