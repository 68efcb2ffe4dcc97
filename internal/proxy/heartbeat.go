package proxy

import (
	"context"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/metrics"
)

const (
	heartbeatCheckInterval = 100 * time.Millisecond // between checks of all heartbeats
	delayReportInterval    = time.Second            // between reports of one endpoint's delay

	// heartbeatTimeout is how long a client's message may stay unanswered before its
	// connection is closed. Clients disconnect 7 s after the last data that they received, and
	// may send nothing in the first 2 s of that time.
	heartbeatTimeout = 4500 * time.Millisecond

	// selfReportValidity is how long an endpoint's report of its own delay is used.
	// Endpoints report once a second.
	selfReportValidity = 1500 * time.Millisecond
)

// Heartbeat monitors the liveness of one connection. Endpoints echo what clients send; an
// endpoint that stops doing so while its connections stay open is detected by the missing
// echo. The frontend calls the exported methods, which are safe for concurrent use.
type Heartbeat struct {
	clock          Clock
	endpoint       balancer.EndpointID
	clientNotified chan struct{}
	class          *metrics.ClassCounters
	onTimeout      func()
	onLoad         func(float64)
	onDelay        func(time.Duration)

	mu              sync.Mutex    // guards the fields below
	unansweredSince time.Duration // time of the client's oldest unanswered message; 0: none
	longestResponse time.Duration // longest response time since the last sample
	reportedLoad    float64       // last reported by the endpoint, in seconds of work per second
}

// Established records that the client knows that its request is established. It is called
// exactly once.
func (h *Heartbeat) Established() {
	close(h.clientNotified)
	h.class.CountEstablished()
}

// ClientSent records that the client has sent data.
func (h *Heartbeat) ClientSent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unansweredSince == 0 {
		h.unansweredSince = h.clock.Now()
	}
}

// EndpointSent records that the endpoint has sent data.
func (h *Heartbeat) EndpointSent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unansweredSince != 0 {
		h.longestResponse = max(h.longestResponse, h.clock.Now()-h.unansweredSince)
		h.unansweredSince = 0
	}
}

// ReportTimeout ends the connection, because the frontend has missed the heartbeats that
// its protocol requires of the endpoint.
func (h *Heartbeat) ReportTimeout() { h.onTimeout() }

// ReportLoad records the load that the endpoint reports for the connection, in seconds of
// work per second.
func (h *Heartbeat) ReportLoad(load float64) {
	h.mu.Lock()
	h.reportedLoad = load
	h.mu.Unlock()
	h.onLoad(load)
}

// ReportDelay records the processing time of a message that the endpoint reports.
func (h *Heartbeat) ReportDelay(delay time.Duration) { h.onDelay(delay) }

// sample returns the longest response time since the last sample, including the age of an
// unanswered message, and whether that message has exceeded heartbeatTimeout.
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

// heartbeatMonitor checks the heartbeats of all established connections, and determines
// the message delays of endpoints that are reported to the balancer.
type heartbeatMonitor struct {
	clock Clock

	mu         sync.Mutex    // guards the fields below; locked before Heartbeat.mu
	threshold  time.Duration // only delays above it are reported; 0: none are
	heartbeats map[*Heartbeat]struct{}
	delays     map[balancer.EndpointID]endpointDelay
}

// endpointDelay is the message delay of an endpoint.
type endpointDelay struct {
	comparedAt     time.Duration // time of the last comparison with the threshold
	worst          time.Duration // maximum since comparedAt
	aboveThreshold bool          // result of that comparison

	selfReported   time.Duration // last reported by the endpoint itself, at selfReportedAt
	selfReportedAt time.Duration
}

func newHeartbeatMonitor(settings *balancer.Settings, clock Clock) *heartbeatMonitor {
	monitor := &heartbeatMonitor{
		clock:      clock,
		heartbeats: make(map[*Heartbeat]struct{}),
		delays:     make(map[balancer.EndpointID]endpointDelay),
	}
	monitor.updateSettings(settings)
	return monitor
}

// updateSettings sets the threshold to a third of the strictest message latency objective
// of all classes.
func (m *heartbeatMonitor) updateSettings(settings *balancer.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.threshold = 0
	for _, class := range settings.Classes {
		if third := class.MessageLatencyObjective / 3; third > 0 && (m.threshold == 0 || third < m.threshold) {
			m.threshold = third
		}
	}
}

// add starts monitoring a connection's heartbeat, and returns it.
func (m *heartbeatMonitor) add(heartbeat *Heartbeat) *Heartbeat {
	heartbeat.clock = m.clock
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeats[heartbeat] = struct{}{}
	return heartbeat
}

// remove stops monitoring the heartbeat of a connection that has ended.
func (m *heartbeatMonitor) remove(heartbeat *Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heartbeats, heartbeat)
}

// recordSelfReport records the delay that an endpoint reports itself.
func (m *heartbeatMonitor) recordSelfReport(endpoint balancer.EndpointID, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recorded := m.delays[endpoint]
	recorded.selfReported, recorded.selfReportedAt = delay, m.clock.Now()
	m.delays[endpoint] = recorded
}

// check samples all heartbeats, ends the connections that have timed out, and returns
// the delays to report. An endpoint's delay is reported once a second while it is above
// the threshold, and once more after it has fallen below.
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

// sampleAll ends the connections whose heartbeat has timed out, and returns the longest
// delay of each endpoint. The caller holds mu.
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

// prepareReport reports whether the delay is due to be reported, and sets worst to the
// value to report.
func (d *endpointDelay) prepareReport(threshold, now time.Duration) bool {
	above := d.worst > threshold
	if !above && !d.aboveThreshold {
		return false
	}
	// The age of an unanswered message is only a lower bound of the delay. If it replaced
	// a longer delay that the endpoint has just reported itself, the balancer would take
	// the delay to be falling, and would not migrate clients away from a hung endpoint.
	if now < d.selfReportedAt+selfReportValidity {
		d.worst = max(d.worst, d.selfReported)
	}
	d.aboveThreshold = above
	return true
}

// MonitorHeartbeats checks all heartbeats periodically, and reports message delays to the
// balancer. It runs in the calling goroutine until ctx ends, and returns nil.
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
