package simulation

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// statistics holds the counters and sums of a run.
type statistics struct {
	clients, departedClients, requests, attempts, failedAttempts, rejected, gaveUp, migrations, heartbeatTimeouts, brokenConnections, crossZoneAttempts, lateAfterDrain, overloaded int

	probes, detections, falseAlarms int
	detectionTime                   time.Duration // sum over all detections

	served, demanded []float64 // by class: client seconds times the class's weight
	inObjective      []int
	established      []int
	setupTimes       []*hdrhistogram.Histogram
	annotations      []Annotation

	seconds           []Second
	current           Second
	currentServed     float64
	currentDemanded   float64
	utilizations      []float64
	loadSpreadSum     float64
	loadSpreadCount   int
	serversPerGroup   float64
	tickCount         int
	countedMigrations int
}

// start allocates the counters of the classes.
func (a *statistics) start(sim *Sim) {
	n := len(sim.Classes)
	a.served, a.demanded, a.inObjective, a.established = make([]float64, n), make([]float64, n), make([]int, n), make([]int, n)
	for range n {
		a.setupTimes = append(a.setupTimes, hdrhistogram.New(1, time.Minute.Microseconds(), 2))
	}
}

// countEstablished counts a request whose connection was established.
func (a *statistics) countEstablished(sim *Sim, client *clientModel) {
	took := sim.now - client.requestedAt
	a.setupTimes[client.class].RecordValue(max(1, took.Microseconds()))
	a.established[client.class]++
	if took <= sim.Classes[client.class].LatencyObjective {
		a.inObjective[client.class]++
	}
}

// countService counts the service of a server in a tick of length dt.
func (a *statistics) countService(sim *Sim, server *serverModel, utilization float64, dt time.Duration) {
	a.utilizations = append(a.utilizations, utilization)
	for i, count := range server.connectionsByClass {
		if count > 0 && !server.hung && server.delay <= sim.Classes[i].MessageLatencyObjective {
			served := float64(count) * sim.Classes[i].Weight * dt.Seconds()
			a.served[i] += served
			a.currentServed += served
		}
		a.current.Established += count
	}
}

// tick counts the demand of a tick of length dt, after the service of all servers, and completes the
// metrics of each second.
func (a *statistics) tick(sim *Sim, dt time.Duration) {
	for i, n := range sim.clientsByClass {
		demanded := float64(n) * sim.Classes[i].Weight * dt.Seconds()
		a.demanded[i] += demanded
		a.currentDemanded += demanded
	}
	if len(a.utilizations) > 0 {
		mean := 0.0
		for _, utilization := range a.utilizations {
			mean += utilization
		}
		mean /= float64(len(a.utilizations))
		squares := 0.0
		for _, utilization := range a.utilizations {
			squares += (utilization - mean) * (utilization - mean)
		}
		a.loadSpreadSum += math.Sqrt(squares / float64(len(a.utilizations)))
		a.loadSpreadCount++
		a.current.MaxUtilization, a.current.MinUtilization, a.current.MeanUtilization = max(a.current.MaxUtilization, slices.Max(a.utilizations)), slices.Min(a.utilizations), mean
	}
	a.utilizations = a.utilizations[:0]
	if a.tickCount++; a.tickCount%int(time.Second/dt) != 0 {
		a.current.Established = 0
		return
	}
	groups, placements := make(map[uint32]bool), 0
	if a.tickCount%int(5*time.Second/dt) == 0 {
		for _, server := range sim.servers {
			placements += len(server.connectionsByGroup)
			for group := range server.connectionsByGroup {
				groups[group] = true
			}
		}
		if len(groups) > 0 {
			a.serversPerGroup = float64(placements) / float64(len(groups))
		}
	}
	a.current.Service, a.current.Demand = 1, a.currentDemanded
	if a.currentDemanded > 0 {
		a.current.Service = min(1, a.currentServed/a.currentDemanded)
	}
	a.current.Migrations, a.countedMigrations = a.migrations-a.countedMigrations, a.migrations
	a.seconds = append(a.seconds, a.current)
	a.current, a.currentServed, a.currentDemanded = Second{}, 0, 0
}
