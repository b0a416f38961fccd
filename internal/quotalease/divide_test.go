package quotalease

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// withMember returns a change of a quota that sets the share of holder a.
func withMember(share Share) func(*Quota) {
	return func(quota *Quota) { quota.Members = map[string]Share{"a": share} }
}

func TestDivide(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(*Quota)
		demands string // see parseDemands
		amounts string // the expected units of each holder, in the order of the demands
	}{
		{"demands within the limit", nil, "a=30 b=20", "30 20"},
		{"unused share goes to other holders", nil, "a=10 b=200 c=200", "10 45 45"},
		{"shares by weight", withMember(Share{Weight: 3}), "a=200 b=200", "75 25"},
		{"minimum before the weighted shares", withMember(Share{Min: 70}), "a=200 b=200 c=200", "70 15 15"},
		{"unused minimum goes to other holders", withMember(Share{Min: 70}), "a=10 b=200", "10 90"},
		{"cap of a holder", withMember(Share{Cap: 5}), "a=200 b=200", "5 95"},
		{"floors reduce the limit", func(q *Quota) { q.Floors = map[string]float64{"z": 60} }, "a=200 b=200", "20 20"},
		{"difference within the hysteresis", nil, "a=51/48 b=200/52", "48 52"},
		{"difference above the hysteresis", nil, "a=200/20 b=200/80", "50 50"},
		{"new holder reduces the shares of the others", nil, "a=200/50 b=200/50 c=200", "33.33333 33.33333 33.33333"},
		{"whole units in flight", func(q *Quota) {
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
				t.Errorf("%s: Divide(demands %s) gives holder %s %v units, want %v",
					tt.name, tt.demands, demands[i].Holder, amount.Units(), want)
			}
		}
	}
}

// parseDemands reads fields such as a=51/48: holder a wants 51 units and has a lease of 48. A field without a slash,
// such as a=51, describes a holder without a lease.
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

// drawDivision draws a quota and demands. Each pair of demands (the first two, the next two and so on) belongs to two
// processes with the same holder's name.
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

// No amount exceeds the limit or a cap, no demanded unit stays unused, and the order of the demands has no effect.
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
		slack := Amount(len(amounts) + 1) // for rounding
		if quota.Kind == InFlight {
			slack *= Unit
		}
		if sum > total || sum < min(total, demanded)-slack {
			t.Fatalf("Divide() gives %v units in all, want at most the limit minus floors of %v and at least %v "+
				"(the smaller of that and the demand of %v, less a rounding tolerance)",
				sum.Units(), total.Units(), (min(total, demanded) - slack).Units(), demanded.Units())
		}
		reversed := slices.Clone(demands)
		slices.Reverse(reversed)
		for i, amount := range Divide(quota, reversed) {
			if want := amounts[len(amounts)-1-i]; amount != want {
				t.Fatalf("Divide() with the demands reversed gives holder %s %v units, "+
					"want %v as in the original order",
					reversed[i].Holder, amount.Units(), want.Units())
			}
		}
	})
}

// demandWithinCap returns what a holder wants, limited by its cap.
func demandWithinCap(quota *Quota, demand *Demand) Amount {
	if limit := FromUnits(quota.shareOf(demand.Holder).Cap); limit > 0 {
		return min(demand.Wanted, limit)
	}
	return demand.Wanted
}

// checkAmount checks one amount of Divide against the cap, the demand and the unit size.
func checkAmount(t *rapid.T, quota *Quota, demand *Demand, amount Amount) {
	if limit := FromUnits(quota.shareOf(demand.Holder).Cap); limit > 0 && amount > limit {
		t.Fatalf("Divide() gives holder %s %v units, want at most its cap of %v",
			demand.Holder, amount.Units(), limit.Units())
	}
	kept := amount <= demand.Current
	if amount > demand.Wanted+Unit && !kept {
		t.Fatalf("Divide() gives holder %s %v units, want at most its demand of %v plus 1 or its current %v",
			demand.Holder, amount.Units(), demand.Wanted.Units(), demand.Current.Units())
	}
	if quota.Kind == InFlight && amount%Unit != 0 {
		t.Fatalf("Divide() gives holder %s %v units in flight, want a whole number", demand.Holder, amount.Units())
	}
}

// Without current amounts, the division is max-min fair: a holder whose demand is not met has no smaller amount per
// weight than any holder above its minimum.
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
			satisfied := amount >= demands[i].Wanted-1 || share.Cap > 0 && amount >= FromUnits(share.Cap)-1
			if satisfied {
				continue
			}
			for j, other := range amounts {
				otherShare := quota.shareOf(demands[j].Holder)
				below := amount.Units()/share.Weight < other.Units()/otherShare.Weight-1e-5
				if below && other > FromUnits(otherShare.Min)+1 {
					t.Fatalf("Divide() gives holder %s (wants %v, weight %v) %v units, "+
						"less than it wants and than its cap, if it has one, "+
						"and holder %s (weight %v) %v units, above its minimum of %v; "+
						"want the first to have at least as many units per weight as the second",
						demands[i].Holder, demands[i].Wanted.Units(), share.Weight, amount.Units(),
						demands[j].Holder, otherShare.Weight, other.Units(), otherShare.Min)
				}
			}
		}
	})
}

// If Divide is called again and again with its previous result as the current amounts, the third call changes no amount
// by more than a rounding tolerance.
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
				t.Fatalf("third Divide() on its own result changes the amount of holder %s from %v to %v units, "+
					"want at most %v of change",
					demands[i].Holder, demands[i].Current.Units(), amount.Units(), slack.Units())
			}
		}
	})
}
