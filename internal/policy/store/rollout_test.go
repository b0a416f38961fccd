package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

// declareTeams is a charter of n namespaces on one host, none of which may go first.
func declareTeams(n int) string {
	var c strings.Builder
	c.WriteString("version = 1\n")
	for i := range n {
		fmt.Fprintf(&c, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"route\", \"service\"]\n", i)
	}
	return c.String()
}

// file of a team: harm marks what its proxies do worse with.
func teamFile(i, number int, path string, harm bool) string {
	text := policyFile(fmt.Sprint("t", i), number, "x.org", path)
	if harm {
		text += fmt.Sprintf("[[service]]\nname = \"harm-%d\"\n", i)
	}
	return text
}

func candidateIsHarmful(t *testing.T, b *StateMachine) bool {
	t.Helper()
	for _, s := range policyOf(t, b, b.Status().Candidate).Services {
		if strings.HasPrefix(s.Name, "harm-") {
			return true
		}
	}
	return false
}

// endRolloutsByHarm has all trains end as they should, and gives how many there were.
func endRolloutsByHarm(t *testing.T, b *StateMachine) (trains int) {
	t.Helper()
	for s := b.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil; s = b.Status() {
		if trains++; trains > 200 {
			t.Fatalf("trains without an end: %+v", s)
		}
		endRollout(t, b, !candidateIsHarmful(t, b))
	}
	return trains
}

// newWithTenTeams has ten teams, each with a file in force.
func newWithTenTeams(t *testing.T, f mutation) *StateMachine {
	t.Helper()
	b := New(0)
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declareTeams(10)}})
	for i := range 10 {
		apply(t, b, submitCommand(teamFile(i, 1, fmt.Sprint("/", i), false)))
	}
	completeRollouts(t, b)
	b.mutations = f
	return b
}

func changeNames(all []Change) (out []string) {
	for _, c := range all {
		out = append(out, fmt.Sprint(c.Namespace, c.Number))
	}
	return out
}

func failedChangeNames(b *StateMachine) (out []string) {
	for _, f := range b.Status().FailedChanges {
		if f.Reason == "" || f.Advice == "" || f.Author == "" {
			out = append(out, "without a reason: ")
		}
		out = append(out, fmt.Sprint(f.Namespace, f.Number))
	}
	return out
}

func TestChangesQueueForNextBatch(t *testing.T) {
	b := newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(0, 2, "/0a", false)))
	out := b.Status().Candidate
	for i := 1; i < 10; i++ {
		apply(t, b, submitCommand(teamFile(i, 2, fmt.Sprint("/", i, "a"), false)))
		if s := b.Status(); s.Candidate != out || len(s.Queued) != i || !slices.Equal(changeNames(s.Batch), []string{"t02"}) || s.Head.Epoch <= out.Epoch {
			t.Fatalf("%+v", s)
		}
	}
	endRollout(t, b, true)
	s := b.Status()
	if s.Active != out || len(s.Batch) != 9 || len(s.Queued) != 0 || s.Candidate != s.Head {
		t.Fatalf("%+v", s)
	}
	endRollout(t, b, true)
	if s := b.Status(); s.Active != s.Head || s.Candidate.Epoch != 0 || len(s.FailedChanges) != 0 {
		t.Fatalf("%+v", s)
	}
}

func TestBisectionFindsOneHarmfulChange(t *testing.T) {
	for bad := range 10 {
		b := newWithTenTeams(t, 0)
		apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declareTeams(11)}}, submitCommand(teamFile(10, 1, "/10", false)))
		for i := range 10 {
			apply(t, b, submitCommand(teamFile(i, 2, fmt.Sprint("/", i, "a"), i == bad)))
		}
		endRollout(t, b, true)
		if s := b.Status(); len(s.Batch) != 10 {
			t.Fatalf("%+v", s)
		}
		trains := endRolloutsByHarm(t, b)
		s := b.Status()
		if !slices.Equal(failedChangeNames(b), []string{fmt.Sprintf("t%d2", bad)}) {
			t.Fatalf("%+v", s.FailedChanges)
		}
		got := routesOf(t, b, s.Active)
		for i := range 10 {
			if want := fmt.Sprint("/", i, "a"); strings.Contains(got, want) == (i == bad) {
				t.Errorf("the harmful one is %d: %s", bad, got)
			}
		}
		if trains > 9 {
			t.Errorf("%d trains for one at fault in ten", trains)
		}
		if err := b.Apply(submitCommand(teamFile(bad, 2, "/mended", false))); err == nil {
			t.Error("a number that was at fault was taken again")
		}
		apply(t, b, submitCommand(teamFile(bad, 3, "/mended", false)))
		endRolloutsByHarm(t, b)
		if s := b.Status(); len(s.FailedChanges) != 0 || !strings.Contains(routesOf(t, b, s.Active), "/mended") {
			t.Errorf("mended: %+v", s)
		}
	}
}

func TestTwoChangesOfOneNamespace(t *testing.T) {
	b := newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(9, 2, "/9a", false)))
	apply(t, b, submitCommand(teamFile(0, 2, "/0a", false)), submitCommand(teamFile(0, 5, "/0b", false)))
	if err := b.Apply(submitCommand(teamFile(0, 3, "/0c", false))); operatorerror.Of(err) == "" {
		t.Errorf("a lower number: %v", err)
	}
	if s := b.Status(); !slices.Equal(changeNames(s.Queued), []string{"t05"}) {
		t.Fatalf("%+v", s)
	}
	completeRollouts(t, b)
	if got := routesOf(t, b, b.Status().Active); !strings.Contains(got, "/0b") || strings.Contains(got, "/0a") {
		t.Error(got)
	}
	// A mended one that waits counts for the one on its way, and blameless ones with it go on.
	apply(t, b, submitCommand(teamFile(1, 2, "/1a", true)))
	apply(t, b, submitCommand(teamFile(1, 3, "/1b", false)), submitCommand(teamFile(2, 3, "/2b", false)))
	endRolloutsByHarm(t, b)
	if got := routesOf(t, b, b.Status().Active); !strings.Contains(got, "/1b") || !strings.Contains(got, "/2b") {
		t.Errorf("%s: %+v", got, b.Status())
	}
}

func TestConflictWithinOneBatch(t *testing.T) {
	b := newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(9, 2, "/9a", false)))
	apply(t, b, submitCommand(teamFile(0, 2, "/same", false)), submitCommand(teamFile(1, 2, "/same", false)), submitCommand(teamFile(2, 2, "/2a", false)))
	completeRollouts(t, b)
	s := b.Status()
	if got := routesOf(t, b, s.Active); !strings.Contains(got, "t0/r/same") || !strings.Contains(got, "t1/r/1") || !strings.Contains(got, "/2a") {
		t.Error(got)
	}
	if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "t1" || s.WithheldFiles[0].Reason == "" {
		t.Errorf("%+v", s.WithheldFiles)
	}
	// The one that was there first is at fault later on: the one that was held comes in by itself.
	b = newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(0, 2, "/same", true)), submitCommand(teamFile(1, 2, "/same", false)))
	endRolloutsByHarm(t, b)
	s = b.Status()
	if got := routesOf(t, b, s.Active); !strings.Contains(got, "t1/r/same") || len(s.WithheldFiles) != 0 || !slices.Equal(failedChangeNames(b), []string{"t02"}) {
		t.Errorf("%s: %+v", got, s)
	}
}

func TestChangeRevertedDuringRollout(t *testing.T) {
	b := newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(0, 2, "/0a", false)), submitCommand(teamFile(0, 3, "/0", false)))
	if s := b.Status(); !slices.Equal(changeNames(s.Batch), []string{"t02"}) || !slices.Equal(changeNames(s.Queued), []string{"t03"}) {
		t.Fatalf("%+v", s)
	}
	completeRollouts(t, b)
	if got := routesOf(t, b, b.Status().Active); !strings.Contains(got, "t0/r/0 ") {
		t.Error(got)
	}
	// By an operator: what waits is dropped, and what is on its way.
	base := b.Status().Active
	apply(t, b, submitCommand(teamFile(0, 4, "/0a", false)), submitCommand(teamFile(1, 4, "/1a", false)), Command{SetDeclaration: &SetDeclaration{Text: declareTeams(12)}}, Command{Rollback: &Rollback{Epoch: base.Epoch}})
	if s := b.Status(); s.Active.Epoch != base.Epoch || s.Active.Generation != base.Generation+1 || s.Candidate.Epoch != 0 || s.Head != s.Active || len(s.Queued)+len(s.Batch) != 0 {
		t.Errorf("%+v", s)
	}
	if err := b.Apply(submitCommand(teamFile(11, 1, "/11", false))); err == nil {
		t.Error("a charter that was on its way is in force after going back")
	}
}

// A charter is a change like others: at fault, it is taken out, and files that were offered under it are told so.
func TestFailedDeclaration(t *testing.T) {
	b := newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(9, 2, "/9a", false)))
	less := strings.Replace(declareTeams(11), `hosts = ["x.org"]`, `hosts = ["y.org"]`, 1) // the first team loses its host
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: less, Author: "admin"}}, submitCommand(teamFile(10, 1, "/10", false)), submitCommand(teamFile(3, 2, "/3a", false)))
	endRollout(t, b, true)
	trains := 0
	for s := b.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil && trains < 20; s = b.Status() {
		trains++
		endRollout(t, b, strings.Contains(routesOf(t, b, s.Candidate), "t0/r"))
	}
	s := b.Status()
	if got := routesOf(t, b, s.Active); !strings.Contains(got, "t0/r") || !strings.Contains(got, "/3a") || strings.Contains(got, "t10") {
		t.Errorf("%s: %+v", got, s)
	}
	if len(s.FailedChanges) != 1 || s.FailedChanges[0].Namespace != DeclarationName || s.FailedChanges[0].Author != "admin" {
		t.Errorf("%+v", s.FailedChanges)
	}
	if len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != "t10" {
		t.Errorf("%+v", s.WithheldFiles)
	}
}

// Two that come in only together can't be parted: both are told.
func TestInseparableChangesFailTogether(t *testing.T) {
	b := newWithTenTeams(t, 0)
	apply(t, b, submitCommand(teamFile(0, 2, "/1", true)))
	if s := b.Status(); len(s.WithheldFiles) != 1 || s.Candidate.Epoch != 0 {
		t.Fatalf("%+v", s)
	}
	apply(t, b, submitCommand(teamFile(1, 2, "/0", false)))
	endRolloutsByHarm(t, b)
	if s := b.Status(); !slices.Equal(failedChangeNames(b), []string{"t02", "t12"}) || !strings.Contains(routesOf(t, b, s.Active), "t0/r/0 t1/r/1 ") {
		t.Errorf("%+v", s)
	}
}

// One that waited for another to make room goes with it; the other can go without: it alone is at fault, and the one waits again.
func TestDependentChangeWaitsAgain(t *testing.T) {
	for _, needs := range []int{0, 2} { // before and after the other, by name
		b := newWithTenTeams(t, 0)
		apply(t, b, submitCommand(teamFile(needs, 2, "/1", false)), submitCommand(teamFile(1, 2, "/1a", true)))
		if s := b.Status(); len(s.Batch) != 2 {
			t.Fatalf("%+v", s)
		}
		endRolloutsByHarm(t, b)
		if s := b.Status(); !slices.Equal(failedChangeNames(b), []string{"t12"}) || len(s.WithheldFiles) != 1 || s.WithheldFiles[0].Namespace != fmt.Sprint("t", needs) {
			t.Errorf("%+v", s)
		}
	}
}

// A fleet whose first train stops has nothing before it to go on with; a mended offer departs.
func TestFirstRolloutStopped(t *testing.T) {
	b := New(7)
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declareTeams(2), Author: "admin"}})
	endRollout(t, b, false)
	if s := b.Status(); s.Stopped == nil || s.Candidate.Epoch == 0 || len(s.FailedChanges) != 1 {
		t.Fatalf("%+v", s)
	}
	apply(t, b, submitCommand(teamFile(0, 1, "/0", true)), submitCommand(teamFile(1, 1, "/1", false)))
	endRolloutsByHarm(t, b)
	apply(t, b, submitCommand(teamFile(0, 2, "/0", false)))
	endRolloutsByHarm(t, b)
	if s := b.Status(); routesOf(t, b, s.Active) != "t0/r/0 t1/r/1" || s.Active.Generation != 7 || len(s.FailedChanges) != 0 {
		t.Errorf("%+v", s)
	}
}

// submission is a change of a drawn run.
type submission struct {
	team, number int
	harmful      bool
	rolledBack   bool // by an operator who went back
}

// runRandomRollouts draws a run of offers, good, harmful and in conflict, of charters, false alarms and words to go back, and gives what must never
// happen and did.
func runRandomRollouts(t *testing.T, seed uint64, f mutation) (wrong string) {
	rng := rand.New(rand.NewPCG(seed, 9))
	b := newWithTenTeams(t, f)
	var all []submission
	number, alarms := 1, 0
	end := func() {
		s := b.Status()
		harm := candidateIsHarmful(t, b)
		alarm := !harm && rng.IntN(20) == 0
		if alarm {
			alarms++
		}
		endRollout(t, b, !harm && !alarm)
		if harm && b.Status().Active == s.Candidate {
			wrong = "a harmful policy is in force"
		}
	}
	restored := func() {
		x, err := b.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		b = New(0)
		if err := b.Restore(x); err != nil {
			t.Fatal(err)
		}
		b.mutations = f
	}
	for step := range 60 {
		before := b.Status()
		switch draw := rng.IntN(12); {
		case draw < 5:
			number++
			o := submission{team: rng.IntN(10), number: number, harmful: rng.IntN(6) == 0}
			if b.Apply(submitCommand(teamFile(o.team, o.number, fmt.Sprint("/", rng.IntN(14)), o.harmful))) == nil {
				all = append(all, o)
			}
		case draw == 5 && rng.IntN(3) == 0:
			apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declareTeams(10 + rng.IntN(3))}})
		case draw == 6 && rng.IntN(6) == 0:
			apply(t, b, Command{Rollback: &Rollback{Epoch: before.Active.Epoch}})
			if b.Status().Active != before.Active {
				for i := range all {
					all[i].rolledBack = true
				}
			}
			continue
		case draw == 7:
			restored()
		case before.Candidate.Epoch != 0 && before.Stopped == nil:
			end()
			continue
		}
		if after := b.Status(); before.Candidate.Epoch != 0 && before.Stopped == nil && after.Candidate != before.Candidate {
			return fmt.Sprintf("step %d: epoch %d was displaced by %d", step, before.Candidate.Epoch, after.Candidate.Epoch)
		}
		if wrong != "" {
			return wrong
		}
	}
	for i := 0; b.Status().Candidate.Epoch != 0 && b.Status().Stopped == nil; i++ {
		if i > 200 {
			return "trains without an end"
		}
		if end(); wrong != "" {
			return wrong
		}
	}
	s := b.Status()
	newest := map[int]int{}
	for _, o := range all {
		newest[o.team] = max(newest[o.team], o.number)
	}
	if len(s.Queued) > 0 {
		return fmt.Sprintf("%v wait for ever", s.Queued)
	}
	inForce := map[string]uint64{}
	for _, r := range policyOf(t, b, s.Active).Services {
		for _, from := range r.Sources {
			inForce[from.Namespace] = from.Number
		}
	}
	for _, o := range all {
		name := fmt.Sprint("t", o.team)
		at := slices.IndexFunc(s.FailedChanges, func(x FailedChange) bool { return x.Namespace == name && x.Number == uint64(o.number) })
		in := inForce[name] == uint64(o.number)
		held := slices.ContainsFunc(s.WithheldFiles, func(h WithheldFile) bool { return h.Namespace == name && h.Submitted == uint64(o.number) })
		switch {
		case at >= 0 && (s.FailedChanges[at].Reason == "" || s.FailedChanges[at].Advice == ""):
			return "a fault without a reason"
		case in && at >= 0:
			return fmt.Sprintf("%s %d is in force and at fault", name, o.number)
		case !in && !held && at < 0 && !o.rolledBack && newest[o.team] == o.number:
			return fmt.Sprintf("%s %d is neither in force nor told of", name, o.number)
		}
		// Alone among harmless ones nobody is blamed but by an alarm. What goes only together is blamed together.
		if at >= 0 && !o.harmful && alarms == 0 && !slices.ContainsFunc(all, func(x submission) bool { return x.harmful }) {
			return fmt.Sprintf("%s %d is blamed and did no harm", name, o.number)
		}
	}
	return ""
}

func TestRandomRollouts(t *testing.T) {
	for seed := range uint64(40) {
		if wrong := runRandomRollouts(t, seed, 0); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

func TestRandomRolloutsDetectMutations(t *testing.T) {
	for name, f := range map[string]mutation{"an offer displaces": displaceCandidate, "the change at fault stays": keepFailedChanges, "one of several is told": reportOnlyFirst} {
		convicted := ""
		for seed := uint64(0); seed < 40 && convicted == ""; seed++ {
			convicted = runRandomRollouts(t, seed, f)
		}
		t.Logf("%s: %s", name, convicted)
		if convicted == "" {
			t.Errorf("not convicted: %s", name)
		}
	}
	// Blaming all of a train is found where one is harmful among nine.
	b := newWithTenTeams(t, skipBisection)
	apply(t, b, submitCommand(teamFile(9, 2, "/9a", false)))
	for i := range 9 {
		apply(t, b, submitCommand(teamFile(i, 2, fmt.Sprint("/", i, "a"), i == 4)))
	}
	endRolloutsByHarm(t, b)
	if got := failedChangeNames(b); len(got) < 2 {
		t.Errorf("not convicted: all of a train are blamed: %v", got)
	}
}
