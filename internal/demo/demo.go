// Package demo starts a relay among stand-ins on loopback, has something happen to it,
// and holds what the relay says of its decisions against what the stand-ins saw. It is
// `lockroad demo`, and a test that anybody can watch.
package demo

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	spanpb "go.opentelemetry.io/proto/otlp/trace/v1"

	"lockroad/internal/config"
	"lockroad/internal/console"
	"lockroad/internal/explain"
	"lockroad/internal/fake"
	"lockroad/internal/server"
)

// Options are what a demonstration is to be like.
type Options struct {
	Servers int
	Rate    float64       // new clients a second
	For     time.Duration // clients come for this long
	Seed    uint64
	AMQP    float64 // part of the clients that come by AMQP 1.0
	Bytes   int     // of the record
	Asks    int     // answers that are held against the stand-ins' account
	Script  string  // what happens; empty: Usual
	Out     io.Writer
	Log     *slog.Logger // the relay's
}

// RateMost and ForMost bound what a demonstration may ask of a machine.
const (
	RateMost = 500
	ForMost  = time.Hour
	most     = 4000 // clients at a time
)

// Check tells what is wrong with the options.
func (o *Options) Check() error {
	switch {
	case o.Servers < 2 || o.Servers > 64:
		return fmt.Errorf("%d servers are not within 2 and 64", o.Servers)
	case !(o.Rate > 0 && o.Rate <= RateMost):
		return fmt.Errorf("a rate of %v is not within 0 and %d", o.Rate, RateMost)
	case o.For < time.Second || o.For > ForMost:
		return fmt.Errorf("%v is not within a second and %v", o.For, ForMost)
	case !(o.AMQP >= 0 && o.AMQP <= 1):
		return fmt.Errorf("a part of %v is not within 0 and 1", o.AMQP)
	}
	return nil
}

// Usual is what happens in a demonstration of a length: one server hangs, one is full
// for a while, one drains, and one is killed and starts again.
func Usual(length time.Duration) string {
	at := func(part float64) time.Duration { return time.Duration(part * float64(length)).Round(time.Millisecond) }
	return fmt.Sprintf(`; a server takes clients and answers none
(at %v (hang s-1 %v))
(at %v (busy s-3 %v))
(at %v (drain s-2))
(at %v (restart s-4 %v))
(at %v (drop 30))
`, at(.15), min(at(.2), 8*time.Second), at(.4), min(at(.1), 5*time.Second), at(.5), at(.65), min(at(.1), 3*time.Second), at(.8))
}

// Classes are those of the stand-in clients.
var Classes = []fake.Class{
	{Name: "page-render", Share: 0.35, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 3 * time.Second},
	{Name: "part-extract", Share: 0.30, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 4 * time.Second},
	{Name: "live-preview", Share: 0.27, TimeLimit: time.Second, MeanLifetime: 4 * time.Second},
	{Name: "print-export", Share: 0.08, TimeLimit: 2400 * time.Millisecond, MeanLifetime: 2 * time.Second},
}

// Result is what came of a demonstration.
type Result struct {
	Visits   int
	Asked    int
	Gone     int // of those asked for, no longer kept
	Crossed  int // passes that the two saw end in different ways, within the time of a crossing
	Spans    int // that were held against the accounts
	Bad      []string
	Record   string // the console's word on the record
	Passes   int
	ByAnswer map[string]int
}

// Run runs a demonstration. An error says that it could not be run; what did not match
// is in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	site, err := fake.NewSite(o.Servers, 10*time.Millisecond, 0, nil)
	if err != nil {
		return nil, err
	}
	defer site.Stop()
	acts, err := fake.ParseScript(cmp.Or(o.Script, Usual(o.For)), site.Names())
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	d := &run{Options: o, site: site, rng: rand.New(rand.NewPCG(o.Seed, 3)), began: time.Now()}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	stopped := false
	defer func() {
		if !stopped {
			_ = d.stop()
		}
	}()
	site.Clients = &fake.ClientPool{Log: site.Log, LineAddress: d.fronts["line"], AMQPAddress: d.fronts["amqp"], Share: o.AMQP, Classes: Classes, Rate: o.Rate,
		Groups: 40, MessageInterval: 250 * time.Millisecond, MaxClients: most, Seed: o.Seed}
	site.Clients.Prepare()
	coming, done := context.WithTimeout(ctx, o.For)
	defer done()
	var script sync.WaitGroup
	script.Go(func() { site.Run(coming, acts, func(a fake.ScriptedAction) { d.say("%s", a) }) })
	site.Clients.Run(coming)
	script.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	d.say("the last client has left; %d answers are held against what the stand-ins saw", o.Asks)
	accounts, err := d.ask()
	if err != nil {
		return nil, err
	}
	if err := d.summary(accounts); err != nil {
		return nil, err
	}
	if d.result.Record, err = d.command("record"); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Out, "\nthe record of decisions\n%s", d.result.Record)
	stopped = true
	if err := d.stop(); err != nil {
		return nil, err
	}
	d.result.Spans = d.matchSpans(accounts)
	fmt.Fprintf(o.Out, "\n%d answers of %d asked for are as the stand-ins saw it (%d crossings, %d no longer kept), %d spans of telemetry as the answers\n",
		d.result.Asked-d.result.Gone-len(d.result.Bad), d.result.Asked, d.result.Crossed, d.result.Gone, d.result.Spans)
	for _, bad := range d.result.Bad {
		fmt.Fprintln(o.Out, "not as seen:", bad)
	}
	return &d.result, nil
}

// run is a demonstration under way.
type run struct {
	Options
	site      *fake.Site
	rng       *rand.Rand
	began     time.Time
	folder    string
	socket    string
	fronts    map[string]string
	collector *fake.Collector
	telemetry *http.Server
	cancel    context.CancelFunc
	ended     chan error
	result    Result
}

func (d *run) say(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the collector and the relay, and waits until the relay answers.
func (d *run) start(ctx context.Context) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "lockroad-demo-"); err != nil {
		return err
	}
	d.socket = filepath.Join(d.folder, "console.sock")
	text, err := d.site.Config(Classes, d.Seed, 0)
	if err != nil {
		return err
	}
	platform, err := config.ParseConfig(text)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.collector = &fake.Collector{}
	d.telemetry = &http.Server{Handler: d.collector, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.telemetry.Serve(l) }()
	operator := &config.Operator{
		AMQP:    config.AMQP{Listen: "127.0.0.1:0", EndpointPort: d.site.AMQPPort},
		Console: config.Console{Socket: d.socket},
		OTLP:    config.OTLP{Endpoint: "http://" + l.Addr().String()},
		Why:     config.Why{Bytes: &d.Bytes},
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.ended = make(chan error, 1)
	go func() { d.ended <- server.Run(ctx, server.RunOptions{}, platform, operator, d.Log) }()
	for late := time.Now().Add(10 * time.Second); ; {
		if d.fronts, err = d.listens(); err == nil {
			break
		}
		select {
		case err := <-d.ended:
			d.ended <- err
			return fmt.Errorf("the relay has not started: %w", err)
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(late) {
			return errors.New("the relay does not answer at its console")
		}
	}
	fmt.Fprintf(d.Out, "a relay and %d stand-in servers are up for %v, %v new clients a second (seed %d)\n", d.Servers, d.For, d.Rate, d.Seed)
	for name, address := range d.fronts {
		fmt.Fprintf(d.Out, "  front %-5s %s\n", name, address)
	}
	fmt.Fprintf(d.Out, "  console     %s\n  try         lockroad why --socket %s --where '(eventful)'\n", d.socket, d.socket)
	return nil
}

// stop ends the relay, which sends the last of its telemetry, and the collector.
func (d *run) stop() error {
	defer func() { _ = os.RemoveAll(d.folder) }()
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	err := <-d.ended
	_ = d.telemetry.Close()
	return err
}

// command has the relay run a command of its console.
func (d *run) command(command string) (string, error) {
	var out, errs strings.Builder
	if code := console.Run(d.socket, command, nil, &out, &errs); code != console.ExitOK {
		return "", errors.New(strings.TrimSpace(errs.String()))
	}
	return out.String(), nil
}

func (d *run) listens() (map[string]string, error) {
	text, err := d.command("fronts")
	if err != nil {
		return nil, err
	}
	fronts := make(map[string]string)
	for line := range strings.Lines(text) {
		if words := strings.Fields(line); len(words) == 2 && words[0] != "FRONT" {
			fronts[words[0]] = words[1]
		}
	}
	return fronts, nil
}

// ask asks for random transactions that clients had, and holds each answer against
// what clients and servers saw.
func (d *run) ask() (map[string]*explain.Explanation, error) {
	visits := d.site.Log.Sessions()
	d.result.Visits = len(visits)
	byName := make(map[string][]fake.Attempt)
	passes := d.site.Log.Attempts()
	d.result.Passes = len(passes)
	for _, p := range passes {
		byName[p.Name] = append(byName[p.Name], p)
	}
	down := d.downs()
	order := d.rng.Perm(len(visits))
	accounts := make(map[string]*explain.Explanation)
	for _, i := range order[:min(len(order), d.Asks)] {
		v := visits[i]
		name := v.Name
		if v.Frontend == "amqp" {
			name = "client/" + v.Name
		}
		d.result.Asked++
		text, err := d.command("why --json -- " + name)
		if err != nil {
			switch {
			case strings.Contains(err.Error(), "no longer kept"):
				d.result.Gone++
			case v.Answer == "none" && strings.Contains(err.Error(), "has not come"):
				d.result.Gone++ // it was given up before the relay had read it
			default:
				d.result.Bad = append(d.result.Bad, fmt.Sprintf("%s: %v", v.Name, err))
			}
			continue
		}
		a := &explain.Explanation{}
		if err := json.Unmarshal([]byte(text), a); err != nil {
			return nil, fmt.Errorf("the answer on %s: %w", name, err)
		}
		accounts[v.Name] = a
		m := match{account: a, visit: v, passes: byName[v.Name], down: down}
		if bad := m.run(); len(bad) > 0 {
			d.result.Bad = append(d.result.Bad, fmt.Sprintf("%s: %s\n%s", v.Name, strings.Join(bad, "; "), text))
		}
		d.result.Crossed += m.crossed
	}
	return accounts, nil
}

// downs are the times at which servers were killed.
func (d *run) downs() map[string][]time.Time {
	down := make(map[string][]time.Time)
	for _, t := range d.site.Log.EndpointChanges() {
		if t.State == fake.Killed {
			down[t.Endpoint] = append(down[t.Endpoint], t.At)
		}
	}
	return down
}

// summary writes how it went by class, and some answers to read.
func (d *run) summary(_ map[string]*explain.Explanation) error {
	t := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nCLASS\tASKED\tUP\tUNAVAILABLE\tFAILED\tNO ANSWER\tMOVED\tSET-UP p50\tp99")
	d.result.ByAnswer = make(map[string]int)
	for _, class := range Classes {
		count := make(map[string]int)
		took := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		for _, v := range d.site.Log.Sessions() {
			if v.Class != class.Name {
				continue
			}
			count["asked"]++
			count[v.Answer]++
			d.result.ByAnswer[v.Answer]++
			if v.End == "moved" {
				count["moved"]++
			}
			if v.Answer == "up" {
				took.RecordValue(v.SetupTime.Microseconds())
			}
		}
		ms := func(q float64) time.Duration {
			return (time.Duration(took.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n", class.Name, count["asked"], count["up"], count["unavailable"], count["failed"],
			count["none"], count["moved"], ms(50), ms(99))
	}
	t.Flush()
	text, err := d.command("why --by server,reason,outcome (verdict sent)")
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "\nwhere they went, why, and how it ended\n%s", text)
	for _, about := range []struct{ title, query string }{
		{"refused, or tried most often", "(or (answer unavailable) (passes > 2))"},
		{"sent past the server where its group was", "(reason route-slow route-gone route-eased)"},
		{"moved", "(and (answer moved) (verdict moved))"},
	} {
		text, err := d.command("why --most 1 " + about.query)
		if err != nil {
			return err
		}
		if strings.HasPrefix(text, "transaction ") {
			text, _, _ = strings.Cut(text, "\n\n")
			fmt.Fprintf(d.Out, "\n%s\n%s\n", about.title, strings.TrimRight(text, "\n"))
		}
	}
	return nil
}

// match holds one answer against what the stand-ins saw.
type match struct {
	account *explain.Explanation
	visit   fake.Session
	passes  []fake.Attempt
	down    map[string][]time.Time
	crossed int
	bad     []string
}

func (m *match) badf(format string, args ...any) { m.bad = append(m.bad, fmt.Sprintf(format, args...)) }

const (
	crossing = 50 * time.Millisecond // what two sides see within it may have crossed
	nearDown = time.Second
)

// seenPass is a pass as the account tells of it.
type seenPass struct {
	server, outcome string
	began, ended    time.Time
}

func (m *match) told() []seenPass {
	var all []seenPass
	for _, s := range m.account.Events {
		at := m.account.ReceivedAt.Add(time.Duration(s.AfterMS * float64(time.Millisecond)))
		switch s.What {
		case "pass":
			all = append(all, seenPass{server: s.Endpoint, began: at})
		case "outcome":
			if n := len(all); n > 0 {
				all[n-1].outcome, all[n-1].ended = s.Outcome, at
			}
		}
	}
	return all
}

// run returns what does not match.
func (m *match) run() []string {
	a, v := m.account, m.visit
	if a.Class != v.Class || a.Front != v.Frontend || strings.TrimLeft(a.Flow, "0") != strings.TrimLeft(v.Flow, "0") || a.Returning != v.Returning {
		m.badf("the client was %s of %s by %s, again %v", v.Flow, v.Class, v.Frontend, v.Returning)
	}
	if a.HeadEvicted {
		return m.bad // what is left of it is only its end
	}
	seen := m.passes
	for _, p := range m.told() {
		if len(seen) > 0 && seen[0].Server == p.server && m.agree(p, seen[0]) {
			seen = seen[1:]
			continue
		}
		switch {
		case p.outcome == "connect_failed" || p.outcome == "moot": // nothing has come to the server
		case (p.outcome == "reset" || p.outcome == "cancelled" || p.outcome == "timeout") && m.wasDown(p):
		case p.outcome == "cancelled" && p.ended.Sub(p.began) < crossing: // let go before it was sent
			m.crossed++
		default:
			saw := "nothing"
			if len(seen) > 0 {
				saw = fmt.Sprintf("%s at %s", cmp.Or(seen[0].Answer, "no answer"), seen[0].Server)
			}
			m.badf("a pass to %s ended %s, and the servers saw %s", p.server, cmp.Or(p.outcome, "not at all"), saw)
			return m.bad
		}
	}
	for _, p := range seen {
		m.badf("%s saw a pass that the answer has not (%s)", p.Server, cmp.Or(p.Answer, "no answer"))
	}
	m.answers()
	return m.bad
}

// agree tells whether a pass ended as its server saw it.
func (m *match) agree(p seenPass, s fake.Attempt) bool {
	want := map[string]string{"ok": "up", "error": "error", "full": "busy", "reset": "broken"}
	if s.Answer == want[p.outcome] && s.Answer != "" {
		return true
	}
	switch p.outcome {
	case "timeout", "cancelled", "":
		if s.Answer == "" {
			return true
		}
		// The answer and the time-out, or the client's leaving, have crossed.
		if p.ended.IsZero() || s.Answered.Sub(p.ended).Abs() < crossing {
			m.crossed++
			return true
		}
	case "reset", "connect_failed":
		if s.Answer == "" || s.Answer == "up" {
			return m.wasDown(p)
		}
	}
	return false
}

// wasDown tells whether a server was killed near a pass.
func (m *match) wasDown(p seenPass) bool {
	return slices.ContainsFunc(m.down[p.server], func(at time.Time) bool {
		return at.Sub(p.began) > -nearDown && at.Sub(p.began) < p.ended.Sub(p.began)+nearDown
	})
}

// answers holds the final answer against what the client was told.
func (m *match) answers() {
	a, v := m.account, m.visit
	stood := slices.ContainsFunc(a.Events, func(s explain.Event) bool { return s.What == "up" })
	last := a.Events[len(a.Events)-1]
	switch v.Answer {
	case "up":
		if !stood {
			m.badf("the client was up, the answer says %s", a.Result)
		}
	case "unavailable":
		if a.Result != "unavailable" || (time.Duration(a.RetryAfterMS*float64(time.Millisecond))-v.RetryAfter).Abs() >= 2*time.Millisecond {
			m.badf("the client was told unavailable, to come back in %v, the answer says %s, in %v ms", v.RetryAfter, a.Result, a.RetryAfterMS)
		}
	case "failed":
		if a.Result != "failed" {
			m.badf("the client was told that it has failed, the answer says %s", a.Result)
		}
	case "none": // it gave up, or its answer came too late to be read
		if a.Result != "client_left" && last.AfterMS < v.TimeLimit.Seconds()*1000-100 {
			m.badf("the client had no answer in %v, the answer says %s after %.0f ms", v.SetupTime, a.Result, last.AfterMS)
		}
	}
	if v.Answer != "up" || v.End == "" {
		return
	}
	may := map[string][]string{
		"moved": {"moved", "silent", "ended"}, "broken": {"ended", "silent", "moved"},
		"bye": {"ended", "moved", "silent"}, "left": {"ended", "moved", "silent", "client_left"}, "dropped": {"ended", "moved", "silent", "client_left"},
	}[v.End]
	ended := a.ReceivedAt.Add(time.Duration(last.AfterMS * float64(time.Millisecond)))
	if v.End == "moved" && (a.Result == "client_left" || a.Result == "ended" && strings.Contains(last.Text, "its client ends it")) &&
		ended.Sub(v.At.Add(v.SetupTime+v.Established)).Abs() < crossing {
		m.crossed++ // it went at the word, and was seen to go before the word's own end
		return
	}
	if !slices.Contains(may, a.Result) {
		m.badf("the client's connection ended %s, the answer says %s", v.End, a.Result)
	}
	if v.End == "moved" && a.Result == "ended" && !strings.Contains(last.Text, "sends the client away") {
		m.badf("the client was moved, the answer says that %s", last.Text)
	}
}

// matchSpans holds the spans of telemetry against the answers, and returns how many.
func (d *run) matchSpans(accounts map[string]*explain.Explanation) int {
	byNumber := make(map[string]*explain.Explanation)
	for _, a := range accounts {
		byNumber[fmt.Sprint(a.Number)] = a
	}
	type spans struct{ answer, reason, passes string }
	found := make(map[string]*spans)
	ids := make(map[string]*spans)
	all := d.collector.Spans()
	for _, s := range all {
		if s.Name == "transaction" {
			one := &spans{answer: fake.Attribute(s.Attributes, "answer"), reason: fake.Attribute(s.Attributes, "reason")}
			found[fake.Attribute(s.Attributes, "number")], ids[string(s.SpanId)] = one, one
		}
	}
	children := slices.Clone(all)
	slices.SortStableFunc(children, func(x, y *spanpb.Span) int { return cmp.Compare(x.StartTimeUnixNano, y.StartTimeUnixNano) })
	for _, s := range children {
		if of := ids[string(s.ParentSpanId)]; of != nil && s.Name == "proxy pass" {
			of.passes += fake.Attribute(s.Attributes, "server") + " " + fake.Attribute(s.Attributes, "outcome") + ";"
		}
	}
	n := 0
	for number, a := range byNumber {
		s := found[number]
		if s == nil {
			continue // dropped on its way, or still under way
		}
		n++
		var passes bytes.Buffer
		reason := ""
		for _, step := range a.Events {
			switch {
			case step.What == "outcome":
				fmt.Fprintf(&passes, "%s %s;", step.Endpoint, step.Outcome)
			case step.Reason != "":
				reason = step.Reason
			}
		}
		if s.answer != a.Result || s.passes != passes.String() && !a.HeadEvicted || s.reason != reason {
			d.result.Bad = append(d.result.Bad, fmt.Sprintf("transaction %s: telemetry tells %+v, the answer %s, %s, %s", number, *s, a.Result, reason, passes.String()))
		}
	}
	return n
}
