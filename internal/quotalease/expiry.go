package quotalease

import (
	"container/heap"
	"time"
)

// expiryTimer is an Expiry and the time, by the server's clock, at which it has expired for certain.
type expiryTimer struct {
	endsAt time.Duration
	Expiry
}

// timerHeap is a min-heap of timers by the time at which they end.
type timerHeap []expiryTimer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(timer any) { *h = append(*h, timer.(expiryTimer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// startExpiry starts the timer of an expiry, with the margin for clock drift.
func (a *Allocator) startExpiry(now time.Duration, expiry Expiry) {
	duration := withDriftMargin(expiry.Duration, a.state.maxDrift)
	if a.state.mutations.NoDriftMargin {
		duration = expiry.Duration
	}
	heap.Push(&a.timers, expiryTimer{endsAt: now + duration, Expiry: expiry})
}

// timerDue reports whether at least one timer has ended.
func (a *Allocator) timerDue(now time.Duration) bool {
	return len(a.timers) > 0 && a.timers[0].endsAt <= now
}

// NextExpiry returns the time at which the caller should call Plan for the next expiry, by the server's clock. The time
// is 0 if an Expire command is still to be committed. The result is false if no timer runs.
func (a *Allocator) NextExpiry() (time.Duration, bool) {
	if len(a.expired) > 0 {
		return 0, true
	}
	if len(a.timers) == 0 {
		return 0, false
	}
	return a.timers[0].endsAt, true
}

// expireCommands returns an Expire command for each expiry that has ended and that the state machine still counts.
func (a *Allocator) expireCommands(now time.Duration) []Command {
	for a.timerDue(now) {
		a.expired = append(a.expired, heap.Pop(&a.timers).(expiryTimer).Expiry)
	}
	a.dropSettledExpiries()
	var commands []Command
	for _, expiry := range a.expired {
		command := &Expire{HolderID: expiry.HolderID, Quota: expiry.Quota, Token: expiry.Token}
		commands = append(commands, Command{Expire: command})
	}
	return commands
}
