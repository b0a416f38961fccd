// Package quotalease holds the pure rules of budgets that hold over a whole fleet. A budget is a whole W, of units a second or
// of units in hand. Proxies (holders) draw on grants; stewards divide these through a replicated log. What it promises:
//
//   - At every moment all that any process may still spend sums to no more than W, and all buckets to no more than the
//     burst, whatever is lost, late, repeated, reordered, stopped, restarted, or restored from an older copy.
//   - A lower W holds once the last higher grant has ended.
//   - Once messages come through again and a lease has gone by, what is granted comes to the smaller of W and what is
//     asked for.
//
// The parts: Divide says who should have how much. Book is the state machine behind the log; it refuses what would break
// the sum, whoever proposes it. Keeper is what a steward holds beside the log: by its own clock, when each grant surely has
// ended, and who asks for what. Holder is the proxy's side; Fence is that of a server that knows tokens.
//
// All is pure: no I/O, no goroutine, no clock; callers give the time and see to it that one at a time calls. The argument
// why it is safe is in docs/fleet-budgets-design.md.
package quotalease

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Amount is units in millionths. Sums of these are exact, so every steward comes to the same verdict.
type Amount int64

// Unit is one unit: one attempt, or one piece of work in hand.
const Unit Amount = 1e6

// FromUnits is x units, rounded down. What is not a number, or below 0, is 0.
func FromUnits(x float64) Amount {
	if !(x > 0) {
		return 0
	}
	return Amount(min(math.Floor(x*float64(Unit)), 1e18))
}

// Units is the amount in units.
func (a Amount) Units() float64 { return float64(a) / float64(Unit) }

// wholeUnits drops what is not a whole unit.
func (a Amount) wholeUnits() Amount { return a - a%Unit }

// Kind is what a budget counts.
type Kind uint8

const (
	Rate     Kind = iota + 1 // units a second, with a burst
	InFlight                 // units held at once, each for at most a stated longest life
)

func (k Kind) String() string {
	switch k {
	case Rate:
		return "rate"
	case InFlight:
		return "in-hand"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Share is what a holder is promised of a budget.
type Share struct {
	Min    float64 `json:"Min"`    // units that it has, after a lease at most, whenever it asks for them
	Cap    float64 `json:"Cap"`    // units that it may have at most; 0 is no cap but the whole
	Weight float64 `json:"Weight"` // of what is over all minimums; 0 counts as 1
}

// Quota is one whole that the fleet shares.
type Quota struct {
	Name  string  `json:"Name"`
	Kind  Kind    `json:"Kind"`
	Limit float64 `json:"Whole"` // units a second, or units in hand
	// Burst is units that all buckets together may hold; for a Rate only. A holder with less than one unit of it can spend
	// nothing: it should be the number of holders that draw at once, or more.
	Burst         float64       `json:"Burst"`
	LeaseDuration time.Duration `json:"Lease"` // of each grant
	MaxHoldTime   time.Duration `json:"Life"`  // the longest that a unit is in hand; for InHand only

	Floors       map[string]float64 `json:"Floors"`  // units that a holder has by its name, without talk; they are part of the whole
	Members      map[string]Share   `json:"Members"` // by holder
	DefaultShare Share              `json:"Others"`  // of each holder that Members does not name; it has no minimum
}

// FleetConfig is all budgets, and what must hold for all grants of an epoch.
type FleetConfig struct {
	FleetID     string        `json:"ID"`
	MaxDrift    float64       `json:"Drift"`   // the part by which any clock of the fleet may be wrong, such as .001
	MaxLifetime time.Duration `json:"Longest"` // no lease with its life is longer; whoever may have forgotten grants waits that long
	Quotas      []Quota       `json:"Budgets"`
}

const (
	driftLimit  = .1
	unitsLimit  = 1e9
	minDuration = time.Millisecond
)

// Check tells all that makes no sense, by budget and field.
func (f *FleetConfig) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(f.FleetID == "", "fleet: has no name")
	bad(!(f.MaxDrift >= 0 && f.MaxDrift <= driftLimit), "drift: %v is not within 0 and %v", f.MaxDrift, driftLimit)
	bad(f.MaxLifetime < minDuration, "longest: %v is under %v", f.MaxLifetime, minDuration)
	seen := map[string]bool{}
	for i := range f.Quotas {
		b := &f.Quotas[i]
		bad(seen[b.Name], "%s: named twice", b.Name)
		seen[b.Name] = true
		if err := b.Check(); err != nil {
			errs = append(errs, err)
		}
		bad(b.LeaseDuration+b.MaxHoldTime > f.MaxLifetime, "%s: lease %v and life %v come to more than longest, %v", b.Name, b.LeaseDuration, b.MaxHoldTime, f.MaxLifetime)
	}
	return errors.Join(errs...)
}

// Check tells all that makes no sense in one budget, by its name and the field.
func (b *Quota) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf("%s: "+format, append([]any{b.Name}, args...)...))
		}
	}
	number := func(x float64) bool { return x >= 0 && x <= unitsLimit }
	// Work in hand comes in whole units.
	fits := func(x float64) bool { return number(x) && (b.Kind != InFlight || x == math.Floor(x)) }
	bad(b.Name == "", "a budget has no name")
	bad(b.Kind != Rate && b.Kind != InFlight, "kind: %v is neither rate nor in-hand", b.Kind)
	bad(!fits(b.Limit) || b.Limit == 0, "whole: %v units", b.Limit)
	bad(b.LeaseDuration < minDuration, "lease: %v is under %v", b.LeaseDuration, minDuration)
	switch b.Kind {
	case Rate:
		bad(!number(b.Burst) || b.Burst < 1, "burst: %v units; a rate needs 1 at least", b.Burst)
		bad(b.MaxHoldTime != 0, "life: a rate has none")
	case InFlight:
		bad(b.Burst != 0, "burst: work in hand has none")
		bad(b.MaxHoldTime < minDuration, "life: %v is under %v", b.MaxHoldTime, minDuration)
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.Floors)) {
		x := b.Floors[name]
		bad(name == "" || !fits(x), "floor of %q: %v units", name, x)
		if b.Kind == Rate && fits(x) && x > 0 {
			bad(b.Burst*x/b.Limit < 1, "floor of %q: its part of the burst is %.3g, under the one unit that it needs to spend any",
				name, b.Burst*x/b.Limit)
		}
		sum += max(0, x)
	}
	floors := sum
	for _, name := range slices.Sorted(maps.Keys(b.Members)) {
		s := b.Members[name]
		bad(name == "", "a member has no name")
		bad(!fits(s.Min) || !fits(s.Cap), "member %s: min %v or cap %v", name, s.Min, s.Cap)
		bad(s.Cap > 0 && s.Cap < s.Min, "member %s: cap %v is under min %v", name, s.Cap, s.Min)
		bad(!number(s.Weight), "member %s: weight %v", name, s.Weight)
		sum += max(0, s.Min)
	}
	bad(b.DefaultShare.Min != 0, "others: a minimum needs a name")
	bad(!fits(b.DefaultShare.Cap) || !number(b.DefaultShare.Weight), "others: cap %v or weight %v", b.DefaultShare.Cap, b.DefaultShare.Weight)
	bad(!(sum <= b.Limit), "floors (%v) and minimums (%v) come to more than the whole, %v", floors, sum-floors, b.Limit)
	return errors.Join(errs...)
}

// shareOf is what a holder is promised.
func (b *Quota) shareOf(holder string) Share {
	s, named := b.Members[holder]
	if !named {
		s = b.DefaultShare
	}
	if s.Weight == 0 {
		s.Weight = 1
	}
	return s
}

// floorOf is the part of whole and burst that a holder has by its name.
func (b *Quota) floorOf(holder string) (amount, burst Amount) {
	x := b.Floors[holder]
	if b.Kind == Rate {
		burst = FromUnits(b.Burst * x / b.Limit)
	}
	return FromUnits(x), burst
}

// Quota is the budget of a name, nil if there is none.
func (f *FleetConfig) Quota(name string) *Quota {
	for i := range f.Quotas {
		if f.Quotas[i].Name == name {
			return &f.Quotas[i]
		}
	}
	return nil
}

// Token is a fencing token: it grows strictly with the log, and over foundings. The zero token is that of a floor.
type Token struct {
	Epoch uint64 `json:"Epoch"`
	Index uint64 `json:"Index"`
}

// Compare is -1, 0 or 1 as t is older than o, the same or newer.
func (t Token) Compare(o Token) int {
	return cmp.Or(cmp.Compare(t.Epoch, o.Epoch), cmp.Compare(t.Index, o.Index))
}

func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Index) }

// HolderID is whose a grant is: one process (incarnation) of a holder's name. A process that starts anew is another one.
type HolderID struct {
	Holder      string `json:"Holder"`
	Incarnation uint64 `json:"Incarnation"`
}

// Compare orders keys by name, then by incarnation.
func (k HolderID) Compare(o HolderID) int {
	return cmp.Or(cmp.Compare(k.Holder, o.Holder), cmp.Compare(k.Incarnation, o.Incarnation))
}

// DriftMargin is by how much a steward lets a length of time last longer by its own clock, so that it is over by any other
// clock of that drift: a clock that is slow by the drift beside one that is fast by it.
func DriftMargin(drift float64) float64 { return (1 + drift) / (1 - drift) }

// withDriftMargin is a length with the margin, rounded up.
func withDriftMargin(d time.Duration, drift float64) time.Duration {
	return time.Duration(math.Ceil(float64(d)*DriftMargin(drift))) + 1
}

// StartupSilence is for how long a steward that starts takes no part: neither votes, nor confirms entries, nor leads. Its store
// may be an older copy and may have forgotten grants; after that time they have ended.
func StartupSilence(longest time.Duration, drift float64) time.Duration {
	return withDriftMargin(longest, drift)
}
