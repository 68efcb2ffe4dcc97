package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// DeliverySemantics says whether a request may be sent more than once.
type DeliverySemantics uint8

// The delivery semantics of a class.
const (
	Idempotent   DeliverySemantics = iota // safe to repeat on any endpoint
	Deduplicated                          // endpoints within a scope drop repeats for a limited time
	AtMostOnce                            // unsafe to repeat
)

// DeduplicationScope is the set of endpoints that drop each other's repeats of a request.
type DeduplicationScope uint8

// The scopes of deduplication.
const (
	ScopeAll  DeduplicationScope = iota // all endpoints
	ScopeZone                           // the endpoints of one zone
	ScopeCell                           // the endpoints of one cell
)

// Class describes a class of requests.
type Class struct {
	Name                    string        // by which clients refer to it; "" if they use its index
	LatencyObjective        time.Duration // of a setup; a slower one does not raise the concurrency limit
	Deadline                time.Duration // how long a client waits, over all attempts
	Semantics               DeliverySemantics
	DeduplicationScope      DeduplicationScope // if Deduplicated
	DeduplicationWindow     time.Duration      // if Deduplicated: how long endpoints drop repeats
	MessageLatencyObjective time.Duration      // of a message on a connection; 0 if unknown
}

// Settings describe a relay's deployment. A Settings value is immutable: changed settings are a new value,
// and each request keeps the settings that were current when it arrived.
type Settings struct {
	Classes    []Class  // at least one
	Tenants    []string // that requests may name; empty: requests have no tenant
	RelayCount int      // relays that share the endpoints, this one included
	Zone       int      // of this relay

	PollList     bool          // the endpoint list comes only when polled
	PollInterval time.Duration // with PollList: maximum time between polls until one is answered

	MaxAttempts     int           // per request; more serve more requests during failures, but add load
	ClockResolution time.Duration // shortest time between two events at different times
	ConnectTimeout  time.Duration // a connection that is not open by then has failed

	MaxRetryAfter time.Duration // longest retry-after that clients accept; 0 if rejections carry none

	// An endpoint starts with the share InitialCapacity, within (0, 1], of its capacity and reaches full
	// capacity after SlowStartDuration. It fails if it gets more than OverloadMultiple times its capacity
	// during OverloadWindow. A longer window or a lower multiple slows down the slow start.
	InitialCapacity   float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	CrossZoneCost float64 // of each connection that crosses zones; 0: zones are ignored

	// What endpoints report of established connections: the load, and the delay of a message. A protocol
	// that reports both in the same form needs this to tell them apart.
	ReportsLoad, ReportsDelay bool
}

// Validate returns an error for the first setting that is missing, out of range or inconsistent.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("settings: no request class is defined")
	case s.RelayCount < 1:
		return fmt.Errorf("settings: number of relays is %d, must be at least 1", s.RelayCount)
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: maximum number of attempts is %d, must be at least 1", s.MaxAttempts)
	case s.InitialCapacity <= 0 || s.InitialCapacity > 1:
		return fmt.Errorf("settings: initial capacity %v is not within (0, 1]", s.InitialCapacity)
	case s.OverloadMultiple <= 0 || s.OverloadWindow <= 0 || s.SlowStartDuration < 0:
		return fmt.Errorf("settings: overload multiple %v and window %v must be positive, "+
			"slow-start duration %v not negative", s.OverloadMultiple, s.OverloadWindow, s.SlowStartDuration)
	case s.ClockResolution < 0 || s.ConnectTimeout < 0 || s.MaxRetryAfter < 0:
		return fmt.Errorf("settings: clock resolution %v, connect timeout %v or maximum retry-after %v "+
			"is negative", s.ClockResolution, s.ConnectTimeout, s.MaxRetryAfter)
	case s.PollList && s.PollInterval <= 0:
		return fmt.Errorf("settings: the endpoint list is polled, but the poll interval %v is not positive",
			s.PollInterval)
	}
	for i, class := range s.Classes {
		if class.Deadline <= 0 {
			return fmt.Errorf("settings: deadline %v of class %d (%q) is not positive",
				class.Deadline, i, class.Name)
		}
		if class.Semantics == Deduplicated && class.DeduplicationWindow <= 0 {
			return fmt.Errorf("settings: deduplication window %v of class %d (%q) is not positive",
				class.DeduplicationWindow, i, class.Name)
		}
	}
	return nil
}

// ClassIndex returns the index of the class with a name, or -1 if there is none.
func (s *Settings) ClassIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(class Class) bool { return class.Name == name })
}

// AcceptsTenant reports whether a request may name a tenant. Any is accepted if Tenants is empty.
func (s *Settings) AcceptsTenant(tenant string) bool {
	return len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant)
}

// classAt returns the class with an index. For an unknown index it returns a class that is unsafe to repeat.
func (s *Settings) classAt(i int) *Class {
	if i < 0 || i >= len(s.Classes) {
		return &Class{Semantics: AtMostOnce}
	}
	return &s.Classes[i]
}

// shortestMessageObjective returns the shortest message latency objective of all classes; 0 if none is set.
func (s *Settings) shortestMessageObjective() time.Duration {
	var shortest time.Duration
	for _, class := range s.Classes {
		if class.MessageLatencyObjective > 0 && (shortest == 0 || class.MessageLatencyObjective < shortest) {
			shortest = class.MessageLatencyObjective
		}
	}
	return shortest
}

// handleSettings applies changed settings.
func (b *Balancer) handleSettings(settings *Settings) {
	b.settings, b.messageObjective = settings, settings.shortestMessageObjective()
}
