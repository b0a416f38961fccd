package decision

import "time"

// BackendID identifies a backend. All proxies use the same ID for it.
type BackendID uint32

// RequestID identifies one request of a client, with all its attempts. IDs are not reused.
type RequestID uint32

// Request is a request that the proxy has received from a client.
type Request struct {
	ID           RequestID
	Class        int           // index into Config.Classes; the nearest index if out of range
	Tenant       int           // index into Config.Tenants; out of range means no tenant
	Key          uint64        // identifies the data that it reads or writes, for KeyAffinity; 0 means none
	ExpectedWork time.Duration // 0 means unknown
	Deadline     time.Duration // clock time at which the client stops waiting
	MarkedRetry  bool          // the client has marked it as a retry
	StreamedBody bool          // its body is forwarded while it arrives; its latency counts from BodyComplete
}

// BackendState is the state of a backend in the endpoint list.
type BackendState uint8

// The states of a backend in the list.
const (
	Removed  BackendState = iota // not in the list, or no longer
	Ready                        // may get requests
	Draining                     // must get no new requests
)

// Backend is an entry of the endpoint list.
type Backend struct {
	ID      BackendID
	Zone    int // compared with Config.Zone
	Kind    int // machine kind; slow start assumes equal served rates within a kind and zone
	Cell    int // deduplication cell, see ScopeCell
	State   BackendState
	Weight  float64       // see Config.Weights
	Started time.Duration // clock time of its last start; 0 means long ago
}

// UpdateKind says what an EndpointUpdate contains.
type UpdateKind uint8

// The kinds of update.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list from a cache; it may be stale
	UpdateFailed                   // a watch or fetch failed; the list stays as it is
)

// EndpointUpdate is a change of the endpoint list, or the failure of a call for it.
type EndpointUpdate struct {
	Kind     UpdateKind
	Version  uint32 // of the list; not used by the Balancer
	Backends []Backend
}

// Result says how an attempt or a health check ended.
type Result uint8

// The results of an attempt or a health check.
const (
	OK            Result = iota
	Error                // answered with an error; it may have run
	Rejected             // rejected by the backend before it ran
	Timeout              // no answer in time; it may have run or still be running
	ConnectFailed        // no connection was established; it never ran
	Reset                // the connection was broken; it may have run
	Cancelled            // cancelled by the Balancer; it may have run
	NotSent              // never left the proxy; it never ran
)

// NeverRan reports whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int // number of the attempt, from 0
	Backend      BackendID
	Result       Result
	Latency      time.Duration // since the attempt was sent; not used by the Balancer
	Final        bool          // the client has its final answer; otherwise the Balancer must still give one
	BodyConsumed bool          // the request's body can't be sent again, so no further attempt is possible
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Backend BackendID
	Result  Result
	Latency time.Duration // of the health check; not used by the Balancer
}

// FirstByte is the start of a streamed answer: one of a class with StreamedResponse, or a long one.
type FirstByte struct {
	ID      RequestID
	Attempt int // number of the attempt, from 0
	Backend BackendID
	Latency time.Duration // since the attempt was sent; not used by the Balancer
}

// PeerMessage is a message from another proxy.
type PeerMessage struct {
	From int
	Body []byte
}
