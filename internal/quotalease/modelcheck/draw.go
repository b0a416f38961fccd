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

// RandomResult is what a drawn run came to.
type RandomResult struct {
	Violation    string        // what broke, "" if nothing did
	Moments      int           // moments that were checked
	GrantedShare float64       // part of the smaller of whole and demand that is granted once all is mended
	RecoveryTime time.Duration // after which it was
	SpentUnits   float64       // units
	Faults       map[string]int
}

// simulation plays a world by chance.
type simulation struct {
	*cluster
	rng          *rand.Rand
	nextRequest  []time.Duration // each process's next ask, true time
	stoppedUntil []time.Duration // each process stands still until then; stewards first
	cutOffUntil  []time.Duration // each proxy is cut off until then
	faults       map[string]int
	linksHealthy bool // links lose and delay nothing
}

// RunRandom plays a world for so many moments with faults, then mends all and plays on until what was lost must be made good. The
// same seed gives the same run.
func RunRandom(s Settings, seed uint64, moments int) RandomResult {
	rng := rand.New(rand.NewPCG(seed, 24))
	w := newCluster(s, func(int) float64 { return float64(rng.IntN(3) - 1) })
	p := &simulation{cluster: w, rng: rng, nextRequest: make([]time.Duration, s.Holders), stoppedUntil: make([]time.Duration, s.Holders+s.Servers),
		cutOffUntil: make([]time.Duration, s.Holders), faults: map[string]int{}}
	run := RandomResult{Faults: p.faults}
	for ; run.Moments < moments; run.Moments++ {
		p.injectFault()
		if p.step(); w.checkInvariant() != "" {
			run.Violation = w.violation
			return run
		}
	}
	p.repairAll()
	mended := w.now
	for run.GrantedShare < .98 && w.now < mended+5*w.startupSilence()+20*s.LeaseDuration {
		run.Moments++
		if p.step(); w.checkInvariant() != "" {
			run.Violation = w.violation
			return run
		}
		run.GrantedShare = w.outstanding() / min(w.limits[len(w.limits)-1].units, float64(s.Holders)*w.demandUnits)
		if w.limits[len(w.limits)-1].until < w.now {
			run.GrantedShare = 0 // nothing is granted under any whole
		}
	}
	run.RecoveryTime = w.now - mended
	run.SpentUnits = w.spentUnits
	return run
}

func (p *simulation) chance(x float64) bool { return p.rng.Float64() < x }

func (p *simulation) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(p.rng.Float64()*float64(hi-lo))
}

// step lets a little time go by and everybody do what it does.
func (p *simulation) step() {
	w := p.cluster
	w.now += p.between(time.Microsecond, cmp.Or(w.settings.MaxMoment, w.settings.LeaseDuration/20))
	w.stepDownWithoutQuorum()
	w.fillSharedBucket()
	for i, proc := range w.proxies {
		if !proc.up || p.stoppedUntil[w.settings.Servers+i] > w.now {
			continue
		}
		if p.nextRequest[i] <= w.now {
			p.nextRequest[i] = w.now + p.between(w.settings.LeaseDuration/5, w.settings.LeaseDuration/3)
			w.sendRequest(i)
		}
		if p.chance(.5) {
			w.acquire(i, 1+p.rng.IntN(4))
		}
		w.releaseWork(i, p.rng.IntN(3)-1)
	}
	lead := slices.ContainsFunc(w.servers, func(s *server) bool { return s.up && s.leader })
	for i, s := range w.servers {
		if !s.up || p.stoppedUntil[i] > w.now {
			continue
		}
		if p.chance(.002) || !lead && p.chance(.2) {
			w.electLeader(s)
		}
		w.runOperator(s)
		w.proposePlan(s)
		for j, f := range w.servers {
			if p.stoppedUntil[j] <= w.now && (p.linksHealthy || p.chance(.8)) {
				w.replicate(s, f)
			}
		}
		w.applyCommitted(s)
		for _, proc := range w.proxies {
			if r := s.requests[proc.HolderID]; r != nil && (p.linksHealthy || p.chance(.3)) {
				w.sendReply(s, r)
			}
		}
	}
	w.requests = deliver(p, w.requests, func(r *request) int { return r.from }, func(r *request) {
		s := w.servers[p.rng.IntN(len(w.servers))]
		for _, l := range w.servers {
			if l.leader && (p.linksHealthy || p.chance(.8)) {
				s = l
			}
		}
		if p.stoppedUntil[s.id] <= w.now {
			w.deliverRequest(s, r)
		}
	})
	w.replies = deliver(p, w.replies, func(r *reply) int { return r.to }, w.deliverReply)
}

// deliver brings some messages of a network to where they go, in any order; some are lost, some come again later.
func deliver[M any](p *simulation, all []M, whose func(M) int, to func(M)) []M {
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var kept []M
	for _, m := range all {
		i := whose(m)
		if p.cutOffUntil[i] > p.now {
			if p.chance(.9) {
				kept = append(kept, m)
			}
			continue
		}
		came := (p.linksHealthy || p.chance(.4)) && p.stoppedUntil[p.settings.Servers+i] <= p.now
		if came {
			to(m)
		}
		if !came && !p.chance(.02) || came && p.chance(.05) {
			kept = append(kept, m)
		}
	}
	return kept
}

// defaultFaultRates is how often each fault is drawn, in 4,000 moments.
var defaultFaultRates = map[string]int{"steward killed": 10, "steward back": 15, "older store": 10, "store lost": 3, "steward stopped": 12,
	"proxy stopped": 20, "proxy killed": 15, "proxy started": 25, "proxy cut off": 15, "stewards cut": 12, "cuts mended": 23,
	"whole changed": 6, "demand moves": 10}

// injectFault draws what goes wrong next.
func (p *simulation) injectFault() {
	at := p.rng.IntN(4000)
	mix := p.settings.FaultRates
	if mix == nil {
		mix = defaultFaultRates
	}
	for _, kind := range slices.Sorted(maps.Keys(mix)) {
		if at -= mix[kind]; at < 0 {
			p.faults[kind]++
			p.applyFault(kind)
			return
		}
	}
}

func (p *simulation) applyFault(kind string) {
	w := p.cluster
	s := w.servers[p.rng.IntN(len(w.servers))]
	i := p.rng.IntN(len(w.proxies))
	switch kind {
	case "steward killed":
		s.up, s.leader = false, false
	case "steward back":
		w.restartServer(s, len(s.log))
	case "older store":
		w.restartServer(s, p.rng.IntN(len(s.log)+1))
	case "store lost":
		w.restartServer(s, 0)
	case "steward stopped":
		p.stoppedUntil[s.id] = w.now + p.between(0, 3*w.settings.LeaseDuration)
	case "proxy stopped":
		p.stoppedUntil[w.settings.Servers+i] = w.now + p.between(0, 3*w.settings.LeaseDuration)
	case "proxy killed":
		w.stopProxy(i)
	case "proxy started":
		w.stopProxy(i)
		w.startProxy(i)
		p.nextRequest[i] = w.now
	case "proxy cut off":
		p.cutOffUntil[i] = w.now + p.between(0, 4*w.settings.LeaseDuration)
	case "stewards cut":
		w.cutLinks[[2]int{s.id, p.rng.IntN(len(w.servers))}] = true
	case "cuts mended":
		clear(w.cutLinks)
	case "whole changed":
		if !s.up || !s.leader {
			return
		}
		part := .5 + p.rng.Float64()/2
		if w.settings.Kind == quotalease.InFlight {
			part = .5
		}
		if p.chance(.5) {
			part = 1
		}
		if _, v := s.state.Config(); v == w.version {
			f := w.settings.config(w.settings.Limit*part, w.settings.Burst*part)
			w.append(s, quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: w.version + 1, Config: f}})
		}
	case "demand moves":
		for j, proc := range w.proxies {
			proc.SetDemand(quotaName, w.demandUnits*float64((i+j)%3)/2)
		}
	}
}

// repairAll ends all faults.
func (p *simulation) repairAll() {
	w := p.cluster
	p.linksHealthy = true
	clear(w.cutLinks)
	for i := range p.stoppedUntil {
		p.stoppedUntil[i] = 0
	}
	for i, proc := range w.proxies {
		p.cutOffUntil[i] = 0
		if !proc.up {
			w.startProxy(i)
		}
		proc.SetDemand(quotaName, w.demandUnits)
	}
	for _, s := range w.servers {
		if !s.up {
			w.restartServer(s, len(s.log))
		}
	}
}

func (r RandomResult) String() string {
	return fmt.Sprintf("%d moments, faults %v, spent %.0f, granted %.3f after %v, found %q",
		r.Moments, r.Faults, r.SpentUnits, r.GrantedShare, r.RecoveryTime, r.Violation)
}
