package decisionlog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
)

// ErrEvicted says that a request was logged, or may have been, and is no longer.
var ErrEvicted = errors.New("no longer kept")

// ErrUnknown says that there has been no such request.
var ErrUnknown = errors.New("has not come")

// ErrPinLimit says that pinned entries use all the memory that they may.
var ErrPinLimit = errors.New("the share for pins is used up")

// EntryByNumber returns the entry of the request with a number. The error wraps ErrEvicted or
// ErrUnknown.
func (l *Log) EntryByNumber(number uint64) (*Entry, error) {
	if number == 0 || number > l.lastNumber.Load() {
		return nil, fmt.Errorf("transaction %d %w: the last was %d", number, ErrUnknown, l.lastNumber.Load())
	}
	if entry := l.entryAtHint(number); entry != nil {
		return entry, nil
	}
	var found *Entry
	l.each(func(word func(int) uint64) bool { return word(headNumber) == number }, func(entry *Entry) bool {
		found = entry.Clone()
		return false
	})
	if found == nil {
		return nil, fmt.Errorf("transaction %d is %w", number, ErrEvicted)
	}
	return found, nil
}

// entryAtHint looks for an entry where its number was last seen, which for most spares
// reading all blocks. It returns nil if another is there.
func (l *Log) entryAtHint(number uint64) *Entry {
	head := atomic.LoadUint32(&l.pool.headHints[number%uint64(l.pool.blockCount)])
	words, ok := l.pool.copyChain(head, nil)
	if !ok || words[headNumber] != number {
		return nil
	}
	entry := &Entry{headBlock: head}
	l.decodeEntry(entry, words)
	return entry
}

// EntriesByName returns the entries of a name, or of a flow's key in hexadecimal as clients write
// it, the youngest first. The error wraps ErrEvicted if one of that name may have been
// evicted, and ErrUnknown if there was none.
func (l *Log) EntriesByName(name string) ([]*Entry, error) {
	hash := hashName(name)
	item, _ := parseFlowKey(name)
	var found []*Entry
	l.each(func(word func(int) uint64) bool {
		return word(headHash) == hash || item != 0 && word(headItem) == item
	}, func(entry *Entry) bool {
		found = append(found, entry.Clone())
		return true
	})
	if len(found) > 0 {
		slices.SortFunc(found, func(x, y *Entry) int { return cmp.Compare(y.Number, x.Number) })
		return found, nil
	}
	if stats := l.Stats(); stats.TotalEvicted() == 0 {
		return nil, fmt.Errorf("a transaction called %q %w: all since the start are kept", name, ErrUnknown)
	}
	return nil, fmt.Errorf("a transaction called %q is %w, if it came", name, ErrEvicted)
}

// parseFlowKey reads a key of up to 16 hexadecimal digits in the one form that clients
// write it in.
func parseFlowKey(name string) (key uint64, ok bool) {
	if len(name) == 0 || len(name) > 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(name, "%x", &key)
	return key, err == nil && fmt.Sprintf("%0*x", len(name), key) == name
}

// Each calls visit for each entry, in no order, until it returns false. The entry is used
// again for the next call: visit must keep a Clone.
func (l *Log) Each(visit func(*Entry) bool) {
	l.each(func(func(int) uint64) bool { return true }, visit)
}

// Related calls visit, as Each does, for each entry that shares its name, flow or group
// with another, which may itself be among them.
func (l *Log) Related(to *Entry, visit func(*Entry) bool) {
	l.each(func(word func(int) uint64) bool {
		return word(headHash) == to.nameHash ||
			to.Flow != 0 && word(headItem) == to.Flow ||
			to.Group != 0 && word(headGroup) == to.Group
	}, visit)
}

// each calls visit for the entries whose heads match, until it returns false. match is
// given a function that returns the words of a head.
func (l *Log) each(match func(word func(int) uint64) bool, visit func(*Entry) bool) {
	words := make([]uint64, 0, maxChainBlocks*blockWords)
	entry := &Entry{}
	for block := range uint32(l.pool.blockCount) {
		// A look at the head itself spares most copies. As it may change meanwhile, only the
		// copy decides.
		isHead := tagOf(l.pool.load(block, 0)) == tagHead
		if !isHead || !match(func(word int) uint64 { return l.pool.load(block, word) }) {
			continue
		}
		var ok bool
		if words, ok = l.pool.copyChain(block, words); !ok || !match(func(word int) uint64 { return words[word] }) {
			continue
		}
		entry.headBlock = block
		l.decodeEntry(entry, words)
		if !visit(entry) {
			return
		}
	}
}

// Pin keeps an entry until it is unpinned, or with on false unpins it. The errors are those
// of EntryByNumber, and one that wraps ErrPinLimit.
func (l *Log) Pin(number uint64, on bool) error {
	entry, err := l.EntryByNumber(number)
	if err != nil {
		return err
	}
	pool, head := l.pool, entry.headBlock
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if tagOf(pool.load(head, 0)) != tagHead || pool.load(head, headNumber) != number {
		return fmt.Errorf("transaction %d is %w", number, ErrEvicted)
	}
	if isPinned := categoryOf(pool.load(head, 0)) == categoryPinned; on == isPinned {
		return nil
	}
	to := categoryPinned
	if !on {
		to = categoryByFlags(pool.load(head, headFacts) >> 16)
	} else if int(pool.blocksInUse[categoryPinned].Load())+pool.chainLength(head) > pool.blockCount*pinnedSharePercent/100 {
		return fmt.Errorf("transaction %d: %w: %d are pinned; unpin one first", number, ErrPinLimit, pool.entryCount[categoryPinned].Load())
	}
	pool.beginUpdate(head)
	defer pool.endUpdate(head)
	pool.moveToCategory(head, to)
	return nil
}

// categoryByFlags returns the category of an entry that isn't pinned.
func categoryByFlags(flags uint64) category {
	switch {
	case flags&flagEnded == 0:
		return categoryPending
	case flags&(flagHeld|flagFailed) != 0:
		return categoryNotable
	}
	return categoryRoutine
}
