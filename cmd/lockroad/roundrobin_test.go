package main

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// failureDetectionTime is how long the balancer before the relays takes to notice that one has died.
const failureDetectionTime = 2 * time.Second

// roundRobin is the balancer before several relays: it assigns clients to them in turn, adds one once it answers PING,
// and notices only later that one has died.
type roundRobin struct {
	*net.TCPListener
	mu     sync.Mutex
	relays []string
	next   int
	all    sync.WaitGroup
}

func newRoundRobin(t *testing.T) *roundRobin {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &roundRobin{TCPListener: l.(*net.TCPListener)}
	s.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.all.Go(func() { s.forward(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() { l.Close(); s.all.Wait() })
	return s
}

// add waits until a relay answers PING, and assigns clients to it from then on.
func (s *roundRobin) add(t *testing.T, relay string) {
	t.Helper()
	for deadline := time.Now().Add(6 * time.Second); !answersPing(relay); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("a relay does not start")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.relays, relay) {
		s.relays = append(s.relays, relay)
	}
}

func (s *roundRobin) drop(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays = slices.DeleteFunc(s.relays, func(r string) bool { return r == relay })
}

func answersPing(relay string) bool {
	c, err := net.Dial("tcp", relay)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "PING\r\n")
	b := make([]byte, 6)
	_, err = io.ReadFull(c, b)
	return err == nil && string(b) == "PONG\r\n"
}

// forward copies a client's bytes to a relay and back, and the end of either side.
func (s *roundRobin) forward(client *net.TCPConn) {
	defer client.Close()
	s.mu.Lock()
	if len(s.relays) == 0 {
		s.mu.Unlock()
		return
	}
	s.next++
	to := s.relays[s.next%len(s.relays)]
	s.mu.Unlock()
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	relay := c.(*net.TCPConn)
	defer relay.Close()
	var both sync.WaitGroup
	pass := func(from, to *net.TCPConn) {
		if _, err := io.Copy(to, from); err != nil {
			from.Close()
			to.Close()
		}
		to.CloseWrite()
	}
	both.Go(func() { pass(client, relay) })
	both.Go(func() { pass(relay, client) })
	both.Wait()
}
