// Package merkle holds content as a canonical Merkle radix tree (Merkle, 1987), so that the cost to make, send and
// apply a change depends only on the size of the change.
//
// # The tree
//
// Content is a set of items, each a value under a key. The position of an item is the SHA-256 of its key, read as
// hexadecimal digits; the first digits are taken from the hash of the key's group, so that items that change together
// share most of their path. A subtree is a leaf if its items have at most MaxLeafBytes, or if it has one item. Any
// other subtree is an inner node with up to 16 children. Each leaf and each inner node is encoded as a chunk that is
// identified by its SHA-256, and the chunk of an inner node holds the hashes of its children.
//
// The shape of the tree therefore depends only on the content, not on the order in which it was written, and equal
// contents have equal root hashes.
//
// A value that is too long for a leaf is split into segments at boundaries that depend on its bytes (content-defined
// chunking: Muthitacharoen, Chen and Mazières, 2001). Each segment is a chunk, and so is each list of their hashes. No
// chunk is longer than MaxChunkBytes.
//
// # Use
//
// A Tree never changes, so any number of goroutines may use it. Tree.With returns a new version that shares all
// unchanged parts with the version before. Tree.ChunksNotIn yields the chunks that a holder of another version lacks.
// An Assembly builds a version from chunks that arrive in any order and from untrusted senders: it accepts only chunks
// that it is missing and that are valid in their place. The package does no I/O, starts no goroutine and reads no
// clock. The design is in docs/capacity-pieces.md.
package merkle
