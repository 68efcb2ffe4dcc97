package line

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"lockroad/internal/listener"
)

const (
	// writeTimeout bounds each write of relayed data. A client that accepts nothing for this
	// long is considered gone.
	writeTimeout = 5 * time.Second
	// lastLineTimeout bounds the write of the relay's own last line.
	lastLineTimeout = 300 * time.Millisecond
	// lineCompletionTimeout is how long MOVE waits for the rest of a partly written line. At
	// shutdown the last client is sent MOVE 1.1 s before SIGKILL.
	lineCompletionTimeout = 800 * time.Millisecond
)

const migrateLine = "MOVE\r\n"

// errLastLineWritten is returned by write once the last line has been written.
var errLastLineWritten = errors.New("write to the client after the last line")

// clientConn is a client's connection. Its write methods keep lines complete: the relay's own
// last line (ERR, BUSY or MOVE) is never inside a line of the endpoint, and nothing follows it.
type clientConn struct {
	*net.TCPConn
	reader       *bufio.Reader
	readDone     chan struct{} // closed once nothing more is read from the client
	upstreamDone chan struct{} // closed once nothing more is relayed from the endpoint

	mu              sync.Mutex    // guards the fields below and the order of writes
	midLine         bool          // a line is partly written
	lastLineWritten bool          // nothing more may be written
	writeHold       chan struct{} // the relay's last line waits until it is closed; nil: no wait
	migrated        chan struct{} // closed once the partly written line and MOVE are written; nil: no MOVE is due
}

func newClientConn(conn *net.TCPConn) *clientConn {
	return &clientConn{
		TCPConn:      conn,
		reader:       bufio.NewReaderSize(conn, maxLineBytes),
		readDone:     make(chan struct{}),
		upstreamDone: make(chan struct{}),
	}
}

// write writes data from the endpoint. If a MOVE is due, it follows the first line ending in
// data, the rest of data is dropped, and write fails with errLastLineWritten.
func (c *clientConn) write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastLineWritten {
		return errLastLineWritten
	}
	if c.migrated != nil {
		if newline := bytes.IndexByte(data, '\n'); newline >= 0 {
			defer close(c.migrated)
			c.lastLineWritten = true
			c.SetWriteDeadline(time.Now().Add(lastLineTimeout))
			_, err := c.Write(append(data[:newline+1:newline+1], migrateLine...))
			return errors.Join(err, errLastLineWritten)
		}
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(data)
	c.midLine = len(data) > 0 && data[len(data)-1] != '\n'
	return err
}

// writeLastLine writes text as the last line. If a last line was written before, it writes nothing
// and returns false. If a line of the endpoint is partly written, it waits up to
// lineCompletionTimeout until write has completed that line and appended MOVE instead of text.
func (c *clientConn) writeLastLine(text string) bool {
	c.SetWriteDeadline(time.Now().Add(lastLineTimeout)) // also bounds a blocked write that holds mu
	c.mu.Lock()
	if writeHold := c.writeHold; writeHold != nil {
		c.mu.Unlock()
		<-writeHold
		c.SetWriteDeadline(time.Now().Add(lastLineTimeout))
		c.mu.Lock()
	}
	if c.lastLineWritten {
		c.mu.Unlock()
		return false
	}
	if !c.midLine {
		c.lastLineWritten = true
		_, _ = c.Write([]byte(text)) // fails only if the client has gone
		c.mu.Unlock()
		return true
	}
	migrated := make(chan struct{})
	c.migrated = migrated
	c.mu.Unlock()
	select {
	case <-migrated:
	case <-c.readDone:
	case <-c.upstreamDone: // the line stays incomplete, and MOVE can't follow it
	case <-time.After(lineCompletionTimeout):
	}
	return true
}

// noteLastLineWritten records that the endpoint's own last line (BYE or MOVE) was written.
func (c *clientConn) noteLastLineWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLineWritten = true
}

// finish closes the relay's half, waits up to listener.LingerTimeout until another goroutine has
// run drain, and closes the connection. A close with unread data would reset the connection, and
// the client might lose the last line.
func (c *clientConn) finish() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	<-c.readDone
	c.Close()
}

// drain discards up to listener.LingerMaxBytes that the client still sends, then closes readDone.
func (c *clientConn) drain() {
	_, _ = io.CopyN(io.Discard, c.reader, listener.LingerMaxBytes)
	close(c.readDone)
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
