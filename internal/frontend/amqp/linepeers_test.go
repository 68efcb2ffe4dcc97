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

// serveLineEndpoint runs a fake endpoint of the line protocol that follows the scenario.
func serveLineEndpoint(t testing.TB, conn *net.TCPConn, script *scenario) {
	reader := bufio.NewReader(conn)
	text, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	if !strings.HasPrefix(text, "OPEN ") {
		t.Errorf("endpoint received %q instead of an opening line", text)
	}
	_, deadline, _ := strings.Cut(text, ",d=")
	deadline, _, _ = strings.Cut(deadline, ",")
	milliseconds, _ := strconv.Atoi(deadline)
	script.recordTimeout(time.Duration(milliseconds) * time.Millisecond)
	action := script.next(t, conn.LocalAddr())
	accept := func(more string) { script.answered(); io.WriteString(conn, "UP r1\r\n"+more) }
	switch action {
	case actionAccept:
		accept("")
		_, _ = io.Copy(conn, reader)
	case actionRejectFull:
		script.answered()
		io.WriteString(conn, "BUSY\r\n")
	case actionFail:
		script.answered()
		io.WriteString(conn, "ERR\r\n")
	case actionHang, actionNoCredit:
		_, _ = io.Copy(io.Discard, reader)
		script.answered()
	case actionReset:
		script.answered()
		conn.SetLinger(0)
	case actionAcceptAndDetach:
		accept("BYE\r\n")
	case actionAcceptAndRedirect:
		accept("MOVE\r\n")
	case actionAcceptAndReset:
		accept("")
		conn.SetLinger(0)
	}
}

// openLine implements frontendProtocol.open for the line protocol.
func openLine(ctx context.Context, address, name string, timeout time.Duration) (string, bool, func() string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "lost", false, nil
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	fmt.Fprintf(conn, "OPEN %s 7f3a9c21e0b4d655 c=page,d=%d,g=5c0f6e1a2b3d4c59\r\n", name, timeout.Milliseconds())
	reader := bufio.NewReader(conn)
	text, err := reader.ReadString('\n')
	switch words := strings.Fields(text); {
	case err != nil:
		return "lost", false, nil
	case words[0] == "BUSY":
		return "unavailable", len(words) > 1, nil
	case words[0] != "UP":
		return "failed", false, nil
	}
	return "up", false, func() string {
		for {
			text, err := reader.ReadString('\n')
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

// openAndSendLine implements frontendProtocol.openAndSend with further lines sent before the answer.
func openAndSendLine(t *testing.T, address string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(peerReadTimeout))
	io.WriteString(conn, strings.Repeat("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=1200\r\n", 200))
	text, err := bufio.NewReader(conn).ReadString('\n')
	if text != "ERR\r\n" {
		return fmt.Sprintf("%q, %v", text, err)
	}
	return "failed"
}
