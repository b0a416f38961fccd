package quotalease

import (
	"cmp"
	"container/heap"
)

// Fence checks the fencing tokens of attempts in a server that receives them. It stores the highest token of each
// holder and quota, and rejects an attempt with a lower one: the process that admitted it was paused in the meantime,
// or was replaced by another process. The server reports such an attempt as not processed. (Fencing tokens: Kleppmann,
// "How to do distributed locking", 2016.)
//
// Its memory is bounded: at capacity it evicts the entry with the lowest token. For a holder and quota without an entry
// it rejects every token that is not above the highest evicted one. So it never admits a stale attempt, and an evicted
// holder is admitted again with its next lease.
type Fence struct {
	capacity       int
	entries        map[fenceKey]*fenceEntry
	byToken        fenceHeap
	highestEvicted Token // the highest token that was evicted
}

// fenceKey identifies an entry of a Fence.
type fenceKey struct {
	holder string
	quota  string
}

// fenceEntry is the highest admitted token of a holder and quota.
type fenceEntry struct {
	fenceKey
	highest   Token
	heapIndex int // the position in Fence.byToken
}

// fenceHeap is a min-heap of entries by token.
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

// NewFence returns a fence that stores the tokens of up to capacity pairs of holder and quota, at least one pair.
func NewFence(capacity int) *Fence {
	return &Fence{capacity: max(1, capacity), entries: map[fenceKey]*fenceEntry{}}
}

// Admit returns nil if the attempt is admitted, or StaleTokenError. The zero token marks units of a floor and is always
// admitted.
func (f *Fence) Admit(holder, quota string, token Token) error {
	if token == (Token{}) {
		return nil
	}
	key := fenceKey{holder: holder, quota: quota}
	entry := f.entries[key]
	if entry == nil {
		if token.Compare(f.highestEvicted) <= 0 {
			return StaleTokenError{Holder: holder, Quota: quota, Got: token, Have: f.highestEvicted}
		}
		f.add(key, token)
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

// add adds an entry. At capacity it first evicts the entry with the lowest token.
func (f *Fence) add(key fenceKey, token Token) {
	if len(f.entries) >= f.capacity {
		lowest := heap.Pop(&f.byToken).(*fenceEntry)
		delete(f.entries, lowest.fenceKey)
		f.highestEvicted = lowest.highest
	}
	entry := &fenceEntry{fenceKey: key, highest: token}
	f.entries[key] = entry
	heap.Push(&f.byToken, entry)
}
