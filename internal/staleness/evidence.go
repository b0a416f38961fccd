package staleness

import (
	"math"
	"time"
)

// FailureKind is how a call or a watch failed.
type FailureKind int

const (
	// WatchBroken is a watch that has ended: nothing arrives until there is a new one.
	WatchBroken FailureKind = iota
	// CallTimedOut is a call beside the watch that got no answer.
	CallTimedOut
)

// EvidenceKind is what contradicts a view.
type EvidenceKind int

const (
	// Refused is a listed server that refuses the connection or rejects a request as not its own. Servers that are as
	// believed sometimes do so too.
	Refused EvidenceKind = iota
	// OtherIncarnation is another process at an entry's address.
	OtherIncarnation
	// TokenRejected is a server that knows a later fencing token than the one that was sent.
	TokenRejected
	// LaterVersion is a control-plane server or peer that knows a later version. It contradicts the source, not an
	// entry.
	LaterVersion

	evidenceKinds = 4
)

// Evidence contradicts a view.
type Evidence struct {
	Kind    EvidenceKind
	Entry   string // empty for LaterVersion
	Version uint64 // that the other party knows, for LaterVersion; 0 if it did not say
}

const (
	// falseContradiction is the probability that an entry that is as listed shows another incarnation.
	falseContradiction = 1e-9
	// falseTokenRejection is the probability that an entry that is as listed rejects a token.
	falseTokenRejection = .005
	// priorFalseRefusals of priorConfirmations is the part of answers that are false refusals before any was observed.
	priorFalseRefusals = .5
	priorConfirmations = 50
	// priorContradictions is the weight of each kind of contradiction before any was observed.
	priorContradictions = .5
	// minOdds is the least factor of an entry's odds.
	minOdds = 1e-9
	// liveForTrials is the probability of a live source from which attempts show how late changes arrive.
	liveForTrials = .8
	// timeoutFactor weighs a live or stale source after a call timed out; a silent one stays as likely.
	timeoutFactor = .05
	// minSourceSurvival bounds what a confirmation can take from a hypothesis.
	minSourceSurvival = 1e-6
	// maxSourceHazard bounds the exponent of a source's survival.
	maxSourceHazard = 20
)

const (
	// lateUpdateFactor weighs a live source whose update has been missing for half a usual gap.
	lateUpdateFactor = .01
	// minUpdateInTransit is the least probability that a later version is an update on its way.
	minUpdateInTransit = .002
	// maxUpdateInTransit bounds what the change rate adds to it.
	maxUpdateInTransit = .5
	// transitSeconds is the mean time that an update is on its way.
	transitSeconds = .1
	// staleSourceWeight is the weight of the hypothesis that the source answers with stale data, if there is none yet.
	staleSourceWeight = .01
	// maxStaleAge bounds the age of that hypothesis.
	maxStaleAge = time.Minute
)

// RecordFailure notes a call or a watch that failed. The error is UnknownSourceError.
func (v *View) RecordFailure(now time.Duration, name string, how FailureKind) error {
	s, err := v.source(name)
	if err != nil || !s.ageKnown {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if how == WatchBroken {
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

// RecordContradiction weighs evidence against the view. Evidence about an entry that is not listed is ignored. The
// error is UnknownSourceError.
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
	if e.odds == 1 { // further contradictions of an entry repeat the first: they show nothing new about the source
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

// contradictionIfUnchanged is the probability of a contradiction by an entry that is as listed.
func (v *View) contradictionIfUnchanged(kind EvidenceKind) float64 {
	switch kind {
	case Refused:
		return (priorFalseRefusals + max(0, v.falseRefusals)) / (priorConfirmations + v.confirmations)
	case TokenRejected:
		return falseTokenRejection
	}
	return falseContradiction
}

// contradictionIfChanged is the probability that a changed entry shows itself by this kind of contradiction.
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
		s.wrongWhileLive += changed
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

// recordLaterVersion weighs that another party knows a later version: an update is on its way, or the source is not
// followed.
func (v *View) recordLaterVersion(s *trackedSource, now time.Duration, version uint64) {
	if version != 0 && version <= s.version {
		return
	}
	s.knownVersion = max(s.knownVersion, version)
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

// RecordConfirmation notes that an entry answered as listed: the same process, which accepted the token. With an
// empty entry, a control-plane server or peer that knows the source by another way holds the same version. The error
// is UnknownSourceError.
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

// confirmSource notes that the content is current, whether the source is followed or not.
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
	s.knownVersion = 0
	for _, e := range v.entryOrder {
		if e.source == s {
			e.confirmedAt = max(e.confirmedAt, sentAt)
		}
	}
}
