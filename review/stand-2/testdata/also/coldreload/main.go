// Command coldreload plays the case "the site file is replaced while a server that has just started is cold".
package main

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockroad/review/stand-2/testdata/rig"
)

// The stand-in servers: each can set up 20 connections a second when it is warm. It starts with a fifth of that, and is
// warm 20 s after its start. More than three times what it can do, for 3 s, makes it fall.
const (
	capacity = 20.0
	startsAt = 0.2
	coldTime = 20.0
	multiple = 3.0
	window   = 3.0
	rate     = 60 // connections a second; four servers can do 80
	lifetime = 25 * time.Second
)

func main() { rig.Main(run) }

func site(listen, socket string, servers []*rig.Server, size float64) string {
	text := fmt.Sprintf("name = \"music-room\"\nlisten = %q\n", listen)
	for i, s := range servers {
		n := 1.0
		if i == 3 {
			n = size
		}
		text += fmt.Sprintf("[[server]]\nname = %q\naddress = %q\nsize = %.2f\n", s.Name, s.Address, n)
	}
	return text + fmt.Sprintf("[[class]]\nname = \"page\"\n[limits]\nsockets = 8192\n[console]\nsocket = %q\n", socket)
}

func run(c *rig.Case) bool {
	var servers []*rig.Server
	for i := range 4 {
		servers = append(servers, c.NewServer(fmt.Sprintf("s-%d", i+1)))
	}
	cold := servers[3]
	listen, socket := c.FreeAddress(), c.Dir+"/console.sock"
	file := c.WriteFile("site.toml", site(listen, socket, servers, 1))
	relay := c.StartRelay("relay", " run --site "+file)
	c.AwaitPong(listen)

	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / rate)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				stay := lifetime
				c.RunShort(listen, "page", 4800*time.Millisecond, stay, stop)
			})
		}
	})
	time.Sleep(25 * time.Second)
	cold.Stop()
	c.Log("s-4: process ends")
	await(c, socket, "s-4", "down")
	time.Sleep(2 * time.Second)
	cold.Restart()
	started := time.Now()
	c.Log("s-4: process starts, cold")
	await(c, socket, "s-4", "up")
	c.Log("s-4 is listed as up %.1f s after its start", time.Since(started).Seconds())
	if c.Trouble {
		c.WriteFile("site.toml", site(listen, socket, servers, 1.1)) // the operator corrects its size
		relay.Signal(syscall.SIGHUP)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()

	// The budget of any 3 s: N is what the server bears at the window's end, when it can do most.
	attempts := cold.Attempts(started)
	first := 0
	worst, worstAt, worstLimit, fallen := 0.0, 0.0, 0.0, 0
	for i, a := range attempts {
		for attempts[first].At.Before(a.At.Add(-time.Duration(window * float64(time.Second)))) {
			first++
		}
		age := a.At.Sub(started).Seconds()
		can := capacity * math.Min(1, startsAt+(1-startsAt)*age/coldTime)
		n := multiple * can * window
		limit := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			limit = n + 3*math.Sqrt(n) + 3
		}
		sent := float64(i - first + 1)
		if sent/limit > worst {
			worst, worstAt, worstLimit = sent/limit, age, limit
		}
		if sent > limit {
			if fallen == 0 {
				c.Log("BROKEN: %.0f s after its start s-4 had got %.0f requests in 3 s, it bears %.1f", age, sent, limit)
			}
			fallen++
		}
	}
	c.Say("requests at s-4 since its start: %d; at worst %.2f of what it bears in 3 s (%.0f), %.1f s after its start", len(attempts), worst, worstLimit, worstAt)
	if len(servers[0].Attempts(started)) < 50 {
		c.Fail("too few requests at the other servers")
	}
	return fallen == 0
}

// await waits until the console's health shows a server in a state.
func await(c *rig.Case, socket, name, state string) {
	for range 100 {
		for line := range strings.Lines(c.Console(socket, "health")) {
			if words := strings.Fields(line); len(words) > 1 && words[0] == name && words[1] == state {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.Fail("%s is not %s", name, state)
}
