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
	// CurrentState returns the part of the state that may change after the offer. A
	// successor receives it after the offer, at each PublishState until the takeover,
	// and with the confirmation of the takeover.
	CurrentState() any
	// MergeState applies the state of another process, as its CurrentState returned
	// it, where that is newer than this process's own.
	MergeState(json.RawMessage) error
	// AdoptFrom serves an older process whose successor this process has become, until
	// that process has ended. Its state has been merged.
	AdoptFrom(context.Context, *Successor)
}

// Predecessor is the running process's side of a hot restart.
type Predecessor struct {
	path    string
	handler Handler
	log     *slog.Logger

	mu         sync.Mutex // guards the fields up to handOffMu
	state      PredecessorState
	peer       *peer // nil: there is no successor
	lastNumber int   // of the last connection handed off, or of the last call
	listener   *net.UnixListener
	socketFile os.FileInfo // of listener, at path
	paused     bool        // the last argument of the handler's SetPaused

	handOffMu sync.Mutex // held while a connection is handed off; locked before mu
	publishMu sync.Mutex // held while a state is sent, so that the latest is sent last; locked before mu
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
			peers.Go(func() { p.servePeer(ctx, newChannel(conn)) })
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
	socketFile, err := os.Stat(temporary)
	if err := errors.Join(err, os.Chmod(temporary, 0o600), os.Rename(temporary, p.path)); err != nil {
		listener.Close()
		_ = os.Remove(temporary) // otherwise, the next call of listen removes it
		return err
	}
	p.mu.Lock()
	previous := p.listener
	p.listener, p.socketFile = listener, socketFile
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
	if p.peer != nil {
		p.peer.Close()
	}
}

// servePeer serves a process that has connected: a successor, or an older process
// that yields to this one. It returns once the connection has ended. If a successor
// had taken over, the relay then resumes accepting.
func (p *Predecessor) servePeer(ctx context.Context, conn channel) {
	defer conn.Close()
	if err := conn.checkPeerUser(); err != nil {
		p.log.Warn("hot restart peer rejected", "error", err)
		return
	}
	received, err := conn.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return
	}
	received.closeFiles()
	if received.kind == kindRejoin {
		p.serveOlderProcess(ctx, conn, received)
		return
	}
	successor := p.acceptPeer(conn, received)
	if successor == nil {
		return
	}
	err = p.runTakeover(ctx, successor)
	resume, shuttingDown := p.peerLost(successor)
	if ctx.Err() != nil {
		return
	}
	p.log.Warn("hot restart successor lost", "pid", successor.pid, "error", err, "leaving", shuttingDown)
	if resume {
		p.resume(ctx)
	}
	if !shuttingDown {
		p.watchForNewerProcess(ctx)
	}
}

// acceptPeer returns the successor that has sent a hello, or nil if it does not
// become the peer. It sends it the reason then.
func (p *Predecessor) acceptPeer(conn channel, received *message) *peer {
	var hello helloMessage
	if received.kind != kindHello || received.decode(&hello) != nil {
		_ = conn.send(messageTimeout, kindReject, "a hello was expected") // the other process may have exited
		return nil
	}
	successor := newPeer(conn, hello.PID, hello.AcceptsCalls)
	if !p.setPeer(successor, hello.Version) {
		_ = conn.send(messageTimeout, kindReject, fmt.Sprintf("format %d against %d, or another new process is there", hello.Version, ProtocolVersion))
		p.log.Warn("hot restart successor rejected", "pid", hello.PID, "format", hello.Version)
		return nil
	}
	return successor
}

// setPeer makes a process the successor, unless there is one or it is of another
// version.
func (p *Predecessor) setPeer(successor *peer, version int) (accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.AcceptPeer(version) {
		return false
	}
	p.peer = successor
	return true
}

// peerLost records that the peer is lost. It reports whether this process has to
// resume accepting, and whether it is shutting down.
func (p *Predecessor) peerLost(successor *peer) (resume, shuttingDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resume = p.state.PeerLost()
	p.peer = nil
	close(successor.lost)
	return resume, p.state.shuttingDown
}

// resume makes the relay accept clients again after the loss of its successor.
func (p *Predecessor) resume(ctx context.Context) {
	for p.yieldToNewerProcess(ctx) {
	}
	if ctx.Err() != nil {
		return
	}
	p.setPaused(false)
	if err := p.listen(); err != nil { // the successor had replaced the socket
		p.log.Warn("hot restart socket unavailable", "error", err)
	}
}

// setPaused pauses or resumes the relay unless that is its state already. It is called
// by the goroutine that serves the peer.
func (p *Predecessor) setPaused(paused bool) {
	p.mu.Lock()
	changed := p.paused != paused
	p.paused = paused
	p.mu.Unlock()
	if changed {
		p.handler.SetPaused(paused)
	}
}

// runTakeover runs a takeover, and returns once the successor is lost.
func (p *Predecessor) runTakeover(ctx context.Context, successor *peer) error {
	if err := p.offer(ctx, successor); err != nil {
		return err
	}
	p.mu.Lock()
	takenOver := p.state.AcceptTakeOver()
	p.mu.Unlock()
	if !takenOver {
		return errProtocol
	}
	p.setPaused(true)
	if err := p.confirmPaused(successor); err != nil {
		return err
	}
	p.log.Info("hot restart successor took over")
	return successor.receiveAnswers(ctx)
}

// offer sends the offer, and waits until the successor announces that it takes over.
func (p *Predecessor) offer(ctx context.Context, successor *peer) error {
	offer, listeners, err := p.handler.Offer(ctx)
	if err != nil {
		_ = successor.send(messageTimeout, kindReject, err.Error()) // the successor may have exited
		return err
	}
	if err := successor.send(messageTimeout, kindOffer, offer, listeners...); err != nil {
		return err
	}
	p.mu.Lock()
	successor.offered = true
	p.mu.Unlock()
	p.PublishState() // it may have changed since Offer was called
	received, err := successor.receive(time.Now().Add(startupTimeout))
	if err != nil {
		return err
	}
	defer received.closeFiles()
	return received.expect(kindTakeOver)
}

// confirmPaused confirms to the successor that this process accepts no more.
func (p *Predecessor) confirmPaused(successor *peer) error {
	p.publishMu.Lock()
	defer p.publishMu.Unlock()
	if err := successor.send(messageTimeout, kindPaused, p.handler.CurrentState()); err != nil {
		return err
	}
	close(successor.serving)
	return nil
}

// PublishState sends the current state to a successor that has received the offer and
// has not taken over yet. It is to be called after each change of that state. It may
// be called from any goroutine.
func (p *Predecessor) PublishState() {
	p.publishMu.Lock()
	defer p.publishMu.Unlock()
	p.mu.Lock()
	successor, takenOver := p.peer, p.state.takenOver
	wanted := successor != nil && successor.offered && successor.acceptsCalls && !takenOver
	p.mu.Unlock()
	if !wanted {
		return
	}
	if err := successor.send(messageTimeout, kindState, p.handler.CurrentState()); err != nil {
		successor.Close() // it ignores an incomplete message
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
