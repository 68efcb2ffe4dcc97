package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect says what sending a request of a class more than once does.
type Effect uint8

// The effects of sending a request more than once.
const (
	Idempotent   Effect = iota // safe to repeat anywhere
	Deduplicated               // repeats are dropped within a scope, for a while
	AtMostOnce                 // unsafe to repeat
)

// Scope is the set of servers that drop each other's repeats of a request.
type Scope uint8

// The scopes of deduplication.
const (
	ScopeAll  Scope = iota // every server
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class describes one kind of request.
type Class struct {
	Name                    string        // as clients call it; "" where they use its number
	LatencyObjective        time.Duration // wanted time to set a connection up
	Deadline                time.Duration // time a client waits over all its tries
	Effect                  Effect
	Scope                   Scope         // for Deduplicated
	DeduplicationWindow     time.Duration // for Deduplicated: how long repeats are known
	MessageLatencyObjective time.Duration // wanted time of a message on an open connection; 0 if unknown
}

// Settings is what a relay is told. Nobody changes one: other settings are another
// value, and a request keeps to its end those that it began under.
type Settings struct {
	Classes []Class
	Tenants []string // whose requests are told apart; none: requests have no tenant
	Relays  int      // relays that share the servers, this one included
	Zone    int      // zone of this relay

	PollList       bool          // the server list comes only when asked for
	PollInterval   time.Duration // with Ask: how often it must be asked for without a subscription
	MaxAttempts    int           // attempts a request may have
	MinTick        time.Duration // shortest time between two events at different times
	ConnectTimeout time.Duration // a connection not made by then has failed

	MaxRetryAfter time.Duration // longest advice to clients that they follow; 0 if refusals carry none

	InitialCapacity   float64       // part of its capacity that a started server has at once
	SlowStartDuration time.Duration // time by which a started server is warm
	OverloadMultiple  float64       // a cold server sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long falls over

	CrossZoneCost float64 // price of every connection crossing zones

	// What servers tell of open connections: their loads, and how long a message takes.
	// Wires that have one word for both need to know.
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
		if c.Effect == Deduplicated && c.DeduplicationWindow <= 0 {
			return fmt.Errorf("settings: class %d is deduplicated, but for no time", i)
		}
	}
	return nil
}

// ClassIndex returns the number of a class by its name; -1 if there is none.
func (s *Settings) ClassIndex(class string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == class })
}

// AcceptsTenant tells whether a request may be of a tenant: one of those named, where any is.
func (s *Settings) AcceptsTenant(tenant string) bool {
	return len(s.Tenants) == 0 || slices.Contains(s.Tenants, tenant)
}

// class guards against a class the settings don't name: it is held unsafe.
func (s *Settings) class(i int) *Class {
	if i < 0 || i >= len(s.Classes) {
		return &Class{Effect: AtMostOnce}
	}
	return &s.Classes[i]
}

// shortestAim is the shortest wanted time of a message; 0 if none is known.
func (s *Settings) shortestAim() time.Duration {
	var aim time.Duration
	for _, c := range s.Classes {
		if c.MessageLatencyObjective > 0 && (aim == 0 || c.MessageLatencyObjective < aim) {
			aim = c.MessageLatencyObjective
		}
	}
	return aim
}

// retune puts other settings in force.
func (b *Balancer) retune(s *Settings) { b.set, b.aim = s, s.shortestAim() }
