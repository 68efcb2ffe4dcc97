package balancer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// This file makes the sequences that replay_test.go replays, and runs with -record only. It simulates clients and endpoints
// in a few words: enough to answer what the Balancer asks for, and to bring about every kind of failure.

// replayScenario is what one recorded file holds.
type replayScenario struct {
	name        string
	servers     int
	inputs      int
	digestEvery int // inputs a digest; 0: the answers are written in full
	settings    []string
	observed    bool
	throughLoop bool
	rate        float64       // requests a second
	outageEvery time.Duration // between two outages, on average; 0: 9 s
}

// commonSettings are settings that all scenarios share, but for those they give themselves.
const commonSettings = "attempts=3 tick=5000000 connect=200000000 retryafter=4000000000 coldshare=0.2 coldfor=20000000000 " +
	"tipmultiple=3 tipafter=1500000000 askevery=10000000000 "

var replayScenarios = []replayScenario{
	{name: "five-servers-in-full", servers: 5, inputs: 3000, rate: 25, settings: []string{
		"relays=1 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=2 zone=0 ask=false crosszone=0 tellsload=false tellsdelay=true",
	}},
	{name: "decisions-in-full", servers: 6, inputs: 1300, rate: 30, observed: true, settings: []string{
		"relays=8 zone=1 ask=true crosszone=0.5 tellsload=true tellsdelay=true",
	}},
	{name: "lists-asked-for", servers: 12, inputs: 8000, digestEvery: 50, rate: 30, observed: true, settings: []string{
		"relays=8 zone=1 ask=true crosszone=0.5 tellsload=true tellsdelay=true",
		"relays=9 zone=1 ask=true crosszone=0 tellsload=true tellsdelay=false",
	}},
	{name: "sixty-servers", servers: 60, inputs: 8000, digestEvery: 50, rate: 45, settings: []string{
		"relays=9 zone=1 ask=false crosszone=0.3 tellsload=true tellsdelay=true",
		"relays=8 zone=2 ask=false crosszone=0 tellsload=false tellsdelay=false",
	}},
	{name: "large-fleet", servers: 230, inputs: 7500, digestEvery: 50, rate: 80, settings: []string{
		"relays=300 zone=2 ask=false crosszone=0.3 tellsload=true tellsdelay=true",
		"relays=1 zone=2 ask=false crosszone=0 tellsload=true tellsdelay=true",
	}},
	{name: "large-fleet-observed", servers: 90, inputs: 6000, digestEvery: 50, rate: 70, observed: true, settings: []string{
		"relays=8 zone=0 ask=true crosszone=0 tellsload=true tellsdelay=true",
	}},
	{name: "crowd", servers: 20, inputs: 6000, digestEvery: 50, rate: 500, observed: true, outageEvery: 1500 * time.Millisecond, settings: []string{
		"relays=1 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
	}},
	{name: "restarts-seen-by-many", servers: 20, inputs: 6000, digestEvery: 50, rate: 8, settings: []string{
		"relays=300 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=40 zone=1 ask=false crosszone=0.2 tellsload=true tellsdelay=true",
	}},
	{name: "facade", servers: 9, inputs: 5000, digestEvery: 50, rate: 40, throughLoop: true, settings: []string{
		"relays=1 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=9 zone=1 ask=false crosszone=0.4 tellsload=true tellsdelay=true",
	}},
	{name: "few-requests-of-one-relay", servers: 20, inputs: 5000, digestEvery: 50, rate: 2, settings: []string{
		"relays=9 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=30 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
	}},
}

var recordedClasses = []string{
	"name=web aim=500000000 deadline=2000000000 effect=idempotent scope=all memory=0 messageaim=100000000",
	"name=orders aim=500000000 deadline=3000000000 effect=deduplicated scope=all memory=1500000000 messageaim=200000000",
	"name=zoned aim=300000000 deadline=2500000000 effect=deduplicated scope=zone memory=1000000000 messageaim=100000000",
	"name=celled aim=300000000 deadline=2500000000 effect=deduplicated scope=cell memory=2000000000 messageaim=0",
	"name=once aim=800000000 deadline=4000000000 effect=once scope=all memory=0 messageaim=300000000",
}

func recordScenarios(t *testing.T) {
	if err := os.MkdirAll(replayFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for i, s := range replayScenarios {
		r := &scenarioRecorder{t: t, replayScenario: s, player: newReplayer(), rng: rand.New(rand.NewPCG(uint64(i), 77)),
			now: time.Hour, clients: make(map[string]*recordedClient), started: make(map[int]time.Duration)}
		r.run()
		name := filepath.Join(replayFolder, s.name+".txt")
		if err := os.WriteFile(name, []byte(r.text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d inputs, %d bytes", name, r.inputs, r.text.Len())
	}
}

// scenarioRecorder simulates the environment of a Balancer or Loop and writes down what passes between them.
type scenarioRecorder struct {
	t *testing.T
	replayScenario
	player *replayer
	rng    *rand.Rand
	text   strings.Builder
	block  []string
	inputs int

	now             time.Duration
	schedule        stepHeap
	sequence        int
	clients         map[string]*recordedClient
	lastClient      int
	currentSettings int // settings in force
	servers         []recordedEndpoint
	started         map[int]time.Duration
	restarted       bool
}

type recordedEndpoint struct {
	state     string // as listed
	health    string // well, slow, full, broken, dead, leaving
	startedAt time.Duration
}

type recordedClient struct {
	name        string
	endpoint    int
	attempt     int // grows with each; 0 before the first
	established bool
	group       int
	deadline    time.Duration
}

type scheduledStep struct {
	at       time.Duration
	sequence int
	do       func()
}

type stepHeap []scheduledStep

func (h stepHeap) Len() int { return len(h) }
func (h stepHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any)   { *h = append(*h, x.(scheduledStep)) }
func (h *stepHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *scenarioRecorder) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.schedule, scheduledStep{r.now + d, r.sequence, do})
}

// every does something again and again, at times that vary around a period.
func (r *scenarioRecorder) every(period time.Duration, do func()) {
	r.after(r.jitter(period), func() { do(); r.every(period, do) })
}

func (r *scenarioRecorder) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + r.rng.Float64()) * float64(d)).Truncate(time.Microsecond)
}

func (r *scenarioRecorder) chance(of float64) bool { return r.rng.Float64() < of }

// write plays an input and writes it down with what it brought; it returns the latter.
func (r *scenarioRecorder) write(line string) []string {
	out := slices.Clone(r.player.replay(r.t, line))
	r.inputs++
	fmt.Fprintln(&r.text, line)
	if r.digestEvery == 0 {
		for _, o := range out {
			fmt.Fprintln(&r.text, ">", o)
		}
		return out
	}
	r.block = append(append(r.block, line), out...)
	if r.inputs%r.digestEvery == 0 {
		r.writeDigest()
	}
	return out
}

func (r *scenarioRecorder) writeDigest() {
	if len(r.block) > 0 {
		fmt.Fprintln(&r.text, "%", digest(r.block))
		r.block = r.block[:0]
	}
}

// input writes an input of now, and does what it brought.
func (r *scenarioRecorder) input(format string, args ...any) {
	for _, o := range r.write(fmt.Sprintf("%d ", int64(r.now)) + fmt.Sprintf(format, args...)) {
		r.react(strings.Fields(o))
	}
}

func number(word string) int {
	n, _ := strconv.Atoi(word)
	return n
}

// react does what an action or a step wants.
func (r *scenarioRecorder) react(words []string) {
	switch words[0] {
	case "send":
		r.attempt(r.clients[words[1]], number(words[2]), time.Duration(number(words[3])))
	case "refuse", "fail", "move":
		r.finish(r.clients[words[1]])
	case "timer":
		r.after(time.Duration(number(words[2])), func() { r.input("timer %s", words[1]) })
	case "watch":
		r.after(r.jitter(40*time.Millisecond), func() {
			switch {
			case r.chance(0.2):
				r.input("list failed")
			case r.chance(0.2):
				r.input("list full%s", r.listed(0, len(r.servers)))
			default:
				r.input("list delta%s", r.listed(r.rng.IntN(len(r.servers)-2), r.rng.IntN(3)))
			}
		})
	case "step":
		client := r.clients[words[1]]
		if client == nil {
			return // the step and the client that left have crossed
		}
		switch words[2] {
		case "pass":
			r.attempt(client, number(words[3]), time.Duration(number(words[4])))
		case "unavailable", "failed", "move", "over":
			r.finish(client)
		}
	}
}

// finish ends a request of a client; some clients return.
func (r *scenarioRecorder) finish(client *recordedClient) {
	if client == nil || r.clients[client.name] != client {
		return
	}
	delete(r.clients, client.name)
	if r.chance(0.3) {
		r.after(r.jitter(400*time.Millisecond), func() { r.request(client.group, true) })
	}
}

func (r *scenarioRecorder) current(client *recordedClient, attempt int) bool {
	return r.clients[client.name] == client && client.attempt == attempt
}

// attempt simulates an attempt at an endpoint.
func (r *scenarioRecorder) attempt(client *recordedClient, server int, patience time.Duration) {
	client.endpoint = server
	client.attempt++
	nth := client.attempt
	takes, how := r.jitter(30*time.Millisecond), "up"
	health := r.servers[server-1].health
	switch {
	case health == "slow":
		takes = r.jitter(900 * time.Millisecond)
	case health == "full" && r.chance(0.8):
		how = "full"
	case health == "broken" && r.chance(0.8):
		how = "error"
	case health == "dead":
		takes, how = 200*time.Millisecond, "connect"
	case r.chance(0.04):
		how = []string{"error", "reset", "cancelled", "moot", "away", "full"}[r.rng.IntN(6)]
	case r.chance(0.01):
		takes = 10 * time.Second
	}
	if patience > 0 && takes >= patience {
		takes, how = patience, "timeout"
	} else if left := client.deadline - r.now; takes >= left+50*time.Millisecond {
		takes, how = max(0, left)+50*time.Millisecond, "left"
	}
	r.after(takes, func() {
		if !r.current(client, nth) || client.established {
			return
		}
		switch how {
		case "up":
			r.establish(client, takes)
		case "left":
			r.leave(client)
		default:
			r.ended(client, how, false)
		}
	})
}

func (r *scenarioRecorder) establish(client *recordedClient, took time.Duration) {
	client.established = true
	nth := client.attempt
	if r.throughLoop {
		r.input("stands %s %d", client.name, int64(took))
	} else {
		r.input("standing %s %d %d", client.name, client.endpoint, int64(took))
	}
	if r.chance(0.3) {
		r.after(r.jitter(300*time.Millisecond), func() {
			if r.current(client, nth) {
				r.load(client)
			}
		})
	}
	r.after(r.jitter(time.Duration(1+8*r.rng.ExpFloat64())*time.Second), func() {
		if !r.current(client, nth) {
			return
		}
		if r.chance(0.2) {
			r.leave(client)
			return
		}
		how := "ok"
		if r.chance(0.1) {
			how = []string{"reset", "error", "away", "timeout"}[r.rng.IntN(4)]
		}
		if r.servers[client.endpoint-1].health == "leaving" {
			how = "away"
		}
		r.ended(client, how, true)
	})
}

func (r *scenarioRecorder) load(client *recordedClient) {
	load := formatFloat(0.01 * r.rng.ExpFloat64())
	if r.throughLoop {
		r.input("load %s %s", client.name, load)
		return
	}
	r.input("load %s %d %s", client.name, client.endpoint, load)
}

func (r *scenarioRecorder) ended(client *recordedClient, how string, over bool) {
	if over {
		defer r.finish(client)
	} else if client.attempt > 0 {
		client.attempt++ // what is scheduled for this attempt no longer counts
	}
	if r.throughLoop {
		r.input("ended %s %s", client.name, how)
		return
	}
	r.input("outcome %s %d %s %t", client.name, client.endpoint, how, over)
}

func (r *scenarioRecorder) leave(client *recordedClient) {
	defer r.finish(client)
	r.input("left %s", client.name)
}

// request sends a request of a client.
func (r *scenarioRecorder) request(group int, back bool) {
	r.lastClient++
	deadline := time.Duration(1+r.rng.IntN(3))*time.Second + r.jitter(100*time.Millisecond)
	client := &recordedClient{name: strconv.Itoa(r.lastClient), group: group, deadline: r.now + deadline}
	r.clients[client.name] = client
	item, load, under := 0, "0", "-"
	if r.chance(0.3) {
		item = 1 + r.rng.IntN(40)
	}
	if r.chance(0.3) {
		load = formatFloat(0.01 * r.rng.ExpFloat64())
	}
	if r.chance(0.1) {
		under = strconv.Itoa(r.rng.IntN(len(r.settings)))
	}
	class := r.rng.IntN(len(recordedClasses))
	if r.chance(0.005) {
		class = len(recordedClasses) // there is none of that number
	}
	resumed := r.chance(0.03)
	at := 1 + r.rng.IntN(len(r.servers))
	if resumed {
		client.established, client.endpoint = true, at
		nth := client.attempt
		r.after(r.jitter(5*time.Second), func() {
			if r.current(client, nth) {
				r.ended(client, "ok", true)
			}
		})
	}
	if r.throughLoop {
		open := "-"
		if resumed {
			open = strconv.Itoa(at)
		}
		r.input("pick %s %d %d %d %d %s %t %s %s", client.name, class, item, group, int64(client.deadline), load, back, under, open)
		return
	}
	request := fmt.Sprintf("%s %d %d %d %d %s %t %s", client.name, class, item, group, int64(deadline), load, back, under)
	if resumed {
		r.input("resumed %d %s", at, request)
	} else {
		r.input("request %s", request)
	}
}

// listed writes n endpoints as a list does, from the first given.
func (r *scenarioRecorder) listed(first, n int) string {
	var text strings.Builder
	for i := first; i < first+n; i++ {
		s := r.servers[i]
		weight := formatFloat([]float64{1, 1, 2, 0.5, 1.3}[i%5])
		fmt.Fprintf(&text, " %d:%s:%d:%d:%s:%d", i+1, s.state, i%3, i%6, weight, int64(s.startedAt))
	}
	return text.String()
}

func (r *scenarioRecorder) list(kind string, first, n int) {
	if r.throughLoop {
		r.input("farm %s %d%s", kind, r.inputs, r.listed(first, n))
		return
	}
	r.input("list %s%s", kind, r.listed(first, n))
}

// injectFault changes the health of an endpoint, and updates the list a little later.
func (r *scenarioRecorder) injectFault() {
	i := r.rng.IntN(len(r.servers))
	s := &r.servers[i]
	heal := func(after time.Duration) { r.after(r.jitter(after), func() { r.servers[i].health = "well" }) }
	tell := func(after time.Duration, state string) {
		r.after(r.jitter(after), func() {
			s := &r.servers[i]
			if s.state = state; state == "ready" {
				s.health = "well"
			}
			r.list("delta", i, 1)
		})
	}
	switch r.rng.IntN(6) {
	case 0:
		s.health = "slow"
		heal(4 * time.Second)
	case 1:
		s.health = "full"
		heal(3 * time.Second)
	case 2:
		s.health = "broken"
		heal(3 * time.Second)
	case 3: // it drains, stops and restarts
		s.health = "leaving"
		tell(500*time.Millisecond, "draining")
		tell(6*time.Second, "gone")
		r.after(9*time.Second, func() { r.servers[i].startedAt = r.now })
		tell(19*time.Second, "ready")
	default: // it crashes and restarts
		s.health = "dead"
		tell(time.Second, "gone")
		r.after(3*time.Second, func() { r.servers[i].startedAt = r.now })
		tell(7*time.Second, "ready")
	}
}

// outage makes a third of the endpoints slow, broken or dead at once.
func (r *scenarioRecorder) outage() {
	how := []string{"slow", "broken", "dead", "full", "slow"}[r.rng.IntN(5)]
	for i := range r.servers {
		if i%3 == 1 || how == "slow" && i%2 == 0 {
			r.servers[i].health = how
		}
	}
	r.after(r.jitter(2500*time.Millisecond), func() {
		for i := range r.servers {
			r.servers[i].health = "well"
		}
	})
}

func (r *scenarioRecorder) delays() {
	for range 1 + len(r.servers)/20 {
		i := r.rng.IntN(len(r.servers))
		delay := r.jitter(20 * time.Millisecond)
		switch r.servers[i].health {
		case "slow":
			delay = r.jitter(500 * time.Millisecond)
		case "full":
			delay = r.jitter(90 * time.Millisecond)
		}
		if r.throughLoop {
			r.input("delay %d %d", i+1, int64(delay))
		} else {
			r.input("delay 0 %d %d", i+1, int64(delay))
		}
	}
}

// restart takes a snapshot, and makes another Balancer restore it.
func (r *scenarioRecorder) restart() {
	if r.throughLoop {
		r.input("snapshot")
		r.input("restore")
		r.input("budget %s", formatFloat([]float64{0, 0.5, 1}[r.rng.IntN(3)]))
		return
	}
	r.input("views")
	r.input("avoided")
	r.input("advice")
	r.input("snapshot")
	if r.restarted {
		return
	}
	r.restarted = true
	r.input("renumber 3")
	open := r.clients
	r.clients, r.schedule = make(map[string]*recordedClient), nil
	r.input("start %d 5", r.currentSettings)
	if r.observed {
		r.input("observe")
	}
	r.list("cached", 0, len(r.servers))
	r.input("restore")
	names := make([]string, 0, len(open))
	for name, client := range open {
		if client.established {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		client := open[name]
		r.clients[name] = client
		r.input("resumed %d %s 0 0 %d 1000000000 0 false -", client.endpoint, name, client.group)
		nth := client.attempt
		r.after(r.jitter(4*time.Second), func() {
			if r.current(client, nth) {
				r.ended(client, "ok", true)
			}
		})
	}
	for i := range r.servers { // what was scheduled to change them is dropped
		r.servers[i].health, r.servers[i].state = "well", "ready"
	}
	r.startBackground()
}

// startBackground schedules what happens again and again.
func (r *scenarioRecorder) startBackground() {
	groups := 3 * len(r.servers)
	r.every(time.Duration(float64(time.Second)/r.rate), func() {
		group := 0
		if r.chance(0.7) {
			group = 1 + r.rng.IntN(groups)
		}
		r.request(group, r.chance(0.1))
	})
	r.every(60*time.Millisecond*time.Duration(1+r.replayScenario.servers/60), r.delays)
	r.every(3*time.Second/time.Duration(1+len(r.servers)/20), r.injectFault)
	r.every(cmp.Or(r.replayScenario.outageEvery, 9*time.Second), r.outage)
	r.every(11*time.Second, func() { r.list("full", 0, len(r.servers)) })
	r.every(14*time.Second, func() { r.list("failed", 0, 0) })
	r.every(4*time.Second, func() {
		r.currentSettings = r.rng.IntN(len(r.settings))
		if r.throughLoop {
			r.input("retune %d", r.currentSettings)
		} else {
			r.input("retuned %d", r.currentSettings)
		}
	})
	r.every(2*time.Second, func() { // a client disconnects, or its relay shuts down
		names := make([]string, 0, len(r.clients))
		for name := range r.clients {
			names = append(names, name)
		}
		if slices.Sort(names); len(names) == 0 {
			return
		}
		client := r.clients[names[r.rng.IntN(len(names))]]
		if r.chance(0.5) {
			r.leave(client)
			return
		}
		word := "dismissed"
		if r.throughLoop {
			word = "dismiss"
		}
		r.input("%s %s", word, client.name)
	})
	if r.replayScenario.outageEvery > 0 { // its effect on the concurrency limit shows in snapshots first
		r.every(300*time.Millisecond, func() { r.input("snapshot") })
	}
	if r.throughLoop {
		r.every(10*time.Millisecond, func() { r.input("tick") })
		r.every(3*time.Second, func() { r.input("pool"); r.input("views"); r.input("advice") })
	}
}

func (r *scenarioRecorder) run() {
	fmt.Fprintf(&r.text, "# recorded by TestReplayGivesTheSameActions -record\n")
	if r.digestEvery > 0 {
		fmt.Fprintf(&r.text, "digest %d\n", r.digestEvery)
	}
	for i, s := range r.settings {
		r.write(fmt.Sprintf("settings %d %s%s", i, commonSettings, s))
		for _, class := range recordedClasses {
			r.write(fmt.Sprintf("class %d %s", i, class))
		}
		r.write(fmt.Sprintf("tenant %d acme", i))
	}
	for range r.replayScenario.servers {
		r.servers = append(r.servers, recordedEndpoint{state: "ready", health: "well"})
	}
	if r.throughLoop {
		r.input("facade 0 3")
	} else {
		r.input("start 0 3")
		if r.observed {
			r.input("observe")
		}
		r.input("request 1000000 0 0 0 1000000000 0 false -") // before any list
	}
	r.list("full", 0, len(r.servers))
	r.startBackground()
	for r.inputs < r.replayScenario.inputs {
		d := heap.Pop(&r.schedule).(scheduledStep)
		r.now = max(r.now, d.at)
		d.do()
		if !r.restarted && !r.throughLoop && r.inputs > r.replayScenario.inputs/2 || r.throughLoop && r.inputs%1000 == 0 {
			r.restart()
		}
	}
	if r.throughLoop {
		r.input("close")
	} else {
		r.restart()
	}
	r.writeDigest()
}
