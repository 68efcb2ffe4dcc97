package harness

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Attempt is an OPEN line that an engraver received.
type Attempt struct {
	At       time.Time
	Engraver string
	ID       string
	Line     string
}

// Engraver is a sound engraver of the line protocol: it answers each OPEN with UP and each later line with the same
// line, and it ends a connection that its peer has ended.
type Engraver struct {
	c       *Case
	ID      string
	Address string

	mu       sync.Mutex
	attempts []Attempt
	conns    map[net.Conn]bool
	listener net.Listener
}

// StartEngraver starts an engraver.
func (c *Case) StartEngraver(id string) *Engraver {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must("start an engraver", err)
	e := &Engraver{c: c, ID: id, Address: listener.Addr().String(), conns: map[net.Conn]bool{}, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// Member returns the engraver's entry in the list.
func (e *Engraver) Member(phase string) Member {
	return Member{ID: e.ID, HostPort: e.Address, Locality: "hall-a", Flavor: "std-2", Cell: 1, Phase: phase, Size: 1}
}

// Attempts returns the OPEN lines received.
func (e *Engraver) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Attempt(nil), e.attempts...)
}

// Stop ends the engraver's process: its connections are reset and new ones are refused.
func (e *Engraver) Stop() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.Logf(e.ID, "stops with %d connections", len(e.conns))
	for conn := range e.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (e *Engraver) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "OPEN" {
		e.c.Logf(e.ID, "got %q, answers SYNTAX", line)
		fmt.Fprintf(conn, "SYNTAX\r\n")
		return
	}
	e.mu.Lock()
	e.attempts = append(e.attempts, Attempt{At: time.Now(), Engraver: e.ID, ID: words[1], Line: line})
	e.conns[conn] = true
	e.mu.Unlock()
	e.c.Logf(e.ID, "runs %s: %s", words[1], strings.TrimSpace(line))
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	fmt.Fprintf(conn, "UP r-%s-%s\r\n", e.ID, words[1])
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		fmt.Fprint(conn, line)
	}
}

// Client is a sound client of the line protocol.
type Client struct {
	c    *Case
	ID   string
	Conn net.Conn

	mu     sync.Mutex
	Answer string        // the line that answered OPEN; "" if the connection ended without one
	Moved  bool          // MOVE came
	End    error         // how the connection ended
	Up     bool          // UP came
	Done   chan struct{} // closed at the connection's end
}

// Open opens a connection and waits for the answer. Then the client sends a line every 2 s.
func (c *Case) Open(listen, id, class string, deadline time.Duration, extra string) *Client {
	client := &Client{c: c, ID: id, Done: make(chan struct{})}
	conn, err := net.DialTimeout("tcp", listen, 2*time.Second)
	if err != nil {
		c.Logf("client", "%s: connect: %v", id, err)
		client.End = err
		close(client.Done)
		return client
	}
	client.Conn = conn
	line := fmt.Sprintf("OPEN %s 7f3a9c21e0b4d655 c=%s,d=%d,g=%s%s", id, class, deadline.Milliseconds(), id, extra)
	c.Logf("client", "%s sends %s", id, line)
	fmt.Fprintf(conn, "%s\r\n", line)
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
	answer, err := reader.ReadString('\n')
	client.Answer = strings.TrimSpace(answer)
	c.Logf("client", "%s is answered %q %v", id, client.Answer, err)
	conn.SetReadDeadline(time.Time{})
	if client.Up = strings.HasPrefix(client.Answer, "UP "); !client.Up {
		client.End = err
		conn.Close()
		close(client.Done)
		return client
	}
	go client.read(reader)
	go client.talk()
	return client
}

func (k *Client) talk() {
	for i := 1; ; i++ {
		select {
		case <-k.Done:
			return
		case <-time.After(2 * time.Second):
			fmt.Fprintf(k.Conn, "note %s %d\r\n", k.ID, i)
		}
	}
}

func (k *Client) read(reader *bufio.Reader) {
	defer close(k.Done)
	defer k.Conn.Close()
	for {
		line, err := reader.ReadString('\n')
		k.mu.Lock()
		if line == "MOVE\r\n" {
			k.Moved = true
		}
		k.End = err
		k.mu.Unlock()
		if line != "" && !strings.HasPrefix(line, "note ") {
			k.c.Logf("client", "%s gets %q", k.ID, line)
		}
		if err != nil {
			k.c.Logf("client", "%s: connection ended: %v (moved=%v)", k.ID, err, k.Moved)
			return
		}
	}
}

// Ended reports whether the connection has ended, and whether MOVE came before.
func (k *Client) Ended() (ended, moved bool) {
	select {
	case <-k.Done:
		k.mu.Lock()
		defer k.mu.Unlock()
		return true, k.Moved
	default:
		return false, false
	}
}
