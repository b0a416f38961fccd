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
	root   Name
	has    *Tree
	top    *part
	wanted map[Name][]slot
	order  []Name          // of wanted, oldest first; those that came are still in it
	chunks map[Name][]byte // that came: one may stand in several places
	done   *Tree
	flaws  flaw
}

// flaw is a guard taken out, to see that the tests convict.
type flaw uint8

const (
	noHash  flaw = 1 << iota // a piece is taken for the oldest that is wanted, whatever its hash
	noPlace                  // keys may stand anywhere
	noSplit                  // leaves and nodes may be of any size
	noWhole                  // a tree is given before all is there
)

// part is a subtree on its way.
type part struct {
	done *node // from the tree at hand, or put together
	name Name
	kids *[fanOut]*part
	leaf []partItem
	kind byte // 0: it did not come yet
}

type partItem struct {
	item
	have  map[Name][]byte // chunks and lists of its value, as they come; nil if it stands in the leaf
	named int             // names that its lists hold
}

// slot is where a piece is wanted: a subtree, or a chunk of a value.
type slot struct {
	part  *part
	has   *node // the subtree at hand in the same place
	place Name  // the digits that lead here, depth of them
	depth int

	value *partItem
	old   map[Name][]byte // chunks at hand of the same key
	level int
}

// Assemble begins the content of a root. Has is what is at hand already; nil is nothing.
func Assemble(root Name, has *Tree) *Assembly {
	a := &Assembly{root: root, has: has, top: &part{name: root}, wanted: map[Name][]slot{}, chunks: map[Name][]byte{}}
	s := slot{part: a.top}
	if has != nil {
		s.has = has.top
	}
	a.want(root, s)
	return a
}

// Wants gives the names of at most so many pieces that are missing, oldest first; which names they hold is known only when they
// come, so that more may be wanted then. None is wanted when all is there.
func (a *Assembly) Wants(most int) []Name {
	a.order = slices.DeleteFunc(a.order, func(n Name) bool { return a.wanted[n] == nil })
	return slices.Clone(a.order[:min(max(most, 0), len(a.order))])
}

// want enters a place where a piece belongs, unless it is at hand.
func (a *Assembly) want(n Name, s slot) {
	if s.value == nil && s.has != nil && s.has.name == n {
		s.part.done = s.has
		return
	}
	if s.value != nil {
		if _, there := s.value.have[n]; there {
			return
		}
		piece, there := s.old[n]
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
	if len(piece) == 0 || len(piece) > MostPiece {
		return WrongPiece{Bytes: len(piece)}
	}
	n := NameOf(piece)
	if a.flaws&noHash != 0 && a.wanted[n] == nil {
		if w := a.Wants(1); len(w) > 0 {
			n = w[0]
		}
	}
	slots := a.wanted[n]
	if slots == nil {
		return WrongPiece{n, len(piece)}
	}
	for i := range slots { // all is looked at before anything is taken
		if why := a.check(piece, &slots[i]); why != "" {
			return Malformed{n, why}
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
		items, ok := leafItems(piece)
		if !ok {
			return "it is no leaf in the one form that leaves have"
		}
		if len(items) == 0 && s.depth > 0 {
			return "an empty leaf below the root"
		}
		size := 0
		var last Name
		for i := range items {
			at := place(items[i].key)
			if a.flaws&noPlace == 0 {
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
		if !isLeaf(len(items), size) && a.flaws&noSplit == 0 {
			return "a leaf that should be a node"
		}
		return ""
	case kindNode:
		_, names, ok := children(piece)
		if !ok {
			return "it is no node in the one form that nodes have"
		}
		if s.depth >= mostDepth || len(names) == 0 {
			return "a node deeper than keys can lie"
		}
		return ""
	}
	return "neither leaf nor node"
}

func (s *slot) chunkWrong(piece []byte) string {
	switch piece[0] {
	case kindChunk:
		if len(piece) < 2 || len(piece)-1 > chunkMost {
			return "a chunk that is empty or too long"
		}
		return ""
	case kindList:
		names, ok := listed(piece)
		switch {
		case !ok:
			return "it is no list in the one form that lists have"
		case s.level >= mostLevels || s.value.named+len(names) > 2*(s.value.long.total/chunkLeast+1):
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
		p.leaf, _ = leafItems(piece)
		for i := range p.leaf {
			it := &p.leaf[i]
			if it.have == nil {
				continue
			}
			inner := slot{value: it}
			if o := a.has.find(it.key); o != nil && o.long != nil {
				if o.equal(&it.item) {
					it.long, it.have = o.long, nil
					continue
				}
				inner.old = o.long.byName()
			}
			a.want(it.long.top, inner)
		}
		return
	}
	there, names, _ := children(piece)
	p.kids = new([fanOut]*part)
	for i := range p.kids {
		if there>>i&1 == 0 {
			continue
		}
		p.kids[i] = &part{name: names[0]}
		inner := slot{part: p.kids[i], has: s.has.shadow(i), place: s.place, depth: s.depth + 1}
		inner.place[s.depth/perByte] |= byte(i) << (digitBits * (perByte - 1 - s.depth%perByte))
		a.want(names[0], inner)
		names = names[1:]
	}
}

// chunk puts a chunk or a list into its value; it says why it can't.
func (a *Assembly) chunk(piece []byte, n Name, s slot) string {
	if why := s.chunkWrong(piece); why != "" {
		return why
	}
	s.value.have[n] = piece
	if piece[0] == kindList {
		names, _ := listed(piece)
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
	if len(a.wanted) > 0 && a.flaws&noWhole == 0 {
		return nil, Incomplete{a.root, len(a.wanted)}
	}
	top, err := a.join(a.top)
	if err != nil {
		return nil, err
	}
	t := treeOf(top)
	if t.Root() != a.root && a.flaws == 0 { // no other guard hangs on it
		return nil, Malformed{a.root, "what came together has another root"}
	}
	a.done = t
	return t, nil
}

// join makes a subtree of what came.
func (a *Assembly) join(p *part) (*node, error) {
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
				top := it.long.top
				value, ok := joined(top, it.long.total, it.have)
				if !ok && a.flaws&noWhole == 0 {
					return nil, Malformed{top, "chunks that don't come to their value"}
				}
				if it.long = cut(value); it.long.top != top && a.flaws&(noSplit|noWhole) == 0 {
					return nil, Malformed{top, "a value that is cut elsewhere than where it says itself"}
				}
			}
			items[i] = it.item
		}
		p.done = leafOf(items)
		return p.done, nil
	}
	kids := new([fanOut]*node)
	for i, k := range p.kids {
		var err error
		if kids[i], err = a.join(k); err != nil {
			return nil, err
		}
	}
	n := nodeOf(kids)
	if isLeaf(n.count, n.bytes) && a.flaws&(noSplit|noWhole) == 0 {
		return nil, Malformed{p.name, "a node that should be a leaf"}
	}
	p.done = n
	return n, nil
}

// leafItems reads a leaf; ok is false unless it is written in the one form that it has.
func leafItems(piece []byte) (items []partItem, ok bool) {
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
		var i partItem
		i.key = string(take(number(MostKey)))
		tag := take(1)
		switch {
		case !ok:
		case tag[0] == inline:
			i.value = take(number(mostInline))
		case tag[0] == byName:
			total := number(MostValue)
			top := take(sha256.Size)
			if !ok || total <= mostInline {
				return nil, false
			}
			i.have = map[Name][]byte{}
			i.long = &long{total: total, top: Name(top)}
		default:
			return nil, false
		}
		items = append(items, i)
	}
	return items, ok
}

// children reads a node: which there are and their names.
func children(piece []byte) (there uint16, names []Name, ok bool) {
	if len(piece) < 3 || (len(piece)-3)%sha256.Size != 0 {
		return 0, nil, false
	}
	there = binary.BigEndian.Uint16(piece[1:])
	for rest := piece[3:]; len(rest) > 0; rest = rest[sha256.Size:] {
		names = append(names, Name(rest))
	}
	return there, names, bits.OnesCount16(there) == len(names) && int(there)>>fanOut == 0
}
