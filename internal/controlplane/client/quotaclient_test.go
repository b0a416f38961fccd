package client

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/quotalease"
)

func TestAttemptDrawsOnAllCoveringQuotasOrNone(t *testing.T) {
	now := time.Duration(0)
	config := testConfig("")
	config.Clock = func() time.Duration { return now }
	c := NewQuotaClient(config)
	c.generation = 1
	service, err := c.ForService("pay", []string{"a"}, []string{"t"})
	if err != nil {
		t.Fatal(err)
	}
	c.publish(1, 7, "all", 0, nil, newBucket(0, quotalease.FromUnits(10), quotalease.FromUnits(1), 0))
	now = time.Second
	for range 5 { // a retry without its own quota must not use up the other
		if _, ok := service.Acquire(0, 0, false); ok {
			t.Fatal("a retry was admitted without its quota")
		}
	}
	if permit, ok := service.Acquire(0, 0, true); !ok || permit.Token != "p1;0.0" || service.Expired(permit) {
		t.Errorf("a first attempt: %+v, %v", permit, ok)
	}
	if _, ok := service.Acquire(0, 0, true); ok {
		t.Error("a bucket of one gave two")
	}
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Second
		service.Acquire(0, 0, true)
	})
	if allocs > 0 {
		t.Errorf("Acquire allocates %v times", allocs)
	}
}

// foreignReply is a reply of another fleet with a lease and a floor.
func foreignReply(request quotalease.Request) quotalease.Reply {
	amount := quotalease.FromUnits(500)
	burst := quotalease.FromUnits(50)
	lease := quotalease.Lease{
		FleetID:    "south",
		Epoch:      9,
		HolderID:   request.HolderID,
		Quota:      "all",
		Kind:       quotalease.Rate,
		Amount:     amount,
		Burst:      burst,
		Duration:   time.Hour,
		RequestSeq: request.Seq,
		Token:      quotalease.Token{Epoch: 9, Index: 9},
	}
	return quotalease.Reply{
		FleetID:       "south",
		Epoch:         9,
		HolderID:      request.HolderID,
		ConfigVersion: 9,
		Leases:        []quotalease.Lease{lease},
		Floors:        map[string]quotalease.Floor{"all": {Kind: quotalease.Rate, Amount: amount, Burst: burst}},
	}
}

func TestRepliesOfAnotherFleetAreRejected(t *testing.T) {
	var underWay atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if underWay.Add(1) > 1 {
			t.Error("two calls are under way at once")
		}
		defer underWay.Add(-1)
		var request quotalease.Request
		if err := api.DecodeBody(r.Body, &request); err != nil {
			t.Error(err)
		}
		api.WriteReply(w, http.StatusOK, foreignReply(request))
	}))
	defer server.Close()
	c := NewQuotaClient(Config{File: testFile(t.TempDir(), server.Listener.Addr().String()), ProxyName: "p1"})
	service, err := c.ForService("web", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	stop := runInBackground(c.Run)
	deadline := time.Now().Add(20 * time.Second)
	for c.counters.failed.Load() < 3 && time.Now().Before(deadline) {
		if _, ok := service.Acquire(0, 0, true); ok {
			t.Fatal("another fleet's lease was spent")
		}
		time.Sleep(5 * time.Millisecond)
	}
	status := c.Status()
	advice := quotalease.FleetMismatchError{}.Advice()
	if len(status.Faults) != 1 || status.Faults[0].Advice != advice || !status.FloorsClaimed {
		t.Errorf("%+v", status)
	}
	stop()
}

func BenchmarkAcquire(b *testing.B) {
	c := NewQuotaClient(testConfig(""))
	c.generation = 1
	service, err := c.ForService("web", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	amount := quotalease.FromUnits(1e9)
	c.publish(1, 7, "all", c.clock(), nil, newBucket(c.clock(), amount, amount, 0))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			service.Acquire(0, 0, true)
		}
	})
}
