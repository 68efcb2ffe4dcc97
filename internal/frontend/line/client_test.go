package line

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"lockroad/internal/testutil"
)

// connectionPair returns the two ends of a connection over loopback.
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

// A client's connection is open, then migrating once it is asked to while a line is partly
// written, then over. Random steps are checked against that model: MOVE comes once, between
// two lines, and nothing comes after it.
func FuzzMigrationComesBetweenLines(f *testing.F) {
	f.Add([]byte("UP r\r\nM 1 abc\r\n"), []byte{4, 0, 9, 1, 3})
	f.Add([]byte("UP r\r\nM 1 abc\r\nM 2 def\r\n"), []byte{2, 1, 0, 7, 0, 0})
	f.Add([]byte("no end"), []byte{1, 1, 0, 1})
	f.Fuzz(func(t *testing.T, stream, choices []byte) {
		if len(stream) > 1<<12 || len(choices) > 64 || bytes.Contains(stream, []byte("MOVE")) {
			return
		}
		near, far := connectionPair(t)
		client, from := newClientConn(near), testutil.NewSource(choices)
		var expected strings.Builder // the model: what the client is to see
		const open, moving, over = 0, 1, 2
		state, ended := open, make(chan struct{})
		for rest := stream; len(rest) > 0 && state != over; {
			if from.Pick(4) == 1 && state == open {
				if accepted := expected.String(); accepted == "" || strings.HasSuffix(accepted, "\n") {
					client.writeLastLine(migrateLine)
					close(ended)
					state = over
					break
				}
				go func() { client.writeLastLine(migrateLine); close(ended) }()
				for requested := false; !requested; { // until the request to migrate has come in
					client.mu.Lock()
					requested = client.migrated != nil
					client.mu.Unlock()
				}
				state = moving
			}
			var part []byte
			part, rest = from.Cut(rest)
			_ = client.write(part)
			if newline := bytes.IndexByte(part, '\n'); state == moving && newline >= 0 {
				part, state = part[:newline+1], over
			}
			expected.Write(part)
		}
		if state == over {
			expected.WriteString(migrateLine)
			_ = client.write([]byte("late\r\n"))
		}
		close(client.readDone)
		if state != open {
			<-ended
		}
		near.CloseWrite()
		got, err := io.ReadAll(far)
		if err != nil || string(got) != expected.String() {
			t.Errorf("the client saw %q, %v, want %q", got, err, expected.String())
		}
	})
}
