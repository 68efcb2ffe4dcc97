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
	writeFor = 5 * time.Second        // a client that takes nothing for this long is gone
	moveFor  = 300 * time.Millisecond // the last line may take this long to be written
	// The rest of a line may take this long before MOVE. At the relay's end the last is told to move 1.1 s before SIGKILL.
	lineFor = 800 * time.Millisecond
)

const lineMove = "MOVE\r\n"

var errLast = errors.New("the last line is written")

// client is a client's connection. What is written to it keeps its lines whole.
type client struct {
	*net.TCPConn
	r    *bufio.Reader
	gone chan struct{} // closed once the client's own stream has ended
	dry  chan struct{} // closed once nothing more comes from its server

	mu     sync.Mutex
	mid    bool          // a line is written in part
	last   bool          // nothing may follow
	hold   chan struct{} // nothing is said before it is closed; nil: nothing holds it
	moving chan struct{} // closed once MOVE has followed the line written in part
}

func newClient(conn *net.TCPConn) *client {
	return &client{TCPConn: conn, r: bufio.NewReaderSize(conn, maxLine), gone: make(chan struct{}), dry: make(chan struct{})}
}

// write passes on bytes of a server. A client that is to move gets MOVE after
// the line that they end.
func (c *client) write(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		return errLast
	}
	if c.moving != nil {
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			defer close(c.moving)
			c.last = true
			c.SetWriteDeadline(time.Now().Add(moveFor))
			_, err := c.Write(append(b[:i+1:i+1], lineMove...))
			return errors.Join(err, errLast)
		}
	}
	c.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := c.Write(b)
	c.mid = len(b) > 0 && b[len(b)-1] != '\n'
	return err
}

// end writes the last line, between two lines, and nothing after it. It tells whether
// that was still to be written.
func (c *client) end(text string) bool {
	c.SetWriteDeadline(time.Now().Add(moveFor)) // also for a write that holds the lock
	c.mu.Lock()
	if hold := c.hold; hold != nil {
		c.mu.Unlock()
		<-hold
		c.SetWriteDeadline(time.Now().Add(moveFor))
		c.mu.Lock()
	}
	if c.last {
		c.mu.Unlock()
		return false
	}
	if !c.mid {
		c.last = true
		_, _ = c.Write([]byte(text)) // a client that has gone reads nothing
		c.mu.Unlock()
		return true
	}
	moved := make(chan struct{})
	c.moving = moved
	c.mu.Unlock()
	select {
	case <-moved:
	case <-c.gone:
	case <-c.dry: // half a line can't be ended politely
	case <-time.After(lineFor):
	}
	return true
}

// closing notes that the server has said its last line itself.
func (c *client) closing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
}

// finish ends the connection so that the client can still read what was written:
// closing with words of the client unread would reset it.
func (c *client) finish() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(listener.LingerTimeout))
	<-c.gone
	c.Close()
}

// drain reads what a client still says after its last line, until its end or so
// much of it that it costs the others.
func (c *client) drain() {
	_, _ = io.CopyN(io.Discard, c.r, listener.LingerMaxBytes)
	close(c.gone)
}

// reset breaks a connection off, as the other side of it was.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
