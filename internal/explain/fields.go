package explain

import (
	"strconv"
	"strings"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
	"lockroad/internal/sexp"
)

// filterField is a field that a filter can test, in a form such as (class "page").
type filterField struct {
	name, args, help string
	compile          compileField
}

// resultNames are the names of the results of requests, and of their states until they end.
var resultNames = append([]string{"waiting", "up"}, registry.EndNames...)

// filterFields are all fields. They are set in init, as their compile functions refer to
// filterFields themselves.
var filterFields []filterField

func init() {
	filterFields = []filterField{
		{"number", "N ...", "its number is one of these", matchWord(func(entry *decisionlog.Entry) string { return strconv.FormatUint(entry.Number, 10) })},
		{"name", "NAME ...", "its name, as given by the client", matchWord(func(entry *decisionlog.Entry) string { return entry.Name })},
		{"flow", "KEY ...", "the key of its flow, in hexadecimal", matchKey(func(entry *decisionlog.Entry) uint64 { return entry.Flow })},
		{"group", "KEY ...", "the key of its group, in hexadecimal", matchKey(func(entry *decisionlog.Entry) uint64 { return entry.Group })},
		{"class", "CLASS ...", "its class", matchWord(func(entry *decisionlog.Entry) string { return entry.Class })},
		{"tenant", "TENANT ...", "its tenant", matchWord(func(entry *decisionlog.Entry) string { return entry.Tenant })},
		{"front", "FRONT ...", "the front that received it", matchWord(func(entry *decisionlog.Entry) string { return entry.Frontend })},
		{"server", "SERVER ...", "it was sent to one of these servers", matchEndpoint},
		{
			"answer", "ANSWER ...", "its result, or its state if it has not ended: " + strings.Join(resultNames, ", "),
			matchWords(resultNames, func(entry *decisionlog.Entry) []string { return []string{entry.ResultName()} }),
		},
		{
			"cause", "CAUSE ...", "why it ended, where decided means by a decision of the balancer: " + strings.Join(proxy.CauseNames[:], ", "),
			matchWords(proxy.CauseNames[:], causeWords),
		},
		{
			"reason", "REASON ...", "the reason of one of its decisions: " + strings.Join(balancer.ReasonNames[1:], ", "),
			matchWords(balancer.ReasonNames[1:], decisionWords(func(decision *balancer.Decision) string { return decision.Reason.String() })),
		},
		{
			"verdict", "VERDICT ...", "the verdict of one of its decisions: " + strings.Join(balancer.VerdictNames[:], ", "),
			matchWords(balancer.VerdictNames[:], decisionWords(func(decision *balancer.Decision) string { return decision.Verdict.String() })),
		},
		{
			"outcome", "OUTCOME ...", "the outcome of one of its passes: " + strings.Join(registry.StatusNames, ", "),
			matchWords(registry.StatusNames, outcomeWords),
		},
		{
			"since", "TIME", "it was received, or had its last step, within this time, such as 5m",
			matchTime(func(entry *decisionlog.Entry, at time.Duration) bool { return entry.LastEventAt() >= at }),
		},
		{
			"until", "TIME", "it was received longer ago than this",
			matchTime(func(entry *decisionlog.Entry, at time.Duration) bool { return entry.StartedAt <= at }),
		},
		{"passes", "OP N", "the number of its passes, compared with one of = < > <= >=", matchNumber(parseWhole, attemptCount)},
		{"took", "OP TIME", "the time until its answer, compared with one of = < > <= >=", matchNumber(parseDuration, timeToAnswer)},
		{"return", "", "its client returned after a move or a disconnect", matchFlag(func(entry *decisionlog.Entry) bool { return entry.Returning })},
		{
			"eventful", "", "it was refused, failed, retried, made to wait or moved off a slow server",
			matchFlag(func(entry *decisionlog.Entry) bool { return entry.Notable }),
		},
		{"pinned", "", "it is pinned", matchFlag(func(entry *decisionlog.Entry) bool { return entry.Pinned })},
	}
}

// causeWords returns the cause of an entry's end, or nil if it has not ended.
func causeWords(entry *decisionlog.Entry) []string {
	if result, ended := entry.Result(); ended {
		return []string{result.Cause.String()}
	}
	return nil
}

// outcomeWords returns the outcomes of an entry's attempts.
func outcomeWords(entry *decisionlog.Entry) (words []string) {
	for _, attempt := range entry.Attempts() {
		if !attempt.InProgress {
			words = append(words, registry.StatusNames[attempt.Status])
		}
	}
	return words
}

func parseWhole(node *sexp.Node) (float64, error) {
	number, err := node.Uint()
	return float64(number), err
}

func attemptCount(entry *decisionlog.Entry) (float64, bool) {
	return float64(len(entry.Attempts())), true
}

func parseDuration(node *sexp.Node) (float64, error) {
	duration, err := node.Duration()
	return float64(duration), err
}

// timeToAnswer returns the time until a request was established or ended, and false if it
// has done neither.
func timeToAnswer(entry *decisionlog.Entry) (float64, bool) {
	for i := range entry.Events {
		event := &entry.Events[i]
		if event.Kind == decisionlog.EventEstablished || event.Kind == decisionlog.EventEnded {
			return float64(event.At - entry.StartedAt), true
		}
	}
	return 0, false
}
