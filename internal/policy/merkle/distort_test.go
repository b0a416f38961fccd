package merkle

import "slices"

// distortion returns a malformed copy of a subtree, as a faulty writer would make it, or nil if this kind of fault
// cannot be made in the subtree. The depth is that of the subtree; the root has depth 0.
type distortion func(d randomContent, n *node, depth int) *node

// distort applies a distortion to a random subtree of n and computes the hashes of the nodes above it again. It returns
// the changed n, or nil if nothing can be distorted.
func (d randomContent) distort(n *node, depth int, apply distortion) *node {
	if n.children == nil || d.IntN(4) == 0 {
		return apply(d, n, depth)
	}
	first := d.IntN(fanout)
	for i := range fanout {
		digit := (first + i) % fanout
		if n.children[digit] == nil {
			continue
		}
		if child := d.distort(n.children[digit], depth+1, apply); child != nil {
			children := *n.children
			children[digit] = child
			return newNode(&children)
		}
	}
	return apply(d, n, depth)
}

// distortions are the tested ways to make a tree malformed, each with the mutation that switches off the only check
// that rejects it; 0 if several checks do. Random tests draw from the sorted names, so another order of the names
// changes what they test for a seed.
var distortions = map[string]struct {
	skippedCheck mutation
	distort      distortion
}{
	"children swapped":               {skipPlaceCheck, swapChildren},
	"a leaf out of order":            {skipPlaceCheck, reverseLeaf},
	"a leaf with a duplicate item":   {skipPlaceCheck, duplicateItem},
	"a node that should be a leaf":   {skipShapeCheck, splitLeaf},
	"a leaf that should be a node":   {skipShapeCheck, mergeNode},
	"a value split elsewhere":        {skipShapeCheck, splitAtFixedLength},
	"a value shorter than its total": {0, lengthenTotal},
	"an empty leaf below the root":   {0, addEmptyLeaf},
}

// swapChildren swaps two random children of an inner node.
func swapChildren(d randomContent, n *node, _ int) *node {
	if n.children == nil {
		return nil
	}
	i := d.IntN(fanout)
	j := d.IntN(fanout)
	if n.children[i] == n.children[j] {
		return nil
	}
	children := *n.children
	children[i], children[j] = children[j], children[i]
	return newNode(&children)
}

// reverseLeaf reverses the order of a leaf's items.
func reverseLeaf(_ randomContent, n *node, _ int) *node {
	if len(n.items) < 2 {
		return nil
	}
	items := slices.Clone(n.items)
	slices.Reverse(items)
	return newLeaf(items)
}

// duplicateItem replaces a leaf by one that has its first item twice and still has the size of a leaf.
func duplicateItem(_ randomContent, n *node, _ int) *node {
	if len(n.items) == 0 || 2*n.itemBytes > MaxLeafBytes {
		return nil
	}
	return newLeaf([]item{n.items[0], n.items[0]})
}

// splitLeaf puts an inner node with a single child above a leaf.
func splitLeaf(_ randomContent, n *node, depth int) *node {
	if len(n.items) == 0 {
		return nil
	}
	first := positionOf(n.items[0].key)
	for i := range n.items {
		if position := positionOf(n.items[i].key); position.digit(depth) != first.digit(depth) {
			return nil
		}
	}
	children := new([fanout]*node)
	children[first.digit(depth)] = n
	return newNode(children)
}

// mergeNode makes one leaf of all items of an inner node. The leaf still fits in a chunk.
func mergeNode(_ randomContent, n *node, _ int) *node {
	if n.children == nil || n.itemBytes > MaxChunkBytes/2 {
		return nil
	}
	var items []item
	n.each(func(i *item) bool {
		items = append(items, *i)
		return true
	})
	return newLeaf(items)
}

// firstSegmented returns the index of the first item of a leaf with a segmented value, or -1.
func firstSegmented(n *node) int {
	return slices.IndexFunc(n.items, func(i item) bool { return i.segmented != nil })
}

// withSegments returns a copy of a leaf in which one item has another segmented value.
func withSegments(n *node, index int, value *segmentedValue) *node {
	items := slices.Clone(n.items)
	items[index].segmented = value
	return newLeaf(items)
}

// splitAtFixedLength splits a value into segments of a fixed length, under a single list.
func splitAtFixedLength(_ randomContent, n *node, _ int) *node {
	const segmentBytes = 999
	index := firstSegmented(n)
	if index < 0 {
		return nil
	}
	old := n.items[index].segmented
	var hashes []byte
	value := &segmentedValue{total: old.total, chunks: []hashedChunk{{}}}
	for rest := old.join(); len(rest) > 0; {
		chunk := newChunk(kindSegment, rest[:min(len(rest), segmentBytes)])
		rest = rest[len(chunk.data)-1:]
		hashes = append(hashes, chunk.hash[:]...)
		value.chunks = append(value.chunks, chunk)
	}
	value.chunks[0] = newChunk(kindSegmentList, hashes)
	value.root = value.chunks[0].hash
	return withSegments(n, index, value)
}

// lengthenTotal makes the total of a segmented value one byte longer than the value.
func lengthenTotal(_ randomContent, n *node, _ int) *node {
	index := firstSegmented(n)
	if index < 0 {
		return nil
	}
	value := *n.items[index].segmented
	value.total++
	return withSegments(n, index, &value)
}

// addEmptyLeaf adds an empty leaf as a child of an inner node, at the first digit that has none.
func addEmptyLeaf(_ randomContent, n *node, _ int) *node {
	if n.children == nil {
		return nil
	}
	children := *n.children
	for digit, child := range children {
		if child == nil {
			children[digit] = emptyLeaf
			return newNode(&children)
		}
	}
	return nil
}
