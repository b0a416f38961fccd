package route

import "hash/maphash"

// sharedMap is a map of which another version can be made at the cost of what changes: its entries are spread over parts by their
// hash, and versions share the parts that are the same.
type sharedMap[K comparable, V any] struct {
	parts []map[K]V   // a power of two of them, or none
	by    []*revision // which made each
	n     int         // entries
}

// revision is the making of one table. What it made it may change; all else is shared.
type revision struct{ _ byte }

// partEntries is how many entries a part holds about, half or twice as many at times.
const partEntries = 256

var seed = maphash.MakeSeed()

func hashOfString(s string) uint64 { return maphash.String(seed, s) }

// share gives the same entries to another version.
func (s *sharedMap[K, V]) share() sharedMap[K, V] {
	return sharedMap[K, V]{append([]map[K]V(nil), s.parts...), append([]*revision(nil), s.by...), s.n}
}

func (s *sharedMap[K, V]) index(k K, hash func(K) uint64) int {
	if len(s.parts) <= 1 {
		return 0
	}
	return int(hash(k) & uint64(len(s.parts)-1))
}

func (s *sharedMap[K, V]) get(k K, hash func(K) uint64) (v V, there bool) {
	if s.n > 0 {
		v, there = s.parts[s.index(k, hash)][k]
	}
	return v, there
}

// own gives the part of a key, for an edit to change.
func (s *sharedMap[K, V]) own(e *revision, k K, hash func(K) uint64) map[K]V {
	if len(s.parts) == 0 {
		s.parts, s.by = []map[K]V{{}}, []*revision{e}
	}
	i := s.index(k, hash)
	if s.by[i] != e {
		m := make(map[K]V, len(s.parts[i])+1)
		for k, v := range s.parts[i] {
			m[k] = v
		}
		s.parts[i], s.by[i] = m, e
	}
	return s.parts[i]
}

func (s *sharedMap[K, V]) set(e *revision, k K, v V, hash func(K) uint64) {
	m := s.own(e, k, hash)
	before := len(m)
	m[k] = v
	s.n += len(m) - before
	if s.n <= 2*partEntries*len(s.parts) {
		return
	}
	wider := sharedMap[K, V]{parts: make([]map[K]V, 4*len(s.parts)), by: make([]*revision, 4*len(s.parts)), n: s.n}
	for i := range wider.parts {
		wider.parts[i], wider.by[i] = map[K]V{}, e
	}
	for _, m := range s.parts {
		for k, v := range m {
			wider.parts[wider.index(k, hash)][k] = v
		}
	}
	*s = wider
}

func (s *sharedMap[K, V]) remove(e *revision, k K, hash func(K) uint64) {
	if _, there := s.get(k, hash); there {
		delete(s.own(e, k, hash), k)
		s.n--
	}
}
