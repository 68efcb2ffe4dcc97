package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// List is an engraver list in discovery's form.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one entry of a list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Agent is discovery's agent on a relay's own machine, where lists are pushed. It answers at once with what it has,
// and it is silent while discovery is down: connections come up, and nothing is written on any.
type Agent struct {
	c       *Case
	Address string

	mu       sync.Mutex
	revision uint64
	members  map[string]Member
	changed  map[string]uint64
	update   chan struct{} // closed and replaced at each change
	silent   bool
}

// StartAgent starts an agent that has the members.
func (c *Case) StartAgent(members ...Member) *Agent {
	a := &Agent{c: c, revision: 40, members: map[string]Member{}, changed: map[string]uint64{}, update: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must("start the agent", err)
	a.Address = listener.Addr().String()
	for _, member := range members {
		a.Set(member)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

// Set changes a member. It counts as told from then on.
func (a *Agent) Set(member Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	a.members[member.ID], a.changed[member.ID] = member, a.revision
	a.c.Logf("agent", "has revision %d: %s is %s", a.revision, member.ID, member.Phase)
	a.wake()
}

// SetSilent makes the agent silent, as while discovery is down, or ends that.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.c.Logf("agent", "silent=%v", silent)
	a.wake()
}

func (a *Agent) wake() {
	close(a.update)
	a.update = make(chan struct{})
}

// Known returns the whole list.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(0)
}

func (a *Agent) since(revision uint64) List {
	list := List{Revision: a.revision, Complete: revision == 0, Members: []Member{}}
	for id, member := range a.members {
		if a.changed[id] > revision && !(list.Complete && member.Phase == "gone") {
			list.Members = append(list.Members, member)
		}
	}
	return list
}

// serve answers one request. What comes while the agent is silent is answered at the end of the silence.
func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := reader.ReadString('\n')
	for line := ""; err == nil && strings.TrimSpace(line) != "" || line == ""; {
		line, err = reader.ReadString('\n')
		if err != nil {
			return
		}
	}
	from := uint64(0)
	if _, rest, ok := strings.Cut(request, "from="); ok {
		number, _, _ := strings.Cut(rest, " ")
		from, _ = strconv.ParseUint(number, 10, 64)
	}
	head := false
	for {
		a.mu.Lock()
		silent, update, list := a.silent, a.update, a.since(from)
		a.mu.Unlock()
		if !silent && (!head || list.Revision > from) {
			text, _ := json.Marshal(list)
			answer := fmt.Sprintf("%x\r\n%s\n\r\n", len(text)+1, text)
			if !head {
				answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + answer
			}
			if _, err := conn.Write([]byte(answer)); err != nil {
				return
			}
			a.c.Logf("agent", "writes revision %d (complete=%v) to a relay that asked from %d", list.Revision, list.Complete, from)
			head, from = true, list.Revision
		}
		select {
		case <-update:
		case <-time.After(2 * time.Second):
			if !silent && head {
				if _, err := conn.Write([]byte("1\r\n\n\r\n")); err != nil {
					return
				}
			}
		}
	}
}
