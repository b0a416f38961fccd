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
	v, err := New(Settings{Sources: []SourceSettings{{Name: "list", HeartbeatInterval: sec}, {Name: "policy", HeartbeatInterval: sec, AffectsAllRoutes: true}}})
	if err != nil {
		t.Fatal(err)
	}
	must(t, v.ApplyUpdate(sec, "list", Update{Version: 1, Complete: true, Changes: servers(10)}))
	must(t, v.ApplyUpdate(sec, "policy", Update{Version: 7, Complete: true}))
	beats(t, v, 2*sec, until)
	return v
}

func servers(n int) []Change {
	var all []Change
	for i := range n {
		all = append(all, Change{Entry: Entry{Name: fmt.Sprint("s", i), Kind: "app", Route: "r", Incarnation: 1}})
	}
	return all
}

func beats(t testing.TB, v *View, from, to time.Duration) {
	t.Helper()
	for now := from; now <= to; now += sec {
		must(t, v.RecordHeartbeat(now, "list"))
		must(t, v.RecordHeartbeat(now, "policy"))
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
	v, err := New(Settings{Sources: []SourceSettings{{Name: "list", HeartbeatInterval: sec}}})
	must(t, err)
	if l, p := v.Route(sec, "r"); l != Blind || p != 0 {
		t.Errorf("a route of which nobody told is %v, %v", l, p)
	}
	if _, known := v.Age(sec, "list"); known {
		t.Error("the age of what was never heard is known")
	}
	w := heardView(t, 30*sec)
	w.Restore(31*sec, -1)
	if _, known := w.Age(31*sec, "list"); known {
		t.Error("the age of a saved view without one is known")
	}
	for now := 31 * sec; now < 60*sec; now += sec / 5 { // however many servers answer
		for i := range 10 {
			must(t, w.RecordConfirmation(now, "list", fmt.Sprint("s", i)))
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
		err := v.ApplyUpdate(30*sec, "list", Update{Version: 2, Changes: []Change{{Entry: Entry{Name: "policy", Kind: "app", Route: "r"}, Removed: gone}}})
		if !errors.As(err, new(NameTakenError)) || v.Confidence(30*sec, "policy") != before {
			t.Errorf("gone %v: %v, %v after %v", gone, err, v.Confidence(30*sec, "policy"), before)
		}
	}
}

func TestLevelsFallAtOnceAndRiseSlowly(t *testing.T) {
	v := heardView(t, 60*sec)
	if l, p := v.Route(60*sec, "r"); l < Fresh || p < .95 {
		t.Fatalf("%v, %v after a minute of beats", l, p)
	}
	must(t, v.RecordFailure(60*sec, "list", WatchBroken))
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
	var blind RouteBlindError
	if err := v.Fault(3600*sec, "r"); !errors.As(err, &blind) || !blind.Known || operatorerror.AdviceOf(err) == "" {
		t.Errorf("trouble: %v", err)
	}
	must(t, v.ApplyUpdate(3600*sec, "list", Update{Version: 2, Complete: true, Changes: servers(10)}))
	must(t, v.ApplyUpdate(3600*sec, "policy", Update{Version: 7, Complete: true}))
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
	must(t, v.RecordConfirmation(60*sec, "list", "s1"))
	must(t, v.RecordFailure(60*sec, "list", WatchBroken))
	now := 60 * sec
	for l := Fresh; l != Doubtful; now += sec {
		if l, _ = v.Route(now, "r"); l == Blind || now > 3600*sec {
			t.Fatalf("%v at %v", l, now)
		}
	}
	var doubt RouteDoubtfulError
	if !errors.As(v.Fault(now, "r"), &doubt) {
		t.Error("a doubtful route is no trouble")
	}
	if v.Permits("r", "s1", NotIdempotent) || !v.Permits("r", "s1", Idempotent) || !v.Permits("r", "s1", IdempotentByKey) {
		t.Error("s1 answered before the doubt only")
	}
	must(t, v.RecordConfirmation(now, "list", "s1"))
	if !v.Permits("r", "s1", NotIdempotent) || v.Permits("r", "s2", NotIdempotent) {
		t.Error("s1 answered since, s2 did not")
	}
	must(t, v.RecordContradiction(now, "list", Evidence{Kind: TokenRejected, Entry: "s1"}))
	if v.Permits("r", "s1", NotIdempotent) {
		t.Error("s1 turned a token away since")
	}
	s := v.Tick(now)
	if _, may := s.Entry(v.Handle("s1"), NotIdempotent); may {
		t.Error("the snapshot differs")
	}
}

func TestEvidenceCounts(t *testing.T) {
	v := heardView(t, 60*sec)
	before := v.Confidence(60*sec, "s1")
	must(t, v.RecordContradiction(60*sec, "list", Evidence{Kind: OtherIncarnation, Entry: "s1"}))
	if p := v.Confidence(60*sec, "s1"); p > .01 || before < .99 {
		t.Errorf("another process answers: %v after %v", p, before)
	}
	must(t, v.RecordConfirmation(60*sec, "list", ""))
	ageBefore, _ := v.Age(64*sec, "list")
	must(t, v.RecordHeartbeat(64*sec, "list"))
	must(t, v.RecordContradiction(64*sec, "list", Evidence{Kind: LaterVersion, Version: 9}))
	if age, known := v.Age(64*sec, "list"); !known || age < 4*sec || age < ageBefore-sec {
		t.Errorf("a beat hides that a later number is known since: %v", age)
	}
	must(t, v.ApplyUpdate(64*sec, "list", Update{Version: 9, Changes: servers(1)}))
	must(t, v.RecordHeartbeat(65*sec, "list"))
	if age, _ := v.Age(65*sec, "list"); age > 3*sec {
		t.Errorf("made good, and still %v old", age)
	}
	if err := v.RecordHeartbeat(0, "nothing"); !errors.As(err, new(UnknownSourceError)) {
		t.Errorf("no such source: %v", err)
	}
}

// Whatever comes in whatever order: chances are chances, ages are not negative, levels are ordered by what was said, nothing panics.
func TestAnyOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, err := New(Settings{Sources: []SourceSettings{{Name: "list", HeartbeatInterval: sec}, {Name: "policy", HeartbeatInterval: sec, AffectsAllRoutes: true}}})
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
				_ = v.ApplyUpdate(now, src, Update{Version: version, Complete: true, Changes: servers(rapid.IntRange(0, 6).Draw(t, "servers"))})
			case 1:
				version++
				c := Change{Entry: Entry{Name: name, Kind: "app", Route: "r", Incarnation: version}, Removed: rapid.Bool().Draw(t, "gone")}
				_ = v.ApplyUpdate(now, src, Update{Version: version, Changes: []Change{c}, LatestVersion: version + uint64(rapid.IntRange(0, 1).Draw(t, "l"))})
			case 2:
				_ = v.RecordHeartbeat(now, src)
			case 3:
				_ = v.RecordFailure(now, src, FailureKind(rapid.IntRange(0, 1).Draw(t, "how")))
			case 4:
				_ = v.RecordContradiction(now, src, Evidence{Kind: EvidenceKind(rapid.IntRange(0, 3).Draw(t, "kind")), Entry: name, Version: version + 1})
			case 5:
				_ = v.RecordConfirmation(now, src, rapid.SampledFrom([]string{"", name}).Draw(t, "who"))
			case 6:
				v.RecordSuspension(now, time.Duration(rapid.IntRange(0, 30).Draw(t, "gap"))*sec)
			case 7:
				v.Restore(now, time.Duration(rapid.IntRange(-1, 100).Draw(t, "age"))*sec)
			case 8:
				v.PlanProbes(now, 3, 1)
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
			for e := Idempotent; e <= NotIdempotent; e++ {
				if _, may := s.Entry(v.Handle(name), e); may != v.Permits("r", name, e) {
					t.Fatalf("the snapshot says %v of %s for %d", may, name, e)
				}
			}
		}
	})
}

func TestSpendGoesWhereDoubtAndWorthAre(t *testing.T) {
	v := heardView(t, 60*sec)
	must(t, v.ApplyUpdate(60*sec, "list", Update{Version: 2, Changes: []Change{{Entry: Entry{Name: "dear", Kind: "app", Route: "gold", Incarnation: 1}}}}))
	v.SetPriorityWeight("gold", 100)
	if got := v.PlanProbes(60*sec, 5, 5); len(got) != 0 {
		t.Errorf("asked for %v while all is well", got)
	}
	must(t, v.RecordFailure(61*sec, "list", WatchBroken))
	beatsOf := func(to time.Duration) {
		for now := 61 * sec; now <= to; now += sec {
			must(t, v.RecordHeartbeat(now, "policy"))
		}
	}
	beatsOf(120 * sec)
	got := v.PlanProbes(120*sec, 1, 1)
	if len(got) != 2 || got[0].Source != "list" || got[0].Entry != "" || got[1].Entry != "dear" {
		t.Errorf("got %v", got)
	}
	if again := v.PlanProbes(120*sec, 1, 1); len(again) != 1 || again[0].Entry == "dear" || again[0].Entry == "" {
		t.Errorf("the same again: %v", again)
	}
	if none := v.PlanProbes(200*sec, 0, -1); len(none) != 0 {
		t.Errorf("beyond the budget: %v", none)
	}
}

func TestWhatLevelsAllow(t *testing.T) {
	for l := Blind; l <= Confirmed+1; l++ {
		for e := Idempotent; e <= NotIdempotent+1; e++ {
			want := AnyEndpoint
			switch {
			case l == Blind || l > Confirmed || e > NotIdempotent:
				want = FloorOrReject
			case l == Doubtful && e == NotIdempotent:
				want = ConfirmedOnly
			}
			if got := PermissionFor(l, e); got != want {
				t.Errorf("%v, effect %d: %d, want %d", l, e, got, want)
			}
		}
		if l > Blind && QuotaRequest(l, 100) < QuotaRequest(l-1, 100) || QuotaRequest(Blind, 100) >= 100 {
			t.Errorf("%v asks for %v", l, QuotaRequest(l, 100))
		}
	}
}

func TestBadSettingsAreNamed(t *testing.T) {
	list := []SourceSettings{{Name: "list", HeartbeatInterval: sec}}
	for field, s := range map[string]Settings{
		"sources":           {},
		"sources.list.beat": {Sources: []SourceSettings{{Name: "list"}}},
		"spread":            {Sources: list, RateShape: -1},
		"silence":           {Sources: list, SilentWatchRate: math.NaN()},
		"lie_doubt":         {Sources: list, StaleAnswerThreshold: 2},
		"transit":           {Sources: list, MaxTransit: -1},
		"kinds.app":         {Sources: list, Kinds: map[string]Prior{"app": {}}},
		"levels":            {Sources: list, Levels: Thresholds{Fresh: .1}},
		"levels.margin":     {Sources: list, Levels: Thresholds{Margin: .5}},
		"levels.rest":       {Sources: list, Levels: Thresholds{RiseDelay: -1}},
	} {
		var bad InvalidSettingsError
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
	if n := testing.AllocsPerRun(100, func() { s.Route(i); s.Permission(i, NotIdempotent); s.Entry(h, NotIdempotent) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	if _, may := s.Entry(h, NotIdempotent); !may {
		t.Error("a fresh entry may not be used")
	}
	must(t, v.ApplyUpdate(61*sec, "list", Update{Version: 2, Changes: []Change{{Entry: Entry{Name: "s3", Kind: "app", Route: "r", Incarnation: 2}}}}))
	if _, may := v.Tick(61*sec).Entry(h, Idempotent); may {
		t.Error("an old handle finds the new process of its address")
	}
	for _, bad := range []int{-1, 99} {
		if l, _ := s.Route(bad); l != Blind || s.Permission(bad, Idempotent) != FloorOrReject {
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
		if l, _ := s.Route(i); l >= Fresh && s.Permission(i, NotIdempotent) == AnyEndpoint {
			n++
		}
	}
	if n == 0 {
		b.Fatal("never fresh")
	}
}

func BenchmarkTick(b *testing.B) {
	v := heardView(b, 60*sec)
	must(b, v.ApplyUpdate(61*sec, "list", Update{Version: 2, Complete: true, Changes: servers(200)}))
	now := 61 * sec
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Millisecond
		v.Tick(now)
	}
}
