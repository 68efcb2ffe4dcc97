package quota

import "testing"

func TestSettingsValidation(t *testing.T) {
	for _, invalid := range []Settings{{PerAddress: -1}, {Rate: -1}, {Burst: 3}, {PerClass: map[string]int{"page": 0}}} {
		if invalid.Validate() == nil {
			t.Errorf("invalid settings %+v are accepted", invalid)
		}
	}
	if err := (&Settings{PerAddress: 4, Rate: 2, Burst: 8, FairShareSlots: 100}).Validate(); err != nil {
		t.Errorf("valid settings are rejected: %v", err)
	}
}
