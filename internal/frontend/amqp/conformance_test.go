package amqp

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/internal/connpool"
)

var update = flag.Bool("update", false, "write docs/amqp-conformance.md anew")

const conformancePage = "../../../docs/amqp-conformance.md"

// requirement is one of the standard's, and how it is looked at.
type requirement struct {
	section string // of the standard: part.section
	peer    string // that the front speaks with: client, server or library
	what    string
	check   func(t *testing.T) error
}

// seenAt records what the front says to a server, which accepts links with some credit.
type seenAt struct {
	mu     sync.Mutex
	frames []frame
	open   perf // that it says itself; zero: the usual
	window uint32
	credit uint32
	reply  func(c *conn, s *session, f frame) bool // more that it does; true: nothing else is done
}

func (s *seenAt) serve(t testing.TB, tcp *net.TCPConn, _ *script) {
	c, ok := greetClient(t, tcp)
	if !ok {
		return
	}
	session := newSession(c, 0)
	for {
		f, err := c.read(frameAMQP, serverWait)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.frames = append(s.frames, f)
		s.mu.Unlock()
		if s.reply != nil && s.reply(c, session, f) {
			continue
		}
		switch f.code {
		case codeOpen:
			c.opened(f.perf)
			o := open("server")
			if s.open.code != 0 {
				o = s.open
			}
			c.write(0, o, nil)
		case codeBegin:
			_ = session.begun(f.perf)
			b := session.begin(uint16(0))
			if s.window > 0 {
				b = b.with(2, s.window)
			}
			c.write(0, b, nil)
		case codeAttach:
			c.write(0, f.with(1, uint32(0)).with(2, !f.flag(2)).with(9, nil).with(13, nil), nil)
			if !f.flag(2) {
				c.write(0, perf{codeFlow, list{uint32(0), cmp.Or(s.window, 100), uint32(0), uint32(100), uint32(0), uint32(0), cmp.Or(s.credit, 100)}}, nil)
			}
		case codeTransfer:
			if !f.flag(5) && !f.flag(4) && !f.flag(9) {
				c.write(0, perf{codeDisposition, list{true, f.field(1), nil, true, described{uint64(0x24), list{}}}}, nil)
			}
		case codeDetach:
			c.write(0, perf{codeDetach, list{uint32(0), true}}, nil)
		}
	}
}

// of waits until a server was told a performative, and returns all of those so far.
func (s *seenAt) of(code uint64, least int) (all []frame, err error) {
	for late := time.Now().Add(3 * time.Second); ; time.Sleep(time.Millisecond) { // a poll with a bound
		s.mu.Lock()
		all = nil
		for _, f := range s.frames {
			if !f.empty && f.code == code {
				all = append(all, f)
			}
		}
		s.mu.Unlock()
		if len(all) >= least {
			return all, nil
		}
		if time.Now().After(late) {
			return all, fmt.Errorf("the server was told %#x %d times, want %d", code, len(all), least)
		}
	}
}

// rawAt is a raw client at a relay whose server records.
func rawAt(t *testing.T, s *seenAt) *raw {
	t.Helper()
	w := wires[1]
	w.server = s.serve
	return dialRaw(t, newRig(t, w, 1, nil).address)
}

var rawProps = mapping{symbol(propClass), "page", symbol(propGiveUp), uint32(900)}

// link attaches a link that is to send or to receive, and waits until it is up.
func (c *raw) link(sends bool, fields ...func(perf) perf) (perf, error) {
	p := perf{codeAttach, list{"a link", uint32(1), !sends, nil, nil, described{uint64(0x28), list{"here"}}, described{uint64(0x29), list{"there"}}, nil, nil, nil, nil, nil, nil, rawProps}}
	if sends {
		p = p.with(9, uint32(0))
	}
	for _, set := range fields {
		p = set(p)
	}
	c.write(3, p, nil)
	f, err := c.frame()
	if err != nil || f.code != codeAttach {
		return f.perf, fmt.Errorf("an attach is answered with %#x, %v", f.code, err)
	}
	reply := f.perf
	if sends {
		if f, err = c.frame(); err != nil || f.code != codeFlow {
			return reply, fmt.Errorf("no credit follows the attach: %#x, %v", f.code, err)
		}
	}
	return reply, nil
}

// frame waits for a frame with a body.
func (c *raw) frame() (frame, error) {
	for {
		if f, err := c.read(frameAMQP, 3*time.Second); err != nil || !f.empty {
			return f, err
		}
	}
}

// hello dials a front, and exchanges a header with it.
func hello(t *testing.T, h [8]byte) (*conn, error) {
	t.Helper()
	w := wires[1]
	w.server = (&seenAt{}).serve
	tcp, err := net.Dial("tcp", newRig(t, w, 1, nil).address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { tcp.Close() })
	c := newConn(tcp.(*net.TCPConn))
	c.header(h)
	got, err := c.readHeader(time.Second)
	return c, errors.Join(err, same("header", got, h))
}

// told waits for a performative with a condition.
func (c *raw) told(code uint64, at int, cond string) error {
	f, err := c.frame()
	if err != nil {
		return err
	}
	if got, _ := f.condition(at); f.code != code || got != cond {
		return fmt.Errorf("told %#x with %q, want %#x with %q", f.code, got, code, cond)
	}
	return nil
}

func (c *raw) send(id uint32, settled bool, more, aborted bool, payload []byte) {
	c.write(3, perf{codeTransfer, list{uint32(1), id, []byte{byte(id)}, uint32(0), settled, more, nil, nil, nil, aborted}}, payload)
}

func same(what string, got, want any) error {
	if !reflect.DeepEqual(got, want) {
		return fmt.Errorf("%s: %v, want %v", what, got, want)
	}
	return nil
}

// answersTo are bytes that a client sends, and the close that it gets.
func closedAfter(text []byte, cond string) func(*testing.T) error {
	return func(t *testing.T) error {
		c := rawAt(t, &seenAt{})
		_, _ = c.Write(text)
		return c.told(codeClose, 0, cond)
	}
}

var requirements = []requirement{
	{"2.2", "client", "a header that it speaks is answered with the same", func(t *testing.T) error { rawAt(t, &seenAt{}); return nil }},
	{"2.2", "client", "any other is answered with one that it speaks, and the connection is closed", func(t *testing.T) error {
		tcp, err := net.Dial("tcp", newRig(t, wires[1], 1, nil).address)
		if err != nil {
			return err
		}
		defer tcp.Close()
		_, _ = tcp.Write([]byte("AMQP\x00\x00\x09\x01"))
		tcp.SetReadDeadline(time.Now().Add(3 * time.Second))
		got, err := io.ReadAll(tcp)
		return errors.Join(err, same("answer", got, headerAMQP[:]))
	}},
	{"2.3.1", "client", "an extended frame header is passed over", func(t *testing.T) error {
		c := rawAt(t, &seenAt{})
		b := appendFrame(nil, frameAMQP, 3, perf{codeBegin, list{nil, uint32(0), uint32(9), uint32(9)}}, nil)
		long := append([]byte{0, 0, 0, byte(len(b) + 4), 3, 0, 0, 3, 1, 2, 3, 4}, b[8:]...)
		_, _ = c.Write(long)
		return c.told(codeBegin, 0, "")
	}},
	{"2.3.1", "client", "a data offset under 2 is a framing error", closedAfter([]byte{0, 0, 0, 8, 1, 0, 0, 0}, condFraming)},
	{"2.3.1", "client", "a frame over the size that was told is a framing error", closedAfter([]byte{0, 0, 0x20, 1, 2, 0, 0, 0}, condFraming)},
	{"2.3.2", "client", "a body that can't be decoded is a decode error", closedAfter([]byte{0, 0, 0, 11, 2, 0, 0, 0, 0, 0x53, 0x13}, condDecode)},
	{"2.4.1", "client", "the open tells a container, and limits that the standard allows", func(t *testing.T) error {
		c, err := hello(t, headerAMQP)
		if err != nil {
			return err
		}
		c.write(0, open("raw"), nil)
		f, err := c.read(frameAMQP, time.Second)
		if err != nil || f.code != codeOpen || text(f.field(0)) == "" || f.number(2, 0) < leastMost || f.number(4, 0) == 0 {
			return fmt.Errorf("the open is %v, %v", f.perf, err)
		}
		return nil
	}},
	{"2.4.1", "client", "open, begin and attach may come in one piece, and are answered in order", func(t *testing.T) error {
		w := wires[1]
		w.server = (&seenAt{}).serve
		tcp, err := net.Dial("tcp", newRig(t, w, 1, nil).address)
		if err != nil {
			return err
		}
		defer tcp.Close()
		b := append([]byte{}, headerAMQP[:]...)
		b = appendFrame(b, frameAMQP, 0, open("raw"), nil)
		b = appendFrame(b, frameAMQP, 3, perf{codeBegin, list{nil, uint32(0), uint32(9), uint32(9)}}, nil)
		b = appendFrame(b, frameAMQP, 3, perf{codeAttach, list{"a link", uint32(1), false, nil, nil, described{uint64(0x28), list{"here"}}, described{uint64(0x29), list{"there"}}, nil, nil, uint32(0), nil, nil, nil, rawProps}}, nil)
		_, _ = tcp.Write(b)
		c := &raw{newConn(tcp.(*net.TCPConn)), t}
		_, _ = c.readHeader(time.Second)
		return errors.Join(c.told(codeOpen, 9, ""), c.told(codeBegin, 9, ""), c.told(codeAttach, 9, ""), c.told(codeFlow, 99, ""))
	}},
	{"2.4.3", "client", "a close is answered with a close", func(t *testing.T) error {
		c := rawAt(t, &seenAt{})
		c.write(0, perf{codeClose, nil}, nil)
		return c.told(codeClose, 0, "")
	}},
	{"2.4.5", "client", "frames without a body come within the idle time-out that was asked for, and are taken", func(t *testing.T) error {
		c, err := hello(t, headerAMQP)
		if err != nil {
			return err
		}
		c.write(0, open("idle").with(4, uint32(600)), nil)
		for beats := 0; beats < 3; {
			f, err := c.read(frameAMQP, 600*time.Millisecond)
			if err != nil {
				return err
			}
			if f.empty {
				beats++
				c.write(0, perf{}, nil)
			}
		}
		return nil
	}},
	{"2.5.1", "client", "a begin is answered with one that names its channel", func(t *testing.T) error {
		c := rawAt(t, &seenAt{})
		c.write(3, perf{codeBegin, list{nil, uint32(0), uint32(9), uint32(9)}}, nil)
		f, err := c.frame()
		return errors.Join(err, same("remote-channel", f.number(0, 99), uint32(3)))
	}},
	{"2.5.3", "client", "an end is answered with an end, and the channel can begin again", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		c.write(3, perf{codeEnd, nil}, nil)
		if err := c.told(codeEnd, 0, ""); err != nil {
			return err
		}
		c.begin()
		return nil
	}},
	{"2.5.6", "client", "a flow that asks for an echo gets the session's state", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		c.write(3, perf{codeFlow, list{uint32(0), uint32(9), uint32(0), uint32(9), nil, nil, nil, nil, nil, true}}, nil)
		f, err := c.frame()
		if err != nil || f.code != codeFlow || f.must(0, 1, 2, 3) != nil {
			return fmt.Errorf("echoed %#x %v, %v", f.code, f.fields, err)
		}
		return nil
	}},
	{"2.5.6", "client", "transfers beyond the session's window end it as a window violation", func(t *testing.T) error {
		release := make(chan struct{})
		defer close(release)
		w := wires[1]
		w.server = func(t testing.TB, tcp *net.TCPConn, _ *script) { stalls(t, tcp, release) }
		c := dialRaw(t, newRig(t, w, 1, nil).address).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		big := bytes.Repeat([]byte("n"), ourMost/2)
		for i := range uint32(3 * windowMost) {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			c.send(i, true, false, false, big)
		}
		for {
			f, err := c.frame()
			if err != nil {
				return err
			}
			if cond, _ := f.condition(0); f.code == codeEnd {
				return same("condition", cond, condWindow)
			}
		}
	}},
	{"2.6.2", "client", "a handle without a link ends the session", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		c.send(0, false, false, false, nil)
		return c.told(codeEnd, 0, condUnattached)
	}},
	{"2.6.2", "client", "a handle that is in use ends the session", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		c.attach(1, rawProps)
		return c.told(codeEnd, 0, condHandleInUse)
	}},
	{"2.6.3", "client", "an attach is answered by one of the same name and the other role, a sender's with credit", func(t *testing.T) error {
		reply, err := rawAt(t, &seenAt{}).begin().link(true)
		return errors.Join(err, same("name", text(reply.field(0)), "a link"), same("role", reply.field(2), true), same("handle", reply.number(1, 99), uint32(1)))
	}},
	{"2.6.3", "client", "a link that is refused is attached without what the relay would own, and detached at once with the reason", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		c.attach(1, nil)
		f, err := c.frame()
		if err != nil || f.code != codeAttach || f.field(6) != nil {
			return fmt.Errorf("told %#x with the target %v, %v", f.code, f.field(6), err)
		}
		return c.told(codeDetach, 2, condInvalid)
	}},
	{"2.6.5", "client", "a detach is answered with a detach, and the handle and the name are free again", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		for range 2 {
			if _, err := c.link(true); err != nil {
				return err
			}
			c.write(3, perf{codeDetach, list{uint32(1), true}}, nil)
			if err := c.told(codeDetach, 2, ""); err != nil {
				return err
			}
		}
		return nil
	}},
	{"2.6.7", "client", "a server's credit reaches the client, drain and echo its server", func(t *testing.T) error {
		grants := rawAt(t, &seenAt{credit: 7}).begin()
		grants.write(3, perf{codeAttach, list{"a link", uint32(1), false, nil, nil, described{uint64(0x28), list{"here"}}, described{uint64(0x29), list{"there"}}, nil, nil, uint32(0), nil, nil, nil, rawProps}}, nil)
		_, _ = grants.frame()
		granted, err := grants.frame()
		if err := errors.Join(err, same("granted", granted.number(6, 0), uint32(7))); err != nil {
			return err
		}
		s := &seenAt{}
		c := rawAt(t, s).begin()
		if _, err := c.link(false); err != nil {
			return err
		}
		c.write(3, perf{codeFlow, list{uint32(0), uint32(9), uint32(0), uint32(9), uint32(1), uint32(0), uint32(5), nil, true, true}}, nil)
		flows, err := s.of(codeFlow, 1)
		if err != nil {
			return err
		}
		f := flows[len(flows)-1]
		return errors.Join(same("credit", f.number(6, 0), uint32(5)), same("drain", f.flag(8), true), same("echo", f.flag(9), true))
	}},
	{"2.6.12", "client", "a delivery in several transfers reaches the server as one", func(t *testing.T) error {
		s := &seenAt{}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		c.send(0, false, true, false, []byte("a"))
		c.send(0, false, true, false, []byte("b"))
		c.send(0, false, false, false, []byte("c"))
		if err := c.told(codeDisposition, 99, ""); err != nil {
			return err
		}
		all, err := s.of(codeTransfer, 3)
		whole := ""
		for _, f := range all {
			whole += string(f.payload)
			err = errors.Join(err, same("delivery", f.number(1, 99), uint32(0)))
		}
		return errors.Join(err, same("payload", whole, "abc"))
	}},
	{"2.6.14", "client", "a delivery that is aborted is aborted at the server, and the next one passes", func(t *testing.T) error {
		s := &seenAt{}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		c.send(0, false, true, false, []byte("a"))
		c.send(0, false, false, true, nil)
		c.send(1, false, false, false, []byte("b"))
		all, err := s.of(codeTransfer, 3)
		if err != nil {
			return err
		}
		return errors.Join(same("aborted", all[1].flag(9), true), same("next", string(all[2].payload), "b"), c.told(codeDisposition, 99, ""))
	}},
	{"2.7.1", "client", "a channel over the most that was told is a framing error", func(t *testing.T) error {
		c := rawAt(t, &seenAt{})
		c.write(channelMost+1, perf{codeBegin, list{nil, uint32(0), uint32(1), uint32(1)}}, nil)
		return c.told(codeClose, 0, condFraming)
	}},
	{"2.7.2", "client", "a handle over the most that was told is a framing error", func(t *testing.T) error {
		c := rawAt(t, &seenAt{}).begin()
		c.attach(handleMost+1, rawProps)
		return c.told(codeClose, 0, condFraming)
	}},
	{"2.7.3", "client", "settlement modes reach the server as they were asked for, and its own the client", func(t *testing.T) error {
		s := &seenAt{}
		reply, err := rawAt(t, s).begin().link(true, func(p perf) perf { return p.with(3, uint8(1)).with(4, uint8(1)) })
		if err != nil {
			return err
		}
		all, err := s.of(codeAttach, 1)
		if err != nil {
			return err
		}
		return errors.Join(same("snd-settle-mode", all[0].field(3), uint8(1)), same("rcv-settle-mode", all[0].field(4), uint8(1)), same("the server's", reply.field(4), uint8(1)))
	}},
	{"2.7.5", "client", "a settled delivery is settled at the server, and nothing is said of it", func(t *testing.T) error {
		s := &seenAt{}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		c.send(0, true, false, false, []byte("a"))
		c.send(1, false, false, false, []byte("b"))
		f, err := c.frame() // of the second alone
		if err != nil {
			return err
		}
		all, err := s.of(codeTransfer, 2)
		return errors.Join(err, same("settled", all[0].flag(4), true), same("disposition of", f.number(1, 99), uint32(1)))
	}},
	{"2.7.6", "client", "a disposition over a range reaches the server for each delivery of it", func(t *testing.T) error {
		s := &seenAt{reply: func(c *conn, _ *session, f frame) bool {
			if f.code != codeFlow || f.field(4) == nil {
				return false
			}
			for i := range uint32(3) {
				c.write(0, perf{codeTransfer, list{uint32(0), i, []byte{byte(i)}, uint32(0)}}, []byte("m"))
			}
			return true
		}}
		c := rawAt(t, s).begin()
		if _, err := c.link(false); err != nil {
			return err
		}
		c.write(3, perf{codeFlow, list{uint32(0), uint32(9), uint32(0), uint32(9), uint32(1), uint32(0), uint32(3)}}, nil)
		for range 3 {
			if err := c.told(codeTransfer, 99, ""); err != nil {
				return err
			}
		}
		c.write(3, perf{codeDisposition, list{true, uint32(0), uint32(2), true, described{uint64(0x24), list{}}}}, nil)
		var settled []uint32
		for len(settled) < 3 {
			all, err := s.of(codeDisposition, 1)
			if err != nil {
				return err
			}
			settled = nil
			for _, f := range all {
				for id := f.number(1, 0); id <= f.number(2, f.number(1, 0)); id++ {
					settled = append(settled, id)
				}
			}
		}
		return same("settled", settled, []uint32{0, 1, 2})
	}},
	{"3.2", "client", "a message passes byte for byte, annotations and all", func(t *testing.T) error {
		s := &seenAt{}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		message := encode(encode(nil, described{uint64(0x72), mapping{symbol("x-opt-odd"), int64(-3)}}), described{uint64(0x75), []byte("body")})
		message = append(message, 0, 0x80, 0, 0, 0, 0, 0, 0, 0, 0x78, 0xd1, 0, 0, 0, 4, 0, 0, 0, 0) // a footer in its widest form
		c.send(0, false, false, false, message)
		all, err := s.of(codeTransfer, 1)
		if err != nil {
			return err
		}
		return same("message", all[0].payload, message)
	}},
	{"3.4", "client", "accepted, rejected, released and modified come back as the server gave them", func(t *testing.T) error {
		outcomes := []any{described{uint64(0x24), list{}}, described{uint64(0x25), list{errorOf("amqp:not-found", "no such score", nil)}}, described{uint64(0x26), list{}},
			described{uint64(0x27), list{true, false, mapping{symbol("why"), "x"}}}}
		s := &seenAt{reply: func(c *conn, _ *session, f frame) bool {
			if f.code == codeTransfer {
				c.write(0, perf{codeDisposition, list{true, f.field(1), nil, true, outcomes[f.number(1, 0)]}}, nil)
			}
			return f.code == codeTransfer
		}}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		for i, want := range outcomes {
			c.send(uint32(i), false, false, false, []byte("m"))
			f, err := c.frame()
			if err := errors.Join(err, same("outcome", f.field(4), want), same("settled", f.flag(3), true)); err != nil {
				return err
			}
		}
		return nil
	}},
	{"3.5", "client", "sources and targets reach the server as they are: durable, expiry, dynamic, filters, capabilities", func(t *testing.T) error {
		s := &seenAt{}
		source := described{uint64(0x28), list{nil, uint32(2), symbol("never"), uint32(60), true, mapping{symbol("lifetime-policy"), described{uint64(0x2b), list{}}}, symbol("copy"),
			mapping{symbol("sel"), described{symbol("apache.org:selector-filter:string"), "a = 1"}}, nil, array{symbol("amqp:accepted:list")}, array{symbol("queue")}}}
		if _, err := rawAt(t, s).begin().link(false, func(p perf) perf { return p.with(5, source) }); err != nil {
			return err
		}
		all, err := s.of(codeAttach, 1)
		if err != nil {
			return err
		}
		return same("source", all[0].field(5), source)
	}},
	{"5.3.1", "client", "mechanisms, init and outcome go before the header of AMQP", func(t *testing.T) error {
		c, err := hello(t, headerSASL)
		if err != nil {
			return err
		}
		f, err := c.read(frameSASL, time.Second)
		if err != nil || f.code != codeMechanisms || !offers(f.field(0), "ANONYMOUS") {
			return fmt.Errorf("mechanisms %v, %v", f.perf, err)
		}
		c.sasl(perf{codeInit, list{symbol("ANONYMOUS")}})
		f, err = c.read(frameSASL, time.Second)
		if err := errors.Join(err, same("outcome", f.number(0, 99), uint32(0))); err != nil {
			return err
		}
		c.header(headerAMQP)
		h, err := c.readHeader(time.Second)
		return errors.Join(err, same("header", h, headerAMQP))
	}},
	{"5.3.2", "client", "a mechanism that was not offered fails the outcome, and the connection is closed", func(t *testing.T) error {
		c, err := hello(t, headerSASL)
		if err != nil {
			return err
		}
		_, _ = c.read(frameSASL, time.Second)
		c.sasl(perf{codeInit, list{symbol("PLAIN"), []byte("\x00a\x00b")}})
		f, err := c.read(frameSASL, time.Second)
		if err := errors.Join(err, same("outcome", f.number(0, 99), uint32(1))); err != nil {
			return err
		}
		if _, err := c.read(frameSASL, 3*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("the connection goes on: %v", err)
		}
		return nil
	}},

	{"2.3", "server", "no frame is over the size that the server takes", func(t *testing.T) error {
		s := &seenAt{open: open("server").with(2, uint32(leastMost))}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		body := bytes.Repeat([]byte("n"), 2000)
		c.send(0, false, false, false, body)
		all, err := s.of(codeTransfer, 4)
		whole := []byte{}
		for i, f := range all {
			if len(appendFrame(nil, frameAMQP, 0, f.perf, f.payload)) > leastMost {
				err = errors.Join(err, fmt.Errorf("frame %d has %d bytes of payload", i, len(f.payload)))
			}
			whole = append(whole, f.payload...)
		}
		return errors.Join(err, same("whole", len(whole), len(body)))
	}},
	{"2.4.1", "server", "open, begin and attach come in this order, on a channel and a handle that every server takes", func(t *testing.T) error {
		s := &seenAt{}
		if _, err := rawAt(t, s).begin().link(true); err != nil {
			return err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var codes []uint64
		for _, f := range s.frames {
			if !f.empty {
				codes = append(codes, f.code)
			}
		}
		return errors.Join(same("order", codes[:3], []uint64{codeOpen, codeBegin, codeAttach}), same("channel", s.frames[1].channel, uint16(0)), same("handle", s.frames[2].number(1, 99), uint32(0)))
	}},
	{"2.4.5", "server", "frames without a body come within the idle time-out that the server asks for", func(t *testing.T) error {
		s := &seenAt{open: open("server").with(4, uint32(200))}
		if _, err := rawAt(t, s).begin().link(true); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond) // what is looked at is what comes in a time
		s.mu.Lock()
		defer s.mu.Unlock()
		beats := 0
		for _, f := range s.frames {
			if f.empty {
				beats++
			}
		}
		if beats < 3 {
			return fmt.Errorf("%d in 700 ms, where one is due every 200", beats)
		}
		return nil
	}},
	{"2.5.6", "server", "no more transfers go out than the server's window takes", func(t *testing.T) error {
		s := &seenAt{window: 2}
		c := rawAt(t, s).begin()
		if _, err := c.link(true); err != nil {
			return err
		}
		for i := range uint32(6) {
			c.send(i, true, false, false, []byte("m"))
		}
		if _, err := s.of(codeTransfer, 2); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond) // what is looked at is that nothing more comes
		all, err := s.of(codeTransfer, 2)
		return errors.Join(err, same("transfers", len(all), 2))
	}},
	{"2.7.1", "server", "shared connections have no more sessions than the server's channel-max takes", func(t *testing.T) error {
		var mu sync.Mutex
		most, conns := uint16(0), 0
		w := wireOf(func(f *Frontend) { f.Pool = connpool.Settings{MaxSessions: 8, IdleTimeout: time.Minute} }, nil)
		w.server = func(t testing.TB, tcp *net.TCPConn, _ *script) {
			c, ok := greetClient(t, tcp)
			if !ok {
				return
			}
			mu.Lock()
			conns++
			mu.Unlock()
			for {
				f, err := c.read(frameAMQP, serverWait)
				if err != nil {
					return
				}
				mu.Lock()
				most = max(most, f.channel)
				mu.Unlock()
				switch f.code {
				case codeOpen:
					c.opened(f.perf)
					c.write(0, open("server").with(3, uint16(1)), nil)
				case codeBegin:
					c.write(f.channel, newSession(c, f.channel).begin(f.channel), nil)
				case codeAttach:
					c.write(f.channel, f.with(2, !f.flag(2)).with(9, nil).with(13, nil), nil)
					c.write(f.channel, perf{codeFlow, list{uint32(0), uint32(9), uint32(0), uint32(9), uint32(0), uint32(0), uint32(9)}}, nil)
				}
			}
		}
		r := newRig(t, w, 1, nil)
		session := clientOf(t, r)
		for i := range 5 {
			attach(t, session, fmt.Sprint(i))
		}
		mu.Lock()
		defer mu.Unlock()
		return errors.Join(same("channel", most, uint16(1)), same("connections", conns, 3))
	}},

	{"2.6, 3.4", "library", "go-amqp sends in each settlement mode, and is told each outcome", func(t *testing.T) error {
		session := clientOf(t, newRig(t, wires[1], 1, nil))
		for _, mode := range []client10.SenderSettleMode{client10.SenderSettleModeSettled, client10.SenderSettleModeUnsettled, client10.SenderSettleModeMixed} {
			sender, err := session.NewSender(t.Context(), "there", &client10.SenderOptions{Properties: linkProperties(), SettlementMode: mode.Ptr()})
			if err != nil {
				return err
			}
			if err := errors.Join(sender.Send(t.Context(), client10.NewMessage([]byte("m")), nil), sender.Close(t.Context())); err != nil {
				return err
			}
		}
		return nil
	}},
	{"2.4 to 2.6", "library", "go-amqp opens and closes connections, sessions and links in any order", func(t *testing.T) error {
		r := newRig(t, wires[1], 1, nil)
		for i := range 4 {
			c, err := dialSecured(r.address, nil, client10.SASLTypeAnonymous())
			if err != nil {
				return err
			}
			session, err := c.NewSession(t.Context(), nil)
			if err != nil {
				return err
			}
			sender := attach(t, session, fmt.Sprint(i))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			if i%2 == 0 {
				err = sender.Close(ctx)
			}
			if i/2 == 0 {
				err = errors.Join(err, session.Close(ctx))
			}
			cancel()
			if err := errors.Join(err, c.Close()); err != nil {
				return err
			}
		}
		return nil
	}},
}

// unsupported is what is left out on purpose.
var unsupported = [][3]string{
	{"2.6.5", "suspending a link (a detach without closed)", "answered with a closing detach: what stands at a server ends with its client's link, as on the platform's own protocol"},
	{"2.6.13", "resuming deliveries over an attach's unsettled map", "the map reaches the server as it is; which server that is, the group's route says, and no delivery is kept by the relay"},
	{"2.8.16", "redirects (`amqp:link:redirect`, `amqp:connection:redirect`)", "a client that is to come again may come to any relay; it is detached with `amqp:link:detach-forced`"},
	{"4", "transactions", "a coordinator is a target like any other: passed on, never looked at"},
	{"5.2", "TLS by a header of its own (protocol id 2)", "TLS begins with the connection's first byte, as on port 5671"},
}

// The standard's requirements, one after another. What comes of them is docs/amqp-conformance.md, which has to be as this run
// finds it: go test ./internal/frontend/amqp -run Conformance -update writes it.
func TestConformance(t *testing.T) {
	verdicts := make([]string, len(requirements))
	t.Run("all", func(t *testing.T) {
		for i, r := range requirements {
			t.Run(r.section+" "+r.what, func(t *testing.T) {
				t.Parallel()
				verdicts[i] = "kept"
				if err := r.check(t); err != nil {
					verdicts[i] = "**broken**"
					t.Error(err)
				}
			})
		}
	})
	var b strings.Builder
	b.WriteString("# What of AMQP 1.0 the relay keeps\n\nGenerated by `go test ./internal/frontend/amqp -run Conformance -update`, from what a run found; do not edit. Sections are those of the OASIS standard " +
		"(part.section). *client* and *server* are hand-made peers of the front, *library* is `github.com/Azure/go-amqp`, as a second opinion. Wrong frames beyond these: " +
		"`TestWrongFramesGetTheStandardsConditions`; failures: `internal/faulttest`.\n\n| section | with a | requirement | verdict |\n| --- | --- | --- | --- |\n")
	for i, r := range requirements {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", r.section, r.peer, r.what, verdicts[i])
	}
	b.WriteString("\n## Left out on purpose\n\n| section | what | what happens instead |\n| --- | --- | --- |\n")
	for _, u := range unsupported {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", u[0], u[1], u[2])
	}
	if *update {
		if err := os.WriteFile(conformancePage, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if page, err := os.ReadFile(conformancePage); err != nil || string(page) != b.String() {
		t.Errorf("%s is not as this run finds it: %v", conformancePage, err)
	}
}
