package decision

import "testing"

// Where all attempts fail, retries stay within their share of the requests, whatever it is set to.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, share := range []float64{0, 0.02, 0.1, 0.5} { // 0 is the default
		cfg := testConfig()
		cfg.RetryBudgetRatio = share
		b, h := newBalancer(t, cfg, 20)
		want := share
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
			for range 8 { // each send ends in an error at once, which may bring the next
				out := h.take("send")
				for _, a := range out {
					sends++
					attempts[a.id]++
					b.Outcome(now, Outcome{ID: a.id, Attempt: attempts[a.id] - 1, Backend: a.to, Result: Error})
				}
				if len(out) == 0 {
					break
				}
			}
			b.ClientGone(now, id)
		}
		// An attempt after one that broke costs brokenAttemptCost of the budget.
		most := n + int(want*n/brokenAttemptCost) + maxRetryBudget/brokenAttemptCost + 1
		if float64(sends) > float64(most) {
			t.Errorf("share %v: %d sends for %d requests, at most %d", share, sends, n, most)
		}
		if want >= 0.1 && sends < n+n/20 {
			t.Errorf("share %v: only %d sends for %d requests", share, sends, n)
		}
	}
}

// Attempts that broke are retried more often out of a budget than those that timed out.
func TestBrokenAttemptsAreRetried(t *testing.T) {
	repeats := func(result Result) int {
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
	if broken, late := repeats(Reset), repeats(Timeout); late == 0 || broken < 2*late {
		t.Errorf("%d attempts that broke, %d that timed out", broken, late)
	}
}

// When an attempt fails too late for another to be of use, the request is answered at once.
func TestLateFailureIsAnsweredAtOnce(t *testing.T) {
	for class, want := range []string{"reject", "fail", "fail", "reject"} {
		b, h, to := openedRequest(t, testConfig(), class, 6)
		// an answer after the objective of 1 s earns nothing
		b.Outcome(2*second-3*milli, Outcome{ID: 1, Backend: to, Result: Timeout})
		if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != want {
			t.Errorf("class %d: %v, want one %s", class, got, want)
		}
	}
}

// An outcome that is reported twice counts once: the request is not queued and sent twice.
func TestDuplicateOutcomeCountsOnce(t *testing.T) {
	for class := range 4 {
		b, h, to := openedRequest(t, testConfig(), class, 6)
		for _, o := range b.targets {
			o.limit.ceiling, o.limit.inFlight, o.limit.load = 1, 9, 9 // no capacity: it waits
		}
		for range 3 {
			b.Outcome(second+milli, Outcome{ID: 1, Backend: to, Result: ConnectFailed})
		}
		for _, o := range b.targets {
			o.limit.inFlight, o.limit.load = 0, 0
		}
		b.Timer(second+10*milli, dispatchToken)
		if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "send" {
			t.Errorf("class %d: %v, want one repeat", class, got)
		}
	}
}
