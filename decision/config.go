package decision

import "time"

// Idempotency says whether a request of a class may be sent again after it may have run.
type Idempotency uint8

// The kinds of idempotency. The zero value is the most restrictive one.
const (
	NotIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // backends drop repetitions within a deduplication scope and window
	Idempotent                         // may run any number of times
)

// DeduplicationScope says which backends drop a repetition of a request that is idempotent by its key:
// those of the cell or the zone that the first one went to, or all.
type DeduplicationScope uint8

// The scopes. The zero value is the narrowest one.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// Class is the configuration of one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full weight; must be above 0
	ObjectivePerWork float64       // this multiple of the request's expected work is added to the objective
	ClientTimeout    time.Duration // how long a client waits over all its attempts; must be above 0
	Idempotency      Idempotency

	// DeduplicationScope and DeduplicationWindow apply to IdempotentByKey only. The window begins when the
	// first attempt that may have run is sent.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration

	LateValueShare   float64 // share of the weight that an answer after the objective earns
	StreamedResponse bool    // the caller reports the start of the answer by Balancer.FirstByte
	PriorityWeight   float64 // value of an answer within the objective
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name           string
	Share          float64 // of the service; not used by the Balancer
	QuotaPerSecond float64 // requests a second within its share, over all proxies; 0 means no quota
}

// ObjectiveWeights are the weights of the parts of the objective that the Balancer maximises. Each part is
// the share of the offered value that is served.
type ObjectiveWeights struct {
	Overall     float64 // for the served share over all requests
	WorstClass  float64 // for the served share of the worst-served class
	WorstTenant float64 // for the served share of the worst-served tenant
	WorstWindow float64 // for the served share in the worst time window
}

// Penalties are the weights of the costs that the platform subtracts from the result, each multiplied by the
// rate of its event. The Balancer does not use them.
type Penalties struct {
	Connection, CrossZone, Discovery, Handshake, LateFailure, PeerMessage, HealthCheck, WastedWork float64
}

// Constraints are limits that must be kept whatever the effect on the objective.
type Constraints struct {
	AnswerSlack time.Duration // how long after the deadline a final answer still counts as in time
	MaxListAge  time.Duration // maximum age of a polled endpoint list; 0 means no maximum
	WarmUp      time.Duration // time after a start until a backend has its full capacity
	DrainGrace  time.Duration // sends to a draining backend must stop within this time

	// A backend that warms up fails if its load over OverloadWindow exceeds OverloadFactor times its present
	// capacity. An OverloadWindow of 0 means 1 s.
	OverloadWindow time.Duration
	OverloadFactor float64

	InitialCapacity float64 // share of its full capacity that a backend has right after its start
}

// Capabilities say what the platform allows, and its limits.
type Capabilities struct {
	Cancel         bool // attempts may be cancelled
	PeerMessages   bool // proxies may send each other messages; not used by the Balancer
	HealthChecks   bool // backends may be health-checked
	RetryAfter     bool // rejections may contain a time to retry after
	HedgedRequests bool // two attempts of a request may be in flight at once

	ConnectionIdleTimeout time.Duration // idle connections are closed after it; not used by the Balancer
	ConnectTimeout        time.Duration // for a new connection; the interval of health checks depends on it
	MaxRetryAfter         time.Duration // maximum time to retry after in a rejection
	MaxAttempts           int           // maximum number of attempts of a request; at least 1
	StreamsPerConnection  int           // concurrent requests on a connection; not used by the Balancer
	MaxOpenRequests       int           // maximum number of open requests at the proxy; 0 means no maximum
}

// WeightKind says what Backend.Weight means.
type WeightKind uint8

// The kinds of weight.
const (
	WeightNone    WeightKind = iota // nothing; the weight is ignored
	WeightNominal                   // registered size of the backend, exact or approximate
	WeightLive                      // size divided by load, which varies; the weight is ignored
)

// Config configures a Balancer. Validate reports invalid settings; Normalized clamps the others to their
// ranges.
type Config struct {
	Instances       int           // how many proxies share the backends; at least 1
	Rank            int           // index of this proxy among them, from 0
	Zone            int           // the zone of this proxy, compared with Backend.Zone
	Tick            time.Duration // the caller handles events and timers at most once in this time
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of traffic beyond a tenant's quota, as a share of its usual weight
	WeightByWork    bool    // a request's weight is multiplied by its work in ms

	KeyAffinity        bool // a request with a key costs less work at a backend that served the key recently
	ClientsMarkRetries bool // clients set Request.MarkedRetry; not used by the Balancer
	PolledDiscovery    bool // the endpoint list must be polled; otherwise changes are pushed
	Weights            WeightKind
	RetryBudgetRatio   float64 // maximum retries, as a share of the requests; 0 means 0.1

	ObjectiveWeights ObjectiveWeights
	Penalties        Penalties
	Constraints      Constraints
	Capabilities     Capabilities
}
