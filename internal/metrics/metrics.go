// Package metrics holds the counters and gauges that the relay's admin address exposes, and
// writes them in the Prometheus text format. Counting and writing never wait for a lock.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// maxClasses limits the classes that are exposed, including those that reloads have removed
// from the settings. Their counters stay, as a counter must not disappear or decrease.
const maxClasses = 256

// namePrefix is the prefix of all metric names.
const namePrefix = "edge_proxy_"

// labelEscaper escapes label values.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	Attempts        atomic.Int64 // requests written completely to endpoints
	ActiveRequests  atomic.Int64 // requests accepted and not ended yet
	ReloadsApplied  atomic.Int64 // configuration files applied at SIGHUP
	ReloadsRejected atomic.Int64 // configuration files rejected at SIGHUP

	// EndpointCounts returns the number of listed endpoints, and of those that the balancer
	// avoids now. It is set before WriteTo is called, must not block, and must be safe for
	// concurrent use. nil: both are 0.
	EndpointCounts func() (listed, avoided int)

	mu      sync.Mutex                                // serializes SetClasses; reading classes needs no lock
	classes atomic.Pointer[map[string]*ClassCounters] // by name; a stored map is not modified
}

// SetClasses sets the names of the classes in force. New ones are exposed with counters of 0.
// Others stay exposed, unless there are more than maxClasses in total.
func (s *Set) SetClasses(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	classes := make(map[string]*ClassCounters)
	if previous := s.classes.Load(); previous != nil {
		maps.Copy(classes, *previous)
	}
	for _, name := range names {
		if classes[name] == nil {
			classes[name] = &ClassCounters{}
		}
	}
	if len(classes) > maxClasses {
		maps.DeleteFunc(classes, func(name string, _ *ClassCounters) bool { return !slices.Contains(names, name) })
	}
	s.classes.Store(&classes)
}

// Class returns the counters of a class, or nil if the class is not exposed.
func (s *Set) Class(name string) *ClassCounters {
	if classes := s.classes.Load(); classes != nil {
		return (*classes)[name]
	}
	return nil
}

// WriteTo writes all metrics in the Prometheus text format, one per line and without comments.
// It implements io.WriterTo.
func (s *Set) WriteTo(w io.Writer) (int64, error) {
	var text bytes.Buffer
	s.writeClasses(&text)
	s.writeTotals(&text)
	return text.WriteTo(w)
}

// writeClasses writes the counters of all classes, sorted by outcome and then by class.
func (s *Set) writeClasses(text *bytes.Buffer) {
	classes := map[string]*ClassCounters{}
	if current := s.classes.Load(); current != nil {
		classes = *current
	}
	names := slices.Sorted(maps.Keys(classes))
	for outcome, metric := range outcomeNames {
		for _, name := range names {
			fmt.Fprintf(text, "%s%s{kind=\"%s\"} %d\n", namePrefix, metric, labelEscaper.Replace(name), classes[name][outcome].Load())
		}
	}
}

// writeTotals writes the metrics that are not per class.
func (s *Set) writeTotals(text *bytes.Buffer) {
	listed, avoided := 0, 0
	if s.EndpointCounts != nil {
		listed, avoided = s.EndpointCounts()
	}
	for _, metric := range []struct {
		name  string
		value int64
	}{
		{name: "tries_total", value: s.Attempts.Load()},
		{name: "active", value: s.ActiveRequests.Load()},
		{name: "pool_size", value: int64(listed)},
		{name: "pool_ejected", value: int64(avoided)},
		{name: "config_applied_total", value: s.ReloadsApplied.Load()},
		{name: "config_rejected_total", value: s.ReloadsRejected.Load()},
	} {
		fmt.Fprintf(text, "%s%s %d\n", namePrefix, metric.name, metric.value)
	}
}
