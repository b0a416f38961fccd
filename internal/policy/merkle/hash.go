package merkle

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// The shape of the tree: an inner node at depth d has a child for each value of digit d that the positions of its
// items have. The digits of a position are those of its hexadecimal form, the first of which is digit 0.
const (
	digitBits     = 4
	fanout        = 1 << digitBits
	digitsPerByte = 8 / digitBits
	maxDepth      = sha256.Size * digitsPerByte // number of digits of a position
)

// groupBytes is the number of bytes at the start of a position that come from the hash of the key's group.
const groupBytes = 1

// Hash identifies a chunk: it is the SHA-256 (FIPS 180-4) of its bytes.
type Hash [sha256.Size]byte

// HashOf returns the hash of a chunk.
func HashOf(chunk []byte) Hash { return sha256.Sum256(chunk) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash parses a hash in the form that String returns. It returns an InvalidHashError for any other text.
func ParseHash(s string) (Hash, error) {
	var h Hash
	if len(s) != 2*len(h) {
		return Hash{}, InvalidHashError{s}
	}
	if _, err := hex.Decode(h[:], []byte(s)); err != nil || h.String() != s {
		return Hash{}, InvalidHashError{s}
	}
	return h, nil
}

// positionOf returns the position of a key in the tree: the hash of the key, with its first groupBytes replaced by
// those of the hash of the key's group. The group is the part of the key before its first slash, so items of one group
// share most of their path from the root. A key without a slash has no group.
func positionOf(key string) Hash {
	position := Hash(sha256.Sum256([]byte(key)))
	if group, _, ok := strings.Cut(key, "/"); ok {
		groupHash := sha256.Sum256([]byte(group))
		copy(position[:groupBytes], groupHash[:])
	}
	return position
}

// digit returns digit number depth of h, which is the position of an item: an inner node at that depth selects the
// child by this digit.
func (h *Hash) digit(depth int) int {
	return int(h[depth/digitsPerByte]>>digitShift(depth)) & (fanout - 1)
}

// setDigit sets digit number depth of h, which is a position. The digit must have been zero.
func (h *Hash) setDigit(depth, digit int) {
	h[depth/digitsPerByte] |= byte(digit) << digitShift(depth)
}

// digitShift returns by how many bits digit number depth of a position is shifted to the left within its byte.
func digitShift(depth int) int { return digitBits * (digitsPerByte - 1 - depth%digitsPerByte) }
