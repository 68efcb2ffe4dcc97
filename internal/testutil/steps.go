// Package testutil turns the bytes of a fuzzer into random steps, for tests that
// check what they do against a model, and waits for what tests wait for. Equal bytes give equal steps.
package testutil

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Source yields choices until its bytes are used up; from then on it yields 0.
type Source struct{ data []byte }

// New returns a Source of the bytes of a fuzzer.
func New(data []byte) *Source { return &Source{data} }

// More tells whether there are bytes left.
func (s *Source) More() bool { return len(s.data) > 0 }

// Pick chooses one of n.
func (s *Source) Pick(n int) int {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return int(b) % n
}

// Cut takes a random part, at least one byte, off the front of some bytes.
func (s *Source) Cut(b []byte) (part, rest []byte) {
	if len(b) == 0 {
		return nil, nil
	}
	n := 1 + s.Pick(len(b))
	return b[:n], b[n:]
}

// Until waits for something to come true that is due at any moment, and fails the test if it
// does not within 10 s. It is for what real sockets and processes do, which no fake clock drives.
func Until(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for late := time.Now().Add(10 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal(what)
		}
	}
}

// Unread waits until so many bytes have come on a connection that nobody reads.
func Unread(t testing.TB, c *net.TCPConn, want int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Until(t, "what was sent has not come", func() (there bool) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			there = err == nil && n >= want
		})
		return there
	})
}
