package rollout

import "time"

// stallTimeouts is the number of Settings.SilenceTimeout after which a step without a possible look counts as stalled.
const stallTimeouts = 3

// Indexes of the two sides of a comparison.
const (
	withPolicy    = iota // proxies with the new version
	withoutPolicy        // proxies without it
)

// tally holds the counts of a step that decide whether a look is possible.
type tally struct {
	requests [2]int64 // by side: withPolicy, withoutPolicy
	proxies  [2]int   // by side

	controlPresent int // proxies without the version that have not left
	controlSilent  int // those of controlPresent that are silent
	unconfirmed    int // proxies that are to have the version, are not silent and have not reported under it
	notAdopted     int // those of unconfirmed that have reported in this step
}

// conclusive reports whether the reports allow a look. They do not while more than a quarter of the proxies without the
// version are silent, because then this server probably receives no reports, nor while more than half of the proxies
// that are to have the version have not reported under it.
func (t *tally) conclusive() bool {
	return 4*t.controlSilent <= t.controlPresent && 2*t.unconfirmed <= t.proxies[withPolicy]
}

// canLook reports whether a look is possible now. A look with few requests detects little and uses up its part of the
// error rate. Therefore each side needs Settings.MinRequests, and a step without traffic does not end.
func (r *Rollout) canLook(counts tally) bool {
	if !counts.conclusive() && r.mutations&ignoreSilentControl == 0 {
		return false
	}
	minRequests := r.settings.MinRequests
	fewRequests := counts.requests[withPolicy] < minRequests || counts.requests[withoutPolicy] < minRequests
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

// tallyTargeted counts a proxy that is to have the version in unconfirmed and notAdopted, if it applies.
func (r *Rollout) tallyTargeted(counts *tally, p *proxy, now time.Duration) {
	if p.adopted || r.isSilent(p, now) {
		return
	}
	counts.unconfirmed++
	if p.lastReport > r.stepStart {
		counts.notAdopted++
	}
}

// handleStalledStep acts on a step in which no look has been possible for a long time, because the versions that wait
// for this rollout would wait forever. If most proxies that are to have the version do not adopt it, the rollout stops.
// If they have too few requests and the others have enough, more proxies get the version, up to half. A step without
// any traffic continues to wait.
func (r *Rollout) handleStalledStep(now time.Duration, counts tally) {
	targeted := int64(counts.proxies[withPolicy])
	others := int64(counts.proxies[withoutPolicy])
	minRequests := r.settings.MinRequests
	othersHaveTraffic := counts.requests[withoutPolicy]*targeted >= minRequests*others
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
	case counts.requests[withPolicy] < minRequests && othersHaveTraffic && 2*r.drawnCount < r.comparedCount:
		r.widenings++
		r.startStep(now)
	}
}

// badShare returns a proxy's share of bad requests in the step, 0 to 1, and its number of requests. A proxy that is
// silent or has left counts as if all its requests had failed, and at least Settings.MinRequests of them. A proxy
// without requests has the share 0; callers leave it out.
func (r *Rollout) badShare(p *proxy, now time.Duration) (share float64, requests int64) {
	requests = p.good + p.bad
	if r.isSilent(p, now) && r.mutations&ignoreSilent == 0 {
		return 1, max(requests, r.settings.MinRequests)
	}
	return float64(p.bad) / float64(max(1, requests)), requests
}

// isSilent reports whether a proxy has left or has not reported for too long. The limit is Settings.SilenceTimeout. In
// a step that is shorter it is 4/5 of the step, but at least two report intervals: missing two reports is enough.
func (r *Rollout) isSilent(p *proxy, now time.Duration) bool {
	shortStepTimeout := max(r.settings.StepDuration*4/5, 2*r.reportInterval)
	return p.hasLeft || now-p.silentSince > min(r.settings.SilenceTimeout, shortStepTimeout)
}

// forEachCompared calls visit for each compared proxy, including those that left in this step. The order is random.
func (r *Rollout) forEachCompared(visit func(*proxy)) {
	for _, proxies := range []map[string]*proxy{r.proxies, r.departed} {
		for _, p := range proxies {
			if !p.excluded {
				visit(p)
			}
		}
	}
}
