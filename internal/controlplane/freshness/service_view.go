package freshness

import (
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/staleness"
)

// ServiceView is one service's view of the endpoint list that it follows. It implements engine.Freshness.
type ServiceView struct {
	monitor       *Monitor
	effectByClass []staleness.Idempotency
	list          atomic.Pointer[List]
}

var _ engine.Freshness = (*ServiceView)(nil)

// ForService returns a view for a service with these request classes. It has no list before Follow.
func (m *Monitor) ForService(classes []decision.Class) *ServiceView {
	v := &ServiceView{monitor: m}
	for _, class := range classes {
		v.effectByClass = append(v.effectByClass, effectOf(class.Idempotency))
	}
	return v
}

func effectOf(idempotency decision.Idempotency) staleness.Idempotency {
	switch idempotency {
	case decision.Idempotent:
		return staleness.Idempotent
	case decision.IdempotentByKey:
		return staleness.IdempotentByKey
	}
	return staleness.NotIdempotent
}

// Follow switches to the list of a name. A name without a list leaves the view without one.
func (v *ServiceView) Follow(name string) {
	v.monitor.mu.Lock()
	defer v.monitor.mu.Unlock()
	v.list.Store(v.monitor.lists[name])
}

// CheckAttempt reports whether an attempt of a class may go to a backend now. It returns a token for AttemptEnded. A
// negative class is that of a health check, which is always allowed. Without a list everything is allowed. Without
// a snapshot that is new enough, attempts that must not run twice are refused.
func (v *ServiceView) CheckAttempt(backend decision.BackendID, class int) (any, bool) {
	list := v.list.Load()
	if list == nil {
		return nil, true
	}
	state := list.published.Load()
	var listed *endpoint
	if state != nil {
		listed = state.endpoints[backend]
	}
	if class < 0 || !v.monitor.config.Freshness.Enforce {
		return listed, true
	}
	effect := staleness.NotIdempotent
	if class < len(v.effectByClass) {
		effect = v.effectByClass[class]
	}
	allowed := v.allowed(state, listed, effect)
	if !allowed {
		v.monitor.counters.forbiddenAttempts[effect].Add(1)
	}
	return listed, allowed
}

func (v *ServiceView) allowed(state *publishedState, listed *endpoint, effect staleness.Idempotency) bool {
	if state == nil || v.monitor.clock()-state.snapshot.At > maxSnapshotAge {
		v.monitor.counters.staleLookups.Add(1)
		return effect != staleness.NotIdempotent
	}
	if listed == nil { // retained while the list is in doubt, or draining
		return effect != staleness.NotIdempotent && state.mayBeListed
	}
	_, allowed := state.snapshot.Entry(listed.handle, effect)
	return allowed
}

// AttemptEnded records how an attempt or a health check ended. Token is that of CheckAttempt. It never blocks: if the
// worker's queue is full, the observation is dropped and counted.
func (v *ServiceView) AttemptEnded(token any, result decision.Result) {
	from, _ := token.(*endpoint)
	if from == nil || result != decision.OK && result != decision.ConnectFailed {
		return
	}
	observed := observation{from: from, refused: result == decision.ConnectFailed}
	last := &from.lastConfirmed
	if observed.refused {
		last = &from.lastRefused
	}
	now := v.monitor.clock()
	previous := last.Load()
	repeated := previous != 0 && now-time.Duration(previous) < snapshotInterval
	if repeated || !last.CompareAndSwap(previous, int64(now)) {
		return
	}
	select {
	case v.monitor.observations <- observed:
	default:
		v.monitor.counters.droppedObservations.Add(1)
	}
}
