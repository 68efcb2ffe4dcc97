package amqp

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
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

// recordingEndpoint records what the frontend says to an endpoint, which accepts links with some credit.
type recordingEndpoint struct {
	mu     sync.Mutex
	frames []framing.Frame
	open   framing.Performative // that it says itself; zero: the usual
	window uint32
	credit uint32
	reply  func(conn *connection, s *session, frame framing.Frame) bool // more that it does; true: nothing else is done
}

func (s *recordingEndpoint) serve(t testing.TB, tcp *net.TCPConn, _ *scenario) {
	serveFrames(t, tcp, func(conn *connection, session *session, frame framing.Frame) bool {
		s.mu.Lock()
		s.frames = append(s.frames, frame)
		s.mu.Unlock()
		if s.reply != nil && s.reply(conn, session, frame) {
			return true
		}
		switch frame.Code {
		case framing.CodeOpen:
			conn.applyOpen(frame.Performative)
			open := newOpen("server")
			if s.open.Code != 0 {
				open = s.open
			}
			conn.writeFrame(0, open, nil)
		case framing.CodeBegin:
			_ = session.applyBegin(frame.Performative)
			begin := session.newBegin(uint16(0))
			if s.window > 0 {
				begin = begin.With(framing.BeginIncomingWindow, s.window)
			}
			conn.writeFrame(0, begin, nil)
		case framing.CodeAttach:
			conn.writeFrame(0, attachReply(frame.Performative, 0), nil)
			if !frame.Bool(framing.AttachRole) {
				conn.writeFrame(0, framing.Performative{Code: framing.CodeFlow, Fields: codec.List{uint32(0), cmp.Or(s.window, 100), uint32(0), uint32(100), uint32(0), uint32(0), cmp.Or(s.credit, 100)}}, nil)
			}
		case framing.CodeTransfer:
			if !frame.Bool(framing.TransferMore) && !frame.Bool(framing.TransferSettled) && !frame.Bool(framing.TransferAborted) {
				conn.writeFrame(0, acceptingDisposition(frame.Field(framing.TransferDeliveryID)), nil)
			}
		case framing.CodeDetach:
			conn.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		}
		return true
	})
}

// waitFor waits until an endpoint was told a performative, and returns all of those so far.
func (s *recordingEndpoint) waitFor(code uint64, least int) (all []framing.Frame, err error) {
	for late := time.Now().Add(3 * time.Second); ; time.Sleep(time.Millisecond) { // a poll with a bound
		s.mu.Lock()
		all = nil
		for _, frame := range s.frames {
			if !frame.Empty && frame.Code == code {
				all = append(all, frame)
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

// dialRawTo is a raw client at a relay whose endpoint records.
func dialRawTo(t *testing.T, recorder *recordingEndpoint) *rawClient {
	t.Helper()
	protocol := protocols[1]
	protocol.serveEndpoint = recorder.serve
	return dialRaw(t, newTestRelay(t, protocol, 1, nil).address)
}

// dialAndExchangeHeader dials a frontend, and exchanges a header with it.
func dialAndExchangeHeader(t *testing.T, header [8]byte) (*connection, error) {
	t.Helper()
	protocol := protocols[1]
	protocol.serveEndpoint = (&recordingEndpoint{}).serve
	tcp, err := net.Dial("tcp", newTestRelay(t, protocol, 1, nil).address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { tcp.Close() })
	conn := newConnection(tcp.(*net.TCPConn))
	conn.writeProtocolHeader(header)
	got, err := conn.readProtocolHeader(time.Second)
	return conn, errors.Join(err, checkEqual("header", got, header))
}

func checkEqual(what string, got, want any) error {
	if !reflect.DeepEqual(got, want) {
		return fmt.Errorf("%s: %v, want %v", what, got, want)
	}
	return nil
}

// answersTo are bytes that a client sends, and the close that it gets.
func closedAfter(text []byte, cond string) func(*testing.T) error {
	return func(t *testing.T) error {
		client := dialRawTo(t, &recordingEndpoint{})
		_, _ = client.Write(text)
		return client.checkNext(framing.CodeClose, 0, cond)
	}
}

// requirements are all that is checked, in the order of the page.
var requirements = slices.Concat(clientRequirements, endpointRequirements, libraryRequirements)

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
		for i, entry := range requirements {
			t.Run(entry.section+" "+entry.what, func(t *testing.T) {
				t.Parallel()
				verdicts[i] = "kept"
				if err := entry.check(t); err != nil {
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
	for i, entry := range requirements {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", entry.section, entry.peer, entry.what, verdicts[i])
	}
	b.WriteString("\n## Left out on purpose\n\n| section | what | what happens instead |\n| --- | --- | --- |\n")
	for _, row := range unsupported {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", row[0], row[1], row[2])
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
