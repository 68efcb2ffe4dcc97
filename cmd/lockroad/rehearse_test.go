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

// TestRehearse plays the three commonest faults against builds of the program and prints how long clients wait until they are
// served again. It measures and judges nothing:
//
//	LOCKROAD_REHEARSE="before=/path/to/lockroad after=bin/lockroad" go test -run Rehearse -v ./cmd/lockroad
func TestRehearse(t *testing.T) {
	builds := builds()
	if len(builds) == 0 {
		t.Skip("LOCKROAD_REHEARSE names no builds")
	}
	const runs = 5
	for _, trouble := range []string{"one of six hangs for 6 s", "53% drop and come again", "one of six is gone, the list 9 s behind",
		"four relays: one of six hangs for 6 s", "four relays restart one after another"} {
		for _, build := range builds {
			t.Run(trouble+"/"+build.name, func(t *testing.T) {
				t.Parallel()
				var waits []time.Duration
				unserved, moves := 0, 0
				for seed := range uint64(runs) {
					w, n, m := rehearse(t, build.program, trouble, seed)
					waits, unserved, moves = append(waits, w...), unserved+n, moves+m
				}
				slices.Sort(waits)
				at := func(q float64) time.Duration { return waits[int(q*float64(len(waits)-1))].Round(time.Millisecond) }
				fmt.Printf("%-40s %-8s clients %4d  median %v  95%% %v  longest %v  not served %d  moves %d\n", trouble, build.name, len(waits), at(0.5), at(0.95), at(1), unserved, moves)
			})
		}
	}
}

// relayEnv returns the environment of a relay, by its number: with a store of its own, if the cluster's relays have one.
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

// startRelays starts several relays behind a balancer. addresses are those of their line frontends.
func startRelays(t *testing.T, cluster *testCluster, classes []fake.Class, relays int) (front *roundRobin, addresses []string, running []*process) {
	front, addresses, running = newRoundRobin(t), make([]string, relays), make([]*process, relays)
	for i := range addresses {
		addresses[i] = freeAddress(t)
		cluster.listen = addresses[i]
		cluster.writeConfigFor(classes, relays, i)
		running[i] = cluster.startProcess(cluster.relayEnv(i)...)
		front.add(t, addresses[i])
	}
	cluster.listen = front.Addr().String()
	return front, addresses, running
}

// restartRelays restarts the relays one after another.
func restartRelays(t *testing.T, cluster *testCluster, classes []fake.Class, front *roundRobin, addresses []string, running []*process) {
	for i, p := range running {
		p.shutDown()
		noticed := time.AfterFunc(failureDetectionTime, func() { front.drop(addresses[i]) })
		cluster.listen = addresses[i]
		cluster.writeConfigFor(classes, len(running), i)
		running[i] = cluster.startProcess(cluster.relayEnv(i)...)
		front.add(t, addresses[i])
		noticed.Stop()
	}
}

// rehearse plays one fault. It returns how long the clients waited that have lost their connection by it, or that came within 10 s
// of it, how many were not served by the end, and how many were migrated.
func rehearse(t *testing.T, program, trouble string, seed uint64) (waits []time.Duration, unserved, moves int) {
	cluster := newClusterOf(t, 6, nil)
	cluster.program = program
	relays := 1
	if strings.HasPrefix(trouble, "four") {
		relays = 4
	}
	front, addresses, running := startRelays(t, cluster, serviceClasses, relays)
	classes := slices.Clone(serviceClasses)
	for i := range classes {
		classes[i].MeanLifetime = 30 * time.Second
	}
	cluster.startClientsOf(10, classes, seed+1)
	time.Sleep(6 * time.Second)
	began := time.Now()
	bad := cluster.site.Servers[int(seed)%6]
	switch {
	case strings.Contains(trouble, "hangs"):
		bad.SetMode(fake.ModeHang, 0)
		time.AfterFunc(6*time.Second, func() { bad.SetMode(fake.ModeAccept, 0) })
	case strings.Contains(trouble, "gone"):
		bad.Stop()
		time.AfterFunc(9*time.Second, func() { cluster.site.Discovery.SetState(bad.Name, "gone", false) })
	case strings.Contains(trouble, "drop"):
		cluster.site.Clients.Drop(0.53)
	default:
		restartRelays(t, cluster, serviceClasses, front, addresses, running)
	}
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	cluster.stopClients()
	for _, p := range running {
		p.kill()
	}
	at := make(map[string]bool) // transactions at the bad server
	for _, attempt := range cluster.site.Log.Attempts() {
		at[attempt.Name] = at[attempt.Name] || attempt.Endpoint == bad.Name && attempt.Answer == "up"
	}
	flows := make(map[string][]fake.Session)
	for _, session := range cluster.site.Log.Sessions() {
		flows[session.Flow] = append(flows[session.Flow], session)
	}
	for _, visits := range flows {
		slices.SortFunc(visits, func(x, y fake.Session) int { return cmp.Compare(x.At.UnixNano(), y.At.UnixNano()) })
		since := visits[0].At // not served since then
		for _, session := range visits {
			if session.End == "moved" && session.At.Add(session.SetupTime+session.EstablishedFor).After(began) {
				moves++
			}
			if session.Answer != "up" {
				continue
			}
			up := session.At.Add(session.SetupTime)
			if since.After(began) {
				waits = append(waits, up.Sub(since))
			}
			since = time.Time{}
			if end := up.Add(session.EstablishedFor); session.End != "left" && session.End != "bye" {
				if since = end; strings.Contains(trouble, "hangs") && at[session.Name] && up.Before(began) && end.After(began) {
					since = began.Add(time.Nanosecond) // it stood at a server that answered nothing
				}
			}
		}
		if since.After(began) && since.Before(began.Add(8*time.Second)) {
			unserved++
		}
	}
	return waits, unserved, moves
}

// weightedClasses are the operators' classes, with what they ask of an endpoint: 82 ms of work a second on average.
var weightedClasses = []fake.Class{
	{Name: "page-render", Share: 0.35, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 20 * time.Second},
	{Name: "part-extract", Share: 0.30, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 40 * time.Second, LatencyObjective: 50 * time.Millisecond},
	{Name: "live-preview", Share: 0.27, TimeLimit: 2 * time.Second, MeanLifetime: 40 * time.Second, LatencyObjective: 60 * time.Millisecond},
	{Name: "print-export", Share: 0.08, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 13 * time.Second},
}

var classWeights = map[string]float64{"page-render": 5, "part-extract": 2, "live-preview": 1, "print-export": 5}

const messageInterval = 250 * time.Millisecond

// TestRehearseWorth plays the bench's weakest scenarios with endpoints that have a capacity, and prints what part of the weight
// asked for was served and where the rest was lost: at the faulty endpoint, at others, or on the way to one. It measures and judges
// nothing:
//
//	LOCKROAD_REHEARSE="before=/path/to/lockroad after=bin/lockroad" go test -run RehearseWorth -v ./cmd/lockroad
//
// A build called warm has a store; LOCKROAD_SCENE names a single scene.
func TestRehearseWorth(t *testing.T) {
	builds := builds()
	if len(builds) == 0 {
		t.Skip("LOCKROAD_REHEARSE names no builds")
	}
	const runs = 6
	only := os.Getenv("LOCKROAD_SCENE")
	for _, trouble := range []string{"nothing happens", "one of six hangs for 6 s", "the relays restart", "one restarts and is cold"} {
		if only != "" && only != trouble {
			continue
		}
		for _, build := range builds {
			t.Run(trouble+"/"+build.name, func(t *testing.T) {
				t.Parallel()
				var all []lostWeight
				for seed := range uint64(runs) {
					all = append(all, rehearseWorth(t, build.program, trouble, seed, strings.HasPrefix(build.name, "warm")))
				}
				slices.SortFunc(all, func(x, y lostWeight) int { return cmp.Compare(x.served, y.served) })
				for _, l := range all {
					fmt.Printf("%-26s %-8s served %.3f  lost at the one in trouble %.3f, at others %.3f, on the way %.3f  moves %d of %d\n", trouble, build.name, l.served, l.there, l.others, l.way, l.moves, l.clients)
				}
			})
		}
	}
}

// lostWeight is where the weight asked for was served or lost, in parts of it.
type lostWeight struct {
	served, there, others, way float64
	moves, clients             int
}

func rehearseWorth(t *testing.T, program, trouble string, seed uint64, warm bool) (l lostWeight) {
	bears := fake.Capacity{WorkRate: 1700 * time.Millisecond, GroupWork: 160 * time.Millisecond, MessageTime: 4 * time.Millisecond, InitialShare: 0.12, SlowStartDuration: 5 * time.Second, ReportThreshold: 17 * time.Millisecond,
		ClassWork: map[string]time.Duration{"page-render": 40 * time.Millisecond, "part-extract": 14 * time.Millisecond, "live-preview": 240 * time.Millisecond, "print-export": 120 * time.Millisecond}}
	cluster := newClusterOf(t, 6, func(one *fake.Server) {
		one.Capacity, one.ExtraListeners, one.Load = bears, make([]string, 3), 0
		if one.Name == "s-3" || one.Name == "s-5" { // a third are slow machines
			one.Capacity.WorkRate = 1200 * time.Millisecond
		}
	})
	cluster.program, cluster.killAfter, cluster.withStore = program, 3700*time.Millisecond, warm
	front, addresses, running := startRelays(t, cluster, weightedClasses, 4)
	cluster.runClients(&fake.ClientPool{Classes: weightedClasses, Rate: 9, Groups: 12, MessageInterval: messageInterval, MaxClients: 150, Seed: seed + 1})
	time.Sleep(4 * time.Second) // 36 clients that stand, which fill the farm to 0.6 with their groups
	cluster.site.Clients.SetRate(1.3)
	time.Sleep(4 * time.Second)
	began := time.Now()
	bad := cluster.site.Servers[int(seed)%6]
	switch trouble {
	case "one of six hangs for 6 s":
		bad.SetMode(fake.ModeHang, 0)
		time.AfterFunc(6*time.Second, func() { bad.SetMode(fake.ModeAccept, 0) })
	case "the relays restart":
		restartRelays(t, cluster, weightedClasses, front, addresses, running)
	case "one restarts and is cold":
		bad.Stop()
		time.AfterFunc(2*time.Second, func() {
			_ = bad.Start(bad.LineAddress(), "")
			time.AfterFunc(time.Second, func() { cluster.site.SetState(bad.Name, "ready", true) })
		})
	}
	time.Sleep(time.Until(began.Add(15 * time.Second)))
	over := time.Now()
	cluster.stopClients()
	for _, p := range running {
		p.kill()
	}
	at := make(map[string]string)
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Answer == "up" {
			at[attempt.Name] = attempt.Endpoint
		}
	}
	asked := 0.0
	came, left := make(map[string]fake.Session), make(map[string]time.Time)
	stood := make(map[string]time.Duration)
	for _, session := range cluster.site.Log.Sessions() {
		if first, ok := came[session.Flow]; !ok || session.At.Before(first.At) {
			came[session.Flow] = session
		}
		end := session.At.Add(session.SetupTime + session.EstablishedFor)
		if session.End != "left" {
			end = over // it wants more
		}
		if left[session.Flow].Before(end) {
			left[session.Flow] = end
		}
		if session.End == "moved" {
			l.moves++
		}
		stood[session.Flow] += session.EstablishedFor
		w := classWeights[session.Class]
		l.served += w * float64(session.Echoes-session.LateEchoes) * messageInterval.Seconds()
		bare := w * float64(session.LateEchoes+session.MissingEchoes) * messageInterval.Seconds()
		if at[session.Name] == bad.Name {
			l.there += bare
		} else {
			l.others += bare
		}
	}
	for flow, first := range came {
		wanted := min(left[flow].Sub(first.At), over.Sub(first.At))
		asked += classWeights[first.Class] * wanted.Seconds()
		l.way += classWeights[first.Class] * max(0, wanted-stood[flow]).Seconds()
	}
	l.clients = len(came)
	l.served, l.there, l.others, l.way = l.served/asked, l.there/asked, l.others/asked, l.way/asked
	return l
}

// TestRehearseStore prints what a store adds to a client's wait: the same requests by turns through a relay that has one and one that
// has not, first such that nothing of them is saved, then such that all are, as all endpoints are full. It measures and judges
// nothing.
func TestRehearseStore(t *testing.T) {
	if os.Getenv("LOCKROAD_REHEARSE") == "" {
		t.Skip("LOCKROAD_REHEARSE names no builds")
	}
	cluster, _, env := newClusterWithStore(t)
	second := newCluster(t)
	bare := filepath.Join(cluster.dir, "bare.toml")
	if err := os.WriteFile(bare, []byte("[why]\nbytes = 2097152\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	with, without := cluster.startProcess(env), second.startProcess("LOCKROAD_OPERATOR="+bare)
	with.awaitReady()
	without.awaitReady()
	for _, mode := range []fake.ServerMode{fake.ModeAccept, fake.ModeBusy} {
		var waits [2][]time.Duration
		for i, one := range []*testCluster{cluster, second} {
			for _, server := range one.site.Servers {
				server.SetupTime = 0
				server.SetMode(mode, 0)
			}
			one.site.Clients = &fake.ClientPool{Log: one.site.Log, LineAddress: one.listen, MaxClients: 5, Seed: uint64(i + 1)}
			one.site.Clients.Prepare()
		}
		n := 2000
		if mode == fake.ModeBusy {
			n = 40 // each takes its three tries and their pauses
		}
		for range n {
			for i, one := range []*testCluster{cluster, second} {
				session := one.site.Clients.RunSession(t.Context(), "line", serviceClasses[0], "1", time.Millisecond)
				waits[i] = append(waits[i], session.SetupTime)
			}
		}
		for i := range waits {
			slices.Sort(waits[i])
		}
		at := func(q float64) (a, b time.Duration, r float64) {
			a, b = waits[0][int(q*float64(n-1))], waits[1][int(q*float64(n-1))]
			return a, b, float64(a) / float64(b)
		}
		for _, q := range []float64{0.5, 0.99} {
			a, b, r := at(q)
			fmt.Printf("%-8s %4d openings each: quantile %.2f with a store %v, without %v, ratio %.2f\n", mode, n, q, a, b, r)
		}
	}
	with.shutDown()
	without.shutDown()
}
