package explain

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// hall is a record with a clock that the test moves, and three servers.
type hall struct {
	t    *testing.T
	farm *registry.Endpoints
	r    *decisionlog.Log
	w    *Explainer
	next uint64
	from time.Duration
}

func in(t *testing.T, do func(h *hall)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := proxy.NewClock()
		r, err := decisionlog.New(decisionlog.MinBytes, clock)
		if err != nil {
			t.Fatal(err)
		}
		h := &hall{t: t, farm: registry.NewEndpoints(), r: r, from: clock.Now()}
		for i := range 3 {
			h.farm.ID(fmt.Sprintf("s-%d", i+1))
		}
		h.w = &Explainer{Log: r, Names: h.farm}
		do(h)
	})
}

func (h *hall) begin(class string, change func(*proxy.Request)) proxy.RequestObserver {
	h.next++
	a := proxy.Request{Front: "line", Class: class, Name: fmt.Sprintf("%016x", h.next), RequestOptions: balancer.RequestOptions{
		Group: 0x5c0f, Item: 0x7f00 + h.next, Deadline: h.r.Clock().Now() + 2*time.Second,
	}}
	if change != nil {
		change(&a)
	}
	return h.r.Began(h.next, a)
}

// decided tells a trace of a decision about servers, of which the first is chosen.
func (h *hall) decided(tr proxy.RequestObserver, v balancer.Verdict, why balancer.Reason, attempt int, wait time.Duration, f ...balancer.ConsideredEndpoint) {
	d := &balancer.Decision{At: h.r.Clock().Now(), Verdict: v, Reason: why, Attempt: attempt, Wait: wait, ReadyEndpoints: 3, SlowShare: 1. / 3,
		Revision: 41, ListAge: 3200 * time.Millisecond, Considered: f, Preferred: -1}
	if len(f) > 0 && (v == balancer.VerdictSent || v == balancer.VerdictMigrated) {
		d.Endpoint = f[0].Endpoint
	}
	if len(f) > 1 {
		d.Preferred = 1
	}
	tr.Decided(d)
}

func belief(server balancer.EndpointID, bars balancer.Exclusions) balancer.ConsideredEndpoint {
	return balancer.ConsideredEndpoint{Endpoint: server, State: balancer.StateReady, Exclusions: bars, Weight: 0.5, Warmth: 1, Load: 4.2, Probability: 0.3, Delay: 2100 * time.Millisecond, DelayAge: 300 * time.Millisecond}
}

// refused has a live preview tried at all three servers, the last of which is full.
func (h *hall) refused() {
	tr := h.begin("live-preview", nil)
	for i, how := range []balancer.AttemptStatus{balancer.StatusTimeout, balancer.StatusReset, balancer.StatusFull} {
		server := balancer.EndpointID(i + 1)
		switch i {
		case 0:
			h.decided(tr, balancer.VerdictSent, balancer.ReasonRouteSlow, 1, time.Second, belief(server, 0), belief(2, balancer.ExcludedSlow))
		default:
			h.decided(tr, balancer.VerdictSent, balancer.ReasonRedrawn, i+1, time.Second, belief(server, 0))
		}
		back := tr.AttemptStarted(server)
		time.Sleep(250 * time.Millisecond)
		back(how)
		if i < 2 {
			h.decided(tr, balancer.VerdictHeld, balancer.ReasonBackoff, i+1, 100*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
	}
	h.decided(tr, balancer.VerdictRejected, balancer.ReasonAttemptsExhausted, 3, 800*time.Millisecond)
	tr.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: 800 * time.Millisecond})
}

func (h *hall) ask(line string) string {
	h.t.Helper()
	q, err := ParseLine(line)
	var out strings.Builder
	if err == nil {
		err = h.w.Answer(q, &out)
	}
	if err != nil {
		return "error: " + err.Error()
	}
	return out.String()
}

// wantLines compares, but for the time of day, which a test can't know.
func (h *hall) wantLines(got, want string) {
	h.t.Helper()
	got = strings.ReplaceAll(got, "came at "+h.r.Clock().Wall(h.from).Format("15:04:05.000"), "came at NOON")
	if got != want {
		h.t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// The hard case: tried at three servers, the third refusing.
func TestRefusalAfterThreeServersIsExplained(t *testing.T) {
	in(t, func(h *hall) {
		h.refused()
		h.wantLines(h.ask("1"), `transaction 1, front line, name 0000000000000001, class live-preview, group 0000000000005c0f, flow 0000000000007f01
  came at NOON, 950 ms ago; its client waits 2.0 s
     +0.0 ms  attempt 1 goes to s-1, drawn anew from 3 ready servers as s-2, where its group is, is slow or full (load 4.2, weight 0.50, delay 2.1 s 300 ms ago); would have gone to s-2 but for its being slow or full (load 4.2, weight 0.50, delay 2.1 s 300 ms ago) [list of revision 41, 3.2 s old]
     +0.0 ms  connects to s-1
     +250 ms  s-1 does not answer in time
     +250 ms  waits 100 ms before attempt 2
     +350 ms  attempt 2 goes to s-2, drawn from 3 ready servers past those that failed it (load 4.2, weight 0.50, delay 2.1 s 300 ms ago)
     +350 ms  connects to s-2
     +600 ms  s-2 breaks the connection
     +600 ms  waits 100 ms before attempt 3
     +700 ms  attempt 3 goes to s-3, drawn from 3 ready servers past those that failed it (load 4.2, weight 0.50, delay 2.1 s 300 ms ago)
     +700 ms  connects to s-3
     +950 ms  s-3 turns it away as full
     +950 ms  is given up: it has had all the attempts that it may have, after 3 attempts; 3 servers are ready, 33% of them slow
     +950 ms  gets the unavailable answer, to come back in 800 ms
`)
		for _, by := range []string{"0000000000000001", "0000000000007f01", `--where (and (class "live-preview") (answer unavailable) (since 5m))`} {
			if got := h.ask(by); !strings.HasPrefix(got, "transaction 1,") {
				t.Errorf("asked by %s: %s", by, got)
			}
		}
		var a Explanation
		if err := json.Unmarshal([]byte(h.ask("--json 1")), &a); err != nil || a.Result != "unavailable" || a.RetryAfterMS != 800 || len(a.Events) != 13 ||
			a.Events[0].Preferred != "s-2" || a.Events[0].Considered[1].Exclusions[0] != "slow" || a.Events[2].Outcome != "timeout" || *a.Events[0].ListAgeMS != 3200 {
			t.Errorf("as JSON %+v, %v", a, err)
		}
	})
}

// A move and the same client's return are told of together.
func TestMoveIsLinkedWithTheReturn(t *testing.T) {
	in(t, func(h *hall) {
		move := func(a *proxy.Request) { a.Item = 0x99; a.Group = 7 }
		first := h.begin("page", move)
		h.decided(first, balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 0, belief(1, 0))
		first.AttemptStarted(1)(balancer.StatusOK)
		first.Established()
		time.Sleep(3 * time.Second)
		h.decided(first, balancer.VerdictMigrated, balancer.ReasonLoadRelief, 1, 0, belief(1, balancer.ExcludedSlow))
		first.Ended(proxy.Result{End: registry.EndMigrated})
		h.begin("page", func(a *proxy.Request) { a.Item, a.Group = 0x98, 7 }).Ended(proxy.Result{End: registry.EndClientLeft}) // of the group, and not back
		time.Sleep(400 * time.Millisecond)
		back := h.begin("page", func(a *proxy.Request) { move(a); a.Returning = true })
		h.begin("page", func(a *proxy.Request) { a.Item, a.Group, a.Returning = 0x97, 7, true })
		if got := h.ask("1"); !strings.Contains(got, "its client came again 400 ms later as 3 (of the same flow), which waits for an answer") ||
			!strings.Contains(got, "is moved off s-1, which is slow and has to lose connections") {
			t.Errorf("of the first:\n%s", got)
		}
		back.AttemptStarted(2)(balancer.StatusOK)
		back.Established()
		if got := h.ask("3"); !strings.Contains(got, "its client came back from 1 (of the same flow), whose client is told to move (relief: s-1), 400 ms before") ||
			!strings.Contains(got, "back after a move or a break") || !strings.Contains(got, "  it stands\n") {
			t.Errorf("of the second:\n%s", got)
		}
		if got := h.ask("4"); !strings.Contains(got, "from 1 (of the same group, so perhaps the same client)") {
			t.Errorf("of another of the group:\n%s", got)
		}
		if got := h.ask("2"); strings.Contains(got, "came back") || strings.Contains(got, "came again") {
			t.Errorf("of one that is not back:\n%s", got)
		}
	})
}

func TestQueriesChoose(t *testing.T) {
	in(t, func(h *hall) {
		h.refused() // 1
		time.Sleep(time.Minute)
		for range 3 { // 2 to 4
			tr := h.begin("page", nil)
			h.decided(tr, balancer.VerdictSent, balancer.ReasonCachedRoute, 1, 0, belief(2, 0))
			tr.AttemptStarted(2)(balancer.StatusOK)
			tr.Established()
			tr.Ended(proxy.Result{End: registry.EndClosed})
		}
		h.begin("print", func(a *proxy.Request) { a.Front, a.Returning = "amqp", true }).Ended(proxy.Result{End: registry.EndRejected, Cause: proxy.CauseConnectionLimit}) // 5
		if err := h.r.Pin(3, true); err != nil {
			t.Fatal(err)
		}
		for query, want := range map[string]string{
			`(class "page")`:             "4 3 2",
			`(not (class page print))`:   "1",
			`(and)`:                      "5 4 3 2 1",
			`(or)`:                       "",
			`(answer ended unavailable)`: "5 4 3 2 1",
			`(and (answer "unavailable") (not (cause no-seat)))`: "1",
			`(server s-2)`:                    "4 3 2 1",
			`(server s-3)`:                    "1",
			`(reason cached-route)`:           "4 3 2",
			`(verdict refused)`:               "1",
			`(outcome full)`:                  "1",
			`(since 30s)`:                     "5 4 3 2",
			`(until 30s)`:                     "1",
			`(passes >= 2)`:                   "1",
			`(passes = 0)`:                    "5",
			`(took > 900ms)`:                  "1",
			`(took <= 900ms)`:                 "5 4 3 2",
			`(or (number 2) (pinned))`:        "3 2",
			`(and (return) (front amqp))`:     "5",
			`(eventful)`:                      "5 1",
			`(name "0000000000000004")`:       "4",
			`(flow 7f02 7f04)`:                "4 2",
			`(and (group 5c0f) (class page))`: "4 3 2",
		} {
			var got []string
			for line := range strings.Lines(h.ask("--where " + query)) {
				var n string
				if _, err := fmt.Sscanf(line, "transaction %s", &n); err == nil {
					got = append(got, strings.TrimSuffix(n, ","))
				}
			}
			if strings.Join(got, " ") != want {
				t.Errorf("%s chooses %v, want %s", query, got, want)
			}
		}
		want := "SERVER  REASON        COUNT\ns-2     cached-route  3\n-       backoff       1\n-       out-of-tries  1\n" +
			"s-1     route-slow    1\ns-2     drawn-again   1\ns-3     drawn-again   1\n-       -             1\n"
		if got := h.ask("--by server,reason"); sortedLines(got) != sortedLines(want+"5 transactions; one counts in each row that a decision of its falls in\n") {
			t.Errorf("counted\n%s", got)
		}
		if got := h.ask(`--json --by class (answer ended)`); got != `{"class":"page","count":3}`+"\n" {
			t.Errorf("counted %s", got)
		}
		if got := h.ask("--most 2"); !strings.Contains(got, "2 of 5; --most shows more") {
			t.Errorf("two of all:\n%s", got)
		}
	})
}

func sortedLines(s string) string {
	lines := strings.Split(s, "\n")
	for i := range lines {
		for j := range lines[:i] {
			if lines[i] < lines[j] {
				lines[i], lines[j] = lines[j], lines[i]
			}
		}
	}
	return strings.Join(lines, "\n")
}

func TestBadQuestionsSayWhereAndWhatWasExpected(t *testing.T) {
	in(t, func(h *hall) {
		h.begin("page", nil)
		for line, want := range map[string]string{
			`--where (clas "page")`:          `line 1, column 2: no query is called "clas"; expected and, or, not, number, name`,
			`--where (and (class page) (x))`: `line 1, column 20: no query is called "x"`,
			`--where (answer "gone")`:        `line 1, column 9: answer is never "gone"; expected one of waiting, up, ended`,
			`--where (reason drawn lots)`:    `line 1, column 15: reason is never "lots"`,
			`--where (since yesterday)`:      `line 1, column 8: "yesterday" is no time such as 5m`,
			`--where (passes => 2)`:          `line 1, column 9: "=>" compares nothing; expected one of = < > <= >=`,
			`--where (passes > many)`:        `line 1, column 11: "many" is no whole number`,
			`--where (server s-9)`:           `line 1, column 9: no list has named an application server "s-9"`,
			`--where (class)`:                `line 1, column 1: class wants a value`,
			`--where (class (page))`:         `line 1, column 8: a list stands where a word or string is expected`,
			`--where (group xyz)`:            `line 1, column 8: "xyz" is no hexadecimal number`,
			`--where (pinned 1)`:             `line 1, column 9: pinned takes no value`,
			`--where (not)`:                  `line 1, column 1: not takes one query, here are 0`,
			`--where page`:                   `line 1, column 1: page stands where a list is expected`,
			`--where ("class" page)`:         `line 1, column 1: a list has to begin with a word`,
			`--where (class page`:            `line 1, column 1: a list that is not closed; expected )`,
			`--where`:                        `--where wants a query`,
			`--most 0 1`:                     `--most 0: expected a number from 1 to 500`,
			`--most`:                         `--most wants a value`,
			`--by`:                           `--by wants a value`,
			`--by colour`:                    `nothing is counted by "colour"; expected class, front`,
			`--odd 1`:                        `unknown option --odd; expected --json`,
			`2`:                              `transaction 2 has not come: the last was 1`,
			`nobody`:                         `a transaction called "nobody" has not come: all since the start are kept`,
		} {
			if got := h.ask(line); !strings.HasPrefix(got, "error: "+want) {
				t.Errorf("%s: %s\nwant %s", line, got, want)
			}
		}
	})
}

// What is gone is said to be gone, and how far the record reaches back.
func TestWhatIsNoLongerKeptIsSaidToBe(t *testing.T) {
	in(t, func(h *hall) {
		for range 20_000 {
			tr := h.begin("page", nil)
			h.decided(tr, balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 0, belief(1, 0))
			tr.AttemptStarted(1)(balancer.StatusOK)
			tr.Established()
			tr.Ended(proxy.Result{End: registry.EndMigrated})
			time.Sleep(time.Millisecond)
		}
		for line, want := range map[string]string{
			"1":                "error: transaction 1 is no longer kept: no longer kept: ",
			"0000000000000001": `error: a transaction called "0000000000000001" is no longer kept, if it came: no longer kept: `,
		} {
			if got := h.ask(line); !strings.HasPrefix(got, want) || !strings.Contains(got, " uneventful, 0 eventful and 0 unanswered; all that came within the last ") {
				t.Errorf("%s: %s", line, got)
			}
		}
		if got := h.ask("20000"); !strings.HasPrefix(got, "transaction 20000,") {
			t.Errorf("the last: %s", got)
		}
	})
}

func TestQuestionsAreReadAsWritten(t *testing.T) {
	for _, q := range []Query{
		{Subject: "9b1f03aa"}, {Subject: "--json", JSON: true}, {Where: `(class "a b")`, Limit: 7}, {By: []string{"server", "reason"}, JSON: true}, {},
	} {
		got, err := ParseLine(q.Line())
		if err != nil || fmt.Sprint(got) != fmt.Sprint(q) {
			t.Errorf("%+v was read as %+v, %v", q, got, err)
		}
	}
	if q, err := ParseLine("--most 3 (pinned)"); err != nil || q.Where != "(pinned)" || q.Limit != 3 {
		t.Errorf("read as %+v, %v", q, err)
	}
	for _, f := range fields {
		if !strings.Contains(Help(), "("+f.name) {
			t.Errorf("the help has no %s", f.name)
		}
	}
}
