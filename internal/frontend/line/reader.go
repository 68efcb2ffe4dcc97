package line

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
)

// bufferPool holds the buffers of readers that have nothing buffered.
var bufferPool = sync.Pool{New: func() any { return new([maxLineBytes]byte) }}

// reader reads a connection. It holds a buffer only while bytes are buffered: a read that
// waits, as nearly all do with ten thousand established connections, holds none. One
// goroutine at a time uses it.
type reader struct {
	raw        syscall.RawConn
	buffer     *[maxLineBytes]byte // nil while nothing is buffered
	start, end int                 // the buffered bytes
	rawErr     error               // of obtaining raw; every read returns it
}

func newReader(conn *net.TCPConn) *reader {
	raw, err := conn.SyscallConn()
	return &reader{raw: raw, rawErr: err}
}

// releaseBuffer returns an empty buffer to the pool.
func (r *reader) releaseBuffer() {
	if r.buffer != nil && r.start == r.end {
		bufferPool.Put(r.buffer)
		r.buffer, r.start, r.end = nil, 0, 0
	}
}

// fill waits for more bytes and appends them to the buffer. It fails with bufio.ErrBufferFull
// if there is no room, and otherwise as a read does.
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

// readLine returns the next readLine with its end, which is valid until the next call. It fails with
// bufio.ErrBufferFull if the readLine is longer than maxLineBytes, and otherwise as a read does.
func (r *reader) readLine() ([]byte, error) {
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

// readAvailable returns all that is buffered, or else what the readAvailable read returns: at least a byte,
// valid until the readAvailable call.
func (r *reader) readAvailable() ([]byte, error) {
	if r.start == r.end {
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
	data := r.buffer[r.start:r.end]
	r.start = r.end
	return data, nil
}

// buffered returns the number of bytes that were read from the connection and not returned.
func (r *reader) buffered() int { return r.end - r.start }
