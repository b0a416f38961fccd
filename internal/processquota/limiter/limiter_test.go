package limiter

import (
	"strings"
	"testing"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/services"
)

func parseFile(t *testing.T, text string) *services.File {
	t.Helper()
	c, err := services.Parse("test.toml", []byte("version = 1\ndefault = \"a\"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return c.File
}

const twoServices = `
[[service]]
name = "a"
share = { min = 0.5, weight = 3.0 }
[[service]]
name = "b"
share = { min = 0.2, cap = 0.5 }
`

// A rejected request holds nothing, whichever limit rejected it.
func TestRejectedRequestHoldsNothing(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	totals := Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 100}
	if err := l.Reconfigure(parseFile(t, twoServices), totals, nil); err != nil {
		t.Fatal(err)
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
			t.Fatalf("retry after %v", retryAfter)
		}
		now += time.Millisecond
	}
	if len(reasons) < 3 {
		t.Errorf("reasons: %v", reasons)
	}
	if _, used := l.RequestUsage(); used != int64(admitted) {
		t.Errorf("%d in use, %d were admitted", used, admitted)
	}
}

// Limits that are lowered below what is in use admit nothing new until the use is below them, and lose no count.
func TestLimitsLoweredBelowUse(t *testing.T) {
	l := New(func() time.Duration { return 0 })
	if err := l.Reconfigure(parseFile(t, twoServices), Totals{Requests: 100, Bytes: 1000, Conns: 50}, nil); err != nil {
		t.Fatal(err)
	}
	var inFlight []Request
	for {
		a := Request{Service: "a", Bytes: 1}
		if reason, _ := l.Acquire(a); reason != "" {
			break
		}
		inFlight = append(inFlight, a)
	}
	if len(inFlight) < 50 {
		t.Fatalf("%d in flight", len(inFlight))
	}
	if err := l.Reconfigure(parseFile(t, twoServices), Totals{Requests: 10, Bytes: 1000, Conns: 50}, nil); err != nil {
		t.Fatal(err)
	}
	for i, a := range inFlight {
		if reason, _ := l.Acquire(a); reason == "" && len(inFlight)-i >= 10 {
			t.Fatalf("one more was admitted with %d in flight of 10", len(inFlight)-i)
		} else if reason == "" {
			l.Release(a)
		}
		l.Release(a)
	}
	if _, used := l.RequestUsage(); used != 0 {
		t.Errorf("%d are still in use", used)
	}
	bad := *parseFile(t, twoServices)
	bad.Services[0].Share.Min = 0.9
	err := l.Reconfigure(&bad, Totals{Requests: 10}, []string{"a"})
	if err == nil || !strings.Contains(err.Error(), "minimums") {
		t.Errorf("minimums of 1.1: %v", err)
	}
	if total, _ := l.RequestUsage(); total != 10 {
		t.Errorf("an invalid configuration has changed the total to %d", total)
	}
}

// A service that is leaving keeps what it holds, and may connect for its requests in flight, until it is removed.
func TestLeavingService(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	totals := Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 1000}
	if err := l.Reconfigure(parseFile(t, twoServices), totals, nil); err != nil {
		t.Fatal(err)
	}
	a := Request{Service: "b", Bytes: 7}
	if reason, _ := l.Acquire(a); reason != "" {
		t.Fatal(reason)
	}
	if err := l.Reconfigure(parseFile(t, "[[service]]\nname = \"a\"\n"), totals, []string{"b"}); err != nil {
		t.Fatal(err)
	}
	now += time.Second
	if !l.AcquireConn("b") || !l.AcquireRetry("b") {
		t.Error("its requests in flight cannot go on")
	}
	l.ReleaseConn("b")
	l.Release(a)
	l.RemoveLeaving("b")
	if _, found := l.Report().Requests.ByService["b"]; found || l.AcquireConn("b") {
		t.Error("it has left and still has a share")
	}
}

// As the share runs short, a class of greater density is admitted where another is not, and retries use the same
// attempts.
func TestGateAndAttempts(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	totals := Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 60}
	if err := l.Reconfigure(parseFile(t, twoServices), totals, nil); err != nil {
		t.Fatal(err)
	}
	gate, err := processquota.NewGate([]processquota.GateClass{
		{PriorityWeight: 1, HoldTime: 1000},
		{PriorityWeight: 10, HoldTime: 500},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	light, dense := 0, 0
	for range 2000 {
		now += 100 * time.Millisecond // never short of attempts
		if reason, _ := l.Acquire(Request{Service: "b", Gate: gate, Class: 0}); reason == "" {
			light++
		}
	}
	for range 2000 {
		now += 100 * time.Millisecond
		if reason, _ := l.Acquire(Request{Service: "b", Gate: gate, Class: 1}); reason == "" {
			dense++
		}
	}
	if light < 40 || light > 46 || light+dense != 50 {
		t.Errorf("of 50 requests %d were of the low density, %d of the high one", light, dense)
	}
	retries := 0
	for range 100 {
		if l.AcquireRetry("b") {
			retries++
		}
	}
	if retries == 0 || retries > 20 {
		t.Errorf("%d retries at once, of 60 attempts a second", retries)
	}
}
