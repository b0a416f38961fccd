package merkle

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"math/bits"
	"slices"
)

// The kinds of chunks. Each chunk begins with its kind, so that no chunk of one kind has the hash of one of another.
const (
	kindLeaf        = 1 // items in the order of their positions
	kindNode        = 2 // a bitmap of children, two bytes, big endian, the lowest bit for digit 0; then their hashes
	kindSegment     = 3 // a part of a value
	kindSegmentList = 4 // hashes of segments, or of lists, in order
)

// nodeHeaderBytes is the length of the kind and the bitmap at the start of an inner node's chunk.
const nodeHeaderBytes = 3

// node is a leaf or an inner node. It is immutable.
type node struct {
	hash      Hash
	chunk     []byte
	items     []item         // items of a leaf; nil in an inner node
	children  *[fanout]*node // children of an inner node by digit, nil where there is none; nil in a leaf
	count     int            // number of items in the subtree
	itemBytes int            // bytes of the encoded items of the subtree, without their segments
	size      int            // bytes of all chunks of the subtree
}

// isLeafSized reports whether a subtree with count items, which have itemBytes in leaves, is a leaf.
func isLeafSized(count, itemBytes int) bool { return count <= 1 || itemBytes <= MaxLeafBytes }

// newLeaf returns a leaf with items that are ordered by position.
func newLeaf(items []item) *node {
	n := &node{count: len(items), items: slices.Clone(items)}
	for i := range items {
		n.itemBytes += items[i].encodedBytes()
	}
	n.chunk = make([]byte, 1, 1+n.itemBytes)
	n.chunk[0] = kindLeaf
	for i := range n.items {
		it := &n.items[i]
		n.chunk = it.appendTo(n.chunk)
		if it.segmented != nil {
			n.size += it.segmented.size
			continue
		}
		// The value becomes a part of the chunk, so that its bytes are in memory only once.
		end := len(n.chunk)
		it.value = n.chunk[end-len(it.value) : end : end]
	}
	n.size += len(n.chunk)
	n.hash = HashOf(n.chunk)
	return n
}

// newNode returns an inner node with the given children.
func newNode(children *[fanout]*node) *node {
	n := &node{children: children}
	var bitmap uint16
	chunk := make([]byte, nodeHeaderBytes, nodeHeaderBytes+fanout*sha256.Size)
	for digit, child := range children {
		if child == nil {
			continue
		}
		bitmap |= 1 << digit
		chunk = append(chunk, child.hash[:]...)
		n.count += child.count
		n.itemBytes += child.itemBytes
		n.size += child.size
	}
	chunk[0] = kindNode
	binary.BigEndian.PutUint16(chunk[1:], bitmap)
	n.chunk = slices.Clip(chunk)
	n.size += len(n.chunk)
	n.hash = HashOf(n.chunk)
	return n
}

// decodeNode returns the bitmap of an inner node's children and their hashes, and false if the chunk is malformed.
func decodeNode(chunk []byte) (uint16, []Hash, bool) {
	if len(chunk) < nodeHeaderBytes || (len(chunk)-nodeHeaderBytes)%sha256.Size != 0 {
		return 0, nil, false
	}
	bitmap := binary.BigEndian.Uint16(chunk[1:])
	var hashes []Hash
	for rest := chunk[nodeHeaderBytes:]; len(rest) > 0; rest = rest[sha256.Size:] {
		hashes = append(hashes, Hash(rest))
	}
	return bitmap, hashes, bits.OnesCount16(bitmap) == len(hashes)
}

// each yields all items of the subtree in order until yield returns false. It returns false if yield did. A nil subtree
// has no items.
func (n *node) each(yield func(*item) bool) bool {
	if n == nil {
		return true
	}
	for i := range n.items {
		if !yield(&n.items[i]) {
			return false
		}
	}
	if n.children == nil {
		return true
	}
	for _, child := range n.children {
		if !child.each(yield) {
			return false
		}
	}
	return true
}

// child returns the child of an inner node for a digit, or nil. For a leaf it returns the leaf itself, because items of
// a leaf may be in a deeper leaf in another version of the tree.
func (n *node) child(digit int) *node {
	if n == nil || n.children == nil {
		return n
	}
	return n.children[digit]
}

// change sets the item at a position, or removes it if item is nil.
type change struct {
	position Hash
	item     *item
}

func (c change) removes() bool { return c.item == nil }

// buildSubtree returns the subtree at a depth that has the items of changes, which are ordered by position and remove
// no item. It returns nil if there are none.
func buildSubtree(changes []change, depth int) *node {
	if len(changes) == 0 {
		return nil
	}
	itemBytes := 0
	for i := range changes {
		itemBytes += changes[i].item.encodedBytes()
	}
	if isLeafSized(len(changes), itemBytes) {
		items := make([]item, len(changes))
		for i := range changes {
			items[i] = *changes[i].item
		}
		return newLeaf(items)
	}
	children := new([fanout]*node)
	for part := range splitByDigit(changes, depth) {
		children[part[0].position.digit(depth)] = buildSubtree(part, depth+1)
	}
	return newNode(children)
}

// splitByDigit yields the parts of ordered changes whose positions have the same digit at a depth.
func splitByDigit(changes []change, depth int) iter.Seq[[]change] {
	return func(yield func([]change) bool) {
		for len(changes) > 0 {
			digit := changes[0].position.digit(depth)
			end := 1
			for end < len(changes) && changes[end].position.digit(depth) == digit {
				end++
			}
			if !yield(changes[:end]) {
				return
			}
			changes = changes[end:]
		}
	}
}

// apply returns the subtree at a depth after changes, which are ordered by position. It returns n itself if they change
// nothing, and nil if no item is left.
func (n *node) apply(changes []change, depth int) *node {
	switch {
	case len(changes) == 0:
		return n
	case n == nil:
		return buildSubtree(slices.DeleteFunc(slices.Clone(changes), change.removes), depth)
	case n.children == nil:
		return n.applyToLeaf(changes, depth)
	}
	children := *n.children
	changed := false
	for part := range splitByDigit(changes, depth) {
		digit := part[0].position.digit(depth)
		children[digit] = n.children[digit].apply(part, depth+1)
		changed = changed || children[digit] != n.children[digit]
	}
	if !changed {
		return n
	}
	return joinChildren(&children)
}

// applyToLeaf returns the subtree that replaces a leaf after changes, which are ordered by position. It returns n
// itself if they change nothing, and nil if no item is left.
func (n *node) applyToLeaf(changes []change, depth int) *node {
	var merged []change
	for i := range n.items {
		position := positionOf(n.items[i].key)
		for len(changes) > 0 && bytes.Compare(changes[0].position[:], position[:]) < 0 {
			merged = append(merged, changes[0])
			changes = changes[1:]
		}
		if len(changes) > 0 && changes[0].position == position {
			merged = append(merged, changes[0])
			changes = changes[1:]
			continue
		}
		merged = append(merged, change{position, &n.items[i]})
	}
	merged = append(merged, changes...)
	result := buildSubtree(slices.DeleteFunc(merged, change.removes), depth)
	if result != nil && result.hash == n.hash {
		return n
	}
	return result
}

// joinChildren returns the subtree with the given children. Depending on the number and size of their items, it is nil,
// a leaf with all items, or an inner node.
func joinChildren(children *[fanout]*node) *node {
	count := 0
	itemBytes := 0
	for _, child := range children {
		if child != nil {
			count += child.count
			itemBytes += child.itemBytes
		}
	}
	switch {
	case count == 0:
		return nil
	case !isLeafSized(count, itemBytes):
		return newNode(children)
	}
	var items []item
	for _, child := range children {
		child.each(func(i *item) bool {
			items = append(items, *i)
			return true
		})
	}
	return newLeaf(items)
}
