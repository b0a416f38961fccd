package admission

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/internal/processquota"
)

func TestNewRequestLimiterRejectsInvalidSettings(t *testing.T) {
	valid := RequestSettings{MaxInFlight: 10, RetryAfter: time.Second}
	for want, change := range map[string]func(*RequestSettings){
		"in_hand":        func(s *RequestSettings) { s.MaxInFlight = 0 },
		"per_tenant":     func(s *RequestSettings) { s.MaxTenantPart = 2 },
		"per_connection": func(s *RequestSettings) { s.MaxPerConn = -1 },
		"least":          func(s *RequestSettings) { s.Adaptive, s.MinInFlight = true, 11 },
		"retry_after":    func(s *RequestSettings) { s.RetryAfter = 0 },
	} {
		s := valid
		change(&s)
		if _, err := NewRequestLimiter(s, nil, 1, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("NewRequestLimiter with an invalid setting: error %v, want one that contains %q", err, want)
		}
	}
}

// Acquire exceeds no bound, and after all releases no request counts as in flight. Rejected clients get different
// retry delays.
func TestRequestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := RequestSettings{
			MaxInFlight:   rapid.IntRange(1, 30).Draw(t, "in flight"),
			MaxTenantPart: rapid.Float64Range(0, 1).Draw(t, "per tenant"),
			MaxPerConn:    rapid.IntRange(0, 3).Draw(t, "per connection"),
			RetryAfter:    time.Second,
		}
		classes := []processquota.GateClass{{PriorityWeight: 1, HoldTime: 1}, {PriorityWeight: 9, HoldTime: 1}}
		gate, err := processquota.NewGate(classes, []float64{1, 2})
		if err != nil {
			t.Fatalf("NewGate: %v", err)
		}
		r, err := NewRequestLimiter(s, gate, 2, 1)
		if err != nil {
			t.Fatalf("NewRequestLimiter(%+v): %v", s, err)
		}
		var inFlight []int // the tenant of each request in flight
		delays := map[time.Duration]bool{}
		rejected := 0
		for range 300 {
			tenant := rapid.IntRange(0, 1).Draw(t, "tenant")
			if len(inFlight) > 0 && rapid.IntRange(0, 2).Draw(t, "end a request if 0") == 0 {
				r.Release(inFlight[0], time.Millisecond)
				inFlight = inFlight[1:]
				continue
			}
			connInFlight := rapid.IntRange(0, 4).Draw(t, "in flight on the connection")
			tenantInFlight := 0
			for _, other := range inFlight {
				if other == tenant {
					tenantInFlight++
				}
			}
			reason, retryAfter := r.Acquire(rapid.IntRange(0, 1).Draw(t, "class"), tenant, connInFlight)
			if reason == "" {
				overTotal := len(inFlight) >= s.MaxInFlight
				overConn := s.MaxPerConn > 0 && connInFlight >= s.MaxPerConn
				maxPerTenant := max(1, s.MaxTenantPart*float64(s.MaxInFlight))
				overTenant := s.MaxTenantPart > 0 && float64(tenantInFlight+1) > maxPerTenant
				if overTotal || overConn || overTenant {
					t.Fatalf("Acquire = admitted with %d in flight, %d of the tenant (maximum %.1f) and "+
						"%d of the connection, want rejected; settings %+v",
						len(inFlight), tenantInFlight, maxPerTenant, connInFlight, s)
				}
				inFlight = append(inFlight, tenant)
				continue
			}
			if retryAfter < s.RetryAfter || retryAfter > 2*s.RetryAfter {
				t.Fatalf("Acquire rejected a request with retry delay %v, want %v to %v",
					retryAfter, s.RetryAfter, 2*s.RetryAfter)
			}
			delays[retryAfter] = true
			rejected++
		}
		if rejected > 20 && len(delays) < rejected/2 {
			t.Fatalf("%d rejected requests got %d different retry delays, want at least %d",
				rejected, len(delays), rejected/2)
		}
		for _, tenant := range inFlight {
			r.Release(tenant, 0)
		}
		if _, n := r.Limit(); n != 0 {
			t.Fatalf("Limit after all requests were released: %d in flight, want 0", n)
		}
	})
}

// The adaptive limit follows the capacity of a server with a queue, down and up again.
func TestAdaptiveLimit(t *testing.T) {
	s := RequestSettings{MaxInFlight: 400, Adaptive: true, MinInFlight: 4, RetryAfter: time.Second}
	r, err := NewRequestLimiter(s, nil, 1, 1)
	if err != nil {
		t.Fatalf("NewRequestLimiter: %v", err)
	}
	rng := rand.New(rand.NewPCG(5, 6))
	// serve simulates a server and returns the limit at the end. The server's latency is 20 ms up to its capacity of
	// concurrent requests, and grows in proportion to the requests in flight above it. In each round two requests
	// arrive and one ends.
	serve := func(capacity float64, rounds int) int {
		inFlight := 0
		for range rounds {
			for range 2 {
				if reason, _ := r.Acquire(0, 0, 0); reason == "" {
					inFlight++
				}
			}
			latency := 0.020 * max(1, float64(inFlight)/capacity) * (0.9 + 0.2*rng.Float64())
			r.Release(0, time.Duration(latency*float64(time.Second)))
			inFlight--
		}
		for ; inFlight > 0; inFlight-- {
			r.Release(0, 0)
		}
		limit, _ := r.Limit()
		return limit
	}
	if limit := serve(40, 8000); limit < 30 || limit > 130 {
		t.Errorf("limit for a server of capacity 40 is %d, want 30 to 130", limit)
	}
	if limit := serve(10, 8000); limit > 60 {
		t.Errorf("limit after the capacity fell to 10 is %d, want at most 60", limit)
	}
	if limit := serve(200, 20000); limit < 100 {
		t.Errorf("limit after the capacity rose to 200 is %d, want at least 100", limit)
	}
}
