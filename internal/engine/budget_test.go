package engine

import (
	"context"
	"testing"

	"lapisspread/decision"
)

// tight refuses attempts, or finds at the last moment that they are over.
type tight struct {
	draw, expired bool
	firsts        []bool
}

func (b *tight) Acquire(_, _ int, first bool) (Permit, bool) {
	b.firsts = append(b.firsts, first)
	return Permit{Token: "t"}, b.draw
}
func (b *tight) Expired(Permit) bool { return b.expired }

// counted is a server that tells which tokens reach it.
type counted struct {
	nowhere
	got chan string
}

func (c counted) Find(decision.BackendID) Backend { return c }
func (c counted) Exchange(_ context.Context, a Attempt) (decision.Result, any) {
	c.got <- a.LeaseToken
	return decision.Rejected, nil
}

// What a budget refuses is never sent and ends as Moot; what it lets out bears its token.
func TestABudgetIsAskedBeforeEachSend(t *testing.T) {
	for _, c := range []struct {
		tight
		sent bool
		want decision.Result
	}{{tight{}, false, decision.NotSent}, {tight{draw: true, expired: true}, false, decision.NotSent}, {tight{draw: true}, true, decision.Rejected}} {
		server := counted{got: make(chan string, 8)}
		budget := c.tight
		l, err := New(Options{Decision: testConfig(), Seed: 1, Upstream: server, Source: nowhere{}, Quota: &budget})
		if err != nil {
			t.Fatal(err)
		}
		l.ctx = t.Context()
		l.decider.Start(l.clock.Now())
		r := testRequest(l)
		r.id = 1
		l.requests[1] = r
		for n := range 2 {
			host{l}.Send(1, BackendID("a"), 0)
			if c.draw {
				within(t, l.events, "no outcome")()
			} else if len(l.deferred) == 1 {
				l.deferred[0]()
				l.deferred = nil
			}
			if a := r.attempts[n]; !a.ended || a.result != c.want || (len(server.got) == n+1) != c.sent {
				t.Errorf("%+v: attempt %d ended as %v, %d were sent", c.tight, n, a.result, len(server.got))
			}
		}
		if len(budget.firsts) != 2 || !budget.firsts[0] || budget.firsts[1] {
			t.Errorf("the budget was asked about %v", budget.firsts)
		}
		for range len(server.got) {
			if token := <-server.got; token != "t" {
				t.Errorf("token %q", token)
			}
		}
	}
}
