package quotalease

import (
	"math"
	"testing"
	"time"
)

// testCluster is one control-plane server and its holders, connected without faults.
type testCluster struct {
	*testLog
	allocator *Allocator
	holders   []*Holder
	now       time.Duration
}

// newTestCluster returns a cluster with one holder for each letter of names.
func newTestCluster(t testing.TB, names string) *testCluster {
	cluster := &testCluster{testLog: newTestLog(t, nil)}
	cluster.allocator = NewAllocator(0, 0, cluster.StateMachine)
	for _, name := range names {
		cluster.join(string(name))
	}
	return cluster
}

// join adds a holder to the cluster. It has no lease yet.
func (c *testCluster) join(name string) *Holder {
	holder := NewHolder(HolderSettings{FleetID: "f", HolderID: holderID(name), MaxDrift: .01})
	c.holders = append(c.holders, holder)
	return holder
}

// request passes the holder's next request to the allocator.
func (c *testCluster) request(holder *Holder) {
	c.Helper()
	if err := c.allocator.HandleRequest(c.now, holder.NextRequest(c.now)); err != nil {
		c.Fatalf("HandleRequest(next request of holder %s) = %v, want no error", holder.settings.Holder, err)
	}
}

// reply passes the server's reply to the holder.
func (c *testCluster) reply(holder *Holder) {
	c.Helper()
	if err := holder.HandleReply(c.now, c.now, c.ReplyTo(holder.settings.HolderID)); err != nil {
		c.Fatalf("HandleReply(the server's reply) of holder %s = %v, want no error", holder.settings.Holder, err)
	}
}

// applyPlans applies every command that the allocator plans at the current time. A plan that only frees capacity
// comes before the plan that grants it, so several plans are needed.
func (c *testCluster) applyPlans() {
	c.Helper()
	for range 3 {
		commands := c.allocator.Plan(c.now)
		if len(commands) == 0 {
			continue
		}
		result, err := c.try(Command{Batch: commands})
		if err != nil {
			c.Fatalf("Apply(the commands of Plan) = error %v, want no error", err)
		}
		c.allocator.ObserveApplied(c.now, result)
	}
}

// exchange runs one request of a holder, the commands that it leads to, and the reply.
func (c *testCluster) exchange(holder *Holder) {
	c.Helper()
	c.request(holder)
	c.applyPlans()
	c.reply(holder)
}

// exchangeRounds runs one exchange of every holder in each round. A round takes 300 ms.
func (c *testCluster) exchangeRounds(rounds int) {
	c.Helper()
	for range rounds {
		for _, holder := range c.holders {
			c.exchange(holder)
		}
		c.now += 300 * time.Millisecond
	}
}

// wantLeased checks the units that a holder has leased, to within 0.01 units. step describes the event before.
func (c *testCluster) wantLeased(holder *Holder, quota string, want float64, step string) {
	c.Helper()
	if got := holder.Status(c.now, quota).Amount.Units(); math.Abs(got-want) > .01 {
		c.Errorf("%s: Status(quota %s).Amount of holder %s = %v units, want %v",
			step, quota, holder.settings.Holder, got, want)
	}
}

func TestSharesMoveWithinALease(t *testing.T) {
	cluster := newTestCluster(t, "ab")
	a := cluster.holders[0]
	b := cluster.holders[1]
	a.SetDemand("r", 20)
	cluster.exchangeRounds(3)
	cluster.wantLeased(a, "r", 10, "holder b requests nothing")
	if interval := a.RequestInterval(); interval != time.Second/3 {
		t.Errorf("RequestInterval() with a lease of 1s = %v, want 1s/3", interval)
	}
	if end, found := cluster.allocator.NextExpiry(); !found || end <= cluster.now-time.Second {
		t.Errorf("NextExpiry() = time %v, found %v; want a time after %v, found true",
			end, found, cluster.now-time.Second)
	}
	b.SetDemand("r", 20)
	cluster.exchangeRounds(5)
	cluster.wantLeased(a, "r", 5, "holder b requests 20 units, so the renewals of holder a shrink")
	cluster.wantLeased(b, "r", 5, "holder b requests 20 units")
	a.ReleaseAll()
	cluster.holders = cluster.holders[1:]
	cluster.request(a)
	cluster.applyPlans()
	cluster.exchangeRounds(2)
	cluster.wantLeased(b, "r", 10, "holder a released its leases, which need not expire first")
	joined := cluster.join("c")
	joined.SetDemand("r", 4)
	cluster.exchangeRounds(4)
	cluster.wantLeased(b, "r", 6, "holder c joined and wants 4 units")
	cluster.holders = []*Holder{b} // c stops without releasing its lease
	cluster.exchangeRounds(7)
	cluster.wantLeased(b, "r", 10, "the lease of holder c, which stopped, expired")
}

// A server that starts plans nothing during its startup silence. A server that takes over restarts all expiry timers
// from its own current time.
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
		t.Errorf("last nanosecond of the startup silence: Plan() = %d commands, Silent() = %v; want 0 commands, true",
			len(commands), cluster.allocator.Silent(last))
	}
	cluster.now += time.Second / 2 // within the lease by the holder's clock
	cluster.allocator = NewAllocator(cluster.now, 0, cluster.StateMachine)
	cluster.now += withDriftMargin(time.Second, .01) - 1
	cluster.applyPlans()
	cluster.wantOutstanding("r", 10, "1ns before the restarted timer of the lease ends")
	cluster.now++
	cluster.applyPlans()
	cluster.wantOutstanding("r", 0, "the restarted timer of the lease ended")
}
