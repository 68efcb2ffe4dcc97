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
	writeTimeout    = 5 * time.Second        // a client that takes nothing for this long is gone
	lastLineTimeout = 300 * time.Millisecond // the last line may take this long to be written
	// The rest of a line may take this long before MOVE. At the relay's end the last is told to move 1.1 s before SIGKILL.
	lineCompletionTimeout = 800 * time.Millisecond
)

const migrateLine = "MOVE\r\n"

var errLastLineWritten = errors.New("the last line is written")

// clientConn is a client's connection. What is written to it keeps its lines whole.
type clientConn struct {
	*net.TCPConn
	reader       *bufio.Reader
	readDone     chan struct{} // closed once the client's own stream has ended
	upstreamDone chan struct{} // closed once nothing more comes from its server

	mu              sync.Mutex
	midLine         bool          // a line is written in part
	lastLineWritten bool          // nothing may follow
	writeHold       chan struct{} // nothing is said before it is closed; nil: nothing holds it
	migrated        chan struct{} // closed once MOVE has followed the line written in part
}

func newClientConn(conn *net.TCPConn) *clientConn {
	return &clientConn{TCPConn: conn, reader: bufio.NewReaderSize(conn, maxLineBytes), readDone: make(chan struct{}), upstreamDone: make(chan struct{})}
}

// write passes on bytes of a server. A client that is to move gets MOVE after
// the line that they end.
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

// writeLastLine writes the last line, between two lines, and nothing after it. It tells whether
// that was still to be written.
func (c *clientConn) writeLastLine(text string) bool {
	c.SetWriteDeadline(time.Now().Add(lastLineTimeout)) // also for a write that holds the lock
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
		_, _ = c.Write([]byte(text)) // a client that has gone reads nothing
		c.mu.Unlock()
		return true
	}
	migrated := make(chan struct{})
	c.migrated = migrated
	c.mu.Unlock()
	select {
	case <-migrated:
	case <-c.readDone:
	case <-c.upstreamDone: // half a line can't be ended politely
	case <-time.After(lineCompletionTimeout):
	}
	return true
}

// noteLastLineWritten notes that the server has said its last line itself.
func (c *clientConn) noteLastLineWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLineWritten = true
}

// finish ends the connection so that the client can still read what was written:
// closing with words of the client unread would reset it.
func (c *clientConn) finish() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	<-c.readDone
	c.Close()
}

// drain reads what a client still says after its last line, until its end or so
// much of it that it costs the others.
func (c *clientConn) drain() {
	_, _ = io.CopyN(io.Discard, c.reader, listener.LingerMaxBytes)
	close(c.readDone)
}

// reset breaks a connection off, as the other side of it was.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
