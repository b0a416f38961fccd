// Package engine holds requests between a front end and the servers, and knows no protocol. A front end hands in an
// Exchange and gets exactly one Result; an Upstream carries out the attempts that the decision module orders. Each
// Engine is one service: a goroutine, a module instance, a list of servers, timers.
//
// The rules that it keeps whatever its neighbours do: one result per exchange, at the latest a moment after its
// deadline; a panic in one event ends that event alone; what comes after the end changes nothing.
package engine

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"time"

	"lapisspread/decision"
)

// EndpointList is what discovery says of the servers: all of them, or those that changed.
type EndpointList struct {
	Version   uint32     `json:"Version"`
	Full      bool       `json:"Full"`
	Endpoints []Endpoint `json:"Members"`
}

// OlderThan tells whether a list with that number is newer. Danger: the number wraps; a plain comparison would then drop all
// that is told of drains, until a whole list comes.
func (l EndpointList) OlderThan(held uint32) bool { return int32(l.Version-held) < 0 }

// Endpoint is a server as discovery names it.
type Endpoint struct {
	ID      string                `json:"ID"`
	Addr    string                `json:"Addr"`
	Zone    string                `json:"Zone"`
	Kind    string                `json:"Kind"`
	Cell    int                   `json:"Cell"`
	State   decision.BackendState `json:"State"`
	Weight  float64               `json:"Weight"`
	Started time.Duration         `json:"Started"`
}

// BackendID comes from the name alone, so that it is the same at every proxy and after every restart: keys find
// their servers by it.
func BackendID(name string) decision.BackendID {
	h := fnv.New32a()
	io.WriteString(h, name)
	return decision.BackendID(h.Sum32())
}

// Source is where the list comes from. Its methods are called from goroutines of their own.
type Source interface {
	Addr() string
	Fetch(ctx context.Context) (EndpointList, error)                       // the whole list, once
	Watch(ctx context.Context, from uint32, tell func(EndpointList)) error // each change, until it fails or ctx ends
	Close()                                                                // ends all calls
}

// Upstream carries out attempts at servers. Update and Find are called by the engine's goroutine and must not
// block; Release may.
type Upstream interface {
	Update(EndpointList)             // takes in a list, ahead of the module
	Find(decision.BackendID) Backend // nil if there is none
	Release(id decision.BackendID)   // gives idle connections back
}

// Backend is a server. Its methods block until the attempt is over or given up by ctx; context.Cause tells a time-out
// (context.DeadlineExceeded) from a cancel.
type Backend interface {
	// Exchange carries out one attempt and tells how it ended, with the answer if that is decision.OK and was not
	// handed to Begin.
	Exchange(ctx context.Context, a Attempt) (decision.Result, any)
	CheckHealth(ctx context.Context) decision.Result
}

// Attempt is one send of an exchange's message.
type Attempt struct {
	Message     Message
	Timeout     time.Duration     // how long it will be waited for, to be told to the server
	LeaseToken  string            // of a Budget, to be told to the server; empty is none
	StartStream func(Stream) bool // takes a long answer that has begun, or tells that it comes too late

	// May is asked just before the first byte goes out, on each connection that is tried: whether the attempt may still be
	// made, and if by is not zero, until when its last byte may go out. Danger: a connection may come up long after the
	// attempt was ordered; the request may have been answered since, its client may have left, or the window for repeats
	// may be over. nil lets all go out.
	MaySend func() (by time.Time, ok bool)
}

// SendAllowed asks May.
func (a Attempt) SendAllowed() (by time.Time, ok bool) {
	if a.MaySend == nil {
		return time.Time{}, true
	}
	return a.MaySend()
}

// Permit lets an attempt out.
type Permit struct {
	Token   string        // told to the server
	Expires time.Duration // by the clock of the Budget
}

// Quota is a limit beyond this process that attempts draw on. Its methods neither block nor allocate.
type Quota interface {
	Acquire(class, tenant int, first bool) (Permit, bool) // whether an attempt may go out now; it is spent then
	Expired(Permit) bool                                  // asked just before it does: whether it may not any more
}

// Freshness is what is known of how far the list may be trusted. Its methods neither block nor allocate.
type Freshness interface {
	// Look tells whether an attempt of a class may go to a server now; one below 0 is a probe, which always may. What it gives is
	// for Ended.
	CheckAttempt(to decision.BackendID, class int) (seen any, ok bool)
	AttemptEnded(seen any, result decision.Result) // by the goroutine that carried the attempt or the probe out
}

// Message is what a front end hands in for its upstream. The engine asks it one thing only.
type Message interface {
	Consumed() bool // its body has passed by: there can be no further attempt
}

// Stream is a long answer on its way. Whoever is handed one says by End how it went; nil is whole.
type Stream interface{ End(err error) }

// Outcome is how an exchange ends.
type Outcome uint8

// The ends.
const (
	Failed   Outcome = iota // nothing is promised
	Rejected                // coming again is harmless
	Served
)

func (e Outcome) String() string { return [...]string{"failed", "refused", "served"}[e] }

// Result is the one end of an exchange.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // Refused: when to come back; 0 is not told
	TimedOut   bool          // Failed: its last attempt ran out of time
	MayHaveRun bool          // an attempt may have run, or may yet
	ClientGone bool          // the client had left; nobody waits for this
	Response   any           // Served: as the upstream gave it, or
	Stream     Stream        // a long one
}

// Request is a request between a front end and the engine. A front end fills in the exported fields, hands it to
// Take by Post, and reads Result once.
type Request struct {
	Message       Message
	Class, Tenant int
	Key           uint64
	ExpectedWork  time.Duration
	MarkedRetry   bool
	Timeout       time.Duration // from the last byte of the request to its deadline
	Deadline      time.Duration // by the engine's clock; 0 while the body is on its way

	id       decision.RequestID
	result   chan Result // holds one
	attempts []*inFlightAttempt
	inFlight int
	ended    bool
	timedOut bool // the last attempt
	expiry   *timer
	stream   Stream // its answer, if that is a long one
	guard    sendGuard
}

// Init readies an exchange for its result.
func (x *Request) Init() { x.result = make(chan Result, 1) }

// Abandon notes that the client has left, for attempts that are about to be sent: these ask by it before the engine has come
// to handle Gone. It may be called by any goroutine.
func (x *Request) Abandon() { x.guard.close() }

// Result gives the one result.
func (x *Request) Result() <-chan Result { return x.result }

// ReceivedAt is when the request's last byte did. It holds for exchanges that have their result.
func (x *Request) ReceivedAt() time.Duration { return x.Deadline - x.Timeout }

// Uploading tells whether the request's body is on its way yet.
func (x *Request) Uploading() bool { return x.Deadline == 0 }

func (x *Request) mayHaveRun() bool {
	for _, a := range x.attempts {
		if !a.ended || !a.result.NeverRan() {
			return true
		}
	}
	return false
}

// Options are what an engine works with.
type Options struct {
	Decision         decision.Config
	Seed             uint64
	InitialEndpoints EndpointList       // the servers as last known
	Snapshot         *decision.Snapshot // what the module before this one has learned; nil is nothing
	Zones            []string
	Kinds            []string
	Upstream         Upstream
	Source           Source
	Log              *slog.Logger

	AllowRetry      func() bool               // asked before each further attempt that the module orders; nil has all go out
	Quota           Quota                     // asked before each attempt; nil has all go out
	Freshness       Freshness                 // asked before each attempt; nil has all go out
	Detached        func() []string           // the servers that are out by hand, by name; nil is none
	DetachedChanged <-chan struct{}           // says that Out has changed
	OnEndpoints     func(EndpointList)        // is told each list; may be nil
	OnBackendCount  func(known, excluded int) // is told how many servers are listed and how many of them avoided; may be nil
}

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.AllowRetry == nil {
		o.AllowRetry = func() bool { return true }
	}
	if o.Detached == nil {
		o.Detached = func() []string { return nil }
	}
	if o.OnEndpoints == nil {
		o.OnEndpoints = func(EndpointList) {}
	}
	if o.OnBackendCount == nil {
		o.OnBackendCount = func(int, int) {}
	}
}
