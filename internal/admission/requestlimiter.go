package admission

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/processquota"
)

// maxRetryAfter is the maximum of RequestSettings.RetryAfter.
const maxRetryAfter = time.Hour

// retryAfterStream is the PCG stream of RequestLimiter; other users of the same seed have other streams.
const retryAfterStream = 3

// RequestSettings configure a RequestLimiter.
type RequestSettings struct {
	// MaxInFlight is the maximum number of requests in flight.
	MaxInFlight int
	// MaxTenantPart is the share of the limit, 0 to 1, that one tenant may use; at least one request is always
	// permitted. With 0 only the gate limits tenants.
	MaxTenantPart float64
	// MaxPerConn is the maximum number of requests in flight per connection; 0 means unlimited.
	MaxPerConn int
	// Adaptive lowers the limit below MaxInFlight while latency is high, and raises it again when latency falls.
	Adaptive bool
	// MinInFlight is the lower bound of an adaptive limit, 1 to MaxInFlight; unused if Adaptive is false.
	MinInFlight int
	// RetryAfter is the minimum time after which rejected clients may retry. Each client gets a random time between
	// RetryAfter and twice that, so that clients do not retry at the same moment.
	RetryAfter time.Duration
}

// Validate returns an error that names each invalid setting by its key in the settings file, or nil.
func (s *RequestSettings) Validate() error {
	var errs validationErrors
	errs.addIf(s.MaxInFlight < 1, "in_hand: %d must be above 0", s.MaxInFlight)
	errs.addIf(!isRatio(s.MaxTenantPart), "per_tenant: %v is not between 0 and 1", s.MaxTenantPart)
	errs.addIf(s.MaxPerConn < 0, "per_connection: %d is negative", s.MaxPerConn)
	errs.addIf(s.Adaptive && (s.MinInFlight < 1 || s.MinInFlight > s.MaxInFlight),
		"least: %d is not between 1 and in_hand", s.MinInFlight)
	errs.addIf(s.RetryAfter <= 0 || s.RetryAfter > maxRetryAfter,
		"retry_after: %v must be above 0s and at most 1h", s.RetryAfter)
	return errors.Join(errs...)
}

// RequestLimiter bounds the requests in flight of one service: in total, per tenant and per connection. When the total
// is close to the limit, a processquota.Gate decides which classes and tenants may use the remaining capacity. It is
// not safe for concurrent use.
type RequestLimiter struct {
	settings      RequestSettings
	gate          *processquota.Gate
	rng           *rand.Rand
	inFlight      int
	tenants       []int   // requests in flight, by tenant
	limit         float64 // maximum number of requests in flight; always MaxInFlight unless Adaptive is set
	bestLatency   float64 // in seconds; lowest latency, raised slightly by each answer; 0 before the first
	recentLatency float64 // in seconds; exponentially weighted average
}

// NewRequestLimiter returns a limiter for a number of tenants. With a nil gate, all classes and tenants may use the
// capacity up to the limit. The error names each invalid setting by its key.
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

// Acquire admits a request and returns an empty reason, or rejects it and returns the reason and the time after which
// the client may retry. class and tenant are indexes of the service's classes and tenants; connInFlight is the number
// of requests in flight on the client's connection. The caller must call Release once for each admitted request.
func (r *RequestLimiter) Acquire(class, tenant, connInFlight int) (reason string, retryAfter time.Duration) {
	if reason := r.rejection(class, tenant, connInFlight); reason != "" {
		return reason, r.retryAfter()
	}
	r.inFlight++
	r.tenants[r.tenantIndex(tenant)]++
	if r.gate != nil {
		r.gate.Enter(tenant)
	}
	return "", 0
}

// rejection returns the reason to reject a request, or "" if it may be admitted. The reason is the body of the
// response that the client gets, so its text stays as it is.
func (r *RequestLimiter) rejection(class, tenant, connInFlight int) string {
	s := &r.settings
	limit := int(r.limit)
	tenantInFlight := r.tenants[r.tenantIndex(tenant)]
	switch {
	case s.MaxPerConn > 0 && connInFlight >= s.MaxPerConn:
		return "the connection has too many requests in hand"
	case s.MaxTenantPart > 0 && float64(tenantInFlight+1) > max(1, s.MaxTenantPart*float64(limit)):
		return "the tenant has too many requests in hand"
	case r.inFlight >= limit:
		return "too many requests are in hand"
	case r.gate != nil && !r.gate.Admits(int64(r.inFlight), int64(limit-r.inFlight), class, tenant):
		return "the last places are kept for what is worth more, and for tenants that hold less"
	}
	return ""
}

// retryAfter returns a random time, from RetryAfter to twice that, after which a rejected client may retry.
func (r *RequestLimiter) retryAfter() time.Duration {
	jitter := time.Duration(r.rng.Int64N(int64(r.settings.RetryAfter) + 1))
	return r.settings.RetryAfter + jitter
}

// Release records the end of a request that Acquire admitted. latency is the time until its answer if the
// request was served, and 0 for any other end.
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
	// bestLatencyDrift is the ratio by which each answer raises the best latency, so that a best latency which the
	// service can no longer reach is forgotten.
	bestLatencyDrift = 2e-5
	// latencySmoothing is the weight of one answer in the recent latency.
	latencySmoothing = 0.05
	// latencyTolerance is the ratio of recent to best latency above which the limit falls.
	latencyTolerance = 1.5
	// limitSmoothing is the weight of one answer in the limit.
	limitSmoothing = 0.05
	// minGradient is the lower bound of the gradient, which bounds how fast the limit falls.
	minGradient = 0.5
)

// adapt adjusts the limit to the latency of an answer, in seconds, like Gradient2 of Netflix's concurrency-limits.
// The limit moves towards limit*gradient + sqrt(limit). The gradient is 1 while the recent latency is at most
// latencyTolerance times the best latency. Above that it is latencyTolerance*best/recent, but at least minGradient.
func (r *RequestLimiter) adapt(latency float64) {
	if r.bestLatency == 0 {
		r.bestLatency = latency
		r.recentLatency = latency
	}
	r.bestLatency = min(r.bestLatency*(1+bestLatencyDrift), latency)
	r.recentLatency += (latency - r.recentLatency) * latencySmoothing
	if float64(r.inFlight) < r.limit/2 && r.recentLatency <= latencyTolerance*r.bestLatency {
		return // less than half of the limit is used, so it restricts no request
	}
	gradient := min(1, max(minGradient, latencyTolerance*r.bestLatency/r.recentLatency))
	target := r.limit*gradient + math.Sqrt(r.limit)
	smoothed := r.limit + (target-r.limit)*limitSmoothing
	r.limit = min(float64(r.settings.MaxInFlight), max(float64(r.settings.MinInFlight), smoothed))
}

// Limit returns the current limit of requests in flight, and the number of requests in flight.
func (r *RequestLimiter) Limit() (limit, inFlight int) { return int(r.limit), r.inFlight }

// tenantIndex returns a tenant's index in r.tenants; an index out of range is counted as tenant 0.
func (r *RequestLimiter) tenantIndex(tenant int) int {
	if tenant < 0 || tenant >= len(r.tenants) {
		return 0
	}
	return tenant
}
