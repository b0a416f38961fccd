package quotalease

import (
	"cmp"
	"math"
	"slices"
)

// hysteresis is the part of its due by which a holder's amount may differ before it is moved. Demand is measured and always
// trembles by a few percent; every move costs an empty bucket at the other end.
const hysteresis = .1

// Demand is what one process asks of a budget, and what it has now.
type Demand struct {
	HolderID
	Wanted  Amount
	Current Amount // of its newest grant; 0 is none
}

// Divide says how much each should have: max-min by weight over what each asks for (progressive filling; Bertsekas and
// Gallager, Data Networks, 6.5.2), minimums first, nobody over its cap or what it asks for. What is idle goes to those who
// ask. Floors come off the whole first. Who is within a tenth of its due keeps what it has, as far as that fits: the sum
// stays the same or more. The outcome does not depend on the order of the demands; amounts come in that order. They never
// sum to more than the whole less all floors.
func Divide(b *Quota, demands []Demand) []Amount {
	out := make([]Amount, len(demands))
	whole := b.unreserved()
	if len(demands) == 0 || whole <= 0 {
		return out
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return demands[x].HolderID.Compare(demands[y].HolderID) })

	n := len(demands)
	buf := make([]float64, 5*n)
	weight, low, high, due, most := buf[:n], buf[n:2*n], buf[2*n:3*n], buf[3*n:4*n], buf[4*n:]
	lows, highs := 0.0, 0.0
	for at, i := range order {
		s := b.shareOf(demands[i].Holder)
		weight[at], most[at] = s.Weight, whole
		if s.Cap > 0 {
			most[at] = min(whole, float64(FromUnits(s.Cap)))
		}
		high[at] = min(max(0, float64(demands[i].Wanted)), most[at])
		low[at] = min(float64(FromUnits(s.Min)), high[at])
		lows += low[at]
		highs += high[at]
	}
	if lows > whole { // two processes of one name both ask for its minimum
		for at := range low {
			low[at] *= whole / lows
		}
	}
	if highs <= whole {
		copy(due, high)
	} else {
		fillLevel(whole, weight, low, high, due)
	}
	applyHysteresis(whole, demands, order, low, most, due)
	roundAmounts(b.Kind, whole, order, due, out)
	return out
}

// unreserved is the whole less all floors.
func (b *Quota) unreserved() float64 {
	free := FromUnits(b.Limit)
	for _, x := range b.Floors {
		free -= FromUnits(x)
	}
	return float64(max(0, free))
}

// fillLevel raises one level, by weight, for all: each gets level times weight, at least its low and at most its high.
func fillLevel(whole float64, weight, low, high, due []float64) {
	type turn struct {
		level, slope float64 // from this level on the sum grows by so much more
	}
	turns := make([]turn, 0, 2*len(due))
	sum := 0.0
	for i := range due {
		sum += low[i]
		turns = append(turns, turn{low[i] / weight[i], weight[i]}, turn{high[i] / weight[i], -weight[i]})
	}
	slices.SortFunc(turns, func(x, y turn) int { return cmp.Or(cmp.Compare(x.level, y.level), cmp.Compare(x.slope, y.slope)) })
	level, slope := 0.0, 0.0
	for _, t := range turns {
		if slope > 0 && sum+slope*(t.level-level) >= whole {
			break
		}
		sum += max(0, slope) * (t.level - level)
		level, slope = t.level, slope+t.slope
	}
	if slope > 0 {
		level += max(0, whole-sum) / slope
	}
	for i := range due {
		due[i] = min(high[i], max(low[i], level*weight[i]))
	}
}

// applyHysteresis lets those within the band keep what they have. What the ones keep over their due comes from what is spare and
// from those who would get a little more; so the sum does not fall.
func applyHysteresis(whole float64, demands []Demand, order []int, low, most, due []float64) {
	sum, over, under := 0.0, 0.0, 0.0
	gap := func(at int) float64 { // what it has now over its due, 0 outside the band
		now := min(float64(demands[order[at]].Current), most[at])
		if now <= 0 || math.Abs(now-due[at]) > hysteresis*due[at] {
			return 0
		}
		return max(now, low[at]) - due[at]
	}
	for at := range due {
		sum += due[at]
		over += max(0, gap(at))
		under += max(0, -gap(at))
	}
	if over == 0 {
		return
	}
	spare := max(0, whole-sum)
	keep := min(1, (spare+under)/over)
	yield := 0.0
	if under > 0 {
		yield = min(1, max(0, over*keep-spare)/under)
	}
	for at := range due {
		if g := gap(at); g > 0 {
			due[at] += g * keep
		} else {
			due[at] += g * yield
		}
	}
}

// roundAmounts brings amounts to whole millionths, or to whole units for work in hand; there what is left over goes to those with
// the largest remainder, by name among equals.
func roundAmounts(kind Kind, whole float64, order []int, due []float64, out []Amount) {
	left := Amount(whole)
	if kind == InFlight {
		left = left.wholeUnits()
	}
	var rest []int
	for at, i := range order {
		a := Amount(due[at] + 1e-3) // an error of rounding must not cost a whole unit
		if kind == InFlight {
			a = a.wholeUnits()
			if due[at]-float64(a) > 1 {
				rest = append(rest, at)
			}
		}
		out[i] = max(0, min(a, left))
		left -= out[i]
	}
	slices.SortStableFunc(rest, func(x, y int) int {
		return -cmp.Compare(due[x]-float64(out[order[x]]), due[y]-float64(out[order[y]]))
	})
	for _, at := range rest {
		if left < Unit {
			break
		}
		out[order[at]] += Unit
		left -= Unit
	}
}

// divideBurst divides the burst that floors leave: one unit for each that gets anything, as far as they go, and the rest in
// proportion to the amounts.
func divideBurst(b *Quota, amounts []Amount) []Amount {
	out := make([]Amount, len(amounts))
	if b.Kind != Rate {
		return out
	}
	left, n, sum := FromUnits(b.Burst), Amount(0), 0.0
	for name := range b.Floors {
		_, burst := b.floorOf(name)
		left -= burst
	}
	for _, a := range amounts {
		if a > 0 {
			n++
			sum += float64(a)
		}
	}
	if n == 0 || left <= 0 {
		return out
	}
	base := min(Unit, left/n)
	rest := float64(left - base*n)
	for i, a := range amounts {
		if a > 0 {
			out[i] = base + Amount(rest*float64(a)/sum*(1-1e-12))
		}
	}
	return out
}
