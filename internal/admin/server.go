// Package admin serves the relay's admin address over HTTP: a readiness check at /-/ready,
// and metrics in the Prometheus text format at /-/metrics. Handlers never block, so that
// they answer in time even if the relay is overloaded.
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
	readTimeout    = 2 * time.Second // for a complete request
	writeTimeout   = 2 * time.Second // for the response, after readTimeout
	maxHeaderBytes = 4 << 10         // of a request; net/http allows some KB more
)

// Server answers the requests at the admin address. Its fields are set before Serve, and
// must be safe for concurrent use and never block.
type Server struct {
	Ready   func() bool // reports whether the process accepts clients
	Metrics io.WriterTo // writes the body of /-/metrics
}

// Serve answers one request per connection until ctx ends, and then closes the listener and
// all connections. It returns nil once ctx has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", s.serveReady)
	mux.HandleFunc("GET /-/metrics", s.serveMetrics)
	httpServer := &http.Server{
		Handler:        mux,
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // malformed requests must not flood the log
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
	_, _ = s.Metrics.WriteTo(w) // fails only if the client has closed the connection
}
