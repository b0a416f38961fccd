package quotalease

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind says what a quota counts.
type Kind uint8

const (
	// Rate counts units a second, with a burst.
	Rate Kind = iota + 1
	// InFlight counts units held at once, each for at most Quota.MaxHoldTime.
	InFlight
)

// String returns the kind as configuration files name it.
func (k Kind) String() string {
	switch k {
	case Rate:
		return "rate"
	case InFlight:
		return "in-hand"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Share is what a holder is entitled to of a quota.
type Share struct {
	// Min is units that the holder gets whenever it requests them, after one lease duration at most.
	Min float64 `json:"Min"`
	// Cap is the most units that the holder may have; 0 is no cap but the limit.
	Cap float64 `json:"Cap"`
	// Weight is the holder's weight in what is left over all minimums; 0 counts as 1.
	Weight float64 `json:"Weight"`
}

// Quota is one limit that all holders of the fleet share.
type Quota struct {
	Name string `json:"Name"`
	Kind Kind   `json:"Kind"`
	// Limit is units a second of a Rate, and units in flight at once of InFlight.
	Limit float64 `json:"Whole"`
	// Burst is the units that all token buckets together may hold; for a Rate only. A holder whose part of it is under
	// one unit can spend nothing, so it should be at least the number of holders that spend at once.
	Burst float64 `json:"Burst"`
	// LeaseDuration is for how long each lease runs.
	LeaseDuration time.Duration `json:"Lease"`
	// MaxHoldTime is the longest that one unit is in flight; for InFlight only.
	MaxHoldTime time.Duration `json:"Life"`
	// Floors are units that a holder has by its name, without a lease. They are part of the limit.
	Floors map[string]float64 `json:"Floors"`
	// Members are the shares by holder.
	Members map[string]Share `json:"Members"`
	// DefaultShare is the share of each holder that Members does not name. It has no minimum.
	DefaultShare Share `json:"Others"`
}

// FleetConfig is all quotas of a fleet, and what must hold for all leases of an epoch.
type FleetConfig struct {
	FleetID string `json:"ID"`
	// MaxDrift is the part by which any clock of the fleet may be wrong, such as .001.
	MaxDrift float64 `json:"Drift"`
	// MaxLifetime bounds LeaseDuration plus MaxHoldTime of every quota. Whoever may have forgotten leases waits for
	// it.
	MaxLifetime time.Duration `json:"Longest"`
	Quotas      []Quota       `json:"Budgets"`
}

const (
	driftLimit  = .1  // the largest MaxDrift
	unitsLimit  = 1e9 // the most units of a limit, a burst or a share
	minDuration = time.Millisecond
)

// problems collects what is wrong with a configuration.
type problems struct {
	prefix string
	errs   []error
}

func (p *problems) addIf(wrong bool, format string, args ...any) {
	if wrong {
		p.errs = append(p.errs, errors.New(p.prefix+fmt.Sprintf(format, args...)))
	}
}

// Check returns all that is wrong with the configuration, by quota and field, nil if nothing is.
func (f *FleetConfig) Check() error {
	var wrong problems
	wrong.addIf(f.FleetID == "", "fleet: has no name")
	wrong.addIf(!validDrift(f.MaxDrift), "drift: %v is not within 0 and %v", f.MaxDrift, driftLimit)
	wrong.addIf(f.MaxLifetime < minDuration, "longest: %v is under %v", f.MaxLifetime, minDuration)
	seen := map[string]bool{}
	for i := range f.Quotas {
		quota := &f.Quotas[i]
		wrong.addIf(seen[quota.Name], "%s: named twice", quota.Name)
		seen[quota.Name] = true
		if err := quota.Check(); err != nil {
			wrong.errs = append(wrong.errs, err)
		}
		wrong.addIf(quota.LeaseDuration+quota.MaxHoldTime > f.MaxLifetime,
			"%s: lease %v and life %v come to more than longest, %v",
			quota.Name, quota.LeaseDuration, quota.MaxHoldTime, f.MaxLifetime)
	}
	return errors.Join(wrong.errs...)
}

// Quota returns the quota of a name, nil if there is none.
func (f *FleetConfig) Quota(name string) *Quota {
	for i := range f.Quotas {
		if f.Quotas[i].Name == name {
			return &f.Quotas[i]
		}
	}
	return nil
}

func validDrift(drift float64) bool { return drift >= 0 && drift <= driftLimit }

func validNumber(x float64) bool { return x >= 0 && x <= unitsLimit }

// validUnits reports whether x is a number of units of this quota. Units in flight are whole.
func (q *Quota) validUnits(x float64) bool {
	return validNumber(x) && (q.Kind != InFlight || x == math.Floor(x))
}

// Check returns all that is wrong with one quota, by its name and the field, nil if nothing is.
func (q *Quota) Check() error {
	wrong := problems{prefix: q.Name + ": "}
	wrong.addIf(q.Name == "", "a budget has no name")
	wrong.addIf(q.Kind != Rate && q.Kind != InFlight, "kind: %v is neither rate nor in-hand", q.Kind)
	wrong.addIf(!q.validUnits(q.Limit) || q.Limit == 0, "whole: %v units", q.Limit)
	wrong.addIf(q.LeaseDuration < minDuration, "lease: %v is under %v", q.LeaseDuration, minDuration)
	switch q.Kind {
	case Rate:
		wrong.addIf(!validNumber(q.Burst) || q.Burst < 1, "burst: %v units; a rate needs 1 at least", q.Burst)
		wrong.addIf(q.MaxHoldTime != 0, "life: a rate has none")
	case InFlight:
		wrong.addIf(q.Burst != 0, "burst: work in hand has none")
		wrong.addIf(q.MaxHoldTime < minDuration, "life: %v is under %v", q.MaxHoldTime, minDuration)
	}
	floors := q.checkFloors(&wrong)
	sum := q.checkShares(&wrong, floors)
	wrong.addIf(!(sum <= q.Limit),
		"floors (%v) and minimums (%v) come to more than the whole, %v", floors, sum-floors, q.Limit)
	return errors.Join(wrong.errs...)
}

// checkFloors checks all floors and returns their sum in units.
func (q *Quota) checkFloors(wrong *problems) (sum float64) {
	for _, holder := range slices.Sorted(maps.Keys(q.Floors)) {
		units := q.Floors[holder]
		wrong.addIf(holder == "" || !q.validUnits(units), "floor of %q: %v units", holder, units)
		if q.Kind == Rate && q.validUnits(units) && units > 0 {
			burst := q.Burst * units / q.Limit
			wrong.addIf(burst < 1,
				"floor of %q: its part of the burst is %.3g, under the one unit that it needs to spend any",
				holder, burst)
		}
		sum += max(0, units)
	}
	return sum
}

// checkShares checks all shares and returns the sum of the floors and of all minimums in units.
func (q *Quota) checkShares(wrong *problems, floors float64) (sum float64) {
	sum = floors
	for _, holder := range slices.Sorted(maps.Keys(q.Members)) {
		share := q.Members[holder]
		wrong.addIf(holder == "", "a member has no name")
		wrong.addIf(!q.validUnits(share.Min) || !q.validUnits(share.Cap),
			"member %s: min %v or cap %v", holder, share.Min, share.Cap)
		wrong.addIf(share.Cap > 0 && share.Cap < share.Min,
			"member %s: cap %v is under min %v", holder, share.Cap, share.Min)
		wrong.addIf(!validNumber(share.Weight), "member %s: weight %v", holder, share.Weight)
		sum += max(0, share.Min)
	}
	other := q.DefaultShare
	wrong.addIf(other.Min != 0, "others: a minimum needs a name")
	wrong.addIf(!q.validUnits(other.Cap) || !validNumber(other.Weight),
		"others: cap %v or weight %v", other.Cap, other.Weight)
	return sum
}

// shareOf returns what a holder is entitled to.
func (q *Quota) shareOf(holder string) Share {
	share, named := q.Members[holder]
	if !named {
		share = q.DefaultShare
	}
	if share.Weight == 0 {
		share.Weight = 1
	}
	return share
}

// floorOf returns the part of limit and burst that a holder has by its name.
func (q *Quota) floorOf(holder string) (amount, burst Amount) {
	units := q.Floors[holder]
	if q.Kind == Rate {
		burst = FromUnits(q.Burst * units / q.Limit)
	}
	return FromUnits(units), burst
}

// unreserved returns the limit less all floors, in millionths of a unit.
func (q *Quota) unreserved() float64 {
	left := FromUnits(q.Limit)
	for _, units := range q.Floors {
		left -= FromUnits(units)
	}
	return float64(max(0, left))
}
