package quotalease_test

import (
	"fmt"
	"time"

	"lapisspread/internal/quotalease"
)

// A server bootstraps a fleet, sets a quota, and leases a part of it to a proxy. The caller provides the log, the
// transport of the messages and the clocks. In this example a counter replaces the log, and all processes share a
// clock.
func Example() {
	state := quotalease.NewStateMachine()
	allocator := quotalease.NewAllocator(0, 0, state)
	now := time.Duration(0)
	index := uint64(0)
	commit := func(commands ...quotalease.Command) {
		for _, command := range commands {
			index++
			result, err := state.Apply(index, command)
			if err != nil {
				fmt.Println("command rejected:", err)
			}
			allocator.ObserveApplied(now, result)
		}
	}

	commit(quotalease.Command{Bootstrap: &quotalease.Bootstrap{
		FleetID: "fleet", Epoch: 1, MaxDrift: .001, MaxLifetime: 3 * time.Second,
	}})
	now += quotalease.StartupSilence(3*time.Second, .001) // by then all leases of an earlier epoch have expired
	commit(allocator.Plan(now)...)
	commit(quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: 1, Config: quotalease.FleetConfig{
		FleetID: "fleet", MaxDrift: .001, MaxLifetime: 3 * time.Second,
		Quotas: []quotalease.Quota{
			{Name: "attempts", Kind: quotalease.Rate, Limit: 100, Burst: 100, LeaseDuration: 3 * time.Second},
		},
	}}})

	id := quotalease.HolderID{Holder: "proxy-1", Incarnation: 1}
	holder := quotalease.NewHolder(quotalease.HolderSettings{FleetID: "fleet", HolderID: id, MaxDrift: .001})
	holder.SetDemand("attempts", 40)
	sentAt := now
	if err := allocator.HandleRequest(now, holder.NextRequest(now)); err != nil {
		fmt.Println("request rejected:", err)
	}
	commit(allocator.Plan(now)...)
	if err := holder.HandleReply(sentAt, now, state.ReplyTo(id)); err != nil {
		fmt.Println("reply refused:", err)
	}

	fmt.Println("leased units a second:", holder.Status(now, "attempts").Amount.Units())
	_, err := holder.Acquire(now, "attempts", 1)
	fmt.Println("immediately after the lease arrives:", err)
	now += 100 * time.Millisecond
	_, err = holder.Acquire(now, "attempts", 1)
	fmt.Println("100 ms later:", err)
	now += 3 * time.Second
	_, err = holder.Acquire(now, "attempts", 1)
	fmt.Println("after the lease has expired:", err)

	// Output:
	// leased units a second: 40
	// immediately after the lease arrives: what is granted of budget attempts is spent
	// 100 ms later: <nil>
	// after the lease has expired: the grant of budget attempts has ended
}
