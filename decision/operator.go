package decision

import "time"

// Detach reports that an operator detached a backend. It gets no new requests or health checks, whatever its
// state in the endpoint list, also if it is not listed yet. Attempts in flight continue.
func (b *Balancer) Detach(now time.Duration, id BackendID) {
	b.now = now
	if _, detached := b.detached[id]; detached {
		return
	}
	b.detached[id] = now
	if t := b.targetsByID[id]; t != nil {
		t.detached = true
		b.refreshTargets()
		b.host.ReleaseIdleConnections(id)
	}
}

// Attach reports that an operator attached a detached backend again. The backend counts as just started,
// since it may have been restarted without the endpoint list showing it yet. If the list already shows a
// start after Detach, that start counts.
func (b *Balancer) Attach(now time.Duration, id BackendID) {
	b.now = now
	since, detached := b.detached[id]
	if !detached {
		return
	}
	delete(b.detached, id)
	if t := b.targetsByID[id]; t != nil {
		t.detached = false
		t.nextCheck = now
		if t.Started <= since {
			b.recordStart(t, now)
		}
		b.refreshTargets()
		b.dispatch()
	}
}
