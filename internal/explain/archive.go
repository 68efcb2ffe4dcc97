package explain

import (
	"strings"
	"time"
)

// Archive holds explanations that outlast a restart.
type Archive interface {
	// Put stores an explanation under a key, in place of an earlier one of that key.
	Put(key string, explanation *Explanation)
	// Each calls visit for the explanations, the youngest first, until it returns false.
	Each(visit func(*Explanation) bool) error
}

// Save archives the explanation of a request, if its entry is notable or pinned. It formats
// text, so it must not be called from the request's own goroutine.
func (e *Explainer) Save(number uint64) {
	entry, err := e.Log.EntryByNumber(number)
	if err != nil || !entry.Notable && !entry.Pinned {
		return
	}
	explanation := e.explainAlone(entry)
	// A request that is saved again, as when it is pinned, replaces its earlier explanation.
	key := explanation.ReceivedAt.UTC().Format(time.RFC3339Nano) + " " + explanation.Name
	e.Archive.Put(key, explanation)
}

// Matches reports whether an explanation is of a name, or of a flow's key.
func (x *Explanation) Matches(nameOrFlow string) bool {
	return x.Name == nameOrFlow ||
		x.NameTruncated && strings.HasPrefix(nameOrFlow, x.Name) ||
		x.Flow != "" && x.Flow == nameOrFlow
}

// archived returns up to limit archived explanations of a name or a flow, the youngest first.
func (e *Explainer) archived(nameOrFlow string, limit int) (found []*Explanation, err error) {
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
