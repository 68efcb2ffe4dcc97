package main

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// failureDetectionTime is the time that the load balancer in front of the relays needs to detect a failed relay.
const failureDetectionTime = 2 * time.Second

// roundRobin is a load balancer in front of several relays. It assigns clients to relays in turn, starts to use a relay
// once it answers PING, and detects failed relays only after failureDetectionTime.
type roundRobin struct {
	*net.TCPListener
	mu      sync.Mutex // guards relays and next
	relays  []string   // addresses
	next    int
	running sync.WaitGroup // all goroutines
}

func newRoundRobin(t *testing.T) *roundRobin {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &roundRobin{TCPListener: listener.(*net.TCPListener)}
	s.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.running.Go(func() { s.forward(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() { listener.Close(); s.running.Wait() })
	return s
}

// add waits until a relay answers PING, and assigns clients to it from then on.
func (s *roundRobin) add(t *testing.T, relay string) {
	t.Helper()
	for deadline := time.Now().Add(6 * time.Second); !answersPing(relay); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("the relay at %s does not answer PING within 6 s", relay)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.relays, relay) {
		s.relays = append(s.relays, relay)
	}
}

// drop assigns no more clients to a relay.
func (s *roundRobin) drop(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays = slices.DeleteFunc(s.relays, func(r string) bool { return r == relay })
}

func answersPing(relay string) bool {
	conn, err := net.Dial("tcp", relay)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "PING\r\n")
	answer := make([]byte, 6)
	_, err = io.ReadFull(conn, answer)
	return err == nil && string(answer) == "PONG\r\n"
}

// forward copies bytes between a client and a relay in both directions, until both have closed their side.
func (s *roundRobin) forward(client *net.TCPConn) {
	defer client.Close()
	s.mu.Lock()
	if len(s.relays) == 0 {
		s.mu.Unlock()
		return
	}
	s.next++
	address := s.relays[s.next%len(s.relays)]
	s.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	relay := conn.(*net.TCPConn)
	defer relay.Close()
	var directions sync.WaitGroup
	copyBytes := func(from, to *net.TCPConn) {
		if _, err := io.Copy(to, from); err != nil {
			from.Close()
			to.Close()
		}
		to.CloseWrite()
	}
	directions.Go(func() { copyBytes(client, relay) })
	directions.Go(func() { copyBytes(relay, client) })
	directions.Wait()
}
