package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Exit codes of the console.
const (
	ExitOK          = 0
	ExitRejected    = 1 // the relay rejected the command
	ExitUsage       = 2 // the console was called wrongly
	ExitUnreachable = 3 // no relay answers
)

const (
	prompt      = "lockroad> "
	clearScreen = "\x1b[H\x1b[2J"
)

// rejectedError says that the relay rejected a command.
type rejectedError struct{ text string }

// Error returns the relay's text, with its newline.
func (e *rejectedError) Error() string { return e.text }

// Run sends a command to the relay that listens at a socket, or, without one, the commands that
// are read from in, one a line. It writes the answers to out and errors to errs, and returns the
// exit code.
func Run(socket, command string, in io.Reader, out, errs io.Writer) int {
	conn, err := net.DialTimeout("unix", socket, answerTimeout)
	if err != nil {
		fmt.Fprintf(errs, "lockroad: no relay answers at %s: %v\n", socket, err)
		return ExitUnreachable
	}
	defer conn.Close()
	session := &clientSession{conn: conn, reader: bufio.NewReader(conn), out: out, errs: errs}
	if command != "" {
		return session.runCommand(command)
	}
	return session.runLines(in)
}

// Watch runs a command again and again, until ctx ends, and returns the exit code. It goes on
// while the relay is unreachable, as during a restart, unless that is so the first time. On a
// terminal each answer replaces the last.
func Watch(ctx context.Context, socket, command string, interval time.Duration, terminal bool, out, errs io.Writer) int {
	for first := true; ; first = false {
		var answer, failure strings.Builder
		code := Run(socket, command, strings.NewReader(""), &answer, &failure)
		if code == ExitRejected || code != ExitOK && first {
			io.WriteString(errs, failure.String())
			return code
		}
		if terminal {
			now := time.Now().Format(time.TimeOnly)
			fmt.Fprintf(out, "%s%s  %s, every %s\n\n%s%s", clearScreen, now, command, interval, answer.String(), failure.String())
		} else {
			io.WriteString(errs, failure.String())
			if _, err := io.WriteString(out, answer.String()); err != nil { // whoever reads it has gone
				return ExitOK
			}
		}
		select {
		case <-ctx.Done():
			return ExitOK
		case <-time.After(interval):
		}
	}
}

// clientSession is a client's connection to a relay. It is for one goroutine.
type clientSession struct {
	conn      net.Conn
	reader    *bufio.Reader // of conn
	out, errs io.Writer
}

// runLines runs the commands that are read from in, until they end or say quit. It returns the
// exit code of the last.
func (s *clientSession) runLines(in io.Reader) int {
	code := ExitOK
	lines := bufio.NewScanner(in)
	for fmt.Fprint(s.out, prompt); lines.Scan(); fmt.Fprint(s.out, prompt) {
		switch command := strings.TrimSpace(lines.Text()); command {
		case "":
		case "quit", "exit":
			return code
		default:
			if code = s.runCommand(command); code == ExitUnreachable {
				return code
			}
		}
	}
	fmt.Fprintln(s.out)
	return code
}

// runCommand runs a command, writes the answer, and returns the exit code.
func (s *clientSession) runCommand(command string) int {
	answer, err := s.send(command)
	var rejected *rejectedError
	switch {
	case errors.As(err, &rejected):
		fmt.Fprintf(s.errs, "lockroad: %s", rejected.text)
		return ExitRejected
	case err != nil:
		fmt.Fprintf(s.errs, "lockroad: the relay no longer answers: %v\n", err)
		return ExitUnreachable
	}
	io.WriteString(s.out, answer)
	return ExitOK
}

// send sends a command and returns the answer. The error is a *rejectedError if the relay
// rejected the command, and otherwise says that the connection is of no more use.
func (s *clientSession) send(command string) (string, error) {
	s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(s.conn, "%s\n", strings.ReplaceAll(command, "\n", " ")); err != nil {
		return "", err
	}
	head, err := s.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	var verdict answerVerdict
	var size int
	if _, err := fmt.Sscanf(head, "%s %d", &verdict, &size); err != nil || size < 0 {
		return "", fmt.Errorf("the answer begins with %q", head)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(s.reader, text); err != nil {
		return "", err
	}
	if verdict != verdictOK {
		return "", &rejectedError{text: string(text)}
	}
	return string(text), nil
}
