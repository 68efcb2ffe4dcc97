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
	messageTimeout = time.Second      // for a peer's answer, and for a message to be written
	startupTimeout = 10 * time.Second // a new process may take this long to start, once it has the offer
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

// helloMessage is who a new process is.
type helloMessage struct {
	Version int `json:"Format"`
	PID     int `json:"PID"`
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
	path    string
	handler Handler
	log     *slog.Logger

	mu               sync.Mutex
	state            PredecessorState
	peer             channel
	acknowledgements chan *message // to connections that were given
	lastNumber       int

	handOffMu sync.Mutex // one connection is given at a time
	listener  *net.UnixListener
}

// NewPredecessor returns the host of a relay. It does nothing before Serve.
func NewPredecessor(path string, giver Handler, log *slog.Logger) *Predecessor {
	return &Predecessor{path: path, handler: giver, log: log}
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
	old := h.listener
	h.listener = l
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
		h.listener.Close()
		if h.peer.UnixConn != nil {
			h.peer.Close()
		}
	})()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		h.mu.Lock()
		l := h.listener
		h.mu.Unlock()
		c, err := l.AcceptUnix()
		h.mu.Lock()
		moved := l != h.listener
		h.mu.Unlock()
		switch {
		case err == nil:
			all.Go(func() { h.servePeer(ctx, channel{c}) })
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

// servePeer sees a new process through, from its hello until it is gone.
func (h *Predecessor) servePeer(ctx context.Context, c channel) {
	defer c.Close()
	if err := c.sameUser(); err != nil {
		h.log.Warn("a process is turned away", "error", err)
		return
	}
	m, err := c.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return
	}
	defer m.closeFiles()
	var who helloMessage
	if m.kind != kindHello || m.decode(&who) != nil {
		_ = c.send(messageTimeout, kindReject, "a hello was expected") // the other process may have gone
		return
	}
	h.mu.Lock()
	accepted := h.state.AcceptPeer(who.Version)
	if accepted {
		h.peer, h.acknowledgements = c, make(chan *message, 1)
	}
	h.mu.Unlock()
	if !accepted {
		_ = c.send(messageTimeout, kindReject, fmt.Sprintf("format %d against %d, or another new process is there", who.Version, ProtocolVersion))
		h.log.Warn("a new process is refused", "pid", who.PID, "format", who.Version)
		return
	}
	err = h.runHandover(ctx, c)
	h.mu.Lock()
	again, leaving := h.state.PeerLost(), h.state.shuttingDown
	h.peer = channel{}
	close(h.acknowledgements)
	h.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	h.log.Warn("the new process is gone", "pid", who.PID, "error", err, "leaving", leaving)
	if again {
		h.handler.PeerServes(false)
		if err := h.listen(); err != nil { // it has taken the meeting place
			h.log.Warn("a new version will not find this process", "error", err)
		}
	}
}

// runHandover offers this process's place, and returns when the new one is gone.
func (h *Predecessor) runHandover(ctx context.Context, c channel) error {
	offer, doors, err := h.handler.Offer(ctx)
	if err != nil {
		_ = c.send(messageTimeout, kindReject, err.Error())
		return err
	}
	if err := c.send(messageTimeout, kindOffer, offer, doors...); err != nil {
		return err
	}
	m, err := c.receive(time.Now().Add(startupTimeout))
	if err != nil {
		return err
	}
	defer m.closeFiles()
	if err := m.expect(kindTakeOver); err != nil {
		return err
	}
	h.mu.Lock()
	took := h.state.TakenOver()
	h.mu.Unlock()
	if !took {
		return errProtocol
	}
	h.handler.PeerServes(true)
	if err := c.send(messageTimeout, kindPaused, nil); err != nil {
		return err
	}
	h.log.Info("a new process has taken over")
	for {
		m, err := c.receive(time.Time{})
		if err != nil {
			return err
		}
		m.closeFiles()
		if m.kind != kindAck && m.kind != kindNack {
			return errProtocol
		}
		select {
		case h.acknowledgements <- m:
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
	h.state.BeginShutdown()
	return h.state.MayHandOff()
}

var (
	errNoPeer     = errors.New("handover: nobody is there to take it")
	errNotAdopted = errors.New("handover: the new process does not take it")
)

// connectionMessage is a connection on its way.
type connectionMessage struct {
	Number  int             `json:"Number"`
	Payload json.RawMessage `json:"What"`
}

// HandOff hands a connection over, with its sockets, and waits for the new process's word.
// After nil it is the other's, and no byte may be read or written here; after an error it
// is still this process's.
func (h *Predecessor) HandOff(what any, sockets ...syscall.Conn) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	h.handOffMu.Lock()
	defer h.handOffMu.Unlock()
	h.mu.Lock()
	gives, c, answers := h.state.MayHandOff(), h.peer, h.acknowledgements
	h.lastNumber++
	number := h.lastNumber
	h.mu.Unlock()
	if !gives {
		return errNoPeer
	}
	if err := c.send(messageTimeout, kindConnection, connectionMessage{number, text}, sockets...); err != nil {
		c.Close() // of half a message nothing is adopted
		return err
	}
	for late := time.After(messageTimeout); ; {
		select {
		case m, ok := <-answers:
			var about int
			switch {
			case !ok:
				return errNoPeer
			case m.decode(&about) != nil || about != number:
				continue
			case m.kind == kindNack:
				return errNotAdopted
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
