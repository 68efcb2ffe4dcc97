package explain

import (
	"strings"
	"time"
)

// Archive is persistent storage of explanations.
type Archive interface {
	// Put stores an explanation under a key. It replaces the previous one under the key.
	Put(key string, explanation *Explanation)
	// Each calls visit for the explanations, the newest first, until visit returns false.
	Each(visit func(*Explanation) bool) error
}

// Save archives the explanation of a request if its entry is notable or pinned. Formatting
// takes time, so it must not be called from the request's own goroutine.
func (e *Explainer) Save(number uint64) {
	entry, err := e.Log.EntryByNumber(number)
	if err != nil || !entry.Notable && !entry.Pinned {
		return
	}
	explanation := e.explainEntry(entry)
	// The key is the same if a request is saved again, for example because it is pinned.
	key := explanation.ReceivedAt.UTC().Format(time.RFC3339Nano) + " " + explanation.Name
	e.Archive.Put(key, explanation)
}

// Matches reports whether nameOrFlow is the request's name or the key of its flow. A name that was
// truncated in the log matches by its first part.
func (x *Explanation) Matches(nameOrFlow string) bool {
	return x.Name == nameOrFlow ||
		x.NameTruncated && strings.HasPrefix(nameOrFlow, x.Name) ||
		x.Flow != "" && x.Flow == nameOrFlow
}

// findArchived returns up to limit archived explanations that match a name or a flow's key, the
// newest first.
func (e *Explainer) findArchived(nameOrFlow string, limit int) (found []*Explanation, err error) {
	if e.Archive == nil {
		return nil, nil
	}
	err = e.Archive.Each(func(explanation *Explanation) bool {
		if explanation.Matches(nameOrFlow) {
			explanation.age = time.Since(explanation.ReceivedAt)
			found = append(found, explanation)
		}
		return len(found) < limit
	})
	return found, err
}
