// Command longerorder plays the case "an order to drain is replaced by a longer one while a new version takes over".
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockroad/review/stand-2/testdata/rig"
)

const (
	grace = 550 * time.Millisecond
	short = 12 * time.Second // the first order; the second is for an hour
)

func main() { rig.Main(run) }

func run(c *rig.Case) bool {
	var servers []*rig.Server
	list := rig.List{Revision: 41, Complete: true}
	for i := range 3 {
		s := c.NewServer(fmt.Sprintf("s-%d", i+1))
		servers = append(servers, s)
		list.Members = append(list.Members, s.Ready())
	}
	agent := c.NewAgent("agent", list)
	listen, socket := c.FreeAddress(), c.Dir+"/console.sock"
	config := c.WriteFile("config.json", rig.Config("n3", listen, agent.Address, list))
	store := c.Dir + "/kept"
	c.MakeDir(store)
	operator := c.WriteFile("operator.toml", fmt.Sprintf("[console]\nsocket = %q\n[store]\ndir = %q\n", socket, store))
	start := func(name string) *rig.Process {
		admin := c.FreeAddress()
		p := c.StartRelay(name, "", "PROXY_CONFIG="+config, "PROXY_ADMIN_ADDR="+admin, "LOCKROAD_OPERATOR="+operator)
		p.Admin = admin
		p.AwaitReady()
		return p
	}
	old := start("old")
	order := func(length string) time.Time {
		out := c.Console(socket, "drain", "s-1", "for", length, "because", "new", "strings")
		if !strings.Contains(out, "gets no new transactions") || !strings.Contains(out, "outlasts a restart") {
			c.Fail("the order was not accepted: %s", out)
		}
		return time.Now()
	}
	ordered := order(short.String())

	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { // ten a second
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			clients.Go(func() { c.RunClient(listen, "page-render", 4800*time.Millisecond, time.Second) })
		}
	})
	time.Sleep(time.Second)
	current := old
	if c.Trouble {
		current = start("new")
	}
	time.Sleep(500 * time.Millisecond)
	order("1h") // at the old process, which holds the console until it ends
	c.Say("the longer order was confirmed %.1f s after the first", time.Since(ordered).Seconds())
	time.Sleep(2 * time.Second)
	if c.Trouble {
		old.Signal(syscall.SIGTERM)
		<-old.Exited
	}
	time.Sleep(time.Until(ordered.Add(short - 2*time.Second)))
	c.Console(socket, "orders")
	time.Sleep(time.Until(ordered.Add(short + 8*time.Second)))
	c.Console(socket, "orders")
	current.Signal(syscall.SIGCONT)
	close(stop)
	clients.Wait()
	late := servers[0].Attempts(ordered.Add(grace))
	others := len(servers[1].Attempts(ordered)) + len(servers[2].Attempts(ordered))
	for _, a := range late {
		c.Log("BROKEN: s-1 got %s %.1f s after the first order, which was replaced by one for an hour", a.ID, a.At.Sub(ordered).Seconds())
	}
	c.Say("new requests at s-1 under the order: %d; at the other servers: %d", len(late), others)
	if others < 100 {
		c.Fail("too few requests at the other servers")
	}
	return len(late) == 0
}
