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

// readAll reads until the end.
func readAll(r *reader) (all []byte, err error) {
	for {
		data, err := r.next()
		if all = append(all, data...); errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
	}
}

// Lines are returned complete however they were cut, and what follows them by the next call; a reader that waits holds no buffer.
func TestReaderReturnsLinesAndRemainder(t *testing.T) {
	const text = "one\r\ntwo\nthe rest"
	for cut := range len(text) {
		near, far := connectionPair(t)
		r := newReader(near)
		go func() {
			io.WriteString(far, text[:cut])
			io.WriteString(far, text[cut:])
			far.CloseWrite()
		}()
		for _, want := range []string{"one\r\n", "two\n"} {
			if got, err := r.line(); err != nil || string(got) != want {
				t.Fatalf("cut at %d: %q, %v, want %q", cut, got, err, want)
			}
		}
		if got, err := readAll(r); err != nil || string(got) != "the rest" {
			t.Fatalf("cut at %d: %q, %v", cut, got, err)
		}
		if r.buffer != nil {
			t.Fatalf("cut at %d: a buffer is held at the end", cut)
		}
	}
	near, far := connectionPair(t)
	r := newReader(near)
	near.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := r.next(); !errors.Is(err, os.ErrDeadlineExceeded) || r.buffer != nil {
		t.Errorf("%v, holding %v", err, r.buffer != nil)
	}
	near.SetReadDeadline(time.Time{})
	for range 2 { // what does not end within maxLineBytes is no line, and stays buffered
		io.WriteString(far, strings.Repeat("x", maxLineBytes))
		if _, err := r.line(); !errors.Is(err, bufio.ErrBufferFull) || r.buffered() != maxLineBytes {
			t.Errorf("%v, %d buffered", err, r.buffered())
		}
		if data, err := r.next(); err != nil || len(data) != maxLineBytes {
			t.Errorf("%d bytes, %v", len(data), err)
		}
	}
	far.SetLinger(0)
	far.Close()
	if _, err := r.next(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a reset is returned as %v", err)
	}
	near.Close()
	if _, err := r.next(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a close of this end is returned as %v", err)
	}
}

// Whatever comes in whatever pieces, and is read by whichever calls, it is the same bytes in the same order.
func FuzzReader(f *testing.F) {
	f.Add([]byte("a\nbc\r\nd"), []byte{0, 1, 2, 3, 0, 1, 2})
	f.Fuzz(func(t *testing.T, text, choices []byte) {
		near, far := connectionPair(t)
		r := newReader(near)
		go func() {
			source := testutil.NewSource(choices)
			for left := text; len(left) > 0; {
				var part []byte
				part, left = source.Cut(left)
				_, _ = far.Write(part)
			}
			far.CloseWrite()
		}()
		var got []byte
		source := testutil.NewSource(choices)
		for {
			var data []byte
			var err error
			switch source.Pick(2) {
			case 0:
				data, err = r.line()
				if errors.Is(err, bufio.ErrBufferFull) {
					data, err = r.next()
				}
			case 1:
				data, err = r.next()
			}
			got = append(got, data...)
			if err != nil {
				break
			}
		}
		last, _ := readAll(r) // a line that does not end
		if got = append(got, last...); !bytes.Equal(got, text) {
			t.Errorf("%q came as %q", text, got)
		}
	})
}
