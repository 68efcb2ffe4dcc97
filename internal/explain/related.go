package explain

import (
	"slices"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/registry"
)

// maxReturnDelay is the maximum time between the end of a request and the next request of
// the same client.
const maxReturnDelay = time.Minute

// related finds the previous and the next request of an entry's client: the nearest with the
// same name or flow, or with the same group if the later request says that its client
// returned after a migration or a disconnect. Either may be nil.
func (e *Explainer) related(entry *decisionlog.Entry) (before, after *decisionlog.Entry) {
	e.Log.Related(entry, func(other *decisionlog.Entry) bool {
		switch {
		case other.Number < entry.Number && follows(other, entry):
			if before == nil || hasStrongerRelation(other, before, entry) ||
				relationOf(other, entry) == relationOf(before, entry) && other.LastEventAt() > before.LastEventAt() {
				before = other.Clone()
			}
		case other.Number > entry.Number && follows(entry, other):
			if after == nil || hasStrongerRelation(other, after, entry) ||
				relationOf(other, entry) == relationOf(after, entry) && other.StartedAt < after.StartedAt {
				after = other.Clone()
			}
		}
		return true
	})
	return before, after
}

// follows reports whether later may be the next request of earlier's client.
func follows(earlier, later *decisionlog.Entry) bool {
	if !earlier.Ended || sameClientRelation(earlier, later) == "" {
		return false
	}
	delay := later.StartedAt - earlier.LastEventAt()
	return delay >= 0 && delay < maxReturnDelay
}

// relations are the properties by which requests are attributed to the same client, the most
// reliable first.
var relations = []string{"name", "flow", "group"}

// relationOf returns the most reliable relation of two requests, or "" if there is none.
func relationOf(x, y *decisionlog.Entry) string {
	switch {
	case x.Name != "" && x.Name == y.Name && x.Frontend == y.Frontend:
		return "name"
	case x.Flow != 0 && x.Flow == y.Flow:
		return "flow"
	case x.Group != 0 && x.Group == y.Group:
		return "group"
	}
	return ""
}

// hasStrongerRelation reports whether x has a more reliable relation than y to the entry to.
func hasStrongerRelation(x, y, to *decisionlog.Entry) bool {
	return slices.Index(relations, relationOf(x, to)) < slices.Index(relations, relationOf(y, to))
}

// sameClientRelation returns the relation by which two requests are attributed to the same
// client, or "" if there is none.
func sameClientRelation(earlier, later *decisionlog.Entry) string {
	relation := relationOf(earlier, later)
	if relation != "group" || later.Returning && wasDisconnected(earlier) {
		return relation
	}
	return ""
}

// wasDisconnected reports whether a request's client was migrated or lost its connection.
func wasDisconnected(entry *decisionlog.Entry) bool {
	result, ended := entry.Result()
	if !ended {
		return false
	}
	switch result.End {
	case registry.EndMigrated, registry.EndHeartbeatTimeout:
		return true
	case registry.EndClosed:
		return result.Status != balancer.StatusOK && result.Status != balancer.StatusCancelled
	}
	return false
}

// relationText returns the text of the relation of two requests.
func relationText(x, y *decisionlog.Entry) string {
	switch relationOf(x, y) {
	case "name":
		return "of the same name"
	case "flow":
		return "of the same flow"
	}
	return "of the same group, so perhaps the same client"
}
