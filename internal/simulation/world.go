// Package simulation simulates clients, application servers, zones, discovery and any number
// of relays, in virtual time; in each relay decides the balancer of the real one. It tries
// designs at sizes that sockets don't reach.
//
// It is a discrete-event simulation, deterministic by its seed. It follows the operators'
// public pages: what they don't say is a parameter of a World.
package simulation

import (
	"errors"
	"fmt"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// Class is one kind of client.
type Class struct {
	Name                    string
	Share                   float64       // of new connections
	LoadFactor              [2]float64    // against the mean over all classes: drawn between the two
	LifetimeFactor          [2]float64    // mean lifetime, against that of all classes
	LatencyObjective        time.Duration // latency objective of a set-up
	Deadline                time.Duration // deadline of a set-up
	MessageLatencyObjective time.Duration // latency objective of a message
	Weight                  float64       // of a second that is well served
}

// MaxRelays bounds the relays of a world: each has a balancer with the complete endpoint list.
const MaxRelays = 4096

// World is what is simulated. Every field has a value in Galway. Classes' loads and
// lives are against each other: the mean over all clients is one usual connection, and
// Life.
type World struct {
	Servers            int
	Relays             int
	Zones              int
	ArrivalRate        float64       // new clients a second, all relays together
	RateAmplitude      float64       // the rate goes up and down by this part of it
	RatePeriod         time.Duration // once in this time
	Duration           time.Duration // arrivals come for so long, and service is counted
	InitialConnections int           // connections that are established at the start
	MeanLifetime       time.Duration // of a connection on average
	Classes            []Class
	Groups             int     // documents; the nth is as popular as 1/n to the power of GroupSkew
	GroupSkew          float64 // 1: Zipf's law; 0: all alike
	ZoneSkew           float64 // of the zones' traffic: 0 all alike, 1 all in the first

	// Servers.
	ConnectionsPerCore    float64 // mean connections that fill a core of speed 1
	CoresPerServer        int
	SlowShare             float64       // part of the servers that are slow machines
	Speed                 [2]float64    // of a core of the others
	SlowSpeed             [2]float64    // of a core of a slow machine
	LoadAmplitude         float64       // a connection's load changes now and then, by up to this part of the usual
	GroupCost             float64       // what a server pays for a group, in mean connections
	ConnectionLimitFactor float64       // connections that a server holds, against what fills it
	SetupWork             time.Duration // work of a set-up, on a core of speed 1
	SetupQueueLimit       int           // set-ups that wait at a server; more are rejected
	IdleMessageTime       time.Duration // that a message takes at an idle server
	InitialCapacity       float64       // of its capacity that a server has when it starts
	SlowStartDuration     time.Duration // by which it has its full capacity
	OverloadMultiple      float64       // a server that warms up and is sent this many times what it can do
	OverloadWindow        time.Duration // for so long fails
	OverloadDowntime      time.Duration // and is down for so long
	DrainDuration         time.Duration // a server that drains stops after this time

	// Networks and discovery, one way.
	SameZoneDelay, CrossZoneDelay, ClientDelay [2]time.Duration
	ListDelay                                  [2]time.Duration // that the list is behind
	ConnectTimeout                             time.Duration    // a connection not made by then has failed

	// Clients.
	MaxRetries           int // after a rejection or no answer
	Backoff              [2]time.Duration
	ReturnDelay          [2]time.Duration // until a client returns after a migration or a broken connection
	RetryAfterCompliance float64          // share of the clients that respect a retry-after
	MessageInterval      time.Duration    // a client sends a message this often
	HeartbeatTimeout     time.Duration    // heartbeat timeout of relays
	MaxAttempts          int              // of a request
	RestoreSnapshots     bool             // relays that restart restore their last snapshot, as those with a store

	UseHealthChecks     bool                 // relays find out by health checks which servers are up; there is no discovery
	HealthCheckSettings healthcheck.Settings // of those
	ProbeLoss           float64              // part of the probes that get lost

	MigrationCost float64 // share of service lost if each client is migrated once
}

// ReferenceWorld is the operators' deployment as their pages have it: 13 servers, 4 relays in 4
// halls, some 2.2 new connections a second.
func ReferenceWorld() World {
	ms := time.Millisecond
	return World{
		Servers: 13, Relays: 4, Zones: 4, ArrivalRate: 2.2, RateAmplitude: 0.28, RatePeriod: 25 * time.Second, Duration: 50 * time.Second, InitialConnections: 80,
		MeanLifetime: 37 * time.Second, Groups: 12, GroupSkew: 1, ZoneSkew: 0.4,
		Classes: []Class{
			{"page-render", 0.35, [2]float64{1, 1}, [2]float64{1, 1}, 800 * ms, 4800 * ms, 100 * ms, 5},
			{"part-extract", 0.30, [2]float64{0.2, 0.5}, [2]float64{1, 3}, 800 * ms, 4800 * ms, 50 * ms, 2},
			{"live-preview", 0.27, [2]float64{4, 8}, [2]float64{1, 3}, 500 * ms, 2000 * ms, 60 * ms, 1},
			{"print-export", 0.08, [2]float64{2, 4}, [2]float64{0.3, 1}, 800 * ms, 4800 * ms, 100 * ms, 5},
		},
		ConnectionsPerCore: 12.5, CoresPerServer: 2, SlowShare: 0.32, Speed: [2]float64{0.85, 1.1}, SlowSpeed: [2]float64{0.51, 0.69}, GroupCost: 2, LoadAmplitude: 0.5, ConnectionLimitFactor: 3,
		SetupWork: 8 * ms, SetupQueueLimit: 40, IdleMessageTime: 4 * ms, InitialCapacity: 0.12, SlowStartDuration: 23 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second, OverloadDowntime: 20 * time.Second,
		DrainDuration: 8 * time.Second,
		SameZoneDelay: [2]time.Duration{130 * time.Microsecond, 310 * time.Microsecond}, CrossZoneDelay: [2]time.Duration{1400 * time.Microsecond, 2600 * time.Microsecond},
		ClientDelay: [2]time.Duration{410 * time.Microsecond, 1100 * time.Microsecond}, ListDelay: [2]time.Duration{1300 * ms, 4500 * ms}, ConnectTimeout: 500 * ms,
		MaxRetries: 2, Backoff: [2]time.Duration{42 * ms, 340 * ms}, ReturnDelay: [2]time.Duration{57 * ms, 520 * ms}, RetryAfterCompliance: 0.77, MessageInterval: 2 * time.Second,
		HeartbeatTimeout: 4500 * ms, MaxAttempts: 5, MigrationCost: 0.045, HealthCheckSettings: healthcheck.DefaultSettings(),
	}
}

// Validate returns all parameters that are out of range, as one error.
func (w *World) Validate() error {
	var all []error
	bad := func(is bool, format string, args ...any) {
		if is {
			all = append(all, fmt.Errorf(format, args...))
		}
	}
	bad(w.Servers < 1 || w.Servers > 5000, "servers %d are not within 1 and 5000", w.Servers)
	bad(w.Relays < 1 || w.Relays > MaxRelays, "relays %d are not within 1 and %d", w.Relays, MaxRelays)
	bad(w.Zones < 1, "zones %d are fewer than one", w.Zones)
	bad(!(w.ArrivalRate >= 0 && w.ArrivalRate <= 1e5), "rate %v is not within 0 and 100000", w.ArrivalRate)
	bad(!(w.RateAmplitude >= 0 && w.RateAmplitude < 1), "swing %v is not within 0 and 1", w.RateAmplitude)
	bad(w.RateAmplitude > 0 && w.RatePeriod <= 0, "period %v is no time for a swing", w.RatePeriod)
	bad(w.Duration <= 0 || w.Duration > 24*time.Hour, "for %v is not within 0 and a day", w.Duration)
	bad(w.InitialConnections < 0 || w.InitialConnections > 1_000_000, "standing %d is not within 0 and 1000000", w.InitialConnections)
	bad(w.MeanLifetime <= 0, "life %v is no time", w.MeanLifetime)
	bad(len(w.Classes) == 0, "there are no classes")
	bad(w.Groups < 1, "groups %d are fewer than one", w.Groups)
	bad(!(w.GroupSkew >= 0 && w.GroupSkew <= 3), "group-skew %v is not within 0 and 3", w.GroupSkew)
	bad(w.ConnectionsPerCore <= 0 || w.CoresPerServer < 1, "a core bears %v connections, and a server has %d", w.ConnectionsPerCore, w.CoresPerServer)
	bad(w.InitialCapacity <= 0 || w.InitialCapacity > 1, "cold-share %v is not within 0 and 1", w.InitialCapacity)
	bad(!(w.LoadAmplitude >= 0 && w.LoadAmplitude <= 1), "load-swing %v is not within 0 and 1", w.LoadAmplitude)
	bad(w.UseHealthChecks && w.HealthCheckSettings.Validate() != nil, "probes: %v", w.HealthCheckSettings.Validate())
	bad(!(w.ProbeLoss >= 0 && w.ProbeLoss < 1), "probe-loss %v is not within 0 and 1", w.ProbeLoss)
	bad(w.MaxAttempts < 1, "attempts %d are fewer than one", w.MaxAttempts)
	return errors.Join(all...)
}

// settings returns the balancer's settings in a zone.
func (w *World) settings(zone int) balancer.Settings {
	s := balancer.Settings{
		RelayCount: w.Relays, Zone: zone, MaxAttempts: w.MaxAttempts, ClockResolution: 2 * time.Millisecond, ConnectTimeout: w.ConnectTimeout, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: w.InitialCapacity, SlowStartDuration: w.SlowStartDuration, OverloadMultiple: w.OverloadMultiple, OverloadWindow: w.OverloadWindow, CrossZoneCost: 0.03,
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, balancer.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, MessageLatencyObjective: c.MessageLatencyObjective})
	}
	return s
}

// Scaled returns the world with so many times the servers, traffic, standing
// connections and groups, and so many relays.
func (w World) Scaled(by float64, relays int) World {
	w.Servers = max(1, int(float64(w.Servers)*by))
	w.ArrivalRate *= by
	w.InitialConnections = int(float64(w.InitialConnections) * by)
	w.Groups = max(1, int(float64(w.Groups)*by))
	w.Relays = relays
	return w
}
