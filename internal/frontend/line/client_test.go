package line

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"lockroad/internal/testutil"
)

// pair returns the two ends of a connection over loopback.
func pair(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// A client's connection is open, then moving once it is told to while a line is
// written in part, then over. Random steps are checked against that: MOVE comes
// once, between two lines, and nothing comes after it.
func FuzzMoveComesBetweenLines(f *testing.F) {
	f.Add([]byte("UP r\r\nM 1 abc\r\n"), []byte{4, 0, 9, 1, 3})
	f.Add([]byte("UP r\r\nM 1 abc\r\nM 2 def\r\n"), []byte{2, 1, 0, 7, 0, 0})
	f.Add([]byte("no end"), []byte{1, 1, 0, 1})
	f.Fuzz(func(t *testing.T, stream, choices []byte) {
		if len(stream) > 1<<12 || len(choices) > 64 || bytes.Contains(stream, []byte("MOVE")) {
			return
		}
		near, far := pair(t)
		c, from := newClient(near), testutil.New(choices)
		var want strings.Builder // the model: what the client is to see
		const open, moving, over = 0, 1, 2
		state, ended := open, make(chan struct{})
		for rest := stream; len(rest) > 0 && state != over; {
			if from.Pick(4) == 1 && state == open {
				if s := want.String(); s == "" || strings.HasSuffix(s, "\n") {
					c.end(lineMove)
					close(ended)
					state = over
					break
				}
				go func() { c.end(lineMove); close(ended) }()
				for asked := false; !asked; { // until the request to move has come in
					c.mu.Lock()
					asked = c.moving != nil
					c.mu.Unlock()
				}
				state = moving
			}
			var part []byte
			part, rest = from.Cut(rest)
			_ = c.write(part)
			if i := bytes.IndexByte(part, '\n'); state == moving && i >= 0 {
				part, state = part[:i+1], over
			}
			want.Write(part)
		}
		if state == over {
			want.WriteString(lineMove)
			_ = c.write([]byte("late\r\n"))
		}
		close(c.gone)
		if state != open {
			<-ended
		}
		near.CloseWrite()
		got, err := io.ReadAll(far)
		if err != nil || string(got) != want.String() {
			t.Errorf("the client saw %q, %v, want %q", got, err, want.String())
		}
	})
}
