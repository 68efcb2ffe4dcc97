// Command upgradedoor plays the case "an upgrade of a relay whose listen address is a name".
package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"lockroad/review/stand-2/testdata/rig"
)

const free = 2 // connections that an upgrade may leave without an answer

func main() { rig.Main(run) }

func run(c *rig.Case) bool {
	_, port, err := net.SplitHostPort(c.FreeAddress())
	c.Need(err)
	listen := "localhost:" + port
	text := fmt.Sprintf("name = \"music-room\"\nlisten = %q\n", listen)
	for i := range 3 {
		s := c.NewServer(fmt.Sprintf("s-%d", i+1))
		text += fmt.Sprintf("[[server]]\nname = %q\naddress = %q\n", s.Name, s.Address)
	}
	file := c.WriteFile("site.toml", text+"[[class]]\nname = \"page\"\n")
	start := func(name string) *rig.Process {
		admin := c.FreeAddress()
		p := c.StartRelay(name, " run --site "+file, "PROXY_ADMIN_ADDR="+admin)
		p.Admin = admin
		p.AwaitReady()
		return p
	}
	old := start("old")

	var clients sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	answers := make(map[string]int)
	clients.Go(func() { // ten a second
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			clients.Go(func() {
				result := c.RunClient(listen, "page", 4800*time.Millisecond, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				answers[result.Answer]++
				if result.Answer == "none" || result.Answer == "refused" {
					c.Log("BROKEN: client %s got no answer", result.ID)
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	if c.Trouble {
		start("new")
		time.Sleep(4 * time.Second) // SIGTERM comes within 6 s of the yes
		old.Signal(syscall.SIGTERM)
	} else {
		time.Sleep(4 * time.Second)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost := answers["none"] + answers["refused"]
	c.Say("answers: %v; without an answer: %d", answers, lost)
	if answers["up"] < 40 {
		c.Fail("too few clients were served")
	}
	return lost <= free
}
