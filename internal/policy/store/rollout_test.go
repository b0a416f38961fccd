package store

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

// declareTeams declares namespaces t0, t1, ... on one host, none of which has precedence.
func declareTeams(count int) Command {
	var text strings.Builder
	text.WriteString("version = 1\n")
	for i := range count {
		fmt.Fprintf(&text, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\n"+
			"settings = [\"route\", \"service\"]\n", i)
	}
	return declareCommand(text.String())
}

func teamText(team, number int, path string) string {
	return policyFile(fmt.Sprint("t", team), number, "x.org", path)
}

// submitTeam submits a harmless file of a team.
func submitTeam(team, number int, path string) Command {
	return submitCommand(teamText(team, number, path))
}

// submitHarmful submits a file that makes proxies do worse: candidateIsHarmful finds its extra service.
func submitHarmful(team, number int, path string) Command {
	return submitCommand(teamText(team, number, path) + fmt.Sprintf("[[service]]\nname = \"harm-%d\"\n", team))
}

func candidateIsHarmful(t *testing.T, m *StateMachine) bool {
	t.Helper()
	for _, s := range policyOf(t, m, m.Status().Candidate).Services {
		if strings.HasPrefix(s.Name, "harm-") {
			return true
		}
	}
	return false
}

// endRolloutsByHarm stops each harmful rollout and completes each other one until none is under way. It returns how
// many there were.
func endRolloutsByHarm(t *testing.T, m *StateMachine) int {
	t.Helper()
	rollouts := 0
	for s := m.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil; s = m.Status() {
		if rollouts++; rollouts > 200 {
			t.Fatalf("the rollouts do not end: %+v", s)
		}
		endRollout(t, m, !candidateIsHarmful(t, m))
	}
	return rollouts
}

// newWithTenTeams has one file of each of ten teams in force.
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

func changeNames(changes []Change) []string {
	var names []string
	for _, c := range changes {
		names = append(names, fmt.Sprint(c.Namespace, c.Number))
	}
	return names
}

func failedChangeNames(m *StateMachine) []string {
	var names []string
	for _, f := range m.Status().FailedChanges {
		if f.Reason == "" || f.Advice == "" || f.Author == "" {
			names = append(names, "without a reason: ")
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
			t.Fatalf("%+v", s)
		}
		if !slices.Equal(changeNames(s.Batch), []string{"t02"}) {
			t.Fatalf("%+v", s)
		}
	}
	endRollout(t, m, true)
	s := m.Status()
	if s.Active != first || len(s.Batch) != 9 || len(s.Queued) != 0 || s.Candidate != s.Head {
		t.Fatalf("%+v", s)
	}
	endRollout(t, m, true)
	if s := m.Status(); s.Active != s.Head || s.Candidate.Epoch != 0 || len(s.FailedChanges) != 0 {
		t.Fatalf("%+v", s)
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
			t.Fatalf("%+v", s)
		}
		rollouts := endRolloutsByHarm(t, m)
		s := m.Status()
		if !slices.Equal(failedChangeNames(m), []string{fmt.Sprintf("t%d2", harmful)}) {
			t.Fatalf("%+v", s.FailedChanges)
		}
		got := routesOf(t, m, s.Active)
		for team := range 10 {
			if want := fmt.Sprint("/", team, "a"); strings.Contains(got, want) == (team == harmful) {
				t.Errorf("the harmful one is %d: %s", harmful, got)
			}
		}
		if rollouts > 9 {
			t.Errorf("%d rollouts to find one of ten changes", rollouts)
		}
		if err := m.Apply(submitTeam(harmful, 2, "/mended")); err == nil {
			t.Error("the number of a failed change was accepted again")
		}
		apply(t, m, submitTeam(harmful, 3, "/mended"))
		endRolloutsByHarm(t, m)
		if s := m.Status(); len(s.FailedChanges) != 0 || !strings.Contains(routesOf(t, m, s.Active), "/mended") {
			t.Errorf("mended: %+v", s)
		}
	}
}

func TestTwoChangesOfOneNamespace(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(9, 2, "/9a"))
	apply(t, m, submitTeam(0, 2, "/0a"), submitTeam(0, 5, "/0b"))
	if err := m.Apply(submitTeam(0, 3, "/0c")); operatorerror.AdviceOf(err) == "" {
		t.Errorf("a lower number: %v", err)
	}
	if s := m.Status(); !slices.Equal(changeNames(s.Queued), []string{"t05"}) {
		t.Fatalf("%+v", s)
	}
	completeRollouts(t, m)
	if got := routesOf(t, m, m.Status().Active); !strings.Contains(got, "/0b") || strings.Contains(got, "/0a") {
		t.Errorf("want the later of two submissions, /0b, in force: %s", got)
	}
	// A mended file that is queued replaces the harmful one, and harmless changes with it go on.
	apply(t, m, submitHarmful(1, 2, "/1a"))
	apply(t, m, submitTeam(1, 3, "/1b"), submitTeam(2, 3, "/2b"))
	endRolloutsByHarm(t, m)
	if got := routesOf(t, m, m.Status().Active); !strings.Contains(got, "/1b") || !strings.Contains(got, "/2b") {
		t.Errorf("%s: %+v", got, m.Status())
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
			t.Errorf("route %s is not in force: %s", want, got)
		}
	}
	if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "t1" || s.WithheldFiles[0].Reason == "" {
		t.Errorf("%+v", s.WithheldFiles)
	}
	// If the earlier of the two fails, the withheld one is accepted without being submitted again.
	m = newWithTenTeams(t, 0)
	apply(t, m, submitHarmful(0, 2, "/same"), submitTeam(1, 2, "/same"))
	endRolloutsByHarm(t, m)
	s = m.Status()
	got = routesOf(t, m, s.Active)
	if !strings.Contains(got, "t1/r/same") || len(s.WithheldFiles) != 0 {
		t.Errorf("%s: %+v", got, s)
	}
	if !slices.Equal(failedChangeNames(m), []string{"t02"}) {
		t.Errorf("%+v", s.FailedChanges)
	}
}

func TestChangeRevertedDuringRollout(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(0, 2, "/0a"), submitTeam(0, 3, "/0"))
	s := m.Status()
	if !slices.Equal(changeNames(s.Batch), []string{"t02"}) || !slices.Equal(changeNames(s.Queued), []string{"t03"}) {
		t.Fatalf("%+v", s)
	}
	completeRollouts(t, m)
	if got := routesOf(t, m, m.Status().Active); !strings.Contains(got, "t0/r/0 ") {
		t.Errorf("want the route before the reverted change, t0/r/0, in force: %s", got)
	}
	// An operator's rollback drops what is queued and what is being rolled out.
	active := m.Status().Active
	apply(t, m,
		submitTeam(0, 4, "/0a"), submitTeam(1, 4, "/1a"), declareTeams(12), rollbackCommand(active.Epoch),
	)
	s = m.Status()
	if s.Active.Epoch != active.Epoch || s.Active.Generation != active.Generation+1 {
		t.Errorf("%+v", s)
	}
	if s.Candidate.Epoch != 0 || s.Head != s.Active || len(s.Queued)+len(s.Batch) != 0 {
		t.Errorf("%+v", s)
	}
	if err := m.Apply(submitTeam(11, 1, "/11")); err == nil {
		t.Error("a declaration that was being rolled out is in force after the rollback")
	}
}

// A declaration is a change like others: if it fails it is excluded, and files that need it are withheld.
func TestFailedDeclaration(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitTeam(9, 2, "/9a"))
	withoutHost := declareTeams(11)
	withoutHost.SetDeclaration.Author = "admin"
	withoutHost.SetDeclaration.Text = strings.Replace( // the first team loses its host
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
		t.Errorf("%s: %+v", got, s)
	}
	failed := s.FailedChanges
	if len(failed) != 1 || failed[0].Namespace != DeclarationName || failed[0].Author != "admin" {
		t.Errorf("%+v", failed)
	}
	if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "t10" {
		t.Errorf("%+v", s.WithheldFiles)
	}
}

// Two changes that are accepted only together cannot be bisected: both fail.
func TestInseparableChangesFailTogether(t *testing.T) {
	m := newWithTenTeams(t, 0)
	apply(t, m, submitHarmful(0, 2, "/1"))
	if s := m.Status(); len(s.WithheldFiles) != 1 || s.Candidate.Epoch != 0 {
		t.Fatalf("%+v", s)
	}
	apply(t, m, submitTeam(1, 2, "/0"))
	endRolloutsByHarm(t, m)
	s := m.Status()
	if !slices.Equal(failedChangeNames(m), []string{"t02", "t12"}) {
		t.Errorf("%+v", s)
	}
	if !strings.Contains(routesOf(t, m, s.Active), "t0/r/0 t1/r/1 ") {
		t.Errorf("%+v", s)
	}
}

// A change that needs another one is in its batch. If the other fails, it alone is excluded, and the first waits again.
func TestDependentChangeWaitsAgain(t *testing.T) {
	for _, dependent := range []int{0, 2} { // before and after the other by name
		m := newWithTenTeams(t, 0)
		apply(t, m, submitTeam(dependent, 2, "/1"), submitHarmful(1, 2, "/1a"))
		if s := m.Status(); len(s.Batch) != 2 {
			t.Fatalf("%+v", s)
		}
		endRolloutsByHarm(t, m)
		s := m.Status()
		if !slices.Equal(failedChangeNames(m), []string{"t12"}) {
			t.Errorf("%+v", s)
		}
		if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != fmt.Sprint("t", dependent) {
			t.Errorf("%+v", s)
		}
	}
}

// A fleet whose first rollout stops has no active policy; a mended file is rolled out.
func TestFirstRolloutStopped(t *testing.T) {
	m := New(7)
	declare := declareTeams(2)
	declare.SetDeclaration.Author = "admin"
	apply(t, m, declare)
	endRollout(t, m, false)
	if s := m.Status(); s.Stopped == nil || s.Candidate.Epoch == 0 || len(s.FailedChanges) != 1 {
		t.Fatalf("%+v", s)
	}
	apply(t, m, submitHarmful(0, 1, "/0"), submitTeam(1, 1, "/1"))
	endRolloutsByHarm(t, m)
	apply(t, m, submitTeam(0, 2, "/0"))
	endRolloutsByHarm(t, m)
	s := m.Status()
	if routesOf(t, m, s.Active) != "t0/r/0 t1/r/1" || s.Active.Generation != 7 || len(s.FailedChanges) != 0 {
		t.Errorf("%+v", s)
	}
}
