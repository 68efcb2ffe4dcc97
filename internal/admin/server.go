// Package admin answers at the relay's second address: whether it takes clients, and its
// figures. It looks at what is kept without waiting for anyone, so that it answers in
// time however busy the relay is.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// MaxCallers bounds the callers at a time, and so the descriptors that they take. Who has
	// held a place longest without finishing its call makes room for the next.
	MaxCallers = 16

	headFor  = 2 * time.Second // a caller may take this long to say what it wants,
	headMost = 4 << 10         // in so many bytes, and some that net/http adds,
	writeFor = 2 * time.Second // and this long to read the answer
)

// Server is what callers are told. Neither call may wait for anyone.
type Server struct {
	Ready   func() bool // the process takes clients
	Metrics io.WriterTo
}

func (d *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (d *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = d.Metrics.WriteTo(w) // if this fails, the caller has gone
}

// Serve answers callers until ctx ends, and closes the listener.
func (d *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", d.ready)
	mux.HandleFunc("GET /-/metrics", d.metrics)
	s := &http.Server{
		Handler: mux, ReadTimeout: headFor, WriteTimeout: headFor + writeFor, MaxHeaderBytes: headMost,
		ErrorLog: log.New(io.Discard, "", 0), // bad callers would fill the log
	}
	s.SetKeepAlivesEnabled(false) // a call to a connection
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(&room{Listener: l}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// room is a listener that holds so many callers' connections and no more.
type room struct {
	net.Listener
	mu  sync.Mutex
	all []*caller // the one that came first first
}

type caller struct {
	net.Conn
	room *room
}

// Accept takes the next caller in, and shows out whom there is no more room for.
func (r *room) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &caller{conn, r}
	r.mu.Lock()
	var first *caller
	if len(r.all) == MaxCallers {
		first = r.all[0]
		r.all = slices.Delete(r.all, 0, 1)
	}
	r.all = append(r.all, c)
	r.mu.Unlock()
	if first != nil {
		first.Conn.Close()
	}
	return c, nil
}

// Close ends a caller's connection, and gives its place back.
func (c *caller) Close() error {
	c.room.mu.Lock()
	if i := slices.Index(c.room.all, c); i >= 0 {
		c.room.all = slices.Delete(c.room.all, i, i+1)
	}
	c.room.mu.Unlock()
	return c.Conn.Close()
}
