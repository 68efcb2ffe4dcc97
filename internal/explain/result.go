package explain

import (
	"fmt"
	"slices"
	"strings"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// attemptStatusTexts are the texts of the ends of attempts. They follow the endpoint's name. As
// part of an explanation's JSON, they and the texts of results must not change.
var attemptStatusTexts = [...]string{
	balancer.StatusOK:            "accepts it",
	balancer.StatusError:         "answers with an error",
	balancer.StatusFull:          "turns it away as full",
	balancer.StatusTimeout:       "does not answer in time",
	balancer.StatusConnectFailed: "can't be reached",
	balancer.StatusReset:         "breaks the connection",
	balancer.StatusCancelled:     "is let go: the pass is called off",
	balancer.StatusNotSent:       "is spared: it has just begun to leave",
	balancer.StatusRedirected:    "sends the client away, as it leaves",
}

// resultText formats a result as a sentence whose omitted subject is the request.
func resultText(result proxy.Result) string {
	switch result.End {
	case registry.EndRejected:
		return rejectedText(result)
	case registry.EndFailed:
		return "gets the failed answer"
	case registry.EndClientLeft:
		return "its client has left before an answer"
	case registry.EndMigrated:
		if result.Cause == proxy.CauseShutdown {
			return "its client is told to move: the relay is leaving"
		}
		return "its client is told to move"
	case registry.EndHeartbeatTimeout:
		return "its server has gone silent; its client is told to move"
	}
	return closedText(result.Status)
}

// rejectedText is resultText for a rejected request.
func rejectedText(result proxy.Result) string {
	retryAfter := ""
	if result.RetryAfter > 0 {
		retryAfter = ", to come back in " + formatDuration(result.RetryAfter)
	}
	switch result.Cause {
	case proxy.CauseConnectionLimit:
		return "gets the unavailable answer at the door: no seat was free" + retryAfter
	case proxy.CauseQuotaExceeded:
		return "gets the unavailable answer at the door: its address or its class has as much as may be" + retryAfter
	case proxy.CauseShutdown:
		return "gets the unavailable answer: the relay is leaving"
	case proxy.CauseResumeFailed:
		return "gets the unavailable answer: it was not open at the server that its client named"
	}
	return "gets the unavailable answer" + retryAfter
}

// closedText is resultText for an established request that was closed.
func closedText(status balancer.AttemptStatus) string {
	switch status {
	case balancer.StatusOK:
		return "its server ends it in good order"
	case balancer.StatusRedirected:
		return "its server sends the client away, as it leaves"
	case balancer.StatusCancelled:
		return "its client ends it"
	}
	return "its server breaks the connection"
}

// resultClause formats the result or state of a request as a relative clause.
func (e *Explainer) resultClause(entry *decisionlog.Entry) string {
	result, ended := entry.Result()
	if !ended {
		return map[string]string{"up": "which stands", "waiting": "which waits for an answer"}[entry.ResultName()]
	}
	reason := e.lastReason(entry)
	if text, hasPrefix := strings.CutPrefix(resultText(result), "its "); hasPrefix {
		return "whose " + text + reason
	}
	return "which " + resultText(result) + reason
}

// lastReason returns the reason of the last decision in parentheses if the decision ended the
// request.
func (e *Explainer) lastReason(entry *decisionlog.Entry) string {
	for _, event := range slices.Backward(entry.Events) {
		if event.Kind != decisionlog.EventDecision {
			continue
		}
		switch decision := event.Decision; decision.Verdict {
		case balancer.VerdictMigrated:
			return fmt.Sprintf(" (%s: %s)", decision.Reason, e.Names.Name(decision.Endpoint))
		case balancer.VerdictRejected, balancer.VerdictFailed:
			return fmt.Sprintf(" (%s)", decision.Reason)
		}
		return ""
	}
	return ""
}
