package merkle

import (
	"bytes"
	"cmp"
	"iter"
	"slices"
	"sync"
)

// Size limits, in bytes.
const (
	MaxChunkBytes  = 16 << 10 // maximum length of a chunk
	MaxLeafBytes   = 512      // maximum total of the encoded items of a leaf, unless it has a single item
	MaxKeyBytes    = 4 << 10  // maximum length of a key
	MaxValueBytes  = 16 << 20 // maximum length of a value
	maxInlineBytes = 2 << 10  // maximum length of a value in a leaf; a longer value is segmented
)

// quotedKeyBytes is how many bytes of a key that is too long are quoted in the error.
const quotedKeyBytes = 64

// Tree is one version of the content. It is immutable; any number of goroutines may use it.
type Tree struct {
	top *node

	once  sync.Once
	index map[Hash][]byte // all chunks by hash, collected by the first call of Chunk
}

// emptyLeaf is the top node of an empty tree.
var emptyLeaf = newLeaf(nil)

// newTree returns a tree with a top node; nil gives an empty tree.
func newTree(top *node) *Tree {
	if top == nil {
		top = emptyLeaf
	}
	return &Tree{top: top}
}

// Build returns the tree that contains the given items, which may be in any order. It returns a TooLongError
// if a key or value is too long, or a DuplicateKeyError if a key occurs twice.
func Build(items []Item) (*Tree, error) { return newTree(nil).With(items, nil) }

// With returns the tree with items set and keys removed. Keys that do not exist may be removed. The result equals the
// tree that Build returns for the changed content; the cost depends on the size of the change. With returns a
// TooLongError if a key or value is too long, or a DuplicateKeyError if a key occurs twice.
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

// changes returns the arguments of With as changes, ordered by position.
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
				it.segmented = old.segmented // keeps only one copy of the value in memory
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

// Root returns the root hash, which identifies the content.
func (t *Tree) Root() Hash { return t.top.hash }

// Len returns the number of items.
func (t *Tree) Len() int { return t.top.count }

// Size returns the number of bytes of all chunks. A segment that occurs in several places is counted in each.
func (t *Tree) Size() int { return t.top.size }

// Get returns the value of a key, and false if there is none. The caller must not modify the value.
func (t *Tree) Get(key string) ([]byte, bool) {
	i := t.find(key)
	if i == nil {
		return nil, false
	}
	return i.fullValue(), true
}

// find returns the item of a key, or nil. A nil tree has no items.
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

// Chunks yields all chunks with their hashes, each once and after a chunk that refers to it.
func (t *Tree) Chunks() iter.Seq2[Hash, []byte] { return t.ChunksNotIn(nil) }

// Chunk returns the chunk with a hash, and false if the tree has none. The first call on a tree indexes all its chunks.
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
