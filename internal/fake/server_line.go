package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverLine is the server side of one attempt over the line protocol.
type serverLine struct {
	server   *Server
	listener int // number of the listener
	conn     *net.TCPConn
	reader   *bufio.Reader
	record   *attemptRecord
	group    string

	writing sync.Mutex // guards writes to conn
}

// serveLine serves one connection of the line protocol; listener is the number of its listener.
func (s *Server) serveLine(ctx context.Context, conn *net.TCPConn, listener int) {
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	first, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(first)
	if len(words) != 4 || words[0] != "OPEN" {
		io.WriteString(conn, s.answerProbe(words))
		return
	}
	attempt, group := parseOpen(words)
	line := &serverLine{server: s, listener: listener, conn: conn, reader: reader, record: s.newRecord(attempt), group: group}
	defer line.record.closed()
	if line.admit(ctx) {
		defer s.release()
		line.serve(ctx)
	}
}

// answerProbe returns the answer to a first line that is not an OPEN request.
func (s *Server) answerProbe(words []string) string {
	isProbe := len(words) == 1 && (words[0] == "PING" || words[0] == "STATS")
	switch {
	case !isProbe:
		return "SYNTAX\r\n"
	case s.AnswersProbes:
		return "PONG\r\n"
	}
	return "NO\r\n"
}

// parseOpen parses the words of an OPEN request.
func parseOpen(words []string) (attempt Attempt, group string) {
	attempt = Attempt{Frontend: "line", Name: words[1], At: time.Now()}
	for field := range strings.SplitSeq(words[3], ",") {
		switch key, value, _ := strings.Cut(field, "="); key {
		case "c":
			attempt.Class = value
		case "g":
			group = value
		case "d":
			milliseconds, _ := strconv.Atoi(value)
			attempt.TimeLimit = time.Duration(milliseconds) * time.Millisecond
		}
	}
	return attempt, group
}

// admit reports whether the attempt is accepted; if not, it has been answered.
func (l *serverLine) admit(ctx context.Context) bool {
	switch l.server.admit(ctx) {
	case ModeHang, ModeNoCredit:
		_, _ = io.Copy(io.Discard, l.reader)
		return false
	case ModeBusy:
		l.record.answered(answerBusy)
		io.WriteString(l.conn, "BUSY\r\n")
		return false
	case ModeError:
		l.record.answered(answerError)
		io.WriteString(l.conn, "ERR\r\n")
		return false
	case ModeBreak:
		l.record.answered(answerBroken)
		l.conn.SetLinger(0)
		return false
	}
	return true
}

// serve answers an accepted attempt and echoes its messages until it ends.
func (l *serverLine) serve(ctx context.Context) {
	if ctx.Err() != nil { // the server was stopped during SetupTime
		return
	}
	l.record.answered(answerUp)
	if l.write("UP r-"+l.server.Name+"\r\n") != nil {
		l.record.ended(endGone)
		return
	}
	if l.server.Capacity.WorkRate > 0 {
		defer l.joinWorkload()()
	} else if l.server.Load > 0 {
		_ = l.write(fmt.Sprintf("LOAD %d\r\n", l.server.Load.Microseconds()))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.server.running.Go(func() { l.server.awaitDrain(ctx, l.migrate) })
	for sequence := 1; ; sequence++ {
		if !l.echoNext(ctx, sequence) {
			return
		}
	}
}

// echoNext echoes the next message. It reports whether the attempt continues.
func (l *serverLine) echoNext(ctx context.Context, sequence int) bool {
	l.conn.SetReadDeadline(time.Now().Add(readTimeout))
	message, err := l.reader.ReadString('\n')
	if err != nil {
		l.readFailed(ctx, err)
		return false
	}
	took := l.record.received(message, sequence)
	if l.server.awaitEcho(ctx, took) && l.write(fmt.Sprintf("M %d %s", time.Now().UnixMicro(), message)) != nil {
		l.record.ended(endGone)
		return false
	}
	return true
}

func (l *serverLine) readFailed(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
		l.record.ended(endBroken)
	case errors.Is(err, io.EOF):
		l.record.ended(endBye)
		_ = l.write("BYE\r\n")
	default:
		l.record.ended(endGone)
	}
}

func (l *serverLine) migrate() {
	l.record.ended(endAway)
	_ = l.write(lineMove)
	l.conn.CloseWrite()
}

// joinWorkload adds the connection's demand to the server's workload, and the connection to those on
// which delays are reported. The returned function removes both.
func (l *serverLine) joinWorkload() (leave func()) {
	write := l.write
	l.server.delayReports.add(l.listener, &write)
	class := l.record.attempt.Class
	l.server.updateWorkload(class, l.group, true)
	return func() {
		l.server.updateWorkload(class, l.group, false)
		l.server.delayReports.remove(l.listener, &write)
	}
}

func (l *serverLine) write(text string) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(l.conn, text)
	return err
}
