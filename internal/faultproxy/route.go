package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// route is an open route. Its fields are guarded by the proxy's mu unless noted otherwise.
type route struct {
	Route
	proxy        *Proxy       // constant
	listener     net.Listener // nil while connections are refused or not accepted
	conns        map[*connection]struct{}
	accepted     uint64       // connections since the route was opened
	refusals     int          // active refuse faults
	queueFillers []net.Conn   // the full listener and the connections in its accept queue
	queueFull    bool         // a queue-full or vanish fault keeps the accept queue full
	mutes        int          // active mute faults
	vanishes     atomic.Int32 // active vanish faults; atomic

	passed [2]atomic.Uint64 // bytes received, indexed by Direction; atomic
}

// connection is one connection through a route.
type connection struct {
	route   *route
	number  uint64 // of the connection on its route, from 1
	client  *net.TCPConn
	target  *net.TCPConn // nil until it is connected
	streams [2]*stream   // indexed by Direction; nil until the target is connected
	first   []byte       // the client's first bytes, if a rule depends on them
	ctx     context.Context
	cancel  context.CancelFunc // closes the connection
}

// listen opens the listener and starts accepting. The caller holds the proxy's mu.
func (r *route) listen() error {
	listener, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	r.listener = listener
	r.proxy.running.Go(func() { r.accept(listener) })
	return nil
}

const acceptRetryWait = time.Millisecond // after a failed accept

// accept accepts and serves connections until the listener is closed.
func (r *route) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || r.proxy.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryWait) // such as when file descriptors are exhausted
			continue
		}
		r.proxy.running.Go(func() { r.serve(conn.(*net.TCPConn)) })
	}
}

// serve forwards one connection until it ends.
func (r *route) serve(client *net.TCPConn) {
	defer client.Close()
	ctx, cancel := context.WithCancel(r.proxy.ctx)
	defer cancel()
	conn := &connection{route: r, client: client, ctx: ctx, cancel: cancel}
	mute, wantsFirst := r.add(conn)
	defer r.remove(conn)
	defer context.AfterFunc(ctx, func() { client.Close() })()
	if mute {
		_, _ = io.Copy(io.Discard, client) // a mute fault: input is read and never answered
		return
	}
	if !conn.dial() {
		return
	}
	defer conn.target.Close()
	defer context.AfterFunc(ctx, func() { conn.target.Close() })()
	if wantsFirst && !conn.readFirst() {
		return
	}
	conn.openStreams()
	var both sync.WaitGroup
	both.Go(func() { conn.streams[Up].run(Up, conn.first) })
	both.Go(func() { conn.streams[Down].run(Down, nil) })
	both.Wait()
}

// add numbers a connection and adds it to the route. It reports whether a mute fault applies
// to the connection, and whether any rule depends on the client's first bytes.
func (r *route) add(conn *connection) (mute, wantsFirst bool) {
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	r.accepted++
	conn.number = r.accepted
	r.conns[conn] = struct{}{}
	return r.mutes > 0, slices.ContainsFunc(r.proxy.rules, func(rule *Rule) bool { return rule.First != "" })
}

func (r *route) remove(conn *connection) {
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	delete(r.conns, conn)
}

// dial connects to the target. If this fails, the client's connection will be closed by a reset.
func (c *connection) dial() bool {
	var dialer net.Dialer
	target, err := dialer.DialContext(c.ctx, "tcp", c.route.Target)
	if err != nil {
		c.client.SetLinger(0) // the connection is accepted, so it can no longer be refused
		return false
	}
	c.target = target.(*net.TCPConn)
	return true
}

const firstReadSize = 4 << 10 // size of the buffer for a client's first bytes

// readFirst reads the client's first bytes. It reports whether there are any.
func (c *connection) readFirst() bool {
	buffer := make([]byte, firstReadSize)
	n, err := c.client.Read(buffer)
	if err != nil && n == 0 {
		return false
	}
	c.first = buffer[:n]
	return true
}

// openStreams creates the streams of both directions with the current rules.
func (c *connection) openStreams() {
	p := c.route.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	for direction, ends := range [2][2]*net.TCPConn{{c.client, c.target}, {c.target, c.client}} {
		location := Location{Route: c.route.Name, Conn: c.number, Direction: Direction(direction)}
		stream := newStream(c, ends[0], ends[1], NewFlow(location, p.rules, p.Seed, c.first, p.OnInjection))
		for name := range p.triggered {
			stream.flow.Trigger(name, p.now())
		}
		c.streams[direction] = stream
	}
}

// reset resets the connections to the client and to the target.
func (c *connection) reset() {
	c.client.SetLinger(0)
	if c.target != nil {
		c.target.SetLinger(0)
	}
	c.cancel()
}

func (r *route) hasVanished() bool { return r.vanishes.Load() > 0 }
