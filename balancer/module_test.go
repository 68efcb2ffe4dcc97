package balancer

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// policyFiles are the files with the decision logic, listed as policy in deploy/balancer.toml.
var policyFiles = []string{
	"admission.go", "attempt.go", "balancer.go", "concurrency.go", "draining.go", "draw.go", "endpointlist.go",
	"outlier.go", "retry.go", "selection.go", "slowstart.go", "weights.go",
}

// Guards against growth that makes the package hard to read as a whole, and against files that doc.go does not list.
func TestSourceStaysWithinSizeLimits(t *testing.T) {
	const (
		maxColumns     = 110 // per line, with a tab width of 4
		maxFileLines   = 250 // per file, without blank lines
		maxPolicyLines = 750 // in all policy files, without blank lines and comments
	)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatalf("list source files: %v", err)
	}
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	policyLines, policyFilesFound := 0, 0
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
			if columns := len([]rune(strings.ReplaceAll(line, "\t", "    "))); columns > maxColumns {
				t.Errorf("%s:%d has %d columns, limit is %d", file, i+1, columns, maxColumns)
			}
		}
		if lines > maxFileLines {
			t.Errorf("%s has %d non-blank lines, limit is %d", file, lines, maxFileLines)
		}
		if slices.Contains(policyFiles, file) {
			policyFilesFound++
			policyLines += code
		}
		if file != "doc.go" && !strings.Contains(string(doc), file) {
			t.Errorf("doc.go does not list %s", file)
		}
	}
	if policyFilesFound != len(policyFiles) {
		t.Errorf("found %d of %d policy files", policyFilesFound, len(policyFiles))
	}
	if policyLines > maxPolicyLines {
		t.Errorf("the policy files have %d lines of code, limit is %d", policyLines, maxPolicyLines)
	}
}

// Guards against state shared between Balancers: equal events give equal actions whether or not another one runs.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	runEvents := func(relay *testRelay, other *testRelay) []Action {
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
	alone := runEvents(newTestRelay(t, testSettings(), readyEndpoints(9)...), nil)
	withOther := runEvents(newTestRelay(t, testSettings(), readyEndpoints(9)...), newTestRelay(t, testSettings(), readyEndpoints(9)...))
	if len(alone) < 300 {
		t.Fatalf("got %d actions, want at least 300", len(alone))
	}
	wantActions(t, withOther, alone...)
}
