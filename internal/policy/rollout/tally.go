package rollout

import "time"

// stallTimeouts is for how many silence timeouts a step may stay without a look before it counts as stalled.
const stallTimeouts = 3

// Sides of a comparison, as indices.
const (
	withPolicy = iota
	withoutPolicy
)

// tally is what is known of a step before a look.
type tally struct {
	requests [2]int64 // by side
	proxies  [2]int   // by side

	controlPresent int // proxies without the version that have not left
	controlSilent  int // of them, silent ones
	unconfirmed    int // proxies with the version that are not silent and have not reported under it
	notAdopted     int // of them, those that have reported in this step
}

// conclusive reports whether a step can be looked at. It cannot while more than a quarter of the proxies without the
// version are silent, because then it is this server that hears nothing, nor while most proxies with the version have
// not reported under it.
func (t *tally) conclusive() bool {
	return 4*t.controlSilent <= t.controlPresent && 2*t.unconfirmed <= t.proxies[withPolicy]
}

// canLook reports whether the step can be looked at now. A look with few requests tells little and costs its part of
// the error rate, so a step without traffic does not end.
func (r *Rollout) canLook(counts tally) bool {
	if !counts.conclusive() && r.mutations&ignoreSilentControl == 0 {
		return false
	}
	enough := r.settings.MinRequests
	fewRequests := counts.requests[withPolicy] < enough || counts.requests[withoutPolicy] < enough
	return !fewRequests || r.mutations&skipMinRequests != 0
}

// tallyStep counts the compared proxies of the step.
func (r *Rollout) tallyStep(now time.Duration) tally {
	var counts tally
	r.forEachCompared(func(p *proxy) {
		side := withoutPolicy
		if p.targeted {
			side = withPolicy
			r.tallyTargeted(&counts, p, now)
		} else if !p.hasLeft {
			counts.controlPresent++
			if r.isSilent(p, now) {
				counts.controlSilent++
			}
		}
		_, requests := r.badShare(p, now)
		counts.requests[side] += requests
		counts.proxies[side]++
	})
	return counts
}

func (r *Rollout) tallyTargeted(counts *tally, p *proxy, now time.Duration) {
	if p.adopted || r.isSilent(p, now) {
		return
	}
	counts.unconfirmed++
	if p.lastReport > r.stepStart {
		counts.notAdopted++
	}
}

// handleStalledStep ends a step that could not be looked at for long: what waits behind it would wait for ever. If
// most proxies with the version do not adopt it, the rollout stops. If they have too few requests, more proxies get
// it, up to half. A step without any traffic goes on waiting.
func (r *Rollout) handleStalledStep(now time.Duration, counts tally) {
	targeted := int64(counts.proxies[withPolicy])
	others := int64(counts.proxies[withoutPolicy])
	enough := r.settings.MinRequests
	othersHaveTraffic := counts.requests[withoutPolicy]*targeted >= enough*others
	switch {
	case 2*counts.notAdopted > counts.proxies[withPolicy]:
		r.state = Stopped
		r.stopReason = NotAdoptedError{
			Epoch:    r.next.Epoch,
			Step:     r.step,
			Targeted: counts.proxies[withPolicy],
			Pending:  counts.notAdopted,
			Waited:   now - r.stepStart,
		}
	case counts.requests[withPolicy] < enough && othersHaveTraffic && 2*r.drawnCount < r.comparedCount:
		r.widenings++
		r.startStep(now)
	}
}

// badShare returns a proxy's share of bad requests in the step, 0 to 1, and its number of requests. A proxy that is
// silent or gone counts as if all had failed. A proxy without requests tells nothing.
func (r *Rollout) badShare(p *proxy, now time.Duration) (share float64, requests int64) {
	requests = p.good + p.bad
	if r.isSilent(p, now) && r.mutations&ignoreSilent == 0 {
		return 1, max(requests, r.settings.MinRequests)
	}
	return float64(p.bad) / float64(max(1, requests)), requests
}

// isSilent reports whether a proxy has left or not reported for too long. In a step that is shorter than the silence
// timeout, missing two reports is enough.
func (r *Rollout) isSilent(p *proxy, now time.Duration) bool {
	timeout := max(r.settings.StepDuration*4/5, 2*r.reportInterval)
	return p.hasLeft || now-p.heardInStep > min(r.settings.SilenceTimeout, timeout)
}

// forEachCompared visits the compared proxies, including those that left in the step.
func (r *Rollout) forEachCompared(visit func(*proxy)) {
	for _, all := range []map[string]*proxy{r.proxies, r.departed} {
		for _, p := range all {
			if !p.excluded {
				visit(p)
			}
		}
	}
}
