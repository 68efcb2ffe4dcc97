package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lockroad/internal/fake"
)

// TestRehearse runs common faults against builds of the program and prints how long clients wait until they are served
// again. It checks nothing:
//
//	LOCKROAD_REHEARSE="before=/path/to/lockroad after=bin/lockroad" go test -run Rehearse -v ./cmd/lockroad
func TestRehearse(t *testing.T) {
	builds := builds()
	if len(builds) == 0 {
		t.Skip("LOCKROAD_REHEARSE is not set to a list of builds")
	}
	const runs = 5
	for _, scenario := range []string{"one of six endpoints hangs for 6 s", "53% of the clients drop and return", "one of six endpoints is gone, the list 9 s behind",
		"four relays: one of six endpoints hangs for 6 s", "four relays restart one after another"} {
		for _, build := range builds {
			t.Run(scenario+"/"+build.name, func(t *testing.T) {
				t.Parallel()
				var waits []time.Duration
				unserved, migrations := 0, 0
				for seed := range uint64(runs) {
					w, n, m := runScenario(t, build.program, scenario, seed)
					waits, unserved, migrations = append(waits, w...), unserved+n, migrations+m
				}
				slices.Sort(waits)
				quantile := func(q float64) time.Duration { return waits[int(q*float64(len(waits)-1))].Round(time.Millisecond) }
				fmt.Printf("%-50s %-8s clients %4d  median %v  95%% %v  longest %v  not served %d  migrations %d\n", scenario, build.name, len(waits), quantile(0.5), quantile(0.95), quantile(1), unserved, migrations)
			})
		}
	}
}

// relayEnv returns the environment of a relay by its number, with a store of its own if the cluster's relays have
// stores.
func (cluster *testCluster) relayEnv(relay int) []string {
	if !cluster.withStore {
		return nil
	}
	folder := filepath.Join(cluster.dir, fmt.Sprintf("kept-%d", relay))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		cluster.t.Fatal(err)
	}
	operator := folder + ".toml"
	if err := os.WriteFile(operator, fmt.Appendf(nil, "[store]\ndir = %q\n", folder), 0o600); err != nil {
		cluster.t.Fatal(err)
	}
	return []string{"LOCKROAD_OPERATOR=" + operator}
}

// startRelays starts several relays behind a load balancer. addresses are those of the relays' line frontends.
func startRelays(t *testing.T, cluster *testCluster, classes []fake.Class, relays int) (loadBalancer *roundRobin, addresses []string, running []*process) {
	loadBalancer, addresses, running = newRoundRobin(t), make([]string, relays), make([]*process, relays)
	for i := range addresses {
		addresses[i] = freeAddress(t)
		cluster.lineAddress = addresses[i]
		cluster.writeConfigFor(classes, relays, i)
		running[i] = cluster.startProcess(cluster.relayEnv(i)...)
		loadBalancer.add(t, addresses[i])
	}
	cluster.lineAddress = loadBalancer.Addr().String()
	return loadBalancer, addresses, running
}

// restartRelays restarts the relays one after another.
func restartRelays(t *testing.T, cluster *testCluster, classes []fake.Class, loadBalancer *roundRobin, addresses []string, running []*process) {
	for i, p := range running {
		p.shutDown()
		dropTimer := time.AfterFunc(failureDetectionTime, func() { loadBalancer.drop(addresses[i]) })
		cluster.lineAddress = addresses[i]
		cluster.writeConfigFor(classes, len(running), i)
		running[i] = cluster.startProcess(cluster.relayEnv(i)...)
		loadBalancer.add(t, addresses[i])
		dropTimer.Stop()
	}
}

// runScenario runs one fault scenario. It returns the time until service of each client whose connection was lost
// during the scenario, or that arrived during it; the number of clients not served by its end; and the number of
// migrations.
func runScenario(t *testing.T, program, scenario string, seed uint64) (waits []time.Duration, unserved, migrations int) {
	cluster := newClusterOf(t, 6, nil)
	cluster.program = program
	relays := 1
	if strings.HasPrefix(scenario, "four") {
		relays = 4
	}
	loadBalancer, addresses, running := startRelays(t, cluster, serviceClasses, relays)
	classes := slices.Clone(serviceClasses)
	for i := range classes {
		classes[i].MeanLifetime = 30 * time.Second
	}
	cluster.startClientsOf(10, classes, seed+1)
	time.Sleep(6 * time.Second)
	began := time.Now()
	faulty := cluster.site.Servers[int(seed)%6]
	switch {
	case strings.Contains(scenario, "hangs"):
		faulty.SetMode(fake.ModeHang, 0)
		time.AfterFunc(6*time.Second, func() { faulty.SetMode(fake.ModeAccept, 0) })
	case strings.Contains(scenario, "gone"):
		faulty.Stop()
		time.AfterFunc(9*time.Second, func() { cluster.site.Discovery.SetState(faulty.Name, "gone", false) })
	case strings.Contains(scenario, "drop"):
		cluster.site.Clients.Drop(0.53)
	default:
		restartRelays(t, cluster, serviceClasses, loadBalancer, addresses, running)
	}
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	cluster.stopClients()
	for _, p := range running {
		p.kill()
	}
	atFaulty := make(map[string]bool) // names of requests accepted by the faulty endpoint
	for _, attempt := range cluster.site.Log.Attempts() {
		atFaulty[attempt.Name] = atFaulty[attempt.Name] || attempt.Endpoint == faulty.Name && attempt.Answer == "up"
	}
	flows := make(map[string][]fake.Session)
	for _, session := range cluster.site.Log.Sessions() {
		flows[session.Flow] = append(flows[session.Flow], session)
	}
	for _, sessions := range flows {
		slices.SortFunc(sessions, func(x, y fake.Session) int { return cmp.Compare(x.At.UnixNano(), y.At.UnixNano()) })
		unservedSince := sessions[0].At // zero while the client is served
		for _, session := range sessions {
			if session.End == "moved" && session.At.Add(session.SetupTime+session.EstablishedFor).After(began) {
				migrations++
			}
			if session.Answer != "up" {
				continue
			}
			up := session.At.Add(session.SetupTime)
			if unservedSince.After(began) {
				waits = append(waits, up.Sub(unservedSince))
			}
			unservedSince = time.Time{}
			if end := up.Add(session.EstablishedFor); session.End != "left" && session.End != "bye" {
				if unservedSince = end; strings.Contains(scenario, "hangs") && atFaulty[session.Name] && up.Before(began) && end.After(began) {
					unservedSince = began.Add(time.Nanosecond) // its endpoint hung from the start of the fault
				}
			}
		}
		if unservedSince.After(began) && unservedSince.Before(began.Add(8*time.Second)) {
			unserved++
		}
	}
	return waits, unserved, migrations
}

// weightedClasses are classes of clients that demand 82 ms of an endpoint's work per second on average.
var weightedClasses = []fake.Class{
	{Name: "page-render", Share: 0.35, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 20 * time.Second},
	{Name: "part-extract", Share: 0.30, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 40 * time.Second, LatencyObjective: 50 * time.Millisecond},
	{Name: "live-preview", Share: 0.27, TimeLimit: 2 * time.Second, MeanLifetime: 40 * time.Second, LatencyObjective: 60 * time.Millisecond},
	{Name: "print-export", Share: 0.08, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 13 * time.Second},
}

// classWeights are the weights of a second of service, by class.
var classWeights = map[string]float64{"page-render": 5, "part-extract": 2, "live-preview": 1, "print-export": 5}

const messageInterval = 250 * time.Millisecond

// TestRehearseServedWeight runs scenarios on endpoints with a limited capacity, and prints the share of the demanded
// weight that was served and where the rest was lost: at the faulty endpoint, at others, or before an endpoint was
// reached. It checks nothing:
//
//	LOCKROAD_REHEARSE="before=/path/to/lockroad after=bin/lockroad" go test -run RehearseServedWeight -v ./cmd/lockroad
//
// Relays of a build whose name starts with warm have stores. LOCKROAD_SCENE selects one scenario.
func TestRehearseServedWeight(t *testing.T) {
	builds := builds()
	if len(builds) == 0 {
		t.Skip("LOCKROAD_REHEARSE is not set to a list of builds")
	}
	const runs = 6
	selected := os.Getenv("LOCKROAD_SCENE")
	for _, scenario := range []string{"nothing happens", "one of six hangs for 6 s", "the relays restart", "one restarts and is cold"} {
		if selected != "" && selected != scenario {
			continue
		}
		for _, build := range builds {
			t.Run(scenario+"/"+build.name, func(t *testing.T) {
				t.Parallel()
				var all []weightShares
				for seed := range uint64(runs) {
					all = append(all, measureServedWeight(t, build.program, scenario, seed, strings.HasPrefix(build.name, "warm")))
				}
				slices.SortFunc(all, func(x, y weightShares) int { return cmp.Compare(x.served, y.served) })
				for _, shares := range all {
					fmt.Printf("%-26s %-8s served %.3f  lost at the faulty endpoint %.3f, at others %.3f, before an endpoint %.3f  migrations %d of %d clients\n", scenario, build.name, shares.served, shares.atFaulty, shares.atOthers, shares.unrouted, shares.migrations, shares.clients)
				}
			})
		}
	}
}

// weightShares are shares of the demanded weight, by where they were served or lost, and counts of clients.
type weightShares struct {
	served, atFaulty, atOthers, unrouted float64
	migrations, clients                  int
}

// measureServedWeight runs one scenario. With warm the relays have stores.
func measureServedWeight(t *testing.T, program, scenario string, seed uint64, warm bool) (shares weightShares) {
	capacity := fake.Capacity{WorkRate: 1700 * time.Millisecond, GroupWork: 160 * time.Millisecond, MessageTime: 4 * time.Millisecond, InitialShare: 0.12, SlowStartDuration: 5 * time.Second, ReportThreshold: 17 * time.Millisecond,
		ClassWork: map[string]time.Duration{"page-render": 40 * time.Millisecond, "part-extract": 14 * time.Millisecond, "live-preview": 240 * time.Millisecond, "print-export": 120 * time.Millisecond}}
	cluster := newClusterOf(t, 6, func(server *fake.Server) {
		server.Capacity, server.ExtraListeners, server.Load = capacity, make([]string, 3), 0
		if server.Name == "s-3" || server.Name == "s-5" { // a third of the machines are slow
			server.Capacity.WorkRate = 1200 * time.Millisecond
		}
	})
	cluster.program, cluster.killAfter, cluster.withStore = program, 3700*time.Millisecond, warm
	loadBalancer, addresses, running := startRelays(t, cluster, weightedClasses, 4)
	cluster.runClients(&fake.ClientPool{Classes: weightedClasses, Rate: 9, Groups: 12, MessageInterval: messageInterval, MaxClients: 150, Seed: seed + 1})
	time.Sleep(4 * time.Second) // 36 established clients use 60% of the total capacity, with their groups
	cluster.site.Clients.SetRate(1.3)
	time.Sleep(4 * time.Second)
	began := time.Now()
	faulty := cluster.site.Servers[int(seed)%6]
	switch scenario {
	case "one of six hangs for 6 s":
		faulty.SetMode(fake.ModeHang, 0)
		time.AfterFunc(6*time.Second, func() { faulty.SetMode(fake.ModeAccept, 0) })
	case "the relays restart":
		restartRelays(t, cluster, weightedClasses, loadBalancer, addresses, running)
	case "one restarts and is cold":
		faulty.Stop()
		time.AfterFunc(2*time.Second, func() {
			_ = faulty.Start(faulty.LineAddress(), "")
			time.AfterFunc(time.Second, func() { cluster.site.SetState(faulty.Name, "ready", true) })
		})
	}
	time.Sleep(time.Until(began.Add(15 * time.Second)))
	end := time.Now()
	cluster.stopClients()
	for _, p := range running {
		p.kill()
	}
	endpoints := make(map[string]string) // by name of the request
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Answer == "up" {
			endpoints[attempt.Name] = attempt.Endpoint
		}
	}
	demanded := 0.0
	first, ended := make(map[string]fake.Session), make(map[string]time.Time) // by flow
	established := make(map[string]time.Duration)                             // by flow
	for _, session := range cluster.site.Log.Sessions() {
		if earliest, ok := first[session.Flow]; !ok || session.At.Before(earliest.At) {
			first[session.Flow] = session
		}
		sessionEnd := session.At.Add(session.SetupTime + session.EstablishedFor)
		if session.End != "left" {
			sessionEnd = end // the client had more to send
		}
		if ended[session.Flow].Before(sessionEnd) {
			ended[session.Flow] = sessionEnd
		}
		if session.End == "moved" {
			shares.migrations++
		}
		established[session.Flow] += session.EstablishedFor
		weight := classWeights[session.Class]
		shares.served += weight * float64(session.Echoes-session.LateEchoes) * messageInterval.Seconds()
		lost := weight * float64(session.LateEchoes+session.MissingEchoes) * messageInterval.Seconds()
		if endpoints[session.Name] == faulty.Name {
			shares.atFaulty += lost
		} else {
			shares.atOthers += lost
		}
	}
	for flow, session := range first {
		demandedTime := min(ended[flow].Sub(session.At), end.Sub(session.At))
		demanded += classWeights[session.Class] * demandedTime.Seconds()
		shares.unrouted += classWeights[session.Class] * max(0, demandedTime-established[flow]).Seconds()
	}
	shares.clients = len(first)
	shares.served, shares.atFaulty, shares.atOthers, shares.unrouted = shares.served/demanded, shares.atFaulty/demanded, shares.atOthers/demanded, shares.unrouted/demanded
	return shares
}

// TestRehearseStore prints how much a store adds to the set-up time of clients. It sends the same requests alternately
// through a relay with a store and one without, first such that no request is saved, then such that all are, as all
// endpoints are full. It checks nothing.
func TestRehearseStore(t *testing.T) {
	if os.Getenv("LOCKROAD_REHEARSE") == "" {
		t.Skip("LOCKROAD_REHEARSE is not set to a list of builds")
	}
	cluster, _, env := newClusterWithStore(t)
	clusterWithoutStore := newCluster(t)
	operator := filepath.Join(cluster.dir, "bare.toml")
	if err := os.WriteFile(operator, []byte("[why]\nbytes = 2097152\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	relay, relayWithoutStore := cluster.startProcess(env), clusterWithoutStore.startProcess("LOCKROAD_OPERATOR="+operator)
	relay.awaitReady()
	relayWithoutStore.awaitReady()
	for _, mode := range []fake.ServerMode{fake.ModeAccept, fake.ModeBusy} {
		var waits [2][]time.Duration
		for i, target := range []*testCluster{cluster, clusterWithoutStore} {
			for _, server := range target.site.Servers {
				server.SetupTime = 0
				server.SetMode(mode, 0)
			}
			target.site.Clients = &fake.ClientPool{Log: target.site.Log, LineAddress: target.lineAddress, MaxClients: 5, Seed: uint64(i + 1)}
			target.site.Clients.Prepare()
		}
		n := 2000
		if mode == fake.ModeBusy {
			n = 40 // each request makes three attempts with pauses between them
		}
		for range n {
			for i, target := range []*testCluster{cluster, clusterWithoutStore} {
				session := target.site.Clients.RunSession(t.Context(), "line", serviceClasses[0], "1", time.Millisecond)
				waits[i] = append(waits[i], session.SetupTime)
			}
		}
		for i := range waits {
			slices.Sort(waits[i])
		}
		quantiles := func(q float64) (withStore, withoutStore time.Duration, ratio float64) {
			withStore, withoutStore = waits[0][int(q*float64(n-1))], waits[1][int(q*float64(n-1))]
			return withStore, withoutStore, float64(withStore) / float64(withoutStore)
		}
		for _, q := range []float64{0.5, 0.99} {
			withStore, withoutStore, ratio := quantiles(q)
			fmt.Printf("%-8s %4d requests each: set-up time quantile %.2f with a store %v, without %v, ratio %.2f\n", mode, n, q, withStore, withoutStore, ratio)
		}
	}
	relay.shutDown()
	relayWithoutStore.shutDown()
}
