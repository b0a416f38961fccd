package quotalease

import (
	"cmp"
	"container/heap"
)

// Fence is the side of a server that knows tokens: of each holder and budget the highest token that it saw. An attempt
// with an older one was decided by a process that has stopped meanwhile, or by one that another has replaced; it is turned
// away as not processed. (Fencing tokens: Kleppmann, "How to do distributed locking", 2016.)
type Fence struct {
	capacity  int
	known     map[fenceKey]*fenceEntry
	byToken   fenceHeap // lowest token on top
	forgotten Token     // of those forgotten: who is not known must be above
}

type fenceKey struct{ holder, budget string }

type fenceEntry struct {
	fenceKey
	highest   Token
	heapIndex int
}

type fenceHeap []*fenceEntry

func (f fenceHeap) Len() int { return len(f) }
func (f fenceHeap) Less(i, j int) bool {
	return cmp.Or(f[i].highest.Compare(f[j].highest), cmp.Compare(f[i].holder, f[j].holder)) < 0
}
func (f fenceHeap) Swap(i, j int) { f[i], f[j] = f[j], f[i]; f[i].heapIndex, f[j].heapIndex = i, j }
func (f *fenceHeap) Push(x any) {
	x.(*fenceEntry).heapIndex = len(*f)
	*f = append(*f, x.(*fenceEntry))
}
func (f *fenceHeap) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// NewFence makes a fence that remembers so many pairs of holder and budget, one at least. Beyond that it forgets the lowest
// token, and turns away whoever it doesn't know with a token no higher: never one too many passes, and a holder that was
// forgotten passes again with its next grant.
func NewFence(most int) *Fence {
	return &Fence{capacity: max(1, most), known: map[fenceKey]*fenceEntry{}}
}

// Admit takes an attempt, or returns OldToken. The zero token, of a floor, always passes.
func (f *Fence) Admit(holder, budget string, t Token) error {
	if t == (Token{}) {
		return nil
	}
	key := fenceKey{holder, budget}
	one := f.known[key]
	have := f.forgotten
	if one != nil {
		have = one.highest
	}
	switch order := t.Compare(have); {
	case order < 0, one == nil && order == 0:
		return StaleTokenError{holder, budget, t, have}
	case order == 0:
		return nil
	case one != nil:
		one.highest = t
		heap.Fix(&f.byToken, one.heapIndex)
		return nil
	}
	if len(f.known) >= f.capacity {
		lowest := heap.Pop(&f.byToken).(*fenceEntry)
		delete(f.known, lowest.fenceKey)
		f.forgotten = lowest.highest
	}
	one = &fenceEntry{fenceKey: key, highest: t}
	f.known[key] = one
	heap.Push(&f.byToken, one)
	return nil
}
