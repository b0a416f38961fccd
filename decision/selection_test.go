package decision

import "testing"

// A request with a key waits for the key's own targets before others are considered. If requests went wherever there is
// capacity, they would find no cached data there, and the extra work would keep all backends at their limits.
func TestKeyWaitsForItsOwnTargets(t *testing.T) {
	cfg := testConfig()
	cfg.KeyAffinity = true
	b, h := newBalancer(t, cfg, 6)
	sendRequest := func(id RequestID) {
		b.Request(second, Request{ID: id, Class: idempotent, Key: 77, Deadline: 4 * second})
	}
	own := map[BackendID]bool{}
	for id := RequestID(1); len(b.queue) == 0; id++ {
		if id > 100 {
			t.Fatal("100 requests with one key were sent and none was queued, want a queue once two targets are full")
		}
		sendRequest(id)
		for _, a := range h.take("send") {
			own[a.to] = true
		}
	}
	if len(own) != 2 {
		t.Fatalf("requests with one key were sent to the backends %v, want two backends", own)
	}
	b.Timer(second+50*milli, dispatchToken)
	if early := h.take("send"); len(early) != 0 {
		t.Errorf("dispatch 50 ms after the request, with the key's targets full, caused %v, want no send", early)
	}
	b.Timer(second+200*milli, dispatchToken)
	if late := h.take("send"); len(late) != 1 || own[late[0].to] {
		t.Errorf("dispatch 200 ms after the request, a fifth of the objective, caused %v, "+
			"want one send to another target", late)
	}
}

// The share of keys for which a backend is the first choice is its share of the registered sizes: here half of them.
func TestKeysFollowRegisteredSize(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Weights = WeightNominal
	b, _ := newBalancer(t, cfg, 0)
	backends := list(4)
	backends[0].Weight = 3
	b.UpdateEndpoints(b.now, EndpointUpdate{Kind: UpdateFull, Backends: backends})
	firsts := 0
	for key := range uint64(3000) {
		pool := append([]*target(nil), b.targets...)
		if own := affinityTargets(pool, key+1); own[0].ID == backends[0].ID {
			firsts++
		}
	}
	if firsts < 1350 || firsts > 1650 {
		t.Errorf("backend with half of the registered sizes is the first choice of %d of 3000 keys, want 1350 to 1650",
			firsts)
	}
}
