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

// mergeChecker checks one outcome of a merge.
type mergeChecker struct {
	declaration *Declaration
	before      Outcome // of the merge before
	submitted   []*File
	got         Outcome
	violations  []string
}

func (c *mergeChecker) violated(violation bool, format string, args ...any) {
	if violation {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// checkOutcome returns all that is wrong with an outcome.
func checkOutcome(d *Declaration, before Outcome, submitted []*File, got Outcome) []string {
	c := &mergeChecker{declaration: d, before: before, submitted: submitted, got: got}
	inForce := c.filesInForce()
	c.checkPolicy(inForce)
	for _, w := range got.Withheld {
		c.checkWithheld(w, inForce)
	}
	for _, f := range submitted {
		accepted := slices.ContainsFunc(got.Accepted, func(a *File) bool {
			return a.Name == f.Name && a.Number == f.Number
		})
		reported := slices.ContainsFunc(got.Withheld, func(w WithheldError) bool { return w.Namespace == f.Name })
		c.violated(!accepted && !reported, "%s is withheld and not reported", f.Name)
	}
	return c.violations
}

// filesInForce returns the accepted files without the rules that are reported as removed.
func (c *mergeChecker) filesInForce() []*File {
	var files []*File
	for _, f := range c.got.Accepted {
		removed := map[string]bool{}
		for _, w := range c.got.Withheld {
			if w.Namespace != f.Name {
				continue
			}
			for _, id := range w.RemovedRules {
				removed[id] = true
			}
		}
		files = append(files, f.without(removed))
	}
	return files
}

func (c *mergeChecker) checkPolicy(inForce []*File) {
	for _, conflict := range Check(c.declaration, nil, inForce) {
		c.violated(conflict.Kind.Withholds(), "what is in force conflicts: %v", conflict)
	}
	c.violated(assemble(c.declaration, inForce).Hash() != c.got.Hash, "the policy is not what is in force")
	_, err := c.got.Policy.Table()
	c.violated(err != nil, "the policy has no table: %v", err)
}

// checkWithheld checks that a namespace is withheld only for a conflict that its file would bring.
func (c *mergeChecker) checkWithheld(w WithheldError, inForce []*File) {
	takesPart := slices.ContainsFunc(c.got.Conflicts, func(conflict Conflict) bool {
		inRules := func(s Source) bool { return s.Namespace == w.Namespace }
		return conflict.Kind.Withholds() && slices.ContainsFunc(conflict.Rules, inRules)
	})
	c.violated(!takesPart, "%s is withheld and in no conflict", w.Namespace)
	i := slices.IndexFunc(c.submitted, func(f *File) bool { return f.Name == w.Namespace })
	if i < 0 {
		c.violated(len(c.before.Withheld) == 0, "%s is withheld and changed nothing", w.Namespace)
		return
	}
	if w.Active >= w.Submitted || len(w.RemovedRules) > 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(inForce), func(f *File) bool { return f.Name == w.Namespace })
	found := Check(c.declaration, nil, append(others, c.submitted[i]))
	withholds := func(conflict Conflict) bool { return conflict.Kind.Withholds() }
	c.violated(!slices.ContainsFunc(found, withholds), "%s is withheld without a conflict", w.Namespace)
}

// permutations returns all orders of a set of four.
func permutations(set []*File) [][]*File {
	var all [][]*File
	for i := range 256 {
		a, b, c, d := i&3, i>>2&3, i>>4&3, i>>6
		if 1<<a|1<<b|1<<c|1<<d == 15 {
			all = append(all, []*File{set[a], set[b], set[c], set[d]})
		}
	}
	return all
}

// runRandomMerge merges a random set and a change of it. It returns all that is wrong, and how many were withheld.
func runRandomMerge(i int, mutations mutation) ([]string, int) {
	d, set := randomSet(i)
	first := merge(d, nil, set, mutations)
	violations := checkOutcome(d, Outcome{}, set, first)
	if i%50 == 0 {
		for _, order := range permutations(set) {
			again := merge(d, nil, order, mutations)
			if again.Hash != first.Hash || !reflect.DeepEqual(again.Withheld, first.Withheld) {
				violations = append(violations, "another order gives another outcome at first")
			}
		}
	}
	withheld := len(first.Withheld)
	r := randomRules{rand.New(rand.NewPCG(uint64(i), 25))}
	before := first
	if len(first.Withheld) > 0 {
		before = merge(d, first.Accepted, nil, 0) // what was withheld is not submitted again
	}
	submitted := r.change(d, before.Accepted)
	got := merge(d, before.Accepted, submitted, mutations)
	violations = append(violations, checkOutcome(d, before, submitted, got)...)
	r.Shuffle(len(submitted), func(a, b int) { submitted[a], submitted[b] = submitted[b], submitted[a] })
	accepted := slices.Clone(before.Accepted)
	r.Shuffle(len(accepted), func(a, b int) { accepted[a], accepted[b] = accepted[b], accepted[a] })
	repeated := append(submitted, submitted[:len(submitted)/2]...)
	again := merge(d, accepted, repeated, mutations)
	if again.Hash != got.Hash || !reflect.DeepEqual(again.Withheld, got.Withheld) ||
		!reflect.DeepEqual(again.Conflicts, got.Conflicts) {
		violations = append(violations, "another order gives another outcome")
	}
	return violations, withheld + len(got.Withheld)
}

func TestRandomMerges(t *testing.T) {
	withheld := 0
	for i := range randomSetCount {
		violations, n := runRandomMerge(i, 0)
		withheld += n
		for _, violation := range violations {
			t.Fatalf("set %d: %s", i, violation)
		}
	}
	t.Logf("%d sets, %d files withheld", randomSetCount, withheld)
	if withheld < randomSetCount/10 {
		t.Errorf("only %d files were withheld: the random sets are too tame", withheld)
	}
}

// What has no conflict gives the same bytes in whichever parts it is merged. The namespace of the services comes first,
// because a route to a service that is not there is withheld.
func TestMergeInPartsGivesTheSame(t *testing.T) {
	compared := 0
	for i := range 300 {
		d, set := randomSet(i)
		want := Merge(d, nil, set)
		if len(want.Withheld) > 0 {
			continue
		}
		compared++
		rest := set[1:]
		rng := rand.New(rand.NewPCG(uint64(i), 27))
		rng.Shuffle(len(rest), func(a, b int) { rest[a], rest[b] = rest[b], rest[a] })
		got := Merge(d, Merge(d, nil, set[:1]).Accepted, rest[:1+i%2])
		got = Merge(d, got.Accepted, rest[1+i%2:])
		if got.Hash != want.Hash || len(got.Withheld) > 0 {
			t.Fatalf("set %d: in parts another policy, withheld %v", i, got.Withheld)
		}
	}
	t.Logf("%d sets without conflict", compared)
	if compared < 100 {
		t.Errorf("only %d sets have no conflict", compared)
	}
}

// The random merges detect each rule of Merge that is switched off.
func TestRandomMergesDetectMutations(t *testing.T) {
	for name, mutations := range map[string]mutation{
		"accept all":         acceptAll,
		"withhold all":       withholdAll,
		"order of arrival":   arrivalOrder,
		"no reinstatement":   noReinstatement,
		"withhold unchanged": noReinstatement | withholdUnchanged,
	} {
		detected := ""
		for i := 0; i < randomSetCount && detected == ""; i++ {
			if violations, _ := runRandomMerge(i, mutations); len(violations) > 0 {
				detected = fmt.Sprintf("set %d: %s", i, violations[0])
			}
		}
		t.Logf("%s: %s", name, detected)
		if detected == "" {
			t.Errorf("%s: not detected in %d sets", name, randomSetCount)
		}
	}
}

// The exhaustive search detects a finder that leaves out a kind of conflicts.
func TestExhaustiveSearchDetectsMissingKinds(t *testing.T) {
	for _, kind := range exhaustiveKinds {
		detected := false
		for i := 0; i < randomSetCount && !detected; i++ {
			d, set := randomSet(i)
			found := slices.DeleteFunc(Check(d, nil, set), func(c Conflict) bool { return c.Kind == kind })
			detected = len(compareWithExhaustive(d, set, found)) > 0
		}
		if !detected {
			t.Errorf("a finder without %s is not detected", kind)
		}
	}
}

// The exhaustive search detects a finder that knows no delegations, and one that takes each for a delegation of all.
func TestExhaustiveSearchDetectsWrongDelegations(t *testing.T) {
	for name, mutate := range map[string]func(*Declaration) *Declaration{
		"no delegations": func(d *Declaration) *Declaration {
			mutated := *d
			mutated.delegationsTo = nil
			return &mutated
		},
		"delegations of all": func(d *Declaration) *Declaration {
			mutated := *d
			mutated.delegationsTo = map[string][]*Delegation{}
			for _, delegation := range d.Delegations {
				wide := &Delegation{delegation.From, delegation.To, Domain{Settings: delegation.Settings}}
				mutated.delegationsTo[wide.To] = append(mutated.delegationsTo[wide.To], wide)
			}
			return &mutated
		},
	} {
		detected := 0
		for i := range 300 {
			d, set := randomSet(i)
			found := newFinder(mutate(d), nil).withholding(set)
			found = append(found, newFinder(d, nil).reported(set)...)
			for _, difference := range compareWithExhaustive(d, set, found) {
				if strings.Contains(difference, string(Contradiction)) {
					detected++
				}
			}
		}
		t.Logf("%s: %d differences", name, detected)
		if detected == 0 {
			t.Errorf("a finder with %s is not detected", name)
		}
	}
}

// damage changes, removes or repeats some bytes of a text.
func damage(rng *rand.Rand, text []byte) []byte {
	for range 1 + rng.IntN(3) {
		i := rng.IntN(len(text))
		k := rng.IntN(len(text))
		start := min(i, k)
		rest := len(text) - start
		switch rng.IntN(4) {
		case 0:
			text[i] = text[k]
		case 1:
			text = slices.Delete(text, start, start+min(rest, 1+rng.IntN(8)))
		case 2:
			text = slices.Insert(text, i, text[start:start+min(rest, 40)]...)
		default:
			text[i] = byte(rng.IntN(256))
		}
	}
	return text
}

// A damaged file is parsed or rejected with its name, and a parsed one merges without harm to the others.
func TestDamagedFiles(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	rng := rand.New(rand.NewPCG(7, 26))
	parsed := 0
	rejected := 0
	for range 1000 {
		name := []string{"dispatch", "settlement", "booking-desks", exampleDeclaration}[rng.IntN(4)]
		text := damage(rng, []byte(example.texts[name]))
		err := mergeDamaged(t, example, accepted, name, text)
		if err == nil {
			parsed++
			continue
		}
		rejected++
		var file FileError
		if !errors.As(err, &file) || file.Path != "x.toml" || file.Err == nil {
			t.Fatalf("%v has no place:\n%s", err, text)
		}
	}
	t.Logf("%d parsed, %d rejected", parsed, rejected)
	if parsed < 40 || rejected < 40 {
		t.Errorf("the damage is too tame: %d parsed, %d rejected", parsed, rejected)
	}
}

// mergeDamaged merges a damaged file or declaration, or returns the error of its parser.
func mergeDamaged(t *testing.T, example *exampleFleet, accepted []*File, name string, text []byte) error {
	t.Helper()
	if name == exampleDeclaration {
		d, err := ParseDeclaration("x.toml", text)
		if err == nil {
			Merge(d, accepted, nil)
		}
		return err
	}
	f, err := Parse("x.toml", text)
	if err != nil {
		return err
	}
	out := Merge(example.declaration, accepted, []*File{f})
	if len(out.Accepted) != len(accepted) {
		t.Fatalf("%d go on after:\n%s", len(out.Accepted), text)
	}
	for _, w := range out.Withheld {
		if w.Namespace != f.Name {
			t.Fatalf("%v, but %s submitted:\n%s", w, f.Name, text)
		}
	}
	return nil
}
