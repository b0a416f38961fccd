package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// declarationText returns an ownership declaration: alpha may use host x.org, beta betaHost, and gamma g.org.
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

// policyFile returns the text of a namespace's policy file, with one service and one route for a path prefix.
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

// apply applies commands that must succeed.
func apply(t *testing.T, m *StateMachine, commands ...Command) {
	t.Helper()
	for _, c := range commands {
		if err := m.Apply(c); err != nil {
			t.Fatalf("Apply(%s) = %v, want no error (advice: %s)", commandText(c), err, operatorerror.AdviceOf(err))
		}
	}
}

// commandText returns a command as JSON for failure texts, cut off after 300 bytes.
func commandText(c Command) string {
	encoded, err := json.Marshal(c)
	if err != nil {
		return fmt.Sprintf("command that cannot be encoded: %v", err)
	}
	return string(encoded[:min(len(encoded), 300)])
}

// snapshotOf returns the snapshot of a state machine.
func snapshotOf(t *testing.T, m *StateMachine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatalf("Snapshot() failed: %v", err)
	}
	return data
}

// newWithTwoTeams returns a state machine in which one file of alpha and one of beta are in force.
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

// completeRollouts reports each rollout as completed until none is under way.
func completeRollouts(t *testing.T, m *StateMachine) {
	t.Helper()
	for range 20 {
		if m.Status().Candidate.Epoch == 0 {
			return
		}
		endRollout(t, m, true)
	}
	t.Fatalf("a rollout is still under way after 20 were completed: status %+v", m.Status())
}

// endRollout reports the rollout of the candidate as completed, or as stopped.
func endRollout(t *testing.T, m *StateMachine, completed bool) {
	t.Helper()
	candidate := m.Status().Candidate
	result := RolloutResult{Generation: candidate.Generation, Epoch: candidate.Epoch, Completed: completed}
	if !completed {
		result.Reason = fmt.Sprintf("worse in epoch %d", result.Epoch)
		result.Advice = "fix it"
	}
	apply(t, m, resultCommand(result))
}

// policyOf returns the policy of a version that must be retained or the head.
func policyOf(t *testing.T, m *StateMachine, version rollout.Version) *namespace.Policy {
	t.Helper()
	tree, ok := m.Tree(version)
	if !ok {
		t.Fatalf("Tree(%+v) returned no tree, want the tree of a retained version", version)
	}
	if root := tree.Root().String(); root != version.Hash {
		t.Fatalf("Tree(%+v) has root %s, want the version's hash", version, root)
	}
	policy, err := namespace.FromTree(tree)
	if err != nil {
		t.Fatalf("decoding the policy of version %+v from its tree: %v", version, err)
	}
	return policy
}

// routesOf returns the routes of a version's policy, each as name and path prefix, separated by spaces.
func routesOf(t *testing.T, m *StateMachine, version rollout.Version) string {
	t.Helper()
	var routes []string
	for _, r := range policyOf(t, m, version).Routes {
		routes = append(routes, r.Name+r.PathPrefix)
	}
	return strings.Join(routes, " ")
}

// headRoutes returns the routes of the head as routesOf does.
func headRoutes(t *testing.T, m *StateMachine) string {
	t.Helper()
	return routesOf(t, m, m.Status().Head)
}

// Each check passes on the unchanged code and fails once the safeguard that it covers is switched off.
func TestMutationsAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		mutation mutation
		check    func(t *testing.T, m *StateMachine) error
	}{
		"a late file does not replace a newer one": {allowReusedNumbers, func(t *testing.T, m *StateMachine) error {
			apply(t, m, submitCommand(policyFile("alpha", 3, "x.org", "/a3")))
			err := m.Apply(submitCommand(policyFile("alpha", 2, "x.org", "/a2")))
			if got := headRoutes(t, m); !strings.Contains(got, "/a3") {
				return fmt.Errorf("after files 3 and 2 of alpha, the head has routes %q, want /a3 among them "+
					"(submitting file 2 returned: %v)", got, err)
			}
			return nil
		}},
		"one team's file does not stop another's": {withholdEverything, func(t *testing.T, m *StateMachine) error {
			_ = m.Apply(submitCommand(policyFile("beta", 2, "x.org", "/a")))
			_ = m.Apply(submitCommand(policyFile("gamma", 1, "g.org", "/")))
			if got := headRoutes(t, m); !strings.Contains(got, "gamma/r") || !strings.Contains(got, "beta/r/b") {
				return fmt.Errorf("the head has routes %q, want gamma/r/ and beta/r/b among them", got)
			}
			return nil
		}},
		"a rollback gives a newer version": {keepGeneration, func(t *testing.T, m *StateMachine) error {
			before := m.Status()
			apply(t, m, rollbackCommand(before.RetainedEpochs[0]))
			if after := m.Status().Active; !after.NewerThan(before.Active) {
				return fmt.Errorf("active version after the rollback is %+v, want one newer than %+v",
					after, before.Active)
			}
			return nil
		}},
	} {
		if err := test.check(t, newWithTwoTeams(t, 0)); err != nil {
			t.Errorf("check %q fails with all safeguards on: %v", name, err)
		}
		if err := test.check(t, newWithTwoTeams(t, test.mutation)); err == nil {
			t.Errorf("check %q passes with its safeguard switched off, want a failure", name)
		}
	}
}

// randomCommands returns a declaration and then count random commands, valid and invalid ones.
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

// Two state machines that apply the same commands have the same snapshot after each command, even if one of them is
// replaced by a restored snapshot after every fifth command. The newest epoch decreases only by a rollback.
func TestStateIsDeterministic(t *testing.T) {
	for seed := range uint64(40) {
		a := New(0)
		b := New(0)
		withheld := 0
		for i, c := range randomCommands(rand.New(rand.NewPCG(seed, 1)), 40) {
			before := a.Status()
			if c.RolloutResult != nil { // most results are changed to be about the candidate
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
				t.Fatalf("seed %d, command %d: Apply(%s) returned %v on one state machine and %v on the other",
					seed, i, commandText(c), errA, errB)
			}
			snapshot := snapshotOf(t, a)
			if !bytes.Equal(snapshot, snapshotOf(t, b)) {
				t.Fatalf("seed %d, command %d: the snapshots of the two state machines differ after Apply(%s)",
					seed, i, commandText(c))
			}
			if i%5 == 0 {
				b = New(0)
				if err := b.Restore(snapshot); err != nil {
					t.Fatalf("seed %d: restoring the snapshot after command %d: %v", seed, i, err)
				}
			}
			withheld += len(a.Status().WithheldFiles)
			checkTransition(t, seed, c, before, a.Status())
		}
		if withheld == 0 {
			t.Errorf("seed %d: the random commands never caused a file to be withheld, want at least one", seed)
		}
	}
}

// checkTransition compares the status before and after a command. Withheld files must have a reason and advice, the
// newest epoch may decrease only by a rollback, the active version may be replaced only by a newer one, and at most
// MaxRetainedPolicies epochs may be retained.
func checkTransition(t *testing.T, seed uint64, c Command, before, after Status) {
	t.Helper()
	for _, f := range after.WithheldFiles {
		if f.Advice == "" || f.Reason == "" {
			t.Fatalf("seed %d, after Apply(%s): withheld file %+v, want a reason and advice", seed, commandText(c), f)
		}
	}
	newest := func(s Status) uint64 { return max(s.Candidate.Epoch, s.Active.Epoch, s.Head.Epoch) }
	if newest(after) < newest(before) && c.Rollback == nil {
		t.Fatalf("seed %d: Apply(%s) lowered the newest epoch from %d to %d without a rollback",
			seed, commandText(c), newest(before), newest(after))
	}
	if after.Active != before.Active && before.Active.Epoch != 0 && !after.Active.NewerThan(before.Active) {
		t.Fatalf("seed %d: Apply(%s) changed the active version from %+v to %+v, want a newer one",
			seed, commandText(c), before.Active, after.Active)
	}
	if len(after.RetainedEpochs) > MaxRetainedPolicies {
		t.Fatalf("seed %d: epochs %v are retained, want at most %d", seed, after.RetainedEpochs, MaxRetainedPolicies)
	}
}

// A declaration that withdraws a host from a namespace removes that namespace's rules for the host, reports this, and
// withholds no other namespace's file. A declaration that grants the host again restores the rules.
func TestDeclarationWithdrawsHost(t *testing.T) {
	m := newWithTwoTeams(t, 0)
	apply(t, m, declareCommand(declarationText("y.org")))
	withheld := m.Status().WithheldFiles
	if headRoutes(t, m) != "alpha/r/a" || len(withheld) != 1 {
		t.Fatalf("after beta lost its host: head routes %q and withheld files %+v, want route alpha/r/a and 1 file",
			headRoutes(t, m), withheld)
	}
	if withheld[0].Namespace != "beta" || len(withheld[0].RemovedRules) != 1 {
		t.Errorf("after beta lost its host: withheld file %+v, want one of beta with 1 removed rule", withheld[0])
	}
	apply(t, m, declareCommand(declarationText("x.org")))
	withheld = m.Status().WithheldFiles
	if headRoutes(t, m) != "alpha/r/a beta/r/b" || len(withheld) != 0 {
		t.Errorf("after beta got its host back: head routes %q and withheld files %+v, want routes "+
			"alpha/r/a beta/r/b and none withheld", headRoutes(t, m), withheld)
	}
}

// A rollback restores the files of its epoch and drops pending files. The file that was rolled back does not come back
// with a later submission of another namespace, and its number cannot be used again.
func TestRollback(t *testing.T) {
	m := newWithTwoTeams(t, 0)
	good := m.Status().Active
	apply(t, m, submitCommand(policyFile("alpha", 2, "x.org", "/bad")))
	candidate := m.Status().Candidate
	endRollout(t, m, false)
	if s := m.Status(); s.Stopped == nil || s.Active != good {
		t.Fatalf("status after the stopped rollout is %+v, want Stopped set and active version %+v", s, good)
	}
	rollback := Command{Rollback: &Rollback{Epoch: good.Epoch, Author: "on call"}}
	apply(t, m, rollback, rollback)
	s := m.Status()
	if s.Active.Epoch != good.Epoch || s.Active.Generation != 1 || s.Stopped != nil || s.Candidate.Epoch != 0 {
		t.Errorf("status after two equal rollbacks is %+v, want active epoch %d in generation 1, no candidate "+
			"and Stopped unset", s, good.Epoch)
	}
	err := m.Apply(submitCommand(policyFile("alpha", 2, "x.org", "/bad")))
	if !errors.As(err, &namespace.VersionTakenError{}) {
		t.Errorf("submitting file 2 of alpha again after the rollback returned %v, want a VersionTakenError", err)
	}
	apply(t, m, submitCommand(policyFile("gamma", 1, "g.org", "/g")))
	s = m.Status()
	if headRoutes(t, m) != "alpha/r/a beta/r/b gamma/r/g" || s.Candidate.Epoch <= candidate.Epoch {
		t.Errorf("after a file of gamma: head routes %q and candidate epoch %d, want routes "+
			"alpha/r/a beta/r/b gamma/r/g and an epoch above %d", headRoutes(t, m), s.Candidate.Epoch, candidate.Epoch)
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
		if !errors.As(err, test.want) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("Apply(%s) = %v, want an error of type %T with advice", commandText(test.command), err, test.want)
		}
		if !bytes.Equal(before, snapshotOf(t, m)) {
			t.Errorf("Apply(%s) = %v changed the state, want it unchanged", commandText(test.command), err)
		}
	}
	if err := New(0).Apply(submitCommand("x")); !errors.As(err, new(NoDeclarationError)) {
		t.Errorf("submitting a file without a declaration returned %v, want a NoDeclarationError", err)
	}
	snapshot := snapshotOf(t, newWithTwoTeams(t, 0))
	if err := New(0).Restore(snapshot); err != nil {
		t.Fatalf("restoring an undamaged snapshot: %v", err)
	}
	checkDamageIsDetected(t, snapshot, []byte("s-beta"))
}

// checkDamageIsDetected flips one bit in each occurrence of a word in a snapshot, and checks that Restore rejects the
// damaged snapshot and leaves the state unchanged.
func checkDamageIsDetected(t *testing.T, snapshot, word []byte) {
	t.Helper()
	for offset := 0; ; offset++ {
		next := bytes.Index(snapshot[offset:], word)
		if next < 0 {
			return
		}
		offset += next
		damaged := bytes.Clone(snapshot)
		damaged[offset+3] ^= 1
		m := newWithTwoTeams(t, 0)
		err := m.Restore(damaged)
		if !errors.As(err, new(InvalidCommandError)) || !bytes.Equal(snapshot, snapshotOf(t, m)) {
			t.Errorf("restoring a snapshot with byte %d of %d damaged returned %v, "+
				"want an InvalidCommandError and an unchanged state", offset+3, len(snapshot), err)
		}
	}
}
