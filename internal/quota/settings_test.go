package quota

import "testing"

func TestSettingsValidation(t *testing.T) {
	for _, invalid := range []Settings{{PerAddress: -1}, {Rate: -1}, {Burst: 3}, {PerClass: map[string]int{"page": 0}}} {
		if invalid.Validate() == nil {
			t.Errorf("%+v is accepted", invalid)
		}
	}
	if err := (&Settings{PerAddress: 4, Rate: 2, Burst: 8, FairShareSlots: 100}).Validate(); err != nil {
		t.Error(err)
	}
}
