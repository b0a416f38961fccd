package decision

import "testing"

// While all attempts fail, retries stay within RetryBudgetRatio of the requests, for any ratio.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, ratio := range []float64{0, 0.02, 0.1, 0.5} { // 0 stands for the default
		cfg := testConfig()
		cfg.RetryBudgetRatio = ratio
		b, h := newBalancer(t, cfg, 20)
		want := ratio
		if want == 0 {
			want = defaultRetryBudgetRatio
		}
		const n = 2000
		sends := 0
		now := second
		attempts := map[RequestID]int{}
		for i := range n {
			now += 10 * milli
			id := RequestID(i + 1)
			b.Request(now, Request{ID: id, Deadline: now + 3*second})
			for range 8 { // each send ends in an error at once, which may cause a retry
				sent := h.take("send")
				for _, a := range sent {
					sends++
					attempts[a.id]++
					b.Outcome(now, Outcome{ID: a.id, Attempt: attempts[a.id] - 1, Backend: a.to, Result: Error})
				}
				if len(sent) == 0 {
					break
				}
			}
			b.ClientGone(now, id)
		}
		// A retry after an error costs brokenAttemptCost of the budget.
		limit := n + int(want*n/brokenAttemptCost) + maxRetryBudget/brokenAttemptCost + 1
		if float64(sends) > float64(limit) {
			t.Errorf("RetryBudgetRatio %v: %d sends for %d requests, want at most %v", ratio, sends, n, limit)
		}
		if want >= 0.1 && sends < n+n/20 {
			t.Errorf("RetryBudgetRatio %v: %d sends for %d requests, want at least %d", ratio, sends, n, n+n/20)
		}
	}
}

// The same budget allows more retries after attempts that ended with a reset than after timeouts.
func TestBrokenAttemptsAreRetried(t *testing.T) {
	countAttempts := func(result Result) int {
		cfg := testConfig()
		cfg.Capabilities.MaxAttempts = 1000
		b, h := newBalancer(t, cfg, 1)
		b.Request(second, Request{ID: 1, Deadline: 4 * second})
		n := 0
		for ; ; n++ {
			sent := h.take("send")
			if len(sent) == 0 {
				return n
			}
			b.Outcome(b.now, Outcome{ID: 1, Attempt: n, Backend: sent[0].to, Result: result})
		}
	}
	if resets, timeouts := countAttempts(Reset), countAttempts(Timeout); timeouts == 0 || resets < 2*timeouts {
		t.Errorf("a full retry budget allowed %d attempts that ended with Reset, or %d that ended with Timeout; "+
			"want at least one with Timeout and twice as many with Reset", resets, timeouts)
	}
}

// When an attempt fails so late that a retry could not be answered in time, the request gets its final answer at once.
func TestLateFailureIsAnsweredAtOnce(t *testing.T) {
	for class, want := range []string{"reject", "fail", "fail", "reject"} {
		b, h, to := openedRequest(t, testConfig(), class, 6)
		// An answer after the latency objective of 1 s earns nothing.
		b.Outcome(2*second-3*milli, Outcome{ID: 1, Backend: to, Result: Timeout})
		if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != want {
			t.Errorf("class %s: Outcome(Timeout) 3 ms before the objective caused %v, want one %s", className(class),
				got,
				want)
		}
	}
}

// An outcome that is reported several times counts once: the request is queued and sent only once.
func TestDuplicateOutcomeCountsOnce(t *testing.T) {
	for class := range 4 {
		b, h, to := openedRequest(t, testConfig(), class, 6)
		for _, o := range b.targets {
			o.limit.ceiling, o.limit.inFlight, o.limit.load = 1, 9, 9 // no capacity, so the request is queued
		}
		for range 3 {
			b.Outcome(second+milli, Outcome{ID: 1, Backend: to, Result: ConnectFailed})
		}
		for _, o := range b.targets {
			o.limit.inFlight, o.limit.load = 0, 0
		}
		b.Timer(second+10*milli, dispatchToken)
		if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "send" {
			t.Errorf("class %s: dispatch after three reports of one outcome caused %v, want one send", className(class),
				got)
		}
	}
}
