package decisionlog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
)

// ErrEvicted is returned if the entry of a request was, or may have been, evicted.
var ErrEvicted = errors.New("no longer in the log")

// ErrUnknown is returned if no request with the number or name has started.
var ErrUnknown = errors.New("not found")

// ErrPinLimit is returned if pinned entries use their whole share of the memory.
var ErrPinLimit = errors.New("the memory for pinned transactions is used up")

// EntryByNumber returns the entry of a request by its number. The error wraps ErrEvicted or
// ErrUnknown.
func (l *Log) EntryByNumber(number uint64) (*Entry, error) {
	if number == 0 || number > l.lastNumber.Load() {
		return nil, fmt.Errorf("transaction %d %w: the latest is %d", number, ErrUnknown, l.lastNumber.Load())
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

// entryAtHint returns the entry with a number from the block that headHints has for it, which
// usually avoids a scan of all blocks. It returns nil if the entry is not there.
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

// EntriesByName returns the entries of the requests whose name, or whose flow's key in
// hexadecimal, is name, the newest first. If there are none, the error wraps ErrEvicted if
// entries have been evicted, and ErrUnknown otherwise.
func (l *Log) EntriesByName(name string) ([]*Entry, error) {
	hash := hashName(name)
	flow, _ := parseFlowKey(name)
	var found []*Entry
	l.each(func(word func(int) uint64) bool {
		return word(headHash) == hash || flow != 0 && word(headFlow) == flow
	}, func(entry *Entry) bool {
		found = append(found, entry.Clone())
		return true
	})
	if len(found) > 0 {
		slices.SortFunc(found, func(x, y *Entry) int { return cmp.Compare(y.Number, x.Number) })
		return found, nil
	}
	if stats := l.Stats(); stats.TotalEvicted() == 0 {
		return nil, fmt.Errorf("transaction %q %w: the log has all transactions since the start", name, ErrUnknown)
	}
	return nil, fmt.Errorf("transaction %q was not found, or is %w", name, ErrEvicted)
}

// parseFlowKey parses the key of a flow, which clients write as up to 16 lower-case
// hexadecimal digits.
func parseFlowKey(name string) (key uint64, ok bool) {
	if len(name) == 0 || len(name) > 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(name, "%x", &key)
	return key, err == nil && fmt.Sprintf("%0*x", len(name), key) == name
}

// Each calls visit for all entries in no particular order, until it returns false. The entry
// is reused for the next call: visit must Clone it to keep it.
func (l *Log) Each(visit func(*Entry) bool) {
	l.each(func(func(int) uint64) bool { return true }, visit)
}

// Related calls visit, as Each does, for all entries with the name, flow or group of an
// entry, which may include the entry itself.
func (l *Log) Related(to *Entry, visit func(*Entry) bool) {
	l.each(func(word func(int) uint64) bool {
		return word(headHash) == to.nameHash ||
			to.Flow != 0 && word(headFlow) == to.Flow ||
			to.Group != 0 && word(headGroup) == to.Group
	}, visit)
}

// each calls visit for the entries whose heads match, until visit returns false. match gets
// a function that returns a word of the head.
func (l *Log) each(match func(word func(int) uint64) bool, visit func(*Entry) bool) {
	words := make([]uint64, 0, maxChainBlocks*blockWords)
	entry := &Entry{}
	for block := range uint32(l.pool.blockCount) {
		// Matching the head in place avoids most copies. As the head may change meanwhile,
		// the copy is matched again.
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

// Pin protects an entry from eviction, or unpins it if pinned is false. The errors are those
// of EntryByNumber, and one that wraps ErrPinLimit.
func (l *Log) Pin(number uint64, pinned bool) error {
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
	if isPinned := categoryOf(pool.load(head, 0)) == categoryPinned; pinned == isPinned {
		return nil
	}
	to := categoryPinned
	if !pinned {
		to = categoryByFlags(pool.load(head, headAttributes) >> 16)
	} else if int(pool.blocksInUse[categoryPinned].Load())+pool.chainLength(head) > pool.blockCount*pinnedSharePercent/100 {
		return fmt.Errorf("transaction %d: %w: %d are pinned; unpin one first", number, ErrPinLimit, pool.entryCount[categoryPinned].Load())
	}
	pool.beginUpdate(head)
	defer pool.endUpdate(head)
	pool.moveToCategory(head, to)
	return nil
}

// categoryByFlags returns the category of an unpinned entry with flags.
func categoryByFlags(flags uint64) category {
	switch {
	case flags&flagEnded == 0:
		return categoryPending
	case flags&(flagHeld|flagFailed) != 0:
		return categoryNotable
	}
	return categoryRoutine
}
