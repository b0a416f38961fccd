package merkle

import "slices"

// Assembly builds the tree with a known root hash from chunks. The chunks may come from untrusted senders and in any
// order. Add accepts a chunk only if its hash is missing and its content is valid in each place where it is missing.
// Chunks that the existing tree has in the same place, or in the value of the same key, are never missing. Callers
// serialize all calls on one Assembly.
type Assembly struct {
	root      Hash
	existing  *Tree // nil if there is none
	top       *subtree
	missing   map[Hash][]slot // the places of each missing chunk
	order     []Hash          // missing hashes, oldest first; may still contain hashes whose chunks have arrived
	segments  map[Hash][]byte // segments and lists that have arrived; each may occur in several places
	assembled *Tree           // nil until all chunks have arrived
	mutations mutation
}

// subtree is a part of the tree that is being assembled.
type subtree struct {
	assembled *node // node taken from the existing tree or joined from chunks; nil until it is available
	hash      Hash
	kind      byte              // kind of its chunk; 0 if the chunk has not arrived
	items     []incomingItem    // items of a leaf
	children  *[fanout]*subtree // children of an inner node, by digit
}

// incomingItem is an item of a leaf whose chunk has arrived.
type incomingItem struct {
	item
	segments map[Hash][]byte // arrived segments and lists, by hash; nil if the value is inline or already complete
	listed   int             // number of hashes in the lists that have arrived
}

// slot is a place in which a chunk is missing: a subtree, or a segment or list of a value.
type slot struct {
	subtree  *subtree // nil if the place is in a value
	existing *node    // subtree of the existing tree in the same place, or the leaf that covers it; nil if none
	position Hash     // path to the subtree: its first depth digits are set, the others are 0
	depth    int

	value            *incomingItem   // nil if the place is a subtree
	existingSegments map[Hash][]byte // chunks of the value that the existing tree has under the same key, by hash
	level            int             // number of lists above the place
}

// NewAssembly starts the assembly of the tree with a root hash. Parts that it has in common with an existing tree are
// taken from there; existing may be nil.
func NewAssembly(root Hash, existing *Tree) *Assembly {
	a := &Assembly{
		root:     root,
		existing: existing,
		top:      &subtree{hash: root},
		missing:  map[Hash][]slot{},
		segments: map[Hash][]byte{},
	}
	a.request(root, slot{subtree: a.top, existing: existing.root()})
	return a
}

// Missing returns the hashes of at most limit missing chunks, oldest first. Chunks that arrive may refer to further
// missing ones. It returns none when the tree is complete.
func (a *Assembly) Missing(limit int) []Hash {
	a.order = slices.DeleteFunc(a.order, func(hash Hash) bool { return a.missing[hash] == nil })
	return slices.Clone(a.order[:min(max(limit, 0), len(a.order))])
}

// request adds a place to the missing chunks, or fills it if its chunk is already available.
func (a *Assembly) request(hash Hash, s slot) {
	if s.value == nil && s.existing != nil && s.existing.hash == hash {
		s.subtree.assembled = s.existing
		return
	}
	if s.value != nil && a.fillFromExisting(hash, s) {
		return
	}
	if a.missing[hash] == nil {
		a.order = append(a.order, hash)
	}
	a.missing[hash] = append(a.missing[hash], s)
}

// fillFromExisting fills the place of a segment or list with a chunk that is already available: it has
// arrived for the same value or another one, or the existing tree's value under the same key has it. It returns false
// if there is no such chunk.
func (a *Assembly) fillFromExisting(hash Hash, s slot) bool {
	if _, ok := s.value.segments[hash]; ok {
		return true
	}
	chunk, ok := s.existingSegments[hash]
	if !ok {
		chunk, ok = a.segments[hash]
	}
	return ok && a.addSegment(chunk, hash, s)
}

// Add accepts a missing chunk and retains the slice, which the caller must not modify afterwards. It returns an
// UnexpectedChunkError or a MalformedChunkError for a chunk that it rejects; the Assembly is then unchanged.
func (a *Assembly) Add(chunk []byte) error {
	if len(chunk) == 0 || len(chunk) > MaxChunkBytes {
		return UnexpectedChunkError{Bytes: len(chunk)}
	}
	hash := HashOf(chunk)
	if a.mutated(skipHashCheck) && a.missing[hash] == nil {
		if oldest := a.Missing(1); len(oldest) > 0 {
			hash = oldest[0]
		}
	}
	slots := a.missing[hash]
	if slots == nil {
		return UnexpectedChunkError{hash, len(chunk)}
	}
	for i := range slots { // every place is checked before any is filled
		if fault := a.chunkFault(chunk, &slots[i]); fault != "" {
			return MalformedChunkError{hash, fault}
		}
	}
	delete(a.missing, hash)
	for _, s := range slots {
		if s.value == nil {
			a.addSubtree(chunk, s)
			continue
		}
		a.segments[hash] = chunk
		a.addSegment(chunk, hash, s)
	}
	return nil
}

// addSubtree fills the place of a subtree with a chunk that was checked, and requests the chunks that it refers to.
func (a *Assembly) addSubtree(chunk []byte, s slot) {
	s.subtree.kind = chunk[0]
	if s.subtree.kind == kindLeaf {
		a.addLeaf(chunk, s.subtree)
		return
	}
	bitmap, hashes, _ := decodeNode(chunk)
	s.subtree.children = new([fanout]*subtree)
	for digit := range fanout {
		if bitmap>>digit&1 == 0 {
			continue
		}
		child := &subtree{hash: hashes[0]}
		s.subtree.children[digit] = child
		inner := slot{subtree: child, existing: s.existing.child(digit), position: s.position, depth: s.depth + 1}
		inner.position.setDigit(s.depth, digit)
		a.request(child.hash, inner)
		hashes = hashes[1:]
	}
}

// addLeaf decodes a leaf and requests the chunks of its segmented values, except values that the existing tree has.
func (a *Assembly) addLeaf(chunk []byte, leaf *subtree) {
	leaf.items, _ = decodeLeaf(chunk)
	for i := range leaf.items {
		it := &leaf.items[i]
		if it.segments == nil {
			continue
		}
		s := slot{value: it}
		if old := a.existing.find(it.key); old != nil && old.segmented != nil {
			if old.sameValue(&it.item) {
				it.segmented = old.segmented
				it.segments = nil
				continue
			}
			s.existingSegments = old.segmented.byHash()
		}
		a.request(it.segmented.root, s)
	}
}

// addSegment adds a segment or a list to its value, and requests the chunks that a list refers to. It returns false if
// the chunk is not a valid segment or list of the value. Add checks a chunk for all its places before it fills
// any, but all places of one value share the limit on hashes in lists, so filling one place can exhaust the limit that
// the check of another place relied on.
func (a *Assembly) addSegment(chunk []byte, hash Hash, s slot) bool {
	if s.segmentFault(chunk) != "" {
		return false
	}
	s.value.segments[hash] = chunk
	if chunk[0] != kindSegmentList {
		return true
	}
	hashes, _ := decodeList(chunk)
	s.value.listed += len(hashes)
	for _, h := range hashes {
		inner := s
		inner.level++
		a.request(h, inner)
	}
	return true
}

// Tree returns the tree once all chunks have arrived, and an IncompleteError before. It returns a MalformedChunkError
// if the chunks do not form the canonical tree of their content.
func (a *Assembly) Tree() (*Tree, error) {
	if a.assembled != nil {
		return a.assembled, nil
	}
	if len(a.missing) > 0 && !a.mutated(skipCompleteCheck) {
		return nil, IncompleteError{a.root, len(a.missing)}
	}
	top, err := a.join(a.top)
	if err != nil {
		return nil, err
	}
	t := newTree(top)
	// This check is skipped with any mutation: tests must detect the missing check without its help.
	if t.Root() != a.root && a.mutations == 0 {
		return nil, MalformedChunkError{a.root, "what came together has another root"}
	}
	a.assembled = t
	return t, nil
}

// join returns the node of a subtree, or nil if s is nil. A subtree whose chunk has not arrived also gives nil, which
// occurs only in tests that set skipCompleteCheck.
func (a *Assembly) join(s *subtree) (*node, error) {
	switch {
	case s == nil || s.assembled == nil && s.kind == 0:
		return nil, nil
	case s.assembled != nil:
		return s.assembled, nil
	case s.kind == kindLeaf:
		return a.joinLeaf(s)
	}
	children := new([fanout]*node)
	for digit, child := range s.children {
		var err error
		if children[digit], err = a.join(child); err != nil {
			return nil, err
		}
	}
	n := newNode(children)
	if isLeafSized(n.count, n.itemBytes) && !a.mutated(skipShapeCheck|skipCompleteCheck) {
		return nil, MalformedChunkError{s.hash, "a node that should be a leaf"}
	}
	s.assembled = n
	return n, nil
}

// joinLeaf returns the node of a leaf, and joins the segments of its values.
func (a *Assembly) joinLeaf(s *subtree) (*node, error) {
	items := make([]item, len(s.items))
	for i := range s.items {
		it := &s.items[i]
		if it.segments != nil {
			if err := a.joinValue(it); err != nil {
				return nil, err
			}
		}
		items[i] = it.item
	}
	s.assembled = newLeaf(items)
	return s.assembled, nil
}

// joinValue joins a value from its segments. It returns a MalformedChunkError if the value does not have its total
// length, or is split into other segments when it is split again.
func (a *Assembly) joinValue(it *incomingItem) error {
	root := it.segmented.root
	value, ok := joinSegments(root, it.segmented.total, it.segments)
	if !ok && !a.mutated(skipCompleteCheck) {
		return MalformedChunkError{root, "chunks that don't come to their value"}
	}
	it.segmented = splitValue(value)
	if it.segmented.root != root && !a.mutated(skipShapeCheck|skipCompleteCheck) {
		return MalformedChunkError{root, "a value that is cut elsewhere than where it says itself"}
	}
	return nil
}
