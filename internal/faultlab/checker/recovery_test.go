package checker

import (
	"testing"
	"time"
)

// served makes a verdict of what was served in each tenth of a second of so many seconds.
func served(seconds int, at func(tenth int) float64) *Verdict {
	v := &Verdict{ByRule: map[Rule]int{}, Seconds: make([]Second, seconds), Nodes: []NodeVerdict{{PerSecond: make([]int, seconds)}}}
	for i := range seconds * 10 {
		w := at(i)
		v.Tenths = append(v.Tenths, w)
		v.Seconds[i/10].Served += w
	}
	return v
}

func TestRecovery(t *testing.T) {
	even := func(int) float64 { return 10 }
	dip := func(from, to int, share float64) func(int) float64 {
		return func(i int) float64 {
			if i >= from && i < to {
				return 10 * share
			}
			return 10
		}
	}
	twin := served(30, even)
	for name, k := range map[string]struct {
		run                          func(int) float64
		back                         bool
		fromStrike, fromStart, first float64
	}{
		"nothing happens":           {even, true, 0, 0, 1},
		"away for two seconds":      {dip(100, 120, 0), true, 2000, 0, 1},
		"slow until four":           {dip(100, 140, 0.8), true, 3800, 1300, 0.8}, // a sliding second with 0.2 s of it is full
		"falls back after two":      {func(i int) float64 { return min(dip(100, 120, 0)(i), dip(150, 170, 0.5)(i)) }, true, 6900, 4400, 1},
		"a lesser dip is none":      {dip(100, 300, 0.96), true, 0, 0, 0.96},
		"never":                     {dip(100, 300, 0.9), false, 0, 0, 0.9},
		"too late to be held":       {dip(100, 260, 0), false, 0, 0, 0},
		"served more than its twin": {dip(130, 140, 1.5), true, 0, 0, 1.5},
	} {
		r := Recover(served(30, k.run), twin, 10*time.Second, 12500*time.Millisecond)
		if r.Back != k.back || k.back && (r.FromStrike != k.fromStrike || r.FromStart != k.fromStart) || r.FirstSecond < k.first-1e-9 || r.FirstSecond > k.first+1e-9 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

func TestPeaksAreOverTheTwinsMean(t *testing.T) {
	run, twin := served(20, func(int) float64 { return 1 }), served(20, func(int) float64 { return 1 })
	for i := range 20 {
		twin.Seconds[i].Probes, twin.Seconds[i].Opened, twin.Nodes[0].PerSecond[i] = 10, 2, 5
	}
	run.Seconds[3].Probes = 1000 // before the strike: no part of it
	run.Seconds[12].Probes, run.Seconds[13].Opened, run.Nodes[0].PerSecond[14], run.Seconds[12].Called = 35, 9, 20, 7
	run.Seconds[15].Refused = 4
	run.ByRule[Drain] = 2
	r := Recover(run, twin, 10*time.Second, 12*time.Second)
	if r.Probes != 3.5 || r.Opened != 4.5 || r.Attempts != 4 || r.Calls != 0 || r.CallsMost != 7 || r.Refused != 4 || r.Stale != 2 {
		t.Errorf("%+v", r)
	}
	if r := Recover(&Verdict{}, &Verdict{}, time.Second, time.Second); r.Back || r.Probes != 0 {
		t.Errorf("of nothing: %+v", r)
	}
}

func TestARunWithoutATwin(t *testing.T) {
	for name, k := range map[string]struct {
		bad   func(second int) bool
		after time.Duration
		back  bool
	}{
		"nothing happens":      {func(int) bool { return false }, 0, true},
		"bad for three":        {func(s int) bool { return s >= 10 && s < 13 }, 3 * time.Second, true},
		"falls back after two": {func(s int) bool { return s == 10 || s == 13 }, 4 * time.Second, true},
		"never":                {func(s int) bool { return s >= 10 && s%4 == 0 }, 0, false},
	} {
		v := &Verdict{}
		for s := range 30 {
			sec := Second{Asked: float64(10 + s%3)}
			if sec.Served = 0.9 * sec.Asked; k.bad(s) {
				sec.Served = 0.8 * sec.Asked
			}
			v.Seconds = append(v.Seconds, sec)
		}
		if after, back := RecoverAlone(v, 10*time.Second); after != k.after || back != k.back {
			t.Errorf("%s: %v, %v", name, after, back)
		}
	}
	if _, back := RecoverAlone(&Verdict{}, time.Second); back {
		t.Error("of nothing")
	}
}
