package upstream

import (
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/faultlab/diameterpeer"
)

// A server takes its time over the capabilities exchange, and by then the attempt may not be made any more: it does not go out.
func TestAConnectionThatComesUpTooLate(t *testing.T) {
	inBubble(t, &diameterpeer.Server{Late: 500 * time.Millisecond}, func(t *testing.T, u *Upstream, send func(uint32) decision.Result) {
		asked := time.Now()
		may := func() (time.Time, bool) { return time.Time{}, time.Since(asked) < 400*time.Millisecond }
		a := engine.Attempt{Message: NewMessage(claimOf("1", 1)), Timeout: time.Second, MaySend: may}
		if got, _ := u.Find(engine.BackendID("a")).Exchange(t.Context(), a); got != decision.NotSent {
			t.Errorf("ended as %v", got)
		}
		before := u.node.Counts.Sent.Load()
		if got := send(2); got != decision.OK {
			t.Errorf("the next one: %v", got)
		}
		if n := u.node.Counts.Sent.Load(); n != before+1 {
			t.Errorf("%d requests went out, want one", n-before)
		}
	})
}
