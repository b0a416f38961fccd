package merkle

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// bend gives a subtree with one part of it bent, as one who makes content wrong would; nil if there is nothing to bend there.
type bend func(d drawer, n *node, depth int) *node

// bent bends a tree somewhere, and names what is above it anew; nil if that can't be done.
func (d drawer) bent(n *node, depth int, b bend) *node {
	if n.children == nil || d.IntN(4) == 0 {
		return b(d, n, depth)
	}
	at := d.IntN(fanout)
	for i := range fanout {
		k := (at + i) % fanout
		if n.children[k] == nil {
			continue
		}
		if other := d.bent(n.children[k], depth+1, b); other != nil {
			kids := *n.children
			kids[k] = other
			return newNode(&kids)
		}
	}
	return b(d, n, depth)
}

// bends are ways to make content wrong, each with the guard that alone is against it.
var bends = map[string]struct {
	guard mutation
	bend  bend
}{
	"children that change places": {skipPlaceCheck, func(d drawer, n *node, _ int) *node {
		if n.children == nil {
			return nil
		}
		i, j := d.IntN(fanout), d.IntN(fanout)
		if n.children[i] == n.children[j] {
			return nil
		}
		kids := *n.children
		kids[i], kids[j] = kids[j], kids[i]
		return newNode(&kids)
	}},
	"a leaf out of order": {skipPlaceCheck, func(_ drawer, n *node, _ int) *node {
		if len(n.items) < 2 {
			return nil
		}
		items := slices.Clone(n.items)
		slices.Reverse(items)
		return newLeaf(items)
	}},
	"a leaf with an item twice": {skipPlaceCheck, func(_ drawer, n *node, _ int) *node {
		if len(n.items) == 0 || 2*n.bytes > MaxLeafBytes {
			return nil
		}
		return newLeaf([]item{n.items[0], n.items[0]})
	}},
	"a node that should be a leaf": {skipShapeCheck, func(_ drawer, n *node, depth int) *node {
		if len(n.items) == 0 {
			return nil
		}
		at := place(n.items[0].key)
		for i := range n.items {
			if p := place(n.items[i].key); p.digit(depth) != at.digit(depth) {
				return nil
			}
		}
		kids := new([fanout]*node)
		kids[at.digit(depth)] = n
		return newNode(kids)
	}},
	"a leaf that should be a node": {skipShapeCheck, func(_ drawer, n *node, _ int) *node {
		if n.children == nil || n.bytes > MaxChunkBytes/2 {
			return nil
		}
		var items []item
		n.each(func(i *item) bool { items = append(items, *i); return true })
		return newLeaf(items)
	}},
	"a value that is cut elsewhere": {skipShapeCheck, func(_ drawer, n *node, _ int) *node {
		for i := range n.items {
			l := n.items[i].segmented
			if l == nil {
				continue
			}
			value := l.value()
			names := []byte{}
			cutting := &segmentedValue{total: l.total, chunks: []hashedChunk{{}}}
			for rest := value; len(rest) > 0; {
				p := newChunk(kindSegment, rest[:min(len(rest), 999)])
				rest = rest[len(p.data)-1:]
				names = append(names, p.hash[:]...)
				cutting.chunks = append(cutting.chunks, p)
			}
			cutting.chunks[0] = newChunk(kindSegmentList, names)
			cutting.root = cutting.chunks[0].hash
			items := slices.Clone(n.items)
			items[i].segmented = cutting
			return newLeaf(items)
		}
		return nil
	}},
	"a value that is shorter than told": {0, func(_ drawer, n *node, _ int) *node {
		for i := range n.items {
			if l := n.items[i].segmented; l != nil {
				other := *l
				other.total++
				items := slices.Clone(n.items)
				items[i].segmented = &other
				return newLeaf(items)
			}
		}
		return nil
	}},
	"an empty leaf below the root": {0, func(_ drawer, n *node, _ int) *node {
		if n.children == nil {
			return nil
		}
		kids := *n.children
		for i, k := range kids {
			if k == nil {
				kids[i] = emptyLeaf
				return newNode(&kids)
			}
		}
		return nil
	}},
}

// play has one proxy put content together out of what several send, some of it damaged, cut off, foreign or made wrong, and gives all
// that must never happen.
func play(seed uint64, flaws mutation) (crimes []string, wrong, whole int) {
	say := func(is bool, format string, args ...any) {
		if is {
			crimes = append(crimes, fmt.Sprintf("seed %d: ", seed)+fmt.Sprintf(format, args...))
		}
	}
	d := draw(seed)
	content := map[string][]byte{}
	for len(content) < 40+d.IntN(80) {
		content[d.key()] = d.value()
	}
	must := func(t *Tree, err error) *Tree {
		if err != nil {
			panic(err)
		}
		return t
	}
	was := must(Build(d.items(content)))
	other := maps.Clone(content)
	for range 1 + d.IntN(3) {
		d.change(content)
		d.change(other)
	}
	is, foreign := must(Build(d.items(content))), must(Build(d.items(other)))
	kind := ""
	if names := slices.Sorted(maps.Keys(bends)); d.IntN(2) == 0 {
		kind = names[d.IntN(len(names))]
		top := d.bent(is.top, 0, bends[kind].bend)
		if top == nil || top.hash == is.top.hash {
			kind = ""
		} else {
			is = &Tree{top: top}
		}
	}
	has := []*Tree{nil, was, foreign}[d.IntN(3)]
	a := NewAssembly(is.Root(), has)
	a.mutations = flaws
	all := maps.Collect(is.Chunks())
	strangers := slices.SortedFunc(maps.Values(maps.Collect(foreign.Chunks())), bytes.Compare)
	for range 100_000 {
		wants := a.Missing(1 + d.IntN(8))
		t, err := a.Tree()
		switch missing := (IncompleteError{}); {
		case err == nil:
			whole++
			built, err := Build(slices.Collect(t.Items()))
			say(len(wants) > 0, "a tree while %d pieces are missing", len(wants))
			say(kind != "", "taken: %s", kind)
			say(t.Root() != is.Root(), "a tree of another root")
			say(err != nil || built.Root() != is.Root(), "content of another root")
			if kind == "" {
				bad := holds(t, content)
				say(bad != "", "%s", bad)
			}
			return crimes, wrong, whole
		case errors.As(err, &missing):
			say(len(wants) == 0 || missing.Missing < len(wants), "%v, and %d are wanted", err, len(wants))
		default:
			say(kind == "", "well made content is refused: %v", err)
			return crimes, wrong, whole
		}
		if len(crimes) > 0 {
			return crimes, wrong, whole
		}
		right := all[wants[d.IntN(len(wants))]]
		piece := right
		switch d.IntN(8) {
		case 0:
			piece = bytes.Clone(right)
			piece[d.IntN(len(piece))] ^= 1 << d.IntN(8)
		case 1:
			piece = right[:d.IntN(len(right))]
		case 2:
			piece = strangers[d.IntN(len(strangers))]
		case 3:
			piece = append(bytes.Clone(right), 0)
		case 4:
			piece = make([]byte, d.IntN(2*MaxChunkBytes))
		}
		wanted := slices.Contains(a.Missing(1<<30), HashOf(piece))
		before := len(a.Missing(1 << 30))
		err = a.Add(bytes.Clone(piece))
		malformed := MalformedChunkError{}
		say(err == nil && !wanted, "a piece was taken that nothing wanted")
		say(errors.As(err, new(UnexpectedChunkError)) && wanted, "a piece was refused that was wanted: %v", err)
		say(err != nil && len(a.Missing(1<<30)) != before, "a piece that was refused changed what is wanted")
		if errors.As(err, &malformed) {
			say(kind == "", "well made content is refused: %v", err)
			return crimes, wrong, whole
		}
		if err != nil {
			wrong++
		}
		if len(crimes) > 0 {
			return crimes, wrong, whole
		}
	}
	say(true, "it never ends")
	return crimes, wrong, whole
}

const plays = 300

func TestDrawnAssemblies(t *testing.T) {
	wrong, whole := 0, 0
	for seed := range uint64(plays) {
		crimes, w, n := play(seed, 0)
		wrong, whole = wrong+w, whole+n
		for _, c := range crimes {
			t.Error(c)
		}
	}
	t.Logf("%d plays, %d came whole, %d pieces refused", plays, whole, wrong)
	if whole < plays/3 || plays-whole < plays/5 || wrong < plays {
		t.Error("the draw is too tame")
	}
}

// The check of the drawn plays convicts each guard that is taken out.
func TestEachGuardOfAnAssemblyIsNeeded(t *testing.T) {
	for name, flaws := range map[string]mutation{"no hash": skipHashCheck, "no place": skipPlaceCheck, "no split": skipShapeCheck, "not whole": skipCompleteCheck} {
		var crimes []string
		seed := uint64(0)
		for ; len(crimes) == 0 && seed < plays; seed++ {
			crimes, _, _ = play(seed, flaws)
		}
		if len(crimes) == 0 {
			t.Errorf("%s: not convicted", name)
			continue
		}
		t.Logf("%s: convicted by play %d: %s", name, seed, crimes[0])
	}
}

// Each way to make content wrong is met, and refused even where only its own guard is there against it.
func TestContentThatIsMadeWrongIsRefused(t *testing.T) {
	for name, b := range bends {
		met, taken := 0, 0
		for seed := range uint64(60) {
			d := draw(seed + 1000)
			content := map[string][]byte{}
			for len(content) < 60 {
				content[d.key()] = d.value()
			}
			good, err := Build(d.items(content))
			if err != nil {
				t.Fatal(err)
			}
			top := d.bent(good.top, 0, b.bend)
			if top == nil || top.hash == good.top.hash {
				continue
			}
			met++
			for _, flaws := range []mutation{0, b.guard} {
				a := NewAssembly(top.hash, nil)
				a.mutations = flaws
				var refused error
				for _, piece := range (&Tree{top: top}).Chunks() {
					if err := a.Add(piece); err != nil && refused == nil {
						refused = err
					}
				}
				if _, err := a.Tree(); refused == nil {
					refused = err
				}
				switch {
				case refused == nil && flaws == 0:
					t.Errorf("%s, seed %d: taken", name, seed)
				case refused == nil:
					taken++
				}
			}
		}
		t.Logf("%s: met %d times, taken without its guard %d times", name, met, taken)
		if met < 5 || b.guard != 0 && taken == 0 {
			t.Errorf("%s: met %d times, and taken without its guard %d times", name, met, taken)
		}
	}
}

// Whatever stands in a key or a value, no piece is over its bound, and it comes back.
func TestNoPieceIsTooLong(t *testing.T) {
	d := draw(7)
	random := make([]byte, 3<<20)
	for i := range random {
		random[i] = byte(d.Uint32())
	}
	never := make([]byte, MaxValueBytes) // a value in which no chunk ends by itself
	if n := segmentEnd(never); n != maxSegmentBytes {
		t.Fatalf("a chunk of zeros ends at %d", n)
	}
	var small []byte // one in which each chunk ends as early as it may
	for len(small) < 200<<10 {
		ends := make([]byte, minSegmentBytes)
		for segmentEnd(append(slices.Clone(ends), 0)) != minSegmentBytes {
			for i := range 8 {
				ends[len(ends)-1-i] = byte(d.Uint32())
			}
		}
		small = append(small, ends...)
	}
	content := map[string][]byte{"random": random, "never": never, "small": small, "none": nil}
	for i := range 20 {
		key := make([]byte, MaxKeyBytes-i)
		for k := range key {
			key[k] = byte(d.Uint32())
		}
		content[string(key)] = random[:maxInlineBytes-i%2]
		content[fmt.Sprint("inline ", i)] = random[:maxInlineBytes-10+i]
	}
	tree, err := Build(d.items(content))
	if err != nil {
		t.Fatal(err)
	}
	if wrong := holds(tree, content); wrong != "" {
		t.Fatal(wrong)
	}
	a := NewAssembly(tree.Root(), nil)
	for _, piece := range tree.Chunks() {
		if err := a.Add(piece); err != nil {
			t.Fatal(err)
		}
	}
	got, err := a.Tree()
	if err != nil {
		t.Fatal(err)
	}
	if wrong := holds(got, content); wrong != "" {
		t.Fatal(wrong)
	}
	longest := 0
	for _, piece := range tree.Chunks() {
		longest = max(longest, len(piece))
	}
	t.Logf("the longest of all pieces is %d bytes", longest)
}

// A change within a long value costs the chunks about it, wherever it is.
func TestAChangeWithinALongValue(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 30))
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	was, err := Build([]Item{{"long", value}})
	if err != nil {
		t.Fatal(err)
	}
	most := 0
	for range 30 {
		at := rng.IntN(len(value))
		is, err := was.With([]Item{{"long", slices.Concat(value[:at], []byte("tenant"), value[at:])}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, piece := range is.ChunksNotIn(was) {
			sum += len(piece)
		}
		most = max(most, sum)
	}
	t.Logf("at most %d bytes of %d", most, was.Size())
	if most > 4*MaxChunkBytes {
		t.Errorf("a change within took %d bytes of %d", most, was.Size())
	}
}

// Bytes of any kind under their right name end in a tree of that root, or are refused; nothing else becomes of them.
func TestPiecesOfAnyBytes(t *testing.T) {
	d := draw(9)
	content := map[string][]byte{}
	for len(content) < 60 {
		content[d.key()] = d.value()
	}
	tree, err := Build(d.items(content))
	if err != nil {
		t.Fatal(err)
	}
	all := slices.SortedFunc(maps.Values(maps.Collect(tree.Chunks())), bytes.Compare)
	taken := 0
	for i := range 30_000 {
		piece := bytes.Clone(all[d.IntN(len(all))])
		for range d.IntN(3) {
			switch at := d.IntN(max(1, min(len(piece), 1<<d.IntN(10)))); {
			case len(piece) == 0:
			case d.IntN(2) == 0:
				piece[at] = byte(d.IntN(256))
			case d.IntN(2) == 0:
				piece = piece[:at]
			default:
				piece = slices.Insert(piece, at, byte(d.IntN(8)))
			}
		}
		root, pieces := HashOf(piece), [][]byte{piece}
		if d.IntN(3) == 0 { // as a chunk or a list of a value
			long := &segmentedValue{total: maxInlineBytes + 1 + d.IntN(5000), root: root}
			leaf := newLeaf([]item{{key: "k", segmented: long}})
			root, pieces = leaf.hash, [][]byte{leaf.chunk, piece}
		}
		a := NewAssembly(root, nil)
		for _, piece := range pieces {
			err = a.Add(piece)
		}
		got, missing := a.Tree()
		if err != nil && missing == nil {
			t.Fatalf("piece %d: %x is refused, and there is a tree: %v", i, piece, err)
		}
		if missing != nil {
			continue
		}
		taken++
		again, err := Build(slices.Collect(got.Items()))
		if err != nil || again.Root() != root {
			t.Fatalf("piece %d: %x: a tree of another root: %v", i, piece, err)
		}
	}
	t.Logf("%d taken", taken)
	if taken < 100 {
		t.Error("the draw is too wild")
	}
}
