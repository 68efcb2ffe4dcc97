package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// DeliverySemantics is what sending a request of a class more than once does.
type DeliverySemantics uint8

// The effects of sending a request more than once.
const (
	Idempotent   DeliverySemantics = iota // safe to repeat at any endpoint
	Deduplicated                          // repeats are dropped within a scope, for a while
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

// Class describes one kind of request.
type Class struct {
	Name                    string        // as clients call it; "" where they use its index
	LatencyObjective        time.Duration // of a set-up; slower ones don't raise the concurrency limit
	Deadline                time.Duration // how long a client waits, over all attempts
	Semantics               DeliverySemantics
	DeduplicationScope      DeduplicationScope // if Deduplicated
	DeduplicationWindow     time.Duration      // if Deduplicated: how long endpoints drop repeats
	MessageLatencyObjective time.Duration      // of a message on an established connection; 0 if unknown
}

// Settings are what a relay knows of its deployment. Nobody changes a Settings value: other settings are
// another value, and a request keeps to its end those that it arrived under.
type Settings struct {
	Classes []Class  // at least one
	Tenants []string // whose requests are told apart; none: requests have no tenant
	Relays  int      // that share the endpoints, this one included; each sends that share of slow starts
	Zone    int      // of this relay

	PollList     bool          // the endpoint list comes only when asked for
	PollInterval time.Duration // with PollList: how often to ask at least, without a subscription

	MaxAttempts    int           // of a request; more serve more requests in trouble, and add to its load
	MinTick        time.Duration // shortest time between two events at different times
	ConnectTimeout time.Duration // a connection that is not made by then has failed

	MaxRetryAfter time.Duration // longest retry-after that clients heed; 0 if rejections carry none

	// An endpoint that has started has InitialCapacity of its capacity at once, above 0 and up to 1, and
	// all of it after SlowStartDuration. Sent more than OverloadMultiple of its capacity for
	// OverloadWindow, it falls over. A longer window or a lower multiple make slow starts slower.
	InitialCapacity   float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	CrossZoneCost float64 // of each connection that crosses zones; 0: zones don't matter

	// What endpoints report of established connections: their loads, and how long a message takes.
	// A protocol that has one word for both needs to know.
	ReportsLoad, ReportsDelay bool
}

// Validate reports what is missing from the settings or contradicts itself.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("settings: no classes")
	case s.Relays < 1:
		return errors.New("settings: fewer than one relay")
	case s.MaxAttempts < 1:
		return errors.New("settings: no attempt is allowed")
	case s.InitialCapacity <= 0 || s.InitialCapacity > 1:
		return fmt.Errorf("settings: cold share %v is not within (0, 1]", s.InitialCapacity)
	case s.OverloadMultiple <= 0 || s.OverloadWindow <= 0 || s.SlowStartDuration < 0:
		return errors.New("settings: the figures for cold servers are not positive")
	case s.MinTick < 0 || s.ConnectTimeout < 0 || s.MaxRetryAfter < 0:
		return errors.New("settings: a time is negative")
	case s.PollList && s.PollInterval <= 0:
		return errors.New("settings: lists are asked for, but no time is set within which to ask")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: class %d has no deadline", i)
		}
		if c.Semantics == Deduplicated && c.DeduplicationWindow <= 0 {
			return fmt.Errorf("settings: class %d is deduplicated, but for no time", i)
		}
	}
	return nil
}

// ClassIndex returns the index of a class by its name; -1 if there is none.
func (s *Settings) ClassIndex(class string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == class })
}

// AcceptsTenant reports whether a request may be of a tenant: one of Tenants, where there are any.
func (s *Settings) AcceptsTenant(tenant string) bool {
	return len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant)
}

// classAt returns a class by its index. A class that the settings don't have is taken as unsafe to repeat.
func (s *Settings) classAt(i int) *Class {
	if i < 0 || i >= len(s.Classes) {
		return &Class{Semantics: AtMostOnce}
	}
	return &s.Classes[i]
}

// shortestMessageObjective is the shortest latency objective of a message in any class; 0 if none has one.
func (s *Settings) shortestMessageObjective() time.Duration {
	var objective time.Duration
	for _, c := range s.Classes {
		if c.MessageLatencyObjective > 0 && (objective == 0 || c.MessageLatencyObjective < objective) {
			objective = c.MessageLatencyObjective
		}
	}
	return objective
}

// handleSettings puts other settings in force.
func (b *Balancer) handleSettings(settings *Settings) {
	b.settings, b.messageObjective = settings, settings.shortestMessageObjective()
}
