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

// acceptRetryDelay is the wait after an accept that failed, for lack of
// descriptors as a rule.
const acceptRetryDelay = 10 * time.Millisecond

// SocketPath returns the path of the Unix socket at which the processes of a
// relay meet, in the folder that they have in common; "" if dir is "".
func SocketPath(dir, name, listen string) string {
	if dir == "" {
		return ""
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\n%s", name, listen)
	return filepath.Join(dir, "lockroad-"+strconv.FormatUint(hash.Sum64(), 36))
}

// Handler is the relay of the predecessor. Its methods are called from a
// goroutine of Predecessor.Serve.
type Handler interface {
	// Offer returns what a successor starts with, and the relay's listening sockets.
	Offer(context.Context) (*Offer, []syscall.Conn, error)
	// SetPaused makes the relay stop accepting clients and spending the slow-start
	// budget while a successor serves (true), or resume both (false).
	SetPaused(paused bool)
}

// Predecessor is the process that runs, as a successor finds it.
type Predecessor struct {
	path    string
	handler Handler
	log     *slog.Logger

	mu               sync.Mutex // guards what follows up to handOffMu
	state            PredecessorState
	peer             channel
	acknowledgements chan *message // of connections handed off to peer; closed when it is gone
	lastNumber       int           // of a connection handed off
	listener         *net.UnixListener

	handOffMu sync.Mutex // held while one connection is handed off; taken before mu
}

// NewPredecessor returns a predecessor that successors find at a path, which
// SocketPath returns. It does nothing before Serve.
func NewPredecessor(path string, handler Handler, log *slog.Logger) *Predecessor {
	return &Predecessor{path: path, handler: handler, log: log}
}

// Serve waits for successors until ctx ends, and returns nil then. Where the
// socket can't be opened it logs so and returns nil: the next version starts
// beside this one. It waits for the goroutines that it starts, one for each
// successor that connects.
func (p *Predecessor) Serve(ctx context.Context) error {
	if err := p.listen(); err != nil {
		p.log.Warn("hot restart socket unavailable", "error", err)
		return nil
	}
	defer context.AfterFunc(ctx, p.closeAll)()
	var peers sync.WaitGroup
	defer peers.Wait()
	for {
		listener := p.currentListener()
		conn, err := listener.AcceptUnix()
		reopened := listener != p.currentListener()
		switch {
		case err == nil:
			peers.Go(func() { p.servePeer(ctx, channel{conn}) })
		case ctx.Err() != nil:
			return nil
		case reopened: // the next accept is at the new listener
		default:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptRetryDelay):
			}
		}
	}
}

// listen opens the socket, in the place of one that is there: a predecessor's,
// or what a killed process has left.
func (p *Predecessor) listen() error {
	temporary := fmt.Sprintf("%s.%d", p.path, os.Getpid())
	_ = os.Remove(temporary) // if it stays, ListenUnix fails
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, p.path)); err != nil {
		listener.Close()
		_ = os.Remove(temporary) // the next attempt removes it
		return err
	}
	p.mu.Lock()
	previous := p.listener
	p.listener = listener
	p.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	return nil
}

func (p *Predecessor) currentListener() *net.UnixListener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener
}

// closeAll ends Serve and the successor's connection.
func (p *Predecessor) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	if p.peer.UnixConn != nil {
		p.peer.Close()
	}
}

// servePeer serves a successor, from its hello until it is gone.
func (p *Predecessor) servePeer(ctx context.Context, conn channel) {
	defer conn.Close()
	if err := conn.sameUser(); err != nil {
		p.log.Warn("hot restart peer rejected", "error", err)
		return
	}
	hello, accepted := p.acceptPeer(conn)
	if !accepted {
		return
	}
	err := p.runHandover(ctx, conn)
	resume, shuttingDown := p.peerLost()
	if ctx.Err() != nil {
		return
	}
	p.log.Warn("hot restart successor lost", "pid", hello.PID, "error", err, "leaving", shuttingDown)
	if !resume {
		return
	}
	p.handler.SetPaused(false)
	if err := p.listen(); err != nil { // the successor has opened its own there
		p.log.Warn("hot restart socket unavailable", "error", err)
	}
}

// acceptPeer reads a successor's hello. It reports whether it becomes the peer;
// one that doesn't is told why.
func (p *Predecessor) acceptPeer(conn channel) (hello helloMessage, accepted bool) {
	received, err := conn.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return hello, false
	}
	defer received.closeFiles()
	if received.kind != kindHello || received.decode(&hello) != nil {
		_ = conn.send(messageTimeout, kindReject, "a hello was expected") // the other process may have gone
		return hello, false
	}
	p.mu.Lock()
	accepted = p.state.AcceptPeer(hello.Version)
	if accepted {
		p.peer, p.acknowledgements = conn, make(chan *message, 1)
	}
	p.mu.Unlock()
	if !accepted {
		_ = conn.send(messageTimeout, kindReject, fmt.Sprintf("format %d against %d, or another new process is there", hello.Version, ProtocolVersion))
		p.log.Warn("hot restart successor rejected", "pid", hello.PID, "format", hello.Version)
	}
	return hello, accepted
}

// peerLost notes that the peer is gone. It reports whether this process resumes
// accepting, and whether it is shutting down.
func (p *Predecessor) peerLost() (resume, shuttingDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resume = p.state.PeerLost()
	p.peer = channel{}
	close(p.acknowledgements)
	return resume, p.state.shuttingDown
}

// runHandover offers this process's place, and returns when the successor is gone.
func (p *Predecessor) runHandover(ctx context.Context, conn channel) error {
	if err := p.offer(ctx, conn); err != nil {
		return err
	}
	p.mu.Lock()
	takenOver := p.state.AcceptTakeOver()
	p.mu.Unlock()
	if !takenOver {
		return errProtocol
	}
	p.handler.SetPaused(true)
	if err := conn.send(messageTimeout, kindPaused, nil); err != nil {
		return err
	}
	p.log.Info("hot restart successor took over")
	return p.receiveAcknowledgements(ctx, conn)
}

// offer sends the offer, and waits until the successor is ready to take over.
func (p *Predecessor) offer(ctx context.Context, conn channel) error {
	offer, listeners, err := p.handler.Offer(ctx)
	if err != nil {
		_ = conn.send(messageTimeout, kindReject, err.Error()) // the successor may have gone
		return err
	}
	if err := conn.send(messageTimeout, kindOffer, offer, listeners...); err != nil {
		return err
	}
	received, err := conn.receive(time.Now().Add(startupTimeout))
	if err != nil {
		return err
	}
	defer received.closeFiles()
	return received.expect(kindTakeOver)
}

// receiveAcknowledgements passes acknowledgements on to HandOff until the
// successor is gone or ctx ends.
func (p *Predecessor) receiveAcknowledgements(ctx context.Context, conn channel) error {
	for {
		received, err := conn.receive(time.Time{})
		if err != nil {
			return err
		}
		received.closeFiles()
		if received.kind != kindAck && received.kind != kindNack {
			return errProtocol
		}
		select {
		case p.acknowledgements <- received:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// BeginShutdown notes that this process was ordered to shut down. It reports
// whether established connections are to be handed off. Any goroutine may call it.
func (p *Predecessor) BeginShutdown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.BeginShutdown()
	return p.state.MayHandOff()
}

// HandOff hands a connection off, with its sockets and a payload that describes
// it, and waits up to a second for the acknowledgement. After nil it is the
// successor's, and no byte may be read or written here; after an error it is
// still this process's. Any goroutine may call it; calls take turns.
func (p *Predecessor) HandOff(payload any, sockets ...syscall.Conn) error {
	text, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	p.handOffMu.Lock()
	defer p.handOffMu.Unlock()
	p.mu.Lock()
	permitted, peer, acknowledgements := p.state.MayHandOff(), p.peer, p.acknowledgements
	p.lastNumber++
	number := p.lastNumber
	p.mu.Unlock()
	if !permitted {
		return errNoPeer
	}
	if err := peer.send(messageTimeout, kindConnection, connectionMessage{number, text}, sockets...); err != nil {
		peer.Close() // of half a message nothing is adopted
		return err
	}
	return p.awaitAcknowledgement(peer, acknowledgements, number)
}

// awaitAcknowledgement returns nil if the connection of a number is the
// successor's, or may be.
func (p *Predecessor) awaitAcknowledgement(peer channel, acknowledgements <-chan *message, number int) error {
	for timeout := time.After(messageTimeout); ; {
		select {
		case received, open := <-acknowledgements:
			if !open {
				return errNoPeer
			}
			var acknowledged int
			if received.decode(&acknowledged) != nil || acknowledged != number {
				continue
			}
			if received.kind == kindNack {
				return errNotAdopted
			}
			return nil
		case <-timeout:
			// It may have been adopted, or may yet be: two that serve it would garble it.
			p.log.Warn("connection handoff not acknowledged")
			peer.Close() // the next would be paused as long, and be as uncertain: they are migrated
			return nil
		}
	}
}
