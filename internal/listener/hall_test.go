package listener

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/internal/testutil"
)

// A crowd that says nothing makes room for who comes after it, the longest first,
// but nobody goes before there was time to read a first word.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &ConnLimiter{Slots: 1, MaxIdle: 3}
		var out []int
		for i := range 10 {
			admission := &Admission{limiter: limiter}
			admission.evict = func() {
				if waited := time.Since(admission.IdleSince); waited < minIdleTime || waited > 2*minIdleTime {
					t.Errorf("guest %d goes after %v", i, waited)
				}
				out = append(out, i)
			}
			if !limiter.admit(context.Background(), admission) {
				t.Fatal("no room")
			}
		}
		if !slices.Equal(out, []int{0, 1, 2, 3, 4, 5, 6}) {
			t.Errorf("shown out: %v", out)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if limiter.admit(ctx, &Admission{limiter: limiter}) {
			t.Error("room was found though the relay has ended")
		}
	})
}

// Random steps against a model: who sits keeps the seat, no seat is given twice,
// and what the hall holds stays within its bounds.
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
				seats int
				out   bool // shown out, or left
			}
			var all []*model
			for choices := testutil.New(data); choices.More(); {
				step := choices.Pick(4)
				if step == 0 || len(all) == 0 {
					client := &model{}
					client.Admission = &Admission{limiter: limiter, evict: func() { client.out = true }}
					limiter.admit(context.Background(), client.Admission)
					all = append(all, client)
					continue
				}
				slotsInUse := 0
				for _, client := range all {
					slotsInUse += client.seats
				}
				switch client := all[choices.Pick(len(all))]; step {
				case 1:
					if got, want := client.Acquire(), !client.out && slotsInUse < limiter.Slots; got != want {
						t.Fatalf("a seat was given: %v, want %v", got, want)
					} else if got {
						client.seats++
					}
				case 2:
					if client.seats > 0 {
						client.Release()
						client.seats--
					}
				case 3:
					if client.seats == 0 {
						client.close()
						client.out = true
					}
				}
				slotsInUse = 0
				held := len(limiter.idle) // descriptors: one of each guest, one of each seat
				for _, client := range all {
					slotsInUse += client.seats
					if client.seats > 0 {
						held += 1 + client.seats
					}
					if idle := slices.Contains(limiter.idle, client.Admission); idle != (client.seats == 0 && !client.out) {
						t.Fatalf("with %d seats, out %v, a guest waits: %v", client.seats, client.out, idle)
					}
				}
				if limiter.slotsInUse != slotsInUse || held > limiter.MaxIdle+2*limiter.Slots {
					t.Fatalf("%d seats are taken, %d held to be, %d descriptors", slotsInUse, limiter.slotsInUse, held)
				}
			}
		})
	})
}
