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

// readAll reads until io.EOF, which it does not return.
func readAll(r *reader) (all []byte, err error) {
	for {
		data, err := r.readAvailable()
		if all = append(all, data...); errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
	}
}

// Lines must be returned complete wherever the stream is split, with the rest left for the next call,
// and a reader that waits must not hold a buffer.
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
			if got, err := r.readLine(); err != nil || string(got) != want {
				t.Fatalf("split at %d: readLine returned %q, %v, want %q", cut, got, err, want)
			}
		}
		if got, err := readAll(r); err != nil || string(got) != "the rest" {
			t.Fatalf("split at %d: the rest is %q, %v", cut, got, err)
		}
		if r.buffer != nil {
			t.Fatalf("split at %d: the reader holds a buffer at the end", cut)
		}
	}
	near, far := connectionPair(t)
	r := newReader(near)
	near.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := r.readAvailable(); !errors.Is(err, os.ErrDeadlineExceeded) || r.buffer != nil {
		t.Errorf("waiting reader: error %v, holds a buffer: %v", err, r.buffer != nil)
	}
	near.SetReadDeadline(time.Time{})
	for range 2 { // a line that is too long stays buffered
		io.WriteString(far, strings.Repeat("x", maxLineBytes))
		if _, err := r.readLine(); !errors.Is(err, bufio.ErrBufferFull) || r.buffered() != maxLineBytes {
			t.Errorf("line that is too long: error %v, %d bytes buffered", err, r.buffered())
		}
		if data, err := r.readAvailable(); err != nil || len(data) != maxLineBytes {
			t.Errorf("readAvailable returned %d bytes, %v", len(data), err)
		}
	}
	far.SetLinger(0)
	far.Close()
	if _, err := r.readAvailable(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: error %v, want ECONNRESET", err)
	}
	near.Close()
	if _, err := r.readAvailable(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after closing the connection: error %v, want net.ErrClosed", err)
	}
}

// The bytes that are read must be those that were sent, in whatever pieces they arrive and by whichever
// methods they are read.
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
				data, err = r.readLine()
				if errors.Is(err, bufio.ErrBufferFull) {
					data, err = r.readAvailable()
				}
			case 1:
				data, err = r.readAvailable()
			}
			got = append(got, data...)
			if err != nil {
				break
			}
		}
		last, _ := readAll(r) // an incomplete line
		if got = append(got, last...); !bytes.Equal(got, text) {
			t.Errorf("sent %q, read %q", text, got)
		}
	})
}
