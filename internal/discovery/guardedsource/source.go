package guardedsource

import (
	"context"
	"errors"
	"sync"
	"time"

	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/engine"
)

// RetryAfterError is implemented by errors with which the discovery service requests a delay before the next call.
type RetryAfterError interface{ RetryAfter() time.Duration }

// Source is a discovery service to which a Coordinator applies its rules. Create it with Coordinator.Wrap.
type Source struct {
	engine.Source
	coordinator *Coordinator
	guard       *lockedGuard     // nil if lists are used unchanged
	pacer       *listguard.Pacer // nil if calls are made without a delay; guarded by coordinator.mu
}

var _ engine.Source = (*Source)(nil)

// WatchTimeout returns the maximum duration of the next watch. Without a pacer this is defaultTimeout.
func (s *Source) WatchTimeout(defaultTimeout time.Duration) time.Duration {
	if s.pacer == nil {
		return defaultTimeout
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	return s.pacer.WatchTimeout()
}

// Fetch waits until the pacer permits a call, polls the full list, and returns it as changed by the guard. It blocks
// until the poll has ended or ctx ends; the error is the poll's or the cause of ctx.
func (s *Source) Fetch(ctx context.Context) (engine.EndpointList, error) {
	if err := s.waitTurn(ctx); err != nil {
		return engine.EndpointList{}, err
	}
	list, err := s.Source.Fetch(ctx)
	s.recordResult(ctx, err)
	if err != nil {
		return list, err
	}
	s.coordinator.cache(s.Addr(), list)
	return s.filter(list), nil
}

// Watch waits until the pacer permits a call and then watches the discovery service, until the watch fails or ctx ends.
// It calls deliver with each list as changed by the guard, and also with a full list whenever retained endpoints
// expire.
func (s *Source) Watch(ctx context.Context, version uint32, deliver func(engine.EndpointList)) error {
	if err := s.waitTurn(ctx); err != nil {
		return err
	}
	expiryCtx, cancel := context.WithCancel(ctx)
	applied := make(chan struct{}, 1)
	var expiry sync.WaitGroup
	defer func() {
		cancel()
		expiry.Wait()
	}()
	if s.guard != nil {
		expiry.Go(func() { s.expireRetained(expiryCtx, applied, deliver) })
	}
	err := s.Source.Watch(ctx, version, func(list engine.EndpointList) {
		s.recordResult(ctx, nil)
		s.coordinator.cache(s.Addr(), list)
		if s.guard == nil {
			deliver(list)
			return
		}
		s.guard.mu.Lock()
		deliver(s.filterLocked(list))
		s.guard.mu.Unlock()
		select {
		case applied <- struct{}{}:
		default:
		}
	})
	s.recordResult(ctx, err)
	return err
}

// expireRetained delivers a full list whenever retained endpoints expire, until ctx ends. A value on applied means that
// a list was applied, which may have changed the time of the next expiry.
func (s *Source) expireRetained(ctx context.Context, applied <-chan struct{}, deliver func(engine.EndpointList)) {
	for {
		var timer <-chan time.Time
		if due, ok := s.expireOnce(deliver); ok {
			timer = time.After(max(0, due-s.coordinator.now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-applied:
		case <-timer:
		}
	}
}

// expireOnce delivers a full list if retained endpoints have expired. It returns the time of the next expiry; ok is
// false if no endpoint is retained.
func (s *Source) expireOnce(deliver func(engine.EndpointList)) (due time.Duration, ok bool) {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	if list, changed := s.guard.guard.Expire(s.coordinator.now()); changed {
		s.coordinator.log.Warn("endpoints missing from the list are given up", "left", len(list.Endpoints))
		deliver(list)
	}
	return s.guard.guard.NextExpiry()
}

// filter applies the guard to a list and returns the list to use.
func (s *Source) filter(list engine.EndpointList) engine.EndpointList {
	if s.guard == nil {
		return list
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return s.filterLocked(list)
}

// filterLocked is filter for a caller that holds s.guard.mu; s.guard must not be nil.
func (s *Source) filterLocked(list engine.EndpointList) engine.EndpointList {
	before := s.guard.guard.Stats()
	filtered := s.guard.guard.Apply(s.coordinator.now(), list)
	after := s.guard.guard.Stats()
	if after.SuspectLists != before.SuspectLists {
		s.coordinator.log.Warn("endpoint list lacks many endpoints, which are retained for a while",
			"listed", len(list.Endpoints), "retained", after.Retained-before.Retained)
	}
	return filtered
}

// waitTurn counts a call and blocks until the pacer permits it. Its error is that of ctx, if ctx ends first.
func (s *Source) waitTurn(ctx context.Context) error {
	if s.pacer == nil {
		return ctx.Err()
	}
	delay := s.coordinator.countCall(s.pacer)
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// countCall counts a call and returns how long it must wait.
func (c *Coordinator) countCall(pacer *listguard.Pacer) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Calls++
	return pacer.Wait(c.now())
}

// recordResult reports the result of a call to the pacer and the counters, unless ctx has ended.
func (s *Source) recordResult(ctx context.Context, err error) {
	if s.pacer == nil || ctx.Err() != nil {
		return
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	if err == nil {
		s.pacer.Succeeded()
		return
	}
	var requestedDelay time.Duration
	var retryAfter RetryAfterError
	if errors.As(err, &retryAfter) {
		requestedDelay = retryAfter.RetryAfter()
	}
	if requestedDelay > 0 {
		s.coordinator.stats.Deferred++
	}
	s.coordinator.stats.Failed++
	s.pacer.Failed(s.coordinator.now(), requestedDelay)
}
