package balancer

import (
	"cmp"
	"time"
)

// timerEntry is a pending timer of a Balancer.
type timerEntry struct {
	at    time.Duration
	token uint32
}

// timerHeap is a min-heap of pending timers by time, then by token, which is the order in which they were
// set. It implements heap.Interface.
type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].token, h[j].token)) < 0
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
