package amqp

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/balancer"
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// stallAfterAttach answers the attach with a lot of credit, and then reads nothing more.
func stallAfterAttach(t testing.TB, tcp *net.TCPConn, release <-chan struct{}) {
	serveFrames(t, tcp, func(conn *connection, session *session, frame framing.Frame) bool {
		if frame.Code != framing.CodeAttach {
			answerOpenOrBegin(conn, session, frame)
			return true
		}
		conn.writeFrame(0, attachReply(frame.Performative, 0), nil)
		session.sendFlow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, uint32(0), uint32(0), uint32(5000)}})
		<-release
		return false
	})
}

// settleAll takes every delivery.
func settleAll(tcp *net.TCPConn) {
	peer, err := AcceptPeerSession(tcp, serverWait, false)
	if err != nil {
		return
	}
	defer peer.Close()
	settleSession(peer, 20, func() bool { return true })
}

// settleSession takes every delivery of a session until its end, or until an attach is not to be taken.
func settleSession(peer *PeerSession, credit uint32, attaching func() bool) {
	for n := uint32(0); ; {
		e, err := peer.Next()
		switch {
		case err != nil:
			return
		case e.Kind == PeerAttached:
			if !attaching() {
				return
			}
			peer.Attach(e, credit)
		case e.Kind == PeerDelivered:
			n++
			_ = peer.Settle(e.DeliveryID)
			peer.Credit(e.Handle, n, credit)
		case e.Kind == PeerDetached:
			peer.Detach(e.Handle, "")
		}
	}
}

// newRelayWithStalledEndpoint has a relay with two endpoints, of which one reads nothing after an attach. It
// returns the relay's address, and the groups that lead to the two.
func newRelayWithStalledEndpoint(t *testing.T) (address, stalled, sound string) {
	t.Helper()
	relay := newTestRelay(t, protocols[1], 0, nil)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	which := make(chan string, 64)
	serve := func(name string, do func(*net.TCPConn)) {
		netListener := listen(t)
		t.Cleanup(func() { netListener.Close() })
		id := relay.proxy.Endpoints.ID(name)
		relay.endpoints, relay.endpointAddresses = append(relay.endpoints, balancer.Endpoint{ID: id, State: balancer.StateReady, Weight: 1}), append(relay.endpointAddresses, netListener.Addr().String())
		go func() {
			for {
				conn, err := netListener.Accept()
				if err != nil {
					return
				}
				which <- name
				go func() { defer conn.Close(); do(conn.(*net.TCPConn)) }()
			}
		}()
	}
	serve("s-1", func(conn *net.TCPConn) { stallAfterAttach(t, conn, release) })
	serve("s-2", settleAll)
	relay.proxy.UpdateEndpoints(balancer.ListFull, relay.endpoints, relay.endpointAddresses)
	for i := 0; stalled == "" || sound == ""; i++ { // which groups are drawn to which server
		group := fmt.Sprintf("%x", 1000+i)
		ctx, leave := context.WithTimeout(context.Background(), serverWait)
		conn, err := client10.Dial(ctx, "amqp://"+relay.address, &client10.ConnOptions{SASLType: client10.SASLTypeAnonymous(), ContainerID: "probe " + group})
		if err != nil {
			t.Fatal(err)
		}
		session, err := conn.NewSession(ctx, nil)
		if err == nil {
			_, err = session.NewSender(ctx, "score", &client10.SenderOptions{Name: "probe", Properties: props(group)})
		}
		if err != nil {
			t.Fatal(err)
		}
		switch <-which {
		case "s-1":
			stalled = group
		default:
			sound = group
		}
		_ = conn.Close()
		leave()
	}
	return relay.address, stalled, sound
}

func props(group string) map[string]any {
	return map[string]any{propClass: "page", propDeadline: uint32(2000), propGroup: group}
}

// One endpoint that stops reading must not delay the other links of the same client
// connection: reads of the connection once waited for the full window of the one, and
// a delivery on the healthy link took 4.3 s.
func TestEndpointThatStopsReadingDelaysNoOtherLink(t *testing.T) {
	address, stalled, sound := newRelayWithStalledEndpoint(t)
	ctx, leave := context.WithTimeout(context.Background(), 20*time.Second)
	defer leave()
	conn, err := client10.Dial(ctx, "amqp://"+address, &client10.ConnOptions{SASLType: client10.SASLTypeAnonymous(), ContainerID: "two links"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	session, err := conn.NewSession(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	var links [2]*client10.Sender
	for i, group := range []string{stalled, sound} {
		// The one that is flooded waits for nothing, the other for each delivery's outcome.
		mode := []client10.SenderSettleMode{client10.SenderSettleModeSettled, client10.SenderSettleModeUnsettled}[i]
		if links[i], err = session.NewSender(ctx, "score", &client10.SenderOptions{Name: group, Properties: props(group), SettlementMode: mode.Ptr()}); err != nil {
			t.Fatal(err)
		}
	}
	// Far more than the relay's and the kernel's room for the stalled one.
	flood := make(chan int, 1)
	flooding, stop := context.WithCancel(ctx)
	go func() {
		n := 0
		for links[0].Send(flooding, client10.NewMessage([]byte(strings.Repeat("a page ", 1000))), nil) == nil {
			n++
		}
		flood <- n
	}()
	time.Sleep(300 * time.Millisecond) // of flooding: nothing waits for its end
	worst := time.Duration(0)
	for range 50 {
		began := time.Now()
		if err := links[1].Send(ctx, client10.NewMessage([]byte("a note")), nil); err != nil {
			t.Fatal(err)
		}
		worst = max(worst, time.Since(began))
		time.Sleep(10 * time.Millisecond) // as a person who enters notes
	}
	if worst > 500*time.Millisecond {
		t.Errorf("a delivery on the healthy link took %v", worst)
	}
	stop()
	if n := <-flood; n < maxDeliveriesAhead/2 {
		t.Errorf("only %d deliveries were taken for the stalled server", n)
	}
}
