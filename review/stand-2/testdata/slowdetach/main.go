// Command slowdetach plays the case "an AMQP client sends its messages to a server that runs slower, and detaches".
package main

import (
	"fmt"
	"sync"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/stand-2/testdata/peer10"
	"lockroad/review/stand-2/testdata/rig"
)

const (
	clients  = 12
	messages = 100                  // on one link, under the credit that the relay grants
	work     = 5 * time.Millisecond // of the server, for a message
	slower   = 5                    // the pages name 2.4 to 9.8 times
	window   = 10
)

func main() { rig.Main(run) }

// send sends all messages on one link, each settled, detaches the link and waits for the relay's detach.
func send(c *rig.Case, door, name string) error {
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
	if err := conn.Send(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil); err != nil {
		return err
	}
	began := time.Now()
	detach, err := conn.Await(framing.CodeDetach)
	if err != nil {
		return err
	}
	condition, _ := detach.Condition(framing.DetachError)
	c.Log("client %s: sent %d messages and a detach; the relay's detach came %.2f s later, condition %q", name, messages, time.Since(began).Seconds(), condition)
	if condition != "" {
		return fmt.Errorf("detached with %s", condition)
	}
	conn.Send(framing.Performative{Code: framing.CodeClose}, nil)
	_, err = conn.Await(framing.CodeClose)
	return err
}

func run(c *rig.Case) bool {
	each := work
	if c.Trouble {
		each = slower * work
	}
	server := peer10.NewWorkingServer(c, window, each)
	list := rig.List{Revision: 41, Complete: true, Members: []rig.Member{
		{ID: "s-1", HostPort: server.Address, Locality: "hall-a", Flavor: "std-2", Phase: "ready", Size: 1}}}
	agent := c.NewAgent("agent", list)
	listen, door := c.FreeAddress(), c.FreeAddress()
	config := c.WriteFile("config.json", rig.Config("n3", listen, agent.Address, list))
	operator := c.WriteFile("operator.toml", fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = 0\n", door))
	c.StartRelay("relay", "", "PROXY_CONFIG="+config, "LOCKROAD_OPERATOR="+operator)
	c.AwaitPong(listen)
	var mu sync.Mutex
	var finished []string
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			name := fmt.Sprintf("link-%d", i)
			if err := send(c, door, name); err != nil {
				c.Log("client %s: %v", name, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			finished = append(finished, name)
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	if len(finished) < clients/2 {
		c.Fail("only %d clients could send", len(finished))
	}
	time.Sleep(4 * time.Second) // more than the server needs for all messages of a link
	lost, hurt, twice := 0, 0, 0
	for _, name := range finished {
		missing := 0
		for i := range messages {
			switch server.Done(fmt.Sprintf("%s %d", name, i)) {
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
	c.Say("%d clients sent %d messages each and detached without an error; lost: %d messages of %d clients; done twice: %d", len(finished), messages, lost, hurt, twice)
	return lost == 0 && twice == 0
}
