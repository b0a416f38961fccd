package route

import (
	"hash/maphash"
	"maps"
	"slices"
)

// partEntries is how many entries a part of a sharedMap has, within a factor of two.
const partEntries = 256

// growth is by which factor the number of parts grows.
const growth = 4

// hashSeed is that of all maps in the process.
var hashSeed = maphash.MakeSeed()

// sharedMap is a map of which another version can be made at the cost of what changes. Its entries are divided into
// parts by their hash, and versions share the parts in which they do not differ.
type sharedMap[V any] struct {
	parts  []map[string]V // a power of two of them, or none
	madeBy []*revision    // the revision that made each part
	count  int            // of all entries
}

// revision is the making of one table. It may change the parts that it made; all others are shared.
type revision struct {
	_ byte // revisions are compared by address, so they must not be of size 0
}

// share returns the same entries for another version.
func (s *sharedMap[V]) share() sharedMap[V] {
	return sharedMap[V]{parts: slices.Clone(s.parts), madeBy: slices.Clone(s.madeBy), count: s.count}
}

// partIndex returns the index of a hash's part. There must be parts.
func (s *sharedMap[V]) partIndex(hash uint64) int { return int(hash & uint64(len(s.parts)-1)) }

// index returns the index of a key's part. There must be parts.
func (s *sharedMap[V]) index(key string) int {
	if len(s.parts) == 1 {
		return 0
	}
	return s.partIndex(maphash.String(hashSeed, key))
}

// get returns the value of a key.
func (s *sharedMap[V]) get(key string) (value V, found bool) {
	if s.count > 0 {
		value, found = s.parts[s.index(key)][key]
	}
	return value, found
}

// getBytes returns the value of a key that is no string yet, without an allocation; the zero value if there is none.
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

// ownedPart returns the part of a key, for a revision to change.
func (s *sharedMap[V]) ownedPart(rev *revision, key string) map[string]V {
	if len(s.parts) == 0 {
		s.parts = []map[string]V{{}}
		s.madeBy = []*revision{rev}
	}
	i := s.index(key)
	if s.madeBy[i] != rev {
		part := make(map[string]V, len(s.parts[i])+1)
		maps.Copy(part, s.parts[i])
		s.parts[i] = part
		s.madeBy[i] = rev
	}
	return s.parts[i]
}

// set sets the value of a key, and divides the map into more parts when they have grown too large.
func (s *sharedMap[V]) set(rev *revision, key string, value V) {
	part := s.ownedPart(rev, key)
	before := len(part)
	part[key] = value
	s.count += len(part) - before
	if s.count > 2*partEntries*len(s.parts) {
		s.grow(rev)
	}
}

// grow divides the map into more parts.
func (s *sharedMap[V]) grow(rev *revision) {
	length := growth * len(s.parts)
	wider := sharedMap[V]{parts: make([]map[string]V, length), madeBy: make([]*revision, length), count: s.count}
	for i := range wider.parts {
		wider.parts[i] = map[string]V{}
		wider.madeBy[i] = rev
	}
	for _, part := range s.parts {
		for key, value := range part {
			wider.parts[wider.index(key)][key] = value
		}
	}
	*s = wider
}

// remove removes a key.
func (s *sharedMap[V]) remove(rev *revision, key string) {
	if _, found := s.get(key); found {
		delete(s.ownedPart(rev, key), key)
		s.count--
	}
}
