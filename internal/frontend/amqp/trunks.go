package amqp

import (
	"context"
	"net"
	"sync"
	"time"

	"lockroad/internal/connpool"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/registry"
)

// letGo is how long a server may take to let go of a session that was ended. Its connection takes nothing new
// after that: a server that has lost count of sessions would run out of them.
const letGo = 5 * time.Second

// trunks are the connections to servers that transactions share. Which one a transaction takes is the pool's decision; here
// they are brought up, read, and closed.
type trunks struct {
	front *Frontend

	mu    sync.Mutex
	pool  *connpool.Pool
	open  map[connpool.ID]*trunk
	timer *time.Timer // for those that idle
	over  bool
}

// trunk is one of them. It is usable once ready is closed without an error.
type trunk struct {
	id      connpool.ID
	address string
	ready   chan struct{}
	err     error
	mux     *mux
	tcp     net.Conn
	most    uint16 // channel number that the server takes
	leaves  bool   // it is being closed
	stop    chan struct{}
}

func newTrunks(f *Frontend, s connpool.Settings) *trunks {
	return &trunks{front: f, pool: connpool.New(s), open: make(map[connpool.ID]*trunk)}
}

// lane opens a session at a server, on a connection that others share or that is brought up for it.
func (t *trunks) lane(ctx context.Context, to registry.Endpoint, address string, bound time.Duration) (*lane, connpool.ID, error) {
	for {
		t.mu.Lock()
		if t.over {
			t.mu.Unlock()
			return nil, 0, errQuit
		}
		id, dial := t.pool.Take(address)
		tr := t.open[id]
		if dial {
			tr = &trunk{id: id, address: address, ready: make(chan struct{}), stop: make(chan struct{})}
			t.open[id] = tr
			go t.bringUp(tr, to, bound)
		}
		t.mu.Unlock()
		select {
		case <-tr.ready:
		case <-ctx.Done():
			t.done(tr)
			return nil, 0, ctx.Err()
		}
		if tr.err != nil {
			t.done(tr)
			return nil, 0, tr.err
		}
		l, err := tr.mux.lane(tr.most, func() { t.done(tr) })
		if l != nil {
			return l, id, nil
		}
		t.done(tr)
		if err != nil { // it has come to its end meanwhile: another is chosen once the pool knows
			select {
			case <-tr.stop:
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		} // else more waited for it than the server takes
	}
}

// done gives a place on a trunk back.
func (t *trunks) done(tr *trunk) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool.Done(t.front.Proxy.Clock.Now(), tr.id)
	t.tidy()
}

// bringUp dials a server. What comes of it is every waiting transaction's.
func (t *trunks) bringUp(tr *trunk, to registry.Endpoint, bound time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	u, err := t.front.dial(ctx, tr.address, bound)
	cancel()
	t.mu.Lock()
	if err == nil {
		tr.mux, tr.tcp, tr.most = newMux(u.conn), u.tcp, min(u.channels, uint16(t.front.Pool.MaxSessions-1))
	}
	if tr.err = err; err == nil && t.over {
		tr.err = errQuit
		u.tcp.Close()
	}
	if tr.err != nil {
		t.lose(tr)
		close(tr.ready)
		t.mu.Unlock()
		return
	}
	t.pool.Opened(tr.id, int(tr.most)+1)
	close(tr.ready)
	t.mu.Unlock()
	go u.beat(u.idle, tr.stop)
	if to.Draining != nil {
		go func() {
			select {
			case <-tr.stop:
			case <-to.Draining: // its clients are moved; the connection goes with the last
				t.mu.Lock()
				t.pool.Shut(tr.id)
				t.tidy()
				t.mu.Unlock()
			}
		}()
	}
	tr.mux.run(serverSilent)
	tr.tcp.Close()
	t.mu.Lock()
	t.lose(tr)
	t.mu.Unlock()
}

// lose forgets a trunk that is gone. The caller holds the lock.
func (t *trunks) lose(tr *trunk) {
	t.pool.Lost(tr.id)
	delete(t.open, tr.id)
	close(tr.stop)
}

// tidy closes the trunks that have idled long enough, and looks again when the next ones have. The caller holds the lock.
func (t *trunks) tidy() {
	now := t.front.Proxy.Clock.Now()
	out, next := t.pool.Idle(now)
	for _, id := range out {
		if tr := t.open[id]; !tr.leaves {
			tr.leaves = true
			go tr.leave()
		}
	}
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if next > 0 && !t.over {
		t.timer = time.AfterFunc(next-now, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tidy()
		})
	}
}

// leave closes a trunk in good order, without waiting for the server for long.
func (tr *trunk) leave() {
	tr.mux.write(0, framing.Performative{Code: framing.CodeClose}, nil)
	_ = tr.mux.CloseWrite()
	select {
	case <-tr.stop:
	case <-time.After(byeWait):
	}
	tr.tcp.Close()
}

// close closes all trunks: the front has seen its clients through.
func (t *trunks) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	t.tidy()
	for _, tr := range t.open {
		if tr.tcp != nil {
			tr.tcp.Close()
		}
	}
}

// end ends a session from here, and shuts its trunk if the server does not let go of it.
func (t *trunks) end(id connpool.ID, l *lane) {
	if l.close() {
		return
	}
	time.AfterFunc(letGo, func() {
		if !l.isDone() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.pool.Shut(id)
		}
	})
}
