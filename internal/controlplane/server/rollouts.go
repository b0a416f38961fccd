package server

import (
	"context"
	"slices"
	"time"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// Bounds of the time between two advances of the rollout.
const (
	minRolloutInterval = 10 * time.Millisecond
	maxRolloutInterval = 100 * time.Millisecond
)

// rolloutInterval returns the time between two advances of the rollout. It is a quarter of the time between two looks
// (tests of the request counts in a step), within the bounds above, because a late look delays the entire rollout.
func rolloutInterval(settings rollout.Settings) time.Duration {
	quarterLookInterval := settings.StepDuration / time.Duration(4*settings.LooksPerStep)
	return min(maxRolloutInterval, max(minRolloutInterval, quarterLookInterval))
}

// rolloutProgress is the state of the rollout after an advance.
type rolloutProgress struct {
	status     store.Status // committed status at the time of the advance
	candidate  rollout.Version
	proxies    int // number of tracked proxies
	state      rollout.State
	stopReason error // set if state is rollout.Stopped
}

// started reports whether the committed candidate is being rolled out.
func (p *rolloutProgress) started() bool {
	return p.candidate == p.status.Candidate && p.candidate.Epoch > 0
}

// ended reports whether the rollout of the committed candidate has ended without a committed result yet.
func (p *rolloutProgress) ended() bool {
	if !p.started() || p.status.Stopped != nil {
		return false
	}
	return p.state == rollout.Done || p.state == rollout.Stopped
}

// runRollouts advances the rollout while this server is the leader, and commits its result, until ctx is canceled.
func (s *Server) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval(s.config.Fleet.RolloutSettings()))
	defer ticker.Stop()
	var loggedStart rollout.Version // version whose start was logged last
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current, err := s.leaderReplica()
		if err != nil {
			continue
		}
		progress := s.advanceRollout(current)
		if progress.candidate != loggedStart && progress.started() {
			loggedStart = progress.candidate
			s.config.Logger.Info("rollout started",
				"epoch", progress.candidate.Epoch, "changes", progress.status.Batch, "proxies", progress.proxies)
		}
		if progress.ended() {
			s.endRollout(ctx, current, progress)
		}
	}
}

// advanceRollout advances the rollout and logs a newly detected regression.
func (s *Server) advanceRollout(current *replica) rolloutProgress {
	now := s.clock()
	status := current.state.policyStatus()
	driver := &current.rollouts
	driver.mu.Lock()
	driver.syncWithLog(now, s.config.Fleet.RolloutSettings(), status)
	driver.advance(now)
	state, stopReason := driver.rollout.State()
	progress := rolloutProgress{
		status:     status,
		candidate:  driver.candidate,
		proxies:    len(driver.proxies),
		state:      state,
		stopReason: stopReason,
	}
	regression, found := driver.checkRegression(now)
	driver.mu.Unlock()
	if found {
		s.warn("regression after a rollout", regression)
	}
	return progress
}

// endRollout commits the result of an ended rollout. If that fails, it is called again after the next advance.
func (s *Server) endRollout(ctx context.Context, current *replica, progress rolloutProgress) {
	result := store.RolloutResult{
		Generation: progress.candidate.Generation,
		Epoch:      progress.candidate.Epoch,
		Completed:  progress.state == rollout.Done,
		ProxyCount: progress.proxies,
	}
	if reason := progress.stopReason; reason != nil {
		result.Reason = reason.Error()
		result.Advice = operatorerror.AdviceOf(reason)
		s.warn("rollout stopped", reason)
	}
	if err := s.proposePolicyCommand(ctx, current, store.Command{RolloutResult: &result}); err != nil {
		s.warn("committing the rollout result failed", err)
		return
	}
	s.config.Logger.Info("rollout ended",
		"epoch", progress.candidate.Epoch, "state", progress.state.String(), "changes", progress.status.Batch)
	s.logNewFailedChanges(progress.status.FailedChanges, current.state.policyStatus().FailedChanges)
}

// logNewFailedChanges logs the changes that were removed from the policy because they made a rollout stop. The
// arguments are all failed changes before and after the result was committed.
func (s *Server) logNewFailedChanges(before, after []store.FailedChange) {
	for _, failed := range after {
		if slices.Contains(before, failed) {
			continue
		}
		s.config.Logger.Warn("faulty change removed; the rollout of the other changes continues",
			"namespace", failed.Namespace, "number", failed.Number, "by", failed.Author,
			"err", failed.Reason, "advice", failed.Advice)
	}
}
