package decision

import (
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one proxy. Create it with New, call Start once, then report each event by
// calling its method. It is not safe for concurrent use.
type Balancer struct {
	config        Config
	host          Host
	random        *rand.Rand
	now           time.Duration // clock time of the event that is being handled
	checkInterval time.Duration // between two checks of a target in doubt; other periods are multiples of it

	// Targets (endpoints.go, operator.go, activeset.go).
	targets     []*target // in the endpoint list, or removed from it with attempts or checks in flight
	targetsByID map[BackendID]*target
	detached    map[BackendID]time.Duration // when an operator detached a backend
	listed      []*target                   // Ready and not detached, in this proxy's order (hashOrder)
	active      []*target                   // the targets of listed that this proxy uses
	predecessor *Snapshot                   // from Restore; nil means none

	// Requests (admission.go, queue.go).
	requests          map[RequestID]*request
	openRequests      int // without a final answer
	queue             []*request
	dispatchScheduled bool // the timer for the next dispatch is running

	// Request rate (activeset.go).
	requestCount float64 // requests since countedSince; decayRequestRate halves both
	countedSince time.Duration

	// Latency (latency.go).
	decaySpan             time.Duration       // measurements decay to 1/e in this time
	latencyByClass        []linearFit         // latency in ms as a function of expected work in ms
	tailByClass           []quantile          // tail latency in ms of a request of mean work
	meanSamples           float64             // number of requests in the overall means, up to meanRequests
	meanLatency           float64             // ms, of a request of any class
	meanWork              float64             // ms, of a request of any class
	medianRatio           float64             // median of the active targets' latency ratios
	medianRatioByLocality [localities]float64 // median latency ratio in the own zone, and in all others
	longestLatency        float64             // ms, of recent attempts; decreases with each answer

	// Value (valuation.go).
	totalTally      tally
	tallyByClass    []tally
	tallyByTenant   []tally
	trafficByTenant []decayingSum // number of recent requests

	// Means over arriving requests.
	meanGain    float64 // of marginalGain * totalTally.offered, where marginalGain is for each ms of work
	meanDensity float64 // of the same gain, but for each ms that the request is expected to be open

	// Limits and budgets.
	sharedLimit     concurrencyLimit // on the load in flight at all targets together (concurrency.go)
	retryBudget     float64          // retries that are allowed now (retry.go)
	checkBudget     float64          // health checks that are allowed now (healthcheck.go)
	checkCursor     int              // index into active at which the next round of checks begins
	failedListCalls int              // consecutive failed calls for the endpoint list (discovery.go)

	lastLogAt time.Duration // time of the last log line

	// Buffers that are reused to avoid allocations.
	candidates  []*target
	ratioBuffer []float64
}

// New creates a Balancer for one proxy. seed seeds its random choices: equal seeds give equal choices. The
// error, if any, is a *SettingError that names an invalid setting.
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
	for _, c := range config.Classes { // the initial value, until there are answers
		b.longestLatency = max(b.longestLatency, millis(c.LatencyObjective))
	}
	return b, nil
}

// Start starts the sweep timer and, with polled discovery, the timer for the first call for the endpoint
// list. It must be called once, before any other event.
func (b *Balancer) Start(now time.Duration) {
	b.now = now
	b.countedSince = now
	b.scheduleSweep()
	if b.config.PolledDiscovery {
		within := min(b.checkInterval/2, b.config.MaxListBackoff())
		b.host.StartTimer(jitter(b.random, within), endpointsToken)
	}
}

// PeerMessage reports a message from another proxy. The Balancer does not use such messages yet.
func (b *Balancer) PeerMessage(now time.Duration, _ PeerMessage) { b.now = now }

// logInterval is the minimum time between two log lines.
const logInterval = 2 * time.Second

// log passes a line to Host.Log, unless one was logged less than logInterval before.
func (b *Balancer) log(line string) {
	if b.lastLogAt == 0 || b.now-b.lastLogAt >= logInterval {
		b.lastLogAt = b.now
		b.host.Log(line)
	}
}
