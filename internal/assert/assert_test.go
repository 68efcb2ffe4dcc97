package assert

import "testing"

func TestViolationIsCountedAndPanicsInDebugBuilds(t *testing.T) {
	before := Violations()
	That(true, "invariant that holds")
	if Violations() != before {
		t.Fatal("That(true) was counted as a violation")
	}
	func() {
		defer func() {
			if panicked := recover() != nil; panicked != Debug {
				t.Errorf("That(false) panicked: %v, want %v", panicked, Debug)
			}
		}()
		That(false, "invariant that is violated")
	}()
	if Violations() != before+1 {
		t.Errorf("got %d violations, want 1", Violations()-before)
	}
}
