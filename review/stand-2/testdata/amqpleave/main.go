// Command amqpleave plays the case "an AMQP client sends its messages, closes its connection and leaves".
package main

import (
	"fmt"
	"time"

	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/stand-2/testdata/peer10"
	"lockroad/review/stand-2/testdata/rig"
)

const (
	clients  = 30
	messages = 60 // on one link, under the credit that the relay grants
)

func main() { rig.Main(run) }

// send sends all messages of a client on one link, each settled, and closes the connection. wait is how long it stays
// after the last message. The answer to its close shows that the relay has read all messages, which came before it.
func send(door, name string, wait time.Duration) error {
	conn, err := peer10.Dial(door, "editor-"+name)
	if err != nil {
		return err
	}
	defer conn.Close()
	credit, err := conn.Attach(name, "page-render", 4800*time.Millisecond)
	if err != nil {
		return err
	}
	if credit < messages {
		return fmt.Errorf("credit of %d only", credit)
	}
	for i := range messages {
		if err := conn.Transfer(uint32(i), fmt.Sprintf("%s %d", name, i)); err != nil {
			return err
		}
	}
	time.Sleep(wait)
	if err := conn.Send(framing.Performative{Code: framing.CodeClose}, nil); err != nil {
		return err
	}
	_, err = conn.Await(framing.CodeClose)
	return err
}

func run(c *rig.Case) bool {
	server := peer10.NewServer(c, "s-1")
	list := rig.List{Revision: 41, Complete: true, Members: []rig.Member{server.Member()}}
	agent := c.NewAgent("agent", list)
	listen, door := c.FreeAddress(), c.FreeAddress()
	config := c.WriteFile("config.json", rig.Config("n3", listen, agent.Address, list))
	operator := c.WriteFile("operator.toml", fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = 0\n", door))
	c.StartRelay("relay", "", "PROXY_CONFIG="+config, "LOCKROAD_OPERATOR="+operator)
	c.AwaitPong(listen)
	wait := time.Second
	if c.Trouble {
		wait = 0 // it leaves as soon as it has sent what it had to send
	}
	var finished []string
	for i := range clients {
		name := fmt.Sprintf("link-%d", i)
		if err := send(door, name, wait); err != nil {
			c.Log("client %s: %v", name, err)
			continue
		}
		c.Log("client %s: sent %d messages and a close, and got the answer to the close", name, messages)
		finished = append(finished, name)
	}
	if len(finished) < clients/2 {
		c.Fail("only %d clients could send", len(finished))
	}
	time.Sleep(3 * time.Second)
	lost, twice, hurt := 0, 0, 0
	for _, name := range finished {
		missing := 0
		for i := range messages {
			switch server.Delivered(fmt.Sprintf("%s %d", name, i)) {
			case 0:
				missing++
			case 1:
			default:
				twice++
			}
		}
		if missing > 0 {
			hurt++
			c.Log("BROKEN: %d of %d messages of %s never reached the server", missing, messages, name)
		}
		lost += missing
	}
	c.Say("%d clients sent %d messages each; lost: %d messages of %d clients; delivered twice: %d", len(finished), messages, lost, hurt, twice)
	return lost == 0 && twice == 0
}
