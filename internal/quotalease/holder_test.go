package quotalease

import (
	"errors"
	"testing"
	"time"
)

func TestLowerLimitAndFloors(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	a := cluster.holders[0]
	b := cluster.holders[1]
	a.SetDemand("r", 20)
	b.SetDemand("r", 20)
	cluster.exchangeRounds(4)
	cluster.setQuotas(2, func(config *FleetConfig) {
		config.Quotas[0].Limit = 6
		config.Quotas[0].Burst = 6
	})
	cluster.exchangeRounds(5)
	cluster.wantOutstanding("r", 6)
	cluster.setQuotas(3, withFloors(map[string]float64{"a": 4}))
	a.SetFloorClaim(cluster.now, true)
	cluster.exchangeRounds(4)
	if status := a.Status(cluster.now, "r"); status.Floor != 4*Unit || status.Amount > 6*Unit {
		t.Errorf("a has %+v", status)
	}
	cluster.now += time.Minute // cut off from all servers
	if token, err := a.Acquire(cluster.now, "r", 1); err != nil || token != (Token{}) {
		t.Errorf("cut off, on its floor: %v %v", token, err)
	}
	if _, err := b.Acquire(cluster.now, "r", 1); !errors.As(err, new(LeaseExpiredError)) {
		t.Errorf("cut off, without a floor: %v", err)
	}
	a.SetFloorClaim(cluster.now, false) // an upgrade took the name
	if _, err := a.Acquire(cluster.now, "r", 1); !errors.As(err, new(LeaseExpiredError)) {
		t.Errorf("without the claim: %v", err)
	}
}

func TestHolderRefusesInvalidReplies(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	holder := cluster.holders[0]
	holder.SetDemand("r", 4)
	cluster.exchangeRounds(1)
	older := cluster.ReplyTo(processOf("a"))
	holder.SetDemand("r", 8)
	cluster.exchangeRounds(1)
	for _, tt := range []struct {
		name  string
		spoil func(*Reply)
		want  any // a pointer to the type of error
	}{
		{"another fleet", func(r *Reply) { r.FleetID = "g" }, new(FleetMismatchError)},
		{"a lease of another fleet", func(r *Reply) { r.Leases[0].FleetID = "g" }, new(FleetMismatchError)},
		{"another process", func(r *Reply) { r.Incarnation = 2 }, new(HolderMismatchError)},
		{"an older epoch", func(r *Reply) { r.Epoch = 0 }, new(StaleEpochError)},
		{"an older token", func(r *Reply) { r.Leases = older.Leases }, new(StaleTokenError)},
		{"a request that it never sent", func(r *Reply) {
			r.Leases[0].Token.Index = 1e6
			r.Leases[0].RequestSeq = 1e6
		}, new(LeaseExpiredError)},
		{"after its lease", func(r *Reply) {
			r.Leases[0].Token.Index = 1e6
			r.Leases[0].RequestSeq = 1
			r.Leases[0].Duration = time.Second / 2
		}, new(LeaseExpiredError)},
	} {
		reply := cluster.ReplyTo(processOf("a"))
		tt.spoil(&reply)
		before := holder.Status(cluster.now, "r")
		if err := holder.HandleReply(cluster.now, cluster.now, reply); err == nil || !errors.As(err, tt.want) {
			t.Errorf("%s: %v", tt.name, err)
		}
		if after := holder.Status(cluster.now, "r"); after != before {
			t.Errorf("%s: has %+v after it, %+v before", tt.name, after, before)
		}
	}
	if err := holder.HandleReply(cluster.now, cluster.now, cluster.ReplyTo(processOf("a"))); err != nil {
		t.Errorf("a repeated reply: %v", err)
	}
}

// What a holder spends in any time is at most its rate in that time and one burst; a lease arrives with an empty
// bucket.
func TestBucketArrivesEmpty(t *testing.T) {
	cluster := newTestCluster(t, "a")
	holder := cluster.holders[0]
	holder.SetDemand("r", 10)
	cluster.exchange(holder)
	if _, err := holder.Acquire(cluster.now, "r", 1); !errors.As(err, new(ExhaustedError)) {
		t.Fatalf("spent at once: %v", err)
	}
	const tick = 10 * time.Millisecond
	spent := 0
	for range 100 {
		cluster.now += tick
		if int(cluster.now/tick)%30 == 0 {
			cluster.exchange(holder)
		}
		if _, err := holder.Acquire(cluster.now, "r", 1); err == nil {
			spent++
		}
	}
	if spent < 8 || spent > 10 {
		t.Errorf("%d spent in a second of a rate of 10", spent)
	}
}

func TestUnitsInFlight(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	a := cluster.holders[0]
	b := cluster.holders[1]
	a.SetDemand("h", 10)
	cluster.exchangeRounds(1)
	var tokens []Token
	for range 10 {
		token, err := a.Acquire(cluster.now, "h", 1)
		if err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, token)
	}
	if _, err := a.Acquire(cluster.now, "h", 1); !errors.As(err, new(ExhaustedError)) {
		t.Errorf("an eleventh: %v", err)
	}
	b.SetDemand("h", 10)
	cluster.exchangeRounds(3)
	cluster.wantLeased(a, "h", 5)
	cluster.wantLeased(b, "h", 0) // a still has ten in flight
	cluster.wantOutstanding("h", 10)
	for _, token := range tokens[:7] {
		if err := a.Release("h", token, 1); err != nil {
			t.Fatal(err)
		}
	}
	cluster.exchangeRounds(2)
	cluster.wantLeased(b, "h", 5)
	if err := a.Release("h", tokens[0], 4); !errors.As(err, new(InvalidCommandError)) {
		t.Errorf("more released than was acquired: %v", err)
	}
	_, err := a.Revalidate(cluster.now+time.Minute, "h", tokens[0])
	if !errors.As(err, new(LeaseExpiredError)) || a.RevalidationFailures() != 1 {
		t.Errorf("sent after the lease: %v", err)
	}
}

func TestDemandIsMeasured(t *testing.T) {
	cluster := newTestCluster(t, "a")
	holder := cluster.holders[0]
	holder.NextRequest(0)
	for i := range 30 {
		_, err := holder.Acquire(time.Duration(i)*10*time.Millisecond, "r", 1)
		if !errors.As(err, new(NoLeaseError)) {
			t.Fatalf("a quota that is not known yet: %v", err)
		}
	}
	holder.SetDemand("r", 1)
	cluster.exchange(holder)
	holder.quotas["r"].wantedIsSet = false
	for i := range 60 {
		cluster.now += 10 * time.Millisecond
		_, _ = holder.Acquire(cluster.now, "r", int64(i%2)) // a rejected attempt is demand too
	}
	if got := holder.NextRequest(cluster.now).Quotas[0].Wanted.Units(); got < 50 || got > 75 {
		t.Errorf("50 a second were attempted, %v are requested", got)
	}
	for range 30 {
		cluster.now += time.Second
		holder.NextRequest(cluster.now)
	}
	if got := holder.NextRequest(cluster.now).Quotas[0].Wanted; got != 0 {
		t.Errorf("nothing was attempted, %v are requested", got.Units())
	}
}
