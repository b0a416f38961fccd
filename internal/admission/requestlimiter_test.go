package admission

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/internal/processquota"
)

func TestRequestSettings(t *testing.T) {
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

// No bound is exceeded and nothing leaks; who is refused is told a time, and not all the same.
func TestRequestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := RequestSettings{MaxInFlight: rapid.IntRange(1, 30).Draw(t, "in hand"), MaxTenantPart: rapid.Float64Range(0, 1).Draw(t, "per tenant"),
			MaxPerConn: rapid.IntRange(0, 3).Draw(t, "per connection"), RetryAfter: time.Second}
		gate, err := processquota.NewGate([]processquota.GateClass{{PriorityWeight: 1, HoldTime: 1}, {PriorityWeight: 9, HoldTime: 1}}, []float64{1, 2})
		if err != nil {
			t.Fatal(err)
		}
		r, err := NewRequestLimiter(s, gate, 2, 1)
		if err != nil {
			t.Fatal(err)
		}
		var held []int // tenants
		waits := map[time.Duration]bool{}
		refused := 0
		for range 300 {
			tenant := rapid.IntRange(0, 1).Draw(t, "tenant")
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
				r.Release(held[0], time.Millisecond)
				held = held[1:]
				continue
			}
			ofConn := rapid.IntRange(0, 4).Draw(t, "of the connection")
			mine := 0
			for _, h := range held {
				if h == tenant {
					mine++
				}
			}
			why, after := r.Acquire(rapid.IntRange(0, 1).Draw(t, "class"), tenant, ofConn)
			if why == "" {
				if len(held) >= s.MaxInFlight || s.MaxPerConn > 0 && ofConn >= s.MaxPerConn || s.MaxTenantPart > 0 && float64(mine+1) > max(1, s.MaxTenantPart*float64(s.MaxInFlight)) {
					t.Fatalf("one more was taken: %d in hand, %d of the tenant, %d of the connection", len(held), mine, ofConn)
				}
				held = append(held, tenant)
				continue
			}
			if after < s.RetryAfter || after > 2*s.RetryAfter {
				t.Fatalf("come back after %v", after)
			}
			waits[after] = true
			refused++
		}
		if refused > 20 && len(waits) < refused/2 {
			t.Fatalf("%d were refused, and told %d times", refused, len(waits))
		}
		for _, h := range held {
			r.Release(h, 0)
		}
		if _, n := r.Limit(); n != 0 {
			t.Fatalf("%d are still booked", n)
		}
	})
}

// The adaptive limit finds what a server with a queue can do, and rises again as the server does.
func TestAdaptive(t *testing.T) {
	r, err := NewRequestLimiter(RequestSettings{MaxInFlight: 400, Adaptive: true, MinInFlight: 4, RetryAfter: time.Second}, nil, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 6))
	// A server of so many at once: an answer takes 20 ms, and longer as more are in hand. Two come for each that ends.
	serve := func(at float64, rounds int) int {
		held := 0
		for range rounds {
			for range 2 {
				if why, _ := r.Acquire(0, 0, 0); why == "" {
					held++
				}
			}
			took := 0.020 * max(1, float64(held)/at) * (0.9 + 0.2*rng.Float64())
			r.Release(0, time.Duration(took*float64(time.Second)))
			held--
		}
		for ; held > 0; held-- {
			r.Release(0, 0)
		}
		limit, _ := r.Limit()
		return limit
	}
	if limit := serve(40, 8000); limit < 30 || limit > 130 {
		t.Errorf("a server of 40: the limit is %d", limit)
	}
	if limit := serve(10, 8000); limit > 60 {
		t.Errorf("a server that has sunk to 10: the limit is %d", limit)
	}
	if limit := serve(200, 20000); limit < 100 {
		t.Errorf("a server of 200 again: the limit is %d", limit)
	}
}
