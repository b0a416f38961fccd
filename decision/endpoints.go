package decision

import (
	"cmp"
	"slices"
	"time"
)

// UpdateEndpoints reconciles the targets with the endpoint list. Targets that stay keep what was learned of
// them; one that left and is back counts as healthy until checks say otherwise.
func (b *Balancer) UpdateEndpoints(now time.Duration, update EndpointUpdate) {
	b.now = now
	if update.Kind == UpdateFailed {
		b.scheduleListRetry()
		return
	}
	b.failedListCalls = 0
	if update.Kind != UpdateDelta {
		b.removeUnlisted(update.Backends)
	}
	for _, e := range update.Backends {
		b.applyEntry(e)
	}
	b.removeDeparted()
	b.refreshTargets()
	if b.sharedLimit.ceiling == 0 { // the first list
		b.startSharedLimit()
	}
}

// removeUnlisted takes targets that a whole list does not name to have left.
func (b *Balancer) removeUnlisted(backends []Backend) {
	for _, t := range b.targets {
		if !slices.ContainsFunc(backends, func(e Backend) bool { return e.ID == t.ID }) {
			t.State = Removed
		}
	}
}

func (b *Balancer) applyEntry(e Backend) {
	t := b.targetsByID[e.ID]
	switch {
	case t == nil && e.State == Removed:
		return
	case t == nil:
		t = b.newTarget(e)
		t.nextCheck = b.now + jitter(b.random, passingCheckFactor*b.checkInterval)
		b.restoreTarget(t)
	case t.State == Removed && e.State != Removed: // it left and is back
		t.healthy = true
		t.failedChecks = 0
		t.passedChecks = 0
	}
	t.Backend = e
	b.recordStart(t, e.Started)
}

// removeDeparted drops the targets that left the list, once nothing is in flight at them.
func (b *Balancer) removeDeparted() {
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool {
		departed := t.State == Removed && len(t.inFlight) == 0 && !t.checkInFlight
		if departed {
			delete(b.targetsByID, t.ID)
		}
		return departed
	})
}

// refreshTargets sets which targets are listed and which of them are active, after either may have changed.
func (b *Balancer) refreshTargets() {
	b.rebuildListed()
	b.selectActive()
}

// rebuildListed brings the targets that are Ready and not detached into this proxy's order, each with its
// size over the mean.
func (b *Balancer) rebuildListed() {
	b.listed = b.listed[:0]
	sizes := 0.0
	for _, t := range b.targets {
		if t.State == Ready && !t.detached {
			b.listed = append(b.listed, t)
			sizes += t.Weight
		}
	}
	for _, t := range b.listed {
		if t.relativeSize = 1; b.config.Weights == WeightNominal && t.Weight > 0 {
			t.relativeSize = t.Weight * float64(len(b.listed)) / sizes
		}
	}
	slices.SortFunc(b.listed, func(x, y *target) int { return cmp.Compare(x.hashOrder, y.hashOrder) })
}

// startSharedLimit begins the limit for all backends with this proxy's part of them, or with what a
// predecessor had learned.
func (b *Balancer) startSharedLimit() {
	unit := float64(max(1, len(b.listed))) / float64(b.config.Instances)
	b.sharedLimit = newConcurrencyLimit(unit, sharedLimitBackoff, averagingIntervals*b.checkInterval)
	b.sharedLimit.ceiling = max(b.sharedLimit.ceiling, b.restoredSharedLimit())
}

// CountBackends counts the backends in the list, and those of them that are excluded by order or for their
// health.
func (b *Balancer) CountBackends() (known, excluded int) {
	for _, t := range b.targets {
		if t.State == Removed {
			continue
		}
		known++
		if t.detached || t.State == Ready && !t.healthy {
			excluded++
		}
	}
	return known, excluded
}
