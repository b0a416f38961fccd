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

// drawer draws content. Values are of all lengths, so that leaves, chunks and lists of several levels come about.
type drawer struct{ *rand.Rand }

func draw(seed uint64) drawer { return drawer{rand.New(rand.NewPCG(seed, 30))} }

func (d drawer) key() string { return fmt.Sprint("route team-", d.IntN(20), "/r", d.IntN(40)) }

func (d drawer) value() []byte {
	n := d.IntN(200)
	switch d.IntN(40) {
	case 0:
		n = maxInlineBytes - 1 + d.IntN(3)
	case 1:
		n = d.IntN(60 << 10)
	case 2:
		return bytes.Repeat([]byte{byte(d.IntN(3))}, d.IntN(20<<10)) // chunks that are equal
	}
	v := make([]byte, n)
	for i := range v {
		v[i] = byte(d.IntN(256))
	}
	return v
}

// change draws what becomes of content: some items set, some removed, some values changed within.
func (d drawer) change(content map[string][]byte) (set []Item, removed []string) {
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
		old, there := content[key]
		switch {
		case there && d.IntN(3) == 0:
			removed = append(removed, key)
			delete(content, key)
			continue
		case there && len(old) > 0 && d.IntN(2) == 0:
			at := d.IntN(len(old))
			content[key] = slices.Concat(old[:at], []byte{byte(d.IntN(256))}, old[at:])
		default:
			content[key] = d.value()
		}
		set = append(set, Item{key, content[key]})
	}
	return set, removed
}

func (d drawer) items(content map[string][]byte) []Item {
	var out []Item
	for _, key := range slices.Sorted(maps.Keys(content)) {
		out = append(out, Item{key, content[key]})
	}
	d.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// holds says what is wrong with a tree that should hold some content; empty is nothing.
func holds(t *Tree, content map[string][]byte) string {
	if t.Len() != len(content) {
		return fmt.Sprintf("%d items instead of %d", t.Len(), len(content))
	}
	for key, value := range content {
		if got, there := t.Get(key); !there || !bytes.Equal(got, value) {
			return fmt.Sprintf("%q is wrong or not there", key)
		}
	}
	last := Hash{}
	for i := range t.Items() {
		if at := place(i.Key); bytes.Compare(last[:], at[:]) >= 0 || !bytes.Equal(content[i.Key], i.Value) {
			return fmt.Sprintf("%q is out of order or wrong", i.Key)
		} else {
			last = at
		}
	}
	size, seen := 0, map[Hash]bool{}
	for n, piece := range t.Chunks() {
		size += len(piece)
		if len(piece) > MaxChunkBytes || HashOf(piece) != n || seen[n] {
			return fmt.Sprintf("piece %v of %d bytes is too long, comes twice, or has another name", n, len(piece))
		}
		seen[n] = true
		if got, there := t.Chunk(n); !there || !bytes.Equal(got, piece) {
			return fmt.Sprintf("piece %v isn't found by its name", n)
		}
	}
	if size > t.Size() {
		return fmt.Sprintf("%d bytes of pieces; %d were told", size, t.Size())
	}
	return ""
}

func TestDrawnVersionsAgree(t *testing.T) {
	for seed := range uint64(25) {
		d := draw(seed)
		content := map[string][]byte{}
		now := treeOf(nil)
		for step := range 30 {
			was := maps.Clone(content)
			set, removed := d.change(content)
			next, err := now.With(set, removed)
			if err != nil {
				t.Fatal(err)
			}
			whole, err := Build(d.items(content))
			if err != nil {
				t.Fatal(err)
			}
			if whole.Root() != next.Root() || whole.Size() != next.Size() {
				t.Fatalf("seed %d, step %d: %v with changes, %v built", seed, step, next.Root(), whole.Root())
			}
			for _, wrong := range []string{holds(next, content), holds(now, was)} {
				if wrong != "" {
					t.Fatalf("seed %d, step %d: %s", seed, step, wrong)
				}
			}
			a, gone := Changes(now, next)
			again, err := now.With(a, gone)
			if err != nil || again.Root() != next.Root() || len(a) > len(set) || len(gone) > len(removed) {
				t.Fatalf("seed %d, step %d: changes are %d and %d, of %d and %d: %v", seed, step, len(a), len(gone), len(set), len(removed), err)
			}
			if a, gone := Changes(nil, next); len(a) != len(content) || len(gone) > 0 {
				t.Fatalf("seed %d, step %d: %d from nothing, of %d", seed, step, len(a), len(content))
			}
			// Just what one lacks is wanted, in the order in which it is told.
			for _, has := range []*Tree{nil, now, treeOf(nil)} {
				as := NewAssembly(next.Root(), has)
				for n, piece := range next.ChunksNotIn(has) {
					if err := as.Add(piece); err != nil {
						t.Fatalf("seed %d, step %d: %v: %v", seed, step, n, err)
					}
				}
				got, err := as.Tree()
				if err != nil || got.Root() != next.Root() || got.Size() != next.Size() {
					t.Fatalf("seed %d, step %d: %v", seed, step, err)
				}
				if wrong := holds(got, content); wrong != "" {
					t.Fatalf("seed %d, step %d: put together: %s", seed, step, wrong)
				}
			}
			now = next
		}
	}
}

func TestErrorsSayWhatToDo(t *testing.T) {
	_, long := Build([]Item{{string(make([]byte, MaxKeyBytes+1)), nil}})
	_, value := Build([]Item{{"k", make([]byte, MaxValueBytes+1)}})
	_, twice := Build([]Item{{"k", nil}, {"k", nil}})
	_, name := ParseHash("x")
	one, err := Build([]Item{{"k", nil}})
	if err != nil {
		t.Fatal(err)
	}
	a := NewAssembly(one.Root(), nil)
	_, missing := a.Tree()
	wrong := a.Add([]byte("x"))
	bad := HashOf([]byte("x"))
	malformed := NewAssembly(bad, nil).Add([]byte("x"))
	for err, as := range map[error]any{long: new(TooLongError), value: new(TooLongError), twice: new(DuplicateKeyError), name: new(InvalidHashError),
		missing: new(IncompleteError), wrong: new(UnexpectedChunkError), malformed: new(MalformedChunkError)} {
		if err == nil || !errors.As(err, as) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("%v is no %T, or says nothing", err, as)
		}
	}
	if n, err := ParseHash(bad.String()); err != nil || n != bad {
		t.Errorf("%v reads back as %v: %v", bad, n, err)
	}
}
