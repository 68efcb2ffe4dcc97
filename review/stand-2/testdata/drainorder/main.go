// Command drainorder plays the case "an order to drain, given while a new version takes over".
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockroad/review/stand-2/testdata/rig"
)

// grace is DrainGraceUs of the settings, and the 50 ms by which every limit is longer on sockets.
const grace = 550 * time.Millisecond

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

	var clients sync.WaitGroup
	stop := make(chan struct{})
	answers := make(map[string]int)
	var mu sync.Mutex
	clients.Go(func() { // ten a second
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			clients.Go(func() {
				result := c.RunClient(listen, "page-render", 4800*time.Millisecond, time.Duration(500+i%5*300)*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				answers[result.Answer+" "+result.End]++
			})
		}
	})
	began := time.Now()
	time.Sleep(3 * time.Second)
	if len(servers[0].Attempts(began)) == 0 {
		c.Fail("no client was placed on s-1 before the order")
	}

	if c.Trouble {
		start("new") // the new version says yes; SIGTERM reaches the old one within 6 s
	}
	time.Sleep(500 * time.Millisecond)
	out := c.Console(socket, "drain", "s-1", "for", "1h", "because", "new", "strings")
	if !strings.Contains(out, "gets no new transactions") || !strings.Contains(out, "outlasts a restart") {
		c.Fail("the order was not accepted: %s", out)
	}
	ordered := time.Now()
	c.Say("the order to drain s-1 was confirmed")
	time.Sleep(4 * time.Second)
	terminated := time.Now()
	if c.Trouble {
		old.Signal(syscall.SIGTERM)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()

	late := servers[0].Attempts(ordered.Add(grace))
	before, others := 0, 0
	for _, a := range late {
		c.Log("BROKEN: s-1 got %s %d ms after the order", a.ID, a.At.Sub(ordered).Milliseconds())
		if a.At.Before(terminated) {
			before++
		}
	}
	for _, s := range servers[1:] {
		others += len(s.Attempts(ordered.Add(grace)))
	}
	mu.Lock()
	c.Say("clients by answer and end: %v", answers)
	mu.Unlock()
	c.Say("new requests at s-1 later than %v after the order: %d (%d of them before SIGTERM to the old process); at the other servers: %d", grace, len(late), before, others)
	if others < 30 {
		c.Fail("too few requests at the other servers")
	}
	return len(late) == 0
}
