package limiter

import (
	"strings"
	"testing"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/services"
)

func file(t *testing.T, text string) *services.File {
	t.Helper()
	c, err := services.Parse("test.toml", []byte("version = 1\ndefault = \"a\"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return c.File
}

const two = `
[[service]]
name = "a"
share = { min = 0.5, weight = 3.0 }
[[service]]
name = "b"
share = { min = 0.2, cap = 0.5 }
`

// All that a refused request had taken on the way is given back, whichever limit refused it.
func TestARefusedRequestHoldsNothing(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	if err := l.Reconfigure(file(t, two), Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 100}, nil); err != nil {
		t.Fatal(err)
	}
	whys := map[string]int{}
	taken := 0
	for i := range 400 {
		why, after := l.Acquire(Request{Service: "b", Bytes: int64(i % 40)})
		whys[why]++
		if why == "" {
			taken++
		}
		if strings.Contains(why, "attempts") && (after <= 0 || after > time.Second) {
			t.Fatalf("come back after %v", after)
		}
		now += time.Millisecond
	}
	if len(whys) < 3 {
		t.Errorf("why: %v", whys)
	}
	if _, used := l.RequestUsage(); used != int64(taken) {
		t.Errorf("%d are booked, %d were taken", used, taken)
	}
}

// Limits that are lowered below what is in use take nothing new until it has come down, and lose no count.
func TestLoweredBelowWhatIsInUse(t *testing.T) {
	l := New(func() time.Duration { return 0 })
	if err := l.Reconfigure(file(t, two), Totals{Requests: 100, Bytes: 1000, Conns: 50}, nil); err != nil {
		t.Fatal(err)
	}
	var held []Request
	for {
		a := Request{Service: "a", Bytes: 1}
		if why, _ := l.Acquire(a); why != "" {
			break
		}
		held = append(held, a)
	}
	if len(held) < 50 {
		t.Fatalf("%d in hand", len(held))
	}
	if err := l.Reconfigure(file(t, two), Totals{Requests: 10, Bytes: 1000, Conns: 50}, nil); err != nil {
		t.Fatal(err)
	}
	for i, a := range held {
		if why, _ := l.Acquire(a); why == "" && len(held)-i >= 10 {
			t.Fatalf("one more was taken with %d in hand of 10", len(held)-i)
		} else if why == "" {
			l.Release(a)
		}
		l.Release(a)
	}
	if _, used := l.RequestUsage(); used != 0 {
		t.Errorf("%d are still booked", used)
	}
	bad := *file(t, two)
	bad.Services[0].Share.Min = 0.9
	if err := l.Reconfigure(&bad, Totals{Requests: 10}, []string{"a"}); err == nil || !strings.Contains(err.Error(), "minimums") {
		t.Errorf("minimums of 1.1: %v", err)
	}
	if total, _ := l.RequestUsage(); total != 10 {
		t.Errorf("a bad change has changed the total to %d", total)
	}
}

// A service that leaves keeps what it holds, and may connect for what it has in hand, until it has left.
func TestAServiceThatLeaves(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	if err := l.Reconfigure(file(t, two), Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 1000}, nil); err != nil {
		t.Fatal(err)
	}
	a := Request{Service: "b", Bytes: 7}
	if why, _ := l.Acquire(a); why != "" {
		t.Fatal(why)
	}
	if err := l.Reconfigure(file(t, "[[service]]\nname = \"a\"\n"), Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 1000}, []string{"b"}); err != nil {
		t.Fatal(err)
	}
	now += time.Second
	if !l.AcquireConn("b") || !l.AcquireRetry("b") {
		t.Error("what it has in hand can't go on")
	}
	l.ReleaseConn("b")
	l.Release(a)
	l.RemoveLeaving("b")
	if _, there := l.Report()["requests"].(map[string]any)["by_service"].(map[string]int64)["b"]; there || l.AcquireConn("b") {
		t.Error("it has left and has a share yet")
	}
}

// As the share runs short, a dense class gets in where another does not, and repeats come out of the same attempts.
func TestGateAndAttempts(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now })
	if err := l.Reconfigure(file(t, two), Totals{Requests: 100, Bytes: 1000, Conns: 10, Attempts: 60}, nil); err != nil {
		t.Fatal(err)
	}
	gate, err := processquota.NewGate([]processquota.GateClass{{PriorityWeight: 1, HoldTime: 1000}, {PriorityWeight: 10, HoldTime: 500}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	light, dense := 0, 0
	for range 2000 {
		now += 100 * time.Millisecond // never short of attempts
		if why, _ := l.Acquire(Request{Service: "b", Gate: gate, Class: 0}); why == "" {
			light++
		}
	}
	for range 2000 {
		now += 100 * time.Millisecond
		if why, _ := l.Acquire(Request{Service: "b", Gate: gate, Class: 1}); why == "" {
			dense++
		}
	}
	if light < 40 || light > 46 || light+dense != 50 {
		t.Errorf("of 50 places %d went to what is worth little, %d to what is worth most", light, dense)
	}
	repeats := 0
	for range 100 {
		if l.AcquireRetry("b") {
			repeats++
		}
	}
	if repeats == 0 || repeats > 20 {
		t.Errorf("%d repeats at once, of 60 attempts a second", repeats)
	}
}
