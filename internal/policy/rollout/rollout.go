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
	Steps  []float64     // shares of the fleet, rising, the last is 1
	Step   time.Duration // for which each step is watched at least before the next
	Watch  time.Duration // for which the fleet is watched after all have it: see Aftermath
	Looks  int           // at the figures, in each step
	Enough int64         // requests that each side must have had in a step before a look
	Margin float64       // how much more of its requests may go bad, 0 to 1: less is no matter
	Gross  float64       // where more than half of those that have it do worse by this, a step stops, whatever the test can tell
	Error  float64       // chance at most that a policy which does no harm is stopped, in a fleet in which a draw can be as unlikely
	Small  float64       // the same in a smaller one, under 32 or so: as near to Error as its draws allow, and no more than this
	Silent time.Duration // after which a proxy that says nothing counts as failed, if a step is not shorter
}

// Defaults are for trains: 9,500 a day, in a fleet of hundreds to thousands whose proxies report once a second. Of so many that do no
// harm .1 are stopped in a day at most (Error times 9,500).
func Defaults() Settings {
	return Settings{Steps: []float64{0.03, 0.2, 1}, Step: 2500 * time.Millisecond, Watch: time.Minute, Looks: 1, Enough: 1000,
		Margin: 0.002, Gross: 0.2, Error: 1e-5, Small: 0.01, Silent: 10 * time.Second}
}

// Check tells what makes no sense, by the field's name.
func (s *Settings) Check() error {
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
	bad(s.Step <= 0, "step: %v must be above 0", s.Step)
	bad(s.Watch <= 0, "watch: %v must be above 0", s.Watch)
	bad(s.Looks < 1 || s.Looks > 100, "looks: %d is not within 1 and 100", s.Looks)
	bad(s.Enough < 1, "enough: %d must be above 0", s.Enough)
	bad(!(s.Margin >= 0 && s.Margin < 1), "margin: %v is not within 0 and 1", s.Margin)
	bad(!(s.Gross > s.Margin && s.Gross <= 1), "gross: %v is not within the margin and 1", s.Gross)
	bad(!(s.Error >= 1e-6 && s.Error <= 0.5), "error: %v is not within 0.000001 and 0.5", s.Error)
	bad(!(s.Small >= s.Error && s.Small <= 0.5), "small: %v is not within the error and 0.5", s.Small)
	bad(s.Silent <= 0, "silent: %v must be above 0", s.Silent)
	return errors.Join(errs...)
}

// Report is what a proxy tells: the requests since its report before, decided under one epoch. Bad ones were refused, failed,
// or answered too late.
type Report struct {
	Proxy     string
	Number    uint64 // rises with each report of a proxy, over its restarts too; what comes twice counts once
	Has       Offer
	Good, Bad int64
}

// State is how a roll-out stands.
type State uint8

// The states.
const (
	Idle    State = iota // nothing goes out
	Rolling              // some have the new policy
	Stopped              // those that have it keep it, and no more get it, until an operator speaks
	Done                 // all are to have it
)

func (s State) String() string { return [...]string{"idle", "rolling", "stopped", "done"}[s] }

// RolloutStopped says why a roll-out has stopped.
type RolloutStopped struct {
	Epoch        uint64
	Step         int
	Have, Others float64 // mean share of bad requests of a proxy, with the new policy and with the old
	Chance       float64 // that as much comes about if the policy does no harm; 0 if more than half did grossly worse
}

func (e RolloutStopped) Error() string {
	s := fmt.Sprintf("epoch %d was stopped in step %d: %.2f%% of requests go bad where it holds, %.2f%% elsewhere",
		e.Epoch, e.Step+1, 100*e.Have, 100*e.Others)
	if e.Chance > 0 {
		s += fmt.Sprintf(" (by chance: %.2g)", e.Chance)
	}
	return s
}

// Advice is what an operator can do.
func (e RolloutStopped) Advice() string {
	return "Proxies that have the new policy keep it and no more get it. Tell the fleet to go back, or offer a mended policy, " +
		"which they get first."
}

// RolloutNotTaken says that most proxies that were to have a policy first can't take it up.
type RolloutNotTaken struct {
	Epoch     uint64
	Step      int
	Have, Not int // proxies that were to have it, and of them those that report and did not take it up
	After     time.Duration
}

func (e RolloutNotTaken) Error() string {
	return fmt.Sprintf("epoch %d was stopped in step %d: %d of %d proxies that were to have it did not take it up in %v", e.Epoch, e.Step+1, e.Not, e.Have,
		e.After.Round(time.Second))
}

// Advice is what an operator can do.
func (e RolloutNotTaken) Advice() string {
	return "FLEET on such a proxy's console says why. Mostly its file of services lacks a service that the policy leads to: enter it there, " +
		"and have the team offer the file again under a higher number."
}

// Rollout is the stewards' side. Callers see to it that one at a time calls. The same calls give the same state, so a log of
// the calls is all that must outlive a steward.
type Rollout struct {
	set   Settings
	flaws flaw

	base, next Offer  // what all had before; what goes out
	last       uint64 // the highest epoch there was
	state      State
	stopped    error
	seed       uint64
	step       int
	began      time.Duration // the step
	fleet      int           // proxies there were as it began
	looks      int           // that each step of this roll-out gets
	errs       float64       // the error rate of this roll-out
	looked     int           // in the step
	proxies    map[string]*proxy
	missing    map[string]*proxy // that left in the step

	pool    int      // proxies that are compared
	late    int      // those that came after the draw
	wider   int      // how often a step had to be made wider
	drawn   int      // of them, those that have the new policy
	rest    []*proxy // of them, those that have not; some may have left or got it since
	sorted  bool     // rest is in the order of the draw
	members uint64   // how often all members were told

	every time.Duration // between two reports of a proxy, smoothed
}

type proxy struct {
	name      string
	has       bool // it is to have the new policy
	apart     bool // it is not compared: it had got the policy before the draw, or is late
	late      bool // it came after the draw
	gone      bool
	at        uint64 // its place in the draw
	told      uint64 // of members, when it last was one
	number    uint64
	heard     time.Duration // in the step, or the step's begin
	last      time.Duration // when it reported; 0 is never
	under     bool          // it has reported in the step under what it is to have
	good, bad int64         // in the step, under what it is to have
}

// New makes the rule for a fleet that has a policy; the zero Offer is none.
func New(s Settings, has Offer) (*Rollout, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	return &Rollout{set: s, base: has, last: has.Epoch, looks: s.Looks, errs: s.Error, every: min(time.Second, s.Silent/5),
		proxies: map[string]*proxy{}, missing: map[string]*proxy{}}, nil
}

// State is how it stands; the error is RolloutStopped if it was stopped.
func (r *Rollout) State() (State, error) { return r.state, r.stopped }

// Members says which proxies there are: Join and Leave in one. It costs a look at each.
func (r *Rollout) Members(now time.Duration, names []string) {
	r.members++
	for _, name := range names {
		r.join(now, name).told = r.members
	}
	if len(r.proxies) > len(names) {
		for name, p := range r.proxies {
			if p.told != r.members {
				r.leave(name)
			}
		}
	}
	r.moved(now)
}

// Join says that there is a proxy. One that joins gets the old policy until a step reaches it.
func (r *Rollout) Join(now time.Duration, name string) {
	r.join(now, name)
	r.moved(now)
}

// Leave says that a proxy is gone. In a step it counts as failed.
func (r *Rollout) Leave(now time.Duration, name string) {
	r.leave(name)
	r.moved(now)
}

func (r *Rollout) join(now time.Duration, name string) *proxy {
	if p := r.proxies[name]; p != nil {
		return p
	}
	p := r.missing[name]
	if p == nil {
		// Danger: one that comes after the draw had no chance in it. It does not look like the others, so it is on neither side.
		late := r.state == Rolling && r.flaws&countLate == 0
		p = &proxy{name: name, has: r.state == Done && r.next != Offer{}, apart: late, late: late}
	}
	p.heard, p.gone, p.at = now, false, r.draw(name)
	delete(r.missing, name)
	r.proxies[name] = p
	r.enrol(p, 1)
	return p
}

func (r *Rollout) leave(name string) {
	p := r.proxies[name]
	if p == nil {
		return
	}
	if r.state == Rolling {
		r.missing[name] = p
	}
	p.gone = true
	delete(r.proxies, name)
	r.enrol(p, -1)
}

// enrol counts a proxy in or out.
func (r *Rollout) enrol(p *proxy, by int) {
	switch {
	case p.late:
		r.late += by
	case p.apart:
	case p.has:
		r.pool, r.drawn = r.pool+by, r.drawn+by
	default:
		r.pool += by
		if by > 0 {
			r.rest, r.sorted = append(r.rest, p), false
		}
	}
}

// moved goes by members that have come or gone.
func (r *Rollout) moved(now time.Duration) {
	if r.state != Rolling {
		return
	}
	// Where most have come after the draw there is nobody to compare with: it is made anew, and the step begins again.
	if r.late > r.pool {
		r.deal()
		r.enter(now)
		return
	}
	r.reach()
}

// Begin sends a policy out. Its epoch is above all before; those that have one that was stopped get it first. Which others do
// is drawn: only then does a difference between the two sides tell of the policy.
func (r *Rollout) Begin(now time.Duration, epoch uint64, hash string, seed uint64) error {
	o := Offer{max(r.base.Order, r.next.Order), epoch, hash}
	if epoch <= r.last {
		return OldEpoch{o, Offer{Order: o.Order, Epoch: r.last}}
	}
	r.last = epoch
	if r.state == Done {
		r.base = r.next
		for _, p := range r.proxies {
			p.has = false
		}
	}
	r.next, r.state, r.stopped, r.seed, r.step = o, Rolling, nil, seed, 0
	r.fleet, r.wider = len(r.proxies), 0
	r.deal()
	r.enter(now)
	return nil
}

// deal makes the draw. Those that have the policy, or one that was stopped, were not drawn now: they are not compared. Danger: were they,
// a stop by chance would come again with the same proxies, and the next policy, and the one after, would be blamed for it.
func (r *Rollout) deal() {
	have := 0
	for _, p := range r.proxies {
		if p.has {
			have++
		}
	}
	apart := r.flaws&sameDraw == 0 && (have == 0 || r.CanTell(len(r.proxies)-have)) // else the fleet is too small for it
	r.pool, r.drawn, r.late, r.rest, r.sorted = 0, 0, 0, nil, false
	for name, p := range r.proxies {
		p.at, p.apart, p.late = r.draw(name), p.has && apart, false
		r.enrol(p, 1)
	}
	r.looks, r.errs = r.spend(r.pool)
}

// Back tells the fleet to go back to the policy before, by an operator's word.
func (r *Rollout) Back() error {
	if r.next == (Offer{}) || r.base.Hash == "" {
		return errors.New("rollout: there is no policy before")
	}
	r.base.Order = r.next.Order + 1
	r.next, r.state, r.stopped = Offer{}, Idle, nil
	for _, p := range r.proxies {
		p.has = false
	}
	clear(r.missing)
	return nil
}

// Offer is what a proxy shall have now.
func (r *Rollout) Offer(name string) Offer {
	if p := r.proxies[name]; p != nil && p.has && r.next != (Offer{}) {
		return r.next
	}
	return r.base
}

// enter begins a step: figures are counted anew, for both sides over the same time.
func (r *Rollout) enter(now time.Duration) {
	r.began, r.looked = now, 0
	clear(r.missing)
	for _, p := range r.proxies {
		p.good, p.bad, p.heard, p.under = 0, 0, now, false
	}
	r.reach()
}

// reach gives the new policy to as many as the step says.
func (r *Rollout) reach() {
	want := r.size(r.pool) - r.drawn
	if want <= 0 {
		return
	}
	if !r.sorted {
		r.rest = slices.DeleteFunc(r.rest, func(p *proxy) bool { return p.has || p.apart || p.gone })
		slices.SortFunc(r.rest, byDraw)
		r.sorted = true
	}
	for ; want > 0 && len(r.rest) > 0; r.rest = r.rest[1:] {
		p := r.rest[0]
		if p.has || p.apart || p.gone {
			continue
		}
		p.has, p.good, p.bad, p.under = true, 0, 0, false
		r.drawn++
		want--
	}
}

func byDraw(a, b *proxy) int { return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.name, b.name)) }

// size is how many of n have the new policy in the step. A few more than its share, up to a tenth, have it if that lets the test
// stop the step; in the last step with others to compare with, up to half.
func (r *Rollout) size(n int) int {
	k := min(n, int(math.Ceil(r.set.Steps[r.step]*float64(n))))
	if r.wider > 0 {
		k = max(k, min(n/2, k<<min(r.wider, 16)))
	}
	most := int(math.Ceil(0.1 * float64(n)))
	if r.step == len(r.set.Steps)-2 {
		most = n / 2
	}
	for more := k; more <= most; more++ {
		if draws(n, more) >= spare/r.level() {
			return more
		}
	}
	return k
}

// spare is by how many times the draws must be more than the level needs: figures tie, and proxies leave.
const spare = 1.2

// draws is in how many ways k of n can be drawn.
func draws(n, k int) float64 {
	c := 1.0
	for i := 0; i < k && c < 1e300; i++ {
		c = c * float64(n-i) / float64(i+1)
	}
	return c
}

// draw is a proxy's place in the order of this roll-out (FNV-1a over seed and name, spread by SplitMix64's finaliser).
func (r *Rollout) draw(name string) uint64 {
	h := uint64(14695981039346656037) ^ r.seed
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// level is each look's part of the error rate. Looks are at steps that have others to compare with; by the union bound
// all of them together err at most as often as set.
func (r *Rollout) level() float64 {
	if r.flaws&noSpend != 0 {
		return r.errs
	}
	return r.errs / float64(max(1, len(r.set.Steps)-1)*r.looks)
}

// spend is how many looks each step of a fleet of n gets, and at what error rate of all. There is only one look if the rate divided over
// more would be less than the chance of the unlikeliest draw, so that nothing could stop it. Where draws are so few that one look at the
// set rate could tell nothing short of the worst, the rate is higher: such fleets have fewer trains too.
func (r *Rollout) spend(n int) (looks int, errs float64) {
	needs := func(times float64, looks int) float64 {
		return times * float64(max(1, len(r.set.Steps)-1)*looks) / draws(n, n/2)
	}
	looks = 1
	if needs(spare, r.set.Looks) <= r.set.Error {
		looks = r.set.Looks
	}
	return looks, min(r.set.Small, max(r.set.Error, needs(room, 1)))
}

// room is by how many times the draws of a small fleet are more than its level needs: with 1 only the worst of all draws would tell.
const room = 1000

// Report takes in what a proxy tells. Requests under anything but what it is to have now are of no step, and don't count.
func (r *Rollout) Report(now time.Duration, t Report) {
	p := r.proxies[t.Proxy]
	if p == nil || t.Number <= p.number || t.Good < 0 || t.Bad < 0 {
		return
	}
	if p.last > 0 {
		r.every += (min(now-p.last, r.set.Silent) - r.every) / 64
	}
	p.number, p.heard, p.last = t.Number, now, now
	is := r.base
	if p.has && r.next != (Offer{}) {
		is = r.next
	}
	// One that has a policy which was stopped, under a leader who does not know that, is to be rid of it first too.
	if r.state == Rolling && !p.has && t.Has != r.next && t.Has.After(r.base) && r.next.After(t.Has) {
		r.enrol(p, -1)
		p.has, p.apart, p.late = true, true, false
		return
	}
	if t.Has == is {
		p.under = true
		p.good += t.Good
		p.bad += t.Bad
	}
}

// Tick goes on as the time and the figures allow. It is called a few times in each look's time.
func (r *Rollout) Tick(now time.Duration) {
	if r.state != Rolling {
		return
	}
	// Danger: a fleet that most have just left, or whose members are not known yet, is not a small one: it waits.
	if len(r.proxies) == 0 || len(r.proxies) == 1 && r.fleet > 1 {
		return
	}
	if r.set.Steps[r.step] == 1 || len(r.proxies) == 1 {
		r.state = Done // nobody is left to compare with
		for _, p := range r.proxies {
			p.has = true
		}
		return
	}
	due := r.began + r.set.Step*time.Duration(r.looked+1)/time.Duration(r.looks)
	if now < due {
		return
	}
	// Danger: a look with few requests tells little and costs its part of the error rate. Without traffic a step does not end.
	c := r.counts(now)
	counts := c.requests
	if !c.known() && r.flaws&noDeaf == 0 || (counts[0] < r.set.Enough || counts[1] < r.set.Enough) && r.flaws&noEnough == 0 {
		if now-r.began > patience*r.set.Silent && r.flaws&noPatience == 0 {
			r.stuck(now, c)
		}
		return
	}
	told, all, silent := r.figures(now)
	r.looked++
	if r.flaws&noTest == 0 {
		stop := RolloutStopped{Epoch: r.next.Epoch, Step: r.step, Have: mean(all.have), Others: mean(all.others)}
		if r.gross(told, all, counts) {
			r.state, r.stopped = Stopped, stop
			return
		}
		// Danger: a few that are silent, and have failed all, hide what the policy does to the others. So those that told of
		// requests are compared by themselves too; whether anybody is silent hangs on no draw, so the rate may be parted by it.
		level := r.level()
		if silent && r.flaws&oneTest == 0 {
			level /= 2
			if stop.Chance = r.chance(told, counts, level); stop.Chance <= level {
				stop.Have, stop.Others = mean(told.have), mean(told.others)
				r.state, r.stopped = Stopped, stop
				return
			}
		}
		if stop.Chance = r.chance(all, counts, level); stop.Chance <= level {
			r.state, r.stopped = Stopped, stop
			return
		}
	}
	if r.looked >= r.looks {
		r.step++
		r.enter(now)
	}
}

// share is a proxy's share of bad requests in the step, and its requests. One that is silent or gone has failed all: a policy that
// kills its proxies must not look well for that. One that had no requests tells nothing.
func (r *Rollout) share(p *proxy, now time.Duration) (share float64, n int64) {
	n = p.good + p.bad
	if r.silent(p, now) && r.flaws&noSilent == 0 {
		return 1, max(n, r.set.Enough)
	}
	return float64(p.bad) / float64(max(1, n)), n
}

// silent tells whether a proxy is gone or has said nothing for too long. A step that is shorter than the settings' time still finds who
// fell silent in it: who missed two reports, as often as they come.
func (r *Rollout) silent(p *proxy, now time.Duration) bool {
	return p.gone || now-p.heard > min(r.set.Silent, max(r.set.Step*4/5, 2*r.every))
}

// compared goes through the proxies that are, and those of them that left in the step.
func (r *Rollout) compared(f func(*proxy)) {
	for _, all := range []map[string]*proxy{r.proxies, r.missing} {
		for _, p := range all {
			if !p.apart {
				f(p)
			}
		}
	}
}

// tally is what is known of a step before it is looked at: requests and proxies of those that have the new policy, and of the others.
type tally struct {
	requests     [2]int64
	proxies      [2]int
	silent, here int // of the others, and those that are not gone
	yet          int // of those that are to have the policy: they are not silent, and have told nothing of it
	not          int // of these, those that have reported in the step
}

// known tells whether a step can be looked at: not while more than a quarter of the others are silent, for then it is us who are deaf, nor
// while most of those that are to have the policy have told of it nothing yet.
func (c *tally) known() bool { return 4*c.silent <= c.here && 2*c.yet <= c.proxies[0] }

func (r *Rollout) counts(now time.Duration) (c tally) {
	r.compared(func(p *proxy) {
		side := 1
		switch {
		case p.has:
			side = 0
			if !p.under && !r.silent(p, now) {
				c.yet++
				if p.last > r.began {
					c.not++
				}
			}
		case p.gone: // we know that it is
		default:
			c.here++
			if r.silent(p, now) {
				c.silent++
			}
		}
		_, n := r.share(p, now)
		c.requests[side] += n
		c.proxies[side]++
	})
	return c
}

// patience is for how many times Silent a step that can't be looked at is let be.
const patience = 3

// stuck is a step that can't be looked at for long. Danger: what waits behind it would wait for ever. Without traffic it waits all the same.
func (r *Rollout) stuck(now time.Duration, c tally) {
	switch have, others := int64(c.proxies[0]), int64(c.proxies[1]); {
	case 2*c.not > c.proxies[0]:
		r.state, r.stopped = Stopped, RolloutNotTaken{r.next.Epoch, r.step, c.proxies[0], c.not, now - r.began}
	case c.requests[0] < r.set.Enough && c.requests[1]*have >= r.set.Enough*others && 2*r.drawn < r.pool:
		// Those that were drawn have fewer requests than others: more are drawn, up to half.
		r.wider++
		r.enter(now)
	}
}

// sides are the shares of bad requests of those that have the new policy, and of the others, in the order of the draw.
type sides struct{ have, others []float64 }

func (s *sides) add(has bool, share float64) {
	if has {
		s.have = append(s.have, share)
	} else {
		s.others = append(s.others, share)
	}
}

// figures are the shares of those that told of requests, and of all with the silent ones.
func (r *Rollout) figures(now time.Duration) (told, all sides, silent bool) {
	list := make([]*proxy, 0, len(r.proxies)+len(r.missing))
	r.compared(func(p *proxy) { list = append(list, p) })
	slices.SortFunc(list, byDraw)
	for _, p := range list {
		share, n := r.share(p, now)
		if n == 0 {
			continue
		}
		all.add(p.has, share)
		if !r.silent(p, now) {
			told.add(p.has, share)
		} else {
			silent = true
		}
	}
	return told, all, silent
}

// gross tells whether more than half of those that have the policy do worse than any chance would have to explain. Where others are
// silent too, the few of a first step may be so for the same reason: then it must be unlikely, as far as so few draws can be.
func (r *Rollout) gross(told, all sides, counts [2]int64) bool {
	if middle(all.have)-mean(all.others) <= r.set.Gross {
		return false
	}
	if len(told.others) == len(all.others) || r.flaws&anyGross != 0 {
		return true
	}
	level := max(unlikely, 10/draws(len(all.have)+len(all.others), len(all.have)))
	return r.chance(all, counts, level) <= level
}

const unlikely = 1e-4

// chance is the p-value of "those that have it do worse by no more than the margin", from a randomisation test on the means of
// the proxies' shares (Fisher 1935): who has the policy was drawn, so had it no effect, every other draw would have been as
// likely. It supposes nothing of how requests hang together within a proxy, where a count of requests would. The draws are
// sampled; the estimate counts the draw that was, which keeps it valid however few there are (Phipson and Smyth 2010): as many
// are made as the level needs. In a large fleet proxies that follow each other in the draw are taken as one: cells that were drawn by
// chance can be drawn anew like proxies, and the mean of all is the same.
func (r *Rollout) chance(s sides, counts [2]int64, level float64) float64 {
	have, others := s.have, s.others
	if len(have) == 0 || len(others) == 0 {
		return 1
	}
	if r.flaws&pooled != 0 {
		a, b := mean(have), mean(others)
		p := (a + b) / 2
		z := (a - b - r.set.Margin) / math.Sqrt(p*(1-p)*(1/float64(counts[0])+1/float64(counts[1]))+1e-12)
		return math.Erfc(z/math.Sqrt2) / 2
	}
	if r.flaws&noCells == 0 {
		each := max(1, (min(len(have), len(others))+mostCells-1)/mostCells)
		have, others = cells(have, each), cells(others, each)
	}
	k := len(have)
	all := make([]float64, 0, k+len(others))
	sum, was := 0.0, 0.0
	for _, x := range have {
		all = append(all, x-r.set.Margin)
		was += x - r.set.Margin
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
	rng := rand.New(rand.NewPCG(r.seed, uint64(r.step)<<32|uint64(r.looked)))
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

// mostCells is how many cells the smaller side has at most: more would tell hardly more.
const mostCells = 128

// cells are the means of each so many that follow each other; the few that are left over stay out.
func cells(list []float64, each int) []float64 {
	if each == 1 {
		return list
	}
	out := make([]float64, 0, len(list)/each)
	for ; len(list) >= each; list = list[each:] {
		out = append(out, mean(list[:each]))
	}
	return out
}

// middle is the lower median: more than half of the list are as high or higher.
func middle(list []float64) float64 {
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

// CanTell tells whether in a fleet of n the test can stop a harmful policy before all have it; if not, only a gross
// difference does.
func (r *Rollout) CanTell(n int) bool {
	try := Rollout{set: r.set, step: max(0, len(r.set.Steps)-2)}
	try.looks, try.errs = try.spend(n)
	k := try.size(n)
	return k < n && draws(n, k) >= spare/try.level()
}
