package listener

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/internal/testutil"
)

// New connections evict idle ones, the longest idle first, but none before minIdleTime has passed.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &ConnLimiter{Slots: 1, MaxIdle: 3}
		var evicted []int
		for i := range 10 {
			admission := &Admission{limiter: limiter}
			admission.evict = func() {
				if waited := time.Since(admission.IdleSince); waited < minIdleTime || waited > 2*minIdleTime {
					t.Errorf("connection %d was evicted after %v", i, waited)
				}
				evicted = append(evicted, i)
			}
			if !limiter.admit(context.Background(), admission) {
				t.Fatal("a connection was not admitted")
			}
		}
		if !slices.Equal(evicted, []int{0, 1, 2, 3, 4, 5, 6}) {
			t.Errorf("evicted connections %v, want 0 to 6 in this order", evicted)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if limiter.admit(ctx, &Admission{limiter: limiter}) {
			t.Error("a connection was admitted after its context ended")
		}
	})
}

// Compares random operations with a model: slots stay within the limit, connections are idle exactly while they have no
// slot, and open descriptors stay bounded.
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
				ended     bool // evicted or closed
			}
			var admissions []*model
			for choices := testutil.NewSource(data); choices.More(); {
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
						t.Fatalf("Acquire returned %v, want %v", got, want)
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
				descriptors := len(limiter.idle) // descriptors: one for each connection, one for each slot
				for _, client := range admissions {
					slotsInUse += client.heldSlots
					if client.heldSlots > 0 {
						descriptors += 1 + client.heldSlots
					}
					if idle := slices.Contains(limiter.idle, client.Admission); idle != (client.heldSlots == 0 && !client.ended) {
						t.Fatalf("a connection with %d slots, ended %v, is idle: %v", client.heldSlots, client.ended, idle)
					}
				}
				if limiter.slotsInUse != slotsInUse || descriptors > limiter.MaxIdle+2*limiter.Slots {
					t.Fatalf("%d slots are in use by the model, %d by the limiter; %d descriptors are held", slotsInUse, limiter.slotsInUse, descriptors)
				}
			}
		})
	})
}
