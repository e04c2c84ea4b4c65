package scheduler

import "time"

// pendingEvent is what a world does at a time; seq orders events of the same time.
type pendingEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events by time, and in order of creation for the same time.
type eventQueue []pendingEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(pendingEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
