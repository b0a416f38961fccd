package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Sizes and limits of the tests with random commands.
const (
	randomRuns        = 40  // runs, each with its own seed
	randomSteps       = 60  // random steps of a run, before the rollouts that are left are ended
	maxRandomRollouts = 200 // limit on the rollouts that are ended after the random steps of a run
)

// submission is a file that was submitted in a random run.
type submission struct {
	team       int
	number     int
	harmful    bool
	rolledBack bool // an operator rolled the fleet back after the submission
}

func (f submission) namespace() string { return fmt.Sprint("t", f.team) }

// command returns the command that submits the file with one route for a path prefix.
func (f submission) command(path string) Command {
	if f.harmful {
		return submitHarmful(f.team, f.number, path)
	}
	return submitTeam(f.team, f.number, path)
}

// randomRun applies random commands to a state machine: files that are harmless, harmful or conflict with others,
// declarations, rollbacks, and results of rollouts, some of which stop the rollout of a harmless policy.
type randomRun struct {
	t             *testing.T
	rng           *rand.Rand
	m             *StateMachine
	mutations     mutation
	submissions   []submission
	lastNumber    int
	harmlessStops int // rollouts of harmless policies that were stopped
}

// runRandomRollouts runs random commands and then ends all rollouts. It returns the first violation of an invariant, or
// an empty text.
func runRandomRollouts(t *testing.T, seed uint64, mutations mutation) string {
	t.Helper()
	r := &randomRun{
		t:          t,
		rng:        rand.New(rand.NewPCG(seed, 9)),
		m:          newWithTenTeams(t, mutations),
		mutations:  mutations,
		lastNumber: 1,
	}
	for step := range randomSteps {
		if violation := r.step(step); violation != "" {
			return violation
		}
	}
	for i := 0; rolloutUnderWay(r.m.Status()); i++ {
		if i > maxRandomRollouts {
			return fmt.Sprintf("a rollout is still under way after %d more have ended", maxRandomRollouts)
		}
		if violation := r.endRollout(); violation != "" {
			return violation
		}
	}
	return r.checkFinal()
}

// rolloutUnderWay reports whether there is a candidate whose rollout has not been stopped.
func rolloutUnderWay(s Status) bool { return s.Candidate.Epoch != 0 && s.Stopped == nil }

// step applies a random command or restores a snapshot. It returns a violation if the candidate was replaced by
// something other than the end of its rollout or a rollback.
func (r *randomRun) step(number int) string {
	before := r.m.Status()
	switch draw := r.rng.IntN(12); {
	case draw < 5:
		r.submit()
	case draw == 5 && r.rng.IntN(3) == 0:
		apply(r.t, r.m, declareTeams(10+r.rng.IntN(3)))
	case draw == 6 && r.rng.IntN(6) == 0:
		r.rollBack(before)
		return ""
	case draw == 7:
		r.restore()
	case rolloutUnderWay(before):
		return r.endRollout()
	}
	after := r.m.Status()
	if rolloutUnderWay(before) && after.Candidate != before.Candidate {
		return fmt.Sprintf("step %d: the candidate of epoch %d was replaced by epoch %d before its rollout ended",
			number, before.Candidate.Epoch, after.Candidate.Epoch)
	}
	return ""
}

// submit submits a random file, and records it if the state machine accepts it.
func (r *randomRun) submit() {
	r.lastNumber++
	f := submission{team: r.rng.IntN(10), number: r.lastNumber, harmful: r.rng.IntN(6) == 0}
	if r.m.Apply(f.command(fmt.Sprint("/", r.rng.IntN(14)))) == nil {
		r.submissions = append(r.submissions, f)
	}
}

// rollBack rolls the fleet back to its active epoch, which drops everything that is not active yet.
func (r *randomRun) rollBack(before Status) {
	apply(r.t, r.m, rollbackCommand(before.Active.Epoch))
	if r.m.Status().Active == before.Active {
		return
	}
	for i := range r.submissions {
		r.submissions[i].rolledBack = true
	}
}

// restore replaces the state machine by one that is restored from its snapshot.
func (r *randomRun) restore() {
	snapshot := snapshotOf(r.t, r.m)
	r.m = New(0)
	if err := r.m.Restore(snapshot); err != nil {
		r.t.Fatalf("restoring a snapshot of the random run's state: %v", err)
	}
	r.m.mutations = r.mutations
}

// endRollout ends the current rollout: it stops the rollout of a harmful policy, and now and then at random that of a
// harmless one; all others succeed. It returns a violation if a harmful policy is active afterwards.
func (r *randomRun) endRollout() string {
	candidate := r.m.Status().Candidate
	harmful := candidateIsHarmful(r.t, r.m)
	stopHarmless := !harmful && r.rng.IntN(20) == 0
	if stopHarmless {
		r.harmlessStops++
	}
	endRollout(r.t, r.m, !harmful && !stopHarmless)
	if harmful && r.m.Status().Active == candidate {
		return fmt.Sprintf("the harmful policy of epoch %d is active after its rollout was stopped", candidate.Epoch)
	}
	return ""
}

// checkFinal checks the state once all rollouts have ended: nothing is queued, and each submission that was neither
// replaced nor rolled back is active, withheld or reported as failed.
func (r *randomRun) checkFinal() string {
	s := r.m.Status()
	if len(s.Queued) > 0 {
		return fmt.Sprintf("changes %v are still queued after all rollouts have ended", s.Queued)
	}
	newest := map[int]int{}
	for _, f := range r.submissions {
		newest[f.team] = max(newest[f.team], f.number)
	}
	activeNumbers := map[string]uint64{} // numbers of the active files by namespace
	for _, service := range policyOf(r.t, r.m, s.Active).Services {
		for _, source := range service.Sources {
			activeNumbers[source.Namespace] = source.Number
		}
	}
	for _, f := range r.submissions {
		if violation := r.checkSubmission(f, s, activeNumbers[f.namespace()], newest[f.team]); violation != "" {
			return violation
		}
	}
	return ""
}

// checkSubmission checks a submission as checkFinal describes. The number of the namespace's active file is
// activeNumber, and that of its last submission is newest.
func (r *randomRun) checkSubmission(f submission, s Status, activeNumber uint64, newest int) string {
	name := f.namespace()
	number := uint64(f.number)
	failedIndex := slices.IndexFunc(s.FailedChanges, func(c FailedChange) bool {
		return c.Namespace == name && c.Number == number
	})
	withheld := slices.ContainsFunc(s.WithheldFiles, func(w WithheldFile) bool {
		return w.Namespace == name && w.Submitted == number
	})
	failed := failedIndex >= 0
	active := activeNumber == number
	switch {
	case failed && (s.FailedChanges[failedIndex].Reason == "" || s.FailedChanges[failedIndex].Advice == ""):
		return fmt.Sprintf("failed change %s %d has no reason or no advice", name, f.number)
	case active && failed:
		return fmt.Sprintf("file %d of %s is active and also reported as failed", f.number, name)
	case !active && !withheld && !failed && !f.rolledBack && newest == f.number:
		return fmt.Sprintf("file %d, the newest of %s, is neither active nor reported as withheld or failed",
			f.number, name)
	}
	// A harmless change may fail together with a harmful one from which it cannot be separated, or because a
	// harmless rollout was stopped. If the run had neither harmful changes nor such stops, none may fail.
	anyHarmful := slices.ContainsFunc(r.submissions, func(other submission) bool { return other.harmful })
	if failed && !anyHarmful && r.harmlessStops == 0 {
		return fmt.Sprintf("file %d of %s is reported as failed, but the run had no harmful file and stopped no "+
			"harmless rollout",
			f.number, name)
	}
	return ""
}

func TestRandomRollouts(t *testing.T) {
	for seed := range uint64(randomRuns) {
		if violation := runRandomRollouts(t, seed, 0); violation != "" {
			t.Errorf("random run with seed %d violates an invariant: %s", seed, violation)
		}
	}
}

func TestRandomRolloutsDetectMutations(t *testing.T) {
	for name, mutations := range map[string]mutation{
		"a submission displaces the candidate": displaceCandidate,
		"a failed change stays in the head":    keepFailedChanges,
		"only one of several is reported":      reportOnlyFirst,
	} {
		violation := ""
		for seed := uint64(0); seed < randomRuns && violation == ""; seed++ {
			violation = runRandomRollouts(t, seed, mutations)
		}
		t.Logf("mutation %q: first violation %q", name, violation)
		if violation == "" {
			t.Errorf("mutation %q: %d random runs found no violation, want at least one", name, randomRuns)
		}
	}
	// Without bisection all nine changes of this batch fail, though only that of t4 is harmful.
	m := newWithTenTeams(t, skipBisection)
	apply(t, m, submitTeam(9, 2, "/9a"))
	for team := range 9 {
		path := fmt.Sprint("/", team, "a")
		if team == 4 {
			apply(t, m, submitHarmful(team, 2, path))
		} else {
			apply(t, m, submitTeam(team, 2, path))
		}
	}
	endRolloutsByHarm(t, m)
	if got := failedChangeNames(m); len(got) < 2 {
		t.Errorf("without bisection, failed changes are %v, want several changes of the batch", got)
	}
}
