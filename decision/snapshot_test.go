package decision

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// learnedSnapshot gives a Balancer that has served for a while, with an unhealthy backend and one that may have
// restarted, and its snapshot as read back from JSON.
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
	b.recordStart(b.targetsByID[4], now-second) // suspected: the list does not say so
	var m Snapshot
	text, err := json.Marshal(b.Snapshot(now))
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		t.Fatal(err)
	}
	return b, m
}

func TestSnapshotIsPrior(t *testing.T) {
	old, m := learnedSnapshot(t)
	for _, c := range []struct {
		name            string
		age             time.Duration
		started         time.Duration // of all, as the list now says
		healthy, cold   bool          // of backends 3 and 4
		least, mostRate float64       // parts of the rate before
	}{
		{"at once", milli, 0, false, true, 0.9, 1.01},
		{"after the time over which the rate is taken", maxRateSpan, 0, false, false, 0.3, 0.4},
		{"a backend that has started anew is another", second, m.TakenAt + milli, true, true, 0.9, 1.01},
		{"of a time that has not come", -second, 0, true, false, 0, 0},
	} {
		h := &recorder{}
		b, err := New(testConfig(), 1, h)
		if err != nil {
			t.Fatal(err)
		}
		now := m.TakenAt + c.age
		b.Start(now)
		b.Restore(now, m)
		backends := list(8)
		for i := range backends {
			backends[i].Started = c.started
		}
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateCached, Backends: backends})
		_, cold := b.warmUpCapacity(b.targetsByID[4])
		if b.targetsByID[3].healthy != c.healthy || cold != c.cold {
			t.Errorf("%s: healthy %v, cold %v", c.name, b.targetsByID[3].healthy, cold)
		}
		if share := b.requestRate() / old.requestRate(); share < c.least || share > c.mostRate {
			t.Errorf("%s: the rate is %.2f of the one before", c.name, share)
		}
		if c.age >= 0 {
			if want, got := old.expectedLatency(idempotent, 0), b.expectedLatency(idempotent,
				0); math.Abs(want-got) > 1e-9*want {
				t.Errorf("%s: a delay of %v is expected, before it was %v", c.name, got, want)
			}
		}
	}
}

// A suspected restart survives the proxy: its successor must not overload the cold backend.
func TestRestoredColdBackendHasSlowStart(t *testing.T) {
	_, m := learnedSnapshot(t)
	b, err := New(testConfig(), 1, &recorder{})
	if err != nil {
		t.Fatal(err)
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
		t.Errorf("%d requests of 100 ms go to a server that is cold for all that is known", sent)
	}
}
