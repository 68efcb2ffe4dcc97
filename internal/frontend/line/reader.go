package line

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
)

// buffers are lent to readers while there are bytes in them.
var buffers = sync.Pool{New: func() any { return new([maxLine]byte) }}

// reader reads a connection. It holds a buffer only while there are bytes in it: a read that waits, as nearly all do of ten
// thousand connections that stand, holds none. One goroutine at a time uses it.
type reader struct {
	raw      syscall.RawConn
	buf      *[maxLine]byte // nil while nothing is held
	from, to int            // what has come and was not taken yet
	err      error          // raw's own
}

func newReader(c *net.TCPConn) *reader {
	raw, err := c.SyscallConn()
	return &reader{raw: raw, err: err}
}

// letGo gives an empty buffer back.
func (r *reader) letGo() {
	if r.buf != nil && r.from == r.to {
		buffers.Put(r.buf)
		r.buf, r.from, r.to = nil, 0, 0
	}
}

// fill waits for more and appends it to what is there. It fails with bufio.ErrBufferFull where there is no room, and as a read does.
func (r *reader) fill() error {
	if r.err != nil {
		return r.err
	}
	if r.from == r.to {
		r.from, r.to = 0, 0
	}
	if r.buf != nil && r.to == len(r.buf) {
		if r.from == 0 {
			return bufio.ErrBufferFull
		}
		r.to = copy(r.buf[:], r.buf[r.from:r.to])
		r.from = 0
	}
	var n int
	var failed error
	err := r.raw.Read(func(fd uintptr) bool {
		if r.buf == nil {
			r.buf = buffers.Get().(*[maxLine]byte)
		}
		for {
			if n, failed = syscall.Read(int(fd), r.buf[r.to:]); failed != syscall.EINTR {
				break
			}
		}
		if failed == syscall.EAGAIN {
			r.letGo()
			return false
		}
		return true
	})
	switch {
	case err == nil && failed == nil && n > 0:
		r.to += n
		return nil
	case err == nil && failed == nil:
		err = io.EOF
	case err == nil:
		err = failed
	}
	r.letGo()
	return err
}

// line returns the next line with its end, which is good until the next call. It fails with bufio.ErrBufferFull if that is too long, and
// as a read does.
func (r *reader) line() ([]byte, error) {
	for looked := 0; ; {
		if r.buf != nil {
			if i := bytes.IndexByte(r.buf[r.from+looked:r.to], '\n'); i >= 0 {
				text := r.buf[r.from : r.from+looked+i+1]
				r.from += looked + i + 1
				return text, nil
			}
		}
		looked = r.to - r.from
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// next returns all that has come, at least a byte, which is good until the next call.
func (r *reader) next() ([]byte, error) {
	if r.from == r.to {
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
	b := r.buf[r.from:r.to]
	r.from = r.to
	return b, nil
}

// Buffered is how many bytes have come and were not taken.
func (r *reader) Buffered() int { return r.to - r.from }
