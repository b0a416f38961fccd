package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// rolloutSim plays the policy store, the rollout driver of the current leader and a fleet of proxies in virtual time.
// Proxies report once per second, each at its own moment, and differ in how many of their requests go bad.
type rolloutSim struct {
	t           testing.TB
	rng         *rand.Rand
	store       *store.StateMachine
	leader      *rolloutDriver // of the current leader; nil if none
	settings    rollout.Settings
	now         time.Duration
	proxies     []*simProxy
	reporters   [stepsPerSecond][]*simProxy
	adopting    []*simProxy
	uncommitted *store.RolloutResult // proposed and not committed yet

	changes           []*simChange
	harmfulEpochs     map[uint64]bool // with a harmful change
	unadoptableEpochs map[uint64]bool // that proxies cannot adopt
	maxHarmed         int             // most proxies that had a harmful epoch at one time
	rollouts          int
	stops             int
	raftEpoch         uint64
	violations        []string
	logBlocked        bool // proposals are not committed
	announceEarly     bool // mutation; see rolloutDriver
	leastKnown        bool // leastEpoch is up to date
	leastEpoch        uint64
}

const (
	simStep         = 100 * time.Millisecond
	stepsPerSecond  = int(time.Second / simStep)
	harmfulBadShare = 0.05 // of the requests under a harmful epoch
)

type simProxy struct {
	name        string
	current     rollout.Version
	badShare    float64
	sequence    uint64
	adopting    rollout.Version // that it is about to adopt
	unreachable bool
}

// simChange is a namespace file that a team offers.
type simChange struct {
	team, number int
	offeredAt    time.Duration
	harmful      bool
	unadoptable  bool          // proxies cannot adopt it
	completedIn  uint64        // the first completed rollout with it
	inForceAt    time.Duration // when all proxies had it
}

func (o *simChange) namespace() string { return fmt.Sprint("t", o.team) }

func newRolloutSim(t testing.TB, seed uint64, n, teams int) *rolloutSim {
	t.Helper()
	f := &api.Config{}
	sim := &rolloutSim{
		t:                 t,
		rng:               rand.New(rand.NewPCG(seed, 21)),
		settings:          f.RolloutSettings(),
		harmfulEpochs:     map[uint64]bool{},
		unadoptableEpochs: map[uint64]bool{},
	}
	sim.bootstrap(teams)
	sim.join(n)
	return sim
}

// bootstrap starts a new store, with an ownership declaration and a file of each team.
func (sim *rolloutSim) bootstrap(teams int) {
	sim.t.Helper()
	sim.raftEpoch++
	sim.store, sim.leader, sim.uncommitted = store.New(sim.raftEpoch<<32), nil, nil
	sim.apply(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipOfTeams(teams), Author: "admin"}})
	for i := range teams {
		sim.apply(store.Command{
			SubmitFile: &store.SubmitFile{Text: namespaceOfTeam(i, 1, fmt.Sprint("/", i)), Author: "t"},
		})
	}
	sim.electLeader()
}

func ownershipOfTeams(n int) string {
	var c strings.Builder
	c.WriteString("version = 1\n")
	for i := range n {
		fmt.Fprintf(
			&c,
			"[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"route\", \"service\"]\n",
			i,
		)
	}
	return c.String()
}

func namespaceOfTeam(team, number int, path string) string {
	return namespaceText(fmt.Sprint("t", team), number, path)
}

func (sim *rolloutSim) apply(c store.Command) {
	sim.t.Helper()
	sim.leastKnown = false
	if err := sim.store.Apply(c); err != nil {
		sim.t.Fatalf("%v: %s", err, operatorerror.AdviceOf(err))
	}
}

// electLeader starts a new leader, which knows the store only.
func (sim *rolloutSim) electLeader() {
	sim.leader = &rolloutDriver{proxies: map[string]*proxyState{}, announceBeforeCommit: sim.announceEarly}
}

func (sim *rolloutSim) join(n int) {
	for range n {
		c := &simProxy{name: fmt.Sprintf("p%05d", len(sim.proxies)), badShare: 0.01 * sim.rng.ExpFloat64()}
		sim.proxies = append(sim.proxies, c)
		k := sim.rng.IntN(stepsPerSecond)
		sim.reporters[k] = append(sim.reporters[k], c)
	}
	sim.leastKnown = false
}

// offer submits a team's file.
func (sim *rolloutSim) offer(team, number int, path string, harm bool) {
	sim.t.Helper()
	before := sim.store.Status()
	sim.apply(store.Command{SubmitFile: &store.SubmitFile{Text: namespaceOfTeam(team, number, path), Author: "t"}})
	sim.changes = append(sim.changes, &simChange{team: team, number: number, offeredAt: sim.now, harmful: harm})
	sim.observeRollout(before, false)
}

// observeRollout records a rollout that a command started.
func (sim *rolloutSim) observeRollout(before store.Status, judged bool) {
	after := sim.store.Status()
	if after.Candidate == before.Candidate || after.Candidate.Epoch == 0 {
		return
	}
	if before.Candidate.Epoch != 0 && before.Stopped == nil && !judged {
		sim.violate("epoch %d was displaced by %d", before.Candidate.Epoch, after.Candidate.Epoch)
	}
	sim.rollouts++
	sim.harmfulEpochs[after.Candidate.Epoch] = sim.harmfulEpochs[after.Active.Epoch]
	for _, change := range after.Batch {
		for _, o := range sim.changes {
			if change.Namespace != o.namespace() || change.Number != uint64(o.number) {
				continue
			}
			if o.unadoptable {
				sim.unadoptableEpochs[after.Candidate.Epoch] = true
			}
			if o.harmful {
				sim.harmfulEpochs[after.Candidate.Epoch] = true
			}
		}
	}
}

func (sim *rolloutSim) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// step advances the simulation by simStep.
func (sim *rolloutSim) step() {
	sim.now += simStep
	sim.commitProposal()
	status := sim.store.Status()
	sim.adoptTargets()
	for _, c := range sim.reporters[int(sim.now/simStep)%stepsPerSecond] {
		sim.report(c, status)
	}
	sim.advanceLeader(status)
	sim.updateLeastEpoch(status)
	for _, o := range sim.changes {
		if o.completedIn != 0 && o.inForceAt == 0 && sim.leastEpoch >= o.completedIn {
			o.inForceAt = sim.now
		}
	}
}

// commitProposal commits how a rollout ended, as the leader proposed it in an earlier step.
func (sim *rolloutSim) commitProposal() {
	if sim.uncommitted == nil || sim.leader == nil || sim.logBlocked {
		return
	}
	before := sim.store.Status()
	if sim.uncommitted.Completed {
		sim.completeChanges(before)
	} else {
		sim.stops++
	}
	sim.apply(store.Command{RolloutResult: sim.uncommitted})
	sim.uncommitted = nil
	sim.observeRollout(before, true)
}

func (sim *rolloutSim) completeChanges(before store.Status) {
	epoch := before.Candidate.Epoch
	for _, change := range before.Batch {
		for _, o := range sim.changes {
			if o.completedIn == 0 && change.Namespace == o.namespace() && change.Number >= uint64(o.number) {
				o.completedIn = epoch
			}
		}
	}
	if sim.harmfulEpochs[epoch] {
		sim.violate("epoch %d is harmful and got through", epoch)
	}
}

// adoptTargets has proxies adopt what they learnt in the last step.
func (sim *rolloutSim) adoptTargets() {
	for _, c := range sim.adopting {
		if c.adopting.NewerThan(c.current) {
			c.current = c.adopting
		}
	}
	if len(sim.adopting) > 0 {
		sim.adopting = sim.adopting[:0]
		sim.leastKnown = false
	}
}

// advanceLeader advances the leader's rollout, as runRollouts does.
func (sim *rolloutSim) advanceLeader(status store.Status) {
	driver := sim.leader
	if driver == nil {
		return
	}
	driver.syncWithLog(sim.now, sim.settings, status)
	driver.advance(sim.now)
	state, reason := driver.rollout.State()
	current := driver.candidate == status.Candidate && driver.candidate.Epoch != 0 && status.Stopped == nil
	ended := state == rollout.Done || state == rollout.Stopped
	if !current || !ended || sim.uncommitted != nil {
		return
	}
	sim.uncommitted = &store.RolloutResult{
		Generation: driver.candidate.Generation,
		Epoch:      driver.candidate.Epoch,
		Completed:  state == rollout.Done,
		ProxyCount: len(driver.proxies),
	}
	if reason != nil {
		sim.uncommitted.Reason = reason.Error()
		sim.uncommitted.Advice = operatorerror.AdviceOf(reason)
	}
}

// updateLeastEpoch finds the epoch that all proxies have at least, and how many have a harmful one.
func (sim *rolloutSim) updateLeastEpoch(st store.Status) {
	if sim.leastKnown {
		return
	}
	had := 0
	sim.leastKnown, sim.leastEpoch = true, math.MaxUint64
	for _, c := range sim.proxies {
		switch {
		case c.unreachable:
		case c.current.Generation != st.Active.Generation:
			sim.leastEpoch = 0
		default:
			sim.leastEpoch = min(sim.leastEpoch, c.current.Epoch)
			if sim.harmfulEpochs[c.current.Epoch] {
				had++
			}
		}
	}
	sim.maxHarmed = max(sim.maxHarmed, had)
}

func (sim *rolloutSim) report(c *simProxy, st store.Status) {
	if c.unreachable || sim.leader == nil {
		return
	}
	c.sequence++
	share := min(1, c.badShare)
	if sim.harmfulEpochs[c.current.Epoch] {
		share = min(1, share+harmfulBadShare)
	}
	const each = 160 // requests per second of a proxy
	bad := int64(math.Round(each*share + math.Sqrt(each*share*(1-share))*sim.rng.NormFloat64()))
	bad = max(0, min(each, bad))
	o, err := sim.leader.report(
		sim.now, sim.settings, st,
		api.PolicyReport{Proxy: c.name, Sequence: c.sequence, Current: c.current, Good: each - bad, Bad: bad},
	)
	if err != nil {
		sim.t.Fatal(err)
	}
	if c.current.NewerThan(o) && o.Generation > c.current.Generation {
		sim.violate("a target goes back")
	}
	if o.NewerThan(c.current) && !sim.unadoptableEpochs[o.Epoch] {
		c.adopting = o
		sim.adopting = append(sim.adopting, c)
	}
}

func (sim *rolloutSim) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
	}
}

// settle runs until all rollouts have ended, and records a violation if they never do.
func (sim *rolloutSim) settle() {
	sim.t.Helper()
	for range 5 * 60 * stepsPerSecond {
		sim.step()
		st := sim.store.Status()
		if st.Candidate.Epoch != 0 && st.Stopped == nil || len(st.Queued) > 0 {
			continue
		}
		if sim.leastEpoch >= st.Active.Epoch {
			return
		}
	}
	sim.violate("it never comes to an end: %+v", sim.store.Status())
}

// findViolations returns what must never happen and did: a change that is neither in force nor reported, one that is
// blamed without having done harm.
func (sim *rolloutSim) findViolations() []string {
	st := sim.store.Status()
	harmless := !slices.ContainsFunc(sim.changes, func(o *simChange) bool { return o.harmful })
	for _, o := range sim.changes {
		name := fmt.Sprint("t", o.team)
		at := slices.IndexFunc(
			st.FailedChanges,
			func(f store.FailedChange) bool { return f.Namespace == name && f.Number == uint64(o.number) },
		)
		held := slices.ContainsFunc(st.WithheldFiles, func(h store.WithheldFile) bool {
			return h.Namespace == name && h.Submitted == uint64(o.number) && h.Reason != ""
		})
		newer := slices.ContainsFunc(
			sim.changes, func(n *simChange) bool { return n.team == o.team && n.number > o.number },
		)
		switch {
		case at >= 0 && (st.FailedChanges[at].Reason == "" || st.FailedChanges[at].Advice == "" ||
			st.FailedChanges[at].Author != "t"):
			sim.violate("%s %d is at fault without a reason", name, o.number)
		case at >= 0 && (!o.harmful || harmless):
			sim.violate("%s %d is blamed and did no harm", name, o.number)
		case at < 0 && !held && !newer && o.inForceAt == 0:
			sim.violate("%s %d is neither in force nor reported", name, o.number)
		case at < 0 && !held && !newer && o.harmful:
			sim.violate("%s %d is harmful and not reported", name, o.number)
		}
	}
	return sim.violations
}

func (sim *rolloutSim) check() {
	sim.t.Helper()
	if wrong := sim.findViolations(); len(wrong) > 0 {
		sim.t.Errorf("%d: %s", len(wrong), wrong[0])
	}
}

// offerRegularly submits a change of a random team at regular times; every harmful-th does harm.
func (sim *rolloutSim) offerRegularly(d, every time.Duration, harmful int) {
	number := 1
	for end := sim.now + d; sim.now < end; {
		number++
		sim.offer(sim.rng.IntN(24), number, fmt.Sprint("/n", number), harmful > 0 && number%harmful == 0)
		sim.run(every)
	}
	sim.settle()
}

// completionTimes returns how long harmless changes took to reach all proxies, in ascending order.
func (sim *rolloutSim) completionTimes() (all []time.Duration) {
	for _, o := range sim.changes {
		if o.inForceAt > 0 && !o.harmful {
			all = append(all, o.inForceAt-o.offeredAt)
		}
	}
	slices.Sort(all)
	return all
}
