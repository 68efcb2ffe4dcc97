package healthcheck

import (
	"fmt"
	"math"
	"time"
)

// Settings control probes, and when an endpoint is considered up or down.
type Settings struct {
	Interval       time.Duration // between two probes of an endpoint; shorter finds failures sooner, but costs the endpoint more
	Timeout        time.Duration // of one probe; at most Interval
	Rise           int           // consecutive successful probes after which a down endpoint is up
	Fall           int           // consecutive failed probes or attempts after which an up endpoint is down
	MaxLoadShare   float64       // limit of the share of an endpoint's time that probes take; within (0, 0.1]
	PanicThreshold float64       // share of down endpoints above which all are listed as up, see Tracker.PanicMode
}

// MaxProbeCost is the upper bound on the time that one probe takes of an endpoint.
const MaxProbeCost = 950 * time.Microsecond

// maxLoadShareLimit is the upper bound of Settings.MaxLoadShare.
const maxLoadShareLimit = 0.1

// DefaultSettings returns the settings that apply where a site file sets none.
func DefaultSettings() Settings {
	return Settings{Interval: 2 * time.Second, Timeout: time.Second, Rise: 2, Fall: 3, MaxLoadShare: 0.005, PanicThreshold: 0.5}
}

// Validate returns an error for the first setting that is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.Interval <= 0 || s.Timeout <= 0:
		return fmt.Errorf("probe interval %v and timeout %v must both be over 0", s.Interval, s.Timeout)
	case s.Timeout > s.Interval:
		return fmt.Errorf("probe timeout %v is longer than the probe interval %v", s.Timeout, s.Interval)
	case s.Rise < 1 || s.Fall < 1:
		return fmt.Errorf("rise %d and fall %d must both be over 0", s.Rise, s.Fall)
	case !(s.MaxLoadShare > 0 && s.MaxLoadShare <= maxLoadShareLimit):
		return fmt.Errorf("share %v of a server's time for probes is not within (0, 0.1]", s.MaxLoadShare)
	case !(s.PanicThreshold > 0 && s.PanicThreshold <= 1):
		return fmt.Errorf("panic threshold %v is not within (0, 1]", s.PanicThreshold)
	case float64(MaxProbeCost)/float64(s.Interval) > s.MaxLoadShare:
		shortest := time.Duration(math.Ceil(float64(MaxProbeCost) / s.MaxLoadShare))
		return fmt.Errorf("probe interval %v is too short for the share %v of a server's time: it must be at least %v", s.Interval, s.MaxLoadShare, shortest)
	}
	return nil
}
