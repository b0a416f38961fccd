package limiter

import (
	"strings"
	"testing"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/services"
)

// parseFile parses a configuration file of services whose default service is a.
func parseFile(t *testing.T, text string) *services.File {
	t.Helper()
	parsed, err := services.Parse("test.toml", []byte("version = 1\ndefault = \"a\"\n"+text))
	if err != nil {
		t.Fatalf("services.Parse of the test's configuration file: %v\n%s", err, text)
	}
	return parsed.File
}

// twoServices configures service a with a minimum of half of each limit, and service b with a minimum of a fifth and a
// cap of half.
const twoServices = `
[[service]]
name = "a"
share = { min = 0.5, weight = 3.0 }
[[service]]
name = "b"
share = { min = 0.2, cap = 0.5 }
`

// A rejected request holds no units, regardless of which limit rejected it.
func TestRejectedRequestHoldsNothing(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	totals := Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 100}
	if err := l.Reconfigure(parseFile(t, twoServices), totals, nil); err != nil {
		t.Fatalf("Reconfigure with two services: %v", err)
	}
	reasons := map[string]int{}
	admitted := 0
	for i := range 400 {
		reason, retryAfter := l.Acquire(Request{Service: "b", Bytes: int64(i % 40)})
		reasons[reason]++
		if reason == "" {
			admitted++
		}
		if strings.Contains(reason, "attempts") && (retryAfter <= 0 || retryAfter > time.Second) {
			t.Fatalf("Acquire of request %d: rejected with %q and retry after %v, want more than 0 and at most 1s",
				i, reason, retryAfter)
		}
		now += time.Millisecond
	}
	if len(reasons) < 3 {
		t.Errorf("Acquire returned %d distinct reasons, including the empty one: %v, want at least 3",
			len(reasons), reasons)
	}
	if _, used := l.RequestUsage(); used != int64(admitted) {
		t.Errorf("RequestUsage() reports %d requests in flight, want %d, the number of admitted ones", used, admitted)
	}
}

// Limits that are lowered below the current use admit no request until the use is below them, and the units in use stay
// counted until they are released.
func TestLimitsLoweredBelowUse(t *testing.T) {
	l := New(func() time.Duration { return 0 })
	if err := l.Reconfigure(parseFile(t, twoServices), Totals{Requests: 100, Bytes: 1000, Conns: 50}, nil); err != nil {
		t.Fatalf("Reconfigure to a total of 100 requests: %v", err)
	}
	var inFlight []Request
	for {
		request := Request{Service: "a", Bytes: 1}
		if reason, _ := l.Acquire(request); reason != "" {
			break
		}
		inFlight = append(inFlight, request)
	}
	if len(inFlight) < 50 {
		t.Fatalf("service a got %d of 100 requests in flight, want at least 50, its minimum", len(inFlight))
	}
	if err := l.Reconfigure(parseFile(t, twoServices), Totals{Requests: 10, Bytes: 1000, Conns: 50}, nil); err != nil {
		t.Fatalf("Reconfigure to a total of 10 requests: %v", err)
	}
	for i, request := range inFlight {
		if reason, _ := l.Acquire(request); reason == "" && len(inFlight)-i >= 10 {
			t.Fatalf("Acquire with %d requests in flight succeeded, want a rejection: the total is 10", len(inFlight)-i)
		} else if reason == "" {
			l.Release(request)
		}
		l.Release(request)
	}
	if _, used := l.RequestUsage(); used != 0 {
		t.Errorf("RequestUsage() reports %d requests in flight after all were released, want 0", used)
	}
	invalid := *parseFile(t, twoServices)
	invalid.Services[0].Share.Min = 0.9
	err := l.Reconfigure(&invalid, Totals{Requests: 10}, []string{"a"})
	if err == nil || !strings.Contains(err.Error(), "minimums") {
		t.Errorf("Reconfigure with minimums that sum to 1.1: error %v, want one that contains \"minimums\"", err)
	}
	if total, _ := l.RequestUsage(); total != 10 {
		t.Errorf("RequestUsage() reports a total of %d after a failed Reconfigure, want 10 as before", total)
	}
}

// A service that is leaving keeps its units, and may open connections for its requests in flight, until RemoveLeaving.
func TestLeavingService(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	totals := Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 1000}
	if err := l.Reconfigure(parseFile(t, twoServices), totals, nil); err != nil {
		t.Fatalf("Reconfigure with services a and b: %v", err)
	}
	request := Request{Service: "b", Bytes: 7}
	if reason, _ := l.Acquire(request); reason != "" {
		t.Fatalf("Acquire of the first request of service b was rejected: %s", reason)
	}
	if err := l.Reconfigure(parseFile(t, "[[service]]\nname = \"a\"\n"), totals, []string{"b"}); err != nil {
		t.Fatalf("Reconfigure without service b, which is leaving: %v", err)
	}
	now += time.Second
	if !l.AcquireConn("b") {
		t.Error("AcquireConn(b) while b is leaving with a request in flight = false, want true")
	}
	if !l.AcquireRetry("b") {
		t.Error("AcquireRetry(b) while b is leaving with a request in flight = false, want true")
	}
	l.ReleaseConn("b")
	l.Release(request)
	l.RemoveLeaving("b")
	if used, found := l.Report().Requests.ByService["b"]; found {
		t.Errorf("Report() after RemoveLeaving(b) has b with %d requests in flight, want no entry", used)
	}
	if l.AcquireConn("b") {
		t.Error("AcquireConn(b) after RemoveLeaving(b) = true, want false")
	}
}

// When a service's share is nearly used up, requests of a class of higher density are admitted while those of lower
// density are rejected. Retries are subject to the same limit on attempts per second as requests.
func TestGateAndAttempts(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	totals := Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 60}
	if err := l.Reconfigure(parseFile(t, twoServices), totals, nil); err != nil {
		t.Fatalf("Reconfigure with 60 attempts per second: %v", err)
	}
	gate, err := processquota.NewGate([]processquota.GateClass{
		{PriorityWeight: 1, HoldTime: 1000},
		{PriorityWeight: 10, HoldTime: 500},
	}, nil)
	if err != nil {
		t.Fatalf("NewGate with two classes: %v", err)
	}
	lowDensity, highDensity := 0, 0 // admitted requests
	for range 2000 {
		now += 100 * time.Millisecond // slow enough that the limit on attempts rejects nothing
		if reason, _ := l.Acquire(Request{Service: "b", Gate: gate, Class: 0}); reason == "" {
			lowDensity++
		}
	}
	for range 2000 {
		now += 100 * time.Millisecond
		if reason, _ := l.Acquire(Request{Service: "b", Gate: gate, Class: 1}); reason == "" {
			highDensity++
		}
	}
	if lowDensity < 40 || lowDensity > 46 || lowDensity+highDensity != 50 {
		t.Errorf("%d requests of the low density and %d of the high density were admitted, "+
			"want 40 to 46 of the low density and 50 in all", lowDensity, highDensity)
	}
	retries := 0
	for range 100 {
		if l.AcquireRetry("b") {
			retries++
		}
	}
	if retries == 0 || retries > 20 {
		t.Errorf("AcquireRetry succeeded %d times in 100 simultaneous calls, want 1 to 20: "+
			"the burst is 250ms at 60 attempts per second", retries)
	}
}
