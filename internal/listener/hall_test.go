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
func TestCrowdMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &ConnLimiter{Slots: 1, MaxIdle: 3}
		var out []int
		for i := range 10 {
			g := &Admission{hall: h}
			g.out = func() {
				if waited := time.Since(g.IdleSince); waited < waitLeast || waited > 2*waitLeast {
					t.Errorf("guest %d goes after %v", i, waited)
				}
				out = append(out, i)
			}
			if !h.enter(context.Background(), g) {
				t.Fatal("no room")
			}
		}
		if !slices.Equal(out, []int{0, 1, 2, 3, 4, 5, 6}) {
			t.Errorf("shown out: %v", out)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if h.enter(ctx, &Admission{hall: h}) {
			t.Error("room was found though the relay has ended")
		}
	})
}

// Random steps against a model: who sits keeps the seat, no seat is given twice,
// and what the hall holds stays within its bounds.
func FuzzHall(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 0, 0, 2, 0, 3, 1, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 3, 1, 4, 1, 4, 2, 4, 0, 0, 3, 4, 1, 1, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 300 {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			h := &ConnLimiter{Slots: 2, MaxIdle: 3}
			type model struct {
				*Admission
				seats int
				out   bool // shown out, or left
			}
			var all []*model
			for s := testutil.New(data); s.More(); {
				step := s.Pick(4)
				if step == 0 || len(all) == 0 {
					m := &model{}
					m.Admission = &Admission{hall: h, out: func() { m.out = true }}
					h.enter(context.Background(), m.Admission)
					all = append(all, m)
					continue
				}
				taken := 0
				for _, m := range all {
					taken += m.seats
				}
				switch m := all[s.Pick(len(all))]; step {
				case 1:
					if got, want := m.Acquire(), !m.out && taken < h.Slots; got != want {
						t.Fatalf("a seat was given: %v, want %v", got, want)
					} else if got {
						m.seats++
					}
				case 2:
					if m.seats > 0 {
						m.Release()
						m.seats--
					}
				case 3:
					if m.seats == 0 {
						m.leave()
						m.out = true
					}
				}
				taken = 0
				held := len(h.queue) // descriptors: one of each guest, one of each seat
				for _, m := range all {
					taken += m.seats
					if m.seats > 0 {
						held += 1 + m.seats
					}
					if waits := slices.Contains(h.queue, m.Admission); waits != (m.seats == 0 && !m.out) {
						t.Fatalf("with %d seats, out %v, a guest waits: %v", m.seats, m.out, waits)
					}
				}
				if h.taken != taken || held > h.MaxIdle+2*h.Slots {
					t.Fatalf("%d seats are taken, %d held to be, %d descriptors", taken, h.taken, held)
				}
			}
		})
	})
}
