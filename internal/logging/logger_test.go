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

// buffer is a strings.Builder that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (output *buffer) Write(p []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.text.Write(p)
}

func (output *buffer) String() string {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.text.String()
}

func TestFormatsAndLevels(t *testing.T) {
	for format, want := range map[string]string{
		"text": "request rejected number=7 class=\"live preview\"\n", "logfmt": `level=warn msg="request rejected" number=7 class="live preview"`, "json": `"number":7`,
	} {
		var output buffer
		logger := New(Options{Level: "warn", Format: format}, &output)
		logger.Info("below the level")
		logger.With("number", 7).Warn("request rejected", "class", "live preview")
		logger.Close()
		if got := output.String(); !strings.Contains(got, want) || strings.Count(got, "\n") != 1 {
			t.Errorf("format %s: got %q, want one line with %q", format, got, want)
		}
		if format == "json" && !json.Valid([]byte(output.String())) {
			t.Errorf("line is not valid JSON: %s", output.String())
		}
	}
	for _, err := range []error{CheckLevel("loud"), CheckFormat("xml")} {
		if err == nil || !strings.Contains(err.Error(), "expected one of") {
			t.Errorf("error for an unknown option is %v", err)
		}
	}
	if CheckLevel("") != nil || CheckLevel("debug") != nil || CheckFormat("") != nil || CheckFormat("json") != nil {
		t.Error("valid options are rejected")
	}
}

// A flood of one kind of line must not hide other kinds, and each line is either written or counted as suppressed.
func TestFloodOfOneKindIsSuppressedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output buffer
		logger := New(Options{}, &output)
		const n = 10_000
		for i := range n {
			logger.Warn("bad opening", "peer", i)
			if i == n/2 {
				logger.Warn("request rejected", "number", 9)
			}
			time.Sleep(200 * time.Microsecond)
		}
		time.Sleep(2 * time.Second)
		logger.Close()
		written, suppressed := 0, 0
		for line := range strings.Lines(output.String()) {
			var count int
			switch {
			case strings.Contains(line, "bad opening") && !strings.Contains(line, "log lines suppressed"):
				written++
				if i := strings.Index(line, "left_out="); i >= 0 {
					_, _ = fmt.Sscanf(line[i:], "left_out=%d", &count)
					suppressed += count
				}
			case strings.Contains(line, `kind="bad opening"`):
				_, _ = fmt.Sscanf(line[strings.Index(line, "count="):], "count=%d", &count)
				suppressed += count
			}
		}
		if written+suppressed != n || written > int(burstLines+linesPerSecond*3) || written < int(burstLines) {
			t.Errorf("%d lines written and %d reported as suppressed, of %d logged", written, suppressed, n)
		}
		if !strings.Contains(output.String(), "request rejected") {
			t.Error("a line of another kind was not written during the flood")
		}
	})
}

// A destination that is never read must not block the goroutines that log.
func TestUnreadLogDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	logger := New(Options{Level: "debug"}, writer)
	start := time.Now()
	for i := range 40 * maxQueuedLines {
		logger.Debug(fmt.Sprint("kind ", i%40), "i", i)
	}
	if dropped := logger.writer.dropped.Load(); dropped == 0 && len(logger.writer.queue) < maxQueuedLines/4 {
		t.Errorf("%d lines queued and %d dropped, want a full queue", len(logger.writer.queue), dropped)
	}
	logger.Close()
	if elapsed := time.Since(start); elapsed > 10*time.Second {
		t.Errorf("logging took %v", elapsed)
	}
}

// Unlimited kinds of lines must not make the rate limiter grow without bound.
func TestRateLimiterKindsAreBounded(t *testing.T) {
	limiter := newRateLimiter()
	for i := range 10_000 {
		limiter.allow(fmt.Sprint("kind ", i), time.Unix(0, 0))
	}
	if buckets := len(limiter.buckets); buckets > maxKinds+1 {
		t.Errorf("got %d buckets, want at most %d", buckets, maxKinds+1)
	}
}
