package explain

import (
	"slices"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/registry"
)

// maxReturnDelay bounds the time between two requests that are taken for one after the other
// of the same client.
const maxReturnDelay = time.Minute

// related finds the requests that an entry's client made before and after it: the nearest of
// the same name or flow, or, where the later one says that its client returns after a
// migration or a disconnect, of the same group. Either may be nil.
func (e *Explainer) related(entry *decisionlog.Entry) (before, after *decisionlog.Entry) {
	e.Log.Related(entry, func(other *decisionlog.Entry) bool {
		switch {
		case other.Number < entry.Number && follows(other, entry):
			if before == nil || isCloser(other, before, entry) ||
				relationOf(other, entry) == relationOf(before, entry) && other.LastEventAt() > before.LastEventAt() {
				before = other.Clone()
			}
		case other.Number > entry.Number && follows(entry, other):
			if after == nil || isCloser(other, after, entry) ||
				relationOf(other, entry) == relationOf(after, entry) && other.StartedAt < after.StartedAt {
				after = other.Clone()
			}
		}
		return true
	})
	return before, after
}

// follows reports whether a request may be the next one of an earlier one's client.
func follows(earlier, later *decisionlog.Entry) bool {
	if !earlier.Ended || continuationOf(earlier, later) == "" {
		return false
	}
	delay := later.StartedAt - earlier.LastEventAt()
	return delay >= 0 && delay < maxReturnDelay
}

// relations are what two requests may have in common, the most certain first.
var relations = []string{"name", "flow", "group"}

// relationOf returns the most certain of what two requests have in common, "" if nothing.
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

// isCloser reports whether x has a more certain relation to an entry than y has.
func isCloser(x, y, to *decisionlog.Entry) bool {
	return slices.Index(relations, relationOf(x, to)) < slices.Index(relations, relationOf(y, to))
}

// continuationOf returns by what relation the later of two requests is the next one of the
// same client, "" if it is not.
func continuationOf(earlier, later *decisionlog.Entry) string {
	relation := relationOf(earlier, later)
	if relation != "group" || later.Returning && wasDisconnected(earlier) {
		return relation
	}
	return ""
}

// wasDisconnected reports whether a request's client was migrated or cut off.
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

func relationText(x, y *decisionlog.Entry) string {
	switch relationOf(x, y) {
	case "name":
		return "of the same name"
	case "flow":
		return "of the same flow"
	}
	return "of the same group, so perhaps the same client"
}
