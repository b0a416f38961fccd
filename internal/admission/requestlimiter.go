package admission

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/processquota"
)

// RequestSettings are what Requests go by.
type RequestSettings struct {
	MaxInFlight   int     // requests in hand at most
	MaxTenantPart float64 // part of them that one tenant may have, 0 to 1; 0 is no bound but the gate's
	MaxPerConn    int     // of one connection; 0 is no bound
	// Adaptive has InHand sink as answers take longer than they usually do, and rise again, down to Least.
	Adaptive    bool
	MinInFlight int
	// RetryAfter is when the refused are told to come back; each is told up to twice as long, so that they do not come in
	// step.
	RetryAfter time.Duration
}

// Validate tells what makes no sense, by the field's name.
func (s *RequestSettings) Validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(s.MaxInFlight < 1, "in_hand: %d must be above 0", s.MaxInFlight)
	bad(!(s.MaxTenantPart >= 0 && s.MaxTenantPart <= 1), "per_tenant: %v is not within 0 and 1", s.MaxTenantPart)
	bad(s.MaxPerConn < 0, "per_connection: %d is negative", s.MaxPerConn)
	bad(s.Adaptive && (s.MinInFlight < 1 || s.MinInFlight > s.MaxInFlight), "least: %d is not within 1 and in_hand", s.MinInFlight)
	bad(s.RetryAfter <= 0 || s.RetryAfter > time.Hour, "retry_after: %v is not within 0s and 1h", s.RetryAfter)
	return errors.Join(errs...)
}

// RequestLimiter bounds requests in hand: for all, by tenant, by connection. Who has the last places is the gate's rule. Like a
// Door it is pure, and for one caller at a time.
type RequestLimiter struct {
	settings      RequestSettings
	gate          *processquota.Gate
	rng           *rand.Rand
	inFlight      int
	tenants       []int
	limit         float64 // what InHand is just now
	bestLatency   float64 // seconds that an answer takes at its best, slowly rising
	recentLatency float64 // and of late
}

// NewRequestLimiter makes bounds for so many tenants. An error names the setting.
func NewRequestLimiter(s RequestSettings, gate *processquota.Gate, tenants int, seed uint64) (*RequestLimiter, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("admission: requests: %w", err)
	}
	return &RequestLimiter{settings: s, gate: gate, tenants: make([]int, max(1, tenants)), limit: float64(s.MaxInFlight),
		rng: rand.New(rand.NewPCG(seed, 3))}, nil
}

// Acquire takes a request, or says why not and when it may come back. ofConn is how many its connection has in hand.
func (r *RequestLimiter) Acquire(class, tenant, ofConn int) (why string, after time.Duration) {
	t := r.tenantIndex(tenant)
	limit := int(r.limit)
	switch {
	case r.settings.MaxPerConn > 0 && ofConn >= r.settings.MaxPerConn:
		why = "the connection has too many requests in hand"
	case r.settings.MaxTenantPart > 0 && float64(r.tenants[t]+1) > max(1, r.settings.MaxTenantPart*float64(limit)):
		why = "the tenant has too many requests in hand"
	case r.inFlight >= limit:
		why = "too many requests are in hand"
	case r.gate != nil && !r.gate.Admits(int64(r.inFlight), int64(limit-r.inFlight), class, tenant):
		why = "the last places are kept for what is worth more, and for tenants that hold less"
	}
	if why != "" {
		return why, r.retryAfter()
	}
	r.inFlight++
	r.tenants[t]++
	if r.gate != nil {
		r.gate.Enter(tenant)
	}
	return "", 0
}

// retryAfter is when somebody who is refused may come back.
func (r *RequestLimiter) retryAfter() time.Duration {
	return r.settings.RetryAfter + time.Duration(r.rng.Int64N(int64(r.settings.RetryAfter)+1))
}

const (
	bestLatencyDrift = 2e-5 // by which an answer makes the best time rise: what was best once need not be so for good
	latencySmoothing = 0.05 // by which one answer moves the usual time
	latencyTolerance = 1.5  // times the best that answers may take before the limit sinks
	limitSmoothing   = 0.05 // by which one answer moves the limit
)

// Release takes a request that Take has taken as ended; took is how long an answer that served took, 0 for any other end.
//
// The adaptive limit follows the gradient of latency, as Netflix's concurrency-limits do (Gradient2): where answers take
// up to a tolerance of the best time it rises by the root of itself, beyond that it sinks in proportion.
func (r *RequestLimiter) Release(tenant int, took time.Duration) {
	if r.inFlight > 0 {
		r.inFlight--
	}
	if t := r.tenantIndex(tenant); r.tenants[t] > 0 {
		r.tenants[t]--
	}
	if r.gate != nil {
		r.gate.Leave(tenant)
	}
	if !r.settings.Adaptive || took <= 0 {
		return
	}
	s := took.Seconds()
	if r.bestLatency == 0 {
		r.bestLatency, r.recentLatency = s, s
	}
	r.bestLatency = min(r.bestLatency*(1+bestLatencyDrift), s)
	r.recentLatency += (s - r.recentLatency) * latencySmoothing
	if float64(r.inFlight) < r.limit/2 && r.recentLatency <= latencyTolerance*r.bestLatency {
		return // it is not what holds anybody back
	}
	gradient := min(1, max(0.5, latencyTolerance*r.bestLatency/r.recentLatency))
	next := r.limit*gradient + math.Sqrt(r.limit)
	r.limit = min(float64(r.settings.MaxInFlight), max(float64(r.settings.MinInFlight), r.limit+(next-r.limit)*limitSmoothing))
}

// Limit is how many may be in hand now, and how many are.
func (r *RequestLimiter) Limit() (limit, inHand int) { return int(r.limit), r.inFlight }

func (r *RequestLimiter) tenantIndex(t int) int {
	if t < 0 || t >= len(r.tenants) {
		return 0
	}
	return t
}
