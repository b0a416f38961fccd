package engine

import (
	"log/slog"

	"lapisspread/decision"
)

// Options are what an engine is made of. Decision, Upstream and Source must be set; the other fields have defaults. The
// functions are called by the engine's goroutine and must not block.
type Options struct {
	Decision         decision.Config    // settings of the decision module
	Seed             uint64             // of the decision module's and the engine's random choices
	InitialEndpoints EndpointList       // the list to start with, until discovery has delivered one
	Snapshot         *decision.Snapshot // what the process before has learned; nil starts without
	Zones            []string           // names of the zones, in the order in which the decision module numbers them
	Kinds            []string           // names of the kinds of machine, likewise
	Upstream         Upstream
	Source           Source
	Log              *slog.Logger // nil discards

	// AllowRetry is called before each attempt after a request's first; nil allows all.
	AllowRetry func() bool
	// Quota is called before each attempt; nil allows all.
	Quota Quota
	// Freshness is called before each attempt; nil allows all.
	Freshness Freshness
	// Detached names the backends that an operator has detached; nil is none.
	Detached func() []string
	// DetachedChanged receives when Detached has changed; nil is never.
	DetachedChanged <-chan struct{}
	// OnEndpoints is called with each list before the decision module is; may be nil.
	OnEndpoints func(EndpointList)
	// OnBackendCount is called with how many backends are listed and how many of them are excluded from traffic, ten
	// times a second and whenever an operator's order has changed them; may be nil.
	OnBackendCount func(known, excluded int)
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
