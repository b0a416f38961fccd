package decision

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestNewNamesInvalidSetting(t *testing.T) {
	for field, break_ := range map[string]func(*Config){
		"Services":                  func(c *Config) { c.Classes = nil },
		"Services.0.Aim":            func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"Services.2.GiveUp":         func(c *Config) { c.Classes[2].ClientTimeout = 0 },
		"Services.1.Window":         func(c *Config) { c.Classes[1].DeduplicationWindow = -1 },
		"Balancers":                 func(c *Config) { c.Instances = 0 },
		"Tick":                      func(c *Config) { c.Tick = -1 },
		"RetryShare":                func(c *Config) { c.RetryBudgetRatio = math.NaN() },
		"Obligations.AnswerSlack":   func(c *Config) { c.Constraints.AnswerSlack = -1 },
		"Obligations.AskEvery":      func(c *Config) { c.Constraints.MaxListAge = -1 },
		"Obligations.Cold":          func(c *Config) { c.Constraints.WarmUp = -1 },
		"Obligations.DrainGrace":    func(c *Config) { c.Constraints.DrainGrace = -1 },
		"Obligations.Fall":          func(c *Config) { c.Constraints.OverloadWindow = -1 },
		"Obligations.FallMultiple":  func(c *Config) { c.Constraints.OverloadFactor = math.Inf(1) },
		"Obligations.StartCapacity": func(c *Config) { c.Constraints.InitialCapacity = math.NaN() },
		"Caps.ConnIdle":             func(c *Config) { c.Capabilities.ConnectionIdleTimeout = -1 },
		"Caps.ConnectTimeout":       func(c *Config) { c.Capabilities.ConnectTimeout = -1 },
		"Caps.MaxRetryAfter":        func(c *Config) { c.Capabilities.MaxRetryAfter = -1 },
		"Caps.MaxAttempts":          func(c *Config) { c.Capabilities.MaxAttempts = 0 },
	} {
		cfg := testConfig()
		break_(&cfg)
		_, err := New(cfg, 1, &recorder{})
		if bad := (*SettingError)(nil); !errors.As(err, &bad) || bad.Field != field || bad.Reason == "" {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// What only weighs is no reason to refuse: it is brought to its range, and the caller's settings stay as they are.
func TestWeightsAreNormalized(t *testing.T) {
	cfg := testConfig()
	cfg.ObjectiveWeights = ObjectiveWeights{Overall: -1}
	cfg.Rank, cfg.Zone, cfg.OverQuotaWeight = -3, 99, math.Inf(1)
	cfg.Penalties.WastedWork = -1
	cfg.Classes[0].PriorityWeight, cfg.Classes[0].LateValueShare, cfg.Classes[0].ObjectivePerWork = math.NaN(), -0.5, 1e300
	cfg.Classes[1].LatencyObjective, cfg.Classes[1].ClientTimeout = time.Minute, time.Second
	cfg.Tenants = []Tenant{{Name: "a", Share: 7, QuotaPerSecond: math.Inf(1)}, {Name: "a", Share: -1}}
	cfg.Constraints.InitialCapacity, cfg.Constraints.OverloadWindow, cfg.Constraints.WarmUp = 34, 0, math.MaxInt64
	cfg.Capabilities.MaxAttempts = math.MaxInt32
	b, err := New(cfg, 1, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	c, o := b.config.Classes[0], b.config.Constraints
	if b.config.ObjectiveWeights != (ObjectiveWeights{Overall: 1}) || c.PriorityWeight != 0 || c.LateValueShare != 0 || b.config.Tenants[1].Share != 0 ||
		math.IsInf(b.config.OverQuotaWeight+b.config.Tenants[0].QuotaPerSecond, 0) || b.config.Capabilities.MaxAttempts != 255 {
		t.Errorf("%+v", b.config)
	}
	if o.InitialCapacity != 1 || o.OverloadWindow != time.Second || o.WarmUp != maxDuration {
		t.Errorf("%+v", o)
	}
	if !math.IsNaN(cfg.Classes[0].PriorityWeight) || cfg.Tenants[1].Share != -1 {
		t.Error("the caller's settings were changed")
	}
}

// randomConfig are legal ones, each drawn from what is most odd about it.
func randomConfig(rng *rand.Rand) Config {
	coin := func() bool { return rng.IntN(2) == 0 }
	of := func(ds ...time.Duration) time.Duration { return ds[rng.IntN(len(ds))] }
	weigh := func(fs ...float64) float64 { return fs[rng.IntN(len(fs))] }
	long := time.Duration(1e18)
	cfg := Config{Instances: []int{1, 2, 9, 300, math.MaxInt32}[rng.IntN(5)], Rank: rng.IntN(5) - 1, Zone: rng.IntN(4) - 1,
		Tick: of(0, time.Microsecond, milli, 20*milli, second, long), OverQuotaWeight: weigh(0, 0.1, 1, 5, 1e300), WeightByWork: coin(),
		KeyAffinity: coin(), ClientsMarkRetries: coin(), PolledDiscovery: coin(), Weights: WeightKind(rng.IntN(3)),
		ObjectiveWeights: ObjectiveWeights{weigh(0, 0.5, 1e300), weigh(0, 0.2), weigh(0, 0.2), weigh(0, 0.2)},
		Constraints: Constraints{MaxListAge: of(0, second, long), WarmUp: of(0, milli, 8*second, long), DrainGrace: of(0, second),
			OverloadWindow: of(0, milli, second, long), OverloadFactor: weigh(0, 0.01, 3, 1e300), InitialCapacity: weigh(0, 0.1, 1, 34)},
		Capabilities: Capabilities{Cancel: coin(), HealthChecks: coin(), RetryAfter: coin(), HedgedRequests: coin(), ConnectionIdleTimeout: of(0, second),
			ConnectTimeout: of(0, 1, milli, 75*milli, 2*second, long), MaxRetryAfter: of(0, second, long),
			MaxAttempts: []int{1, 2, 4, math.MaxInt32}[rng.IntN(4)], StreamsPerConnection: rng.IntN(2), MaxOpenRequests: rng.IntN(3) * rng.IntN(100)}}
	for i := range 1 + rng.IntN(5) {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint(i), LatencyObjective: of(1, milli, 60*milli, second, long), ClientTimeout: of(1, 50*milli, time.Minute, long),
			ObjectivePerWork: weigh(0, 0, 2, 1e300), Idempotency: Idempotency(rng.IntN(3)), DeduplicationScope: DeduplicationScope(rng.IntN(3)), DeduplicationWindow: of(0, milli, second, long),
			LateValueShare: weigh(0, 0.5, 1, 3), PriorityWeight: weigh(0, 1, 1e-300, 1e300)})
	}
	for range rng.IntN(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{Name: "t", Share: weigh(0, 0.5, 9), QuotaPerSecond: weigh(0, 1e-9, 50, 1e300)})
	}
	return cfg
}

// simulatedServers plays a Balancer against servers that answer after a while.
type simulatedServers struct {
	recorder
	balancer     *Balancer
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	order        int
	attempts     map[RequestID]int
	finalAnswers map[RequestID]int // final answers
}

type scheduledEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []scheduledEvent

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(scheduledEvent)) }
func (d *eventQueue) Pop() any {
	old := *d
	e := old[len(old)-1]
	*d = old[:len(old)-1]
	return e
}

func (s *simulatedServers) schedule(in time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, scheduledEvent{s.now + max(in, 0), s.order, do})
}

func (s *simulatedServers) Send(id RequestID, to BackendID, until time.Duration) {
	n := s.attempts[id]
	s.attempts[id]++
	o := Outcome{ID: id, Attempt: n, Backend: to, Result: Result(s.random.IntN(8))}
	if s.random.IntN(4) > 0 {
		o.Result = OK
	}
	took := time.Duration(s.random.ExpFloat64() * float64(20*milli))
	if s.now+took >= until {
		took, o.Result = until-s.now, Timeout
	}
	s.schedule(took, func() {
		if o.Result == OK && s.finalAnswers[id] == 0 {
			s.finalAnswers[id] = 1
		}
		o.Final = s.finalAnswers[id] > 0
		o.Latency = took
		s.balancer.Outcome(s.now, o)
	})
}
func (s *simulatedServers) Reject(id RequestID, _ time.Duration) { s.finalAnswers[id]++ }
func (s *simulatedServers) Fail(id RequestID)                    { s.finalAnswers[id]++ }
func (s *simulatedServers) CheckHealth(to BackendID) {
	s.schedule(milli, func() {
		s.balancer.HealthChecked(s.now, HealthCheckResult{Backend: to, Result: Result(s.random.IntN(8)), Latency: milli})
	})
}
func (s *simulatedServers) StartTimer(d time.Duration, token uint64) {
	s.schedule(max(d, milli/2), func() { s.balancer.Timer(s.now, token) })
}

// play handles what is due within a span.
func (s *simulatedServers) play(t *testing.T, span time.Duration) {
	end := s.now + span
	for steps := 0; len(s.queue) > 0 && s.queue[0].at <= end; steps++ {
		if steps > 200_000 {
			t.Fatal("it spins")
		}
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.now = end
}

// Whatever legal settings say, a proxy starts, sends its first request at once, answers each request once, and its
// figures stay numbers.
func TestAnyValidConfigIsServed(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 27))
		cfg := randomConfig(rng)
		s := &simulatedServers{random: rng, now: 1_790_000_000 * second, attempts: map[RequestID]int{}, finalAnswers: map[RequestID]int{}}
		var err error
		if s.balancer, err = New(cfg, seed, s); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		s.balancer.Start(s.now)
		s.balancer.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(1 + rng.IntN(6))})
		var last RequestID
		ask := func() {
			last++
			give := time.Duration(1+rng.IntN(1000)) * milli
			s.balancer.Request(s.now, Request{ID: last, Class: rng.IntN(len(cfg.Classes)), Tenant: rng.IntN(len(cfg.Tenants)+2) - 1, Key: uint64(rng.IntN(3)),
				ExpectedWork: time.Duration(rng.IntN(2)*rng.IntN(100)) * milli, Deadline: s.now + give, MarkedRetry: rng.IntN(3) == 0})
		}
		ask()
		if s.attempts[1] == 0 {
			t.Errorf("seed %d: the first request is not sent: %+v", seed, cfg)
		}
		for i := range 60 {
			ask()
			s.play(t, time.Duration(rng.IntN(50))*milli)
			switch rng.IntN(20) {
			case 0: // a night without a word: what was due comes then
				s.now += time.Duration(rng.IntN(24)) * time.Hour
			case 1:
				e := list(6)[rng.IntN(6)]
				e.State, e.Started = BackendState(rng.IntN(3)), s.now
				s.balancer.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateDelta, Version: uint32(i), Backends: []Backend{e}})
			}
		}
		s.play(t, 2*second)
		for id := RequestID(1); id <= last; id++ {
			if s.finalAnswers[id] > 1 {
				t.Errorf("seed %d: request %d has %d answers", seed, id, s.finalAnswers[id])
			}
		}
		b := s.balancer
		for name, v := range map[string]float64{"mean": b.meanLatency, "meanWork": b.meanWork, "meanGain": b.meanGain, "meanDensity": b.meanDensity,
			"median": b.medianRatio, "shared.limit": b.sharedLimit.limit, "rate": b.requestRate(), "asked": b.totalTally[0].offered, "served": b.totalTally[0].served,
			"retries": b.retryBudget, "probes": b.checkBudget} {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				t.Errorf("seed %d: %s is %v: %+v", seed, name, v, cfg)
			}
		}
		for _, o := range b.targets {
			if v := o.limit.limit + o.limit.load + o.slowStartTokens + o.slowStartRate + b.latencyRatio(o) + o.servedWork.sum; math.IsNaN(v) || math.IsInf(v, 0) {
				t.Errorf("seed %d: backend %d: %+v", seed, o.ID, o)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// A class that nobody has asked for in minutes: its tally has faded. A client's repeat counts in no tally, and the
// first of them must not lift the mean that all later ones are held against.
func TestRetryToDecayedTallyKeepsItsValue(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ClientsMarkRetries, cfg.ObjectiveWeights = 300, true, ObjectiveWeights{Overall: 0.5, WorstClass: 0.5}
	cfg.Constraints.WarmUp = 2 * second
	b, _ := newBalancer(t, cfg, 6)
	now, id := second, RequestID(0)
	ask := func(class int, repeat bool) {
		id++
		b.Request(now, Request{ID: id, Class: class, Deadline: now + 3*second, MarkedRetry: repeat})
		b.Outcome(now+milli, Outcome{ID: id, Result: OK, Final: true, Latency: milli})
	}
	ask(notIdempotent, false)
	for now < 90*second {
		now += 100 * milli
		ask(idempotent, false)
		b.Timer(now, timerSweep<<56)
	}
	before := b.meanGain
	ask(notIdempotent, true)
	if b.meanGain > 3*before {
		t.Errorf("one repeat lifts the mean gain from %v to %v", before, b.meanGain)
	}
}

// An aim that is stretched past all time ends with the client's own, and does not wrap round to the past.
func TestStretchedObjectiveEndsAtDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].ObjectivePerWork = 1e12
	b, _ := newBalancer(t, cfg, 2)
	b.Request(second, Request{ID: 1, Class: idempotent, ExpectedWork: time.Hour, Deadline: 5 * second})
	if r := b.requests[1]; r == nil || r.objectiveAt != 5*second {
		t.Errorf("%+v", r)
	}
}
