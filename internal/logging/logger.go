// Package logging provides the relay's log: structured lines with levels, in one of three
// formats. Lines with the same message are rate-limited, so that a flood of malformed requests
// costs little and doesn't hide other lines; suppressed lines are counted. A separate goroutine
// writes the lines, so that a slow or absent reader of the log does not block callers; lines that don't
// fit into its queue are dropped and counted.
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

// Options configures a Logger. The zero value logs in logfmt, from level info.
type Options struct {
	Level     string // debug, info, warn or error; empty: info
	Format    string // text, logfmt or json; empty: logfmt
	TailLines int    // number of lines that Tail can return; 0: none. Each takes up to 1 KiB of memory
}

var levels = []string{"debug", "info", "warn", "error"}

var formatters = map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}

// Formats returns the names of the formats in alphabetical order.
func Formats() []string { return slices.Sorted(maps.Keys(formatters)) }

// CheckLevel returns an error for an unknown level. The empty level is the default.
func CheckLevel(level string) error {
	if level != "" && !slices.Contains(levels, level) {
		return fmt.Errorf("unknown level %q; expected one of %s", level, strings.Join(levels, ", "))
	}
	return nil
}

// CheckFormat returns an error for an unknown format. The empty format is the default.
func CheckFormat(format string) error {
	if _, ok := formatters[format]; format != "" && !ok {
		return fmt.Errorf("unknown format %q; expected one of %s", format, strings.Join(Formats(), ", "))
	}
	return nil
}

const (
	maxQueuedLines  = 512                    // capacity of the queue; more lines are dropped
	summaryInterval = time.Second            // between reports of suppressed and dropped lines
	closeTimeout    = 500 * time.Millisecond // for writing the queued lines in Close
)

// Logger is a rate-limited, asynchronous log. It is safe for concurrent use.
type Logger struct {
	*slog.Logger
	writer  *lineWriter
	handler *limitingHandler
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when run has ended
}

// New returns a Logger that writes to destination. The options must have passed CheckLevel and
// CheckFormat. The caller must call Close to stop the writing goroutine.
func New(options Options, destination io.Writer) *Logger {
	level, _ := log.ParseLevel(cmp.Or(options.Level, "info"))
	logger := &Logger{
		writer: &lineWriter{destination: destination, queue: make(chan []byte, maxQueuedLines), tailLines: options.TailLines},
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	format := formatters[cmp.Or(options.Format, "logfmt")]
	handler := log.NewWithOptions(logger.writer, log.Options{
		Level: level, Formatter: format, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	if format == log.TextFormatter {
		handler.SetTimeFormat(time.TimeOnly)
	}
	logger.handler = &limitingHandler{Handler: handler, limitState: &limitState{limiter: newRateLimiter()}}
	logger.Logger = slog.New(logger.handler)
	go logger.run()
	return logger
}

// run writes queued lines and, every summaryInterval, the numbers of suppressed and dropped
// lines. It is the only goroutine that writes to the destination, and returns after Close.
func (l *Logger) run() {
	defer close(l.done)
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.writer.queue:
			_, _ = l.writer.destination.Write(line) // an error can't be reported: this is the log
		case <-ticker.C:
			l.logSuppressed(time.Now())
		case <-l.stop:
			l.logSuppressed(time.Now().Add(summaryInterval))
			l.writeQueued()
			return
		}
	}
}

// writeQueued writes all queued lines.
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

// logSuppressed logs the number of suppressed lines of each kind, and the number of dropped
// lines. It bypasses the rate limit.
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

// Close writes the queued lines, for at most closeTimeout. It must be called only once, after
// the last line has been logged.
func (l *Logger) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// Tail returns up to maxLines of the most recent lines, oldest first. Each is truncated to
// tailLineBytes.
func (l *Logger) Tail(maxLines int) []string {
	l.writer.mu.Lock()
	defer l.writer.mu.Unlock()
	tail := l.writer.tail
	return slices.Clone(tail[max(0, len(tail)-maxLines):])
}
