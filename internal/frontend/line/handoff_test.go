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

// successor is the next process's frontend for what an environment hands off: the same sockets
// by descriptors of its own, as a Unix socket would bring them.
func (env *environment) successor(observers ...proxy.Observer) (*environment, proxy.HandoffFunc) {
	next := newEnvironment(env.t, 8, observers...)
	return next, func(what any, sockets ...syscall.Conn) error {
		var copies []net.Conn
		for _, conn := range sockets {
			raw, err := conn.SyscallConn()
			if err != nil {
				return err
			}
			raw.Control(func(fd uintptr) {
				duplicate, _ := unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
				f := os.NewFile(uintptr(duplicate), "copy")
				defer func() { _ = f.Close() }()
				conn, err := net.FileConn(f)
				if err != nil {
					env.t.Error(err)
				}
				copies = append(copies, conn)
			})
		}
		encoded, err := json.Marshal(what)
		if err != nil {
			return err
		}
		var established proxy.EstablishedRequest
		if err := json.Unmarshal(encoded, &established); err != nil {
			return err
		}
		carry, err := next.frontend.Adopt(context.Background(), &established, copies)
		if err != nil {
			return err
		}
		go carry()
		return nil
	}
}

// A request is handed off with the lines in both directions cut at every byte: no byte is
// lost, doubled or delayed, and the next process migrates it between two lines.
func TestHandoffInsideALineLosesNoByte(t *testing.T) {
	const said, echo = "N 7 word\r\n", "M 1 2 word\r\n"
	for cut := range len(said) {
		env := newEnvironment(t, 8)
		client, endpoint := env.establish()
		client.send(said[:cut])
		endpoint.expect(said[:cut])
		endpoint.send(echo[:cut])
		client.expect(echo[:cut])
		next, handOff := env.successor()
		env.proxy.HandOffAll(handOff, time.Millisecond)
		testutil.Until(t, "the request is not handed off", func() bool { return next.proxy.Requests.CountByStage()[2] == 1 && env.proxy.Requests.Len() == 0 })
		client.send(said[cut:] + said)
		endpoint.expect(said[cut:] + said)
		endpoint.send(echo[cut:] + echo + "half")
		client.expect(echo[cut:] + echo + "half")
		next.proxy.MigrateAll(time.Millisecond)
		endpoint.send(" a line\r\n")
		client.expect(" a line\r\nMOVE\r\n")
		client.expectEnd(false)
	}
}

// requestRecorder is an observer that sends on each request that begins.
type requestRecorder chan proxy.Request

func (a requestRecorder) RequestStarted(_ uint64, ask proxy.Request) proxy.RequestObserver {
	a <- ask
	return silentObserver{}
}

// silentObserver is a request observer that does nothing.
type silentObserver struct{}

func (silentObserver) Decided(*balancer.Decision) {}
func (silentObserver) AttemptStarted(balancer.EndpointID) func(balancer.AttemptStatus) {
	return func(balancer.AttemptStatus) {}
}
func (silentObserver) Established()       {}
func (silentObserver) Ended(proxy.Result) {}

// A request keeps its tenant: the next process's records, logs and spans name the same one.
func TestHandoffKeepsTenantAndClass(t *testing.T) {
	env := newEnvironment(t, 8)
	client := env.client()
	client.send("OPEN 9b1f03aa5c7e2d41 2 c=page,t=cedar,d=4000\r\n")
	endpoint := env.peer(env.endpoint.Accept())
	endpoint.send("UP x\r\n")
	client.expect("UP x\r\n")
	seen := make(requestRecorder, 1)
	next, handOff := env.successor(seen)
	env.proxy.HandOffAll(handOff, time.Millisecond)
	select {
	case ask := <-seen:
		if ask.Tenant != "cedar" || ask.Class != "page" {
			t.Errorf("it goes on with tenant %q and class %q", ask.Tenant, ask.Class)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the request is not handed off")
	}
	client.Close()
	endpoint.Close()
	testutil.Until(t, "the request has not ended", func() bool { return next.proxy.Requests.Len() == 0 })
}

// Ends are relayed after a handoff as before it, and so is data that comes in one piece with them.
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

// A request that can't be handed off is migrated: no process takes it, or its end is under way.
func TestUnacceptedHandoffMigratesTheClient(t *testing.T) {
	env := newEnvironment(t, 8)
	client, _ := env.establish()
	env.proxy.HandOffAll(func(any, ...syscall.Conn) error { return errors.New("no") }, time.Millisecond)
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
		t.Error("a client that had left was handed off")
	}
}

// A client that has ended its half as its relay shuts down gets its endpoint's last line, and
// is not migrated.
func TestHalfClosedClientIsNotMigrated(t *testing.T) {
	env := newEnvironment(t, 8)
	client, endpoint := env.establish()
	client.CloseWrite()
	endpoint.expectEnd(false)
	other := env.client() // its migration shows that the relay shuts down
	other.send("OPEN 2 2 c=page,d=4000\r\n")
	otherEndpoint := env.peer(env.endpoint.Accept())
	otherEndpoint.send("UP 1\r\n")
	other.expect("UP 1\r\n")
	env.proxy.HandOffAll(func(any, ...syscall.Conn) error { return errors.New("no") }, time.Millisecond)
	other.expect("MOVE\r\n")
	endpoint.send("x\r\nBYE\r\n")
	endpoint.Close()
	client.expect("x\r\nBYE\r\n")
	client.expectEnd(false)
}

// Openings and answers may come in pieces of any size.
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
		for _, char := range []byte("UP 1\r\n") { // and so do answers
			endpoint.send(string(char))
		}
		client.expect("UP 1\r\n")
		client.Close()
		endpoint.expectEnd(false)
		endpoint.Close()
		testutil.Until(t, "the request has not ended", func() bool { return env.proxy.Requests.Len() == 0 })
	}
}
