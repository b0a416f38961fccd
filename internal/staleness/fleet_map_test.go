package staleness

import (
	"errors"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"

	"pgregory.net/rapid"
)

func testMap(t testing.TB) *FleetMap {
	t.Helper()
	m, err := NewFleetMap(MapSettings{MaxTransit: 200 * time.Millisecond, ReportInterval: sec, ClockDrift: .001, ClockJitter: 20 * time.Millisecond})
	must(t, err)
	m.RecordVersion(0, "list", 1)
	m.RecordVersion(10*sec, "list", 2)
	return m
}

func report(edge string, clock time.Duration, version uint64, bound time.Duration) Report {
	return Report{Proxy: edge, Incarnation: 1, Clock: clock, Sources: []SourceClaim{{Source: "list", Version: version, MaxAge: bound, Known: true}},
		Routes: []RouteClaim{{Route: "r", Level: Fresh, Confidence: .97}}}
}

func TestAClaimThatCannotBeTrueIsMarked(t *testing.T) {
	for name, c := range map[string]struct {
		at   time.Duration
		r    Report
		lies bool
	}{
		"the current version":           {20 * sec, report("e", 5*sec, 2, sec), false},
		"an old one, said to be old":    {20 * sec, report("e", 5*sec, 1, 10*sec), false},
		"an old one, said to be new":    {20 * sec, report("e", 5*sec, 1, 9*sec), true},
		"just superseded, on its way":   {10*sec + 100*time.Millisecond, report("e", 5*sec, 1, 0), false},
		"one that the steward has not":  {20 * sec, report("e", 5*sec, 3, sec), false},
		"a negative age":                {20 * sec, report("e", 5*sec, 2, -1), true},
		"an age that is said not known": {20 * sec, Report{Proxy: "e", Sources: []SourceClaim{{Source: "list", Version: 1}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := testMap(t)
			err := m.RecordReport(c.at, c.r)
			var lie ImplausibleClaimError
			if got := errors.As(err, &lie); got != c.lies || got && (lie.Proxy != "e" || operatorerror.AdviceOf(err) == "") {
				t.Errorf("%v", err)
			}
			if marked := m.Fault("e") != nil; marked != c.lies {
				t.Errorf("marked %v", marked)
			}
		})
	}
}

func TestALyingClockIsMarkedAndAMarkIsLifted(t *testing.T) {
	m := testMap(t)
	now, clock := 20*sec, 100*sec
	for range 20 { // a clock that stands still half of the time: all that it says of ages looks new
		must(t, nilOrLie(m.RecordReport(now, report("e", clock, 2, sec))))
		now, clock = now+sec, clock+sec/2
	}
	if m.Fault("e") == nil {
		t.Fatal("a clock at half pace is not marked")
	}
	if c := m.Count(now, "r"); c.Unknown != 1 || c.ByLevel[Fresh] != 0 {
		t.Errorf("a marked edge counts as %v", c)
	}
	for range 10 {
		must(t, nilOrLie(m.RecordReport(now, report("e", clock, 2, sec))))
		now, clock = now+sec, clock+sec
	}
	if err := m.Fault("e"); err != nil {
		t.Errorf("still marked: %v", err)
	}
	if c := m.Count(now-sec, "r"); c.ByLevel[Fresh] != 1 {
		t.Errorf("counts as %v", c)
	}
	if c := m.Count(now+10*sec, "r"); c.Unknown != 1 || m.Age(now+10*sec, "e", "list").Known {
		t.Errorf("an edge that has gone silent counts as %v", c)
	}
	if m.Age(now, "nobody", "list").Known || m.Age(now, "e", "grants").Known {
		t.Error("an age is known that nobody told")
	}
}

func nilOrLie(err error) error {
	if errors.As(err, new(ImplausibleClaimError)) {
		return nil
	}
	return err
}

// An edge that tells the truth with its errors is never marked, and its true age lies within the map's bounds.
func TestTheTruthIsNeverMarked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := NewFleetMap(MapSettings{MaxTransit: sec, ReportInterval: sec, ClockDrift: .01, ClockJitter: 10 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		drift := rapid.Float64Range(-.009, .009).Draw(t, "drift")
		m.RecordVersion(0, "list", 1)
		changed := []time.Duration{0}
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "change") {
				changed = append(changed, now)
				m.RecordVersion(now+time.Duration(rapid.IntRange(0, 500).Draw(t, "late"))*time.Millisecond, "list", uint64(len(changed)))
			}
			v := rapid.IntRange(1, len(changed)).Draw(t, "held")
			age := time.Duration(0) // since the held version was the truth
			if v < len(changed) {
				age = now - changed[v]
			}
			bound := age + time.Duration(rapid.IntRange(0, 1000).Draw(t, "slack"))*time.Millisecond
			way := time.Duration(rapid.IntRange(0, 999).Draw(t, "way")) * time.Millisecond
			clock := time.Duration(float64(now) * (1 + drift))
			if err := m.RecordReport(now+way, report("e", clock, uint64(v), bound)); err != nil {
				t.Fatalf("marked: %v", err)
			}
			s := m.Age(now+way, "e", "list")
			if !s.Known || age+way < s.Min || age+way > s.Max+time.Duration(float64(way)*.01) {
				t.Fatalf("age %v is not within %v", age+way, s)
			}
		}
	})
}

func TestMapSettingsAreChecked(t *testing.T) {
	if _, err := NewFleetMap(MapSettings{ClockDrift: 2, ClockJitter: -1}); !errors.As(err, new(InvalidSettingsError)) {
		t.Error(err)
	}
}
