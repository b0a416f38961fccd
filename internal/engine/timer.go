package engine

import (
	"container/heap"
	"time"
)

// timer is an event that is due at a time of the engine's clock.
type timer struct {
	due      time.Duration
	sequence uint64 // orders timers that are due at the same time
	event    func()
	index    int // in the heap; -1 once it is out of it
}

// timerHeap is a heap.Interface whose first element is the timer that is due next.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// startTimerAt has an event handled at a time, or as soon after it as the loop can.
func (e *Engine) startTimerAt(due time.Duration, event func()) *timer {
	e.timerSequence++
	t := &timer{due: due, sequence: e.timerSequence, event: event}
	heap.Push(&e.timers, t)
	return t
}

// stopTimer removes a timer that has not fired, and with it all that its event refers to; t may be nil.
func (e *Engine) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&e.timers, t.index)
	}
}

// fireTimers runs the timers that are due; those that they set wait for the next turn.
func (e *Engine) fireTimers() {
	now := e.clock.Now()
	newest := e.timerSequence
	for len(e.timers) > 0 && e.timers[0].due <= now && e.timers[0].sequence <= newest {
		e.handle(heap.Pop(&e.timers).(*timer).event)
	}
}
