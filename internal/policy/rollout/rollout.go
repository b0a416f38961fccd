package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Settings say how a policy goes out.
type Settings struct {
	Steps               []float64     // shares of the fleet, rising, the last is 1
	StepDuration        time.Duration // for which each step is watched at least before the next
	WatchDuration       time.Duration // for which the fleet is watched after all have it: see Aftermath
	LooksPerStep        int           // at the figures, in each step
	MinRequests         int64         // requests that each side must have had in a step before a look
	Margin              float64       // how much more of its requests may go bad, 0 to 1: less is no matter
	GrossMargin         float64       // where more than half of those that have it do worse by this, a step stops, whatever the test can tell
	ErrorRate           float64       // chance at most that a policy which does no harm is stopped, in a fleet in which a draw can be as unlikely
	SmallFleetErrorRate float64       // the same in a smaller one, under 32 or so: as near to Error as its draws allow, and no more than this
	SilenceTimeout      time.Duration // after which a proxy that says nothing counts as failed, if a step is not shorter
}

// DefaultSettings are for trains: 9,500 a day, in a fleet of hundreds to thousands whose proxies report once a second. Of so many that do no
// harm .1 are stopped in a day at most (Error times 9,500).
func DefaultSettings() Settings {
	return Settings{Steps: []float64{0.03, 0.2, 1}, StepDuration: 2500 * time.Millisecond, WatchDuration: time.Minute, LooksPerStep: 1, MinRequests: 1000,
		Margin: 0.002, GrossMargin: 0.2, ErrorRate: 1e-5, SmallFleetErrorRate: 0.01, SilenceTimeout: 10 * time.Second}
}

// Validate tells what makes no sense, by the field's name.
func (s *Settings) Validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	rising := len(s.Steps) > 0
	for i, share := range s.Steps {
		rising = rising && share > 0 && share <= 1 && (i == 0 || share > s.Steps[i-1])
	}
	bad(!rising || s.Steps[len(s.Steps)-1] != 1, "steps: %v: wanted shares that rise to 1", s.Steps)
	bad(s.StepDuration <= 0, "step: %v must be above 0", s.StepDuration)
	bad(s.WatchDuration <= 0, "watch: %v must be above 0", s.WatchDuration)
	bad(s.LooksPerStep < 1 || s.LooksPerStep > 100, "looks: %d is not within 1 and 100", s.LooksPerStep)
	bad(s.MinRequests < 1, "enough: %d must be above 0", s.MinRequests)
	bad(!(s.Margin >= 0 && s.Margin < 1), "margin: %v is not within 0 and 1", s.Margin)
	bad(!(s.GrossMargin > s.Margin && s.GrossMargin <= 1), "gross: %v is not within the margin and 1", s.GrossMargin)
	bad(!(s.ErrorRate >= 1e-6 && s.ErrorRate <= 0.5), "error: %v is not within 0.000001 and 0.5", s.ErrorRate)
	bad(!(s.SmallFleetErrorRate >= s.ErrorRate && s.SmallFleetErrorRate <= 0.5), "small: %v is not within the error and 0.5", s.SmallFleetErrorRate)
	bad(s.SilenceTimeout <= 0, "silent: %v must be above 0", s.SilenceTimeout)
	return errors.Join(errs...)
}

// Report is what a proxy tells: the requests since its report before, decided under one epoch. Bad ones were refused, failed,
// or answered too late.
type Report struct {
	Proxy     string
	Sequence  uint64 // rises with each report of a proxy, over its restarts too; what comes twice counts once
	Current   Version
	Good, Bad int64
}

// State is how a roll-out stands.
type State uint8

// The states.
const (
	Idle       State = iota // nothing goes out
	InProgress              // some have the new policy
	Stopped                 // those that have it keep it, and no more get it, until an operator speaks
	Done                    // all are to have it
)

func (s State) String() string { return [...]string{"idle", "rolling", "stopped", "done"}[s] }

// HarmDetectedError says why a roll-out has stopped.
type HarmDetectedError struct {
	Epoch                     uint64
	Step                      int
	WithPolicy, WithoutPolicy float64 // mean share of bad requests of a proxy, with the new policy and with the old
	PValue                    float64 // that as much comes about if the policy does no harm; 0 if more than half did grossly worse
}

func (e HarmDetectedError) Error() string {
	s := fmt.Sprintf("epoch %d was stopped in step %d: %.2f%% of requests go bad where it holds, %.2f%% elsewhere",
		e.Epoch, e.Step+1, 100*e.WithPolicy, 100*e.WithoutPolicy)
	if e.PValue > 0 {
		s += fmt.Sprintf(" (by chance: %.2g)", e.PValue)
	}
	return s
}

// Advice is what an operator can do.
func (e HarmDetectedError) Advice() string {
	return "Proxies that have the new policy keep it and no more get it. Tell the fleet to go back, or offer a mended policy, " +
		"which they get first."
}

// NotAdoptedError says that most proxies that were to have a policy first can't take it up.
type NotAdoptedError struct {
	Epoch             uint64
	Step              int
	Targeted, Pending int // proxies that were to have it, and of them those that report and did not take it up
	Waited            time.Duration
}

func (e NotAdoptedError) Error() string {
	return fmt.Sprintf("epoch %d was stopped in step %d: %d of %d proxies that were to have it did not take it up in %v", e.Epoch, e.Step+1, e.Pending, e.Targeted,
		e.Waited.Round(time.Second))
}

// Advice is what an operator can do.
func (e NotAdoptedError) Advice() string {
	return "FLEET on such a proxy's console says why. Mostly its file of services lacks a service that the policy leads to: enter it there, " +
		"and have the team offer the file again under a higher number."
}

// Rollout is the stewards' side. Callers see to it that one at a time calls. The same calls give the same state, so a log of
// the calls is all that must outlive a steward.
type Rollout struct {
	settings  Settings
	mutations mutation

	base, next   Version // what all had before; what goes out
	highestEpoch uint64  // the highest epoch there was
	state        State
	stopReason   error
	seed         uint64
	step         int
	stepStart    time.Duration // the step
	fleetSize    int           // proxies there were as it began
	looksPerStep int           // that each step of this roll-out gets
	errorRate    float64       // the error rate of this roll-out
	looksTaken   int           // in the step
	proxies      map[string]*proxy
	departed     map[string]*proxy // that left in the step

	comparedCount int      // proxies that are compared
	lateCount     int      // those that came after the draw
	widenings     int      // how often a step had to be made wider
	drawnCount    int      // of them, those that have the new policy
	undrawn       []*proxy // of them, those that have not; some may have left or got it since
	undrawnSorted bool     // rest is in the order of the draw
	memberUpdate  uint64   // how often all members were told

	reportInterval time.Duration // between two reports of a proxy, smoothed
}

type proxy struct {
	name         string
	targeted     bool // it is to have the new policy
	excluded     bool // it is not compared: it had got the policy before the draw, or is late
	late         bool // it came after the draw
	gone         bool
	drawOrder    uint64 // its place in the draw
	memberUpdate uint64 // of members, when it last was one
	sequence     uint64
	heardInStep  time.Duration // in the step, or the step's begin
	lastReport   time.Duration // when it reported; 0 is never
	adopted      bool          // it has reported in the step under what it is to have
	good, bad    int64         // in the step, under what it is to have
}

// New makes the rule for a fleet that has a policy; the zero Offer is none.
func New(s Settings, has Version) (*Rollout, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	return &Rollout{settings: s, base: has, highestEpoch: has.Epoch, looksPerStep: s.LooksPerStep, errorRate: s.ErrorRate, reportInterval: min(time.Second, s.SilenceTimeout/5),
		proxies: map[string]*proxy{}, departed: map[string]*proxy{}}, nil
}

// State is how it stands; the error is RolloutStopped if it was stopped.
func (r *Rollout) State() (State, error) { return r.state, r.stopReason }

// SetMembers says which proxies there are: Join and Leave in one. It costs a look at each.
func (r *Rollout) SetMembers(now time.Duration, names []string) {
	r.memberUpdate++
	for _, name := range names {
		r.join(now, name).memberUpdate = r.memberUpdate
	}
	if len(r.proxies) > len(names) {
		for name, p := range r.proxies {
			if p.memberUpdate != r.memberUpdate {
				r.leave(name)
			}
		}
	}
	r.membersChanged(now)
}

// Join says that there is a proxy. One that joins gets the old policy until a step reaches it.
func (r *Rollout) Join(now time.Duration, name string) {
	r.join(now, name)
	r.membersChanged(now)
}

// Leave says that a proxy is gone. In a step it counts as failed.
func (r *Rollout) Leave(now time.Duration, name string) {
	r.leave(name)
	r.membersChanged(now)
}

func (r *Rollout) join(now time.Duration, name string) *proxy {
	if p := r.proxies[name]; p != nil {
		return p
	}
	p := r.departed[name]
	if p == nil {
		// Danger: one that comes after the draw had no chance in it. It does not look like the others, so it is on neither side.
		late := r.state == InProgress && r.mutations&compareLate == 0
		p = &proxy{name: name, targeted: r.state == Done && r.next != Version{}, excluded: late, late: late}
	}
	p.heardInStep, p.gone, p.drawOrder = now, false, r.drawOrderOf(name)
	delete(r.departed, name)
	r.proxies[name] = p
	r.countProxy(p, 1)
	return p
}

func (r *Rollout) leave(name string) {
	p := r.proxies[name]
	if p == nil {
		return
	}
	if r.state == InProgress {
		r.departed[name] = p
	}
	p.gone = true
	delete(r.proxies, name)
	r.countProxy(p, -1)
}

// countProxy counts a proxy in or out.
func (r *Rollout) countProxy(p *proxy, by int) {
	switch {
	case p.late:
		r.lateCount += by
	case p.excluded:
	case p.targeted:
		r.comparedCount, r.drawnCount = r.comparedCount+by, r.drawnCount+by
	default:
		r.comparedCount += by
		if by > 0 {
			r.undrawn, r.undrawnSorted = append(r.undrawn, p), false
		}
	}
}

// membersChanged goes by members that have come or gone.
func (r *Rollout) membersChanged(now time.Duration) {
	if r.state != InProgress {
		return
	}
	// Where most have come after the draw there is nobody to compare with: it is made anew, and the step begins again.
	if r.lateCount > r.comparedCount {
		r.drawAnew()
		r.startStep(now)
		return
	}
	r.expandStep()
}

// Start sends a policy out. Its epoch is above all before; those that have one that was stopped get it first. Which others do
// is drawn: only then does a difference between the two sides tell of the policy.
func (r *Rollout) Start(now time.Duration, epoch uint64, hash string, seed uint64) error {
	o := Version{max(r.base.Generation, r.next.Generation), epoch, hash}
	if epoch <= r.highestEpoch {
		return StaleVersionError{o, Version{Generation: o.Generation, Epoch: r.highestEpoch}}
	}
	r.highestEpoch = epoch
	if r.state == Done {
		r.base = r.next
		for _, p := range r.proxies {
			p.targeted = false
		}
	}
	r.next, r.state, r.stopReason, r.seed, r.step = o, InProgress, nil, seed, 0
	r.fleetSize, r.widenings = len(r.proxies), 0
	r.drawAnew()
	r.startStep(now)
	return nil
}

// drawAnew makes the draw. Those that have the policy, or one that was stopped, were not drawn now: they are not compared. Danger: were they,
// a stop by chance would come again with the same proxies, and the next policy, and the one after, would be blamed for it.
func (r *Rollout) drawAnew() {
	have := 0
	for _, p := range r.proxies {
		if p.targeted {
			have++
		}
	}
	apart := r.mutations&compareTargeted == 0 && (have == 0 || r.CanDetect(len(r.proxies)-have)) // else the fleet is too small for it
	r.comparedCount, r.drawnCount, r.lateCount, r.undrawn, r.undrawnSorted = 0, 0, 0, nil, false
	for name, p := range r.proxies {
		p.drawOrder, p.excluded, p.late = r.drawOrderOf(name), p.targeted && apart, false
		r.countProxy(p, 1)
	}
	r.looksPerStep, r.errorRate = r.planLooks(r.comparedCount)
}

// Rollback tells the fleet to go back to the policy before, by an operator's word.
func (r *Rollout) Rollback() error {
	if r.next == (Version{}) || r.base.Hash == "" {
		return errors.New("rollout: there is no policy before")
	}
	r.base.Generation = r.next.Generation + 1
	r.next, r.state, r.stopReason = Version{}, Idle, nil
	for _, p := range r.proxies {
		p.targeted = false
	}
	clear(r.departed)
	return nil
}

// Target is what a proxy shall have now.
func (r *Rollout) Target(name string) Version {
	if p := r.proxies[name]; p != nil && p.targeted && r.next != (Version{}) {
		return r.next
	}
	return r.base
}

// startStep begins a step: figures are counted anew, for both sides over the same time.
func (r *Rollout) startStep(now time.Duration) {
	r.stepStart, r.looksTaken = now, 0
	clear(r.departed)
	for _, p := range r.proxies {
		p.good, p.bad, p.heardInStep, p.adopted = 0, 0, now, false
	}
	r.expandStep()
}

// expandStep gives the new policy to as many as the step says.
func (r *Rollout) expandStep() {
	want := r.stepSize(r.comparedCount) - r.drawnCount
	if want <= 0 {
		return
	}
	if !r.undrawnSorted {
		r.undrawn = slices.DeleteFunc(r.undrawn, func(p *proxy) bool { return p.targeted || p.excluded || p.gone })
		slices.SortFunc(r.undrawn, compareDrawOrder)
		r.undrawnSorted = true
	}
	for ; want > 0 && len(r.undrawn) > 0; r.undrawn = r.undrawn[1:] {
		p := r.undrawn[0]
		if p.targeted || p.excluded || p.gone {
			continue
		}
		p.targeted, p.good, p.bad, p.adopted = true, 0, 0, false
		r.drawnCount++
		want--
	}
}

func compareDrawOrder(a, b *proxy) int {
	return cmp.Or(cmp.Compare(a.drawOrder, b.drawOrder), strings.Compare(a.name, b.name))
}

// stepSize is how many of n have the new policy in the step. A few more than its share, up to a tenth, have it if that lets the test
// stop the step; in the last step with others to compare with, up to half.
func (r *Rollout) stepSize(n int) int {
	k := min(n, int(math.Ceil(r.settings.Steps[r.step]*float64(n))))
	if r.widenings > 0 {
		k = max(k, min(n/2, k<<min(r.widenings, 16)))
	}
	most := int(math.Ceil(0.1 * float64(n)))
	if r.step == len(r.settings.Steps)-2 {
		most = n / 2
	}
	for more := k; more <= most; more++ {
		if combinations(n, more) >= drawSurplus/r.significance() {
			return more
		}
	}
	return k
}

// drawSurplus is by how many times the draws must be more than the level needs: figures tie, and proxies leave.
const drawSurplus = 1.2

// combinations is in how many ways k of n can be drawn.
func combinations(n, k int) float64 {
	c := 1.0
	for i := 0; i < k && c < 1e300; i++ {
		c = c * float64(n-i) / float64(i+1)
	}
	return c
}

// drawOrderOf is a proxy's place in the order of this roll-out (FNV-1a over seed and name, spread by SplitMix64's finaliser).
func (r *Rollout) drawOrderOf(name string) uint64 {
	h := uint64(14695981039346656037) ^ r.seed
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// significance is each look's part of the error rate. Looks are at steps that have others to compare with; by the union bound
// all of them together err at most as often as set.
func (r *Rollout) significance() float64 {
	if r.mutations&fullErrorRatePerLook != 0 {
		return r.errorRate
	}
	return r.errorRate / float64(max(1, len(r.settings.Steps)-1)*r.looksPerStep)
}

// planLooks is how many looks each step of a fleet of n gets, and at what error rate of all. There is only one look if the rate divided over
// more would be less than the chance of the unlikeliest draw, so that nothing could stop it. Where draws are so few that one look at the
// set rate could tell nothing short of the worst, the rate is higher: such fleets have fewer trains too.
func (r *Rollout) planLooks(n int) (looks int, errs float64) {
	needs := func(times float64, looks int) float64 {
		return times * float64(max(1, len(r.settings.Steps)-1)*looks) / combinations(n, n/2)
	}
	looks = 1
	if needs(drawSurplus, r.settings.LooksPerStep) <= r.settings.ErrorRate {
		looks = r.settings.LooksPerStep
	}
	return looks, min(r.settings.SmallFleetErrorRate, max(r.settings.ErrorRate, needs(smallFleetSurplus, 1)))
}

// smallFleetSurplus is by how many times the draws of a small fleet are more than its level needs: with 1 only the worst of all draws would tell.
const smallFleetSurplus = 1000

// Report takes in what a proxy tells. Requests under anything but what it is to have now are of no step, and don't count.
func (r *Rollout) Report(now time.Duration, t Report) {
	p := r.proxies[t.Proxy]
	if p == nil || t.Sequence <= p.sequence || t.Good < 0 || t.Bad < 0 {
		return
	}
	if p.lastReport > 0 {
		r.reportInterval += (min(now-p.lastReport, r.settings.SilenceTimeout) - r.reportInterval) / 64
	}
	p.sequence, p.heardInStep, p.lastReport = t.Sequence, now, now
	is := r.base
	if p.targeted && r.next != (Version{}) {
		is = r.next
	}
	// One that has a policy which was stopped, under a leader who does not know that, is to be rid of it first too.
	if r.state == InProgress && !p.targeted && t.Current != r.next && t.Current.NewerThan(r.base) && r.next.NewerThan(t.Current) {
		r.countProxy(p, -1)
		p.targeted, p.excluded, p.late = true, true, false
		return
	}
	if t.Current == is {
		p.adopted = true
		p.good += t.Good
		p.bad += t.Bad
	}
}

// Tick goes on as the time and the figures allow. It is called a few times in each look's time.
func (r *Rollout) Tick(now time.Duration) {
	if r.state != InProgress {
		return
	}
	// Danger: a fleet that most have just left, or whose members are not known yet, is not a small one: it waits.
	if len(r.proxies) == 0 || len(r.proxies) == 1 && r.fleetSize > 1 {
		return
	}
	if r.settings.Steps[r.step] == 1 || len(r.proxies) == 1 {
		r.state = Done // nobody is left to compare with
		for _, p := range r.proxies {
			p.targeted = true
		}
		return
	}
	due := r.stepStart + r.settings.StepDuration*time.Duration(r.looksTaken+1)/time.Duration(r.looksPerStep)
	if now < due {
		return
	}
	// Danger: a look with few requests tells little and costs its part of the error rate. Without traffic a step does not end.
	c := r.tallyStep(now)
	counts := c.requests
	if !c.conclusive() && r.mutations&ignoreSilentControl == 0 || (counts[0] < r.settings.MinRequests || counts[1] < r.settings.MinRequests) && r.mutations&skipMinRequests == 0 {
		if now-r.stepStart > stallFactor*r.settings.SilenceTimeout && r.mutations&waitForever == 0 {
			r.handleStalledStep(now, c)
		}
		return
	}
	told, all, silent := r.samples(now)
	r.looksTaken++
	if r.mutations&skipTest == 0 {
		stop := HarmDetectedError{Epoch: r.next.Epoch, Step: r.step, WithPolicy: mean(all.withPolicy), WithoutPolicy: mean(all.withoutPolicy)}
		if r.grosslyWorse(told, all, counts) {
			r.state, r.stopReason = Stopped, stop
			return
		}
		// Danger: a few that are silent, and have failed all, hide what the policy does to the others. So those that told of
		// requests are compared by themselves too; whether anybody is silent hangs on no draw, so the rate may be parted by it.
		level := r.significance()
		if silent && r.mutations&skipReportingTest == 0 {
			level /= 2
			if stop.PValue = r.pValue(told, counts, level); stop.PValue <= level {
				stop.WithPolicy, stop.WithoutPolicy = mean(told.withPolicy), mean(told.withoutPolicy)
				r.state, r.stopReason = Stopped, stop
				return
			}
		}
		if stop.PValue = r.pValue(all, counts, level); stop.PValue <= level {
			r.state, r.stopReason = Stopped, stop
			return
		}
	}
	if r.looksTaken >= r.looksPerStep {
		r.step++
		r.startStep(now)
	}
}

// badShare is a proxy's share of bad requests in the step, and its requests. One that is silent or gone has failed all: a policy that
// kills its proxies must not look well for that. One that had no requests tells nothing.
func (r *Rollout) badShare(p *proxy, now time.Duration) (share float64, n int64) {
	n = p.good + p.bad
	if r.isSilent(p, now) && r.mutations&ignoreSilent == 0 {
		return 1, max(n, r.settings.MinRequests)
	}
	return float64(p.bad) / float64(max(1, n)), n
}

// isSilent tells whether a proxy is gone or has said nothing for too long. A step that is shorter than the settings' time still finds who
// fell silent in it: who missed two reports, as often as they come.
func (r *Rollout) isSilent(p *proxy, now time.Duration) bool {
	return p.gone || now-p.heardInStep > min(r.settings.SilenceTimeout, max(r.settings.StepDuration*4/5, 2*r.reportInterval))
}

// forEachCompared goes through the proxies that are, and those of them that left in the step.
func (r *Rollout) forEachCompared(f func(*proxy)) {
	for _, all := range []map[string]*proxy{r.proxies, r.departed} {
		for _, p := range all {
			if !p.excluded {
				f(p)
			}
		}
	}
}

// tally is what is known of a step before it is looked at: requests and proxies of those that have the new policy, and of the others.
type tally struct {
	requests                      [2]int64
	proxies                       [2]int
	controlSilent, controlPresent int // of the others, and those that are not gone
	unconfirmed                   int // of those that are to have the policy: they are not silent, and have told nothing of it
	notAdopted                    int // of these, those that have reported in the step
}

// conclusive tells whether a step can be looked at: not while more than a quarter of the others are silent, for then it is us who are deaf, nor
// while most of those that are to have the policy have told of it nothing yet.
func (c *tally) conclusive() bool {
	return 4*c.controlSilent <= c.controlPresent && 2*c.unconfirmed <= c.proxies[0]
}

func (r *Rollout) tallyStep(now time.Duration) (c tally) {
	r.forEachCompared(func(p *proxy) {
		side := 1
		switch {
		case p.targeted:
			side = 0
			if !p.adopted && !r.isSilent(p, now) {
				c.unconfirmed++
				if p.lastReport > r.stepStart {
					c.notAdopted++
				}
			}
		case p.gone: // we know that it is
		default:
			c.controlPresent++
			if r.isSilent(p, now) {
				c.controlSilent++
			}
		}
		_, n := r.badShare(p, now)
		c.requests[side] += n
		c.proxies[side]++
	})
	return c
}

// stallFactor is for how many times Silent a step that can't be looked at is let be.
const stallFactor = 3

// handleStalledStep is a step that can't be looked at for long. Danger: what waits behind it would wait for ever. Without traffic it waits all the same.
func (r *Rollout) handleStalledStep(now time.Duration, c tally) {
	switch have, others := int64(c.proxies[0]), int64(c.proxies[1]); {
	case 2*c.notAdopted > c.proxies[0]:
		r.state, r.stopReason = Stopped, NotAdoptedError{r.next.Epoch, r.step, c.proxies[0], c.notAdopted, now - r.stepStart}
	case c.requests[0] < r.settings.MinRequests && c.requests[1]*have >= r.settings.MinRequests*others && 2*r.drawnCount < r.comparedCount:
		// Those that were drawn have fewer requests than others: more are drawn, up to half.
		r.widenings++
		r.startStep(now)
	}
}

// badShares are the shares of bad requests of those that have the new policy, and of the others, in the order of the draw.
type badShares struct{ withPolicy, withoutPolicy []float64 }

func (s *badShares) add(has bool, share float64) {
	if has {
		s.withPolicy = append(s.withPolicy, share)
	} else {
		s.withoutPolicy = append(s.withoutPolicy, share)
	}
}

// samples are the shares of those that told of requests, and of all with the silent ones.
func (r *Rollout) samples(now time.Duration) (told, all badShares, silent bool) {
	list := make([]*proxy, 0, len(r.proxies)+len(r.departed))
	r.forEachCompared(func(p *proxy) { list = append(list, p) })
	slices.SortFunc(list, compareDrawOrder)
	for _, p := range list {
		share, n := r.badShare(p, now)
		if n == 0 {
			continue
		}
		all.add(p.targeted, share)
		if !r.isSilent(p, now) {
			told.add(p.targeted, share)
		} else {
			silent = true
		}
	}
	return told, all, silent
}

// grosslyWorse tells whether more than half of those that have the policy do worse than any chance would have to explain. Where others are
// silent too, the few of a first step may be so for the same reason: then it must be unlikely, as far as so few draws can be.
func (r *Rollout) grosslyWorse(told, all badShares, counts [2]int64) bool {
	if lowerMedian(all.withPolicy)-mean(all.withoutPolicy) <= r.settings.GrossMargin {
		return false
	}
	if len(told.withoutPolicy) == len(all.withoutPolicy) || r.mutations&skipGrossSignificance != 0 {
		return true
	}
	level := max(grossSignificance, 10/combinations(len(all.withPolicy)+len(all.withoutPolicy), len(all.withPolicy)))
	return r.pValue(all, counts, level) <= level
}

const grossSignificance = 1e-4

// pValue is the p-value of "those that have it do worse by no more than the margin", from a randomisation test on the means of
// the proxies' shares (Fisher 1935): who has the policy was drawn, so had it no effect, every other draw would have been as
// likely. It supposes nothing of how requests hang together within a proxy, where a count of requests would. The draws are
// sampled; the estimate counts the draw that was, which keeps it valid however few there are (Phipson and Smyth 2010): as many
// are made as the level needs. In a large fleet proxies that follow each other in the draw are taken as one: cells that were drawn by
// chance can be drawn anew like proxies, and the mean of all is the same.
func (r *Rollout) pValue(s badShares, counts [2]int64, level float64) float64 {
	have, others := s.withPolicy, s.withoutPolicy
	if len(have) == 0 || len(others) == 0 {
		return 1
	}
	if r.mutations&poolRequests != 0 {
		a, b := mean(have), mean(others)
		p := (a + b) / 2
		z := (a - b - r.settings.Margin) / math.Sqrt(p*(1-p)*(1/float64(counts[0])+1/float64(counts[1]))+1e-12)
		return math.Erfc(z/math.Sqrt2) / 2
	}
	if r.mutations&skipCells == 0 {
		each := max(1, (min(len(have), len(others))+maxCells-1)/maxCells)
		have, others = cellMeans(have, each), cellMeans(others, each)
	}
	k := len(have)
	all := make([]float64, 0, k+len(others))
	sum, was := 0.0, 0.0
	for _, x := range have {
		all = append(all, x-r.settings.Margin)
		was += x - r.settings.Margin
	}
	all = append(all, others...)
	for _, x := range all {
		sum += x
	}
	// A sum of k stands for the difference of the means: it rises with it, the whole being the same in all draws. The smaller
	// side is drawn.
	small, least := min(k, len(others)), was
	if small != k {
		least = sum - was
	}
	times := int(math.Ceil(1 / level))
	rng := rand.New(rand.NewPCG(r.seed, uint64(r.step)<<32|uint64(r.looksTaken)))
	worse := 0
	for i := range times {
		drawn := 0.0
		for j := range small {
			o := j + rng.IntN(len(all)-j)
			all[j], all[o] = all[o], all[j]
			drawn += all[j]
		}
		if small == k && drawn >= least-1e-12 || small != k && drawn <= least+1e-12 {
			worse++
		}
		// Danger: a look must be cheap. Once too many draws are as bad, no more can bring the chance under the level.
		if float64(worse+1) > level*float64(times+1) {
			return float64(worse+1) / float64(i+2)
		}
	}
	return float64(worse+1) / float64(times+1)
}

// maxCells is how many cells the smaller side has at most: more would tell hardly more.
const maxCells = 128

// cellMeans are the means of each so many that follow each other; the few that are left over stay out.
func cellMeans(list []float64, each int) []float64 {
	if each == 1 {
		return list
	}
	out := make([]float64, 0, len(list)/each)
	for ; len(list) >= each; list = list[each:] {
		out = append(out, mean(list[:each]))
	}
	return out
}

// lowerMedian is the lower median: more than half of the list are as high or higher.
func lowerMedian(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[(len(sorted)-1)/2]
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(1, len(list)))
}

// CanDetect tells whether in a fleet of n the test can stop a harmful policy before all have it; if not, only a gross
// difference does.
func (r *Rollout) CanDetect(n int) bool {
	try := Rollout{settings: r.settings, step: max(0, len(r.settings.Steps)-2)}
	try.looksPerStep, try.errorRate = try.planLooks(n)
	k := try.stepSize(n)
	return k < n && combinations(n, k) >= drawSurplus/try.significance()
}
