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

// route is an open route. Unless said otherwise, its fields are guarded by the proxy's mu.
type route struct {
	Route
	proxy        *Proxy       // constant
	listener     net.Listener // nil while connections are refused or not accepted
	conns        map[*connection]struct{}
	accepted     uint64     // connections since the start
	refusals     int        // active faults that refuse connections
	queueFillers []net.Conn // that fill the listener's queue
	queueFull    bool
	mutes        int          // active faults that leave connections unanswered
	silences     atomic.Int32 // active faults that make the target vanish

	passed [2]atomic.Uint64 // bytes, up and down
}

// connection is one connection through a route.
type connection struct {
	route   *route
	number  uint64 // on its route, from 1
	client  *net.TCPConn
	target  *net.TCPConn // nil until it is dialled
	streams [2]*stream   // up and down; nil until both ends are there
	first   []byte       // what the client sent before its streams began, if rules ask for it
	ctx     context.Context
	cancel  context.CancelFunc // ends the connection
}

// listen opens the listener. The caller holds the proxy's mu.
func (r *route) listen() error {
	listener, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	r.listener = listener
	r.proxy.running.Go(func() { r.accept(listener) })
	return nil
}

const acceptRetryWait = time.Millisecond

// accept serves a listener's connections until it is closed.
func (r *route) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || r.proxy.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryWait) // out of descriptors, which is temporary
			continue
		}
		r.proxy.running.Go(func() { r.serve(conn.(*net.TCPConn)) })
	}
}

// serve serves one connection until its end.
func (r *route) serve(client *net.TCPConn) {
	defer client.Close()
	ctx, cancel := context.WithCancel(r.proxy.ctx)
	defer cancel()
	conn := &connection{route: r, client: client, ctx: ctx, cancel: cancel}
	mute, wantsFirst := r.add(conn)
	defer r.remove(conn)
	defer context.AfterFunc(ctx, func() { client.Close() })()
	if mute {
		_, _ = io.Copy(io.Discard, client) // accepted, read, and never answered
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

// add numbers a connection and adds it to the route's. It reports whether the connection is
// to be left unanswered, and whether any rule depends on what its client sends first.
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

// dial connects to the target. It reports whether that succeeded.
func (c *connection) dial() bool {
	var dialer net.Dialer
	target, err := dialer.DialContext(c.ctx, "tcp", c.route.Target)
	if err != nil {
		c.client.SetLinger(0) // a reset is as close to a refusal as is possible now
		return false
	}
	c.target = target.(*net.TCPConn)
	return true
}

const firstRead = 4 << 10 // bytes

// readFirst reads what the client sends first. It reports whether there is anything.
func (c *connection) readFirst() bool {
	buffer := make([]byte, firstRead)
	n, err := c.client.Read(buffer)
	if err != nil && n == 0 {
		return false
	}
	c.first = buffer[:n]
	return true
}

// openStreams makes the streams of both directions, with the rules in force.
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

// reset resets both ends.
func (c *connection) reset() {
	c.client.SetLinger(0)
	if c.target != nil {
		c.target.SetLinger(0)
	}
	c.cancel()
}

func (r *route) isSilent() bool { return r.silences.Load() > 0 }
