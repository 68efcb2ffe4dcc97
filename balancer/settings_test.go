package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestValidateRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":       func(settings *Settings) { settings.Classes = nil },
		"no deadline":      func(settings *Settings) { settings.Classes[0].Deadline = 0 },
		"no memory":        func(settings *Settings) { settings.Classes[0].Effect = Deduplicated },
		"no relays":        func(settings *Settings) { settings.Relays = 0 },
		"no attempts":      func(settings *Settings) { settings.MaxAttempts = 0 },
		"no cold share":    func(settings *Settings) { settings.InitialCapacity = 0 },
		"large cold share": func(settings *Settings) { settings.InitialCapacity = 2 },
		"no tip":           func(settings *Settings) { settings.OverloadWindow = 0 },
		"negative":         func(settings *Settings) { settings.MinTick = -1 },
		"ask never":        func(settings *Settings) { settings.PollList, settings.PollInterval = true, 0 },
	} {
		settings := testSettings()
		spoil(&settings)
		if err := settings.Validate(); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%s: error is %v", name, err)
		}
	}
	settings := testSettings()
	if err := settings.Validate(); err != nil {
		t.Errorf("settings that make sense: %v", err)
	}
}

// Other settings hold for what begins from then on; what is under way keeps its class and
// its attempts.
func TestRequestKeepsTheSettingsItArrivedUnder(t *testing.T) {
	old := testSettings()
	relay := newTestRelay(t, old, readyEndpoints(4)...)
	id, actions := relay.request(7)
	first := relay.wantSent(actions, id)

	next := testSettings()
	next.MaxAttempts = 1
	next.Classes = []Class{{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Effect: AtMostOnce, MessageLatencyObjective: 40 * ms}}
	relay.handle(SettingsChanged{&next})
	if relay.balancer.messageObjective != 40*ms {
		t.Errorf("the aim of a message is %v", relay.balancer.messageObjective)
	}

	// May be repeated, up to three attempts: as it began.
	relay.fail(id, first, StatusReset)
	second := relay.wantSent(relay.advance(retryBackoffBase), id)
	relay.fail(id, second, StatusReset)
	third := relay.wantSent(relay.advance(2*retryBackoffBase), id)
	if actions := relay.fail(id, third, StatusReset); countActions[Reject](actions) != 1 {
		t.Errorf("after three attempts: %v", actions)
	}

	// Must not be repeated, and has one attempt.
	id, actions = relay.request(8)
	if actions := relay.fail(id, relay.wantSent(actions, id), StatusReset); countActions[Fail](actions) != 1 {
		t.Errorf("after what may have run: %v", actions)
	}
	id, actions = relay.request(9)
	if actions := relay.fail(id, relay.wantSent(actions, id), StatusConnectFailed); countActions[Reject](actions) != 1 {
		t.Errorf("after its one attempt: %v", actions)
	}

	// One that began under the old settings and comes to its turn after the new ones.
	relay.lastID++
	late := relay.handle(Request{ID: relay.lastID, Group: 10, TimeLeft: 2 * time.Second, Settings: &old})
	endpoint := relay.wantSent(late, relay.lastID)
	if actions := relay.fail(relay.lastID, endpoint, StatusReset); countActions[Fail]([]Action(actions)) != 0 {
		t.Errorf("under the old settings it may be repeated: %v", actions)
	}
}
