package assert

import "testing"

func TestViolationIsCountedAndPanicsInDebugBuilds(t *testing.T) {
	before := Broken()
	That(true, "nothing")
	if Broken() != before {
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
	if Broken() != before+1 {
		t.Errorf("counted %d violations, want 1", Broken()-before)
	}
}
