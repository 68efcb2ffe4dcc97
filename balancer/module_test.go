package balancer

import (
	"os"
	"strings"
	"testing"
	"time"
)

// Its users read the module aloud: it has to stay short.
func TestModuleIsShort(t *testing.T) {
	text, err := os.ReadFile("balance.go")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			n++
		}
		if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > 110 {
			t.Errorf("line %d has %d columns, at most 110 are allowed", i+1, w)
		}
	}
	if n > 640 {
		t.Errorf("balance.go has %d lines that are not blank, at most 640 are allowed", n)
	}
	if head := strings.Join(strings.Split(string(text), "\n")[:5], "\n"); !strings.Contains(head, "api.go") {
		t.Error("the top of balance.go doesn't name api.go")
	}
}

func TestSettingsThatMakeNoSenseAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":       func(s *Settings) { s.Classes = nil },
		"no deadline":      func(s *Settings) { s.Classes[0].Deadline = 0 },
		"no memory":        func(s *Settings) { s.Classes[0].Effect = Deduplicated },
		"no relays":        func(s *Settings) { s.Relays = 0 },
		"no attempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"no cold share":    func(s *Settings) { s.InitialCapacity = 0 },
		"large cold share": func(s *Settings) { s.InitialCapacity = 2 },
		"no tip":           func(s *Settings) { s.OverloadWindow = 0 },
		"negative":         func(s *Settings) { s.MinTick = -1 },
		"ask never":        func(s *Settings) { s.PollList, s.PollInterval = true, 0 },
	} {
		s := testSettings()
		spoil(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%s: error is %v", name, err)
		}
	}
	s := testSettings()
	if err := s.Validate(); err != nil {
		t.Errorf("settings that make sense: %v", err)
	}
}

// Instances share nothing: one beside another acts as it would alone.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	script := func(r *relay, other *relay) []Action {
		for key := range uint64(300) {
			id, done := r.ask(key % 13)
			if other != nil {
				other.ask(key)
				other.pass(7 * ms)
			}
			for _, a := range done {
				if s, ok := a.(SendAttempt); ok && key%3 == 0 {
					r.fail(id, s.Endpoint, AttemptStatus(1+key%5))
				} else if ok {
					r.do(Established{Request: id, Endpoint: s.Endpoint})
					r.do(EndpointDelay{Request: id, Endpoint: s.Endpoint, Delay: time.Duration(key*10) * ms})
				}
			}
			r.pass(30 * ms)
		}
		return r.log
	}
	alone := script(newRelay(t, testSettings(), ready(9)...), nil)
	beside := script(newRelay(t, testSettings(), ready(9)...), newRelay(t, testSettings(), ready(9)...))
	if len(alone) < 300 {
		t.Fatalf("only %d actions", len(alone))
	}
	wantActions(t, beside, alone...)
}
