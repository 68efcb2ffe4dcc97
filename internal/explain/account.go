package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// Explainer tells of what a record holds.
type Explainer struct {
	Log     *decisionlog.Log
	Names   EndpointNames
	Archive Archive // of those that outlast a restart; nil: none do
}

// Explanation is what there is to tell of a transaction. It and what it holds are written as JSON for operators, and
// as CBOR to the store: the names in the tags are those of both forms, and stay whatever the fields are called.
type Explanation struct {
	Number        uint64          `cbor:"number" json:"number"`
	Front         string          `cbor:"front" json:"front"`
	Name          string          `cbor:"name" json:"name"`
	NameCut       bool            `cbor:"name_cut,omitempty" json:"name_cut,omitempty"`
	Class         string          `cbor:"class" json:"class"`
	Tenant        string          `cbor:"tenant,omitempty" json:"tenant,omitempty"`
	Group         string          `cbor:"group,omitempty" json:"group,omitempty"`
	Flow          string          `cbor:"flow,omitempty" json:"flow,omitempty"`
	ReceivedAt    time.Time       `cbor:"came" json:"came"`
	TimeLimitMS   float64         `cbor:"patience_ms" json:"patience_ms"`
	Load          float64         `cbor:"load_us,omitempty" json:"load_us,omitempty"`
	Returning     bool            `cbor:"return,omitempty" json:"return,omitempty"`
	Pinned        bool            `cbor:"pinned,omitempty" json:"pinned,omitempty"`
	Notable       bool            `cbor:"eventful,omitempty" json:"eventful,omitempty"`
	HeadEvicted   bool            `cbor:"first_steps_gone,omitempty" json:"first_steps_gone,omitempty"`
	EventsOmitted bool            `cbor:"steps_left_out,omitempty" json:"steps_left_out,omitempty"`
	Result        string          `cbor:"answer" json:"answer"`
	Cause         string          `cbor:"cause,omitempty" json:"cause,omitempty"`
	RetryAfterMS  float64         `cbor:"come_back_ms,omitempty" json:"come_back_ms,omitempty"`
	Events        []Event         `cbor:"steps" json:"steps"`
	Before        *RelatedRequest `cbor:"before,omitempty" json:"before,omitempty"` // the transaction that its client had before
	After         *RelatedRequest `cbor:"after,omitempty" json:"after,omitempty"`   // and the next

	ago time.Duration
}

// Event is one thing that happened.
type Event struct {
	AfterMS        float64              `cbor:"after_ms" json:"after_ms"` // since the transaction came
	What           string               `cbor:"what" json:"what"`         // sent, held, refused, failed, moved, pass, outcome, up or end
	Reason         string               `cbor:"reason,omitempty" json:"reason,omitempty"`
	Attempt        int                  `cbor:"attempt,omitempty" json:"attempt,omitempty"`
	Endpoint       string               `cbor:"server,omitempty" json:"server,omitempty"`
	Outcome        string               `cbor:"outcome,omitempty" json:"outcome,omitempty"`
	WaitMS         float64              `cbor:"wait_ms,omitempty" json:"wait_ms,omitempty"`
	TimeLeftMS     float64              `cbor:"left_ms,omitempty" json:"left_ms,omitempty"`
	Repeats        int                  `cbor:"again,omitempty" json:"again,omitempty"`
	ReadyEndpoints int                  `cbor:"ready_servers,omitempty" json:"ready_servers,omitempty"`
	SlowShare      float64              `cbor:"slow_part,omitempty" json:"slow_part,omitempty"`
	Revision       uint64               `cbor:"list_revision,omitempty" json:"list_revision,omitempty"`
	ListAgeMS      *float64             `cbor:"list_age_ms,omitempty" json:"list_age_ms,omitempty"`
	Considered     []ConsideredEndpoint `cbor:"believed,omitempty" json:"believed,omitempty"`
	Preferred      string               `cbor:"instead,omitempty" json:"instead,omitempty"` // would have been chosen but for its bars
	Text           string               `cbor:"text" json:"text"`
}

// ConsideredEndpoint is what was held of a server.
type ConsideredEndpoint struct {
	Endpoint    string   `cbor:"server" json:"server"`
	State       string   `cbor:"state" json:"state"`
	Exclusions  []string `cbor:"bars,omitempty" json:"bars,omitempty"`
	Weight      float64  `cbor:"weight" json:"weight"`
	Warmth      float64  `cbor:"warmth" json:"warmth"`
	Load        float64  `cbor:"load" json:"load"`
	Probability float64  `cbor:"pull" json:"pull"`
	DelayMS     float64  `cbor:"delay_ms" json:"delay_ms"`
	DelayAgeMS  *float64 `cbor:"delay_age_ms,omitempty" json:"delay_age_ms,omitempty"`
}

// RelatedRequest is a transaction that belongs with another.
type RelatedRequest struct {
	Number uint64 `cbor:"number" json:"number"`
	By     string `cbor:"by" json:"by"` // flow, name or group
	Answer string `cbor:"answer" json:"answer"`
	Text   string `cbor:"text" json:"text"`
}

// ms is a time in milliseconds, to the microsecond.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// part rounds a number to four places.
func part(x float64) float64 { return math.Round(x*1e4) / 1e4 }

// span writes a time for a person.
func span(d time.Duration) string {
	switch {
	case d < 0:
		return "-" + span(-d)
	case d < 10*time.Millisecond:
		return fmt.Sprintf("%.1f ms", ms(d))
	case d < time.Second:
		return fmt.Sprintf("%.0f ms", ms(d))
	case d < time.Minute:
		return fmt.Sprintf("%.1f s", d.Seconds())
	}
	return d.Round(time.Second).String()
}

// Explain tells of one transaction, with what its client had before and after it.
func (w *Explainer) Explain(t *decisionlog.Entry) *Explanation {
	a := w.account(t)
	before, after := w.linked(t)
	if before != nil {
		a.Before = &RelatedRequest{Number: before.Number, By: tie(before, t), Answer: before.ResultName(), Text: fmt.Sprintf(
			"its client came back from %d (%s), %s, %s before", before.Number, sameAs(before, t), w.ending(before), span(t.StartedAt-before.LastEventAt()))}
	}
	if after != nil {
		a.After = &RelatedRequest{Number: after.Number, By: tie(t, after), Answer: after.ResultName(), Text: fmt.Sprintf(
			"its client came again %s later as %d (%s), %s", span(after.StartedAt-t.LastEventAt()), after.Number, sameAs(t, after), w.ending(after))}
	}
	return a
}

func (w *Explainer) account(t *decisionlog.Entry) *Explanation {
	clock := w.Log.Clock()
	a := &Explanation{
		Number: t.Number, Front: t.Front, Name: t.Name, NameCut: t.NameCut, Class: t.Class, Tenant: t.Tenant, ReceivedAt: clock.Wall(t.StartedAt),
		TimeLimitMS: ms(t.TimeLimit), Load: t.Load * 1e6, Returning: t.Returning, Pinned: t.Pinned, Notable: t.Notable,
		HeadEvicted: t.HeadEvicted, EventsOmitted: t.EventsOmitted, Result: t.ResultName(), ago: clock.Now() - t.StartedAt,
	}
	if t.Group != 0 {
		a.Group = fmt.Sprintf("%016x", t.Group)
	}
	if t.Item != 0 {
		a.Flow = fmt.Sprintf("%016x", t.Item)
	}
	if f, ok := t.Result(); ok {
		a.RetryAfterMS = ms(f.RetryAfter)
		if f.Cause != proxy.CauseDecided {
			a.Cause = f.Cause.String()
		}
	}
	var up time.Duration
	for i := range t.Events {
		s := &t.Events[i]
		if s.Kind == decisionlog.EventEstablished {
			up = s.At
		}
		a.Events = append(a.Events, w.step(t, s, up))
	}
	return a
}

// step tells of one step.
func (w *Explainer) step(t *decisionlog.Entry, s *decisionlog.Event, up time.Duration) Event {
	out := Event{AfterMS: ms(s.At - t.StartedAt)}
	switch s.Kind {
	case decisionlog.EventDecision:
		w.decided(&out, s)
	case decisionlog.EventAttemptStarted:
		out.What, out.Endpoint = "pass", w.Names.Name(s.Endpoint)
		out.Text = "connects to " + out.Endpoint
	case decisionlog.EventAttemptEnded:
		out.What, out.Endpoint, out.Outcome = "outcome", w.Names.Name(s.Endpoint), registry.StatusNames[s.Status]
		out.Text = out.Endpoint + " " + outcomes[s.Status]
	case decisionlog.EventEstablished:
		out.What, out.Text = "up", "the client is told that it is up"
	case decisionlog.EventEnded:
		out.What = "end"
		out.WaitMS = ms(s.Result.RetryAfter)
		out.Text = final(s.Result)
		if up > 0 {
			out.Text += fmt.Sprintf(", after %s", span(s.At-up))
		}
	}
	return out
}

var outcomes = [...]string{
	"accepts it", "answers with an error", "turns it away as full", "does not answer in time", "can't be reached",
	"breaks the connection", "is let go: the pass is called off", "is spared: it has just begun to leave", "sends the client away, as it leaves",
}

func final(f proxy.Result) string {
	back := ""
	if f.RetryAfter > 0 {
		back = ", to come back in " + span(f.RetryAfter)
	}
	switch f.End {
	case registry.EndRejected:
		switch f.Cause {
		case proxy.CauseConnectionLimit:
			return "gets the unavailable answer at the door: no seat was free" + back
		case proxy.CauseQuotaExceeded:
			return "gets the unavailable answer at the door: its address or its class has as much as may be" + back
		case proxy.CauseShutdown:
			return "gets the unavailable answer: the relay is leaving"
		case proxy.CauseNotOpen:
			return "gets the unavailable answer: it was not open at the server that its client named"
		}
		return "gets the unavailable answer" + back
	case registry.EndFailed:
		return "gets the failed answer"
	case registry.EndClientLeft:
		return "its client has left before an answer"
	case registry.EndMigrated:
		if f.Cause == proxy.CauseShutdown {
			return "its client is told to move: the relay is leaving"
		}
		return "its client is told to move"
	case registry.EndHeartbeatTimeout:
		return "its server has gone silent; its client is told to move"
	}
	switch f.Status {
	case balancer.StatusOK:
		return "its server ends it in good order"
	case balancer.StatusRedirected:
		return "its server sends the client away, as it leaves"
	case balancer.StatusCancelled:
		return "its client ends it"
	}
	return "its server breaks the connection"
}

var barTexts = map[balancer.Exclusions]string{
	balancer.ExcludedDraining: "leaving", balancer.ExcludedTried: "having failed this transaction", balancer.ExcludedScope: "being where a repeat must not run",
	balancer.ExcludedWarmingUp: "being cold, with no room for another yet", balancer.ExcludedSlow: "being slow or full", balancer.ExcludedRecovering: "being eased into work",
	balancer.ExcludedAtCapacity: "taking up its messages' time",
}

func barText(b balancer.Exclusions) string {
	var all []string
	for bit := balancer.Exclusions(1); bit <= b; bit <<= 1 {
		if b&bit != 0 {
			all = append(all, barTexts[bit])
		}
	}
	return strings.Join(all, " and ")
}

// figures are what was held of a server, for a person.
func figures(f balancer.ConsideredEndpoint) string {
	text := fmt.Sprintf("load %.1f, weight %.2f", f.Load, f.Weight)
	if f.DelayAge >= 0 {
		text += fmt.Sprintf(", delay %s %s ago", span(f.Delay), span(f.DelayAge))
	}
	if f.Warmth < 1 {
		text += fmt.Sprintf(", %.0f%% warm", 100*f.Warmth)
	}
	if f.State != balancer.StateReady {
		text += ", " + registry.StateName(f.State)
	}
	return text
}

// decided tells of a decision.
func (w *Explainer) decided(out *Event, s *decisionlog.Event) {
	d := &s.Decision
	out.What, out.Reason, out.Attempt, out.Repeats = d.Verdict.String(), d.Reason.String(), d.Attempt, s.Repeats
	out.WaitMS, out.TimeLeftMS, out.ReadyEndpoints, out.SlowShare, out.Revision = ms(d.Wait), ms(d.TimeLeft), d.ReadyEndpoints, part(d.SlowShare), d.Revision
	if d.ListAge >= 0 {
		age := ms(d.ListAge)
		out.ListAgeMS = &age
	}
	if d.Verdict == balancer.VerdictSent || d.Verdict == balancer.VerdictMigrated {
		out.Endpoint = w.Names.Name(d.Endpoint)
	}
	for _, f := range d.Considered {
		b := ConsideredEndpoint{Endpoint: w.Names.Name(f.Endpoint), State: registry.StateName(f.State), Exclusions: f.Exclusions.Names(), Weight: part(f.Weight),
			Warmth: part(f.Warmth), Load: part(f.Load), Probability: part(f.Probability), DelayMS: ms(f.Delay)}
		if f.DelayAge >= 0 {
			age := ms(f.DelayAge)
			b.DelayAgeMS = &age
		}
		out.Considered = append(out.Considered, b)
	}
	first := "a server"
	if len(d.Considered) > 0 {
		first = w.Names.Name(d.Considered[0].Endpoint)
	}
	instead, barred := "", ""
	if d.Preferred >= 0 && d.Preferred < len(d.Considered) {
		f := d.Considered[d.Preferred]
		instead = w.Names.Name(f.Endpoint)
		out.Preferred = instead
		barred = fmt.Sprintf("; would have gone to %s but for its %s (%s)", instead, cmp.Or(barText(f.Exclusions), "taking up its messages' time"), figures(f))
	}
	var text string
	switch d.Verdict {
	case balancer.VerdictSent:
		text = fmt.Sprintf("attempt %d goes to %s", d.Attempt, out.Endpoint)
		switch d.Reason {
		case balancer.ReasonCachedRoute:
			text += ", where its group is"
		case balancer.ReasonRedrawn:
			text += fmt.Sprintf(", drawn from %d ready servers past those that failed it", d.ReadyEndpoints)
		case balancer.ReasonRouteGone, balancer.ReasonRouteSlow, balancer.ReasonRouteRecovering, balancer.ReasonRouteAtCapacity, balancer.ReasonRouteWarmingUp:
			home := cmp.Or(instead, "the server")
			text += fmt.Sprintf(", drawn anew from %d ready servers as %s, where its group is, %s", d.ReadyEndpoints, home, passedOver[d.Reason])
		default:
			text += fmt.Sprintf(", drawn from %d ready servers", d.ReadyEndpoints)
		}
		if len(d.Considered) > 0 {
			text += " (" + figures(d.Considered[0]) + ")"
		}
		text += barred
	case balancer.VerdictHeld:
		text = "waits"
		if d.Wait > 0 {
			text += " " + span(d.Wait)
		}
		if s.Repeats > 0 {
			text += fmt.Sprintf(", and %d times more", s.Repeats)
		}
		switch d.Reason {
		case balancer.ReasonBackoff:
			text += fmt.Sprintf(" before attempt %d", d.Attempt+1)
		case balancer.ReasonWindowFull:
			text += ": as many set-ups are under way as the relay allows itself"
		case balancer.ReasonNoneEligible:
			text += fmt.Sprintf(": of %d ready servers none may take it now", d.ReadyEndpoints)
			if instead != "" {
				text += barred
			}
		case balancer.ReasonEndpointSlow:
			text += fmt.Sprintf(": %s, which it falls on, is slow or full", first)
		case balancer.ReasonEndpointRecovering:
			text += fmt.Sprintf(": %s, which it falls on, is being eased into work", first)
		}
		if (d.Reason == balancer.ReasonEndpointSlow || d.Reason == balancer.ReasonEndpointRecovering) && len(d.Considered) > 0 {
			text += " (" + figures(d.Considered[0]) + ")"
		}
	case balancer.VerdictRejected, balancer.VerdictFailed:
		text = "is given up: " + givenUp[d.Reason]
		if d.Attempt > 0 {
			text += fmt.Sprintf(", after %d attempts", d.Attempt)
		}
		switch d.ReadyEndpoints {
		case 0:
			text += "; the list names no ready server"
		default:
			text += fmt.Sprintf("; %d servers are ready, %.0f%% of them slow", d.ReadyEndpoints, 100*d.SlowShare)
		}
		text += barred
	case balancer.VerdictMigrated:
		text = fmt.Sprintf("is moved off %s, which %s", out.Endpoint, map[balancer.Reason]string{
			balancer.ReasonLoadRelief: "is slow and has to lose connections", balancer.ReasonEndpointDraining: "drains"}[d.Reason])
		if len(d.Considered) > 0 {
			text += " (" + figures(d.Considered[0]) + ")"
		}
	}
	out.Text = text
}

var passedOver = map[balancer.Reason]string{
	balancer.ReasonRouteGone: "takes nothing new", balancer.ReasonRouteSlow: "is slow or full", balancer.ReasonRouteRecovering: "is being eased into work",
	balancer.ReasonRouteAtCapacity: "takes up its messages' time", balancer.ReasonRouteWarmingUp: "is cold and has had what it bears",
}

var givenUp = map[balancer.Reason]string{
	balancer.ReasonNoViableEndpoint: "no ready server is left that it has not tried", balancer.ReasonDeadlineExceeded: "its client's time is up, or would be before another attempt",
	balancer.ReasonAttemptsExhausted: "it has had all the attempts that it may have", balancer.ReasonNotRepeatable: "it may have run, and must not run twice", balancer.ReasonShutdown: "its relay leaves",
}

// ending tells how a transaction ended, in a clause that follows its number.
func (w *Explainer) ending(t *decisionlog.Entry) string {
	f, ok := t.Result()
	if !ok {
		return map[string]string{"up": "which stands", "waiting": "which waits for an answer"}[t.ResultName()]
	}
	why := ""
	for _, s := range slices.Backward(t.Events) {
		if s.Kind == decisionlog.EventDecision {
			d := s.Decision
			switch d.Verdict {
			case balancer.VerdictMigrated:
				why = fmt.Sprintf(" (%s: %s)", d.Reason, w.Names.Name(d.Endpoint))
			case balancer.VerdictRejected, balancer.VerdictFailed:
				why = fmt.Sprintf(" (%s)", d.Reason)
			}
			break
		}
	}
	if text, its := strings.CutPrefix(final(f), "its "); its {
		return "whose " + text + why
	}
	return "which " + final(f) + why
}

const backWithin = time.Minute // a client that comes back later is told of by itself

// linked finds what a transaction's client had before it, and what it came with after
// it: the nearest of the same name or flow, or, where one of them says that it is back
// after a move or a break, of the same group.
func (w *Explainer) linked(t *decisionlog.Entry) (before, after *decisionlog.Entry) {
	w.Log.Related(t, func(o *decisionlog.Entry) bool {
		switch {
		case o.Number == t.Number:
		case o.Number < t.Number && o.Ended && linkedBy(o, t) != "" && t.StartedAt-o.LastEventAt() >= 0 && t.StartedAt-o.LastEventAt() < backWithin:
			if before == nil || better(o, before, t) || tie(o, t) == tie(before, t) && o.LastEventAt() > before.LastEventAt() {
				before = o.Clone()
			}
		case o.Number > t.Number && t.Ended && linkedBy(t, o) != "" && o.StartedAt-t.LastEventAt() >= 0 && o.StartedAt-t.LastEventAt() < backWithin:
			if after == nil || better(o, after, t) || tie(o, t) == tie(after, t) && o.StartedAt < after.StartedAt {
				after = o.Clone()
			}
		}
		return true
	})
	return before, after
}

// ties in order of their certainty.
var ties = []string{"name", "flow", "group"}

func tie(x, y *decisionlog.Entry) string {
	switch {
	case x.Name != "" && x.Name == y.Name && x.Front == y.Front:
		return "name"
	case x.Item != 0 && x.Item == y.Item:
		return "flow"
	case x.Group != 0 && x.Group == y.Group:
		return "group"
	}
	return ""
}

func better(x, y, of *decisionlog.Entry) bool {
	return slices.Index(ties, tie(x, of)) < slices.Index(ties, tie(y, of))
}

// linkedBy tells by what the later of two is its client's next, if it is.
func linkedBy(first, then *decisionlog.Entry) string {
	by := tie(first, then)
	if by != "group" || then.Returning && gone(first) {
		return by
	}
	return ""
}

// gone tells whether a transaction's client was moved or cut off.
func gone(t *decisionlog.Entry) bool {
	f, ok := t.Result()
	return ok && (f.End == registry.EndMigrated || f.End == registry.EndHeartbeatTimeout || f.End == registry.EndClosed && f.Status != balancer.StatusOK && f.Status != balancer.StatusCancelled)
}

func sameAs(x, y *decisionlog.Entry) string {
	switch tie(x, y) {
	case "name":
		return "of the same name"
	case "flow":
		return "of the same flow"
	}
	return "of the same group, so perhaps the same client"
}

// Write writes an account in words: a head, then a line a step.
func (a *Explanation) Write(w io.Writer) {
	fmt.Fprintf(w, "transaction %d, front %s, name %s%s, class %s", a.Number, a.Front, cmp.Or(a.Name, "-"), map[bool]string{true: "..."}[a.NameCut], a.Class)
	if a.Tenant != "" {
		fmt.Fprintf(w, ", tenant %s", a.Tenant)
	}
	if a.Group != "" {
		fmt.Fprintf(w, ", group %s", a.Group)
	}
	if a.Flow != "" {
		fmt.Fprintf(w, ", flow %s", a.Flow)
	}
	fmt.Fprintf(w, "\n  came at %s, %s ago; its client waits %s", a.ReceivedAt.Format("15:04:05.000"), span(a.ago), span(time.Duration(a.TimeLimitMS*float64(time.Millisecond))))
	if a.Returning {
		fmt.Fprint(w, "; back after a move or a break")
	}
	if a.Pinned {
		fmt.Fprint(w, "; pinned")
	}
	fmt.Fprintln(w)
	if a.Before != nil {
		fmt.Fprintf(w, "  %s\n", a.Before.Text)
	}
	if a.HeadEvicted {
		fmt.Fprintln(w, "  its first steps are no longer kept")
	}
	var list string
	for _, s := range a.Events {
		text := s.Text
		if s.Revision != 0 {
			now := fmt.Sprintf("list of revision %d", s.Revision)
			if s.ListAgeMS != nil {
				now += fmt.Sprintf(", %s old", span(time.Duration(*s.ListAgeMS*float64(time.Millisecond))))
			}
			if at, _, _ := strings.Cut(now, ","); at != list { // told once, as long as it is the same
				text += " [" + now + "]"
				list = at
			}
		}
		fmt.Fprintf(w, "  %10s  %s\n", "+"+span(time.Duration(s.AfterMS*float64(time.Millisecond))), text)
	}
	if a.EventsOmitted {
		fmt.Fprintln(w, "  it had more steps than are kept of one")
	}
	switch a.Result {
	case "waiting":
		fmt.Fprintln(w, "  it still waits for its answer")
	case "up":
		fmt.Fprintln(w, "  it stands")
	}
	if a.After != nil {
		fmt.Fprintf(w, "  %s\n", a.After.Text)
	}
}

// WriteJSON writes accounts, one JSON object a line.
func WriteJSON(w io.Writer, all []*Explanation) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	for _, a := range all {
		if err := e.Encode(a); err != nil {
			return err
		}
	}
	return nil
}
