package model

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestCheckNamesTheField(t *testing.T) {
	for _, k := range []struct {
		want   string
		change func(*Spec)
	}{
		{"", func(*Spec) {}},
		{"duration: 0s", func(s *Spec) { s.Duration = 0 }},
		{"proxies: 1", func(s *Spec) { s.Proxies = 1 }},
		{"nodes: 99999", func(s *Spec) { s.Nodes = 99999 }},
		{"rate: -1", func(s *Spec) { s.Load.Rate = -1 }},
		{"classes[1] \"ride-accept\": aim", func(s *Spec) { s.Classes[1].Aim = 0 }},
		{"curve[1]: 1s does not come after 2s", func(s *Spec) { s.Load.Curve = []Point{{2 * time.Second, 1}, {time.Second, 1}} }},
		{"faults[0]: kind: there is no \"flood\"", func(s *Spec) { s.Faults = []Fault{{Kind: "flood"}} }},
		{"faults[0]: at: 1h0m0s", func(s *Spec) { s.Faults = []Fault{{Kind: Hang, At: time.Hour, For: 1}} }},
		{"faults[0]: for: 0s", func(s *Spec) { s.Faults = []Fault{{Kind: Hang}} }},
		{"faults[0]: class: there is no \"x\"", func(s *Spec) { s.Faults = []Fault{{Kind: HeavyTail, For: 1, Class: "x"}} }},
	} {
		s := Default()
		k.change(&s)
		err := s.Check()
		if (err == nil) != (k.want == "") || err != nil && !strings.HasPrefix(err.Error(), k.want) {
			t.Errorf("got %v, want %q", err, k.want)
		}
	}
}

func TestGeneratorFollowsTheCurveAndTheShares(t *testing.T) {
	s := Default()
	s.Duration = 100 * time.Second
	s.Load.Rate = 1000
	s.Load.Curve = []Point{{0, 0}, {50 * time.Second, 2}, {100 * time.Second, 0}}
	g := NewGenerator(&s)
	first, second, n := 0, 0, 0
	classes := make([]int, len(s.Classes))
	last := time.Duration(-1)
	for a, ok := g.Next(); ok; a, ok = g.Next() {
		if a.At < last || a.Deadline <= a.At || a.Deadline > a.GiveUp || a.Work <= 0 {
			t.Fatalf("odd: %+v", a)
		}
		last = a.At
		if n++; a.At < 25*time.Second {
			first++
		} else if a.At < 50*time.Second {
			second++
		}
		classes[a.Class]++
	}
	if math.Abs(float64(n)-100000) > 1500 || math.Abs(float64(second)/float64(first)-3) > 0.15 {
		t.Errorf("%d arrivals, %d and %d in the first quarters", n, first, second)
	}
	for i, c := range s.Classes {
		if got := float64(classes[i]) / float64(n); math.Abs(got-c.Share) > 0.01 {
			t.Errorf("%s: share %.3f, want %.2f", c.Name, got, c.Share)
		}
	}
}

// A share of the first tries comes from the next one on, until all come again.
func TestPace(t *testing.T) {
	s := Default()
	s.Duration, s.Load.Rate = 30*time.Second, 1000
	g := NewGenerator(&s)
	thirds := [3]int{}
	for a, ok := g.Next(); ok; a, ok = g.Next() {
		third := min(int(a.At/(10*time.Second)), 2)
		thirds[third]++
		g.Pace([3]float64{1, .1, 1}[third])
	}
	for i, want := range [3]float64{10000, 1000, 10000} {
		if got := float64(thirds[i]); math.Abs(got-want) > want/7 {
			t.Errorf("%v, want %v", thirds, want)
		}
	}
}

func TestRetry(t *testing.T) {
	s := Default()
	rng := s.Stream(9)
	for _, k := range []struct {
		name  string
		class int
		try   int
		end   End
		at    time.Duration
		want  bool
	}{
		{"refused, unsafe", 3, 0, Rejected, 0, true},
		{"failed, unsafe", 3, 0, Errored, 0, false},
		{"timed out, unsafe", 3, 0, TimedOut, 0, false},
		{"failed, safe", 0, 0, Errored, 0, true},
		{"served", 0, 0, Served, 0, false},
		{"left", 0, 0, Departed, 0, false},
		{"third time", 0, 2, Rejected, 0, false},
		{"too late", 0, 0, Rejected, 990 * ms, false},
	} {
		a := Arrival{Class: k.class, Try: k.try, GiveUp: s.Classes[k.class].GiveUp}
		next, ok := s.Retry(k.at, a, k.end, 0, rng)
		if ok != k.want || ok && (next.Try != k.try+1 || next.At <= k.at || next.Deadline > next.GiveUp) {
			t.Errorf("%s: %v %+v", k.name, ok, next)
		}
	}
}

func TestPlanIsInOrderAndUndoesWhatItDoes(t *testing.T) {
	s := Default()
	s.Duration = time.Minute
	for _, k := range Kinds() {
		ft := Fault{Kind: k, At: 5 * time.Second, For: 5 * time.Second}
		switch k {
		case Link:
			ft.Do = "silence"
		case StateFolder:
			ft.Do = "flip"
		}
		s.Faults = append(s.Faults, ft)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	f := Build(&s)
	steps := Plan(&s, f)
	if !slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.At - b.At) }) {
		t.Error("out of order")
	}
	count := map[Op]int{}
	for _, st := range steps {
		count[st.Op]++
		if ofNodes := []Op{OpHang, OpUnhang, OpCut, OpUncut, OpDrain, OpKill, OpStart}; slices.Contains(ofNodes, st.Op) && st.Node >= s.Nodes {
			t.Errorf("no such node: %+v", st)
		}
	}
	if count[OpHang] != count[OpUnhang] || count[OpCut] != count[OpUncut] || count[OpKill] != count[OpStart] || count[OpDrain] == 0 ||
		count[OpStopProxy] != count[OpGoOnProxy] || count[OpLink] != 2 || count[OpRegisterBusy] != 2 || count[OpRegisterLost] != 2 || count[OpState] == 0 ||
		count[OpSilentWatch] != 4 {
		t.Errorf("steps: %v", count)
	}
	for _, n := range f.Nodes {
		if f.Cells[n.CellNo].Nodes[0].Zone != n.Zone {
			t.Errorf("node %d: its cell lies in another zone", n.ID)
		}
	}
}

func TestWhatTheOperatorsCount(t *testing.T) {
	for _, k := range []struct{ silent, over, want time.Duration }{
		{10 * time.Second, 0, 16 * time.Second},
		{10 * time.Second, 14 * time.Second, 16 * time.Second},
		{10 * time.Second, 30 * time.Second, 32 * time.Second},
	} {
		if got := Missed(k.silent, k.over); got != k.want {
			t.Errorf("silent at %v, the wait over at %v: told at %v, want %v", k.silent, k.over, got, k.want)
		}
	}
	s := Default()
	for longest, want := range map[time.Duration]time.Duration{2 * time.Second: 2700 * ms, 8 * time.Second: 3700 * ms} {
		s.Classes[3].GiveUp = longest
		if got := s.KillAfter(); got != want {
			t.Errorf("longest deadline %v: SIGKILL after %v, want %v", longest, got, want)
		}
	}
}
