package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	idleTimeout        = 2800 * time.Millisecond // of an open watch; a healthy agent sends something every 2 s
	maxResponseTimeout = 6 * time.Second         // upper bound of watchPolicy.responseTimeout
)

// watchResponse is the outcome of a watch request: a connection with the body of
// the response, or an error.
type watchResponse struct {
	conn *idleTimeoutConn
	body io.Reader
	err  error
}

// openWatch opens a watch. While the agent does not respond, it sends further
// (hedged) requests up to the policy's limit, as a request sent while the agent
// was down may get a late response or none. The first response becomes the watch,
// and the other requests are cancelled. If all fail, it returns the last error.
func (w *Watcher) openWatch(ctx context.Context) (watchResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the requests that still wait for a response
	policy := w.policy()
	timeout := policy.responseTimeout(w.failures)
	responses := make(chan watchResponse)
	inFlight := 0
	for {
		if inFlight < policy.maxInFlight {
			inFlight++
			w.startRequest(ctx, timeout, responses)
		}
		hedge := time.NewTimer(policy.hedgeDelay)
		for waiting := true; waiting; {
			select {
			case response := <-responses:
				inFlight--
				if response.err == nil || inFlight == 0 {
					hedge.Stop()
					return response, response.err
				}
			case <-hedge.C:
				waiting = false
			case <-ctx.Done():
				hedge.Stop()
				return watchResponse{}, ctx.Err()
			}
		}
	}
}

// startRequest sends a watch request on a new goroutine, which ends once its
// response is received or ctx ends.
func (w *Watcher) startRequest(ctx context.Context, timeout time.Duration, responses chan<- watchResponse) {
	address, revision := w.Address, w.revision // both may change while the request is in progress
	go func() {
		response := requestWatch(ctx, address, revision, timeout)
		select {
		case responses <- response:
		case <-ctx.Done(): // another response became the watch
			if response.err == nil {
				response.conn.Close()
			}
		}
	}()
}

// requestWatch sends a watch request and reads the head of the response.
func requestWatch(ctx context.Context, address string, revision uint64, timeout time.Duration) watchResponse {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return watchResponse{err: err}
	}
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	response := watchResponse{conn: &idleTimeoutConn{conn, timeout}}
	_, response.err = fmt.Fprintf(conn, "GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", revision, address)
	if response.err == nil {
		response.body, response.err = readResponseHead(bufio.NewReader(response.conn))
	}
	if !stopClosing() && response.err == nil {
		response.err = ctx.Err()
	}
	if response.err != nil {
		conn.Close()
	}
	response.conn.timeout = idleTimeout
	return response
}

// idleTimeoutConn fails a read that takes longer than its timeout.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (c *idleTimeoutConn) Read(buffer []byte) (int, error) {
	c.SetReadDeadline(time.Now().Add(c.timeout))
	return c.Conn.Read(buffer)
}
