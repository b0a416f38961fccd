package staleness

import (
	"math"
	"time"
)

// FailureKind says how a call or a watch failed.
type FailureKind int

const (
	// WatchBroken is a watch whose connection ended: nothing arrives until there is a new watch.
	WatchBroken FailureKind = iota
	// CallTimedOut is a call for the list, outside the watch, that got no answer.
	CallTimedOut
)

// EvidenceKind is a kind of evidence that contradicts a view.
type EvidenceKind int

const (
	// Refused is a listed server that refuses the connection or rejects a request as not its own. Servers that are as
	// listed sometimes do so too.
	Refused EvidenceKind = iota
	// OtherIncarnation is an answer by another process at an entry's address.
	OtherIncarnation
	// TokenRejected is a server that has seen a later fencing token than the one in the request.
	TokenRejected
	// LaterVersion is a control-plane server or peer that has a later version of the list. It contradicts the source,
	// not an entry.
	LaterVersion

	evidenceKinds = 4
)

// Evidence contradicts a view.
type Evidence struct {
	Kind    EvidenceKind
	Entry   string // empty for LaterVersion
	Version uint64 // the other party's version, for LaterVersion; 0 if unknown
}

const (
	// falseContradiction is the probability that an entry that is as listed reports another incarnation.
	falseContradiction = 1e-9
	// falseTokenRejection is the probability that an entry that is as listed rejects a token.
	falseTokenRejection = .005
	// priorFalseRefusals divided by priorConfirmations is the assumed part of false refusals among the answers of
	// servers that are as listed, before any was observed.
	priorFalseRefusals = .5
	priorConfirmations = 50
	// priorContradictions is the weight of each kind of contradiction before any was observed.
	priorContradictions = .5
	// minOdds is the minimum of trackedEntry.odds.
	minOdds = 1e-9
	// liveForTrials is the probability that a source is followed live above which attempts are used to learn how late
	// changes arrive.
	liveForTrials = .8
	// timeoutFactor multiplies the weights of the live and the stale state after a call timed out; the weight of the
	// silent state is not multiplied.
	timeoutFactor = .05
	// minSourceSurvival is the minimum factor by which a confirmation multiplies the weight of a hypothesis.
	minSourceSurvival = 1e-6
	// maxSourceHazard is the maximum cumulative hazard, per kind of entry, that confirmSource uses. The probability
	// that no entry of the kind changed is exp(-hazard).
	maxSourceHazard = 20
)

const (
	// lateUpdateFactor multiplies the weight of the live state of a source whose update has been missing for
	// half a usual gap.
	lateUpdateFactor = .01
	// minUpdateInTransit is the minimum probability that the update to a later version is in transit.
	minUpdateInTransit = .002
	// maxUpdateInTransit bounds what the change rate adds to minUpdateInTransit.
	maxUpdateInTransit = .5
	// transitSeconds is the mean transit time of an update.
	transitSeconds = .1
	// staleSourceWeight is the weight of the hypothesis that the source answers with stale data, if there is none yet.
	staleSourceWeight = .01
	// maxStaleAge is the maximum age of the content that the hypothesis with staleSourceWeight assumes.
	maxStaleAge = time.Minute
)

// RecordFailure records that a call to a source or its watch failed. The error is UnknownSourceError.
func (v *View) RecordFailure(now time.Duration, name string, kind FailureKind) error {
	s, err := v.source(name)
	if err != nil || !s.ageKnown {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if kind == WatchBroken {
		s.filter.silence(now, now)
		return nil
	}
	s.filter.update(timeoutFactor, func(_ hypothesis, silent bool) float64 {
		if silent {
			return 1
		}
		return timeoutFactor
	})
	return nil
}

// RecordContradiction updates the view with evidence against it. Evidence about an entry that is not listed is ignored.
// The error is UnknownSourceError.
func (v *View) RecordContradiction(now time.Duration, name string, evidence Evidence) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if evidence.Kind == LaterVersion {
		if s.ageKnown {
			v.recordLaterVersion(s, now, evidence.Version)
		}
		return nil
	}
	if e := v.entries[evidence.Entry]; e != nil && e.source == s {
		v.contradictEntry(e, now, evidence.Kind)
	}
	return nil
}

// contradictEntry lowers the odds of an entry. Its first contradiction also counts against its source.
func (v *View) contradictEntry(e *trackedEntry, now time.Duration, kind EvidenceKind) {
	ifUnchanged := v.contradictionIfUnchanged(kind)
	ifChanged := v.contradictionIfChanged(kind)
	if e.odds == 1 { // later contradictions of the same entry add no evidence about the source
		e.falseAlarm = applyOdds(v.confidence(e, now), ifUnchanged/ifChanged)
		e.unfollowedSurvival = v.survivalUnfollowed(e, now)
		v.contradictions[kind] += 1 - e.falseAlarm
		if kind == Refused {
			v.falseRefusals += e.falseAlarm
		}
		likelihood := func(survival float64) float64 { return ifUnchanged*survival + ifChanged*(1-survival) }
		v.observeAttempt(e, now, likelihood, 1-e.falseAlarm)
	}
	e.odds = max(minOdds, e.odds*(ifUnchanged/ifChanged))
	e.checkedAt = now
}

// contradictionIfUnchanged returns the probability of this kind of contradiction by an entry that is as listed.
func (v *View) contradictionIfUnchanged(kind EvidenceKind) float64 {
	switch kind {
	case Refused:
		return (priorFalseRefusals + max(0, v.falseRefusals)) / (priorConfirmations + v.confirmations)
	case TokenRejected:
		return falseTokenRejection
	}
	return falseContradiction
}

// contradictionIfChanged returns the probability that a changed entry causes this kind of contradiction.
func (v *View) contradictionIfChanged(kind EvidenceKind) float64 {
	total := 1 + v.contradictions[Refused] + v.contradictions[OtherIncarnation] + v.contradictions[TokenRejected]
	return (priorContradictions + v.contradictions[kind]) / total
}

// observeAttempt updates the source's filter and the change rate with the outcome of an attempt. likelihood is the
// probability of the outcome as a function of the entry's survival; changed is the probability that the entry changed.
func (v *View) observeAttempt(
	e *trackedEntry, now time.Duration, likelihood func(survival float64) float64, changed float64,
) {
	s := e.source
	if s.filter.live > liveForTrials {
		s.changedWhileLive += changed
		s.hazardWhileLive += e.kind.rate.Current()
	}
	hazard, unfollowed := 0.0, 0.0
	s.filter.update(likelihood(v.survivalLive(e, now)), func(h hypothesis, _ bool) float64 {
		survival, passed := v.survival(e, now, h.at)
		hazard += h.weight * passed
		unfollowed += h.weight
		return likelihood(survival)
	})
	if unfollowed > probablySilent {
		e.kind.rate.ObserveTrial(hazard*(1-changed/2), changed*unfollowed)
	}
}

// recordLaterVersion updates the filter after another party reported a later version: either the update is in transit,
// or the source is not followed.
func (v *View) recordLaterVersion(s *trackedSource, now time.Duration, version uint64) {
	if version != 0 && version <= s.version {
		return
	}
	s.reportedVersion = max(s.reportedVersion, version)
	live := lateUpdateFactor
	if s.supersededSince == never || now-s.supersededSince < s.gaps.Percentile90()/2 {
		changesPerSecond := 0.0
		for _, k := range s.kindOrder {
			changesPerSecond += k.rate.Current() * float64(k.entries)
		}
		live = minUpdateInTransit + min(maxUpdateInTransit, changesPerSecond*transitSeconds)
	}
	if s.supersededSince == never {
		s.supersededSince = now
	}
	if len(s.filter.stale) == 0 {
		at := max(s.currentAt, now-maxStaleAge)
		s.filter.stale = addHypothesis(s.filter.stale, at, staleSourceWeight, now)
	}
	s.filter.update(live, func(hypothesis, bool) float64 { return 1 })
}

// RecordConfirmation records that an entry answered as listed: it is the same process, and it accepted the token. An
// empty entry means the source itself: a control-plane server or peer, which follows the source on its own, has the
// same version. The error is UnknownSourceError.
func (v *View) RecordConfirmation(now time.Duration, name, entry string) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if entry == "" {
		if s.ageKnown {
			v.confirmSource(s, now)
		}
		return nil
	}
	if e := v.entries[entry]; e != nil && e.source == s {
		v.confirmEntry(e, now)
	}
	return nil
}

// confirmEntry restores the odds of an entry that answered as listed, and counts in favor of its source.
func (v *View) confirmEntry(e *trackedEntry, now time.Duration) {
	if e.odds != 1 { // the earlier contradiction was a false alarm
		v.falseRefusals += 1 - e.falseAlarm
	}
	v.confirmations++
	v.observeAttempt(e, now, func(survival float64) float64 { return survival }, 0)
	e.confirmedAt = now
	e.checkedAt = now
	e.odds = 1
}

// confirmSource records that the content is current, whether the source is followed or not.
func (v *View) confirmSource(s *trackedSource, now time.Duration) {
	s.filter.update(1, func(h hypothesis, _ bool) float64 {
		survival := 1.0
		for _, k := range s.kindOrder {
			survival *= math.Exp(-min(maxSourceHazard, k.rate.Hazard(now-h.at)*float64(k.entries)))
		}
		return max(survival, minSourceSurvival)
	})
	for _, hypotheses := range s.filter.unfollowed() {
		for i := range hypotheses {
			hypotheses[i].at = now
		}
	}
	sentAt := now - v.settings.MaxTransit
	s.currentAt = max(s.currentAt, sentAt)
	s.confirmedAt = now
	s.supersededSince = never
	s.reportedVersion = 0
	for _, e := range v.entryOrder {
		if e.source == s {
			e.confirmedAt = max(e.confirmedAt, sentAt)
		}
	}
}
