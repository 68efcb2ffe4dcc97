package balancer

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The files in testdata/replay hold sequences of events and the actions that they brought when they were recorded.
// Replaying them shows that a change of the code's shape left every decision as it was, down to the order of random
// draws and the last digit of each number.
//
// The text depends on no Go type or field name: its words are fixed below, so that a renaming touches the functions
// parse... and format... of this file and no recorded file. A line is an input, or begins with one of
//
//	>  one line of what the input before it brought
//	%  a digest of the last inputs and of all they brought, in files that start with a line "digest N"
//	#  a comment
//
// An input is a time in nanoseconds, a word and its arguments; durations are in nanoseconds too. Numbers that are not whole
// are written with as many digits as tell them apart. The sums were recorded on amd64; an architecture that fuses
// multiplication and addition may differ in last digits.

// record writes the files anew, with answers of the code as it is. It is for changes that change decisions on purpose,
// and for no others.
var record = flag.Bool("record", false, "record testdata/replay anew: only when decisions are changed on purpose")

const replayFolder = "testdata/replay"

func TestReplayGivesTheSameActions(t *testing.T) {
	if *record {
		recordScenarios(t)
	}
	files, err := filepath.Glob(filepath.Join(replayFolder, "*.txt"))
	if err != nil || len(files) != len(replayScenarios) {
		t.Fatalf("%d recorded files, want %d (%v)", len(files), len(replayScenarios), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { replayFile(t, file) })
	}
}

// replayFile replays one file and compares line by line, or block by block where the file holds digests.
func replayFile(t *testing.T, file string) {
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	replayer := newReplayer()
	var input string
	var answer []string // of the input, or of all inputs since the last digest
	inputs, next, digested := 0, 0, false
	complete := func(line int) {
		if !digested && next < len(answer) {
			t.Fatalf("%s:%d: %q brought also %q", file, line, input, answer[next])
		}
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	lines.Buffer(nil, 1<<20)
	number := 0
	for lines.Scan() {
		number++
		line := lines.Text()
		switch {
		case line == "" || line[0] == '#':
		case strings.HasPrefix(line, "digest "):
			digested = true
		case line[0] == '%':
			if got := digest(answer); got != line[2:] {
				t.Fatalf("%s:%d: the digest of the inputs before is %s, want %s; they brought:\n%s",
					file, number, got, line[2:], strings.Join(answer, "\n"))
			}
			answer = answer[:0]
		case line[0] == '>':
			if next >= len(answer) {
				t.Fatalf("%s:%d: %q did not bring %q", file, number, input, line[2:])
			}
			if answer[next] != line[2:] {
				t.Fatalf("%s:%d: %q brought\n%s\nwant\n%s", file, number, input, answer[next], line[2:])
			}
			next++
		default:
			complete(number)
			inputs++
			input = line
			if !digested {
				answer, next = answer[:0], 0
			} else {
				answer = append(answer, line)
			}
			answer = append(answer, replayer.replay(t, line)...)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	complete(number)
	if digested && len(answer) > 0 {
		t.Fatalf("%s: no digest stands after the last inputs", file)
	}
	if inputs < 300 {
		t.Fatalf("%s has only %d inputs", file, inputs)
	}
}

func digest(lines []string) string {
	hash := fnv.New128a()
	for _, line := range lines {
		hash.Write([]byte(line))
		hash.Write([]byte{'\n'})
	}
	return fmt.Sprintf("%x", hash.Sum(nil))
}

// replayer plays inputs to a Balancer, or to a Loop once a file has asked for one.
type replayer struct {
	settings  map[string]*Settings
	balancer  *Balancer
	snapshot  Snapshot
	decisions []string // of the input being played

	loop        *Loop
	handles     map[string]*RequestHandle
	openHandles []string // of requests that have not ended
	canceled    context.Context
}

func newReplayer() *replayer {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	return &replayer{settings: make(map[string]*Settings), handles: make(map[string]*RequestHandle), canceled: gone}
}

// replay plays one input and returns what it brought.
func (r *replayer) replay(t *testing.T, line string) []string {
	args := strings.Fields(line)
	r.decisions = r.decisions[:0]
	switch args[0] {
	case "settings":
		r.settings[args[1]] = parseSettings(t, args[2:])
		return nil
	case "class":
		settings := r.settings[args[1]]
		settings.Classes = append(settings.Classes, parseClass(t, args[2:]))
		return nil
	case "tenant":
		settings := r.settings[args[1]]
		settings.Tenants = append(settings.Tenants, args[2])
		return nil
	}
	now := parseDuration(t, args[0])
	if r.loop != nil || args[1] == "facade" {
		return r.replayLoop(t, now, args[1], args[2:])
	}
	return r.replayBalancer(t, now, args[1], args[2:])
}

func (r *replayer) replayBalancer(t *testing.T, now time.Duration, word string, args []string) []string {
	switch word {
	case "start": // settings, seed
		settings := r.settings[args[0]]
		if err := settings.Validate(); err != nil {
			t.Fatal(err)
		}
		r.balancer = New(*settings, parseUint(t, args[1]))
		return nil
	case "observe":
		r.balancer.Observe(func(id RequestID, decision *Decision) {
			r.decisions = append(r.decisions, formatDecision(id, decision)...)
		})
		return nil
	case "snapshot":
		r.snapshot = r.balancer.Snapshot()
		return formatSnapshot(&r.snapshot)
	case "renumber": // an endpoint that is left out; all others keep their IDs
		left := EndpointID(parseUint(t, args[0]))
		r.snapshot.Renumber(func(id EndpointID) (EndpointID, bool) { return id, id != left })
		return formatSnapshot(&r.snapshot)
	case "restore":
		r.balancer.Restore(now, r.snapshot)
		return nil
	case "advice":
		return []string{"advice " + formatDuration(r.balancer.RetryAfter(now))}
	case "views":
		return formatViews(r.balancer.endpointViews())
	case "avoided":
		listed, until := r.balancer.avoidedEndpoints(nil)
		text := fmt.Sprintf("avoided %d", listed)
		for _, at := range until {
			text += " " + formatDuration(at)
		}
		return []string{text}
	}
	var out []string
	for _, action := range r.balancer.Handle(now, r.parseEvent(t, word, args)) {
		out = append(out, formatAction(t, action))
	}
	return append(out, r.decisions...)
}

// parseEvent reads an event of the Balancer.
func (r *replayer) parseEvent(t *testing.T, word string, args []string) Event {
	request := func(i int) RequestID { return RequestID(parseUint(t, args[i])) }
	server := func(i int) EndpointID { return EndpointID(parseUint(t, args[i])) }
	switch word {
	case "list": // kind, servers
		return EndpointList{Kind: parseListKind(t, args[0]), Endpoints: parseEndpoints(t, args[1:])}
	case "retuned":
		return SettingsChanged{Settings: r.settings[args[0]]}
	case "request":
		return r.parseRequest(t, args)
	case "resumed": // server, request
		return Resumed{Endpoint: server(0), Request: r.parseRequest(t, args[1:])}
	case "standing": // request, server, time it took
		return Established{Request: request(0), Endpoint: server(1), SetupTime: parseDuration(t, args[2])}
	case "outcome": // request, server, status, over
		return Outcome{Request: request(0), Endpoint: server(1), Status: parseStatus(t, args[2]), Final: parseBool(t, args[3])}
	case "dismissed":
		return AnswerRequired{Request: request(0)}
	case "left":
		return ClientLeft{Request: request(0)}
	case "load": // request, server, load
		return ConnectionLoad{Request: request(0), Endpoint: server(1), Load: parseFloat(t, args[2])}
	case "delay": // request, server, delay
		return EndpointDelay{Request: request(0), Endpoint: server(1), Delay: parseDuration(t, args[2])}
	case "timer":
		return Timer{Token: uint32(parseUint(t, args[0]))}
	}
	t.Fatalf("no such input: %s", word)
	return nil
}

// parseRequest reads: request, class, item, group, time left, load, comes back, settings or "-".
func (r *replayer) parseRequest(t *testing.T, args []string) Request {
	return Request{
		ID: RequestID(parseUint(t, args[0])), Class: int(parseUint(t, args[1])), Item: parseUint(t, args[2]), Group: parseUint(t, args[3]),
		TimeLeft: parseDuration(t, args[4]), ExpectedLoad: parseFloat(t, args[5]), Returning: parseBool(t, args[6]), Settings: r.settings[args[7]],
	}
}

func formatAction(t *testing.T, action Action) string {
	switch action := action.(type) {
	case SendAttempt:
		return fmt.Sprintf("send %d %d %d %d", action.Request, action.Endpoint, int64(action.Timeout), int64(action.NotAfter))
	case Reject:
		return fmt.Sprintf("refuse %d %d", action.Request, int64(action.RetryAfter))
	case Fail:
		return fmt.Sprintf("fail %d", action.Request)
	case Migrate:
		return fmt.Sprintf("move %d", action.Request)
	case SetTimer:
		return fmt.Sprintf("timer %d %d", action.Token, int64(action.After))
	case WatchEndpoints:
		return "watch"
	}
	t.Fatalf("no such action: %T", action)
	return ""
}

// replayLoop plays an input to the Loop. Requests go by names of their own there, and actions come with a tick.
func (r *replayer) replayLoop(t *testing.T, now time.Duration, word string, args []string) []string {
	switch word {
	case "facade": // settings, seed
		r.loop = NewLoop(*r.settings[args[0]], parseUint(t, args[1]))
		r.loop.Observe()
		r.loop.PublishCounts()
		return nil
	case "tick":
		return r.tick(now)
	case "pick": // name, class, item, group, give up at, load, comes back, settings, open at server or "-"
		options := RequestOptions{
			Class: int(parseUint(t, args[1])), Item: parseUint(t, args[2]), Group: parseUint(t, args[3]), Deadline: parseDuration(t, args[4]),
			ExpectedLoad: parseFloat(t, args[5]), Returning: parseBool(t, args[6]), Settings: r.settings[args[7]], Observer: namedObserver{r, args[0]},
		}
		if args[8] != "-" {
			options.Established, options.Endpoint = true, EndpointID(parseUint(t, args[8]))
		}
		handle := NewRequestHandle(options)
		r.handles[args[0]] = handle
		r.openHandles = append(r.openHandles, args[0])
		if action, err := r.loop.NextAction(r.canceled, handle); err == nil {
			t.Fatalf("action %v before a Tick", action)
		}
		return []string{"time left " + formatDuration(handle.TimeLeft(now))}
	case "advice":
		wait := duringTick(r, now, r.loop.RetryAfter)
		return append([]string{"advice " + formatDuration(wait)}, r.decisions...)
	case "views":
		views := duringTick(r, now, func(ctx context.Context) []EndpointView { v, _ := r.loop.EndpointViews(ctx); return v })
		return append(formatViews(views), r.decisions...)
	case "snapshot":
		r.snapshot = duringTick(r, now, func(ctx context.Context) Snapshot { snapshot, _ := r.loop.Snapshot(ctx); return snapshot })
		return append(formatSnapshot(&r.snapshot), r.decisions...)
	case "pool":
		listed, avoided := r.loop.EndpointCounts(now)
		return []string{fmt.Sprintf("pool %d %d", listed, avoided)}
	case "close":
		r.loop.Close()
		wait := r.loop.RetryAfter(context.Background())
		_, err := r.loop.EndpointViews(r.canceled)
		return []string{fmt.Sprintf("closed %d %t", int64(wait), err != nil)}
	}
	r.loop.Report(r.parseLoopEvent(t, word, args))
	return nil
}

// parseLoopEvent reads what is reported to the Loop.
func (r *replayer) parseLoopEvent(t *testing.T, word string, args []string) LoopEvent {
	switch word {
	case "stands": // name, time it took
		return AttemptEstablished{Handle: r.handles[args[0]], SetupTime: parseDuration(t, args[1])}
	case "ended": // name, status
		return AttemptEnded{Handle: r.handles[args[0]], Status: parseStatus(t, args[1])}
	case "dismiss":
		return RequireAnswer{Handle: r.handles[args[0]]}
	case "left":
		return ClientDisconnected{Handle: r.handles[args[0]]}
	case "load": // name, load
		return LoadReport{Handle: r.handles[args[0]], Load: parseFloat(t, args[1])}
	case "delay": // server, delay
		return DelayReport{Endpoint: EndpointID(parseUint(t, args[0])), Delay: parseDuration(t, args[1])}
	case "farm": // kind, revision, servers
		return EndpointUpdate{Kind: parseListKind(t, args[0]), Revision: parseUint(t, args[1]), Endpoints: parseEndpoints(t, args[2:])}
	case "retune":
		return UpdateSettings{Settings: r.settings[args[0]]}
	case "restore":
		return RestoreSnapshot{Snapshot: r.snapshot}
	case "budget":
		return SlowStartBudget{Share: parseFloat(t, args[0])}
	}
	t.Fatalf("no such input: %s", word)
	return nil
}

// tick ticks and returns the time of the next timer, the decisions, and the actions of all requests that are open.
func (r *replayer) tick(now time.Duration) []string {
	at, set := r.loop.Tick(now)
	out := append([]string{fmt.Sprintf("next %d %t", int64(at), set)}, r.decisions...)
	var open []string
	for _, name := range r.openHandles {
		over := false
		for {
			action, err := r.loop.NextAction(r.canceled, r.handles[name])
			if err != nil {
				break
			}
			word := [...]string{
				ActionAttempt: "pass", ActionEstablished: "up", ActionMigrate: "move", ActionClosed: "over",
				ActionReject: "unavailable", ActionFail: "failed",
			}[action.Kind]
			over = over || action.Kind != ActionAttempt && action.Kind != ActionEstablished
			out = append(out, fmt.Sprintf("step %s %s %d %d %d", name, word, action.Endpoint, int64(action.Wait), int64(action.NotAfter)))
		}
		if !over {
			open = append(open, name)
		}
	}
	r.openHandles = open
	return out
}

// duringTick asks what only a Tick can answer, and ticks.
func duringTick[T any](replayer *replayer, now time.Duration, ask func(context.Context) T) T {
	select {
	case <-replayer.loop.Pending():
	default:
	}
	answer := make(chan T, 1)
	go func() { answer <- ask(context.Background()) }()
	<-replayer.loop.Pending()
	replayer.loop.Tick(now)
	return <-answer
}

// namedObserver records the decisions on a request of the Loop.
type namedObserver struct {
	replayer *replayer
	name     string
}

func (n namedObserver) Decided(decision *Decision) {
	for _, line := range formatDecision(0, decision) {
		n.replayer.decisions = append(n.replayer.decisions, n.name+" "+line)
	}
}

// formatDecision writes a decision as one line and each considered endpoint as one more.
func formatDecision(id RequestID, decision *Decision) []string {
	out := []string{fmt.Sprintf("decided %d %s %s at=%d attempt=%d server=%d wait=%d left=%d ready=%d slow=%s revision=%d age=%d instead=%d",
		id, decision.Verdict, decision.Reason, int64(decision.At), decision.Attempt, decision.Endpoint, int64(decision.Wait), int64(decision.TimeLeft), decision.ReadyEndpoints, formatFloat(decision.SlowShare),
		decision.Revision, int64(decision.ListAge), decision.Preferred)}
	for _, considered := range decision.Considered {
		out = append(out, fmt.Sprintf("believed %d %s %s %s %s %s %s %d %d", considered.Endpoint, formatState(considered.State),
			strings.Join(append([]string{"bars"}, considered.Exclusions.Names()...), ","), formatFloat(considered.Weight), formatFloat(considered.Warmth), formatFloat(considered.Load),
			formatFloat(considered.Probability), int64(considered.Delay), int64(considered.DelayAge)))
	}
	return out
}

func formatSnapshot(snapshot *Snapshot) []string {
	count := func(c CounterSnapshot) string {
		return fmt.Sprintf("%s,%d,%d", formatFloat(c.Count), int64(c.UpdatedAt), int64(c.CountedFrom))
	}
	out := []string{fmt.Sprintf("snapshot salt=%d recent=%s pace=%s persize=%s load=%s loads=%s window=%s", snapshot.Salt,
		count(snapshot.RecentSetups), count(snapshot.ArrivalRate), formatFloat(snapshot.SetupsPerSize), formatFloat(snapshot.MeanLoad), formatFloat(snapshot.LoadSamples), formatFloat(snapshot.ConcurrencyWindow))}
	for _, s := range snapshot.Endpoints {
		out = append(out, fmt.Sprintf("server %d %s %d %d %d %d %d %d %d %d %d %d %d", s.ID, formatFloat(s.Weight), int64(s.WeightSetAt),
			int64(s.LastAttemptAt), int64(s.EstablishedAt), int64(s.FailedAt), int64(s.SlowAt), int64(s.Delay), int64(s.DelayAt),
			int64(s.RelievedAt), int64(s.DrainingSince), int64(s.RedirectedAt), int64(s.StartedAt)))
	}
	for _, r := range snapshot.Routes {
		out = append(out, fmt.Sprintf("route %d %d %d", r.Key, r.Endpoint, int64(r.ExpiresAt)))
	}
	return out
}

func formatViews(views []EndpointView) []string {
	var out []string
	for _, view := range views {
		out = append(out, fmt.Sprintf("view %d %d %s %q", view.Endpoint, int64(view.Delay), formatFloat(view.Load), view.AvoidedReason))
	}
	return out
}

// The words of the files for enumerated values.

var (
	effectWords = map[string]DeliverySemantics{"idempotent": Idempotent, "deduplicated": Deduplicated, "once": AtMostOnce}
	scopeWords  = map[string]DeduplicationScope{"all": ScopeAll, "zone": ScopeZone, "cell": ScopeCell}
	stateWords  = map[string]EndpointState{"gone": StateGone, "ready": StateReady, "draining": StateDraining}
	listWords   = map[string]ListKind{"failed": ListFailed, "full": ListFull, "cached": ListCached, "delta": ListDelta}
	statusWords = map[string]AttemptStatus{
		"ok": StatusOK, "error": StatusError, "full": StatusFull, "timeout": StatusTimeout, "connect": StatusConnectFailed, "reset": StatusReset,
		"cancelled": StatusCancelled, "moot": StatusNotSent, "away": StatusRedirected,
	}
)

func lookUp[T any](t *testing.T, words map[string]T, word string) T {
	t.Helper()
	m, ok := words[word]
	if !ok {
		t.Fatalf("no such word: %q", word)
	}
	return m
}

func parseListKind(t *testing.T, word string) ListKind    { return lookUp(t, listWords, word) }
func parseStatus(t *testing.T, word string) AttemptStatus { return lookUp(t, statusWords, word) }

func formatState(s EndpointState) string {
	for word, state := range stateWords {
		if state == s {
			return word
		}
	}
	return "unknown"
}

// parseEndpoints reads endpoints as number:state:zone:cell:weight:time of start.
func parseEndpoints(t *testing.T, words []string) []Endpoint {
	var list []Endpoint
	for _, word := range words {
		args := strings.Split(word, ":")
		list = append(list, Endpoint{
			ID: EndpointID(parseUint(t, args[0])), State: lookUp(t, stateWords, args[1]), Zone: int(parseUint(t, args[2])),
			Cell: int(parseUint(t, args[3])), Size: parseFloat(t, args[4]), StartedAt: parseDuration(t, args[5]),
		})
	}
	return list
}

// parsePairs reads key=value words.
func parsePairs(t *testing.T, words []string) map[string]string {
	m := make(map[string]string)
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			t.Fatalf("not key=value: %q", word)
		}
		m[key] = value
	}
	return m
}

func parseSettings(t *testing.T, words []string) *Settings {
	m := parsePairs(t, words)
	return &Settings{
		Relays: int(parseUint(t, m["relays"])), Zone: int(parseUint(t, m["zone"])), PollList: parseBool(t, m["ask"]),
		PollInterval: parseDuration(t, m["askevery"]), MaxAttempts: int(parseUint(t, m["attempts"])), MinTick: parseDuration(t, m["tick"]),
		ConnectTimeout: parseDuration(t, m["connect"]), MaxRetryAfter: parseDuration(t, m["retryafter"]), InitialCapacity: parseFloat(t, m["coldshare"]),
		SlowStartDuration: parseDuration(t, m["coldfor"]), OverloadMultiple: parseFloat(t, m["tipmultiple"]), OverloadWindow: parseDuration(t, m["tipafter"]),
		CrossZoneCost: parseFloat(t, m["crosszone"]), ReportsLoad: parseBool(t, m["tellsload"]), ReportsDelay: parseBool(t, m["tellsdelay"]),
	}
}

func parseClass(t *testing.T, words []string) Class {
	m := parsePairs(t, words)
	return Class{
		Name: m["name"], LatencyObjective: parseDuration(t, m["aim"]), Deadline: parseDuration(t, m["deadline"]), Semantics: lookUp(t, effectWords, m["effect"]),
		DeduplicationScope: lookUp(t, scopeWords, m["scope"]), DeduplicationWindow: parseDuration(t, m["memory"]), MessageLatencyObjective: parseDuration(t, m["messageaim"]),
	}
}

func parseDuration(t *testing.T, word string) time.Duration {
	t.Helper()
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(n)
}

func parseUint(t *testing.T, word string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseFloat(t *testing.T, word string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(word, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseBool(t *testing.T, word string) bool {
	t.Helper()
	is, err := strconv.ParseBool(word)
	if err != nil {
		t.Fatal(err)
	}
	return is
}

func formatDuration(d time.Duration) string { return strconv.FormatInt(int64(d), 10) }
func formatFloat(number float64) string     { return strconv.FormatFloat(number, 'g', -1, 64) }
