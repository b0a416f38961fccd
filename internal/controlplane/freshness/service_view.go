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
	monitor            *Monitor
	idempotencyByClass []staleness.Idempotency
	list               atomic.Pointer[List]
}

var _ engine.Freshness = (*ServiceView)(nil)

// ForService returns a view for a service with these request classes. It has no list before Follow.
func (m *Monitor) ForService(classes []decision.Class) *ServiceView {
	v := &ServiceView{monitor: m}
	for _, class := range classes {
		v.idempotencyByClass = append(v.idempotencyByClass, idempotencyOf(class.Idempotency))
	}
	return v
}

// idempotencyOf converts the idempotency of a request class. An unknown value counts as not idempotent.
func idempotencyOf(idempotency decision.Idempotency) staleness.Idempotency {
	switch idempotency {
	case decision.Idempotent:
		return staleness.Idempotent
	case decision.IdempotentByKey:
		return staleness.IdempotentByKey
	}
	return staleness.NotIdempotent
}

// Follow switches the view to the list with the given name. If there is none, the view has no list afterwards.
func (v *ServiceView) Follow(name string) {
	v.monitor.mu.Lock()
	defer v.monitor.mu.Unlock()
	v.list.Store(v.monitor.lists[name])
}

// CheckAttempt reports whether an attempt of a class may be sent to a backend now. It also returns a token for
// AttemptEnded. class is an index into the classes passed to ForService; a negative class means a health check, which
// is always allowed. Without a list, or unless Enforce is set, everything is allowed. Without a recent snapshot,
// attempts that must not run twice are refused.
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
	idempotency := staleness.NotIdempotent
	if class < len(v.idempotencyByClass) {
		idempotency = v.idempotencyByClass[class]
	}
	allowed := v.allowed(state, listed, idempotency)
	if !allowed {
		v.monitor.counters.forbiddenAttempts[idempotency].Add(1)
	}
	return listed, allowed
}

// allowed reports whether a published state permits an attempt. Without a state, or with a snapshot older than
// maxSnapshotAge, only attempts that may run twice are allowed. listed is nil for a backend that is not in the list.
func (v *ServiceView) allowed(state *publishedState, listed *endpoint, idempotency staleness.Idempotency) bool {
	if state == nil || v.monitor.clock()-state.snapshot.At > maxSnapshotAge {
		v.monitor.counters.staleLookups.Add(1)
		return idempotency != staleness.NotIdempotent
	}
	if listed == nil { // the backend is draining, or the engine retains it while the list is in doubt
		return idempotency != staleness.NotIdempotent && state.mayBeListed
	}
	_, allowed := state.snapshot.Entry(listed.handle, idempotency)
	return allowed
}

// AttemptEnded records the result of an attempt or a health check. token is that of CheckAttempt. Only successes and
// failed connections count, at most one of each per endpoint and snapshot interval. It never blocks: if the worker's
// queue is full, the observation is dropped and counted.
func (v *ServiceView) AttemptEnded(token any, result decision.Result) {
	target, _ := token.(*endpoint)
	if target == nil || result != decision.OK && result != decision.ConnectFailed {
		return
	}
	observed := observation{target: target, refused: result == decision.ConnectFailed}
	last := &target.lastConfirmed
	if observed.refused {
		last = &target.lastRefused
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
