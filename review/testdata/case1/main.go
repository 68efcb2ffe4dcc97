// Case 1: one bad client of the AMQP front ends the relay's process.
package main

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/testdata/harness"
)

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	lineEngraver := c.StartEngraver("s-00000001")
	amqpEngraver := c.StartAMQPEngraver("s-00000002")
	agent := c.StartAgent(lineEngraver.Member("ready"))
	listen, amqpListen := harness.FreeAddress(), harness.FreeAddress()
	relay := c.StartRelay(harness.RelayOptions{
		Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class("page-render", "idempotent", "all", 4800*time.Millisecond)),
		Operator: fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", amqpListen, harness.Port(amqpEngraver.Address)),
	})
	c.AwaitPong(listen)

	// Usual clients, three on lines and one on AMQP. The engraver has both protocols at one host.
	var clients []*harness.Client
	for i := range 3 {
		client := c.Open(listen, fmt.Sprintf("00000000000000a%d", i), "page-render", 4800*time.Millisecond, "")
		if !client.Up {
			c.Must("place the usual clients", fmt.Errorf("client %s is answered %q", client.ID, client.Answer))
		}
		clients = append(clients, client)
	}
	sound, err := harness.DialAMQP(amqpListen, "usual", 8192, 2048)
	c.Must("connect the usual client of AMQP", err)
	attach(c, sound, "usual", "usual-link")
	usual := make(chan error, 1)
	go func() {
		for id := uint32(0); ; id++ {
			if err := transfer(sound, id, []byte{byte(id), byte(id >> 8)}, []byte("note")); err != nil {
				usual <- err
				return
			}
			for {
				frame, err := sound.Receive()
				if err != nil {
					usual <- err
					return
				}
				if frame.Code == framing.CodeDisposition {
					break
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
	time.Sleep(time.Second)

	// The bad client attaches a link like any other, and sends a transfer whose delivery-tag has a wrong length. The
	// standard allows 32 bytes; this one fills the frame, which keeps to the relay's own max-frame-size of 8 KiB.
	bad, err := harness.DialAMQP(amqpListen, "bad", 8192, 2048)
	c.Must("connect the other client", err)
	attach(c, bad, "other", "other-link")
	tag := []byte("tag")
	if c.Trouble {
		tag = bytes.Repeat([]byte{'t'}, 8162)
	}
	payload := []byte{'n'}
	c.Logf("other", "sends a transfer with a delivery-tag of %d bytes and %d bytes of payload", len(tag), len(payload))
	c.Must("send the transfer", transfer(bad, 0, tag, payload))

	deadline := time.After(8 * time.Second)
	select {
	case <-relay.Exited:
		c.Break("the relay's process has ended, and nobody told it to")
	case <-deadline:
	}
	time.Sleep(700 * time.Millisecond)
	for _, client := range clients {
		if ended, moved := client.Ended(); ended && !moved {
			c.Break("client %s was cut off without MOVE while its engraver still answers", client.ID)
		}
	}
	select {
	case err := <-usual:
		c.Break("the usual client of AMQP was cut off without a detach while its engraver still answers: %v", err)
	default:
	}
	c.Finish()
}

// transfer sends one delivery on handle 0.
func transfer(conn *harness.AMQPConn, id uint32, tag, payload []byte) error {
	return conn.Send(framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), id, tag}}, payload)
}

// attach attaches a link that sends, and waits until it stands and has credit.
func attach(c *harness.Case, conn *harness.AMQPConn, who, name string) {
	c.Must("attach", conn.Attach(name, 0, false, "page-render", 4800*time.Millisecond))
	for {
		frame, err := conn.Receive()
		c.Must("wait for credit", err)
		c.Logf(who, "gets performative %#x", frame.Code)
		if frame.Code == framing.CodeDetach {
			c.Must("attach", fmt.Errorf("%s was detached", name))
		}
		if frame.Code == framing.CodeFlow && frame.Uint32(framing.FlowLinkCredit, 0) > 0 {
			return
		}
	}
}
