package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"
)

// A process that has lost its successor may not be the only one left: the successor may
// have handed over to a third process, or may have gone on without it. The process that
// serves owns the socket at the relay's path. An older process that finds another
// process's socket there yields to that process, which becomes its successor.

const (
	// newerProcessWait is how long a process looks for a newer one after it has lost its
	// successor. A third process that was starting has become ready by then.
	newerProcessWait = startupTimeout + 2*messageTimeout
	// newerProcessInterval is the time between two looks.
	newerProcessInterval = 100 * time.Millisecond
)

// watchForNewerProcess looks for a newer process for newerProcessWait, and yields to it.
func (p *Predecessor) watchForNewerProcess(ctx context.Context) {
	for deadline := time.Now().Add(newerProcessWait); time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(newerProcessInterval):
		}
		if p.isShuttingDown() {
			return
		}
		if p.yieldToNewerProcess(ctx) && ctx.Err() == nil {
			p.resume(ctx)
			deadline = time.Now().Add(newerProcessWait)
		}
	}
}

func (p *Predecessor) isShuttingDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.shuttingDown
}

// yieldToNewerProcess connects to a newer process, if there is one, makes it the
// successor and returns once it is lost. The relay is paused then. It returns false at
// once if there is no newer process or it rejects this one.
func (p *Predecessor) yieldToNewerProcess(ctx context.Context) (yielded bool) {
	conn := p.dialNewerProcess()
	if conn == nil {
		return false
	}
	defer conn.Close()
	successor := newPeer(newChannel(conn), 0, true)
	if ctx.Err() != nil || !p.setPeer(successor, ProtocolVersion) {
		return false
	}
	if err := p.requestRejoin(successor); err != nil {
		p.peerLost(successor)
		p.log.Warn("newer process did not accept this one", "error", err)
		return false
	}
	p.setPaused(true)
	p.log.Info("a newer process serves the clients", "pid", successor.pid)
	err := successor.receiveAnswers(ctx)
	p.peerLost(successor)
	p.log.Warn("hot restart successor lost", "pid", successor.pid, "error", err)
	return true
}

// dialNewerProcess connects to the process that has replaced this one's socket. It
// returns nil if there is none, or if this process has a successor.
func (p *Predecessor) dialNewerProcess() *net.UnixConn {
	current, err := os.Stat(p.path)
	p.mu.Lock()
	own, successor := p.socketFile, p.peer
	p.mu.Unlock()
	if err != nil || successor != nil || os.SameFile(current, own) {
		return nil
	}
	conn, err := net.DialTimeout("unix", p.path, messageTimeout)
	if err != nil { // the socket of a process that was killed
		return nil
	}
	return conn.(*net.UnixConn)
}

// requestRejoin asks a newer process to be this one's successor. Calls wait until it has
// confirmed that.
func (p *Predecessor) requestRejoin(successor *peer) error {
	if err := successor.checkPeerUser(); err != nil {
		return err
	}
	p.mu.Lock()
	p.state.AcceptTakeOver()
	p.mu.Unlock()
	state, err := json.Marshal(p.handler.CurrentState())
	if err != nil {
		return err
	}
	request := rejoinMessage{Version: ProtocolVersion, PID: os.Getpid(), State: state}
	if err := successor.send(messageTimeout, kindRejoin, request); err != nil {
		return err
	}
	received, err := successor.receive(time.Now().Add(messageTimeout))
	if err != nil {
		return err
	}
	received.closeFiles()
	if err := received.expect(kindRejoined); err != nil {
		return err
	}
	var answer rejoinMessage
	if err := received.decode(&answer); err != nil {
		return err
	}
	successor.pid = answer.PID
	close(successor.serving)
	go p.mergeAnswer(answer.State) // it may wait for a call, whose result this goroutine receives
	return nil
}

// mergeAnswer applies the state of the newer process.
func (p *Predecessor) mergeAnswer(state json.RawMessage) {
	if err := p.handler.MergeState(state); err != nil {
		p.log.Warn("state of newer process rejected", "error", err)
	}
}

// serveOlderProcess serves a process that has found this one's socket in place of its
// own. The handler adopts its connections and answers its calls.
func (p *Predecessor) serveOlderProcess(ctx context.Context, conn channel, received *message) {
	var request rejoinMessage
	if received.decode(&request) != nil || request.Version != ProtocolVersion {
		_ = conn.send(messageTimeout, kindReject, fmt.Sprintf("a rejoin of format %d was expected", ProtocolVersion)) // the other process may have exited
		return
	}
	if p.isShuttingDown() {
		_ = conn.send(messageTimeout, kindReject, "this process is ending")
		return
	}
	if err := p.handler.MergeState(request.State); err != nil {
		_ = conn.send(messageTimeout, kindReject, err.Error())
		return
	}
	state, err := json.Marshal(p.handler.CurrentState())
	if err != nil {
		return
	}
	if err := conn.send(messageTimeout, kindRejoined, rejoinMessage{Version: ProtocolVersion, PID: os.Getpid(), State: state}); err != nil {
		return
	}
	p.log.Info("an older process yielded to this one", "pid", request.PID)
	p.handler.AdoptFrom(ctx, &Successor{channel: conn, state: SuccessorState{phase: phaseTakenOver}})
}
