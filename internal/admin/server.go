// Package admin serves the relay's second address over HTTP: whether the process takes
// clients, and its metrics. It reads what is held without waiting for anything, so that
// it answers in time however busy the relay is.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	readTimeout    = 2 * time.Second // for a request
	writeTimeout   = 2 * time.Second // for reading the answer, after readTimeout
	maxHeaderBytes = 4 << 10         // of a request, to which net/http adds some
)

// Server answers the requests at the second address. Its fields are set before Serve;
// what they call must not block.
type Server struct {
	Ready   func() bool // whether the process takes clients
	Metrics io.WriterTo
}

// Serve answers requests, one a connection, until ctx ends, and closes the listener. It
// returns nil if it has ended because ctx has.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", s.serveReady)
	mux.HandleFunc("GET /-/metrics", s.serveMetrics)
	httpServer := &http.Server{
		Handler:        mux,
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // faulty clients would fill the log
	}
	httpServer.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { _ = httpServer.Close() })()
	if err := httpServer.Serve(&evictingListener{Listener: listener}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = s.Metrics.WriteTo(w) // it fails only if the client has gone
}
