package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func memberJSON(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:1","locality":"b","flavor":"m2","cell":3,"phase":%q,"size":1.5,"up_since_ms":0}`, id, phase)
}

func listJSON(revision int, complete bool, members ...string) string {
	return fmt.Sprintf("{\"revision\":%d,\"complete\":%v,\"members\":[%s]}\n", revision, complete, strings.Join(members, ","))
}

func chunkText(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// fakeAgent starts a discovery agent that answers each watch with the next element of responses, chunk by chunk. Later
// watches get no response. It returns the agent's address, and the request line of each watch.
func fakeAgent(t *testing.T, responses ...[]string) (address string, requested <-chan string) {
	t.Helper()
	requests := make(chan string, len(responses)+8)
	address = listenAsAgent(t, func(conn net.Conn, request string) {
		requests <- request
		if len(responses) == 0 {
			t.Cleanup(func() { conn.Close() })
			return // like an agent that is down
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n")
		for _, text := range responses[0] {
			io.WriteString(conn, chunkText(text))
		}
		responses = responses[1:]
		conn.Close()
	})
	return address, requests
}

// listenAsAgent listens until the test's end, and calls handle for one connection at a time, with its request line.
func listenAsAgent(t *testing.T, handle func(conn net.Conn, request string)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			text, _ := bufio.NewReader(conn).ReadString('\n')
			handle(conn, strings.TrimSpace(text))
		}
	}()
	return listener.Addr().String()
}

// expectWatches waits for watch requests with the given parameters, in this order.
func expectWatches(t *testing.T, requested <-chan string, from ...string) {
	t.Helper()
	for _, want := range from {
		select {
		case got := <-requested:
			if !strings.Contains(got, want) {
				t.Fatalf("requested %q, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no watch with %s was requested within 5 s", want)
		}
	}
}

// scriptedAgent is a discovery agent whose watches the test answers one by one.
type scriptedAgent struct {
	t       *testing.T
	watches chan *agentWatch
	address string
}

// agentWatch is the agent's side of one watch.
type agentWatch struct {
	net.Conn
	revision string // in its request
}

func newScriptedAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	agent := &scriptedAgent{t: t, watches: make(chan *agentWatch, 64)}
	agent.address = listenAsAgent(t, func(conn net.Conn, request string) {
		_, from, _ := strings.Cut(strings.TrimSuffix(request, " HTTP/1.1"), "from=")
		agent.watches <- &agentWatch{conn, from}
	})
	return agent
}

// nextWatch waits for the next watch, which must ask for changes from the given revision. It also returns how long it
// waited.
func (agent *scriptedAgent) nextWatch(from string) (*agentWatch, time.Duration) {
	agent.t.Helper()
	startedAt := time.Now()
	select {
	case watch := <-agent.watches:
		agent.t.Cleanup(func() { watch.Close() })
		if watch.revision != from {
			agent.t.Fatalf("got a watch from revision %s, want %s", watch.revision, from)
		}
		return watch, time.Since(startedAt)
	case <-time.After(8 * time.Second):
		agent.t.Fatal("no watch was opened within 8 s")
	}
	return nil, 0
}

const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// answer sends the head of a response and one chunk for each text.
func (watch *agentWatch) answer(texts ...string) {
	io.WriteString(watch, okHead)
	for _, text := range texts {
		io.WriteString(watch, chunkText(text))
	}
}
