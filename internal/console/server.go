// Package console implements the operator's console: one-line commands over a Unix socket that
// only the user who runs the relay may open. Server answers the commands; Run and Watch are the
// clients.
//
// On the wire a command is one line. An answer is a header line with a status, "ok" or "error",
// and the length of the text that follows, in bytes.
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
	maxCommandBytes = 4 << 10          // a longer command ends its session
	idleTimeout     = 10 * time.Minute // after which a session without a command is closed
	answerTimeout   = 5 * time.Second  // for writing an answer; also for a reload, and for a client's exchange
	acceptBackoff   = 10 * time.Millisecond

	// MaxSessions limits the open sessions, and thereby the file descriptors they use.
	MaxSessions = 24
)

// Frontend is the name and the listening address of a frontend of the relay.
type Frontend struct{ Name, Address string }

// Server answers the console's commands. Its fields are set before Serve and not changed after
// that. Its functions are called concurrently, from the goroutines of the sessions.
type Server struct {
	Name        string // of the relay
	Proxy       *proxy.Proxy
	Frontends   []Frontend
	Shutdown    func() error       // migrates all clients off the relay, and then stops it
	Explainer   *explain.Explainer // nil: there is no decision log
	Persistence Persistence        // nil: drain directives are rejected
	// Reload applies the configuration file and returns a line for each change. With dryRun it
	// changes nothing. nil: there is no configuration file.
	Reload func(ctx context.Context, dryRun bool) ([]string, error)
	// Health returns the health of the endpoints, and whether panic mode lists all of them as up
	// because most health checks fail. nil: endpoints have no health checks.
	Health  func() (all []healthcheck.EndpointHealth, panicMode bool)
	LogTail func(limit int) []string // returns the last lines of the log; nil: none are retained
	// Requests counts the requests at each endpoint, by name, including attempts in progress. nil:
	// those of Proxy are counted.
	Requests func(ctx context.Context) map[string]int
	// Restart migrates all clients off the relay and restarts it. It returns an error if the relay
	// can't be restarted. nil: restarts are not supported.
	Restart func() error
}

// Listen opens the console's socket, which only its owner may access. It replaces the socket of a
// process that has ended, and fails if a process still listens on it.
func Listen(path string) (net.Listener, error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("console: another process listens on socket %s", path)
	}
	if info, err := os.Stat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // if this fails, net.Listen reports the address in use
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

// Serve accepts sessions until ctx ends, and then closes the listener and all connections. Each
// session has its own goroutine. Serve does not wait for them to end.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, MaxSessions)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // for example, the process is out of file descriptors
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

// rejectSession sends the error that there are too many sessions, and closes the connection. The
// client reads it as the answer to its first command.
func rejectSession(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(time.Millisecond))
	io.WriteString(conn, frameAnswer(statusError, fmt.Sprintf("too many console sessions: the limit is %d\n", MaxSessions)))
	conn.Close()
}

// serveSession answers the commands of one session until its connection ends or is idle for too
// long.
func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	user := peerUser(conn)
	reader := bufio.NewReaderSize(conn, maxCommandBytes)
	for {
		conn.SetDeadline(time.Now().Add(idleTimeout))
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		status, answer := s.execute(ctx, strings.TrimSpace(string(line)), user)
		conn.SetDeadline(time.Now().Add(answerTimeout))
		if _, err := io.WriteString(conn, frameAnswer(status, answer)); err != nil {
			return
		}
	}
}

// answerStatus is the first word of an answer's header on the wire.
type answerStatus string

const (
	statusOK    answerStatus = "ok"
	statusError answerStatus = "error" // the command failed, and the text is the error
)

// frameAnswer encodes an answer for the wire. It replaces control characters in the text.
func frameAnswer(status answerStatus, text string) string {
	text = Sanitize(text)
	return fmt.Sprintf("%s %d\n%s", status, len(text), text)
}
