package assert

import "testing"

func TestViolationIsCountedAndPanicsInDebugBuilds(t *testing.T) {
	before := Violations()
	That(true, "nothing")
	if Violations() != before {
		t.Fatal("an invariant that holds was counted as violated")
	}
	func() {
		defer func() {
			if panicked := recover() != nil; panicked != Debug {
				t.Errorf("panicked: %v; debug build: %v", panicked, Debug)
			}
		}()
		That(false, "a test's invariant")
	}()
	if Violations() != before+1 {
		t.Errorf("counted %d violations, want 1", Violations()-before)
	}
}
