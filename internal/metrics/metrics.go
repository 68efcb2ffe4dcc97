// Package metrics holds the metrics that the relay's second address exposes: counters,
// each incremented at the one event that it counts, and the text that they are written
// in. Nothing here blocks: counting and reading are atomic.
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

// maxClasses bounds the classes that are exposed. The settings in force have far fewer;
// dropped classes are retained beside them, as a counter must not decrease.
const maxClasses = 256

// namePrefix begins the name of each metric.
const namePrefix = "edge_proxy_"

// labelEscaper escapes the value of a label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	Attempts        atomic.Int64 // requests written to endpoints, to the last byte
	ActiveRequests  atomic.Int64 // entered and not ended
	ReloadsApplied  atomic.Int64 // configuration files applied at SIGHUP
	ReloadsRejected atomic.Int64 // configuration files rejected at SIGHUP

	// EndpointCounts returns how many endpoints are listed, and how many of them are
	// avoided now. It is set before the metrics are read, and must not block; nil: both
	// are 0.
	EndpointCounts func() (listed, avoided int)

	mu      sync.Mutex // held to replace classes; reading it needs no lock
	classes atomic.Pointer[map[string]*ClassCounters]
}

// SetClasses exposes the classes of the settings in force, each from 0 on. Those that are
// dropped stay exposed, as long as there are no more than maxClasses.
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

// Class returns the counters of a class, or nil if the settings have never named it.
func (s *Set) Class(name string) *ClassCounters {
	if classes := s.classes.Load(); classes != nil {
		return (*classes)[name]
	}
	return nil
}

// WriteTo writes all metrics in the Prometheus text format, one a line and without
// comments. It implements io.WriterTo.
func (s *Set) WriteTo(w io.Writer) (int64, error) {
	var text bytes.Buffer
	s.writeClasses(&text)
	s.writeTotals(&text)
	return text.WriteTo(w)
}

// writeClasses writes the counters of each class, by outcome and then by name.
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

// writeTotals writes the metrics that belong to no class.
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
