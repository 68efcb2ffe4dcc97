package simulation

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// statistics counts what happens in a simulation.
type statistics struct {
	clients, departedClients, requests, attempts, failedAttempts, rejected, gaveUp, migrations, heartbeatTimeouts, brokenConnections, crossZoneAttempts, lateAfterDrain, overloaded int

	probes, detections, falseAlarms int
	detectionTime                   time.Duration // of all detected, in sum

	served, wanted []float64 // by class: worth times seconds
	inObjective    []int
	established    []int
	setupTimes     []*hdrhistogram.Histogram
	annotations    []Annotation

	seconds           []Second
	current           Second
	currentServed     float64
	currentWanted     float64
	utilizations      []float64
	loadSpreadSum     float64
	loadSpreadCount   int
	serversPerGroup   float64
	tickCount         int
	countedMigrations int
}

func (a *statistics) start(s *Sim) {
	n := len(s.Classes)
	a.served, a.wanted, a.inObjective, a.established = make([]float64, n), make([]float64, n), make([]int, n), make([]int, n)
	for range n {
		a.setupTimes = append(a.setupTimes, hdrhistogram.New(1, time.Minute.Microseconds(), 2))
	}
}

// countEstablished counts a request that was established.
func (a *statistics) countEstablished(s *Sim, client *clientModel) {
	took := s.now - client.requestedAt
	a.setupTimes[client.class].RecordValue(max(1, took.Microseconds()))
	a.established[client.class]++
	if took <= s.Classes[client.class].LatencyObjective {
		a.inObjective[client.class]++
	}
}

// countService counts what a server does in a tick.
func (a *statistics) countService(s *Sim, server *serverModel, rho float64, dt time.Duration) {
	a.utilizations = append(a.utilizations, rho)
	for i, n := range server.connectionsByClass {
		if n > 0 && !server.hung && server.delay <= s.Classes[i].MessageLatencyObjective {
			worth := float64(n) * s.Classes[i].Weight * dt.Seconds()
			a.served[i] += worth
			a.currentServed += worth
		}
		a.current.Established += n
	}
}

// tick ends a tick of all servers.
func (a *statistics) tick(s *Sim, dt time.Duration) {
	for i, n := range s.clientsByClass {
		worth := float64(n) * s.Classes[i].Weight * dt.Seconds()
		a.wanted[i] += worth
		a.currentWanted += worth
	}
	if len(a.utilizations) > 0 {
		mean := 0.0
		for _, r := range a.utilizations {
			mean += r
		}
		mean /= float64(len(a.utilizations))
		square := 0.0
		for _, r := range a.utilizations {
			square += (r - mean) * (r - mean)
		}
		a.loadSpreadSum += math.Sqrt(square / float64(len(a.utilizations)))
		a.loadSpreadCount++
		a.current.MaxUtilization, a.current.MinUtilization, a.current.MeanUtilization = max(a.current.MaxUtilization, slices.Max(a.utilizations)), slices.Min(a.utilizations), mean
	}
	a.utilizations = a.utilizations[:0]
	if a.tickCount++; a.tickCount%int(time.Second/dt) != 0 {
		a.current.Established = 0
		return
	}
	groups, copies := make(map[uint32]bool), 0
	if a.tickCount%int(5*time.Second/dt) == 0 {
		for _, server := range s.servers {
			copies += len(server.connectionsByGroup)
			for g := range server.connectionsByGroup {
				groups[g] = true
			}
		}
		if len(groups) > 0 {
			a.serversPerGroup = float64(copies) / float64(len(groups))
		}
	}
	a.current.Service, a.current.Demand = 1, a.currentWanted
	if a.currentWanted > 0 {
		a.current.Service = min(1, a.currentServed/a.currentWanted)
	}
	a.current.Migrations, a.countedMigrations = a.migrations-a.countedMigrations, a.migrations
	a.seconds = append(a.seconds, a.current)
	a.current, a.currentServed, a.currentWanted = Second{}, 0, 0
}
