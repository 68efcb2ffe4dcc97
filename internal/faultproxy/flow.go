package faultproxy

import (
	"bytes"
	"math"
	"slices"
	"time"
)

// Location identifies one direction of one connection.
type Location struct {
	Route     string
	Conn      uint64 // number of the connection on its route, from 1
	Direction Direction
}

// OpKind is the kind of an operation.
type OpKind uint8

// The kinds of operation.
const (
	OpWrite     OpKind = iota // write Data in a packet of its own
	OpHalfClose               // close this direction and discard further input
	OpFIN                     // close the connection
	OpRST                     // reset the connection
	opLast                    // the reader has ended: no operation follows
)

// Op is one operation on a direction. Operations are performed in order, and none after one
// that closes or resets.
type Op struct {
	Kind OpKind
	At   time.Duration // earliest time, on the script's clock
	Data []byte
}

// Injection describes a fault that was injected.
type Injection struct {
	Rule string
	Kind FaultKind
	Location
	Offset uint64        // bytes received in this direction before the fault
	At     time.Duration // on the script's clock
}

// Flow applies rules to the bytes of one direction. It does no I/O, has no clock and is not
// safe for concurrent use. Equal rules, seeds, bytes and times give equal operations.
type Flow struct {
	location   Location
	seed       uint64
	rules      []*activeRule
	notify     func(Injection)
	offset     uint64        // bytes received
	lastAt     time.Duration // time of the last operation: keeps operations in order
	rateFreeAt time.Duration // when the bandwidth limit allows the next write
	ended      bool
	sent       bool // some bytes have been forwarded

	scanner     scanner
	merged      []byte // held back by a merge fault
	mergedSince time.Duration
}

// activeRule is a rule and its state in one direction of a connection.
type activeRule struct {
	*Rule
	salt          uint64 // seeds its random numbers
	active        bool
	triggered     bool          // at least once; only Chance triggers a rule repeatedly
	until         time.Duration // 0: without end
	reported      bool          // an injection was reported since the last trigger
	performatives uint64        // frames seen of the trigger's performative
	garbleLeft    uint64        // bytes still to be garbled
}

const (
	mergeTimeout  = 40 * time.Millisecond // longest time that a line or frame is held for the next
	splitInterval = time.Millisecond      // between writes, so that TCP does not merge them
	maxPacket     = 16 << 10              // bytes in one operation
)

// matches reports whether the rule applies to a connection; first holds the bytes that its
// client has sent so far.
func (r *Rule) matches(location Location, seed uint64, first []byte) bool {
	switch {
	case len(r.Routes) > 0 && !slices.Contains(r.Routes, location.Route),
		len(r.Conns) > 0 && !slices.Contains(r.Conns, location.Conn),
		r.Every > 0 && location.Conn%r.Every != 0,
		r.First != "" && !bytes.HasPrefix(first, []byte(r.First)):
		return false
	}
	return r.Fraction >= 1 || uniform(seed, hashText(r.Name), hashText(location.Route), location.Conn) < r.Fraction
}

// NewFlow returns the flow of a direction, with those of the rules that apply to it. first
// holds the client's first bytes; notify, which may be nil, is called for each injected fault.
func NewFlow(location Location, rules []*Rule, seed uint64, first []byte, notify func(Injection)) *Flow {
	flow := &Flow{location: location, seed: seed, notify: notify}
	for _, r := range rules {
		flow.Add(r, first)
	}
	return flow
}

// Add adds a rule if it applies to this direction; first holds the client's first bytes.
func (f *Flow) Add(added *Rule, first []byte) {
	if added.Direction != Both && added.Direction != f.location.Direction || !added.matches(f.location, f.seed, first) || added.Faults[0].Kind.ofListener() {
		return
	}
	salt := hash(f.seed, hashText(added.Name), hashText(f.location.Route), f.location.Conn, uint64(f.location.Direction))
	f.rules = append(f.rules, &activeRule{Rule: added, salt: salt})
	byFrames := added.Trigger.Kind == AtFrame || added.Trigger.Kind == AtPerformative
	f.scanner.wantsFrames = f.scanner.wantsFrames || byFrames
}

// Idle reports whether the flow has no rules.
func (f *Flow) Idle() bool { return len(f.rules) == 0 }

// Trigger triggers the on-command rule of a name. It reports whether there is one.
func (f *Flow) Trigger(name string, now time.Duration) ([]Op, bool) {
	for _, rule := range f.rules {
		if rule.Name == name && rule.Trigger.Kind == OnCommand {
			return f.activate(rule, now, nil), true
		}
	}
	return nil, false
}

// Clear removes the rules of a name, or all rules if name is empty.
func (f *Flow) Clear(name string) {
	f.rules = slices.DeleteFunc(f.rules, func(rule *activeRule) bool { return name == "" || rule.Name == name })
}

// NextDue returns the next time at which Due has to be called. It returns false if there is
// none.
func (f *Flow) NextDue(now time.Duration) (time.Duration, bool) {
	next, found := time.Duration(math.MaxInt64), false
	consider := func(at time.Duration) {
		if at > now {
			next, found = min(next, at), true
		}
	}
	for _, rule := range f.rules {
		switch {
		case rule.Trigger.Kind == AtTime && !rule.triggered:
			consider(max(rule.Trigger.At, now+1))
		case rule.active && rule.until > 0:
			consider(rule.until)
		}
	}
	if len(f.merged) > 0 {
		consider(max(now+1, f.mergedSince+mergeTimeout))
	}
	return next, found
}

// Due returns the operations that are due by now without further input.
func (f *Flow) Due(now time.Duration) []Op {
	operations := f.advance(now, nil)
	if len(f.merged) > 0 && now >= f.mergedSince+mergeTimeout {
		operations = f.flush(operations, now)
	}
	return operations
}

// advance triggers the rules that are due at now or from the start, and ends expired ones.
func (f *Flow) advance(now time.Duration, operations []Op) []Op {
	for _, rule := range f.rules {
		if rule.active && rule.until > 0 && now >= rule.until {
			rule.active = false
		}
		if !rule.triggered && (rule.Trigger.Kind == FromStart || rule.Trigger.Kind == AtTime && now >= rule.Trigger.At) {
			operations = f.activate(rule, now, operations)
		}
	}
	return operations
}

// activate starts a rule's faults in this direction.
func (f *Flow) activate(rule *activeRule, now time.Duration, operations []Op) []Op {
	if rule.Trigger.Kind == AtTime && rule.For > 0 && now >= rule.Trigger.At+rule.For {
		rule.triggered = true // it expired before this connection was opened
		return operations
	}
	rule.triggered, rule.active, rule.reported = true, true, false
	if rule.For > 0 {
		rule.until = now + rule.For
		if rule.Trigger.Kind == AtTime {
			rule.until = rule.Trigger.At + rule.For
		}
	}
	for _, fault := range rule.Faults {
		switch fault.Kind {
		case HalfClose, Cut:
			operations = f.end(rule, fault, now, operations)
		case Garble:
			operations = f.startGarbling(rule, fault, now, operations)
		}
	}
	return operations
}

// end appends the operation of a half-close or cut fault, after the held-back bytes.
func (f *Flow) end(rule *activeRule, fault Fault, now time.Duration, operations []Op) []Op {
	f.report(rule, fault.Kind, now)
	operations = f.flush(operations, now)
	kind := OpHalfClose
	switch {
	case fault.Kind == Cut && fault.Mode == "rst":
		kind = OpRST
	case fault.Kind == Cut:
		kind = OpFIN
	}
	f.ended = true
	return append(operations, Op{Kind: kind, At: max(now, f.lastAt)})
}

// startGarbling inserts random bytes, or sets how many of the next bytes are garbled.
func (f *Flow) startGarbling(rule *activeRule, fault Fault, now time.Duration, operations []Op) []Op {
	f.report(rule, fault.Kind, now)
	if fault.Mode != "insert" {
		rule.garbleLeft = fault.Count
		return operations
	}
	// The inserted bytes themselves are not garbled.
	rule.garbleLeft = 0
	data := make([]byte, min(fault.Count, maxPacket))
	for i := range data {
		data[i] = byte(hash(rule.salt, f.offset, uint64(i)))
	}
	return f.forward(data, now, operations)
}

// report calls notify with an injected fault.
func (f *Flow) report(rule *activeRule, kind FaultKind, now time.Duration) {
	if f.notify != nil {
		f.notify(Injection{Rule: rule.Name, Kind: kind, Location: f.location, Offset: f.offset, At: now})
	}
}

// Stalled reports whether reads must stop now, and until when; 0 is until the rule is cleared.
func (f *Flow) Stalled(now time.Duration) (stalled bool, until time.Duration) {
	for _, rule := range f.rules {
		if rule.active && (rule.until == 0 || now < rule.until) && slices.ContainsFunc(rule.Faults, func(fault Fault) bool { return fault.Kind == Stall }) {
			if !rule.reported {
				rule.reported = true
				f.report(rule, Stall, now)
			}
			stalled, until = true, max(until, rule.until)
			if rule.until == 0 {
				return true, 0
			}
		}
	}
	return stalled, until
}

// Feed processes received bytes and returns the operations in order. It does not retain data.
func (f *Flow) Feed(now time.Duration, data []byte) []Op {
	operations := f.advance(now, nil)
	if len(f.scanner.held) > 0 {
		data = append(f.scanner.held, data...)
		f.scanner.held = nil
	}
	for len(data) > 0 && !f.ended {
		n, pos, needMore := f.scanner.next(data, f.limit())
		if needMore {
			f.scanner.held = slices.Clone(data)
			break
		}
		if n > 0 {
			operations = f.forward(f.transform(data[:n], now), now, operations)
			f.offset += uint64(n)
			data = data[n:]
		}
		if f.ended {
			break
		}
		operations = f.triggerAt(pos, now, operations)
	}
	return operations
}

// End processes the end of the input and returns the operations that write held-back bytes.
func (f *Flow) End(now time.Duration) []Op {
	operations := f.flush(nil, now)
	if held := f.scanner.held; len(held) > 0 {
		f.scanner.held = nil
		operations = f.emit(held, now, operations)
	}
	return operations
}

// limit returns how many bytes may pass before the next after-bytes trigger.
func (f *Flow) limit() uint64 {
	limit := uint64(math.MaxUint64)
	for _, rule := range f.rules {
		if rule.Trigger.Kind == AfterBytes && !rule.triggered && rule.Trigger.Count > f.offset {
			limit = min(limit, rule.Trigger.Count-f.offset)
		}
	}
	return limit
}

// triggerAt triggers the rules whose trigger is at a position.
func (f *Flow) triggerAt(pos position, now time.Duration, operations []Op) []Op {
	for _, rule := range f.rules {
		if f.ended {
			break
		}
		if f.triggersAt(rule, pos) {
			operations = f.activate(rule, now, operations)
		}
	}
	if (pos.line || pos.frame) && len(f.merged) > 0 && f.mergeComplete(pos) {
		operations = f.flush(operations, now)
	}
	return operations
}

// triggersAt reports whether a position triggers a rule.
func (f *Flow) triggersAt(rule *activeRule, pos position) bool {
	trigger := rule.Trigger
	if trigger.Kind == Chance {
		return (pos.line || pos.frame) && uniform(rule.salt, pos.linesBefore, pos.framesBefore) < trigger.Probability
	}
	if rule.triggered {
		return false
	}
	switch trigger.Kind {
	case AfterBytes:
		return f.offset >= trigger.Count
	case AtLine:
		return pos.line && pos.linesBefore+1 == trigger.Count
	case AtFrame:
		return pos.frame && pos.framesBefore+1 == trigger.Count
	case AtPerformative:
		if !pos.frame || pos.code != trigger.Code {
			return false
		}
		rule.performatives++
		return rule.performatives == trigger.Count
	}
	return false
}

// mergeComplete reports whether two lines or frames are held back.
func (f *Flow) mergeComplete(pos position) bool {
	return bytes.Count(f.merged, []byte{'\n'}) >= 2 || pos.frame && pos.framesBefore%2 == 0
}
