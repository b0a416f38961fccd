package quotasim

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time. Events of one time happen in the order in which they were
// scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap, the next event on top.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs a function after a time.
func (s *simulation) schedule(after time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + after, seq: s.seq, run: run})
}

// runUntil runs all events up to a time, unless one fails.
func (s *simulation) runUntil(end time.Duration) {
	for s.err == nil && len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
}
