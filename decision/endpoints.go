package decision

import (
	"cmp"
	"slices"
	"time"
)

// UpdateEndpoints reports an endpoint update, and reconciles the targets with it. Targets that stay in the
// list keep their state; one that was removed and is listed again counts as healthy until health checks fail.
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
		b.initSharedLimit()
	}
}

// removeUnlisted marks targets that are not in a complete list as Removed.
func (b *Balancer) removeUnlisted(backends []Backend) {
	for _, t := range b.targets {
		if !slices.ContainsFunc(backends, func(e Backend) bool { return e.ID == t.ID }) {
			t.State = Removed
		}
	}
}

// applyEntry adds or updates the target of a list entry.
func (b *Balancer) applyEntry(e Backend) {
	t := b.targetsByID[e.ID]
	switch {
	case t == nil && e.State == Removed:
		return
	case t == nil:
		t = b.newTarget(e)
		t.nextCheck = b.now + jitter(b.random, passingCheckFactor*b.checkInterval)
		b.restoreTarget(t)
	case t.State == Removed && e.State != Removed: // it was removed and is listed again
		t.healthy = true
		t.failedChecks = 0
		t.passedChecks = 0
	}
	t.Backend = e
	b.recordStart(t, e.Started)
}

// removeDeparted deletes the Removed targets without attempts and health checks in flight.
func (b *Balancer) removeDeparted() {
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool {
		departed := t.State == Removed && len(t.inFlight) == 0 && !t.checkInFlight
		if departed {
			delete(b.targetsByID, t.ID)
		}
		return departed
	})
}

// refreshTargets recomputes the listed and the active targets, after the list or the detached backends have
// changed.
func (b *Balancer) refreshTargets() {
	b.rebuildListed()
	b.selectActive()
}

// rebuildListed sets listed to the targets that are Ready and not detached, in this proxy's order, and sets
// the size of each relative to their mean.
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

// initSharedLimit sets the shared limit for all targets to its initial value, this proxy's share of the
// limits of all targets, or to the predecessor's if that is higher.
func (b *Balancer) initSharedLimit() {
	requestShare := float64(max(1, len(b.listed))) / float64(b.config.Instances)
	b.sharedLimit = newConcurrencyLimit(requestShare, sharedLimitBackoff, averagingIntervals*b.checkInterval)
	b.sharedLimit.ceiling = max(b.sharedLimit.ceiling, b.restoredSharedLimit())
}

// CountBackends returns the number of backends in the endpoint list, and how many of them are excluded
// because an operator detached them or because they are unhealthy.
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
