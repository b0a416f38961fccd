package modelcheck

import (
	"fmt"

	"lapisspread/internal/quotalease"
)

// Fault is a kind of fault that a random run injects. Runs draw the faults in the order of the constants, so a
// different order changes the runs of all seeds.
type Fault int

// The kinds of events that a random run injects. LinksRepaired ends the ServersCutOff faults.
const (
	LinksRepaired      Fault = iota
	DemandShifted            // the demands of all proxies change
	OlderStoreRestored       // a server restarts with an older copy of its store
	ProxyCutOff              // a proxy cannot reach any server
	ProxyKilled
	ProxyReplaced // a new process starts under the name of a stopped one
	ProxyPaused
	ServerRestarted
	ServerKilled
	ServerPaused
	ServersCutOff // two servers cannot reach each other
	StoreLost     // a server restarts with an empty store
	LimitChanged  // an operator changes the limit

	faultCount int = iota
)

var faultNames = [faultCount]string{
	LinksRepaired: "links repaired", DemandShifted: "demand shifted", OlderStoreRestored: "older store restored",
	ProxyCutOff: "proxy cut off", ProxyKilled: "proxy killed", ProxyReplaced: "proxy replaced",
	ProxyPaused: "proxy paused", ServerRestarted: "server restarted", ServerKilled: "server killed",
	ServerPaused: "server paused", ServersCutOff: "servers cut off", StoreLost: "store lost",
	LimitChanged: "limit changed",
}

// String returns a short description of the fault.
func (f Fault) String() string {
	if f < 0 || int(f) >= faultCount {
		return fmt.Sprintf("fault %d", int(f))
	}
	return faultNames[f]
}

// faultRateSteps is the number of steps for which fault rates are given: a fault with rate 10 happens on average 10
// times in faultRateSteps steps.
const faultRateSteps = 4000

// defaultFaultRates are the average numbers of each fault in faultRateSteps steps.
var defaultFaultRates = map[Fault]int{
	ServerKilled: 10, ServerRestarted: 15, OlderStoreRestored: 10, StoreLost: 3, ServerPaused: 12, ProxyPaused: 20,
	ProxyKilled: 15, ProxyReplaced: 25, ProxyCutOff: 15, ServersCutOff: 12, LinksRepaired: 23, LimitChanged: 6,
	DemandShifted: 10,
}

// Maximum durations of pauses and of proxy cut-offs, in lease durations.
const (
	maxPauseLeases  = 3
	maxCutOffLeases = 4
)

// injectFault draws whether a fault happens in this step, and which one.
func (r *randomRun) injectFault() {
	rates := r.settings.FaultRates
	if rates == nil {
		rates = defaultFaultRates
	}
	draw := r.rng.IntN(faultRateSteps)
	for fault := range Fault(faultCount) {
		draw -= rates[fault]
		if draw < 0 {
			r.faults[fault]++
			r.applyFault(fault)
			return
		}
	}
}

// applyFault applies a fault to a random server or proxy.
func (r *randomRun) applyFault(fault Fault) {
	s := r.servers[r.rng.IntN(len(r.servers))]
	i := r.rng.IntN(len(r.proxies))
	lease := r.settings.LeaseDuration
	switch fault {
	case ServerKilled:
		s.running = false
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

// changeLimit has an operator set the limit, if the server is a leader that has applied the newest configuration. The
// new limit is the one of the settings or a fraction of it.
func (r *randomRun) changeLimit(s *server) {
	if !s.running || !s.leader {
		return
	}
	part := .5 + r.rng.Float64()/2 // the new limit as a fraction of the one in the settings
	if r.settings.Kind == quotalease.InFlight {
		part = .5 // units in flight must be whole numbers
	}
	if r.chance(.5) {
		part = 1
	}
	if _, version := s.state.Config(); version == r.version {
		r.append(s, r.settings.setQuotas(r.version+1, r.settings.Limit*part, r.settings.Burst*part))
	}
}

// repairAll ends all faults: it reconnects everything, and starts the proxies and servers that are down.
func (r *randomRun) repairAll() {
	r.repaired = true
	clear(r.cutLinks)
	clear(r.serverPausedUntil)
	clear(r.proxyPausedUntil)
	clear(r.cutOffUntil)
	for i, p := range r.proxies {
		if !p.running {
			r.startProxy(i)
		}
		p.SetDemand(quotaName, r.demandUnits)
	}
	for _, s := range r.servers {
		if !s.running {
			r.restartServer(s, len(s.log))
		}
	}
}
