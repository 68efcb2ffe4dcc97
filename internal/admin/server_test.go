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

// exchange sends a request to an address, and returns the status and body of the response.
func exchange(t *testing.T, address, request string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) // the timeout of a client
	io.WriteString(conn, request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("request %.40q: %v", request, err)
	}
	content, _ := io.ReadAll(response.Body)
	if !response.Close {
		t.Errorf("request %.40q: the connection stays open after the response", request)
	}
	return response.StatusCode, string(content)
}

// getRequest returns the text of a GET request.
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
			t.Errorf("request %.50q: status %d, want %d", request.text, status, request.want)
		}
	}
	if _, body := exchange(t, address, getRequest("/-/metrics")); !strings.Contains(body, "edge_proxy_tries_total 5\n") {
		t.Errorf("metrics lack edge_proxy_tries_total 5:\n%s", body)
	}
	ready.Store(true)
	if status, _ := exchange(t, address, getRequest("/-/ready")); status != 200 {
		t.Errorf("status %d of a ready process, want 200", status)
	}
}

// Connections that never complete a request must not exhaust the connection limit.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	address := startServer(t, &Server{Ready: func() bool { return true }, Metrics: &metrics.Set{}})
	var idle []net.Conn
	for i := range 3 * MaxConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "GET /-/rea"[:i%10])
		idle = append(idle, conn)
		if status, _ := exchange(t, address, getRequest("/-/ready")); status != 200 {
			t.Fatalf("status %d beside %d idle connections, want 200", status, i+1)
		}
	}
	open := 0
	for _, conn := range idle {
		conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				open++
			}
		}
	}
	if open > MaxConnections {
		t.Errorf("%d idle connections are open, want at most %d", open, MaxConnections)
	}
}

// A request may arrive in two segments, split at any byte.
func TestRequestsMayArriveInPieces(t *testing.T) {
	address := startServer(t, &Server{Ready: func() bool { return true }, Metrics: &metrics.Set{}})
	request := getRequest("/-/ready")
	for split := 1; split < len(request); split++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.(*net.TCPConn).SetNoDelay(true)
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, request[:split])
		io.WriteString(conn, request[split:])
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != 200 {
			t.Errorf("split at byte %d: response %v, error %v", split, response, err)
		}
		conn.Close()
	}
}
