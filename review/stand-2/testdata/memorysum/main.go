// Command memorysum plays the case "many bad AMQP clients send a large value at once".
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/review/stand-2/testdata/peer10"
	"lockroad/review/stand-2/testdata/rig"
)

const (
	memoryMB   = 64   // the pages: 32 to 192
	sockets    = 1024 // the pages: 256 to 1,024
	badClients = 180  // under the relay's own limit of 192 links, and under a third of the descriptors
	usual      = 12
	valueBytes = 60 << 20
	frameBytes = 8000
)

func main() { rig.Main(run) }

// ownMemoryMB returns the memory that belongs to a process alone, without files.
func ownMemoryMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(words[1])
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

// window follows the window that the relay's session offers.
type window struct {
	mu    sync.Mutex
	cond  sync.Cond
	end   uint32
	ended bool
}

// follow reads the client's connection until the link or the connection ends.
func (w *window) follow(conn *peer10.Conn) {
	for {
		frame, err := conn.Next()
		w.mu.Lock()
		if err != nil || frame.Code == framing.CodeDetach || frame.Code == framing.CodeEnd || frame.Code == framing.CodeClose {
			w.ended = true
		} else if frame.Code == framing.CodeFlow {
			w.end = frame.Uint32(framing.FlowNextIncomingID, 0) + frame.Uint32(framing.FlowIncomingWindow, 0)
		}
		ended := w.ended
		w.cond.Broadcast()
		w.mu.Unlock()
		if ended {
			return
		}
	}
}

// await waits until the window takes a transfer, and reports false if the link has ended.
func (w *window) await(transfer uint32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.ended && int32(w.end-transfer) <= 0 {
		w.cond.Wait()
	}
	return !w.ended
}

// send sends one value of a size as a delivery in several transfers, within the window.
func send(conn *peer10.Conn, size int, sent *atomic.Int64) {
	w := &window{end: 256}
	w.cond.L = &w.mu
	go w.follow(conn)
	piece := make([]byte, frameBytes)
	for n := uint32(0); size > 0; n++ {
		if !w.await(n) {
			return
		}
		size -= frameBytes
		p := framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(0), uint32(0), []byte{1}, uint32(0), true, size > 0}}
		if conn.Send(p, piece) != nil {
			return
		}
		sent.Add(frameBytes)
	}
}

func run(c *rig.Case) bool {
	amqpServer := peer10.NewServer(c, "the AMQP ports of all servers")
	_, amqpPort, err := net.SplitHostPort(amqpServer.Address)
	c.Need(err)
	list := rig.List{Revision: 41, Complete: true}
	for i := range 3 {
		list.Members = append(list.Members, c.NewServer(fmt.Sprintf("s-%d", i+1)).Ready())
	}
	agent := c.NewAgent("agent", list)
	listen, door := c.FreeAddress(), c.FreeAddress()
	text := strings.Replace(rig.Config("n3", listen, agent.Address, list), `"memory_mb":256,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memoryMB, sockets), 1)
	if !strings.Contains(text, fmt.Sprintf(`"memory_mb":%d`, memoryMB)) {
		c.Fail("the configuration has other limits")
	}
	config := c.WriteFile("config.json", text)
	operator := c.WriteFile("operator.toml", fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %s\n", door, amqpPort))
	relay := c.StartRelay("relay", "", "PROXY_CONFIG="+config, "LOCKROAD_OPERATOR="+operator)
	c.AwaitPong(listen)

	var clients sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]int)
	for range usual {
		clients.Go(func() {
			result := c.RunClient(listen, "page-render", 4800*time.Millisecond, 14*time.Second)
			mu.Lock()
			defer mu.Unlock()
			ends[strings.TrimSpace(result.Answer+" "+result.End)]++
		})
	}
	time.Sleep(time.Second)

	// The platform: over memory_mb the relay is killed.
	var most atomic.Uint64
	var killed atomic.Bool
	watched := make(chan struct{})
	go func() {
		for {
			select {
			case <-watched:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := ownMemoryMB(relay.Cmd.Process.Pid)
			most.Store(max(most.Load(), uint64(now)))
			if now > memoryMB && killed.CompareAndSwap(false, true) {
				c.Say("BROKEN: the relay's own memory is %.0f MB, over memory_mb of %d: the platform kills it", now, memoryMB)
				relay.Signal(syscall.SIGKILL)
			}
		}
	}()

	var sent, up atomic.Int64
	size := 100
	if c.Trouble {
		size = valueBytes
	}
	var bad sync.WaitGroup
	stop := make(chan struct{})
	begin := make(chan struct{})
	for i := range badClients {
		bad.Go(func() {
			conn, err := peer10.Dial(door, fmt.Sprintf("bad-%d", i))
			if err != nil {
				c.Log("bad client %d: %v", i, err)
				return
			}
			defer conn.Close()
			if _, err := conn.Attach(fmt.Sprintf("link-%d", i), "page-render", 4800*time.Millisecond); err != nil {
				c.Log("bad client %d: %v", i, err)
				return
			}
			up.Add(1)
			conn.SetDeadline(time.Now().Add(30 * time.Second))
			<-begin
			done := make(chan struct{})
			go func() { defer close(done); send(conn, size, &sent) }()
			<-stop
			conn.Close()
			<-done
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Second)
	c.Say("%d links of bad clients are up; the relay's own memory is %.0f MB", up.Load(), ownMemoryMB(relay.Cmd.Process.Pid))
	if up.Load() < badClients*3/4 {
		c.Fail("too few links are up")
	}
	close(begin)
	select {
	case <-relay.Exited:
	case <-time.After(8 * time.Second):
	}
	close(stop)
	bad.Wait()
	clients.Wait()
	close(watched)
	exited := false
	select {
	case <-relay.Exited:
		exited = true
	default:
	}
	mu.Lock()
	defer mu.Unlock()
	c.Say("bad clients sent %d MB in all; most memory seen: %d MB of %d; the usual clients' ends: %v", sent.Load()>>20, most.Load(), memoryMB, ends)
	return !exited && ends["up left"] == usual
}
