package staleness

import (
	"errors"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"

	"pgregory.net/rapid"
)

// newTestMap returns a map in which version 2 of the list superseded version 1 at 10 s.
func newTestMap(t testing.TB) *FleetMap {
	t.Helper()
	m, err := NewFleetMap(MapSettings{
		MaxTransit:     200 * time.Millisecond,
		ReportInterval: sec,
		ClockDrift:     .001,
		ClockJitter:    20 * time.Millisecond,
	})
	must(t, "NewFleetMap", err)
	m.RecordVersion(0, "list", 1)
	m.RecordVersion(10*sec, "list", 2)
	return m
}

// newReport returns a report of proxy e, which claims to hold a version of the list that is at most maxAge old.
func newReport(clock time.Duration, version uint64, maxAge time.Duration) Report {
	return Report{
		Proxy:       "e",
		Incarnation: 1,
		Clock:       clock,
		Sources:     []SourceClaim{{Source: "list", Version: version, MaxAge: maxAge, Known: true}},
		Routes:      []RouteClaim{{Route: "r", Level: Fresh, Confidence: .97}},
	}
}

func TestRecordReportRejectsImplausibleClaims(t *testing.T) {
	unknownAge := Report{Proxy: "e", Sources: []SourceClaim{{Source: "list", Version: 1}}}
	for name, test := range map[string]struct {
		at          time.Duration
		report      Report
		implausible bool
	}{
		"current version":                  {20 * sec, newReport(5*sec, 2, sec), false},
		"superseded, claimed to be old":    {20 * sec, newReport(5*sec, 1, 10*sec), false},
		"superseded, claimed to be recent": {20 * sec, newReport(5*sec, 1, 9*sec), true},
		"superseded while in transit":      {10*sec + 100*time.Millisecond, newReport(5*sec, 1, 0), false},
		"later than the recorded versions": {20 * sec, newReport(5*sec, 3, sec), false},
		"negative age":                     {20 * sec, newReport(5*sec, 2, -1), true},
		"unknown age":                      {20 * sec, unknownAge, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMap(t)
			err := m.RecordReport(test.at, test.report)
			var fault ImplausibleClaimError
			got := errors.As(err, &fault)
			if got != test.implausible || got && (fault.Proxy != "e" || operatorerror.AdviceOf(err) == "") {
				t.Errorf("RecordReport = %v (advice %q); want an ImplausibleClaimError of proxy e with advice: %v",
					err, operatorerror.AdviceOf(err), test.implausible)
			}
			if faulty := m.Fault("e") != nil; faulty != test.implausible {
				t.Errorf("Fault(e) after the report = %v, want an error: %v", m.Fault("e"), test.implausible)
			}
		})
	}
}

func TestSlowClockIsAFaultUntilReportsArePlausible(t *testing.T) {
	m := newTestMap(t)
	now, clock := 20*sec, 100*sec
	for range 20 { // a clock at half speed makes all ages look smaller
		must(t, "RecordReport", ignoreImplausible(m.RecordReport(now, newReport(clock, 2, sec))))
		now += sec
		clock += sec / 2
	}
	if m.Fault("e") == nil {
		t.Fatal("Fault(e) = nil after 20 reports with a clock at half speed, want a fault")
	}
	if counts := m.Count(now, "r"); counts.Unknown != 1 || counts.ByLevel[Fresh] != 0 {
		t.Errorf("Count(r) with a faulty proxy = %+v, want it counted as unknown and not as fresh", counts)
	}
	for range 10 {
		must(t, "RecordReport", ignoreImplausible(m.RecordReport(now, newReport(clock, 2, sec))))
		now += sec
		clock += sec
	}
	if err := m.Fault("e"); err != nil {
		t.Errorf("Fault(e) after ten plausible reports = %v, want nil", err)
	}
	if counts := m.Count(now-sec, "r"); counts.ByLevel[Fresh] != 1 {
		t.Errorf("Count(r) after ten plausible reports = %+v, want one fresh proxy", counts)
	}
	if counts := m.Count(now+10*sec, "r"); counts.Unknown != 1 || m.Age(now+10*sec, "e", "list").Known {
		t.Errorf("10 s after the last report: Count(r) = %+v, Age(e, list) = %+v, "+
			"want one unknown proxy and an unknown age", counts, m.Age(now+10*sec, "e", "list"))
	}
	if m.Age(now, "unknown", "list").Known || m.Age(now, "e", "leases").Known {
		t.Errorf("Age(unknown proxy, list) = %+v, Age(e, unreported source) = %+v, want both unknown",
			m.Age(now, "unknown", "list"), m.Age(now, "e", "leases"))
	}
}

func ignoreImplausible(err error) error {
	if errors.As(err, new(ImplausibleClaimError)) {
		return nil
	}
	return err
}

// A proxy whose reports are correct within the tolerances for clock drift, clock jitter and transit never has a fault,
// and its true age is within the map's bounds.
func TestTrueReportsAreNeverFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := NewFleetMap(MapSettings{
			MaxTransit:     sec,
			ReportInterval: sec,
			ClockDrift:     .01,
			ClockJitter:    10 * time.Millisecond,
		})
		if err != nil {
			t.Fatalf("NewFleetMap: %v", err)
		}
		drawMilliseconds := func(minimum, maximum int, label string) time.Duration {
			return time.Duration(rapid.IntRange(minimum, maximum).Draw(t, label)) * time.Millisecond
		}
		drift := rapid.Float64Range(-.009, .009).Draw(t, "drift")
		m.RecordVersion(0, "list", 1)
		currentSince := []time.Duration{0} // by version, from 1
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += drawMilliseconds(1, 3000, "elapsed")
			if rapid.Bool().Draw(t, "change") {
				currentSince = append(currentSince, now)
				m.RecordVersion(now+drawMilliseconds(0, 500, "late"), "list", uint64(len(currentSince)))
			}
			version := rapid.IntRange(1, len(currentSince)).Draw(t, "version")
			age := time.Duration(0) // since the version was superseded
			if version < len(currentSince) {
				age = now - currentSince[version]
			}
			maxAge := age + drawMilliseconds(0, 1000, "slack")
			transit := drawMilliseconds(0, 999, "transit")
			clock := time.Duration(float64(now) * (1 + drift))
			arrival := now + transit
			if err := m.RecordReport(arrival, newReport(clock, uint64(version), maxAge)); err != nil {
				t.Fatalf("RecordReport of a correct claim (version %d, age at most %v) = %v, want nil",
					version, maxAge, err)
			}
			bounds := m.Age(arrival, "e", "list")
			drifted := time.Duration(float64(transit) * .01)
			if !bounds.Known || age+transit < bounds.Min || age+transit > bounds.Max+drifted {
				t.Fatalf("Age(e, list) = %+v, want bounds that contain the true age %v (drift allowance %v)",
					bounds, age+transit, drifted)
			}
		}
	})
}

func TestNewFleetMapRejectsInvalidSettings(t *testing.T) {
	if _, err := NewFleetMap(MapSettings{ClockDrift: 2, ClockJitter: -1}); !errors.As(err, new(InvalidSettingsError)) {
		t.Errorf("NewFleetMap(drift 2, jitter -1) = %v, want InvalidSettingsError", err)
	}
}
