package server

import (
	"context"
	"slices"
	"time"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

const (
	minRolloutInterval = 10 * time.Millisecond
	maxRolloutInterval = 100 * time.Millisecond
)

// rolloutInterval returns the time between two advances of the rollout: several for each look at the requests, because
// a late look delays the whole rollout.
func rolloutInterval(settings rollout.Settings) time.Duration {
	quarterLook := settings.StepDuration / time.Duration(4*settings.LooksPerStep)
	return min(maxRolloutInterval, max(minRolloutInterval, quarterLook))
}

// rolloutProgress is the state of the rollout after an advance.
type rolloutProgress struct {
	status     store.Status // at the advance
	candidate  rollout.Version
	proxies    int // that are known
	state      rollout.State
	stopReason error // if state is rollout.Stopped
}

// started reports whether the committed candidate is being rolled out.
func (p *rolloutProgress) started() bool {
	return p.candidate == p.status.Candidate && p.candidate.Epoch > 0
}

// ended reports whether the rollout of the committed candidate has just ended.
func (p *rolloutProgress) ended() bool {
	if !p.started() || p.status.Stopped != nil {
		return false
	}
	return p.state == rollout.Done || p.state == rollout.Stopped
}

// runRollouts advances the rollout while this server leads, and commits how it ends, until ctx ends.
func (s *Server) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval(s.config.Fleet.RolloutSettings()))
	defer ticker.Stop()
	var announced rollout.Version // whose start was logged
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
		if progress.candidate != announced && progress.started() {
			announced = progress.candidate
			s.config.Logger.Info("rollout started",
				"epoch", progress.candidate.Epoch, "changes", progress.status.Batch, "proxies", progress.proxies)
		}
		if progress.ended() {
			s.endRollout(ctx, current, progress)
		}
	}
}

// advanceRollout advances the rollout and logs a regression that it finds.
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

// endRollout commits how a rollout ended. If that fails, the next advance tries again.
func (s *Server) endRollout(ctx context.Context, current *replica, progress rolloutProgress) {
	verdict := store.RolloutResult{
		Generation: progress.candidate.Generation,
		Epoch:      progress.candidate.Epoch,
		Completed:  progress.state == rollout.Done,
		ProxyCount: progress.proxies,
	}
	if reason := progress.stopReason; reason != nil {
		verdict.Reason = reason.Error()
		verdict.Advice = operatorerror.AdviceOf(reason)
		s.warn("rollout stopped", reason)
	}
	if err := s.proposePolicyCommand(ctx, current, store.Command{RolloutResult: &verdict}); err != nil {
		s.warn("outcome of a rollout not committed", err)
		return
	}
	s.config.Logger.Info("rollout ended",
		"epoch", progress.candidate.Epoch, "state", progress.state.String(), "changes", progress.status.Batch)
	s.logNewFaults(progress.status.FailedChanges, current.state.policyStatus().FailedChanges)
}

// logNewFaults logs the changes that were removed from the policy because they made a rollout stop.
func (s *Server) logNewFaults(before, after []store.FailedChange) {
	for _, fault := range after {
		if slices.Contains(before, fault) {
			continue
		}
		s.config.Logger.Warn("faulty change removed; the other changes go on", "namespace", fault.Namespace,
			"number", fault.Number, "by", fault.Author, "err", fault.Reason, "advice", fault.Advice)
	}
}
