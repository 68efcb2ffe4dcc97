// Package metrics holds what the second address tells of the relay: counters, each added
// to at the one event that it counts, and the text that they are written in. Nothing here
// waits: adding and reading are atomic, and who reads stops nobody.
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

// kindsMost bounds the classes that are told of. Those of the settings in force are far
// fewer; dropped ones are kept beside them, as a counter must not go down.
const kindsMost = 256

// ClassCounters counts what became of the connections of one class since the process began.
// Its methods are those of no class, and count nothing, if it is nil.
type ClassCounters [outcomes]atomic.Int64

// What may become of a connection.
const (
	ok = iota
	shed
	failed
	outcomes
)

var outcomeNames = [outcomes]string{"ok_total", "shed_total", "errors_total"}

// CountEstablished counts a connection whose client was told, to the last byte, that it is up.
func (k *ClassCounters) CountEstablished() { k.add(ok) }

// CountRejected counts a connection that was given the unavailable answer.
func (k *ClassCounters) CountRejected() { k.add(shed) }

// CountFailed counts a connection that was given the failed answer.
func (k *ClassCounters) CountFailed() { k.add(failed) }

func (k *ClassCounters) add(outcome int) {
	if k != nil {
		k[outcome].Add(1)
	}
}

// Set are those of one process.
type Set struct {
	Attempts        atomic.Int64 // openings written to application servers, to the last byte
	ActiveRequests  atomic.Int64 // transactions entered and not over
	ReloadsApplied  atomic.Int64 // files taken at SIGHUP
	ReloadsRejected atomic.Int64 // files turned down at SIGHUP

	// Pool tells how many servers are listed and how many of them are avoided now. It is
	// set before the figures are read, and waits for nobody; nil: both are 0.
	EndpointCounts func() (listed, avoided int)

	mu    sync.Mutex // of those who change kinds
	kinds atomic.Pointer[map[string]*ClassCounters]
}

// SetClasses has the classes of the settings in force told of, from 0 on. Those that are
// dropped go on being told of, as long as there is room.
func (f *Set) SetClasses(classes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]*ClassCounters)
	if old := f.kinds.Load(); old != nil {
		maps.Copy(all, *old)
	}
	for _, name := range classes {
		if all[name] == nil {
			all[name] = &ClassCounters{}
		}
	}
	if len(all) > kindsMost {
		maps.DeleteFunc(all, func(name string, _ *ClassCounters) bool { return !slices.Contains(classes, name) })
	}
	f.kinds.Store(&all)
}

// Class returns the counters of a class; nil if the settings have never named it.
func (f *Set) Class(class string) *ClassCounters {
	if all := f.kinds.Load(); all != nil {
		return (*all)[class]
	}
	return nil
}

const prefix = "edge_proxy_"

// quote is a class as the value of a label.
var quote = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// WriteTo writes all figures, a line each.
func (f *Set) WriteTo(w io.Writer) (int64, error) {
	var b bytes.Buffer
	all := map[string]*ClassCounters{}
	if p := f.kinds.Load(); p != nil {
		all = *p
	}
	names := slices.Sorted(maps.Keys(all))
	for outcome, figure := range outcomeNames {
		for _, name := range names {
			fmt.Fprintf(&b, "%s%s{kind=\"%s\"} %d\n", prefix, figure, quote.Replace(name), all[name][outcome].Load())
		}
	}
	listed, avoided := 0, 0
	if f.EndpointCounts != nil {
		listed, avoided = f.EndpointCounts()
	}
	for _, figure := range []struct {
		name  string
		value int64
	}{
		{"tries_total", f.Attempts.Load()},
		{"active", f.ActiveRequests.Load()},
		{"pool_size", int64(listed)},
		{"pool_ejected", int64(avoided)},
		{"config_applied_total", f.ReloadsApplied.Load()},
		{"config_rejected_total", f.ReloadsRejected.Load()},
	} {
		fmt.Fprintf(&b, "%s%s %d\n", prefix, figure.name, figure.value)
	}
	return b.WriteTo(w)
}
