package decision

import "testing"

// Keys that go wherever there is capacity find nothing warm, and the extra work keeps all backends at their limits.
func TestKeyWaitsForItsOwnTargets(t *testing.T) {
	cfg := testConfig()
	cfg.KeyAffinity = true
	b, h := newBalancer(t, cfg, 6)
	ask := func(id RequestID) {
		b.Request(second, Request{ID: id, Class: idempotent, Key: 77, Deadline: 4 * second})
	}
	own := map[BackendID]bool{}
	for id := RequestID(1); len(b.queue) == 0; id++ {
		if id > 100 {
			t.Fatal("a hundred requests of one key and none waits")
		}
		ask(id)
		for _, a := range h.take("send") {
			own[a.to] = true
		}
	}
	if len(own) != 2 {
		t.Fatalf("one key's requests went to %v", own)
	}
	b.Timer(second+50*milli, dispatchToken)
	if early := h.take("send"); len(early) != 0 {
		t.Errorf("after 50 ms: %v", early)
	}
	b.Timer(second+200*milli, dispatchToken)
	if late := h.take("send"); len(late) != 1 || own[late[0].to] {
		t.Errorf("after a fifth of the objective, with capacity elsewhere: %v", late)
	}
}

// A backend that is registered as twice as large comes first to twice as many keys.
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
		if two := affinityTargets(pool, key+1); two[0].ID == backends[0].ID {
			firsts++
		}
	}
	if firsts < 1350 || firsts > 1650 {
		t.Errorf("%d of 3000 keys come first to the one with half of all", firsts)
	}
}
