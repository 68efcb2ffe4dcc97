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

// heir is another process's front for what a site hands over: the same sockets by
// descriptors of its own, as a Unix socket would bring them.
func (s *site) heir(observers ...proxy.Observer) (*site, proxy.HandoffFunc) {
	to := newSite(s.t, 8, observers...)
	return to, func(what any, sockets ...syscall.Conn) error {
		var copies []net.Conn
		for _, c := range sockets {
			raw, err := c.SyscallConn()
			if err != nil {
				return err
			}
			raw.Control(func(fd uintptr) {
				n, _ := unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
				f := os.NewFile(uintptr(n), "copy")
				defer func() { _ = f.Close() }()
				c, err := net.FileConn(f)
				if err != nil {
					s.t.Error(err)
				}
				copies = append(copies, c)
			})
		}
		text, err := json.Marshal(what)
		if err != nil {
			return err
		}
		var st proxy.EstablishedRequest
		if err := json.Unmarshal(text, &st); err != nil {
			return err
		}
		carry, err := to.front.Adopt(context.Background(), &st, copies)
		if err != nil {
			return err
		}
		go carry()
		return nil
	}
}

// A transaction is handed over with the lines on both sides cut at every byte: not a byte
// is lost, doubled or held back, and the new process moves it between two lines.
func TestTransactionIsHandedOverWithinLines(t *testing.T) {
	const said, echo = "N 7 word\r\n", "M 1 2 word\r\n"
	for cut := range len(said) {
		s := newSite(t, 8)
		client, server := s.open()
		client.say(said[:cut])
		server.want(said[:cut])
		server.say(echo[:cut])
		client.want(echo[:cut])
		to, give := s.heir()
		s.core.HandOffAll(give, time.Millisecond)
		testutil.Until(t, "it is not handed over", func() bool { return to.core.Requests.CountByStage()[2] == 1 && s.core.Requests.Len() == 0 })
		client.say(said[cut:] + said)
		server.want(said[cut:] + said)
		server.say(echo[cut:] + echo + "half")
		client.want(echo[cut:] + echo + "half")
		to.core.MigrateAll(time.Millisecond)
		server.say(" a line\r\n")
		client.want(" a line\r\nMOVE\r\n")
		client.wantEnd(false)
	}
}

// asks tells what each transaction that begins has asked for.
type asks chan proxy.Request

func (a asks) Began(_ uint64, ask proxy.Request) proxy.RequestObserver { a <- ask; return mute{} }

// mute is a trace that nobody reads.
type mute struct{}

func (mute) Decided(*balancer.Decision) {}
func (mute) AttemptStarted(balancer.EndpointID) func(balancer.AttemptStatus) {
	return func(balancer.AttemptStatus) {}
}
func (mute) Established()       {}
func (mute) Ended(proxy.Result) {}

// A transaction stays its tenant's: the new process's records, logs and spans tell it as the old one's did.
func TestATenantIsHandedOver(t *testing.T) {
	s := newSite(t, 8)
	client := s.client()
	client.say("OPEN 9b1f03aa5c7e2d41 2 c=page,t=cedar,d=4000\r\n")
	server := s.peer(s.server.Accept())
	server.say("UP x\r\n")
	client.want("UP x\r\n")
	seen := make(asks, 1)
	to, give := s.heir(seen)
	s.core.HandOffAll(give, time.Millisecond)
	select {
	case ask := <-seen:
		if ask.Tenant != "cedar" || ask.Class != "page" {
			t.Errorf("it goes on as %q's, of class %q", ask.Tenant, ask.Class)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it is not handed over")
	}
	client.Close()
	server.Close()
	testutil.Until(t, "it has not ended", func() bool { return to.core.Requests.Len() == 0 })
}

// Ends are passed on alike after it, and so is what comes in one piece with them.
func TestEndsAfterHandingOver(t *testing.T) {
	s := newSite(t, 8)
	client, server := s.open()
	to, give := s.heir()
	s.core.HandOffAll(give, time.Millisecond)
	testutil.Until(t, "it is not handed over", func() bool { return to.core.Requests.CountByStage()[2] == 1 })
	client.say("a\r\nb\r\n")
	client.CloseWrite()
	server.want("a\r\nb\r\n")
	server.wantEnd(false)
	server.say("BYE\r\n")
	server.Close()
	client.want("BYE\r\n")
	client.wantEnd(false)
	testutil.Until(t, "it is not over", func() bool { return to.core.Requests.Len() == 0 })
}

// Who can't be handed over is moved, as ever: nobody takes it, or its end is under way.
func TestTransactionThatIsNotTakenIsMoved(t *testing.T) {
	s := newSite(t, 8)
	client, _ := s.open()
	s.core.HandOffAll(func(any, ...syscall.Conn) error { return errors.New("no") }, time.Millisecond)
	client.want("MOVE\r\n")
	client.wantEnd(false)

	s = newSite(t, 8)
	client, server := s.open()
	client.CloseWrite()
	server.wantEnd(false)
	given := 0
	s.core.HandOffAll(func(any, ...syscall.Conn) error { given++; return nil }, time.Millisecond)
	client.want("MOVE\r\n")
	client.wantEnd(false)
	if given != 0 {
		t.Error("a client that had left was handed over")
	}
}

// A client that has ended its half as its relay leaves gets its server's last line, and is
// not moved.
func TestClientThatLeavesIsNotMoved(t *testing.T) {
	s := newSite(t, 8)
	client, server := s.open()
	client.CloseWrite()
	server.wantEnd(false)
	other := s.client() // by whose move the relay is seen to leave
	other.say("OPEN 2 2 c=page,d=4000\r\n")
	its := s.peer(s.server.Accept())
	its.say("UP 1\r\n")
	other.want("UP 1\r\n")
	s.core.HandOffAll(func(any, ...syscall.Conn) error { return errors.New("no") }, time.Millisecond)
	other.want("MOVE\r\n")
	server.say("x\r\nBYE\r\n")
	server.Close()
	client.want("x\r\nBYE\r\n")
	client.wantEnd(false)
}

// Openings come in pieces of any size.
func TestOpeningsInPieces(t *testing.T) {
	s := newSite(t, 64)
	const text = "PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page,d=4000\r\n"
	for cut := 1; cut < len(text); cut++ {
		client := s.client()
		_ = client.SetNoDelay(true)
		client.say(text[:cut])
		if cut >= len("PING\r\n") {
			client.want("PONG\r\n") // the first piece has been read
		}
		client.say(text[cut:])
		if cut < len("PING\r\n") {
			client.want("PONG\r\n")
		}
		server := s.peer(s.server.Accept())
		if _, err := server.r.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		for _, b := range []byte("UP 1\r\n") { // and so do answers
			server.say(string(b))
		}
		client.want("UP 1\r\n")
		client.Close()
		server.wantEnd(false)
		server.Close()
		testutil.Until(t, "it is not over", func() bool { return s.core.Requests.Len() == 0 })
	}
}
