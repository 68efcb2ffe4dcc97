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

// The files in testdata/replay hold recorded sequences of inputs and their outputs. Replaying them guards against
// refactorings that change a decision, the order of random draws or the rounding of a number.
//
// The format uses no Go type or field names, so that renaming affects only the parse and format functions of this file.
// A line is an input, or starts with one of
//
//	>  one line of output of the preceding input
//	%  the digest of the inputs since the previous digest and their outputs, in files that start with "digest N"
//	#  a comment
//
// An input is a time, a word and arguments. Times and durations are in nanoseconds, floating-point numbers in their
// shortest exact form. The files were recorded on amd64; architectures that fuse multiplication and addition may
// round differently.

// record makes TestReplayGivesTheSameActions record the files again from the current code.
var record = flag.Bool("record", false, "record testdata/replay again: only after an intended change of decisions")

const replayFolder = "testdata/replay"

// Guards against unintended changes of decisions.
func TestReplayGivesTheSameActions(t *testing.T) {
	if *record {
		recordScenarios(t)
	}
	files, err := filepath.Glob(filepath.Join(replayFolder, "*.txt"))
	if err != nil || len(files) != len(replayScenarios) {
		t.Fatalf("found %d recorded files (error: %v), want %d", len(files), err, len(replayScenarios))
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { replayFile(t, file) })
	}
}

// replayFile replays one file and compares the outputs by line, or by digest if the file holds digests.
func replayFile(t *testing.T, file string) {
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read recorded file: %v", err)
	}
	replayer := newReplayer()
	var input string
	var output []string // of the last input; with digests, all inputs and outputs since the last digest
	inputs, next, digested := 0, 0, false
	checkComplete := func(line int) {
		if !digested && next < len(output) {
			t.Fatalf("%s:%d: input %q has additional output %q", file, line, input, output[next])
		}
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	lines.Buffer(nil, 1<<20)
	lineNumber := 0
	for lines.Scan() {
		lineNumber++
		line := lines.Text()
		switch {
		case line == "" || line[0] == '#':
		case strings.HasPrefix(line, "digest "):
			digested = true
		case line[0] == '%':
			if got := digest(output); got != line[2:] {
				t.Fatalf("%s:%d: digest is %s, want %s; inputs and outputs since the last digest:\n%s",
					file, lineNumber, got, line[2:], strings.Join(output, "\n"))
			}
			output = output[:0]
		case line[0] == '>':
			if next >= len(output) {
				t.Fatalf("%s:%d: output of input %q lacks %q", file, lineNumber, input, line[2:])
			}
			if output[next] != line[2:] {
				t.Fatalf("%s:%d: output of input %q is\n%s\nwant\n%s", file, lineNumber, input, output[next], line[2:])
			}
			next++
		default:
			checkComplete(lineNumber)
			inputs++
			input = line
			if !digested {
				output, next = output[:0], 0
			} else {
				output = append(output, line)
			}
			output = append(output, replayer.replay(t, line)...)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("read lines of %s: %v", file, err)
	}
	checkComplete(lineNumber)
	if digested && len(output) > 0 {
		t.Fatalf("%s: no digest after the last inputs", file)
	}
	if inputs < 300 {
		t.Fatalf("%s has %d inputs, want at least 300", file, inputs)
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

// replayer passes inputs to a Balancer, or to a Loop after the input "facade".
type replayer struct {
	settings  map[string]*Settings
	balancer  *Balancer
	snapshot  Snapshot
	decisions []string // observed during the current input

	loop        *Loop
	handles     map[string]*RequestHandle
	openHandles []string // names of requests that have not ended
	canceled    context.Context
}

func newReplayer() *replayer {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	return &replayer{settings: make(map[string]*Settings), handles: make(map[string]*RequestHandle), canceled: canceled}
}

// replay executes one input and returns its output.
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

// replayBalancer executes an input with the Balancer.
func (r *replayer) replayBalancer(t *testing.T, now time.Duration, word string, args []string) []string {
	switch word {
	case "start": // settings, seed
		settings := r.settings[args[0]]
		if err := settings.Validate(); err != nil {
			t.Fatalf("invalid settings %s: %v", args[0], err)
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
	case "renumber": // endpoint to remove; all others keep their IDs
		removed := EndpointID(parseUint(t, args[0]))
		r.snapshot.Renumber(func(id EndpointID) (EndpointID, bool) { return id, id != removed })
		return formatSnapshot(&r.snapshot)
	case "restore":
		r.balancer.Restore(now, r.snapshot)
		return nil
	case "advice": // outputs the retry-after of a rejection by the relay
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

// parseEvent parses an event for the Balancer.
func (r *replayer) parseEvent(t *testing.T, word string, args []string) Event {
	request := func(i int) RequestID { return RequestID(parseUint(t, args[i])) }
	endpoint := func(i int) EndpointID { return EndpointID(parseUint(t, args[i])) }
	switch word {
	case "list": // kind, endpoints
		return EndpointList{Kind: parseListKind(t, args[0]), Endpoints: parseEndpoints(t, args[1:])}
	case "retuned": // settings
		return SettingsChanged{Settings: r.settings[args[0]]}
	case "request":
		return r.parseRequest(t, args)
	case "resumed": // endpoint, request
		return Resumed{Endpoint: endpoint(0), Request: r.parseRequest(t, args[1:])}
	case "standing": // request, endpoint, setup time
		return Established{Request: request(0), Endpoint: endpoint(1), SetupTime: parseDuration(t, args[2])}
	case "outcome": // request, endpoint, status, final
		return Outcome{Request: request(0), Endpoint: endpoint(1), Status: parseStatus(t, args[2]), Final: parseBool(t, args[3])}
	case "dismissed": // request
		return AnswerRequired{Request: request(0)}
	case "left": // request
		return ClientLeft{Request: request(0)}
	case "load": // request, endpoint, load
		return ConnectionLoad{Request: request(0), Endpoint: endpoint(1), Load: parseFloat(t, args[2])}
	case "delay": // request, endpoint, delay
		return EndpointDelay{Request: request(0), Endpoint: endpoint(1), Delay: parseDuration(t, args[2])}
	case "timer": // token
		return Timer{Token: uint32(parseUint(t, args[0]))}
	}
	t.Fatalf("unknown Balancer input: %q", word)
	return nil
}

// parseRequest parses: request, class, item, group, time left, load, returning, settings or "-".
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
	t.Fatalf("unknown action type: %T", action)
	return ""
}

// replayLoop executes an input with the Loop. Its requests have names, and actions are output by the input "tick".
func (r *replayer) replayLoop(t *testing.T, now time.Duration, word string, args []string) []string {
	switch word {
	case "facade": // settings, seed
		r.loop = NewLoop(*r.settings[args[0]], parseUint(t, args[1]))
		r.loop.Observe()
		r.loop.PublishCounts()
		return nil
	case "tick":
		return r.tick(now)
	case "pick": // name, class, item, group, deadline, load, returning, settings, endpoint of an established connection or "-"
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
			t.Fatalf("got action %v before a Tick", action)
		}
		return []string{"time left " + formatDuration(handle.TimeLeft(now))}
	case "advice": // outputs the retry-after of a rejection by the relay
		wait := duringTick(r, now, r.loop.RetryAfter)
		return append([]string{"advice " + formatDuration(wait)}, r.decisions...)
	case "views":
		views := duringTick(r, now, func(ctx context.Context) []EndpointView { views, _ := r.loop.EndpointViews(ctx); return views })
		return append(formatViews(views), r.decisions...)
	case "snapshot":
		r.snapshot = duringTick(r, now, func(ctx context.Context) Snapshot { snapshot, _ := r.loop.Snapshot(ctx); return snapshot })
		return append(formatSnapshot(&r.snapshot), r.decisions...)
	case "pool": // outputs the numbers of listed and avoided endpoints
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

// parseLoopEvent parses an event for the Loop.
func (r *replayer) parseLoopEvent(t *testing.T, word string, args []string) LoopEvent {
	switch word {
	case "stands": // name, setup time
		return AttemptEstablished{Handle: r.handles[args[0]], SetupTime: parseDuration(t, args[1])}
	case "ended": // name, status
		return AttemptEnded{Handle: r.handles[args[0]], Status: parseStatus(t, args[1])}
	case "dismiss": // name
		return RequireAnswer{Handle: r.handles[args[0]]}
	case "left": // name
		return ClientDisconnected{Handle: r.handles[args[0]]}
	case "load": // name, load
		return LoadReport{Handle: r.handles[args[0]], Load: parseFloat(t, args[1])}
	case "delay": // endpoint, delay
		return DelayReport{Endpoint: EndpointID(parseUint(t, args[0])), Delay: parseDuration(t, args[1])}
	case "farm": // kind, revision, endpoints
		return EndpointUpdate{Kind: parseListKind(t, args[0]), Revision: parseUint(t, args[1]), Endpoints: parseEndpoints(t, args[2:])}
	case "retune": // settings
		return UpdateSettings{Settings: r.settings[args[0]]}
	case "restore":
		return RestoreSnapshot{Snapshot: r.snapshot}
	case "budget": // share of the slow-start budget
		return SetSlowStartShare{Share: parseFloat(t, args[0])}
	}
	t.Fatalf("unknown Loop input: %q", word)
	return nil
}

// tick calls Tick and returns the time of the next timer, the decisions and the actions of all open requests.
func (r *replayer) tick(now time.Duration) []string {
	at, set := r.loop.Tick(now)
	out := append([]string{fmt.Sprintf("next %d %t", int64(at), set)}, r.decisions...)
	var open []string
	for _, name := range r.openHandles {
		final := false
		for {
			action, err := r.loop.NextAction(r.canceled, r.handles[name])
			if err != nil {
				break
			}
			word := [...]string{
				ActionAttempt: "pass", ActionEstablished: "up", ActionMigrate: "move", ActionClosed: "over",
				ActionReject: "unavailable", ActionFail: "failed",
			}[action.Kind]
			final = final || action.Kind != ActionAttempt && action.Kind != ActionEstablished
			out = append(out, fmt.Sprintf("step %s %s %d %d %d", name, word, action.Endpoint, int64(action.Wait), int64(action.NotAfter)))
		}
		if !final {
			open = append(open, name)
		}
	}
	r.openHandles = open
	return out
}

// duringTick calls query, which waits for a Tick, and calls Tick.
func duringTick[T any](replayer *replayer, now time.Duration, query func(context.Context) T) T {
	select {
	case <-replayer.loop.Pending():
	default:
	}
	answer := make(chan T, 1)
	go func() { answer <- query(context.Background()) }()
	<-replayer.loop.Pending()
	replayer.loop.Tick(now)
	return <-answer
}

// namedObserver records the decisions on one request of the Loop.
type namedObserver struct {
	replayer *replayer
	name     string
}

func (n namedObserver) Decided(decision *Decision) {
	for _, line := range formatDecision(0, decision) {
		n.replayer.decisions = append(n.replayer.decisions, n.name+" "+line)
	}
}

// formatDecision formats a decision as one line, followed by one line for each considered endpoint.
func formatDecision(id RequestID, decision *Decision) []string {
	out := []string{fmt.Sprintf("decided %d %s %s at=%d attempt=%d server=%d wait=%d left=%d ready=%d slow=%s revision=%d age=%d instead=%d",
		id, decision.Verdict, decision.Reason, int64(decision.At), decision.Attempt, decision.Endpoint, int64(decision.Wait), int64(decision.TimeLeft), decision.ReadyEndpoints, formatFloat(decision.SlowShare),
		decision.Revision, int64(decision.ListAge), decision.PreferredIndex)}
	for _, considered := range decision.Considered {
		out = append(out, fmt.Sprintf("believed %d %s %s %s %s %s %s %d %d", considered.Endpoint, formatState(considered.State),
			strings.Join(append([]string{"bars"}, considered.Exclusions.Names()...), ","), formatFloat(considered.Weight), formatFloat(considered.Warmth), formatFloat(considered.Load),
			formatFloat(considered.Probability), int64(considered.Delay), int64(considered.DelayAge)))
	}
	return out
}

// formatSnapshot formats a snapshot as one line, followed by one line for each endpoint and route.
func formatSnapshot(snapshot *Snapshot) []string {
	formatCounter := func(counter CounterSnapshot) string {
		return fmt.Sprintf("%s,%d,%d", formatFloat(counter.Count), int64(counter.UpdatedAt), int64(counter.CountedFrom))
	}
	out := []string{fmt.Sprintf("snapshot salt=%d recent=%s pace=%s persize=%s load=%s loads=%s window=%s", snapshot.Salt,
		formatCounter(snapshot.RecentSetups), formatCounter(snapshot.ArrivalRate), formatFloat(snapshot.SetupsPerSize), formatFloat(snapshot.MeanLoad), formatFloat(snapshot.LoadSamples), formatFloat(snapshot.ConcurrencyLimit))}
	for _, endpoint := range snapshot.Endpoints {
		out = append(out, fmt.Sprintf("server %d %s %d %d %d %d %d %d %d %d %d %d %d", endpoint.ID, formatFloat(endpoint.Weight), int64(endpoint.WeightSetAt),
			int64(endpoint.LastAttemptAt), int64(endpoint.EstablishedAt), int64(endpoint.FailedAt), int64(endpoint.SlowAt), int64(endpoint.Delay), int64(endpoint.DelayAt),
			int64(endpoint.RelievedAt), int64(endpoint.DrainingSince), int64(endpoint.RedirectedAt), int64(endpoint.StartedAt)))
	}
	for _, route := range snapshot.Routes {
		out = append(out, fmt.Sprintf("route %d %d %d", route.Key, route.Endpoint, int64(route.ExpiresAt)))
	}
	return out
}

// formatViews formats each view as one line.
func formatViews(views []EndpointView) []string {
	var out []string
	for _, view := range views {
		out = append(out, fmt.Sprintf("view %d %d %s %q", view.Endpoint, int64(view.Delay), formatFloat(view.Load), view.AvoidedReason))
	}
	return out
}

// Words of the recorded files for enumerated values.

var (
	semanticsWords = map[string]DeliverySemantics{"idempotent": Idempotent, "deduplicated": Deduplicated, "once": AtMostOnce}
	scopeWords     = map[string]DeduplicationScope{"all": ScopeAll, "zone": ScopeZone, "cell": ScopeCell}
	stateWords     = map[string]EndpointState{"gone": StateGone, "ready": StateReady, "draining": StateDraining}
	listWords      = map[string]ListKind{"failed": ListFailed, "full": ListFull, "cached": ListCached, "delta": ListDelta}
	statusWords    = map[string]AttemptStatus{
		"ok": StatusOK, "error": StatusError, "full": StatusFull, "timeout": StatusTimeout, "connect": StatusConnectFailed, "reset": StatusReset,
		"cancelled": StatusCancelled, "moot": StatusNotSent, "away": StatusRedirected,
	}
)

func lookUp[T any](t *testing.T, words map[string]T, word string) T {
	t.Helper()
	value, ok := words[word]
	if !ok {
		t.Fatalf("unknown word %q for a %T", word, value)
	}
	return value
}

func parseListKind(t *testing.T, word string) ListKind    { return lookUp(t, listWords, word) }
func parseStatus(t *testing.T, word string) AttemptStatus { return lookUp(t, statusWords, word) }

func formatState(state EndpointState) string {
	for word, candidate := range stateWords {
		if candidate == state {
			return word
		}
	}
	return "unknown"
}

// parseEndpoints parses endpoints of the form id:state:zone:cell:size:start time.
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

// parsePairs parses words of the form key=value.
func parsePairs(t *testing.T, words []string) map[string]string {
	pairs := make(map[string]string)
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			t.Fatalf("word %q has not the form key=value", word)
		}
		pairs[key] = value
	}
	return pairs
}

// parseSettings parses settings without classes and tenants.
func parseSettings(t *testing.T, words []string) *Settings {
	pairs := parsePairs(t, words)
	return &Settings{
		RelayCount: int(parseUint(t, pairs["relays"])), Zone: int(parseUint(t, pairs["zone"])), PollList: parseBool(t, pairs["ask"]),
		PollInterval: parseDuration(t, pairs["askevery"]), MaxAttempts: int(parseUint(t, pairs["attempts"])), ClockResolution: parseDuration(t, pairs["tick"]),
		ConnectTimeout: parseDuration(t, pairs["connect"]), MaxRetryAfter: parseDuration(t, pairs["retryafter"]), InitialCapacity: parseFloat(t, pairs["coldshare"]),
		SlowStartDuration: parseDuration(t, pairs["coldfor"]), OverloadMultiple: parseFloat(t, pairs["tipmultiple"]), OverloadWindow: parseDuration(t, pairs["tipafter"]),
		CrossZoneCost: parseFloat(t, pairs["crosszone"]), ReportsLoad: parseBool(t, pairs["tellsload"]), ReportsDelay: parseBool(t, pairs["tellsdelay"]),
	}
}

func parseClass(t *testing.T, words []string) Class {
	pairs := parsePairs(t, words)
	return Class{
		Name: pairs["name"], LatencyObjective: parseDuration(t, pairs["aim"]), Deadline: parseDuration(t, pairs["deadline"]), Semantics: lookUp(t, semanticsWords, pairs["effect"]),
		DeduplicationScope: lookUp(t, scopeWords, pairs["scope"]), DeduplicationWindow: parseDuration(t, pairs["memory"]), MessageLatencyObjective: parseDuration(t, pairs["messageaim"]),
	}
}

func parseDuration(t *testing.T, word string) time.Duration {
	t.Helper()
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		t.Fatalf("parse duration: %v", err)
	}
	return time.Duration(n)
}

func parseUint(t *testing.T, word string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		t.Fatalf("parse unsigned integer: %v", err)
	}
	return n
}

func parseFloat(t *testing.T, word string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(word, 64)
	if err != nil {
		t.Fatalf("parse floating-point number: %v", err)
	}
	return n
}

func parseBool(t *testing.T, word string) bool {
	t.Helper()
	value, err := strconv.ParseBool(word)
	if err != nil {
		t.Fatalf("parse boolean: %v", err)
	}
	return value
}

func formatDuration(d time.Duration) string { return strconv.FormatInt(int64(d), 10) }
func formatFloat(number float64) string     { return strconv.FormatFloat(number, 'g', -1, 64) }
