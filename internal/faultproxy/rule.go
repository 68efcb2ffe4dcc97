package faultproxy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Direction is a direction of a connection.
type Direction uint8

// The directions of a connection.
const (
	Up   Direction = iota // from the client to the target
	Down                  // from the target to the client
	Both                  // both directions
)

// Directions holds the names of the directions, indexed by Direction.
var Directions = [...]string{"up", "down", "both"}

// String returns the direction's name.
func (d Direction) String() string { return Directions[d] }

// TriggerKind is the kind of a trigger.
type TriggerKind string

// The kinds of trigger.
const (
	FromStart      TriggerKind = "start"           // when the connection opens
	AtTime         TriggerKind = "at"              // at a time of the script's clock
	AfterBytes     TriggerKind = "after-bytes"     // after the first Count bytes
	AtLine         TriggerKind = "at-line"         // at the start of the nth line
	AtFrame        TriggerKind = "at-frame"        // at the start of the nth AMQP frame
	AtPerformative TriggerKind = "at-performative" // at the start of the nth AMQP frame with a performative
	OnCommand      TriggerKind = "on-command"      // on a trigger command
	Chance         TriggerKind = "chance"          // with a probability at each line or frame
)

// Trigger says when a rule starts. Which fields are used depends on Kind.
type Trigger struct {
	Kind        TriggerKind
	Count       uint64        // of bytes, or the number of the line or frame, from 1
	At          time.Duration // on the script's clock
	Probability float64       // of Chance, from 0 to 1
	Code        byte          // of AtPerformative: descriptor code of the performative
}

// FaultKind is the kind of a fault.
type FaultKind string

// Faults of bytes, in the order in which they are applied, then those of connections,
// then those of a route's listener.
const (
	Swallow   FaultKind = "swallow"    // bytes are read and discarded
	Garble    FaultKind = "garble"     // Mode: flip, insert, drop or duplicate N bytes, once
	Stall     FaultKind = "stall"      // reads stop, so that the sender's TCP window closes
	Pause     FaultKind = "pause"      // bytes are held back until the rule ends
	Merge     FaultKind = "merge"      // two lines or frames are sent in one packet
	Split     FaultKind = "split"      // packets have at most N bytes
	Latency   FaultKind = "latency"    // bytes are delayed by D, with Jitter of distribution Mode
	Bandwidth FaultKind = "bandwidth"  // at most N bytes per second pass
	Drip      FaultKind = "drip"       // N bytes pass every D
	HalfClose FaultKind = "half-close" // this direction is closed, the other stays open
	Cut       FaultKind = "cut"        // both directions are closed; Mode: rst or fin
	Refuse    FaultKind = "refuse"     // connections are refused
	Mute      FaultKind = "mute"       // connections are accepted and never answered
	QueueFull FaultKind = "queue-full" // the accept queue is full: connection attempts time out
	Vanish    FaultKind = "vanish"     // nothing passes and connecting times out; at the end, connections are reset
)

// byteKinds are the kinds of byte and connection faults; the others are listener faults.
var byteKinds = []FaultKind{Swallow, Garble, Stall, Pause, Merge, Split, Latency, Bandwidth, Drip, HalfClose, Cut}

// ofListener reports whether a fault applies to a route's listener.
func (k FaultKind) ofListener() bool { return !slices.Contains(byteKinds, k) }

// Fault is a fault of the bytes of a connection, of the connection or of a listener. Which
// fields are used depends on Kind.
type Fault struct {
	Kind   FaultKind
	Mode   string
	Count  uint64
	Delay  time.Duration
	Jitter time.Duration
}

// Rule says which faults are injected into which connections, when and for how long.
type Rule struct {
	Name      string
	Routes    []string // empty: all
	Direction Direction
	Conns     []uint64 // numbers of connections on their route, from 1; empty: all
	Every     uint64   // only connections with a number divisible by this; 0: all
	First     string   // prefix of the client's first bytes; empty: any
	Fraction  float64  // of the connections, picked at random by the seed; 1: all
	Trigger   Trigger
	For       time.Duration // 0: until the connection ends or, for a listener fault, the rule is cleared
	Faults    []Fault
}

// performatives maps names to descriptor codes (AMQP 1.0, part 2, section 2.7; part 5, section 5.3).
var performatives = map[string]byte{
	"open": 0x10, "begin": 0x11, "attach": 0x12, "flow": 0x13, "transfer": 0x14, "disposition": 0x15,
	"detach": 0x16, "end": 0x17, "close": 0x18, "sasl-mechanisms": 0x40, "sasl-init": 0x41, "sasl-outcome": 0x44,
}

// String formats the rule in the syntax of ParseRules.
func (r *Rule) String() string {
	var builder strings.Builder
	fmt.Fprintf(&builder, "(rule %s", r.Name)
	r.writeConditions(&builder)
	r.Trigger.write(&builder)
	if r.For > 0 {
		fmt.Fprintf(&builder, " (for %v)", r.For)
	}
	for _, fault := range r.Faults {
		fault.write(&builder)
	}
	builder.WriteString(")")
	return builder.String()
}

// writeConditions writes the forms that select connections.
func (r *Rule) writeConditions(builder *strings.Builder) {
	if len(r.Routes) > 0 {
		fmt.Fprintf(builder, " (route %s)", strings.Join(r.Routes, " "))
	}
	if r.Direction != Both {
		fmt.Fprintf(builder, " (direction %s)", r.Direction)
	}
	if len(r.Conns) > 0 {
		builder.WriteString(" (conn")
		for _, number := range r.Conns {
			fmt.Fprintf(builder, " %d", number)
		}
		builder.WriteString(")")
	}
	if r.Every > 0 {
		fmt.Fprintf(builder, " (every %d)", r.Every)
	}
	if r.First != "" {
		fmt.Fprintf(builder, " (first %q)", r.First)
	}
	if r.Fraction < 1 {
		fmt.Fprintf(builder, " (fraction %v)", 100*r.Fraction)
	}
}

func (t Trigger) write(builder *strings.Builder) {
	switch t.Kind {
	case FromStart:
	case AtTime:
		fmt.Fprintf(builder, " (at %v)", t.At)
	case AfterBytes, AtLine, AtFrame:
		fmt.Fprintf(builder, " (%s %d)", t.Kind, t.Count)
	case AtPerformative:
		for name, code := range performatives {
			if code == t.Code {
				fmt.Fprintf(builder, " (at-performative %s %d)", name, t.Count)
			}
		}
	case OnCommand:
		builder.WriteString(" (on-command)")
	case Chance:
		fmt.Fprintf(builder, " (chance %v)", 100*t.Probability)
	}
}

func (f Fault) write(builder *strings.Builder) {
	builder.WriteString(" (" + string(f.Kind))
	if f.Kind != Latency && f.Mode != "" {
		builder.WriteString(" " + f.Mode)
	}
	if f.Count > 0 {
		fmt.Fprintf(builder, " %d", f.Count)
	}
	if f.Kind == Latency || f.Kind == Drip {
		fmt.Fprintf(builder, " %v", f.Delay)
	}
	if f.Jitter > 0 {
		fmt.Fprintf(builder, " %v %s", f.Jitter, f.Mode)
	}
	builder.WriteString(")")
}

// isForRoute reports whether the rule applies to a route.
func (r *Rule) isForRoute(name string) bool {
	return len(r.Routes) == 0 || slices.Contains(r.Routes, name)
}
