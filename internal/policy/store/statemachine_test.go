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

// declarationText declares alpha and beta on one host, or beta on another one, and gamma elsewhere.
func declarationText(betaHost string) string {
	return `version = 1
[[namespace]]
name = "alpha"
owner = "a"
hosts = ["x.org"]
settings = ["route", "service"]
[[namespace]]
name = "beta"
owner = "b"
hosts = ["` + betaHost + `"]
settings = ["route", "service"]
[[namespace]]
name = "gamma"
owner = "c"
hosts = ["g.org"]
settings = ["route", "service"]
`
}

// policyFile is the file of a namespace with one route for a path.
func policyFile(name string, number int, host, path string) string {
	return fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n"+
		"[[route]]\nname = \"r\"\nhost = %q\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, host, path, name)
}

func declareCommand(text string) Command { return Command{SetDeclaration: &SetDeclaration{Text: text}} }

func submitCommand(text string) Command {
	return Command{SubmitFile: &SubmitFile{Text: text, Author: "t"}}
}

func rollbackCommand(epoch uint64) Command { return Command{Rollback: &Rollback{Epoch: epoch}} }

func resultCommand(result RolloutResult) Command { return Command{RolloutResult: &result} }

func apply(t *testing.T, m *StateMachine, commands ...Command) {
	t.Helper()
	for _, c := range commands {
		if err := m.Apply(c); err != nil {
			t.Fatalf("%v: %s", err, operatorerror.AdviceOf(err))
		}
	}
}

func snapshotOf(t *testing.T, m *StateMachine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newWithTwoTeams has a file of alpha and one of beta in force.
func newWithTwoTeams(t *testing.T, mutations mutation) *StateMachine {
	t.Helper()
	m := New(0)
	m.mutations = mutations
	apply(t, m,
		declareCommand(declarationText("x.org")),
		submitCommand(policyFile("alpha", 1, "x.org", "/a")),
		submitCommand(policyFile("beta", 1, "x.org", "/b")),
	)
	completeRollouts(t, m)
	return m
}

// completeRollouts has all rollouts complete until nothing waits.
func completeRollouts(t *testing.T, m *StateMachine) {
	t.Helper()
	for range 20 {
		if m.Status().Candidate.Epoch == 0 {
			return
		}
		endRollout(t, m, true)
	}
	t.Fatalf("the rollouts do not end: %+v", m.Status())
}

// endRollout ends the rollout of the candidate.
func endRollout(t *testing.T, m *StateMachine, completed bool) {
	t.Helper()
	candidate := m.Status().Candidate
	result := RolloutResult{Generation: candidate.Generation, Epoch: candidate.Epoch, Completed: completed}
	if !completed {
		result.Reason = fmt.Sprintf("worse in epoch %d", result.Epoch)
		result.Advice = "mend it"
	}
	apply(t, m, resultCommand(result))
}

func policyOf(t *testing.T, m *StateMachine, version rollout.Version) *namespace.Policy {
	t.Helper()
	tree, ok := m.Tree(version)
	if !ok || tree.Root().String() != version.Hash {
		t.Fatalf("%+v is not retained under its hash", version)
	}
	policy, err := namespace.FromTree(tree)
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

func routesOf(t *testing.T, m *StateMachine, version rollout.Version) string {
	t.Helper()
	var routes []string
	for _, r := range policyOf(t, m, version).Routes {
		routes = append(routes, r.Name+r.PathPrefix)
	}
	return strings.Join(routes, " ")
}

func headRoutes(t *testing.T, m *StateMachine) string {
	t.Helper()
	return routesOf(t, m, m.Status().Head)
}

// Each invariant holds, and is violated once the safeguard against its violation is switched off.
func TestMutationsAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		mutation mutation
		check    func(t *testing.T, m *StateMachine) error
	}{
		"a late file does not replace a newer one": {allowReusedNumbers, func(t *testing.T, m *StateMachine) error {
			apply(t, m, submitCommand(policyFile("alpha", 3, "x.org", "/a3")))
			err := m.Apply(submitCommand(policyFile("alpha", 2, "x.org", "/a2")))
			if !strings.Contains(headRoutes(t, m), "/a3") {
				return fmt.Errorf("%s: %w", headRoutes(t, m), errors.Join(err, errors.New("the newer file is gone")))
			}
			return nil
		}},
		"one team's file does not stop another's": {withholdEverything, func(t *testing.T, m *StateMachine) error {
			_ = m.Apply(submitCommand(policyFile("beta", 2, "x.org", "/a")))
			_ = m.Apply(submitCommand(policyFile("gamma", 1, "g.org", "/")))
			if got := headRoutes(t, m); !strings.Contains(got, "gamma/r") || !strings.Contains(got, "beta/r/b") {
				return errors.New(got)
			}
			return nil
		}},
		"a rollback gives a newer version": {keepGeneration, func(t *testing.T, m *StateMachine) error {
			before := m.Status()
			apply(t, m, rollbackCommand(before.RetainedEpochs[0]))
			if after := m.Status().Active; !after.NewerThan(before.Active) {
				return fmt.Errorf("%+v is not newer than %+v", after, before.Active)
			}
			return nil
		}},
	} {
		if err := test.check(t, newWithTwoTeams(t, 0)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := test.check(t, newWithTwoTeams(t, test.mutation)); err == nil {
			t.Errorf("not detected without its safeguard: %s", name)
		}
	}
}

// randomCommands draws valid and invalid commands.
func randomCommands(rng *rand.Rand, count int) []Command {
	commands := []Command{declareCommand(declarationText("x.org"))}
	for i := range count {
		name := []string{"alpha", "beta", "gamma", "delta"}[rng.IntN(4)]
		switch rng.IntN(9) {
		case 0:
			host := []string{"x.org", "y.org"}[rng.IntN(2)]
			commands = append(commands, declareCommand(declarationText(host)))
		case 1:
			commands = append(commands, rollbackCommand(uint64(rng.IntN(count))))
		case 2:
			commands = append(commands, resultCommand(RolloutResult{
				Epoch: uint64(i), Completed: rng.IntN(2) == 0, Reason: "w", ProxyCount: i,
			}))
		case 3:
			commands = append(commands, resultCommand(RolloutResult{
				Epoch: uint64(i), Completed: rng.IntN(4) != 0, Reason: "w",
			}))
		case 4:
			commands = append(commands, submitCommand("not = a file"))
		default:
			number := 1 + rng.IntN(i+1)
			host := []string{"x.org", "g.org"}[rng.IntN(2)]
			path := "/" + string(rune('a'+rng.IntN(3)))
			commands = append(commands, submitCommand(policyFile(name, number, host, path)))
		}
	}
	return commands
}

// Equal commands give equal bytes, also with a snapshot restored in between, and no epoch falls without a rollback.
func TestStateIsDeterministic(t *testing.T) {
	for seed := range uint64(40) {
		a := New(0)
		b := New(0)
		withheld := 0
		for i, c := range randomCommands(rand.New(rand.NewPCG(seed, 1)), 40) {
			before := a.Status()
			if c.RolloutResult != nil { // of the candidate, mostly
				result := *c.RolloutResult
				if result.Epoch%4 != 0 {
					result.Generation = before.Candidate.Generation
					result.Epoch = before.Candidate.Epoch
				}
				c.RolloutResult = &result
			}
			errA := a.Apply(c)
			errB := b.Apply(c)
			if fmt.Sprint(errA) != fmt.Sprint(errB) {
				t.Fatalf("seed %d: %v and %v", seed, errA, errB)
			}
			snapshot := snapshotOf(t, a)
			if !bytes.Equal(snapshot, snapshotOf(t, b)) {
				t.Fatalf("seed %d, command %d: the states differ", seed, i)
			}
			if i%5 == 0 {
				b = New(0)
				if err := b.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
			withheld += len(a.Status().WithheldFiles)
			checkTransition(t, seed, c, before, a.Status())
		}
		if withheld == 0 {
			t.Errorf("seed %d: no file was ever withheld", seed)
		}
	}
}

// checkTransition checks what must hold of the status before and after any command.
func checkTransition(t *testing.T, seed uint64, c Command, before, after Status) {
	t.Helper()
	for _, f := range after.WithheldFiles {
		if f.Advice == "" || f.Reason == "" {
			t.Fatalf("%+v", f)
		}
	}
	newest := func(s Status) uint64 { return max(s.Candidate.Epoch, s.Active.Epoch, s.Head.Epoch) }
	if newest(after) < newest(before) && c.Rollback == nil {
		t.Fatalf("seed %d: epoch %d after %d without a rollback", seed, newest(after), newest(before))
	}
	if after.Active != before.Active && before.Active.Epoch != 0 && !after.Active.NewerThan(before.Active) {
		t.Fatalf("seed %d: %+v after %+v", seed, after.Active, before.Active)
	}
	if len(after.RetainedEpochs) > MaxRetainedPolicies {
		t.Fatal(after.RetainedEpochs)
	}
}

// A declaration that withdraws a host removes the rules for it, reports that, and withholds nobody else's. Granted
// again, the rules are in force again.
func TestDeclarationWithdrawsHost(t *testing.T) {
	m := newWithTwoTeams(t, 0)
	apply(t, m, declareCommand(declarationText("y.org")))
	withheld := m.Status().WithheldFiles
	if headRoutes(t, m) != "alpha/r/a" || len(withheld) != 1 {
		t.Fatalf("%s, %+v", headRoutes(t, m), withheld)
	}
	if withheld[0].Namespace != "beta" || len(withheld[0].RemovedRules) != 1 {
		t.Errorf("%s, %+v", headRoutes(t, m), withheld)
	}
	apply(t, m, declareCommand(declarationText("x.org")))
	withheld = m.Status().WithheldFiles
	if headRoutes(t, m) != "alpha/r/a beta/r/b" || len(withheld) != 0 {
		t.Errorf("%s, %+v", headRoutes(t, m), withheld)
	}
}

// A rollback restores the files and drops what is pending; the file that was rolled back does not return by itself.
func TestRollback(t *testing.T) {
	m := newWithTwoTeams(t, 0)
	good := m.Status().Active
	apply(t, m, submitCommand(policyFile("alpha", 2, "x.org", "/bad")))
	candidate := m.Status().Candidate
	endRollout(t, m, false)
	if s := m.Status(); s.Stopped == nil || s.Active != good {
		t.Fatalf("%+v", s)
	}
	rollback := Command{Rollback: &Rollback{Epoch: good.Epoch, Author: "on call"}}
	apply(t, m, rollback, rollback)
	s := m.Status()
	if s.Active.Epoch != good.Epoch || s.Active.Generation != 1 || s.Stopped != nil || s.Candidate.Epoch != 0 {
		t.Errorf("%+v", s)
	}
	err := m.Apply(submitCommand(policyFile("alpha", 2, "x.org", "/bad")))
	if !errors.As(err, &namespace.VersionTakenError{}) {
		t.Error(err)
	}
	apply(t, m, submitCommand(policyFile("gamma", 1, "g.org", "/g")))
	s = m.Status()
	if headRoutes(t, m) != "alpha/r/a beta/r/b gamma/r/g" || s.Candidate.Epoch <= candidate.Epoch {
		t.Errorf("%s, %+v", headRoutes(t, m), s)
	}
}

func TestRejectedCommandChangesNothing(t *testing.T) {
	for _, test := range []struct {
		command Command
		want    any
	}{
		{Command{}, new(InvalidCommandError)},
		{Command{Rollback: &Rollback{}, RolloutResult: &RolloutResult{}}, new(InvalidCommandError)},
		{submitCommand(strings.Repeat("#", MaxFileBytes+1)), new(TooLargeError)},
		{Command{SetDeclaration: &SetDeclaration{Text: "x", Author: strings.Repeat("a", 200)}}, new(TooLargeError)},
		{declareCommand("version = 9"), new(namespace.FileError)},
		{submitCommand("version = 1"), new(namespace.FileError)},
		{submitCommand(policyFile("delta", 1, "x.org", "/")), new(namespace.UnknownNamespaceError)},
		{rollbackCommand(99), new(EpochNotRetainedError)},
	} {
		m := newWithTwoTeams(t, 0)
		before := snapshotOf(t, m)
		err := m.Apply(test.command)
		if !errors.As(err, test.want) || operatorerror.AdviceOf(err) == "" || !bytes.Equal(before, snapshotOf(t, m)) {
			t.Errorf("%+v: %v", test.command, err)
		}
	}
	if err := New(0).Apply(submitCommand("x")); !errors.As(err, new(NoDeclarationError)) {
		t.Error(err)
	}
	snapshot := snapshotOf(t, newWithTwoTeams(t, 0))
	if err := New(0).Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	checkDamageIsDetected(t, snapshot, []byte("s-beta"))
}

// checkDamageIsDetected damages each place of a snapshot at which a text or a chunk has a word.
func checkDamageIsDetected(t *testing.T, snapshot, word []byte) {
	t.Helper()
	for at := 0; ; at++ {
		next := bytes.Index(snapshot[at:], word)
		if next < 0 {
			return
		}
		at += next
		damaged := bytes.Clone(snapshot)
		damaged[at+3] ^= 1
		m := newWithTwoTeams(t, 0)
		err := m.Restore(damaged)
		if !errors.As(err, new(InvalidCommandError)) || !bytes.Equal(snapshot, snapshotOf(t, m)) {
			t.Errorf("a snapshot damaged at %d of %d: %v", at, len(snapshot), err)
		}
	}
}
