package quotalease

import (
	"slices"
	"time"
)

// grantCommands plans the leases of all quotas in the pending requests. It returns one GrantBatch for each process that
// gets a lease.
func (a *Allocator) grantCommands(now time.Duration, pending []*requester) []Command {
	requested := map[string]bool{}
	for _, sender := range pending {
		sender.pending = false
		if sender.Leaving {
			delete(a.requesters, sender.HolderID)
			continue
		}
		for i := range sender.Quotas {
			requested[sender.Quotas[i].Quota] = true
		}
	}
	state := a.state
	if state.waitingAfterBootstrap() || state.seenVersion > state.configVersion {
		return nil
	}
	grants := make([][]QuotaGrant, len(pending))
	for i := range state.config.Quotas {
		if quota := &state.config.Quotas[i]; requested[quota.Name] {
			a.planQuota(now, quota, pending, grants)
		}
	}
	var commands []Command
	for i, sender := range pending {
		if len(grants[i]) > 0 {
			commands = append(commands, Command{GrantBatch: &GrantBatch{
				FleetID: state.fleetID, Epoch: state.epoch, HolderID: sender.HolderID,
				RequestSeq: sender.Seq, Grants: grants[i],
			}})
		}
	}
	return commands
}

// planQuota plans the grants of one quota and appends the grant for pending[i] to grants[i]. The division includes all
// processes that request units of the quota or hold a lease; only those with a pending request get a grant. A process
// whose allocation grows gets the units that are free now, and the rest at later requests, once the holders whose
// allocations shrank have acknowledged smaller leases.
func (a *Allocator) planQuota(now time.Duration, quota *Quota, pending []*requester, grants [][]QuotaGrant) {
	demands := a.demandsOf(now, quota)
	amounts := Divide(quota, demands)
	bursts := divideBurst(quota, amounts)
	free := newFreeCapacity(quota, a.state.ledgerOf(quota.Name), a.state)
	for i, sender := range pending {
		index, found := slices.BinarySearchFunc(demands, sender.HolderID, func(demand Demand, id HolderID) int {
			return demand.Compare(id)
		})
		if !found || sender.Leaving {
			continue
		}
		allocated := usage{amount: amounts[index], burst: bursts[index]}
		granted := free.fit(quota, allocated, sender.HolderID)
		if !changesLease(free.ledger.entries[sender.HolderID].newestLease(), granted, sender.Seq) {
			continue
		}
		free.addGrant(sender.HolderID, granted)
		grant := QuotaGrant{Quota: quota.Name, Amount: granted.amount, Burst: granted.burst}
		grants[i] = append(grants[i], grant)
	}
}

// demandsOf returns the demand of each process for a quota, sorted by holder. A new leader has not received requests
// from all processes yet: a process that holds a lease and has sent no recent request counts with a demand equal to
// its lease, until it sends a request or its leases expire.
func (a *Allocator) demandsOf(now time.Duration, quota *Quota) []Demand {
	ledger := a.state.ledgerOf(quota.Name)
	var demands []Demand
	for id, sender := range a.requesters {
		if !sender.recent(now, quota) {
			continue
		}
		if i := slices.IndexFunc(sender.Quotas, func(q QuotaRequest) bool { return q.Quota == quota.Name }); i >= 0 {
			demand := Demand{HolderID: id, Wanted: sender.Quotas[i].Wanted}
			if lease := ledger.entries[id].newestLease(); lease != nil {
				demand.Current = lease.Amount
			}
			demands = append(demands, demand)
		}
	}
	for id, entry := range ledger.entries {
		lease := entry.newestLease()
		if sender := a.requesters[id]; lease != nil && (sender == nil || !sender.recent(now, quota)) {
			demands = append(demands, Demand{HolderID: id, Wanted: lease.Amount, Current: lease.Amount})
		}
	}
	slices.SortFunc(demands, func(x, y Demand) int { return x.Compare(y.HolderID) })
	return demands
}

// recent reports whether the request arrived within the last lease duration. If not, the process has stopped or cannot
// reach the servers.
func (r *requester) recent(now time.Duration, quota *Quota) bool {
	return now-r.receivedAt <= quota.LeaseDuration
}

// changesLease reports whether to propose a grant to a process: it would renew or change the newest lease. newest is
// nil if the process has no lease.
func changesLease(newest *Lease, granted usage, requestSeq uint64) bool {
	if newest == nil {
		return granted.amount > 0
	}
	if requestSeq <= newest.RequestSeq {
		return false // the state machine would reject it as answered
	}
	return newest.Amount != 0 || granted.amount != 0
}

// freeCapacity computes what a plan can still grant of a quota, from the ledger's sums plus the grants planned so far.
type freeCapacity struct {
	ledger  *quotaLedger
	state   *StateMachine
	limit   usage // the limit and burst of the quota minus all floors
	total   usage // total of the ledger, including the planned grants
	current usage // current of the ledger, including the planned grants
}

func newFreeCapacity(quota *Quota, ledger *quotaLedger, state *StateMachine) *freeCapacity {
	return &freeCapacity{
		ledger: ledger, state: state, limit: quota.unreservedUsage(ledger),
		total: ledger.total, current: ledger.current,
	}
}

// usagesOf returns what a process has outstanding: in total, and under the current configuration version.
func (c *freeCapacity) usagesOf(id HolderID) (ownTotal, ownCurrent usage) {
	entry := c.ledger.entries[id]
	if entry == nil {
		return usage{}, usage{}
	}
	return entry.maxUsage(c.state.mutations), entry.usageUnder(c.state.configVersion, c.state.mutations)
}

// fit returns the part of a process's allocation that the state machine would accept now. For a rate it returns the
// zero usage if the burst of that part is too small to spend a unit.
func (c *freeCapacity) fit(quota *Quota, allocated usage, id HolderID) usage {
	ownTotal, ownCurrent := c.usagesOf(id)
	amount := grantable(c.limit.amount, c.total.amount, ownTotal.amount, c.current.amount, ownCurrent.amount)
	burst := grantable(c.limit.burst, c.total.burst, ownTotal.burst, c.current.burst, ownCurrent.burst)
	granted := usage{amount: min(allocated.amount, amount), burst: min(allocated.burst, burst)}
	if quota.Kind == InFlight {
		granted.amount = granted.amount.roundDown()
		return granted
	}
	if granted.burst < min(Unit, allocated.burst) {
		return usage{}
	}
	return granted
}

// grantable returns the maximum that can be granted to a process such that the leases of the current configuration stay
// within the limit and the total does not grow above the limit, or above its present value if that is higher. ownTotal
// and ownCurrent are the parts of total and current that the process has.
func grantable(limit, total, ownTotal, current, ownCurrent Amount) Amount {
	byTotal := max(limit, total) - total + ownTotal
	byCurrent := limit - current + ownCurrent
	return max(0, min(byTotal, byCurrent))
}

// addGrant adds a planned lease to the sums.
func (c *freeCapacity) addGrant(id HolderID, granted usage) {
	ownTotal, ownCurrent := c.usagesOf(id)
	c.total.sub(ownTotal)
	c.total.add(ownTotal.maxWith(granted))
	c.current.sub(ownCurrent)
	c.current.add(ownCurrent.maxWith(granted))
}
