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

// What is answered at each path of the second address: status, type and text.
func TestSecondAddressIsStable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ready := false
	d := &Server{Ready: func() bool { return ready }, Metrics: &metrics.Set{}}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { _ = d.Serve(ctx, l) })
	defer func() { cancel(); all.Wait() }()
	var b strings.Builder
	for _, call := range []string{"GET /-/ready", "HEAD /-/ready", "GET /-/metrics", "POST /-/metrics", "GET /", "ready", "GET /-/ready"} {
		if call == "ready" {
			ready = true
			continue
		}
		method, path, _ := strings.Cut(call, " ")
		request, err := http.NewRequest(method, "http://"+l.Addr().String()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "> %s\n%s\n%s\n%s\n", call, answer.Status, answer.Header.Get("Content-Type"), body)
	}
	golden.Compare(t, "answers.txt", b.String())
}
