package line

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
)

// bufferPool are lent to readers while there are bytes in them.
var bufferPool = sync.Pool{New: func() any { return new([maxLineBytes]byte) }}

// reader reads a connection. It holds a buffer only while there are bytes in it: a read that waits, as nearly all do of ten
// thousand connections that stand, holds none. One goroutine at a time uses it.
type reader struct {
	raw        syscall.RawConn
	buffer     *[maxLineBytes]byte // nil while nothing is held
	start, end int                 // what has come and was not taken yet
	rawErr     error               // raw's own
}

func newReader(c *net.TCPConn) *reader {
	raw, err := c.SyscallConn()
	return &reader{raw: raw, rawErr: err}
}

// releaseBuffer gives an empty buffer back.
func (r *reader) releaseBuffer() {
	if r.buffer != nil && r.start == r.end {
		bufferPool.Put(r.buffer)
		r.buffer, r.start, r.end = nil, 0, 0
	}
}

// fill waits for more and appends it to what is there. It fails with bufio.ErrBufferFull where there is no room, and as a read does.
func (r *reader) fill() error {
	if r.rawErr != nil {
		return r.rawErr
	}
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.buffer != nil && r.end == len(r.buffer) {
		if r.start == 0 {
			return bufio.ErrBufferFull
		}
		r.end = copy(r.buffer[:], r.buffer[r.start:r.end])
		r.start = 0
	}
	var count int
	var readErr error
	err := r.raw.Read(func(fd uintptr) bool {
		if r.buffer == nil {
			r.buffer = bufferPool.Get().(*[maxLineBytes]byte)
		}
		for {
			if count, readErr = syscall.Read(int(fd), r.buffer[r.end:]); readErr != syscall.EINTR {
				break
			}
		}
		if readErr == syscall.EAGAIN {
			r.releaseBuffer()
			return false
		}
		return true
	})
	switch {
	case err == nil && readErr == nil && count > 0:
		r.end += count
		return nil
	case err == nil && readErr == nil:
		err = io.EOF
	case err == nil:
		err = readErr
	}
	r.releaseBuffer()
	return err
}

// line returns the next line with its end, which is good until the next call. It fails with bufio.ErrBufferFull if that is too long, and
// as a read does.
func (r *reader) line() ([]byte, error) {
	for searched := 0; ; {
		if r.buffer != nil {
			if newline := bytes.IndexByte(r.buffer[r.start+searched:r.end], '\n'); newline >= 0 {
				text := r.buffer[r.start : r.start+searched+newline+1]
				r.start += searched + newline + 1
				return text, nil
			}
		}
		searched = r.end - r.start
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// next returns all that has come, at least a byte, which is good until the next call.
func (r *reader) next() ([]byte, error) {
	if r.start == r.end {
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
	data := r.buffer[r.start:r.end]
	r.start = r.end
	return data, nil
}

// buffered is how many bytes have come and were not taken.
func (r *reader) buffered() int { return r.end - r.start }
