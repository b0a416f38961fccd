package merkle

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// The shape of the tree: each node looks at one digit of a position.
const (
	digitBits     = 4
	fanout        = 1 << digitBits
	digitsPerByte = 8 / digitBits
	maxDepth      = sha256.Size * digitsPerByte // digits of a position
)

// groupBytes is how many bytes of a position come from the key's group.
const groupBytes = 1

// Hash names a chunk: its SHA-256 (FIPS 180-4).
type Hash [sha256.Size]byte

// HashOf returns the hash of a chunk.
func HashOf(chunk []byte) Hash { return sha256.Sum256(chunk) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash reads what String returns. It returns an InvalidHashError for anything else.
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

// positionOf returns where a key belongs in the tree: first the hash of its group, then its own hash. The group is what
// stands before the first slash, so items of one group share most of their path from the root.
func positionOf(key string) Hash {
	position := Hash(sha256.Sum256([]byte(key)))
	if group, _, ok := strings.Cut(key, "/"); ok {
		groupHash := sha256.Sum256([]byte(group))
		copy(position[:groupBytes], groupHash[:])
	}
	return position
}

// digit returns the digit of a position that a node at a depth looks at.
func (h *Hash) digit(depth int) int {
	return int(h[depth/digitsPerByte]>>digitShift(depth)) & (fanout - 1)
}

// setDigit sets a digit that is zero.
func (h *Hash) setDigit(depth, digit int) {
	h[depth/digitsPerByte] |= byte(digit) << digitShift(depth)
}

// digitShift is by how many bits the digit of a depth is shifted within its byte.
func digitShift(depth int) int { return digitBits * (digitsPerByte - 1 - depth%digitsPerByte) }
