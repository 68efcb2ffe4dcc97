package healthcheck

import (
	"fmt"
	"math"
	"time"
)

// Settings say when an endpoint is up.
type Settings struct {
	Interval       time.Duration // between two probes of an endpoint; shorter finds failures sooner and costs the endpoint more
	Timeout        time.Duration // of a probe; at most Interval
	Rise           int           // probes in a row that have to succeed until an endpoint that was down is up
	Fall           int           // probes or attempts in a row that have to fail until an endpoint that was up is down
	MaxLoadShare   float64       // the most of an endpoint's time that probes may take, at MaxProbeCost each; over 0, up to 0.1
	PanicThreshold float64       // share of endpoints that may be down; beyond it all are listed as up, see Tracker.PanicMode
}

// MaxProbeCost is the upper bound on the time that one probe takes of an endpoint.
const MaxProbeCost = 950 * time.Microsecond

// maxLoadShareLimit bounds Settings.MaxLoadShare.
const maxLoadShareLimit = 0.1

// DefaultSettings returns settings that suit a small site.
func DefaultSettings() Settings {
	return Settings{Interval: 2 * time.Second, Timeout: time.Second, Rise: 2, Fall: 3, MaxLoadShare: 0.005, PanicThreshold: 0.5}
}

// Validate returns an error that says which setting is out of its range.
func (s *Settings) Validate() error {
	switch {
	case s.Interval <= 0 || s.Timeout <= 0:
		return fmt.Errorf("probes every %v that wait %v: both have to be over 0", s.Interval, s.Timeout)
	case s.Timeout > s.Interval:
		return fmt.Errorf("a probe waits %v, longer than the %v until the next", s.Timeout, s.Interval)
	case s.Rise < 1 || s.Fall < 1:
		return fmt.Errorf("rise %d and fall %d have to be over 0", s.Rise, s.Fall)
	case !(s.MaxLoadShare > 0 && s.MaxLoadShare <= maxLoadShareLimit):
		return fmt.Errorf("a share of %v is not within 0 and 0.1", s.MaxLoadShare)
	case !(s.PanicThreshold > 0 && s.PanicThreshold <= 1):
		return fmt.Errorf("panic %v is not within 0 and 1", s.PanicThreshold)
	case float64(MaxProbeCost)/float64(s.Interval) > s.MaxLoadShare:
		shortest := time.Duration(math.Ceil(float64(MaxProbeCost) / s.MaxLoadShare))
		return fmt.Errorf("a probe every %v takes more of a server's time than its share of %v: %v at the least", s.Interval, s.MaxLoadShare, shortest)
	}
	return nil
}
