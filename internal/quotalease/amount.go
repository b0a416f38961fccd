package quotalease

import "math"

// Amount is a number of units, stored in millionths. Sums are exact integers, so all servers compute the same result.
type Amount int64

// Unit is the Amount of one unit: one attempt under a Rate, or one unit in flight under InFlight.
const Unit Amount = 1e6

// maxAmount is the upper bound of FromUnits, so that sums of several amounts cannot overflow an int64.
const maxAmount = 1e18

// FromUnits converts units to an Amount and rounds down. It returns 0 for NaN and for negative numbers.
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

// usage is an amount together with the size of its token bucket.
type usage struct {
	amount Amount
	burst  Amount
}

// maxWith returns the larger amount and the larger burst of u and other.
func (u usage) maxWith(other usage) usage {
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
