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

// randomContent draws content. Values are of all lengths, so that leaves, segments and lists of several levels occur.
type randomContent struct{ *rand.Rand }

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

// content draws a number of items.
func (d randomContent) content(count int) map[string][]byte {
	content := map[string][]byte{}
	for len(content) < count {
		content[d.key()] = d.value()
	}
	return content
}

// change draws a change of content: some items are set, some removed, some values changed within.
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
			at := d.IntN(len(old))
			content[key] = slices.Concat(old[:at], []byte{byte(d.IntN(256))}, old[at:])
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

func mustBuild(t testing.TB, items []Item) *Tree {
	t.Helper()
	tree, err := Build(items)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// contentFault returns what is wrong with a tree that should hold some content, or an empty text.
func contentFault(t *Tree, content map[string][]byte) string {
	if t.Len() != len(content) {
		return fmt.Sprintf("%d items instead of %d", t.Len(), len(content))
	}
	for key, value := range content {
		if got, ok := t.Get(key); !ok || !bytes.Equal(got, value) {
			return fmt.Sprintf("%q is wrong or not there", key)
		}
	}
	previous := Hash{}
	for i := range t.Items() {
		position := positionOf(i.Key)
		if bytes.Compare(previous[:], position[:]) >= 0 || !bytes.Equal(content[i.Key], i.Value) {
			return fmt.Sprintf("%q is out of order or wrong", i.Key)
		}
		previous = position
	}
	size := 0
	seen := map[Hash]bool{}
	for hash, chunk := range t.Chunks() {
		size += len(chunk)
		if len(chunk) > MaxChunkBytes || HashOf(chunk) != hash || seen[hash] {
			return fmt.Sprintf("chunk %v of %d bytes is too long, occurs twice, or has another hash", hash, len(chunk))
		}
		seen[hash] = true
		if got, ok := t.Chunk(hash); !ok || !bytes.Equal(got, chunk) {
			return fmt.Sprintf("chunk %v is not found by its hash", hash)
		}
	}
	if size > t.Size() {
		return fmt.Sprintf("%d bytes of chunks; the size is %d", size, t.Size())
	}
	return ""
}

// Trees made by random changes equal those built from the outcome, and what one lacks of another is what an assembly
// is missing.
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
				t.Fatal(err)
			}
			built := mustBuild(t, d.items(content))
			if built.Root() != next.Root() || built.Size() != next.Size() {
				t.Fatalf("seed %d, step %d: %v with changes, %v built", seed, step, next.Root(), built.Root())
			}
			for _, fault := range []string{contentFault(next, content), contentFault(current, previousContent)} {
				if fault != "" {
					t.Fatalf("seed %d, step %d: %s", seed, step, fault)
				}
			}
			if fault := changesFault(current, next, len(set), len(removed)); fault != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, fault)
			}
			for _, existing := range []*Tree{nil, current, newTree(nil)} {
				if fault := reassemblyFault(existing, next, content); fault != "" {
					t.Fatalf("seed %d, step %d: %s", seed, step, fault)
				}
			}
			current = next
		}
	}
}

// changesFault checks Changes against a change of at most so many items, and against an empty tree.
func changesFault(from, to *Tree, maxSet, maxRemoved int) string {
	set, removed := Changes(from, to)
	again, err := from.With(set, removed)
	if err != nil || again.Root() != to.Root() || len(set) > maxSet || len(removed) > maxRemoved {
		return fmt.Sprintf("changes are %d and %d, of %d and %d: %v", len(set), len(removed), maxSet, maxRemoved, err)
	}
	if set, removed := Changes(nil, to); len(set) != to.Len() || len(removed) > 0 {
		return fmt.Sprintf("%d from nothing, of %d", len(set), to.Len())
	}
	return ""
}

// reassemblyFault adds just the chunks that an existing tree lacks, in their order.
func reassemblyFault(existing, tree *Tree, content map[string][]byte) string {
	a := NewAssembly(tree.Root(), existing)
	for hash, chunk := range tree.ChunksNotIn(existing) {
		if err := a.Add(chunk); err != nil {
			return fmt.Sprintf("%v: %v", hash, err)
		}
	}
	got, err := a.Tree()
	if err != nil || got.Root() != tree.Root() || got.Size() != tree.Size() {
		return fmt.Sprintf("assembled: %v", err)
	}
	if fault := contentFault(got, content); fault != "" {
		return "assembled: " + fault
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
			t.Errorf("%v is no %T, or has no advice", err, want)
		}
	}
	if got, err := ParseHash(hash.String()); err != nil || got != hash {
		t.Errorf("%v reads back as %v: %v", hash, got, err)
	}
}
