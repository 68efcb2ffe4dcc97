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

// Exit codes of lockroad console.
const (
	ExitOK          = 0
	ExitRejected    = 1 // the relay answered the command with an error
	ExitUsage       = 2 // the command line is invalid
	ExitUnreachable = 3 // there is no connection to the relay
)

const (
	prompt      = "lockroad> "
	clearScreen = "\x1b[H\x1b[2J" // moves the cursor to the top left, and erases the screen
)

// rejectedError is the relay's answer to a command that it rejected.
type rejectedError struct{ text string }

// Error returns the text of the answer, which ends in a newline.
func (e *rejectedError) Error() string { return e.text }

// Run sends a command to the relay that listens on socket. If command is empty, it sends the
// commands that it reads from in, one per line. It writes answers to out and errors to errs, and
// returns the exit code.
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

// Watch runs a command at every interval until ctx ends, and returns the exit code. It stops if the
// command is rejected, or if the relay is unreachable the first time. It continues if the relay
// becomes unreachable later, as during a restart. On a terminal each answer replaces the previous
// one.
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
			if _, err := io.WriteString(out, answer.String()); err != nil { // the reader has closed the pipe
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

// clientSession is a client's connection to a relay. It is not safe for concurrent use.
type clientSession struct {
	conn      net.Conn
	reader    *bufio.Reader // of conn
	out, errs io.Writer
}

// runLines runs the commands that it reads from in until the input ends, a command is quit or exit,
// or the connection is lost. It returns the exit code of the last command.
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

// runCommand runs a command, writes its answer or error, and returns the exit code.
func (s *clientSession) runCommand(command string) int {
	answer, err := s.send(command)
	var rejected *rejectedError
	switch {
	case errors.As(err, &rejected):
		fmt.Fprintf(s.errs, "lockroad: %s", rejected.text)
		return ExitRejected
	case err != nil:
		fmt.Fprintf(s.errs, "lockroad: connection to the relay failed: %v\n", err)
		return ExitUnreachable
	}
	io.WriteString(s.out, answer)
	return ExitOK
}

// send sends a command and returns the text of its answer. The error is a *rejectedError if the
// relay rejected the command. After any other error the connection is unusable.
func (s *clientSession) send(command string) (string, error) {
	s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(s.conn, "%s\n", strings.ReplaceAll(command, "\n", " ")); err != nil {
		return "", err
	}
	header, err := s.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	var status answerStatus
	var size int
	if _, err := fmt.Sscanf(header, "%s %d", &status, &size); err != nil || size < 0 {
		return "", fmt.Errorf("invalid answer header %q", header)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(s.reader, text); err != nil {
		return "", err
	}
	if status != statusOK {
		return "", &rejectedError{text: string(text)}
	}
	return string(text), nil
}
