package merkle

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Item is a value under a key. Callers must not modify the value of an Item after they have passed it to this package
// or received it from there.
type Item struct {
	Key   string
	Value []byte
}

// The encodings of an item's value in a leaf.
const (
	valueInline    = 0 // followed by the length and the bytes of the value
	valueSegmented = 1 // followed by the length of the value and the hash of its only segment or topmost list
)

// item is an item as a leaf holds it.
type item struct {
	key       string
	value     []byte          // part of the leaf's chunk; nil if the value is segmented
	segmented *segmentedValue // nil if the value is inline
}

// newItem returns an item for a leaf, with a segmented value if the value is longer than maxInlineBytes.
func newItem(from Item) *item {
	if len(from.Value) > maxInlineBytes {
		return &item{key: from.Key, segmented: splitValue(from.Value)}
	}
	return &item{key: from.Key, value: from.Value}
}

// encodedBytes returns the length of the item's encoding in a leaf.
func (i *item) encodedBytes() int {
	n := uvarintLen(len(i.key)) + len(i.key) + 1
	if i.segmented != nil {
		return n + uvarintLen(i.segmented.total) + sha256.Size
	}
	return n + uvarintLen(len(i.value)) + len(i.value)
}

// uvarintLen returns the length of n as an unsigned varint.
func uvarintLen(n int) int { return len(binary.AppendUvarint(nil, uint64(n))) }

// appendTo appends the encoding of the item to the chunk of a leaf.
func (i *item) appendTo(chunk []byte) []byte {
	chunk = binary.AppendUvarint(chunk, uint64(len(i.key)))
	chunk = append(chunk, i.key...)
	if i.segmented != nil {
		chunk = append(chunk, valueSegmented)
		chunk = binary.AppendUvarint(chunk, uint64(i.segmented.total))
		return append(chunk, i.segmented.root[:]...)
	}
	chunk = append(chunk, valueInline)
	chunk = binary.AppendUvarint(chunk, uint64(len(i.value)))
	return append(chunk, i.value...)
}

// sameValue reports whether two items have equal values.
func (i *item) sameValue(other *item) bool {
	if i.segmented == nil && other.segmented == nil {
		return bytes.Equal(i.value, other.value)
	}
	if i.segmented == nil || other.segmented == nil {
		return false
	}
	return i.segmented.root == other.segmented.root && i.segmented.total == other.segmented.total
}

// fullValue returns the value, joined from its segments if it is segmented.
func (i *item) fullValue() []byte {
	if i.segmented != nil {
		return i.segmented.join()
	}
	return i.value
}
