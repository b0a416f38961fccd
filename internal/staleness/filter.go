package staleness

import (
	"math"
	"time"
)

const (
	maxHypotheses = 14 // moments at which the view may have stopped to follow, per cause
	minWeight     = 1e-9
)

// hypothesis is that the view holds the truth of one moment and nothing newer.
type hypothesis struct {
	at     time.Duration
	weight float64
}

// filter is the posterior over what a source's view is worth now: it follows (live), nothing comes any more (silent: a dead watch, a
// one-way cut, an outage), or answers come and are old (frozen: a register that lies or lags). It is the plain Bayes filter of
// a chain with hazards into silent and frozen and one out of frozen, on a small number of moments.
type filter struct {
	live          float64
	silent, stale []hypothesis
}

func (f *filter) total() float64 {
	s := f.live
	for _, g := range f.silent {
		s += g.weight
	}
	for _, g := range f.stale {
		s += g.weight
	}
	return s
}

// update multiplies each weight by the chance of what was just seen, and brings the sum back to 1.
func (f *filter) update(live float64, at func(g hypothesis, silent bool) float64) {
	f.live *= live
	for i := range f.silent {
		f.silent[i].weight *= at(f.silent[i], true)
	}
	for i := range f.stale {
		f.stale[i].weight *= at(f.stale[i], false)
	}
	f.normalize()
}

func (f *filter) normalize() {
	s := f.total()
	if !(s > 1e-200) { // what was seen has no chance at all: nothing is known
		return
	}
	f.live /= s
	f.silent, f.stale = normalizeHypotheses(f.silent, s), normalizeHypotheses(f.stale, s)
}

func normalizeHypotheses(gs []hypothesis, s float64) []hypothesis {
	keep := gs[:0]
	for _, g := range gs {
		if g.weight /= s; g.weight > minWeight {
			keep = append(keep, g)
		}
	}
	return keep
}

// addHypothesis puts a guess at the end (they are ordered by time) and joins the two that are next to each other and matter least.
func addHypothesis(gs []hypothesis, at time.Duration, w float64, now time.Duration) []hypothesis {
	if w <= 0 {
		return gs
	}
	gs = append(gs, hypothesis{at, w})
	if len(gs) <= maxHypotheses {
		return gs
	}
	best, cost := 0, math.Inf(1)
	for i := 0; i+1 < len(gs); i++ {
		a, b := gs[i], gs[i+1]
		c := (a.weight*b.weight/(a.weight+b.weight) + 1e-12) * math.Log1p((b.at-a.at).Seconds()/(.1+(now-b.at).Seconds()))
		if c < cost {
			best, cost = i, c
		}
	}
	a, b := gs[best], gs[best+1]
	w = a.weight + b.weight
	gs[best] = hypothesis{a.at + time.Duration(float64(b.at-a.at)*b.weight/w), w}
	return append(gs[:best+1], gs[best+2:]...)
}

// advance lets time go by in which nothing was heard. still is the chance that a live watch would be silent through it; silence and lies
// are hazards a second, cure is how fast lies end.
func (f *filter) advance(from, to time.Duration, still, silence, lies, cure float64) {
	d := (to - from).Seconds()
	if d <= 0 {
		return
	}
	mid := from + (to-from)/2
	live := f.live
	ps, pl := -math.Expm1(-silence*d), -math.Expm1(-lies*d)
	pc := -math.Expm1(-cure * d)
	back := 0.0
	for i := range f.stale {
		back += f.stale[i].weight * pc
		f.stale[i].weight *= (1 - pc) * still
	}
	f.live = (live*(1-ps)*(1-pl) + back) * still
	f.silent = addHypothesis(f.silent, mid, live*ps*(1+still)/2, to)
	f.stale = addHypothesis(f.stale, mid, live*(1-ps)*pl*still, to)
	f.normalize()
}

// received is news: the silent are refuted. Changes refute a frozen register too, up to a part that goes on with an old one.
func (f *filter) received(changes bool) {
	for _, g := range f.silent {
		f.live += g.weight
	}
	f.silent = f.silent[:0]
	if changes {
		for i := range f.stale {
			f.live += f.stale[i].weight * .95
			f.stale[i].weight *= .05
		}
	}
	f.normalize()
}

// silence puts what was live into silent since then.
func (f *filter) silence(at, now time.Duration) {
	f.silent = addHypothesis(f.silent, at, f.live, now)
	f.live = 0
	f.normalize()
}

// collapse says that the view is the truth of one moment, for sure.
func (f *filter) collapse(at time.Duration) {
	f.live, f.silent, f.stale = 0, append(f.silent[:0], hypothesis{at, 1}), f.stale[:0]
}

// silentWeight is the weight of silent.
func (f *filter) silentWeight() float64 {
	s := 0.0
	for _, g := range f.silent {
		s += g.weight
	}
	return s
}
