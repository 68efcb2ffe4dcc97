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
	"time"
)

// lineConn is the connection of an established session over the line protocol.
type lineConn struct {
	*net.TCPConn
	session string // name of the session
}

func (c lineConn) send(sequence int) error {
	_, err := io.WriteString(c, newMessage(sequence, c.session)+"\r\n")
	return err
}

func (c lineConn) leave() { c.CloseWrite() }

// runLine runs the session over the line protocol.
func (s *clientSession) runLine(ctx context.Context) string {
	conn, err := s.dialLine()
	if err != nil {
		s.update(func() { s.record.Refused = true })
		return s.answered(answerNone, 0)
	}
	defer conn.Close()
	s.openLine(conn)
	reader := bufio.NewReader(conn)
	first, err := reader.ReadString('\n')
	if err != nil {
		return s.answered(answerNone, 0)
	}
	if answer := s.lineAnswer(first); answer != answerUp {
		s.countExtra(conn, reader)
		return answer
	}
	conn.SetDeadline(time.Time{})
	lines := make(chan string, lineQueue)
	go readLines(reader, lines)
	defer func() {
		conn.Close()
		for range lines { // drains the channel until the reader has ended
		}
	}()
	return s.exchangeMessages(ctx, lines, lineConn{TCPConn: conn.(*net.TCPConn), session: s.record.Name})
}

func (s *clientSession) dialLine() (net.Conn, error) {
	dialer := net.Dialer{Timeout: s.client.class.TimeLimit}
	if s.pool.SourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.pool.SourceAddress)}
	}
	return dialer.Dial("tcp", s.pool.LineAddress)
}

// openLine sends the request. The session's time limit starts here.
func (s *clientSession) openLine(conn net.Conn) {
	returning := ""
	if s.record.Returning {
		returning = ",again=1"
	}
	class := s.client.class
	s.update(func() { s.record.At = time.Now() })
	conn.SetDeadline(s.record.At.Add(class.TimeLimit + lateAnswerGrace))
	fmt.Fprintf(conn, "OPEN %s %s c=%s,d=%d,g=%s%s\r\n", s.record.Name, s.client.flow, class.Name, class.TimeLimit.Milliseconds(), s.client.group, returning)
}

// lineAnswer records the answer in a line.
func (s *clientSession) lineAnswer(line string) string {
	words := strings.Fields(line)
	switch words[0] {
	case "UP":
		return s.answered(answerUp, 0)
	case "BUSY":
		var wait int // milliseconds
		if len(words) > 1 {
			wait, _ = strconv.Atoi(words[1])
		}
		return s.answered(answerUnavailable, time.Duration(wait)*time.Millisecond)
	}
	return s.answered(answerFailed, 0)
}

// countExtra records whether any data follows a final answer.
func (s *clientSession) countExtra(conn net.Conn, reader io.Reader) {
	conn.SetDeadline(time.Now().Add(time.Second))
	if n, _ := io.Copy(io.Discard, reader); n > 0 {
		s.update(func() { s.record.ExtraAnswers++ })
	}
}

// readLines sends received lines to a channel, and closes it when the connection ends. The
// caller closes the connection and drains the channel.
func readLines(reader *bufio.Reader, lines chan<- string) {
	defer close(lines)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				lines <- lineBroken
			}
			return
		}
		lines <- line
	}
}
