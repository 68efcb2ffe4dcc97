// Package logging sets the relay's log up: levelled, structured lines in one of three
// forms, within bounds. Of each kind of line some a second are written and the rest
// counted, so that a flood of bad clients costs little and hides nothing else. Lines
// are written by a goroutine of their own: who reads them slowly, or not at all, holds
// nobody up, and what there is no room for is counted as well.
package logging

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Options say what is written and how.
type Options struct {
	Level     string // debug, info, warn or error; empty: info
	Format    string // text, logfmt or json; empty: logfmt
	TailLines int    // lines that Tail tells of; 0: none
}

var levels = []string{"debug", "info", "warn", "error"}

var forms = map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}

// Formats are the forms there are.
func Formats() []string { return slices.Sorted(maps.Keys(forms)) }

// CheckLevel tells whether a level makes sense; none does.
func CheckLevel(level string) error {
	if level != "" && !slices.Contains(levels, level) {
		return fmt.Errorf("%q is no level; expected one of %s", level, strings.Join(levels, ", "))
	}
	return nil
}

// CheckFormat tells whether a form makes sense; none does.
func CheckFormat(form string) error {
	if _, ok := forms[form]; form != "" && !ok {
		return fmt.Errorf("%q is no form; expected one of %s", form, strings.Join(Formats(), ", "))
	}
	return nil
}

const (
	linesMost = 512 // that wait to be written
	sumsEvery = time.Second
	closeWait = 500 * time.Millisecond // for what waits at the end
	keepBytes = 512                    // of a line that is kept
)

// Logger is a log that has been set up.
type Logger struct {
	*slog.Logger
	lines *lines
	limit *limited
	stop  chan struct{}
	done  chan struct{}
}

// New sets a log up that writes to w. Its options have been checked.
func New(o Options, w io.Writer) *Logger {
	level, _ := log.ParseLevel(cmp.Or(o.Level, "info"))
	l := &Logger{lines: &lines{out: w, queue: make(chan []byte, linesMost), keep: o.TailLines}, stop: make(chan struct{}), done: make(chan struct{})}
	form := forms[cmp.Or(o.Format, "logfmt")]
	handler := log.NewWithOptions(l.lines, log.Options{
		Level: level, Formatter: form, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	if form == log.TextFormatter {
		handler.SetTimeFormat(time.TimeOnly)
	}
	l.limit = &limited{Handler: handler, shared: &shared{limiter: newLimiter()}}
	l.Logger = slog.New(l.limit)
	go l.run()
	return l
}

// run writes lines, and every so often what was left out.
func (l *Logger) run() {
	defer close(l.done)
	tick := time.NewTicker(sumsEvery)
	defer tick.Stop()
	for {
		select {
		case b := <-l.lines.queue:
			_, _ = l.lines.out.Write(b) // a log that can't be written has nowhere to say so
		case <-tick.C:
			l.sums(time.Now())
		case <-l.stop:
			l.sums(time.Now().Add(sumsEvery))
			for {
				select {
				case b := <-l.lines.queue:
					_, _ = l.lines.out.Write(b)
				default:
					return
				}
			}
		}
	}
}

// sums tells of kinds that have fallen silent how many lines of them were left out.
func (l *Logger) sums(now time.Time) {
	l.limit.mu.Lock()
	left := l.limit.limiter.sums(now)
	l.limit.mu.Unlock()
	for _, k := range left {
		r := slog.NewRecord(now, slog.LevelWarn, "lines are left out", 0)
		r.AddAttrs(slog.String("kind", k.kind), slog.Int("count", k.count))
		_ = l.limit.Handler.Handle(context.Background(), r)
	}
	if n := l.lines.lost.Swap(0); n > 0 {
		r := slog.NewRecord(now, slog.LevelWarn, "lines found no room as the log is read too slowly", 0)
		r.AddAttrs(slog.Int64("count", n))
		_ = l.limit.Handler.Handle(context.Background(), r)
	}
}

// Close writes what waits, within half a second.
func (l *Logger) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeWait):
	}
}

// Tail returns the last lines that were logged, so many at the most, the oldest first. Each is
// cut to its first part.
func (l *Logger) Tail(most int) []string {
	l.lines.mu.Lock()
	defer l.lines.mu.Unlock()
	all := l.lines.kept
	return slices.Clone(all[max(0, len(all)-most):])
}

// lines is where the handler writes to. It never blocks.
type lines struct {
	out   io.Writer
	queue chan []byte
	lost  atomic.Int64
	keep  int

	mu   sync.Mutex
	kept []string
}

// note keeps a line.
func (l *lines) note(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.kept) >= 2*l.keep { // so that lines are moved but every so often
		l.kept = append(l.kept[:0], l.kept[len(l.kept)-l.keep+1:]...)
	}
	l.kept = append(l.kept, string(b[:min(len(b), keepBytes)]))
}

// Write takes one line.
func (l *lines) Write(b []byte) (int, error) {
	if l.keep > 0 {
		l.note(b)
	}
	select {
	case l.queue <- bytes.Clone(b):
	default:
		l.lost.Add(1)
	}
	return len(b), nil
}

// shared is what handlers with other attributes share.
type shared struct {
	mu      sync.Mutex
	limiter *limiter
}

// limited passes on some lines of each kind. The kind is the message: what differs
// from line to line belongs into attributes.
type limited struct {
	slog.Handler
	*shared
}

func (h *limited) Handle(ctx context.Context, r slog.Record) error {
	h.mu.Lock()
	ok, left := h.limiter.allow(r.Message, r.Time)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left_out", left))
	}
	return h.Handler.Handle(ctx, r)
}

func (h *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{h.Handler.WithAttrs(attrs), h.shared}
}

func (h *limited) WithGroup(name string) slog.Handler {
	return &limited{h.Handler.WithGroup(name), h.shared}
}
