package quotalease

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind is what a quota counts.
type Kind uint8

const (
	// Rate counts units a second, with a burst.
	Rate Kind = iota + 1
	// InFlight counts units in flight at once, each for at most Quota.MaxHoldTime.
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

// Share is the part of a quota that a holder is entitled to, in units.
type Share struct {
	// Min is the number of units that the holder gets whenever it requests them, within one lease duration.
	Min float64 `json:"Min"`
	// Cap is the maximum number of units that the holder may have; 0 means only the limit applies.
	Cap float64 `json:"Cap"`
	// Weight is the holder's weight in the division of the units above all minimums; 0 counts as 1.
	Weight float64 `json:"Weight"`
}

// Quota is a limit that all holders of the fleet share.
type Quota struct {
	Name string `json:"Name"`
	Kind Kind   `json:"Kind"`
	// Limit is units a second of a Rate, and units in flight at once of InFlight.
	Limit float64 `json:"Whole"`
	// Burst is the number of units that all token buckets together may hold; for a Rate only. A holder whose part of
	// the burst is below one unit can spend nothing, so the burst should be at least the number of holders that spend
	// at the same time.
	Burst float64 `json:"Burst"`
	// LeaseDuration is the duration of each lease.
	LeaseDuration time.Duration `json:"Lease"`
	// MaxHoldTime is the maximum time that one unit is in flight; for InFlight only.
	MaxHoldTime time.Duration `json:"Life"`
	// Floors are the units that a holder may use without a lease, by the holder's name. They are part of the limit.
	Floors map[string]float64 `json:"Floors"`
	// Members are the shares of single holders, by the holder's name.
	Members map[string]Share `json:"Members"`
	// DefaultShare is the share of each holder that is not in Members. Its Min must be 0.
	DefaultShare Share `json:"Others"`
}

// FleetConfig holds all quotas of a fleet and the bounds that apply to all leases of an epoch.
type FleetConfig struct {
	FleetID string `json:"ID"`
	// MaxDrift is the fraction by which any clock of the fleet may run fast or slow, for example .001.
	MaxDrift float64 `json:"Drift"`
	// MaxLifetime is the upper bound of LeaseDuration plus MaxHoldTime of every quota. A server that may have lost
	// leases waits this long before it takes part.
	MaxLifetime time.Duration `json:"Longest"`
	Quotas      []Quota       `json:"Budgets"`
}

const (
	driftLimit  = .1               // maximum of MaxDrift
	unitsLimit  = 1e9              // maximum number of units of a limit, a burst or a share
	minDuration = time.Millisecond // minimum of MaxLifetime, LeaseDuration and MaxHoldTime
)

// problems collects the errors of a configuration. prefix is put before each message. The messages use the operators'
// terms that are listed in errors.go.
type problems struct {
	prefix string
	errs   []error
}

// addIf adds an error if invalid is true.
func (p *problems) addIf(invalid bool, format string, args ...any) {
	if invalid {
		p.errs = append(p.errs, errors.New(p.prefix+fmt.Sprintf(format, args...)))
	}
}

// Check returns all errors of the configuration, joined, each with its quota and field, or nil if it is valid.
func (f *FleetConfig) Check() error {
	var found problems
	found.addIf(f.FleetID == "", "fleet: has no name")
	found.addIf(!validDrift(f.MaxDrift), "drift: %v is not between 0 and %v", f.MaxDrift, driftLimit)
	found.addIf(f.MaxLifetime < minDuration, "longest: %v is under %v", f.MaxLifetime, minDuration)
	seen := map[string]bool{}
	for i := range f.Quotas {
		quota := &f.Quotas[i]
		found.addIf(seen[quota.Name], "%s: two budgets have this name", quota.Name)
		seen[quota.Name] = true
		if err := quota.Check(); err != nil {
			found.errs = append(found.errs, err)
		}
		found.addIf(quota.LeaseDuration+quota.MaxHoldTime > f.MaxLifetime,
			"%s: lease %v plus life %v is more than longest, %v",
			quota.Name, quota.LeaseDuration, quota.MaxHoldTime, f.MaxLifetime)
	}
	return errors.Join(found.errs...)
}

// Quota returns the quota with a name, or nil if there is none.
func (f *FleetConfig) Quota(name string) *Quota {
	for i := range f.Quotas {
		if f.Quotas[i].Name == name {
			return &f.Quotas[i]
		}
	}
	return nil
}

// validDrift reports whether drift is a valid maximum clock drift.
func validDrift(drift float64) bool { return drift >= 0 && drift <= driftLimit }

// validNumber reports whether x is a valid number of units, or a valid weight.
func validNumber(x float64) bool { return x >= 0 && x <= unitsLimit }

// validUnits reports whether x is a valid number of units of this quota. Units in flight are whole numbers.
func (q *Quota) validUnits(x float64) bool {
	return validNumber(x) && (q.Kind != InFlight || x == math.Floor(x))
}

// Check returns all errors of one quota, joined, each with its name and field, or nil if it is valid.
func (q *Quota) Check() error {
	found := problems{prefix: q.Name + ": "}
	found.addIf(q.Name == "", "a budget has no name")
	found.addIf(q.Kind != Rate && q.Kind != InFlight, "kind: %v is neither rate nor in-hand", q.Kind)
	found.addIf(!q.validUnits(q.Limit) || q.Limit == 0, "whole: %v units is not a valid limit", q.Limit)
	found.addIf(q.LeaseDuration < minDuration, "lease: %v is under %v", q.LeaseDuration, minDuration)
	switch q.Kind {
	case Rate:
		found.addIf(!validNumber(q.Burst) || q.Burst < 1, "burst: %v units; a rate needs at least 1", q.Burst)
		found.addIf(q.MaxHoldTime != 0, "life: must be 0 for a rate")
	case InFlight:
		found.addIf(q.Burst != 0, "burst: must be 0 for in-hand")
		found.addIf(q.MaxHoldTime < minDuration, "life: %v is under %v", q.MaxHoldTime, minDuration)
	}
	floors := q.checkFloors(&found)
	sum := q.checkShares(&found, floors)
	found.addIf(!(sum <= q.Limit),
		"floors (%v) and minimums (%v) sum to more than the whole, %v", floors, sum-floors, q.Limit)
	return errors.Join(found.errs...)
}

// checkFloors checks all floors and returns their sum in units.
func (q *Quota) checkFloors(found *problems) (sum float64) {
	for _, holder := range slices.Sorted(maps.Keys(q.Floors)) {
		units := q.Floors[holder]
		found.addIf(holder == "" || !q.validUnits(units),
			"floor of %q: %v is not a valid number of units", holder, units)
		if q.Kind == Rate && q.validUnits(units) && units > 0 {
			burst := q.Burst * units / q.Limit
			found.addIf(burst < 1,
				"floor of %q: its part of the burst is %.3g units; below 1 unit nothing can be spent", holder, burst)
		}
		sum += max(0, units)
	}
	return sum
}

// checkShares checks all shares. floors is the sum of all floors. It returns the sum of all floors and all minimums, in
// units.
func (q *Quota) checkShares(found *problems, floors float64) (sum float64) {
	sum = floors
	for _, holder := range slices.Sorted(maps.Keys(q.Members)) {
		share := q.Members[holder]
		found.addIf(holder == "", "a member has no name")
		found.addIf(!q.validUnits(share.Min) || !q.validUnits(share.Cap),
			"member %s: min %v or cap %v is not a valid number of units", holder, share.Min, share.Cap)
		found.addIf(share.Cap > 0 && share.Cap < share.Min,
			"member %s: cap %v is under min %v", holder, share.Cap, share.Min)
		found.addIf(!validNumber(share.Weight), "member %s: weight %v is not valid", holder, share.Weight)
		sum += max(0, share.Min)
	}
	other := q.DefaultShare
	found.addIf(other.Min != 0, "others: a minimum can be set only for a named member")
	found.addIf(!q.validUnits(other.Cap) || !validNumber(other.Weight),
		"others: cap %v or weight %v is not valid", other.Cap, other.Weight)
	return sum
}

// shareOf returns the share of a holder, with the default weight 1 if the weight is 0.
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

// floorOf returns the floor of a holder and the part of the burst that comes with it, 0 if it has none.
func (q *Quota) floorOf(holder string) (amount, burst Amount) {
	units := q.Floors[holder]
	if q.Kind == Rate {
		burst = FromUnits(q.Burst * units / q.Limit)
	}
	return FromUnits(units), burst
}

// unreserved returns the limit minus all floors, in millionths of a unit.
func (q *Quota) unreserved() float64 {
	remaining := FromUnits(q.Limit)
	for _, units := range q.Floors {
		remaining -= FromUnits(units)
	}
	return float64(max(0, remaining))
}
