package line

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"lockroad/internal/testutil"
)

// connectionPair returns the two ends of a TCP connection over loopback, the accepting end first.
func connectionPair(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), client.(*net.TCPConn)
}

// MOVE must be written once, between two lines, with nothing after it. The model of a client's
// connection is open, migrating after a MOVE that has to wait for the rest of a line, or closed.
func FuzzMigrationComesBetweenLines(f *testing.F) {
	f.Add([]byte("UP r\r\nM 1 abc\r\n"), []byte{4, 0, 9, 1, 3})
	f.Add([]byte("UP r\r\nM 1 abc\r\nM 2 def\r\n"), []byte{2, 1, 0, 7, 0, 0})
	f.Add([]byte("no end"), []byte{1, 1, 0, 1})
	f.Fuzz(func(t *testing.T, stream, choices []byte) {
		if len(stream) > 1<<12 || len(choices) > 64 || bytes.Contains(stream, []byte("MOVE")) {
			return
		}
		near, far := connectionPair(t)
		client, source := newClientConn(near), testutil.NewSource(choices)
		var expected strings.Builder // all that the client should receive
		const open, migrating, closed = 0, 1, 2
		state, migrated := open, make(chan struct{})
		for rest := stream; len(rest) > 0 && state != closed; {
			if source.Pick(4) == 1 && state == open {
				if accepted := expected.String(); accepted == "" || strings.HasSuffix(accepted, "\n") {
					client.writeLastLine(migrateLine)
					close(migrated)
					state = closed
					break
				}
				go func() { client.writeLastLine(migrateLine); close(migrated) }()
				for waiting := false; !waiting; { // until writeLastLine waits for the rest of the line
					client.mu.Lock()
					waiting = client.migrated != nil
					client.mu.Unlock()
				}
				state = migrating
			}
			var part []byte
			part, rest = source.Cut(rest)
			_ = client.write(part)
			if newline := bytes.IndexByte(part, '\n'); state == migrating && newline >= 0 {
				part, state = part[:newline+1], closed
			}
			expected.Write(part)
		}
		if state == closed {
			expected.WriteString(migrateLine)
			_ = client.write([]byte("late\r\n"))
		}
		close(client.readDone)
		if state != open {
			<-migrated
		}
		near.CloseWrite()
		got, err := io.ReadAll(far)
		if err != nil || string(got) != expected.String() {
			t.Errorf("the client received %q, error %v, want %q", got, err, expected.String())
		}
	})
}
