package rollout

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSim plays a fleet whose proxies report once per second, each at its own moment, and adopt their target at once.
type fleetSim struct {
	rollout           *Rollout
	rng               *rand.Rand
	now               time.Duration
	proxies           []*simProxy
	extraBadShare     func(m *simProxy) float64 // in addition to badShare
	deaf              bool                      // no report arrives
	adopts            func(m *simProxy) bool    // nil means that all do
	idle              func(m *simProxy) bool    // has no requests; nil means none
	requestsPerSecond int64
}

type simProxy struct {
	name       string
	nextReport time.Duration
	current    Version
	badShare   float64
	joinedAt   time.Duration
	interval   time.Duration // between reports; 0 is 1 s
	sequence   uint64
}

func newFleetSim(t testing.TB, seed uint64, n int, mutations mutation) *fleetSim {
	t.Helper()
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "1"})
	if err != nil {
		t.Fatal(err)
	}
	r.mutations = mutations
	l := &fleetSim{rollout: r, rng: rand.New(rand.NewPCG(seed, 5)),
		extraBadShare: func(*simProxy) float64 { return 0 }, requestsPerSecond: 160}
	l.join(n)
	return l
}

func (l *fleetSim) join(n int) {
	for range n {
		m := &simProxy{
			name:       fmt.Sprint("p", len(l.proxies)),
			nextReport: l.now + time.Duration(l.rng.IntN(1000))*time.Millisecond,
			current:    l.rollout.base,
			badShare:   0.01 * l.rng.ExpFloat64(),
			joinedAt:   l.now,
		}
		l.proxies = append(l.proxies, m)
		l.rollout.Join(l.now, m.name)
	}
}

// start rolls out an epoch.
func (l *fleetSim) start(t testing.TB, epoch uint64) {
	t.Helper()
	if err := l.rollout.Start(l.now, epoch, fmt.Sprint(epoch), epoch); err != nil {
		t.Fatal(err)
	}
}

// runUntilEnd runs until the rollout ends or the time is up, and returns the state.
func (l *fleetSim) runUntilEnd(most time.Duration) State {
	for end := l.now + most; l.now < end; l.now += 100 * time.Millisecond {
		for _, m := range l.proxies {
			if m.nextReport > l.now {
				continue
			}
			m.nextReport += cmp.Or(m.interval, time.Second)
			if l.deaf {
				continue
			}
			m.sequence++
			bad := int64(0)
			for i := goodBeforeBad(
				l.rng, min(1, m.badShare+l.extraBadShare(m)),
			); i < l.requestsPerSecond; i += 1 + goodBeforeBad(l.rng, min(1, m.badShare+l.extraBadShare(m))) {
				bad++
			}
			good := l.requestsPerSecond - bad
			if l.idle != nil && l.idle(m) {
				good, bad = 0, 0
			}
			l.rollout.Report(l.now, Report{m.name, m.sequence, m.current, good, bad})
			if o := l.rollout.Target(m.name); o.NewerThan(m.current) && (l.adopts == nil || l.adopts(m)) {
				m.current = o
			}
		}
		l.rollout.Tick(l.now)
		if state, _ := l.rollout.State(); state != InProgress {
			return state
		}
	}
	return InProgress
}

func (l *fleetSim) countAtEpoch(epoch uint64) (n int) {
	for _, m := range l.proxies {
		if m.current.Epoch == epoch {
			n++
		}
	}
	return n
}
