package quotalease

import (
	"cmp"
	"math"
	"slices"
)

// hysteresis is the fraction of its allocation by which a holder's current amount may differ without being changed.
// Measured demand varies by a few percent, and units that move to another holder arrive there with an empty token
// bucket.
const hysteresis = .1

// roundingSlack, in millionths of a unit, is added before rounding down, so that a floating-point error does not cost a
// whole unit.
const roundingSlack = 1e-3

// Demand is what one process requests of a quota and what it has leased.
type Demand struct {
	HolderID
	// Wanted is the requested units a second, or units in flight.
	Wanted Amount
	// Current is the amount of its newest lease, 0 if it has none.
	Current Amount
}

// Divide returns how much of a quota each process should have, in the order of the demands. It computes weighted
// max-min fairness (progressive filling; Bertsekas and Gallager, Data Networks, 6.5.2) over the limit minus all
// floors: minimums are served first, no process gets more than its cap or its demand, and units that a process does
// not demand go to others. A process whose current amount is within hysteresis of its allocation keeps that amount as
// far as it fits; this does not lower the sum. The result does not depend on the order of the demands. The amounts
// never sum to more than the limit minus all floors.
func Divide(quota *Quota, demands []Demand) []Amount {
	amounts := make([]Amount, len(demands))
	total := quota.unreserved()
	if len(demands) == 0 || total <= 0 {
		return amounts
	}
	d := newDivision(quota, demands, total)
	d.scaleMinimums()
	if d.sumHigh <= total {
		copy(d.due, d.high)
	} else {
		d.fillLevel()
	}
	d.applyHysteresis()
	d.roundAmounts(amounts)
	return amounts
}

// division is the working state of one call of Divide. Its slices are sorted by holder; all amounts are in millionths
// of a unit.
type division struct {
	kind    Kind
	total   float64 // the limit minus all floors
	demands []Demand
	order   []int // for each position in the slices below, the index in demands and in the result

	weight  []float64
	low     []float64 // the minimum, at most the demand
	high    []float64 // the demand, at most the cap
	due     []float64 // the amount that the holder should have
	ceiling []float64 // the cap, or total if there is no cap
	sumLow  float64
	sumHigh float64
}

func newDivision(quota *Quota, demands []Demand, total float64) *division {
	n := len(demands)
	values := make([]float64, 5*n) // one memory allocation for all slices
	d := &division{
		kind: quota.Kind, total: total, demands: demands, order: make([]int, n),
		weight: values[:n], low: values[n : 2*n], high: values[2*n : 3*n], due: values[3*n : 4*n],
		ceiling: values[4*n:],
	}
	for i := range d.order {
		d.order[i] = i
	}
	slices.SortFunc(d.order, func(x, y int) int { return demands[x].Compare(demands[y].HolderID) })
	for at, i := range d.order {
		share := quota.shareOf(demands[i].Holder)
		d.weight[at] = share.Weight
		d.ceiling[at] = total
		if share.Cap > 0 {
			d.ceiling[at] = min(total, float64(FromUnits(share.Cap)))
		}
		d.high[at] = min(max(0, float64(demands[i].Wanted)), d.ceiling[at])
		d.low[at] = min(float64(FromUnits(share.Min)), d.high[at])
		d.sumLow += d.low[at]
		d.sumHigh += d.high[at]
	}
	return d
}

// scaleMinimums scales the minimums down if their sum is above the total. That happens when two processes with the same
// holder's name both demand its minimum.
func (d *division) scaleMinimums() {
	if d.sumLow <= d.total {
		return
	}
	for at := range d.low {
		d.low[at] *= d.total / d.sumLow
	}
}

// levelTurn is a level at which the slope of the sum of all allocations over the level changes by slope.
type levelTurn struct {
	level float64
	slope float64
}

// fillLevel finds the common level at which the total is used up. Each holder gets the level times its weight, but at
// least its minimum and at most its demand.
func (d *division) fillLevel() {
	turns := make([]levelTurn, 0, 2*len(d.due))
	sum := 0.0
	for at := range d.due {
		sum += d.low[at]
		turns = append(turns, levelTurn{level: d.low[at] / d.weight[at], slope: d.weight[at]})
		turns = append(turns, levelTurn{level: d.high[at] / d.weight[at], slope: -d.weight[at]})
	}
	slices.SortFunc(turns, func(x, y levelTurn) int {
		return cmp.Or(cmp.Compare(x.level, y.level), cmp.Compare(x.slope, y.slope))
	})
	level := 0.0
	slope := 0.0
	for _, turn := range turns {
		if slope > 0 && sum+slope*(turn.level-level) >= d.total {
			break
		}
		sum += max(0, slope) * (turn.level - level)
		level = turn.level
		slope += turn.slope
	}
	if slope > 0 {
		level += max(0, d.total-sum) / slope
	}
	for at := range d.due {
		d.due[at] = min(d.high[at], max(d.low[at], level*d.weight[at]))
	}
}

// excess returns the current amount of a process minus its allocation, or 0 if the difference is outside the
// hysteresis. It is negative if the process has less than its allocation.
func (d *division) excess(at int) float64 {
	current := min(float64(d.demands[d.order[at]].Current), d.ceiling[at])
	if current <= 0 || math.Abs(current-d.due[at]) > hysteresis*d.due[at] {
		return 0
	}
	return max(current, d.low[at]) - d.due[at]
}

// applyHysteresis lets holders whose current amount is near their allocation keep that amount. What some keep above
// their allocation comes from unallocated units, and from holders that stay slightly below their allocation, so the sum
// does not fall.
func (d *division) applyHysteresis() {
	sum := 0.0
	above := 0.0
	below := 0.0
	for at := range d.due {
		sum += d.due[at]
		above += max(0, d.excess(at))
		below += max(0, -d.excess(at))
	}
	if above == 0 {
		return
	}
	spare := max(0, d.total-sum)
	kept := min(1, (spare+below)/above)
	yielded := 0.0
	if below > 0 {
		yielded = min(1, max(0, above*kept-spare)/below)
	}
	for at := range d.due {
		if excess := d.excess(at); excess > 0 {
			d.due[at] += excess * kept
		} else {
			d.due[at] += excess * yielded
		}
	}
}

// roundAmounts rounds the allocations down to whole millionths, or to whole units for units in flight. Units in flight
// that rounding leaves over go to the holders with the largest remainders, in the order of the holders among equals.
func (d *division) roundAmounts(amounts []Amount) {
	left := Amount(d.total)
	if d.kind == InFlight {
		left = left.roundDown()
	}
	var remainders []int
	for at, i := range d.order {
		amount := Amount(d.due[at] + roundingSlack)
		if d.kind == InFlight {
			amount = amount.roundDown()
			if d.due[at]-float64(amount) > 1 {
				remainders = append(remainders, at)
			}
		}
		amounts[i] = max(0, min(amount, left))
		left -= amounts[i]
	}
	remainder := func(at int) float64 { return d.due[at] - float64(amounts[d.order[at]]) }
	slices.SortStableFunc(remainders, func(x, y int) int { return cmp.Compare(remainder(y), remainder(x)) })
	for _, at := range remainders {
		if left < Unit {
			break
		}
		amounts[d.order[at]] += Unit
		left -= Unit
	}
}

// burstRounding is a factor slightly below 1, so that floating-point errors cannot make the bursts sum to more than the
// burst of the quota.
const burstRounding = 1 - 1e-12

// divideBurst divides the burst of a quota minus the bursts of its floors: one unit for each holder with an amount
// above 0 (less if they do not suffice), and the rest in proportion to the amounts.
func divideBurst(quota *Quota, amounts []Amount) []Amount {
	bursts := make([]Amount, len(amounts))
	if quota.Kind != Rate {
		return bursts
	}
	left := FromUnits(quota.Burst)
	for holder := range quota.Floors {
		_, burst := quota.floorOf(holder)
		left -= burst
	}
	holders := Amount(0)
	sum := 0.0
	for _, amount := range amounts {
		if amount > 0 {
			holders++
			sum += float64(amount)
		}
	}
	if holders == 0 || left <= 0 {
		return bursts
	}
	base := min(Unit, left/holders)
	rest := float64(left - base*holders)
	for i, amount := range amounts {
		if amount > 0 {
			bursts[i] = base + Amount(rest*float64(amount)/sum*burstRounding)
		}
	}
	return bursts
}
