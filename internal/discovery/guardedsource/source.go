package guardedsource

import (
	"context"
	"errors"
	"sync"
	"time"

	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/engine"
)

// RetryAfterError is an error by which discovery says after which time to call again.
type RetryAfterError interface{ RetryAfter() time.Duration }

// Source is a discovery service with the rules before it.
type Source struct {
	engine.Source
	coordinator *Coordinator
	guard       *lockedGuard     // nil believes all lists
	pacer       *listguard.Pacer // nil waits for nothing; the coordinator's lock guards it
}

var _ engine.Source = (*Source)(nil)

// WatchTimeout returns for how long a watch is to be held; usual is that without the rules.
func (s *Source) WatchTimeout(usual time.Duration) time.Duration {
	if s.pacer == nil {
		return usual
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	return s.pacer.WatchTimeout()
}

// Fetch waits for its turn, polls the full list and returns the one to believe.
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

// Watch waits for its turn and delivers the list to believe with each change, also where time alone changes it, until
// the watch fails or ctx ends.
func (s *Source) Watch(ctx context.Context, from uint32, deliver func(engine.EndpointList)) error {
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
	err := s.Source.Watch(ctx, from, func(list engine.EndpointList) {
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

// expireRetained delivers a list whenever retained endpoints expire, until ctx ends. applied wakes it when a list may
// have changed the next expiry.
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

// expireOnce delivers a list if retained endpoints have expired, and returns when the next ones do.
func (s *Source) expireOnce(deliver func(engine.EndpointList)) (due time.Duration, ok bool) {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	if list, changed := s.guard.guard.Expire(s.coordinator.now()); changed {
		s.coordinator.log.Warn("endpoints missing from the list are given up", "left", len(list.Endpoints))
		deliver(list)
	}
	return s.guard.guard.NextExpiry()
}

// filter returns the list to believe.
func (s *Source) filter(list engine.EndpointList) engine.EndpointList {
	if s.guard == nil {
		return list
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return s.filterLocked(list)
}

// filterLocked is filter with the guard's lock held.
func (s *Source) filterLocked(list engine.EndpointList) engine.EndpointList {
	before := s.guard.guard.Stats()
	believed := s.guard.guard.Apply(s.coordinator.now(), list)
	after := s.guard.guard.Stats()
	if after.SuspectLists != before.SuspectLists {
		s.coordinator.log.Warn("endpoint list lacks many endpoints, which are retained for a while",
			"listed", len(list.Endpoints), "retained", after.Retained-before.Retained)
	}
	return believed
}

// waitTurn blocks until a call may be made.
func (s *Source) waitTurn(ctx context.Context) error {
	if s.pacer == nil {
		return ctx.Err()
	}
	delay := s.coordinator.beginCall(s.pacer)
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

// beginCall counts a call and returns how long it must wait.
func (c *Coordinator) beginCall(pacer *listguard.Pacer) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Calls++
	return pacer.Wait(c.now())
}

// recordResult has the pacer take in how a call has ended, unless it was cancelled.
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
	var after time.Duration
	var retryAfter RetryAfterError
	if errors.As(err, &retryAfter) {
		after = retryAfter.RetryAfter()
	}
	if after > 0 {
		s.coordinator.stats.Deferred++
	}
	s.coordinator.stats.Failed++
	s.pacer.Failed(s.coordinator.now(), after)
}
