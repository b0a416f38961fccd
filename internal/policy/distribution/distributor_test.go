package distribution

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"lapisspread/internal/policy/merkle"
)

func tree(t testing.TB, n int, value func(i int) string) *merkle.Tree {
	t.Helper()
	var items []merkle.Item
	for i := range n {
		items = append(items, merkle.Item{Key: fmt.Sprint("k", i), Value: []byte(value(i))})
	}
	out, err := merkle.Build(items)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func with(t testing.TB, tree *merkle.Tree, i int, value string) *merkle.Tree {
	t.Helper()
	out, err := tree.With([]merkle.Item{{Key: fmt.Sprint("k", i), Value: []byte(value)}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func long(i int) string { return fmt.Sprintf("%0300d", i) }

// fetch assembles a tree as a proxy does, from pushed chunks and the rest by name, and returns how many chunks of each.
func fetch(t testing.TB, d *Distributor, has, to *merkle.Tree, most int) (pushed, requested int) {
	t.Helper()
	a := merkle.NewAssembly(to.Root(), has)
	root := ""
	if has != nil {
		root = has.Root().String()
	}
	for _, p := range d.ChunksBetween(root, to.Root().String(), most) {
		if err := a.Add(p); err != nil {
			t.Fatal(err)
		}
		pushed++
	}
	now := time.Duration(0)
	for names := a.Missing(256); len(names) > 0; names = a.Missing(256) {
		var in [][]byte
		for _, n := range names {
			in = append(in, n[:])
		}
		out, missing, retryAfter := d.ChunksByName(now, "p", to.Root().String(), in)
		if now += retryAfter; missing > 0 || len(out) == 0 && retryAfter == 0 {
			t.Fatalf("%d chunks, %d missing", len(out), missing)
		}
		size := 0
		for _, p := range out {
			size += len(p)
			if err := a.Add(p); err != nil {
				t.Fatal(err)
			}
		}
		if size > d.settings.MaxBytes {
			t.Fatalf("%d bytes in one answer", size)
		}
		requested += len(out)
	}
	if got, err := a.Tree(); err != nil || got.Root() != to.Root() {
		t.Fatal(err)
	}
	return pushed, requested
}

// Chunks are pushed if both trees are known; all others are fetched by name, also by a proxy whose tree is forgotten.
func TestProxiesGetTheChunksThatTheyLack(t *testing.T) {
	d := New(DefaultSettings())
	first := tree(t, 3000, long)
	second := with(t, first, 7, "other")
	d.Retain([]*merkle.Tree{first, second})
	if pushed, requested := fetch(t, d, first, second, 1<<20); pushed == 0 || pushed > 5 || requested != 0 {
		t.Errorf("one change behind: %d pushed, %d by name", pushed, requested)
	}
	if pushed, requested := fetch(t, d, first, second, 1); pushed != 0 || requested == 0 || requested > 5 {
		t.Errorf("nothing pushed wanted: %d pushed, %d by name", pushed, requested)
	}
	gone := with(t, with(t, first, 9, "gone"), 8, "gone")
	if pushed, requested := fetch(t, d, gone, second, 1<<20); pushed != 0 || requested == 0 || requested > 15 {
		t.Errorf("unknown root: %d pushed, %d by name", pushed, requested)
	}
	if pushed, requested := fetch(t, d, nil, second, 1<<20); pushed != 0 || requested < 500 {
		t.Errorf("without a tree: %d pushed, %d by name", pushed, requested)
	}
	for i := range 100 { // only the last few are remembered
		second = with(t, second, i, fmt.Sprint("more", i))
		d.Retain([]*merkle.Tree{second})
	}
	if n := len(d.recent); n > d.settings.RecentTrees+1 {
		t.Errorf("%d trees are remembered", n)
	}
	before := d.Counters().DiffsComputed
	for range 100 {
		d.ChunksBetween(d.recent[3].Root().String(), second.Root().String(), 1<<20)
	}
	if n := d.Counters().DiffsComputed - before; n != 1 {
		t.Errorf("one diff was computed %d times", n)
	}
	if out, missing, _ := d.ChunksByName(
		0, "p", "no root", [][]byte{{1}, bytes.Repeat([]byte{2}, 32)},
	); len(out) != 0 || missing != 2 {
		t.Errorf("unknown names: %d chunks, %d missing", len(out), missing)
	}
	if out := d.ChunksBetween("no root", "none either", 1<<20); out != nil {
		t.Errorf("%d chunks of nothing", len(out))
	}
}

// A whole fleet asks for a policy at one moment: never more proxies than the bound fetch at one time, the others are
// deferred when to retry, and all get it. Small requests are never deferred.
func TestConcurrentFetchesAreBounded(t *testing.T) {
	set := DefaultSettings()
	set.MaxFetches = 8
	d := New(set)
	policy := tree(t, 2000, long)
	d.Retain([]*merkle.Tree{policy})
	const proxies, answers = 300, 6 // that each needs
	var name [][]byte
	for n := range policy.Chunks() {
		if name = append(name, n[:]); len(name) == set.MaxNames {
			break
		}
	}
	type one struct {
		next time.Duration
		left int
	}
	all := make([]one, proxies)
	for i := range all {
		all[i].left = answers
	}
	now, left, deferred := time.Duration(0), proxies, 0
	for ; left > 0 && now < time.Hour; now += 20 * time.Millisecond {
		fetching := 0
		for i := range all {
			p := &all[i]
			if p.left == 0 || now < p.next {
				continue
			}
			out, missing, retryAfter := d.ChunksByName(now, fmt.Sprint("p", i), policy.Root().String(), name)
			switch {
			case retryAfter > set.MaxWait || missing > 0:
				t.Fatalf("retry after %v, %d missing", retryAfter, missing)
			case retryAfter > 0:
				deferred++
				p.next = now + retryAfter
			case len(out) == 0:
				t.Fatal("neither chunks nor a time to retry")
			default:
				fetching++
				if p.left--; p.left == 0 {
					left--
				}
			}
		}
		if fetching > set.MaxFetches || len(d.throttle.fetches) > set.MaxFetches {
			t.Fatalf("%d fetch at once", fetching)
		}
		if out, _, retryAfter := d.ChunksByName(
			now, "light", policy.Root().String(), name[:set.UnthrottledNames],
		); len(out) != set.UnthrottledNames || retryAfter != 0 {
			t.Fatalf("a small request was deferred by %v", retryAfter)
		}
	}
	if left > 0 || deferred == 0 {
		t.Errorf("%d never got it; %d requests were deferred", left, deferred)
	}
	t.Logf("%d proxies by %d at a time: %v, %d requests deferred", proxies, set.MaxFetches, now, deferred)
}
