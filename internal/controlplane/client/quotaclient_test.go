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

// Acquire takes a unit from every quota that covers an attempt. If one of them has no unit, it takes none from the
// others either. It does not allocate.
func TestAttemptDrawsOnAllCoveringQuotasOrNone(t *testing.T) {
	now := time.Duration(0)
	config := testConfig("")
	config.Clock = func() time.Duration { return now }
	c := NewQuotaClient(config)
	c.generation = 1
	service, err := c.ForService("pay", []string{"a"}, []string{"t"})
	if err != nil {
		t.Fatalf("ForService(pay) = error %v, want nil", err)
	}
	c.publish(1, 7, "all", 0, nil, newBucket(0, quotalease.FromUnits(10), quotalease.FromUnits(1), 0))
	now = time.Second
	for range 5 { // a retry that the quota of retries rejects must not use up the quota of all attempts
		if _, ok := service.Acquire(0, 0, false); ok {
			t.Fatal("Acquire(retry) with an empty quota of retries = true, want false")
		}
	}
	if permit, ok := service.Acquire(0, 0, true); !ok || permit.Token != "p1;0.0" || service.Expired(permit) {
		t.Errorf("Acquire(first attempt) = %+v, %v, expired: %v; want token p1;0.0, true, not expired",
			permit, ok, service.Expired(permit))
	}
	if _, ok := service.Acquire(0, 0, true); ok {
		t.Error("second Acquire(first attempt) from a bucket with a burst of 1 unit = true, want false")
	}
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Second
		service.Acquire(0, 0, true)
	})
	if allocs > 0 {
		t.Errorf("allocations per Acquire: %v, want 0", allocs)
	}
}

// foreignReply returns a reply of another fleet to a request, with a lease and a floor.
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

// The client must not use leases and floors in the replies of another fleet, and must report the fault with advice. It
// has at most one call in flight.
func TestRepliesOfAnotherFleetAreRejected(t *testing.T) {
	var inFlight atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if inFlight.Add(1) > 1 {
			t.Error("calls in flight at the server: more than 1, want at most 1")
		}
		defer inFlight.Add(-1)
		var request quotalease.Request
		if err := api.DecodeBody(r.Body, &request); err != nil {
			t.Errorf("decoding a lease request: %v", err)
		}
		api.WriteReply(w, http.StatusOK, foreignReply(request))
	}))
	defer server.Close()
	c := NewQuotaClient(Config{File: testFile(t.TempDir(), server.Listener.Addr().String()), ProxyName: "p1"})
	service, err := c.ForService("web", nil, nil)
	if err != nil {
		t.Fatalf("ForService(web) = error %v, want nil", err)
	}
	stop := runInBackground(c.Run)
	deadline := time.Now().Add(20 * time.Second)
	for c.counters.failed.Load() < 3 && time.Now().Before(deadline) {
		if _, ok := service.Acquire(0, 0, true); ok {
			t.Fatal("Acquire after replies of another fleet only = true, want false")
		}
		time.Sleep(5 * time.Millisecond)
	}
	status := c.Status()
	advice := quotalease.FleetMismatchError{}.Advice()
	if len(status.Faults) != 1 || status.Faults[0].Advice != advice || !status.FloorsClaimed {
		t.Errorf("Status() after replies of another fleet = %+v; want 1 fault with advice %q, and floors claimed",
			status, advice)
	}
	stop()
}

func BenchmarkAcquire(b *testing.B) {
	c := NewQuotaClient(testConfig(""))
	c.generation = 1
	service, err := c.ForService("web", nil, nil)
	if err != nil {
		b.Fatalf("ForService(web) = error %v, want nil", err)
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
