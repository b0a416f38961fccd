package rollout

import "time"

// SetMembers names all proxies of the fleet: it is Join for new ones and Leave for those that are missing. Its cost is
// linear in the size of the fleet.
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

// Join adds a proxy. In a rollout it has the old version until a step reaches it.
func (r *Rollout) Join(now time.Duration, name string) {
	r.join(now, name)
	r.membersChanged(now)
}

// Leave removes a proxy. In a step it counts as failed.
func (r *Rollout) Leave(now time.Duration, name string) {
	r.leave(name)
	r.membersChanged(now)
}

func (r *Rollout) join(now time.Duration, name string) *proxy {
	if p := r.proxies[name]; p != nil {
		return p
	}
	p := r.departed[name]
	if p == nil {
		// A proxy that joins after the draw had no chance in it and does not resemble the others: comparing it would
		// blame the version for the difference.
		late := r.state == InProgress && r.mutations&compareLate == 0
		targeted := r.state == Done && r.next != Version{}
		p = &proxy{name: name, targeted: targeted, excluded: late, late: late}
	}
	p.heardInStep = now
	p.hasLeft = false
	p.drawOrder = r.drawOrderOf(name)
	delete(r.departed, name)
	r.proxies[name] = p
	r.countProxy(p, 1)
	return p
}

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

// countProxy counts a proxy in (1) or out (-1).
func (r *Rollout) countProxy(p *proxy, by int) {
	switch {
	case p.late:
		r.lateCount += by
	case p.excluded:
	case p.targeted:
		r.comparedCount += by
		r.drawnCount += by
	default:
		r.comparedCount += by
		if by > 0 {
			r.undrawn = append(r.undrawn, p)
			r.undrawnSorted = false
		}
	}
}

// membersChanged adjusts the step to proxies that have joined or left. If most joined after the draw, too few are left
// to compare with: the draw is made anew and the step starts again.
func (r *Rollout) membersChanged(now time.Duration) {
	if r.state != InProgress {
		return
	}
	if r.lateCount > r.comparedCount {
		r.drawAnew()
		r.startStep(now)
		return
	}
	r.expandStep()
}
