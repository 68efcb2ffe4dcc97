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

// serve runs a desk and returns where it is.
func serve(t *testing.T, d *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// call says something at an address and returns the answer whole.
func call(t *testing.T, address, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second)) // as long as a caller waits
	io.WriteString(c, text)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	b, _ := io.ReadAll(answer.Body)
	if !answer.Close {
		t.Errorf("%.40q: the connection stays open for another call", text)
	}
	return answer.StatusCode, string(b)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestCallsAreAnswered(t *testing.T) {
	var ready atomic.Bool
	f := &metrics.Set{}
	f.Attempts.Add(5)
	address := serve(t, &Server{Ready: ready.Load, Metrics: f})
	for _, c := range []struct {
		text string
		want int
	}{
		{get("/-/ready"), 503}, {get("/-/metrics"), 200}, {get("/-/odd"), 404}, {get("/"), 404},
		{strings.Replace(get("/-/ready"), "GET", "POST", 1), 405}, {strings.Replace(get("/-/metrics"), "GET", "DELETE", 1), 405},
		{"nonsense\r\n\r\n", 400}, {"GET /-/ready HTTP/1.1\r\nno colon\r\n\r\n", 400}, {"GET /-/ready HTTP/1.1\r\n\r\n", 400},
		{"GET /-/ready HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 3*headMost) + "\r\n\r\n", 431},
	} {
		if got, _ := call(t, address, c.text); got != c.want {
			t.Errorf("%.50q: answered %d, want %d", c.text, got, c.want)
		}
	}
	if _, body := call(t, address, get("/-/metrics")); !strings.Contains(body, "edge_proxy_tries_total 5\n") {
		t.Errorf("figures: %s", body)
	}
	ready.Store(true)
	if got, _ := call(t, address, get("/-/ready")); got != 200 {
		t.Errorf("ready: answered %d", got)
	}
}

// Callers who finish no call hold no more places than there are, and keep nobody out.
func TestCallersWhoSayNothingKeepNobodyOut(t *testing.T) {
	address := serve(t, &Server{Ready: func() bool { return true }, Metrics: &metrics.Set{}})
	var quiet []net.Conn
	for i := range 3 * MaxCallers {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /-/rea"[:i%10])
		quiet = append(quiet, c)
		if got, _ := call(t, address, get("/-/ready")); got != 200 {
			t.Fatalf("after %d callers: answered %d", i+1, got)
		}
	}
	open := 0
	for _, c := range quiet {
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			var failed net.Error
			if errors.As(err, &failed) && failed.Timeout() {
				open++
			}
		}
	}
	if open > MaxCallers {
		t.Errorf("%d callers who say nothing hold a place", open)
	}
}

// The call is complete at every byte that it is cut at.
func TestCallsInPieces(t *testing.T) {
	address := serve(t, &Server{Ready: func() bool { return true }, Metrics: &metrics.Set{}})
	text := get("/-/ready")
	for cut := 1; cut < len(text); cut++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.(*net.TCPConn).SetNoDelay(true)
		c.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(c, text[:cut])
		io.WriteString(c, text[cut:])
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || answer.StatusCode != 200 {
			t.Errorf("cut at %d: %v, %v", cut, answer, err)
		}
		c.Close()
	}
}
