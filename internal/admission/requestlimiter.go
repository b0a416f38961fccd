package admission

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/processquota"
)

// maxRetryAfter is the longest RequestSettings.RetryAfter.
const maxRetryAfter = time.Hour

// retryAfterStream separates the random numbers of RequestLimiter from others of the same seed.
const retryAfterStream = 3

// RequestSettings configure a RequestLimiter.
type RequestSettings struct {
	// MaxInFlight is the most requests in flight.
	MaxInFlight int
	// MaxTenantPart is the part of them that one tenant may have, 0 to 1; 0 is no bound but the gate's.
	MaxTenantPart float64
	// MaxPerConn is the most requests in flight of one connection; 0 is no bound.
	MaxPerConn int
	// Adaptive lowers the limit from MaxInFlight as latency rises, and raises it again.
	Adaptive bool
	// MinInFlight is the least limit if it is adaptive, 1 to MaxInFlight; else it is not used.
	MinInFlight int
	// RetryAfter is the least time after which rejected clients may retry. Each gets a random time up to twice as
	// long, so that they do not retry in step.
	RetryAfter time.Duration
}

// Validate returns an error that names each invalid setting by its key in the file, or nil.
func (s *RequestSettings) Validate() error {
	var errs validationErrors
	errs.addIf(s.MaxInFlight < 1, "in_hand: %d must be above 0", s.MaxInFlight)
	errs.addIf(!isRatio(s.MaxTenantPart), "per_tenant: %v is not within 0 and 1", s.MaxTenantPart)
	errs.addIf(s.MaxPerConn < 0, "per_connection: %d is negative", s.MaxPerConn)
	errs.addIf(s.Adaptive && (s.MinInFlight < 1 || s.MinInFlight > s.MaxInFlight),
		"least: %d is not within 1 and in_hand", s.MinInFlight)
	errs.addIf(s.RetryAfter <= 0 || s.RetryAfter > maxRetryAfter,
		"retry_after: %v is not within 0s and 1h", s.RetryAfter)
	return errors.Join(errs...)
}

// RequestLimiter bounds the requests in flight of one service: of all, by tenant and by connection. While few more are
// permitted, a processquota.Gate decides who gets them. It is not safe for concurrent use.
type RequestLimiter struct {
	settings      RequestSettings
	gate          *processquota.Gate
	rng           *rand.Rand
	inFlight      int
	tenants       []int   // requests in flight, by tenant
	limit         float64 // of requests in flight; MaxInFlight unless it is adaptive
	bestLatency   float64 // in seconds, rising slowly; 0 before the first answer
	recentLatency float64 // in seconds
}

// NewRequestLimiter returns a limiter for a number of tenants; without a gate every class and tenant gets the last
// requests. Its error names each invalid setting.
func NewRequestLimiter(
	s RequestSettings, gate *processquota.Gate, tenants int, seed uint64,
) (*RequestLimiter, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("admission: requests: %w", err)
	}
	return &RequestLimiter{
		settings: s,
		gate:     gate,
		tenants:  make([]int, max(1, tenants)),
		limit:    float64(s.MaxInFlight),
		rng:      rand.New(rand.NewPCG(seed, retryAfterStream)),
	}, nil
}

// Acquire admits a request, which an empty reason says, or returns the reason and after how long the client may retry.
// class and tenant are indexes of the service's classes and tenants; ofConn is how many requests the connection has in
// flight. Release must follow for a request that was admitted.
func (r *RequestLimiter) Acquire(class, tenant, ofConn int) (reason string, retryAfter time.Duration) {
	if reason := r.rejection(class, tenant, ofConn); reason != "" {
		return reason, r.retryAfter()
	}
	r.inFlight++
	r.tenants[r.tenantIndex(tenant)]++
	if r.gate != nil {
		r.gate.Enter(tenant)
	}
	return "", 0
}

// rejection returns why a request is rejected; empty if it is not.
func (r *RequestLimiter) rejection(class, tenant, ofConn int) string {
	s := &r.settings
	limit := int(r.limit)
	ofTenant := r.tenants[r.tenantIndex(tenant)]
	switch {
	case s.MaxPerConn > 0 && ofConn >= s.MaxPerConn:
		return "the connection has too many requests in hand"
	case s.MaxTenantPart > 0 && float64(ofTenant+1) > max(1, s.MaxTenantPart*float64(limit)):
		return "the tenant has too many requests in hand"
	case r.inFlight >= limit:
		return "too many requests are in hand"
	case r.gate != nil && !r.gate.Admits(int64(r.inFlight), int64(limit-r.inFlight), class, tenant):
		return "the last places are kept for what is worth more, and for tenants that hold less"
	}
	return ""
}

// retryAfter returns after how long a rejected client may retry.
func (r *RequestLimiter) retryAfter() time.Duration {
	jitter := time.Duration(r.rng.Int64N(int64(r.settings.RetryAfter) + 1))
	return r.settings.RetryAfter + jitter
}

// Release ends a request that Acquire admitted. latency is that of an answer that was served, 0 for any other end.
func (r *RequestLimiter) Release(tenant int, latency time.Duration) {
	if r.inFlight > 0 {
		r.inFlight--
	}
	if t := r.tenantIndex(tenant); r.tenants[t] > 0 {
		r.tenants[t]--
	}
	if r.gate != nil {
		r.gate.Leave(tenant)
	}
	if r.settings.Adaptive && latency > 0 {
		r.adapt(latency.Seconds())
	}
}

const (
	// bestLatencyDrift is by which part an answer raises the best latency, which need not stay reachable.
	bestLatencyDrift = 2e-5
	// latencySmoothing is the weight of one answer in the recent latency.
	latencySmoothing = 0.05
	// latencyTolerance is how many times the best latency the recent one may be before the limit falls.
	latencyTolerance = 1.5
	// limitSmoothing is the weight of one answer in the limit.
	limitSmoothing = 0.05
	// minGradient bounds how fast the limit falls.
	minGradient = 0.5
)

// adapt moves the limit with the gradient of latency, in seconds, like Gradient2 of Netflix's concurrency-limits. While
// the recent latency is within the tolerance of the best one, the limit rises by its square root; above it, the limit
// falls in proportion.
func (r *RequestLimiter) adapt(latency float64) {
	if r.bestLatency == 0 {
		r.bestLatency = latency
		r.recentLatency = latency
	}
	r.bestLatency = min(r.bestLatency*(1+bestLatencyDrift), latency)
	r.recentLatency += (latency - r.recentLatency) * latencySmoothing
	if float64(r.inFlight) < r.limit/2 && r.recentLatency <= latencyTolerance*r.bestLatency {
		return // the limit holds nobody back
	}
	gradient := min(1, max(minGradient, latencyTolerance*r.bestLatency/r.recentLatency))
	next := r.limit*gradient + math.Sqrt(r.limit)
	smoothed := r.limit + (next-r.limit)*limitSmoothing
	r.limit = min(float64(r.settings.MaxInFlight), max(float64(r.settings.MinInFlight), smoothed))
}

// Limit returns how many requests may be in flight now, and how many are.
func (r *RequestLimiter) Limit() (limit, inFlight int) { return int(r.limit), r.inFlight }

// tenantIndex maps an unknown tenant to the first.
func (r *RequestLimiter) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= len(r.tenants) {
		return 0
	}
	return tenant
}
