package decisionlog

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// checkPool checks that every block is free or in exactly one chain, and that the links and counts are consistent.
func checkPool(t interface{ Fatalf(string, ...any) }, pool *blockPool) {
	uses := make([]int, pool.blockCount)
	for block := pool.firstFree; block != noBlock; block = pool.newer[block] {
		uses[block]++
		if tag := tagOf(pool.load(block, 0)); tag != tagFree {
			t.Fatalf("free block %d has tag %d", block, tag)
		}
	}
	for category := range categoryCount {
		chains, blocks, previous := 0, 0, noBlock
		for head := pool.oldest[category]; head != noBlock; head = pool.newer[head] {
			chains++
			link := pool.load(head, 0)
			if pool.older[head] != previous || categoryOf(link) != category || tagOf(link) != tagHead || pool.sequences[head]&1 != 0 {
				t.Fatalf("chain %d in category %d has wrong links, a wrong tag or an odd sequence", head, category)
			}
			previous = head
			for block := head; block != noBlock; block = nextOf(pool.load(block, 0)) {
				uses[block]++
				blocks++
				if nextOf(pool.load(block, 0)) == noBlock && pool.lastBlock[head] != block {
					t.Fatalf("lastBlock of chain %d is %d, want %d", head, pool.lastBlock[head], block)
				}
			}
		}
		if chains != int(pool.entryCount[category].Load()) || blocks != int(pool.blocksInUse[category].Load()) || pool.newest[category] != previous {
			t.Fatalf("category %d has counts of %d chains and %d blocks, want %d and %d",
				category, pool.entryCount[category].Load(), pool.blocksInUse[category].Load(), chains, blocks)
		}
	}
	for block, count := range uses {
		if count != 1 {
			t.Fatalf("block %d is in %d chains or free lists, want 1", block, count)
		}
	}
}

// After any sequence of events the pool is consistent, and each entry is complete, marked as incomplete, or evicted.
// The memory is so small that its blocks are reused often.
func TestRandomEventsLeavePoolConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := newTestLog(t, MinBytes)
		log.pool = newBlockPool(bytesPerBlock * rapid.IntRange(4, 60).Draw(rt, "blocks"))
		type expected struct {
			proxy.RequestObserver
			events int // number of events passed to the observer
			ended  bool
			held   balancer.Reason // reason of the last event if that is a hold, otherwise 0
		}
		all := make(map[uint64]*expected)
		var last uint64
		pick := func() (uint64, *expected) {
			if last == 0 {
				return 0, nil
			}
			number := rapid.Uint64Range(max(1, last-min(last-1, 12)), last).Draw(rt, "number")
			return number, all[number]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				checkPool(rt, log.pool)
				for number, state := range all {
					entry, err := log.EntryByNumber(number)
					switch {
					case errors.Is(err, ErrEvicted):
					case err != nil:
						rt.Fatalf("entry %d: error %v", number, err)
					case entry.Name != testRequest(number).Name || entry.Flow != number:
						rt.Fatalf("entry %d is read as %+v", number, entry)
					case !entry.HeadEvicted && !entry.EventsOmitted && len(entry.Events) != state.events:
						rt.Fatalf("entry %d: %d events recorded, %d read: %+v", number, state.events, len(entry.Events), entry.Events)
					case entry.HeadEvicted && len(entry.Events) > state.events:
						rt.Fatalf("incomplete entry %d: %d events recorded, %d read", number, state.events, len(entry.Events))
					}
				}
			},
			"begin": func(_ *rapid.T) {
				last++
				all[last] = &expected{RequestObserver: log.RequestStarted(last, testRequest(last))}
			},
			"decide": func(rt *rapid.T) {
				_, state := pick()
				if state == nil || state.ended {
					return
				}
				reason := balancer.Reason(rapid.IntRange(int(balancer.ReasonNoneEligible), int(balancer.ReasonEndpointRecovering)).Draw(rt, "reason"))
				if rapid.Bool().Draw(rt, "held") {
					state.Decided(testDecision(balancer.VerdictHeld, reason, 1, 2))
					if state.held != reason {
						state.events++
					}
					state.held = reason
					return
				}
				state.Decided(testDecision(balancer.VerdictSent, balancer.ReasonWeightedDraw, 1, 2))
				state.events++
				state.held = 0
			},
			"pass": func(rt *rapid.T) {
				if _, state := pick(); state != nil && !state.ended {
					state.AttemptStarted(1)(balancer.AttemptStatus(rapid.IntRange(0, 8).Draw(rt, "status")))
					state.events += 2
					state.held = 0
				}
			},
			"up": func(_ *rapid.T) {
				if _, state := pick(); state != nil && !state.ended {
					state.Established()
					state.events++
					state.held = 0
				}
			},
			"end": func(rt *rapid.T) {
				if _, state := pick(); state != nil && !state.ended {
					state.Ended(proxy.Result{End: registry.End(rapid.IntRange(0, 5).Draw(rt, "end"))})
					state.events++
					state.ended = true
				}
			},
			"pin": func(rt *rapid.T) {
				if number, state := pick(); state != nil {
					err := log.Pin(number, rapid.Bool().Draw(rt, "pinned"))
					if err != nil && !errors.Is(err, ErrEvicted) && !errors.Is(err, ErrPinLimit) {
						rt.Fatalf("Pin(%d): error %v", number, err)
					}
				}
			},
		})
	})
}
