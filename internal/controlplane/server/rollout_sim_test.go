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

// rolloutSim simulates the policy store, the rollout driver of the current leader and a fleet of proxies in virtual
// time. Each proxy reports once per second at its own offset, and the proxies differ in their share of failed requests.
type rolloutSim struct {
	t           testing.TB
	rng         *rand.Rand
	store       *store.StateMachine
	leader      *rolloutDriver // driver of the current leader; nil without a leader
	settings    rollout.Settings
	now         time.Duration
	proxies     []*simProxy
	reporters   [stepsPerSecond][]*simProxy // proxies by the step of each second in which they report
	adopting    []*simProxy                 // proxies that adopt their target in the next step
	uncommitted *store.RolloutResult        // proposed, but not committed yet

	changes           []*simChange
	harmfulEpochs     map[uint64]bool // epochs with a harmful change
	unadoptableEpochs map[uint64]bool // epochs that proxies cannot adopt
	maxHarmed         int             // maximum number of proxies that had a harmful epoch at the same time
	rollouts          int             // started
	stops             int             // rollouts that were stopped
	raftEpoch         uint64
	violations        []string
	logBlocked        bool   // while true, proposals are not committed
	announceEarly     bool   // mutation rolloutDriver.announceBeforeCommit of new leaders
	leastEpochValid   bool   // leastEpoch is up to date
	leastEpoch        uint64 // lowest policy epoch of the reachable proxies
}

const (
	simStep         = 100 * time.Millisecond
	stepsPerSecond  = int(time.Second / simStep)
	harmfulBadShare = 0.05 // additional share of failed requests under a harmful epoch, 0 to 1
)

// simProxy is a simulated proxy.
type simProxy struct {
	name        string
	current     rollout.Version
	badShare    float64 // share of failed requests under a harmless epoch
	sequence    uint64
	adopting    rollout.Version // target that it adopts in the next step
	unreachable bool
}

// simChange is a namespace file that a team submits.
type simChange struct {
	team, number int
	offeredAt    time.Duration
	harmful      bool
	unadoptable  bool          // proxies cannot adopt it
	completedIn  uint64        // epoch of the first completed rollout with the change; 0 if none
	inForceAt    time.Duration // when all reachable proxies had the change; 0 if not yet
}

func (c *simChange) namespace() string { return fmt.Sprint("t", c.team) }

// newRolloutSim returns a simulation with a bootstrapped store, a leader and the given number of proxies.
func newRolloutSim(t testing.TB, seed uint64, proxies, teams int) *rolloutSim {
	t.Helper()
	sim := &rolloutSim{
		t:                 t,
		rng:               rand.New(rand.NewPCG(seed, 21)),
		settings:          (&api.Config{}).RolloutSettings(),
		harmfulEpochs:     map[uint64]bool{},
		unadoptableEpochs: map[uint64]bool{},
	}
	sim.bootstrap(teams)
	sim.addProxies(proxies)
	return sim
}

// bootstrap replaces the store by a new one, with an ownership declaration and a file of each team, and elects a
// leader.
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

// ownershipOfTeams returns an ownership declaration that gives x.org to the namespaces of all teams.
func ownershipOfTeams(teams int) string {
	var text strings.Builder
	text.WriteString("version = 1\n")
	for i := range teams {
		fmt.Fprintf(
			&text,
			"[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"route\", \"service\"]\n",
			i,
		)
	}
	return text.String()
}

// namespaceOfTeam returns a version of a team's namespace file.
func namespaceOfTeam(team, number int, path string) string {
	return namespaceText(fmt.Sprint("t", team), number, path)
}

// apply commits a command to the store.
func (sim *rolloutSim) apply(c store.Command) {
	sim.t.Helper()
	sim.leastEpochValid = false
	if err := sim.store.Apply(c); err != nil {
		sim.t.Fatalf("at %v: Apply(%+v) returned error %v, advice %q, want no error",
			sim.now, c, err, operatorerror.AdviceOf(err))
	}
}

// electLeader starts a new leader, which has no state except the store.
func (sim *rolloutSim) electLeader() {
	sim.leader = &rolloutDriver{proxies: map[string]*proxyState{}, announceBeforeCommit: sim.announceEarly}
}

// addProxies adds proxies with random shares of failed requests and random report times.
func (sim *rolloutSim) addProxies(n int) {
	for range n {
		c := &simProxy{name: fmt.Sprintf("p%05d", len(sim.proxies)), badShare: 0.01 * sim.rng.ExpFloat64()}
		sim.proxies = append(sim.proxies, c)
		k := sim.rng.IntN(stepsPerSecond)
		sim.reporters[k] = append(sim.reporters[k], c)
	}
	sim.leastEpochValid = false
}

// offer submits a version of a team's namespace file.
func (sim *rolloutSim) offer(team, number int, path string, harmful bool) {
	sim.t.Helper()
	before := sim.store.Status()
	sim.apply(store.Command{SubmitFile: &store.SubmitFile{Text: namespaceOfTeam(team, number, path), Author: "t"}})
	sim.changes = append(sim.changes, &simChange{team: team, number: number, offeredAt: sim.now, harmful: harmful})
	sim.observeRollout(before, false)
}

// observeRollout records a rollout that a command started. It records a violation if the rollout displaced one in
// progress. The argument ended says that the command ended the previous rollout.
func (sim *rolloutSim) observeRollout(before store.Status, ended bool) {
	after := sim.store.Status()
	if after.Candidate == before.Candidate || after.Candidate.Epoch == 0 {
		return
	}
	if before.Candidate.Epoch != 0 && before.Stopped == nil && !ended {
		sim.recordViolation("rollout of epoch %d in progress was displaced by epoch %d",
			before.Candidate.Epoch, after.Candidate.Epoch)
	}
	sim.rollouts++
	sim.harmfulEpochs[after.Candidate.Epoch] = sim.harmfulEpochs[after.Active.Epoch]
	for _, batched := range after.Batch {
		for _, change := range sim.changes {
			if batched.Namespace != change.namespace() || batched.Number != uint64(change.number) {
				continue
			}
			if change.unadoptable {
				sim.unadoptableEpochs[after.Candidate.Epoch] = true
			}
			if change.harmful {
				sim.harmfulEpochs[after.Candidate.Epoch] = true
			}
		}
	}
}

// recordViolation records that something happened that must never happen.
func (sim *rolloutSim) recordViolation(format string, args ...any) {
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
	for _, change := range sim.changes {
		if change.completedIn != 0 && change.inForceAt == 0 && sim.leastEpoch >= change.completedIn {
			change.inForceAt = sim.now
		}
	}
}

// commitProposal commits the rollout result that the leader proposed in an earlier step.
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

// completeChanges records which changes the completed rollout contains, and a violation if it is harmful.
func (sim *rolloutSim) completeChanges(before store.Status) {
	epoch := before.Candidate.Epoch
	for _, batched := range before.Batch {
		for _, change := range sim.changes {
			if change.completedIn == 0 && batched.Namespace == change.namespace() &&
				batched.Number >= uint64(change.number) {
				change.completedIn = epoch
			}
		}
	}
	if sim.harmfulEpochs[epoch] {
		sim.recordViolation("rollout of harmful epoch %d completed, want it stopped", epoch)
	}
}

// adoptTargets makes proxies adopt the targets that they received in the previous step.
func (sim *rolloutSim) adoptTargets() {
	for _, c := range sim.adopting {
		if c.adopting.NewerThan(c.current) {
			c.current = c.adopting
		}
	}
	if len(sim.adopting) > 0 {
		sim.adopting = sim.adopting[:0]
		sim.leastEpochValid = false
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

// updateLeastEpoch computes the lowest epoch of the reachable proxies, and how many of them have a harmful epoch.
func (sim *rolloutSim) updateLeastEpoch(status store.Status) {
	if sim.leastEpochValid {
		return
	}
	harmed := 0
	sim.leastEpochValid, sim.leastEpoch = true, math.MaxUint64
	for _, c := range sim.proxies {
		switch {
		case c.unreachable:
		case c.current.Generation != status.Active.Generation:
			sim.leastEpoch = 0
		default:
			sim.leastEpoch = min(sim.leastEpoch, c.current.Epoch)
			if sim.harmfulEpochs[c.current.Epoch] {
				harmed++
			}
		}
	}
	sim.maxHarmed = max(sim.maxHarmed, harmed)
}

// report sends a proxy's report to the leader and stores the target that the leader returns.
func (sim *rolloutSim) report(proxy *simProxy, status store.Status) {
	if proxy.unreachable || sim.leader == nil {
		return
	}
	proxy.sequence++
	share := min(1, proxy.badShare)
	if sim.harmfulEpochs[proxy.current.Epoch] {
		share = min(1, share+harmfulBadShare)
	}
	const requests = 160 // per second of each proxy
	bad := int64(math.Round(requests*share + math.Sqrt(requests*share*(1-share))*sim.rng.NormFloat64()))
	bad = max(0, min(requests, bad))
	target, err := sim.leader.report(
		sim.now, sim.settings, status,
		api.PolicyReport{
			Proxy: proxy.name, Sequence: proxy.sequence, Current: proxy.current, Good: requests - bad, Bad: bad,
		},
	)
	if err != nil {
		sim.t.Fatalf("at %v: report %d of proxy %s was rejected: %v", sim.now, proxy.sequence, proxy.name, err)
	}
	if proxy.current.NewerThan(target) && target.Generation > proxy.current.Generation {
		sim.recordViolation("target %+v of proxy %s with version %+v has a newer generation but counts as older",
			target, proxy.name, proxy.current)
	}
	if target.NewerThan(proxy.current) && !sim.unadoptableEpochs[target.Epoch] {
		proxy.adopting = target
		sim.adopting = append(sim.adopting, proxy)
	}
}

// run advances the simulation by d.
func (sim *rolloutSim) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
	}
}

// settle runs until all rollouts have ended, and records a violation if they have not after maxMinutes.
func (sim *rolloutSim) settle() {
	sim.t.Helper()
	const maxMinutes = 5
	for range maxMinutes * 60 * stepsPerSecond {
		sim.step()
		status := sim.store.Status()
		if status.Candidate.Epoch != 0 && status.Stopped == nil || len(status.Queued) > 0 {
			continue
		}
		if sim.leastEpoch >= status.Active.Epoch {
			return
		}
	}
	sim.recordViolation("rollouts have not ended after %d minutes, store status: %+v", maxMinutes, sim.store.Status())
}

// findViolations returns all recorded violations, and those that the final state shows: a change that is neither in
// force nor reported, or one that is reported as failed although it did no harm.
func (sim *rolloutSim) findViolations() []string {
	status := sim.store.Status()
	harmless := !slices.ContainsFunc(sim.changes, func(change *simChange) bool { return change.harmful })
	for _, change := range sim.changes {
		name := fmt.Sprint("t", change.team)
		failedIndex := slices.IndexFunc(
			status.FailedChanges,
			func(f store.FailedChange) bool { return f.Namespace == name && f.Number == uint64(change.number) },
		)
		withheld := slices.ContainsFunc(status.WithheldFiles, func(h store.WithheldFile) bool {
			return h.Namespace == name && h.Submitted == uint64(change.number) && h.Reason != ""
		})
		newer := slices.ContainsFunc(
			sim.changes, func(n *simChange) bool { return n.team == change.team && n.number > change.number },
		)
		switch {
		case failedIndex >= 0 && (status.FailedChanges[failedIndex].Reason == "" ||
			status.FailedChanges[failedIndex].Advice == "" || status.FailedChanges[failedIndex].Author != "t"):
			sim.recordViolation("change %d of %s failed with an incomplete report %+v, want reason, advice, author t",
				change.number, name, status.FailedChanges[failedIndex])
		case failedIndex >= 0 && (!change.harmful || harmless):
			sim.recordViolation("change %d of %s is reported as failed, but did no harm", change.number, name)
		case failedIndex < 0 && !withheld && !newer && change.inForceAt == 0:
			sim.recordViolation("change %d of %s is neither in force nor reported as failed or withheld",
				change.number, name)
		case failedIndex < 0 && !withheld && !newer && change.harmful:
			sim.recordViolation("change %d of %s is harmful, but not reported as failed", change.number, name)
		}
	}
	return sim.violations
}

// check fails the test if there are violations.
func (sim *rolloutSim) check() {
	sim.t.Helper()
	if violations := sim.findViolations(); len(violations) > 0 {
		sim.t.Errorf("simulation has %d violations, want none; the first: %s", len(violations), violations[0])
	}
}

// offerRegularly submits a change of a random team at each interval for the duration d, and then settles. Changes whose
// number is a multiple of harmfulEvery are harmful; if it is 0, none is.
func (sim *rolloutSim) offerRegularly(d, interval time.Duration, harmfulEvery int) {
	number := 1
	for end := sim.now + d; sim.now < end; {
		number++
		sim.offer(sim.rng.IntN(24), number, fmt.Sprint("/n", number), harmfulEvery > 0 && number%harmfulEvery == 0)
		sim.run(interval)
	}
	sim.settle()
}

// completionTimes returns how long the harmless changes took from the submission until all reachable proxies had them,
// in ascending order.
func (sim *rolloutSim) completionTimes() (all []time.Duration) {
	for _, change := range sim.changes {
		if change.inForceAt > 0 && !change.harmful {
			all = append(all, change.inForceAt-change.offeredAt)
		}
	}
	slices.Sort(all)
	return all
}
