package staleness

import "time"

// Idempotency is what running a request twice does.
type Idempotency uint8

// The effect classes.
const (
	Idempotent      Idempotency = iota // may be repeated
	IdempotentByKey                    // the server knows the key of a repeat
	NotIdempotent                      // must never run twice
)

// Permission is what may be done with a request.
type Permission uint8

const (
	// FloorOrReject answers at once with Retry-After, or serves from the floor. The zero value.
	FloorOrReject Permission = iota
	// ConfirmedOnly sends only to servers that answered as believed since the doubt began.
	ConfirmedOnly
	// AnyEndpoint sends to any listed server.
	AnyEndpoint
)

var permissions = [...][3]Permission{
	//           Safe                Keyed               Once
	Blind:     {FloorOrReject, FloorOrReject, FloorOrReject},
	Doubtful:  {AnyEndpoint, AnyEndpoint, ConfirmedOnly},
	Ageing:    {AnyEndpoint, AnyEndpoint, AnyEndpoint},
	Fresh:     {AnyEndpoint, AnyEndpoint, AnyEndpoint},
	Confirmed: {AnyEndpoint, AnyEndpoint, AnyEndpoint},
}

// PermissionFor is what a level allows a request of an effect class. What is out of range gets the least.
func PermissionFor(l Level, e Idempotency) Permission {
	if int(l) >= len(permissions) || int(e) >= len(permissions[0]) {
		return FloorOrReject
	}
	return permissions[l][e]
}

// QuotaRequest is what of a demand an edge asks the stewards for at a level: what it can't use well is others'. At Blind nothing beyond
// the tenth with which it probes and comes back.
func QuotaRequest(l Level, demand float64) float64 {
	switch {
	case l >= Ageing:
		return demand
	case l == Doubtful:
		return demand / 2
	}
	return demand / 10
}

// RetryAfter is after which time a refused request may be worth another try: two beats of the slowest source that bears on the route
// are enough to be told, within 1 s and 30 s.
func (v *View) RetryAfter() time.Duration {
	most := time.Duration(0)
	for _, s := range v.sources {
		most = max(most, 2*s.gaps.Percentile90())
	}
	return min(max(most, time.Second), 30*time.Second)
}
