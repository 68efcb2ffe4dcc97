package fake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const reportInterval = time.Second // of delay reports

// reportWriter writes a line to a connection. Its pointer identifies the connection.
type reportWriter = func(string) error

// delayReports holds the connections on which a server may report its delay, by listener. Each
// relay has its own listener and gets reports on one connection.
type delayReports struct {
	mu         sync.Mutex // guards byListener
	byListener map[int][]*reportWriter
}

func (r *delayReports) add(listener int, write *reportWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byListener == nil {
		r.byListener = make(map[int][]*reportWriter)
	}
	r.byListener[listener] = append(r.byListener[listener], write)
}

func (r *delayReports) remove(listener int, write *reportWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byListener[listener] = slices.DeleteFunc(r.byListener[listener], func(other *reportWriter) bool { return other == write })
}

// onePerListener returns the writer of the oldest connection of each listener.
func (r *delayReports) onePerListener() []reportWriter {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []reportWriter
	for _, writers := range r.byListener {
		if len(writers) > 0 {
			all = append(all, *writers[0])
		}
	}
	return all
}

// reportDelays reports the delay of messages to each relay once per second while the delay is above
// ReportThreshold, and once more when it has fallen below. It returns when ctx ends.
func (s *Server) reportDelays(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for wasOver := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		delay, hangs := s.workload.delay(time.Now()), s.mode == ModeHang
		s.mu.Unlock()
		over := delay > s.Capacity.ReportThreshold
		if (over || wasOver) && !hangs {
			for _, write := range s.delayReports.onePerListener() {
				_ = write(fmt.Sprintf("LOAD %d\r\n", delay.Milliseconds()))
			}
		}
		wasOver = over
	}
}
