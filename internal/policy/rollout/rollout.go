package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Report is what a proxy reports: its requests since its last report, under one version.
type Report struct {
	Proxy string
	// Sequence rises with each report of a proxy, over its restarts too. A repeated report counts once.
	Sequence uint64
	Current  Version
	Good     int64
	Bad      int64 // requests that were rejected, failed or late
}

const (
	// initialReportInterval is taken for the time between two reports until some have arrived, unless
	// reportsPerSilence of them would not fit in Settings.SilenceTimeout.
	initialReportInterval = time.Second
	reportsPerSilence     = 5
	// reportIntervalSmoothing sets the weight of one report, one in so many, in the smoothed time between two.
	reportIntervalSmoothing = 64
)

// State is the state of a rollout.
type State uint8

// States of a rollout.
const (
	Idle       State = iota // nothing is being rolled out
	InProgress              // some proxies have the new version
	Stopped                 // proxies with the new version keep it, and no others get it, until an operator decides
	Done                    // all proxies are to have it
)

// String returns the state as operators see it.
func (s State) String() string { return [...]string{"idle", "rolling", "stopped", "done"}[s] }

// Rollout is the control plane's side of rollouts in one fleet. Its state follows from the calls alone: the same calls
// give the same state. It is for one goroutine at a time.
type Rollout struct {
	settings  Settings
	mutations mutation

	base         Version // that all had before
	next         Version // that is rolled out; zero if none
	highestEpoch uint64  // ever rolled out
	state        State
	stopReason   error
	seed         uint64 // of the draw

	step         int
	stepStart    time.Duration
	fleetSize    int     // proxies at the start of the rollout
	looksPerStep int     // in this rollout
	errorRate    float64 // of this rollout
	looksTaken   int     // in this step
	widenings    int     // how often a step was made wider

	proxies  map[string]*proxy // by name
	departed map[string]*proxy // proxies that left in this step

	// Proxies that are compared are those of the draw: without those that had got the version before it (excluded) and
	// those that joined after it (late).
	comparedCount int
	drawnCount    int      // compared proxies with the new version
	lateCount     int      // proxies that joined after the draw
	undrawn       []*proxy // compared proxies without it; some may have left or got it since
	undrawnSorted bool     // in the order of the draw
	memberUpdate  uint64   // number of the last SetMembers

	reportInterval time.Duration // between two reports of a proxy, smoothed
}

// proxy is what a rollout knows of a proxy.
type proxy struct {
	name         string
	targeted     bool // it is to have the new version
	excluded     bool // it is not compared
	late         bool // it joined after the draw
	hasLeft      bool
	drawOrder    uint64
	memberUpdate uint64        // the last SetMembers that named it
	sequence     uint64        // of its last report
	heardInStep  time.Duration // of its last report, of joining or of the step's start, whichever is latest
	lastReport   time.Duration // 0 is never
	adopted      bool          // it has reported in this step under the version that it is to have
	good, bad    int64         // requests in this step, under the version that it is to have
}

// New returns the rollout of a fleet whose proxies have a version; the zero Version is none. It fails if the settings
// are not valid.
func New(settings Settings, base Version) (*Rollout, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	return &Rollout{
		settings:       settings,
		base:           base,
		highestEpoch:   base.Epoch,
		looksPerStep:   settings.LooksPerStep,
		errorRate:      settings.ErrorRate,
		reportInterval: min(initialReportInterval, settings.SilenceTimeout/reportsPerSilence),
		proxies:        map[string]*proxy{},
		departed:       map[string]*proxy{},
	}, nil
}

// State returns the state, and for Stopped the reason: a HarmDetectedError or a NotAdoptedError.
func (r *Rollout) State() (State, error) { return r.state, r.stopReason }

// Start rolls out a version. Its epoch must be above all earlier ones, or Start fails with a StaleVersionError. Proxies
// that have a version which was stopped get this one first. Which others do is drawn from the seed.
func (r *Rollout) Start(now time.Duration, epoch uint64, hash string, seed uint64) error {
	generation := max(r.base.Generation, r.next.Generation)
	target := Version{Generation: generation, Epoch: epoch, Hash: hash}
	if epoch <= r.highestEpoch {
		highest := Version{Generation: generation, Epoch: r.highestEpoch}
		return StaleVersionError{Offered: target, Current: highest}
	}
	r.highestEpoch = epoch
	if r.state == Done {
		r.base = r.next
		r.clearTargeted()
	}
	r.next = target
	r.state = InProgress
	r.stopReason = nil
	r.seed = seed
	r.step = 0
	r.fleetSize = len(r.proxies)
	r.widenings = 0
	r.drawAnew()
	r.startStep(now)
	return nil
}

// Rollback ends the rollout, at an operator's command, and returns the fleet to the version before it under a new
// generation. It fails if there is none.
func (r *Rollout) Rollback() error {
	if r.next == (Version{}) || r.base.Hash == "" {
		return errors.New("rollout: there is no policy before")
	}
	r.base.Generation = r.next.Generation + 1
	r.next = Version{}
	r.state = Idle
	r.stopReason = nil
	r.clearTargeted()
	clear(r.departed)
	return nil
}

// clearTargeted gives all proxies the base version as their target.
func (r *Rollout) clearTargeted() {
	for _, p := range r.proxies {
		p.targeted = false
	}
}

// Target returns the version that a proxy is to have now.
func (r *Rollout) Target(name string) Version {
	if p := r.proxies[name]; p != nil {
		return r.targetOf(p)
	}
	return r.base
}

func (r *Rollout) targetOf(p *proxy) Version {
	if p.targeted && r.next != (Version{}) {
		return r.next
	}
	return r.base
}

// Report records a proxy's report. Requests under another version than the proxy is to have now do not count.
func (r *Rollout) Report(now time.Duration, report Report) {
	p := r.proxies[report.Proxy]
	if p == nil || report.Sequence <= p.sequence || report.Good < 0 || report.Bad < 0 {
		return
	}
	if p.lastReport > 0 {
		interval := min(now-p.lastReport, r.settings.SilenceTimeout)
		r.reportInterval += (interval - r.reportInterval) / reportIntervalSmoothing
	}
	p.sequence = report.Sequence
	p.heardInStep = now
	p.lastReport = now
	if r.hasStoppedVersion(p, report.Current) {
		r.countProxy(p, -1)
		p.targeted = true
		p.excluded = true
		p.late = false
		return
	}
	if report.Current == r.targetOf(p) {
		p.adopted = true
		p.good += report.Good
		p.bad += report.Bad
	}
}

// hasStoppedVersion reports whether a proxy has a version between base and next: one that was stopped under a leader
// before. Such a proxy is to be rid of it first.
func (r *Rollout) hasStoppedVersion(p *proxy, current Version) bool {
	return r.state == InProgress && !p.targeted && current != r.next &&
		current.NewerThan(r.base) && r.next.NewerThan(current)
}

// Tick advances the rollout as far as the time and the reports allow. It is to be called a few times in the time
// between two looks.
func (r *Rollout) Tick(now time.Duration) {
	if r.state != InProgress {
		return
	}
	// A fleet that most have just left, or whose members are not known yet, is not a small fleet: without this wait its
	// last proxy would complete the rollout untested.
	if len(r.proxies) == 0 || len(r.proxies) == 1 && r.fleetSize > 1 {
		return
	}
	if r.settings.Steps[r.step] == 1 || len(r.proxies) == 1 {
		r.complete()
		return
	}
	nextLook := r.settings.StepDuration * time.Duration(r.looksTaken+1) / time.Duration(r.looksPerStep)
	if now < r.stepStart+nextLook {
		return
	}
	counts := r.tallyStep(now)
	if !r.canLook(counts) {
		stalled := now-r.stepStart > stallTimeouts*r.settings.SilenceTimeout
		if stalled && r.mutations&waitForever == 0 {
			r.handleStalledStep(now, counts)
		}
		return
	}
	r.look(now, counts)
}

// complete ends the last step, in which nobody is left to compare with.
func (r *Rollout) complete() {
	r.state = Done
	for _, p := range r.proxies {
		p.targeted = true
	}
}

// look tests the figures of the step. It stops the rollout if they show harm, and starts the next step after the last
// look of this one.
func (r *Rollout) look(now time.Duration, counts tally) {
	shares := r.samples(now)
	r.looksTaken++
	if r.mutations&skipTest == 0 {
		if reason := r.detectHarm(shares, counts); reason != nil {
			r.state = Stopped
			r.stopReason = reason
			return
		}
	}
	if r.looksTaken >= r.looksPerStep {
		r.step++
		r.startStep(now)
	}
}

// detectHarm returns a HarmDetectedError if the proxies with the version do worse.
func (r *Rollout) detectHarm(shares stepSamples, counts tally) error {
	harm := HarmDetectedError{
		Epoch:         r.next.Epoch,
		Step:          r.step,
		WithPolicy:    mean(shares.all.withPolicy),
		WithoutPolicy: mean(shares.all.withoutPolicy),
	}
	if r.grosslyWorse(shares, counts.requests) {
		return harm
	}
	// A few silent proxies, which count as failed, would hide what the version does to the others. So those that report
	// are tested by themselves too. Whether any is silent does not depend on the draw, so the level may be split by it.
	level := r.significance()
	if shares.anySilent && r.mutations&skipReportingTest == 0 {
		level /= 2
		harm.PValue = r.pValue(shares.reporting, counts.requests, level)
		if harm.PValue <= level {
			harm.WithPolicy = mean(shares.reporting.withPolicy)
			harm.WithoutPolicy = mean(shares.reporting.withoutPolicy)
			return harm
		}
	}
	harm.PValue = r.pValue(shares.all, counts.requests, level)
	if harm.PValue <= level {
		return harm
	}
	return nil
}
