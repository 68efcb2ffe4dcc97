package assert

import "testing"

func TestBrokenInvariantIsCountedAndPanicsInDebugBuilds(t *testing.T) {
	before := Broken()
	That(true, "nothing")
	if Broken() != before {
		t.Fatal("what holds was counted as broken")
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
		t.Errorf("counted %d broken invariants, want 1", Broken()-before)
	}
}
