// Command movedlink plays the case "an AMQP client that an upgrade has moved attaches its link again".
package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/stand-2/testdata/peer10"
	"lockroad/review/stand-2/testdata/rig"
)

func main() { rig.Main(run) }

func run(c *rig.Case) bool {
	server := peer10.NewServer(c, "s-1")
	list := rig.List{Revision: 41, Complete: true, Members: []rig.Member{server.Member()}}
	agent := c.NewAgent("agent", list)
	listen, door := c.FreeAddress(), c.FreeAddress()
	config := c.WriteFile("config.json", rig.Config("n3", listen, agent.Address, list))
	operator := c.WriteFile("operator.toml", fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = 0\n", door))
	start := func(name string) *rig.Process {
		admin := c.FreeAddress()
		p := c.StartRelay(name, "", "PROXY_CONFIG="+config, "PROXY_ADMIN_ADDR="+admin, "LOCKROAD_OPERATOR="+operator)
		p.Admin = admin
		p.AwaitReady()
		return p
	}
	old := start("old")
	const n = 8
	var conns []*peer10.Conn
	for i := range n {
		conn, err := peer10.Dial(door, fmt.Sprintf("editor-%d", i))
		c.Need(err)
		_, err = conn.Attach("score", "page-render", 4800*time.Millisecond)
		c.Need(err)
		conns = append(conns, conn)
	}
	c.Log("%d links are up", n)
	if c.Trouble {
		start("new")
	}
	time.Sleep(time.Second)
	if c.Trouble {
		old.Signal(syscall.SIGTERM)
	}
	results := make(chan string, n)
	for i, conn := range conns {
		go func() {
			if !c.Trouble { // leaves and comes again
				conn.Send(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
			}
			detach, err := conn.Await(framing.CodeDetach)
			if err != nil {
				results <- fmt.Sprintf("editor-%d: %v", i, err)
				return
			}
			condition, _ := detach.Condition(framing.DetachError)
			if c.Trouble {
				conn.Send(framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
			}
			conn.Send(framing.Performative{Code: framing.CodeClose}, nil)
			conn.Await(framing.CodeClose)
			conn.Close()
			c.Log("editor-%d: detached with %q, closed", i, condition)
			time.Sleep(100 * time.Millisecond) // clients come again within 57 to 520 ms
			for range 12 {
				again, err := peer10.Dial(door, fmt.Sprintf("editor-%d", i))
				if err == nil {
					_, err = again.Attach("score", "page-render", 4800*time.Millisecond)
				}
				if err == nil {
					c.Log("editor-%d: up again", i)
					results <- "up"
					return
				}
				c.Log("editor-%d: %v", i, err)
				results <- "not up: " + err.Error()
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	up, wrong := 0, 0
	timeout := time.After(15 * time.Second)
	for up < n {
		select {
		case result := <-results:
			if result == "up" {
				up++
			} else if strings.Contains(result, "not-allowed") {
				wrong++
			}
		case <-timeout:
			c.Fail("only %d links came up again", up)
		}
	}
	c.Say("%d links up again; answers that a link of this name is open, though none was: %d", up, wrong)
	return wrong == 0
}
