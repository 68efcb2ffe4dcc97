package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is one request that a server has received.
type Attempt struct {
	Server string
	ID     string
	At     time.Time
}

// Server is an engraver that speaks lines.
type Server struct {
	Name    string
	Address string

	c        *Case
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	attempts []Attempt
}

// NewServer starts a server.
func (c *Case) NewServer(name string) *Server {
	s := &Server{Name: name, c: c, conns: make(map[net.Conn]bool)}
	l, err := net.Listen("tcp", c.FreeAddress())
	c.Need(err)
	s.Address = l.Addr().String()
	s.serve(l)
	c.Defer(s.Stop)
	return s
}

func (s *Server) serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.listener != l {
				s.mu.Unlock()
				conn.Close()
				return
			}
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serveConn(conn)
		}
	}()
}

// Stop ends the server as a process that dies: its connections are reset, new ones are refused.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	s.conns = make(map[net.Conn]bool)
}

// Restart starts the server again at its address.
func (s *Server) Restart() {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", s.Address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.c.Need(err)
	s.serve(l)
}

// Attempts returns the requests received since a time.
func (s *Server) Attempts(since time.Time) (all []Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.At.After(since) {
			all = append(all, a)
		}
	}
	return all
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 4<<10)
	for first := true; ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		words := strings.Split(line, " ")
		switch {
		case first && line == "PING":
			io.WriteString(conn, "PONG\r\n")
		case first && words[0] == "OPEN" && len(words) == 4:
			first = false
			s.mu.Lock()
			s.attempts = append(s.attempts, Attempt{s.Name, words[1], time.Now()})
			s.mu.Unlock()
			s.c.Log("server %s: runs %s", s.Name, words[1])
			io.WriteString(conn, "UP r-"+words[1]+"\r\n")
		case first:
			io.WriteString(conn, "SYNTAX\r\n")
			return
		default:
			io.WriteString(conn, "note "+line+"\r\n")
		}
	}
}

// Client is the result of one client's connection.
type Client struct {
	ID     string
	Answer string // "up", "busy", "failed", "none", "refused"
	End    string // of one that was up: "left", "moved", "cut", "ended"
}

var lastID atomic.Uint64

// NewID returns an id that no client has had.
func NewID() string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1)) }

// RunClient connects to a relay, opens a request, and stays for a time: every 2 s it sends a line.
func (c *Case) RunClient(address, class string, deadline, stay time.Duration) (result Client) {
	result = Client{ID: NewID(), Answer: "refused"}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.Log("client %s: %v", result.ID, err)
		return result
	}
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s %016x c=%s,d=%d\r\n", result.ID, lastID.Load()*7919, class, deadline.Milliseconds())
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
	line, err := reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	switch {
	case err != nil:
		result.Answer = "none"
	case line == "UP r-"+result.ID:
		result.Answer = "up"
	case line == "BUSY" || strings.HasPrefix(line, "BUSY "):
		result.Answer = "busy"
	default:
		result.Answer = "failed"
	}
	c.Log("client %s: %s (%q)", result.ID, result.Answer, line)
	if result.Answer != "up" {
		return result
	}
	leaveAt, nextLine := time.Now().Add(stay), time.Now().Add(2*time.Second)
	for result.End == "" {
		wake := leaveAt
		if nextLine.Before(wake) {
			wake = nextLine
		}
		conn.SetReadDeadline(wake)
		line, err := reader.ReadString('\n')
		var timeout net.Error
		switch {
		case err == nil && strings.TrimRight(line, "\r\n") == "MOVE":
			result.End = "moved"
		case err == nil:
		case errors.As(err, &timeout) && timeout.Timeout():
			if !time.Now().Before(leaveAt) {
				result.End = "left"
			} else if !time.Now().Before(nextLine) {
				nextLine = nextLine.Add(2 * time.Second)
				fmt.Fprintf(conn, "hello from %s\r\n", result.ID)
			}
		case errors.Is(err, io.EOF):
			result.End = "ended"
		default:
			result.End = "cut"
		}
	}
	c.Log("client %s: %s", result.ID, result.End)
	return result
}

// Settings is the object of the wire page's example, for a small deployment: names and units are the page's.
const Settings = `{"Callers": {"MarksRetry": false},
 "Classes": [{"AimUs": 800000, "DeadlineUs": 4800000, "KeyScope": "all", "LateWorth": 0.0, "MemorySpanUs": 5000000, "Name": "page-render", "Semantics": "idempotent", "Stream": true, "Worth": 5.0},
  {"AimUs": 500000, "DeadlineUs": 2000000, "KeyScope": "all", "LateWorth": 0.0, "MemorySpanUs": 5000000, "Name": "live-preview", "Semantics": "idempotent", "Stream": true, "Worth": 1.0}],
 "Costs": {"Connection": 0.0, "CrossZone": 0.03, "Discovery": 0.0, "Handshake": 0.02, "LateFail": 0.1, "Moves": 0.045, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0018, "Waste": 0.046},
 "Customers": [], "Discovery": "push", "Family": "conn",
 "Goal": {"Whole": 0.6, "WorstClass": 0.35, "WorstTenant": 0.0, "WorstWindow": 0.05},
 "Guarantees": {"AnswerSlackUs": 8000, "AskEveryUs": 10000000, "ColdUs": 23000000, "DrainGraceUs": 500000, "FallUs": 3000000, "StartCapacity": 0.12, "TipMultiple": 3.0},
 "Kinds": ["std-2", "slow-2"], "Layers": ["engrave-fleet"],
 "Limits": {"ConnIdleUs": 60000000, "ConnectTimeoutUs": 50000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 15000, "MaxOpen": 1000000, "MaxRetryAfterUs": 2000000, "MayCancel": true, "PeerMessages": false, "Probes": true, "RetryAfter": false, "SecondCopies": false, "StreamsPerConn": 1048576, "TryLimit": 5},
 "Localities": ["hall-a"], "Me": 0, "NInstances": 1, "OverShareWorth": 0.1, "QuantumUs": 2000,
 "Report": {"Fields": [], "Source": "none"},
 "Specifics": {"Groups": true, "Hint": "usual load of the connection", "MessageAimUs": [100000.0, 60000.0], "Mode": "proxy", "Notes": "1 load, 2 delay", "ParkUs": 0, "ReportX0": "", "ReportX1": "", "TellsDelay": true, "TellsLoad": true, "TenantQuotaConnections": []},
 "Tier": 0, "Weights": "nominal", "WorthBy": "request", "Zone": 0}`

// Config returns the relay's configuration.
func Config(name, listen, discovery string, known List) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":256,"sockets":1024},
 "known":%s,
 "settings":%s}`, name, listen, discovery, mustJSON(known), Settings)
}

// RunShort is RunClient for many clients: it records only what is not up, and ends when stop is closed.
func (c *Case) RunShort(address, class string, deadline, stay time.Duration, stop <-chan struct{}) {
	id := NewID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.Log("client %s: %v", id, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s %016x c=%s,d=%d\r\n", id, lastID.Load()*7919, class, deadline.Milliseconds())
	reader := bufio.NewReaderSize(conn, 256)
	conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
	line, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "UP ") {
		c.Log("client %s: %q, %v", id, line, err)
		return
	}
	lines := make(chan error, 1)
	conn.SetReadDeadline(time.Time{})
	go func() {
		for {
			line, err := reader.ReadString('\n')
			if err != nil || line == "MOVE\r\n" {
				lines <- err
				return
			}
		}
	}()
	leave, ticker := time.After(stay), time.NewTicker(2*time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-leave:
			return
		case <-stop:
			return
		case <-lines:
			return
		case <-ticker.C:
			io.WriteString(conn, "hello\r\n")
		}
	}
}
