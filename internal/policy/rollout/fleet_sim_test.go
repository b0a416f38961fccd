package rollout

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// neverReports is a time for simProxy.nextReport that is later than the end of every test: the proxy has failed.
const neverReports = time.Duration(1 << 60)

// fleetSim simulates a fleet whose proxies report once per second, each with its own offset, and adopt their target
// version as soon as they report.
type fleetSim struct {
	rollout           *Rollout
	rng               *rand.Rand
	now               time.Duration
	proxies           []*simProxy
	extraBadShare     func(p *simProxy) float64 // share of bad requests in addition to simProxy.badShare
	reportsLost       bool                      // no report reaches the leader
	canAdopt          func(p *simProxy) bool    // reports whether a proxy can adopt its target; nil means that all can
	isIdle            func(p *simProxy) bool    // reports whether a proxy has no requests; nil means that none is idle
	requestsPerReport int64
}

// simProxy is a proxy of a fleetSim.
type simProxy struct {
	name       string
	nextReport time.Duration // time of the next report
	current    Version
	badShare   float64 // share of bad requests, 0 to 1
	joinedAt   time.Duration
	interval   time.Duration // between reports; 0 means 1 s
	sequence   uint64        // of the last report
}

// newFleetSim returns a fleet of n proxies that have epoch 1, whose rollouts lack the safeguards in mutations.
func newFleetSim(t testing.TB, seed uint64, n int, mutations mutation) *fleetSim {
	t.Helper()
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "1"})
	if err != nil {
		t.Fatalf("New(DefaultSettings()) failed: %v", err)
	}
	r.mutations = mutations
	fleet := &fleetSim{rollout: r, rng: rand.New(rand.NewPCG(seed, 5)),
		extraBadShare: func(*simProxy) float64 { return 0 }, requestsPerReport: 160}
	fleet.join(n)
	return fleet
}

// join adds n proxies that have the base version of the rollout.
func (fleet *fleetSim) join(n int) {
	for range n {
		p := &simProxy{
			name:       fmt.Sprint("p", len(fleet.proxies)),
			nextReport: fleet.now + time.Duration(fleet.rng.IntN(1000))*time.Millisecond,
			current:    fleet.rollout.base,
			badShare:   0.01 * fleet.rng.ExpFloat64(),
			joinedAt:   fleet.now,
		}
		fleet.proxies = append(fleet.proxies, p)
		fleet.rollout.Join(fleet.now, p.name)
	}
}

// start starts the rollout of an epoch.
func (fleet *fleetSim) start(t testing.TB, epoch uint64) {
	t.Helper()
	if err := fleet.rollout.Start(fleet.now, epoch, fmt.Sprint(epoch), epoch); err != nil {
		t.Fatalf("Start(epoch %d) failed: %v", epoch, err)
	}
}

// runUntilEnd simulates the fleet until the rollout ends, but for at most maxDuration, and returns the state.
func (fleet *fleetSim) runUntilEnd(maxDuration time.Duration) State {
	for end := fleet.now + maxDuration; fleet.now < end; fleet.now += 100 * time.Millisecond {
		for _, p := range fleet.proxies {
			if p.nextReport > fleet.now {
				continue
			}
			p.nextReport += cmp.Or(p.interval, time.Second)
			if fleet.reportsLost {
				continue
			}
			p.sequence++
			bad := int64(0)
			badShare := min(1, p.badShare+fleet.extraBadShare(p))
			nextBad := func() int64 { return goodBeforeBad(fleet.rng, badShare) }
			for i := nextBad(); i < fleet.requestsPerReport; i += 1 + nextBad() {
				bad++
			}
			good := fleet.requestsPerReport - bad
			if fleet.isIdle != nil && fleet.isIdle(p) {
				good, bad = 0, 0
			}
			fleet.rollout.Report(fleet.now, Report{p.name, p.sequence, p.current, good, bad})
			target := fleet.rollout.Target(p.name)
			canAdopt := fleet.canAdopt == nil || fleet.canAdopt(p)
			if canAdopt && target.NewerThan(p.current) {
				p.current = target
			}
		}
		fleet.rollout.Tick(fleet.now)
		if state, _ := fleet.rollout.State(); state != InProgress {
			return state
		}
	}
	return InProgress
}

// countAtEpoch returns the number of proxies that have the epoch.
func (fleet *fleetSim) countAtEpoch(epoch uint64) (n int) {
	for _, p := range fleet.proxies {
		if p.current.Epoch == epoch {
			n++
		}
	}
	return n
}
