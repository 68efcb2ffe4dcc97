package line

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// rest takes all that comes until the end.
func rest(r *reader) (all []byte, err error) {
	for {
		b, err := r.next()
		if all = append(all, b...); errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
	}
}

// Lines come whole however they were cut, and what follows them with the next call; a reader that waits holds no buffer.
func TestReaderTakesWhatComes(t *testing.T) {
	const text = "one\r\ntwo\nthe rest"
	for cut := range len(text) {
		here, there := pair(t)
		r := newReader(here)
		go func() {
			io.WriteString(there, text[:cut])
			io.WriteString(there, text[cut:])
			there.CloseWrite()
		}()
		for _, want := range []string{"one\r\n", "two\n"} {
			if got, err := r.line(); err != nil || string(got) != want {
				t.Fatalf("cut at %d: %q, %v, want %q", cut, got, err, want)
			}
		}
		if got, err := rest(r); err != nil || string(got) != "the rest" {
			t.Fatalf("cut at %d: %q, %v", cut, got, err)
		}
		if r.buf != nil {
			t.Fatalf("cut at %d: a buffer is held at the end", cut)
		}
	}
	here, there := pair(t)
	r := newReader(here)
	here.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := r.next(); !errors.Is(err, os.ErrDeadlineExceeded) || r.buf != nil {
		t.Errorf("%v, holding %v", err, r.buf != nil)
	}
	here.SetReadDeadline(time.Time{})
	for range 2 { // what does not end in maxLine is no line, and stays to be taken
		io.WriteString(there, strings.Repeat("x", maxLine))
		if _, err := r.line(); !errors.Is(err, bufio.ErrBufferFull) || r.Buffered() != maxLine {
			t.Errorf("%v, %d buffered", err, r.Buffered())
		}
		if b, err := r.next(); err != nil || len(b) != maxLine {
			t.Errorf("%d bytes, %v", len(b), err)
		}
	}
	there.SetLinger(0)
	there.Close()
	if _, err := r.next(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a reset is told as %v", err)
	}
	here.Close()
	if _, err := r.next(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a close here is told as %v", err)
	}
}

// Whatever comes in whatever pieces, and is taken by whichever calls, it is the same bytes in the same order.
func FuzzReader(f *testing.F) {
	f.Add([]byte("a\nbc\r\nd"), []byte{0, 1, 2, 3, 0, 1, 2})
	f.Fuzz(func(t *testing.T, text, choices []byte) {
		here, there := pair(t)
		r := newReader(here)
		go func() {
			s := testutil.New(choices)
			for left := text; len(left) > 0; {
				var part []byte
				part, left = s.Cut(left)
				_, _ = there.Write(part)
			}
			there.CloseWrite()
		}()
		var got []byte
		s := testutil.New(choices)
		for {
			var b []byte
			var err error
			switch s.Pick(2) {
			case 0:
				b, err = r.line()
				if errors.Is(err, bufio.ErrBufferFull) {
					b, err = r.next()
				}
			case 1:
				b, err = r.next()
			}
			got = append(got, b...)
			if err != nil {
				break
			}
		}
		last, _ := rest(r) // a line that does not end
		if got = append(got, last...); !bytes.Equal(got, text) {
			t.Errorf("%q came as %q", text, got)
		}
	})
}
