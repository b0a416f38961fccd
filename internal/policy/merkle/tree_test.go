package merkle

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"lapisspread/internal/operatorerror"
)

// randomContent generates random content. Its values have very different lengths, so that leaves, segments and lists of
// several levels occur.
type randomContent struct{ *rand.Rand }

// newRandomContent returns a generator whose content depends only on the seed.
func newRandomContent(seed uint64) randomContent {
	return randomContent{rand.New(rand.NewPCG(seed, 30))}
}

func (d randomContent) key() string { return fmt.Sprint("route team-", d.IntN(20), "/r", d.IntN(40)) }

func (d randomContent) value() []byte {
	length := d.IntN(200)
	switch d.IntN(40) {
	case 0:
		length = maxInlineBytes - 1 + d.IntN(3)
	case 1:
		length = d.IntN(60 << 10)
	case 2:
		return bytes.Repeat([]byte{byte(d.IntN(3))}, d.IntN(20<<10)) // equal segments
	}
	value := make([]byte, length)
	for i := range value {
		value[i] = byte(d.IntN(256))
	}
	return value
}

// content returns count random values, keyed by item key.
func (d randomContent) content(count int) map[string][]byte {
	content := map[string][]byte{}
	for len(content) < count {
		content[d.key()] = d.value()
	}
	return content
}

// change makes random changes to content: it sets some items, removes some, and inserts a byte in some values. It
// returns the changes as Tree.With takes them.
func (d randomContent) change(content map[string][]byte) (set []Item, removed []string) {
	keys := slices.Sorted(maps.Keys(content))
	seen := map[string]bool{}
	for range d.IntN(12) {
		key := d.key()
		if len(keys) > 0 && d.IntN(2) == 0 {
			key = keys[d.IntN(len(keys))]
		}
		if seen[key] {
			continue
		}
		seen[key] = true
		old, ok := content[key]
		switch {
		case ok && d.IntN(3) == 0:
			removed = append(removed, key)
			delete(content, key)
			continue
		case ok && len(old) > 0 && d.IntN(2) == 0:
			offset := d.IntN(len(old))
			content[key] = slices.Concat(old[:offset], []byte{byte(d.IntN(256))}, old[offset:])
		default:
			content[key] = d.value()
		}
		set = append(set, Item{key, content[key]})
	}
	return set, removed
}

// items returns content in random order.
func (d randomContent) items(content map[string][]byte) []Item {
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(content)) {
		items = append(items, Item{key, content[key]})
	}
	d.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	return items
}

// mustBuild returns the tree that Build makes of the items, which must succeed.
func mustBuild(t testing.TB, items []Item) *Tree {
	t.Helper()
	tree, err := Build(items)
	if err != nil {
		t.Fatalf("Build of %d items failed: %v", len(items), err)
	}
	return tree
}

// contentFault compares a tree with the content that it should hold, and checks its order, chunks and size. It returns
// the first difference, or an empty text.
func contentFault(t *Tree, content map[string][]byte) string {
	if t.Len() != len(content) {
		return fmt.Sprintf("Len() = %d, want %d", t.Len(), len(content))
	}
	for key, value := range content {
		if got, ok := t.Get(key); !ok || !bytes.Equal(got, value) {
			return fmt.Sprintf("Get(%q) returned %d bytes, %v, want another value of %d bytes, true",
				key, len(got), ok, len(value))
		}
	}
	previous := Hash{}
	for i := range t.Items() {
		position := positionOf(i.Key)
		if bytes.Compare(previous[:], position[:]) >= 0 || !bytes.Equal(content[i.Key], i.Value) {
			return fmt.Sprintf("Items() yielded %q out of order or with a wrong value", i.Key)
		}
		previous = position
	}
	size := 0
	seen := map[Hash]bool{}
	for hash, chunk := range t.Chunks() {
		size += len(chunk)
		if len(chunk) > MaxChunkBytes || HashOf(chunk) != hash || seen[hash] {
			return fmt.Sprintf("Chunks() yielded a chunk of %d bytes under hash %v: it is too long, occurs twice, "+
				"or has another hash", len(chunk), hash)
		}
		seen[hash] = true
		if got, ok := t.Chunk(hash); !ok || !bytes.Equal(got, chunk) {
			return fmt.Sprintf("Chunk(%v) did not return the chunk that Chunks() yielded under this hash", hash)
		}
	}
	if size > t.Size() {
		return fmt.Sprintf("Size() = %d, want at least the %d bytes of all distinct chunks", t.Size(), size)
	}
	return ""
}

// A tree made by random changes equals the tree that Build makes of the changed content. The chunks that ChunksNotIn
// yields are those that an Assembly needs.
func TestRandomVersions(t *testing.T) {
	for seed := range uint64(25) {
		d := newRandomContent(seed)
		content := map[string][]byte{}
		current := newTree(nil)
		for step := range 30 {
			previousContent := maps.Clone(content)
			set, removed := d.change(content)
			next, err := current.With(set, removed)
			if err != nil {
				t.Fatalf("seed %d, step %d: With() failed: %v", seed, step, err)
			}
			built := mustBuild(t, d.items(content))
			if built.Root() != next.Root() || built.Size() != next.Size() {
				t.Fatalf("seed %d, step %d: With() gave root %v and size %d, Build() of the same content %v and %d",
					seed, step, next.Root(), next.Size(), built.Root(), built.Size())
			}
			if fault := contentFault(next, content); fault != "" {
				t.Fatalf("seed %d, step %d: tree that With() returned: %s", seed, step, fault)
			}
			if fault := contentFault(current, previousContent); fault != "" {
				t.Fatalf("seed %d, step %d: tree that With() was called on: %s", seed, step, fault)
			}
			if fault := changesFault(current, next, len(set), len(removed)); fault != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, fault)
			}
			for _, existing := range []*Tree{nil, current, newTree(nil)} {
				if fault := reassemblyFault(existing, next, content); fault != "" {
					t.Fatalf("seed %d, step %d: reassembling the new tree: %s", seed, step, fault)
				}
			}
			current = next
		}
	}
}

// changesFault checks that Changes returns at most maxSet and maxRemoved changes that turn one tree into the other, and
// that from no tree it sets all items. It returns the first fault, or an empty text.
func changesFault(from, to *Tree, maxSet, maxRemoved int) string {
	set, removed := Changes(from, to)
	again, err := from.With(set, removed)
	if err != nil || again.Root() != to.Root() || len(set) > maxSet || len(removed) > maxRemoved {
		return fmt.Sprintf("Changes() returned %d items to set and %d keys to remove, want at most %d and %d "+
			"that give the other tree's root (error of With: %v)", len(set), len(removed), maxSet, maxRemoved, err)
	}
	if set, removed := Changes(nil, to); len(set) != to.Len() || len(removed) > 0 {
		return fmt.Sprintf("Changes() from a nil tree returned %d items to set and %d keys to remove, want %d and 0",
			len(set), len(removed), to.Len())
	}
	return ""
}

// reassemblyFault assembles a tree from an existing one and the chunks that ChunksNotIn yields, in their order. It
// returns the first fault, or an empty text.
func reassemblyFault(existing, tree *Tree, content map[string][]byte) string {
	a := NewAssembly(tree.Root(), existing)
	for hash, chunk := range tree.ChunksNotIn(existing) {
		if err := a.Add(chunk); err != nil {
			return fmt.Sprintf("Add of chunk %v, which ChunksNotIn yielded, failed: %v", hash, err)
		}
	}
	got, err := a.Tree()
	if err != nil {
		return fmt.Sprintf("Tree() failed after all chunks of ChunksNotIn were added: %v", err)
	}
	if got.Root() != tree.Root() || got.Size() != tree.Size() {
		return fmt.Sprintf("the assembled tree has root %v and size %d, want %v and %d",
			got.Root(), got.Size(), tree.Root(), tree.Size())
	}
	if fault := contentFault(got, content); fault != "" {
		return "assembled tree: " + fault
	}
	return ""
}

func TestErrorsHaveAdvice(t *testing.T) {
	_, longKey := Build([]Item{{string(make([]byte, MaxKeyBytes+1)), nil}})
	_, longValue := Build([]Item{{"k", make([]byte, MaxValueBytes+1)}})
	_, duplicate := Build([]Item{{"k", nil}, {"k", nil}})
	_, invalid := ParseHash("x")
	a := NewAssembly(mustBuild(t, []Item{{"k", nil}}).Root(), nil)
	_, incomplete := a.Tree()
	unexpected := a.Add([]byte("x"))
	hash := HashOf([]byte("x"))
	malformed := NewAssembly(hash, nil).Add([]byte("x"))
	for err, want := range map[error]any{
		longKey:    new(TooLongError),
		longValue:  new(TooLongError),
		duplicate:  new(DuplicateKeyError),
		invalid:    new(InvalidHashError),
		incomplete: new(IncompleteError),
		unexpected: new(UnexpectedChunkError),
		malformed:  new(MalformedChunkError),
	} {
		if err == nil || !errors.As(err, want) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("a call that must fail returned error %v, want one of type %T with advice", err, want)
		}
	}
	if got, err := ParseHash(hash.String()); err != nil || got != hash {
		t.Errorf("ParseHash(%q) = %v, %v, want the hash that the text was made of", hash.String(), got, err)
	}
}
