package faultproxy

import (
	"bytes"
	"math"
	"slices"
	"time"
)

// Location names one direction of one connection.
type Location struct {
	Route     string
	Conn      uint64 // its number on its route, from 1
	Direction Direction
}

// OpKind is what an operation does.
type OpKind uint8

// The kinds of operation.
const (
	OpWrite     OpKind = iota // Data, in a packet of its own, no earlier than At
	OpHalfClose               // end this direction, and discard what still comes
	OpFIN                     // end the connection
	OpRST                     // reset the connection
	opLast                    // the reader has ended: nothing follows
)

// Op is one operation on a direction. Operations are performed in order, and none after an
// end.
type Op struct {
	Kind OpKind
	At   time.Duration // on the script's clock
	Data []byte
}

// Injection reports that a fault was injected.
type Injection struct {
	Rule string
	Kind FaultKind
	Location
	Offset uint64        // bytes that the direction had received before
	At     time.Duration // on the script's clock
}

// Flow decides what becomes of the bytes of one direction. It does no I/O and has no clock;
// one goroutine at a time may use it. Equal rules, seeds, bytes and times give equal
// operations.
type Flow struct {
	location   Location
	seed       uint64
	rules      []*activeRule
	notify     func(Injection)
	offset     uint64        // bytes received
	lastAt     time.Duration // At of the last operation: bytes never overtake each other
	rateFreeAt time.Duration // when the bandwidth lets the next bytes pass
	ended      bool
	sent       bool // something has been forwarded

	scanner     scanner
	merged      []byte // waits for the next line or frame
	mergedSince time.Duration
}

// activeRule is a rule with its state in a direction.
type activeRule struct {
	*Rule
	salt          uint64 // of its random numbers here
	active        bool
	triggered     bool          // at least once; only rules of Chance are again
	until         time.Duration // zero: without end
	reported      bool          // since it was triggered
	performatives uint64        // frames of its performative that have begun
	garbleLeft    uint64        // bytes that are still to be garbled
}

const (
	mergeTimeout  = 40 * time.Millisecond // that a line or frame waits for the next
	splitInterval = time.Millisecond      // between packets that must not be merged by the network
	maxPacket     = 16 << 10              // bytes of one operation
)

// matches reports whether a rule is about a connection; first is what its connecting side
// has sent so far.
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

// NewFlow returns the flow of a direction, with the rules that are about it. first is what
// the connecting side sends first; notify is called for each injected fault, and may be nil.
func NewFlow(location Location, rules []*Rule, seed uint64, first []byte, notify func(Injection)) *Flow {
	f := &Flow{location: location, seed: seed, notify: notify}
	for _, r := range rules {
		f.Add(r, first)
	}
	return f
}

// Add adds a rule, if it is about this direction.
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

// Trigger triggers a rule that waits for it. It reports whether there is one.
func (f *Flow) Trigger(name string, now time.Duration) ([]Op, bool) {
	for _, rule := range f.rules {
		if rule.Name == name && rule.Trigger.Kind == OnCommand {
			return f.activate(rule, now, nil), true
		}
	}
	return nil, false
}

// Clear ends a rule, or all of them where no name is given.
func (f *Flow) Clear(name string) {
	f.rules = slices.DeleteFunc(f.rules, func(rule *activeRule) bool { return name == "" || rule.Name == name })
}

// NextDue returns the next time at which something happens without a byte, when Due has to be
// called. It returns false where there is none.
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

// Due returns what is to be done by now without a byte.
func (f *Flow) Due(now time.Duration) []Op {
	operations := f.advance(now, nil)
	if len(f.merged) > 0 && now >= f.mergedSince+mergeTimeout {
		operations = f.flush(operations, now)
	}
	return operations
}

// advance triggers what is due by the clock or from the start, and ends what is over.
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

// activate begins a rule here.
func (f *Flow) activate(rule *activeRule, now time.Duration, operations []Op) []Op {
	if rule.Trigger.Kind == AtTime && rule.For > 0 && now >= rule.Trigger.At+rule.For {
		rule.triggered = true // it was over before this connection came
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

// end ends the direction, or the connection.
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

// startGarbling inserts bytes, or notes how many of those to come are garbled.
func (f *Flow) startGarbling(rule *activeRule, fault Fault, now time.Duration, operations []Op) []Op {
	f.report(rule, fault.Kind, now)
	if fault.Mode != "insert" {
		rule.garbleLeft = fault.Count
		return operations
	}
	// The inserted bytes are forwarded like any others, ungarbled.
	rule.garbleLeft = 0
	data := make([]byte, min(fault.Count, maxPacket))
	for i := range data {
		data[i] = byte(hash(rule.salt, f.offset, uint64(i)))
	}
	return f.forward(data, now, operations)
}

// report notifies of an injected fault.
func (f *Flow) report(rule *activeRule, kind FaultKind, now time.Duration) {
	if f.notify != nil {
		f.notify(Injection{Rule: rule.Name, Kind: kind, Location: f.location, Offset: f.offset, At: now})
	}
}

// Stalled reports whether reads are to stop now, and until when; zero is until a rule is
// cleared.
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

// Feed takes received bytes and returns what is to be done, in order. It keeps none of them.
func (f *Flow) Feed(now time.Duration, data []byte) []Op {
	operations := f.advance(now, nil)
	if len(f.scanner.held) > 0 {
		data = append(f.scanner.held, data...)
		f.scanner.held = nil
	}
	for len(data) > 0 && !f.ended {
		n, place, more := f.scanner.next(data, f.limit())
		if more {
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
		operations = f.reach(place, now, operations)
	}
	return operations
}

// End takes the end of the input, and returns what was held back.
func (f *Flow) End(now time.Duration) []Op {
	operations := f.flush(nil, now)
	if held := f.scanner.held; len(held) > 0 {
		f.scanner.held = nil
		operations = f.emit(held, now, operations)
	}
	return operations
}

// limit returns how many bytes may pass before the next trigger that counts them.
func (f *Flow) limit() uint64 {
	limit := uint64(math.MaxUint64)
	for _, rule := range f.rules {
		if rule.Trigger.Kind == AfterBytes && !rule.triggered && rule.Trigger.Count > f.offset {
			limit = min(limit, rule.Trigger.Count-f.offset)
		}
	}
	return limit
}

// reach triggers the rules that begin at a place.
func (f *Flow) reach(place mark, now time.Duration, operations []Op) []Op {
	for _, rule := range f.rules {
		if f.ended {
			break
		}
		if f.beginsAt(rule, place) {
			operations = f.activate(rule, now, operations)
		}
	}
	if (place.line || place.frame) && len(f.merged) > 0 && f.mergeComplete(place) {
		operations = f.flush(operations, now)
	}
	return operations
}

// beginsAt reports whether a place triggers a rule.
func (f *Flow) beginsAt(rule *activeRule, place mark) bool {
	trigger := rule.Trigger
	if trigger.Kind == Chance {
		return (place.line || place.frame) && uniform(rule.salt, place.linesBefore, place.framesBefore) < trigger.Probability
	}
	if rule.triggered {
		return false
	}
	switch trigger.Kind {
	case AfterBytes:
		return f.offset >= trigger.Count
	case AtLine:
		return place.line && place.linesBefore+1 == trigger.Count
	case AtFrame:
		return place.frame && place.framesBefore+1 == trigger.Count
	case AtPerformative:
		if !place.frame || place.code != trigger.Code {
			return false
		}
		rule.performatives++
		return rule.performatives == trigger.Count
	}
	return false
}

// mergeComplete reports whether two lines or frames wait.
func (f *Flow) mergeComplete(place mark) bool {
	return bytes.Count(f.merged, []byte{'\n'}) >= 2 || place.frame && place.framesBefore%2 == 0
}
