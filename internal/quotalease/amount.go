package quotalease

import "math"

// Amount is a number of units in millionths. Sums of amounts are exact, so all servers compute the same result.
type Amount int64

// Unit is one unit: one attempt of a rate, or one unit in flight.
const Unit Amount = 1e6

// maxAmount bounds an amount so that sums of many cannot overflow.
const maxAmount = 1e18

// FromUnits converts units to an amount, rounding down. NaN and numbers below 0 give 0.
func FromUnits(units float64) Amount {
	if !(units > 0) {
		return 0
	}
	return Amount(min(math.Floor(units*float64(Unit)), maxAmount))
}

// Units converts the amount to units.
func (a Amount) Units() float64 { return float64(a) / float64(Unit) }

// roundDown rounds down to whole units.
func (a Amount) roundDown() Amount { return a - a%Unit }

// roundUp rounds up to whole units.
func (a Amount) roundUp() Amount { return (a + Unit - 1).roundDown() }

// usage is an amount together with its burst.
type usage struct {
	amount Amount
	burst  Amount
}

// atLeast raises each of both values to that of other.
func (u usage) atLeast(other usage) usage {
	return usage{amount: max(u.amount, other.amount), burst: max(u.burst, other.burst)}
}

func (u *usage) add(other usage) {
	u.amount += other.amount
	u.burst += other.burst
}

func (u *usage) sub(other usage) {
	u.amount -= other.amount
	u.burst -= other.burst
}
