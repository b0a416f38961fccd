package quotalease

import (
	"errors"
	"reflect"
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
	cluster.wantOutstanding("r", 6, "the limit was lowered to 6")
	cluster.setQuotas(3, withFloors(map[string]float64{"a": 4}))
	a.SetFloorClaim(cluster.now, true)
	cluster.exchangeRounds(4)
	if status := a.Status(cluster.now, "r"); status.Floor != 4*Unit || status.Amount > 6*Unit {
		t.Errorf("holder a: Status(quota r) has floor %v and leased amount %v, want floor 4 and at most 6 leased",
			status.Floor.Units(), status.Amount.Units())
	}
	cluster.now += time.Minute // cut off from all servers
	if token, err := a.Acquire(cluster.now, "r", 1); err != nil || token != (Token{}) {
		t.Errorf("holder a, cut off from all servers, with a floor: Acquire(quota r, 1) = token %v, error %v; "+
			"want the zero token, no error", token, err)
	}
	if _, err := b.Acquire(cluster.now, "r", 1); !errors.As(err, new(LeaseExpiredError)) {
		t.Errorf("holder b, cut off, without a floor: Acquire(quota r, 1) = error %v, want a LeaseExpiredError", err)
	}
	a.SetFloorClaim(cluster.now, false) // as in an upgrade, when the next process with this name claims them
	if _, err := a.Acquire(cluster.now, "r", 1); !errors.As(err, new(LeaseExpiredError)) {
		t.Errorf("holder a, without the floor claim: Acquire(quota r, 1) = error %v, want a LeaseExpiredError", err)
	}
}

func TestHolderRefusesInvalidReplies(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	holder := cluster.holders[0]
	holder.SetDemand("r", 4)
	cluster.exchangeRounds(1)
	older := cluster.ReplyTo(holderID("a"))
	holder.SetDemand("r", 8)
	cluster.exchangeRounds(1)
	for _, tt := range []struct {
		name   string
		change func(*Reply)
		want   any // a pointer to the expected error type, for errors.As
	}{
		{"reply of another fleet", func(r *Reply) { r.FleetID = "g" }, new(FleetMismatchError)},
		{"lease of another fleet", func(r *Reply) { r.Leases[0].FleetID = "g" }, new(FleetMismatchError)},
		{"reply for another process", func(r *Reply) { r.Incarnation = 2 }, new(HolderMismatchError)},
		{"older epoch", func(r *Reply) { r.Epoch = 0 }, new(StaleEpochError)},
		{"lease with an older token", func(r *Reply) { r.Leases = older.Leases }, new(StaleTokenError)},
		{"lease for a request that was never sent", func(r *Reply) {
			r.Leases[0].Token.Index = 1e6
			r.Leases[0].RequestSeq = 1e6
		}, new(LeaseExpiredError)},
		{"lease that has already expired", func(r *Reply) {
			r.Leases[0].Token.Index = 1e6
			r.Leases[0].RequestSeq = 1
			r.Leases[0].Duration = time.Second / 2
		}, new(LeaseExpiredError)},
	} {
		reply := cluster.ReplyTo(holderID("a"))
		tt.change(&reply)
		before := holder.Status(cluster.now, "r")
		if err := holder.HandleReply(cluster.now, cluster.now, reply); err == nil || !errors.As(err, tt.want) {
			t.Errorf("%s: HandleReply() = error %v, want an error of type %v", tt.name, err,
				reflect.TypeOf(tt.want).Elem())
		}
		if after := holder.Status(cluster.now, "r"); after != before {
			t.Errorf("%s: Status(quota r) after the refused reply = %+v, want %+v as before", tt.name, after, before)
		}
	}
	if err := holder.HandleReply(cluster.now, cluster.now, cluster.ReplyTo(holderID("a"))); err != nil {
		t.Errorf("HandleReply(the same valid reply again) = %v, want no error", err)
	}
}

// In any time span a holder spends at most its rate times the span plus one burst. A lease starts with an empty
// token bucket, so nothing can be spent immediately.
func TestBucketArrivesEmpty(t *testing.T) {
	cluster := newTestCluster(t, "a")
	holder := cluster.holders[0]
	holder.SetDemand("r", 10)
	cluster.exchange(holder)
	if _, err := holder.Acquire(cluster.now, "r", 1); !errors.As(err, new(ExhaustedError)) {
		t.Fatalf("Acquire(quota r, 1) immediately after the first lease = error %v, want an ExhaustedError", err)
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
		t.Errorf("units acquired within 1s of a lease of 10 units a second = %d, want 8 to 10", spent)
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
			t.Fatalf("Acquire(quota h, 1) with %d of 10 units in flight = error %v, want no error", len(tokens), err)
		}
		tokens = append(tokens, token)
	}
	if _, err := a.Acquire(cluster.now, "h", 1); !errors.As(err, new(ExhaustedError)) {
		t.Errorf("Acquire(quota h, 1) with 10 of 10 units in flight = error %v, want an ExhaustedError", err)
	}
	b.SetDemand("h", 10)
	cluster.exchangeRounds(3)
	cluster.wantLeased(a, "h", 5, "holder b requests 10 units")
	cluster.wantLeased(b, "h", 0, "holder b requests 10 units while holder a has 10 in flight")
	cluster.wantOutstanding("h", 10, "holder b requests 10 units while holder a has 10 in flight")
	for i, token := range tokens[:7] {
		if err := a.Release("h", token, 1); err != nil {
			t.Fatalf("Release(quota h, 1) number %d of 7, with 10 units in flight before = %v, want no error", i+1, err)
		}
	}
	cluster.exchangeRounds(2)
	cluster.wantLeased(b, "h", 5, "holder a released 7 units")
	if err := a.Release("h", tokens[0], 4); !errors.As(err, new(InvalidCommandError)) {
		t.Errorf("Release(quota h, 4) with 3 units in flight = error %v, want an InvalidCommandError", err)
	}
	_, err := a.Revalidate(cluster.now+time.Minute, "h", tokens[0])
	if !errors.As(err, new(LeaseExpiredError)) || a.RevalidationFailures() != 1 {
		t.Errorf("Revalidate() after the lease expired = error %v, RevalidationFailures() = %d; "+
			"want a LeaseExpiredError, 1", err, a.RevalidationFailures())
	}
}

func TestDemandIsMeasured(t *testing.T) {
	cluster := newTestCluster(t, "a")
	holder := cluster.holders[0]
	holder.NextRequest(0)
	for i := range 30 {
		_, err := holder.Acquire(time.Duration(i)*10*time.Millisecond, "r", 1)
		if !errors.As(err, new(NoLeaseError)) {
			t.Fatalf("Acquire(quota r, 1) before any reply = error %v, want a NoLeaseError", err)
		}
	}
	holder.SetDemand("r", 1)
	cluster.exchange(holder)
	holder.quotas["r"].wantedFixed = false
	for i := range 60 {
		cluster.now += 10 * time.Millisecond
		_, _ = holder.Acquire(cluster.now, "r", int64(i%2)) // rejected attempts count as demand
	}
	if got := holder.NextRequest(cluster.now).Quotas[0].Wanted.Units(); got < 50 || got > 75 {
		t.Errorf("NextRequest() after 50 attempts a second wants %v units a second, want 50 to 75", got)
	}
	for range 30 {
		cluster.now += time.Second
		holder.NextRequest(cluster.now)
	}
	if got := holder.NextRequest(cluster.now).Quotas[0].Wanted; got != 0 {
		t.Errorf("NextRequest() after 30s without attempts wants %v units a second, want 0", got.Units())
	}
}
