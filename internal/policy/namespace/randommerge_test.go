package namespace

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// change draws what namespaces offer after a first merge: some new files, some with one rule changed, some nothing.
func (d drawer) change(c *Declaration, good []*File) []*File {
	var out []*File
	for _, name := range drawnNames {
		i := slices.IndexFunc(good, func(n *File) bool { return n.Name == name })
		switch d.IntN(3) {
		case 0:
			out = append(out, d.file(c, name, 2))
		case 1:
			if i >= 0 && len(good[i].Routes) > 0 {
				n := good[i].without(map[string]bool{good[i].Routes[d.IntN(len(good[i].Routes))].id(): true})
				n.Number = 2
				out = append(out, n)
			}
		}
	}
	return out
}

// held is what is wrong with an outcome beside what was offered; base is the merge before.
func heldWrong(c *Declaration, base Outcome, offered []*File, got Outcome) (wrong []string) {
	bad := func(is bool, format string, args ...any) {
		if is {
			wrong = append(wrong, fmt.Sprintf(format, args...))
		}
	}
	holds := func(n *File) *File {
		cut := map[string]bool{}
		for _, h := range got.Withheld {
			if h.Namespace == n.Name {
				for _, id := range h.RemovedRules {
					cut[id] = true
				}
			}
		}
		return n.without(cut)
	}
	var set []*File
	for _, n := range got.Accepted {
		set = append(set, holds(n))
	}
	for _, x := range Check(c, nil, set) {
		bad(x.Kind.Withholds(), "what holds conflicts: %v", x)
	}
	bad(assemble(c, set).Hash() != got.Hash, "the policy is not what holds")
	if _, err := got.Policy.Table(); err != nil {
		bad(true, "the policy has no table: %v", err)
	}
	// All that any namespace brings, at once, has these conflicts; who is in none and in none that follows is never held.
	in := map[string]bool{}
	for _, x := range got.Conflicts {
		for _, r := range x.Rules {
			in[r.Namespace] = in[r.Namespace] || x.Kind.Withholds()
		}
	}
	for _, h := range got.Withheld {
		bad(!in[h.Namespace], "%s is held and in no conflict", h.Namespace)
		i := slices.IndexFunc(offered, func(n *File) bool { return n.Name == h.Namespace })
		if i < 0 {
			bad(len(base.Withheld) == 0, "%s is held and changed nothing", h.Namespace)
			continue
		}
		if h.Active >= h.Submitted || len(h.RemovedRules) > 0 {
			continue
		}
		with := slices.DeleteFunc(slices.Clone(set), func(n *File) bool { return n.Name == h.Namespace })
		found := Check(c, nil, append(with, offered[i]))
		bad(!slices.ContainsFunc(found, func(x Conflict) bool { return x.Kind.Withholds() }), "%s is held for nothing", h.Namespace)
	}
	for _, n := range offered {
		there := slices.ContainsFunc(got.Accepted, func(g *File) bool { return g.Name == n.Name && g.Number == n.Number })
		told := slices.ContainsFunc(got.Withheld, func(h WithheldError) bool { return h.Namespace == n.Name })
		bad(!there && !told, "%s is held and not told", n.Name)
	}
	return wrong
}

// orders4 are all orders of four, or none.
func orders4(all bool) (out [][4]int) {
	if !all {
		return nil
	}
	for i := range 256 {
		o := [4]int{i & 3, i >> 2 & 3, i >> 4 & 3, i >> 6}
		if 1<<o[0]|1<<o[1]|1<<o[2]|1<<o[3] == 15 {
			out = append(out, o)
		}
	}
	return out
}

// play draws a set and a change of it, merges both with flaws, and gives all that is wrong.
func play(i int, flaws mutation) (wrong []string, held int) {
	c, set := drawSet(i)
	base := merge(c, nil, set, flaws)
	wrong = heldWrong(c, Outcome{}, set, base) // all are new at once
	for _, order := range orders4(i%50 == 0) {
		if again := merge(c, nil, []*File{set[order[0]], set[order[1]], set[order[2]], set[order[3]]}, flaws); again.Hash != base.Hash ||
			!reflect.DeepEqual(again.Withheld, base.Withheld) {
			wrong = append(wrong, "another order gives another outcome at first")
		}
	}
	held = len(base.Withheld)
	d := drawer{rand.New(rand.NewPCG(uint64(i), 25))}
	if len(base.Withheld) > 0 {
		base = merge(c, base.Accepted, nil, 0) // what held nothing is not offered again
	}
	offered := d.change(c, base.Accepted)
	got := merge(c, base.Accepted, offered, flaws)
	wrong = append(wrong, heldWrong(c, base, offered, got)...)
	d.Shuffle(len(offered), func(a, b int) { offered[a], offered[b] = offered[b], offered[a] })
	good := slices.Clone(base.Accepted)
	d.Shuffle(len(good), func(a, b int) { good[a], good[b] = good[b], good[a] })
	again := merge(c, good, append(offered, offered[:len(offered)/2]...), flaws)
	if again.Hash != got.Hash || !reflect.DeepEqual(again.Withheld, got.Withheld) || !reflect.DeepEqual(again.Conflicts, got.Conflicts) {
		wrong = append(wrong, "another order gives another outcome")
	}
	return wrong, held + len(got.Withheld)
}

func TestMergesOfDrawnSets(t *testing.T) {
	held := 0
	for i := range drawnSets {
		wrong, n := play(i, 0)
		held += n
		for _, w := range wrong {
			t.Fatalf("set %d: %s", i, w)
		}
	}
	t.Logf("%d sets, %d namespaces held", drawnSets, held)
	if held < drawnSets/10 {
		t.Errorf("%d namespaces were held only: the draw is too tame", held)
	}
}

// Associative: what has no conflict gives the same bytes in whichever parts it is taken up. The services' namespace comes first,
// for a route to a service that is not there yet is rightly held.
func TestPartsGiveTheWhole(t *testing.T) {
	whole := 0
	for i := range 300 {
		c, set := drawSet(i)
		want := Merge(c, nil, set)
		if len(want.Withheld) > 0 {
			continue
		}
		whole++
		rest := set[1:]
		rand.New(rand.NewPCG(uint64(i), 27)).Shuffle(len(rest), func(a, b int) { rest[a], rest[b] = rest[b], rest[a] })
		got := Merge(c, Merge(c, nil, set[:1]).Accepted, rest[:1+i%2])
		got = Merge(c, got.Accepted, rest[1+i%2:])
		if got.Hash != want.Hash || len(got.Withheld) > 0 {
			t.Fatalf("set %d: in parts another policy, held %v", i, got.Withheld)
		}
	}
	t.Logf("%d sets without conflict", whole)
	if whole < 100 {
		t.Errorf("%d sets only have no conflict", whole)
	}
}

// The checks above are tried: each guard taken out is convicted.
func TestRemovedGuardsAreConvicted(t *testing.T) {
	for name, flaws := range map[string]mutation{"take all": acceptAll, "hold all": withholdAll, "order of arrival": arrivalOrder, "no return": noReinstatement | withholdUnchanged, "hold whoever changed": noReinstatement} {
		convicted := ""
		for i := 0; i < drawnSets && convicted == ""; i++ {
			if wrong, _ := play(i, flaws); len(wrong) > 0 {
				convicted = fmt.Sprintf("set %d: %s", i, wrong[0])
			}
		}
		t.Logf("%s: %s", name, convicted)
		if convicted == "" {
			t.Errorf("%s: not convicted in %d sets", name, drawnSets)
		}
	}
	// The comparison with the slow search: a finder that leaves out each kind, or has one too many.
	for _, k := range []ConflictKind{Contradiction, ContradictoryOverrides, MinimumsExceedLimit, ServiceRemoved, DomainOverlap, UnreachableRule} {
		missed := false
		for i := 0; i < drawnSets && !missed; i++ {
			c, set := drawSet(i)
			found := slices.DeleteFunc(Check(c, nil, set), func(x Conflict) bool { return x.Kind == k })
			missed = len(compareWithSlow(c, set, found)) > 0
		}
		if !missed {
			t.Errorf("a finder without %s is not convicted", k)
		}
	}
	// One that knows no delegations, and one that takes each delegation for a leave to go first.
	for name, flawed := range map[string]func(*Declaration) *Declaration{
		"no delegations": func(c *Declaration) *Declaration { f := *c; f.delegationsTo = nil; return &f },
		"any delegation": func(c *Declaration) *Declaration {
			f := *c
			f.delegationsTo = map[string][]*Delegation{}
			for _, d := range c.Delegations {
				f.delegationsTo[d.To] = append(f.delegationsTo[d.To], &Delegation{d.From, d.To, Domain{Settings: d.Settings}})
			}
			return &f
		},
	} {
		wrong := 0
		for i := range 300 {
			c, set := drawSet(i)
			found := newFinder(flawed(c), nil).withholding(set)
			for _, w := range compareWithSlow(c, set, append(found, newFinder(c, nil).reported(set)...)) {
				if strings.Contains(w, string(Contradiction)) {
					wrong++
				}
			}
		}
		t.Logf("%s: %d wrong", name, wrong)
		if wrong == 0 {
			t.Errorf("a finder with %s is not convicted", name)
		}
	}
}

// Whatever a file has in it, it is read or refused with its name, and what was read merges without harm to the others.
func TestDamagedFiles(t *testing.T) {
	c, texts := shipped(t)
	base := Merge(c, nil, []*File{parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])})
	rng := rand.New(rand.NewPCG(7, 26))
	read, refused := 0, 0
	for range 1000 {
		name := []string{"dispatch", "settlement", "booking-desks", "charter"}[rng.IntN(4)]
		text := []byte(texts[name])
		for range 1 + rng.IntN(3) {
			i, k := rng.IntN(len(text)), rng.IntN(len(text))
			switch rng.IntN(4) {
			case 0:
				text[i] = text[k]
			case 1:
				text = slices.Delete(text, min(i, k), min(i, k)+min(len(text)-min(i, k), 1+rng.IntN(8)))
			case 2:
				text = slices.Insert(text, i, text[min(i, k):min(i, k)+min(len(text)-min(i, k), 40)]...)
			default:
				text[i] = byte(rng.IntN(256))
			}
		}
		var err error
		var n *File
		if name == "charter" {
			var other *Declaration
			if other, err = ParseDeclaration("x.toml", text); err == nil {
				Merge(other, base.Accepted, nil)
			}
		} else if n, err = Parse("x.toml", text); err == nil {
			out := Merge(c, base.Accepted, []*File{n})
			if len(out.Accepted) != 3 {
				t.Fatalf("%d go on after:\n%s", len(out.Accepted), text)
			}
			for _, h := range out.Withheld {
				if h.Namespace != n.Name {
					t.Fatalf("%v, but %s offered:\n%s", h, n.Name, text)
				}
			}
		}
		if err != nil {
			refused++
			var file FileError
			if !errors.As(err, &file) || file.Path != "x.toml" || file.Err == nil {
				t.Fatalf("%v does not say where:\n%s", err, text)
			}
			continue
		}
		read++
	}
	t.Logf("%d read, %d refused", read, refused)
	if read < 40 || refused < 40 {
		t.Errorf("the draw is too tame: %d read, %d refused", read, refused)
	}
}
