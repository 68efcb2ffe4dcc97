package explain

import (
	"cmp"
	"fmt"
	"strings"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/registry"
)

// explainDecision sets the fields of out for a decision event: its data, then its text.
func (e *Explainer) explainDecision(out *Event, event *decisionlog.Event) {
	decision := &event.Decision
	out.Kind, out.Reason = decision.Verdict.String(), decision.Reason.String()
	out.Attempt, out.Repeats = decision.Attempt, event.Repeats
	out.WaitMS, out.TimeLeftMS = milliseconds(decision.Wait), milliseconds(decision.TimeLeft)
	out.ReadyEndpoints, out.SlowShare = decision.ReadyEndpoints, roundFraction(decision.SlowShare)
	out.Revision, out.ListAgeMS = decision.Revision, optionalMilliseconds(decision.ListAge)
	if decision.Verdict == balancer.VerdictSent || decision.Verdict == balancer.VerdictMigrated {
		out.Endpoint = e.Names.Name(decision.Endpoint)
	}
	for i := range decision.Considered {
		out.Considered = append(out.Considered, e.explainConsidered(&decision.Considered[i]))
	}
	text := decisionText{decision: decision, repeats: event.Repeats, endpoint: out.Endpoint}
	if preferred := decision.PreferredIndex; preferred >= 0 && preferred < len(decision.Considered) {
		text.preferred = e.Names.Name(decision.Considered[preferred].Endpoint)
		out.Preferred = text.preferred
	}
	text.firstConsidered = "a server"
	if len(decision.Considered) > 0 {
		text.firstConsidered = e.Names.Name(decision.Considered[0].Endpoint)
	}
	out.Text = text.String()
}

// explainConsidered converts an endpoint that a decision considered.
func (e *Explainer) explainConsidered(endpoint *balancer.ConsideredEndpoint) ConsideredEndpoint {
	return ConsideredEndpoint{
		Endpoint:    e.Names.Name(endpoint.Endpoint),
		State:       registry.StateName(endpoint.State),
		Exclusions:  endpoint.Exclusions.Names(),
		Weight:      roundFraction(endpoint.Weight),
		Warmth:      roundFraction(endpoint.Warmth),
		Load:        roundFraction(endpoint.Load),
		Probability: roundFraction(endpoint.Probability),
		DelayMS:     milliseconds(endpoint.Delay),
		DelayAgeMS:  optionalMilliseconds(endpoint.DelayAge),
	}
}

// decisionText formats a decision as text, which must not change: it is part of an explanation's
// JSON. The names of endpoints are looked up already.
type decisionText struct {
	decision        *balancer.Decision
	repeats         int    // how often the decision was repeated directly afterwards
	endpoint        string // endpoint that the request is sent to or migrated from
	firstConsidered string // first considered endpoint, or "a server"
	preferred       string // endpoint that would have been selected without its exclusions; "" if none
}

// String returns the text, a sentence whose omitted subject is the request.
func (t *decisionText) String() string {
	switch t.decision.Verdict {
	case balancer.VerdictSent:
		return t.sent()
	case balancer.VerdictHeld:
		return t.held()
	case balancer.VerdictRejected, balancer.VerdictFailed:
		return t.rejected()
	case balancer.VerdictMigrated:
		return t.migrated()
	}
	return ""
}

func (t *decisionText) sent() string {
	ready := t.decision.ReadyEndpoints
	text := fmt.Sprintf("attempt %d goes to %s", t.decision.Attempt, t.endpoint)
	switch reason := t.decision.Reason; reason {
	case balancer.ReasonCachedRoute:
		text += ", where its group is"
	case balancer.ReasonRedrawn:
		text += fmt.Sprintf(", drawn from %d ready servers past those that failed it", ready)
	case balancer.ReasonRouteGone, balancer.ReasonRouteSlow, balancer.ReasonRouteRecovering,
		balancer.ReasonRouteAtCapacity, balancer.ReasonRouteWarmingUp:
		cached := cmp.Or(t.preferred, "the server")
		text += fmt.Sprintf(", drawn anew from %d ready servers as %s, where its group is, %s", ready, cached, routeReasonTexts[reason])
	default:
		text += fmt.Sprintf(", drawn from %d ready servers", ready)
	}
	return text + t.firstConsideredClause() + t.preferredClause()
}

func (t *decisionText) held() string {
	text := "waits"
	if t.decision.Wait > 0 {
		text += " " + formatDuration(t.decision.Wait)
	}
	if t.repeats > 0 {
		text += fmt.Sprintf(", and %d times more", t.repeats)
	}
	switch t.decision.Reason {
	case balancer.ReasonBackoff:
		text += fmt.Sprintf(" before attempt %d", t.decision.Attempt+1)
	case balancer.ReasonWindowFull:
		text += ": as many set-ups are under way as the relay allows itself"
	case balancer.ReasonNoneEligible:
		text += fmt.Sprintf(": of %d ready servers none may take it now", t.decision.ReadyEndpoints) + t.preferredClause()
	case balancer.ReasonEndpointSlow:
		text += fmt.Sprintf(": %s, which it falls on, is slow or full", t.firstConsidered) + t.firstConsideredClause()
	case balancer.ReasonEndpointRecovering:
		text += fmt.Sprintf(": %s, which it falls on, is being eased into work", t.firstConsidered) + t.firstConsideredClause()
	}
	return text
}

func (t *decisionText) rejected() string {
	text := "is given up: " + rejectReasonTexts[t.decision.Reason]
	if t.decision.Attempt > 0 {
		text += fmt.Sprintf(", after %d attempts", t.decision.Attempt)
	}
	if ready := t.decision.ReadyEndpoints; ready == 0 {
		text += "; the list names no ready server"
	} else {
		text += fmt.Sprintf("; %d servers are ready, %.0f%% of them slow", ready, 100*t.decision.SlowShare)
	}
	return text + t.preferredClause()
}

func (t *decisionText) migrated() string {
	return fmt.Sprintf("is moved off %s, which %s", t.endpoint, migrateReasonTexts[t.decision.Reason]) + t.firstConsideredClause()
}

// firstConsideredClause returns the load and state of the first considered endpoint in
// parentheses, if there is one.
func (t *decisionText) firstConsideredClause() string {
	if len(t.decision.Considered) == 0 {
		return ""
	}
	return " (" + endpointDetails(&t.decision.Considered[0]) + ")"
}

// preferredClause returns a clause with the reasons why the preferred endpoint was excluded,
// if there is one.
func (t *decisionText) preferredClause() string {
	if t.preferred == "" {
		return ""
	}
	endpoint := &t.decision.Considered[t.decision.PreferredIndex]
	excluded := cmp.Or(exclusionsText(endpoint.Exclusions), exclusionTexts[balancer.ExcludedAtCapacity])
	return fmt.Sprintf("; would have gone to %s but for its %s (%s)", t.preferred, excluded, endpointDetails(endpoint))
}

// endpointDetails returns the load and state of an endpoint as the balancer saw it.
func endpointDetails(endpoint *balancer.ConsideredEndpoint) string {
	text := fmt.Sprintf("load %.1f, weight %.2f", endpoint.Load, endpoint.Weight)
	if endpoint.DelayAge >= 0 {
		text += fmt.Sprintf(", delay %s %s ago", formatDuration(endpoint.Delay), formatDuration(endpoint.DelayAge))
	}
	if endpoint.Warmth < 1 {
		text += fmt.Sprintf(", %.0f%% warm", 100*endpoint.Warmth)
	}
	if endpoint.State != balancer.StateReady {
		text += ", " + registry.StateName(endpoint.State)
	}
	return text
}

// exclusionTexts are the texts of exclusions, which follow "but for its".
var exclusionTexts = map[balancer.Exclusions]string{
	balancer.ExcludedDraining:   "leaving",
	balancer.ExcludedTried:      "having failed this transaction",
	balancer.ExcludedScope:      "being where a repeat must not run",
	balancer.ExcludedWarmingUp:  "being cold, with no room for another yet",
	balancer.ExcludedSlow:       "being slow or full",
	balancer.ExcludedRecovering: "being eased into work",
	balancer.ExcludedAtCapacity: "taking up its messages' time",
}

// exclusionsText joins the texts of a set of exclusions.
func exclusionsText(exclusions balancer.Exclusions) string {
	var texts []string
	for bit := balancer.Exclusions(1); bit <= exclusions; bit <<= 1 {
		if exclusions&bit != 0 {
			texts = append(texts, exclusionTexts[bit])
		}
	}
	return strings.Join(texts, " and ")
}

// routeReasonTexts are the texts of reasons why a request was not sent along its cached
// route. They follow the endpoint's name.
var routeReasonTexts = map[balancer.Reason]string{
	balancer.ReasonRouteGone:       "takes nothing new",
	balancer.ReasonRouteSlow:       "is slow or full",
	balancer.ReasonRouteRecovering: "is being eased into work",
	balancer.ReasonRouteAtCapacity: "takes up its messages' time",
	balancer.ReasonRouteWarmingUp:  "is cold and has had what it bears",
}

// rejectReasonTexts are the texts of reasons why a request was rejected or failed.
var rejectReasonTexts = map[balancer.Reason]string{
	balancer.ReasonNoViableEndpoint:  "no ready server is left that it has not tried",
	balancer.ReasonDeadlineExceeded:  "its client's time is up, or would be before another attempt",
	balancer.ReasonAttemptsExhausted: "it has had all the attempts that it may have",
	balancer.ReasonNotRepeatable:     "it may have run, and must not run twice",
	balancer.ReasonShutdown:          "its relay leaves",
}

// migrateReasonTexts are the texts of reasons why a request was migrated. They follow the
// endpoint's name.
var migrateReasonTexts = map[balancer.Reason]string{
	balancer.ReasonLoadRelief:       "is slow and has to lose connections",
	balancer.ReasonEndpointDraining: "drains",
}
