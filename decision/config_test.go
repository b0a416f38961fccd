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

func TestNewNamesTheSettingThatCantBeServed(t *testing.T) {
	for field, break_ := range map[string]func(*Config){
		"Services":                  func(c *Config) { c.Classes = nil },
		"Services.0.Aim":            func(c *Config) { c.Classes[0].Aim = 0 },
		"Services.2.GiveUp":         func(c *Config) { c.Classes[2].GiveUp = 0 },
		"Services.1.Window":         func(c *Config) { c.Classes[1].Window = -1 },
		"Balancers":                 func(c *Config) { c.Instances = 0 },
		"Tick":                      func(c *Config) { c.Tick = -1 },
		"RetryShare":                func(c *Config) { c.RetryShare = math.NaN() },
		"Obligations.AnswerSlack":   func(c *Config) { c.Obligations.AnswerSlack = -1 },
		"Obligations.AskEvery":      func(c *Config) { c.Obligations.AskEvery = -1 },
		"Obligations.Cold":          func(c *Config) { c.Obligations.Cold = -1 },
		"Obligations.DrainGrace":    func(c *Config) { c.Obligations.DrainGrace = -1 },
		"Obligations.Fall":          func(c *Config) { c.Obligations.Fall = -1 },
		"Obligations.FallMultiple":  func(c *Config) { c.Obligations.FallMultiple = math.Inf(1) },
		"Obligations.StartCapacity": func(c *Config) { c.Obligations.StartCapacity = math.NaN() },
		"Caps.ConnIdle":             func(c *Config) { c.Caps.ConnIdle = -1 },
		"Caps.ConnectTimeout":       func(c *Config) { c.Caps.ConnectTimeout = -1 },
		"Caps.MaxRetryAfter":        func(c *Config) { c.Caps.MaxRetryAfter = -1 },
		"Caps.MaxAttempts":          func(c *Config) { c.Caps.MaxAttempts = 0 },
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
func TestSettingsThatOnlyWeighAreBroughtToTheirRange(t *testing.T) {
	cfg := testConfig()
	cfg.Goal = Goal{Whole: -1}
	cfg.Rank, cfg.Zone, cfg.OverShareWorth = -3, 99, math.Inf(1)
	cfg.Prices.Waste = -1
	cfg.Classes[0].Value, cfg.Classes[0].LateShare, cfg.Classes[0].AimStretch = math.NaN(), -0.5, 1e300
	cfg.Classes[1].Aim, cfg.Classes[1].GiveUp = time.Minute, time.Second
	cfg.Tenants = []Tenant{{Name: "a", Share: 7, QuotaPerS: math.Inf(1)}, {Name: "a", Share: -1}}
	cfg.Obligations.StartCapacity, cfg.Obligations.Fall, cfg.Obligations.Cold = 34, 0, math.MaxInt64
	cfg.Caps.MaxAttempts = math.MaxInt32
	b, err := New(cfg, 1, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	c, o := b.cfg.Classes[0], b.cfg.Obligations
	if b.cfg.Goal != (Goal{Whole: 1}) || c.Value != 0 || c.LateShare != 0 || b.cfg.Tenants[1].Share != 0 ||
		math.IsInf(b.cfg.OverShareWorth+b.cfg.Tenants[0].QuotaPerS, 0) || b.cfg.Caps.MaxAttempts != 255 {
		t.Errorf("%+v", b.cfg)
	}
	if o.StartCapacity != 1 || o.Fall != time.Second || o.Cold != longestSpan {
		t.Errorf("%+v", o)
	}
	if !math.IsNaN(cfg.Classes[0].Value) || cfg.Tenants[1].Share != -1 {
		t.Error("the caller's settings were changed")
	}
}

// drawnSettings are legal ones, each drawn from what is most odd about it.
func drawnSettings(rng *rand.Rand) Config {
	coin := func() bool { return rng.IntN(2) == 0 }
	of := func(ds ...time.Duration) time.Duration { return ds[rng.IntN(len(ds))] }
	weigh := func(fs ...float64) float64 { return fs[rng.IntN(len(fs))] }
	long := time.Duration(1e18)
	cfg := Config{Instances: []int{1, 2, 9, 300, math.MaxInt32}[rng.IntN(5)], Rank: rng.IntN(5) - 1, Zone: rng.IntN(4) - 1,
		Tick: of(0, time.Microsecond, milli, 20*milli, second, long), OverShareWorth: weigh(0, 0.1, 1, 5, 1e300), WorthByWork: coin(),
		WarmKeys: coin(), MarksRetry: coin(), OnRequest: coin(), Weights: WeightKind(rng.IntN(3)),
		Goal: Goal{weigh(0, 0.5, 1e300), weigh(0, 0.2), weigh(0, 0.2), weigh(0, 0.2)},
		Obligations: Obligations{AskEvery: of(0, second, long), Cold: of(0, milli, 8*second, long), DrainGrace: of(0, second),
			Fall: of(0, milli, second, long), FallMultiple: weigh(0, 0.01, 3, 1e300), StartCapacity: weigh(0, 0.1, 1, 34)},
		Caps: Caps{Cancel: coin(), Probes: coin(), RetryAfter: coin(), SecondCopies: coin(), ConnIdle: of(0, second),
			ConnectTimeout: of(0, 1, milli, 75*milli, 2*second, long), MaxRetryAfter: of(0, second, long),
			MaxAttempts: []int{1, 2, 4, math.MaxInt32}[rng.IntN(4)], StreamsPerConn: rng.IntN(2), MaxOpen: rng.IntN(3) * rng.IntN(100)}}
	for i := range 1 + rng.IntN(5) {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint(i), Aim: of(1, milli, 60*milli, second, long), GiveUp: of(1, 50*milli, time.Minute, long),
			AimStretch: weigh(0, 0, 2, 1e300), Effect: Effect(rng.IntN(3)), Group: Group(rng.IntN(3)), Window: of(0, milli, second, long),
			LateShare: weigh(0, 0.5, 1, 3), Value: weigh(0, 1, 1e-300, 1e300)})
	}
	for range rng.IntN(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{Name: "t", Share: weigh(0, 0.5, 9), QuotaPerS: weigh(0, 1e-9, 50, 1e300)})
	}
	return cfg
}

// stage plays a Balancer against servers that answer after a while.
type stage struct {
	recorder
	b     *Balancer
	rng   *rand.Rand
	now   time.Duration
	queue due
	order int
	tries map[RequestID]int
	ended map[RequestID]int // final answers
}

type dueEvent struct {
	at    time.Duration
	order int
	do    func()
}

type due []dueEvent

func (d due) Len() int { return len(d) }
func (d due) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d due) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *due) Push(x any)   { *d = append(*d, x.(dueEvent)) }
func (d *due) Pop() any {
	old := *d
	e := old[len(old)-1]
	*d = old[:len(old)-1]
	return e
}

func (s *stage) at(in time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, dueEvent{s.now + max(in, 0), s.order, do})
}

func (s *stage) Send(id RequestID, to BackendID, until time.Duration) {
	n := s.tries[id]
	s.tries[id]++
	o := Outcome{ID: id, Attempt: n, Backend: to, Result: Result(s.rng.IntN(8))}
	if s.rng.IntN(4) > 0 {
		o.Result = OK
	}
	took := time.Duration(s.rng.ExpFloat64() * float64(20*milli))
	if s.now+took >= until {
		took, o.Result = until-s.now, Timeout
	}
	s.at(took, func() {
		if o.Result == OK && s.ended[id] == 0 {
			s.ended[id] = 1
		}
		o.Final = s.ended[id] > 0
		o.Took = took
		s.b.Outcome(s.now, o)
	})
}
func (s *stage) Refuse(id RequestID, _ time.Duration) { s.ended[id]++ }
func (s *stage) Fail(id RequestID)                    { s.ended[id]++ }
func (s *stage) Probe(to BackendID) {
	s.at(milli, func() { s.b.Probed(s.now, ProbeResult{Backend: to, Result: Result(s.rng.IntN(8)), Took: milli}) })
}
func (s *stage) After(d time.Duration, token uint64) {
	s.at(max(d, milli/2), func() { s.b.Timer(s.now, token) })
}

// play handles what is due within a span.
func (s *stage) play(t *testing.T, span time.Duration) {
	end := s.now + span
	for steps := 0; len(s.queue) > 0 && s.queue[0].at <= end; steps++ {
		if steps > 200_000 {
			t.Fatal("it spins")
		}
		e := heap.Pop(&s.queue).(dueEvent)
		s.now = max(s.now, e.at)
		e.do()
	}
	s.now = end
}

// Whatever legal settings say, a proxy starts, sends its first request at once, answers each request once, and its
// figures stay numbers.
func TestAnyLegalSettingsAreServed(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 27))
		cfg := drawnSettings(rng)
		s := &stage{rng: rng, now: 1_790_000_000 * second, tries: map[RequestID]int{}, ended: map[RequestID]int{}}
		var err error
		if s.b, err = New(cfg, seed, s); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		s.b.Start(s.now)
		s.b.Membership(s.now, Membership{Kind: ListFull, Version: 1, Backends: list(1 + rng.IntN(6))})
		var last RequestID
		ask := func() {
			last++
			give := time.Duration(1+rng.IntN(1000)) * milli
			s.b.Request(s.now, Request{ID: last, Class: rng.IntN(len(cfg.Classes)), Tenant: rng.IntN(len(cfg.Tenants)+2) - 1, Key: uint64(rng.IntN(3)),
				Cost: time.Duration(rng.IntN(2)*rng.IntN(100)) * milli, Deadline: s.now + give, Repeat: rng.IntN(3) == 0})
		}
		ask()
		if s.tries[1] == 0 {
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
				e.State, e.Started = State(rng.IntN(3)), s.now
				s.b.Membership(s.now, Membership{Kind: ListDelta, Version: uint32(i), Backends: []Backend{e}})
			}
		}
		s.play(t, 2*second)
		for id := RequestID(1); id <= last; id++ {
			if s.ended[id] > 1 {
				t.Errorf("seed %d: request %d has %d answers", seed, id, s.ended[id])
			}
		}
		b := s.b
		for name, v := range map[string]float64{"mean": b.mean, "meanWork": b.meanWork, "meanGain": b.meanGain, "meanDensity": b.meanDensity,
			"median": b.median, "shared.limit": b.shared.limit, "rate": b.rate(), "asked": b.all[0].asked, "served": b.all[0].served,
			"retries": b.retries, "probes": b.probes} {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				t.Errorf("seed %d: %s is %v: %+v", seed, name, v, cfg)
			}
		}
		for _, o := range b.targets {
			if v := o.own.limit + o.own.load + o.tokens + o.coldRate + b.estimate(o) + o.served.sum; math.IsNaN(v) || math.IsInf(v, 0) {
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
func TestARepeatToATallyThatHasFadedIsWorthNoMoreThanItself(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.MarksRetry, cfg.Goal = 300, true, Goal{Whole: 0.5, WorstClass: 0.5}
	cfg.Obligations.Cold = 2 * second
	b, _ := newBalancer(t, cfg, 6)
	now, id := second, RequestID(0)
	ask := func(class int, repeat bool) {
		id++
		b.Request(now, Request{ID: id, Class: class, Deadline: now + 3*second, Repeat: repeat})
		b.Outcome(now+milli, Outcome{ID: id, Result: OK, Final: true, Took: milli})
	}
	ask(unsafe, false)
	for now < 90*second {
		now += 100 * milli
		ask(safe, false)
		b.Timer(now, timerSweep<<56)
	}
	before := b.meanGain
	ask(unsafe, true)
	if b.meanGain > 3*before {
		t.Errorf("one repeat lifts the mean gain from %v to %v", before, b.meanGain)
	}
}

// An aim that is stretched past all time ends with the client's own, and does not wrap round to the past.
func TestAnAimStretchedPastAllTimeEndsAtTheDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[safe].AimStretch = 1e12
	b, _ := newBalancer(t, cfg, 2)
	b.Request(second, Request{ID: 1, Class: safe, Cost: time.Hour, Deadline: 5 * second})
	if r := b.requests[1]; r == nil || r.aimAt != 5*second {
		t.Errorf("%+v", r)
	}
}
