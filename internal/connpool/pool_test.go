package connpool

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSettingsAreValidated(t *testing.T) {
	for want, settings := range map[string]Settings{"sessions": {}, "is no time": {MaxSessions: 1, IdleTimeout: -1}, "": {MaxSessions: 1}} {
		if err := settings.Validate(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", settings, err)
		}
	}
}

// A second request shares the first one's connection, also while that is being dialled; those beyond what the endpoint
// accepts go elsewhere; an idle connection is closed after its timeout, and one that drains with its last session.
func TestConnectionLifetime(t *testing.T) {
	pool := New(Settings{MaxSessions: 3, IdleTimeout: time.Second})
	take := func(endpoint string, want ID, dials bool) {
		t.Helper()
		if id, dial := pool.Acquire(endpoint); id != want || dial != dials {
			t.Errorf("%s: %d, %v, want %d, %v", endpoint, id, dial, want, dials)
		}
	}
	idle := func(now time.Duration, next time.Duration, want ...ID) {
		t.Helper()
		if idle, at := pool.ExpireIdle(now); !slices.Equal(idle, want) || at != next {
			t.Errorf("%v at %v, want %v at %v", idle, at, want, next)
		}
	}
	take("a", 1, true)
	take("a", 1, false)
	take("a", 1, false)
	take("a", 2, true)
	take("b", 3, true)
	if excess := pool.Opened(1, 2); excess != 1 {
		t.Errorf("%d have no room", excess)
	}
	pool.Release(0, 1)
	take("a", 2, false)
	pool.Opened(2, 100)
	take("a", 2, false) // the fullest, though it is the younger
	idle(0, 0)
	pool.Release(time.Second, 3)
	idle(time.Second, 0) // it is not open yet
	pool.Opened(3, 8)
	idle(time.Second, 2*time.Second)
	idle(2*time.Second, 0, 3)
	take("b", 4, true) // the third is closing
	pool.Closed(3)
	pool.DrainEndpoint("a")
	take("a", 5, true)
	pool.Release(3*time.Second, 1)
	pool.Release(3*time.Second, 1)
	idle(3*time.Second, 0, 1)
	pool.Closed(5)
	pool.Release(0, 5)
	pool.Opened(5, 1)
	if conns, sessions := pool.Counts(); conns != 3 || sessions != 4 {
		t.Errorf("%d connections with %d", conns, sessions)
	}
}

// Whatever happens in whatever order: no connection has more sessions than it may, none that has sessions is closed, none
// that is closing gets new ones, and each request is where it was put.
func TestInvariantsHoldInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{MaxSessions: rapid.IntRange(1, 4).Draw(t, "sessions"), IdleTimeout: time.Second}
		pool := New(settings)
		type connectionModel struct {
			endpoint              string
			maxSessions, sessions int
			open, closing         bool
		}
		models := make(map[ID]*connectionModel)
		now := time.Duration(0)
		pick := func(matches func(*connectionModel) bool) (ID, *connectionModel) {
			var ids []ID
			for id, model := range models {
				if matches(model) {
					ids = append(ids, id)
				}
			}
			if slices.Sort(ids); len(ids) == 0 {
				t.Skip()
			}
			id := rapid.SampledFrom(ids).Draw(t, "connection")
			return id, models[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				endpoint := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				id, dial := pool.Acquire(endpoint)
				model := models[id]
				if dial != (model == nil) {
					t.Fatalf("%d is new: %v", id, dial)
				}
				if dial {
					for _, other := range models {
						if other.endpoint == endpoint && !other.closing && other.sessions < other.maxSessions {
							t.Fatalf("a new connection beside one with room: %+v", other)
						}
					}
					model = &connectionModel{endpoint: endpoint, maxSessions: settings.MaxSessions}
					models[id] = model
				}
				if model.sessions++; model.endpoint != endpoint || model.closing || model.sessions > model.maxSessions {
					t.Fatalf("%d, %+v", id, model)
				}
			},
			"open": func(t *rapid.T) {
				id, model := pick(func(model *connectionModel) bool { return !model.open })
				maxSessions := rapid.IntRange(0, 5).Draw(t, "most")
				model.open, model.maxSessions = true, max(1, min(maxSessions, settings.MaxSessions))
				excess := pool.Opened(id, maxSessions)
				if excess != max(0, model.sessions-model.maxSessions) {
					t.Fatalf("%d in excess of %+v", excess, model)
				}
				for range excess {
					pool.Release(now, id)
					model.sessions--
				}
			},
			"done": func(_ *rapid.T) {
				id, model := pick(func(model *connectionModel) bool { return model.sessions > 0 })
				pool.Release(now, id)
				model.sessions--
			},
			"shut": func(_ *rapid.T) {
				id, model := pick(func(*connectionModel) bool { return true })
				pool.Drain(id)
				model.closing = true
			},
			"leave": func(*rapid.T) {
				pool.DrainEndpoint("a")
				for _, model := range models {
					model.closing = model.closing || model.endpoint == "a"
				}
			},
			"lose": func(_ *rapid.T) {
				id, _ := pick(func(*connectionModel) bool { return true })
				pool.Closed(id)
				delete(models, id)
			},
			"idle": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
				idle, next := pool.ExpireIdle(now)
				for _, id := range idle {
					if model := models[id]; model.sessions > 0 || !model.open {
						t.Fatalf("closed %+v", model)
					}
					models[id].closing = true
				}
				if next != 0 && (next <= now || next > now+settings.IdleTimeout) {
					t.Fatalf("next %v at %v", next, now)
				}
			},
			"": func(t *rapid.T) {
				want := 0
				for _, model := range models {
					want += model.sessions
				}
				if conns, sessions := pool.Counts(); conns != len(models) || sessions != want {
					t.Fatalf("%d with %d, want %d with %d", conns, sessions, len(models), want)
				}
			},
		})
	})
}
