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

// Of is x units, rounded down. What is not a number, or below 0, is 0.
func Of(x float64) Amount {
	if !(x > 0) {
		return 0
	}
	return Amount(min(math.Floor(x*float64(Unit)), 1e18))
}

// Units is the amount in units.
func (a Amount) Units() float64 { return float64(a) / float64(Unit) }

// whole drops what is not a whole unit.
func (a Amount) whole() Amount { return a - a%Unit }

// Kind is what a budget counts.
type Kind uint8

const (
	Rate   Kind = iota + 1 // units a second, with a burst
	InHand                 // units held at once, each for at most a stated longest life
)

func (k Kind) String() string {
	switch k {
	case Rate:
		return "rate"
	case InHand:
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

// Budget is one whole that the fleet shares.
type Budget struct {
	Name  string  `json:"Name"`
	Kind  Kind    `json:"Kind"`
	Whole float64 `json:"Whole"` // units a second, or units in hand
	// Burst is units that all buckets together may hold; for a Rate only. A holder with less than one unit of it can spend
	// nothing: it should be the number of holders that draw at once, or more.
	Burst float64       `json:"Burst"`
	Lease time.Duration `json:"Lease"` // of each grant
	Life  time.Duration `json:"Life"`  // the longest that a unit is in hand; for InHand only

	Floors  map[string]float64 `json:"Floors"`  // units that a holder has by its name, without talk; they are part of the whole
	Members map[string]Share   `json:"Members"` // by holder
	Others  Share              `json:"Others"`  // of each holder that Members does not name; it has no minimum
}

// Fleet is all budgets, and what must hold for all grants of an epoch.
type Fleet struct {
	ID      string        `json:"ID"`
	Drift   float64       `json:"Drift"`   // the part by which any clock of the fleet may be wrong, such as .001
	Longest time.Duration `json:"Longest"` // no lease with its life is longer; whoever may have forgotten grants waits that long
	Budgets []Budget      `json:"Budgets"`
}

const (
	maxDrift  = .1
	maxUnits  = 1e9
	leastTime = time.Millisecond
)

// Check tells all that makes no sense, by budget and field.
func (f *Fleet) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(f.ID == "", "fleet: has no name")
	bad(!(f.Drift >= 0 && f.Drift <= maxDrift), "drift: %v is not within 0 and %v", f.Drift, maxDrift)
	bad(f.Longest < leastTime, "longest: %v is under %v", f.Longest, leastTime)
	seen := map[string]bool{}
	for i := range f.Budgets {
		b := &f.Budgets[i]
		bad(seen[b.Name], "%s: named twice", b.Name)
		seen[b.Name] = true
		if err := b.Check(); err != nil {
			errs = append(errs, err)
		}
		bad(b.Lease+b.Life > f.Longest, "%s: lease %v and life %v come to more than longest, %v", b.Name, b.Lease, b.Life, f.Longest)
	}
	return errors.Join(errs...)
}

// Check tells all that makes no sense in one budget, by its name and the field.
func (b *Budget) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf("%s: "+format, append([]any{b.Name}, args...)...))
		}
	}
	number := func(x float64) bool { return x >= 0 && x <= maxUnits }
	// Work in hand comes in whole units.
	fits := func(x float64) bool { return number(x) && (b.Kind != InHand || x == math.Floor(x)) }
	bad(b.Name == "", "a budget has no name")
	bad(b.Kind != Rate && b.Kind != InHand, "kind: %v is neither rate nor in-hand", b.Kind)
	bad(!fits(b.Whole) || b.Whole == 0, "whole: %v units", b.Whole)
	bad(b.Lease < leastTime, "lease: %v is under %v", b.Lease, leastTime)
	switch b.Kind {
	case Rate:
		bad(!number(b.Burst) || b.Burst < 1, "burst: %v units; a rate needs 1 at least", b.Burst)
		bad(b.Life != 0, "life: a rate has none")
	case InHand:
		bad(b.Burst != 0, "burst: work in hand has none")
		bad(b.Life < leastTime, "life: %v is under %v", b.Life, leastTime)
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.Floors)) {
		x := b.Floors[name]
		bad(name == "" || !fits(x), "floor of %q: %v units", name, x)
		if b.Kind == Rate && fits(x) && x > 0 {
			bad(b.Burst*x/b.Whole < 1, "floor of %q: its part of the burst is %.3g, under the one unit that it needs to spend any",
				name, b.Burst*x/b.Whole)
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
	bad(b.Others.Min != 0, "others: a minimum needs a name")
	bad(!fits(b.Others.Cap) || !number(b.Others.Weight), "others: cap %v or weight %v", b.Others.Cap, b.Others.Weight)
	bad(!(sum <= b.Whole), "floors (%v) and minimums (%v) come to more than the whole, %v", floors, sum-floors, b.Whole)
	return errors.Join(errs...)
}

// share is what a holder is promised.
func (b *Budget) share(holder string) Share {
	s, named := b.Members[holder]
	if !named {
		s = b.Others
	}
	if s.Weight == 0 {
		s.Weight = 1
	}
	return s
}

// floor is the part of whole and burst that a holder has by its name.
func (b *Budget) floor(holder string) (amount, burst Amount) {
	x := b.Floors[holder]
	if b.Kind == Rate {
		burst = Of(b.Burst * x / b.Whole)
	}
	return Of(x), burst
}

// Budget is the budget of a name, nil if there is none.
func (f *Fleet) Budget(name string) *Budget {
	for i := range f.Budgets {
		if f.Budgets[i].Name == name {
			return &f.Budgets[i]
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

// Key is whose a grant is: one process (incarnation) of a holder's name. A process that starts anew is another one.
type Key struct {
	Holder      string `json:"Holder"`
	Incarnation uint64 `json:"Incarnation"`
}

// Compare orders keys by name, then by incarnation.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Holder, o.Holder), cmp.Compare(k.Incarnation, o.Incarnation))
}

// Margin is by how much a steward lets a length of time last longer by its own clock, so that it is over by any other
// clock of that drift: a clock that is slow by the drift beside one that is fast by it.
func Margin(drift float64) float64 { return (1 + drift) / (1 - drift) }

// stretch is a length with the margin, rounded up.
func stretch(d time.Duration, drift float64) time.Duration {
	return time.Duration(math.Ceil(float64(d)*Margin(drift))) + 1
}

// Silence is for how long a steward that starts takes no part: neither votes, nor confirms entries, nor leads. Its store
// may be an older copy and may have forgotten grants; after that time they have ended.
func Silence(longest time.Duration, drift float64) time.Duration { return stretch(longest, drift) }
