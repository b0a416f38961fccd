package decision

import "time"

// BackendID names a backend, the same one at every proxy.
type BackendID uint32

// RequestID names one request of a client, with all its attempts.
type RequestID uint32

// Request is a request that the proxy has taken from a client.
type Request struct {
	ID           RequestID
	Class        int           // index into Config.Classes
	Tenant       int           // index into Config.Tenants; out of range is no tenant
	Key          uint64        // of the data that it is about; 0 is none
	ExpectedWork time.Duration // 0 is unknown
	Deadline     time.Duration // the clock time at which the client leaves
	MarkedRetry  bool          // the client has marked it as a retry of its own
	StreamedBody bool          // its body passes through while it is sent: its time counts from BodyComplete
}

// BackendState is what the endpoint list says of a backend.
type BackendState uint8

// The states of a backend in the list.
const (
	Removed  BackendState = iota // not in the list
	Ready                        // may get requests
	Draining                     // must get no new requests
)

// Backend is an entry of the endpoint list.
type Backend struct {
	ID      BackendID
	Zone    int // compared with Config.Zone
	Kind    int // of machine: slow start expects those of one kind and zone to serve alike
	Cell    int // within which repeats are dropped, see ScopeCell
	State   BackendState
	Weight  float64       // see Config.Weights
	Started time.Duration // clock time of its last start; 0 is long ago
}

// UpdateKind says how an EndpointUpdate is to be read.
type UpdateKind uint8

// The kinds of update.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as last held, maybe stale
	UpdateFailed                   // a watch or fetch failed; the list stands as it is
)

// EndpointUpdate is what discovery says of the backends.
type EndpointUpdate struct {
	Kind     UpdateKind
	Version  uint32 // of the list; no rule reads it
	Backends []Backend
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results.
const (
	OK            Result = iota
	Error                // answered with an error; it may have run
	Rejected             // turned down by the backend before it ran
	Timeout              // no timely answer; it may run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
	NotSent              // it never left the proxy
)

// NeverRan reports whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int // its number, from 0
	Backend      BackendID
	Result       Result
	Latency      time.Duration // since the attempt was sent; no rule reads it
	Final        bool          // the client has its answer; if not set, a final answer is still owed
	BodyConsumed bool          // the request's body can't be sent again: there can be no further attempt
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Backend BackendID
	Result  Result
	Latency time.Duration // no rule reads it
}

// FirstByte says that a streamed answer has begun: one of a streamed class, or a long one.
type FirstByte struct {
	ID      RequestID
	Attempt int // its number, from 0
	Backend BackendID
	Latency time.Duration // since the attempt was sent; no rule reads it
}

// PeerMessage comes from another proxy.
type PeerMessage struct {
	From int
	Body []byte
}
