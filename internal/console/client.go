package console

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

// Exit codes of the console.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the relay has turned the command down
	ExitUsage       = 2 // the console was called wrongly
	ExitUnreachable = 3 // no relay answers
)

var errRefused = errors.New("refused")

// Main is `lockroad console`: it runs the command given, or those that come in,
// and returns the exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	flags := flag.NewFlagSet("lockroad console", flag.ContinueOnError)
	flags.SetOutput(errs)
	socket := flags.String("socket", os.Getenv("LOCKROAD_SOCKET"), "path of the relay's console socket")
	flags.Usage = func() {
		fmt.Fprintln(errs, "usage: lockroad console -socket PATH [COMMAND]")
		fmt.Fprintln(errs, "Without a command it reads commands, one a line; help lists them.")
		flags.PrintDefaults()
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return ExitUsage
	}
	if *socket == "" || flags.NArg() > 1 {
		flags.Usage()
		return ExitUsage
	}
	c, err := net.DialTimeout("unix", *socket, answerMost)
	if err != nil {
		fmt.Fprintf(errs, "lockroad console: no relay answers at %s: %v\n", *socket, err)
		return ExitUnreachable
	}
	defer c.Close()
	s := &session{conn: c, r: bufio.NewReader(c), out: out, errs: errs}
	if flags.NArg() == 1 {
		return s.run(flags.Arg(0))
	}
	return s.loop(in)
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
		fmt.Fprintf(s.errs, "lockroad console: %s", answer)
		return ExitRefused
	case err != nil:
		fmt.Fprintf(s.errs, "lockroad console: the relay no longer answers: %v\n", err)
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
