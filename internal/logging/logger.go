// Package logging sets up the relay's log: levelled, structured lines in one of three formats,
// within bounds. Some lines of each kind are written per second and the rest are counted, so
// that a flood of malformed requests costs little and hides nothing else. Lines are written by
// a goroutine of their own: a reader that is slow, or gone, blocks nobody, and lines that find
// no room in the queue are dropped and counted.
package logging

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
)

// Options say what is written and how. The zero value logs from info on, in logfmt.
type Options struct {
	Level     string // debug, info, warn or error; empty: info
	Format    string // text, logfmt or json; empty: logfmt
	TailLines int    // lines that Tail can return; 0: none. Each costs up to 1 KiB of memory
}

var levels = []string{"debug", "info", "warn", "error"}

var formatters = map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}

// Formats returns the names of the formats in alphabetical order.
func Formats() []string { return slices.Sorted(maps.Keys(formatters)) }

// CheckLevel returns an error for an unknown level. The empty level is the default.
func CheckLevel(level string) error {
	if level != "" && !slices.Contains(levels, level) {
		return fmt.Errorf("%q is no level; expected one of %s", level, strings.Join(levels, ", "))
	}
	return nil
}

// CheckFormat returns an error for an unknown format. The empty format is the default.
func CheckFormat(format string) error {
	if _, ok := formatters[format]; format != "" && !ok {
		return fmt.Errorf("%q is no form; expected one of %s", format, strings.Join(Formats(), ", "))
	}
	return nil
}

const (
	maxQueuedLines  = 512                    // lines that wait to be written; more are dropped
	summaryInterval = time.Second            // how often suppressed and dropped lines are reported
	closeTimeout    = 500 * time.Millisecond // for the lines that wait when the log is closed
)

// Logger is a log that has been set up. Any goroutine may use it.
type Logger struct {
	*slog.Logger
	writer  *lineWriter
	handler *limitingHandler
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when run has ended
}

// New sets up a log that writes to destination. Its options have passed CheckLevel and
// CheckFormat. The caller has to Close it, which ends the goroutine that writes.
func New(options Options, destination io.Writer) *Logger {
	level, _ := log.ParseLevel(cmp.Or(options.Level, "info"))
	l := &Logger{
		writer: &lineWriter{destination: destination, queue: make(chan []byte, maxQueuedLines), tailLines: options.TailLines},
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	format := formatters[cmp.Or(options.Format, "logfmt")]
	handler := log.NewWithOptions(l.writer, log.Options{
		Level: level, Formatter: format, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	if format == log.TextFormatter {
		handler.SetTimeFormat(time.TimeOnly)
	}
	l.handler = &limitingHandler{Handler: handler, limitState: &limitState{limiter: newRateLimiter()}}
	l.Logger = slog.New(l.handler)
	go l.run()
	return l
}

// run writes queued lines, and every summaryInterval how many were suppressed or dropped. It
// is the only goroutine that writes to the destination, and ends after Close.
func (l *Logger) run() {
	defer close(l.done)
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.writer.queue:
			_, _ = l.writer.destination.Write(line) // a log that can't be written has nowhere to say so
		case <-ticker.C:
			l.logSuppressed(time.Now())
		case <-l.stop:
			l.logSuppressed(time.Now().Add(summaryInterval))
			l.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that are queued.
func (l *Logger) writeQueued() {
	for {
		select {
		case line := <-l.writer.queue:
			_, _ = l.writer.destination.Write(line)
		default:
			return
		}
	}
}

// logSuppressed logs how many lines were suppressed, of each kind whose last line was, and how
// many were dropped. It bypasses the rate limit.
func (l *Logger) logSuppressed(now time.Time) {
	l.handler.mu.Lock()
	suppressed := l.handler.limiter.takeSuppressed(now)
	l.handler.mu.Unlock()
	for _, count := range suppressed {
		record := slog.NewRecord(now, slog.LevelWarn, "log lines suppressed", 0)
		record.AddAttrs(slog.String("kind", count.kind), slog.Int("count", count.count))
		_ = l.handler.Handler.Handle(context.Background(), record)
	}
	if dropped := l.writer.dropped.Swap(0); dropped > 0 {
		record := slog.NewRecord(now, slog.LevelWarn, "log lines dropped", 0)
		record.AddAttrs(slog.Int64("count", dropped))
		_ = l.handler.Handler.Handle(context.Background(), record)
	}
}

// Close writes the lines that are queued, for up to closeTimeout. It may be called once, after
// the last line has been logged.
func (l *Logger) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// Tail returns up to maxLines of the lines that were logged last, the oldest first. Each is
// truncated to tailLineBytes.
func (l *Logger) Tail(maxLines int) []string {
	l.writer.mu.Lock()
	defer l.writer.mu.Unlock()
	tail := l.writer.tail
	return slices.Clone(tail[max(0, len(tail)-maxLines):])
}
