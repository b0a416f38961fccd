package engine

import (
	"container/heap"
	"time"
)

// timer is an event that is due at a time on the engine's clock.
type timer struct {
	due      time.Duration
	sequence uint64 // orders timers that are due at the same time
	event    func()
	index    int // index in the heap; -1 once the timer was removed from it
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

// startTimerAt schedules an event for a time. The loop handles it at that time or as soon as possible after it, and
// never before.
func (e *Engine) startTimerAt(due time.Duration, event func()) *timer {
	e.timerSequence++
	t := &timer{due: due, sequence: e.timerSequence, event: event}
	heap.Push(&e.timers, t)
	return t
}

// stopTimer removes a timer that has not fired, so that the objects its event refers to can be garbage collected; t may
// be nil.
func (e *Engine) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&e.timers, t.index)
	}
}

// fireTimers handles the events of the timers that are due. Timers that these events set fire in the next iteration of
// the loop at the earliest.
func (e *Engine) fireTimers() {
	now := e.clock.Now()
	newest := e.timerSequence
	for len(e.timers) > 0 && e.timers[0].due <= now && e.timers[0].sequence <= newest {
		e.handle(heap.Pop(&e.timers).(*timer).event)
	}
}
