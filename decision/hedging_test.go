package decision

import "testing"

// An attempt of an idempotent request that takes far longer than expected is hedged, or cancelled and retried if
// HedgedRequests is not set. An attempt that must not be repeated is left alone.
func TestSlowAttemptIsHedgedOrReplaced(t *testing.T) {
	for _, c := range []struct {
		name    string
		hedging bool // HedgedRequests is set
		class   int
		want    string // "" means no action
	}{
		{"hedging allowed, idempotent", true, idempotent, "send"},
		{"hedging allowed, not idempotent", true, notIdempotent, ""},
		{"hedging not allowed, idempotent", false, idempotent, "cancel"},
		{"hedging not allowed, not idempotent", false, notIdempotent, ""},
	} {
		cfg := testConfig()
		cfg.Capabilities.HedgedRequests = c.hedging
		b, h := newBalancer(t, cfg, 4)
		b.Request(second, Request{ID: 1, Class: c.class, Deadline: 4 * second})
		first := h.take("send")[0].to
		b.Timer(second+400*milli, attemptToken(1, 0))
		got := h.take("send", "cancel")
		switch {
		case c.want == "" && len(got) != 0:
			t.Errorf("%s: timer of the slow attempt caused %v, want no action", c.name, got)
		case c.want != "" && (len(got) != 1 || got[0].verb != c.want):
			t.Errorf("%s: timer of the slow attempt caused %v, want one %s", c.name, got, c.want)
		case c.want == "send" && got[0].to == first:
			t.Errorf("%s: hedged request sent to backend %d like the first attempt, want another", c.name, first)
		case c.want == "cancel":
			b.Outcome(second+401*milli, Outcome{ID: 1, Backend: first, Result: Cancelled})
			if retries := h.take("send"); len(retries) != 1 || retries[0].to == first {
				t.Errorf("%s: Outcome(Cancelled) of the attempt at backend %d caused %v, want one send to another",
					c.name, first, retries)
			}
		}
	}
}

// When one of two attempts in flight is answered, the other is cancelled, and its outcome causes no action.
func TestHedgedRequestIsCancelledOnceOtherWins(t *testing.T) {
	for winner := range 2 {
		b, h, to := openedRequest(t, testConfig(), idempotent, 6)
		b.Timer(second+400*milli, attemptToken(1, 0))
		hedges := h.take("send")
		if len(hedges) != 1 {
			t.Fatalf("timer of the slow attempt caused %d sends, want 1", len(hedges))
		}
		backends := []BackendID{to, hedges[0].to} // of the two attempts
		b.Outcome(second+500*milli, Outcome{ID: 1, Attempt: winner, Backend: backends[winner], Result: OK, Final: true})
		if got := h.take("cancel"); len(got) != 1 || got[0].attempt != 1-winner {
			t.Errorf("Outcome(OK) of attempt %d caused the cancels %v, want one, of attempt %d", winner, got, 1-winner)
		}
		b.Outcome(second+501*milli, Outcome{ID: 1, Attempt: 1 - winner, Backend: backends[1-winner], Result: Reset,
			Final: true})
		fireTimersAndUpdateList(b, second+502*milli, 2)
		if got := h.take("send", "reject", "fail", "cancel"); len(got) != 0 {
			t.Errorf("after attempt %d was answered, the outcome of the other caused %v, want no action", winner, got)
		}
	}
}
