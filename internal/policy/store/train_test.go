package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

// teams is a charter of n namespaces on one host, none of which may go first.
func teams(n int) string {
	var c strings.Builder
	c.WriteString("version = 1\n")
	for i := range n {
		fmt.Fprintf(&c, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"route\", \"service\"]\n", i)
	}
	return c.String()
}

// file of a team: harm marks what its proxies do worse with.
func team(i, number int, path string, harm bool) string {
	text := rules(fmt.Sprint("t", i), number, "x.org", path)
	if harm {
		text += fmt.Sprintf("[[service]]\nname = \"harm-%d\"\n", i)
	}
	return text
}

func harmful(t *testing.T, b *Book) bool {
	t.Helper()
	for _, s := range policyOf(t, b, b.Standing().Next).Services {
		if strings.HasPrefix(s.Name, "harm-") {
			return true
		}
	}
	return false
}

// play has all trains end as they should, and gives how many there were.
func play(t *testing.T, b *Book) (trains int) {
	t.Helper()
	for s := b.Standing(); s.Next.Epoch != 0 && s.Stopped == nil; s = b.Standing() {
		if trains++; trains > 200 {
			t.Fatalf("trains without an end: %+v", s)
		}
		judge(t, b, !harmful(t, b))
	}
	return trains
}

// ten has ten teams, each with a file in force.
func ten(t *testing.T, f flaw) *Book {
	t.Helper()
	b := New(0)
	apply(t, b, Command{Charter: &Charter{Text: teams(10)}})
	for i := range 10 {
		apply(t, b, word(team(i, 1, fmt.Sprint("/", i), false)))
	}
	through(t, b)
	b.flaws = f
	return b
}

func names(all []Change) (out []string) {
	for _, c := range all {
		out = append(out, fmt.Sprint(c.Namespace, c.Number))
	}
	return out
}

func faults(b *Book) (out []string) {
	for _, f := range b.Standing().Faults {
		if f.Why == "" || f.Help == "" || f.By == "" {
			out = append(out, "without a reason: ")
		}
		out = append(out, fmt.Sprint(f.Namespace, f.Number))
	}
	return out
}

func TestChangesGatherForTheNextTrain(t *testing.T) {
	b := ten(t, 0)
	apply(t, b, word(team(0, 2, "/0a", false)))
	out := b.Standing().Next
	for i := 1; i < 10; i++ {
		apply(t, b, word(team(i, 2, fmt.Sprint("/", i, "a"), false)))
		if s := b.Standing(); s.Next != out || len(s.Gathered) != i || !slices.Equal(names(s.Train), []string{"t02"}) || s.Head.Epoch <= out.Epoch {
			t.Fatalf("%+v", s)
		}
	}
	judge(t, b, true)
	s := b.Standing()
	if s.Base != out || len(s.Train) != 9 || len(s.Gathered) != 0 || s.Next != s.Head {
		t.Fatalf("%+v", s)
	}
	judge(t, b, true)
	if s := b.Standing(); s.Base != s.Head || s.Next.Epoch != 0 || len(s.Faults) != 0 {
		t.Fatalf("%+v", s)
	}
}

func TestOneHarmfulAmongNineBlameless(t *testing.T) {
	for bad := range 10 {
		b := ten(t, 0)
		apply(t, b, Command{Charter: &Charter{Text: teams(11)}}, word(team(10, 1, "/10", false)))
		for i := range 10 {
			apply(t, b, word(team(i, 2, fmt.Sprint("/", i, "a"), i == bad)))
		}
		judge(t, b, true)
		if s := b.Standing(); len(s.Train) != 10 {
			t.Fatalf("%+v", s)
		}
		trains := play(t, b)
		s := b.Standing()
		if !slices.Equal(faults(b), []string{fmt.Sprintf("t%d2", bad)}) {
			t.Fatalf("%+v", s.Faults)
		}
		got := routesOf(t, b, s.Base)
		for i := range 10 {
			if want := fmt.Sprint("/", i, "a"); strings.Contains(got, want) == (i == bad) {
				t.Errorf("the harmful one is %d: %s", bad, got)
			}
		}
		if trains > 9 {
			t.Errorf("%d trains for one at fault in ten", trains)
		}
		if err := b.Apply(word(team(bad, 2, "/mended", false))); err == nil {
			t.Error("a number that was at fault was taken again")
		}
		apply(t, b, word(team(bad, 3, "/mended", false)))
		play(t, b)
		if s := b.Standing(); len(s.Faults) != 0 || !strings.Contains(routesOf(t, b, s.Base), "/mended") {
			t.Errorf("mended: %+v", s)
		}
	}
}

func TestTwoChangesOfOneNamespace(t *testing.T) {
	b := ten(t, 0)
	apply(t, b, word(team(9, 2, "/9a", false)))
	apply(t, b, word(team(0, 2, "/0a", false)), word(team(0, 5, "/0b", false)))
	if err := b.Apply(word(team(0, 3, "/0c", false))); operatorerror.Of(err) == "" {
		t.Errorf("a lower number: %v", err)
	}
	if s := b.Standing(); !slices.Equal(names(s.Gathered), []string{"t05"}) {
		t.Fatalf("%+v", s)
	}
	through(t, b)
	if got := routesOf(t, b, b.Standing().Base); !strings.Contains(got, "/0b") || strings.Contains(got, "/0a") {
		t.Error(got)
	}
	// A mended one that waits counts for the one on its way, and blameless ones with it go on.
	apply(t, b, word(team(1, 2, "/1a", true)))
	apply(t, b, word(team(1, 3, "/1b", false)), word(team(2, 3, "/2b", false)))
	play(t, b)
	if got := routesOf(t, b, b.Standing().Base); !strings.Contains(got, "/1b") || !strings.Contains(got, "/2b") {
		t.Errorf("%s: %+v", got, b.Standing())
	}
}

func TestTwoThatConflictInOneTrain(t *testing.T) {
	b := ten(t, 0)
	apply(t, b, word(team(9, 2, "/9a", false)))
	apply(t, b, word(team(0, 2, "/same", false)), word(team(1, 2, "/same", false)), word(team(2, 2, "/2a", false)))
	through(t, b)
	s := b.Standing()
	if got := routesOf(t, b, s.Base); !strings.Contains(got, "t0/r/same") || !strings.Contains(got, "t1/r/1") || !strings.Contains(got, "/2a") {
		t.Error(got)
	}
	if len(s.Held) != 1 || s.Held[0].Namespace != "t1" || s.Held[0].Why == "" {
		t.Errorf("%+v", s.Held)
	}
	// The one that was there first is at fault later on: the one that was held comes in by itself.
	b = ten(t, 0)
	apply(t, b, word(team(0, 2, "/same", true)), word(team(1, 2, "/same", false)))
	play(t, b)
	s = b.Standing()
	if got := routesOf(t, b, s.Base); !strings.Contains(got, "t1/r/same") || len(s.Held) != 0 || !slices.Equal(faults(b), []string{"t02"}) {
		t.Errorf("%s: %+v", got, s)
	}
}

func TestAChangeTakenBackBeforeItIsThrough(t *testing.T) {
	b := ten(t, 0)
	apply(t, b, word(team(0, 2, "/0a", false)), word(team(0, 3, "/0", false)))
	if s := b.Standing(); !slices.Equal(names(s.Train), []string{"t02"}) || !slices.Equal(names(s.Gathered), []string{"t03"}) {
		t.Fatalf("%+v", s)
	}
	through(t, b)
	if got := routesOf(t, b, b.Standing().Base); !strings.Contains(got, "t0/r/0 ") {
		t.Error(got)
	}
	// By an operator: what waits is dropped, and what is on its way.
	base := b.Standing().Base
	apply(t, b, word(team(0, 4, "/0a", false)), word(team(1, 4, "/1a", false)), Command{Charter: &Charter{Text: teams(12)}}, Command{Back: &Back{Epoch: base.Epoch}})
	if s := b.Standing(); s.Base.Epoch != base.Epoch || s.Base.Generation != base.Generation+1 || s.Next.Epoch != 0 || s.Head != s.Base || len(s.Gathered)+len(s.Train) != 0 {
		t.Errorf("%+v", s)
	}
	if err := b.Apply(word(team(11, 1, "/11", false))); err == nil {
		t.Error("a charter that was on its way is in force after going back")
	}
}

// A charter is a change like others: at fault, it is taken out, and files that were offered under it are told so.
func TestACharterAtFault(t *testing.T) {
	b := ten(t, 0)
	apply(t, b, word(team(9, 2, "/9a", false)))
	less := strings.Replace(teams(11), `hosts = ["x.org"]`, `hosts = ["y.org"]`, 1) // the first team loses its host
	apply(t, b, Command{Charter: &Charter{Text: less, By: "admin"}}, word(team(10, 1, "/10", false)), word(team(3, 2, "/3a", false)))
	judge(t, b, true)
	trains := 0
	for s := b.Standing(); s.Next.Epoch != 0 && s.Stopped == nil && trains < 20; s = b.Standing() {
		trains++
		judge(t, b, strings.Contains(routesOf(t, b, s.Next), "t0/r"))
	}
	s := b.Standing()
	if got := routesOf(t, b, s.Base); !strings.Contains(got, "t0/r") || !strings.Contains(got, "/3a") || strings.Contains(got, "t10") {
		t.Errorf("%s: %+v", got, s)
	}
	if len(s.Faults) != 1 || s.Faults[0].Namespace != CharterName || s.Faults[0].By != "admin" {
		t.Errorf("%+v", s.Faults)
	}
	if len(s.Held) != 1 || s.Held[0].Namespace != "t10" {
		t.Errorf("%+v", s.Held)
	}
}

// Two that come in only together can't be parted: both are told.
func TestTwoThatGoOnlyTogether(t *testing.T) {
	b := ten(t, 0)
	apply(t, b, word(team(0, 2, "/1", true)))
	if s := b.Standing(); len(s.Held) != 1 || s.Next.Epoch != 0 {
		t.Fatalf("%+v", s)
	}
	apply(t, b, word(team(1, 2, "/0", false)))
	play(t, b)
	if s := b.Standing(); !slices.Equal(faults(b), []string{"t02", "t12"}) || !strings.Contains(routesOf(t, b, s.Base), "t0/r/0 t1/r/1 ") {
		t.Errorf("%+v", s)
	}
}

// One that waited for another to make room goes with it; the other can go without: it alone is at fault, and the one waits again.
func TestOneThatNeedsAnother(t *testing.T) {
	for _, needs := range []int{0, 2} { // before and after the other, by name
		b := ten(t, 0)
		apply(t, b, word(team(needs, 2, "/1", false)), word(team(1, 2, "/1a", true)))
		if s := b.Standing(); len(s.Train) != 2 {
			t.Fatalf("%+v", s)
		}
		play(t, b)
		if s := b.Standing(); !slices.Equal(faults(b), []string{"t12"}) || len(s.Held) != 1 || s.Held[0].Namespace != fmt.Sprint("t", needs) {
			t.Errorf("%+v", s)
		}
	}
}

// A fleet whose first train stops has nothing before it to go on with; a mended offer departs.
func TestTheFirstTrainIsStopped(t *testing.T) {
	b := New(7)
	apply(t, b, Command{Charter: &Charter{Text: teams(2), By: "admin"}})
	judge(t, b, false)
	if s := b.Standing(); s.Stopped == nil || s.Next.Epoch == 0 || len(s.Faults) != 1 {
		t.Fatalf("%+v", s)
	}
	apply(t, b, word(team(0, 1, "/0", true)), word(team(1, 1, "/1", false)))
	play(t, b)
	apply(t, b, word(team(0, 2, "/0", false)))
	play(t, b)
	if s := b.Standing(); routesOf(t, b, s.Base) != "t0/r/0 t1/r/1" || s.Base.Generation != 7 || len(s.Faults) != 0 {
		t.Errorf("%+v", s)
	}
}

// offered is a change of a drawn run.
type offered struct {
	team, number int
	harm         bool
	dropped      bool // by an operator who went back
}

// check draws a run of offers, good, harmful and in conflict, of charters, false alarms and words to go back, and gives what must never
// happen and did.
func check(t *testing.T, seed uint64, f flaw) (wrong string) {
	rng := rand.New(rand.NewPCG(seed, 9))
	b := ten(t, f)
	var all []offered
	number, alarms := 1, 0
	end := func() {
		s := b.Standing()
		harm := harmful(t, b)
		alarm := !harm && rng.IntN(20) == 0
		if alarm {
			alarms++
		}
		judge(t, b, !harm && !alarm)
		if harm && b.Standing().Base == s.Next {
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
		b.flaws = f
	}
	for step := range 60 {
		before := b.Standing()
		switch draw := rng.IntN(12); {
		case draw < 5:
			number++
			o := offered{team: rng.IntN(10), number: number, harm: rng.IntN(6) == 0}
			if b.Apply(word(team(o.team, o.number, fmt.Sprint("/", rng.IntN(14)), o.harm))) == nil {
				all = append(all, o)
			}
		case draw == 5 && rng.IntN(3) == 0:
			apply(t, b, Command{Charter: &Charter{Text: teams(10 + rng.IntN(3))}})
		case draw == 6 && rng.IntN(6) == 0:
			apply(t, b, Command{Back: &Back{Epoch: before.Base.Epoch}})
			if b.Standing().Base != before.Base {
				for i := range all {
					all[i].dropped = true
				}
			}
			continue
		case draw == 7:
			restored()
		case before.Next.Epoch != 0 && before.Stopped == nil:
			end()
			continue
		}
		if after := b.Standing(); before.Next.Epoch != 0 && before.Stopped == nil && after.Next != before.Next {
			return fmt.Sprintf("step %d: epoch %d was displaced by %d", step, before.Next.Epoch, after.Next.Epoch)
		}
		if wrong != "" {
			return wrong
		}
	}
	for i := 0; b.Standing().Next.Epoch != 0 && b.Standing().Stopped == nil; i++ {
		if i > 200 {
			return "trains without an end"
		}
		if end(); wrong != "" {
			return wrong
		}
	}
	s := b.Standing()
	newest := map[int]int{}
	for _, o := range all {
		newest[o.team] = max(newest[o.team], o.number)
	}
	if len(s.Gathered) > 0 {
		return fmt.Sprintf("%v wait for ever", s.Gathered)
	}
	inForce := map[string]uint64{}
	for _, r := range policyOf(t, b, s.Base).Services {
		for _, from := range r.From {
			inForce[from.Namespace] = from.Number
		}
	}
	for _, o := range all {
		name := fmt.Sprint("t", o.team)
		at := slices.IndexFunc(s.Faults, func(x Fault) bool { return x.Namespace == name && x.Number == uint64(o.number) })
		in := inForce[name] == uint64(o.number)
		held := slices.ContainsFunc(s.Held, func(h Held) bool { return h.Namespace == name && h.Offered == uint64(o.number) })
		switch {
		case at >= 0 && (s.Faults[at].Why == "" || s.Faults[at].Help == ""):
			return "a fault without a reason"
		case in && at >= 0:
			return fmt.Sprintf("%s %d is in force and at fault", name, o.number)
		case !in && !held && at < 0 && !o.dropped && newest[o.team] == o.number:
			return fmt.Sprintf("%s %d is neither in force nor told of", name, o.number)
		}
		// Alone among harmless ones nobody is blamed but by an alarm. What goes only together is blamed together.
		if at >= 0 && !o.harm && alarms == 0 && !slices.ContainsFunc(all, func(x offered) bool { return x.harm }) {
			return fmt.Sprintf("%s %d is blamed and did no harm", name, o.number)
		}
	}
	return ""
}

func TestDrawnTrains(t *testing.T) {
	for seed := range uint64(40) {
		if wrong := check(t, seed, 0); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

func TestDrawnTrainsConvict(t *testing.T) {
	for name, f := range map[string]flaw{"an offer displaces": displace, "the change at fault stays": noBlame, "one of several is told": tellOne} {
		convicted := ""
		for seed := uint64(0); seed < 40 && convicted == ""; seed++ {
			convicted = check(t, seed, f)
		}
		t.Logf("%s: %s", name, convicted)
		if convicted == "" {
			t.Errorf("not convicted: %s", name)
		}
	}
	// Blaming all of a train is found where one is harmful among nine.
	b := ten(t, blameAll)
	apply(t, b, word(team(9, 2, "/9a", false)))
	for i := range 9 {
		apply(t, b, word(team(i, 2, fmt.Sprint("/", i, "a"), i == 4)))
	}
	play(t, b)
	if got := faults(b); len(got) < 2 {
		t.Errorf("not convicted: all of a train are blamed: %v", got)
	}
}
