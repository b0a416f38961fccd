package quotalease

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func rateQuota() *Quota {
	return &Quota{Name: "b", Kind: Rate, Limit: 100, Burst: 20, LeaseDuration: time.Second}
}

func TestCheckNamesAllThatIsWrong(t *testing.T) {
	good := FleetConfig{FleetID: "f", MaxDrift: .001, MaxLifetime: 10 * time.Second, Quotas: []Quota{*rateQuota(),
		{Name: "h", Kind: InFlight, Limit: 8, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second, Floors: map[string]float64{"a": 2}}}}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name  string
		spoil func(*FleetConfig)
		want  []string
	}{
		{"fleet", func(f *FleetConfig) { f.FleetID, f.MaxDrift = "", math.NaN() }, []string{"no name", "drift: NaN"}},
		{"twice", func(f *FleetConfig) { f.Quotas[1].Name = "b" }, []string{"b: named twice"}},
		{"whole", func(f *FleetConfig) { f.Quotas[0].Limit, f.Quotas[0].Burst = -1, .5 }, []string{"b: whole: -1", "b: burst: 0.5"}},
		{"lease", func(f *FleetConfig) { f.Quotas[1].LeaseDuration = time.Hour }, []string{"h: lease 1h0m0s and life 2s"}},
		{"life", func(f *FleetConfig) { f.Quotas[1].MaxHoldTime = 0 }, []string{"h: life: 0s"}},
		{"parts of units", func(f *FleetConfig) { f.Quotas[1].Limit = 7.5 }, []string{"h: whole: 7.5"}},
		{"sum", func(f *FleetConfig) {
			f.Quotas[0].Floors = map[string]float64{"x": 60}
			f.Quotas[0].Members = map[string]Share{"y": {Min: 50}}
		}, []string{"b: floors (60) and minimums (50)"}},
		{"floor without a unit of burst", func(f *FleetConfig) { f.Quotas[0].Floors = map[string]float64{"x": 1} }, []string{`floor of "x": its part`}},
		{"member", func(f *FleetConfig) { f.Quotas[0].Members = map[string]Share{"y": {Min: 5, Cap: 4, Weight: -1}} },
			[]string{"member y: cap 4", "member y: weight -1"}},
		{"others", func(f *FleetConfig) { f.Quotas[0].DefaultShare.Min = 1 }, []string{"others: a minimum"}},
	} {
		f := good
		f.Quotas = append([]Quota(nil), good.Quotas...)
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
		change  func(*Quota)
		want    string // by holder: want or want/now
		amounts string
	}{
		{"all fits", nil, "a=30 b=20", "30 20"},
		{"idle is lent", nil, "a=10 b=200 c=200", "10 45 45"},
		{"by weight", func(b *Quota) { b.Members = map[string]Share{"a": {Weight: 3}} }, "a=200 b=200", "75 25"},
		{"minimums first", func(b *Quota) { b.Members = map[string]Share{"a": {Min: 70}} }, "a=200 b=200 c=200", "70 15 15"},
		{"an idle minimum is lent", func(b *Quota) { b.Members = map[string]Share{"a": {Min: 70}} }, "a=10 b=200", "10 90"},
		{"cap", func(b *Quota) { b.Members = map[string]Share{"a": {Cap: 5}} }, "a=200 b=200", "5 95"},
		{"floors first", func(b *Quota) { b.Floors = map[string]float64{"z": 60} }, "a=200 b=200", "20 20"},
		{"trembling keeps", nil, "a=51/48 b=200/52", "48 52"},
		{"a real change moves", nil, "a=200/20 b=200/80", "50 50"},
		{"nobody keeps what a new one needs", nil, "a=200/50 b=200/50 c=200", "33.33333 33.33333 33.33333"},
		{"whole units", func(b *Quota) { b.Kind, b.Limit = InFlight, 8 }, "a=50 b=50 c=50", "3 3 2"},
	} {
		b := rateQuota()
		if tt.change != nil {
			tt.change(b)
		}
		var demands []Demand
		for _, f := range strings.Fields(tt.want) {
			var want, now float64
			fmt.Sscanf(f[2:], "%g/%g", &want, &now)
			demands = append(demands, Demand{HolderID{Holder: f[:1]}, FromUnits(want), FromUnits(now)})
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

func drawDivision(t *rapid.T) (*Quota, []Demand) {
	b := rateQuota()
	inHand := rapid.Bool().Draw(t, "in hand")
	if inHand {
		b.Kind, b.Burst = InFlight, 0
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
		d := Demand{HolderID{name, uint64(i)}, FromUnits(rapid.Float64Range(0, 60).Draw(t, "want")), FromUnits(rapid.Float64Range(0, 40).Draw(t, "now"))}
		if inHand {
			d.Current = d.Current.wholeUnits()
		}
		demands = append(demands, d)
	}
	b.Floors = map[string]float64{"p00": float64(rapid.IntRange(0, 10).Draw(t, "floor"))}
	return b, demands
}

// Never over the whole or a cap, nothing unused that is asked for, and any order gives the same.
func TestDivideKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, demands := drawDivision(t)
		out := Divide(b, demands)
		var sum, asked Amount
		for i, a := range out {
			sum += a
			asked += demands[i].Wanted
			most := FromUnits(b.shareOf(demands[i].Holder).Cap)
			if most > 0 && a > most {
				t.Fatalf("%v over the cap %v", a, most)
			}
			if most > 0 {
				asked -= max(0, demands[i].Wanted-most)
			}
			if keeps := a <= demands[i].Current; a > demands[i].Wanted+Unit && !keeps {
				t.Fatalf("%v where %v is wanted and %v was had", a, demands[i].Wanted, demands[i].Current)
			}
			if b.Kind == InFlight && a%Unit != 0 {
				t.Fatalf("%v is not whole units", a)
			}
		}
		whole := Amount(b.unreserved())
		slack := Amount(len(out) + 1) // of rounding
		if b.Kind == InFlight {
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
		b, demands := drawDivision(t)
		b.Kind = Rate
		mins := 0.0
		for i := range demands {
			demands[i].Current = 0
			mins += b.shareOf(demands[i].Holder).Min
		}
		if mins > b.unreserved()/float64(Unit) {
			return
		}
		out := Divide(b, demands)
		for i, a := range out {
			si := b.shareOf(demands[i].Holder)
			full := a >= demands[i].Wanted-1 || si.Cap > 0 && a >= FromUnits(si.Cap)-1
			for j, o := range out {
				sj := b.shareOf(demands[j].Holder)
				if !full && o > FromUnits(sj.Min)+1 && a.Units()/si.Weight < o.Units()/sj.Weight-1e-5 {
					t.Fatalf("%v has %v while %v has %v", demands[i], a, demands[j], o)
				}
			}
		}
	})
}

// Given once more what it gave, it moves nobody.
func TestDivideSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, demands := drawDivision(t)
		for range 2 {
			for i, a := range Divide(b, demands) {
				demands[i].Current = a
			}
		}
		for i, a := range Divide(b, demands) {
			slack := Amount(3 * len(demands))
			if b.Kind == InFlight {
				slack = Unit
			}
			if d := a - demands[i].Current; d > slack || d < -slack {
				t.Fatalf("%v goes on moving, to %v", demands[i], a)
			}
		}
	})
}
