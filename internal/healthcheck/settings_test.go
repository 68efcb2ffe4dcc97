package healthcheck

import (
	"testing"
	"time"
)

func TestSettingsValidation(t *testing.T) {
	defaults := DefaultSettings()
	if err := defaults.Validate(); err != nil {
		t.Errorf("the default settings are rejected: %v", err)
	}
	for _, invalidate := range []func(*Settings){
		func(s *Settings) { s.Interval = 0 }, func(s *Settings) { s.Timeout = 3 * second }, func(s *Settings) { s.Rise = 0 },
		func(s *Settings) { s.MaxLoadShare = 0.2 }, func(s *Settings) { s.PanicThreshold = 0 }, func(s *Settings) { s.Interval, s.Timeout = 100*time.Millisecond, 50*time.Millisecond },
	} {
		s := DefaultSettings()
		if invalidate(&s); s.Validate() == nil {
			t.Errorf("invalid settings %+v are accepted", s)
		}
	}
}
