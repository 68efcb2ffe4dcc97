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

// filterField is a form that a filter may have besides and, or and not.
type filterField struct {
	name, args, help string
	compile          compileField
}

// resultNames are what a request can have for a result so far.
var resultNames = append([]string{"waiting", "up"}, registry.EndNames...)

// filterFields is filled at the start, as the compiler of a form looks for fields itself.
var filterFields []filterField

func init() {
	filterFields = []filterField{
		{"number", "N ...", "these numbers", matchWord(func(entry *decisionlog.Entry) string { return strconv.FormatUint(entry.Number, 10) })},
		{"name", "NAME ...", "as the client calls it", matchWord(func(entry *decisionlog.Entry) string { return entry.Name })},
		{"flow", "KEY ...", "the flow's key, in hexadecimal", matchKey(func(entry *decisionlog.Entry) uint64 { return entry.Flow })},
		{"group", "KEY ...", "the group, in hexadecimal", matchKey(func(entry *decisionlog.Entry) uint64 { return entry.Group })},
		{"class", "CLASS ...", "its class", matchWord(func(entry *decisionlog.Entry) string { return entry.Class })},
		{"tenant", "TENANT ...", "whose it is", matchWord(func(entry *decisionlog.Entry) string { return entry.Tenant })},
		{"front", "FRONT ...", "the front that it came by", matchWord(func(entry *decisionlog.Entry) string { return entry.Frontend })},
		{"server", "SERVER ...", "sent to one of these", matchEndpoint},
		{
			"answer", "ANSWER ...", "how it ended, or how far it has come: " + strings.Join(resultNames, ", "),
			matchWords(resultNames, func(entry *decisionlog.Entry) []string { return []string{entry.ResultName()} }),
		},
		{
			"cause", "CAUSE ...", "why it ended where the module did not decide it: " + strings.Join(proxy.CauseNames[:], ", "),
			matchWords(proxy.CauseNames[:], causeWords),
		},
		{
			"reason", "REASON ...", "a decision had this reason: " + strings.Join(balancer.ReasonNames[1:], ", "),
			matchWords(balancer.ReasonNames[1:], decisionWords(func(decision *balancer.Decision) string { return decision.Reason.String() })),
		},
		{
			"verdict", "VERDICT ...", "a decision was this: " + strings.Join(balancer.VerdictNames[:], ", "),
			matchWords(balancer.VerdictNames[:], decisionWords(func(decision *balancer.Decision) string { return decision.Verdict.String() })),
		},
		{
			"outcome", "OUTCOME ...", "a pass ended so: " + strings.Join(registry.StatusNames, ", "),
			matchWords(registry.StatusNames, outcomeWords),
		},
		{
			"since", "TIME", "it came, or something happened to it, within this time, such as 5m",
			matchTime(func(entry *decisionlog.Entry, since time.Duration) bool { return entry.LastEventAt() >= since }),
		},
		{
			"until", "TIME", "it came longer ago than this",
			matchTime(func(entry *decisionlog.Entry, since time.Duration) bool { return entry.StartedAt <= since }),
		},
		{"passes", "OP N", "how many passes it had, with one of = < > <= >=", matchNumber(parseWhole, attemptCount)},
		{"took", "OP TIME", "time from its coming to its answer", matchNumber(parseDuration, timeToAnswer)},
		{"return", "", "its client was back after a move or a break", matchFlag(func(entry *decisionlog.Entry) bool { return entry.Returning })},
		{
			"eventful", "", "refused, failed, retried, made to wait or moved off a slow server",
			matchFlag(func(entry *decisionlog.Entry) bool { return entry.Notable }),
		},
		{"pinned", "", "kept by hand", matchFlag(func(entry *decisionlog.Entry) bool { return entry.Pinned })},
	}
}

// causeWords returns the cause of an entry's end, nothing if it has not ended.
func causeWords(entry *decisionlog.Entry) []string {
	if result, ended := entry.Result(); ended {
		return []string{result.Cause.String()}
	}
	return nil
}

// outcomeWords returns how the attempts of an entry ended.
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

// timeToAnswer returns how long a request took until it was established, rejected or failed.
func timeToAnswer(entry *decisionlog.Entry) (float64, bool) {
	for i := range entry.Events {
		event := &entry.Events[i]
		if event.Kind == decisionlog.EventEstablished || event.Kind == decisionlog.EventEnded {
			return float64(event.At - entry.StartedAt), true
		}
	}
	return 0, false
}
