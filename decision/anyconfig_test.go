package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// randomConfig returns a valid configuration whose settings are drawn from typical and extreme values.
func randomConfig(rng *rand.Rand) Config {
	randomBool := func() bool { return rng.IntN(2) == 0 }
	duration := func(choices ...time.Duration) time.Duration { return choices[rng.IntN(len(choices))] }
	weight := func(choices ...float64) float64 { return choices[rng.IntN(len(choices))] }
	long := time.Duration(1e18)
	cfg := Config{Instances: []int{1, 2, 9, 300, math.MaxInt32}[rng.IntN(5)], Rank: rng.IntN(5) - 1,
		Zone:            rng.IntN(4) - 1,
		Tick:            duration(0, time.Microsecond, milli, 20*milli, second, long),
		OverQuotaWeight: weight(0, 0.1, 1, 5, 1e300),
		WeightByWork:    randomBool(),
		KeyAffinity:     randomBool(), ClientsMarkRetries: randomBool(), PolledDiscovery: randomBool(),
		Weights:          WeightKind(rng.IntN(3)),
		ObjectiveWeights: ObjectiveWeights{weight(0, 0.5, 1e300), weight(0, 0.2), weight(0, 0.2), weight(0, 0.2)},
		Constraints: Constraints{MaxListAge: duration(0, second, long), WarmUp: duration(0, milli, 8*second, long),
			DrainGrace:     duration(0, second),
			OverloadWindow: duration(0, milli, second, long), OverloadFactor: weight(0, 0.01, 3, 1e300),
			InitialCapacity: weight(0, 0.1, 1, 34)},
		Capabilities: Capabilities{Cancel: randomBool(), HealthChecks: randomBool(), RetryAfter: randomBool(),
			HedgedRequests:        randomBool(),
			ConnectionIdleTimeout: duration(0, second),
			ConnectTimeout:        duration(0, 1, milli, 75*milli, 2*second, long),
			MaxRetryAfter:         duration(0, second, long),
			MaxAttempts:           []int{1, 2, 4, math.MaxInt32}[rng.IntN(4)], StreamsPerConnection: rng.IntN(2),
			MaxOpenRequests: rng.IntN(3) * rng.IntN(100)}}
	for i := range 1 + rng.IntN(5) {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint(i),
			LatencyObjective: duration(1, milli, 60*milli, second, long),
			ClientTimeout:    duration(1, 50*milli, time.Minute, long),
			ObjectivePerWork: weight(0, 0, 2, 1e300), Idempotency: Idempotency(rng.IntN(3)),
			DeduplicationScope: DeduplicationScope(rng.IntN(3)), DeduplicationWindow: duration(0, milli, second, long),
			LateValueShare: weight(0, 0.5, 1, 3), PriorityWeight: weight(0, 1, 1e-300, 1e300)})
	}
	for range rng.IntN(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{Name: "t", Share: weight(0, 0.5, 9),
			QuotaPerSecond: weight(0, 1e-9, 50, 1e300)})
	}
	return cfg
}

// simulatedServers is the Host of a Balancer. It simulates servers that answer with random results after random times.
type simulatedServers struct {
	recorder
	balancer     *Balancer
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastOrder    int
	attempts     map[RequestID]int // number of sends
	finalAnswers map[RequestID]int // number of final answers, also by the backend
}

func (s *simulatedServers) schedule(delay time.Duration, run func()) {
	s.lastOrder++
	heap.Push(&s.queue, scheduledEvent{s.now + max(delay, 0), s.lastOrder, run})
}

func (s *simulatedServers) Send(id RequestID, to BackendID, until time.Duration) {
	n := s.attempts[id]
	s.attempts[id]++
	o := Outcome{ID: id, Attempt: n, Backend: to, Result: Result(s.random.IntN(8))}
	if s.random.IntN(4) > 0 {
		o.Result = OK
	}
	latency := time.Duration(s.random.ExpFloat64() * float64(20*milli))
	if s.now+latency >= until {
		latency, o.Result = until-s.now, Timeout
	}
	s.schedule(latency, func() {
		if o.Result == OK && s.finalAnswers[id] == 0 {
			s.finalAnswers[id] = 1
		}
		o.Final = s.finalAnswers[id] > 0
		o.Latency = latency
		s.balancer.Outcome(s.now, o)
	})
}

func (s *simulatedServers) Reject(id RequestID, _ time.Duration) { s.finalAnswers[id]++ }

func (s *simulatedServers) Fail(id RequestID) { s.finalAnswers[id]++ }

func (s *simulatedServers) CheckHealth(to BackendID) {
	s.schedule(milli, func() {
		s.balancer.HealthChecked(s.now, HealthCheckResult{Backend: to, Result: Result(s.random.IntN(8)),
			Latency: milli})
	})
}

func (s *simulatedServers) StartTimer(d time.Duration, token uint64) {
	s.schedule(max(d, milli/2), func() { s.balancer.Timer(s.now, token) })
}

// play advances the simulated clock by span and runs the events that are due within it.
func (s *simulatedServers) play(t *testing.T, span time.Duration) {
	end := s.now + span
	for steps := 0; len(s.queue) > 0 && s.queue[0].at <= end; steps++ {
		if steps > 200_000 {
			t.Fatalf("over 200000 events within %v of simulated time, want fewer: timers are restarted endlessly", span)
		}
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.now = end
}

type scheduledEvent struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were scheduled.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// With any valid configuration a Balancer starts, sends its first request at once and gives each request at most one
// final answer, and its estimates stay finite.
func TestAnyValidConfigIsServed(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 27))
		cfg := randomConfig(rng)
		s := &simulatedServers{random: rng, now: 1_790_000_000 * second, attempts: map[RequestID]int{},
			finalAnswers: map[RequestID]int{}}
		var err error
		if s.balancer, err = New(cfg, seed, s); err != nil {
			t.Fatalf("seed %d: New: %v", seed, err)
		}
		s.balancer.Start(s.now)
		s.balancer.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(1 + rng.IntN(6))})
		var last RequestID
		sendRequest := func() {
			last++
			timeout := time.Duration(1+rng.IntN(1000)) * milli
			s.balancer.Request(s.now, Request{ID: last, Class: rng.IntN(len(cfg.Classes)),
				Tenant: rng.IntN(len(cfg.Tenants)+2) - 1, Key: uint64(rng.IntN(3)),
				ExpectedWork: time.Duration(rng.IntN(2)*rng.IntN(100)) * milli, Deadline: s.now + timeout,
				MarkedRetry: rng.IntN(3) == 0})
		}
		sendRequest()
		if s.attempts[1] == 0 {
			t.Errorf("seed %d: Request(first request) caused no send, want one at once; configuration: %+v", seed, cfg)
		}
		for i := range 60 {
			sendRequest()
			s.play(t, time.Duration(rng.IntN(50))*milli)
			switch rng.IntN(20) {
			case 0: // hours without an event: timers and outcomes that were due are reported after them
				s.now += time.Duration(rng.IntN(24)) * time.Hour
			case 1:
				e := list(6)[rng.IntN(6)]
				e.State, e.Started = BackendState(rng.IntN(3)), s.now
				s.balancer.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateDelta, Version: uint32(i),
					Backends: []Backend{e}})
			}
		}
		s.play(t, 2*second)
		for id := RequestID(1); id <= last; id++ {
			if s.finalAnswers[id] > 1 {
				t.Errorf("seed %d: request %d got %d final answers, want 1 at most", seed, id, s.finalAnswers[id])
			}
		}
		checkFinite(t, seed, s.balancer)
		if t.Failed() {
			return
		}
	}
}

// checkFinite fails the test if an estimate, a limit or a budget is not a finite number.
func checkFinite(t *testing.T, seed uint64, b *Balancer) {
	t.Helper()
	for name, v := range map[string]float64{
		"meanLatency": b.meanLatency,
		"meanWork":    b.meanWork,
		"meanGain":    b.meanGain,
		"meanDensity": b.meanDensity,
		"medianRatio": b.medianRatio,
		"sharedLimit": b.sharedLimit.ceiling,
		"requestRate": b.requestRate(),
		"offered":     b.totalTally.offered,
		"served":      b.totalTally.served,
		"retryBudget": b.retryBudget,
		"checkBudget": b.checkBudget,
	} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			t.Errorf("seed %d: %s = %v, want a finite number; configuration: %+v", seed, name, v, b.config)
		}
	}
	for _, o := range b.targets {
		v := o.limit.ceiling + o.limit.load + o.slowStartTokens + o.slowStartRate
		v += b.latencyRatio(o) + o.servedWork.sum
		if math.IsNaN(v) || math.IsInf(v, 0) {
			t.Errorf("seed %d: sum of the estimates of backend %d = %v, want a finite number; its record: %+v", seed,
				o.ID, v, o)
		}
	}
}
