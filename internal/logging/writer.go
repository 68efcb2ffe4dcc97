package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// tailLineBytes is the maximum length of a line in the tail; longer lines are truncated.
const tailLineBytes = 512

// lineWriter is the writer behind the log handler. It queues each line without blocking and
// keeps the most recent ones for Logger.Tail.
type lineWriter struct {
	destination io.Writer
	queue       chan []byte  // lines to be written by Logger.run
	dropped     atomic.Int64 // lines dropped since the last summary because the queue was full
	tailLines   int          // number of lines that Tail can return

	mu   sync.Mutex // guards tail
	tail []string   // the most recent lines, up to twice tailLines
}

// keepTail appends a line to the tail and discards the oldest lines if it is too long.
func (l *lineWriter) keepTail(line []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tail) >= 2*l.tailLines { // discarding in batches moves the lines only once per tailLines
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
