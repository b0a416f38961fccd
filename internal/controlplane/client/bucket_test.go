package client

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/quotalease"
)

// leaseStep is a lease or a floor that the servers grant after a delay. It is a floor if its duration is 0.
type leaseStep struct {
	after    int64 // milliseconds
	amount   int64 // units per second
	burst    int64 // units
	duration int64 // milliseconds
}

// bucketComparison compares the buckets of a client with a quotalease.Holder that gets the same leases. The holder is
// drained every millisecond, so it admits the maximum that is possible with these leases.
type bucketComparison struct {
	t       *testing.T
	now     atomic.Int64 // nanoseconds
	client  *QuotaClient
	service *ServiceQuotas
	holder  *quotalease.Holder
	id      quotalease.HolderID

	configVersion uint64
	leaseIndex    uint64
	burst         quotalease.Amount // of the last lease

	taken    atomic.Int64 // units taken from the buckets
	admitted int64        // units admitted by the holder
	excess   error        // describes the first time at which taken exceeded admitted; nil if it never did
}

// newBucketComparison returns a comparison whose client has the given checks disabled and which has no leases yet.
func newBucketComparison(t *testing.T, m mutations) *bucketComparison {
	t.Helper()
	c := &bucketComparison{t: t, id: quotalease.HolderID{Holder: "p1", Incarnation: 7}}
	config := testConfig("")
	config.Clock = c.clock
	c.client = NewQuotaClient(config)
	c.client.mutations = m
	c.client.generation = 1
	var err error
	c.service, err = c.client.ForService("web", nil, nil)
	if err != nil || c.service == nil {
		t.Fatalf("ForService(web) = %v, error %v; want quotas and no error", c.service, err)
	}
	c.holder = quotalease.NewHolder(quotalease.HolderSettings{FleetID: "north", HolderID: c.id, MaxDrift: .001})
	c.holder.SetFloorClaim(0, true)
	c.holder.SetDemand("all", 1)
	return c
}

func (c *bucketComparison) clock() time.Duration { return time.Duration(c.now.Load()) }

// takeAll takes units from the buckets in several goroutines until they are empty, while during runs.
func (c *bucketComparison) takeAll(during func()) {
	var takers sync.WaitGroup
	for range 8 {
		takers.Go(func() {
			for range 2 {
				for ok := true; ok; {
					if _, ok = c.service.Acquire(0, 0, true); ok {
						c.taken.Add(1)
					}
				}
			}
		})
	}
	during()
	takers.Wait()
}

// drainHolder acquires units from the holder until it rejects one.
func (c *bucketComparison) drainHolder() {
	for {
		if _, err := c.holder.Acquire(c.clock(), "all", 1); err != nil {
			return
		}
		c.admitted++
	}
}

// wait advances the clock and compares the buckets with the holder at each millisecond.
func (c *bucketComparison) wait(milliseconds int64) {
	for range milliseconds {
		c.now.Add(int64(time.Millisecond))
		c.drainHolder()
		c.takeAll(func() {})
		if taken := c.taken.Load(); taken > c.admitted && c.excess == nil {
			c.excess = fmt.Errorf("at %v: %d units taken from the buckets, want at most the holder's %d",
				c.clock(), taken, c.admitted)
		}
	}
}

// reply returns the servers' reply with the lease or the floor of a step.
func (c *bucketComparison) reply(step leaseStep) quotalease.Reply {
	amount := quotalease.FromUnits(float64(step.amount))
	burst := quotalease.FromUnits(float64(step.burst))
	reply := quotalease.Reply{FleetID: "north", Epoch: 1, HolderID: c.id, Floors: map[string]quotalease.Floor{}}
	switch {
	case step.duration > 0:
		c.leaseIndex++
		c.burst = burst
		reply.Leases = []quotalease.Lease{{
			FleetID:    "north",
			Epoch:      1,
			HolderID:   c.id,
			Quota:      "all",
			Kind:       quotalease.Rate,
			Amount:     amount,
			Burst:      burst,
			Duration:   time.Duration(step.duration) * time.Millisecond,
			RequestSeq: c.holder.NextRequest(c.clock()).Seq,
			Token:      quotalease.Token{Epoch: 1, Index: c.leaseIndex},
		}}
	case step.amount > 0:
		c.configVersion++
		reply.ConfigVersion = c.configVersion
		reply.Floors["all"] = quotalease.Floor{Kind: quotalease.Rate, Amount: amount, Burst: burst}
	}
	return reply
}

// grant passes a step's reply to the holder and publishes the resulting buckets while units are taken concurrently.
func (c *bucketComparison) grant(step leaseStep) {
	c.t.Helper()
	now := c.clock()
	if err := c.holder.HandleReply(now, now, c.reply(step)); err != nil {
		c.t.Fatalf("HandleReply(%+v) = %v, want nil", step, err)
	}
	_, floors := c.holder.Floors()
	lease := c.client.leaseBucket(now, c.id.Incarnation, c.holder.Status(now, "all"), c.burst)
	floor := c.client.floorBucket(now, floors["all"])
	c.takeAll(func() { c.client.publish(1, c.id.Incarnation, "all", now, lease, floor) })
	c.drainHolder()
}

// The units taken concurrently from the buckets must never exceed those that a Holder with the same leases admits. Runs
// with a check disabled must exceed them, otherwise this test would not detect a missing check.
func TestBucketsNeverAdmitMoreThanHolder(t *testing.T) {
	steps := []leaseStep{
		{10, 500, 20, 200}, {150, 900, 60, 200}, {100, 100, 10, 100}, {250, 700, 40, 300},
		{90, 30, 5, 0}, {100, 300, 40, 150}, {300, 60, 8, 0}, {after: 300},
	}
	for _, test := range []struct {
		name       string
		mutations  mutations
		wantExcess bool
	}{
		{"no mutation", mutations{}, false},
		{"bucket of a new lease is full", mutations{startFull: true}, true},
		{"leases do not expire", mutations{neverExpire: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newBucketComparison(t, test.mutations)
			for _, step := range steps {
				c.wait(step.after)
				c.grant(step)
			}
			if (c.excess != nil) != test.wantExcess {
				t.Errorf("buckets admitted more than the holder: %v (first excess: %v), want %v",
					c.excess != nil, c.excess, test.wantExcess)
			}
			if taken := c.taken.Load(); taken < 100 || taken < c.admitted*95/100 {
				t.Errorf("units taken from the buckets: %d, want at least 100 and 95%% of the holder's %d",
					taken, c.admitted)
			}
		})
	}
}

// publishLease publishes and returns the bucket of a lease of incarnation 7. index is that of its fencing token.
func publishLease(c *QuotaClient, now, expiresAt time.Duration, index uint64) *bucket {
	b := newBucket(now, quotalease.FromUnits(100), quotalease.FromUnits(10), .001)
	b.incarnation = 7
	b.expiresAt = int64(expiresAt)
	b.token = quotalease.Token{Epoch: 1, Index: index}
	c.publish(1, 7, "all", now, b, nil)
	return b
}

// No unit may be taken from a replaced bucket, and the bucket after an expired lease must start empty. Runs with one of
// these checks disabled must show the violation, otherwise this test would not detect a missing check.
func TestReplacedBucketGivesNothing(t *testing.T) {
	for _, test := range []struct {
		mutations
		wantReplaced bool // a take from a replaced bucket succeeds
		wantExpired  bool // a take from the bucket after an expired lease succeeds
	}{
		{mutations{}, false, false},
		{mutations{keepReplacedOpen: true}, true, false},
		{mutations{reuseExpired: true}, false, true},
	} {
		c := NewQuotaClient(testConfig(""))
		c.mutations = test.mutations
		c.generation = 1
		first := publishLease(c, 0, time.Second, 1)
		second := publishLease(c, 200*time.Millisecond, 1200*time.Millisecond, 2)
		if got := first.take(int64(300 * time.Millisecond)); got != test.wantReplaced {
			t.Errorf("mutations %+v: take from a replaced bucket = %v, want %v",
				test.mutations, got, test.wantReplaced)
		}
		if !second.take(int64(300 * time.Millisecond)) {
			t.Error("take from the bucket of a renewed lease = false, want true: it keeps the previous bucket's level")
		}
		// The lease expired before the next one was granted, so the units left in its bucket may have been leased to
		// another holder since.
		publishLease(c, time.Second, 2*time.Second, 1)
		last := publishLease(c, 3*time.Second, 4*time.Second, 2)
		if got := last.take(int64(3 * time.Second)); got != test.wantExpired {
			t.Errorf("mutations %+v: take from the bucket of a lease granted after the previous one expired = %v, "+
				"want %v", test.mutations, got, test.wantExpired)
		}
		c.publish(1, 8, "all", 3200*time.Millisecond, nil, nil)
		if !last.take(int64(3300 * time.Millisecond)) {
			t.Error("take after another worker has published no lease = false, want true: the lease has not expired")
		}
		c.publish(1, 0, "all", 3400*time.Millisecond, nil, nil)
		if last.take(int64(3900 * time.Millisecond)) {
			t.Error("take after all leases were released = true, want false")
		}
		if c.publish(0, 7, "all", 4*time.Second, nil, nil) {
			t.Error("publish by a worker of an earlier generation = true, want false")
		}
	}
}
