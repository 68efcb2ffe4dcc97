package admin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"lockroad/internal/golden"
	"lockroad/internal/metrics"
)

// The status, content type and body at each path, which health checks and metrics scrapers read.
func TestResponsesAreStable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ready := false
	server := &Server{Ready: func() bool { return ready }, Metrics: &metrics.Set{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, listener) })
	defer func() { cancel(); running.Wait() }()
	var transcript strings.Builder
	for _, step := range []string{"GET /-/ready", "HEAD /-/ready", "GET /-/metrics", "POST /-/metrics", "GET /", "ready", "GET /-/ready"} {
		if step == "ready" {
			ready = true
			continue
		}
		method, path, _ := strings.Cut(step, " ")
		request, err := http.NewRequest(method, "http://"+listener.Addr().String()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&transcript, "> %s\n%s\n%s\n%s\n", step, response.Status, response.Header.Get("Content-Type"), body)
	}
	golden.Compare(t, "answers.txt", transcript.String())
}
