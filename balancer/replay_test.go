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

// The files in testdata/replay hold sequences of events and what the module answered when they were recorded.
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
	if err != nil || len(files) != len(scenarios) {
		t.Fatalf("%d recorded files, want %d (%v)", len(files), len(scenarios), err)
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
	p := newPlayer()
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
			answer = append(answer, p.play(t, line)...)
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
	h := fnv.New128a()
	for _, line := range lines {
		h.Write([]byte(line))
		h.Write([]byte{'\n'})
	}
	return fmt.Sprintf("%x", h.Sum(nil))
}

// player plays inputs to a Balancer, or to a Facade once a file has asked for one.
type player struct {
	settings map[string]*Settings
	b        *Balancer
	snapshot Snapshot
	told     []string // decisions of the input at hand

	facade  *Loop
	tickets map[string]*RequestHandle
	order   []string // of the tickets that are open
	gone    context.Context
}

func newPlayer() *player {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	return &player{settings: make(map[string]*Settings), tickets: make(map[string]*RequestHandle), gone: gone}
}

// play plays one input and returns what it brought.
func (p *player) play(t *testing.T, line string) []string {
	w := strings.Fields(line)
	p.told = p.told[:0]
	switch w[0] {
	case "settings":
		p.settings[w[1]] = parseSettings(t, w[2:])
		return nil
	case "class":
		s := p.settings[w[1]]
		s.Classes = append(s.Classes, parseClass(t, w[2:]))
		return nil
	case "tenant":
		s := p.settings[w[1]]
		s.Tenants = append(s.Tenants, w[2])
		return nil
	}
	now := span(t, w[0])
	if p.facade != nil || w[1] == "facade" {
		return p.playFacade(t, now, w[1], w[2:])
	}
	return p.playBalancer(t, now, w[1], w[2:])
}

func (p *player) playBalancer(t *testing.T, now time.Duration, word string, w []string) []string {
	switch word {
	case "start": // settings, seed
		s := p.settings[w[0]]
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		p.b = New(*s, whole(t, w[1]))
		return nil
	case "observe":
		p.b.Observe(func(id RequestID, d *Decision) { p.told = append(p.told, formatDecision(id, d)...) })
		return nil
	case "snapshot":
		p.snapshot = p.b.Snapshot()
		return formatSnapshot(&p.snapshot)
	case "renumber": // a server that is left out; all others become themselves
		left := EndpointID(whole(t, w[0]))
		p.snapshot.Renumber(func(id EndpointID) (EndpointID, bool) { return id, id != left })
		return formatSnapshot(&p.snapshot)
	case "restore":
		p.b.Restore(now, p.snapshot)
		return nil
	case "advice":
		return []string{"advice " + nanos(p.b.RetryAfter(now))}
	case "views":
		return formatViews(p.b.views())
	case "avoided":
		listed, until := p.b.avoided(nil)
		text := fmt.Sprintf("avoided %d", listed)
		for _, at := range until {
			text += " " + nanos(at)
		}
		return []string{text}
	}
	var out []string
	for _, a := range p.b.Handle(now, p.parseEvent(t, word, w)) {
		out = append(out, formatAction(t, a))
	}
	return append(out, p.told...)
}

// parseEvent reads an event of the Balancer.
func (p *player) parseEvent(t *testing.T, word string, w []string) Event {
	request := func(i int) RequestID { return RequestID(whole(t, w[i])) }
	server := func(i int) EndpointID { return EndpointID(whole(t, w[i])) }
	switch word {
	case "list": // kind, servers
		return EndpointList{Kind: parseListKind(t, w[0]), Endpoints: parseServers(t, w[1:])}
	case "retuned":
		return SettingsChanged{Settings: p.settings[w[0]]}
	case "request":
		return p.parseRequest(t, w)
	case "resumed": // server, request
		return Resumed{Endpoint: server(0), Request: p.parseRequest(t, w[1:])}
	case "standing": // request, server, time it took
		return Established{Request: request(0), Endpoint: server(1), SetupTime: span(t, w[2])}
	case "outcome": // request, server, status, over
		return Outcome{Request: request(0), Endpoint: server(1), Status: parseStatus(t, w[2]), Final: parseBool(t, w[3])}
	case "dismissed":
		return AnswerRequired{Request: request(0)}
	case "left":
		return ClientLeft{Request: request(0)}
	case "load": // request, server, load
		return ConnectionLoad{Request: request(0), Endpoint: server(1), Load: decimal(t, w[2])}
	case "delay": // request, server, delay
		return EndpointDelay{Request: request(0), Endpoint: server(1), Delay: span(t, w[2])}
	case "timer":
		return Timer{Token: uint32(whole(t, w[0]))}
	}
	t.Fatalf("no such input: %s", word)
	return nil
}

// parseRequest reads: request, class, item, group, time left, load, comes back, settings or "-".
func (p *player) parseRequest(t *testing.T, w []string) Request {
	return Request{
		ID: RequestID(whole(t, w[0])), Class: int(whole(t, w[1])), Item: whole(t, w[2]), Group: whole(t, w[3]),
		TimeLeft: span(t, w[4]), ExpectedLoad: decimal(t, w[5]), Returning: parseBool(t, w[6]), Settings: p.settings[w[7]],
	}
}

func formatAction(t *testing.T, a Action) string {
	switch a := a.(type) {
	case SendAttempt:
		return fmt.Sprintf("send %d %d %d %d", a.Request, a.Endpoint, int64(a.Timeout), int64(a.NotAfter))
	case Reject:
		return fmt.Sprintf("refuse %d %d", a.Request, int64(a.RetryAfter))
	case Fail:
		return fmt.Sprintf("fail %d", a.Request)
	case Migrate:
		return fmt.Sprintf("move %d", a.Request)
	case SetTimer:
		return fmt.Sprintf("timer %d %d", a.Token, int64(a.After))
	case WatchEndpoints:
		return "watch"
	}
	t.Fatalf("no such action: %T", a)
	return ""
}

// playFacade plays an input to the Facade. Requests go by names of their own there, and steps come with a tick.
func (p *player) playFacade(t *testing.T, now time.Duration, word string, w []string) []string {
	switch word {
	case "facade": // settings, seed
		p.facade = NewLoop(*p.settings[w[0]], whole(t, w[1]))
		p.facade.Observe()
		p.facade.PublishCounts()
		return nil
	case "tick":
		return p.tick(now)
	case "pick": // name, class, item, group, give up at, load, comes back, settings, open at server or "-"
		ask := RequestOptions{
			Class: int(whole(t, w[1])), Item: whole(t, w[2]), Group: whole(t, w[3]), Deadline: span(t, w[4]),
			ExpectedLoad: decimal(t, w[5]), Returning: parseBool(t, w[6]), Settings: p.settings[w[7]], Observer: tellNamed{p, w[0]},
		}
		if w[8] != "-" {
			ask.Established, ask.Endpoint = true, EndpointID(whole(t, w[8]))
		}
		ticket := NewRequestHandle(ask)
		p.tickets[w[0]] = ticket
		p.order = append(p.order, w[0])
		_, _ = p.facade.Pick(p.gone, ticket)
		return []string{"time left " + nanos(ticket.TimeLeft(now))}
	case "advice":
		wait := inTurn(p, now, p.facade.RetryAfter)
		return append([]string{"advice " + nanos(wait)}, p.told...)
	case "views":
		views := inTurn(p, now, func(ctx context.Context) []EndpointView { v, _ := p.facade.EndpointViews(ctx); return v })
		return append(formatViews(views), p.told...)
	case "snapshot":
		p.snapshot = inTurn(p, now, func(ctx context.Context) Snapshot { m, _ := p.facade.Snapshot(ctx); return m })
		return append(formatSnapshot(&p.snapshot), p.told...)
	case "pool":
		listed, avoided := p.facade.EndpointCounts(now)
		return []string{fmt.Sprintf("pool %d %d", listed, avoided)}
	case "close":
		p.facade.Close()
		wait := p.facade.RetryAfter(context.Background())
		_, err := p.facade.EndpointViews(p.gone)
		return []string{fmt.Sprintf("closed %d %t", int64(wait), err != nil)}
	}
	p.facade.Report(p.parseNews(t, word, w))
	return nil
}

// parseNews reads what is reported to the Facade.
func (p *player) parseNews(t *testing.T, word string, w []string) LoopEvent {
	switch word {
	case "stands": // name, time it took
		return AttemptEstablished{Handle: p.tickets[w[0]], SetupTime: span(t, w[1])}
	case "ended": // name, status
		return AttemptEnded{Handle: p.tickets[w[0]], Status: parseStatus(t, w[1])}
	case "dismiss":
		return RequireAnswer{Handle: p.tickets[w[0]]}
	case "left":
		return ClientDisconnected{Handle: p.tickets[w[0]]}
	case "load": // name, load
		return LoadReport{Handle: p.tickets[w[0]], Load: decimal(t, w[1])}
	case "delay": // server, delay
		return DelayReport{Endpoint: EndpointID(whole(t, w[0])), Delay: span(t, w[1])}
	case "farm": // kind, revision, servers
		return EndpointUpdate{Kind: parseListKind(t, w[0]), Revision: whole(t, w[1]), Endpoints: parseServers(t, w[2:])}
	case "retune":
		return UpdateSettings{Settings: p.settings[w[0]]}
	case "restore":
		return RestoreSnapshot{Snapshot: p.snapshot}
	case "budget":
		return SlowStartBudget{Share: decimal(t, w[0])}
	}
	t.Fatalf("no such input: %s", word)
	return nil
}

// tick does a turn and returns the time of the next timer, what was decided and the steps of all that are open.
func (p *player) tick(now time.Duration) []string {
	at, set := p.facade.Tick(now)
	out := append([]string{fmt.Sprintf("next %d %t", int64(at), set)}, p.told...)
	var open []string
	for _, name := range p.order {
		over := false
		for {
			step, err := p.facade.Pick(p.gone, p.tickets[name])
			if err != nil {
				break
			}
			word := [...]string{
				ActionAttempt: "pass", ActionEstablished: "up", ActionMigrate: "move", ActionClosed: "over",
				ActionReject: "unavailable", ActionFail: "failed",
			}[step.Kind]
			over = over || step.Kind != ActionAttempt && step.Kind != ActionEstablished
			out = append(out, fmt.Sprintf("step %s %s %d %d %d", name, word, step.Endpoint, int64(step.Wait), int64(step.NotAfter)))
		}
		if !over {
			open = append(open, name)
		}
	}
	p.order = open
	return out
}

// inTurn asks what only a turn can answer, and does the turn.
func inTurn[T any](p *player, now time.Duration, ask func(context.Context) T) T {
	select {
	case <-p.facade.Pending():
	default:
	}
	answer := make(chan T, 1)
	go func() { answer <- ask(context.Background()) }()
	<-p.facade.Pending()
	p.facade.Tick(now)
	return <-answer
}

// tellNamed notes what is decided for a request of the Facade.
type tellNamed struct {
	p    *player
	name string
}

func (n tellNamed) Decided(d *Decision) {
	for _, line := range formatDecision(0, d) {
		n.p.told = append(n.p.told, n.name+" "+line)
	}
}

// formatDecision writes a decision as one line and each belief as one more.
func formatDecision(id RequestID, d *Decision) []string {
	out := []string{fmt.Sprintf("decided %d %s %s at=%d attempt=%d server=%d wait=%d left=%d ready=%d slow=%s revision=%d age=%d instead=%d",
		id, d.Verdict, d.Reason, int64(d.At), d.Attempt, d.Endpoint, int64(d.Wait), int64(d.TimeLeft), d.ReadyEndpoints, digits(d.SlowShare),
		d.Revision, int64(d.ListAge), d.Preferred)}
	for _, f := range d.Considered {
		out = append(out, fmt.Sprintf("believed %d %s %s %s %s %s %s %d %d", f.Endpoint, formatState(f.State),
			strings.Join(append([]string{"bars"}, f.Exclusions.Names()...), ","), digits(f.Weight), digits(f.Warmth), digits(f.Load),
			digits(f.Probability), int64(f.Delay), int64(f.DelayAge)))
	}
	return out
}

func formatSnapshot(m *Snapshot) []string {
	count := func(c CounterSnapshot) string {
		return fmt.Sprintf("%s,%d,%d", digits(c.Count), int64(c.UpdatedAt), int64(c.CountedFrom))
	}
	out := []string{fmt.Sprintf("snapshot salt=%d recent=%s pace=%s persize=%s load=%s loads=%s window=%s", m.Salt,
		count(m.RecentSetups), count(m.ArrivalRate), digits(m.SetupsPerSize), digits(m.MeanLoad), digits(m.LoadSamples), digits(m.ConcurrencyWindow))}
	for _, s := range m.Endpoints {
		out = append(out, fmt.Sprintf("server %d %s %d %d %d %d %d %d %d %d %d %d %d", s.ID, digits(s.Weight), int64(s.WeightSetAt),
			int64(s.LastAttemptAt), int64(s.EstablishedAt), int64(s.FailedAt), int64(s.SlowAt), int64(s.Delay), int64(s.DelayAt),
			int64(s.RelievedAt), int64(s.DrainingSince), int64(s.RedirectedAt), int64(s.StartedAt)))
	}
	for _, r := range m.Routes {
		out = append(out, fmt.Sprintf("route %d %d %d", r.Key, r.Endpoint, int64(r.ExpiresAt)))
	}
	return out
}

func formatViews(views []EndpointView) []string {
	var out []string
	for _, v := range views {
		out = append(out, fmt.Sprintf("view %d %d %s %q", v.Endpoint, int64(v.Delay), digits(v.Load), v.Avoided))
	}
	return out
}

// The words of the files for what Go counts.

var (
	effectWords = map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "once": AtMostOnce}
	scopeWords  = map[string]Scope{"all": ScopeAll, "zone": ScopeZone, "cell": ScopeCell}
	stateWords  = map[string]EndpointState{"gone": StateGone, "ready": StateReady, "draining": StateDraining}
	listWords   = map[string]ListKind{"failed": ListFailed, "full": ListFull, "cached": ListCached, "delta": ListDelta}
	statusWords = map[string]AttemptStatus{
		"ok": StatusOK, "error": StatusError, "full": StatusFull, "timeout": StatusTimeout, "connect": StatusConnectFailed, "reset": StatusReset,
		"cancelled": StatusCancelled, "moot": StatusNotSent, "away": StatusRedirected,
	}
)

func meaning[T any](t *testing.T, words map[string]T, word string) T {
	t.Helper()
	m, ok := words[word]
	if !ok {
		t.Fatalf("no such word: %q", word)
	}
	return m
}

func parseListKind(t *testing.T, word string) ListKind    { return meaning(t, listWords, word) }
func parseStatus(t *testing.T, word string) AttemptStatus { return meaning(t, statusWords, word) }

func formatState(s EndpointState) string {
	for word, state := range stateWords {
		if state == s {
			return word
		}
	}
	return "unknown"
}

// parseServers reads servers as number:state:zone:cell:weight:time of start.
func parseServers(t *testing.T, words []string) []Endpoint {
	var list []Endpoint
	for _, word := range words {
		w := strings.Split(word, ":")
		list = append(list, Endpoint{
			ID: EndpointID(whole(t, w[0])), State: meaning(t, stateWords, w[1]), Zone: int(whole(t, w[2])),
			Cell: int(whole(t, w[3])), Weight: decimal(t, w[4]), StartedAt: span(t, w[5]),
		})
	}
	return list
}

// pairs reads key=value words.
func pairs(t *testing.T, words []string) map[string]string {
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
	m := pairs(t, words)
	return &Settings{
		Relays: int(whole(t, m["relays"])), Zone: int(whole(t, m["zone"])), PollList: parseBool(t, m["ask"]),
		PollInterval: span(t, m["askevery"]), MaxAttempts: int(whole(t, m["attempts"])), MinTick: span(t, m["tick"]),
		ConnectTimeout: span(t, m["connect"]), MaxRetryAfter: span(t, m["retryafter"]), InitialCapacity: decimal(t, m["coldshare"]),
		SlowStartDuration: span(t, m["coldfor"]), OverloadMultiple: decimal(t, m["tipmultiple"]), OverloadWindow: span(t, m["tipafter"]),
		CrossZoneCost: decimal(t, m["crosszone"]), ReportsLoad: parseBool(t, m["tellsload"]), ReportsDelay: parseBool(t, m["tellsdelay"]),
	}
}

func parseClass(t *testing.T, words []string) Class {
	m := pairs(t, words)
	return Class{
		Name: m["name"], LatencyObjective: span(t, m["aim"]), Deadline: span(t, m["deadline"]), Effect: meaning(t, effectWords, m["effect"]),
		Scope: meaning(t, scopeWords, m["scope"]), DeduplicationWindow: span(t, m["memory"]), MessageLatencyObjective: span(t, m["messageaim"]),
	}
}

func span(t *testing.T, word string) time.Duration {
	t.Helper()
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(n)
}

func whole(t *testing.T, word string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func decimal(t *testing.T, word string) float64 {
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

func nanos(d time.Duration) string { return strconv.FormatInt(int64(d), 10) }
func digits(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }
