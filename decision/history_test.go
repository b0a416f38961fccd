package decision_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"slices"
	"testing"
	"time"

	"lapisspread/decision"
)

const milli = time.Millisecond

// policyFactory returns the policy under test: an unaltered Balancer or a flawed policy.
type policyFactory func(cfg decision.Config, seed uint64, h decision.Host) (*policy, error)

// newBalancerPolicy returns a Balancer whose events are not altered.
func newBalancerPolicy(cfg decision.Config, seed uint64, h decision.Host) (*policy, error) {
	b, err := decision.New(cfg, seed, h)
	return &policy{Balancer: b}, err
}

// history is a random run of some proxies and servers, with faults, requests and endpoint updates.
type history struct {
	random         *rand.Rand
	config         decision.Config
	now            time.Duration
	queue          []historyEvent
	lastSerial     int
	step           int
	proxies        []*proxy
	servers        map[decision.BackendID]*backendServer
	loads          *backendLoads
	lastID         decision.RequestID
	oddEvents      bool          // some events are reported twice, late, with invalid latencies or for unknown IDs
	instantAnswers bool          // answers take no time
	workHints      bool          // requests carry their expected work
	allHealthy     bool          // all servers are healthy until the end
	anySettings    bool          // settings are drawn from a wide range (randomizeSettings)
	meanWork       time.Duration // mean work of a request
	trace          []string
	violations     []string
}

// historyEvent is a scheduled event. Events at the same time run in the order of their serials.
type historyEvent struct {
	at     time.Duration
	serial int
	run    func()
}

// backendServer is the true state of a server, which the endpoint lists of the proxies may not show yet.
type backendServer struct {
	decision.Backend
	result    decision.Result // of each attempt and health check
	busyUntil time.Duration   // when the work in its queue is done
	slowdown  float64         // factor by which its work takes longer
}

func (d *history) schedule(delay time.Duration, run func()) {
	d.lastSerial++
	e := historyEvent{d.now + max(delay, 0), d.lastSerial, run}
	i, _ := slices.BinarySearchFunc(d.queue, e, func(a, b historyEvent) int { // the next event is the last element
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.serial, a.serial))
	})
	d.queue = slices.Insert(d.queue, i, e)
}

// tracef adds a line to the trace, with the step and the time.
func (d *history) tracef(format string, args ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%d %v ", d.step, d.now)+fmt.Sprintf(format, args...))
}

// ids returns the IDs of all servers in ascending order.
func (d *history) ids() []decision.BackendID {
	var ids []decision.BackendID
	for id := range d.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// backends returns the endpoint list entries of all servers as they are now, in the order of their IDs.
func (d *history) backends() (all []decision.Backend) {
	for _, id := range d.ids() {
		all = append(all, d.servers[id].Backend)
	}
	return all
}

// runOptions select what a run tests.
type runOptions struct {
	restartsOnly   bool // servers restart one after the other, without other faults: tests slow start
	drainGraceOnly bool // see model.drainGraceOnly
	instantAnswers bool // answers take no time until the servers recover, with any number of proxies
	anySettings    bool // settings are drawn from a wide range, see randomizeSettings
}

// runHistory runs a random history and returns the model's violations, the trace and the number of steps.
func runHistory(seed uint64, newPolicy policyFactory, options runOptions) (violations, trace []string, steps int,
	err error) {
	d := newHistory(seed, options)
	if err := d.addProxies(seed, newPolicy, options); err != nil {
		return nil, nil, 0, err
	}
	length := 12 * time.Second
	if options.anySettings {
		length = max(length, 200*d.meanWork)
	}
	end := d.now + length
	d.scheduleRequests(end)
	if options.restartsOnly {
		d.scheduleRestarts(length)
	} else {
		for at := d.now; at < end; at += time.Duration(d.random.IntN(500)) * length / 12000 {
			d.schedule(at-d.now, d.injectFault)
		}
	}
	d.runUntil(end + 7*time.Second)
	if options.anySettings {
		d.awaitAnswers()
	}
	if d.random.IntN(4) == 0 { // the proxies are suspended for days: events that were due are reported after them
		d.now += 200 * 24 * time.Hour
	}
	d.recover()
	return d.violations, d.trace, d.step, nil
}

// newHistory returns a run with a random configuration and random servers, without proxies yet.
func newHistory(seed uint64, options runOptions) *history {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := randomSiteConfig(rng)
	meanWork := 30 * milli
	if options.anySettings {
		meanWork = randomizeSettings(&cfg, rand.New(rand.NewPCG(seed, 27)))
	}
	d := &history{random: rng, config: cfg, anySettings: options.anySettings, meanWork: meanWork, now: time.Second}
	d.servers = map[decision.BackendID]*backendServer{}
	d.oddEvents = !options.restartsOnly && rng.IntN(4) > 0
	d.lastID = math.MaxUint32 - 200 // request IDs wrap around during the run
	d.workHints = rng.IntN(2) == 0
	d.instantAnswers = options.instantAnswers || !options.restartsOnly && cfg.Instances <= 8 && rng.IntN(6) == 0
	if rng.IntN(2) == 0 {
		d.now = 1_790_000_000 * time.Second // the engine's clock shows Unix time
	}
	d.loads = &backendLoads{speed: map[decision.BackendID]float64{}, sent: map[decision.BackendID][]sentWork{}}
	d.loads.slack = 12 * meanWork
	for i := range 1 + rng.IntN(9) {
		id := decision.BackendID(i + 1)
		entry := decision.Backend{ID: id, Zone: i % 2, Cell: i % 3, Kind: i % 2, State: decision.Ready, Weight: 1}
		d.servers[id] = &backendServer{Backend: entry, slowdown: 1}
		if d.loads.speed[id] = 1; d.instantAnswers {
			d.loads.speed[id] = 1e6
		}
	}
	return d
}

// addProxies creates the proxies, each with a started policy and its model.
func (d *history) addProxies(seed uint64, newPolicy policyFactory, options runOptions) (err error) {
	for i := range d.config.Instances {
		c := d.config
		c.Rank = i
		x := &proxy{history: d, model: newModel(c, d.loads)}
		x.model.drainGraceOnly = options.drainGraceOnly
		if x.policy, err = newPolicy(c, seed*100+uint64(i), x); err != nil {
			return err
		}
		d.proxies = append(d.proxies, x)
		x.report("start", func() {}, func() { x.policy.Start(d.now) })
		x.sendList()
	}
	return nil
}

// scheduleRequests spreads requests over the proxies until the end, at a random share of the servers' capacity.
func (d *history) scheduleRequests(end time.Duration) {
	load := 0.4 + 0.6*d.random.Float64()
	gap := max(time.Duration(float64(d.meanWork)/load/float64(len(d.servers))), minRequestGap)
	for at := d.now; at < end; at += time.Duration(d.random.ExpFloat64() * float64(gap)) {
		if d.random.IntN(2000) == 0 {
			at += 2 * time.Second // a pause without requests
		}
		x := d.proxies[d.random.IntN(len(d.proxies))]
		d.schedule(at-d.now, x.sendRequest)
	}
}

// scheduleRestarts schedules a restart of each server, one after the other, over the length of the run.
func (d *history) scheduleRestarts(length time.Duration) {
	servers := len(d.servers)
	for i := range servers {
		d.schedule(length/6+time.Duration(i)*length*5/6/time.Duration(servers), func() {
			s := d.servers[decision.BackendID(i+1)]
			s.Started, s.busyUntil = d.now, d.now
			d.sendLists()
		})
	}
}

// awaitAnswers runs until all client timeouts are over, and checks that each open request has its final answer.
func (d *history) awaitAnswers() {
	longest := time.Duration(0)
	for _, c := range d.config.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	d.runUntil(d.now + longest + 4*time.Second)
	for _, x := range d.proxies {
		x.report("end of the client timeouts", func() {}, func() {})
		for _, r := range x.model.open {
			if len(d.violations) == 0 && !r.ended && !r.streaming && (!r.StreamedBody || r.bodyComplete) {
				d.violations = append(d.violations,
					fmt.Sprintf("%s: request %d has no final answer at the end", ruleFinalAnswer, r.ID))
			}
		}
	}
}

// runUntil runs the events that are due up to the time, and sets the clock to it. It stops at a violation.
func (d *history) runUntil(until time.Duration) {
	for len(d.queue) > 0 && len(d.violations) == 0 {
		last := len(d.queue) - 1
		e := d.queue[last]
		if e.at > until {
			break
		}
		d.queue = d.queue[:last]
		d.now, d.step = max(d.now, e.at), d.step+1
		e.run()
	}
	d.now = max(d.now, until)
}

// recover makes all servers healthy and lists them. Whatever happened before, most requests that come then must be
// served, and one slow server must get less than its share of them.
func (d *history) recover() {
	if len(d.violations) > 0 {
		return
	}
	slow := decision.BackendID(1)
	d.healAll(slow)
	if d.anySettings { // wait until the slow start after any suspected restart is over
		d.runUntil(d.now + d.config.Constraints.WarmUp + 10*d.config.Capabilities.ConnectTimeout)
	}
	// The first 70 % of the requests let the proxies learn that the servers have recovered; the rest are checked.
	checked, gap := make([][]*modelRequest, len(d.proxies)), max(100*milli, 3*d.meanWork)
	for i := range 100 * len(d.proxies) {
		n := i % len(d.proxies)
		d.schedule(time.Duration(i)*gap, func() {
			x := d.proxies[n]
			x.sendRequest()
			if r := x.model.byID[x.lastID]; i >= 70*len(d.proxies) && !r.StreamedBody {
				checked[n] = append(checked[n], r)
			}
		})
	}
	d.runUntil(d.now + 100*gap*time.Duration(len(d.proxies)) + 5*time.Second)
	if d.anySettings {
		d.awaitAnswers()
	}
	d.checkServed(checked)
	d.checkSlowAvoided(checked, slow)
}

// healAll makes all servers healthy, lists and attaches them. With more than two servers it makes the one that slow
// names 8 times as slow as the others.
func (d *history) healAll(slow decision.BackendID) {
	d.oddEvents = false
	d.instantAnswers = false
	d.now += time.Second
	for id := range d.servers {
		d.loads.speed[id] = 1
	}
	for _, id := range d.ids() {
		s := d.servers[id]
		s.State = decision.Ready
		s.result = decision.OK
		s.busyUntil = 0
	}
	if len(d.servers) > 2 {
		d.servers[slow].slowdown = 8
	}
	for _, x := range d.proxies {
		for id := range x.model.detached {
			x.report(fmt.Sprintf("attach backend %d", id), func() { delete(x.model.detached, id) },
				func() { x.policy.Attach(d.now, id) })
		}
		l := decision.EndpointUpdate{Kind: decision.UpdateFull, Backends: d.backends()}
		x.report("endpoint list with all servers ready", func() { x.model.endpoints(l) },
			func() { x.policy.UpdateEndpoints(d.now, l) })
	}
	d.allHealthy = true
}

// checkServed checks that each proxy had at least three quarters of its requests served.
func (d *history) checkServed(byProxy [][]*modelRequest) {
	for n, requests := range byProxy {
		served := 0
		for _, r := range requests {
			if r.streaming || slices.ContainsFunc(r.attempts, (*modelAttempt).succeeded) {
				served++
			}
		}
		// With any settings and many proxies fewer may be served: one of many proxies spaces its attempts in time by
		// mean latencies that decay with the number of requests, not with time. See TestLatencyJumpStallsNoProxy.
		if len(d.violations) == 0 && served < len(requests)*3/4 && (!d.anySettings || len(d.proxies) <= 3) {
			d.violations = append(d.violations,
				fmt.Sprintf("recovery: proxy %d had %d of %d requests served by healthy servers, want at least 3/4",
					n, served, len(requests)))
		}
	}
}

// checkSlowAvoided checks that a slow server got at most three quarters of an equal share of the attempts.
func (d *history) checkSlowAvoided(byProxy [][]*modelRequest, slow decision.BackendID) {
	toSlow, sends := 0, 0
	for _, requests := range byProxy {
		for _, r := range requests {
			for _, a := range r.attempts {
				if sends++; a.target == slow {
					toSlow++
				}
			}
		}
	}
	equalShare, tolerance := float64(sends)/float64(len(d.servers)), 0.0
	if d.anySettings { // a site with slow requests has few in each check interval, so chance counts more
		tolerance = 2 * math.Sqrt(equalShare)
	}
	if limit := 0.75*equalShare + tolerance; len(d.violations) == 0 && len(d.servers) > 2 && !d.config.KeyAffinity &&
		float64(toSlow) > limit {
		d.violations = append(d.violations,
			fmt.Sprintf("recovery: %d of %d sends went to backend %d, which is 8 times as slow as the %d others, "+
				"want at most %.0f", toSlow, sends, slow, len(d.servers)-1, limit))
	}
}

// reportViolation fails the test and logs what helps to reproduce the run: the seed, the step, the trace lines that
// name the requests and backends of the first violation, and the end of the trace.
func reportViolation(t *testing.T, seed uint64, violations, trace []string, step int) {
	t.Helper()
	t.Errorf("seed %d, step %d: the model reports %q, want no violation", seed, step, violations)
	end := max(0, len(trace)-15)
	for _, name := range regexp.MustCompile(`(request|backend) \d+`).FindAllString(violations[0], -1) {
		named := regexp.MustCompile(name + `\b`)
		for _, line := range trace[:end] {
			if named.MatchString(line) {
				t.Log(line)
			}
		}
	}
	for _, line := range trace[end:] {
		t.Log(line)
	}
}

// checkHistory runs a history and fails the test if the Balancer violates the model.
func checkHistory(t *testing.T, seed uint64, options runOptions) {
	t.Helper()
	violations, trace, step, err := runHistory(seed, newBalancerPolicy, options)
	if err != nil {
		t.Fatalf("runHistory(seed %d): %v", seed, err)
	}
	if len(violations) > 0 {
		reportViolation(t, seed, violations, trace, step)
	}
}

// A Balancer violates none of the model's rules in random histories.
func TestBalancerFollowsModel(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed, runOptions{restartsOnly: seed%3 == 2})
		})
	}
}

// A Balancer violates none of the model's rules with the settings of many kinds of sites: deadlines from 50 ms to a
// minute, ticks from 0.5 ms to 20 ms, warm-up times from none to a minute, and so on.
func TestBalancerFollowsModelWithAnySettings(t *testing.T) {
	for seed := range uint64(21) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed, runOptions{restartsOnly: seed%3 == 2, anySettings: true})
		})
	}
}

func FuzzBalancerFollowsModel(f *testing.F) {
	for _, seed := range []uint64{0, 1, 1000, 1 << 40} {
		f.Add(seed, seed == 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64, restartsOnly bool) {
		checkHistory(t, seed, runOptions{restartsOnly: restartsOnly})
	})
}

// Right after all latencies jump by a factor of hundreds, the mean latency and the latency ratios do not match: one of
// them is from before the jump. Their product would be far too large, and one of many proxies, which spaces its
// attempts in time by its typical latency, would send almost nothing for minutes.
func TestLatencyJumpStallsNoProxy(t *testing.T) {
	for _, seed := range []uint64{1, 29, 207, 266, 273, 324, 375, 545} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed, runOptions{instantAnswers: true})
		})
	}
}

// describeBackends formats the IDs and states of endpoint list entries for the trace.
func describeBackends(backends []decision.Backend) (s string) {
	states := [...]string{decision.Removed: "removed", decision.Ready: "ready", decision.Draining: "draining"}
	for _, b := range backends {
		s += fmt.Sprintf(" %d %s,", b.ID, states[b.State])
	}
	return s
}

// injectFault changes a random server, detaches one, or reports odd events. It then sends the new list to all proxies.
func (d *history) injectFault() {
	id := decision.BackendID(1 + d.random.IntN(len(d.servers)))
	s := d.servers[id]
	switch d.random.IntN(9) {
	case 0, 1:
		s.result = []decision.Result{decision.OK, decision.OK, decision.Timeout, decision.Error, decision.Rejected,
			decision.ConnectFailed, decision.Reset, decision.NotSent}[d.random.IntN(8)]
		d.tracef("backend %d answers with %s from now on", id, resultName(s.result))
	case 2:
		s.State = []decision.BackendState{decision.Draining, decision.Removed}[d.random.IntN(2)]
	case 3, 4: // it restarts, also if it was not in the list
		s.State = decision.Ready
		s.Started = d.now
		s.result = decision.OK
		s.busyUntil = d.now
	case 5: // it becomes ready again without a restart
		s.State = decision.Ready
	case 6: // all servers, or all but one, leave the list for a second
		for _, o := range d.servers {
			o.State = decision.Removed
		}
		if d.random.IntN(2) == 0 {
			s.State = decision.Ready
		}
		d.schedule(time.Second, func() {
			for _, id := range d.ids() {
				d.servers[id].State = decision.Ready
			}
			d.sendLists()
		})
	case 7: // an operator detaches it at one proxy and attaches it later
		x := d.proxies[d.random.IntN(len(d.proxies))]
		x.report(fmt.Sprintf("detach backend %d", id), func() { x.model.detached[id] = true },
			func() { x.policy.Detach(d.now, id) })
		d.schedule(time.Duration(d.random.IntN(1500))*milli, func() {
			x.report(fmt.Sprintf("attach backend %d", id), func() { delete(x.model.detached, id) },
				func() { x.policy.Attach(d.now, id) })
		})
	case 8:
		if !d.oddEvents {
			return
		}
		x := d.proxies[d.random.IntN(len(d.proxies))]
		unknown := decision.RequestID(d.random.Uint32())
		x.reportThenList("events for unknown IDs", func() {}, func() {
			x.policy.Outcome(d.now, decision.Outcome{ID: unknown, Attempt: d.random.IntN(9) - 4})
			x.policy.HealthChecked(d.now, decision.HealthCheckResult{Backend: 9999, Latency: math.MinInt64})
			x.policy.FirstByte(d.now, decision.FirstByte{ID: unknown, Attempt: -1})
			x.policy.BodyComplete(d.now, unknown, 0)
			x.policy.ClientGone(d.now, unknown)
		})
	}
	d.sendLists()
}

// sendLists schedules an endpoint update for each proxy, each after a random time.
func (d *history) sendLists() {
	for _, x := range d.proxies {
		d.schedule(time.Duration(d.random.IntN(300))*milli, x.sendList)
	}
}
