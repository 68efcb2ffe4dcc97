package amqp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

func serveLineEndpoint(t testing.TB, conn *net.TCPConn, s *scenario) {
	relay := bufio.NewReader(conn)
	text, err := relay.ReadString('\n')
	if err != nil {
		return
	}
	if !strings.HasPrefix(text, "OPEN ") {
		t.Errorf("a server was told %q", text)
	}
	_, told, _ := strings.Cut(text, ",d=")
	told, _, _ = strings.Cut(told, ",")
	ms, _ := strconv.Atoi(told)
	s.recordTimeout(time.Duration(ms) * time.Millisecond)
	act := s.next(t, conn.LocalAddr())
	up := func(more string) { s.answered(); io.WriteString(conn, "UP r1\r\n"+more) }
	switch act {
	case actionAccept:
		up("")
		_, _ = io.Copy(conn, relay)
	case actionRejectFull:
		s.answered()
		io.WriteString(conn, "BUSY\r\n")
	case actionFail:
		s.answered()
		io.WriteString(conn, "ERR\r\n")
	case actionHang, actionNoCredit:
		_, _ = io.Copy(io.Discard, relay)
		s.answered()
	case actionReset:
		s.answered()
		conn.SetLinger(0)
	case actionAcceptAndDetach:
		up("BYE\r\n")
	case actionAcceptAndRedirect:
		up("MOVE\r\n")
	case actionAcceptAndReset:
		up("")
		conn.SetLinger(0)
	}
}

func openLine(ctx context.Context, address, name string, timeout time.Duration) (string, bool, func() string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "lost", false, nil
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	fmt.Fprintf(conn, "OPEN %s 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59\r\n", name, timeout.Milliseconds())
	relay := bufio.NewReader(conn)
	text, err := relay.ReadString('\n')
	switch word := strings.Fields(text); {
	case err != nil:
		return "lost", false, nil
	case word[0] == "BUSY":
		return "unavailable", len(word) > 1, nil
	case word[0] != "UP":
		return "failed", false, nil
	}
	return "up", false, func() string {
		for {
			text, err := relay.ReadString('\n')
			switch {
			case text == "BYE\r\n":
				return "ended"
			case text == "MOVE\r\n":
				return "moved"
			case err != nil:
				return "broken"
			}
		}
	}
}

func openAndSendLine(t *testing.T, address string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(serverWait))
	io.WriteString(conn, strings.Repeat("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=1200\r\n", 200))
	text, err := bufio.NewReader(conn).ReadString('\n')
	if text != "ERR\r\n" {
		return fmt.Sprintf("%q, %v", text, err)
	}
	return "failed"
}
