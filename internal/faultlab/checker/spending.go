package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Whole is how much of a budget may be spent from a time on.
type Whole struct {
	From  time.Duration
	Units float64 // a second, or in hand
	Burst float64 // of a rate
}

// FleetBudget is a budget that holds over the whole fleet, as the judge knows it.
type FleetBudget struct {
	Name   string
	InHand bool
	// Wholes are in order of time; the first holds from the start. A lower one holds from when the last grant under the one
	// before must have ended, a higher one from when it was ordered: whoever gives them says so.
	Wholes []Whole
}

func (b *FleetBudget) at(t time.Duration) Whole {
	w := b.Wholes[0]
	for _, next := range b.Wholes[1:] {
		if next.From <= t {
			w = next
		}
	}
	return w
}

// filled is the units that come between two times at the rates that hold.
func (b *FleetBudget) filled(from, to time.Duration) float64 {
	sum := 0.0
	for i, w := range b.Wholes {
		until := to
		if i+1 < len(b.Wholes) {
			until = min(to, b.Wholes[i+1].From)
		}
		if i == 0 {
			w.From = 0
		}
		if span := until - max(from, w.From); span > 0 {
			sum += w.Units * span.Seconds()
		}
	}
	return sum
}

// arrival is an attempt as a server took it.
type arrival struct {
	at, end time.Duration // end is of work in hand; never if it has not come
	request uint64
}

// BudgetVerdict is how a budget was spent.
type BudgetVerdict struct {
	Name      string  `json:"name"`
	OverWhole int     `json:"over_whole"`        // attempts beyond the whole: see Spending
	Wanted    int     `json:"wanted"`            // requests that would have drawn on it
	Took      int     `json:"took"`              // attempts that servers took
	Floor     int     `json:"floor"`             // of these by floors
	Let       int     `json:"let"`               // requests of which an attempt was let through
	Central   float64 `json:"central,omitempty"` // requests that one central counter would have let through
	Used      float64 `json:"used,omitempty"`    // Let over Central; left out where nothing is known to be wanted
	Most      float64 `json:"most"`              // attempts in any window of a second, or at once in hand
	May       float64 `json:"may"`               // that it may be, at that moment
}

// SpendingVerdict is how all budgets were spent.
type SpendingVerdict struct {
	OverWhole int             `json:"over_whole"`
	Used      float64         `json:"used"`
	OldTokens int             `json:"old_tokens"` // attempts that servers turned away for an older token
	NoToken   int             `json:"no_token"`   // attempts that came without one, or with one that can't be read
	Budgets   []BudgetVerdict `json:"budgets"`
	Evidence  []string        `json:"evidence,omitempty"` // of the first that were beyond
}

// Spending counts what servers took of budgets over a whole fleet, and judges it.
//
// A rate W with a burst B allows, in any window from s to t, W(t-s) + B attempts to be sent. Servers see when they arrive: what
// arrives within a window was sent within it or at most the transit before. So W(t-s+transit) + B is the bound, for every length
// of window, those of a second among them: a leaky bucket that leaks W and holds B + W*transit runs over exactly when some window
// is beyond it. What runs over is counted and not poured in, so each attempt too many counts once. (The generic cell rate
// algorithm; ITU-T I.371.)
//
// The transit is the longest that an attempt takes from the proxy's last look at its grant to the server's first byte of it. The
// time for which a process stands still in between is not part of it, unless a caller adds it: an attempt that it sends as it
// wakes must be turned away by its token.
//
// In hand, an attempt counts from its first byte until its answer or the end of its connection; an end that the proxy has brought
// about is heard of up to the transit later, which is taken off.
//
// Danger: not for several goroutines.
type Spending struct {
	transit   time.Duration
	budgets   []FleetBudget
	took      [][]arrival
	floor     []int
	wanted    [][]arrival
	oldTokens int
	noToken   int
}

// NewSpending judges these budgets.
func NewSpending(transit time.Duration, budgets []FleetBudget) *Spending {
	s := &Spending{transit: transit, budgets: slices.Clone(budgets)}
	s.took, s.wanted, s.floor = make([][]arrival, len(budgets)), make([][]arrival, len(budgets)), make([]int, len(budgets))
	for i := range s.budgets {
		s.budgets[i].Wholes = slices.Clone(s.budgets[i].Wholes)
	}
	return s
}

// Change has another whole hold from a time on. What was to hold from then on or later doesn't.
func (s *Spending) Change(budget int, w Whole) {
	all := &s.budgets[budget].Wholes
	for len(*all) > 1 && (*all)[len(*all)-1].From >= w.From {
		*all = (*all)[:len(*all)-1]
	}
	s.budgets[budget].Wholes = append(s.budgets[budget].Wholes, w)
}

// Wanted is a request that draws on a budget, as its client sends it first.
func (s *Spending) Wanted(at time.Duration, budget int, request uint64) {
	s.wanted[budget] = append(s.wanted[budget], arrival{at: at, request: request})
}

// Late has the judge allow for a machine that was held up: an attempt was on its way for so much longer.
func (s *Spending) Late(by time.Duration) { s.transit += by }

// Took is an attempt of a request that a server took, at its first byte; floor says that it was sent under a floor. What it
// gives names the attempt to Ended.
func (s *Spending) Took(at time.Duration, budget int, request uint64, floor bool) int {
	if floor {
		s.floor[budget]++
	}
	s.took[budget] = append(s.took[budget], arrival{at: at, end: never, request: request})
	return len(s.took[budget]) - 1
}

// never is an end that has not come.
const never = time.Duration(1<<63 - 1)

// Ended is the end of an attempt; given up is one whose proxy has closed the connection.
func (s *Spending) Ended(at time.Duration, budget, attempt int, givenUp bool) {
	a := &s.took[budget][attempt]
	if givenUp {
		at = max(a.at, at-s.transit)
	}
	a.end = at
}

// OldToken is an attempt that a server turned away because it knows a newer token of its holder. It was not taken.
func (s *Spending) OldToken() { s.oldTokens++ }

// NoToken is an attempt without a token that can be read.
func (s *Spending) NoToken() { s.noToken++ }

// Verdict judges what was counted so far.
func (s *Spending) Verdict() SpendingVerdict {
	v := SpendingVerdict{OldTokens: s.oldTokens, NoToken: s.noToken, Budgets: []BudgetVerdict{}}
	let, central := 0.0, 0.0
	for i := range s.budgets {
		b := &s.budgets[i]
		one := BudgetVerdict{Name: b.Name, Wanted: len(s.wanted[i]), Took: len(s.took[i]), Floor: s.floor[i], Let: requests(s.took[i])}
		took := slices.SortedFunc(slices.Values(s.took[i]), func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
		var beyond []time.Duration
		if b.InHand {
			beyond = inHand(b, took, &one)
		} else {
			beyond = overflow(b, took, s.transit)
			secondsOf(b, took, s.transit, &one)
			if one.Wanted > 0 { // who would have drawn on a budget of repeats nobody knows
				one.Central = counter(b, s.wanted[i])
				one.Used = share(float64(one.Let), one.Central)
				let += float64(one.Let)
				central += one.Central
			}
		}
		one.OverWhole = len(beyond)
		v.OverWhole += one.OverWhole
		for _, at := range beyond[:min(3, len(beyond))] {
			v.Evidence = append(v.Evidence, fmt.Sprintf("%s: the attempt that came %v after the start is beyond the whole", b.Name, at.Round(time.Microsecond)))
		}
		v.Budgets = append(v.Budgets, one)
	}
	v.Used = share(let, central)
	return v
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// requests counts different ones.
func requests(all []arrival) int {
	seen := make(map[uint64]struct{}, len(all))
	for _, a := range all {
		seen[a.request] = struct{}{}
	}
	return len(seen)
}

// hair is for the rounding of sums.
const hair = 1e-6

// overflow gives the arrivals beyond a leaky bucket.
func overflow(b *FleetBudget, took []arrival, transit time.Duration) (beyond []time.Duration) {
	level, last := 0.0, time.Duration(0)
	for _, a := range took {
		level = max(0, level-b.filled(last, a.at))
		last = a.at
		w := b.at(a.at)
		if earlier := b.at(a.at - transit); earlier.Units > w.Units || earlier.Burst > w.Burst { // it was sent under that
			w = earlier
		}
		if level+1 > w.Burst+w.Units*transit.Seconds()+hair {
			beyond = append(beyond, a.at)
			continue
		}
		level++
	}
	return beyond
}

// secondsOf finds the second with the most attempts.
func secondsOf(b *FleetBudget, took []arrival, transit time.Duration, v *BudgetVerdict) {
	first := 0
	for i, a := range took {
		for took[first].at <= a.at-time.Second {
			first++
		}
		if n := float64(i - first + 1); n > v.Most {
			w := b.at(a.at - time.Second)
			v.Most, v.May = n, w.Burst+w.Units*(1+transit.Seconds())
		}
	}
}

// counter is what one central token bucket would let through of the requests that came.
func counter(b *FleetBudget, wanted []arrival) float64 {
	wanted = slices.SortedFunc(slices.Values(wanted), func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
	level, last, let := b.Wholes[0].Burst, time.Duration(0), 0.0
	for _, a := range wanted {
		level = min(b.at(a.at).Burst, level+b.filled(last, a.at))
		last = a.at
		if level >= 1 {
			level--
			let++
		}
	}
	return let
}

// inHand gives the arrivals with which more was in hand than may be.
func inHand(b *FleetBudget, took []arrival, v *BudgetVerdict) (beyond []time.Duration) {
	var open []time.Duration // ends of what is in hand
	for _, a := range took {
		open = slices.DeleteFunc(open, func(end time.Duration) bool { return end <= a.at })
		w := b.at(a.at)
		if n := float64(len(open) + 1); n > v.Most {
			v.Most, v.May = n, w.Units
		}
		if float64(len(open)+1) > w.Units+hair {
			beyond = append(beyond, a.at)
			continue
		}
		open = append(open, a.end)
	}
	return beyond
}
