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

// fetch has one get a tree of what is at hand, as a proxy does: what comes along, and the rest by name. It gives the pieces of each.
func fetch(t testing.TB, s *Distributor, has, to *merkle.Tree, most int) (along, named int) {
	t.Helper()
	a := merkle.Assemble(to.Root(), has)
	root := ""
	if has != nil {
		root = has.Root().String()
	}
	for _, p := range s.ChunksBetween(root, to.Root().String(), most) {
		if err := a.Add(p); err != nil {
			t.Fatal(err)
		}
		along++
	}
	now := time.Duration(0)
	for names := a.Wants(256); len(names) > 0; names = a.Wants(256) {
		var in [][]byte
		for _, n := range names {
			in = append(in, n[:])
		}
		out, lacks, later := s.ChunksByName(now, "p", to.Root().String(), in)
		if now += later; lacks > 0 || len(out) == 0 && later == 0 {
			t.Fatalf("%d pieces, %d lacked", len(out), lacks)
		}
		size := 0
		for _, p := range out {
			size += len(p)
			if err := a.Add(p); err != nil {
				t.Fatal(err)
			}
		}
		if size > s.settings.MaxBytes {
			t.Fatalf("%d bytes in one answer", size)
		}
		named += len(out)
	}
	if got, err := a.Tree(); err != nil || got.Root() != to.Root() {
		t.Fatal(err)
	}
	return along, named
}

// What is known of both roots goes along; all else is asked for by name, also what is at hand of a root that nobody has any more.
func TestWhatIsLackedIsGiven(t *testing.T) {
	s := New(DefaultSettings())
	first := tree(t, 3000, long)
	second := with(t, first, 7, "other")
	s.Retain([]*merkle.Tree{first, second})
	if along, named := fetch(t, s, first, second, 1<<20); along == 0 || along > 5 || named != 0 {
		t.Errorf("one that is one change behind: %d along, %d named", along, named)
	}
	if along, named := fetch(t, s, first, second, 1); along != 0 || named == 0 || named > 5 {
		t.Errorf("one that wants nothing along: %d along, %d named", along, named)
	}
	gone := with(t, with(t, first, 9, "gone"), 8, "gone")
	if along, named := fetch(t, s, gone, second, 1<<20); along != 0 || named == 0 || named > 15 {
		t.Errorf("one whose root is not known: %d along, %d named", along, named)
	}
	if along, named := fetch(t, s, nil, second, 1<<20); along != 0 || named < 500 {
		t.Errorf("one that has nothing: %d along, %d named", along, named)
	}
	for i := range 100 { // only the last few stay
		second = with(t, second, i, fmt.Sprint("more", i))
		s.Retain([]*merkle.Tree{second})
	}
	if n := len(s.recent); n > s.settings.RecentTrees+1 {
		t.Errorf("%d trees are remembered", n)
	}
	before := s.Counters().DiffsComputed
	for range 100 {
		s.ChunksBetween(s.recent[3].Root().String(), second.Root().String(), 1<<20)
	}
	if n := s.Counters().DiffsComputed - before; n != 1 {
		t.Errorf("one pair of roots was compared %d times", n)
	}
	if out, lacks, _ := s.ChunksByName(0, "p", "no root", [][]byte{{1}, bytes.Repeat([]byte{2}, 32)}); len(out) != 0 || lacks != 2 {
		t.Errorf("names that there are not: %d pieces, %d lacked", len(out), lacks)
	}
	if out := s.ChunksBetween("no root", "none either", 1<<20); out != nil {
		t.Errorf("%d pieces of nothing", len(out))
	}
}

// All of a fleet ask for a whole policy at one moment: never do more than the bound fetch at once, each is told when to come back, and all
// have it at last. What is light is never held back.
func TestNotAllFetchAtOnce(t *testing.T) {
	set := DefaultSettings()
	set.MaxFetches = 8
	s := New(set)
	policy := tree(t, 2000, long)
	s.Retain([]*merkle.Tree{policy})
	const proxies, answers = 300, 6 // each needs so many answers
	var name [][]byte
	for n := range policy.Pieces() {
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
	now, left, told := time.Duration(0), proxies, 0
	for ; left > 0 && now < time.Hour; now += 20 * time.Millisecond {
		fetching := 0
		for i := range all {
			p := &all[i]
			if p.left == 0 || now < p.next {
				continue
			}
			out, lacks, later := s.ChunksByName(now, fmt.Sprint("p", i), policy.Root().String(), name)
			switch {
			case later > set.MaxWait || lacks > 0:
				t.Fatalf("come back after %v, %d lacked", later, lacks)
			case later > 0:
				told++
				p.next = now + later
			case len(out) == 0:
				t.Fatal("neither pieces nor a time to come back")
			default:
				fetching++
				if p.left--; p.left == 0 {
					left--
				}
			}
		}
		if fetching > set.MaxFetches || len(s.fetches) > set.MaxFetches {
			t.Fatalf("%d fetch at once", fetching)
		}
		if out, _, later := s.ChunksByName(now, "light", policy.Root().String(), name[:set.UnthrottledNames]); len(out) != set.UnthrottledNames || later != 0 {
			t.Fatalf("one that lacks little was told to come back after %v", later)
		}
	}
	if left > 0 || told == 0 {
		t.Errorf("%d never got it; %d times one was told to come back", left, told)
	}
	t.Logf("%d proxies by %d at once: %v, told to come back %d times", proxies, set.MaxFetches, now, told)
}
