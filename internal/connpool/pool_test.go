package connpool

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSettingsAreValidated(t *testing.T) {
	for want, settings := range map[string]Settings{"max sessions": {}, "idle timeout": {MaxSessions: 1, IdleTimeout: -1}, "": {MaxSessions: 1}} {
		if err := settings.Validate(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("Validate of %+v: %v, want an error with %q", settings, err, want)
		}
	}
}

// Requests share a connection, also while it is being dialled, up to the number of sessions that the endpoint accepts.
// An idle connection expires after the timeout, and a draining one after its last session.
func TestConnectionLifetime(t *testing.T) {
	pool := New(Settings{MaxSessions: 3, IdleTimeout: time.Second})
	acquire := func(endpoint string, want ID, wantDial bool) {
		t.Helper()
		if id, dial := pool.Acquire(endpoint); id != want || dial != wantDial {
			t.Errorf("Acquire(%s): connection %d, dial %v, want %d, %v", endpoint, id, dial, want, wantDial)
		}
	}
	expireIdle := func(now time.Duration, wantNext time.Duration, want ...ID) {
		t.Helper()
		if idle, next := pool.ExpireIdle(now); !slices.Equal(idle, want) || next != wantNext {
			t.Errorf("ExpireIdle: connections %v, next call at %v, want %v, %v", idle, next, want, wantNext)
		}
	}
	acquire("a", 1, true)
	acquire("a", 1, false)
	acquire("a", 1, false)
	acquire("a", 2, true)
	acquire("b", 3, true)
	if excess := pool.Opened(1, 2); excess != 1 {
		t.Errorf("%d requests exceed the sessions that the endpoint accepts, want 1", excess)
	}
	pool.Release(0, 1)
	acquire("a", 2, false)
	pool.Opened(2, 100)
	acquire("a", 2, false) // the first has no free session
	expireIdle(0, 0)
	pool.Release(time.Second, 3)
	expireIdle(time.Second, 0) // the third is not open yet
	pool.Opened(3, 8)
	expireIdle(time.Second, 2*time.Second)
	expireIdle(2*time.Second, 0, 3)
	acquire("b", 4, true) // the third has expired
	pool.Closed(3)
	pool.DrainEndpoint("a")
	acquire("a", 5, true)
	pool.Release(3*time.Second, 1)
	pool.Release(3*time.Second, 1)
	expireIdle(3*time.Second, 0, 1)
	pool.Closed(5)
	pool.Release(0, 5)
	pool.Opened(5, 1)
	if conns, sessions := pool.Counts(); conns != 3 || sessions != 4 {
		t.Errorf("%d connections with %d sessions, want 3 with 4", conns, sessions)
	}
}

// For all sequences of calls: no connection exceeds its maximum of sessions, none with sessions expires, none that is
// closing gets new sessions, and Counts matches the calls.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{MaxSessions: rapid.IntRange(1, 4).Draw(t, "max sessions"), IdleTimeout: time.Second}
		pool := New(settings)
		type connectionModel struct {
			endpoint              string
			maxSessions, sessions int
			open, closing         bool
		}
		models := make(map[ID]*connectionModel) // the expected state
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
			"acquire": func(t *rapid.T) {
				endpoint := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint")
				id, dial := pool.Acquire(endpoint)
				model := models[id]
				if dial != (model == nil) {
					t.Fatalf("connection %d: Acquire reports dial %v", id, dial)
				}
				if dial {
					for _, other := range models {
						if other.endpoint == endpoint && !other.closing && other.sessions < other.maxSessions {
							t.Fatalf("a new connection was chosen although one has a free session: %+v", other)
						}
					}
					model = &connectionModel{endpoint: endpoint, maxSessions: settings.MaxSessions}
					models[id] = model
				}
				if model.sessions++; model.endpoint != endpoint || model.closing || model.sessions > model.maxSessions {
					t.Fatalf("Acquire(%s) chose connection %d: %+v", endpoint, id, model)
				}
			},
			"open": func(t *rapid.T) {
				id, model := pick(func(model *connectionModel) bool { return !model.open })
				maxSessions := rapid.IntRange(0, 5).Draw(t, "max sessions")
				model.open, model.maxSessions = true, max(1, min(maxSessions, settings.MaxSessions))
				excess := pool.Opened(id, maxSessions)
				if excess != max(0, model.sessions-model.maxSessions) {
					t.Fatalf("Opened reports %d requests above the limit of %+v", excess, model)
				}
				for range excess {
					pool.Release(now, id)
					model.sessions--
				}
			},
			"release": func(_ *rapid.T) {
				id, model := pick(func(model *connectionModel) bool { return model.sessions > 0 })
				pool.Release(now, id)
				model.sessions--
			},
			"drain": func(_ *rapid.T) {
				id, model := pick(func(*connectionModel) bool { return true })
				pool.Drain(id)
				model.closing = true
			},
			"drain endpoint": func(*rapid.T) {
				pool.DrainEndpoint("a")
				for _, model := range models {
					model.closing = model.closing || model.endpoint == "a"
				}
			},
			"closed": func(_ *rapid.T) {
				id, _ := pick(func(*connectionModel) bool { return true })
				pool.Closed(id)
				delete(models, id)
			},
			"expire idle": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
				idle, next := pool.ExpireIdle(now)
				for _, id := range idle {
					if model := models[id]; model.sessions > 0 || !model.open {
						t.Fatalf("ExpireIdle returns a connection that is in use or not open: %+v", model)
					}
					models[id].closing = true
				}
				if next != 0 && (next <= now || next > now+settings.IdleTimeout) {
					t.Fatalf("ExpireIdle at %v: the next call is at %v, want within the idle timeout", now, next)
				}
			},
			"": func(t *rapid.T) {
				want := 0
				for _, model := range models {
					want += model.sessions
				}
				if conns, sessions := pool.Counts(); conns != len(models) || sessions != want {
					t.Fatalf("%d connections with %d sessions, want %d with %d", conns, sessions, len(models), want)
				}
			},
		})
	})
}
