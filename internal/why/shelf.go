package why

import (
	"strings"
	"time"
)

// Shelf holds accounts that outlast a restart.
type Shelf interface {
	Put(key string, a *Account)
	// Each calls do with accounts, the youngest first, until it returns false.
	Each(do func(*Account) bool) error
}

// Keep puts the account of a transaction on the shelf, if it is of note: eventful, or pinned. It is not for
// the transaction's own goroutine, as it makes words.
func (w *Teller) Keep(number uint64) {
	t, err := w.Record.Number(number)
	if err != nil || !t.Notable && !t.Pinned {
		return
	}
	a := w.account(t)
	w.Shelf.Put(a.Came.UTC().Format(time.RFC3339Nano)+" "+a.Name, a) // a second time in place of the first
}

// Of tells whether an account is of a name, or of a flow's key.
func (a *Account) Of(what string) bool {
	return a.Name == what || a.NameCut && strings.HasPrefix(what, a.Name) || a.Flow != "" && a.Flow == what
}

// shelved returns the accounts of a name or a flow that are on the shelf, the youngest first.
func (w *Teller) shelved(of string, most int) (all []*Account, err error) {
	if w.Shelf == nil {
		return nil, nil
	}
	err = w.Shelf.Each(func(a *Account) bool {
		if a.Of(of) {
			a.ago = time.Since(a.Came)
			all = append(all, a)
		}
		return len(all) < most
	})
	return all, err
}
