package engine

import (
	"log/slog"
	"time"

	"lapisspread/decision"
)

// Options configure an engine. Decision, Upstream and Source must be set; the other fields have defaults. The functions
// are called by the engine's goroutine and must not block.
type Options struct {
	Decision         decision.Config    // settings of the decision module
	Seed             uint64             // seed of the random choices of the decision module and the engine
	InitialEndpoints EndpointList       // the list in use until discovery has delivered one
	Snapshot         *decision.Snapshot // learned state of the previous process; nil means none
	Zones            []string           // names of the zones, in the order in which the decision module numbers them
	Kinds            []string           // names of the kinds of machine, in the order of the module's numbers
	Upstream         Upstream
	Source           Source
	Log              *slog.Logger // nil discards all log lines

	// AnswerBy returns the time by which a request whose last byte was received at receivedAt must have its result, if
	// that is limited apart from the request's timeout; may be nil. It may be called more than once for a request.
	AnswerBy func(receivedAt time.Time) (by time.Time, limited bool)
	// AllowRetry is called before each attempt except a request's first one, and reports whether the attempt may be
	// made; nil allows all retries.
	AllowRetry func() bool
	// Quota is called before each attempt and may forbid it; nil allows all attempts.
	Quota Quota
	// Freshness is called before each attempt and may forbid it; nil allows all attempts.
	Freshness Freshness
	// Detached returns the names of the backends that an operator has detached; nil means none.
	Detached func() []string
	// DetachedChanged delivers a value when the result of Detached has changed; nil means that it never changes.
	DetachedChanged <-chan struct{}
	// OnEndpoints is called with each list before the decision module gets it; may be nil.
	OnEndpoints func(EndpointList)
	// OnBackendCount is called with the number of listed backends and the number of those that are excluded from
	// traffic, ten times a second and whenever an operator has detached or attached backends; may be nil.
	OnBackendCount func(known, excluded int)
}

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.AnswerBy == nil {
		o.AnswerBy = func(time.Time) (time.Time, bool) { return time.Time{}, false }
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
