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

// acceptRetryDelay is the wait after an accept that failed, usually because the
// process is out of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// SocketPath returns the path of a relay's hot restart socket in a folder, by the
// relay's name and listen address. It returns "" if dir is "".
func SocketPath(dir, name, listen string) string {
	if dir == "" {
		return ""
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\n%s", name, listen)
	return filepath.Join(dir, "lockroad-"+strconv.FormatUint(hash.Sum64(), 36))
}

// Handler is implemented by the predecessor's relay. Its methods are called from
// goroutines of Predecessor.Serve.
type Handler interface {
	// Offer returns the state for a successor, and the relay's listening sockets.
	Offer(context.Context) (*Offer, []syscall.Conn, error)
	// SetPaused makes the relay stop accepting clients and spending the slow-start
	// budget while a successor serves (true), or resume both (false).
	SetPaused(bool)
}

// Predecessor is the running process's side of a hot restart.
type Predecessor struct {
	path    string
	handler Handler
	log     *slog.Logger

	mu               sync.Mutex // guards the fields up to handOffMu
	state            PredecessorState
	peer             channel
	acknowledgements chan *message // for connections handed off to peer; closed once the peer is lost
	lastNumber       int           // of the last connection handed off
	listener         *net.UnixListener

	handOffMu sync.Mutex // held while a connection is handed off; locked before mu
}

// NewPredecessor returns a predecessor whose Serve listens at a path from
// SocketPath.
func NewPredecessor(path string, handler Handler, log *slog.Logger) *Predecessor {
	return &Predecessor{path: path, handler: handler, log: log}
}

// Serve serves successors until ctx ends, each on a goroutine of its own, and
// returns nil once all of these have ended. If the socket cannot be opened, it logs
// that and returns nil: a new process then starts without a takeover.
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
		case reopened: // continue with the new listener
		default:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptRetryDelay):
			}
		}
	}
}

// listen opens the socket, and replaces an existing one at its path: that of another
// process, or one that a killed process has left behind.
func (p *Predecessor) listen() error {
	temporary := fmt.Sprintf("%s.%d", p.path, os.Getpid())
	_ = os.Remove(temporary) // ListenUnix fails if it is still there
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, p.path)); err != nil {
		listener.Close()
		_ = os.Remove(temporary) // otherwise, the next call of listen removes it
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

// closeAll closes the listener and the successor's connection, which ends Serve.
func (p *Predecessor) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	if p.peer.UnixConn != nil {
		p.peer.Close()
	}
}

// servePeer serves a successor, from its hello until its connection ends. If the
// successor had taken over, the relay then resumes accepting.
func (p *Predecessor) servePeer(ctx context.Context, conn channel) {
	defer conn.Close()
	if err := conn.checkPeerUser(); err != nil {
		p.log.Warn("hot restart peer rejected", "error", err)
		return
	}
	hello, accepted := p.acceptPeer(conn)
	if !accepted {
		return
	}
	err := p.runTakeover(ctx, conn)
	resume, shuttingDown := p.peerLost()
	if ctx.Err() != nil {
		return
	}
	p.log.Warn("hot restart successor lost", "pid", hello.PID, "error", err, "leaving", shuttingDown)
	if !resume {
		return
	}
	p.handler.SetPaused(false)
	if err := p.listen(); err != nil { // the successor had replaced the socket
		p.log.Warn("hot restart socket unavailable", "error", err)
	}
}

// acceptPeer reads a successor's hello, and reports whether the successor becomes
// the peer. If not, it sends it the reason.
func (p *Predecessor) acceptPeer(conn channel) (hello helloMessage, accepted bool) {
	received, err := conn.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return hello, false
	}
	defer received.closeFiles()
	if received.kind != kindHello || received.decode(&hello) != nil {
		_ = conn.send(messageTimeout, kindReject, "a hello was expected") // the other process may have exited
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

// peerLost records that the peer is lost. It reports whether this process has to
// resume accepting, and whether it is shutting down.
func (p *Predecessor) peerLost() (resume, shuttingDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resume = p.state.PeerLost()
	p.peer = channel{}
	close(p.acknowledgements)
	return resume, p.state.shuttingDown
}

// runTakeover runs a takeover, and returns once the successor is lost.
func (p *Predecessor) runTakeover(ctx context.Context, conn channel) error {
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

// offer sends the offer, and waits until the successor announces that it takes over.
func (p *Predecessor) offer(ctx context.Context, conn channel) error {
	offer, listeners, err := p.handler.Offer(ctx)
	if err != nil {
		_ = conn.send(messageTimeout, kindReject, err.Error()) // the successor may have exited
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

// receiveAcknowledgements passes acknowledgements to HandOff until the successor's
// connection or ctx ends.
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

// BeginShutdown records that this process was ordered to shut down. It reports
// whether established connections are to be handed off. It may be called from any
// goroutine.
func (p *Predecessor) BeginShutdown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.BeginShutdown()
	return p.state.MayHandOff()
}

// HandOff hands off a connection, with its sockets and a payload that describes it,
// and waits up to a second for the acknowledgement. If it returns nil, the caller
// must neither read from nor write to the connection any more; after an error, the
// caller still owns it. It may be called from any goroutine, and hands off one
// connection at a time.
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
		peer.Close() // the successor ignores an incomplete message
		return err
	}
	return p.awaitAcknowledgement(peer, acknowledgements, number)
}

// awaitAcknowledgement waits for the acknowledgement of a connection. It returns nil
// if the successor owns the connection, or after a timeout, when it may own it.
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
				return errDeclined
			}
			return nil
		case <-timeout:
			// The successor may still adopt the connection. If both processes served it, its data would be corrupted.
			p.log.Warn("hot restart successor did not acknowledge a connection in time, ending the handoff")
			peer.Close() // so that the remaining connections are migrated, without a timeout for each
			return nil
		}
	}
}
