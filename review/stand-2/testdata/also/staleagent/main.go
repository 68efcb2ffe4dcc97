// Command staleagent plays the case "a new configuration moves discovery to an agent whose list runs behind".
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"lockroad/review/stand-2/testdata/rig"
)

const (
	grace  = 550 * time.Millisecond
	behind = 9 * time.Second // by which the list runs behind, the most that the pages name
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
	first, second := c.NewAgent("agent 1", list), c.NewAgent("agent 2", list)
	listen := c.FreeAddress()
	config := c.WriteFile("config.json", rig.Config("n3", listen, first.Address, list))
	relay := c.StartRelay("relay", "", "PROXY_CONFIG="+config)
	c.AwaitPong(listen)

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
	time.Sleep(2 * time.Second)
	first.Change(43, servers[0].Draining())
	told := time.Now()
	if c.Trouble {
		time.AfterFunc(behind, func() { second.Change(43, servers[0].Draining()) })
	} else {
		second.Change(43, servers[0].Draining())
	}
	time.Sleep(time.Until(told.Add(7 * time.Second)))
	c.WriteFile("config.json", rig.Config("n3", listen, second.Address, list))
	relay.Signal(syscall.SIGHUP)
	time.Sleep(time.Until(told.Add(15 * time.Second)))
	close(stop)
	clients.Wait()
	late := servers[0].Attempts(told.Add(grace))
	others := len(servers[1].Attempts(told)) + len(servers[2].Attempts(told))
	for _, a := range late {
		c.Log("BROKEN: s-1 got %s %.1f s after the relay was told that it drains", a.ID, a.At.Sub(told).Seconds())
	}
	c.Say("new requests at s-1 later than %v after the relay was told that it drains: %d; at the other servers: %d", grace, len(late), others)
	if others < 60 {
		c.Fail("too few requests at the other servers")
	}
	return len(late) == 0
}
