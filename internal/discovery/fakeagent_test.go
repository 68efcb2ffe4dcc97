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

// fakeAgent is a fake discovery agent that sends each watch the chunks of its turn. Once all are sent, watches get no response.
func fakeAgent(t *testing.T, responses ...[]string) (address string, requested <-chan string) {
	t.Helper()
	requests := make(chan string, len(responses)+8)
	address = listenAsAgent(t, func(c net.Conn, request string) {
		requests <- request
		if len(responses) == 0 {
			t.Cleanup(func() { c.Close() })
			return // no response, as from an agent that is down
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n")
		for _, text := range responses[0] {
			io.WriteString(c, chunkText(text))
		}
		responses = responses[1:]
		c.Close()
	})
	return address, requests
}

// listenAsAgent listens as the discovery agent does, and passes each connection with its request line to handle, one after another.
func listenAsAgent(t *testing.T, handle func(c net.Conn, request string)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			text, _ := bufio.NewReader(c).ReadString('\n')
			handle(c, strings.TrimSpace(text))
		}
	}()
	return l.Addr().String()
}

// expectWatches waits for watches to be opened, each from its revision.
func expectWatches(t *testing.T, requested <-chan string, from ...string) {
	t.Helper()
	for _, want := range from {
		select {
		case got := <-requested:
			if !strings.Contains(got, want) {
				t.Fatalf("requested %q, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no watch %s", want)
		}
	}
}

// scriptedAgent is an agent whose watches the test answers, one after another.
type scriptedAgent struct {
	t       *testing.T
	watches chan *agentWatch
	address string
}

// agentWatch is the agent's side of one watch.
type agentWatch struct {
	net.Conn
	revision string
}

func newScriptedAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	s := &scriptedAgent{t: t, watches: make(chan *agentWatch, 64)}
	s.address = listenAsAgent(t, func(c net.Conn, request string) {
		_, from, _ := strings.Cut(strings.TrimSuffix(request, " HTTP/1.1"), "from=")
		s.watches <- &agentWatch{c, from}
	})
	return s
}

// nextWatch returns the watch that is opened next, which must ask from a revision, and how long that took.
func (s *scriptedAgent) nextWatch(from string) (*agentWatch, time.Duration) {
	s.t.Helper()
	began := time.Now()
	select {
	case watch := <-s.watches:
		s.t.Cleanup(func() { watch.Close() })
		if watch.revision != from {
			s.t.Fatalf("a watch from %s, want %s", watch.revision, from)
		}
		return watch, time.Since(began)
	case <-time.After(8 * time.Second):
		s.t.Fatal("no watch was opened")
	}
	return nil, 0
}

const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (watch *agentWatch) answer(texts ...string) {
	io.WriteString(watch, okHead)
	for _, text := range texts {
		io.WriteString(watch, chunkText(text))
	}
}
