package explain

import (
	"strings"
	"time"
)

// Archive holds accounts that outlast a restart.
type Archive interface {
	Put(key string, a *Explanation)
	// Each calls do with accounts, the youngest first, until it returns false.
	Each(do func(*Explanation) bool) error
}

// Save puts the account of a transaction on the shelf, if it is of note: eventful, or pinned. It is not for
// the transaction's own goroutine, as it makes words.
func (w *Explainer) Save(number uint64) {
	t, err := w.Log.Number(number)
	if err != nil || !t.Notable && !t.Pinned {
		return
	}
	a := w.account(t)
	w.Archive.Put(a.ReceivedAt.UTC().Format(time.RFC3339Nano)+" "+a.Name, a) // a second time in place of the first
}

// Matches tells whether an account is of a name, or of a flow's key.
func (a *Explanation) Matches(what string) bool {
	return a.Name == what || a.NameCut && strings.HasPrefix(what, a.Name) || a.Flow != "" && a.Flow == what
}

// shelved returns the accounts of a name or a flow that are on the shelf, the youngest first.
func (w *Explainer) shelved(of string, most int) (all []*Explanation, err error) {
	if w.Archive == nil {
		return nil, nil
	}
	err = w.Archive.Each(func(a *Explanation) bool {
		if a.Matches(of) {
			a.ago = time.Since(a.ReceivedAt)
			all = append(all, a)
		}
		return len(all) < most
	})
	return all, err
}
