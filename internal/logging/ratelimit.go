package logging

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	linesPerSecond = 5.0  // of each kind
	burstLines     = 20.0 // of each kind; capacity of its token bucket
	maxKinds       = 64   // kinds with their own limit; all others share one
	otherKind      = "others"
)

// rateLimiter limits the rate of log lines with a token bucket for each kind. It is not safe
// for concurrent use.
type rateLimiter struct{ buckets map[string]*tokenBucket }

// tokenBucket is the state of one kind of line.
type tokenBucket struct {
	tokens          float64
	refilledAt      time.Time
	suppressed      int       // lines suppressed since the last line was written
	suppressedSince time.Time // when the first of them was suppressed
}

func newRateLimiter() *rateLimiter { return &rateLimiter{buckets: make(map[string]*tokenBucket)} }

// allow reports whether a line may be written, and how many of its kind were suppressed
// before it.
func (l *rateLimiter) allow(kind string, now time.Time) (ok bool, suppressed int) {
	bucket := l.buckets[kind]
	if bucket == nil && len(l.buckets) >= maxKinds {
		kind = otherKind
		bucket = l.buckets[kind]
	}
	if bucket == nil {
		bucket = &tokenBucket{tokens: burstLines, refilledAt: now}
		l.buckets[kind] = bucket
	}
	bucket.tokens = min(burstLines, bucket.tokens+linesPerSecond*max(0, now.Sub(bucket.refilledAt).Seconds()))
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		if bucket.suppressed == 0 {
			bucket.suppressedSince = now
		}
		bucket.suppressed++
		return false, 0
	}
	bucket.tokens--
	suppressed, bucket.suppressed = bucket.suppressed, 0
	return true, suppressed
}

// suppressedCount is the number of suppressed lines of a kind.
type suppressedCount struct {
	kind  string
	count int
}

// takeSuppressed returns and resets the counts of the kinds whose first suppressed line is at
// least a second old, sorted by kind.
func (l *rateLimiter) takeSuppressed(now time.Time) []suppressedCount {
	var counts []suppressedCount
	for kind, bucket := range l.buckets {
		if bucket.suppressed > 0 && now.Sub(bucket.suppressedSince) >= time.Second {
			counts = append(counts, suppressedCount{kind: kind, count: bucket.suppressed})
			bucket.suppressed = 0
		}
	}
	slices.SortFunc(counts, func(first, second suppressedCount) int { return cmp.Compare(first.kind, second.kind) })
	return counts
}

// limitState is the state shared by handlers that differ only in attributes or groups.
type limitState struct {
	mu      sync.Mutex // guards limiter
	limiter *rateLimiter
}

// limitingHandler is a slog.Handler with a rate limit for each kind of line. The kind of a line
// is its message, so anything that varies between lines belongs in attributes.
type limitingHandler struct {
	slog.Handler
	*limitState
}

// Handle passes a record on, with the number of records suppressed before it as an attribute,
// or suppresses the record.
func (h *limitingHandler) Handle(ctx context.Context, record slog.Record) error {
	h.mu.Lock()
	ok, suppressed := h.limiter.allow(record.Message, record.Time)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	if suppressed > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int("left_out", suppressed))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler with more attributes and the same limits.
func (h *limitingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitingHandler{Handler: h.Handler.WithAttrs(attrs), limitState: h.limitState}
}

// WithGroup returns a handler with a group and the same limits.
func (h *limitingHandler) WithGroup(name string) slog.Handler {
	return &limitingHandler{Handler: h.Handler.WithGroup(name), limitState: h.limitState}
}
