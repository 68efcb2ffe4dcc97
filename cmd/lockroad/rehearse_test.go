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

// TestRehearse plays the three commonest troubles against builds of the program and tells how
// long clients wait until they are served again. It measures and judges nothing:
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

// env is what a relay is started with, by its number: with a store of its own, if the service is to be warm.
func (s *service) env(relay int) []string {
	if !s.warm {
		return nil
	}
	folder := filepath.Join(s.folder, fmt.Sprintf("kept-%d", relay))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Fatal(err)
	}
	operator := folder + ".toml"
	if err := os.WriteFile(operator, fmt.Appendf(nil, "[store]\ndir = %q\n", folder), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return []string{"LOCKROAD_OPERATOR=" + operator}
}

// farmOf starts relays of a build behind a spreader, as processes.
func farmOf(t *testing.T, s *service, classes []fake.Class, relays int) (front *spreader, doors []string, running []*process) {
	front, doors, running = newSpreader(t), make([]string, relays), make([]*process, relays)
	for i := range doors {
		doors[i] = free(t)
		s.listen = doors[i]
		s.writeFor(classes, relays, i)
		running[i] = s.start(s.env(i)...)
		front.add(t, doors[i])
	}
	s.listen = front.Addr().String()
	return front, doors, running
}

// restart restarts the relays one after another.
func restart(t *testing.T, s *service, classes []fake.Class, front *spreader, doors []string, running []*process) {
	for i, p := range running {
		p.leave()
		noticed := time.AfterFunc(noticeAfter, func() { front.drop(doors[i]) })
		s.listen = doors[i]
		s.writeFor(classes, len(running), i)
		running[i] = s.start(s.env(i)...)
		front.add(t, doors[i])
		noticed.Stop()
	}
}

// rehearse plays one trouble. It returns how long the clients waited that it has cost their
// connection, or that came within 10 s of it, how many were not served by the end, and how
// many were moved.
func rehearse(t *testing.T, program, trouble string, seed uint64) (waits []time.Duration, unserved, moves int) {
	s := newServiceOf(t, 6, nil)
	s.program = program
	relays := 1
	if strings.HasPrefix(trouble, "four") {
		relays = 4
	}
	front, doors, running := farmOf(t, s, serviceClasses, relays)
	classes := slices.Clone(serviceClasses)
	for i := range classes {
		classes[i].MeanLifetime = 30 * time.Second
	}
	s.crowdOf(10, classes, seed+1)
	time.Sleep(6 * time.Second)
	began := time.Now()
	bad := s.site.Servers[int(seed)%6]
	switch {
	case strings.Contains(trouble, "hangs"):
		bad.Set(fake.ModeHang, 0)
		time.AfterFunc(6*time.Second, func() { bad.Set(fake.ModeAccept, 0) })
	case strings.Contains(trouble, "gone"):
		bad.Stop()
		time.AfterFunc(9*time.Second, func() { s.site.Discovery.SetState(bad.Name, "gone", false) })
	case strings.Contains(trouble, "drop"):
		s.site.Clients.Drop(0.53)
	default:
		restart(t, s, serviceClasses, front, doors, running)
	}
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	s.left()
	for _, p := range running {
		p.kill()
	}
	at := make(map[string]bool) // transactions at the bad server
	for _, pass := range s.site.Log.Attempts() {
		at[pass.Name] = at[pass.Name] || pass.Server == bad.Name && pass.Answer == "up"
	}
	flows := make(map[string][]fake.Session)
	for _, v := range s.site.Log.Sessions() {
		flows[v.Flow] = append(flows[v.Flow], v)
	}
	for _, visits := range flows {
		slices.SortFunc(visits, func(x, y fake.Session) int { return cmp.Compare(x.At.UnixNano(), y.At.UnixNano()) })
		since := visits[0].At // not served since then
		for _, v := range visits {
			if v.End == "moved" && v.At.Add(v.SetupTime+v.Established).After(began) {
				moves++
			}
			if v.Answer != "up" {
				continue
			}
			up := v.At.Add(v.SetupTime)
			if since.After(began) {
				waits = append(waits, up.Sub(since))
			}
			since = time.Time{}
			if end := up.Add(v.Established); v.End != "left" && v.End != "bye" {
				if since = end; strings.Contains(trouble, "hangs") && at[v.Name] && up.Before(began) && end.After(began) {
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

// The operators' classes, with what they ask of a server: 82 ms of work a second on average.
var weighty = []fake.Class{
	{Name: "page-render", Share: 0.35, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 20 * time.Second},
	{Name: "part-extract", Share: 0.30, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 40 * time.Second, LatencyObjective: 50 * time.Millisecond},
	{Name: "live-preview", Share: 0.27, TimeLimit: 2 * time.Second, MeanLifetime: 40 * time.Second, LatencyObjective: 60 * time.Millisecond},
	{Name: "print-export", Share: 0.08, TimeLimit: 4800 * time.Millisecond, MeanLifetime: 13 * time.Second},
}

var worth = map[string]float64{"page-render": 5, "part-extract": 2, "live-preview": 1, "print-export": 5}

const noteEvery = 250 * time.Millisecond

// TestRehearseWorth plays the bench's weakest days with servers that have a capacity, and tells what part of the
// worth asked for was served and where the rest went: at the server in trouble, at others, or on
// the way to a server. It measures and judges nothing:
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
				var all []lost
				for seed := range uint64(runs) {
					all = append(all, rehearseWorth(t, build.program, trouble, seed, strings.HasPrefix(build.name, "warm")))
				}
				slices.SortFunc(all, func(x, y lost) int { return cmp.Compare(x.served, y.served) })
				for _, l := range all {
					fmt.Printf("%-26s %-8s served %.3f  lost at the one in trouble %.3f, at others %.3f, on the way %.3f  moves %d of %d\n", trouble, build.name, l.served, l.there, l.others, l.way, l.moves, l.clients)
				}
			})
		}
	}
}

// lost tells where the worth asked for went, in parts of it.
type lost struct {
	served, there, others, way float64
	moves, clients             int
}

func rehearseWorth(t *testing.T, program, trouble string, seed uint64, warm bool) (l lost) {
	bears := fake.Capacity{Work: 1700 * time.Millisecond, Group: 160 * time.Millisecond, Message: 4 * time.Millisecond, ColdShare: 0.12, ColdFor: 5 * time.Second, ReportOver: 17 * time.Millisecond,
		Classes: map[string]time.Duration{"page-render": 40 * time.Millisecond, "part-extract": 14 * time.Millisecond, "live-preview": 240 * time.Millisecond, "print-export": 120 * time.Millisecond}}
	s := newServiceOf(t, 6, func(one *fake.Server) {
		one.Capacity, one.ExtraListeners, one.Load = bears, make([]string, 3), 0
		if one.Name == "s-3" || one.Name == "s-5" { // a third are slow machines
			one.Capacity.Work = 1200 * time.Millisecond
		}
	})
	s.program, s.patience, s.warm = program, 3700*time.Millisecond, warm
	front, doors, running := farmOf(t, s, weighty, 4)
	s.come(&fake.ClientPool{Classes: weighty, Rate: 9, Groups: 12, MessageInterval: noteEvery, MaxClients: 150, Seed: seed + 1})
	time.Sleep(4 * time.Second) // 36 clients that stand, which fill the farm to 0.6 with their groups
	s.site.Clients.SetRate(1.3)
	time.Sleep(4 * time.Second)
	began := time.Now()
	bad := s.site.Servers[int(seed)%6]
	switch trouble {
	case "one of six hangs for 6 s":
		bad.Set(fake.ModeHang, 0)
		time.AfterFunc(6*time.Second, func() { bad.Set(fake.ModeAccept, 0) })
	case "the relays restart":
		restart(t, s, weighty, front, doors, running)
	case "one restarts and is cold":
		bad.Stop()
		time.AfterFunc(2*time.Second, func() {
			_ = bad.Start(bad.Address(), "")
			time.AfterFunc(time.Second, func() { s.site.SetState(bad.Name, "ready", true) })
		})
	}
	time.Sleep(time.Until(began.Add(15 * time.Second)))
	over := time.Now()
	s.left()
	for _, p := range running {
		p.kill()
	}
	at := make(map[string]string)
	for _, pass := range s.site.Log.Attempts() {
		if pass.Answer == "up" {
			at[pass.Name] = pass.Server
		}
	}
	asked := 0.0
	came, left := make(map[string]fake.Session), make(map[string]time.Time)
	stood := make(map[string]time.Duration)
	for _, v := range s.site.Log.Sessions() {
		if first, ok := came[v.Flow]; !ok || v.At.Before(first.At) {
			came[v.Flow] = v
		}
		end := v.At.Add(v.SetupTime + v.Established)
		if v.End != "left" {
			end = over // it wants more
		}
		if left[v.Flow].Before(end) {
			left[v.Flow] = end
		}
		if v.End == "moved" {
			l.moves++
		}
		stood[v.Flow] += v.Established
		w := worth[v.Class]
		l.served += w * float64(v.Echoes-v.Late) * noteEvery.Seconds()
		bare := w * float64(v.Late+v.Missed) * noteEvery.Seconds()
		if at[v.Name] == bad.Name {
			l.there += bare
		} else {
			l.others += bare
		}
	}
	for flow, first := range came {
		wanted := min(left[flow].Sub(first.At), over.Sub(first.At))
		asked += worth[first.Class] * wanted.Seconds()
		l.way += worth[first.Class] * max(0, wanted-stood[flow]).Seconds()
	}
	l.clients = len(came)
	l.served, l.there, l.others, l.way = l.served/asked, l.there/asked, l.others/asked, l.way/asked
	return l
}

// TestRehearseStore tells what a store adds to a client's wait: the same openings by turns through a relay that has one and
// one that has not, first such that nothing of them is kept, then such that all are, as all servers are full. It
// measures and judges nothing.
func TestRehearseStore(t *testing.T) {
	if os.Getenv("LOCKROAD_REHEARSE") == "" {
		t.Skip("LOCKROAD_REHEARSE names no builds")
	}
	s, _, env := kept(t)
	second := newService(t)
	bare := filepath.Join(s.folder, "bare.toml")
	if err := os.WriteFile(bare, []byte("[why]\nbytes = 2097152\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	with, without := s.start(env), second.start("LOCKROAD_OPERATOR="+bare)
	with.ready()
	without.ready()
	for _, mode := range []fake.ServerMode{fake.ModeAccept, fake.ModeBusy} {
		var waits [2][]time.Duration
		for i, one := range []*service{s, second} {
			for _, server := range one.site.Servers {
				server.SetupTime = 0
				server.Set(mode, 0)
			}
			one.site.Clients = &fake.ClientPool{Log: one.site.Log, LineAddress: one.listen, MaxClients: 5, Seed: uint64(i + 1)}
			one.site.Clients.Prepare()
		}
		n := 2000
		if mode == fake.ModeBusy {
			n = 40 // each takes its three tries and their pauses
		}
		for range n {
			for i, one := range []*service{s, second} {
				v := one.site.Clients.RunSession(t.Context(), "line", serviceClasses[0], "1", time.Millisecond)
				waits[i] = append(waits[i], v.SetupTime)
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
	with.leave()
	without.leave()
}
