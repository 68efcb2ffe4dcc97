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
	OpWrite OpKind = iota // Data, in a packet of its own, no earlier than At
	OpHalf                // end this direction, and swallow what still comes
	OpFIN                 // end the connection
	OpRST                 // break the connection
	opLast                // the reader has ended: nothing follows
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
	where  Location
	seed   uint64
	rules  []*live
	tell   func(Injection)
	offset uint64        // bytes that have come
	last   time.Duration // At of the last op: bytes never overtake each other
	free   time.Duration // when the line is free, of a bandwidth
	ended  bool
	sent   bool // something has been sent on

	scan   scanner
	merged []byte // waits for the next line or frame
	since  time.Duration
}

// live is a rule as it stands in a direction.
type live struct {
	*Rule
	salt  uint64
	on    bool
	once  bool // it has been set off, and is not again
	until time.Duration
	said  bool   // its fault of bytes has been told
	seen  uint64 // of its performative
}

const (
	mergeMost = 40 * time.Millisecond // a line waits this long for the next
	splitGap  = time.Millisecond      // between packets that must not become one
	pieceMost = 16 << 10              // bytes of one op
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

// chance is a number from 0 to 1.
func chance(words ...uint64) float64 { return float64(hash(words...)>>11) / (1 << 53) }

func hashText(s string) uint64 {
	x := uint64(14695981039346656037)
	for i := range len(s) {
		x = (x ^ uint64(s[i])) * 1099511628211
	}
	return x
}

// picks tells whether a rule is about a connection; first is what its connecting side
// has said so far.
func (r *Rule) picks(w Location, seed uint64, first []byte) bool {
	switch {
	case len(r.Routes) > 0 && !slices.Contains(r.Routes, w.Route),
		len(r.Conns) > 0 && !slices.Contains(r.Conns, w.Conn),
		r.Every > 0 && w.Conn%r.Every != 0,
		r.First != "" && !bytes.HasPrefix(first, []byte(r.First)):
		return false
	}
	return r.Fraction >= 1 || chance(seed, hashText(r.Name), hashText(w.Route), w.Conn) < r.Fraction
}

// NewFlow returns the flow of a direction, with the rules that are about it. first is
// what the connecting side says first; tell is told of each fault that is done, and may
// be nil.
func NewFlow(w Location, rules []*Rule, seed uint64, first []byte, tell func(Injection)) *Flow {
	f := &Flow{where: w, seed: seed, tell: tell}
	for _, r := range rules {
		f.Add(r, first)
	}
	return f
}

// Add adds a rule, if it is about this direction.
func (f *Flow) Add(r *Rule, first []byte) {
	if r.Direction != Both && r.Direction != f.where.Direction || !r.picks(f.where, f.seed, first) || r.Faults[0].Kind.ofDoor() {
		return
	}
	l := &live{Rule: r, salt: hash(f.seed, hashText(r.Name), hashText(f.where.Route), f.where.Conn, uint64(f.where.Direction))}
	f.rules = append(f.rules, l)
	f.scan.frames = f.scan.frames || r.Trigger.Kind == AtFrame || r.Trigger.Kind == AtPerformance
}

// Idle tells whether nothing can happen here unless a rule is added.
func (f *Flow) Idle() bool { return len(f.rules) == 0 }

// Command sets a rule off that waits for it. It tells whether there is one.
func (f *Flow) Command(name string, now time.Duration) ([]Op, bool) {
	for _, l := range f.rules {
		if l.Name == name && l.Trigger.Kind == OnCommand {
			return f.setOff(l, now, nil), true
		}
	}
	return nil, false
}

// Clear ends a rule, or all of them where no name is given.
func (f *Flow) Clear(name string) {
	f.rules = slices.DeleteFunc(f.rules, func(l *live) bool { return name == "" || l.Name == name })
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
		case l.Trigger.Kind == AtTime && !l.once:
			soon(max(l.Trigger.At, now+1))
		case l.on && l.until > 0:
			soon(l.until)
		}
	}
	if len(f.merged) > 0 {
		soon(max(now+1, f.since+mergeMost))
	}
	return next, found
}

// Due does what is due by now without a byte.
func (f *Flow) Due(now time.Duration) []Op {
	ops := f.begin(now, nil)
	if len(f.merged) > 0 && now >= f.since+mergeMost {
		ops = f.flush(ops, now)
	}
	return ops
}

// begin sets off what is due by the clock or from the start, and ends what is over.
func (f *Flow) begin(now time.Duration, ops []Op) []Op {
	for _, l := range f.rules {
		if l.on && l.until > 0 && now >= l.until {
			l.on = false
		}
		if !l.once && (l.Trigger.Kind == FromStart || l.Trigger.Kind == AtTime && now >= l.Trigger.At) {
			ops = f.setOff(l, now, ops)
		}
	}
	return ops
}

// setOff begins a rule here.
func (f *Flow) setOff(l *live, now time.Duration, ops []Op) []Op {
	if l.Trigger.Kind == AtTime && l.For > 0 && now >= l.Trigger.At+l.For {
		l.once = true // it was over before this connection came
		return ops
	}
	l.once, l.on, l.said = true, true, false
	if l.For > 0 {
		l.until = now + l.For
		if l.Trigger.Kind == AtTime {
			l.until = l.Trigger.At + l.For
		}
	}
	for _, fault := range l.Faults {
		switch fault.Kind {
		case Half, Cut:
			f.did(l, fault.Kind, now)
			ops = f.flush(ops, now)
			kind := OpHalf
			if fault.Kind == Cut {
				if kind = OpFIN; fault.Mode == "rst" {
					kind = OpRST
				}
			}
			f.ended = true
			ops = append(ops, Op{Kind: kind, At: max(now, f.last)})
		case Garble:
			f.did(l, fault.Kind, now)
			l.seen = fault.N // bytes that are still to be garbled
			if fault.Mode == "insert" {
				data := make([]byte, min(fault.N, pieceMost))
				for i := range data {
					data[i] = byte(hash(l.salt, f.offset, uint64(i)))
				}
				ops = f.pass(data, now, ops)
				l.seen = 0
			}
		}
	}
	return ops
}

func (f *Flow) did(l *live, k Kind, now time.Duration) {
	if f.tell != nil {
		f.tell(Injection{Rule: l.Name, Kind: k, Location: f.where, Offset: f.offset, At: now})
	}
}

// Stalled tells whether reads are to stop now, and until when; zero is until a rule is
// cleared.
func (f *Flow) Stalled(now time.Duration) (stalled bool, until time.Duration) {
	for _, l := range f.rules {
		if l.on && (l.until == 0 || now < l.until) && slices.ContainsFunc(l.Faults, func(x Fault) bool { return x.Kind == Stall }) {
			if !l.said {
				l.said = true
				f.did(l, Stall, now)
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
	ops := f.begin(now, nil)
	if len(f.scan.held) > 0 {
		b = append(f.scan.held, b...)
		f.scan.held = nil
	}
	for len(b) > 0 && !f.ended {
		n, mark, more := f.scan.next(b, f.limit())
		if more {
			f.scan.held = slices.Clone(b)
			break
		}
		if n > 0 {
			ops = f.pass(f.spoil(b[:n], now), now, ops)
			f.offset += uint64(n)
			b = b[n:]
		}
		if f.ended {
			break
		}
		ops = f.marked(mark, now, ops)
	}
	return ops
}

// End takes the end of what comes: what was held back is let go.
func (f *Flow) End(now time.Duration) []Op {
	ops := f.flush(nil, now)
	if held := f.scan.held; len(held) > 0 {
		f.scan.held = nil
		ops = f.send(held, now, ops)
	}
	return ops
}

// limit is how many bytes may pass before the next trigger that counts them.
func (f *Flow) limit() uint64 {
	limit := uint64(math.MaxUint64)
	for _, l := range f.rules {
		if l.Trigger.Kind == AfterBytes && !l.once && l.Trigger.N > f.offset {
			limit = min(limit, l.Trigger.N-f.offset)
		}
	}
	return limit
}

// marked sets off what begins at this place.
func (f *Flow) marked(m mark, now time.Duration, ops []Op) []Op {
	for _, l := range f.rules {
		if f.ended {
			break
		}
		hit := false
		switch t := l.Trigger; t.Kind {
		case AfterBytes:
			hit = !l.once && f.offset >= t.N
		case AtLine:
			hit = !l.once && m.line && m.lines+1 == t.N
		case AtFrame:
			hit = !l.once && m.frame && m.frames+1 == t.N
		case AtPerformance:
			if m.frame && m.code == t.Code && !l.once {
				l.seen++
				if hit = l.seen == t.N; hit {
					l.seen = 0
				}
			}
		case Chance:
			hit = (m.line || m.frame) && chance(l.salt, m.lines, m.frames) < t.Part
		}
		if hit {
			ops = f.setOff(l, now, ops)
		}
	}
	if (m.line || m.frame) && len(f.merged) > 0 && f.mergedEnough(m) {
		ops = f.flush(ops, now)
	}
	return ops
}

// mergedEnough tells whether two lines or frames wait.
func (f *Flow) mergedEnough(m mark) bool {
	return bytes.Count(f.merged, []byte{'\n'}) >= 2 || m.frame && m.frames%2 == 0
}

// has returns the live fault of a kind, if one is done now.
func (f *Flow) has(k Kind) (*live, Fault, bool) {
	for _, l := range f.rules {
		if !l.on {
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

// spoil swallows and garbles.
func (f *Flow) spoil(b []byte, now time.Duration) []byte {
	if l, _, on := f.has(Swallow); on {
		f.once(l, Swallow, now)
		return nil
	}
	l, g, on := f.has(Garble)
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

// once tells of a fault of bytes the first time that it does something.
func (f *Flow) once(l *live, k Kind, now time.Duration) {
	if !l.said {
		l.said = true
		f.did(l, k, now)
	}
}

// pass sends bytes on, as late and in such packets as the rules have it.
func (f *Flow) pass(b []byte, now time.Duration, ops []Op) []Op {
	if len(b) == 0 {
		return ops
	}
	if l, _, on := f.has(Merge); on {
		f.once(l, Merge, now)
		if len(f.merged) == 0 {
			f.since = now
		}
		if f.merged = append(f.merged, b...); len(f.merged) < pieceMost {
			return ops
		}
		return f.flush(ops, now)
	}
	return f.send(b, now, ops)
}

// flush lets go of what waits to be merged.
func (f *Flow) flush(ops []Op, now time.Duration) []Op {
	b := f.merged
	f.merged = nil
	if len(b) == 0 {
		return ops
	}
	return f.send(b, now, ops)
}

func (f *Flow) send(b []byte, now time.Duration, ops []Op) []Op {
	at := now
	if l, _, on := f.has(Pause); on {
		f.once(l, Pause, now)
		at = max(at, l.until)
	}
	if l, lat, on := f.has(Latency); on {
		f.once(l, Latency, now)
		at += lat.D + jitter(lat, chance(l.salt, f.offset), chance(l.salt, f.offset, 1))
	}
	size, gap := pieceMost, time.Duration(0)
	if l, s, on := f.has(Split); on {
		f.once(l, Split, now)
		size, gap = int(min(s.N, pieceMost)), splitGap
	}
	if l, d, on := f.has(Drip); on {
		f.once(l, Drip, now)
		size, gap = int(min(d.N, uint64(size))), max(gap, d.D)
	}
	rate := uint64(0)
	if l, w, on := f.has(Bandwidth); on {
		f.once(l, Bandwidth, now)
		rate = w.N
		size = min(size, int(max(1, rate/20))) // a twentieth of a second at a time
	}
	for first := true; len(b) > 0; first = false {
		n := min(len(b), size)
		at = max(at, f.last)
		if gap > 0 && f.sent && (!first || at < f.last+gap) {
			at = max(at, f.last+gap)
		}
		if rate > 0 {
			at = max(at, f.free)
			f.free = at + time.Duration(float64(n)/float64(rate)*float64(time.Second))
		}
		ops = append(ops, Op{Kind: OpWrite, At: at, Data: b[:n:n]})
		f.last, f.sent = at, true
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
	return max(-l.D, time.Duration(j*float64(l.Jitter)))
}

// mark is a place in a stream.
type mark struct {
	line, frame   bool   // one begins here
	lines, frames uint64 // that have ended before it
	code          byte   // of the frame that begins: its performative's, 0 if not known
}

// scanner finds where lines begin or, where rules ask for them, AMQP frames (part 2,
// section 2.3). To know a frame's performative it holds back the frame's first bytes
// until they are there.
type scanner struct {
	frames  bool
	started bool
	lines   uint64
	count   uint64 // frames that have ended
	left    uint64 // bytes of the frame, or the protocol header, that are still to pass
	header  bool   // it is a protocol header
	held    []byte // of a frame's head, all that has come
}

// next returns how many of the bytes come before the next mark, at the most limit, and
// that mark. Without a byte and a mark it wants more bytes.
func (s *scanner) next(b []byte, limit uint64) (n int, m mark, more bool) {
	most := min(uint64(len(b)), limit)
	if s.frames {
		return s.nextFrame(b, most)
	}
	if !s.started {
		s.started = true
		return 0, mark{line: true}, false
	}
	i := bytes.IndexByte(b[:most], '\n')
	if i < 0 {
		return int(most), mark{lines: s.lines}, false
	}
	s.lines++
	return i + 1, mark{line: true, lines: s.lines}, false
}

// nextFrame passes the rest of a frame, or looks at the head of the next: its size (4
// bytes), data offset, type and channel, and where the body begins the constructor of
// its performative.
func (s *scanner) nextFrame(b []byte, most uint64) (n int, m mark, more bool) {
	if s.left > 0 {
		n := min(s.left, most)
		if s.left -= n; s.left == 0 && !s.header {
			s.count++
		}
		return int(n), mark{frames: s.count}, false
	}
	if s.header = bytes.HasPrefix(b, []byte("AMQP")); s.header {
		s.left = 8
		return 0, mark{frames: s.count}, false
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
	s.left = max(size, 4)
	m.frame, m.frames = true, s.count
	return 0, m, false
}
