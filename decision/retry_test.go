package decision

import "testing"

// Where all fails, further attempts stay within their share of the requests, whatever it is set to.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, share := range []float64{0, 0.02, 0.1, 0.5} { // 0 is the usual
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
		// An attempt after one that broke costs brokenPrice of the budget.
		if most := n + int(want*n/brokenAttemptCost) + maxRetryBudget/brokenAttemptCost + 1; float64(sends) > float64(most) {
			t.Errorf("share %v: %d sends for %d requests, at most %d", share, sends, n, most)
		}
		if want >= 0.1 && sends < n+n/20 {
			t.Errorf("share %v: only %d sends for %d requests", share, sends, n)
		}
	}
}
