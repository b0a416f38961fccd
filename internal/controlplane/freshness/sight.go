package freshness

import (
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/staleness"
)

func backendID(name string) decision.BackendID { return engine.BackendID(name) }

// ServiceView is a service's look at the register that it follows.
type ServiceView struct {
	monitor       *Monitor
	effectByClass []staleness.Effect // by class
	list          atomic.Pointer[List]
}

var _ engine.Freshness = (*ServiceView)(nil)

// ForService is for a service of these classes. It looks at nothing before Follow.
func (l *Monitor) ForService(classes []decision.Class) *ServiceView {
	s := &ServiceView{monitor: l}
	for _, c := range classes {
		s.effectByClass = append(s.effectByClass, effectOf(c.Idempotency))
	}
	return s
}

func effectOf(e decision.Idempotency) staleness.Effect {
	switch e {
	case decision.Idempotent:
		return staleness.Safe
	case decision.IdempotentByKey:
		return staleness.Keyed
	}
	return staleness.Once
}

// Follow turns to the register of a name.
func (s *ServiceView) Follow(name string) {
	s.monitor.mu.Lock()
	defer s.monitor.mu.Unlock()
	s.list.Store(s.monitor.lists[name])
}

// CheckAttempt tells whether an attempt of a class may go to a server now, and gives what Ended takes. A register that is not weighed forbids
// nothing. Where a snapshot is too old or none is there yet, what must never run twice stays here.
func (s *ServiceView) CheckAttempt(to decision.BackendID, class int) (any, bool) {
	r := s.list.Load()
	if r == nil {
		return nil, true
	}
	now := r.published.Load()
	var of *endpoint
	if now != nil {
		of = now.endpoints[to]
	}
	if class < 0 || !s.monitor.config.Freshness.Enforce {
		return of, true
	}
	effect := staleness.Once
	if class < len(s.effectByClass) {
		effect = s.effectByClass[class]
	}
	var may bool
	switch {
	case now == nil || s.monitor.clock()-now.snapshot.At > maxSnapshotAge:
		s.monitor.counters.staleLookups.Add(1)
		may = effect != staleness.Once
	case of == nil: // kept while the list is in doubt, or told to leave
		may = effect != staleness.Once && now.mayBeListed
	default:
		_, may = now.snapshot.Entry(of.handle, effect)
	}
	if !may {
		s.monitor.counters.forbiddenAttempts[effect].Add(1)
	}
	return of, may
}

// AttemptEnded takes in how an attempt or a probe at a server ended. It never waits: what finds the ring full is dropped and counted.
func (s *ServiceView) AttemptEnded(seen any, result decision.Result) {
	of, _ := seen.(*endpoint)
	if of == nil || result != decision.OK && result != decision.ConnectFailed {
		return
	}
	e, now := observation{from: of, refused: result == decision.ConnectFailed}, s.monitor.clock()
	last := &of.lastObserved[0]
	if e.refused {
		last = &of.lastObserved[1]
	}
	was := last.Load()
	if was != 0 && now-time.Duration(was) < snapshotInterval || !last.CompareAndSwap(was, int64(now)) {
		return
	}
	select {
	case s.monitor.observations <- e:
	default:
		s.monitor.counters.droppedObservations.Add(1)
	}
}
