package merkle

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Item is a value under a key. Callers do not change the bytes of one that they give or get.
type Item struct {
	Key   string
	Value []byte
}

// How the value of an item is written in a leaf: its length and itself, or its length and the hash of its segment or
// list of segments.
const (
	valueInline    = 0
	valueSegmented = 1
)

// item is an item as it stands in a leaf.
type item struct {
	key       string
	value     []byte          // part of the leaf's chunk; nil if the value is segmented
	segmented *segmentedValue // nil if the value is inline
}

// newItem splits a value that is too long for a leaf.
func newItem(from Item) *item {
	if len(from.Value) > maxInlineBytes {
		return &item{key: from.Key, segmented: splitValue(from.Value)}
	}
	return &item{key: from.Key, value: from.Value}
}

// encodedBytes is the length of the item in a leaf.
func (i *item) encodedBytes() int {
	n := uvarintLen(len(i.key)) + len(i.key) + 1
	if i.segmented != nil {
		return n + uvarintLen(i.segmented.total) + sha256.Size
	}
	return n + uvarintLen(len(i.value)) + len(i.value)
}

func uvarintLen(n int) int { return len(binary.AppendUvarint(nil, uint64(n))) }

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

// sameValue compares the values of two items of one key.
func (i *item) sameValue(other *item) bool {
	if i.segmented == nil && other.segmented == nil {
		return bytes.Equal(i.value, other.value)
	}
	if i.segmented == nil || other.segmented == nil {
		return false
	}
	return i.segmented.root == other.segmented.root && i.segmented.total == other.segmented.total
}

func (i *item) fullValue() []byte {
	if i.segmented != nil {
		return i.segmented.join()
	}
	return i.value
}
