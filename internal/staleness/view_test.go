package staleness

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"

	"pgregory.net/rapid"
)

const sec = time.Second

// a view of ten servers on a route and a policy, heard at 1 s and kept up with beats to the second given.
func heardView(t testing.TB, until time.Duration) *View {
	t.Helper()
	v, err := New(Settings{Sources: []SourceSettings{{Name: "list", Beat: sec}, {Name: "policy", Beat: sec, Bears: true}}})
	if err != nil {
		t.Fatal(err)
	}
	must(t, v.Heard(sec, "list", News{Version: 1, Whole: true, Changed: servers(10)}))
	must(t, v.Heard(sec, "policy", News{Version: 7, Whole: true}))
	beats(t, v, 2*sec, until)
	return v
}

func servers(n int) []Change {
	var all []Change
	for i := range n {
		all = append(all, Change{Entry: Entry{Name: fmt.Sprint("s", i), Kind: "app", Route: "r", Start: 1}})
	}
	return all
}

func beats(t testing.TB, v *View, from, to time.Duration) {
	t.Helper()
	for now := from; now <= to; now += sec {
		must(t, v.Quiet(now, "list"))
		must(t, v.Quiet(now, "policy"))
		v.Tick(now)
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestUnknownIsNotFresh(t *testing.T) {
	v, err := New(Settings{Sources: []SourceSettings{{Name: "list", Beat: sec}}})
	must(t, err)
	if l, p := v.Route(sec, "r"); l != Blind || p != 0 {
		t.Errorf("a route of which nobody told is %v, %v", l, p)
	}
	if _, known := v.Age(sec, "list"); known {
		t.Error("the age of what was never heard is known")
	}
	w := heardView(t, 30*sec)
	w.Restarted(31*sec, -1)
	if _, known := w.Age(31*sec, "list"); known {
		t.Error("the age of a saved view without one is known")
	}
	for now := 31 * sec; now < 60*sec; now += sec / 5 { // however many servers answer
		for i := range 10 {
			must(t, w.Confirmed(now, "list", fmt.Sprint("s", i)))
		}
		if l, _ := w.Route(now, "r"); l > Doubtful {
			t.Fatalf("%v at %v with an unknown age", l, now)
		}
	}
}

func TestAnEntryCannotTakeThePlaceOfASource(t *testing.T) {
	v := heardView(t, 30*sec)
	before := v.Confidence(30*sec, "policy")
	for _, gone := range []bool{false, true} {
		err := v.Heard(30*sec, "list", News{Version: 2, Changed: []Change{{Entry: Entry{Name: "policy", Kind: "app", Route: "r"}, Gone: gone}}})
		if !errors.As(err, new(NameTaken)) || v.Confidence(30*sec, "policy") != before {
			t.Errorf("gone %v: %v, %v after %v", gone, err, v.Confidence(30*sec, "policy"), before)
		}
	}
}

func TestLevelsFallAtOnceAndRiseSlowly(t *testing.T) {
	v := heardView(t, 60*sec)
	if l, p := v.Route(60*sec, "r"); l < Fresh || p < .95 {
		t.Fatalf("%v, %v after a minute of beats", l, p)
	}
	must(t, v.Failed(60*sec, "list", FailBroken))
	last, seen := Confirmed, map[Level]bool{}
	for now := 60 * sec; now < 3600*sec; now += sec {
		l, p := v.Route(now, "r")
		if l > last {
			t.Fatalf("rose from %v to %v in silence, chance %v", last, l, p)
		}
		last, seen[l] = l, true
	}
	if last != Blind || !seen[Ageing] || !seen[Doubtful] {
		t.Errorf("ended at %v by %v", last, seen)
	}
	var blind EdgeBlind
	if err := v.Trouble(3600*sec, "r"); !errors.As(err, &blind) || !blind.Known || operatorerror.AdviceOf(err) == "" {
		t.Errorf("trouble: %v", err)
	}
	must(t, v.Heard(3600*sec, "list", News{Version: 2, Whole: true, Changed: servers(10)}))
	must(t, v.Heard(3600*sec, "policy", News{Version: 7, Whole: true}))
	if l, _ := v.Route(3600*sec, "r"); l != Blind {
		t.Errorf("%v at the first word", l)
	}
	beats(t, v, 3601*sec, 3610*sec)
	if l, _ := v.Route(3610*sec, "r"); l < Fresh {
		t.Errorf("%v ten beats after", l)
	}
}

func TestNeverTwiceGoesOnlyToWhoAnsweredSince(t *testing.T) {
	v := heardView(t, 60*sec)
	must(t, v.Confirmed(60*sec, "list", "s1"))
	must(t, v.Failed(60*sec, "list", FailBroken))
	now := 60 * sec
	for l := Fresh; l != Doubtful; now += sec {
		if l, _ = v.Route(now, "r"); l == Blind || now > 3600*sec {
			t.Fatalf("%v at %v", l, now)
		}
	}
	var doubt ViewDoubtful
	if !errors.As(v.Trouble(now, "r"), &doubt) {
		t.Error("a doubtful route is no trouble")
	}
	if v.MayUse("r", "s1", Once) || !v.MayUse("r", "s1", Safe) || !v.MayUse("r", "s1", Keyed) {
		t.Error("s1 answered before the doubt only")
	}
	must(t, v.Confirmed(now, "list", "s1"))
	if !v.MayUse("r", "s1", Once) || v.MayUse("r", "s2", Once) {
		t.Error("s1 answered since, s2 did not")
	}
	must(t, v.Contradicted(now, "list", Evidence{Kind: TokenTurnedAway, Entry: "s1"}))
	if v.MayUse("r", "s1", Once) {
		t.Error("s1 turned a token away since")
	}
	s := v.Tick(now)
	if _, may := s.Entry(v.Handle("s1"), Once); may {
		t.Error("the snapshot differs")
	}
}

func TestEvidenceCounts(t *testing.T) {
	v := heardView(t, 60*sec)
	before := v.Confidence(60*sec, "s1")
	must(t, v.Contradicted(60*sec, "list", Evidence{Kind: OtherStart, Entry: "s1"}))
	if p := v.Confidence(60*sec, "s1"); p > .01 || before < .99 {
		t.Errorf("another process answers: %v after %v", p, before)
	}
	must(t, v.Confirmed(60*sec, "list", ""))
	ageBefore, _ := v.Age(64*sec, "list")
	must(t, v.Quiet(64*sec, "list"))
	must(t, v.Contradicted(64*sec, "list", Evidence{Kind: LaterNumber, Version: 9}))
	if age, known := v.Age(64*sec, "list"); !known || age < 4*sec || age < ageBefore-sec {
		t.Errorf("a beat hides that a later number is known since: %v", age)
	}
	must(t, v.Heard(64*sec, "list", News{Version: 9, Changed: servers(1)}))
	must(t, v.Quiet(65*sec, "list"))
	if age, _ := v.Age(65*sec, "list"); age > 3*sec {
		t.Errorf("made good, and still %v old", age)
	}
	if err := v.Quiet(0, "nothing"); !errors.As(err, new(UnknownSource)) {
		t.Errorf("no such source: %v", err)
	}
}

// Whatever comes in whatever order: chances are chances, ages are not negative, levels are ordered by what was said, nothing panics.
func TestAnyOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, err := New(Settings{Sources: []SourceSettings{{Name: "list", Beat: sec}, {Name: "policy", Beat: sec, Bears: true}}})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		version := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			src := rapid.SampledFrom([]string{"list", "policy"}).Draw(t, "src")
			name := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "entry"))
			switch rapid.IntRange(0, 8).Draw(t, "op") {
			case 0:
				version++
				_ = v.Heard(now, src, News{Version: version, Whole: true, Changed: servers(rapid.IntRange(0, 6).Draw(t, "servers"))})
			case 1:
				version++
				c := Change{Entry: Entry{Name: name, Kind: "app", Route: "r", Start: version}, Gone: rapid.Bool().Draw(t, "gone")}
				_ = v.Heard(now, src, News{Version: version, Changed: []Change{c}, Latest: version + uint64(rapid.IntRange(0, 1).Draw(t, "l"))})
			case 2:
				_ = v.Quiet(now, src)
			case 3:
				_ = v.Failed(now, src, FailKind(rapid.IntRange(0, 1).Draw(t, "how")))
			case 4:
				_ = v.Contradicted(now, src, Evidence{Kind: EvidenceKind(rapid.IntRange(0, 3).Draw(t, "kind")), Entry: name, Version: version + 1})
			case 5:
				_ = v.Confirmed(now, src, rapid.SampledFrom([]string{"", name}).Draw(t, "who"))
			case 6:
				v.Stopped(now, time.Duration(rapid.IntRange(0, 30).Draw(t, "gap"))*sec)
			case 7:
				v.Restarted(now, time.Duration(rapid.IntRange(-1, 100).Draw(t, "age"))*sec)
			case 8:
				v.Spend(now, 3, 1)
			}
			for _, n := range []string{name, "policy"} {
				if p := v.Confidence(now, n); !(p >= 0 && p <= 1+1e-9) {
					t.Fatalf("%s: chance %v", n, p)
				}
			}
			if age, known := v.Age(now, src); known && age < 0 {
				t.Fatalf("%s is %v old", src, age)
			}
			l, p := v.Route(now, "r")
			if math.IsNaN(p) || p < 0 || p > 1+1e-9 || l > Confirmed {
				t.Fatalf("route: %v %v", l, p)
			}
			s := v.Tick(now)
			for e := Safe; e <= Once; e++ {
				if _, may := s.Entry(v.Handle(name), e); may != v.MayUse("r", name, e) {
					t.Fatalf("the snapshot says %v of %s for %d", may, name, e)
				}
			}
		}
	})
}

func TestSpendGoesWhereDoubtAndWorthAre(t *testing.T) {
	v := heardView(t, 60*sec)
	must(t, v.Heard(60*sec, "list", News{Version: 2, Changed: []Change{{Entry: Entry{Name: "dear", Kind: "app", Route: "gold", Start: 1}}}}))
	v.Worth("gold", 100)
	if got := v.Spend(60*sec, 5, 5); len(got) != 0 {
		t.Errorf("asked for %v while all is well", got)
	}
	must(t, v.Failed(61*sec, "list", FailBroken))
	beatsOf := func(to time.Duration) {
		for now := 61 * sec; now <= to; now += sec {
			must(t, v.Quiet(now, "policy"))
		}
	}
	beatsOf(120 * sec)
	got := v.Spend(120*sec, 1, 1)
	if len(got) != 2 || got[0].Source != "list" || got[0].Entry != "" || got[1].Entry != "dear" {
		t.Errorf("got %v", got)
	}
	if again := v.Spend(120*sec, 1, 1); len(again) != 1 || again[0].Entry == "dear" || again[0].Entry == "" {
		t.Errorf("the same again: %v", again)
	}
	if none := v.Spend(200*sec, 0, -1); len(none) != 0 {
		t.Errorf("beyond the budget: %v", none)
	}
}

func TestWhatLevelsAllow(t *testing.T) {
	for l := Blind; l <= Confirmed+1; l++ {
		for e := Safe; e <= Once+1; e++ {
			want := Any
			switch {
			case l == Blind || l > Confirmed || e > Once:
				want = FloorOrRefuse
			case l == Doubtful && e == Once:
				want = ConfirmedSinceOnly
			}
			if got := Allows(l, e); got != want {
				t.Errorf("%v, effect %d: %d, want %d", l, e, got, want)
			}
		}
		if l > Blind && AskFor(l, 100) < AskFor(l-1, 100) || AskFor(Blind, 100) >= 100 {
			t.Errorf("%v asks for %v", l, AskFor(l, 100))
		}
	}
}

func TestBadSettingsAreNamed(t *testing.T) {
	list := []SourceSettings{{Name: "list", Beat: sec}}
	for field, s := range map[string]Settings{
		"sources":           {},
		"sources.list.beat": {Sources: []SourceSettings{{Name: "list"}}},
		"spread":            {Sources: list, Spread: -1},
		"silence":           {Sources: list, Silence: math.NaN()},
		"lie_doubt":         {Sources: list, LieDoubt: 2},
		"transit":           {Sources: list, Transit: -1},
		"kinds.app":         {Sources: list, Kinds: map[string]Prior{"app": {}}},
		"levels":            {Sources: list, Levels: Thresholds{Fresh: .1}},
		"levels.margin":     {Sources: list, Levels: Thresholds{Margin: .5}},
		"levels.rest":       {Sources: list, Levels: Thresholds{Rest: -1}},
	} {
		var bad BadSettings
		if _, err := New(s); !errors.As(err, &bad) || bad.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func TestALookAllocatesNothing(t *testing.T) {
	v := heardView(t, 60*sec)
	s, i, h := v.Tick(60*sec), v.RouteIndex("r"), v.Handle("s3")
	if l, _ := s.Route(i); l < Fresh {
		t.Fatalf("%v", l)
	}
	if n := testing.AllocsPerRun(100, func() { s.Route(i); s.Allows(i, Once); s.Entry(h, Once) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	if _, may := s.Entry(h, Once); !may {
		t.Error("a fresh entry may not be used")
	}
	must(t, v.Heard(61*sec, "list", News{Version: 2, Changed: []Change{{Entry: Entry{Name: "s3", Kind: "app", Route: "r", Start: 2}}}}))
	if _, may := v.Tick(61*sec).Entry(h, Safe); may {
		t.Error("an old handle finds the new process of its address")
	}
	for _, bad := range []int{-1, 99} {
		if l, _ := s.Route(bad); l != Blind || s.Allows(bad, Safe) != FloorOrRefuse {
			t.Errorf("index %d", bad)
		}
	}
}

func BenchmarkRouteLevel(b *testing.B) {
	v := heardView(b, 60*sec)
	s, i := v.Tick(60*sec), v.RouteIndex("r")
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if l, _ := s.Route(i); l >= Fresh && s.Allows(i, Once) == Any {
			n++
		}
	}
	if n == 0 {
		b.Fatal("never fresh")
	}
}

func BenchmarkTick(b *testing.B) {
	v := heardView(b, 60*sec)
	must(b, v.Heard(61*sec, "list", News{Version: 2, Whole: true, Changed: servers(200)}))
	now := 61 * sec
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Millisecond
		v.Tick(now)
	}
}
