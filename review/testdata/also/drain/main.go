// A relay that was killed and starts while discovery is down sends to an engraver that drains (docs/design/endings.md, Open).
// No case.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"lockroad/review/testdata/harness"
)

const (
	grace   = 500 * time.Millisecond // DrainGraceUs
	slack   = 50 * time.Millisecond  // by which every time limit is longer on sockets
	heldUp  = 150 * time.Millisecond // by which the judge's own clocks may be late
	outage  = 8 * time.Second        // as on herd+mass
	classOf = "page-render"
)

func main() {
	c := harness.NewCase(os.Args[1], os.Args[2])
	first, second := c.StartEngraver("s-00000001"), c.StartEngraver("s-00000002")
	agent := c.StartAgent(first.Member("ready"), second.Member("ready"))
	options := harness.RelayOptions{
		Name: "n1", Listen: harness.FreeAddress(), Discovery: agent.Address, Known: agent.Known(),
		Settings: harness.Settings(1, harness.Class(classOf, "idempotent", "all", 4800*time.Millisecond)),
	}
	relay := c.StartRelay(options)
	c.AwaitPong(options.Listen)
	before := c.Open(options.Listen, "00000000000000b0", classOf, 4800*time.Millisecond, "")
	if !before.Up {
		c.Must("place a client", fmt.Errorf("answered %q", before.Answer))
	}
	time.Sleep(500 * time.Millisecond)

	// What the relay most recently had is that both are ready. It is killed; while it is away the first engraver begins
	// to drain, and the agent is sent that.
	options.Known = agent.Known()
	relay.Signal(syscall.SIGKILL)
	<-relay.Exited
	agent.Set(first.Member("draining"))
	time.Sleep(200 * time.Millisecond)
	if c.Trouble {
		agent.SetSilent(true) // discovery is down
		time.AfterFunc(outage, func() { agent.SetSilent(false) })
	}
	time.Sleep(300 * time.Millisecond)
	restarted := time.Now()
	c.StartRelay(options)
	c.AwaitPong(options.Listen)

	// The agent has the drain, and that counts from the first moment of the new process.
	late := restarted.Add(grace + slack + heldUp)
	for i := 0; time.Since(restarted) < outage-time.Second; i++ {
		if time.Now().After(late) {
			client := c.Open(options.Listen, fmt.Sprintf("00000000000001%02x", i), classOf, 4800*time.Millisecond, "")
			_ = client
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, attempt := range first.Attempts() {
		if attempt.At.After(late) {
			c.Break("%s, which drains, got %s %v after the start of the relay that counts as told", attempt.Engraver, attempt.ID, attempt.At.Sub(restarted).Round(time.Millisecond))
		}
	}
	c.Finish()
}
