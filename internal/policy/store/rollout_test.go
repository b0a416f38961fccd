package store

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

// declareTeams returns the command that declares namespaces t0, t1, ... on the same host, none with precedence over
// another.
func declareTeams(count int) Command {
	var text strings.Builder
	text.WriteString("version = 1\n")
	for i := range count {
		fmt.Fprintf(&text, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\n"+
			"settings = [\"route\", \"service\"]\n", i)
	}
	return declareCommand(text.String())
}

// teamText returns the text of a file of a team's namespace, with one route for a path prefix.
func teamText(team, number int, path string) string {
	return policyFile(fmt.Sprint("t", team), number, "x.org", path)
}

// submitTeam returns the command that submits a harmless file of a team.
func submitTeam(team, number int, path string) Command {
	return submitCommand(teamText(team, number, path))
}

// submitHarmful returns the command that submits a file whose rollout is to be stopped. It has an extra
// service by which candidateIsHarmful recognizes it.
func submitHarmful(team, number int, path string) Command {
	return submitCommand(teamText(team, number, path) + fmt.Sprintf("[[service]]\nname = \"harm-%d\"\n", team))
}

// candidateIsHarmful reports whether the candidate contains a file that submitHarmful submitted.
func candidateIsHarmful(t *testing.T, m *StateMachine) bool {
	t.Helper()
	for _, s := range policyOf(t, m, m.Status().Candidate).Services {
		if strings.HasPrefix(s.Name, "harm-") {
			return true
		}
	}
	return false
}

// endRolloutsByHarm stops each harmful rollout and completes the others until none is under way. It returns the number
// of rollouts.
func endRolloutsByHarm(t *testing.T, m *StateMachine) int {
	t.Helper()
	rollouts := 0
	for s := m.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil; s = m.Status() {
		if rollouts++; rollouts > 200 {
			t.Fatalf("a rollout is still under way after 200 have ended: status %+v", s)
		}
		endRollout(t, m, !candidateIsHarmful(t, m))
	}
	return rollouts
}

// newWithTenTeams returns a state machine in which one file of each of ten teams is in force.
func newWithTenTeams(t *testing.T, mutations mutation) *StateMachine {
	t.Helper()
	m := New(0)
	apply(t, m, declareTeams(10))
	for team := range 10 {
		apply(t, m, submitTeam(team, 1, fmt.Sprint("/", team)))
	}
	completeRollouts(t, m)
	m.mutations = mutations
	return m
}

// changeNames returns the namespace and number of each change, written together: t02 is file 2 of namespace t0.
func changeNames(changes []Change) []string {
	var names []string
	for _, c := range changes {
		names = append(names, fmt.Sprint(c.Namespace, c.Number))
	}
	return names
}

// failedChangeNames returns the names of the failed changes as changeNames does. A change that lacks its reason, advice
// or author is preceded by a text that says so.
func failedChangeNames(m *StateMachine) []string {
	var names []string
	for _, f := range m.Status().FailedChanges {
		if f.Reason == "" || f.Advice == "" || f.Author == "" {
			names = append(names, "without reason, advice or author: ")
		}
		names = append(names, fmt.Sprint(f.Namespace, f.Number))
	}
	return names
}

func TestChangesQueueForNextBatch(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(0, 2, "/0a"))
	first := m.Status().Candidate
	for team := 1; team < 10; team++ {
		apply(t, m, submitTeam(team, 2, fmt.Sprint("/", team, "a")))
		s := m.Status()
		if s.Candidate != first || len(s.Queued) != team || s.Head.Epoch <= first.Epoch {
			t.Fatalf("status after %d submissions during a rollout is %+v, want candidate %+v, %d queued changes "+
				"and a head with a higher epoch", team, s, first, team)
		}
		if got := changeNames(s.Batch); !slices.Equal(got, []string{"t02"}) {
			t.Fatalf("after %d submissions during a rollout its batch is %q, want only t02 (file 2 of t0)", team, got)
		}
	}
	endRollout(t, m, true)
	s := m.Status()
	if s.Active != first || len(s.Batch) != 9 || len(s.Queued) != 0 || s.Candidate != s.Head {
		t.Fatalf("status after the first rollout is %+v, want active version %+v, the head as candidate, "+
			"9 changes in the batch and none queued", s, first)
	}
	endRollout(t, m, true)
	if s := m.Status(); s.Active != s.Head || s.Candidate.Epoch != 0 || len(s.FailedChanges) != 0 {
		t.Fatalf("status after the second rollout is %+v, want the head active, no candidate and no failed changes", s)
	}
}

func TestBisectionFindsOneHarmfulChange(t *testing.T) {
	for harmful := range 10 {
		m := newWithTenTeams(t, 0)
		apply(t, m, declareTeams(11), submitTeam(10, 1, "/10"))
		for team := range 10 {
			path := fmt.Sprint("/", team, "a")
			if team == harmful {
				apply(t, m, submitHarmful(team, 2, path))
			} else {
				apply(t, m, submitTeam(team, 2, path))
			}
		}
		endRollout(t, m, true)
		if s := m.Status(); len(s.Batch) != 10 {
			t.Fatalf("status after the declaration's rollout is %+v, want a batch of 10 changes", s)
		}
		rollouts := endRolloutsByHarm(t, m)
		s := m.Status()
		if want := fmt.Sprintf("t%d2", harmful); !slices.Equal(failedChangeNames(m), []string{want}) {
			t.Fatalf("failed changes after all rollouts are %+v, want only file 2 of t%d", s.FailedChanges, harmful)
		}
		got := routesOf(t, m, s.Active)
		for team := range 10 {
			if want := fmt.Sprint("/", team, "a"); strings.Contains(got, want) == (team == harmful) {
				t.Errorf("harmful change of t%d: active routes are %q, want the new route of each team but t%d",
					harmful, got, harmful)
			}
		}
		if rollouts > 9 {
			t.Errorf("harmful change of t%d among ten was found in %d rollouts, want at most 9", harmful, rollouts)
		}
		if err := m.Apply(submitTeam(harmful, 2, "/repaired")); err == nil {
			t.Errorf("another file of t%d with the number of its failed change was accepted, want an error", harmful)
		}
		apply(t, m, submitTeam(harmful, 3, "/repaired"))
		endRolloutsByHarm(t, m)
		if s := m.Status(); len(s.FailedChanges) != 0 || !strings.Contains(routesOf(t, m, s.Active), "/repaired") {
			t.Errorf("status after t%d submitted a repaired file is %+v, want no failed changes "+
				"and route /repaired active", harmful, s)
		}
	}
}

func TestTwoChangesOfOneNamespace(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(9, 2, "/9a"))
	apply(t, m, submitTeam(0, 2, "/0a"), submitTeam(0, 5, "/0b"))
	if err := m.Apply(submitTeam(0, 3, "/0c")); operatorerror.AdviceOf(err) == "" {
		t.Errorf("submitting file 3 of t0 after file 5 returned %v, want an error with advice", err)
	}
	if s := m.Status(); !slices.Equal(changeNames(s.Queued), []string{"t05"}) {
		t.Fatalf("status after files 2 and 5 of t0 is %+v, want only file 5 of t0 queued", s)
	}
	completeRollouts(t, m)
	if got := routesOf(t, m, m.Status().Active); !strings.Contains(got, "/0b") || strings.Contains(got, "/0a") {
		t.Errorf("active routes are %q, want those of t0's later file: /0b and not /0a", got)
	}
	// A repaired file that is queued replaces the harmful one, and harmless changes queued with it are rolled out too.
	apply(t, m, submitHarmful(1, 2, "/1a"))
	apply(t, m, submitTeam(1, 3, "/1b"), submitTeam(2, 3, "/2b"))
	endRolloutsByHarm(t, m)
	if got := routesOf(t, m, m.Status().Active); !strings.Contains(got, "/1b") || !strings.Contains(got, "/2b") {
		t.Errorf("active routes after t1 repaired its harmful file are %q, want /1b and /2b among them; "+
			"status %+v", got, m.Status())
	}
}

func TestConflictWithinOneBatch(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(9, 2, "/9a"))
	apply(t, m, submitTeam(0, 2, "/same"), submitTeam(1, 2, "/same"), submitTeam(2, 2, "/2a"))
	completeRollouts(t, m)
	s := m.Status()
	got := routesOf(t, m, s.Active)
	for _, want := range []string{"t0/r/same", "t1/r/1", "/2a"} {
		if !strings.Contains(got, want) {
			t.Errorf("active routes are %q, want %s among them", got, want)
		}
	}
	if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "t1" || s.WithheldFiles[0].Reason == "" {
		t.Errorf("files withheld after t0 and t1 submitted the same path are %+v, want one of t1 with a reason",
			s.WithheldFiles)
	}
	// If the earlier of the two files fails, the withheld file is accepted without being submitted again.
	m = newWithTenTeams(t, 0)
	apply(t, m, submitHarmful(0, 2, "/same"), submitTeam(1, 2, "/same"))
	endRolloutsByHarm(t, m)
	s = m.Status()
	got = routesOf(t, m, s.Active)
	if !strings.Contains(got, "t1/r/same") || len(s.WithheldFiles) != 0 {
		t.Errorf("after file 2 of t0 failed: active routes are %q, want t1/r/same among them and no withheld files; "+
			"status %+v", got, s)
	}
	if !slices.Equal(failedChangeNames(m), []string{"t02"}) {
		t.Errorf("failed changes after all rollouts are %+v, want only file 2 of t0", s.FailedChanges)
	}
}

func TestChangeRevertedDuringRollout(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(0, 2, "/0a"), submitTeam(0, 3, "/0"))
	s := m.Status()
	if !slices.Equal(changeNames(s.Batch), []string{"t02"}) || !slices.Equal(changeNames(s.Queued), []string{"t03"}) {
		t.Fatalf("status after files 2 and 3 of t0 is %+v, want file 2 in the batch and file 3 queued", s)
	}
	completeRollouts(t, m)
	if got := routesOf(t, m, m.Status().Active); !strings.Contains(got, "t0/r/0 ") {
		t.Errorf("active routes are %q, want t0/r/0, the route before the reverted change", got)
	}
	// An operator's rollback drops the queued changes and the batch that is being rolled out.
	active := m.Status().Active
	apply(t, m,
		submitTeam(0, 4, "/0a"), submitTeam(1, 4, "/1a"), declareTeams(12), rollbackCommand(active.Epoch),
	)
	s = m.Status()
	if s.Active.Epoch != active.Epoch || s.Active.Generation != active.Generation+1 {
		t.Errorf("active version after the rollback is %+v, want epoch %d in generation %d",
			s.Active, active.Epoch, active.Generation+1)
	}
	if s.Candidate.Epoch != 0 || s.Head != s.Active || len(s.Queued)+len(s.Batch) != 0 {
		t.Errorf("status after the rollback is %+v, want no candidate, the active version as head, "+
			"and nothing queued or in the batch", s)
	}
	if err := m.Apply(submitTeam(11, 1, "/11")); err == nil {
		t.Error("submitting a file of t11 succeeded, want an error: the rollback dropped the declaration of t11")
	}
}

// A declaration is rolled out as files are: if its rollout fails, it is excluded, and files that need it are withheld.
func TestFailedDeclaration(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(9, 2, "/9a"))
	withoutHost := declareTeams(11)
	withoutHost.SetDeclaration.Author = "admin"
	withoutHost.SetDeclaration.Text = strings.Replace( // t0, the first namespace, loses its host
		withoutHost.SetDeclaration.Text, `hosts = ["x.org"]`, `hosts = ["y.org"]`, 1)
	apply(t, m, withoutHost, submitTeam(10, 1, "/10"), submitTeam(3, 2, "/3a"))
	endRollout(t, m, true)
	rollouts := 0
	for s := m.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil && rollouts < 20; s = m.Status() {
		rollouts++
		endRollout(t, m, strings.Contains(routesOf(t, m, s.Candidate), "t0/r"))
	}
	s := m.Status()
	got := routesOf(t, m, s.Active)
	if !strings.Contains(got, "t0/r") || !strings.Contains(got, "/3a") || strings.Contains(got, "t10") {
		t.Errorf("after the declaration failed: active routes are %q, want t0/r and /3a but not t10 among them; "+
			"status %+v", got, s)
	}
	failed := s.FailedChanges
	if len(failed) != 1 || failed[0].Namespace != DeclarationName || failed[0].Author != "admin" {
		t.Errorf("failed changes after the declaration failed are %+v, want only the declaration by admin", failed)
	}
	if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "t10" {
		t.Errorf("withheld files after the declaration failed are %+v, want only that of t10, "+
			"which it declared", s.WithheldFiles)
	}
}

// Two changes that can only be merged together cannot be bisected, so both fail. Here each of two namespaces takes over
// the other's path.
func TestInseparableChangesFailTogether(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitHarmful(0, 2, "/1"))
	if s := m.Status(); len(s.WithheldFiles) != 1 || s.Candidate.Epoch != 0 {
		t.Fatalf("status after t0 submitted the path of t1 is %+v, want 1 withheld file and no candidate", s)
	}
	apply(t, m, submitTeam(1, 2, "/0"))
	endRolloutsByHarm(t, m)
	s := m.Status()
	if !slices.Equal(failedChangeNames(m), []string{"t02", "t12"}) {
		t.Errorf("failed changes after all rollouts are %+v, want file 2 of t0 and file 2 of t1", s.FailedChanges)
	}
	if got := routesOf(t, m, s.Active); !strings.Contains(got, "t0/r/0 t1/r/1 ") {
		t.Errorf("active routes are %q, want the former routes t0/r/0 and t1/r/1", got)
	}
}

// A change that can be merged only with another change is in the same batch. If the other change fails, only that one
// is excluded, and the dependent change is withheld again.
func TestDependentChangeWaitsAgain(t *testing.T) {
	for _, dependent := range []int{0, 2} { // sorts before and after t1, which has the other change
		m := newWithTenTeams(t, 0)
		apply(t, m, submitTeam(dependent, 2, "/1"), submitHarmful(1, 2, "/1a"))
		if s := m.Status(); len(s.Batch) != 2 {
			t.Fatalf("status after files of t%d and t1 is %+v, want both in the batch", dependent, s)
		}
		endRolloutsByHarm(t, m)
		s := m.Status()
		if !slices.Equal(failedChangeNames(m), []string{"t12"}) {
			t.Errorf("failed changes after all rollouts are %+v, want only file 2 of t1 (dependent change: t%d)",
				s.FailedChanges, dependent)
		}
		if want := fmt.Sprint("t", dependent); len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != want {
			t.Errorf("withheld files after the change of t1 failed are %+v, want only that of %s",
				s.WithheldFiles, want)
		}
	}
}

// A fleet whose first rollout is stopped has no active policy. Later files are rolled out nevertheless, and a repaired
// file replaces one that failed.
func TestFirstRolloutStopped(t *testing.T) {
	m := New(7)
	declare := declareTeams(2)
	declare.SetDeclaration.Author = "admin"
	apply(t, m, declare)
	endRollout(t, m, false)
	if s := m.Status(); s.Stopped == nil || s.Candidate.Epoch == 0 || len(s.FailedChanges) != 1 {
		t.Fatalf("status after the first rollout was stopped is %+v, want Stopped set, a candidate "+
			"and 1 failed change", s)
	}
	apply(t, m, submitHarmful(0, 1, "/0"), submitTeam(1, 1, "/1"))
	endRolloutsByHarm(t, m)
	apply(t, m, submitTeam(0, 2, "/0"))
	endRolloutsByHarm(t, m)
	s := m.Status()
	got := routesOf(t, m, s.Active)
	if got != "t0/r/0 t1/r/1" || s.Active.Generation != 7 || len(s.FailedChanges) != 0 {
		t.Errorf("active routes are %q and the status is %+v, want routes t0/r/0 t1/r/1, generation 7 "+
			"and no failed changes", got, s)
	}
}
