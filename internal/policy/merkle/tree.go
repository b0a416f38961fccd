package merkle

import (
	"bytes"
	"cmp"
	"iter"
	"slices"
	"sync"
)

// Bounds, in bytes.
const (
	MaxChunkBytes  = 16 << 10 // a chunk is never longer
	MaxLeafBytes   = 512      // items that come to no more stand together in a leaf
	MaxKeyBytes    = 4 << 10  // a key is never longer
	MaxValueBytes  = 16 << 20 // a value is never longer
	maxInlineBytes = 2 << 10  // a longer value is segmented
)

// quotedKeyBytes is how much of a key that is too long stands in the error.
const quotedKeyBytes = 64

// Tree is one version of some content. It is immutable; any number of goroutines may use it.
type Tree struct {
	top *node

	once  sync.Once
	index map[Hash][]byte // all chunks, made by the first call of Chunk
}

var emptyLeaf = newLeaf(nil)

func newTree(top *node) *Tree {
	if top == nil {
		top = emptyLeaf
	}
	return &Tree{top: top}
}

// Build makes a tree of items in any order. It returns a TooLongError or a DuplicateKeyError.
func Build(items []Item) (*Tree, error) { return newTree(nil).With(items, nil) }

// With returns the tree with items set and keys removed; a key that is not there may be removed. It costs what changes,
// and gives the tree that Build gives for the outcome. It returns a TooLongError, or a DuplicateKeyError if a key is
// given twice.
func (t *Tree) With(set []Item, removed []string) (*Tree, error) {
	changes, err := t.changes(set, removed)
	if err != nil {
		return nil, err
	}
	top := t.top
	if top.count == 0 {
		top = nil
	}
	top = top.apply(changes, 0)
	if top == t.top {
		return t, nil
	}
	return newTree(top), nil
}

// changes returns what With does, ordered by position.
func (t *Tree) changes(set []Item, removed []string) ([]change, error) {
	changes := make([]change, 0, len(set)+len(removed))
	for _, i := range set {
		if len(i.Key) > MaxKeyBytes {
			return nil, TooLongError{"key", i.Key[:quotedKeyBytes] + "...", len(i.Key), MaxKeyBytes}
		}
		if len(i.Value) > MaxValueBytes {
			return nil, TooLongError{"value", i.Key, len(i.Value), MaxValueBytes}
		}
		it := newItem(i)
		if it.segmented != nil {
			if old := t.find(i.Key); old != nil && old.sameValue(it) {
				it.segmented = old.segmented // in memory once
			}
		}
		changes = append(changes, change{positionOf(i.Key), it})
	}
	for _, key := range removed {
		changes = append(changes, change{positionOf(key), nil})
	}
	slices.SortFunc(changes, func(a, b change) int { return bytes.Compare(a.position[:], b.position[:]) })
	for i := 1; i < len(changes); i++ {
		if changes[i].position == changes[i-1].position {
			return nil, DuplicateKeyError{cmp.Or(changes[i].item, changes[i-1].item, &item{}).key}
		}
	}
	return changes, nil
}

// Root returns the hash that names the whole content.
func (t *Tree) Root() Hash { return t.top.hash }

// Len returns the number of items.
func (t *Tree) Len() int { return t.top.count }

// Size returns the bytes of all chunks. A segment that stands in several places is counted for each.
func (t *Tree) Size() int { return t.top.size }

// Get returns the value of a key.
func (t *Tree) Get(key string) ([]byte, bool) {
	i := t.find(key)
	if i == nil {
		return nil, false
	}
	return i.fullValue(), true
}

// find returns the item of a key, or nil. A nil tree has none.
func (t *Tree) find(key string) *item {
	if t == nil {
		return nil
	}
	n := t.top
	position := positionOf(key)
	for depth := 0; n != nil && n.children != nil; depth++ {
		n = n.children[position.digit(depth)]
	}
	if n == nil {
		return nil
	}
	for i := range n.items {
		if n.items[i].key == key {
			return &n.items[i]
		}
	}
	return nil
}

// Items yields all items, ordered by position.
func (t *Tree) Items() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		t.top.each(func(i *item) bool { return yield(Item{i.key, i.fullValue()}) })
	}
}

// Chunks yields all chunks by their hashes, each once and after the one that names it.
func (t *Tree) Chunks() iter.Seq2[Hash, []byte] { return t.ChunksNotIn(nil) }

// Chunk returns a chunk by its hash. The first call on a tree makes an index of all its chunks.
func (t *Tree) Chunk(hash Hash) ([]byte, bool) {
	t.once.Do(func() {
		t.index = map[Hash][]byte{}
		for hash, chunk := range t.Chunks() {
			t.index[hash] = chunk
		}
	})
	chunk, ok := t.index[hash]
	return chunk, ok
}
