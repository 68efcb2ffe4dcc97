package faultproxy

import (
	"bytes"
	"encoding/binary"
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

// OpKind is what is to be done next.
type OpKind uint8

// The kinds of operation.
const (
	OpWrite     OpKind = iota // Data, in a packet of its own, no earlier than At
	OpHalfClose               // end this direction, and swallow what still comes
	OpFIN                     // end the connection
	OpRST                     // break the connection
	opLast                    // the reader has ended: nothing follows
)

// Op is one thing to do, in order. What comes after an end is not done.
type Op struct {
	Kind OpKind
	At   time.Duration // on the script's clock
	Data []byte
}

// Injection tells that a fault was done.
type Injection struct {
	Rule string
	Kind Kind
	Location
	Offset uint64 // bytes of the direction that had come before
	At     time.Duration
}

// Flow decides what becomes of the bytes of one direction. One goroutine uses it.
type Flow struct {
	location   Location
	seed       uint64
	rules      []*activeRule
	notify     func(Injection)
	offset     uint64        // bytes that have come
	lastAt     time.Duration // At of the last op: bytes never overtake each other
	rateFreeAt time.Duration // when the line is free, of a bandwidth
	ended      bool
	sent       bool // something has been sent on

	scanner     scanner
	merged      []byte // waits for the next line or frame
	mergedSince time.Duration
}

// activeRule is a rule as it stands in a direction.
type activeRule struct {
	*Rule
	salt      uint64
	active    bool
	triggered bool // it has been set off, and is not again
	until     time.Duration
	reported  bool   // its fault of bytes has been told
	seen      uint64 // of its performative
}

const (
	mergeTimeout  = 40 * time.Millisecond // a line waits this long for the next
	splitInterval = time.Millisecond      // between packets that must not become one
	maxPacket     = 16 << 10              // bytes of one op
)

// hash mixes words into a number that looks random.
func hash(words ...uint64) uint64 {
	x := uint64(0x9e3779b97f4a7c15)
	for _, w := range words {
		x = (x ^ w) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return x
}

// uniform is a number from 0 to 1.
func uniform(words ...uint64) float64 { return float64(hash(words...)>>11) / (1 << 53) }

func hashText(s string) uint64 {
	x := uint64(14695981039346656037)
	for i := range len(s) {
		x = (x ^ uint64(s[i])) * 1099511628211
	}
	return x
}

// matches tells whether a rule is about a connection; first is what its connecting side
// has said so far.
func (r *Rule) matches(w Location, seed uint64, first []byte) bool {
	switch {
	case len(r.Routes) > 0 && !slices.Contains(r.Routes, w.Route),
		len(r.Conns) > 0 && !slices.Contains(r.Conns, w.Conn),
		r.Every > 0 && w.Conn%r.Every != 0,
		r.First != "" && !bytes.HasPrefix(first, []byte(r.First)):
		return false
	}
	return r.Fraction >= 1 || uniform(seed, hashText(r.Name), hashText(w.Route), w.Conn) < r.Fraction
}

// NewFlow returns the flow of a direction, with the rules that are about it. first is
// what the connecting side says first; tell is told of each fault that is done, and may
// be nil.
func NewFlow(w Location, rules []*Rule, seed uint64, first []byte, tell func(Injection)) *Flow {
	f := &Flow{location: w, seed: seed, notify: tell}
	for _, r := range rules {
		f.Add(r, first)
	}
	return f
}

// Add adds a rule, if it is about this direction.
func (f *Flow) Add(r *Rule, first []byte) {
	if r.Direction != Both && r.Direction != f.location.Direction || !r.matches(f.location, f.seed, first) || r.Faults[0].Kind.ofListener() {
		return
	}
	l := &activeRule{Rule: r, salt: hash(f.seed, hashText(r.Name), hashText(f.location.Route), f.location.Conn, uint64(f.location.Direction))}
	f.rules = append(f.rules, l)
	f.scanner.wantsFrames = f.scanner.wantsFrames || r.Trigger.Kind == AtFrame || r.Trigger.Kind == AtPerformative
}

// Idle tells whether nothing can happen here unless a rule is added.
func (f *Flow) Idle() bool { return len(f.rules) == 0 }

// Command sets a rule off that waits for it. It tells whether there is one.
func (f *Flow) Command(name string, now time.Duration) ([]Op, bool) {
	for _, l := range f.rules {
		if l.Name == name && l.Trigger.Kind == OnCommand {
			return f.trigger(l, now, nil), true
		}
	}
	return nil, false
}

// Clear ends a rule, or all of them where no name is given.
func (f *Flow) Clear(name string) {
	f.rules = slices.DeleteFunc(f.rules, func(l *activeRule) bool { return name == "" || l.Name == name })
}

// Next is the next time at which something happens without a byte: Due has to be
// called then. It returns false where there is none.
func (f *Flow) Next(now time.Duration) (time.Duration, bool) {
	next, found := time.Duration(math.MaxInt64), false
	soon := func(at time.Duration) {
		if at > now {
			next, found = min(next, at), true
		}
	}
	for _, l := range f.rules {
		switch {
		case l.Trigger.Kind == AtTime && !l.triggered:
			soon(max(l.Trigger.At, now+1))
		case l.active && l.until > 0:
			soon(l.until)
		}
	}
	if len(f.merged) > 0 {
		soon(max(now+1, f.mergedSince+mergeTimeout))
	}
	return next, found
}

// Due does what is due by now without a byte.
func (f *Flow) Due(now time.Duration) []Op {
	ops := f.advance(now, nil)
	if len(f.merged) > 0 && now >= f.mergedSince+mergeTimeout {
		ops = f.flush(ops, now)
	}
	return ops
}

// advance sets off what is due by the clock or from the start, and ends what is over.
func (f *Flow) advance(now time.Duration, ops []Op) []Op {
	for _, l := range f.rules {
		if l.active && l.until > 0 && now >= l.until {
			l.active = false
		}
		if !l.triggered && (l.Trigger.Kind == FromStart || l.Trigger.Kind == AtTime && now >= l.Trigger.At) {
			ops = f.trigger(l, now, ops)
		}
	}
	return ops
}

// trigger begins a rule here.
func (f *Flow) trigger(l *activeRule, now time.Duration, ops []Op) []Op {
	if l.Trigger.Kind == AtTime && l.For > 0 && now >= l.Trigger.At+l.For {
		l.triggered = true // it was over before this connection came
		return ops
	}
	l.triggered, l.active, l.reported = true, true, false
	if l.For > 0 {
		l.until = now + l.For
		if l.Trigger.Kind == AtTime {
			l.until = l.Trigger.At + l.For
		}
	}
	for _, fault := range l.Faults {
		switch fault.Kind {
		case HalfClose, Cut:
			f.report(l, fault.Kind, now)
			ops = f.flush(ops, now)
			kind := OpHalfClose
			if fault.Kind == Cut {
				if kind = OpFIN; fault.Mode == "rst" {
					kind = OpRST
				}
			}
			f.ended = true
			ops = append(ops, Op{Kind: kind, At: max(now, f.lastAt)})
		case Garble:
			f.report(l, fault.Kind, now)
			l.seen = fault.Count // bytes that are still to be garbled
			if fault.Mode == "insert" {
				data := make([]byte, min(fault.Count, maxPacket))
				for i := range data {
					data[i] = byte(hash(l.salt, f.offset, uint64(i)))
				}
				ops = f.forward(data, now, ops)
				l.seen = 0
			}
		}
	}
	return ops
}

func (f *Flow) report(l *activeRule, k Kind, now time.Duration) {
	if f.notify != nil {
		f.notify(Injection{Rule: l.Name, Kind: k, Location: f.location, Offset: f.offset, At: now})
	}
}

// Stalled tells whether reads are to stop now, and until when; zero is until a rule is
// cleared.
func (f *Flow) Stalled(now time.Duration) (stalled bool, until time.Duration) {
	for _, l := range f.rules {
		if l.active && (l.until == 0 || now < l.until) && slices.ContainsFunc(l.Faults, func(x Fault) bool { return x.Kind == Stall }) {
			if !l.reported {
				l.reported = true
				f.report(l, Stall, now)
			}
			stalled, until = true, max(until, l.until)
			if l.until == 0 {
				return true, 0
			}
		}
	}
	return stalled, until
}

// Feed takes bytes that have come and returns what is to be done, in order.
func (f *Flow) Feed(now time.Duration, b []byte) []Op {
	ops := f.advance(now, nil)
	if len(f.scanner.held) > 0 {
		b = append(f.scanner.held, b...)
		f.scanner.held = nil
	}
	for len(b) > 0 && !f.ended {
		n, mark, more := f.scanner.next(b, f.limit())
		if more {
			f.scanner.held = slices.Clone(b)
			break
		}
		if n > 0 {
			ops = f.forward(f.transform(b[:n], now), now, ops)
			f.offset += uint64(n)
			b = b[n:]
		}
		if f.ended {
			break
		}
		ops = f.reach(mark, now, ops)
	}
	return ops
}

// End takes the end of what comes: what was held back is let go.
func (f *Flow) End(now time.Duration) []Op {
	ops := f.flush(nil, now)
	if held := f.scanner.held; len(held) > 0 {
		f.scanner.held = nil
		ops = f.emit(held, now, ops)
	}
	return ops
}

// limit is how many bytes may pass before the next trigger that counts them.
func (f *Flow) limit() uint64 {
	limit := uint64(math.MaxUint64)
	for _, l := range f.rules {
		if l.Trigger.Kind == AfterBytes && !l.triggered && l.Trigger.Count > f.offset {
			limit = min(limit, l.Trigger.Count-f.offset)
		}
	}
	return limit
}

// reach sets off what begins at this place.
func (f *Flow) reach(m mark, now time.Duration, ops []Op) []Op {
	for _, l := range f.rules {
		if f.ended {
			break
		}
		hit := false
		switch t := l.Trigger; t.Kind {
		case AfterBytes:
			hit = !l.triggered && f.offset >= t.Count
		case AtLine:
			hit = !l.triggered && m.line && m.linesBefore+1 == t.Count
		case AtFrame:
			hit = !l.triggered && m.frame && m.framesBefore+1 == t.Count
		case AtPerformative:
			if m.frame && m.code == t.Code && !l.triggered {
				l.seen++
				if hit = l.seen == t.Count; hit {
					l.seen = 0
				}
			}
		case Chance:
			hit = (m.line || m.frame) && uniform(l.salt, m.linesBefore, m.framesBefore) < t.Probability
		}
		if hit {
			ops = f.trigger(l, now, ops)
		}
	}
	if (m.line || m.frame) && len(f.merged) > 0 && f.mergeComplete(m) {
		ops = f.flush(ops, now)
	}
	return ops
}

// mergeComplete tells whether two lines or frames wait.
func (f *Flow) mergeComplete(m mark) bool {
	return bytes.Count(f.merged, []byte{'\n'}) >= 2 || m.frame && m.framesBefore%2 == 0
}

// activeFault returns the live fault of a kind, if one is done now.
func (f *Flow) activeFault(k Kind) (*activeRule, Fault, bool) {
	for _, l := range f.rules {
		if !l.active {
			continue
		}
		for _, fault := range l.Faults {
			if fault.Kind == k {
				return l, fault, true
			}
		}
	}
	return nil, Fault{}, false
}

// transform swallows and garbles.
func (f *Flow) transform(b []byte, now time.Duration) []byte {
	if l, _, on := f.activeFault(Swallow); on {
		f.reportOnce(l, Swallow, now)
		return nil
	}
	l, g, on := f.activeFault(Garble)
	if !on || l.seen == 0 {
		return slices.Clone(b)
	}
	n := min(uint64(len(b)), l.seen)
	l.seen -= n
	out := make([]byte, 0, len(b)+int(n))
	switch g.Mode {
	case "flip":
		for i, c := range b[:n] {
			out = append(out, c^1<<(hash(l.salt, f.offset+uint64(i))%8))
		}
	case "duplicate":
		out = append(append(out, b[:n]...), b[:n]...)
	}
	return append(out, b[n:]...)
}

// reportOnce tells of a fault of bytes the first time that it does something.
func (f *Flow) reportOnce(l *activeRule, k Kind, now time.Duration) {
	if !l.reported {
		l.reported = true
		f.report(l, k, now)
	}
}

// forward sends bytes on, as late and in such packets as the rules have it.
func (f *Flow) forward(b []byte, now time.Duration, ops []Op) []Op {
	if len(b) == 0 {
		return ops
	}
	if l, _, on := f.activeFault(Merge); on {
		f.reportOnce(l, Merge, now)
		if len(f.merged) == 0 {
			f.mergedSince = now
		}
		if f.merged = append(f.merged, b...); len(f.merged) < maxPacket {
			return ops
		}
		return f.flush(ops, now)
	}
	return f.emit(b, now, ops)
}

// flush lets go of what waits to be merged.
func (f *Flow) flush(ops []Op, now time.Duration) []Op {
	b := f.merged
	f.merged = nil
	if len(b) == 0 {
		return ops
	}
	return f.emit(b, now, ops)
}

func (f *Flow) emit(b []byte, now time.Duration, ops []Op) []Op {
	at := now
	if l, _, on := f.activeFault(Pause); on {
		f.reportOnce(l, Pause, now)
		at = max(at, l.until)
	}
	if l, lat, on := f.activeFault(Latency); on {
		f.reportOnce(l, Latency, now)
		at += lat.Delay + jitter(lat, uniform(l.salt, f.offset), uniform(l.salt, f.offset, 1))
	}
	size, gap := maxPacket, time.Duration(0)
	if l, s, on := f.activeFault(Split); on {
		f.reportOnce(l, Split, now)
		size, gap = int(min(s.Count, maxPacket)), splitInterval
	}
	if l, d, on := f.activeFault(Drip); on {
		f.reportOnce(l, Drip, now)
		size, gap = int(min(d.Count, uint64(size))), max(gap, d.Delay)
	}
	rate := uint64(0)
	if l, w, on := f.activeFault(Bandwidth); on {
		f.reportOnce(l, Bandwidth, now)
		rate = w.Count
		size = min(size, int(max(1, rate/20))) // a twentieth of a second at a time
	}
	for first := true; len(b) > 0; first = false {
		n := min(len(b), size)
		at = max(at, f.lastAt)
		if gap > 0 && f.sent && (!first || at < f.lastAt+gap) {
			at = max(at, f.lastAt+gap)
		}
		if rate > 0 {
			at = max(at, f.rateFreeAt)
			f.rateFreeAt = at + time.Duration(float64(n)/float64(rate)*float64(time.Second))
		}
		ops = append(ops, Op{Kind: OpWrite, At: at, Data: b[:n:n]})
		f.lastAt, f.sent = at, true
		b = b[n:]
	}
	return ops
}

// jitter is a random time of a distribution, from two numbers from 0 to 1. It never
// makes the latency negative.
func jitter(l Fault, x, y float64) time.Duration {
	var j float64
	switch l.Mode {
	case "uniform":
		j = 2*x - 1
	case "normal":
		j = math.Sqrt(-2*math.Log(max(x, 1e-12))) * math.Cos(2*math.Pi*y)
	case "exponential":
		j = -math.Log(max(x, 1e-12))
	}
	return max(-l.Delay, time.Duration(j*float64(l.Jitter)))
}

// mark is a place in a stream.
type mark struct {
	line, frame               bool   // one begins here
	linesBefore, framesBefore uint64 // that have ended before it
	code                      byte   // of the frame that begins: its performative's, 0 if not known
}

// scanner finds where lines begin or, where rules ask for them, AMQP frames (part 2,
// section 2.3). To know a frame's performative it holds back the frame's first bytes
// until they are there.
type scanner struct {
	wantsFrames bool
	started     bool
	linesEnded  uint64
	framesEnded uint64 // frames that have ended
	remaining   uint64 // bytes of the frame, or the protocol header, that are still to pass
	inHeader    bool   // it is a protocol header
	held        []byte // of a frame's head, all that has come
}

// next returns how many of the bytes come before the next mark, at the most limit, and
// that mark. Without a byte and a mark it wants more bytes.
func (s *scanner) next(b []byte, limit uint64) (n int, m mark, more bool) {
	most := min(uint64(len(b)), limit)
	if s.wantsFrames {
		return s.nextFrame(b, most)
	}
	if !s.started {
		s.started = true
		return 0, mark{line: true}, false
	}
	i := bytes.IndexByte(b[:most], '\n')
	if i < 0 {
		return int(most), mark{linesBefore: s.linesEnded}, false
	}
	s.linesEnded++
	return i + 1, mark{line: true, linesBefore: s.linesEnded}, false
}

// nextFrame passes the rest of a frame, or looks at the head of the next: its size (4
// bytes), data offset, type and channel, and where the body begins the constructor of
// its performative.
func (s *scanner) nextFrame(b []byte, most uint64) (n int, m mark, more bool) {
	if s.remaining > 0 {
		n := min(s.remaining, most)
		if s.remaining -= n; s.remaining == 0 && !s.inHeader {
			s.framesEnded++
		}
		return int(n), mark{framesBefore: s.framesEnded}, false
	}
	if s.inHeader = bytes.HasPrefix(b, []byte("AMQP")); s.inHeader {
		s.remaining = 8
		return 0, mark{framesBefore: s.framesEnded}, false
	}
	if len(b) < 5 {
		return 0, mark{}, true
	}
	size, body := uint64(binary.BigEndian.Uint32(b)), 4*int(b[4])
	if uint64(body)+3 <= size {
		if len(b) < body+3 {
			return 0, mark{}, true
		}
		if b[body] == 0 && b[body+1] == 0x53 {
			m.code = b[body+2]
		}
	}
	s.remaining = max(size, 4)
	m.frame, m.framesBefore = true, s.framesEnded
	return 0, m, false
}
