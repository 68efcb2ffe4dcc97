// Package console is the operator's console: commands of a line each over a Unix socket, which
// only the owner of the relay's process may open. Server answers them; Run and Watch are its
// clients.
//
// On the wire a command is a line. An answer is a line with a verdict, "ok" or "error", and the
// number of bytes of the text that follows.
package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"lockroad/internal/explain"
	"lockroad/internal/healthcheck"
	"lockroad/internal/proxy"
)

const (
	maxCommandBytes = 4 << 10
	idleTimeout     = 10 * time.Minute // a session without a command for this long is closed
	answerTimeout   = 5 * time.Second  // for an answer to be made, and to be written
	acceptBackoff   = 10 * time.Millisecond

	// MaxSessions bounds the sessions that are open at a time, and so their file descriptors.
	MaxSessions = 24
)

// Frontend is the name and the listening address of a frontend of the relay.
type Frontend struct{ Name, Address string }

// Server answers the console's commands. Its fields are set before Serve and not changed after;
// its functions are called from the goroutines of sessions.
type Server struct {
	Name        string // of the relay
	Proxy       *proxy.Proxy
	Frontends   []Frontend
	Shutdown    func()             // migrates all clients off the relay, and then stops it
	Explainer   *explain.Explainer // nil: no decisions are logged
	Persistence Persistence        // nil: no drain directives are taken
	// Reload applies the configuration file and returns what changes, a line each; with dry it only
	// returns that. nil: the relay has no file.
	Reload func(ctx context.Context, dry bool) ([]string, error)
	// Health returns the health of a site's endpoints, and whether the prober doubts itself as most
	// seem to be down. nil: discovery says which endpoints are up.
	Health  func() (all []healthcheck.EndpointHealth, doubts bool)
	LogTail func(most int) []string // returns the last lines of the log; nil: none are kept
	// Restart makes the relay drain and be started again. An error says why that can't be. nil: it
	// can't be.
	Restart func() error
}

// Listen opens the console's socket, for its owner alone. A socket that an earlier process left
// there is replaced, unless one still answers on it.
func Listen(path string) (net.Listener, error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("console: %s answers already", path)
	}
	if info, err := os.Stat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // if it stays, Listen fails
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return nil, fmt.Errorf("console: %w", err)
	}
	return listener, nil
}

// Serve answers sessions until ctx ends, and closes the listener then. Each session has a
// goroutine, which ends with its connection; the end of ctx closes that, but Serve does not wait
// for it.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, MaxSessions)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // as when the process is out of file descriptors
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptBackoff):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			rejectSession(conn)
			continue
		}
		go func() {
			defer func() { <-slots }()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			s.serveSession(ctx, conn)
		}()
	}
}

// rejectSession says that there are too many sessions. The client, which knows nothing of it,
// takes this for the answer to its first command.
func rejectSession(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(time.Millisecond))
	io.WriteString(conn, frameAnswer(verdictError, fmt.Sprintf("%d consoles are open, as many as may be\n", MaxSessions)))
	conn.Close()
}

// serveSession answers one session's commands until its connection ends.
func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	user := peerUser(conn)
	reader := bufio.NewReaderSize(conn, maxCommandBytes)
	for {
		conn.SetDeadline(time.Now().Add(idleTimeout))
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		verdict, answer := s.execute(ctx, strings.TrimSpace(string(line)), user)
		conn.SetDeadline(time.Now().Add(answerTimeout))
		if _, err := io.WriteString(conn, frameAnswer(verdict, answer)); err != nil {
			return
		}
	}
}

// answerVerdict is the first word of an answer on the wire.
type answerVerdict string

const (
	verdictOK    answerVerdict = "ok"
	verdictError answerVerdict = "error" // the command was rejected, and the text says why
)

// frameAnswer returns an answer as it goes over the wire, without anything that would control a
// terminal.
func frameAnswer(verdict answerVerdict, text string) string {
	text = Sanitize(text)
	return fmt.Sprintf("%s %d\n%s", verdict, len(text), text)
}
