// Package decision makes the decisions of an HTTP load balancer that runs as a
// small bank of proxies. This file is its whole interface; the decisions are
// in balancer.go.
//
// A Balancer is one proxy's decision maker. Its caller tells it what happened
// by calling one method an event, and it answers by calling the Host. The
// contract:
//
//   - One goroutine at a time. A Balancer starts none and takes no lock.
//   - No input or output, no wall clock and no global state. Time is the
//     caller's: each event carries now, a span on a clock that starts anywhere
//     and never goes back. Equal seeds and events give equal actions.
//   - Host methods are called from within the event methods. They must not
//     call the Balancer back; what they cause comes as later events.
//   - Identifiers are opaque. Backends keep theirs over a restart; a request
//     identifier is never used again.
package decision

import "time"

// BackendID names a backend, the same one at every proxy.
type BackendID uint32

// RequestID names one try of a client.
type RequestID uint32

// AllPeers addresses Host.Tell to every peer.
const AllPeers = ^uint32(0)

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The effects. Unsafe is the zero value: the careful one.
const (
	NotIdempotent   Idempotency = iota // must never run twice
	IdempotentByKey                    // repeats are dropped within a group and a window
	Idempotent                         // may be repeated freely
)

// DeduplicationScope says which backends drop repeats of a keyed request.
type DeduplicationScope uint8

// The groups. GroupCell is the zero value: the narrowest one.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// Class is a kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // an answer within it earns the full worth
	ObjectivePerWork   float64       // the aim is longer by this multiple of the request's own work
	ClientTimeout      time.Duration // how long a client waits over all its tries
	Idempotency        Idempotency
	DeduplicationScope DeduplicationScope // for Keyed
	// for Keyed: how long repeats are dropped, from the first that may have run
	DeduplicationWindow time.Duration
	LateValueShare      float64 // share of the worth that a late answer earns
	StreamedResponse    bool    // the answer begins with FirstByte
	PriorityWeight      float64 // worth of a request
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name           string
	Share          float64
	QuotaPerSecond float64 // requests a second within its share, over all proxies
}

// ObjectiveWeights weighs the parts of the result.
type ObjectiveWeights struct{ Overall, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties are taken off the result, each times its rate.
type Penalties struct {
	Connection, CrossZone, Discovery, Handshake, LateFailure, PeerMessage, HealthCheck, WastedWork float64
}

// Constraints are the figures of the four rules.
type Constraints struct {
	AnswerSlack     time.Duration // how late after the deadline a final answer still counts
	MaxListAge      time.Duration // where the list must be asked for: how old an answer may grow
	WarmUp          time.Duration // a started backend is warm after this
	DrainGrace      time.Duration // sends to a draining backend must cease within this
	OverloadWindow  time.Duration // the window of the cold budget
	OverloadFactor  float64       // a cold backend falls over beyond this many times its capacity
	InitialCapacity float64       // share of its capacity that a started backend has at least
}

// Capabilities is what the site allows.
type Capabilities struct {
	Cancel, PeerMessages, HealthChecks, RetryAfter, HedgedRequests bool

	ConnectionIdleTimeout, ConnectTimeout, MaxRetryAfter time.Duration
	MaxAttempts, StreamsPerConnection                    int
	MaxOpenRequests                                      int // requests that may be open; 0 is no such limit
}

// WeightKind says what Backend.Weight stands for.
type WeightKind uint8

// The kinds of weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // registered size, exact or about
	WeightLive                      // size over load: it varies
)

// Config is what a Balancer is told at its start.
type Config struct {
	Instances, Rank    int // how many proxies there are, and which this one is
	Zone               int // where it is
	Tick               time.Duration
	Classes            []Class
	Tenants            []Tenant
	OverQuotaWeight    float64 // worth of traffic beyond a tenant's share, as a share
	WeightByWork       bool    // worth counts by work, not by request
	KeyAffinity        bool    // a backend that met a key lately serves it with less work
	ClientsMarkRetries bool    // clients mark their repeats
	PolledDiscovery    bool    // the list comes only when asked for
	Weights            WeightKind
	RetryBudgetRatio   float64 // further attempts, as a share of the requests; 0 is the usual tenth
	ObjectiveWeights   ObjectiveWeights
	Penalties          Penalties
	Constraints        Constraints
	Capabilities       Capabilities
}

// Request is one try of a client that the proxy has taken.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Key          uint64        // 0 is none
	ExpectedWork time.Duration // expected work; 0 is unknown
	Deadline     time.Duration // the clock time at which the client leaves
	MarkedRetry  bool          // the client has marked it as a repeat
	StreamedBody bool          // its body passes through while it is sent: its time counts from Whole
}

// BackendState is what the list says of a backend.
type BackendState uint8

// The states.
const (
	Removed BackendState = iota
	Ready
	Draining
)

// Backend is an entry of the list.
type Backend struct {
	ID               BackendID
	Zone, Kind, Cell int
	State            BackendState
	Weight           float64
	Started          time.Duration // clock time of its last start; 0 is long ago
}

// UpdateKind says how a Membership is to be read.
type UpdateKind uint8

// The kinds of list.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as last held, maybe old
	UpdateFailed                   // a Watch or Fetch failed; the old list stands
)

// EndpointUpdate is what discovery says.
type EndpointUpdate struct {
	Kind     UpdateKind
	Version  uint32
	Backends []Backend
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results.
const (
	OK            Result = iota
	Error                // answered with an error; it may have run
	Rejected             // turned away unseen
	Timeout              // no timely answer; it may run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	NotSent              // never sent
)

// NeverRan tells whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Backend      BackendID
	Result       Result
	Latency      time.Duration
	Final        bool // the request is over; not set: a final answer is still owed
	BodyConsumed bool // the body has passed by: there can be no further attempt
}

// HealthCheckResult is the end of a probe.
type HealthCheckResult struct {
	Backend BackendID
	Result  Result
	Latency time.Duration
}

// FirstByte says that a streamed answer has begun: one of a streamed class, or a long one.
type FirstByte struct {
	ID      RequestID
	Attempt int
	Backend BackendID
	Latency time.Duration
}

// PeerMessage comes from another proxy.
type PeerMessage struct {
	From int
	Body []byte
}

// Host carries out a Balancer's actions, in the order of the calls.
type Host interface {
	Send(id RequestID, to BackendID, until time.Duration) // until: clock time; 0 is the client's deadline
	Reject(id RequestID, retryAfter time.Duration)        // final: coming again is harmless
	Fail(id RequestID)                                    // final: nothing is promised
	Cancel(id RequestID, attempt int)
	CheckHealth(b BackendID)
	ReleaseIdleConnections(b BackendID) // give back idle connections
	WatchEndpoints(on bool)             // ask for the list's changes from here on
	FetchEndpoints()                    // ask for the whole list once
	SendToPeer(peer uint32, body []byte)
	StartTimer(d time.Duration, token uint64) // calls for Balancer.Timer
	Log(line string)
}
