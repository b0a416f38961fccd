package quotalease

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func withMember(share Share) func(*Quota) {
	return func(quota *Quota) { quota.Members = map[string]Share{"a": share} }
}

func TestDivide(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(*Quota)
		demands string // by holder: wanted, or wanted/current
		amounts string
	}{
		{"all fits", nil, "a=30 b=20", "30 20"},
		{"idle is lent", nil, "a=10 b=200 c=200", "10 45 45"},
		{"by weight", withMember(Share{Weight: 3}), "a=200 b=200", "75 25"},
		{"minimums first", withMember(Share{Min: 70}), "a=200 b=200 c=200", "70 15 15"},
		{"an idle minimum is lent", withMember(Share{Min: 70}), "a=10 b=200", "10 90"},
		{"cap", withMember(Share{Cap: 5}), "a=200 b=200", "5 95"},
		{"floors first", func(q *Quota) { q.Floors = map[string]float64{"z": 60} }, "a=200 b=200", "20 20"},
		{"a small difference moves nothing", nil, "a=51/48 b=200/52", "48 52"},
		{"a large difference moves", nil, "a=200/20 b=200/80", "50 50"},
		{"nobody keeps what a new one needs", nil, "a=200/50 b=200/50 c=200", "33.33333 33.33333 33.33333"},
		{"whole units", func(q *Quota) {
			q.Kind = InFlight
			q.Limit = 8
		}, "a=50 b=50 c=50", "3 3 2"},
	} {
		quota := rateQuota()
		if tt.change != nil {
			tt.change(quota)
		}
		demands := parseDemands(tt.demands)
		for i, amount := range Divide(quota, demands) {
			var want float64
			_, _ = fmt.Sscan(strings.Fields(tt.amounts)[i], &want)
			if math.Abs(amount.Units()-want) > 1e-4 {
				t.Errorf("%s: %s gets %v, not %v", tt.name, demands[i].Holder, amount.Units(), want)
			}
		}
	}
}

// parseDemands reads fields such as a=51/48: holder a wants 51 units and has 48. Without a slash it has none.
func parseDemands(text string) (demands []Demand) {
	for _, field := range strings.Fields(text) {
		var wanted, current float64
		_, _ = fmt.Sscanf(field[2:], "%g/%g", &wanted, &current)
		demands = append(demands, Demand{
			HolderID: HolderID{Holder: field[:1]}, Wanted: FromUnits(wanted), Current: FromUnits(current),
		})
	}
	return demands
}

// drawDivision draws a quota and demands. Some of these are of two processes of one name.
func drawDivision(t *rapid.T) (*Quota, []Demand) {
	quota := rateQuota()
	inFlight := rapid.Bool().Draw(t, "in flight")
	if inFlight {
		quota.Kind = InFlight
		quota.Burst = 0
	}
	n := rapid.IntRange(1, 12).Draw(t, "n")
	quota.Members = map[string]Share{}
	var demands []Demand
	minimums := 0.0
	for i := range n {
		name := fmt.Sprintf("p%02d", i/2)
		share := Share{Weight: float64(rapid.IntRange(0, 4).Draw(t, "weight"))}
		if minimum := float64(rapid.IntRange(0, 40).Draw(t, "min")); i%2 == 0 && minimums+minimum <= 90 {
			share.Min = minimum
			minimums += minimum
		}
		if limit := float64(rapid.IntRange(0, 60).Draw(t, "cap")); limit >= share.Min {
			share.Cap = limit
		}
		if i%2 == 0 {
			quota.Members[name] = share
		}
		demand := Demand{
			HolderID: HolderID{Holder: name, Incarnation: uint64(i)},
			Wanted:   FromUnits(rapid.Float64Range(0, 60).Draw(t, "wanted")),
			Current:  FromUnits(rapid.Float64Range(0, 40).Draw(t, "current")),
		}
		if inFlight {
			demand.Current = demand.Current.roundDown()
		}
		demands = append(demands, demand)
	}
	quota.Floors = map[string]float64{"p00": float64(rapid.IntRange(0, 10).Draw(t, "floor"))}
	return quota, demands
}

// Never above the limit or a cap, nothing unused that is demanded, and any order of demands gives the same.
func TestDivideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota, demands := drawDivision(t)
		amounts := Divide(quota, demands)
		var sum, demanded Amount
		for i, amount := range amounts {
			sum += amount
			demanded += demandWithinCap(quota, &demands[i])
			checkAmount(t, quota, &demands[i], amount)
		}
		total := Amount(quota.unreserved())
		slack := Amount(len(amounts) + 1) // of rounding
		if quota.Kind == InFlight {
			slack *= Unit
		}
		if sum > total || sum < min(total, demanded)-slack {
			t.Fatalf("sum %v of %v where %v is demanded", sum, total, demanded)
		}
		reversed := slices.Clone(demands)
		slices.Reverse(reversed)
		for i, amount := range Divide(quota, reversed) {
			if want := amounts[len(amounts)-1-i]; amount != want {
				t.Fatalf("another order gives %v, not %v", amount, want)
			}
		}
	})
}

func demandWithinCap(quota *Quota, demand *Demand) Amount {
	if limit := FromUnits(quota.shareOf(demand.Holder).Cap); limit > 0 {
		return min(demand.Wanted, limit)
	}
	return demand.Wanted
}

func checkAmount(t *rapid.T, quota *Quota, demand *Demand, amount Amount) {
	if limit := FromUnits(quota.shareOf(demand.Holder).Cap); limit > 0 && amount > limit {
		t.Fatalf("%v over the cap %v", amount, limit)
	}
	kept := amount <= demand.Current
	if amount > demand.Wanted+Unit && !kept {
		t.Fatalf("%v where %v is wanted and %v was had", amount, demand.Wanted, demand.Current)
	}
	if quota.Kind == InFlight && amount%Unit != 0 {
		t.Fatalf("%v is not whole units", amount)
	}
}

// Without current amounts, nobody is below its weighted part while another one that is above its minimum is above
// its own.
func TestDivideIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota, demands := drawDivision(t)
		quota.Kind = Rate
		minimums := 0.0
		for i := range demands {
			demands[i].Current = 0
			minimums += quota.shareOf(demands[i].Holder).Min
		}
		if minimums > quota.unreserved()/float64(Unit) {
			return
		}
		amounts := Divide(quota, demands)
		for i, amount := range amounts {
			share := quota.shareOf(demands[i].Holder)
			full := amount >= demands[i].Wanted-1 || share.Cap > 0 && amount >= FromUnits(share.Cap)-1
			if full {
				continue
			}
			for j, other := range amounts {
				otherShare := quota.shareOf(demands[j].Holder)
				below := amount.Units()/share.Weight < other.Units()/otherShare.Weight-1e-5
				if below && other > FromUnits(otherShare.Min)+1 {
					t.Fatalf("%v has %v while %v has %v", demands[i], amount, demands[j], other)
				}
			}
		}
	})
}

// With its own outcome as the current amounts, it moves nobody.
func TestDivideSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota, demands := drawDivision(t)
		for range 2 {
			for i, amount := range Divide(quota, demands) {
				demands[i].Current = amount
			}
		}
		slack := Amount(3 * len(demands))
		if quota.Kind == InFlight {
			slack = Unit
		}
		for i, amount := range Divide(quota, demands) {
			if moved := amount - demands[i].Current; moved > slack || moved < -slack {
				t.Fatalf("%v goes on moving, to %v", demands[i], amount)
			}
		}
	})
}
