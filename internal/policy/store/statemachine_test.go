package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// declarationText has two teams on one host, and a third elsewhere; with the last argument beta has only a part.
func declarationText(beta string) string {
	return `version = 1
[[namespace]]
name = "alpha"
owner = "a"
hosts = ["x.org"]
settings = ["route", "service"]
[[namespace]]
name = "beta"
owner = "b"
hosts = ["` + beta + `"]
settings = ["route", "service"]
[[namespace]]
name = "gamma"
owner = "c"
hosts = ["g.org"]
settings = ["route", "service"]
`
}

// policyFile is a file with one route for a path.
func policyFile(name string, number int, host, path string) string {
	return fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n[[route]]\nname = \"r\"\nhost = %q\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, host, path, name)
}

func submitCommand(text string) Command {
	return Command{SubmitFile: &SubmitFile{Text: text, Author: "t"}}
}

func apply(t *testing.T, b *StateMachine, all ...Command) {
	t.Helper()
	for _, c := range all {
		if err := b.Apply(c); err != nil {
			t.Fatalf("%v: %s", err, operatorerror.Of(err))
		}
	}
}

func newWithTwoTeams(t *testing.T, f mutation) *StateMachine {
	b := New(0)
	b.mutations = f
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declarationText("x.org")}}, submitCommand(policyFile("alpha", 1, "x.org", "/a")), submitCommand(policyFile("beta", 1, "x.org", "/b")))
	completeRollouts(t, b)
	return b
}

// completeRollouts has all trains come through.
func completeRollouts(t *testing.T, b *StateMachine) {
	t.Helper()
	for range 20 {
		if b.Status().Candidate.Epoch == 0 {
			return
		}
		endRollout(t, b, true)
	}
	t.Fatalf("trains without an end: %+v", b.Status())
}

// endRollout ends the train that is on its way.
func endRollout(t *testing.T, b *StateMachine, done bool) {
	t.Helper()
	s := b.Status()
	j := RolloutResult{Generation: s.Candidate.Generation, Epoch: s.Candidate.Epoch, Completed: done}
	if !done {
		j.Reason, j.Advice = fmt.Sprintf("worse in epoch %d", j.Epoch), "mend it"
	}
	apply(t, b, Command{RolloutResult: &j})
}

func headRoutes(t *testing.T, b *StateMachine) string {
	t.Helper()
	return routesOf(t, b, b.Status().Head)
}

func policyOf(t *testing.T, b *StateMachine, o rollout.Version) *namespace.Policy {
	t.Helper()
	tree, ok := b.Tree(o)
	if !ok || tree.Root().String() != o.Hash {
		t.Fatalf("%+v is not kept as it is told", o)
	}
	p, err := namespace.FromTree(tree)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func routesOf(t *testing.T, b *StateMachine, o rollout.Version) string {
	t.Helper()
	p := policyOf(t, b, o)
	var out []string
	for _, r := range p.Routes {
		out = append(out, r.Name+r.PathPrefix)
	}
	return strings.Join(out, " ")
}

// What must never happen, each with the guard that prevents it taken out.
func TestMutationsAreDetected(t *testing.T) {
	for name, k := range map[string]struct {
		flaw mutation
		run  func(t *testing.T, b *StateMachine) error
	}{
		"a file that is late takes its namespace back": {allowReusedNumbers, func(t *testing.T, b *StateMachine) error {
			apply(t, b, submitCommand(policyFile("alpha", 3, "x.org", "/a3")))
			err := b.Apply(submitCommand(policyFile("alpha", 2, "x.org", "/a2")))
			if !strings.Contains(headRoutes(t, b), "/a3") {
				return fmt.Errorf("%s: %v", headRoutes(t, b), err)
			}
			return nil
		}},
		"one team's file stops another's": {holdEverything, func(t *testing.T, b *StateMachine) error {
			_ = b.Apply(submitCommand(policyFile("beta", 2, "x.org", "/a")))
			_ = b.Apply(submitCommand(policyFile("gamma", 1, "g.org", "/")))
			if got := headRoutes(t, b); !strings.Contains(got, "gamma/r") || !strings.Contains(got, "beta/r/b") {
				return errors.New(got)
			}
			return nil
		}},
		"going back is no word that goes before": {keepGeneration, func(t *testing.T, b *StateMachine) error {
			was := b.Status().Active
			apply(t, b, Command{Rollback: &Rollback{Epoch: b.Status().RetainedEpochs[0]}})
			if now := b.Status().Active; !now.NewerThan(was) {
				return fmt.Errorf("%+v does not go before %+v", now, was)
			}
			return nil
		}},
	} {
		if err := k.run(t, newWithTwoTeams(t, 0)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := k.run(t, newWithTwoTeams(t, k.flaw)); err == nil {
			t.Errorf("not convicted without its guard: %s", name)
		}
	}
}

// randomCommands is a run of commands, good and bad.
func randomCommands(rng *rand.Rand, n int) (all []Command) {
	all = append(all, Command{SetDeclaration: &SetDeclaration{Text: declarationText("x.org")}})
	for i := range n {
		name := []string{"alpha", "beta", "gamma", "delta"}[rng.IntN(4)]
		switch rng.IntN(9) {
		case 0:
			all = append(all, Command{SetDeclaration: &SetDeclaration{Text: declarationText([]string{"x.org", "y.org"}[rng.IntN(2)])}})
		case 1:
			all = append(all, Command{Rollback: &Rollback{Epoch: uint64(rng.IntN(n))}})
		case 2:
			all = append(all, Command{RolloutResult: &RolloutResult{Epoch: uint64(i), Completed: rng.IntN(2) == 0, Reason: "w", ProxyCount: i}})
		case 3:
			all = append(all, Command{RolloutResult: &RolloutResult{Epoch: uint64(i), Completed: rng.IntN(4) != 0, Reason: "w"}})
		case 4:
			all = append(all, submitCommand("not = a file"))
		default:
			all = append(all, submitCommand(policyFile(name, 1+rng.IntN(i+1), []string{"x.org", "g.org"}[rng.IntN(2)], "/"+string(rune('a'+rng.IntN(3))))))
		}
	}
	return all
}

// The same commands give the same bytes, over a snapshot in between too; and no epoch falls unless the order rises.
func TestStateIsDeterministic(t *testing.T) {
	for seed := range uint64(40) {
		a, b := New(0), New(0)
		held := 0
		for i, c := range randomCommands(rand.New(rand.NewPCG(seed, 1)), 40) {
			before := a.Status()
			if c.RolloutResult != nil { // of what is on its way, mostly
				j := *c.RolloutResult
				if j.Epoch%4 != 0 {
					j.Generation, j.Epoch = before.Candidate.Generation, before.Candidate.Epoch
				}
				c.RolloutResult = &j
			}
			errA, errB := a.Apply(c), b.Apply(c)
			if fmt.Sprint(errA) != fmt.Sprint(errB) {
				t.Fatalf("seed %d: %v and %v", seed, errA, errB)
			}
			x, _ := a.Snapshot()
			y, _ := b.Snapshot()
			if !bytes.Equal(x, y) {
				t.Fatalf("seed %d, command %d: they differ", seed, i)
			}
			if i%5 == 0 {
				b = New(0)
				if err := b.Restore(x); err != nil {
					t.Fatal(err)
				}
			}
			s := a.Status()
			for _, h := range s.WithheldFiles {
				if h.Advice == "" || h.Reason == "" {
					t.Fatalf("%+v", h)
				}
			}
			held += len(s.WithheldFiles)
			newest := max(before.Candidate.Epoch, before.Active.Epoch, before.Head.Epoch)
			if after := max(s.Candidate.Epoch, s.Active.Epoch, s.Head.Epoch); after < newest && c.Rollback == nil {
				t.Fatalf("seed %d: epoch %d after %d without a word", seed, after, newest)
			}
			if s.Active != before.Active && before.Active.Epoch != 0 && !s.Active.NewerThan(before.Active) {
				t.Fatalf("seed %d: %+v after %+v", seed, s.Active, before.Active)
			}
			if len(s.RetainedEpochs) > MaxRetainedPolicies {
				t.Fatal(s.RetainedEpochs)
			}
		}
		if held == 0 {
			t.Errorf("seed %d: nothing was ever held", seed)
		}
	}
}

// A charter that takes a domain back cuts what is outside it, tells why, and holds nobody else; given back, the rule is there again.
func TestDeclarationWithdrawsHost(t *testing.T) {
	b := newWithTwoTeams(t, 0)
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declarationText("y.org")}})
	if s := b.Status(); headRoutes(t, b) != "alpha/r/a" || len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "beta" || len(s.WithheldFiles[0].RemovedRules) != 1 {
		t.Errorf("%s, %+v", headRoutes(t, b), s.WithheldFiles)
	}
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declarationText("x.org")}})
	if s := b.Status(); headRoutes(t, b) != "alpha/r/a beta/r/b" || len(s.WithheldFiles) != 0 {
		t.Errorf("%s, %+v", headRoutes(t, b), s.WithheldFiles)
	}
}

// Back puts files back, drops what waits, and the file that was gone back from does not come again by itself.
func TestRollback(t *testing.T) {
	b := newWithTwoTeams(t, 0)
	good := b.Status().Active
	apply(t, b, submitCommand(policyFile("alpha", 2, "x.org", "/bad")))
	next := b.Status().Candidate
	endRollout(t, b, false)
	if s := b.Status(); s.Stopped == nil || s.Active != good {
		t.Fatalf("%+v", s)
	}
	apply(t, b, Command{Rollback: &Rollback{Epoch: good.Epoch, Author: "on call"}}, Command{Rollback: &Rollback{Epoch: good.Epoch, Author: "on call"}})
	if s := b.Status(); s.Active.Epoch != good.Epoch || s.Active.Generation != 1 || s.Stopped != nil || s.Candidate.Epoch != 0 {
		t.Errorf("%+v", s)
	}
	if err := b.Apply(submitCommand(policyFile("alpha", 2, "x.org", "/bad"))); !errors.As(err, &namespace.VersionTakenError{}) {
		t.Error(err)
	}
	apply(t, b, submitCommand(policyFile("gamma", 1, "g.org", "/g")))
	if s := b.Status(); headRoutes(t, b) != "alpha/r/a beta/r/b gamma/r/g" || s.Candidate.Epoch <= next.Epoch {
		t.Errorf("%s, %+v", headRoutes(t, b), s)
	}
}

func TestRejectedCommandChangesNothing(t *testing.T) {
	for _, k := range []struct {
		c    Command
		want any
	}{
		{Command{}, new(InvalidCommandError)},
		{Command{Rollback: &Rollback{}, RolloutResult: &RolloutResult{}}, new(InvalidCommandError)},
		{submitCommand(strings.Repeat("#", MaxFileBytes+1)), new(TooLargeError)},
		{Command{SetDeclaration: &SetDeclaration{Text: "x", Author: strings.Repeat("a", 200)}}, new(TooLargeError)},
		{Command{SetDeclaration: &SetDeclaration{Text: "version = 9"}}, new(namespace.FileError)},
		{submitCommand("version = 1"), new(namespace.FileError)},
		{submitCommand(policyFile("delta", 1, "x.org", "/")), new(namespace.UnknownNamespaceError)},
		{Command{Rollback: &Rollback{Epoch: 99}}, new(EpochNotRetainedError)},
	} {
		b := newWithTwoTeams(t, 0)
		before, _ := b.Snapshot()
		err := b.Apply(k.c)
		after, _ := b.Snapshot()
		if !errors.As(err, k.want) || operatorerror.Of(err) == "" || !bytes.Equal(before, after) {
			t.Errorf("%+v: %v", k.c, err)
		}
	}
	if err := New(0).Apply(submitCommand("x")); !errors.As(err, new(NoDeclarationError)) {
		t.Error(err)
	}
	b := newWithTwoTeams(t, 0)
	x, _ := b.Snapshot()
	if err := New(0).Restore(x); err != nil {
		t.Fatal(err)
	}
	// Whichever text or piece is damaged, it is found.
	for at := 0; ; at++ {
		next := bytes.Index(x[at:], []byte("s-beta"))
		if next < 0 {
			break
		}
		at += next
		y := bytes.Clone(x)
		y[at+3] ^= 1
		c := newWithTwoTeams(t, 0)
		err := c.Restore(y)
		z, _ := c.Snapshot()
		if !errors.As(err, new(InvalidCommandError)) || !bytes.Equal(x, z) {
			t.Errorf("a snapshot damaged at %d of %d: %v", at, len(x), err)
		}
	}
}
