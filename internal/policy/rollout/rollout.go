package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Report is a proxy's report of its requests since its last report. All of them were handled under one version.
type Report struct {
	Proxy string // name
	// Sequence rises with each report of a proxy, also across its restarts. A repeated report counts once.
	Sequence uint64
	Current  Version // that handled the requests
	Good     int64   // number of all other requests
	Bad      int64   // number of requests that were rejected, failed or late
}

const (
	// initialReportInterval is the assumed time between two reports until some have arrived. It is reduced if
	// Settings.SilenceTimeout is less than reportsPerSilence such intervals.
	initialReportInterval = time.Second
	reportsPerSilence     = 5
	// reportIntervalSmoothing is the divisor that sets the weight of one report in Rollout.reportInterval: each new
	// interval has the weight 1/64.
	reportIntervalSmoothing = 64
)

// State is the state of a rollout.
type State uint8

// States of a rollout.
const (
	Idle       State = iota // no version is being rolled out
	InProgress              // some proxies have the new version
	Stopped                 // proxies with the new version keep it, and no others get it, until an operator decides
	Done                    // all proxies are to have the new version
)

// String returns the name of the state in logs and in answers to operators.
func (s State) String() string { return [...]string{"idle", "rolling", "stopped", "done"}[s] }

// Rollout decides in the control plane which version each proxy of a fleet is to have. It is deterministic: the same
// calls lead to the same state. It must be used by one goroutine at a time.
type Rollout struct {
	settings  Settings
	mutations mutation

	base         Version // that proxies have before the rollout
	next         Version // that is being or was rolled out; zero if none
	highestEpoch uint64  // highest epoch that was ever rolled out
	state        State
	stopReason   error  // set while the state is Stopped
	seed         uint64 // of the draw

	step         int // index in Settings.Steps
	stepStart    time.Duration
	fleetSize    int     // proxies at the start of the rollout
	looksPerStep int     // planned for this rollout
	errorRate    float64 // planned for this rollout
	looksTaken   int     // in this step
	widenings    int     // how often a step of this rollout was widened to more proxies

	proxies  map[string]*proxy // by name
	departed map[string]*proxy // proxies that left in this step

	// Only proxies that took part in the draw are compared: not those that had got the version before it (excluded),
	// nor those that joined after it (late).
	comparedCount int      // compared proxies
	drawnCount    int      // compared proxies with the new version
	lateCount     int      // proxies that joined after the draw
	undrawn       []*proxy // compared proxies without the new version; some may have left or got it since
	undrawnSorted bool     // undrawn is in the order of the draw
	memberUpdate  uint64   // number of SetMembers calls

	reportInterval time.Duration // between two reports of a proxy, smoothed
}

// proxy is the state of a proxy in a rollout.
type proxy struct {
	name         string
	targeted     bool // the proxy is to have the new version
	excluded     bool // the proxy is not compared
	late         bool // the proxy joined after the draw
	hasLeft      bool
	drawOrder    uint64        // sort key in the draw
	memberUpdate uint64        // number of the last SetMembers call that included the proxy
	sequence     uint64        // of the last report
	silentSince  time.Duration // time of the last report, of joining or of the start of the step, whichever is latest
	lastReport   time.Duration // time of the last report; 0 means none
	adopted      bool          // the proxy has reported in this step under its target version
	good, bad    int64         // requests in this step under the target version
}

// New returns an idle Rollout of a fleet whose proxies have the version base; the zero Version means none. It returns
// an error if the settings are not valid.
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

// State returns the state. If it is Stopped, the error is the reason: a HarmDetectedError or a NotAdoptedError.
func (r *Rollout) State() (State, error) { return r.state, r.stopReason }

// Start starts the rollout of a version. It returns a StaleVersionError if the epoch is not above all earlier ones.
// Proxies that have a stopped version get the new one first, and further proxies are drawn with the seed. A rollout in
// progress is replaced.
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
	r.redraw()
	r.startStep(now)
	return nil
}

// Rollback ends the rollout at an operator's command, and returns the fleet to the version before it under a new
// generation. It returns an error if there is no earlier version.
func (r *Rollout) Rollback() error {
	if r.next == (Version{}) || r.base.Hash == "" {
		return errors.New("rollout: there is no earlier version to roll back to")
	}
	r.base.Generation = r.next.Generation + 1
	r.next = Version{}
	r.state = Idle
	r.stopReason = nil
	r.clearTargeted()
	clear(r.departed)
	return nil
}

// clearTargeted makes the base version the target of all proxies.
func (r *Rollout) clearTargeted() {
	for _, p := range r.proxies {
		p.targeted = false
	}
}

// Target returns the version that a proxy is to have now. For an unknown proxy that is the base version.
func (r *Rollout) Target(name string) Version {
	if p := r.proxies[name]; p != nil {
		return r.targetOf(p)
	}
	return r.base
}

// targetOf returns the version that a proxy is to have now.
func (r *Rollout) targetOf(p *proxy) Version {
	if p.targeted && r.next != (Version{}) {
		return r.next
	}
	return r.base
}

// Report records a proxy's report. It ignores reports of unknown proxies, repeated ones and negative numbers. Requests
// under a version other than the proxy's target do not count.
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
	p.silentSince = now
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

// hasStoppedVersion reports whether a proxy has a version between base and next, which means that its rollout was
// stopped under an earlier leader. The rollout replaces the version on that proxy first.
func (r *Rollout) hasStoppedVersion(p *proxy, current Version) bool {
	return r.state == InProgress && !p.targeted && current != r.next &&
		current.NewerThan(r.base) && r.next.NewerThan(current)
}

// Tick advances the rollout as far as the time and the reports allow. Callers call it several times between two looks,
// which are Settings.StepDuration divided by Settings.LooksPerStep apart.
func (r *Rollout) Tick(now time.Duration) {
	if r.state != InProgress {
		return
	}
	// A fleet that most proxies have just left, or whose members are not known yet, is not a small fleet. Without this
	// check its last proxy would complete the rollout untested.
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

// complete ends the rollout and makes next the target of all proxies. No proxies are left to compare with.
func (r *Rollout) complete() {
	r.state = Done
	for _, p := range r.proxies {
		p.targeted = true
	}
}

// look tests the reports of the step. It stops the rollout if they show harm, and starts the next step after the last
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
	// A few silent proxies, which count as failed, can hide the effect of the version on the others. Therefore the
	// proxies that report are also tested separately, and each of the two tests gets half of the level. Whether any
	// proxy is silent does not depend on the draw, so that the level may depend on it.
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
