package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Bounds of a random run of commands.
const (
	randomRuns        = 40
	randomSteps       = 60
	maxRandomRollouts = 200
)

// submission is a file that was submitted in a random run.
type submission struct {
	team       int
	number     int
	harmful    bool
	rolledBack bool // an operator rolled back after it
}

func (f submission) namespace() string { return fmt.Sprint("t", f.team) }

// command submits the file.
func (f submission) command(path string) Command {
	if f.harmful {
		return submitHarmful(f.team, f.number, path)
	}
	return submitTeam(f.team, f.number, path)
}

// randomRun draws files that are harmless, harmful or in conflict, declarations, false alarms and rollbacks.
type randomRun struct {
	t           *testing.T
	rng         *rand.Rand
	m           *StateMachine
	mutations   mutation
	submissions []submission
	lastNumber  int
	falseAlarms int
}

// runRandomRollouts returns the first violation of an invariant, or an empty text.
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
			return "the rollouts do not end"
		}
		if violation := r.endRollout(); violation != "" {
			return violation
		}
	}
	return r.checkFinal()
}

func rolloutUnderWay(s Status) bool { return s.Candidate.Epoch != 0 && s.Stopped == nil }

// step applies one random command. Only the end of a rollout and a rollback may replace the candidate.
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
		return fmt.Sprintf("step %d: epoch %d was displaced by %d",
			number, before.Candidate.Epoch, after.Candidate.Epoch)
	}
	return ""
}

func (r *randomRun) submit() {
	r.lastNumber++
	f := submission{team: r.rng.IntN(10), number: r.lastNumber, harmful: r.rng.IntN(6) == 0}
	if r.m.Apply(f.command(fmt.Sprint("/", r.rng.IntN(14)))) == nil {
		r.submissions = append(r.submissions, f)
	}
}

func (r *randomRun) rollBack(before Status) {
	apply(r.t, r.m, rollbackCommand(before.Active.Epoch))
	if r.m.Status().Active == before.Active {
		return
	}
	for i := range r.submissions {
		r.submissions[i].rolledBack = true
	}
}

func (r *randomRun) restore() {
	snapshot := snapshotOf(r.t, r.m)
	r.m = New(0)
	if err := r.m.Restore(snapshot); err != nil {
		r.t.Fatal(err)
	}
	r.m.mutations = r.mutations
}

// endRollout stops a harmful rollout, and sometimes a harmless one by a false alarm.
func (r *randomRun) endRollout() string {
	candidate := r.m.Status().Candidate
	harmful := candidateIsHarmful(r.t, r.m)
	falseAlarm := !harmful && r.rng.IntN(20) == 0
	if falseAlarm {
		r.falseAlarms++
	}
	endRollout(r.t, r.m, !harmful && !falseAlarm)
	if harmful && r.m.Status().Active == candidate {
		return "a harmful policy is in force"
	}
	return ""
}

// checkFinal checks that each submission is in force or accounted for once all rollouts have ended.
func (r *randomRun) checkFinal() string {
	s := r.m.Status()
	if len(s.Queued) > 0 {
		return fmt.Sprintf("%v wait for ever", s.Queued)
	}
	newest := map[int]int{}
	for _, f := range r.submissions {
		newest[f.team] = max(newest[f.team], f.number)
	}
	inForce := map[string]uint64{}
	for _, service := range policyOf(r.t, r.m, s.Active).Services {
		for _, source := range service.Sources {
			inForce[source.Namespace] = source.Number
		}
	}
	for _, f := range r.submissions {
		if violation := r.checkSubmission(f, s, inForce[f.namespace()], newest[f.team]); violation != "" {
			return violation
		}
	}
	return ""
}

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
	inForce := activeNumber == number
	switch {
	case failed && (s.FailedChanges[failedIndex].Reason == "" || s.FailedChanges[failedIndex].Advice == ""):
		return "a failed change without a reason"
	case inForce && failed:
		return fmt.Sprintf("%s %d is in force and failed", name, f.number)
	case !inForce && !withheld && !failed && !f.rolledBack && newest == f.number:
		return fmt.Sprintf("%s %d is neither in force nor reported", name, f.number)
	}
	// Inseparable changes fail together, so a harmless one may fail, but not with only harmless ones and no alarm.
	anyHarmful := slices.ContainsFunc(r.submissions, func(other submission) bool { return other.harmful })
	if failed && !anyHarmful && r.falseAlarms == 0 {
		return fmt.Sprintf("%s %d failed and did no harm", name, f.number)
	}
	return ""
}

func TestRandomRollouts(t *testing.T) {
	for seed := range uint64(randomRuns) {
		if violation := runRandomRollouts(t, seed, 0); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
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
		t.Logf("%s: %s", name, violation)
		if violation == "" {
			t.Errorf("not detected: %s", name)
		}
	}
	// A batch that fails as a whole is detected where one of nine changes is harmful.
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
		t.Errorf("not detected: all changes of a batch fail: %v", got)
	}
}
