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
	InHand    int     // requests in hand at most
	PerTenant float64 // part of them that one tenant may have, 0 to 1; 0 is no bound but the gate's
	PerConn   int     // of one connection; 0 is no bound
	// Adaptive has InHand sink as answers take longer than they usually do, and rise again, down to Least.
	Adaptive bool
	Least    int
	// RetryAfter is when the refused are told to come back; each is told up to twice as long, so that they do not come in
	// step.
	RetryAfter time.Duration
}

// Check tells what makes no sense, by the field's name.
func (s *RequestSettings) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(s.InHand < 1, "in_hand: %d must be above 0", s.InHand)
	bad(!(s.PerTenant >= 0 && s.PerTenant <= 1), "per_tenant: %v is not within 0 and 1", s.PerTenant)
	bad(s.PerConn < 0, "per_connection: %d is negative", s.PerConn)
	bad(s.Adaptive && (s.Least < 1 || s.Least > s.InHand), "least: %d is not within 1 and in_hand", s.Least)
	bad(s.RetryAfter <= 0 || s.RetryAfter > time.Hour, "retry_after: %v is not within 0s and 1h", s.RetryAfter)
	return errors.Join(errs...)
}

// Requests bounds requests in hand: for all, by tenant, by connection. Who has the last places is the gate's rule. Like a
// Door it is pure, and for one caller at a time.
type Requests struct {
	set     RequestSettings
	gate    *processquota.Gate
	rng     *rand.Rand
	inHand  int
	tenants []int
	limit   float64 // what InHand is just now
	quick   float64 // seconds that an answer takes at its best, slowly rising
	usual   float64 // and of late
}

// NewRequests makes bounds for so many tenants. An error names the setting.
func NewRequests(s RequestSettings, gate *processquota.Gate, tenants int, seed uint64) (*Requests, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("admission: requests: %w", err)
	}
	return &Requests{set: s, gate: gate, tenants: make([]int, max(1, tenants)), limit: float64(s.InHand),
		rng: rand.New(rand.NewPCG(seed, 3))}, nil
}

// Take takes a request, or says why not and when it may come back. ofConn is how many its connection has in hand.
func (r *Requests) Take(class, tenant, ofConn int) (why string, after time.Duration) {
	t := r.tenant(tenant)
	limit := int(r.limit)
	switch {
	case r.set.PerConn > 0 && ofConn >= r.set.PerConn:
		why = "the connection has too many requests in hand"
	case r.set.PerTenant > 0 && float64(r.tenants[t]+1) > max(1, r.set.PerTenant*float64(limit)):
		why = "the tenant has too many requests in hand"
	case r.inHand >= limit:
		why = "too many requests are in hand"
	case r.gate != nil && !r.gate.Admits(int64(r.inHand), int64(limit-r.inHand), class, tenant):
		why = "the last places are kept for what is worth more, and for tenants that hold less"
	}
	if why != "" {
		return why, r.after()
	}
	r.inHand++
	r.tenants[t]++
	if r.gate != nil {
		r.gate.Enter(tenant)
	}
	return "", 0
}

// after is when somebody who is refused may come back.
func (r *Requests) after() time.Duration {
	return r.set.RetryAfter + time.Duration(r.rng.Int64N(int64(r.set.RetryAfter)+1))
}

const (
	quickRise = 2e-5 // by which an answer makes the best time rise: what was best once need not be so for good
	usualPart = 0.05 // by which one answer moves the usual time
	tolerance = 1.5  // times the best that answers may take before the limit sinks
	limitStep = 0.05 // by which one answer moves the limit
)

// Done takes a request that Take has taken as ended; took is how long an answer that served took, 0 for any other end.
//
// The adaptive limit follows the gradient of latency, as Netflix's concurrency-limits do (Gradient2): where answers take
// up to a tolerance of the best time it rises by the root of itself, beyond that it sinks in proportion.
func (r *Requests) Done(tenant int, took time.Duration) {
	if r.inHand > 0 {
		r.inHand--
	}
	if t := r.tenant(tenant); r.tenants[t] > 0 {
		r.tenants[t]--
	}
	if r.gate != nil {
		r.gate.Leave(tenant)
	}
	if !r.set.Adaptive || took <= 0 {
		return
	}
	s := took.Seconds()
	if r.quick == 0 {
		r.quick, r.usual = s, s
	}
	r.quick = min(r.quick*(1+quickRise), s)
	r.usual += (s - r.usual) * usualPart
	if float64(r.inHand) < r.limit/2 && r.usual <= tolerance*r.quick {
		return // it is not what holds anybody back
	}
	gradient := min(1, max(0.5, tolerance*r.quick/r.usual))
	next := r.limit*gradient + math.Sqrt(r.limit)
	r.limit = min(float64(r.set.InHand), max(float64(r.set.Least), r.limit+(next-r.limit)*limitStep))
}

// Limit is how many may be in hand now, and how many are.
func (r *Requests) Limit() (limit, inHand int) { return int(r.limit), r.inHand }

func (r *Requests) tenant(t int) int {
	if t < 0 || t >= len(r.tenants) {
		return 0
	}
	return t
}
