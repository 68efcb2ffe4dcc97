package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
)

// Delays are reported once a second while above the threshold, and once more when they have fallen below.
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
			t.Errorf("an echo after 5 ms was reported as %v, want no report", reports)
		}
		heartbeat.ClientSent()
		if reports := checkAfter(time.Second); len(reports) != 1 || reports[0].Delay != time.Second {
			t.Errorf("an echo missing for 1 s was reported as %v, want a delay of 1 s", reports)
		}
		heartbeat.ClientSent() // the message before it is still unanswered
		if reports := checkAfter(500 * ms); len(reports) != 0 {
			t.Errorf("the delay was reported twice within a second: %v", reports)
		}
		heartbeat.EndpointSent()
		if reports := checkAfter(500 * ms); len(reports) != 1 || reports[0].Delay != 1500*ms {
			t.Errorf("an echo after 1.5 s was reported as %v, want a delay of 1.5 s", reports)
		}
		if reports := checkAfter(time.Second); len(reports) != 1 || reports[0].Delay != 0 {
			t.Errorf("the recovery was reported as %v, want a delay of 0", reports)
		}
		if reports := checkAfter(time.Second); len(reports) != 0 {
			t.Errorf("the recovery was reported again: %v", reports)
		}
		heartbeat.ClientSent()
		if checkAfter(heartbeatTimeout - ms); timedOut != 0 {
			t.Error("the heartbeat timed out before heartbeatTimeout")
		}
		if checkAfter(ms); timedOut == 0 {
			t.Error("the heartbeat did not time out after heartbeatTimeout")
		}
		monitor.remove(heartbeat)
		if reports := checkAfter(time.Second); len(reports) != 0 {
			t.Errorf("a removed heartbeat was reported as %v, want no report", reports)
		}
	})
}

// Guards against a missing echo that lowers the delay which a hung endpoint has reported itself: the balancer would
// take the delay to be falling, and not migrate its clients.
func TestMissingEchoDoesNotOverrideEndpointReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := newHeartbeatMonitor(new(settings()), NewClock())
		heartbeat := monitor.add(&Heartbeat{endpoint: 1, onTimeout: func() {}})
		monitor.recordSelfReport(1, 10*time.Second)
		heartbeat.ClientSent()
		time.Sleep(time.Second)
		if reports := monitor.check(monitor.clock.Now()); len(reports) != 1 || reports[0].Delay != 10*time.Second {
			t.Errorf("the delay was reported as %v, want the endpoint's own 10 s", reports)
		}
		time.Sleep(2 * time.Second) // the endpoint's own report has expired
		if reports := monitor.check(monitor.clock.Now()); len(reports) != 1 || reports[0].Delay != 3*time.Second {
			t.Errorf("after the endpoint's report expired, the delay was reported as %v, want 3 s", reports)
		}
	})
}
