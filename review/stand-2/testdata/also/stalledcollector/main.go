// Command stalledcollector plays the case "the collector stalls for 60 s under load".
package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	spanpb "go.opentelemetry.io/proto/otlp/trace/v1"

	"lockroad/internal/fake"
	"lockroad/review/stand-2/testdata/rig"
)

const (
	calm  = 6 * time.Second
	stall = 60 * time.Second
	after = 26 * time.Second // the relay exports every 10 s
)

func main() { rig.Main(run) }

func run(c *rig.Case) bool {
	var stalled atomic.Bool
	var held sync.Map // requests that came during the stall: not read, not answered, not counted
	collector := &fake.Collector{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Need(err)
	released := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stalled.Load() {
			held.Store(r, true)
			c.Log("collector: %s came during the stall, no answer", r.URL.Path)
			select {
			case <-released:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		collector.ServeHTTP(w, r)
	})}
	go server.Serve(l)
	c.Defer(func() { server.Close() })

	list := rig.List{Revision: 41, Complete: true}
	for i := range 3 {
		list.Members = append(list.Members, c.NewServer(fmt.Sprintf("s-%d", i+1)).Ready())
	}
	agent := c.NewAgent("agent", list)
	listen := c.FreeAddress()
	config := c.WriteFile("config.json", rig.Config("n3", listen, agent.Address, list))
	operator := c.WriteFile("operator.toml", fmt.Sprintf("[otlp]\nendpoint = %q\n", "http://"+l.Addr().String()))
	relay := c.StartRelay("relay", "", "PROXY_CONFIG="+config, "LOCKROAD_OPERATOR="+operator)
	c.AwaitPong(listen)

	var mu sync.Mutex
	ended := make(map[string]time.Time) // requests that were answered and have ended, by id
	slow := 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { // three a second
		for {
			select {
			case <-stop:
				return
			case <-time.After(333 * time.Millisecond):
			}
			clients.Go(func() {
				began := time.Now()
				result := c.RunClient(listen, "page-render", 4800*time.Millisecond, 700*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if result.Answer == "up" {
					ended[result.ID] = time.Now()
				}
				if time.Since(began) > 1500*time.Millisecond {
					slow++
				}
			})
		}
	})
	time.Sleep(calm)
	stallBegan := time.Now()
	if c.Trouble {
		stalled.Store(true)
		c.Log("collector: stalls")
	}
	time.Sleep(stall)
	stalled.Store(false)
	close(released)
	stallEnded := time.Now()
	c.Log("collector: answers again")
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(after - 8*time.Second)
	relay.Signal(syscall.SIGTERM) // the last export
	select {
	case <-relay.Exited:
	case <-time.After(5 * time.Second):
	}

	spans := make(map[string]int)
	for _, span := range collector.Spans() {
		if span.Name == "transaction" {
			spans[attribute(span, "transaction")]++
		}
	}
	missing, during, twice := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, at := range ended {
		switch n := spans[id]; {
		case n == 0:
			missing++
			if at.After(stallBegan) && at.Before(stallEnded) {
				during++
			}
			c.Log("BROKEN: no span of request %s, which ended %.1f s after the stall began", id, at.Sub(stallBegan).Seconds())
		case n > 1:
			twice++
			c.Log("BROKEN: %d spans of request %s", n, id)
		}
	}
	c.Say("requests: %d; without a span: %d (%d of them ended during the stall); with more than one: %d; slow clients: %d", len(ended), missing, during, twice, slow)
	if len(ended) < 100 {
		c.Fail("too few requests")
	}
	return missing == 0 && twice == 0
}

func attribute(span *spanpb.Span, key string) string {
	for _, a := range span.Attributes {
		if a.Key == key {
			return a.Value.GetStringValue()
		}
	}
	return ""
}
