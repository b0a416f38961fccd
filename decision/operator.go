package decision

import "time"

// Detach takes a backend out by an operator's order: it gets nothing new, neither requests nor health
// checks, whatever the endpoint list says of it or whether it is in the list now. Attempts in flight run
// on.
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

// Attach ends what Detach began. The backend counts as just started unless the list says when it did since:
// it may have been restarted meanwhile, and the list may not say so yet.
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
