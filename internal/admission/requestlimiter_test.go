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
	good := RequestSettings{MaxInFlight: 10, RetryAfter: time.Second}
	for want, change := range map[string]func(*RequestSettings){
		"in_hand":        func(s *RequestSettings) { s.MaxInFlight = 0 },
		"per_tenant":     func(s *RequestSettings) { s.MaxTenantPart = 2 },
		"per_connection": func(s *RequestSettings) { s.MaxPerConn = -1 },
		"least":          func(s *RequestSettings) { s.Adaptive, s.MinInFlight = true, 11 },
		"retry_after":    func(s *RequestSettings) { s.RetryAfter = 0 },
	} {
		s := good
		change(&s)
		if _, err := NewRequestLimiter(s, nil, 1, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// No bound is exceeded and nothing leaks. Rejected clients get different times to retry after.
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
			t.Fatal(err)
		}
		r, err := NewRequestLimiter(s, gate, 2, 1)
		if err != nil {
			t.Fatal(err)
		}
		var inFlight []int // tenants
		waits := map[time.Duration]bool{}
		rejected := 0
		for range 300 {
			tenant := rapid.IntRange(0, 1).Draw(t, "tenant")
			if len(inFlight) > 0 && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
				r.Release(inFlight[0], time.Millisecond)
				inFlight = inFlight[1:]
				continue
			}
			ofConn := rapid.IntRange(0, 4).Draw(t, "of the connection")
			ofTenant := 0
			for _, other := range inFlight {
				if other == tenant {
					ofTenant++
				}
			}
			reason, retryAfter := r.Acquire(rapid.IntRange(0, 1).Draw(t, "class"), tenant, ofConn)
			if reason == "" {
				overTotal := len(inFlight) >= s.MaxInFlight
				overConn := s.MaxPerConn > 0 && ofConn >= s.MaxPerConn
				maxOfTenant := max(1, s.MaxTenantPart*float64(s.MaxInFlight))
				overTenant := s.MaxTenantPart > 0 && float64(ofTenant+1) > maxOfTenant
				if overTotal || overConn || overTenant {
					t.Fatalf("one more was admitted: %d in flight, %d of the tenant, %d of the connection",
						len(inFlight), ofTenant, ofConn)
				}
				inFlight = append(inFlight, tenant)
				continue
			}
			if retryAfter < s.RetryAfter || retryAfter > 2*s.RetryAfter {
				t.Fatalf("retry after %v", retryAfter)
			}
			waits[retryAfter] = true
			rejected++
		}
		if rejected > 20 && len(waits) < rejected/2 {
			t.Fatalf("%d were rejected, with %d different times", rejected, len(waits))
		}
		for _, tenant := range inFlight {
			r.Release(tenant, 0)
		}
		if _, n := r.Limit(); n != 0 {
			t.Fatalf("%d are still in flight", n)
		}
	})
}

// The adaptive limit follows the capacity of a server with a queue, down and up again.
func TestAdaptiveLimit(t *testing.T) {
	s := RequestSettings{MaxInFlight: 400, Adaptive: true, MinInFlight: 4, RetryAfter: time.Second}
	r, err := NewRequestLimiter(s, nil, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 6))
	// The latency of the server is 20 ms up to its capacity, and in proportion to the requests in flight above it. Two
	// requests arrive for each that ends.
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
		t.Errorf("a server of 40: the limit is %d", limit)
	}
	if limit := serve(10, 8000); limit > 60 {
		t.Errorf("a server that fell to 10: the limit is %d", limit)
	}
	if limit := serve(200, 20000); limit < 100 {
		t.Errorf("a server of 200 again: the limit is %d", limit)
	}
}
