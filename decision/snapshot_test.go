package decision

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// learnedSnapshot returns a Balancer that has served requests for 2 s, with backend 3 unhealthy and a suspected restart
// of backend 4, and its snapshot, marshalled to JSON and unmarshalled.
func learnedSnapshot(t *testing.T) (*Balancer, Snapshot) {
	t.Helper()
	b, h := newBalancer(t, testConfig(), 8)
	now := second
	for i := range 200 {
		now += 10 * milli
		b.Request(now, Request{ID: RequestID(i + 1), Deadline: now + second})
		for _, a := range h.take("send") {
			b.Outcome(now+5*milli, Outcome{ID: a.id, Backend: a.to, Result: OK, Final: true})
		}
	}
	b.targetsByID[3].healthy = false
	b.recordStart(b.targetsByID[4], now-second) // only suspected: the endpoint list does not contain it
	var m Snapshot
	text, err := json.Marshal(b.Snapshot(now))
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		t.Fatalf("marshalling and unmarshalling the snapshot: %v", err)
	}
	return b, m
}

// A restored snapshot counts less the older it is, and not for backends that have started since.
func TestSnapshotIsPrior(t *testing.T) {
	old, m := learnedSnapshot(t)
	for _, c := range []struct {
		name             string
		age              time.Duration
		started          time.Duration // of all backends in the new list
		healthy          bool          // backend 3
		warmingUp        bool          // backend 4
		minRate, maxRate float64       // shares of the predecessor's request rate
	}{
		{"restored at once", milli, 0, false, true, 0.9, 1.01},
		{"restored after maxRateSpan", maxRateSpan, 0, false, false, 0.3, 0.4},
		{"backends restarted since", second, m.TakenAt + milli, true, true, 0.9, 1.01},
		{"snapshot from the future", -second, 0, true, false, 0, 0},
	} {
		h := &recorder{}
		b, err := New(testConfig(), 1, h)
		if err != nil {
			t.Fatalf("%s: New: %v", c.name, err)
		}
		now := m.TakenAt + c.age
		b.Start(now)
		b.Restore(now, m)
		backends := list(8)
		for i := range backends {
			backends[i].Started = c.started
		}
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateCached, Backends: backends})
		_, warmingUp := b.warmUpCapacity(b.targetsByID[4])
		if b.targetsByID[3].healthy != c.healthy || warmingUp != c.warmingUp {
			t.Errorf("%s: backend 3 healthy = %v, backend 4 warming up = %v; want %v, %v", c.name,
				b.targetsByID[3].healthy, warmingUp, c.healthy, c.warmingUp)
		}
		if share := b.requestRate() / old.requestRate(); share < c.minRate || share > c.maxRate {
			t.Errorf("%s: request rate after Restore = %.2f times the predecessor's, want %v to %v", c.name, share,
				c.minRate, c.maxRate)
		}
		if c.age >= 0 {
			if want, got := old.expectedLatency(idempotent, 0), b.expectedLatency(idempotent,
				0); math.Abs(want-got) > 1e-9*want {
				t.Errorf("%s: expectedLatency after Restore = %v ms, want the predecessor's, %v ms", c.name, got, want)
			}
		}
	}
}

// A suspected restart is part of the snapshot: the successor must not overload a backend that may be warming up.
func TestRestoredColdBackendHasSlowStart(t *testing.T) {
	_, m := learnedSnapshot(t)
	b, err := New(testConfig(), 1, &recorder{})
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(m.TakenAt)
	b.Restore(m.TakenAt, m)
	b.UpdateEndpoints(m.TakenAt, EndpointUpdate{Kind: UpdateCached, Backends: list(8)})
	sent := 0
	for range 1000 {
		if b.slowStartAllows(b.targetsByID[4], 100) {
			b.targetsByID[4].slowStartTokens--
			b.targetsByID[4].inFlight = append(b.targetsByID[4].inFlight, nil)
			sent++
		}
	}
	if sent > 3 {
		t.Errorf("slowStartAllows(100 ms of work) at a backend with a suspected restart = true %d times, "+
			"want at most 3", sent)
	}
}
