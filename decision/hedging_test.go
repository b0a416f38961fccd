package decision

import "testing"

// An attempt that takes far longer than expected is hedged where that is allowed; elsewhere an idempotent one is
// cancelled and retried, and any other is left alone.
func TestSlowAttemptIsHedgedOrReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		hedged bool
		class  int
		want   string
	}{
		{"hedged, idempotent", true, idempotent, "send"},
		{"hedged, not idempotent", true, notIdempotent, ""},
		{"not hedged, idempotent", false, idempotent, "cancel"},
		{"not hedged, not idempotent", false, notIdempotent, ""},
	} {
		cfg := testConfig()
		cfg.Capabilities.HedgedRequests = c.hedged
		b, h := newBalancer(t, cfg, 4)
		b.Request(second, Request{ID: 1, Class: c.class, Deadline: 4 * second})
		first := h.take("send")[0].to
		b.Timer(second+400*milli, attemptToken(1, 0))
		got := h.take("send", "cancel")
		switch {
		case c.want == "" && len(got) != 0, c.want != "" && (len(got) != 1 || got[0].verb != c.want):
			t.Errorf("%s: %v", c.name, got)
		case c.want == "send" && got[0].to == first:
			t.Errorf("%s: the copy went to the same backend", c.name)
		case c.want == "cancel":
			b.Outcome(second+401*milli, Outcome{ID: 1, Backend: first, Result: Cancelled})
			if again := h.take("send"); len(again) != 1 || again[0].to == first {
				t.Errorf("%s: sent again: %v", c.name, again)
			}
		}
	}
}

// The attempt in flight beside the one that won is cancelled, and its end counts no more.
func TestHedgedRequestIsCancelledOnceOtherWins(t *testing.T) {
	for winner := range 2 {
		b, h, to := openedRequest(t, testConfig(), idempotent, 6)
		b.Timer(second+400*milli, attemptToken(1, 0))
		hedges := h.take("send")
		if len(hedges) != 1 {
			t.Fatalf("%d hedged requests", len(hedges))
		}
		at := []BackendID{to, hedges[0].to}
		b.Outcome(second+500*milli, Outcome{ID: 1, Attempt: winner, Backend: at[winner], Result: OK, Final: true})
		if got := h.take("cancel"); len(got) != 1 || got[0].attempt != 1-winner {
			t.Errorf("attempt %d won: %v", winner, got)
		}
		b.Outcome(second+501*milli, Outcome{ID: 1, Attempt: 1 - winner, Backend: at[1-winner], Result: Reset,
			Final: true})
		fireEverything(b, second+502*milli, 2)
		if got := h.take("send", "reject", "fail", "cancel"); len(got) != 0 {
			t.Errorf("attempt %d won: afterwards %v", winner, got)
		}
	}
}
