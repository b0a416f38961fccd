package freshness

import (
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/staleness"
)

func backendID(name string) decision.BackendID { return engine.BackendID(name) }

// Sight is a service's look at the register that it follows.
type Sight struct {
	link     *Link
	effects  []staleness.Effect // by class
	register atomic.Pointer[Register]
}

var _ engine.Freshness = (*Sight)(nil)

// Sight is for a service of these classes. It looks at nothing before Follow.
func (l *Link) Sight(classes []decision.Class) *Sight {
	s := &Sight{link: l}
	for _, c := range classes {
		s.effects = append(s.effects, effectOf(c.Idempotency))
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
func (s *Sight) Follow(name string) {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.register.Store(s.link.registers[name])
}

// CheckAttempt tells whether an attempt of a class may go to a server now, and gives what Ended takes. A register that is not weighed forbids
// nothing. Where a snapshot is too old or none is there yet, what must never run twice stays here.
func (s *Sight) CheckAttempt(to decision.BackendID, class int) (any, bool) {
	r := s.register.Load()
	if r == nil {
		return nil, true
	}
	now := r.now.Load()
	var of *server
	if now != nil {
		of = now.servers[to]
	}
	if class < 0 || !s.link.set.View.Act {
		return of, true
	}
	effect := staleness.Once
	if class < len(s.effects) {
		effect = s.effects[class]
	}
	var may bool
	switch {
	case now == nil || s.link.clock()-now.snap.At > staleAfter:
		s.link.counts.stale.Add(1)
		may = effect != staleness.Once
	case of == nil: // kept while the list is in doubt, or told to leave
		may = effect != staleness.Once && now.doubt
	default:
		_, may = now.snap.Entry(of.handle, effect)
	}
	if !may {
		s.link.counts.forbidden[effect].Add(1)
	}
	return of, may
}

// AttemptEnded takes in how an attempt or a probe at a server ended. It never waits: what finds the ring full is dropped and counted.
func (s *Sight) AttemptEnded(seen any, result decision.Result) {
	of, _ := seen.(*server)
	if of == nil || result != decision.OK && result != decision.ConnectFailed {
		return
	}
	e, now := evidence{of: of, refused: result == decision.ConnectFailed}, s.link.clock()
	last := &of.told[0]
	if e.refused {
		last = &of.told[1]
	}
	was := last.Load()
	if was != 0 && now-time.Duration(was) < tick || !last.CompareAndSwap(was, int64(now)) {
		return
	}
	select {
	case s.link.ring <- e:
	default:
		s.link.counts.dropped.Add(1)
	}
}
