// Package faultproxy sits between sockets and spoils what passes, as a script has it: it
// delays, cuts, half-closes, garbles, splits, swallows, stalls, refuses and vanishes, on
// command or by trigger. Equal seeds, scripts and bytes bring equal faults.
//
// A Flow decides what becomes of the bytes of one direction of one connection; it does
// no I/O and is given the time. A Proxy carries that out between sockets.
//
// Who embeds a Proxy (1) opens its routes before the parties connect, (2) starts the
// script's clock with the first, and (3) closes it, which ends all connections.
package faultproxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lockroad/internal/sexp"
)

// Direction of bytes: Up is from who connects to who is connected to.
type Direction uint8

// The directions of a connection.
const (
	Up   Direction = iota // to the side that was connected to
	Down                  // to the side that connected
	Both                  // each of the two
)

// Directions are their names, in the order of their numbers.
var Directions = [...]string{"up", "down", "both"}

// String is the direction's name.
func (d Direction) String() string { return Directions[d] }

// TriggerKind is what sets a rule off.
type TriggerKind string

// The kinds of trigger.
const (
	FromStart      TriggerKind = "start"           // when the connection begins
	AtTime         TriggerKind = "at"              // at a time of the script's clock
	AfterBytes     TriggerKind = "after-bytes"     // once so many bytes have passed
	AtLine         TriggerKind = "at-line"         // where the nth line begins
	AtFrame        TriggerKind = "at-frame"        // where the nth AMQP frame begins
	AtPerformative TriggerKind = "at-performative" // where the nth frame of that performative begins
	OnCommand      TriggerKind = "on-command"      // when it is told to
	Chance         TriggerKind = "chance"          // at each line or frame, with a probability
)

// Trigger is when a rule is set off.
type Trigger struct {
	Kind        TriggerKind
	Count       uint64        // bytes, line, frame, or which of its kind
	At          time.Duration // since the script's start
	Probability float64       // of Chance
	Code        byte          // of AtPerformance
}

// Kind is what a fault does.
type Kind string

// Faults of bytes, in the order in which they are applied, then those of connections,
// then those of a route's door.
const (
	Swallow   Kind = "swallow"    // bytes are read and lost
	Garble    Kind = "garble"     // Mode: flip, insert, drop or duplicate N bytes, once
	Stall     Kind = "stall"      // reads stop, so that the sender's window fills
	Pause     Kind = "pause"      // bytes are held, and come in one burst at the end
	Merge     Kind = "merge"      // a line or frame waits for the next, and both come in one packet
	Split     Kind = "split"      // packets of N bytes at the most
	Latency   Kind = "latency"    // D, with jitter of Jitter by Mode: uniform, normal or exponential
	Bandwidth Kind = "bandwidth"  // N bytes a second
	Drip      Kind = "drip"       // N bytes every D
	HalfClose Kind = "half-close" // this direction ends, the other goes on
	Cut       Kind = "cut"        // Mode: rst or fin; both directions end
	Refuse    Kind = "refuse"     // the door is shut: connections are refused
	Mute      Kind = "mute"       // connections are accepted, and nothing follows
	QueueFull Kind = "queue-full" // the door's queue is full: connections never come up
	Vanish    Kind = "vanish"     // all is silent and new connections never come up; then all are reset
)

// byteKinds are the faults of bytes and connections; the rest are a door's.
var byteKinds = []Kind{Swallow, Garble, Stall, Pause, Merge, Split, Latency, Bandwidth, Drip, HalfClose, Cut}

// ofListener tells whether a fault is of a route's door.
func (k Kind) ofListener() bool { return !slices.Contains(byteKinds, k) }

// Fault is something that is done to bytes, to a connection or to a door.
type Fault struct {
	Kind   Kind
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
	First     string   // what the connecting side says first begins with this; empty: whatever
	Fraction  float64  // part of the connections, by the seed; 1: all
	Trigger   Trigger
	For       time.Duration // 0: to the connection's end, or of a door until it is cleared
	Faults    []Fault
}

// performatives by their names in the standard (part 2, section 2.7).
var performatives = map[string]byte{
	"open": 0x10, "begin": 0x11, "attach": 0x12, "flow": 0x13, "transfer": 0x14, "disposition": 0x15,
	"detach": 0x16, "end": 0x17, "close": 0x18, "sasl-mechanisms": 0x40, "sasl-init": 0x41, "sasl-outcome": 0x44,
}

// ParseRules reads a script: (rule NAME FORM ...), any number of them. An error is a
// *sexp.Error, which names line and column.
func ParseRules(source string) ([]*Rule, error) {
	nodes, err := sexp.Parse(source)
	if err != nil {
		return nil, err
	}
	var rules []*Rule
	for _, n := range nodes {
		r, err := parseRule(n)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(rules, func(o *Rule) bool { return o.Name == r.Name }) {
			return nil, n.Errorf("there are two rules called %q", r.Name)
		}
		rules = append(rules, r)
	}
	return rules, nil
}

func parseRule(n *sexp.Node) (*Rule, error) {
	head, args, err := n.Head()
	if err != nil {
		return nil, err
	}
	if head != "rule" || len(args) < 2 {
		return nil, n.Errorf("expected (rule NAME FORM ...)")
	}
	r := &Rule{Direction: Both, Fraction: 1, Trigger: Trigger{Kind: FromStart}}
	if r.Name, err = args[0].Value(); err != nil {
		return nil, err
	}
	p := ruleParser{rule: r}
	for _, a := range args[1:] {
		if err := p.parseForm(a); err != nil {
			return nil, err
		}
	}
	if len(r.Faults) == 0 {
		return nil, n.Errorf("rule %q does nothing; it wants a fault such as (cut rst)", r.Name)
	}
	for _, f := range r.Faults {
		if k := r.Trigger.Kind; f.Kind.ofListener() && k != FromStart && k != AtTime && k != OnCommand {
			return nil, n.Errorf("%s is of a route's door: it goes with at, on-command or no trigger", f.Kind)
		}
		if f.Kind == Vanish && r.For == 0 || f.Kind == Pause && r.For == 0 {
			return nil, n.Errorf("%s wants a (for TIME)", f.Kind)
		}
	}
	return r, nil
}

type ruleParser struct {
	rule      *Rule
	triggered bool
}

// faultForms are the arguments of faults: words of Mode, then what follows.
var faultForms = map[Kind]struct {
	modes []string
	args  string
}{
	Swallow: {}, Stall: {}, Pause: {}, Merge: {}, HalfClose: {}, Refuse: {}, Mute: {}, QueueFull: {}, Vanish: {},
	Garble: {[]string{"flip", "insert", "drop", "duplicate"}, "N"}, Split: {nil, "N"}, Bandwidth: {nil, "N"},
	Latency: {nil, "D"}, Drip: {nil, "N D"}, Cut: {[]string{"rst", "fin"}, ""},
}

// Help lists the forms of a rule.
func Help() string {
	return `(rule NAME FORM ...) where a FORM is one of
where:  (route NAME ...) (direction up|down|both) (conn N ...) (every N) (first "BYTES") (fraction PERCENT)
when:   (at TIME) (after-bytes N) (at-line N) (at-frame N) (at-performative NAME [N]) (on-command) (chance PERCENT)
long:   (for TIME)
bytes:  (swallow) (garble flip|insert|drop|duplicate N) (stall) (pause) (merge) (split N)
        (latency TIME [JITTER [uniform|normal|exponential]]) (bandwidth BYTES-A-SECOND) (drip N TIME)
ends:   (half-close) (cut rst|fin)
doors:  (refuse) (mute) (queue-full) (vanish)
Without a when, a rule holds from the start; without a long, to the connection's end.
`
}

func (p *ruleParser) parseForm(n *sexp.Node) error {
	head, args, err := n.Head()
	if err != nil {
		return err
	}
	r := p.rule
	trigger := func(t Trigger) error {
		if p.triggered {
			return n.Errorf("rule %q has a trigger already", r.Name)
		}
		p.triggered = true
		r.Trigger = t
		return nil
	}
	switch head {
	case "route":
		r.Routes, err = n.Values()
		return err
	case "direction":
		v, err := oneValue(n, args)
		if err != nil {
			return err
		}
		i := slices.Index(Directions[:], v)
		if i < 0 {
			return args[0].Errorf("%q is no direction; expected up, down or both", v)
		}
		r.Direction = Direction(i)
		return nil
	case "conn":
		if len(args) == 0 {
			return n.Errorf("conn wants a number")
		}
		for _, a := range args {
			v, err := positiveNumber(a)
			if err != nil {
				return err
			}
			r.Conns = append(r.Conns, v)
		}
		return nil
	case "every":
		r.Every, err = oneNumber(n, args)
		return err
	case "first":
		r.First, err = oneValue(n, args)
		return err
	case "fraction":
		r.Fraction, err = onePercentage(n, args)
		return err
	case "for":
		r.For, err = oneDuration(n, args)
		return err
	case "at":
		d, err := oneDuration(n, args)
		if err != nil {
			return err
		}
		return trigger(Trigger{Kind: AtTime, At: d})
	case "after-bytes", "at-line", "at-frame":
		v, err := oneNumber(n, args)
		if err != nil {
			return err
		}
		return trigger(Trigger{Kind: TriggerKind(head), Count: v})
	case "at-performative":
		if len(args) < 1 || len(args) > 2 {
			return n.Errorf("at-performative wants a name, and may have a number")
		}
		name, err := args[0].Value()
		if err != nil {
			return err
		}
		code, ok := performatives[name]
		if !ok {
			return args[0].Errorf("the standard has no performative %q", name)
		}
		t := Trigger{Kind: AtPerformative, Code: code, Count: 1}
		if len(args) == 2 {
			if t.Count, err = positiveNumber(args[1]); err != nil {
				return err
			}
		}
		return trigger(t)
	case "on-command":
		if len(args) != 0 {
			return args[0].Errorf("on-command takes no value")
		}
		return trigger(Trigger{Kind: OnCommand})
	case "chance":
		part, err := onePercentage(n, args)
		if err != nil {
			return err
		}
		return trigger(Trigger{Kind: Chance, Probability: part})
	}
	return p.parseFault(n, Kind(head), args)
}

func (p *ruleParser) parseFault(n *sexp.Node, kind Kind, args []*sexp.Node) (err error) {
	form, ok := faultForms[kind]
	if !ok {
		return n.List.Items[0].Errorf("there is no form %q; faultproxy forms lists those there are", kind)
	}
	f := Fault{Kind: kind}
	if form.modes != nil {
		if len(args) == 0 {
			return n.Errorf("%s wants one of %s", kind, strings.Join(form.modes, ", "))
		}
		if f.Mode, err = args[0].Value(); err != nil {
			return err
		}
		if !slices.Contains(form.modes, f.Mode) {
			return args[0].Errorf("%s is never %q; expected one of %s", kind, f.Mode, strings.Join(form.modes, ", "))
		}
		args = args[1:]
	}
	want := strings.Fields(form.args)
	if kind == Latency && len(args) > 1 { // jitter and its distribution may follow
		if f.Jitter, err = args[1].Duration(); err != nil {
			return err
		}
		f.Mode = "uniform"
		if len(args) == 3 {
			if f.Mode, err = args[2].Value(); err != nil {
				return err
			}
			if !slices.Contains([]string{"uniform", "normal", "exponential"}, f.Mode) {
				return args[2].Errorf("%q is no distribution; expected uniform, normal or exponential", f.Mode)
			}
			args = args[:2]
		}
		args = args[:1]
	}
	if len(args) != len(want) {
		return n.Errorf("%s wants %d values here, and has %d", kind, len(want), len(args))
	}
	for i, w := range want {
		if w == "N" {
			f.Count, err = positiveNumber(args[i])
		} else {
			f.Delay, err = args[i].Duration()
		}
		if err != nil {
			return err
		}
	}
	p.rule.Faults = append(p.rule.Faults, f)
	return nil
}

func oneValue(n *sexp.Node, args []*sexp.Node) (string, error) {
	if len(args) != 1 {
		return "", n.Errorf("%s wants one value, and has %d", n.List.Items[0], len(args))
	}
	return args[0].Value()
}

func positiveNumber(n *sexp.Node) (uint64, error) {
	v, err := n.Whole()
	if err == nil && v == 0 {
		err = n.Errorf("0 is too little; expected 1 or more")
	}
	return v, err
}

func oneNumber(n *sexp.Node, args []*sexp.Node) (uint64, error) {
	if _, err := oneValue(n, args); err != nil {
		return 0, err
	}
	return positiveNumber(args[0])
}

func oneDuration(n *sexp.Node, args []*sexp.Node) (time.Duration, error) {
	if _, err := oneValue(n, args); err != nil {
		return 0, err
	}
	return args[0].Duration()
}

func onePercentage(n *sexp.Node, args []*sexp.Node) (float64, error) {
	word, err := oneValue(n, args)
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || !(v >= 0 && v <= 100) {
		return 0, args[0].Errorf("%q is no part of 100", word)
	}
	return v / 100, nil
}

// String writes a rule as it can be read again.
func (r *Rule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "(rule %s", r.Name)
	if len(r.Routes) > 0 {
		fmt.Fprintf(&b, " (route %s)", strings.Join(r.Routes, " "))
	}
	if r.Direction != Both {
		fmt.Fprintf(&b, " (direction %s)", r.Direction)
	}
	if len(r.Conns) > 0 {
		b.WriteString(" (conn")
		for _, n := range r.Conns {
			fmt.Fprintf(&b, " %d", n)
		}
		b.WriteString(")")
	}
	if r.Every > 0 {
		fmt.Fprintf(&b, " (every %d)", r.Every)
	}
	if r.First != "" {
		fmt.Fprintf(&b, " (first %q)", r.First)
	}
	if r.Fraction < 1 {
		fmt.Fprintf(&b, " (fraction %v)", 100*r.Fraction)
	}
	switch t := r.Trigger; t.Kind {
	case FromStart:
	case AtTime:
		fmt.Fprintf(&b, " (at %v)", t.At)
	case AfterBytes, AtLine, AtFrame:
		fmt.Fprintf(&b, " (%s %d)", t.Kind, t.Count)
	case AtPerformative:
		for name, code := range performatives {
			if code == t.Code {
				fmt.Fprintf(&b, " (at-performative %s %d)", name, t.Count)
			}
		}
	case OnCommand:
		b.WriteString(" (on-command)")
	case Chance:
		fmt.Fprintf(&b, " (chance %v)", 100*t.Probability)
	}
	if r.For > 0 {
		fmt.Fprintf(&b, " (for %v)", r.For)
	}
	for _, f := range r.Faults {
		b.WriteString(" (" + string(f.Kind))
		if f.Kind != Latency && f.Mode != "" {
			b.WriteString(" " + f.Mode)
		}
		if f.Count > 0 {
			fmt.Fprintf(&b, " %d", f.Count)
		}
		if f.Kind == Latency || f.Kind == Drip {
			fmt.Fprintf(&b, " %v", f.Delay)
		}
		if f.Jitter > 0 {
			fmt.Fprintf(&b, " %v %s", f.Jitter, f.Mode)
		}
		b.WriteString(")")
	}
	b.WriteString(")")
	return b.String()
}
