package merkle

import "iter"

// ChunksNotIn yields the chunks that another tree lacks, by their hashes, each once and after the one that names it.
// An Assembly that starts from the other tree is missing just these, in this order. The other tree may be nil: it
// lacks all. It costs what differs.
func (t *Tree) ChunksNotIn(other *Tree) iter.Seq2[Hash, []byte] {
	return func(yield func(Hash, []byte) bool) {
		w := chunkWalk{other: other, yield: yield, yielded: map[Hash]bool{}}
		w.walk(t.top, other.root())
	}
}

// root returns the top node; nil has none.
func (t *Tree) root() *node {
	if t == nil {
		return nil
	}
	return t.top
}

// chunkWalk yields the chunks of one tree that another lacks.
type chunkWalk struct {
	other   *Tree
	yield   func(Hash, []byte) bool
	yielded map[Hash]bool // segments and lists: one may stand in several places
}

// walk visits a subtree, with the one of the other tree in the same place. It returns false once yield did.
func (w *chunkWalk) walk(n, other *node) bool {
	if n == nil || other != nil && other.hash == n.hash {
		return true
	}
	if !w.yield(n.hash, n.chunk) {
		return false
	}
	for i := range n.items {
		if !w.walkValue(&n.items[i]) {
			return false
		}
	}
	if n.children == nil {
		return true
	}
	for digit, child := range n.children {
		if !w.walk(child, other.child(digit)) {
			return false
		}
	}
	return true
}

// walkValue visits the segments of a value, with those that the other tree has under the same key.
func (w *chunkWalk) walkValue(i *item) bool {
	if i.segmented == nil {
		return true
	}
	var existing map[Hash][]byte
	if old := w.other.find(i.key); old != nil {
		existing = old.segmented.byHash()
	}
	for _, chunk := range i.segmented.chunks {
		if _, ok := existing[chunk.hash]; ok || w.yielded[chunk.hash] {
			continue
		}
		w.yielded[chunk.hash] = true
		if !w.yield(chunk.hash, chunk.data) {
			return false
		}
	}
	return true
}

// Changes returns what makes the tree to of the tree from: items to set and keys to remove, ordered by position. From
// may be nil: an empty tree. It costs what differs.
func Changes(from, to *Tree) (set []Item, removed []string) {
	var d treeDiff
	d.compare(from.root(), to.top)
	return d.set, d.removed
}

// treeDiff collects how two trees differ.
type treeDiff struct {
	set     []Item
	removed []string
}

func (d *treeDiff) compare(from, to *node) {
	switch {
	case from == to || from != nil && to != nil && from.hash == to.hash:
		return
	case from != nil && to != nil && from.children != nil && to.children != nil:
		for digit := range from.children {
			d.compare(from.children[digit], to.children[digit])
		}
		return
	}
	// One of the two is a leaf or missing: their items are compared one by one.
	old := map[string]*item{}
	from.each(func(i *item) bool {
		old[i.key] = i
		return true
	})
	to.each(func(i *item) bool {
		if o := old[i.key]; o == nil || !o.sameValue(i) {
			d.set = append(d.set, Item{i.key, i.fullValue()})
		}
		delete(old, i.key)
		return true
	})
	from.each(func(i *item) bool {
		if old[i.key] != nil {
			d.removed = append(d.removed, i.key)
		}
		return true
	})
}
