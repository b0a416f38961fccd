package calibrate

import (
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/staleness"
)

// fault is a fault between a proxy and the discovery service.
type fault int

const (
	noFault     fault = iota
	silentWatch       // the watch's connection stays open and nothing arrives; calls are answered
	partition         // nothing arrives; calls time out
	staleList         // the discovery service answers with an old list
)

const (
	silentWatchRate = 1. / 150 // per second
	partitionRate   = 1. / 200
	staleListRate   = 1. / 400
	minFault        = 5 * time.Second
	maxSilentWatch  = 30 * time.Second
	maxPartition    = 60 * time.Second
	maxStaleList    = 20 * time.Second
	// catchUpTransit is the transit time of the list that a stale discovery service sends when it has caught up.
	catchUpTransit = 50 * time.Millisecond
)

const (
	suspensionRate = 1. / 120 // per second
	minSuspension  = 2 * time.Second
	restartRate    = 1. / 240
	minRestart     = time.Second
	maxPause       = 20 * time.Second // of suspensions and of restarts
	// backlogSpacing is the time between two queued messages after a suspension.
	backlogSpacing = 50 * time.Millisecond
	// lostAgeChance is the probability that a restarted proxy does not know the age of its list.
	lostAgeChance = .1
	// busyDiscoveryChance is the probability that the discovery service is busy after a proxy's restart.
	busyDiscoveryChance = .4
	maxFirstCallDelay   = 250 * time.Millisecond
	minBusyDelay        = time.Second
	maxBusyDelay        = 15 * time.Second
)

const (
	attemptRate = 12.0 // per second
	// falseRefusalChance is the probability that a server refuses a request although it is as listed.
	falseRefusalChance = .005
	// silentHeartbeats is the number of heartbeat intervals after which a watch counts as silent.
	silentHeartbeats = 1.5
	// meanChangeRate is the servers' true mean change rate, per second.
	meanChangeRate = .005
)

// proxy is a simulated proxy with the view under test. Negative times mean never.
type proxy struct {
	view *staleness.View
	rng  *rand.Rand

	incarnations []uint64 // by server, as listed at the proxy; 0 if not listed
	version      uint64
	contentAt    time.Duration // the latest moment whose true list the proxy received
	staleAnswer  bool          // the last message came from a discovery service that answers with an old list
	firstLossAt  time.Duration // when the first change was lost that no complete list has replaced; negative if none

	queue         []message
	lastArrival   time.Duration // of the last message in the queue
	lastMessageAt time.Duration
	nextHeartbeat time.Duration // negative if there is no watch

	fault      fault
	faultUntil time.Duration
	staleList  listSnapshot // the old list during a fault staleList

	pausedUntil   time.Duration
	pausedAt      time.Duration
	restarting    bool          // the pause is a restart, not a suspension
	savedAt       time.Duration // the saved list was current at this moment or later
	savedAgeKnown bool

	nextCall         time.Duration // negative if none is scheduled
	callFailsAt      time.Duration // negative if no call is going to fail
	nextResync       time.Duration
	nextVersionCheck time.Duration
	versionsBehind   int // version checks in a row that reported a later version
}

func newProxy(settings Settings, stream uint64, servers int) (*proxy, error) {
	view, err := staleness.New(settings.View)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		view:          view,
		rng:           rand.New(rand.NewPCG(settings.Seed, stream)),
		incarnations:  make([]uint64, servers),
		firstLossAt:   -1,
		lastMessageAt: -1,
		pausedUntil:   -1,
		callFailsAt:   -1,
	}
	p.nextResync = uniform(p.rng, 0, resyncInterval)
	return p, nil
}

// watching reports whether the proxy has a watch.
func (p *proxy) watching() bool { return p.nextHeartbeat >= 0 }

// stepProxy simulates one step of a proxy and of its connection.
func (s *simulation) stepProxy(p *proxy, now time.Duration) error {
	s.stepFault(p, now)
	s.sendHeartbeat(p, now)
	if now < p.pausedUntil {
		return nil
	}
	if p.pausedUntil >= 0 {
		p.resume(now)
	}
	if p.pause(now) {
		return nil
	}
	if err := s.receive(p, now); err != nil {
		return err
	}
	if err := s.stepCalls(p, now); err != nil {
		return err
	}
	if p.lastMessageAt < 0 {
		return nil
	}
	for n := attemptRate * step.Seconds(); n > 0; n-- {
		if n >= 1 || p.rng.Float64() < n {
			if err := s.attempt(p, now); err != nil {
				return err
			}
		}
	}
	if now%ageCheckInterval == 0 {
		s.checkAge(p, now)
	}
	return nil
}

// stepFault ends a fault at its faultUntil, and then may start another fault at random.
func (s *simulation) stepFault(p *proxy, now time.Duration) {
	if now < p.faultUntil {
		return
	}
	if p.fault == staleList { // the discovery service catches up
		p.fault = noFault
		p.nextHeartbeat = max(p.nextHeartbeat, now)
		s.sendCompleteList(p, now, now+catchUpTransit)
	}
	p.fault = noFault
	switch x := p.rng.Float64() / step.Seconds(); {
	case x < silentWatchRate:
		p.fault = silentWatch
		p.faultUntil = now + uniform(p.rng, minFault, maxSilentWatch)
	case x < silentWatchRate+partitionRate:
		p.fault = partition
		p.faultUntil = now + uniform(p.rng, minFault, maxPartition)
	case x < silentWatchRate+partitionRate+staleListRate:
		p.fault = staleList
		p.faultUntil = now + uniform(p.rng, minFault, maxStaleList)
		p.staleList = listSnapshot{version: s.version, at: now, incarnations: s.incarnations()}
	}
}

// pause suspends or stops the process at random, and reports whether it did.
func (p *proxy) pause(now time.Duration) bool {
	switch x := p.rng.Float64() / step.Seconds(); {
	case x < suspensionRate:
		p.pausedUntil = now + uniform(p.rng, minSuspension, maxPause)
		p.restarting = false
	case x < suspensionRate+restartRate:
		bound, known := p.view.Age(now, listSource)
		p.savedAt = now - bound
		p.savedAgeKnown = known
		p.pausedUntil = now + uniform(p.rng, minRestart, maxPause)
		p.restarting = true
	default:
		return false
	}
	p.pausedAt = now
	return true
}

// resume ends a pause: a suspended process continues, a stopped process starts again.
func (p *proxy) resume(now time.Duration) {
	if p.restarting {
		p.restart(now)
	} else {
		p.wake(now)
	}
	p.lastMessageAt = now
	p.pausedUntil = -1
}

// restart restores the saved list, sometimes without its age, and schedules the first call of the new process.
func (p *proxy) restart(now time.Duration) {
	age := now - p.savedAt
	if lost := p.rng.Float64() < lostAgeChance; !p.savedAgeKnown || lost {
		age = -1
	}
	p.view.Restore(now, age)
	p.queue = nil
	p.nextHeartbeat = -1
	p.lastArrival = now
	p.callFailsAt = -1
	p.nextCall = now + uniform(p.rng, 0, maxFirstCallDelay)
	if p.rng.Float64() < busyDiscoveryChance {
		p.nextCall += uniform(p.rng, minBusyDelay, maxBusyDelay)
	}
}

// wake ends a suspension: messages that were queued during it arrive at intervals of backlogSpacing.
func (p *proxy) wake(now time.Duration) {
	p.view.RecordSuspension(now, now-p.pausedAt)
	p.lastArrival = max(p.lastArrival, now)
	for i := range p.queue {
		m := &p.queue[i]
		m.arrivesAt = max(m.arrivesAt, now+time.Duration(i+1)*backlogSpacing)
		p.lastArrival = max(p.lastArrival, m.arrivesAt)
	}
}

// attempt sends a request to a random server, if the proxy lists it, and records the outcome.
func (s *simulation) attempt(p *proxy, now time.Duration) error {
	i := p.rng.IntN(len(p.incarnations))
	if p.incarnations[i] == 0 {
		return nil
	}
	name := s.names[i]
	incarnation := s.servers[i].incarnation
	unchanged := incarnation == p.incarnations[i]
	s.result.addAttempt(attemptOutcome{
		estimate:  p.view.Confidence(now, name),
		baseline:  math.Exp(-meanChangeRate * max(0, now-p.lastMessageAt).Seconds()),
		unchanged: unchanged,
		silent:    float64(now-p.lastMessageAt) > silentHeartbeats*float64(heartbeatInterval) && p.watching(),
	})
	refused := staleness.Evidence{Kind: staleness.Refused, Entry: name}
	switch {
	case unchanged && p.rng.Float64() < falseRefusalChance:
		return p.view.RecordContradiction(now, listSource, refused)
	case unchanged:
		return p.view.RecordConfirmation(now, listSource, name)
	case incarnation == 0:
		return p.view.RecordContradiction(now, listSource, refused)
	}
	other := staleness.Evidence{Kind: staleness.OtherIncarnation, Entry: name}
	return p.view.RecordContradiction(now, listSource, other)
}

// checkAge compares the view's bound of the age with the age of information, which is the time since the complete list
// of the proxy was last current, and with the age of the first change that the proxy misses.
func (s *simulation) checkAge(p *proxy, now time.Duration) {
	contentAt := p.contentAt
	missed := time.Duration(0)
	if p.version < s.version {
		missed = now - s.changedAt[p.version+1]
	}
	if p.firstLossAt >= 0 {
		contentAt = min(contentAt, p.firstLossAt)
		missed = max(missed, now-p.firstLossAt)
	}
	bound, known := p.view.Age(now, listSource)
	if !known {
		s.result.UnknownAges++
		return
	}
	s.result.addAge(ageOutcome{
		information:      now - contentAt,
		missed:           missed,
		bound:            bound,
		sinceLastMessage: now - p.lastMessageAt,
		staleAnswer:      p.staleAnswer,
	})
}
