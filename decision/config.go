package decision

import "time"

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The kinds of idempotency. The zero value is the careful one.
const (
	NotIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // repeats are dropped within a scope and a window
	Idempotent                         // may be repeated freely
)

// DeduplicationScope says which backends drop repeats of a request that is idempotent by its key.
type DeduplicationScope uint8

// The scopes. The zero value is the narrowest one.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full weight; must be above 0
	ObjectivePerWork float64       // the objective is longer by this multiple of the request's expected work
	ClientTimeout    time.Duration // how long a client waits over all its attempts; must be above 0
	Idempotency      Idempotency

	// DeduplicationScope and DeduplicationWindow hold for IdempotentByKey. The window begins when the first
	// attempt that may have run is sent.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration

	LateValueShare   float64 // share of the weight that an answer after the objective earns
	StreamedResponse bool    // the answer begins with FirstByte
	PriorityWeight   float64 // what an answer in time earns
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name           string
	Share          float64 // of the service; no rule reads it
	QuotaPerSecond float64 // requests a second within its share, over all proxies; 0 is no quota
}

// ObjectiveWeights weigh the parts of what is to be maximised: the share of the offered value that is
// served.
type ObjectiveWeights struct {
	Overall     float64 // over all requests
	WorstClass  float64 // of the class that is served worst
	WorstTenant float64 // of the tenant that is served worst
	WorstWindow float64 // of the worst span of time
}

// Penalties are what the platform takes off the result, each times its rate. No rule reads them.
type Penalties struct {
	Connection, CrossZone, Discovery, Handshake, LateFailure, PeerMessage, HealthCheck, WastedWork float64
}

// Constraints are the figures of the rules that hold whatever the result.
type Constraints struct {
	AnswerSlack     time.Duration // how late after the deadline a final answer still counts
	MaxListAge      time.Duration // how stale a polled endpoint list may become; 0 is no bound
	WarmUp          time.Duration // a started backend has its full capacity after this
	DrainGrace      time.Duration // sends to a draining backend must cease within this
	OverloadWindow  time.Duration // over which the load of a backend that warms up is bounded; 0 is a second
	OverloadFactor  float64       // it falls over beyond this multiple of its capacity
	InitialCapacity float64       // share of its capacity that a started backend has at once
}

// Capabilities are what the platform allows.
type Capabilities struct {
	Cancel         bool // attempts may be called off
	PeerMessages   bool // proxies may talk to each other; no rule does
	HealthChecks   bool // backends may be probed
	RetryAfter     bool // rejections may carry a time
	HedgedRequests bool // two attempts of a request may be in flight at once

	ConnectionIdleTimeout time.Duration // idle connections are closed after it
	ConnectTimeout        time.Duration // how long a connection may take; health checks are paced by it
	MaxRetryAfter         time.Duration // the longest time that a rejection may carry
	MaxAttempts           int           // of one request; at least 1
	StreamsPerConnection  int           // requests that a connection carries at once; no rule reads it
	MaxOpenRequests       int           // at the proxy; more can't come. 0 is no such limit
}

// WeightKind says what Backend.Weight stands for.
type WeightKind uint8

// The kinds of weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // registered size, exact or approximate
	WeightLive                      // size over load: it varies, and is not used
)

// Config configures a Balancer. Validate rejects what can't be served; Normalized brings the rest to its
// range.
type Config struct {
	Instances       int           // how many proxies share the backends; at least 1
	Rank            int           // which of them this one is, from 0
	Zone            int           // where it is
	Tick            time.Duration // the caller handles events and timers at most once in it
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of traffic beyond a tenant's quota, as a share of its usual weight
	WeightByWork    bool    // weight counts by the millisecond of work, not by request

	KeyAffinity        bool // a backend that met a key lately serves it with less work
	ClientsMarkRetries bool // Request.MarkedRetry is set by clients; no rule reads it
	PolledDiscovery    bool // the endpoint list comes only on request, and is not pushed
	Weights            WeightKind
	RetryBudgetRatio   float64 // retries, as a share of the requests; 0 is a tenth

	ObjectiveWeights ObjectiveWeights
	Penalties        Penalties
	Constraints      Constraints
	Capabilities     Capabilities
}
