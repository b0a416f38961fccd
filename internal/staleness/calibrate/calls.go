package calibrate

import (
	"time"

	"lapisspread/internal/staleness"
)

const (
	// silenceBeforeCall is the silence of a watch after which a proxy closes it and calls for the complete list.
	silenceBeforeCall = 5 * time.Second
	resyncInterval    = time.Minute
	callTimeout       = 2 * time.Second
	// refusedCallTime is the time after which a call fails during an outage of the discovery service.
	refusedCallTime = 100 * time.Millisecond
	// answerContentAfter is the time from a call to the moment whose server list the answer contains.
	answerContentAfter   = 40 * time.Millisecond
	minAnswerTime        = 50 * time.Millisecond
	maxAnswerTime        = 120 * time.Millisecond
	maxReconnectDelay    = 2 * time.Second
	minRetryDelay        = time.Second
	maxRetryDelay        = 3 * time.Second
	versionCheckInterval = time.Second
	// checksBeforeCall is the number of version checks in a row that must report a later version before a proxy calls.
	checksBeforeCall = 2
)

// callNow schedules a call at the time now, unless one is scheduled earlier.
func (p *proxy) callNow(now time.Duration) {
	p.nextCall = min(now, p.nextCall)
	if p.nextCall < 0 {
		p.nextCall = now
	}
}

// stepCalls makes a proxy call for the complete list at its start, after a silence, after a lost change and at each
// resync, and simulates the version checks.
func (s *simulation) stepCalls(p *proxy, now time.Duration) error {
	if p.watching() && now < s.outageUntil { // the discovery service closes the connection
		p.nextHeartbeat = -1
		p.queue = nil
		if err := p.view.RecordFailure(now, listSource, staleness.WatchBroken); err != nil {
			return err
		}
		p.nextCall = now + uniform(p.rng, 0, maxReconnectDelay)
	}
	idle := p.nextCall < 0 && p.callFailsAt < 0
	if idle && (now-p.lastMessageAt > silenceBeforeCall || now > p.nextResync) {
		p.nextCall = now
		p.nextResync = now + resyncInterval
	}
	if p.nextCall >= 0 && now >= p.nextCall {
		p.nextCall = -1
		if s.call(p, now) {
			return nil
		}
	}
	if p.callFailsAt >= 0 && now >= p.callFailsAt {
		p.callFailsAt = -1
		p.nextCall = now + uniform(p.rng, minRetryDelay, maxRetryDelay)
		if p.lastMessageAt >= 0 {
			if err := p.view.RecordFailure(now, listSource, staleness.CallTimedOut); err != nil {
				return err
			}
		}
	}
	return s.checkVersion(p, now)
}

// call requests the complete list, and reports whether the call is going to fail.
func (s *simulation) call(p *proxy, now time.Duration) (fails bool) {
	switch {
	case now < s.outageUntil:
		p.callFailsAt = now + refusedCallTime
		return true
	case p.fault == partition:
		p.callFailsAt = now + callTimeout
		return true
	case p.fault == silentWatch: // a new connection works
		p.fault = noFault
	}
	s.sendCompleteList(p, now+answerContentAfter, now+uniform(p.rng, minAnswerTime, maxAnswerTime))
	return false
}

// checkVersion simulates a control-plane server that reports the current version to a proxy.
func (s *simulation) checkVersion(p *proxy, now time.Duration) error {
	reachable := now >= s.outageUntil && p.fault != partition
	if !s.settings.VersionChecks || now < p.nextVersionCheck || !reachable || p.lastMessageAt < 0 {
		return nil
	}
	p.nextVersionCheck = now + versionCheckInterval
	if s.version == p.version && p.firstLossAt < 0 {
		p.versionsBehind = 0
		p.contentAt = now
		p.staleAnswer = false
		return p.view.RecordConfirmation(now, listSource, "")
	}
	p.versionsBehind++
	if p.versionsBehind == checksBeforeCall && p.nextCall < 0 {
		p.nextCall = now
	}
	later := staleness.Evidence{Kind: staleness.LaterVersion, Version: s.version}
	return p.view.RecordContradiction(now, listSource, later)
}
