package line

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lockroad/balancer"
	"lockroad/internal/proxy"
	"lockroad/internal/testutil"
)

// successor returns an environment that stands for the next process, and a function that hands off
// a request to it, with duplicates of the sockets' descriptors, as a Unix socket passes them.
func (env *environment) successor(observers ...proxy.Observer) (*environment, proxy.HandoffFunc) {
	next := newEnvironment(env.t, 8, observers...)
	return next, func(state any, sockets ...syscall.Conn) error {
		var copies []net.Conn
		for _, conn := range sockets {
			raw, err := conn.SyscallConn()
			if err != nil {
				return err
			}
			raw.Control(func(fd uintptr) {
				duplicate, _ := unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
				file := os.NewFile(uintptr(duplicate), "copy")
				defer func() { _ = file.Close() }()
				conn, err := net.FileConn(file)
				if err != nil {
					env.t.Error(err)
				}
				copies = append(copies, conn)
			})
		}
		encoded, err := json.Marshal(state)
		if err != nil {
			return err
		}
		var established proxy.EstablishedRequest
		if err := json.Unmarshal(encoded, &established); err != nil {
			return err
		}
		serve, err := next.frontend.Adopt(context.Background(), &established, copies)
		if err != nil {
			return err
		}
		go serve()
		return nil
	}
}

// A handoff between any two bytes of the lines in both directions must not lose, repeat or delay a
// byte, and the next process must write MOVE between two lines.
func TestHandoffWithinLineLosesNoData(t *testing.T) {
	const sent, answer = "N 7 word\r\n", "M 1 2 word\r\n"
	for cut := range len(sent) {
		env := newEnvironment(t, 8)
		client, endpoint := env.establish()
		client.send(sent[:cut])
		endpoint.expect(sent[:cut])
		endpoint.send(answer[:cut])
		client.expect(answer[:cut])
		next, handOff := env.successor()
		env.proxy.HandOffAll(handOff, time.Millisecond)
		testutil.Until(t, "the request is not handed off", func() bool { return next.proxy.Requests.CountByStage()[2] == 1 && env.proxy.Requests.Len() == 0 })
		client.send(sent[cut:] + sent)
		endpoint.expect(sent[cut:] + sent)
		endpoint.send(answer[cut:] + answer + "half")
		client.expect(answer[cut:] + answer + "half")
		next.proxy.MigrateAll(time.Millisecond)
		endpoint.send(" a line\r\n")
		client.expect(" a line\r\nMOVE\r\n")
		client.expectEnd(false)
	}
}

// requestRecorder is an observer that sends each started request to the channel.
type requestRecorder chan proxy.Request

func (r requestRecorder) RequestStarted(_ uint64, request proxy.Request) proxy.RequestObserver {
	r <- request
	return nopObserver{}
}

// nopObserver is a request observer that does nothing.
type nopObserver struct{}

func (nopObserver) Decided(*balancer.Decision) {}
func (nopObserver) AttemptStarted(balancer.EndpointID) func(balancer.AttemptStatus) {
	return func(balancer.AttemptStatus) {}
}
func (nopObserver) Established()       {}
func (nopObserver) Ended(proxy.Result) {}

// A handed-off request must keep its tenant and class, which the next process reports in its
// records, logs and spans.
func TestHandoffKeepsTenantAndClass(t *testing.T) {
	env := newEnvironment(t, 8)
	client := env.client()
	client.send("OPEN 9b1f03aa5c7e2d41 2 c=page,t=cedar,d=4000\r\n")
	endpoint := env.peer(env.endpoint.Accept())
	endpoint.send("UP x\r\n")
	client.expect("UP x\r\n")
	started := make(requestRecorder, 1)
	next, handOff := env.successor(started)
	env.proxy.HandOffAll(handOff, time.Millisecond)
	select {
	case request := <-started:
		if request.Tenant != "cedar" || request.Class != "page" {
			t.Errorf("handed off with tenant %q and class %q, want cedar and page", request.Tenant, request.Class)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the request is not handed off")
	}
	client.Close()
	endpoint.Close()
	testutil.Until(t, "the request has not ended", func() bool { return next.proxy.Requests.Len() == 0 })
}

// After a handoff too, each side receives the other's last data before its close.
func TestHalfCloseIsRelayedAfterHandoff(t *testing.T) {
	env := newEnvironment(t, 8)
	client, endpoint := env.establish()
	next, handOff := env.successor()
	env.proxy.HandOffAll(handOff, time.Millisecond)
	testutil.Until(t, "the request is not handed off", func() bool { return next.proxy.Requests.CountByStage()[2] == 1 })
	client.send("a\r\nb\r\n")
	client.CloseWrite()
	endpoint.expect("a\r\nb\r\n")
	endpoint.expectEnd(false)
	endpoint.send("BYE\r\n")
	endpoint.Close()
	client.expect("BYE\r\n")
	client.expectEnd(false)
	testutil.Until(t, "the request has not ended", func() bool { return next.proxy.Requests.Len() == 0 })
}

// A client whose request can't be handed off must be migrated: the handoff fails, or the client
// has closed its half.
func TestFailedHandoffMigratesClient(t *testing.T) {
	env := newEnvironment(t, 8)
	client, _ := env.establish()
	env.proxy.HandOffAll(func(any, ...syscall.Conn) error { return errors.New("handoff failed") }, time.Millisecond)
	client.expect("MOVE\r\n")
	client.expectEnd(false)

	env = newEnvironment(t, 8)
	client, endpoint := env.establish()
	client.CloseWrite()
	endpoint.expectEnd(false)
	offered := 0
	env.proxy.HandOffAll(func(any, ...syscall.Conn) error { offered++; return nil }, time.Millisecond)
	client.expect("MOVE\r\n")
	client.expectEnd(false)
	if offered != 0 {
		t.Error("a request whose client has closed its half was offered to the next process")
	}
}

// A client that has closed its half before the shutdown must receive its endpoint's last line
// instead of MOVE.
func TestHalfClosedClientIsNotMigrated(t *testing.T) {
	env := newEnvironment(t, 8)
	client, endpoint := env.establish()
	client.CloseWrite()
	endpoint.expectEnd(false)
	other := env.client() // its MOVE shows that the shutdown has begun
	other.send("OPEN 2 2 c=page,d=4000\r\n")
	otherEndpoint := env.peer(env.endpoint.Accept())
	otherEndpoint.send("UP 1\r\n")
	other.expect("UP 1\r\n")
	env.proxy.HandOffAll(func(any, ...syscall.Conn) error { return errors.New("handoff failed") }, time.Millisecond)
	other.expect("MOVE\r\n")
	endpoint.send("x\r\nBYE\r\n")
	endpoint.Close()
	client.expect("x\r\nBYE\r\n")
	client.expectEnd(false)
}

// An opening line and its answer may arrive in pieces of any size.
func TestOpeningMayArriveInPieces(t *testing.T) {
	env := newEnvironment(t, 64)
	const text = "PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=4000\r\n"
	for cut := 1; cut < len(text); cut++ {
		client := env.client()
		_ = client.SetNoDelay(true)
		client.send(text[:cut])
		if cut >= len("PING\r\n") {
			client.expect("PONG\r\n") // the first piece has been read
		}
		client.send(text[cut:])
		if cut < len("PING\r\n") {
			client.expect("PONG\r\n")
		}
		endpoint := env.peer(env.endpoint.Accept())
		if _, err := endpoint.reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		for _, char := range []byte("UP 1\r\n") {
			endpoint.send(string(char))
		}
		client.expect("UP 1\r\n")
		client.Close()
		endpoint.expectEnd(false)
		endpoint.Close()
		testutil.Until(t, "the request has not ended", func() bool { return env.proxy.Requests.Len() == 0 })
	}
}
