package faultproxy

import (
	"io"
	"net"
	"slices"
	"syscall"
	"time"
)

// arm injects or schedules a rule's listener faults on a route. The caller holds mu.
func (p *Proxy) arm(rule *Rule, r *route) {
	if !rule.isForRoute(r.Name) {
		return
	}
	for _, fault := range rule.Faults {
		if !fault.Kind.ofListener() {
			continue
		}
		switch trigger := rule.Trigger; trigger.Kind {
		case FromStart:
			p.inject(rule, fault.Kind, r)
		case AtTime:
			p.atScriptTime(trigger.At, func() { p.inject(rule, fault.Kind, r) })
		}
	}
}

// atScriptTime calls do at a time of the script's clock, even if the clock is reset meanwhile.
func (p *Proxy) atScriptTime(at time.Duration, do func()) {
	p.after(at-p.now(), func() {
		if p.now() < at {
			p.atScriptTime(at, do)
			return
		}
		do()
	})
}

// after calls do with mu held once wait has passed, unless the proxy is closed by then.
func (p *Proxy) after(wait time.Duration, do func()) {
	p.running.Go(func() {
		select {
		case <-time.After(wait):
		case <-p.ctx.Done():
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			do()
		}
	})
}

// inject starts a listener fault and schedules its end. The caller holds mu.
func (p *Proxy) inject(rule *Rule, kind FaultKind, r *route) {
	if p.OnInjection != nil {
		p.OnInjection(Injection{Rule: rule.Name, Kind: kind, Location: Location{Route: r.Name, Direction: Both}, At: p.now()})
	}
	r.changeFault(kind, 1)
	if rule.For > 0 {
		p.after(rule.For, func() { r.changeFault(kind, -1) })
	}
}

// changeFault starts (by 1) or ends (by -1) a listener fault. The caller holds mu.
func (r *route) changeFault(kind FaultKind, by int) {
	switch kind {
	case Refuse:
		if r.refusals += by; r.refusals > 0 && r.listener != nil {
			r.listener.Close()
			r.listener = nil
		}
	case Mute:
		r.mutes += by
	case QueueFull:
		r.queueFull = by > 0
	case Vanish:
		if by > 0 {
			r.vanishes.Add(1)
		}
		r.queueFull = by > 0 || r.vanishes.Load() > 1
	}
	switch {
	case r.queueFull && len(r.queueFillers) == 0:
		r.fillQueue()
	case !r.queueFull && len(r.queueFillers) > 0:
		r.releaseQueue()
	}
	if r.refusals <= 0 && !r.queueFull && r.listener == nil && !r.proxy.closed {
		_ = r.listen() // on failure connections stay refused
	}
	if kind == Vanish && by < 0 {
		if !r.queueFull { // like a restarted process, the target knows no earlier connection
			for conn := range r.conns {
				conn.reset()
			}
		}
		r.vanishes.Add(-1)
	}
}

// fillTimeout bounds the set-up of each connection that fills an accept queue.
const fillTimeout = 100 * time.Millisecond

// fillQueue replaces the listener by one with the shortest accept queue and fills it, so that
// connection attempts time out. The caller holds mu.
func (r *route) fillQueue() {
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
	address, err := net.ResolveTCPAddr("tcp", r.Listen)
	if err != nil {
		return
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) // without it Bind may fail, which is checked below
	at := &syscall.SockaddrInet4{Port: address.Port}
	copy(at.Addr[:], address.IP.To4())
	if syscall.Bind(fd, at) != nil || syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return
	}
	r.queueFillers = append(r.queueFillers, fullListener(fd))
	for range 2 { // on Linux a backlog of 0 holds one connection
		if conn, err := net.DialTimeout("tcp", r.Listen, fillTimeout); err == nil {
			r.queueFillers = append(r.queueFillers, conn)
		}
	}
}

// releaseQueue closes what fillQueue opened, the connections before the listener. The caller holds mu.
func (r *route) releaseQueue() {
	for _, filler := range slices.Backward(r.queueFillers) {
		filler.Close()
	}
	r.queueFillers = nil
}

// fullListener is a listening socket that is never accepted from. It implements net.Conn so
// that it can be stored and closed together with the connections that fill its queue.
type fullListener int

func (l fullListener) Close() error                   { return syscall.Close(int(l)) }
func (fullListener) Read([]byte) (int, error)         { return 0, io.EOF }
func (fullListener) Write([]byte) (int, error)        { return 0, io.ErrClosedPipe }
func (fullListener) LocalAddr() net.Addr              { return nil }
func (fullListener) RemoteAddr() net.Addr             { return nil }
func (fullListener) SetDeadline(time.Time) error      { return nil }
func (fullListener) SetReadDeadline(time.Time) error  { return nil }
func (fullListener) SetWriteDeadline(time.Time) error { return nil }
