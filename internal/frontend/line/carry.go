package line

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
)

// This file carries a transaction that stands from one process of a relay to the next:
// its two sockets, and what of the lines on them is under way.

// parkFor is how long both sides may take to come to a halt between two reads.
const parkFor = 300 * time.Millisecond

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// lane is one way of a transaction.
type lane struct {
	lines   splitter
	once    sync.Once
	stopped chan struct{}
	parked  bool // at a halt between two reads, with nothing read and not passed on; known once stopped
}

func newLane(lines splitter) *lane { return &lane{lines: lines, stopped: make(chan struct{})} }

// stop notes that nothing passes on the lane any more, or that it is parked. Only the first
// call counts.
func (l *lane) stop(parked bool) {
	l.once.Do(func() {
		l.parked = parked
		close(l.stopped)
	})
}

// isParked tells whether the lane comes to a halt before a time.
func (l *lane) isParked(late <-chan time.Time) bool {
	select {
	case <-l.stopped:
		return l.parked
	case <-late:
		return false
	}
}

// halted tells whether a read was ended to park the transaction, now or a moment ago: a
// time-out that was set for that is seen late at times, after it was resumed, and taken for
// the server's end it had the client's connection broken off.
func (x *exchange) halted(err error) bool {
	return x.parking.Load() && errors.Is(err, os.ErrDeadlineExceeded)
}

// Resolve notes whether another process carries the transaction on. Only the first call
// counts; it tells what that said.
func (x *exchange) Resolve(handed bool) bool {
	x.settle.Do(func() {
		x.handed = handed
		c := x.client
		c.mu.Lock()
		c.last = c.last || handed
		c.mu.Unlock()
		if x.parking.Load() && !handed {
			c.SetReadDeadline(time.Time{}) // its leave is read again
		}
		close(x.settled)
	})
	return x.handed
}

// drain reads what the client still says after its last line, unless it is another
// process's by then.
func (x *exchange) drain() {
	if x.parking.Load() {
		if <-x.settled; x.handed {
			close(x.client.gone)
			return
		}
	}
	x.client.drain()
}

// part is a line that has not ended yet.
type part struct {
	Text []byte `json:"Text,omitempty"`
	Long bool   `json:"Long,omitempty"`
}

func (p part) splitter() splitter { return splitter{part: p.Text, long: p.Long} }

// parked is what another process needs beside the sockets.
type parked struct {
	Mid  bool `json:"Mid"` // a line to the client is written in part
	Up   part `json:"Up"`
	Down part `json:"Down"`
}

// Pause brings both ways to a halt.
func (x *exchange) Pause() (wire any, sockets []syscall.Conn, ok bool) {
	defer func() {
		if !ok {
			x.resume()
		}
	}()
	x.parking.Store(true)
	c := x.client
	c.SetReadDeadline(past)
	x.at.SetReadDeadline(past)
	late := time.After(parkFor)
	if !x.up.isParked(late) || !x.down.isParked(late) || c.r.Buffered() > 0 || x.at.r.Buffered() > 0 {
		return nil, nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last { // its server has said its last line
		return nil, nil, false
	}
	c.hold = x.settled
	return parked{
		Mid: c.mid, Up: part{x.up.lines.part, x.up.lines.long}, Down: part{x.down.lines.part, x.down.lines.long},
	}, []syscall.Conn{c.TCPConn, x.at.TCPConn}, true
}

// resume lets what the server says pass on again. It guards against a client that has just
// ended its half: its server's last line is on its way, and at a halt it would be moved.
func (x *exchange) resume() {
	x.client.SetReadDeadline(time.Time{}) // what it says after its last line is read to its end
	var until time.Time
	if x.ended.Load() {
		until = time.Now().Add(byeWait)
	}
	x.at.SetReadDeadline(until)
	close(x.resumed)
}

// ReportTimings returns what is known of the times at which servers tell delays.
func (f *Frontend) ReportTimings() map[balancer.EndpointID]ReportTiming { return f.notes.beatsOf() }

// RestoreTiming takes over what another process knows of the times at which a server tells delays.
func (f *Frontend) RestoreTiming(id balancer.EndpointID, b ReportTiming) { f.notes.know(id, b) }

// Adopt prepares to carry on a transaction that another process of this relay has handed
// over. What it returns does so, to its end.
func (f *Frontend) Adopt(ctx context.Context, s *proxy.EstablishedRequest, sockets []net.Conn) (carry func(), err error) {
	var was parked
	if err := json.Unmarshal(s.FrontendState, &was); err != nil {
		return nil, err
	}
	if len(sockets) != 2 {
		return nil, errors.New("a transaction has two sockets")
	}
	conn, ok := sockets[0].(*net.TCPConn)
	server, also := sockets[1].(*net.TCPConn)
	if !ok || !also {
		return nil, errors.New("the sockets are not TCP's")
	}
	c := newClient(conn)
	c.mid = was.Mid
	x := f.exchange(c)
	x.adopted = true
	x.up, x.down = newLane(was.Up.splitter()), newLane(was.Down.splitter())
	terms := f.Proxy.Settings()
	ask := proxy.Request{Front: "line", Name: s.Name, Class: s.Class, Tenant: s.Tenant, RequestOptions: balancer.RequestOptions{
		Settings: terms, Class: terms.ClassIndex(s.Class), Item: s.Item, Group: s.Group, ExpectedLoad: s.Load, Returning: s.Returning,
	}}
	id, _ := f.Proxy.Endpoints.Lookup(s.Endpoint)
	link := newServer(server, id)
	return func() {
		seen := f.Limiter.Adopt(func(g *listener.Admission) {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			f.see(ctx, x, g, ask, func(ctx context.Context) { f.Proxy.Adopt(ctx, s, ask, x, link) })
		})
		if !seen { // this process is closing itself
			c.end(lineMove)
			link.Close()
			c.Close()
		}
	}, nil
}
