package quotalease

import (
	"math"
	"testing"
	"time"
)

// testCluster is one server and some holders, without any fault between them.
type testCluster struct {
	*testLog
	allocator *Allocator
	holders   []*Holder
	now       time.Duration
}

// newTestCluster has a holder for each letter of names.
func newTestCluster(t testing.TB, names string) *testCluster {
	cluster := &testCluster{testLog: newTestLog(t, nil)}
	cluster.allocator = NewAllocator(0, 0, cluster.StateMachine)
	for _, name := range names {
		cluster.join(string(name))
	}
	return cluster
}

func (c *testCluster) join(name string) *Holder {
	holder := NewHolder(HolderSettings{FleetID: "f", HolderID: processOf(name), MaxDrift: .01})
	c.holders = append(c.holders, holder)
	return holder
}

// request has a holder send its next request.
func (c *testCluster) request(holder *Holder) {
	c.Helper()
	if err := c.allocator.HandleRequest(c.now, holder.NextRequest(c.now)); err != nil {
		c.Fatal(err)
	}
}

// reply has a holder take the server's reply.
func (c *testCluster) reply(holder *Holder) {
	c.Helper()
	if err := holder.HandleReply(c.now, c.now, c.ReplyTo(holder.settings.HolderID)); err != nil {
		c.Fatal(err)
	}
}

// applyPlans commits and applies all that the allocator plans now.
func (c *testCluster) applyPlans() {
	c.Helper()
	for range 3 {
		commands := c.allocator.Plan(c.now)
		if len(commands) == 0 {
			continue
		}
		result, err := c.try(Command{Batch: commands})
		if err != nil {
			c.Fatal(err)
		}
		c.allocator.ObserveApplied(c.now, result)
	}
}

func (c *testCluster) exchange(holder *Holder) {
	c.Helper()
	c.request(holder)
	c.applyPlans()
	c.reply(holder)
}

func (c *testCluster) exchangeRounds(rounds int) {
	c.Helper()
	for range rounds {
		for _, holder := range c.holders {
			c.exchange(holder)
		}
		c.now += 300 * time.Millisecond
	}
}

func (c *testCluster) wantLeased(holder *Holder, quota string, want float64) {
	c.Helper()
	if got := holder.Status(c.now, quota).Amount.Units(); math.Abs(got-want) > .01 {
		c.Errorf("%s has %v of %s, not %v", holder.settings.Holder, got, quota, want)
	}
}

func TestSharesMoveWithinALease(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	a := cluster.holders[0]
	b := cluster.holders[1]
	a.SetDemand("r", 20)
	cluster.exchangeRounds(3)
	cluster.wantLeased(a, "r", 10) // what is idle is lent
	if interval := a.RequestInterval(); interval != time.Second/3 {
		t.Errorf("requests each %v", interval)
	}
	if end, found := cluster.allocator.NextExpiry(); !found || end <= cluster.now-time.Second {
		t.Errorf("next expiry at %v, %v", end, found)
	}
	b.SetDemand("r", 20)
	cluster.exchangeRounds(5)
	cluster.wantLeased(a, "r", 5) // a join takes from renewals
	cluster.wantLeased(b, "r", 5)
	a.ReleaseAll()
	cluster.holders = cluster.holders[1:]
	cluster.request(a)
	cluster.applyPlans()
	cluster.exchangeRounds(2)
	cluster.wantLeased(b, "r", 10) // a leave gives back at once
	joined := cluster.join("c")
	joined.SetDemand("r", 4)
	cluster.exchangeRounds(4)
	cluster.wantLeased(b, "r", 6)
	cluster.holders = []*Holder{b} // c dies
	cluster.exchangeRounds(7)
	cluster.wantLeased(b, "r", 10)
}

// A server that starts is silent; one that takes over counts everything from its own time.
func TestAllocatorIsSilentAndRestartsTimers(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	a := cluster.holders[0]
	b := cluster.holders[1]
	a.SetDemand("r", 10)
	b.SetDemand("r", 10)
	cluster.exchange(a)
	silence := StartupSilence(10*time.Second, .01)
	cluster.allocator = NewAllocator(cluster.now, silence, cluster.StateMachine)
	cluster.request(b)
	last := cluster.now + silence - 1
	if commands := cluster.allocator.Plan(last); commands != nil || !cluster.allocator.Silent(last) {
		t.Errorf("planned in its silence: %v", commands)
	}
	cluster.now += time.Second / 2 // within the lease by the holder's clock
	cluster.allocator = NewAllocator(cluster.now, 0, cluster.StateMachine)
	cluster.now += withDriftMargin(time.Second, .01) - 1
	cluster.applyPlans()
	cluster.wantOutstanding("r", 10)
	cluster.now++
	cluster.applyPlans()
	cluster.wantOutstanding("r", 0)
}
