package balance

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
	snapshot Memory
	told     []string // decisions of the input at hand

	facade  *Facade
	tickets map[string]*Ticket
	order   []string // of the tickets that are open
	gone    context.Context
}

func newPlayer() *player {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	return &player{settings: make(map[string]*Settings), tickets: make(map[string]*Ticket), gone: gone}
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
		p.snapshot = p.b.Recollect()
		return formatSnapshot(&p.snapshot)
	case "renumber": // a server that is left out; all others become themselves
		left := ServerID(whole(t, w[0]))
		p.snapshot.Renumber(func(id ServerID) (ServerID, bool) { return id, id != left })
		return formatSnapshot(&p.snapshot)
	case "restore":
		p.b.Remember(now, p.snapshot)
		return nil
	case "advice":
		return []string{"advice " + nanos(p.b.Advice(now))}
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
	server := func(i int) ServerID { return ServerID(whole(t, w[i])) }
	switch word {
	case "list": // kind, servers
		return ServerList{Kind: parseListKind(t, w[0]), Servers: parseServers(t, w[1:])}
	case "retuned":
		return Retuned{Settings: p.settings[w[0]]}
	case "request":
		return p.parseRequest(t, w)
	case "resumed": // server, request
		return Resumed{Server: server(0), Request: p.parseRequest(t, w[1:])}
	case "standing": // request, server, time it took
		return Standing{Request: request(0), Server: server(1), Took: span(t, w[2])}
	case "outcome": // request, server, status, over
		return Outcome{Request: request(0), Server: server(1), Status: parseStatus(t, w[2]), Done: parseBool(t, w[3])}
	case "dismissed":
		return Dismissed{Request: request(0)}
	case "left":
		return ClientLeft{Request: request(0)}
	case "load": // request, server, load
		return LoadNote{Request: request(0), Server: server(1), Load: decimal(t, w[2])}
	case "delay": // request, server, delay
		return DelayNote{Request: request(0), Server: server(1), Delay: span(t, w[2])}
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
		Left: span(t, w[4]), Load: decimal(t, w[5]), Return: parseBool(t, w[6]), Under: p.settings[w[7]],
	}
}

func formatAction(t *testing.T, a Action) string {
	switch a := a.(type) {
	case Send:
		return fmt.Sprintf("send %d %d %d %d", a.Request, a.Server, int64(a.Timeout), int64(a.Latest))
	case Refuse:
		return fmt.Sprintf("refuse %d %d", a.Request, int64(a.RetryAfter))
	case Fail:
		return fmt.Sprintf("fail %d", a.Request)
	case Move:
		return fmt.Sprintf("move %d", a.Request)
	case SetTimer:
		return fmt.Sprintf("timer %d %d", a.Token, int64(a.After))
	case Watch:
		return "watch"
	}
	t.Fatalf("no such action: %T", a)
	return ""
}

// playFacade plays an input to the Facade. Requests go by names of their own there, and steps come with a tick.
func (p *player) playFacade(t *testing.T, now time.Duration, word string, w []string) []string {
	switch word {
	case "facade": // settings, seed
		p.facade = NewFacade(*p.settings[w[0]], whole(t, w[1]))
		p.facade.Observe()
		p.facade.Survey()
		return nil
	case "tick":
		return p.tick(now)
	case "pick": // name, class, item, group, give up at, load, comes back, settings, open at server or "-"
		ask := Ask{
			Class: int(whole(t, w[1])), Item: whole(t, w[2]), Group: whole(t, w[3]), GiveUp: span(t, w[4]),
			Load: decimal(t, w[5]), Return: parseBool(t, w[6]), Under: p.settings[w[7]], Witness: tellNamed{p, w[0]},
		}
		if w[8] != "-" {
			ask.Open, ask.At = true, ServerID(whole(t, w[8]))
		}
		ticket := NewTicket(ask)
		p.tickets[w[0]] = ticket
		p.order = append(p.order, w[0])
		p.facade.Pick(p.gone, ticket)
		return []string{"time left " + nanos(ticket.Left(now))}
	case "advice":
		wait := inTurn(p, now, p.facade.Advise)
		return append([]string{"advice " + nanos(wait)}, p.told...)
	case "views":
		views := inTurn(p, now, func(ctx context.Context) []View { v, _ := p.facade.Hold(ctx); return v })
		return append(formatViews(views), p.told...)
	case "snapshot":
		p.snapshot = inTurn(p, now, func(ctx context.Context) Memory { m, _ := p.facade.Recollect(ctx); return m })
		return append(formatSnapshot(&p.snapshot), p.told...)
	case "pool":
		listed, avoided := p.facade.Pool(now)
		return []string{fmt.Sprintf("pool %d %d", listed, avoided)}
	case "close":
		p.facade.Close()
		wait := p.facade.Advise(context.Background())
		_, err := p.facade.Hold(p.gone)
		return []string{fmt.Sprintf("closed %d %t", int64(wait), err != nil)}
	}
	p.facade.Report(p.parseNews(t, word, w))
	return nil
}

// parseNews reads what is reported to the Facade.
func (p *player) parseNews(t *testing.T, word string, w []string) News {
	switch word {
	case "stands": // name, time it took
		return Stands{Ticket: p.tickets[w[0]], Took: span(t, w[1])}
	case "ended": // name, status
		return Ended{Ticket: p.tickets[w[0]], How: parseStatus(t, w[1])}
	case "dismiss":
		return Dismiss{Ticket: p.tickets[w[0]]}
	case "left":
		return Left{Ticket: p.tickets[w[0]]}
	case "load": // name, load
		return Load{Ticket: p.tickets[w[0]], Load: decimal(t, w[1])}
	case "delay": // server, delay
		return Delay{Server: ServerID(whole(t, w[0])), Delay: span(t, w[1])}
	case "farm": // kind, revision, servers
		return Farm{Kind: parseListKind(t, w[0]), Revision: whole(t, w[1]), Servers: parseServers(t, w[2:])}
	case "retune":
		return Retune{Settings: p.settings[w[0]]}
	case "restore":
		return Remember{Memory: p.snapshot}
	case "budget":
		return Budget{Part: decimal(t, w[0])}
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
				StepPass: "pass", StepUp: "up", StepMove: "move", StepOver: "over",
				StepUnavailable: "unavailable", StepFailed: "failed",
			}[step.Kind]
			over = over || step.Kind != StepPass && step.Kind != StepUp
			out = append(out, fmt.Sprintf("step %s %s %d %d %d", name, word, step.Server, int64(step.Wait), int64(step.Latest)))
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
	case <-p.facade.Waiting():
	default:
	}
	answer := make(chan T, 1)
	go func() { answer <- ask(context.Background()) }()
	<-p.facade.Waiting()
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
		id, d.Verdict, d.Reason, int64(d.At), d.Attempt, d.Server, int64(d.Wait), int64(d.Left), d.Servers, digits(d.SlowPart),
		d.Revision, int64(d.ListAge), d.Instead)}
	for _, f := range d.Believed {
		out = append(out, fmt.Sprintf("believed %d %s %s %s %s %s %s %d %d", f.Server, formatState(f.State),
			strings.Join(append([]string{"bars"}, f.Bars.Names()...), ","), digits(f.Weight), digits(f.Warmth), digits(f.Load),
			digits(f.Pull), int64(f.Delay), int64(f.Age)))
	}
	return out
}

func formatSnapshot(m *Memory) []string {
	count := func(c CountMemory) string {
		return fmt.Sprintf("%s,%d,%d", digits(c.Count), int64(c.Since), int64(c.From))
	}
	out := []string{fmt.Sprintf("snapshot salt=%d recent=%s pace=%s persize=%s load=%s loads=%s window=%s", m.Salt,
		count(m.Recent), count(m.Pace), digits(m.PerSize), digits(m.Load), digits(m.Loads), digits(m.Window))}
	for _, s := range m.Servers {
		out = append(out, fmt.Sprintf("server %d %s %d %d %d %d %d %d %d %d %d %d %d", s.ID, digits(s.Weight), int64(s.Weighed),
			int64(s.LastSent), int64(s.StoodAt), int64(s.FailedAt), int64(s.LastSlow), int64(s.Delay), int64(s.DelayAt),
			int64(s.Relieved), int64(s.DrainAt), int64(s.AwayAt), int64(s.LastBorn)))
	}
	for _, r := range m.Routes {
		out = append(out, fmt.Sprintf("route %d %d %d", r.Key, r.Server, int64(r.Until)))
	}
	return out
}

func formatViews(views []View) []string {
	var out []string
	for _, v := range views {
		out = append(out, fmt.Sprintf("view %d %d %s %q", v.Server, int64(v.Delay), digits(v.Load), v.Avoided))
	}
	return out
}

// The words of the files for what Go counts.

var (
	effectWords = map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "once": AtMostOnce}
	scopeWords  = map[string]Scope{"all": ScopeAll, "zone": ScopeZone, "cell": ScopeCell}
	stateWords  = map[string]State{"gone": Gone, "ready": Ready, "draining": Draining}
	listWords   = map[string]ListKind{"failed": ListFailed, "full": ListFull, "cached": ListCached, "delta": ListDelta}
	statusWords = map[string]Status{
		"ok": OK, "error": Error, "full": Full, "timeout": Timeout, "connect": ConnectFailed, "reset": Reset,
		"cancelled": Cancelled, "moot": Moot, "away": SentAway,
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

func parseListKind(t *testing.T, word string) ListKind { return meaning(t, listWords, word) }
func parseStatus(t *testing.T, word string) Status     { return meaning(t, statusWords, word) }

func formatState(s State) string {
	for word, state := range stateWords {
		if state == s {
			return word
		}
	}
	return "unknown"
}

// parseServers reads servers as number:state:zone:cell:weight:time of start.
func parseServers(t *testing.T, words []string) []Server {
	var list []Server
	for _, word := range words {
		w := strings.Split(word, ":")
		list = append(list, Server{
			ID: ServerID(whole(t, w[0])), State: meaning(t, stateWords, w[1]), Zone: int(whole(t, w[2])),
			Cell: int(whole(t, w[3])), Weight: decimal(t, w[4]), Born: span(t, w[5]),
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
		Relays: int(whole(t, m["relays"])), Zone: int(whole(t, m["zone"])), Ask: parseBool(t, m["ask"]),
		AskEvery: span(t, m["askevery"]), MaxAttempts: int(whole(t, m["attempts"])), Tick: span(t, m["tick"]),
		Connect: span(t, m["connect"]), MaxRetryAfter: span(t, m["retryafter"]), ColdShare: decimal(t, m["coldshare"]),
		ColdFor: span(t, m["coldfor"]), TipMultiple: decimal(t, m["tipmultiple"]), TipAfter: span(t, m["tipafter"]),
		CrossZoneCost: decimal(t, m["crosszone"]), TellsLoad: parseBool(t, m["tellsload"]), TellsDelay: parseBool(t, m["tellsdelay"]),
	}
}

func parseClass(t *testing.T, words []string) Class {
	m := pairs(t, words)
	return Class{
		Name: m["name"], Aim: span(t, m["aim"]), Deadline: span(t, m["deadline"]), Effect: meaning(t, effectWords, m["effect"]),
		Scope: meaning(t, scopeWords, m["scope"]), Memory: span(t, m["memory"]), MessageAim: span(t, m["messageaim"]),
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
