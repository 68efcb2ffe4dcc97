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
	ExitRejected    = 1 // the relay has turned the command down
	ExitUsage       = 2 // the console was called wrongly
	ExitUnreachable = 3 // no relay answers
)

var errRefused = errors.New("refused")

// Run has the relay that listens at a socket run a command, or, without one, those
// that come in, one a line. It returns the exit code.
func Run(socket, command string, in io.Reader, out, errs io.Writer) int {
	c, err := net.DialTimeout("unix", socket, answerMost)
	if err != nil {
		fmt.Fprintf(errs, "lockroad: no relay answers at %s: %v\n", socket, err)
		return ExitUnreachable
	}
	defer c.Close()
	s := &session{conn: c, r: bufio.NewReader(c), out: out, errs: errs}
	if command != "" {
		return s.run(command)
	}
	return s.loop(in)
}

// Watch has the relay run a command again and again, until ctx ends. It goes on while the
// relay is away, as over a restart, but not from a first time without one. On a terminal each
// answer takes the place of the last.
func Watch(ctx context.Context, socket, command string, every time.Duration, terminal bool, out, errs io.Writer) int {
	for first := true; ; first = false {
		var answer, wrong strings.Builder
		code := Run(socket, command, strings.NewReader(""), &answer, &wrong)
		if code == ExitRejected || code != ExitOK && first {
			io.WriteString(errs, wrong.String())
			return code
		}
		switch {
		case terminal:
			fmt.Fprintf(out, "\x1b[H\x1b[2J%s  %s, every %s\n\n%s%s", time.Now().Format(time.TimeOnly), command, every, answer.String(), wrong.String())
		default:
			io.WriteString(errs, wrong.String())
			if _, err := io.WriteString(out, answer.String()); err != nil { // who read it has gone
				return ExitOK
			}
		}
		select {
		case <-ctx.Done():
			return ExitOK
		case <-time.After(every):
		}
	}
}

// session is a console's talk with a relay.
type session struct {
	conn      net.Conn
	r         *bufio.Reader
	out, errs io.Writer
}

// loop runs the commands that come in, until they end or say quit. Its code is
// that of the last.
func (s *session) loop(in io.Reader) int {
	code := ExitOK
	lines := bufio.NewScanner(in)
	for fmt.Fprint(s.out, "lockroad> "); lines.Scan(); fmt.Fprint(s.out, "lockroad> ") {
		switch text := strings.TrimSpace(lines.Text()); text {
		case "":
		case "quit", "exit":
			return code
		default:
			if code = s.run(text); code == ExitUnreachable {
				return code
			}
		}
	}
	fmt.Fprintln(s.out)
	return code
}

// run has the relay run a command and prints the answer.
func (s *session) run(text string) int {
	answer, err := s.ask(text)
	switch {
	case errors.Is(err, errRefused):
		fmt.Fprintf(s.errs, "lockroad: %s", answer)
		return ExitRejected
	case err != nil:
		fmt.Fprintf(s.errs, "lockroad: the relay no longer answers: %v\n", err)
		return ExitUnreachable
	}
	io.WriteString(s.out, answer)
	return ExitOK
}

func (s *session) ask(text string) (string, error) {
	s.conn.SetDeadline(time.Now().Add(answerMost))
	if _, err := fmt.Fprintf(s.conn, "%s\n", strings.ReplaceAll(text, "\n", " ")); err != nil {
		return "", err
	}
	var verdict string
	var size int
	head, err := s.r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if _, err := fmt.Sscanf(head, "%s %d", &verdict, &size); err != nil || size < 0 {
		return "", fmt.Errorf("the answer begins with %q", head)
	}
	answer := make([]byte, size)
	if _, err := io.ReadFull(s.r, answer); err != nil {
		return "", err
	}
	if verdict != "ok" {
		return string(answer), errRefused
	}
	return string(answer), nil
}
