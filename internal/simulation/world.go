// Package simulation is a discrete-event simulation of clients, application servers, zones,
// discovery and relays in virtual time. Each relay runs the production balancer, so that
// it can be evaluated at sizes that real connections cannot reach.
//
// A run is determined by its World, script, policy and seed.
package simulation

import (
	"errors"
	"fmt"
	"time"

	"lockroad/balancer"
	"lockroad/internal/healthcheck"
)

// Class is a class of clients. Ranges are drawn from uniformly, once for each client.
type Class struct {
	Name                    string
	Share                   float64       // of new clients
	LoadFactor              [2]float64    // load relative to the mean over all classes
	LifetimeFactor          [2]float64    // mean lifetime relative to the mean over all classes
	LatencyObjective        time.Duration // of a set-up
	Deadline                time.Duration // of a set-up
	MessageLatencyObjective time.Duration // of a message
	Weight                  float64       // of a second of service in the score
}

// MaxRelays bounds the memory of a simulation: each relay has a balancer with the complete endpoint list.
const MaxRelays = 4096

// World holds the parameters of a simulation; ReferenceWorld has a value for each. Loads are in
// mean connections: the average connection has a load of 1. Fields with two values are the bounds
// of a uniform distribution.
type World struct {
	Servers            int
	Relays             int
	Zones              int
	ArrivalRate        float64       // new clients per second, of all relays together
	RateAmplitude      float64       // of the arrival rate's sine wave, as a share of the rate
	RatePeriod         time.Duration // of the arrival rate's sine wave
	Duration           time.Duration // of the measured part, after the warm-up
	InitialConnections int           // clients that arrive during the warm-up
	MeanLifetime       time.Duration // of a client
	Classes            []Class
	Groups             int     // the nth has a popularity proportional to n^-GroupSkew
	GroupSkew          float64 // 0: uniform; 1: Zipf's law
	ZoneSkew           float64 // of the clients' zones; 0: uniform; 1: all in the first zone

	// Servers.
	ConnectionsPerCore    float64 // mean connections that saturate a core of speed 1
	CoresPerServer        int
	SlowShare             float64       // share of the servers that run on slow machines
	Speed                 [2]float64    // of a core on other machines
	SlowSpeed             [2]float64    // of a core on a slow machine
	LoadAmplitude         float64       // maximum change of a connection's load, as a share of its mean
	GroupCost             float64       // load of a group at each server that serves it
	ConnectionLimitFactor float64       // maximum connections of a server, as a multiple of its capacity
	SetupWork             time.Duration // time of a set-up on a core of speed 1
	SetupQueueLimit       int           // maximum set-ups that wait at a server
	IdleMessageTime       time.Duration // of a message at an idle server with cores of speed 1
	InitialCapacity       float64       // share of its capacity that a server has when it starts
	SlowStartDuration     time.Duration // until a started server has its full capacity
	OverloadMultiple      float64       // of the sustainable set-up rate, above which a server in slow start fails
	OverloadWindow        time.Duration // over which that rate is measured
	OverloadDowntime      time.Duration // of a server that failed from overload
	DrainDuration         time.Duration // from the start of a drain until the server stops

	// Network and discovery. Delays are one-way.
	SameZoneDelay, CrossZoneDelay, ClientDelay [2]time.Duration
	ListDelay                                  [2]time.Duration // of an update of the endpoint list
	ConnectTimeout                             time.Duration    // of the balancer's attempts

	// Clients.
	MaxRetries           int              // of a client after a rejection or timeout
	Backoff              [2]time.Duration // of the first retry; doubles with each
	ReturnDelay          [2]time.Duration // until a client returns after a migration or a broken connection
	RetryAfterCompliance float64          // probability that a client respects a retry-after
	MessageInterval      time.Duration    // of a client
	HeartbeatTimeout     time.Duration    // of relays, for the connection of a hung server
	MaxAttempts          int              // of a request, by the relay
	RestoreSnapshots     bool             // restarted relays restore their last snapshot

	UseHealthChecks     bool // relays probe servers instead of receiving an endpoint list
	HealthCheckSettings healthcheck.Settings
	ProbeLoss           float64 // share of lost probes

	MigrationCost float64 // deduction from the score per migration and client
}

// ReferenceWorld returns the reference deployment: 13 servers and 4 relays in 4 zones, with 2.2
// new clients per second.
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

// Validate returns an error that joins those of all parameters that are out of range.
func (w *World) Validate() error {
	var errs []error
	failIf := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	failIf(w.Servers < 1 || w.Servers > 5000, "servers %d is not between 1 and 5000", w.Servers)
	failIf(w.Relays < 1 || w.Relays > MaxRelays, "relays %d is not between 1 and %d", w.Relays, MaxRelays)
	failIf(w.Zones < 1, "zones %d is less than 1", w.Zones)
	failIf(!(w.ArrivalRate >= 0 && w.ArrivalRate <= 1e5), "rate %v is not between 0 and 100000", w.ArrivalRate)
	failIf(!(w.RateAmplitude >= 0 && w.RateAmplitude < 1), "swing %v is not within [0, 1)", w.RateAmplitude)
	failIf(w.RateAmplitude > 0 && w.RatePeriod <= 0, "period %v is not positive, as swing requires", w.RatePeriod)
	failIf(w.Duration <= 0 || w.Duration > 24*time.Hour, "for %v is not positive or exceeds 24h", w.Duration)
	failIf(w.InitialConnections < 0 || w.InitialConnections > 1_000_000, "standing %d is not between 0 and 1000000", w.InitialConnections)
	failIf(w.MeanLifetime <= 0, "life %v is not positive", w.MeanLifetime)
	failIf(len(w.Classes) == 0, "the world has no classes")
	failIf(w.Groups < 1, "groups %d is less than 1", w.Groups)
	failIf(!(w.GroupSkew >= 0 && w.GroupSkew <= 3), "group-skew %v is not between 0 and 3", w.GroupSkew)
	failIf(w.ConnectionsPerCore <= 0 || w.CoresPerServer < 1, "per-core %v or cores %d is not positive", w.ConnectionsPerCore, w.CoresPerServer)
	failIf(w.InitialCapacity <= 0 || w.InitialCapacity > 1, "cold-share %v is not within (0, 1]", w.InitialCapacity)
	failIf(!(w.LoadAmplitude >= 0 && w.LoadAmplitude <= 1), "load-swing %v is not between 0 and 1", w.LoadAmplitude)
	failIf(w.UseHealthChecks && w.HealthCheckSettings.Validate() != nil, "health check settings: %v", w.HealthCheckSettings.Validate())
	failIf(!(w.ProbeLoss >= 0 && w.ProbeLoss < 1), "probe-loss %v is not within [0, 1)", w.ProbeLoss)
	failIf(w.MaxAttempts < 1, "attempts %d is less than 1", w.MaxAttempts)
	return errors.Join(errs...)
}

// settings returns the settings of a relay's balancer in a zone.
func (w *World) settings(zone int) balancer.Settings {
	settings := balancer.Settings{
		RelayCount: w.Relays, Zone: zone, MaxAttempts: w.MaxAttempts, ClockResolution: 2 * time.Millisecond, ConnectTimeout: w.ConnectTimeout, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: w.InitialCapacity, SlowStartDuration: w.SlowStartDuration, OverloadMultiple: w.OverloadMultiple, OverloadWindow: w.OverloadWindow, CrossZoneCost: 0.03,
	}
	for _, class := range w.Classes {
		settings.Classes = append(settings.Classes, balancer.Class{LatencyObjective: class.LatencyObjective, Deadline: class.Deadline, MessageLatencyObjective: class.MessageLatencyObjective})
	}
	return settings
}

// Scaled returns the world with its servers, arrival rate, initial connections and groups
// multiplied by a factor, and with a number of relays.
func (w World) Scaled(factor float64, relays int) World {
	w.Servers = max(1, int(float64(w.Servers)*factor))
	w.ArrivalRate *= factor
	w.InitialConnections = int(float64(w.InitialConnections) * factor)
	w.Groups = max(1, int(float64(w.Groups)*factor))
	w.Relays = relays
	return w
}
