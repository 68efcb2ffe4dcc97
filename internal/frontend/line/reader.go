package line

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
)

// bufferPool holds buffers that no reader uses at the moment.
var bufferPool = sync.Pool{New: func() any { return new([maxLineBytes]byte) }}

// reader reads lines and data from a connection. It holds a buffer only while bytes are buffered,
// so that idle connections, of which there may be ten thousand, hold none. It must not be used
// concurrently.
type reader struct {
	raw        syscall.RawConn
	buffer     *[maxLineBytes]byte // nil while nothing is buffered
	start, end int                 // range of the buffered bytes in buffer
	rawErr     error               // error from obtaining raw, which every read returns
}

func newReader(conn *net.TCPConn) *reader {
	raw, err := conn.SyscallConn()
	return &reader{raw: raw, rawErr: err}
}

// releaseBuffer returns the buffer to the pool if nothing is buffered.
func (r *reader) releaseBuffer() {
	if r.buffer != nil && r.start == r.end {
		bufferPool.Put(r.buffer)
		r.buffer, r.start, r.end = nil, 0, 0
	}
}

// fill waits for more bytes and appends them to the buffer. It returns bufio.ErrBufferFull if the
// buffer has no room, and otherwise the error of the read.
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

// readLine returns the next line, including its line ending, which is valid until the next call.
// It returns bufio.ErrBufferFull if the line is longer than maxLineBytes.
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

// readAvailable returns the buffered bytes or, if there are none, waits for the next read. It
// returns at least one byte or an error. The bytes are valid until the next call.
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

// buffered returns the number of buffered bytes.
func (r *reader) buffered() int { return r.end - r.start }
