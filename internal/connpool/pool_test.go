package connpool

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestCheck(t *testing.T) {
	for want, s := range map[string]Settings{"sessions": {}, "is no time": {MaxSessions: 1, IdleTimeout: -1}, "": {MaxSessions: 1}} {
		if err := s.Validate(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", s, err)
		}
	}
}

// A second transaction shares the first one's connection, also while that is on its way; those beyond what the server
// takes go elsewhere; a connection that is empty goes in its time, and one that leaves with its last.
func TestLifeOfAConnection(t *testing.T) {
	p := New(Settings{MaxSessions: 3, IdleTimeout: time.Second})
	take := func(server string, want ID, dials bool) {
		t.Helper()
		if id, dial := p.Take(server); id != want || dial != dials {
			t.Errorf("%s: %d, %v, want %d, %v", server, id, dial, want, dials)
		}
	}
	idle := func(now time.Duration, next time.Duration, want ...ID) {
		t.Helper()
		if out, at := p.Idle(now); !slices.Equal(out, want) || at != next {
			t.Errorf("%v at %v, want %v at %v", out, at, want, next)
		}
	}
	take("a", 1, true)
	take("a", 1, false)
	take("a", 1, false)
	take("a", 2, true)
	take("b", 3, true)
	if over := p.Opened(1, 2); over != 1 {
		t.Errorf("%d have no room", over)
	}
	p.Done(0, 1)
	take("a", 2, false)
	p.Opened(2, 100)
	take("a", 2, false) // the fullest, though it is the younger
	idle(0, 0)
	p.Done(time.Second, 3)
	idle(time.Second, 0) // it is not open yet
	p.Opened(3, 8)
	idle(time.Second, 2*time.Second)
	idle(2*time.Second, 0, 3)
	take("b", 4, true) // the third is on its way out
	p.Lost(3)
	p.Leave("a")
	take("a", 5, true)
	p.Done(3*time.Second, 1)
	p.Done(3*time.Second, 1)
	idle(3*time.Second, 0, 1)
	p.Lost(5)
	p.Done(0, 5)
	p.Opened(5, 1)
	if c, n := p.Conns(); c != 3 || n != 4 {
		t.Errorf("%d connections with %d", c, n)
	}
}

// Whatever happens in whatever order: no connection has more than it may, none that has anything is closed, none that
// is shut gets anything new, and each transaction is where it was put.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{MaxSessions: rapid.IntRange(1, 4).Draw(t, "sessions"), IdleTimeout: time.Second}
		p := New(set)
		type known struct {
			server     string
			most, used int
			open, shut bool
		}
		all := make(map[ID]*known)
		now := time.Duration(0)
		some := func(fits func(*known) bool) (ID, *known) {
			var ids []ID
			for id, k := range all {
				if fits(k) {
					ids = append(ids, id)
				}
			}
			if slices.Sort(ids); len(ids) == 0 {
				t.Skip()
			}
			id := rapid.SampledFrom(ids).Draw(t, "connection")
			return id, all[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				server := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				id, dial := p.Take(server)
				k := all[id]
				if dial != (k == nil) {
					t.Fatalf("%d is new: %v", id, dial)
				}
				if dial {
					for _, x := range all {
						if x.server == server && !x.shut && x.used < x.most {
							t.Fatalf("a new connection beside one with room: %+v", x)
						}
					}
					k = &known{server: server, most: set.MaxSessions}
					all[id] = k
				}
				if k.used++; k.server != server || k.shut || k.used > k.most {
					t.Fatalf("%d, %+v", id, k)
				}
			},
			"open": func(t *rapid.T) {
				id, k := some(func(k *known) bool { return !k.open })
				most := rapid.IntRange(0, 5).Draw(t, "most")
				k.open, k.most = true, max(1, min(most, set.MaxSessions))
				over := p.Opened(id, most)
				if over != max(0, k.used-k.most) {
					t.Fatalf("%d over of %+v", over, k)
				}
				for range over {
					p.Done(now, id)
					k.used--
				}
			},
			"done": func(_ *rapid.T) {
				id, k := some(func(k *known) bool { return k.used > 0 })
				p.Done(now, id)
				k.used--
			},
			"shut": func(_ *rapid.T) {
				id, k := some(func(*known) bool { return true })
				p.Shut(id)
				k.shut = true
			},
			"leave": func(*rapid.T) {
				p.Leave("a")
				for _, k := range all {
					k.shut = k.shut || k.server == "a"
				}
			},
			"lose": func(_ *rapid.T) {
				id, _ := some(func(*known) bool { return true })
				p.Lost(id)
				delete(all, id)
			},
			"idle": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
				out, next := p.Idle(now)
				for _, id := range out {
					if k := all[id]; k.used > 0 || !k.open {
						t.Fatalf("closed %+v", k)
					}
					all[id].shut = true
				}
				if next != 0 && (next <= now || next > now+set.IdleTimeout) {
					t.Fatalf("next %v at %v", next, now)
				}
			},
			"": func(t *rapid.T) {
				used := 0
				for _, k := range all {
					used += k.used
				}
				if c, n := p.Conns(); c != len(all) || n != used {
					t.Fatalf("%d with %d, want %d with %d", c, n, len(all), used)
				}
			},
		})
	})
}
