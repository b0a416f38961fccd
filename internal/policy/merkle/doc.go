// Package merkle holds content as a canonical Merkle radix tree (Merkle, 1987), so that a change costs only what
// changed: to make, to send, and to apply.
//
// # The tree
//
// Content is a set of items, each a value under a key. The position of an item is the SHA-256 of its key, read digit by
// digit; the first digits are those of the key's group, so that items that change together lie together. A subtree is a
// leaf if its items come to MaxLeafBytes at most, or if it has one item. Any other subtree is a node with up to 16
// children. Each leaf and each node is encoded as a chunk that is named by its SHA-256, and a node's chunk holds the
// hashes of its children.
//
// So the shape follows from the content alone, in whatever order it was written, and one content has one root hash.
//
// A value that is too long for a leaf is split into segments at places that its own bytes give (content-defined
// chunking: Muthitacharoen, Chen and Mazières, 2001). Segments are chunks of their own, and lists of their hashes are
// too. No chunk is longer than MaxChunkBytes.
//
// # Use
//
// A Tree never changes, so any number of goroutines may use it. Tree.With gives a new version that shares with the one
// before all that is the same. Tree.ChunksNotIn gives what somebody lacks who has another version, and an Assembly puts
// a version together from chunks that arrive in any order from anybody: it accepts only what it is missing and what can
// stand in its place. The package is pure: no I/O, no goroutine, no clock. The design is in docs/capacity-pieces.md.
package merkle
