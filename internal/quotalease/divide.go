package quotalease

import (
	"cmp"
	"math"
	"slices"
)

// hysteresis is the maximum difference between a holder's current amount and its computed allocation, as a fraction of
// the allocation, at which the holder keeps its current amount. Without it, amounts would change all the time: measured
// demand varies by a few percent, and a holder that gets units from another one does not get the tokens that have
// accumulated for these units.
const hysteresis = .1

// roundingSlack, in millionths of a unit, is added before rounding down, so that a floating-point error does not cost a
// whole unit.
const roundingSlack = 1e-3

// Demand is the amount that one process requests of a quota, and the amount of its newest lease.
type Demand struct {
	HolderID
	// Wanted is the requested units a second, or units in flight.
	Wanted Amount
	// Current is the amount of its newest lease, 0 if it has none.
	Current Amount
}

// Divide returns how much of a quota each process should have, in the order of the demands. It computes weighted
// max-min fairness (progressive filling; Bertsekas and Gallager, Data Networks, 6.5.2) over the limit minus all floors:
// minimums are served first, no process gets more than its cap or its demand, and units that a process does not demand
// go to others. A process whose current amount differs from its allocation by at most the hysteresis keeps its current
// amount as far as the total permits; this does not lower the sum. The result does not depend on the order of the
// demands. The amounts never sum to more than the limit minus all floors.
func Divide(quota *Quota, demands []Demand) []Amount {
	amounts := make([]Amount, len(demands))
	total := quota.unreserved()
	if len(demands) == 0 || total <= 0 {
		return amounts
	}
	d := newDivision(quota, demands, total)
	d.scaleMinimums()
	if d.sumDemanded <= total {
		copy(d.allocated, d.demanded)
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
	order   []int // order[rank] is the index in demands, and in the result, of the process at rank in the slices below

	weights     []float64
	minimums    []float64 // the minimum, at most the demand
	demanded    []float64 // the demand, at most the cap
	allocated   []float64 // the amount that the holder should have
	caps        []float64 // the cap, or total if there is no cap
	sumMinimums float64
	sumDemanded float64
}

func newDivision(quota *Quota, demands []Demand, total float64) *division {
	n := len(demands)
	values := make([]float64, 5*n) // one memory allocation for all slices
	d := &division{
		kind: quota.Kind, total: total, demands: demands, order: make([]int, n),
		weights: values[:n], minimums: values[n : 2*n], demanded: values[2*n : 3*n], allocated: values[3*n : 4*n],
		caps: values[4*n:],
	}
	for i := range d.order {
		d.order[i] = i
	}
	slices.SortFunc(d.order, func(x, y int) int { return demands[x].Compare(demands[y].HolderID) })
	for rank, i := range d.order {
		share := quota.shareOf(demands[i].Holder)
		d.weights[rank] = share.Weight
		d.caps[rank] = total
		if share.Cap > 0 {
			d.caps[rank] = min(total, float64(FromUnits(share.Cap)))
		}
		d.demanded[rank] = min(max(0, float64(demands[i].Wanted)), d.caps[rank])
		d.minimums[rank] = min(float64(FromUnits(share.Min)), d.demanded[rank])
		d.sumMinimums += d.minimums[rank]
		d.sumDemanded += d.demanded[rank]
	}
	return d
}

// scaleMinimums scales the minimums down if their sum is above the total. That happens when two processes with the same
// holder's name both demand the minimum that is configured for this name.
func (d *division) scaleMinimums() {
	if d.sumMinimums <= d.total {
		return
	}
	for rank := range d.minimums {
		d.minimums[rank] *= d.total / d.sumMinimums
	}
}

// levelBreakpoint is a level (an amount per unit of weight, see fillLevel) at which the allocation of a holder starts
// to grow, because level*weight exceeds its minimum, or stops growing, because it reaches its demand.
type levelBreakpoint struct {
	level float64
	slope float64 // change, at this level, in the rate at which the sum of all allocations grows with the level
}

// fillLevel computes the allocations if the demands sum to more than the total. Each holder gets level*weight, but at
// least its minimum and at most its demand; the level is the same for all holders, and is the one at which the
// allocations sum to the total.
func (d *division) fillLevel() {
	breakpoints := make([]levelBreakpoint, 0, 2*len(d.allocated))
	sum := 0.0
	for rank := range d.allocated {
		sum += d.minimums[rank]
		weight := d.weights[rank]
		breakpoints = append(breakpoints, levelBreakpoint{level: d.minimums[rank] / weight, slope: weight})
		breakpoints = append(breakpoints, levelBreakpoint{level: d.demanded[rank] / weight, slope: -weight})
	}
	slices.SortFunc(breakpoints, func(x, y levelBreakpoint) int {
		return cmp.Or(cmp.Compare(x.level, y.level), cmp.Compare(x.slope, y.slope))
	})
	level := 0.0
	slope := 0.0
	for _, point := range breakpoints {
		if slope > 0 && sum+slope*(point.level-level) >= d.total {
			break
		}
		sum += max(0, slope) * (point.level - level)
		level = point.level
		slope += point.slope
	}
	if slope > 0 {
		level += max(0, d.total-sum) / slope
	}
	for rank := range d.allocated {
		d.allocated[rank] = min(d.demanded[rank], max(d.minimums[rank], level*d.weights[rank]))
	}
}

// excess returns by how much the current amount of a process, limited to its cap and raised to its minimum, is above
// its allocation; the result is negative if it is below. It returns 0 if the process has no current amount, or if the
// current amount and the allocation differ by more than the hysteresis: then the process does not keep its current
// amount.
func (d *division) excess(rank int) float64 {
	current := min(float64(d.demands[d.order[rank]].Current), d.caps[rank])
	if current <= 0 || math.Abs(current-d.allocated[rank]) > hysteresis*d.allocated[rank] {
		return 0
	}
	return max(current, d.minimums[rank]) - d.allocated[rank]
}

// applyHysteresis lets holders whose current amount differs from their allocation by at most the hysteresis keep their
// current amount. Units that a holder keeps above its allocation are taken first from unallocated units, then from
// holders whose current amount is below their allocation. Those give up only as much as is needed, so the sum of all
// allocations does not fall.
func (d *division) applyHysteresis() {
	sum := 0.0
	above := 0.0
	below := 0.0
	for rank := range d.allocated {
		sum += d.allocated[rank]
		above += max(0, d.excess(rank))
		below += max(0, -d.excess(rank))
	}
	if above == 0 {
		return
	}
	spare := max(0, d.total-sum)
	keptPart := min(1, (spare+below)/above) // the fraction of each positive excess that its holder keeps
	yieldedPart := 0.0                      // the fraction of each negative excess that its holder gives up
	if below > 0 {
		yieldedPart = min(1, max(0, above*keptPart-spare)/below)
	}
	for rank := range d.allocated {
		if excess := d.excess(rank); excess > 0 {
			d.allocated[rank] += excess * keptPart
		} else {
			d.allocated[rank] += excess * yieldedPart
		}
	}
}

// roundAmounts rounds the allocations down to whole millionths of a unit, or to whole units for units in flight. The
// units in flight that are left after rounding go to the holders with the largest remainders; holders with equal
// remainders are served in their sort order.
func (d *division) roundAmounts(amounts []Amount) {
	remaining := Amount(d.total)
	if d.kind == InFlight {
		remaining = remaining.roundDown()
	}
	var remainders []int
	for rank, i := range d.order {
		amount := Amount(d.allocated[rank] + roundingSlack)
		if d.kind == InFlight {
			amount = amount.roundDown()
			if d.allocated[rank]-float64(amount) > 1 {
				remainders = append(remainders, rank)
			}
		}
		amounts[i] = max(0, min(amount, remaining))
		remaining -= amounts[i]
	}
	remainder := func(rank int) float64 { return d.allocated[rank] - float64(amounts[d.order[rank]]) }
	slices.SortStableFunc(remainders, func(x, y int) int { return cmp.Compare(remainder(y), remainder(x)) })
	for _, rank := range remainders {
		if remaining < Unit {
			break
		}
		amounts[d.order[rank]] += Unit
		remaining -= Unit
	}
}

// burstRounding is a factor slightly below 1, so that floating-point errors cannot make the bursts sum to more than the
// burst of the quota.
const burstRounding = 1 - 1e-12

// divideBurst divides the burst of a quota minus the bursts of its floors among the holders with an amount above 0: one
// unit for each (or equal parts if there is less than one unit for each), and the rest in proportion to the amounts.
func divideBurst(quota *Quota, amounts []Amount) []Amount {
	bursts := make([]Amount, len(amounts))
	if quota.Kind != Rate {
		return bursts
	}
	remaining := FromUnits(quota.Burst)
	for holder := range quota.Floors {
		_, burst := quota.floorOf(holder)
		remaining -= burst
	}
	holders := Amount(0)
	sum := 0.0
	for _, amount := range amounts {
		if amount > 0 {
			holders++
			sum += float64(amount)
		}
	}
	if holders == 0 || remaining <= 0 {
		return bursts
	}
	base := min(Unit, remaining/holders)
	rest := float64(remaining - base*holders)
	for i, amount := range amounts {
		if amount > 0 {
			bursts[i] = base + Amount(rest*float64(amount)/sum*burstRounding)
		}
	}
	return bursts
}
