package modelcheck

import (
	"fmt"

	"lapisspread/internal/quotalease"
)

// Fault is a kind of fault that a random run injects. The order of the constants is that in which they are drawn:
// another order gives other runs of the same seeds.
type Fault int

// The faults, and what repairs them.
const (
	LinksRepaired Fault = iota
	DemandShifted
	OlderStoreRestored // a server restarts with an older copy of its store
	ProxyCutOff
	ProxyKilled
	ProxyReplaced
	ProxyPaused
	ServerRestarted
	ServerKilled
	ServerPaused
	ServersCutOff // one server from another
	StoreLost     // a server restarts with an empty store
	LimitChanged

	faultCount int = iota
)

var faultNames = [faultCount]string{
	LinksRepaired: "links repaired", DemandShifted: "demand shifted", OlderStoreRestored: "older store restored",
	ProxyCutOff: "proxy cut off", ProxyKilled: "proxy killed", ProxyReplaced: "proxy replaced",
	ProxyPaused: "proxy paused", ServerRestarted: "server restarted", ServerKilled: "server killed",
	ServerPaused: "server paused", ServersCutOff: "servers cut off", StoreLost: "store lost",
	LimitChanged: "limit changed",
}

// String returns the fault in words.
func (f Fault) String() string {
	if f < 0 || int(f) >= faultCount {
		return fmt.Sprintf("fault %d", int(f))
	}
	return faultNames[f]
}

// faultDraws is the number of moments that rates of faults are for.
const faultDraws = 4000

// defaultFaultRates are how often each fault is drawn in faultDraws moments.
var defaultFaultRates = map[Fault]int{
	ServerKilled: 10, ServerRestarted: 15, OlderStoreRestored: 10, StoreLost: 3, ServerPaused: 12, ProxyPaused: 20,
	ProxyKilled: 15, ProxyReplaced: 25, ProxyCutOff: 15, ServersCutOff: 12, LinksRepaired: 23, LimitChanged: 6,
	DemandShifted: 10,
}

// Pauses and cut-offs last up to these numbers of lease durations.
const (
	maxPauseLeases  = 3
	maxCutOffLeases = 4
)

// injectFault draws whether something goes wrong at this moment, and what.
func (r *randomRun) injectFault() {
	rates := r.settings.FaultRates
	if rates == nil {
		rates = defaultFaultRates
	}
	draw := r.rng.IntN(faultDraws)
	for fault := range Fault(faultCount) {
		draw -= rates[fault]
		if draw < 0 {
			r.faults[fault]++
			r.applyFault(fault)
			return
		}
	}
}

// applyFault applies a fault to a server and a proxy that are drawn.
func (r *randomRun) applyFault(fault Fault) {
	s := r.servers[r.rng.IntN(len(r.servers))]
	i := r.rng.IntN(len(r.proxies))
	lease := r.settings.LeaseDuration
	switch fault {
	case ServerKilled:
		s.up = false
		s.leader = false
	case ServerRestarted:
		r.restartServer(s, len(s.log))
	case OlderStoreRestored:
		r.restartServer(s, r.rng.IntN(len(s.log)+1))
	case StoreLost:
		r.restartServer(s, 0)
	case ServerPaused:
		r.serverPausedUntil[s.id] = r.now + r.between(0, maxPauseLeases*lease)
	case ProxyPaused:
		r.proxyPausedUntil[i] = r.now + r.between(0, maxPauseLeases*lease)
	case ProxyKilled:
		r.stopProxy(i)
	case ProxyReplaced:
		r.stopProxy(i)
		r.startProxy(i)
		r.nextRequest[i] = r.now
	case ProxyCutOff:
		r.cutOffUntil[i] = r.now + r.between(0, maxCutOffLeases*lease)
	case ServersCutOff:
		r.cutLinks[[2]int{s.id, r.rng.IntN(len(r.servers))}] = true
	case LinksRepaired:
		clear(r.cutLinks)
	case LimitChanged:
		r.changeLimit(s)
	case DemandShifted:
		for j, p := range r.proxies {
			p.SetDemand(quotaName, r.demandUnits*float64((i+j)%3)/2)
		}
	}
}

// changeLimit has an operator set the limit at a leader that knows the newest configuration: to the configured one, or
// to a part of it.
func (r *randomRun) changeLimit(s *server) {
	if !s.up || !s.leader {
		return
	}
	part := .5 + r.rng.Float64()/2
	if r.settings.Kind == quotalease.InFlight {
		part = .5 // units in flight are whole
	}
	if r.chance(.5) {
		part = 1
	}
	if _, version := s.state.Config(); version == r.version {
		r.append(s, r.settings.setQuotas(r.version+1, r.settings.Limit*part, r.settings.Burst*part))
	}
}

// repairAll ends all faults.
func (r *randomRun) repairAll() {
	r.repaired = true
	clear(r.cutLinks)
	clear(r.serverPausedUntil)
	clear(r.proxyPausedUntil)
	clear(r.cutOffUntil)
	for i, p := range r.proxies {
		if !p.up {
			r.startProxy(i)
		}
		p.SetDemand(quotaName, r.demandUnits)
	}
	for _, s := range r.servers {
		if !s.up {
			r.restartServer(s, len(s.log))
		}
	}
}
