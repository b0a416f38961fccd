package engine

import (
	"context"
	"testing"

	"lapisspread/decision"
)

// scriptedQuota is a Quota with fixed answers, which records the calls of Acquire.
type scriptedQuota struct {
	allowed bool   // what Acquire returns
	expired bool   // what Expired returns
	firsts  []bool // argument first of each call of Acquire
}

func (q *scriptedQuota) Acquire(_, _ int, first bool) (Permit, bool) {
	q.firsts = append(q.firsts, first)
	return Permit{Token: "t"}, q.allowed
}
func (q *scriptedQuota) Expired(Permit) bool { return q.expired }

// tokenRecorder is an upstream and its only backend. It records the lease tokens of the attempts that reach it and
// rejects all attempts.
type tokenRecorder struct {
	stuckUpstream
	tokens chan string
}

func (r tokenRecorder) Find(decision.BackendID) Backend { return r }
func (r tokenRecorder) Exchange(_ context.Context, a Attempt) (decision.Result, any) {
	r.tokens <- a.LeaseToken
	return decision.Rejected, nil
}

// The quota is called for each attempt. An attempt that it does not allow is not sent and ends as NotSent; an attempt
// that it allows is sent with the permit's token.
func TestQuotaIsAskedBeforeEachAttempt(t *testing.T) {
	for _, c := range []struct {
		quota scriptedQuota
		sent  bool
		want  decision.Result
	}{
		{scriptedQuota{}, false, decision.NotSent},
		{scriptedQuota{allowed: true, expired: true}, false, decision.NotSent},
		{scriptedQuota{allowed: true}, true, decision.Rejected},
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
			t.Fatalf("New failed: %v", err)
		}
		e.ctx = t.Context()
		e.decider.Start(e.clock.Now())
		r := testRequest(e)
		r.id = 1
		e.requests[1] = r
		for n := range 2 {
			host{e}.Send(1, BackendID("a"), 0)
			if c.quota.allowed {
				receive(t, e.events, "the attempt posted no event with its end")()
			} else if len(e.deferred) == 1 {
				e.deferred[0]()
				e.deferred = nil
			}
			if a := r.attempts[n]; !a.ended || a.result != c.want || (len(backend.tokens) == n+1) != c.sent {
				t.Errorf("quota allows %v, permit expired %v: attempt %d ended %v with result %v, %d attempts sent, "+
					"want result %v and sent %v", c.quota.allowed, c.quota.expired, n, a.ended, a.result,
					len(backend.tokens), c.want, c.sent)
			}
		}
		if len(quota.firsts) != 2 || !quota.firsts[0] || quota.firsts[1] {
			t.Errorf("argument first of the calls of Acquire = %v, want [true false]", quota.firsts)
		}
		for range len(backend.tokens) {
			if token := <-backend.tokens; token != "t" {
				t.Errorf("lease token sent to the backend = %q, want %q", token, "t")
			}
		}
	}
}
