package staleness

import "time"

const (
	// longGapFactor times the usual gap is the limit above which a gap counts as long: its length says little about the
	// regular interval of the source.
	longGapFactor = 3
	// silentCertainty is the probability from which a watch counts as silent.
	silentCertainty = .9
	// probablySilent is the probability from which the source is more likely silent than not.
	probablySilent = .5
	// heartbeatsToTrust is the number of regular heartbeats in a row after which their delay counts as 0: heartbeats
	// from a backlog do not arrive at regular intervals for that long.
	heartbeatsToTrust = 3
	// A heartbeat is regular if it arrives between minRegularFifths and maxRegularFifths fifths of the usual gap after
	// the previous one.
	minRegularFifths = 4
	maxRegularFifths = 6
)

// message is a message from a source.
type message struct {
	requestedAt time.Duration  // when the call that the message answers was sent; for a complete list only
	changes     map[string]int // number of changes by kind of entry
	changed     bool           // the content changed, or caught up with a later version that another party reported
	complete    bool           // the message is a complete list
	heartbeat   bool           // the message has no changes
}

// RecordHeartbeat records a heartbeat, or an answer without changes. The error is UnknownSourceError.
func (v *View) RecordHeartbeat(now time.Duration, name string) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	v.receive(s, now, message{requestedAt: now, heartbeat: true})
	return nil
}

// receive updates the state of a source with a message that arrived now.
func (v *View) receive(s *trackedSource, now time.Duration, m message) {
	v.advance(s, now)
	silentWeight := s.filter.silentWeight()
	usualHeartbeatGap := s.heartbeatGaps.Percentile90()
	if s.lastMessageAt != never {
		s.learnGap(now-s.lastMessageAt, silentWeight, m.complete)
	}
	for _, k := range s.kindOrder {
		if n := m.changes[k.name]; n > 0 {
			k.rate.Observe(0, 0, n)
		}
		if silentWeight > probablySilent {
			k.rate.resetTrials()
		}
	}
	switch {
	case m.complete:
		s.receiveCompleteList(now, m.requestedAt, usualHeartbeatGap)
	case s.drainingBacklog && now-s.lastMessageAt < usualHeartbeatGap/2:
		s.receiveBacklog(now, m.heartbeat)
	case m.heartbeat:
		s.receiveHeartbeat(now, usualHeartbeatGap)
	default: // messages keep their order, so a change is at least as recent as the message before it
		s.drainingBacklog = false
	}
	s.filter.received(m.changed)
	if s.drainingBacklog {
		s.filter.silence(s.currentAt, now)
	}
	if !s.ageKnown {
		s.filter = filter{live: 1}
	}
	s.ageKnown = true
	s.lastMessageAt = now
	s.advancedTo = now
}

// learnGap updates the learned gaps and rates with the time since the previous message. silentWeight is the
// probability that the watch was silent.
func (s *trackedSource) learnGap(gap time.Duration, silentWeight float64, complete bool) {
	if s.ageKnown {
		for _, k := range s.kindOrder {
			k.rate.Observe(gap, k.entries, 0)
		}
	}
	// A watch that sends again after a short gap was not silent. Only a new watch or a long gap counts as a silence.
	silent := 0.0
	if complete || gap > longGapFactor*s.gaps.Percentile90() {
		silent = silentWeight
	}
	if !s.drainingBacklog && !complete && silent < silentCertainty {
		s.gaps.Observe(gap)
	}
	s.silentWatches += silent
	s.watchedSeconds += gap.Seconds() * (1 - silent)
}

// receiveCompleteList processes the answer to a call, whose content was current when the call was sent or later.
func (s *trackedSource) receiveCompleteList(now, requestedAt, usualGap time.Duration) {
	s.currentAt = max(s.currentAt, requestedAt)
	s.drainingBacklog = s.drainingBacklog && requestedAt < s.resumedAt
	if now-s.heartbeatAt > 2*usualGap { // a new watch begins
		s.heartbeatAt = never
		s.heartbeatDelay = 0
	}
}

// receiveBacklog processes a message that was queued while this process was suspended. A queued heartbeat was sent at
// least one Percentile10 gap after the previous one.
func (s *trackedSource) receiveBacklog(now time.Duration, heartbeat bool) {
	if !heartbeat {
		return
	}
	s.backlogCurrentAt = min(now, s.backlogCurrentAt+s.heartbeatGaps.Percentile10())
	s.currentAt = max(s.currentAt, s.backlogCurrentAt)
}

// receiveHeartbeat estimates how late a heartbeat is. The source's content was current when the heartbeat was sent.
func (s *trackedSource) receiveHeartbeat(now, usualGap time.Duration) {
	s.drainingBacklog = false
	gap := now - s.heartbeatAt
	// The delay of the first heartbeat, and of the first one after a long gap, is unknown.
	if s.heartbeatAt == never || gap > longGapFactor*usualGap {
		s.heartbeatDelay = min(2*usualGap, now-s.currentAt)
	} else {
		s.heartbeatDelay = max(0, s.heartbeatDelay+gap-usualGap)
		s.regularHeartbeats++
		if gap < usualGap*minRegularFifths/5 || gap > usualGap*maxRegularFifths/5 {
			s.regularHeartbeats = 0
		}
		if s.regularHeartbeats >= heartbeatsToTrust {
			s.heartbeatDelay = 0
		}
		if s.heartbeatDelay == 0 || gap < usualGap*3/2 {
			s.heartbeatGaps.Observe(gap)
		}
	}
	s.currentAt = max(s.currentAt, now-s.heartbeatDelay)
	s.heartbeatAt = now
}
