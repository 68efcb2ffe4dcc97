package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	stepWait = time.Second      // for a peer's answer, and for a message to be written
	takeWait = 10 * time.Second // a new process may take this long to start, once it has the offer
)

// SocketPath is where the processes of a relay meet: in the folder that they have in common. It
// is "" where there is none.
func SocketPath(dir, name, listen string) string {
	if dir == "" {
		return ""
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\n%s", name, listen)
	return filepath.Join(dir, "lockroad-"+strconv.FormatUint(h.Sum64(), 36))
}

// hello is who a new process is.
type hello struct {
	Format int `json:"Format"`
	PID    int `json:"PID"`
}

// Offer is what a new process is given to begin with.
type Offer struct {
	Clock         time.Duration   `json:"Clock"` // what the old process's clock shows
	ClockStart    time.Time       `json:"Start"` // and since when it goes
	ListenerNames []string        `json:"Doors"` // names of the listening sockets
	State         json.RawMessage `json:"State"`
}

// Handler is the relay of the process that runs.
type Handler interface {
	// Offer returns what a new process begins with, and the sockets of its doors.
	Offer(context.Context) (*Offer, []syscall.Conn, error)
	// Given has the relay take nobody in and spend nothing, as another does; or again.
	PeerServes(bool)
}

// Predecessor is the process that runs, as a new one finds it.
type Predecessor struct {
	path  string
	giver Handler
	log   *slog.Logger

	mu      sync.Mutex
	old     PredecessorState
	peer    channel
	answers chan *message // to connections that were given
	next    int

	giving sync.Mutex // one connection is given at a time
	l      *net.UnixListener
}

// NewPredecessor returns the host of a relay. It does nothing before Serve.
func NewPredecessor(path string, giver Handler, log *slog.Logger) *Predecessor {
	return &Predecessor{path: path, giver: giver, log: log}
}

// listen opens the meeting place, in the stead of who was there: an old process, or what
// one that was killed has left.
func (h *Predecessor) listen() error {
	at := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	_ = os.Remove(at) // if it stays, ListenUnix fails
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: at, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(at, 0o600), os.Rename(at, h.path)); err != nil {
		l.Close()
		_ = os.Remove(at) // the next attempt removes it
		return err
	}
	h.mu.Lock()
	old := h.l
	h.l = l
	h.mu.Unlock()
	if old != nil {
		old.Close()
	}
	return nil
}

// Serve waits for new processes until ctx ends. Where there is no meeting place to be had
// it does nothing: the next version starts beside this one.
func (h *Predecessor) Serve(ctx context.Context) error {
	if err := h.listen(); err != nil {
		h.log.Warn("a new version will not find this process", "error", err)
		return nil
	}
	defer context.AfterFunc(ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.l.Close()
		if h.peer.UnixConn != nil {
			h.peer.Close()
		}
	})()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		h.mu.Lock()
		l := h.l
		h.mu.Unlock()
		c, err := l.AcceptUnix()
		h.mu.Lock()
		moved := l != h.l
		h.mu.Unlock()
		switch {
		case err == nil:
			all.Go(func() { h.meet(ctx, channel{c}) })
		case ctx.Err() != nil:
			return nil
		case moved: // the meeting place was opened anew
		default:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

// meet sees a new process through, from its hello until it is gone.
func (h *Predecessor) meet(ctx context.Context, c channel) {
	defer c.Close()
	if err := c.sameUser(); err != nil {
		h.log.Warn("a process is turned away", "error", err)
		return
	}
	m, err := c.receive(time.Now().Add(stepWait))
	if err != nil {
		return
	}
	defer m.drop()
	var who hello
	if m.kind != kindHello || m.into(&who) != nil {
		_ = c.send(stepWait, kindRefuse, "a hello was expected") // the other process may have gone
		return
	}
	h.mu.Lock()
	accepted := h.old.AcceptPeer(who.Format)
	if accepted {
		h.peer, h.answers = c, make(chan *message, 1)
	}
	h.mu.Unlock()
	if !accepted {
		_ = c.send(stepWait, kindRefuse, fmt.Sprintf("format %d against %d, or another new process is there", who.Format, ProtocolVersion))
		h.log.Warn("a new process is refused", "pid", who.PID, "format", who.Format)
		return
	}
	err = h.give(ctx, c)
	h.mu.Lock()
	again, leaving := h.old.PeerLost(), h.old.leaving
	h.peer = channel{}
	close(h.answers)
	h.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	h.log.Warn("the new process is gone", "pid", who.PID, "error", err, "leaving", leaving)
	if again {
		h.giver.PeerServes(false)
		if err := h.listen(); err != nil { // it has taken the meeting place
			h.log.Warn("a new version will not find this process", "error", err)
		}
	}
}

// give offers this process's place, and returns when the new one is gone.
func (h *Predecessor) give(ctx context.Context, c channel) error {
	offer, doors, err := h.giver.Offer(ctx)
	if err != nil {
		_ = c.send(stepWait, kindRefuse, err.Error())
		return err
	}
	if err := c.send(stepWait, kindOffer, offer, doors...); err != nil {
		return err
	}
	m, err := c.receive(time.Now().Add(takeWait))
	if err != nil {
		return err
	}
	defer m.drop()
	if err := m.wanted(kindTake); err != nil {
		return err
	}
	h.mu.Lock()
	took := h.old.TakenOver()
	h.mu.Unlock()
	if !took {
		return errStrange
	}
	h.giver.PeerServes(true)
	if err := c.send(stepWait, kindGo, nil); err != nil {
		return err
	}
	h.log.Info("a new process has taken over")
	for {
		m, err := c.receive(time.Time{})
		if err != nil {
			return err
		}
		m.drop()
		if m.kind != kindAck && m.kind != kindNack {
			return errStrange
		}
		select {
		case h.answers <- m:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// BeginShutdown notes that this process was told to leave. It tells whether connections that
// stand are to be handed over.
func (h *Predecessor) BeginShutdown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.old.BeginShutdown()
	return h.old.MayHandOff()
}

var (
	errNobody = errors.New("handover: nobody is there to take it")
	errNot    = errors.New("handover: the new process does not take it")
)

// standing is a connection on its way.
type standing struct {
	Number int             `json:"Number"`
	What   json.RawMessage `json:"What"`
}

// HandOff hands a connection over, with its sockets, and waits for the new process's word.
// After nil it is the other's, and no byte may be read or written here; after an error it
// is still this process's.
func (h *Predecessor) HandOff(what any, sockets ...syscall.Conn) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	h.giving.Lock()
	defer h.giving.Unlock()
	h.mu.Lock()
	gives, c, answers := h.old.MayHandOff(), h.peer, h.answers
	h.next++
	number := h.next
	h.mu.Unlock()
	if !gives {
		return errNobody
	}
	if err := c.send(stepWait, kindStanding, standing{number, text}, sockets...); err != nil {
		c.Close() // of half a message nothing is adopted
		return err
	}
	for late := time.After(stepWait); ; {
		select {
		case m, ok := <-answers:
			var about int
			switch {
			case !ok:
				return errNobody
			case m.into(&about) != nil || about != number:
				continue
			case m.kind == kindNack:
				return errNot
			}
			return nil
		case <-late:
			// It may have been adopted, or may yet be: two that carry it on would garble it.
			h.log.Warn("a connection was handed over without a word of it")
			c.Close() // the next would stand still as long, and be as uncertain: they are moved
			return nil
		}
	}
}
