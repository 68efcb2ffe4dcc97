package hotrestart

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lockroad/internal/testutil"
)

// socketPair returns both ends of a Unix socket connection.
func socketPair(t *testing.T) (near, far channel) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	end := func(fd int) channel {
		file := os.NewFile(uintptr(fd), "end")
		defer func() { _ = file.Close() }()
		conn, err := net.FileConn(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return newChannel(conn.(*net.UnixConn))
	}
	return end(fds[0]), end(fds[1])
}

// goldenFrame formats a message for a golden file: the header in hexadecimal digits, a line break, and the body.
func goldenFrame(header, body []byte) []byte { return fmt.Appendf(nil, "%x\n%s", header, body) }

// checkFrame checks that a message is sent as the bytes in its golden file, and that it is decoded from these bytes
// unchanged.
func checkFrame[T any](t *testing.T, path string, kind messageKind, want T, sockets ...syscall.Conn) {
	t.Helper()
	near, far := socketPair(t)
	if err := near.send(time.Second, kind, want, sockets...); err != nil {
		t.Fatal(err)
	}
	near.CloseWrite()
	far.SetReadDeadline(time.Now().Add(time.Second))
	sent, err := io.ReadAll(far)
	if err != nil || len(sent) < headerSize {
		t.Fatalf("%s: got %d bytes, %v, want a message", path, len(sent), err)
	}
	golden := testutil.Golden(t, path, goldenFrame(sent[:headerSize], sent[headerSize:]))

	digits, body, _ := bytes.Cut(golden, []byte("\n"))
	header, err := hex.DecodeString(string(digits))
	if err != nil {
		t.Fatal(err)
	}
	near, far = socketPair(t)
	err = withDescriptors(sockets, nil, func(fds []int) error {
		var rights []byte
		if len(fds) > 0 {
			rights = unix.UnixRights(fds...)
		}
		_, _, err := near.WriteMsgUnix(append(header, body...), rights, nil)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	received, err := far.receive(time.Now().Add(time.Second))
	if err != nil {
		t.Fatalf("%s: receiving failed: %v", path, err)
	}
	defer received.closeFiles()
	var decoded T
	if err := received.decode(&decoded); err != nil {
		t.Fatalf("%s: decoding failed: %v", path, err)
	}
	if received.kind != kind || len(received.descriptors) != len(sockets) || !reflect.DeepEqual(decoded, want) {
		t.Errorf("%s is received as kind %d with %d descriptors and\n%+v, want %d, %d and\n%+v",
			path, received.kind, len(received.descriptors), decoded, kind, len(sockets), want)
	}
}

// openListeners opens TCP listeners for an offer.
func openListeners(t *testing.T, count int) (all []syscall.Conn) {
	t.Helper()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		all = append(all, listener.(*net.TCPListener))
	}
	return all
}

func TestHelloKeepsItsEncoding(t *testing.T) {
	complete := helloMessage{Version: 1, PID: 4711, AcceptsCalls: true}
	testutil.RequireComplete(t, complete)
	checkFrame(t, "testdata/hello-calls.frame", kindHello, complete)
	checkFrame(t, "testdata/hello.frame", kindHello, helloMessage{Version: 1, PID: 4711}) // of releases without calls
}

func TestCallsKeepTheirEncoding(t *testing.T) {
	call := callMessage{Number: 5, Method: "orders", Argument: json.RawMessage(`{"Revision":3}`), Timeout: 750 * time.Millisecond}
	result := resultMessage{Number: 5, Error: "unknown", Result: json.RawMessage(`{"Changes":[]}`)}
	rejoin := rejoinMessage{Version: 1, PID: 4711, State: json.RawMessage(`{"Orders":{}}`)}
	for _, complete := range []any{call, result, rejoin} {
		testutil.RequireComplete(t, complete)
	}
	checkFrame(t, "testdata/call.frame", kindCall, call)
	checkFrame(t, "testdata/result.frame", kindResult, result)
	checkFrame(t, "testdata/result-success.frame", kindResult, resultMessage{Number: 6, Result: json.RawMessage("null")})
	checkFrame(t, "testdata/rejoin.frame", kindRejoin, rejoin)
	checkFrame(t, "testdata/rejoined.frame", kindRejoined, rejoin)
	checkFrame(t, "testdata/state.frame", kindState, map[string]any{"ReloadedAt": "x"})
	checkFrame(t, "testdata/go-state.frame", kindPaused, map[string]any{"ReloadedAt": "x"})
}

// Peers of another version are rejected, so the version may change only together with the encoding.
func TestProtocolVersionIsUnchanged(t *testing.T) {
	if ProtocolVersion != 1 {
		t.Errorf("the protocol version is %d, but the golden files are of version 1", ProtocolVersion)
	}
}

func TestOfferKeepsItsEncoding(t *testing.T) {
	complete := &Offer{
		Clock: 1234567890 * time.Nanosecond, ClockStart: time.Date(2026, 7, 8, 9, 10, 11, 123456789, time.UTC),
		ListenerNames: []string{"line", "amqp"}, State: json.RawMessage(`{"Agent":"127.0.0.1:1"}`),
	}
	testutil.RequireComplete(t, complete)
	checkFrame(t, "testdata/offer.frame", kindOffer, complete, openListeners(t, 2)...)
	checkFrame(t, "testdata/offer-zero.frame", kindOffer, &Offer{State: json.RawMessage("{}")})
}

func TestRejectionKeepsItsEncoding(t *testing.T) {
	checkFrame(t, "testdata/refuse.frame", kindReject, "format 2 against 1, or another new process is there")
}

func TestTakeOverKeepsItsEncoding(t *testing.T) {
	checkFrame[any](t, "testdata/take.frame", kindTakeOver, nil)
}

func TestPausedKeepsItsEncoding(t *testing.T) {
	checkFrame[any](t, "testdata/go.frame", kindPaused, nil)
}

func TestConnectionKeepsItsEncoding(t *testing.T) {
	complete := connectionMessage{Number: 42, Payload: json.RawMessage(`{"Front":"line"}`)}
	testutil.RequireComplete(t, complete)
	near, far := connectionPair(t)
	checkFrame(t, "testdata/established.frame", kindConnection, complete, near.(*net.TCPConn), far.(*net.TCPConn))
}

func TestAcknowledgementsKeepTheirEncoding(t *testing.T) {
	checkFrame(t, "testdata/ack.frame", kindAck, 42)
	checkFrame(t, "testdata/nack.frame", kindNack, 43)
}

// Processes of different versions must use the same path.
func TestSocketPathIsUnchanged(t *testing.T) {
	testutil.Golden(t, "testdata/path.txt", []byte(SocketPath("/run/x", "n0", "127.0.0.1:7000")))
}

func TestMessageFieldsAreTagged(t *testing.T) {
	for _, message := range []any{helloMessage{}, Offer{}, connectionMessage{}, callMessage{}, resultMessage{}, rejoinMessage{}} {
		testutil.RequireTags(t, []string{"json"}, message)
	}
}
