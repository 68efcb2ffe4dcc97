package listener

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/internal/testutil"
)

// Idle connections are evicted for those that come after them, the longest idle first,
// but none before there was time to read its first bytes.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &ConnLimiter{Slots: 1, MaxIdle: 3}
		var evicted []int
		for i := range 10 {
			admission := &Admission{limiter: limiter}
			admission.evict = func() {
				if waited := time.Since(admission.IdleSince); waited < minIdleTime || waited > 2*minIdleTime {
					t.Errorf("connection %d is evicted after %v", i, waited)
				}
				evicted = append(evicted, i)
			}
			if !limiter.admit(context.Background(), admission) {
				t.Fatal("not admitted")
			}
		}
		if !slices.Equal(evicted, []int{0, 1, 2, 3, 4, 5, 6}) {
			t.Errorf("evicted: %v", evicted)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if limiter.admit(ctx, &Admission{limiter: limiter}) {
			t.Error("admitted after the context ended")
		}
	})
}

// Random steps against a model: a slot that is in use stays so, no slot is given twice,
// and what the limiter holds stays within its bounds.
func FuzzConnLimiter(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 0, 0, 2, 0, 3, 1, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 3, 1, 4, 1, 4, 2, 4, 0, 0, 3, 4, 1, 1, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 300 {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			limiter := &ConnLimiter{Slots: 2, MaxIdle: 3}
			type model struct {
				*Admission
				heldSlots int
				ended     bool // evicted, or ended
			}
			var admissions []*model
			for choices := testutil.New(data); choices.More(); {
				step := choices.Pick(4)
				if step == 0 || len(admissions) == 0 {
					client := &model{}
					client.Admission = &Admission{limiter: limiter, evict: func() { client.ended = true }}
					limiter.admit(context.Background(), client.Admission)
					admissions = append(admissions, client)
					continue
				}
				slotsInUse := 0
				for _, client := range admissions {
					slotsInUse += client.heldSlots
				}
				switch client := admissions[choices.Pick(len(admissions))]; step {
				case 1:
					if got, want := client.Acquire(), !client.ended && slotsInUse < limiter.Slots; got != want {
						t.Fatalf("a slot was acquired: %v, want %v", got, want)
					} else if got {
						client.heldSlots++
					}
				case 2:
					if client.heldSlots > 0 {
						client.Release()
						client.heldSlots--
					}
				case 3:
					if client.heldSlots == 0 {
						client.close()
						client.ended = true
					}
				}
				slotsInUse = 0
				held := len(limiter.idle) // descriptors: one of each connection, one of each slot
				for _, client := range admissions {
					slotsInUse += client.heldSlots
					if client.heldSlots > 0 {
						held += 1 + client.heldSlots
					}
					if idle := slices.Contains(limiter.idle, client.Admission); idle != (client.heldSlots == 0 && !client.ended) {
						t.Fatalf("with %d slots, ended %v, a connection is idle: %v", client.heldSlots, client.ended, idle)
					}
				}
				if limiter.slotsInUse != slotsInUse || held > limiter.MaxIdle+2*limiter.Slots {
					t.Fatalf("%d slots are in use, %d by the limiter's count, with %d descriptors", slotsInUse, limiter.slotsInUse, held)
				}
			}
		})
	})
}
