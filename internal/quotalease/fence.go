package quotalease

import (
	"cmp"
	"container/heap"
)

// Fence is for a server that receives attempts with fencing tokens. It remembers the highest token of each holder
// and quota. An attempt with an older one was admitted by a process that was stopped meanwhile, or that another one
// has replaced; the server rejects it as not processed. (Fencing tokens: Kleppmann, "How to do distributed
// locking", 2016.)
//
// Its memory is bounded: beyond the capacity it forgets the lowest token, and rejects whoever it does not know with
// a token no higher. So it never admits one too many, and a holder that was forgotten passes again with its next
// lease.
type Fence struct {
	capacity  int
	entries   map[fenceKey]*fenceEntry
	byToken   fenceHeap
	forgotten Token // the highest of those forgotten
}

type fenceKey struct {
	holder string
	quota  string
}

type fenceEntry struct {
	fenceKey
	highest   Token
	heapIndex int
}

// fenceHeap is a heap of entries, the lowest token on top.
type fenceHeap []*fenceEntry

// Len implements heap.Interface.
func (h fenceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h fenceHeap) Less(i, j int) bool {
	return cmp.Or(h[i].highest.Compare(h[j].highest), cmp.Compare(h[i].holder, h[j].holder)) < 0
}

// Swap implements heap.Interface.
func (h fenceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *fenceHeap) Push(x any) {
	entry := x.(*fenceEntry)
	entry.heapIndex = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *fenceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// NewFence returns a fence that remembers up to capacity pairs of holder and quota, at least one.
func NewFence(capacity int) *Fence {
	return &Fence{capacity: max(1, capacity), entries: map[fenceKey]*fenceEntry{}}
}

// Admit admits an attempt, or returns StaleTokenError. The zero token, of a floor, is always admitted.
func (f *Fence) Admit(holder, quota string, token Token) error {
	if token == (Token{}) {
		return nil
	}
	key := fenceKey{holder: holder, quota: quota}
	entry := f.entries[key]
	if entry == nil {
		if token.Compare(f.forgotten) <= 0 {
			return StaleTokenError{Holder: holder, Quota: quota, Got: token, Have: f.forgotten}
		}
		f.remember(key, token)
		return nil
	}
	switch order := token.Compare(entry.highest); {
	case order < 0:
		return StaleTokenError{Holder: holder, Quota: quota, Got: token, Have: entry.highest}
	case order > 0:
		entry.highest = token
		heap.Fix(&f.byToken, entry.heapIndex)
	}
	return nil
}

// remember adds an entry, and forgets the one with the lowest token if there is no room.
func (f *Fence) remember(key fenceKey, token Token) {
	if len(f.entries) >= f.capacity {
		lowest := heap.Pop(&f.byToken).(*fenceEntry)
		delete(f.entries, lowest.fenceKey)
		f.forgotten = lowest.highest
	}
	entry := &fenceEntry{fenceKey: key, highest: token}
	f.entries[key] = entry
	heap.Push(&f.byToken, entry)
}
