package decision

import (
	"testing"
)

// A proxy that has just started knows no mean work, and its first request must wait for its part of the budget like
// that of any other: most proxies may have been killed at once.
func TestNewProxyWaitsForItsSlowStartShare(t *testing.T) {
	for _, c := range []struct {
		n, least, most int
	}{{1, 200, 200}, {30, 0, 20}} {
		sent := 0
		for seed := range uint64(200) {
			h := &recorder{}
			b, err := New(manyConfig(c.n), seed, h)
			if err != nil {
				t.Fatal(err)
			}
			now := 3000 * second
			b.Start(now)
			one := list(1)
			one[0].Started = now - 2*second
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFull, Backends: one})
			now += 5 * milli
			b.Request(now, Request{ID: 1, Class: idempotent, Deadline: now + second})
			sent += len(h.take("send"))
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%d proxies: %d of 200 send their first request to a cold backend at once", c.n, sent)
		}
	}
}
