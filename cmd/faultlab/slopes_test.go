package main

import (
	"context"
	"math"
	"strings"
	"testing"
)

func TestFitsAndWhatTheyLeave(t *testing.T) {
	xs := []float64{1, 2, 4, 8, 16}
	on := func(f func(x float64) float64) (ys []float64) {
		for _, x := range xs {
			ys = append(ys, f(x))
		}
		return ys
	}
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }
	for _, tt := range []struct {
		name string
		of   func(x float64) float64
		how  string
	}{
		{"a line", func(x float64) float64 { return 7 + 3*x }, "line"},
		{"a square", func(x float64) float64 { return 2 * x * x }, "curve"},
		{"a root", func(x float64) float64 { return math.Sqrt(x) }, "curve"},
		{"nothing but a constant", func(float64) float64 { return 5 }, "line"},
	} {
		f, ok := fitOf(xs, on(tt.of))
		if !ok {
			t.Fatalf("%s: no fit", tt.name)
		}
		if y, how := f.at(1000); how != tt.how || !near(y, tt.of(1000)) {
			t.Errorf("%s: %v by the %s, want %v by the %s", tt.name, y, how, tt.of(1000), tt.how)
		}
	}
	f, _ := fitOf(xs, []float64{1, 2, 4, 8, 32})
	if f.LineOver < .1 || f.CurveOver < .1 {
		t.Errorf("a point far off leaves over %v and %v", f.LineOver, f.CurveOver)
	}
	if _, ok := fitOf(xs[:3], []float64{1, 2, 3}); ok {
		t.Error("a slope of three sizes")
	}
	if _, ok := fitOf([]float64{1, 1, 2, 3}, []float64{1, 1, 2, 3}); ok {
		t.Error("a slope of three sizes, one of them twice")
	}
	if _, ok := fitOf(xs, []float64{1, 2, 0, 3, 4}); ok {
		t.Error("a fit of what is 0")
	}
}

func TestWhatWasMeasuredGoesBeforeAFit(t *testing.T) {
	g := growth{Sizes: []float64{1, 2, 4, 8}, Values: []float64{1, 2, 4, 9}, Target: 8}
	if g.conclude(); g.How != "measured" || g.At != 9 {
		t.Errorf("%v, %s", g.At, g.How)
	}
	g = growth{Sizes: []float64{1, 2}, Values: []float64{1, 2}, Target: 8}
	if g.conclude(); g.How != "none" || g.Fit != nil {
		t.Errorf("of two sizes: %v, %s", g.At, g.How)
	}
}

func TestBenchesAreRead(t *testing.T) {
	const text = `goos: linux
BenchmarkList/read=1000-8         	      60	   3700000 ns/op	    168603 list-B
BenchmarkList/read=1000-8         	      60	   3500000 ns/op	    168603 list-B
BenchmarkList/read=2000-8         	      30	   7000000 ns/op	    337206 list-B
BenchmarkReport/300   	   20000	     12253 ns/op
BenchmarkOther-8      	   20000	     12253 ns/op
PASS
`
	all, err := fromBenches(strings.NewReader(text), 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 3 || all[0].Unit != "ns/op" || len(all[0].Sizes) != 2 || all[0].Values[0] != 3.5e6 || all[1].Values[1] != 337206 || all[2].Sizes[0] != 300 {
		t.Errorf("%+v", all)
	}
	if _, err := fromBenches(strings.NewReader("PASS\n"), 0); err == nil {
		t.Error("nothing was read, and nothing said")
	}
}

// Each measure runs, at a size of a moment. What it costs is not looked at.
func TestMeasuresRun(t *testing.T) {
	small := map[string]int{"policy": 200, "tenants": 300, "book": 200, "lookup": 100, "rollout": 60, "displaced": 2, "report": 3, "grants": 4, "grants-budgets": 2,
		"modules": 3, "backends": 12, "engines": 3, "hub": 80, "guard": 100, "view": 80, "limits": 3}
	for _, m := range measures {
		size, is := small[m.name]
		if !is {
			continue // it needs the program
		}
		t.Run(m.name, func(t *testing.T) {
			m.sizes = []int{size}
			got, err := m.take(context.Background(), &rig{times: 1})
			if err != nil {
				t.Fatal(err)
			}
			for _, g := range got {
				if len(g.Values) != 1 || !(g.Values[0] >= 0) || math.IsInf(g.Values[0], 0) || g.Fit != nil {
					t.Errorf("%+v", g)
				}
			}
		})
	}
}

func TestSlopesCommandLine(t *testing.T) {
	for _, tt := range []struct {
		args []string
		code int
	}{
		{[]string{"slopes", "nothing-such"}, exitUsage}, {[]string{"slopes", "lookup", "--sizes", "0"}, exitUsage}, {[]string{"slopes", "lookup", "--times", "0"}, exitUsage},
		{[]string{"slopes", "lookup", "--benches"}, exitUsage}, {[]string{"slopes", "process", "--sizes", "1"}, exitUsage}, {[]string{"slopes"}, 0},
		{[]string{"slopes", "lookup", "--sizes", "10,20,40,80", "--times", "1"}, 0},
	} {
		var out, bad strings.Builder
		if code := execute(context.Background(), tt.args, &out, &bad); code != tt.code {
			t.Errorf("%v: %d, want %d: %s", tt.args, code, tt.code, bad.String())
		}
	}
}
