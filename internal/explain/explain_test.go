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

// environment is an empty decision log in a synctest bubble, with three known endpoints.
type environment struct {
	t          *testing.T
	endpoints  *registry.Endpoints
	log        *decisionlog.Log
	explainer  *Explainer
	lastNumber uint64
	startedAt  time.Duration
}

func withEnvironment(t *testing.T, do func(env *environment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := proxy.NewClock()
		log, err := decisionlog.New(decisionlog.MinBytes, clock)
		if err != nil {
			t.Fatal(err)
		}
		env := &environment{t: t, endpoints: registry.NewEndpoints(), log: log, startedAt: clock.Now()}
		for i := range 3 {
			env.endpoints.AssignID(fmt.Sprintf("s-%d", i+1))
		}
		env.explainer = &Explainer{Log: log, Names: env.endpoints}
		do(env)
	})
}

// beginRequest starts the next request, which change may modify.
func (e *environment) beginRequest(class string, change func(*proxy.Request)) proxy.RequestObserver {
	e.lastNumber++
	request := proxy.Request{Frontend: "line", Class: class, Name: fmt.Sprintf("%016x", e.lastNumber), RequestOptions: balancer.RequestOptions{
		Group: 0x5c0f, Item: 0x7f00 + e.lastNumber, Deadline: e.log.Clock().Now() + 2*time.Second,
	}}
	if change != nil {
		change(&request)
	}
	return e.log.RequestStarted(e.lastNumber, request)
}

// recordDecision records a decision that selects the first of the considered endpoints, and prefers the second.
func (e *environment) recordDecision(observer proxy.RequestObserver, verdict balancer.Verdict, reason balancer.Reason, attempt int, wait time.Duration, considered ...balancer.ConsideredEndpoint) {
	decision := &balancer.Decision{At: e.log.Clock().Now(), Verdict: verdict, Reason: reason, Attempt: attempt, Wait: wait, ReadyEndpoints: 3, SlowShare: 1. / 3,
		Revision: 41, ListAge: 3200 * time.Millisecond, Considered: considered, PreferredIndex: -1}
	if len(considered) > 0 && (verdict == balancer.VerdictSent || verdict == balancer.VerdictMigrated) {
		decision.Endpoint = considered[0].Endpoint
	}
	if len(considered) > 1 {
		decision.PreferredIndex = 1
	}
	observer.Decided(decision)
}

func consideredEndpoint(endpoint balancer.EndpointID, exclusions balancer.Exclusions) balancer.ConsideredEndpoint {
	return balancer.ConsideredEndpoint{Endpoint: endpoint, State: balancer.StateReady, Exclusions: exclusions, Weight: 0.5, Warmth: 1, Load: 4.2, Probability: 0.3, Delay: 2100 * time.Millisecond, DelayAge: 300 * time.Millisecond}
}

// recordRejected records a request that is rejected after attempts at all three endpoints, the last of which is full.
func (e *environment) recordRejected() {
	observer := e.beginRequest("live-preview", nil)
	for i, status := range []balancer.AttemptStatus{balancer.StatusTimeout, balancer.StatusReset, balancer.StatusFull} {
		endpoint := balancer.EndpointID(i + 1)
		switch i {
		case 0:
			e.recordDecision(observer, balancer.VerdictSent, balancer.ReasonRouteSlow, 1, time.Second, consideredEndpoint(endpoint, 0), consideredEndpoint(2, balancer.ExcludedSlow))
		default:
			e.recordDecision(observer, balancer.VerdictSent, balancer.ReasonRedrawn, i+1, time.Second, consideredEndpoint(endpoint, 0))
		}
		attemptEnded := observer.AttemptStarted(endpoint)
		time.Sleep(250 * time.Millisecond)
		attemptEnded(status)
		if i < 2 {
			e.recordDecision(observer, balancer.VerdictHeld, balancer.ReasonBackoff, i+1, 100*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
	}
	e.recordDecision(observer, balancer.VerdictRejected, balancer.ReasonAttemptsExhausted, 3, 800*time.Millisecond)
	observer.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: 800 * time.Millisecond})
}

// answer returns the answer to a query, or the error as text.
func (e *environment) answer(line string) string {
	e.t.Helper()
	query, err := ParseLine(line)
	var out strings.Builder
	if err == nil {
		err = e.explainer.Answer(query, &out)
	}
	if err != nil {
		return "error: " + err.Error()
	}
	return out.String()
}

// checkLines compares texts, after it has replaced the environment's start time in got by TIME.
func (e *environment) checkLines(got, want string) {
	e.t.Helper()
	got = strings.ReplaceAll(got, "received at "+e.log.Clock().Wall(e.startedAt).Format("15:04:05.000"), "received at TIME")
	if got != want {
		e.t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestRejectionAfterThreeAttemptsIsExplained(t *testing.T) {
	withEnvironment(t, func(env *environment) {
		env.recordRejected()
		env.checkLines(env.answer("1"), `transaction 1, front line, name 0000000000000001, class live-preview, group 0000000000005c0f, flow 0000000000007f01
  received at TIME, 950 ms ago; its client waits up to 2.0 s
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
		for _, query := range []string{"0000000000000001", "0000000000007f01", `--where (and (class "live-preview") (answer unavailable) (since 5m))`} {
			if got := env.answer(query); !strings.HasPrefix(got, "transaction 1,") {
				t.Errorf("answer to %s does not begin with transaction 1: %s", query, got)
			}
		}
		var request Explanation
		if err := json.Unmarshal([]byte(env.answer("--json 1")), &request); err != nil || request.Result != "unavailable" || request.RetryAfterMS != 800 || len(request.Events) != 13 ||
			request.Events[0].Preferred != "s-2" || request.Events[0].Considered[1].Exclusions[0] != "slow" || request.Events[2].Outcome != "timeout" || *request.Events[0].ListAgeMS != 3200 {
			t.Errorf("explanation read from JSON is %+v, %v, want that of the rejected request with 13 events", request, err)
		}
	})
}

// The explanations of a migrated request and of its client's next request refer to each other.
func TestMigrationIsRelatedToNextRequest(t *testing.T) {
	withEnvironment(t, func(env *environment) {
		sameFlow := func(request *proxy.Request) { request.Item = 0x99; request.Group = 7 }
		first := env.beginRequest("page", sameFlow)
		env.recordDecision(first, balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 0, consideredEndpoint(1, 0))
		first.AttemptStarted(1)(balancer.StatusOK)
		first.Established()
		time.Sleep(3 * time.Second)
		env.recordDecision(first, balancer.VerdictMigrated, balancer.ReasonLoadRelief, 1, 0, consideredEndpoint(1, balancer.ExcludedSlow))
		first.Ended(proxy.Result{End: registry.EndMigrated})
		env.beginRequest("page", func(request *proxy.Request) { request.Item, request.Group = 0x98, 7 }).Ended(proxy.Result{End: registry.EndClientLeft}) // of the same group, but its client does not return
		time.Sleep(400 * time.Millisecond)
		returned := env.beginRequest("page", func(request *proxy.Request) { sameFlow(request); request.Returning = true })
		env.beginRequest("page", func(request *proxy.Request) { request.Item, request.Group, request.Returning = 0x97, 7, true })
		if got := env.answer("1"); !strings.Contains(got, "its client came again 400 ms later as 3 (of the same flow), which waits for an answer") ||
			!strings.Contains(got, "is moved off s-1, which is slow and has to lose connections") {
			t.Errorf("explanation of the migrated request:\n%s", got)
		}
		returned.AttemptStarted(2)(balancer.StatusOK)
		returned.Established()
		if got := env.answer("3"); !strings.Contains(got, "its client came back from 1 (of the same flow), whose client is told to move (relief: s-1), 400 ms before") ||
			!strings.Contains(got, "; its client returned after a move or a disconnect") || !strings.Contains(got, "  it is still up\n") {
			t.Errorf("explanation of the returned client's request:\n%s", got)
		}
		if got := env.answer("4"); !strings.Contains(got, "from 1 (of the same group, so perhaps the same client)") {
			t.Errorf("explanation of another returned client of the group:\n%s", got)
		}
		if got := env.answer("2"); strings.Contains(got, "came back") || strings.Contains(got, "came again") {
			t.Errorf("explanation of a client that does not return:\n%s", got)
		}
	})
}

func TestQueriesSelectEntries(t *testing.T) {
	withEnvironment(t, func(env *environment) {
		env.recordRejected() // 1
		time.Sleep(time.Minute)
		for range 3 { // 2 to 4
			observer := env.beginRequest("page", nil)
			env.recordDecision(observer, balancer.VerdictSent, balancer.ReasonCachedRoute, 1, 0, consideredEndpoint(2, 0))
			observer.AttemptStarted(2)(balancer.StatusOK)
			observer.Established()
			observer.Ended(proxy.Result{End: registry.EndClosed})
		}
		env.beginRequest("print", func(request *proxy.Request) { request.Frontend, request.Returning = "amqp", true }).Ended(proxy.Result{End: registry.EndRejected, Cause: proxy.CauseConnectionLimit}) // 5
		if err := env.log.Pin(3, true); err != nil {
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
			for line := range strings.Lines(env.answer("--where " + query)) {
				var n string
				if _, err := fmt.Sscanf(line, "transaction %s", &n); err == nil {
					got = append(got, strings.TrimSuffix(n, ","))
				}
			}
			if strings.Join(got, " ") != want {
				t.Errorf("query %s selects %v, want %s", query, got, want)
			}
		}
		want := "SERVER  REASON        COUNT\ns-2     cached-route  3\n-       backoff       1\n-       out-of-tries  1\n" +
			"s-1     route-slow    1\ns-2     drawn-again   1\ns-3     drawn-again   1\n-       -             1\n"
		if got := env.answer("--by server,reason"); sortedLines(got) != sortedLines(want+"5 transactions; each is counted once in every row that one of its decisions matches\n") {
			t.Errorf("counts by server and reason are\n%s\nwant the rows\n%s", got, want)
		}
		if got := env.answer(`--json --by class (answer ended)`); got != `{"class":"page","count":3}`+"\n" {
			t.Errorf("counts by class are %s, want 3 of class page", got)
		}
		if got := env.answer("--most 2"); !strings.Contains(got, "2 of 5 transactions; --most shows more") {
			t.Errorf("answer limited to two transactions does not say 2 of 5:\n%s", got)
		}
	})
}

// sortedLines sorts the lines of a text.
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

func TestInvalidQueryErrors(t *testing.T) {
	withEnvironment(t, func(env *environment) {
		env.beginRequest("page", nil)
		for line, want := range map[string]string{
			`--where (clas "page")`:          `line 1, column 2: unknown query "clas"; expected and, or, not, number, name`,
			`--where (and (class page) (x))`: `line 1, column 20: unknown query "x"`,
			`--where (answer "gone")`:        `line 1, column 9: answer has no value "gone"; expected one of waiting, up, ended`,
			`--where (reason drawn lots)`:    `line 1, column 15: reason has no value "lots"`,
			`--where (since yesterday)`:      `line 1, column 8: "yesterday" is not a duration such as 5m`,
			`--where (passes => 2)`:          `line 1, column 9: unknown comparison operator "=>"; expected one of = < > <= >=`,
			`--where (passes > many)`:        `line 1, column 11: "many" is not a whole number`,
			`--where (server s-9)`:           `line 1, column 9: unknown application server "s-9": no endpoint list has named it`,
			`--where (class)`:                `line 1, column 1: class needs a value`,
			`--where (class (page))`:         `line 1, column 8: a list stands where a word or string is expected`,
			`--where (group xyz)`:            `line 1, column 8: "xyz" is not a hexadecimal number`,
			`--where (pinned 1)`:             `line 1, column 9: pinned takes no value`,
			`--where (not)`:                  `line 1, column 1: not takes one query, got 0`,
			`--where page`:                   `line 1, column 1: page stands where a list is expected`,
			`--where ("class" page)`:         `line 1, column 1: a list must begin with a word`,
			`--where (class page`:            `line 1, column 1: list is not closed; expected )`,
			`--where`:                        `--where needs a query`,
			`--most 0 1`:                     `--most 0: expected a number from 1 to 500`,
			`--most`:                         `--most needs a value`,
			`--by`:                           `--by needs a value`,
			`--by colour`:                    `unknown field "colour" in --by; expected class, front`,
			`--odd 1`:                        `unknown option --odd; expected --json`,
			`2`:                              `transaction 2 not found: the latest is 1`,
			`nobody`:                         `transaction "nobody" not found: the log has all transactions since the start`,
		} {
			if got := env.answer(line); !strings.HasPrefix(got, "error: "+want) {
				t.Errorf("answer to %s is %s\nwant error %s", line, got, want)
			}
		}
	})
}

// The error for an evicted entry says so, and how far back the log is complete.
func TestEvictedEntryErrors(t *testing.T) {
	withEnvironment(t, func(env *environment) {
		for range 20_000 {
			observer := env.beginRequest("page", nil)
			env.recordDecision(observer, balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 0, consideredEndpoint(1, 0))
			observer.AttemptStarted(1)(balancer.StatusOK)
			observer.Established()
			observer.Ended(proxy.Result{End: registry.EndMigrated})
			time.Sleep(time.Millisecond)
		}
		for line, want := range map[string]string{
			"1":                "error: transaction 1 is no longer in the log: evicted: ",
			"0000000000000001": `error: transaction "0000000000000001" was not found, or is no longer in the log: evicted: `,
		} {
			if got := env.answer(line); !strings.HasPrefix(got, want) || !strings.Contains(got, " uneventful, 0 eventful and 0 unanswered; the log has all transactions received within the last ") {
				t.Errorf("answer to %s is %s, want %s and the counts of evicted entries", line, got, want)
			}
		}
		if got := env.answer("20000"); !strings.HasPrefix(got, "transaction 20000,") {
			t.Errorf("answer to the latest number does not begin with transaction 20000: %s", got)
		}
	})
}

func TestQueryLineRoundTrip(t *testing.T) {
	for _, query := range []Query{
		{Subject: "9b1f03aa"}, {Subject: "--json", JSON: true}, {Where: `(class "a b")`, Limit: 7}, {CountBy: []string{"server", "reason"}, JSON: true}, {},
	} {
		got, err := ParseLine(query.Line())
		if err != nil || fmt.Sprint(got) != fmt.Sprint(query) {
			t.Errorf("query %+v is parsed from its line as %+v, %v", query, got, err)
		}
	}
	if query, err := ParseLine("--most 3 (pinned)"); err != nil || query.Where != "(pinned)" || query.Limit != 3 {
		t.Errorf("query without --where is parsed as %+v, %v", query, err)
	}
	for _, field := range filterFields {
		if !strings.Contains(FilterHelp(), "("+field.name) {
			t.Errorf("FilterHelp does not mention %s", field.name)
		}
	}
}
