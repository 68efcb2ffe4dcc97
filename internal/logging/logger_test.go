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
		logger.Info("is not written")
		logger.With("number", 7).Warn("request rejected", "class", "live preview")
		logger.Close()
		if got := output.String(); !strings.Contains(got, want) || strings.Count(got, "\n") != 1 {
			t.Errorf("%s: %q", format, got)
		}
		if format == "json" && !json.Valid([]byte(output.String())) {
			t.Errorf("no JSON: %s", output.String())
		}
	}
	for _, err := range []error{CheckLevel("loud"), CheckFormat("xml")} {
		if err == nil || !strings.Contains(err.Error(), "expected one of") {
			t.Errorf("an unknown option returns %v", err)
		}
	}
	if CheckLevel("") != nil || CheckLevel("debug") != nil || CheckFormat("") != nil || CheckFormat("json") != nil {
		t.Error("valid options are refused")
	}
}

// A flood of one kind leaves room for other kinds, and its suppressed lines are counted.
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
			t.Errorf("%d lines were written and %d reported as suppressed, of %d", written, suppressed, n)
		}
		if !strings.Contains(output.String(), "request rejected") {
			t.Error("the flood hides another line")
		}
	})
}

// Nobody reads the log: whoever writes to it is not blocked.
func TestUnreadLogDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	logger := New(Options{Level: "debug"}, writer)
	began := time.Now()
	for i := range 40 * maxQueuedLines {
		logger.Debug(fmt.Sprint("kind ", i%40), "i", i)
	}
	if total := logger.writer.dropped.Load(); total == 0 && len(logger.writer.queue) < maxQueuedLines/4 {
		t.Errorf("%d lines are queued and %d dropped", len(logger.writer.queue), total)
	}
	logger.Close()
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("writing took %v", took)
	}
}

func TestKindsAreBounded(t *testing.T) {
	logger := newRateLimiter()
	for i := range 10_000 {
		logger.allow(fmt.Sprint("kind ", i), time.Unix(0, 0))
	}
	if total := len(logger.buckets); total > maxKinds+1 {
		t.Errorf("%d kinds have a bucket", total)
	}
}
