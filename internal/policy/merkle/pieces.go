// Package merkle holds content as a canonical Merkle radix tree, so that a change costs what changed: to make, to send and to
// take up. It is pure: no I/O, no goroutine, no clock.
//
// Content is a set of items, each a value under a key. An item's place is given by SHA-256 of its key, digit by digit, where the first
// digits are those of its group. A subtree whose items come to LeafBytes at most, or that has one item, is a leaf; any other is a node
// with up to fanOut children, named by SHA-256 of their pieces (Merkle, 1987). So the shape follows from the content alone, whatever way it came about, and one
// content has one root. Values too long for a leaf are cut into chunks where the content itself says (as in LBFS, Muthitacharoen,
// Chen and Mazières, 2001), which are named in the same way. No piece is over MostPiece.
//
// Trees never change. A new version shares with the one before all that did not change. The design: docs/capacity-pieces.md.
package merkle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"iter"
	"slices"
	"strings"
	"sync"
)

// Bounds, in bytes.
const (
	MaxChunkBytes  = 16 << 10 // a piece is never longer
	MaxLeafBytes   = 512      // items that come to no more stand together in a leaf
	MaxKeyBytes    = 4 << 10  // a key is never longer
	MaxValueBytes  = 16 << 20 // a value is never longer
	maxInlineBytes = 2 << 10  // longer values stand in chunks of their own
)

// The kinds of pieces. Each piece begins with its kind, so that no piece of one kind hashes as one of another.
const (
	kindLeaf        = 1 // items in the order of their places
	kindNode        = 2 // which children there are, two bytes, big endian, the lowest bit for digit 0; then their names
	kindSegment     = 3 // a part of a value
	kindSegmentList = 4 // names of chunks, or of lists, in order
)

// How an item's value stands in a leaf: its length and itself, or its length and the name of its chunk or list.
const (
	valueInline    = 0
	valueSegmented = 1
)

// The tree's shape: each node looks at so many bits of a place, a byte being cut into whole digits.
const (
	digitBits     = 4
	fanout        = 1 << digitBits
	digitsPerByte = 8 / digitBits
	maxDepth      = sha256.Size * digitsPerByte // digits of a place
)

// Hash names a piece: SHA-256 of it (FIPS 180-4).
type Hash [sha256.Size]byte

// HashOf names a piece.
func HashOf(piece []byte) Hash { return sha256.Sum256(piece) }

// String gives the name in hexadecimal.
func (n Hash) String() string { return hex.EncodeToString(n[:]) }

// ParseHash reads what String gives. The error is WrongName.
func ParseHash(s string) (Hash, error) {
	var n Hash
	if len(s) != 2*len(n) {
		return Hash{}, InvalidHashError{s}
	}
	if _, err := hex.Decode(n[:], []byte(s)); err != nil || n.String() != s {
		return Hash{}, InvalidHashError{s}
	}
	return n, nil
}

// Item is a value under a key. Whoever gives or gets one doesn't change its bytes.
type Item struct {
	Key   string
	Value []byte
}

// item is one as it stands in a leaf.
type item struct {
	key       string
	value     []byte          // part of the leaf's piece, if it has no chunks
	segmented *segmentedValue // the chunks of its value; nil if it stands in the leaf
}

// groupBytes is how much of a place comes from its key's group.
const groupBytes = 1

// place is where a key belongs: what its group hashes to, then what it hashes to itself. Its group is what stands before the first
// slash, or all of it: what changes together lies together, and has most of its way from the root in common.
func place(key string) Hash {
	n := Hash(sha256.Sum256([]byte(key)))
	if group, _, ok := strings.Cut(key, "/"); ok {
		g := sha256.Sum256([]byte(group))
		copy(n[:groupBytes], g[:])
	}
	return n
}

// digit is the part of a place that a node at a depth looks at.
func (n *Hash) digit(depth int) int {
	return int(n[depth/digitsPerByte]>>(digitBits*(digitsPerByte-1-depth%digitsPerByte))) & (fanout - 1)
}

// bytes is what an item comes to in a leaf.
func (i *item) bytes() int {
	n := uvarintLen(len(i.key)) + len(i.key) + 1
	if i.segmented != nil {
		return n + uvarintLen(i.segmented.total) + sha256.Size
	}
	return n + uvarintLen(len(i.value)) + len(i.value)
}

func uvarintLen(n int) int { return len(binary.AppendUvarint(nil, uint64(n))) }

func (i *item) append(to []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(i.key)))
	to = append(to, i.key...)
	if i.segmented != nil {
		to = append(to, valueSegmented)
		to = binary.AppendUvarint(to, uint64(i.segmented.total))
		return append(to, i.segmented.root[:]...)
	}
	to = append(to, valueInline)
	to = binary.AppendUvarint(to, uint64(len(i.value)))
	return append(to, i.value...)
}

func (i *item) equal(o *item) bool {
	if i.segmented != nil || o.segmented != nil {
		return i.segmented != nil && o.segmented != nil && i.segmented.root == o.segmented.root && i.segmented.total == o.segmented.total
	}
	return bytes.Equal(i.value, o.value)
}

func (i *item) whole() []byte {
	if i.segmented != nil {
		return i.segmented.value()
	}
	return i.value
}

// node is a subtree. Nothing changes it.
type node struct {
	hash     Hash
	chunk    []byte
	items    []item         // of a leaf
	children *[fanout]*node // of a node; nil where there is none
	count    int            // items below
	bytes    int            // that they come to in leaves
	size     int            // of all pieces below and this one
}

// Tree is content in pieces. Any number of goroutines may use it.
type Tree struct {
	top *node

	once  sync.Once
	index map[Hash][]byte
}

// newLeaf makes a leaf of items in order.
func newLeaf(items []item) *node {
	n := &node{count: len(items)}
	for i := range items {
		n.bytes += items[i].bytes()
	}
	n.chunk = make([]byte, 1, 1+n.bytes)
	n.chunk[0] = kindLeaf
	n.items = slices.Clone(items)
	for i := range n.items {
		it := &n.items[i]
		n.chunk = it.append(n.chunk)
		if it.segmented != nil {
			n.size += it.segmented.size
		} else {
			end := len(n.chunk)
			it.value = n.chunk[end-len(it.value) : end : end] // held once
		}
	}
	n.size += len(n.chunk)
	n.hash = HashOf(n.chunk)
	return n
}

// newNode makes a node of children.
func newNode(kids *[fanout]*node) *node {
	n := &node{children: kids}
	var there uint16
	names := make([]byte, 3, 3+fanout*sha256.Size)
	for i, k := range kids {
		if k != nil {
			there |= 1 << i
			names = append(names, k.hash[:]...)
			n.count, n.bytes, n.size = n.count+k.count, n.bytes+k.bytes, n.size+k.size
		}
	}
	names[0] = kindNode
	binary.BigEndian.PutUint16(names[1:], there)
	n.chunk = slices.Clip(names)
	n.size += len(n.chunk)
	n.hash = HashOf(n.chunk)
	return n
}

// isLeaf tells whether so many items that come to so many bytes stand in a leaf.
func isLeaf(count, size int) bool { return count <= 1 || size <= MaxLeafBytes }

// change is what becomes of a key: an item, or none.
type change struct {
	at   Hash
	item *item
}

// buildSubtree makes the subtree of items in order, all of which belong below a node at that depth.
func buildSubtree(all []change, depth int) *node {
	if len(all) == 0 {
		return nil
	}
	size := 0
	for i := range all {
		size += all[i].item.bytes()
	}
	if isLeaf(len(all), size) {
		items := make([]item, len(all))
		for i := range all {
			items[i] = *all[i].item
		}
		return newLeaf(items)
	}
	kids := new([fanout]*node)
	for part := range parts(all, depth) {
		kids[part[0].at.digit(depth)] = buildSubtree(part, depth+1)
	}
	return newNode(kids)
}

// parts cuts changes in order by the digit at a depth.
func parts(all []change, depth int) iter.Seq[[]change] {
	return func(yield func([]change) bool) {
		for len(all) > 0 {
			end := 1
			for end < len(all) && all[end].at.digit(depth) == all[0].at.digit(depth) {
				end++
			}
			if !yield(all[:end]) {
				return
			}
			all = all[end:]
		}
	}
}

// edit gives a subtree with changes, in order, or itself if they change nothing.
func (n *node) edit(changes []change, depth int) *node {
	switch {
	case len(changes) == 0:
		return n
	case n == nil:
		return buildSubtree(slices.DeleteFunc(slices.Clone(changes), func(c change) bool { return c.item == nil }), depth)
	case n.children == nil:
		var all []change
		for i := range n.items {
			at := place(n.items[i].key)
			for len(changes) > 0 && bytes.Compare(changes[0].at[:], at[:]) < 0 {
				all, changes = append(all, changes[0]), changes[1:]
			}
			if len(changes) > 0 && changes[0].at == at {
				all, changes = append(all, changes[0]), changes[1:]
			} else {
				all = append(all, change{at, &n.items[i]})
			}
		}
		all = append(all, changes...)
		out := buildSubtree(slices.DeleteFunc(all, func(c change) bool { return c.item == nil }), depth)
		if out != nil && out.hash == n.hash {
			return n
		}
		return out
	}
	kids := *n.children
	same, count, size := true, 0, 0
	for part := range parts(changes, depth) {
		k := part[0].at.digit(depth)
		kids[k] = n.children[k].edit(part, depth+1)
		same = same && kids[k] == n.children[k]
	}
	if same {
		return n
	}
	for _, k := range kids {
		if k != nil {
			count, size = count+k.count, size+k.bytes
		}
	}
	switch {
	case count == 0:
		return nil
	case isLeaf(count, size):
		var items []item
		for _, k := range kids {
			k.each(func(i *item) bool { items = append(items, *i); return true })
		}
		return newLeaf(items)
	}
	return newNode(&kids)
}

// each goes through all items below in order, until yield says no.
func (n *node) each(yield func(*item) bool) bool {
	if n == nil {
		return true
	}
	for i := range n.items {
		if !yield(&n.items[i]) {
			return false
		}
	}
	if n.children != nil {
		for _, k := range n.children {
			if !k.each(yield) {
				return false
			}
		}
	}
	return true
}

// find gives the item of a key, or nil.
func (t *Tree) find(key string) *item {
	if t == nil {
		return nil
	}
	n, at := t.top, place(key)
	for depth := 0; n != nil && n.children != nil; depth++ {
		n = n.children[at.digit(depth)]
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

var emptyLeaf = newLeaf(nil)

func treeOf(top *node) *Tree {
	if top == nil {
		top = emptyLeaf
	}
	return &Tree{top: top}
}

// Build makes a tree of items, in any order. Errors are TooLong and Twice.
func Build(items []Item) (*Tree, error) { return treeOf(nil).With(items, nil) }

// With gives the tree with items set, and without those removed; what is not there need not be removed. It costs what changes,
// and gives what Build gives of the outcome. Errors are TooLong, and Twice if a key is named twice.
func (t *Tree) With(set []Item, removed []string) (*Tree, error) {
	changes := make([]change, 0, len(set)+len(removed))
	for _, i := range set {
		if len(i.Key) > MaxKeyBytes {
			return nil, TooLongError{"key", i.Key[:64] + "...", len(i.Key), MaxKeyBytes}
		}
		if len(i.Value) > MaxValueBytes {
			return nil, TooLongError{"value", i.Key, len(i.Value), MaxValueBytes}
		}
		it := &item{key: i.Key, value: i.Value}
		if len(i.Value) > maxInlineBytes {
			it.value, it.segmented = nil, splitValue(i.Value)
			if old := t.find(i.Key); old != nil && old.equal(it) {
				it.segmented = old.segmented
			}
		}
		changes = append(changes, change{place(i.Key), it})
	}
	for _, key := range removed {
		changes = append(changes, change{place(key), nil})
	}
	slices.SortFunc(changes, func(a, b change) int { return bytes.Compare(a.at[:], b.at[:]) })
	for i := 1; i < len(changes); i++ {
		if changes[i].at == changes[i-1].at {
			return nil, DuplicateKeyError{cmp.Or(changes[i].item, changes[i-1].item, &item{}).key}
		}
	}
	top := t.top
	if top.count == 0 {
		top = nil
	}
	top = top.edit(changes, 0)
	if top == t.top {
		return t, nil
	}
	return treeOf(top), nil
}

// Root names the whole content.
func (t *Tree) Root() Hash { return t.top.hash }

// Len is how many items there are.
func (t *Tree) Len() int { return t.top.count }

// Size is how many bytes all pieces come to.
func (t *Tree) Size() int { return t.top.size }

// Get gives the value of a key.
func (t *Tree) Get(key string) ([]byte, bool) {
	i := t.find(key)
	if i == nil {
		return nil, false
	}
	return i.whole(), true
}

// Items gives all items, in the order of their places.
func (t *Tree) Items() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		t.top.each(func(i *item) bool { return yield(Item{i.key, i.whole()}) })
	}
}

// Chunks gives all pieces with their names, each once and after the one that names it.
func (t *Tree) Chunks() iter.Seq2[Hash, []byte] { return t.ChunksNotIn(nil) }

// Chunk gives a piece by its name. The first call on a tree makes an index of all its pieces.
func (t *Tree) Chunk(n Hash) ([]byte, bool) {
	t.once.Do(func() {
		t.index = map[Hash][]byte{}
		for name, piece := range t.Chunks() {
			t.index[name] = piece
		}
	})
	piece, there := t.index[n]
	return piece, there
}

// counterpart is what a tree that is there already has below the same digit: of a leaf itself, for what stood in a leaf may stand
// in one further down now.
func (n *node) counterpart(digit int) *node {
	if n == nil || n.children == nil {
		return n
	}
	return n.children[digit]
}

// ChunksNotIn gives the pieces that one who has another tree lacks, each after the one that names it; nil is a tree with nothing. An
// Assembly on that tree wants just these, in this order. It costs what differs.
func (t *Tree) ChunksNotIn(has *Tree) iter.Seq2[Hash, []byte] {
	return func(yield func(Hash, []byte) bool) {
		told := map[Hash]bool{} // chunks: one may stand in several places
		var walk func(n, h *node) bool
		walk = func(n, h *node) bool {
			if n == nil || h != nil && h.hash == n.hash {
				return true
			}
			if !yield(n.hash, n.chunk) {
				return false
			}
			for i := range n.items {
				it := &n.items[i]
				if it.segmented == nil {
					continue
				}
				var old map[Hash][]byte
				if o := has.find(it.key); o != nil {
					old = o.segmented.byHash()
				}
				for _, p := range it.segmented.chunks {
					if _, there := old[p.hash]; there || told[p.hash] {
						continue
					}
					told[p.hash] = true
					if !yield(p.hash, p.data) {
						return false
					}
				}
			}
			if n.children != nil {
				for i, k := range n.children {
					if !walk(k, h.counterpart(i)) {
						return false
					}
				}
			}
			return true
		}
		var h *node
		if has != nil {
			h = has.top
		}
		walk(t.top, h)
	}
}

// Changes gives what makes one tree of another: the items to set and the keys to remove, in the tree's order. From nil is from
// nothing. It costs what differs.
func Changes(from, to *Tree) (set []Item, removed []string) {
	var walk func(a, b *node)
	walk = func(a, b *node) {
		switch {
		case a == b || a != nil && b != nil && a.hash == b.hash:
			return
		case a != nil && b != nil && a.children != nil && b.children != nil:
			for i := range a.children {
				walk(a.children[i], b.children[i])
			}
			return
		}
		old := map[string]*item{}
		a.each(func(i *item) bool { old[i.key] = i; return true })
		b.each(func(i *item) bool {
			if o := old[i.key]; o == nil || !o.equal(i) {
				set = append(set, Item{i.key, i.whole()})
			}
			delete(old, i.key)
			return true
		})
		a.each(func(i *item) bool {
			if old[i.key] != nil {
				removed = append(removed, i.key)
			}
			return true
		})
	}
	var a *node
	if from != nil {
		a = from.top
	}
	walk(a, to.top)
	return set, removed
}
