package decision

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one proxy. Make it with New, call Start once, then report each event by its method.
// It is not safe for concurrent use.
type Balancer struct {
	config        Config
	host          Host
	random        *rand.Rand
	now           time.Duration // of the event that is being handled
	checkInterval time.Duration // between two checks of a target in doubt; much else is paced by it

	// Targets (endpoints.go, operator.go, activeset.go).
	targets     []*target // in the list, or left it while something is in flight
	targetsByID map[BackendID]*target
	detached    map[BackendID]time.Duration // by an operator, and since when
	listed      []*target                   // Ready and not detached, in this proxy's order
	active      []*target                   // those of listed that this proxy uses
	predecessor *Snapshot                   // nil is none

	// Requests (admission.go, queue.go).
	requests          map[RequestID]*request
	openRequests      int // without a final answer
	queue             []*request
	dispatchScheduled bool // a timer for the queue runs

	// Request rate (activeset.go).
	requestCount float64 // since countedSince
	countedSince time.Duration

	// Latency (latency.go).
	decaySpan             time.Duration       // over which measurements decay
	latencyByClass        []linearFit         // ms over ms of expected work
	tailByClass           []quantile          // ms, of a request of mean work
	meanSamples           float64             // requests that overall means are taken over by now
	meanLatency           float64             // ms, of a request of any class
	meanWork              float64             // ms, of a request of any class
	medianRatio           float64             // of the active targets' latency ratios
	medianRatioByLocality [localities]float64 // in the own zone, and elsewhere
	longestLatency        float64             // ms, of recent attempts; it decays with each answer

	// Value (valuation.go).
	totalTally      tally
	tallyByClass    []tally
	tallyByTenant   []tally
	trafficByTenant []decayingSum // requests
	meanGain        float64       // marginal gain of a request as it comes, times the value that all offer
	meanDensity     float64       // gain of a request for each ms that it is open, times the same

	// Limits and budgets.
	sharedLimit     concurrencyLimit // on all targets together (concurrency.go)
	retryBudget     float64          // retries (retry.go)
	checkBudget     float64          // health checks (healthcheck.go)
	checkCursor     int              // where in active the next round of checks begins
	failedListCalls int              // in a row (discovery.go)

	lastLogAt time.Duration

	// Buffers that are reused.
	candidates  []*target
	ratioBuffer []float64
}

// New makes a Balancer for one proxy. seed seeds its random choices: equal seeds give equal choices. The
// error is a *SettingError that names a setting that can't be served.
func New(config Config, seed uint64, host Host) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config = config.Normalized()
	if config.RetryBudgetRatio == 0 {
		config.RetryBudgetRatio = defaultRetryBudgetRatio
	}
	classes, tenants := len(config.Classes), len(config.Tenants)
	b := &Balancer{
		config:                config,
		host:                  host,
		random:                rand.New(rand.NewPCG(seed, 0)),
		checkInterval:         checkIntervalFor(&config),
		targetsByID:           map[BackendID]*target{},
		detached:              map[BackendID]time.Duration{},
		requests:              map[RequestID]*request{},
		latencyByClass:        make([]linearFit, classes),
		tailByClass:           make([]quantile, classes),
		medianRatio:           1,
		medianRatioByLocality: [localities]float64{1, 1},
		tallyByClass:          make([]tally, classes),
		tallyByTenant:         make([]tally, tenants),
		trafficByTenant:       make([]decayingSum, tenants),
		retryBudget:           maxRetryBudget,
	}
	for _, c := range config.Classes { // until there are answers
		b.longestLatency = max(b.longestLatency, millis(c.LatencyObjective))
	}
	return b, nil
}

// Start begins the timers, and with polled discovery the calls for the endpoint list.
func (b *Balancer) Start(now time.Duration) {
	b.now = now
	b.countedSince = now
	b.scheduleSweep()
	if b.config.PolledDiscovery {
		within := min(b.checkInterval/2, b.config.MaxListBackoff())
		b.host.StartTimer(jitter(b.random, within), endpointsToken)
	}
}

// PeerMessage takes a message from another proxy. No rule uses it yet.
func (b *Balancer) PeerMessage(now time.Duration, _ PeerMessage) { b.now = now }

// logInterval is the time that passes between two log lines at least.
const logInterval = 2 * time.Second

// log prints a line unless one was printed shortly before.
func (b *Balancer) log(line string) {
	if b.lastLogAt == 0 || b.now-b.lastLogAt >= logInterval {
		b.lastLogAt = b.now
		b.host.Log(line)
	}
}
