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

// This file records the sequences that replay_test.go replays; it runs only with -record. It simulates clients and
// endpoints that execute the actions of a Balancer or Loop and cause every kind of failure.

// replayScenario describes the simulation for one recorded file.
type replayScenario struct {
	name          string
	endpointCount int
	inputs        int
	digestEvery   int           // number of inputs per digest; 0: outputs are written in full
	settings      []string      // one per settings value, added to commonSettings
	observed      bool          // decisions are observed
	throughLoop   bool          // the inputs go to a Loop
	rate          float64       // requests per second
	outageEvery   time.Duration // mean time between outages; 0: 9 s
}

// commonSettings are the settings that all scenarios share.
const commonSettings = "attempts=3 tick=5000000 connect=200000000 retryafter=4000000000 coldshare=0.2 coldfor=20000000000 " +
	"tipmultiple=3 tipafter=1500000000 askevery=10000000000 "

// replayScenarios are the recorded scenarios. Their names are the names of the files.
var replayScenarios = []replayScenario{
	{name: "five-servers-in-full", endpointCount: 5, inputs: 3000, rate: 25, settings: []string{
		"relays=1 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=2 zone=0 ask=false crosszone=0 tellsload=false tellsdelay=true",
	}},
	{name: "decisions-in-full", endpointCount: 6, inputs: 1300, rate: 30, observed: true, settings: []string{
		"relays=8 zone=1 ask=true crosszone=0.5 tellsload=true tellsdelay=true",
	}},
	{name: "lists-asked-for", endpointCount: 12, inputs: 8000, digestEvery: 50, rate: 30, observed: true, settings: []string{
		"relays=8 zone=1 ask=true crosszone=0.5 tellsload=true tellsdelay=true",
		"relays=9 zone=1 ask=true crosszone=0 tellsload=true tellsdelay=false",
	}},
	{name: "sixty-servers", endpointCount: 60, inputs: 8000, digestEvery: 50, rate: 45, settings: []string{
		"relays=9 zone=1 ask=false crosszone=0.3 tellsload=true tellsdelay=true",
		"relays=8 zone=2 ask=false crosszone=0 tellsload=false tellsdelay=false",
	}},
	{name: "large-fleet", endpointCount: 230, inputs: 7500, digestEvery: 50, rate: 80, settings: []string{
		"relays=300 zone=2 ask=false crosszone=0.3 tellsload=true tellsdelay=true",
		"relays=1 zone=2 ask=false crosszone=0 tellsload=true tellsdelay=true",
	}},
	{name: "large-fleet-observed", endpointCount: 90, inputs: 6000, digestEvery: 50, rate: 70, observed: true, settings: []string{
		"relays=8 zone=0 ask=true crosszone=0 tellsload=true tellsdelay=true",
	}},
	{name: "crowd", endpointCount: 20, inputs: 6000, digestEvery: 50, rate: 500, observed: true, outageEvery: 1500 * time.Millisecond, settings: []string{
		"relays=1 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
	}},
	{name: "restarts-seen-by-many", endpointCount: 20, inputs: 6000, digestEvery: 50, rate: 8, settings: []string{
		"relays=300 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=40 zone=1 ask=false crosszone=0.2 tellsload=true tellsdelay=true",
	}},
	{name: "facade", endpointCount: 9, inputs: 5000, digestEvery: 50, rate: 40, throughLoop: true, settings: []string{
		"relays=1 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=9 zone=1 ask=false crosszone=0.4 tellsload=true tellsdelay=true",
	}},
	{name: "few-requests-of-one-relay", endpointCount: 20, inputs: 5000, digestEvery: 50, rate: 2, settings: []string{
		"relays=9 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
		"relays=30 zone=0 ask=false crosszone=0 tellsload=true tellsdelay=true",
	}},
}

// recordedClasses are the classes of all recorded settings.
var recordedClasses = []string{
	"name=web aim=500000000 deadline=2000000000 effect=idempotent scope=all memory=0 messageaim=100000000",
	"name=orders aim=500000000 deadline=3000000000 effect=deduplicated scope=all memory=1500000000 messageaim=200000000",
	"name=zoned aim=300000000 deadline=2500000000 effect=deduplicated scope=zone memory=1000000000 messageaim=100000000",
	"name=celled aim=300000000 deadline=2500000000 effect=deduplicated scope=cell memory=2000000000 messageaim=0",
	"name=once aim=800000000 deadline=4000000000 effect=once scope=all memory=0 messageaim=300000000",
}

// recordScenarios simulates each scenario and writes its recorded file.
func recordScenarios(t *testing.T) {
	if err := os.MkdirAll(replayFolder, 0o755); err != nil {
		t.Fatalf("create the folder of recorded files: %v", err)
	}
	for i, scenario := range replayScenarios {
		recorder := &scenarioRecorder{t: t, replayScenario: scenario, replayer: newReplayer(), rng: rand.New(rand.NewPCG(uint64(i), 77)),
			now: time.Hour, clients: make(map[string]*simulatedClient), started: make(map[int]time.Duration)}
		recorder.run()
		path := filepath.Join(replayFolder, scenario.name+".txt")
		if err := os.WriteFile(path, []byte(recorder.text.String()), 0o644); err != nil {
			t.Fatalf("write recorded file: %v", err)
		}
		t.Logf("recorded %s: %d inputs, %d bytes", path, recorder.inputs, recorder.text.Len())
	}
}

// scenarioRecorder simulates the environment of a Balancer or Loop and records inputs and outputs.
type scenarioRecorder struct {
	t *testing.T
	replayScenario
	replayer *replayer
	rng      *rand.Rand
	text     strings.Builder
	block    []string // inputs and outputs since the last digest
	inputs   int

	now             time.Duration
	schedule        stepHeap
	sequence        int // number of steps scheduled so far
	clients         map[string]*simulatedClient
	lastClient      int
	currentSettings int // index of the current settings
	endpoints       []simulatedEndpoint
	started         map[int]time.Duration
	restarted       bool // the Balancer was replaced by one with its snapshot
}

// simulatedEndpoint is the state of a simulated endpoint.
type simulatedEndpoint struct {
	state     string // in the endpoint list
	health    string // healthy, slow, full, failing, unreachable, draining
	startedAt time.Duration
}

// simulatedClient is the state of a client's request or connection.
type simulatedClient struct {
	name        string
	endpoint    int
	attempt     int // incremented by each attempt and by its end; 0 before the first
	established bool
	group       int
	deadline    time.Duration
}

// scheduledStep is a step of the simulation at a time.
type scheduledStep struct {
	at       time.Duration
	sequence int
	do       func()
}

// stepHeap is a min-heap of steps by time, then by order of scheduling. It implements heap.Interface.
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

// after schedules a step after a delay.
func (r *scenarioRecorder) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.schedule, scheduledStep{r.now + d, r.sequence, do})
}

// every schedules a step repeatedly, at intervals that vary around a period.
func (r *scenarioRecorder) every(period time.Duration, do func()) {
	r.after(r.jitter(period), func() { do(); r.every(period, do) })
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (r *scenarioRecorder) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + r.rng.Float64()) * float64(d)).Truncate(time.Microsecond)
}

// chance returns true with a probability.
func (r *scenarioRecorder) chance(probability float64) bool { return r.rng.Float64() < probability }

// record executes an input, records it with its output and returns the output.
func (r *scenarioRecorder) record(line string) []string {
	output := slices.Clone(r.replayer.replay(r.t, line))
	r.inputs++
	fmt.Fprintln(&r.text, line)
	if r.digestEvery == 0 {
		for _, outputLine := range output {
			fmt.Fprintln(&r.text, ">", outputLine)
		}
		return output
	}
	r.block = append(append(r.block, line), output...)
	if r.inputs%r.digestEvery == 0 {
		r.writeDigest()
	}
	return output
}

// writeDigest records the digest of the current block, if it is not empty, and starts a new block.
func (r *scenarioRecorder) writeDigest() {
	if len(r.block) > 0 {
		fmt.Fprintln(&r.text, "%", digest(r.block))
		r.block = r.block[:0]
	}
}

// input executes and records an input at the current time and simulates the reaction to its output.
func (r *scenarioRecorder) input(format string, args ...any) {
	for _, outputLine := range r.record(fmt.Sprintf("%d ", int64(r.now)) + fmt.Sprintf(format, args...)) {
		r.react(strings.Fields(outputLine))
	}
}

// parseIntOrZero parses an integer. It returns 0 if the word is not one.
func parseIntOrZero(word string) int {
	n, _ := strconv.Atoi(word)
	return n
}

// react simulates what an output line requires of clients, endpoints and timers.
func (r *scenarioRecorder) react(words []string) {
	switch words[0] {
	case "send":
		r.simulateAttempt(r.clients[words[1]], parseIntOrZero(words[2]), time.Duration(parseIntOrZero(words[3])))
	case "refuse", "fail", "move":
		r.finishRequest(r.clients[words[1]])
	case "timer":
		r.after(time.Duration(parseIntOrZero(words[2])), func() { r.input("timer %s", words[1]) })
	case "watch":
		r.after(r.jitter(40*time.Millisecond), func() {
			switch {
			case r.chance(0.2):
				r.input("list failed")
			case r.chance(0.2):
				r.input("list full%s", r.formatEndpoints(0, len(r.endpoints)))
			default:
				r.input("list delta%s", r.formatEndpoints(r.rng.IntN(len(r.endpoints)-2), r.rng.IntN(3)))
			}
		})
	case "step":
		client := r.clients[words[1]]
		if client == nil {
			return // the client left before the action reached it
		}
		switch words[2] {
		case "pass":
			r.simulateAttempt(client, parseIntOrZero(words[3]), time.Duration(parseIntOrZero(words[4])))
		case "unavailable", "failed", "move", "over":
			r.finishRequest(client)
		}
	}
}

// finishRequest ends the request of a client; some clients send a new one later.
func (r *scenarioRecorder) finishRequest(client *simulatedClient) {
	if client == nil || r.clients[client.name] != client {
		return
	}
	delete(r.clients, client.name)
	if r.chance(0.3) {
		r.after(r.jitter(400*time.Millisecond), func() { r.sendRequest(client.group, true) })
	}
}

// isCurrent reports whether an attempt is a client's latest and the client has not left.
func (r *scenarioRecorder) isCurrent(client *simulatedClient, attempt int) bool {
	return r.clients[client.name] == client && client.attempt == attempt
}

// simulateAttempt simulates an attempt at an endpoint and schedules its outcome.
func (r *scenarioRecorder) simulateAttempt(client *simulatedClient, endpoint int, timeout time.Duration) {
	client.endpoint = endpoint
	client.attempt++
	attempt := client.attempt
	duration, outcome := r.jitter(30*time.Millisecond), "up"
	health := r.endpoints[endpoint-1].health
	switch {
	case health == "slow":
		duration = r.jitter(900 * time.Millisecond)
	case health == "full" && r.chance(0.8):
		outcome = "full"
	case health == "failing" && r.chance(0.8):
		outcome = "error"
	case health == "unreachable":
		duration, outcome = 200*time.Millisecond, "connect"
	case r.chance(0.04):
		outcome = []string{"error", "reset", "cancelled", "moot", "away", "full"}[r.rng.IntN(6)]
	case r.chance(0.01):
		duration = 10 * time.Second
	}
	if timeout > 0 && duration >= timeout {
		duration, outcome = timeout, "timeout"
	} else if timeLeft := client.deadline - r.now; duration >= timeLeft+50*time.Millisecond {
		duration, outcome = max(0, timeLeft)+50*time.Millisecond, "left"
	}
	r.after(duration, func() {
		if !r.isCurrent(client, attempt) || client.established {
			return
		}
		switch outcome {
		case "up":
			r.reportEstablished(client, duration)
		case "left":
			r.reportDisconnect(client)
		default:
			r.reportEnd(client, outcome, false)
		}
	})
}

// reportEstablished reports an established connection and schedules its load report and its end.
func (r *scenarioRecorder) reportEstablished(client *simulatedClient, setupTime time.Duration) {
	client.established = true
	attempt := client.attempt
	if r.throughLoop {
		r.input("stands %s %d", client.name, int64(setupTime))
	} else {
		r.input("standing %s %d %d", client.name, client.endpoint, int64(setupTime))
	}
	if r.chance(0.3) {
		r.after(r.jitter(300*time.Millisecond), func() {
			if r.isCurrent(client, attempt) {
				r.reportLoad(client)
			}
		})
	}
	r.after(r.jitter(time.Duration(1+8*r.rng.ExpFloat64())*time.Second), func() {
		if !r.isCurrent(client, attempt) {
			return
		}
		if r.chance(0.2) {
			r.reportDisconnect(client)
			return
		}
		outcome := "ok"
		if r.chance(0.1) {
			outcome = []string{"reset", "error", "away", "timeout"}[r.rng.IntN(4)]
		}
		if r.endpoints[client.endpoint-1].health == "draining" {
			outcome = "away"
		}
		r.reportEnd(client, outcome, true)
	})
}

// reportLoad reports a random load of a client's connection.
func (r *scenarioRecorder) reportLoad(client *simulatedClient) {
	load := formatFloat(0.01 * r.rng.ExpFloat64())
	if r.throughLoop {
		r.input("load %s %s", client.name, load)
		return
	}
	r.input("load %s %d %s", client.name, client.endpoint, load)
}

// reportEnd reports the end of an attempt, or of a connection if final.
func (r *scenarioRecorder) reportEnd(client *simulatedClient, outcome string, final bool) {
	if final {
		defer r.finishRequest(client)
	} else if client.attempt > 0 {
		client.attempt++ // drops what is scheduled for this attempt
	}
	if r.throughLoop {
		r.input("ended %s %s", client.name, outcome)
		return
	}
	r.input("outcome %s %d %s %t", client.name, client.endpoint, outcome, final)
}

// reportDisconnect reports that a client disconnected.
func (r *scenarioRecorder) reportDisconnect(client *simulatedClient) {
	defer r.finishRequest(client)
	r.input("left %s", client.name)
}

// sendRequest sends the request of a new client, or resumes a connection of one.
func (r *scenarioRecorder) sendRequest(group int, returning bool) {
	r.lastClient++
	deadline := time.Duration(1+r.rng.IntN(3))*time.Second + r.jitter(100*time.Millisecond)
	client := &simulatedClient{name: strconv.Itoa(r.lastClient), group: group, deadline: r.now + deadline}
	r.clients[client.name] = client
	item, load, settings := 0, "0", "-"
	if r.chance(0.3) {
		item = 1 + r.rng.IntN(40)
	}
	if r.chance(0.3) {
		load = formatFloat(0.01 * r.rng.ExpFloat64())
	}
	if r.chance(0.1) {
		settings = strconv.Itoa(r.rng.IntN(len(r.settings)))
	}
	class := r.rng.IntN(len(recordedClasses))
	if r.chance(0.005) {
		class = len(recordedClasses) // an unknown class
	}
	resumed := r.chance(0.03)
	endpoint := 1 + r.rng.IntN(len(r.endpoints))
	if resumed {
		client.established, client.endpoint = true, endpoint
		attempt := client.attempt
		r.after(r.jitter(5*time.Second), func() {
			if r.isCurrent(client, attempt) {
				r.reportEnd(client, "ok", true)
			}
		})
	}
	if r.throughLoop {
		establishedAt := "-"
		if resumed {
			establishedAt = strconv.Itoa(endpoint)
		}
		r.input("pick %s %d %d %d %d %s %t %s %s", client.name, class, item, group, int64(client.deadline), load, returning, settings, establishedAt)
		return
	}
	request := fmt.Sprintf("%s %d %d %d %d %s %t %s", client.name, class, item, group, int64(deadline), load, returning, settings)
	if resumed {
		r.input("resumed %d %s", endpoint, request)
	} else {
		r.input("request %s", request)
	}
}

// formatEndpoints formats n endpoints, starting with index first, for a list.
func (r *scenarioRecorder) formatEndpoints(first, n int) string {
	var text strings.Builder
	for i := first; i < first+n; i++ {
		endpoint := r.endpoints[i]
		size := formatFloat([]float64{1, 1, 2, 0.5, 1.3}[i%5])
		fmt.Fprintf(&text, " %d:%s:%d:%d:%s:%d", i+1, endpoint.state, i%3, i%6, size, int64(endpoint.startedAt))
	}
	return text.String()
}

// reportList reports an endpoint list with n endpoints, starting with index first.
func (r *scenarioRecorder) reportList(kind string, first, n int) {
	if r.throughLoop {
		r.input("farm %s %d%s", kind, r.inputs, r.formatEndpoints(first, n))
		return
	}
	r.input("list %s%s", kind, r.formatEndpoints(first, n))
}

// injectFault changes the health of a random endpoint and schedules its recovery and list updates.
func (r *scenarioRecorder) injectFault() {
	i := r.rng.IntN(len(r.endpoints))
	endpoint := &r.endpoints[i]
	recoverAfter := func(delay time.Duration) { r.after(r.jitter(delay), func() { r.endpoints[i].health = "healthy" }) }
	listAfter := func(delay time.Duration, state string) {
		r.after(r.jitter(delay), func() {
			endpoint := &r.endpoints[i]
			if endpoint.state = state; state == "ready" {
				endpoint.health = "healthy"
			}
			r.reportList("delta", i, 1)
		})
	}
	switch r.rng.IntN(6) {
	case 0:
		endpoint.health = "slow"
		recoverAfter(4 * time.Second)
	case 1:
		endpoint.health = "full"
		recoverAfter(3 * time.Second)
	case 2:
		endpoint.health = "failing"
		recoverAfter(3 * time.Second)
	case 3: // it drains, stops and restarts
		endpoint.health = "draining"
		listAfter(500*time.Millisecond, "draining")
		listAfter(6*time.Second, "gone")
		r.after(9*time.Second, func() { r.endpoints[i].startedAt = r.now })
		listAfter(19*time.Second, "ready")
	default: // it crashes and restarts
		endpoint.health = "unreachable"
		listAfter(time.Second, "gone")
		r.after(3*time.Second, func() { r.endpoints[i].startedAt = r.now })
		listAfter(7*time.Second, "ready")
	}
}

// startOutage degrades at least a third of the endpoints and schedules their recovery.
func (r *scenarioRecorder) startOutage() {
	health := []string{"slow", "failing", "unreachable", "full", "slow"}[r.rng.IntN(5)]
	for i := range r.endpoints {
		if i%3 == 1 || health == "slow" && i%2 == 0 {
			r.endpoints[i].health = health
		}
	}
	r.after(r.jitter(2500*time.Millisecond), func() {
		for i := range r.endpoints {
			r.endpoints[i].health = "healthy"
		}
	})
}

// reportDelays reports message delays of random endpoints.
func (r *scenarioRecorder) reportDelays() {
	for range 1 + len(r.endpoints)/20 {
		i := r.rng.IntN(len(r.endpoints))
		delay := r.jitter(20 * time.Millisecond)
		switch r.endpoints[i].health {
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

// restartRelay takes a snapshot and restores it, the first time into a new Balancer. A Loop restores its own.
func (r *scenarioRecorder) restartRelay() {
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
	previous := r.clients
	r.clients, r.schedule = make(map[string]*simulatedClient), nil
	r.input("start %d 5", r.currentSettings)
	if r.observed {
		r.input("observe")
	}
	r.reportList("cached", 0, len(r.endpoints))
	r.input("restore")
	names := make([]string, 0, len(previous))
	for name, client := range previous {
		if client.established {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		client := previous[name]
		r.clients[name] = client
		r.input("resumed %d %s 0 0 %d 1000000000 0 false -", client.endpoint, name, client.group)
		attempt := client.attempt
		r.after(r.jitter(4*time.Second), func() {
			if r.isCurrent(client, attempt) {
				r.reportEnd(client, "ok", true)
			}
		})
	}
	for i := range r.endpoints { // as their scheduled recovery was dropped
		r.endpoints[i].health, r.endpoints[i].state = "healthy", "ready"
	}
	r.startBackground()
}

// startBackground schedules the repeated steps of the simulation.
func (r *scenarioRecorder) startBackground() {
	groups := 3 * len(r.endpoints)
	r.every(time.Duration(float64(time.Second)/r.rate), func() {
		group := 0
		if r.chance(0.7) {
			group = 1 + r.rng.IntN(groups)
		}
		r.sendRequest(group, r.chance(0.1))
	})
	r.every(60*time.Millisecond*time.Duration(1+r.replayScenario.endpointCount/60), r.reportDelays)
	r.every(3*time.Second/time.Duration(1+len(r.endpoints)/20), r.injectFault)
	r.every(cmp.Or(r.replayScenario.outageEvery, 9*time.Second), r.startOutage)
	r.every(11*time.Second, func() { r.reportList("full", 0, len(r.endpoints)) })
	r.every(14*time.Second, func() { r.reportList("failed", 0, 0) })
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
			r.reportDisconnect(client)
			return
		}
		word := "dismissed"
		if r.throughLoop {
			word = "dismiss"
		}
		r.input("%s %s", word, client.name)
	})
	if r.replayScenario.outageEvery > 0 { // snapshots show the effect of outages on the concurrency limit
		r.every(300*time.Millisecond, func() { r.input("snapshot") })
	}
	if r.throughLoop {
		r.every(10*time.Millisecond, func() { r.input("tick") })
		r.every(3*time.Second, func() { r.input("pool"); r.input("views"); r.input("advice") })
	}
}

// run simulates the scenario until it has recorded the wanted number of inputs.
func (r *scenarioRecorder) run() {
	fmt.Fprintf(&r.text, "# recorded by TestReplayGivesTheSameActions -record\n")
	if r.digestEvery > 0 {
		fmt.Fprintf(&r.text, "digest %d\n", r.digestEvery)
	}
	for i, settings := range r.settings {
		r.record(fmt.Sprintf("settings %d %s%s", i, commonSettings, settings))
		for _, class := range recordedClasses {
			r.record(fmt.Sprintf("class %d %s", i, class))
		}
		r.record(fmt.Sprintf("tenant %d acme", i))
	}
	for range r.replayScenario.endpointCount {
		r.endpoints = append(r.endpoints, simulatedEndpoint{state: "ready", health: "healthy"})
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
	r.reportList("full", 0, len(r.endpoints))
	r.startBackground()
	for r.inputs < r.replayScenario.inputs {
		step := heap.Pop(&r.schedule).(scheduledStep)
		r.now = max(r.now, step.at)
		step.do()
		if !r.restarted && !r.throughLoop && r.inputs > r.replayScenario.inputs/2 || r.throughLoop && r.inputs%1000 == 0 {
			r.restartRelay()
		}
	}
	if r.throughLoop {
		r.input("close")
	} else {
		r.restartRelay()
	}
	r.writeDigest()
}
