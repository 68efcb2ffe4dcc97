package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// tailLineBytes is how much of a line the tail keeps.
const tailLineBytes = 512

// lineWriter is the writer that the handler writes lines to. It never blocks.
type lineWriter struct {
	destination io.Writer
	queue       chan []byte  // lines that wait for Logger.run
	dropped     atomic.Int64 // lines that found the queue full since the last summary
	tailLines   int          // lines that Tail can return

	mu   sync.Mutex // guards tail
	tail []string   // the last lines, up to twice tailLines
}

// keepTail adds a line to the tail.
func (l *lineWriter) keepTail(line []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tail) >= 2*l.tailLines { // so that lines are moved only once in tailLines
		l.tail = append(l.tail[:0], l.tail[len(l.tail)-l.tailLines+1:]...)
	}
	l.tail = append(l.tail, string(line[:min(len(line), tailLineBytes)]))
}

// Write queues one line, or drops it if the queue is full.
func (l *lineWriter) Write(line []byte) (int, error) {
	if l.tailLines > 0 {
		l.keepTail(line)
	}
	select {
	case l.queue <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}
