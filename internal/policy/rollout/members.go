package rollout

import "time"

// SetMembers sets the proxies of the fleet: it has the effect of Join for new names and of Leave for missing ones. Its
// cost is linear in the size of the fleet. Now is the time on the caller's clock.
func (r *Rollout) SetMembers(now time.Duration, names []string) {
	r.memberUpdate++
	for _, name := range names {
		r.join(now, name).memberUpdate = r.memberUpdate
	}
	if len(r.proxies) > len(names) {
		for name, p := range r.proxies {
			if p.memberUpdate != r.memberUpdate {
				r.leave(name)
			}
		}
	}
	r.membersChanged(now)
}

// Join adds a proxy. During a rollout its target is the base version until a step includes it.
func (r *Rollout) Join(now time.Duration, name string) {
	r.join(now, name)
	r.membersChanged(now)
}

// Leave removes a proxy. During a step a proxy that leaves counts as failed.
func (r *Rollout) Leave(now time.Duration, name string) {
	r.leave(name)
	r.membersChanged(now)
}

// join adds a proxy and returns it, without adjusting the step. A proxy that left in this step gets its state back.
func (r *Rollout) join(now time.Duration, name string) *proxy {
	if p := r.proxies[name]; p != nil {
		return p
	}
	p := r.departed[name]
	if p == nil {
		// A proxy that joins after the draw could not be drawn, and differs from the others, for example while it
		// warms up. If it were compared, that difference would be attributed to the version.
		late := r.state == InProgress && r.mutations&compareLate == 0
		targeted := r.state == Done && r.next != Version{}
		p = &proxy{name: name, targeted: targeted, excluded: late, late: late}
	}
	p.silentSince = now
	p.hasLeft = false
	p.drawOrder = r.drawOrderOf(name)
	delete(r.departed, name)
	r.proxies[name] = p
	r.countProxy(p, 1)
	return p
}

// leave removes a proxy without adjusting the step. During a rollout it is kept in departed.
func (r *Rollout) leave(name string) {
	p := r.proxies[name]
	if p == nil {
		return
	}
	if r.state == InProgress {
		r.departed[name] = p
	}
	p.hasLeft = true
	delete(r.proxies, name)
	r.countProxy(p, -1)
}

// countProxy adds a proxy to the counts of the draw if delta is 1, and removes it from them if delta is -1.
func (r *Rollout) countProxy(p *proxy, delta int) {
	switch {
	case p.late:
		r.lateCount += delta
	case p.excluded:
	case p.targeted:
		r.comparedCount += delta
		r.drawnCount += delta
	default:
		r.comparedCount += delta
		if delta > 0 {
			r.undrawn = append(r.undrawn, p)
			r.undrawnSorted = false
		}
	}
}

// membersChanged adjusts the step after proxies have joined or left. If more than half of the fleet joined after the
// draw, too few proxies are left to compare: the draw is repeated and the step starts again.
func (r *Rollout) membersChanged(now time.Duration) {
	if r.state != InProgress {
		return
	}
	if r.lateCount > r.comparedCount {
		r.redraw()
		r.startStep(now)
		return
	}
	r.expandStep()
}
