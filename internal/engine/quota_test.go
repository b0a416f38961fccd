package engine

import (
	"context"
	"testing"

	"lapisspread/decision"
)

// scriptedQuota allows attempts or not, and finds at the last moment that a permit has expired.
type scriptedQuota struct {
	allows  bool
	expired bool
	firsts  []bool // what it was told of each attempt
}

func (q *scriptedQuota) Acquire(_, _ int, first bool) (Permit, bool) {
	q.firsts = append(q.firsts, first)
	return Permit{Token: "t"}, q.allows
}
func (q *scriptedQuota) Expired(Permit) bool { return q.expired }

// tokenRecorder is a backend that records the tokens that reach it, and rejects all attempts.
type tokenRecorder struct {
	stuckUpstream
	tokens chan string
}

func (r tokenRecorder) Find(decision.BackendID) Backend { return r }
func (r tokenRecorder) Exchange(_ context.Context, a Attempt) (decision.Result, any) {
	r.tokens <- a.LeaseToken
	return decision.Rejected, nil
}

// What a quota does not allow is never sent and ends as NotSent; what it allows bears its token.
func TestQuotaIsAskedBeforeEachAttempt(t *testing.T) {
	for _, c := range []struct {
		quota scriptedQuota
		sent  bool
		want  decision.Result
	}{
		{scriptedQuota{}, false, decision.NotSent},
		{scriptedQuota{allows: true, expired: true}, false, decision.NotSent},
		{scriptedQuota{allows: true}, true, decision.Rejected},
	} {
		backend := tokenRecorder{tokens: make(chan string, 8)}
		quota := c.quota
		e, err := New(Options{
			Decision: testConfig(),
			Seed:     1,
			Upstream: backend,
			Source:   stuckUpstream{},
			Quota:    &quota,
		})
		if err != nil {
			t.Fatal(err)
		}
		e.ctx = t.Context()
		e.decider.Start(e.clock.Now())
		r := testRequest(e)
		r.id = 1
		e.requests[1] = r
		for n := range 2 {
			host{e}.Send(1, BackendID("a"), 0)
			if c.quota.allows {
				within(t, e.events, "no outcome")()
			} else if len(e.deferred) == 1 {
				e.deferred[0]()
				e.deferred = nil
			}
			if a := r.attempts[n]; !a.ended || a.result != c.want || (len(backend.tokens) == n+1) != c.sent {
				t.Errorf("%+v: attempt %d ended as %v, %d were sent", c.quota, n, a.result, len(backend.tokens))
			}
		}
		if len(quota.firsts) != 2 || !quota.firsts[0] || quota.firsts[1] {
			t.Errorf("the quota was asked about %v", quota.firsts)
		}
		for range len(backend.tokens) {
			if token := <-backend.tokens; token != "t" {
				t.Errorf("token %q", token)
			}
		}
	}
}
