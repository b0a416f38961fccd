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

// policyFactory makes what is under test: a Balancer, or a flawed policy.
type policyFactory func(cfg decision.Config, seed uint64, h decision.Host) (*policy, error)

func newBalancerPolicy(cfg decision.Config, seed uint64, h decision.Host) (*policy, error) {
	b, err := decision.New(cfg, seed, h)
	return &policy{Balancer: b}, err
}

// history is a random run: servers, some proxies, and what happens to them.
type history struct {
	random         *rand.Rand
	config         decision.Config
	now            time.Duration
	queue          []historyEvent
	nextSerial     int
	step           int
	proxies        []*proxy
	servers        map[decision.BackendID]*backendServer
	loads          *backendLoads
	lastID         decision.RequestID
	oddEvents      bool          // events come twice, late, or for what is unknown
	instantAnswers bool          // answers take no time
	workHints      bool          // requests carry their expected work
	allHealthy     bool          // all servers are healthy from now on
	anySettings    bool          // see randomizeSettings
	meanWork       time.Duration // that a request asks for, on average
	trace          []string
	violations     []string
}

type historyEvent struct {
	at     time.Duration
	serial int
	run    func()
}

// backendServer is the true state of a server, whatever lists say.
type backendServer struct {
	decision.Backend
	result    decision.Result // how it answers
	busyUntil time.Duration   // when its queue is done
	slowdown  float64
}

func (d *history) schedule(in time.Duration, do func()) {
	d.nextSerial++
	e := historyEvent{d.now + max(in, 0), d.nextSerial, do}
	i, _ := slices.BinarySearchFunc(d.queue, e, func(a, b historyEvent) int { // the next one comes last
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.serial, a.serial))
	})
	d.queue = slices.Insert(d.queue, i, e)
}

func (d *history) note(format string, args ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%d %v ", d.step, d.now)+fmt.Sprintf(format, args...))
}

func (d *history) ids() []decision.BackendID {
	var ids []decision.BackendID
	for id := range d.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// backends are all servers as they are now, in the order of their ids.
func (d *history) backends() (all []decision.Backend) {
	for _, id := range d.ids() {
		all = append(all, d.servers[id].Backend)
	}
	return all
}

// runOptions say what a run is to test.
type runOptions struct {
	restartsOnly   bool // servers restart one after the other, and nothing else happens: for slow start
	drainGraceOnly bool // see model
	instantAnswers bool // answers take no time at first, also for one of many proxies
	anySettings    bool // the settings are those of any customer
}

// runHistory runs a random history and gives its violations, its trace and the number of steps.
func runHistory(seed uint64, of policyFactory, how runOptions) (violations, trace []string, steps int, err error) {
	d := newHistory(seed, how)
	if err := d.addProxies(seed, of, how); err != nil {
		return nil, nil, 0, err
	}
	length := 12 * time.Second
	if how.anySettings {
		length = max(length, 200*d.meanWork)
	}
	end := d.now + length
	d.scheduleRequests(end)
	if how.restartsOnly {
		d.scheduleRestarts(length)
	} else {
		for at := d.now; at < end; at += time.Duration(d.random.IntN(500)) * length / 12000 {
			d.schedule(at-d.now, d.injectFault)
		}
	}
	d.runUntil(end + 7*time.Second)
	if how.anySettings {
		d.settle()
	}
	if d.random.IntN(4) == 0 { // nothing runs for days, and what was due comes after
		d.now += 200 * 24 * time.Hour
	}
	d.recover()
	return d.violations, d.trace, d.step, nil
}

// newHistory draws the configuration and the servers of a run.
func newHistory(seed uint64, how runOptions) *history {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := randomSiteConfig(rng)
	meanWork := 30 * milli
	if how.anySettings {
		meanWork = randomizeSettings(&cfg, rand.New(rand.NewPCG(seed, 27)))
	}
	d := &history{random: rng, config: cfg, anySettings: how.anySettings, meanWork: meanWork, now: time.Second}
	d.servers = map[decision.BackendID]*backendServer{}
	d.oddEvents = !how.restartsOnly && rng.IntN(4) > 0
	d.lastID = math.MaxUint32 - 200 // request ids wrap
	d.workHints = rng.IntN(2) == 0
	d.instantAnswers = how.instantAnswers || !how.restartsOnly && cfg.Instances <= 8 && rng.IntN(6) == 0
	if rng.IntN(2) == 0 {
		d.now = 1_790_000_000 * time.Second // as the engine's clock shows it
	}
	d.loads = &backendLoads{speed: map[decision.BackendID]float64{}, sent: map[decision.BackendID][]workSent{}}
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

// addProxies starts a policy for each proxy, with a model beside it.
func (d *history) addProxies(seed uint64, of policyFactory, how runOptions) (err error) {
	for i := range d.config.Instances {
		c := d.config
		c.Rank = i
		x := &proxy{history: d, model: newModel(c, d.loads)}
		x.model.drainGraceOnly = how.drainGraceOnly
		if x.policy, err = of(c, seed*100+uint64(i), x); err != nil {
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
			at += 2 * time.Second // no request comes
		}
		x := d.proxies[d.random.IntN(len(d.proxies))]
		d.schedule(at-d.now, x.sendRequest)
	}
}

// scheduleRestarts restarts one server after the other.
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

// settle waits for the answers that are still owed.
func (d *history) settle() {
	most := time.Duration(0)
	for _, c := range d.config.Classes {
		most = max(most, c.ClientTimeout)
	}
	d.runUntil(d.now + most + 4*time.Second)
	for _, x := range d.proxies {
		x.report("the end", func() {}, func() {})
		for _, r := range x.model.open {
			if len(d.violations) == 0 && !r.ended && !r.streaming && (!r.StreamedBody || r.bodyComplete) {
				d.violations = append(d.violations, fmt.Sprintf("rule 1: request %d has no answer at the end", r.ID))
			}
		}
	}
}

// runUntil runs the events that are due until then.
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

// recover makes all servers healthy and lists them; requests that come then must be served, whatever went before.
func (d *history) recover() {
	if len(d.violations) > 0 {
		return
	}
	slow := decision.BackendID(1)
	d.healAll(slow)
	if d.anySettings { // until the slow start of any suspected restart is over
		d.runUntil(d.now + d.config.Constraints.WarmUp + 10*d.config.Capabilities.ConnectTimeout)
	}
	late, gap := make([][]*modelRequest, len(d.proxies)), max(100*milli, 3*d.meanWork)
	for i := range 100 * len(d.proxies) {
		n := i % len(d.proxies)
		d.schedule(time.Duration(i)*gap, func() {
			x := d.proxies[n]
			x.sendRequest()
			if r := x.model.byID[x.lastID]; i >= 70*len(d.proxies) && !r.StreamedBody {
				late[n] = append(late[n], r)
			}
		})
	}
	d.runUntil(d.now + 100*gap*time.Duration(len(d.proxies)) + 5*time.Second)
	if d.anySettings {
		d.settle()
	}
	d.checkServed(late)
	d.checkSlowAvoided(late, slow)
}

// healAll makes all servers healthy, lists and attaches them, and lets one of more than two be slow.
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
			x.report("attach", func() { delete(x.model.detached, id) }, func() { x.policy.Attach(d.now, id) })
		}
		l := decision.EndpointUpdate{Kind: decision.UpdateFull, Backends: d.backends()}
		x.report("list, all healthy", func() { x.model.endpoints(l) }, func() { x.policy.UpdateEndpoints(d.now, l) })
	}
	d.allHealthy = true
}

// checkServed checks that most of the requests of each proxy were served.
func (d *history) checkServed(byProxy [][]*modelRequest) {
	for n, requests := range byProxy {
		served := 0
		for _, r := range requests {
			if r.streaming || slices.ContainsFunc(r.attempts, (*modelAttempt).succeeded) {
				served++
			}
		}
		// One of many proxies spaces its attempts by means that decay by requests, not by time: see
		// TestLatencyJumpStallsNoProxy.
		if len(d.violations) == 0 && served < len(requests)*3/4 && (!d.anySettings || len(d.proxies) <= 3) {
			d.violations = append(d.violations,
				fmt.Sprintf("recovery: of %d requests proxy %d has only %d served, all servers being healthy",
					len(requests), n, served))
		}
	}
}

// checkSlowAvoided checks that a slow server got less than its share of the attempts.
func (d *history) checkSlowAvoided(byProxy [][]*modelRequest, slow decision.BackendID) {
	there, sends := 0, 0
	for _, requests := range byProxy {
		for _, r := range requests {
			for _, a := range r.attempts {
				if sends++; a.target == slow {
					there++
				}
			}
		}
	}
	fair, chance := float64(sends)/float64(len(d.servers)), 0.0
	if d.anySettings { // few requests come in the check intervals of a slow site
		chance = 2 * math.Sqrt(fair)
	}
	if len(d.violations) == 0 && len(d.servers) > 2 && !d.config.KeyAffinity && float64(there) > 0.75*fair+chance {
		d.violations = append(d.violations,
			fmt.Sprintf("recovery: of %d sends %d went to the one of %d servers that is 8 times as slow",
				sends, there, len(d.servers)))
	}
}

// reportViolation fails a test with what is needed to reproduce the run: seed, step, and of the trace the end and what
// concerns the requests and servers that are named.
func reportViolation(t *testing.T, seed uint64, broken, trace []string, step int) {
	t.Helper()
	t.Errorf("seed %d, step %d: %v", seed, step, broken)
	end := max(0, len(trace)-15)
	for _, name := range regexp.MustCompile(`(request|server) (\d+)`).FindAllStringSubmatch(broken[0], -1) {
		concerns := regexp.MustCompile(`(request|send|reject|cancel|of|server) ` + name[2] + `\b`)
		for _, line := range trace[:end] {
			if concerns.MatchString(line) {
				t.Log(line)
			}
		}
	}
	for _, line := range trace[end:] {
		t.Log(line)
	}
}

// checkHistory runs a history and fails the test if the Balancer violates the model.
func checkHistory(t *testing.T, seed uint64, how runOptions) {
	t.Helper()
	broken, trace, step, err := runHistory(seed, newBalancerPolicy, how)
	if err != nil {
		t.Fatal(err)
	}
	if len(broken) > 0 {
		reportViolation(t, seed, broken, trace, step)
	}
}

func TestBalancerFollowsModel(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed, runOptions{restartsOnly: seed%3 == 2})
		})
	}
}

// Settings of other sites: deadlines from 50 ms to a minute, ticks from half a ms to 20 ms, no warm-up or a minute of
// it, and so on.
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
	f.Fuzz(func(t *testing.T, seed uint64, calm bool) { checkHistory(t, seed, runOptions{restartsOnly: calm}) })
}

// Right after all latencies jump by a factor of hundreds, the mean of before and the ratios of now must not be
// multiplied: one of many proxies spaces its attempts by its typical latency, and would send next to nothing for
// minutes.
func TestLatencyJumpStallsNoProxy(t *testing.T) {
	for _, seed := range []uint64{1, 29, 207, 266, 273, 324, 375, 545} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed, runOptions{instantAnswers: true})
		})
	}
}

func describeBackends(bs []decision.Backend) (s string) {
	for _, b := range bs {
		s += fmt.Sprintf(" %d%c", b.ID, "grd"[b.State])
	}
	return s
}

func (d *history) injectFault() {
	id := decision.BackendID(1 + d.random.IntN(len(d.servers)))
	s := d.servers[id]
	switch d.random.IntN(9) {
	case 0, 1:
		s.result = []decision.Result{decision.OK, decision.OK, decision.Timeout, decision.Error, decision.Rejected,
			decision.ConnectFailed, decision.Reset, decision.NotSent}[d.random.IntN(8)]
		d.note("server %d answers with %d", id, s.result)
	case 2:
		s.State = []decision.BackendState{decision.Draining, decision.Removed}[d.random.IntN(2)]
	case 3, 4: // it restarts: where it was, or after it had left
		s.State = decision.Ready
		s.Started = d.now
		s.result = decision.OK
		s.busyUntil = d.now
	case 5: // it returns as it was
		s.State = decision.Ready
	case 6: // all but one go, or all
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
	case 7: // an operator's order
		x := d.proxies[d.random.IntN(len(d.proxies))]
		x.report(fmt.Sprintf("detach %d", id), func() { x.model.detached[id] = true },
			func() { x.policy.Detach(d.now, id) })
		d.schedule(time.Duration(d.random.IntN(1500))*milli, func() {
			x.report(fmt.Sprintf("attach %d", id), func() { delete(x.model.detached, id) },
				func() { x.policy.Attach(d.now, id) })
		})
	case 8:
		if !d.oddEvents {
			return
		}
		x := d.proxies[d.random.IntN(len(d.proxies))]
		none := decision.RequestID(d.random.Uint32())
		x.reportThenList("odd", func() {}, func() {
			x.policy.Outcome(d.now, decision.Outcome{ID: none, Attempt: d.random.IntN(9) - 4})
			x.policy.HealthChecked(d.now, decision.HealthCheckResult{Backend: 9999, Latency: math.MinInt64})
			x.policy.FirstByte(d.now, decision.FirstByte{ID: none, Attempt: -1})
			x.policy.BodyComplete(d.now, none, 0)
			x.policy.ClientGone(d.now, none)
		})
	}
	d.sendLists()
}

// sendLists sends all proxies the list, each after a time of its own.
func (d *history) sendLists() {
	for _, x := range d.proxies {
		d.schedule(time.Duration(d.random.IntN(300))*milli, x.sendList)
	}
}
