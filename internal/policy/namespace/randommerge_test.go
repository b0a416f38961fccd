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

// mergeChecker checks that the outcome of one merge is as the doc comment of Merge says.
type mergeChecker struct {
	declaration *Declaration
	previous    Outcome // outcome of the merge whose accepted files this merge started from
	submitted   []*File
	got         Outcome
	violations  []string
}

// addIf adds a violation if the condition holds.
func (c *mergeChecker) addIf(violation bool, format string, args ...any) {
	if violation {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// checkOutcome returns a text for each violation that it finds in the outcome of a merge.
func checkOutcome(d *Declaration, previous Outcome, submitted []*File, got Outcome) []string {
	c := &mergeChecker{declaration: d, previous: previous, submitted: submitted, got: got}
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
		c.addIf(!accepted && !reported,
			"the submitted file of namespace %s is neither in Accepted nor in Withheld", f.Name)
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

// checkPolicy checks that the policy consists of the files in force, which have no conflict that withholds a file.
func (c *mergeChecker) checkPolicy(inForce []*File) {
	for _, conflict := range Check(c.declaration, nil, inForce) {
		c.addIf(conflict.Kind.Withholds(), "the files in force have a conflict that withholds a file: %v", conflict)
	}
	want := assemble(c.declaration, inForce).Hash()
	c.addIf(want != c.got.Hash, "policy hash = %s, want %s, that of the files in force", c.got.Hash, want)
	_, err := c.got.Policy.Table()
	c.addIf(err != nil, "Policy.Table = error %v, want none", err)
}

// checkWithheld checks that a namespace has a file withheld only for a conflict that the file would cause.
func (c *mergeChecker) checkWithheld(w WithheldError, inForce []*File) {
	inConflict := slices.ContainsFunc(c.got.Conflicts, func(conflict Conflict) bool {
		isWithheld := func(s Source) bool { return s.Namespace == w.Namespace }
		return conflict.Kind.Withholds() && slices.ContainsFunc(conflict.Rules, isWithheld)
	})
	c.addIf(!inConflict,
		"namespace %s has a file withheld, but no reported conflict has a rule of the namespace", w.Namespace)
	i := slices.IndexFunc(c.submitted, func(f *File) bool { return f.Name == w.Namespace })
	if i < 0 {
		c.addIf(len(c.previous.Withheld) == 0, "namespace %s has rules withheld, but it submitted no file", w.Namespace)
		return
	}
	if w.Active >= w.Submitted || len(w.RemovedRules) > 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(inForce), func(f *File) bool { return f.Name == w.Namespace })
	found := Check(c.declaration, nil, append(others, c.submitted[i]))
	withholds := func(conflict Conflict) bool { return conflict.Kind.Withholds() }
	c.addIf(!slices.ContainsFunc(found, withholds),
		"namespace %s has its file withheld, but the file has no conflict with the files in force", w.Namespace)
}

// permutations returns all orders of a set of four files.
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

// runRandomMerge merges a random set of files and then a random change of it, also in other orders. It returns the
// violations found in the outcomes, and how many files were withheld.
func runRandomMerge(i int, mutations mutation) ([]string, int) {
	d, set := randomSet(i)
	first := merge(d, nil, set, mutations)
	violations := checkOutcome(d, Outcome{}, set, first)
	if i%50 == 0 {
		for _, order := range permutations(set) {
			again := merge(d, nil, order, mutations)
			if again.Hash != first.Hash || !reflect.DeepEqual(again.Withheld, first.Withheld) {
				violations = append(violations,
					"merging the first files in another order gives another policy or other withheld files")
			}
		}
	}
	withheld := len(first.Withheld)
	r := randomRules{rand.New(rand.NewPCG(uint64(i), 25))}
	previous := first
	if len(first.Withheld) > 0 {
		previous = merge(d, first.Accepted, nil, 0) // the withheld files are not submitted again
	}
	submitted := r.change(d, previous.Accepted)
	got := merge(d, previous.Accepted, submitted, mutations)
	violations = append(violations, checkOutcome(d, previous, submitted, got)...)
	r.Shuffle(len(submitted), func(a, b int) { submitted[a], submitted[b] = submitted[b], submitted[a] })
	accepted := slices.Clone(previous.Accepted)
	r.Shuffle(len(accepted), func(a, b int) { accepted[a], accepted[b] = accepted[b], accepted[a] })
	repeated := append(submitted, submitted[:len(submitted)/2]...)
	again := merge(d, accepted, repeated, mutations)
	if again.Hash != got.Hash || !reflect.DeepEqual(again.Withheld, got.Withheld) ||
		!reflect.DeepEqual(again.Conflicts, got.Conflicts) {
		violations = append(violations, "merging the changed files in another order, some twice, gives another outcome")
	}
	return violations, withheld + len(got.Withheld)
}

// The outcomes of merges of random files have no violations that runRandomMerge detects.
func TestRandomMerges(t *testing.T) {
	withheld := 0
	for i := range randomSetCount {
		violations, n := runRandomMerge(i, 0)
		withheld += n
		for _, violation := range violations {
			t.Fatalf("random set %d: Merge: %s", i, violation)
		}
	}
	t.Logf("%d random sets, %d files withheld", randomSetCount, withheld)
	if withheld < randomSetCount/10 {
		t.Errorf("the random merges withheld %d files, want at least %d", withheld, randomSetCount/10)
	}
}

// Files without a conflict give the same policy whether they are merged at once or in parts. The namespace that defines
// the services is merged first, because a file with a route to an undefined service is withheld.
func TestMergeInPartsGivesTheSame(t *testing.T) {
	compared := 0
	for i := range 300 {
		d, set := randomSet(i)
		want := Merge(d, nil, set)
		if len(want.Withheld) > 0 {
			continue
		}
		compared++
		others := set[1:]
		rng := rand.New(rand.NewPCG(uint64(i), 27))
		rng.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
		got := Merge(d, Merge(d, nil, set[:1]).Accepted, others[:1+i%2])
		got = Merge(d, got.Accepted, others[1+i%2:])
		if got.Hash != want.Hash || len(got.Withheld) > 0 {
			t.Fatalf("random set %d: Merge in parts = policy %s, withheld %v; want policy %s, nothing withheld",
				i, got.Hash, got.Withheld, want.Hash)
		}
	}
	t.Logf("%d random sets without a conflict", compared)
	if compared < 100 {
		t.Errorf("Merge withholds nothing for %d of the first 300 random sets, want at least 100", compared)
	}
}

// If a rule of Merge is switched off, the checks of the random merges report a violation.
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
				detected = fmt.Sprintf("random set %d: %s", i, violations[0])
			}
		}
		t.Logf("mutation %q of Merge: first violation: %s", name, detected)
		if detected == "" {
			t.Errorf("runRandomMerge with the mutation %q = no violation in %d random sets, want at least one",
				name, randomSetCount)
		}
	}
}

// The comparison with the exhaustive search detects a finder that misses all conflicts of one kind.
func TestExhaustiveSearchDetectsMissingKinds(t *testing.T) {
	for _, kind := range exhaustiveKinds {
		detected := false
		for i := 0; i < randomSetCount && !detected; i++ {
			d, set := randomSet(i)
			found := slices.DeleteFunc(Check(d, nil, set), func(c Conflict) bool { return c.Kind == kind })
			detected = len(compareWithExhaustive(d, set, found)) > 0
		}
		if !detected {
			t.Errorf("compareWithExhaustive of the conflicts without those of kind %s = no difference "+
				"in all random sets, want at least one", kind)
		}
	}
}

// The comparison with the exhaustive search detects a finder that ignores delegations, and one that takes each
// delegation to cover all requests.
func TestExhaustiveSearchDetectsWrongDelegations(t *testing.T) {
	for name, mutate := range map[string]func(*Declaration) *Declaration{
		"no delegations": func(d *Declaration) *Declaration {
			mutated := *d
			mutated.delegationsTo = nil
			return &mutated
		},
		"delegations of all requests": func(d *Declaration) *Declaration {
			mutated := *d
			mutated.delegationsTo = map[string][]*Delegation{}
			for _, delegation := range d.Delegations {
				unlimited := &Delegation{delegation.From, delegation.To, Domain{Settings: delegation.Settings}}
				mutated.delegationsTo[unlimited.To] = append(mutated.delegationsTo[unlimited.To], unlimited)
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
		t.Logf("conflict finder whose declaration has the fault %q: %d differences from the exhaustive search",
			name, detected)
		if detected == 0 {
			t.Errorf("conflict finder whose declaration has the fault %q: its contradictions equal those of the "+
				"exhaustive search in the first 300 random sets, want a difference, which shows that the comparison "+
				"detects the fault", name)
		}
	}
}

// corrupt changes, removes or repeats some bytes of a text, one to three times.
func corrupt(rng *rand.Rand, text []byte) []byte {
	for range 1 + rng.IntN(3) {
		i := rng.IntN(len(text))
		j := rng.IntN(len(text))
		start := min(i, j)
		bytesLeft := len(text) - start
		switch rng.IntN(4) {
		case 0:
			text[i] = text[j]
		case 1:
			text = slices.Delete(text, start, start+min(bytesLeft, 1+rng.IntN(8)))
		case 2:
			text = slices.Insert(text, i, text[start:start+min(bytesLeft, 40)]...)
		default:
			text[i] = byte(rng.IntN(256))
		}
	}
	return text
}

// A corrupt file is either rejected with a FileError that names it, or parsed and merged; then only its own namespace
// can have something withheld.
func TestDamagedFiles(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	rng := rand.New(rand.NewPCG(7, 26))
	parsed := 0
	rejected := 0
	for range 1000 {
		name := []string{"dispatch", "settlement", "booking-desks", exampleDeclaration}[rng.IntN(4)]
		text := corrupt(rng, []byte(example.texts[name]))
		err := mergeCorrupt(t, example, accepted, name, text)
		if err == nil {
			parsed++
			continue
		}
		rejected++
		var file FileError
		if !errors.As(err, &file) || file.Path != "x.toml" || file.Err == nil {
			t.Fatalf("parsing a corrupt file = error %v, want a FileError for x.toml with a cause; the text was:\n%s",
				err, text)
		}
	}
	t.Logf("corrupt files: %d parsed, %d rejected", parsed, rejected)
	if parsed < 40 || rejected < 40 {
		t.Errorf("parsing corrupt files: %d parsed, %d rejected; want at least 40 of each", parsed, rejected)
	}
}

// mergeCorrupt parses a corrupt file or declaration and merges it with the accepted files. It returns the error of the
// parser, if any.
func mergeCorrupt(t *testing.T, example *exampleFleet, accepted []*File, name string, text []byte) error {
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
		t.Fatalf("Merge with a corrupt file = %d accepted files, want %d; the text was:\n%s",
			len(out.Accepted), len(accepted), text)
	}
	for _, w := range out.Withheld {
		if w.Namespace != f.Name {
			t.Fatalf("Merge with a corrupt file of namespace %s withholds %v of another namespace; the text was:\n%s",
				f.Name, w, text)
		}
	}
	return nil
}
