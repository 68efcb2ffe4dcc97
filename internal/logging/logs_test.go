package logging

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestFormsAndLevels(t *testing.T) {
	for form, want := range map[string]string{
		"text": "transaction refused number=7 class=\"live preview\"\n", "logfmt": `level=warn msg="transaction refused" number=7 class="live preview"`, "json": `"number":7`,
	} {
		var b buffer
		l := New(Options{Level: "warn", Format: form}, &b)
		l.Info("is not written")
		l.With("number", 7).Warn("transaction refused", "class", "live preview")
		l.Close()
		if got := b.String(); !strings.Contains(got, want) || strings.Count(got, "\n") != 1 {
			t.Errorf("%s: %q", form, got)
		}
		if form == "json" && !json.Valid([]byte(b.String())) {
			t.Errorf("no JSON: %s", b.String())
		}
	}
	for _, bad := range []error{CheckLevel("loud"), CheckFormat("xml")} {
		if bad == nil || !strings.Contains(bad.Error(), "expected one of") {
			t.Errorf("an odd option gives %v", bad)
		}
	}
	if CheckLevel("") != nil || CheckLevel("debug") != nil || CheckFormat("") != nil || CheckFormat("json") != nil {
		t.Error("options that make sense are refused")
	}
}

// A flood of one kind leaves room for others, and its lines are counted.
func TestFloodIsCountedAndHidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		l := New(Options{}, &b)
		const n = 10_000
		for i := range n {
			l.Warn("bad opening", "peer", i)
			if i == n/2 {
				l.Warn("transaction refused", "number", 9)
			}
			time.Sleep(200 * time.Microsecond)
		}
		time.Sleep(2 * time.Second)
		l.Close()
		written, left := 0, 0
		for line := range strings.Lines(b.String()) {
			var k int
			switch {
			case strings.Contains(line, "bad opening") && !strings.Contains(line, "left out"):
				written++
				if i := strings.Index(line, "left_out="); i >= 0 {
					_, _ = fmt.Sscanf(line[i:], "left_out=%d", &k)
					left += k
				}
			case strings.Contains(line, `kind="bad opening"`):
				_, _ = fmt.Sscanf(line[strings.Index(line, "count="):], "count=%d", &k)
				left += k
			}
		}
		if written+left != n || written > int(burst+perSecond*3) || written < int(burst) {
			t.Errorf("%d lines were written and %d said to be left out, of %d", written, left, n)
		}
		if !strings.Contains(b.String(), "transaction refused") {
			t.Error("the flood hides another line")
		}
	})
}

// Nobody reads the log: who writes to it goes on.
func TestLogThatNobodyReadsHoldsNobodyUp(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	l := New(Options{Level: "debug"}, w)
	began := time.Now()
	for i := range 40 * linesMost {
		l.Debug(fmt.Sprint("kind ", i%40), "i", i)
	}
	if n := l.lines.lost.Load(); n == 0 && len(l.lines.queue) < linesMost/4 {
		t.Errorf("%d lines wait and %d are lost", len(l.lines.queue), n)
	}
	l.Close()
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("writing took %v", took)
	}
}

func TestKindsAreBounded(t *testing.T) {
	l := newLimiter()
	for i := range 10_000 {
		l.allow(fmt.Sprint("kind ", i), time.Unix(0, 0))
	}
	if n := len(l.kinds); n > kindsMost+1 {
		t.Errorf("%d kinds are kept", n)
	}
}
