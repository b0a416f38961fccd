package route

import (
	"hash/maphash"
	"maps"
	"slices"
)

// targetPartEntries is the mean number of entries per part of a sharedMap, within a factor of two, once it has several
// parts.
const targetPartEntries = 256

// growthFactor is the factor by which the number of parts grows.
const growthFactor = 4

// hashSeed is the hash seed of all sharedMaps in the process.
var hashSeed = maphash.MakeSeed()

// sharedMap is a copy-on-write map. Its entries are divided into parts by the hashes of their keys. A copy shares all
// parts with the original until it changes them, so a changed copy costs only the parts that change.
type sharedMap[V any] struct {
	parts     []map[string]V // their number is a power of two, or 0
	createdBy []*revision    // by part: the revision that created it
	count     int            // number of entries in all parts
}

// revision identifies the construction of one table. Code that runs for a revision may change the parts that this
// revision created; all other parts may be shared with other tables.
type revision struct {
	_ byte // revisions are compared by address, and variables of size 0 may have the same address
}

// shallowCopy returns a copy that shares all parts with s.
func (s *sharedMap[V]) shallowCopy() sharedMap[V] {
	return sharedMap[V]{parts: slices.Clone(s.parts), createdBy: slices.Clone(s.createdBy), count: s.count}
}

// partIndex returns the index of the part for a hash. The map must have at least one part.
func (s *sharedMap[V]) partIndex(hash uint64) int { return int(hash & uint64(len(s.parts)-1)) }

// index returns the index of the part for a key. The map must have at least one part.
func (s *sharedMap[V]) index(key string) int {
	if len(s.parts) == 1 {
		return 0
	}
	return s.partIndex(maphash.String(hashSeed, key))
}

// get returns the value of a key, and whether the key is in the map.
func (s *sharedMap[V]) get(key string) (value V, found bool) {
	if s.count > 0 {
		value, found = s.parts[s.index(key)][key]
	}
	return value, found
}

// getBytes returns the value of a key, or the zero value if the key is not in the map. It does not allocate, unlike get
// with the key converted to a string.
func (s *sharedMap[V]) getBytes(key []byte) V {
	switch len(s.parts) {
	case 0:
		var zero V
		return zero
	case 1:
		return s.parts[0][string(key)]
	}
	return s.parts[s.partIndex(maphash.Bytes(hashSeed, key))][string(key)]
}

// writablePart returns the part for a key, which the revision may change. If another revision created the part, it is
// first replaced by a copy.
func (s *sharedMap[V]) writablePart(rev *revision, key string) map[string]V {
	if len(s.parts) == 0 {
		s.parts = []map[string]V{{}}
		s.createdBy = []*revision{rev}
	}
	i := s.index(key)
	if s.createdBy[i] != rev {
		part := make(map[string]V, len(s.parts[i])+1)
		maps.Copy(part, s.parts[i])
		s.parts[i] = part
		s.createdBy[i] = rev
	}
	return s.parts[i]
}

// set sets the value of a key, and divides the map into more parts if they have become too large on average.
func (s *sharedMap[V]) set(rev *revision, key string, value V) {
	part := s.writablePart(rev, key)
	previousLength := len(part)
	part[key] = value
	s.count += len(part) - previousLength
	if s.count > 2*targetPartEntries*len(s.parts) {
		s.grow(rev)
	}
}

// grow multiplies the number of parts by growthFactor and redistributes the entries.
func (s *sharedMap[V]) grow(rev *revision) {
	length := growthFactor * len(s.parts)
	grown := sharedMap[V]{parts: make([]map[string]V, length), createdBy: make([]*revision, length), count: s.count}
	for i := range grown.parts {
		grown.parts[i] = map[string]V{}
		grown.createdBy[i] = rev
	}
	for _, part := range s.parts {
		for key, value := range part {
			grown.parts[grown.index(key)][key] = value
		}
	}
	*s = grown
}

// remove removes a key; it does nothing if the key is not in the map.
func (s *sharedMap[V]) remove(rev *revision, key string) {
	if _, found := s.get(key); found {
		delete(s.writablePart(rev, key), key)
		s.count--
	}
}
