package quotalease

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func rateBudget() *Budget {
	return &Budget{Name: "b", Kind: Rate, Whole: 100, Burst: 20, Lease: time.Second}
}

func TestCheckNamesAllThatIsWrong(t *testing.T) {
	good := Fleet{ID: "f", Drift: .001, Longest: 10 * time.Second, Budgets: []Budget{*rateBudget(),
		{Name: "h", Kind: InHand, Whole: 8, Lease: time.Second, Life: 2 * time.Second, Floors: map[string]float64{"a": 2}}}}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name  string
		spoil func(*Fleet)
		want  []string
	}{
		{"fleet", func(f *Fleet) { f.ID, f.Drift = "", math.NaN() }, []string{"no name", "drift: NaN"}},
		{"twice", func(f *Fleet) { f.Budgets[1].Name = "b" }, []string{"b: named twice"}},
		{"whole", func(f *Fleet) { f.Budgets[0].Whole, f.Budgets[0].Burst = -1, .5 }, []string{"b: whole: -1", "b: burst: 0.5"}},
		{"lease", func(f *Fleet) { f.Budgets[1].Lease = time.Hour }, []string{"h: lease 1h0m0s and life 2s"}},
		{"life", func(f *Fleet) { f.Budgets[1].Life = 0 }, []string{"h: life: 0s"}},
		{"parts of units", func(f *Fleet) { f.Budgets[1].Whole = 7.5 }, []string{"h: whole: 7.5"}},
		{"sum", func(f *Fleet) {
			f.Budgets[0].Floors = map[string]float64{"x": 60}
			f.Budgets[0].Members = map[string]Share{"y": {Min: 50}}
		}, []string{"b: floors (60) and minimums (50)"}},
		{"floor without a unit of burst", func(f *Fleet) { f.Budgets[0].Floors = map[string]float64{"x": 1} }, []string{`floor of "x": its part`}},
		{"member", func(f *Fleet) { f.Budgets[0].Members = map[string]Share{"y": {Min: 5, Cap: 4, Weight: -1}} },
			[]string{"member y: cap 4", "member y: weight -1"}},
		{"others", func(f *Fleet) { f.Budgets[0].Others.Min = 1 }, []string{"others: a minimum"}},
	} {
		f := good
		f.Budgets = append([]Budget(nil), good.Budgets...)
		tt.spoil(&f)
		err := f.Check()
		for _, want := range tt.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %v does not name %q", tt.name, err, want)
			}
		}
	}
}

func TestDivide(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(*Budget)
		want    string // by holder: want or want/now
		amounts string
	}{
		{"all fits", nil, "a=30 b=20", "30 20"},
		{"idle is lent", nil, "a=10 b=200 c=200", "10 45 45"},
		{"by weight", func(b *Budget) { b.Members = map[string]Share{"a": {Weight: 3}} }, "a=200 b=200", "75 25"},
		{"minimums first", func(b *Budget) { b.Members = map[string]Share{"a": {Min: 70}} }, "a=200 b=200 c=200", "70 15 15"},
		{"an idle minimum is lent", func(b *Budget) { b.Members = map[string]Share{"a": {Min: 70}} }, "a=10 b=200", "10 90"},
		{"cap", func(b *Budget) { b.Members = map[string]Share{"a": {Cap: 5}} }, "a=200 b=200", "5 95"},
		{"floors first", func(b *Budget) { b.Floors = map[string]float64{"z": 60} }, "a=200 b=200", "20 20"},
		{"trembling keeps", nil, "a=51/48 b=200/52", "48 52"},
		{"a real change moves", nil, "a=200/20 b=200/80", "50 50"},
		{"nobody keeps what a new one needs", nil, "a=200/50 b=200/50 c=200", "33.33333 33.33333 33.33333"},
		{"whole units", func(b *Budget) { b.Kind, b.Whole = InHand, 8 }, "a=50 b=50 c=50", "3 3 2"},
	} {
		b := rateBudget()
		if tt.change != nil {
			tt.change(b)
		}
		var demands []Demand
		for _, f := range strings.Fields(tt.want) {
			var want, now float64
			fmt.Sscanf(f[2:], "%g/%g", &want, &now)
			demands = append(demands, Demand{Key{Holder: f[:1]}, Of(want), Of(now)})
		}
		for i, a := range Divide(b, demands) {
			var want float64
			fmt.Sscan(strings.Fields(tt.amounts)[i], &want)
			if math.Abs(a.Units()-want) > 1e-4 {
				t.Errorf("%s: %s gets %v, not %v", tt.name, demands[i].Holder, a.Units(), want)
			}
		}
	}
}

func drawDivide(t *rapid.T) (*Budget, []Demand) {
	b := rateBudget()
	inHand := rapid.Bool().Draw(t, "in hand")
	if inHand {
		b.Kind, b.Burst = InHand, 0
	}
	n := rapid.IntRange(1, 12).Draw(t, "n")
	b.Members = map[string]Share{}
	var demands []Demand
	mins := 0.0
	for i := range n {
		name := fmt.Sprintf("p%02d", i/2) // some are two processes of one name
		s := Share{Weight: float64(rapid.IntRange(0, 4).Draw(t, "weight"))}
		if m := float64(rapid.IntRange(0, 40).Draw(t, "min")); i%2 == 0 && mins+m <= 90 {
			s.Min = m
			mins += m
		}
		if c := float64(rapid.IntRange(0, 60).Draw(t, "cap")); c >= s.Min {
			s.Cap = c
		}
		if i%2 == 0 {
			b.Members[name] = s
		}
		d := Demand{Key{name, uint64(i)}, Of(rapid.Float64Range(0, 60).Draw(t, "want")), Of(rapid.Float64Range(0, 40).Draw(t, "now"))}
		if inHand {
			d.Now = d.Now.whole()
		}
		demands = append(demands, d)
	}
	b.Floors = map[string]float64{"p00": float64(rapid.IntRange(0, 10).Draw(t, "floor"))}
	return b, demands
}

// Never over the whole or a cap, nothing unused that is asked for, and any order gives the same.
func TestDivideKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, demands := drawDivide(t)
		out := Divide(b, demands)
		var sum, asked Amount
		for i, a := range out {
			sum += a
			asked += demands[i].Want
			most := Of(b.share(demands[i].Holder).Cap)
			if most > 0 && a > most {
				t.Fatalf("%v over the cap %v", a, most)
			}
			if most > 0 {
				asked -= max(0, demands[i].Want-most)
			}
			if keeps := a <= demands[i].Now; a > demands[i].Want+Unit && !keeps {
				t.Fatalf("%v where %v is wanted and %v was had", a, demands[i].Want, demands[i].Now)
			}
			if b.Kind == InHand && a%Unit != 0 {
				t.Fatalf("%v is not whole units", a)
			}
		}
		whole := Amount(b.free())
		slack := Amount(len(out) + 1) // of rounding
		if b.Kind == InHand {
			slack *= Unit
		}
		if sum > whole || sum < min(whole, asked)-slack {
			t.Fatalf("sum %v of %v where %v is asked for", sum, whole, asked)
		}
		turned := append([]Demand(nil), demands...)
		for i, j := 0, len(turned)-1; i < j; i, j = i+1, j-1 {
			turned[i], turned[j] = turned[j], turned[i]
		}
		for i, a := range Divide(b, turned) {
			if a != out[len(out)-1-i] {
				t.Fatalf("another order gives %v, not %v", a, out[len(out)-1-i])
			}
		}
	})
}

// Without amounts of before, nobody is under its weighted part while another that is over its minimum is above its own.
func TestDivideIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, demands := drawDivide(t)
		b.Kind = Rate
		mins := 0.0
		for i := range demands {
			demands[i].Now = 0
			mins += b.share(demands[i].Holder).Min
		}
		if mins > b.free()/float64(Unit) {
			return
		}
		out := Divide(b, demands)
		for i, a := range out {
			si := b.share(demands[i].Holder)
			full := a >= demands[i].Want-1 || si.Cap > 0 && a >= Of(si.Cap)-1
			for j, o := range out {
				sj := b.share(demands[j].Holder)
				if !full && o > Of(sj.Min)+1 && a.Units()/si.Weight < o.Units()/sj.Weight-1e-5 {
					t.Fatalf("%v has %v while %v has %v", demands[i], a, demands[j], o)
				}
			}
		}
	})
}

// Given once more what it gave, it moves nobody.
func TestDivideSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, demands := drawDivide(t)
		for range 2 {
			for i, a := range Divide(b, demands) {
				demands[i].Now = a
			}
		}
		for i, a := range Divide(b, demands) {
			slack := Amount(3 * len(demands))
			if b.Kind == InHand {
				slack = Unit
			}
			if d := a - demands[i].Now; d > slack || d < -slack {
				t.Fatalf("%v goes on moving, to %v", demands[i], a)
			}
		}
	})
}
