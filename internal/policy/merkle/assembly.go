package merkle

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"math/bits"
	"slices"
)

// Assembly puts content together from pieces, as one who fetches them by name does. It takes a piece only if it is wanted, has
// the hash that it is wanted by, and can stand where it is wanted. What is there in a tree at hand is not wanted. One goroutine
// at a time may use it.
type Assembly struct {
	root      Hash
	existing  *Tree
	top       *subtree
	wanted    map[Hash][]slot
	order     []Hash          // of wanted, oldest first; those that came are still in it
	chunks    map[Hash][]byte // that came: one may stand in several places
	done      *Tree
	mutations mutation
}

// mutation is a guard taken out, to see that the tests convict.
type mutation uint8

const (
	skipHashCheck     mutation = 1 << iota // a piece is taken for the oldest that is wanted, whatever its hash
	skipPlaceCheck                         // keys may stand anywhere
	skipShapeCheck                         // leaves and nodes may be of any size
	skipCompleteCheck                      // a tree is given before all is there
)

// subtree is a subtree on its way.
type subtree struct {
	done     *node // from the tree at hand, or put together
	hash     Hash
	children *[fanout]*subtree
	leaf     []incomingItem
	kind     byte // 0: it did not come yet
}

type incomingItem struct {
	item
	have  map[Hash][]byte // chunks and lists of its value, as they come; nil if it stands in the leaf
	named int             // names that its lists hold
}

// slot is where a piece is wanted: a subtree, or a chunk of a value.
type slot struct {
	part     *subtree
	existing *node // the subtree at hand in the same place
	place    Hash  // the digits that lead here, depth of them
	depth    int

	value            *incomingItem
	existingSegments map[Hash][]byte // chunks at hand of the same key
	level            int
}

// NewAssembly begins the content of a root. Has is what is at hand already; nil is nothing.
func NewAssembly(root Hash, has *Tree) *Assembly {
	a := &Assembly{root: root, existing: has, top: &subtree{hash: root}, wanted: map[Hash][]slot{}, chunks: map[Hash][]byte{}}
	s := slot{part: a.top}
	if has != nil {
		s.existing = has.top
	}
	a.want(root, s)
	return a
}

// Missing gives the names of at most so many pieces that are missing, oldest first; which names they hold is known only when they
// come, so that more may be wanted then. None is wanted when all is there.
func (a *Assembly) Missing(most int) []Hash {
	a.order = slices.DeleteFunc(a.order, func(n Hash) bool { return a.wanted[n] == nil })
	return slices.Clone(a.order[:min(max(most, 0), len(a.order))])
}

// want enters a place where a piece belongs, unless it is at hand.
func (a *Assembly) want(n Hash, s slot) {
	if s.value == nil && s.existing != nil && s.existing.hash == n {
		s.part.done = s.existing
		return
	}
	if s.value != nil {
		if _, there := s.value.have[n]; there {
			return
		}
		piece, there := s.existingSegments[n]
		if !there {
			piece, there = a.chunks[n]
		}
		if there && a.chunk(piece, n, s) == "" {
			return
		}
	}
	if a.wanted[n] == nil {
		a.order = append(a.order, n)
	}
	a.wanted[n] = append(a.wanted[n], s)
}

// Add takes a piece that is wanted. The piece is kept, not copied. Errors are WrongPiece and Malformed; neither changes anything.
func (a *Assembly) Add(piece []byte) error {
	if len(piece) == 0 || len(piece) > MaxChunkBytes {
		return UnexpectedChunkError{Bytes: len(piece)}
	}
	n := HashOf(piece)
	if a.mutations&skipHashCheck != 0 && a.wanted[n] == nil {
		if w := a.Missing(1); len(w) > 0 {
			n = w[0]
		}
	}
	slots := a.wanted[n]
	if slots == nil {
		return UnexpectedChunkError{n, len(piece)}
	}
	for i := range slots { // all is looked at before anything is taken
		if why := a.check(piece, &slots[i]); why != "" {
			return MalformedChunkError{n, why}
		}
	}
	delete(a.wanted, n)
	for _, s := range slots {
		if s.value != nil {
			a.chunks[n] = piece
			a.chunk(piece, n, s)
			continue
		}
		a.subtree(piece, s)
	}
	return nil
}

// check says why a piece can't stand in a place; empty if it can.
func (a *Assembly) check(piece []byte, s *slot) string {
	if s.value != nil {
		return s.chunkWrong(piece)
	}
	switch piece[0] {
	case kindLeaf:
		items, ok := decodeLeaf(piece)
		if !ok {
			return "it is no leaf in the one form that leaves have"
		}
		if len(items) == 0 && s.depth > 0 {
			return "an empty leaf below the root"
		}
		size := 0
		var last Hash
		for i := range items {
			at := place(items[i].key)
			if a.mutations&skipPlaceCheck == 0 {
				for d := range s.depth {
					if at.digit(d) != s.place.digit(d) {
						return "a key of another place"
					}
				}
				if i > 0 && bytes.Compare(last[:], at[:]) >= 0 {
					return "keys out of order"
				}
			}
			last = at
			size += items[i].bytes()
		}
		if !isLeaf(len(items), size) && a.mutations&skipShapeCheck == 0 {
			return "a leaf that should be a node"
		}
		return ""
	case kindNode:
		_, names, ok := decodeNode(piece)
		if !ok {
			return "it is no node in the one form that nodes have"
		}
		if s.depth >= maxDepth || len(names) == 0 {
			return "a node deeper than keys can lie"
		}
		return ""
	}
	return "neither leaf nor node"
}

func (s *slot) chunkWrong(piece []byte) string {
	switch piece[0] {
	case kindSegment:
		if len(piece) < 2 || len(piece)-1 > maxSegmentBytes {
			return "a chunk that is empty or too long"
		}
		return ""
	case kindSegmentList:
		names, ok := listHashes(piece)
		switch {
		case !ok:
			return "it is no list in the one form that lists have"
		case s.level >= maxListLevels || s.value.named+len(names) > 2*(s.value.segmented.total/minSegmentBytes+1):
			return "more chunks than the value can have"
		}
		return ""
	}
	return "neither chunk nor list"
}

// subtree puts a piece that was checked into its place.
func (a *Assembly) subtree(piece []byte, s slot) {
	p := s.part
	p.kind = piece[0]
	if p.kind == kindLeaf {
		p.leaf, _ = decodeLeaf(piece)
		for i := range p.leaf {
			it := &p.leaf[i]
			if it.have == nil {
				continue
			}
			inner := slot{value: it}
			if o := a.existing.find(it.key); o != nil && o.segmented != nil {
				if o.equal(&it.item) {
					it.segmented, it.have = o.segmented, nil
					continue
				}
				inner.existingSegments = o.segmented.byHash()
			}
			a.want(it.segmented.root, inner)
		}
		return
	}
	there, names, _ := decodeNode(piece)
	p.children = new([fanout]*subtree)
	for i := range p.children {
		if there>>i&1 == 0 {
			continue
		}
		p.children[i] = &subtree{hash: names[0]}
		inner := slot{part: p.children[i], existing: s.existing.counterpart(i), place: s.place, depth: s.depth + 1}
		inner.place[s.depth/digitsPerByte] |= byte(i) << (digitBits * (digitsPerByte - 1 - s.depth%digitsPerByte))
		a.want(names[0], inner)
		names = names[1:]
	}
}

// chunk puts a chunk or a list into its value; it says why it can't.
func (a *Assembly) chunk(piece []byte, n Hash, s slot) string {
	if why := s.chunkWrong(piece); why != "" {
		return why
	}
	s.value.have[n] = piece
	if piece[0] == kindSegmentList {
		names, _ := listHashes(piece)
		s.value.named += len(names)
		for _, n := range names {
			inner := s
			inner.level++
			a.want(n, inner)
		}
	}
	return ""
}

// Tree gives the content once all is there. Errors are Incomplete, and Malformed if what came together has not the one shape that
// its content has.
func (a *Assembly) Tree() (*Tree, error) {
	if a.done != nil {
		return a.done, nil
	}
	if len(a.wanted) > 0 && a.mutations&skipCompleteCheck == 0 {
		return nil, IncompleteError{a.root, len(a.wanted)}
	}
	top, err := a.join(a.top)
	if err != nil {
		return nil, err
	}
	t := treeOf(top)
	if t.Root() != a.root && a.mutations == 0 { // no other guard hangs on it
		return nil, MalformedChunkError{a.root, "what came together has another root"}
	}
	a.done = t
	return t, nil
}

// join makes a subtree of what came.
func (a *Assembly) join(p *subtree) (*node, error) {
	switch {
	case p == nil || p.done == nil && p.kind == 0:
		return nil, nil
	case p.done != nil:
		return p.done, nil
	case p.kind == kindLeaf:
		items := make([]item, len(p.leaf))
		for i := range p.leaf {
			it := &p.leaf[i]
			if it.have != nil {
				top := it.segmented.root
				value, ok := joinSegments(top, it.segmented.total, it.have)
				if !ok && a.mutations&skipCompleteCheck == 0 {
					return nil, MalformedChunkError{top, "chunks that don't come to their value"}
				}
				if it.segmented = splitValue(value); it.segmented.root != top && a.mutations&(skipShapeCheck|skipCompleteCheck) == 0 {
					return nil, MalformedChunkError{top, "a value that is cut elsewhere than where it says itself"}
				}
			}
			items[i] = it.item
		}
		p.done = newLeaf(items)
		return p.done, nil
	}
	kids := new([fanout]*node)
	for i, k := range p.children {
		var err error
		if kids[i], err = a.join(k); err != nil {
			return nil, err
		}
	}
	n := newNode(kids)
	if isLeaf(n.count, n.bytes) && a.mutations&(skipShapeCheck|skipCompleteCheck) == 0 {
		return nil, MalformedChunkError{p.hash, "a node that should be a leaf"}
	}
	p.done = n
	return n, nil
}

// decodeLeaf reads a leaf; ok is false unless it is written in the one form that it has.
func decodeLeaf(piece []byte) (items []incomingItem, ok bool) {
	rest := piece[1:]
	number := func(most int) int {
		n, size := binary.Uvarint(rest)
		if size <= 0 || n > uint64(most) || uvarintLen(int(n)) != size {
			ok = false
			return 0
		}
		rest = rest[size:]
		return int(n)
	}
	take := func(n int) []byte {
		if n > len(rest) {
			ok = false
			return nil
		}
		out := rest[:n:n]
		rest = rest[n:]
		return out
	}
	for ok = true; ok && len(rest) > 0; {
		var i incomingItem
		i.key = string(take(number(MaxKeyBytes)))
		tag := take(1)
		switch {
		case !ok:
		case tag[0] == valueInline:
			i.value = take(number(maxInlineBytes))
		case tag[0] == valueSegmented:
			total := number(MaxValueBytes)
			top := take(sha256.Size)
			if !ok || total <= maxInlineBytes {
				return nil, false
			}
			i.have = map[Hash][]byte{}
			i.segmented = &segmentedValue{total: total, root: Hash(top)}
		default:
			return nil, false
		}
		items = append(items, i)
	}
	return items, ok
}

// decodeNode reads a node: which there are and their names.
func decodeNode(piece []byte) (there uint16, names []Hash, ok bool) {
	if len(piece) < 3 || (len(piece)-3)%sha256.Size != 0 {
		return 0, nil, false
	}
	there = binary.BigEndian.Uint16(piece[1:])
	for rest := piece[3:]; len(rest) > 0; rest = rest[sha256.Size:] {
		names = append(names, Hash(rest))
	}
	return there, names, bits.OnesCount16(there) == len(names) && int(there)>>fanout == 0
}
