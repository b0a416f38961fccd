package merkle

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// The reasons that the functions below return are texts of MalformedChunkError, which operators and other releases see.

// chunkFault returns the reason why a chunk is not valid in a slot, or an empty text if it is valid.
func (a *Assembly) chunkFault(chunk []byte, s *slot) string {
	if s.value != nil {
		return s.segmentFault(chunk)
	}
	switch chunk[0] {
	case kindLeaf:
		return a.leafFault(chunk, s)
	case kindNode:
		_, hashes, ok := decodeNode(chunk)
		if !ok {
			return "it is no node in the one form that nodes have"
		}
		if s.depth >= maxDepth || len(hashes) == 0 {
			return "a node deeper than keys can lie"
		}
		return ""
	}
	return "neither leaf nor node"
}

// leafFault returns the reason why a leaf is not valid in a slot, or an empty text if it is valid.
func (a *Assembly) leafFault(chunk []byte, s *slot) string {
	items, ok := decodeLeaf(chunk)
	if !ok {
		return "it is no leaf in the one form that leaves have"
	}
	if len(items) == 0 && s.depth > 0 {
		return "an empty leaf below the root"
	}
	itemBytes := 0
	var previous Hash
	for i := range items {
		position := positionOf(items[i].key)
		if !a.mutated(skipPlaceCheck) {
			if !samePrefix(&position, &s.position, s.depth) {
				return "a key of another place"
			}
			if i > 0 && bytes.Compare(previous[:], position[:]) >= 0 {
				return "keys out of order"
			}
		}
		previous = position
		itemBytes += items[i].encodedBytes()
	}
	if !isLeafSized(len(items), itemBytes) && !a.mutated(skipShapeCheck) {
		return "a leaf that should be a node"
	}
	return ""
}

// samePrefix reports whether the first count digits of two positions are equal.
func samePrefix(a, b *Hash, count int) bool {
	for depth := range count {
		if a.digit(depth) != b.digit(depth) {
			return false
		}
	}
	return true
}

// segmentFault returns the reason why a chunk is not a valid segment or list of the slot's value, or an empty text. The
// limit on the number of hashes in lists prevents a malformed value from requesting chunks without end.
func (s *slot) segmentFault(chunk []byte) string {
	switch chunk[0] {
	case kindSegment:
		if len(chunk) < 2 || len(chunk)-1 > maxSegmentBytes {
			return "a chunk that is empty or too long"
		}
		return ""
	case kindSegmentList:
		hashes, ok := decodeList(chunk)
		if !ok {
			return "it is no list in the one form that lists have"
		}
		maxListed := 2 * (s.value.segmented.total/minSegmentBytes + 1)
		if s.level >= maxListLevels || s.value.listed+len(hashes) > maxListed {
			return "more chunks than the value can have"
		}
		return ""
	}
	return "neither chunk nor list"
}

// decodeLeaf returns the items of a leaf. It returns false unless the chunk is the canonical encoding of its items.
func decodeLeaf(chunk []byte) ([]incomingItem, bool) {
	r := leafReader{rest: chunk[1:]}
	var items []incomingItem
	for len(r.rest) > 0 {
		items = append(items, r.item())
		if r.malformed {
			return nil, false
		}
	}
	return items, true
}

// leafReader decodes the items of a leaf. Once it has found malformed input, it returns zero values.
type leafReader struct {
	rest      []byte // bytes that are not decoded yet
	malformed bool
}

// item decodes an item. If its value is segmented, it has no segments yet.
func (r *leafReader) item() incomingItem {
	var i incomingItem
	i.key = string(r.bytes(r.length(MaxKeyBytes)))
	encoding := r.bytes(1)
	switch {
	case r.malformed:
	case encoding[0] == valueInline:
		i.value = r.bytes(r.length(maxInlineBytes))
	case encoding[0] == valueSegmented:
		total := r.length(MaxValueBytes)
		root := r.bytes(sha256.Size)
		if r.malformed || total <= maxInlineBytes {
			r.malformed = true
			return i
		}
		i.segments = map[Hash][]byte{}
		i.segmented = &segmentedValue{total: total, root: Hash(root)}
	default:
		r.malformed = true
	}
	return i
}

// length decodes a length, which must not exceed limit and must have its shortest encoding as an unsigned varint.
func (r *leafReader) length(limit int) int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > uint64(limit) || uvarintLen(int(n)) != size {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// bytes returns the next count bytes. They share memory with the chunk.
func (r *leafReader) bytes(count int) []byte {
	if count > len(r.rest) {
		r.malformed = true
		return nil
	}
	taken := r.rest[:count:count]
	r.rest = r.rest[count:]
	return taken
}
