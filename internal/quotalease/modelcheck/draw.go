package modelcheck

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lapisspread/internal/quotalease"
)

// Run is what a drawn run came to.
type Run struct {
	Found   string        // what broke, "" if nothing did
	Steps   int           // moments that were checked
	Granted float64       // part of the smaller of whole and demand that is granted once all is mended
	Healed  time.Duration // after which it was
	Spent   float64       // units
	Faults  map[string]int
}

// player plays a world by chance.
type player struct {
	*World
	rng     *rand.Rand
	next    []time.Duration // each process's next ask, true time
	stopped []time.Duration // each process stands still until then; stewards first
	away    []time.Duration // each proxy is cut off until then
	faults  map[string]int
	mended  bool // links lose and delay nothing
}

// Draw plays a world for so many moments with faults, then mends all and plays on until what was lost must be made good. The
// same seed gives the same run.
func Draw(s Settings, seed uint64, moments int) Run {
	rng := rand.New(rand.NewPCG(seed, 24))
	w := newWorld(s, func(int) float64 { return float64(rng.IntN(3) - 1) })
	p := &player{World: w, rng: rng, next: make([]time.Duration, s.Holders), stopped: make([]time.Duration, s.Holders+s.Stewards),
		away: make([]time.Duration, s.Holders), faults: map[string]int{}}
	run := Run{Faults: p.faults}
	for ; run.Steps < moments; run.Steps++ {
		p.fault()
		if p.step(); w.check() != "" {
			run.Found = w.found
			return run
		}
	}
	p.mend()
	mended := w.now
	for run.Granted < .98 && w.now < mended+5*w.silence()+20*s.Lease {
		run.Steps++
		if p.step(); w.check() != "" {
			run.Found = w.found
			return run
		}
		run.Granted = w.granted() / min(w.wholes[len(w.wholes)-1].units, float64(s.Holders)*w.demand)
		if w.wholes[len(w.wholes)-1].until < w.now {
			run.Granted = 0 // nothing is granted under any whole
		}
	}
	run.Healed = w.now - mended
	run.Spent = w.spent
	return run
}

func (p *player) chance(x float64) bool { return p.rng.Float64() < x }

func (p *player) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(p.rng.Float64()*float64(hi-lo))
}

// step lets a little time go by and everybody do what it does.
func (p *player) step() {
	w := p.World
	w.now += p.between(time.Microsecond, cmp.Or(w.set.Step, w.set.Lease/20))
	w.quorum()
	w.fill()
	for i, proc := range w.procs {
		if !proc.up || p.stopped[w.set.Stewards+i] > w.now {
			continue
		}
		if p.next[i] <= w.now {
			p.next[i] = w.now + p.between(w.set.Lease/5, w.set.Lease/3)
			w.ask(i)
		}
		if p.chance(.5) {
			w.spend(i, 1+p.rng.IntN(4))
		}
		w.finish(i, p.rng.IntN(3)-1)
	}
	lead := slices.ContainsFunc(w.stewards, func(s *steward) bool { return s.up && s.leader })
	for i, s := range w.stewards {
		if !s.up || p.stopped[i] > w.now {
			continue
		}
		if p.chance(.002) || !lead && p.chance(.2) {
			w.elect(s)
		}
		w.operate(s)
		w.propose(s)
		for j, f := range w.stewards {
			if p.stopped[j] <= w.now && (p.mended || p.chance(.8)) {
				w.replicate(s, f)
			}
		}
		w.apply(s)
		for _, proc := range w.procs {
			if r := s.heard[proc.Key]; r != nil && (p.mended || p.chance(.3)) {
				w.tell(s, r)
			}
		}
	}
	w.requests = deliver(p, w.requests, func(r *request) int { return r.from }, func(r *request) {
		s := w.stewards[p.rng.IntN(len(w.stewards))]
		for _, l := range w.stewards {
			if l.leader && (p.mended || p.chance(.8)) {
				s = l
			}
		}
		if p.stopped[s.id] <= w.now {
			w.hear(s, r)
		}
	})
	w.replies = deliver(p, w.replies, func(r *reply) int { return r.to }, w.take)
}

// deliver brings some messages of a network to where they go, in any order; some are lost, some come again later.
func deliver[M any](p *player, all []M, whose func(M) int, to func(M)) []M {
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var kept []M
	for _, m := range all {
		i := whose(m)
		if p.away[i] > p.now {
			if p.chance(.9) {
				kept = append(kept, m)
			}
			continue
		}
		came := (p.mended || p.chance(.4)) && p.stopped[p.set.Stewards+i] <= p.now
		if came {
			to(m)
		}
		if !came && !p.chance(.02) || came && p.chance(.05) {
			kept = append(kept, m)
		}
	}
	return kept
}

// usual is how often each fault is drawn, in 4,000 moments.
var usual = map[string]int{"steward killed": 10, "steward back": 15, "older store": 10, "store lost": 3, "steward stopped": 12,
	"proxy stopped": 20, "proxy killed": 15, "proxy started": 25, "proxy cut off": 15, "stewards cut": 12, "cuts mended": 23,
	"whole changed": 6, "demand moves": 10}

// fault draws what goes wrong next.
func (p *player) fault() {
	at := p.rng.IntN(4000)
	mix := p.set.Mix
	if mix == nil {
		mix = usual
	}
	for _, kind := range slices.Sorted(maps.Keys(mix)) {
		if at -= mix[kind]; at < 0 {
			p.faults[kind]++
			p.does(kind)
			return
		}
	}
}

func (p *player) does(kind string) {
	w := p.World
	s := w.stewards[p.rng.IntN(len(w.stewards))]
	i := p.rng.IntN(len(w.procs))
	switch kind {
	case "steward killed":
		s.up, s.leader = false, false
	case "steward back":
		w.restart(s, len(s.log))
	case "older store":
		w.restart(s, p.rng.IntN(len(s.log)+1))
	case "store lost":
		w.restart(s, 0)
	case "steward stopped":
		p.stopped[s.id] = w.now + p.between(0, 3*w.set.Lease)
	case "proxy stopped":
		p.stopped[w.set.Stewards+i] = w.now + p.between(0, 3*w.set.Lease)
	case "proxy killed":
		w.gone(i)
	case "proxy started":
		w.gone(i)
		w.born(i)
		p.next[i] = w.now
	case "proxy cut off":
		p.away[i] = w.now + p.between(0, 4*w.set.Lease)
	case "stewards cut":
		w.cut[[2]int{s.id, p.rng.IntN(len(w.stewards))}] = true
	case "cuts mended":
		clear(w.cut)
	case "whole changed":
		if !s.up || !s.leader {
			return
		}
		part := .5 + p.rng.Float64()/2
		if w.set.Kind == quotalease.InHand {
			part = .5
		}
		if p.chance(.5) {
			part = 1
		}
		if _, v := s.book.Budgets(); v == w.version {
			f := w.set.fleet(w.set.Whole*part, w.set.Burst*part)
			w.append(s, quotalease.Command{SetBudgets: &quotalease.SetBudgets{Version: w.version + 1, Fleet: f}})
		}
	case "demand moves":
		for j, proc := range w.procs {
			proc.Want(budget, w.demand*float64((i+j)%3)/2)
		}
	}
}

// mend ends all faults.
func (p *player) mend() {
	w := p.World
	p.mended = true
	clear(w.cut)
	for i := range p.stopped {
		p.stopped[i] = 0
	}
	for i, proc := range w.procs {
		p.away[i] = 0
		if !proc.up {
			w.born(i)
		}
		proc.Want(budget, w.demand)
	}
	for _, s := range w.stewards {
		if !s.up {
			w.restart(s, len(s.log))
		}
	}
}

func (r Run) String() string {
	return fmt.Sprintf("%d moments, faults %v, spent %.0f, granted %.3f after %v, found %q",
		r.Steps, r.Faults, r.Spent, r.Granted, r.Healed, r.Found)
}
