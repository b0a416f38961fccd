package merkle

import "iter"

// ChunksNotIn yields the chunks that another tree lacks, with their hashes, each once and after a chunk that refers to
// it. An Assembly that starts from the other tree needs exactly these chunks and accepts them in this order. If other
// is nil, all chunks are yielded. The cost is proportional to the difference of the trees.
func (t *Tree) ChunksNotIn(other *Tree) iter.Seq2[Hash, []byte] {
	return func(yield func(Hash, []byte) bool) {
		w := chunkWalk{other: other, yield: yield, yielded: map[Hash]bool{}}
		w.walk(t.top, other.root())
	}
}

// root returns the top node, or nil for a nil tree.
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
	yielded map[Hash]bool // segments and lists, each of which may occur in several places
}

// walk visits a subtree, together with the subtree of the other tree in the same place. It returns false once yield has
// returned false.
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

// walkValue yields the segments and lists of a value that the other tree's value of the same key lacks. It returns
// false once yield has returned false.
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

// Changes returns the arguments with which from.With gives the tree to: items to set and keys to remove, both ordered
// by position. A nil from is compared as an empty tree. The cost is proportional to the difference of the trees.
func Changes(from, to *Tree) (set []Item, removed []string) {
	var d treeDiff
	d.compare(from.root(), to.top)
	return d.set, d.removed
}

// treeDiff collects the differences of two trees.
type treeDiff struct {
	set     []Item
	removed []string // keys
}

// compare adds the differences of two subtrees in the same place; nil is an empty subtree.
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
	// At least one of the subtrees is a leaf or nil, so their items are compared one by one.
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
