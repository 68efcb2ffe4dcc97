package proxy

import (
	"context"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/metrics"
)

const (
	heartbeatCheckInterval = 100 * time.Millisecond // between two checks of all heartbeats
	delayReportInterval    = time.Second            // between two reports of an endpoint's delay

	// A connection without an echo for this long is dead. Clients allow 7 s since
	// something came back; up to 2 s of them pass before a client sends again.
	heartbeatTimeout = 4500 * time.Millisecond

	// selfReportValidity is how long an endpoint's own report of its delay holds, with a
	// little to spare: it comes once a second.
	selfReportValidity = 1500 * time.Millisecond
)

// Heartbeat monitors the liveness of one connection: what its client sends should be
// echoed at once. It guards against endpoints that go silent while their connections stay
// open. The frontend calls its methods, from any goroutine.
type Heartbeat struct {
	clock          Clock
	endpoint       balancer.EndpointID
	clientNotified chan struct{}
	class          *metrics.ClassCounters
	onTimeout      func()
	onLoad         func(float64)
	onDelay        func(time.Duration)

	mu              sync.Mutex    // guards what follows
	unansweredSince time.Duration // since when the client awaits an echo; 0 if it doesn't
	longestResponse time.Duration // since the last sample
	reportedLoad    float64       // by the endpoint last, in seconds of work a second
}

// Established notes that the client was notified that it is established. It is called once.
func (h *Heartbeat) Established() {
	close(h.clientNotified)
	h.class.CountEstablished()
}

// ClientSent notes that the client has sent something.
func (h *Heartbeat) ClientSent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unansweredSince == 0 {
		h.unansweredSince = h.clock.Now()
	}
}

// EndpointSent notes that the endpoint has sent something back.
func (h *Heartbeat) EndpointSent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unansweredSince != 0 {
		h.longestResponse = max(h.longestResponse, h.clock.Now()-h.unansweredSince)
		h.unansweredSince = 0
	}
}

// ReportTimeout notes that the endpoint has not even sent a heartbeat of its own, and ends
// the connection.
func (h *Heartbeat) ReportTimeout() { h.onTimeout() }

// ReportLoad notes the load, in seconds of work a second, that the endpoint reports of
// the connection.
func (h *Heartbeat) ReportLoad(load float64) {
	h.mu.Lock()
	h.reportedLoad = load
	h.mu.Unlock()
	h.onLoad(load)
}

// ReportDelay notes how long a message takes at the endpoint by its own report.
func (h *Heartbeat) ReportDelay(delay time.Duration) { h.onDelay(delay) }

// sample returns the longest response since the last sample, or the wait for the one that
// is still to come, and whether the heartbeat timeout has passed.
func (h *Heartbeat) sample(now time.Duration) (delay time.Duration, timedOut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delay, h.longestResponse = h.longestResponse, 0
	if h.unansweredSince != 0 {
		wait := now - h.unansweredSince
		delay = max(delay, wait)
		timedOut = wait >= heartbeatTimeout
	}
	return delay, timedOut
}

// heartbeatMonitor holds the heartbeats of all established connections, and reports to
// the balancer how long messages take at an endpoint while that matters.
type heartbeatMonitor struct {
	clock Clock

	mu         sync.Mutex    // guards what follows; locked before a Heartbeat's
	threshold  time.Duration // delays under it are not reported; 0 if none are
	heartbeats map[*Heartbeat]struct{}
	delays     map[balancer.EndpointID]endpointDelay
}

// endpointDelay is how long messages take at an endpoint.
type endpointDelay struct {
	comparedAt     time.Duration // when it was last held against the threshold
	worst          time.Duration // since then
	aboveThreshold bool          // at checkedAt

	selfReported   time.Duration // by the endpoint itself last, at selfReportedAt
	selfReportedAt time.Duration
}

func newHeartbeatMonitor(s *balancer.Settings, clock Clock) *heartbeatMonitor {
	m := &heartbeatMonitor{
		clock:      clock,
		heartbeats: make(map[*Heartbeat]struct{}),
		delays:     make(map[balancer.EndpointID]endpointDelay),
	}
	m.updateSettings(s)
	return m
}

// updateSettings puts other settings in force: a third of the strictest objective for the
// latency of messages is the threshold.
func (m *heartbeatMonitor) updateSettings(s *balancer.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.threshold = 0
	for _, class := range s.Classes {
		if third := class.MessageLatencyObjective / 3; third > 0 && (m.threshold == 0 || third < m.threshold) {
			m.threshold = third
		}
	}
}

// add adds a connection's heartbeat, and returns it.
func (m *heartbeatMonitor) add(heartbeat *Heartbeat) *Heartbeat {
	heartbeat.clock = m.clock
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeats[heartbeat] = struct{}{}
	return heartbeat
}

// remove removes the heartbeat of a connection that has ended.
func (m *heartbeatMonitor) remove(heartbeat *Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heartbeats, heartbeat)
}

// recordSelfReport notes the delay that an endpoint reports itself.
func (m *heartbeatMonitor) recordSelfReport(endpoint balancer.EndpointID, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	noted := m.delays[endpoint]
	noted.selfReported, noted.selfReportedAt = delay, m.clock.Now()
	m.delays[endpoint] = noted
}

// check samples all heartbeats, ends the connections that have timed out, and returns
// the delays to report: once a second for an endpoint while it is above the threshold,
// and once more when it is back under it.
func (m *heartbeatMonitor) check(now time.Duration) []balancer.DelayReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []balancer.DelayReport
	for endpoint, worst := range m.sampleAll(now) {
		delay := m.delays[endpoint]
		delay.worst = max(delay.worst, worst)
		if now-delay.comparedAt >= delayReportInterval && m.threshold > 0 {
			if delay.prepareReport(m.threshold, now) {
				reports = append(reports, balancer.DelayReport{Endpoint: endpoint, Delay: delay.worst})
			}
			delay.comparedAt, delay.worst = now, 0
		}
		m.delays[endpoint] = delay
	}
	return reports
}

// sampleAll ends the connections whose heartbeat has timed out, and returns the worst
// delay of each endpoint. It is called with mu held.
func (m *heartbeatMonitor) sampleAll(now time.Duration) map[balancer.EndpointID]time.Duration {
	worst := make(map[balancer.EndpointID]time.Duration)
	for heartbeat := range m.heartbeats {
		delay, timedOut := heartbeat.sample(now)
		worst[heartbeat.endpoint] = max(worst[heartbeat.endpoint], delay)
		if timedOut {
			heartbeat.onTimeout()
		}
	}
	return worst
}

// prepareReport reports whether the delay is to be reported, and makes worst what is reported.
func (d *endpointDelay) prepareReport(threshold, now time.Duration) bool {
	above := d.worst > threshold
	if !above && !d.aboveThreshold {
		return false
	}
	// A missing echo shows only that a message takes that long at the least. Reported
	// beside the endpoint's own report, a younger and so smaller wait would read as a
	// delay that falls fast, and a hung endpoint would keep its connections.
	if now < d.selfReportedAt+selfReportValidity {
		d.worst = max(d.worst, d.selfReported)
	}
	d.aboveThreshold = above
	return true
}

// MonitorHeartbeats checks all heartbeats in the calling goroutine until ctx ends. It
// returns nil.
func (p *Proxy) MonitorHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, report := range p.heartbeats.check(p.Clock.Now()) {
				p.loop.Report(report)
			}
		}
	}
}
