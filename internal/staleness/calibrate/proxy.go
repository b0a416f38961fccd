package calibrate

import (
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/staleness"
)

// fault is what is wrong between a proxy and the discovery service.
type fault int

const (
	noFault     fault = iota
	silentWatch       // the watch's connection lives and nothing arrives; calls are answered
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
	// catchUpTransit is the time that the list takes with which a stale discovery service catches up.
	catchUpTransit = 50 * time.Millisecond
)

const (
	suspensionRate = 1. / 120 // per second
	minSuspension  = 2 * time.Second
	restartRate    = 1. / 240
	minRestart     = time.Second
	maxPause       = 20 * time.Second
	// backlogSpacing is the time between two queued messages after a suspension.
	backlogSpacing = 50 * time.Millisecond
	// lostAgeChance is how often a restarted proxy does not know the age of its list.
	lostAgeChance = .1
	// busyDiscoveryChance is how often the discovery service is busy after a restart.
	busyDiscoveryChance = .4
	maxFirstCallDelay   = 250 * time.Millisecond
	minBusyDelay        = time.Second
	maxBusyDelay        = 15 * time.Second
)

const (
	attemptRate = 12.0 // per second
	// falseRefusalChance is how often a server refuses though it is as listed.
	falseRefusalChance = .005
	// silentHeartbeats is the number of heartbeat intervals after which a watch counts as silent.
	silentHeartbeats = 1.5
	// meanChangeRate is the servers' true mean change rate, per second.
	meanChangeRate = .005
)

// proxy is a simulated proxy with the view under test. Negative times stand for never.
type proxy struct {
	view *staleness.View
	rng  *rand.Rand

	incarnations []uint64 // by server, as the proxy knows them
	version      uint64
	contentAt    time.Duration // latest moment whose truth was received
	staleAnswer  bool          // the last message came from a discovery service that answers with an old list
	firstLossAt  time.Duration // the first change that was lost and not made good

	queue         []message
	lastArrival   time.Duration // of the last message in the queue
	heardAt       time.Duration
	nextHeartbeat time.Duration // negative if there is no watch

	fault      fault
	faultUntil time.Duration
	staleList  listSnapshot // for the fault of that name

	pausedUntil   time.Duration
	pausedAt      time.Duration
	restarting    bool          // the pause is a restart, not a suspension
	savedAt       time.Duration // the moment to which the saved list goes back, at most
	savedAgeKnown bool

	nextCall         time.Duration // negative if none is planned
	callFailsAt      time.Duration // negative if no call is going to fail
	nextResync       time.Duration
	nextVersionCheck time.Duration
	versionsBehind   int // version checks in a row that knew a later version
}

func newProxy(settings Settings, stream uint64, servers int) (*proxy, error) {
	view, err := staleness.New(settings.View)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		view:         view,
		rng:          rand.New(rand.NewPCG(settings.Seed, stream)),
		incarnations: make([]uint64, servers),
		firstLossAt:  -1,
		heardAt:      -1,
		pausedUntil:  -1,
		callFailsAt:  -1,
	}
	p.nextResync = uniform(p.rng, 0, resyncInterval)
	return p, nil
}

func (p *proxy) watching() bool { return p.nextHeartbeat >= 0 }

// stepProxy plays one step of a proxy and of its connection.
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
	if p.heardAt < 0 {
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

// stepFault ends a fault whose time is over, and may begin another one.
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

// pause may suspend or stop the process, and tells whether it did.
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

// resume ends a pause: the process goes on, or its successor starts.
func (p *proxy) resume(now time.Duration) {
	if p.restarting {
		p.restart(now)
	} else {
		p.wake(now)
	}
	p.heardAt = now
	p.pausedUntil = -1
}

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

// wake delivers what was queued during a suspension back to back.
func (p *proxy) wake(now time.Duration) {
	p.view.RecordSuspension(now, now-p.pausedAt)
	p.lastArrival = max(p.lastArrival, now)
	for i := range p.queue {
		m := &p.queue[i]
		m.arrivesAt = max(m.arrivesAt, now+time.Duration(i+1)*backlogSpacing)
		p.lastArrival = max(p.lastArrival, m.arrivesAt)
	}
}

// attempt sends a request to a random server that the proxy lists.
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
		baseline:  math.Exp(-meanChangeRate * max(0, now-p.heardAt).Seconds()),
		unchanged: unchanged,
		silent:    float64(now-p.heardAt) > silentHeartbeats*float64(heartbeatInterval) && p.watching(),
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

// checkAge compares the bound of the age with the age of information, which is the time since the proxy's list as a
// whole was known to be current, and with the age of the first change that the proxy misses.
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
		information: now - contentAt,
		missed:      missed,
		bound:       bound,
		sinceHeard:  now - p.heardAt,
		staleAnswer: p.staleAnswer,
	})
}
