package balancer

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// policyFiles hold the decisions, and the records that only they use: the policy files of deploy/balancer.toml.
var policyFiles = []string{
	"admission.go", "attempt.go", "balancer.go", "concurrency.go", "draining.go", "draw.go", "endpointlist.go",
	"outlier.go", "retry.go", "selection.go", "slowstart.go", "weights.go",
}

// The decision module has to stay short enough to be read as a whole: lines and files are limited, and so is the code
// of all decisions together. doc.go tells where to look for what.
func TestModuleIsShort(t *testing.T) {
	const (
		maxColumns     = 110 // of a line, with tabs of four
		maxFileLines   = 250 // that are not blank
		maxPolicyLines = 750 // of code in all policy files, neither blank nor comment
	)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	policyLines, policySeen := 0, 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines, code := 0, 0
		for i, line := range strings.Split(string(text), "\n") {
			trimmed := strings.TrimSpace(line)
			if trimmed != "" {
				lines++
			}
			if trimmed != "" && !strings.HasPrefix(trimmed, "//") {
				code++
			}
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > maxColumns {
				t.Errorf("%s:%d has %d columns, at most %d are allowed", file, i+1, w, maxColumns)
			}
		}
		if lines > maxFileLines {
			t.Errorf("%s has %d lines that are not blank, at most %d are allowed", file, lines, maxFileLines)
		}
		if slices.Contains(policyFiles, file) {
			policySeen++
			policyLines += code
		}
		if file != "doc.go" && !strings.Contains(string(doc), file) {
			t.Errorf("doc.go doesn't name %s", file)
		}
	}
	if policySeen != len(policyFiles) {
		t.Errorf("%d of the %d policy files are there", policySeen, len(policyFiles))
	}
	if policyLines > maxPolicyLines {
		t.Errorf("the policy files have %d lines of code, at most %d are allowed", policyLines, maxPolicyLines)
	}
}

// Balancers share nothing: equal events give equal actions, with another one beside it or without.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	script := func(relay *testRelay, other *testRelay) []Action {
		for key := range uint64(300) {
			id, actions := relay.request(key % 13)
			if other != nil {
				other.request(key)
				other.advance(7 * ms)
			}
			for _, action := range actions {
				if attempt, ok := action.(SendAttempt); ok && key%3 == 0 {
					relay.fail(id, attempt.Endpoint, AttemptStatus(1+key%5))
				} else if ok {
					relay.handle(Established{Request: id, Endpoint: attempt.Endpoint})
					relay.handle(EndpointDelay{Request: id, Endpoint: attempt.Endpoint, Delay: time.Duration(key*10) * ms})
				}
			}
			relay.advance(30 * ms)
		}
		return relay.actions
	}
	alone := script(newTestRelay(t, testSettings(), readyEndpoints(9)...), nil)
	beside := script(newTestRelay(t, testSettings(), readyEndpoints(9)...), newTestRelay(t, testSettings(), readyEndpoints(9)...))
	if len(alone) < 300 {
		t.Fatalf("only %d actions", len(alone))
	}
	wantActions(t, beside, alone...)
}
