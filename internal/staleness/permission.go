package staleness

import "time"

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The classes of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the server recognizes a repeat by its idempotency key
	NotIdempotent                      // must not run twice

	idempotencyClasses = 3
)

// Permission says to which servers a request may go.
type Permission uint8

const (
	// FloorOrReject rejects at once with Retry-After, or serves from the static floor of the quota. It is the zero
	// value.
	FloorOrReject Permission = iota
	// ConfirmedOnly sends only to servers that answered as listed since the level became Doubtful.
	ConfirmedOnly
	// AnyEndpoint sends to any listed server.
	AnyEndpoint
)

// permissions is indexed by level and idempotency class: Idempotent, IdempotentByKey, NotIdempotent.
var permissions = [...][idempotencyClasses]Permission{
	Blind:     {FloorOrReject, FloorOrReject, FloorOrReject},
	Doubtful:  {AnyEndpoint, AnyEndpoint, ConfirmedOnly},
	Ageing:    {AnyEndpoint, AnyEndpoint, AnyEndpoint},
	Fresh:     {AnyEndpoint, AnyEndpoint, AnyEndpoint},
	Confirmed: {AnyEndpoint, AnyEndpoint, AnyEndpoint},
}

// PermissionFor returns what a level permits for a request. For values out of range it returns FloorOrReject.
func PermissionFor(level Level, idempotency Idempotency) Permission {
	if int(level) >= len(permissions) || int(idempotency) >= idempotencyClasses {
		return FloorOrReject
	}
	return permissions[level][idempotency]
}

// QuotaRequest returns how much of its demand a proxy at a level requests from a fleet-wide quota, in the unit of
// demand: the part that it cannot use well is left to other proxies. At Blind it requests a tenth, for probes and
// recovery.
func QuotaRequest(level Level, demand float64) float64 {
	switch {
	case level >= Ageing:
		return demand
	case level == Doubtful:
		return demand / 2
	}
	return demand / 10
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the time after which a rejected request may be retried: two usual gaps of the slowest source, at
// least 1 s and at most 30 s.
func (v *View) RetryAfter() time.Duration {
	longest := time.Duration(0)
	for _, s := range v.sources {
		longest = max(longest, 2*s.gaps.Percentile90())
	}
	return min(max(longest, minRetryAfter), maxRetryAfter)
}
