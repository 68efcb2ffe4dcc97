package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lockroad/internal/metrics"
)

// startServer runs a server and returns its address.
func startServer(t *testing.T, server *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// exchange sends text to an address and returns the complete answer.
func exchange(t *testing.T, address, text string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) // as long as a client waits
	io.WriteString(conn, text)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	content, _ := io.ReadAll(answer.Body)
	if !answer.Close {
		t.Errorf("%.40q: the connection stays open for another request", text)
	}
	return answer.StatusCode, string(content)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestRequestsAreAnswered(t *testing.T) {
	var ready atomic.Bool
	set := &metrics.Set{}
	set.Attempts.Add(5)
	address := startServer(t, &Server{Ready: ready.Load, Metrics: set})
	for _, request := range []struct {
		text string
		want int
	}{
		{getRequest("/-/ready"), 503}, {getRequest("/-/metrics"), 200}, {getRequest("/-/odd"), 404}, {getRequest("/"), 404},
		{strings.Replace(getRequest("/-/ready"), "GET", "POST", 1), 405}, {strings.Replace(getRequest("/-/metrics"), "GET", "DELETE", 1), 405},
		{"nonsense\r\n\r\n", 400}, {"GET /-/ready HTTP/1.1\r\nno colon\r\n\r\n", 400}, {"GET /-/ready HTTP/1.1\r\n\r\n", 400},
		{"GET /-/ready HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 3*maxHeaderBytes) + "\r\n\r\n", 431},
	} {
		if status, _ := exchange(t, address, request.text); status != request.want {
			t.Errorf("%.50q: answered %d, want %d", request.text, status, request.want)
		}
	}
	if _, body := exchange(t, address, getRequest("/-/metrics")); !strings.Contains(body, "edge_proxy_tries_total 5\n") {
		t.Errorf("metrics: %s", body)
	}
	ready.Store(true)
	if status, _ := exchange(t, address, getRequest("/-/ready")); status != 200 {
		t.Errorf("ready: answered %d", status)
	}
}

// Connections without a complete request are evicted, and keep no other out.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	address := startServer(t, &Server{Ready: func() bool { return true }, Metrics: &metrics.Set{}})
	var silent []net.Conn
	for i := range 3 * MaxConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "GET /-/rea"[:i%10])
		silent = append(silent, conn)
		if status, _ := exchange(t, address, getRequest("/-/ready")); status != 200 {
			t.Fatalf("after %d connections: answered %d", i+1, status)
		}
	}
	open := 0
	for _, conn := range silent {
		conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			var failed net.Error
			if errors.As(err, &failed) && failed.Timeout() {
				open++
			}
		}
	}
	if open > MaxConnections {
		t.Errorf("%d silent connections are open", open)
	}
}

// A request may be cut at every byte.
func TestRequestsMayArriveInPieces(t *testing.T) {
	address := startServer(t, &Server{Ready: func() bool { return true }, Metrics: &metrics.Set{}})
	text := getRequest("/-/ready")
	for cut := 1; cut < len(text); cut++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.(*net.TCPConn).SetNoDelay(true)
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, text[:cut])
		io.WriteString(conn, text[cut:])
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || answer.StatusCode != 200 {
			t.Errorf("cut at %d: %v, %v", cut, answer, err)
		}
		conn.Close()
	}
}
