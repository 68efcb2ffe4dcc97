// Package persistence defines the records that a relay saves across restarts, and up to which age each part of them is
// used. It does no I/O: package store does. The tags of the records' fields define their encoding and must not change.
package persistence

import (
	"time"

	"lockroad/balancer"
	"lockroad/internal/discovery"
	"lockroad/internal/store"
)

// Names of the kinds of records, as used in the store's files and on the command line.
const (
	KindDrainDirectives = "orders"
	KindSnapshots       = "learnt"
	KindDecisions       = "decisions"
)

const (
	// MaxDrainDirectives is the maximum number of saved drain directives, at most one for each endpoint. It is far above
	// the number of endpoints: the store drops the oldest directives beyond it, which would undo those drains.
	MaxDrainDirectives = 1 << 16
	// MaxDecisions is the maximum number of saved decisions.
	MaxDecisions = 2000
	// DecisionRetention is how long a decision is saved.
	DecisionRetention = 14 * 24 * time.Hour
)

// Kinds returns all kinds of records that a relay saves, as a new slice.
func Kinds() []store.Kind {
	return []store.Kind{
		{Name: KindDrainDirectives, Sync: store.SyncImmediate, MaxRecords: MaxDrainDirectives},
		{Name: KindSnapshots, Sync: store.SyncBestEffort, MaxRecords: 8},
		{Name: KindDecisions, Sync: store.SyncGrouped, MaxRecords: MaxDecisions, Retention: DecisionRetention},
	}
}

// DrainDirective is an operator's order to drain an endpoint, regardless of its phase in the endpoint list.
type DrainDirective struct {
	Endpoint string    `cbor:"1,keyasint" json:"server"`
	By       string    `cbor:"2,keyasint" json:"who"`
	Reason   string    `cbor:"3,keyasint,omitempty" json:"why,omitempty"`
	Since    time.Time `cbor:"4,keyasint" json:"since"`
	Until    time.Time `cbor:"5,keyasint,omitzero" json:"until,omitzero"` // zero: until it is withdrawn
}

// Expired reports whether the directive has expired at a time.
func (d *DrainDirective) Expired(now time.Time) bool {
	return !d.Until.IsZero() && !now.Before(d.Until)
}

// Equal reports whether two directives are the same.
func (d *DrainDirective) Equal(other *DrainDirective) bool {
	return d.Endpoint == other.Endpoint && d.By == other.By && d.Reason == other.Reason && d.Since.Equal(other.Since) && d.Until.Equal(other.Until)
}

// RelaySnapshot is the state of a relay at a time: its endpoint list, and the balancer's routes, weights and loads.
// Times in Balancer are readings of the proxy's clock.
type RelaySnapshot struct {
	Name       string                         `cbor:"1,keyasint"` // of the relay; other relays must not use the snapshot
	Clock      time.Duration                  `cbor:"2,keyasint"` // reading of the proxy's clock at TakenAt
	ClockStart time.Time                      `cbor:"3,keyasint"` // start of the proxy's clock, see proxy.Clock.Start
	TakenAt    time.Time                      `cbor:"4,keyasint"`
	Agent      string                         `cbor:"5,keyasint"` // address of the discovery agent that sent List
	List       discovery.List                 `cbor:"6,keyasint"`
	Names      map[balancer.EndpointID]string `cbor:"7,keyasint"` // names of the endpoints in Balancer
	Balancer   balancer.Snapshot              `cbor:"8,keyasint"`
}

// Maximum ages of the parts of a RelaySnapshot. State that is too old sends clients to endpoints that have failed
// meanwhile. Without saved state, each group's clients go to a random endpoint instead of the one that served them
// before.
const (
	// ListMaxAge applies to the endpoint list, which is used until discovery sends a new one. The list in a platform's
	// configuration may be as old.
	ListMaxAge = 10 * time.Minute
	// HealthMaxAge applies to weights, loads and the spent part of the slow-start budget, which decay over time anyway.
	HealthMaxAge = time.Minute
	// RouteMaxAge applies to routes, each of which sends all clients of a group to one endpoint. If that has failed
	// meanwhile, the group's first attempt is rejected or times out.
	RouteMaxAge = 15 * time.Second
)

// DiscardStale removes the parts of a snapshot that are too old. It returns the snapshot's age, and whether the relay
// of that name may use the rest: not if it is another relay's, too old as a whole, or from the future, as after a
// clock change.
func (s *RelaySnapshot) DiscardStale(name string, now time.Time) (age time.Duration, ok bool) {
	age = now.Sub(s.TakenAt)
	if s.Name != name || age < 0 || age > ListMaxAge {
		return age, false
	}
	if age > RouteMaxAge {
		s.Balancer.Routes = nil
	}
	if age > HealthMaxAge {
		s.Balancer.Endpoints = nil
	}
	// The endpoint list is kept in any case, so that draining and gone endpoints stay so until a new list arrives.
	return age, true
}
