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
	// writeTimeout bounds a write: a client that takes nothing for this long is gone.
	writeTimeout = 5 * time.Second
	// lastLineTimeout bounds the write of the last line.
	lastLineTimeout = 300 * time.Millisecond
	// lineCompletionTimeout is how long the rest of a line may take before MOVE follows it.
	// At shutdown the last client is asked to migrate 1.1 s before SIGKILL.
	lineCompletionTimeout = 800 * time.Millisecond
)

const migrateLine = "MOVE\r\n"

// errLastLineWritten is returned by write once nothing may follow.
var errLastLineWritten = errors.New("the last line is written")

// clientConn is a client's connection. Its writers keep lines complete: the relay's own
// last line comes between two lines of the endpoint, and nothing follows it.
type clientConn struct {
	*net.TCPConn
	reader       *bufio.Reader
	readDone     chan struct{} // closed once the client's own stream has ended
	upstreamDone chan struct{} // closed once nothing more comes from the endpoint

	mu              sync.Mutex    // guards the fields below and the order of writes
	midLine         bool          // a line is partly written
	lastLineWritten bool          // nothing may follow
	writeHold       chan struct{} // the last line waits until it is closed; nil: it need not wait
	migrated        chan struct{} // closed once MOVE has followed the partly written line; nil: none waits for that
}

func newClientConn(conn *net.TCPConn) *clientConn {
	return &clientConn{
		TCPConn:      conn,
		reader:       bufio.NewReaderSize(conn, maxLineBytes),
		readDone:     make(chan struct{}),
		upstreamDone: make(chan struct{}),
	}
}

// write relays bytes from the endpoint. A client that is to migrate gets MOVE after the line
// that they end, and write then fails with errLastLineWritten.
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

// writeLastLine writes the last line between two lines, and nothing after it. It reports
// whether the last line had not been written before. If a line is partly written, it waits up
// to lineCompletionTimeout for the rest, which MOVE follows.
func (c *clientConn) writeLastLine(text string) bool {
	c.SetWriteDeadline(time.Now().Add(lastLineTimeout)) // also for a write that holds mu
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
		_, _ = c.Write([]byte(text)) // a client that has left reads nothing
		c.mu.Unlock()
		return true
	}
	migrated := make(chan struct{})
	c.migrated = migrated
	c.mu.Unlock()
	select {
	case <-migrated:
	case <-c.readDone:
	case <-c.upstreamDone: // an incomplete line can't be followed by another
	case <-time.After(lineCompletionTimeout):
	}
	return true
}

// noteLastLineWritten records that the endpoint has sent the last line itself.
func (c *clientConn) noteLastLineWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLineWritten = true
}

// finish ends the connection so that the client can still read what was written: closing
// with its data unread would reset it. Another goroutine has to run drain.
func (c *clientConn) finish() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	<-c.readDone
	c.Close()
}

// drain discards what the client still sends, until its end or listener.LingerMaxBytes.
func (c *clientConn) drain() {
	_, _ = io.CopyN(io.Discard, c.reader, listener.LingerMaxBytes)
	close(c.readDone)
}

// reset closes a connection with a TCP reset, as its other side was.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
