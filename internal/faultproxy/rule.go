package faultproxy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Direction of bytes: Up is from who connects to who is connected to.
type Direction uint8

// The directions of a connection.
const (
	Up   Direction = iota // to the side that was connected to
	Down                  // to the side that connected
	Both                  // each of the two
)

// Directions are the names of directions, in the order of their values.
var Directions = [...]string{"up", "down", "both"}

// String returns the direction's name.
func (d Direction) String() string { return Directions[d] }

// TriggerKind is what triggers a rule.
type TriggerKind string

// The kinds of trigger.
const (
	FromStart      TriggerKind = "start"           // when the connection begins
	AtTime         TriggerKind = "at"              // at a time of the script's clock
	AfterBytes     TriggerKind = "after-bytes"     // once so many bytes have passed
	AtLine         TriggerKind = "at-line"         // where the nth line begins
	AtFrame        TriggerKind = "at-frame"        // where the nth AMQP frame begins
	AtPerformative TriggerKind = "at-performative" // where the nth frame of that performative begins
	OnCommand      TriggerKind = "on-command"      // when a command says so
	Chance         TriggerKind = "chance"          // at each line or frame, with a probability
)

// Trigger is when a rule begins.
type Trigger struct {
	Kind        TriggerKind
	Count       uint64        // bytes, line, frame, or which of its kind
	At          time.Duration // since the script's start
	Probability float64       // of Chance
	Code        byte          // of AtPerformance
}

// FaultKind is what a fault does.
type FaultKind string

// Faults of bytes, in the order in which they are applied, then those of connections,
// then those of a route's listener.
const (
	Swallow   FaultKind = "swallow"    // bytes are read and lost
	Garble    FaultKind = "garble"     // Mode: flip, insert, drop or duplicate N bytes, once
	Stall     FaultKind = "stall"      // reads stop, so that the sender's window fills
	Pause     FaultKind = "pause"      // bytes are held, and come in one burst at the end
	Merge     FaultKind = "merge"      // a line or frame waits for the next, and both come in one packet
	Split     FaultKind = "split"      // packets of N bytes at the most
	Latency   FaultKind = "latency"    // D, with jitter of Jitter by Mode: uniform, normal or exponential
	Bandwidth FaultKind = "bandwidth"  // N bytes a second
	Drip      FaultKind = "drip"       // N bytes every D
	HalfClose FaultKind = "half-close" // this direction ends, the other goes on
	Cut       FaultKind = "cut"        // Mode: rst or fin; both directions end
	Refuse    FaultKind = "refuse"     // connections are refused
	Mute      FaultKind = "mute"       // connections are accepted, and nothing follows
	QueueFull FaultKind = "queue-full" // the listener's queue is full: connections are never established
	Vanish    FaultKind = "vanish"     // all is silent and new connections are never established; then all are reset
)

// byteKinds are the faults of bytes and connections; the rest are a listener's.
var byteKinds = []FaultKind{Swallow, Garble, Stall, Pause, Merge, Split, Latency, Bandwidth, Drip, HalfClose, Cut}

// ofListener reports whether a fault is of a route's listener.
func (k FaultKind) ofListener() bool { return !slices.Contains(byteKinds, k) }

// Fault is something that is done to bytes, to a connection or to a listener. Which fields
// are used depends on Kind.
type Fault struct {
	Kind   FaultKind
	Mode   string
	Count  uint64
	Delay  time.Duration
	Jitter time.Duration
}

// Rule says when, where and for how long which faults are done.
type Rule struct {
	Name      string
	Routes    []string // empty: all
	Direction Direction
	Conns     []uint64 // numbers of connections on their route, from 1; empty: all
	Every     uint64   // or each nth; 0: all
	First     string   // what the connecting side sends first begins with this; empty: anything
	Fraction  float64  // share of the connections, chosen by the seed; 1: all
	Trigger   Trigger
	For       time.Duration // 0: to the connection's end, or of a listener until it is cleared
	Faults    []Fault
}

// performatives by their names in the standard (part 2, section 2.7).
var performatives = map[string]byte{
	"open": 0x10, "begin": 0x11, "attach": 0x12, "flow": 0x13, "transfer": 0x14, "disposition": 0x15,
	"detach": 0x16, "end": 0x17, "close": 0x18, "sasl-mechanisms": 0x40, "sasl-init": 0x41, "sasl-outcome": 0x44,
}

// String writes a rule as ParseRules reads it.
func (r *Rule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "(rule %s", r.Name)
	r.writeConditions(&b)
	r.Trigger.write(&b)
	if r.For > 0 {
		fmt.Fprintf(&b, " (for %v)", r.For)
	}
	for _, fault := range r.Faults {
		fault.write(&b)
	}
	b.WriteString(")")
	return b.String()
}

// writeConditions writes which connections a rule is about.
func (r *Rule) writeConditions(b *strings.Builder) {
	if len(r.Routes) > 0 {
		fmt.Fprintf(b, " (route %s)", strings.Join(r.Routes, " "))
	}
	if r.Direction != Both {
		fmt.Fprintf(b, " (direction %s)", r.Direction)
	}
	if len(r.Conns) > 0 {
		b.WriteString(" (conn")
		for _, number := range r.Conns {
			fmt.Fprintf(b, " %d", number)
		}
		b.WriteString(")")
	}
	if r.Every > 0 {
		fmt.Fprintf(b, " (every %d)", r.Every)
	}
	if r.First != "" {
		fmt.Fprintf(b, " (first %q)", r.First)
	}
	if r.Fraction < 1 {
		fmt.Fprintf(b, " (fraction %v)", 100*r.Fraction)
	}
}

func (t Trigger) write(b *strings.Builder) {
	switch t.Kind {
	case FromStart:
	case AtTime:
		fmt.Fprintf(b, " (at %v)", t.At)
	case AfterBytes, AtLine, AtFrame:
		fmt.Fprintf(b, " (%s %d)", t.Kind, t.Count)
	case AtPerformative:
		for name, code := range performatives {
			if code == t.Code {
				fmt.Fprintf(b, " (at-performative %s %d)", name, t.Count)
			}
		}
	case OnCommand:
		b.WriteString(" (on-command)")
	case Chance:
		fmt.Fprintf(b, " (chance %v)", 100*t.Probability)
	}
}

func (f Fault) write(b *strings.Builder) {
	b.WriteString(" (" + string(f.Kind))
	if f.Kind != Latency && f.Mode != "" {
		b.WriteString(" " + f.Mode)
	}
	if f.Count > 0 {
		fmt.Fprintf(b, " %d", f.Count)
	}
	if f.Kind == Latency || f.Kind == Drip {
		fmt.Fprintf(b, " %v", f.Delay)
	}
	if f.Jitter > 0 {
		fmt.Fprintf(b, " %v %s", f.Jitter, f.Mode)
	}
	b.WriteString(")")
}

// isForRoute reports whether a rule is about a route.
func (r *Rule) isForRoute(name string) bool {
	return len(r.Routes) == 0 || slices.Contains(r.Routes, name)
}
