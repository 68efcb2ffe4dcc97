package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestValidateRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":              func(settings *Settings) { settings.Classes = nil },
		"no deadline":             func(settings *Settings) { settings.Classes[0].Deadline = 0 },
		"no deduplication window": func(settings *Settings) { settings.Classes[0].Semantics = Deduplicated },
		"no relays":               func(settings *Settings) { settings.RelayCount = 0 },
		"no attempts":             func(settings *Settings) { settings.MaxAttempts = 0 },
		"no initial capacity":     func(settings *Settings) { settings.InitialCapacity = 0 },
		"large initial capacity":  func(settings *Settings) { settings.InitialCapacity = 2 },
		"no overload window":      func(settings *Settings) { settings.OverloadWindow = 0 },
		"negative":                func(settings *Settings) { settings.ClockResolution = -1 },
		"no poll interval":        func(settings *Settings) { settings.PollList, settings.PollInterval = true, 0 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if err := settings.Validate(); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%s: Validate returned %v, want an error that starts with \"settings: \"", name, err)
		}
	}
	settings := testSettings()
	if err := settings.Validate(); err != nil {
		t.Errorf("valid settings: Validate returned %v", err)
	}
}

// Guards against changed settings that affect requests which arrived before the change.
func TestRequestKeepsTheSettingsItArrivedUnder(t *testing.T) {
	old := testSettings()
	relay := newTestRelay(t, old, readyEndpoints(4)...)
	id, actions := relay.request(7)
	first := relay.wantSent(actions, id)

	next := testSettings()
	next.MaxAttempts = 1
	next.Classes = []Class{{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Semantics: AtMostOnce, MessageLatencyObjective: 40 * ms}}
	relay.handle(SettingsChanged{&next})
	if relay.balancer.messageObjective != 40*ms {
		t.Errorf("message latency objective is %v, want 40ms", relay.balancer.messageObjective)
	}

	// The first request is idempotent and has three attempts, as when it arrived.
	relay.fail(id, first, StatusReset)
	second := relay.wantSent(relay.advance(retryBackoffBase), id)
	relay.fail(id, second, StatusReset)
	third := relay.wantSent(relay.advance(2*retryBackoffBase), id)
	if actions := relay.fail(id, third, StatusReset); countActions[Reject](actions) != 1 {
		t.Errorf("first request, after three attempts: got actions %v, want one Reject", actions)
	}

	// Later requests must not be repeated and have one attempt.
	id, actions = relay.request(8)
	if actions := relay.fail(id, relay.wantSent(actions, id), StatusReset); countActions[Fail](actions) != 1 {
		t.Errorf("later request, after a reset: got actions %v, want one Fail", actions)
	}
	id, actions = relay.request(9)
	if actions := relay.fail(id, relay.wantSent(actions, id), StatusConnectFailed); countActions[Reject](actions) != 1 {
		t.Errorf("later request, after a failed connect: got actions %v, want one Reject", actions)
	}

	// This request arrived before the change, but reaches the Balancer after it.
	relay.lastID++
	late := relay.handle(Request{ID: relay.lastID, Group: 10, TimeLeft: 2 * time.Second, Settings: &old})
	endpoint := relay.wantSent(late, relay.lastID)
	if actions := relay.fail(relay.lastID, endpoint, StatusReset); countActions[Fail]([]Action(actions)) != 0 {
		t.Errorf("request with the old settings, after a reset: got actions %v, want no Fail", actions)
	}
}
