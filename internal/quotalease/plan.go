package quotalease

import (
	"slices"
	"time"
)

// grantCommands plans the leases of all quotas that pending requests name, one GrantBatch for each process.
func (a *Allocator) grantCommands(now time.Duration, pending []*requester) []Command {
	requested := map[string]bool{}
	for _, from := range pending {
		from.pending = false
		if from.Leaving {
			delete(a.requesters, from.HolderID)
			continue
		}
		for i := range from.Quotas {
			requested[from.Quotas[i].Quota] = true
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
	for i, from := range pending {
		if len(grants[i]) > 0 {
			commands = append(commands, Command{GrantBatch: &GrantBatch{
				FleetID: state.fleetID, Epoch: state.epoch, HolderID: from.HolderID,
				RequestSeq: from.Seq, Grants: grants[i],
			}})
		}
	}
	return commands
}

// planQuota plans one quota. The division counts all processes that request units of it or hold a lease; grants go to
// those with a pending request only. A share that grows gets what is free at the moment, and the rest at later
// requests, once the holders whose shares shrank have acknowledged smaller leases. The grant to pending[i] is appended
// to grants[i].
func (a *Allocator) planQuota(now time.Duration, quota *Quota, pending []*requester, grants [][]QuotaGrant) {
	demands := a.demandsOf(now, quota)
	amounts := Divide(quota, demands)
	bursts := divideBurst(quota, amounts)
	free := newFreeCapacity(quota, a.state.ledgerOf(quota.Name), a.state)
	for i, from := range pending {
		at, found := slices.BinarySearchFunc(demands, from.HolderID, func(demand Demand, id HolderID) int {
			return demand.Compare(id)
		})
		if !found || from.Leaving {
			continue
		}
		due := usage{amount: amounts[at], burst: bursts[at]}
		granted := free.fit(quota, due, from.HolderID)
		if !changesLease(free.ledger.entries[from.HolderID].newestLease(), granted, from.Seq) {
			continue
		}
		free.take(from.HolderID, granted)
		grant := QuotaGrant{Quota: quota.Name, Amount: granted.amount, Burst: granted.burst}
		grants[i] = append(grants[i], grant)
	}
}

// demandsOf returns what each process demands of a quota, in the order of the processes. A new leader has not heard
// from all of them: a process that holds a lease and has sent no recent request counts as demanding what it has, until
// it requests or its leases expire.
func (a *Allocator) demandsOf(now time.Duration, quota *Quota) []Demand {
	ledger := a.state.ledgerOf(quota.Name)
	var demands []Demand
	for id, from := range a.requesters {
		if !from.recent(now, quota) {
			continue
		}
		if i := slices.IndexFunc(from.Quotas, func(q QuotaRequest) bool { return q.Quota == quota.Name }); i >= 0 {
			demand := Demand{HolderID: id, Wanted: from.Quotas[i].Wanted}
			if lease := ledger.entries[id].newestLease(); lease != nil {
				demand.Current = lease.Amount
			}
			demands = append(demands, demand)
		}
	}
	for id, entry := range ledger.entries {
		lease := entry.newestLease()
		if from := a.requesters[id]; lease != nil && (from == nil || !from.recent(now, quota)) {
			demands = append(demands, Demand{HolderID: id, Wanted: lease.Amount, Current: lease.Amount})
		}
	}
	slices.SortFunc(demands, func(x, y Demand) int { return x.Compare(y.HolderID) })
	return demands
}

// recent reports whether the process sent a request within a lease duration. Otherwise it has stopped, or cannot
// reach the servers.
func (r *requester) recent(now time.Duration, quota *Quota) bool {
	return now-r.heardAt <= quota.LeaseDuration
}

// changesLease reports whether a lease would change what a process has. newest is nil if it has no lease.
func changesLease(newest *Lease, granted usage, requestSeq uint64) bool {
	if newest == nil {
		return granted.amount > 0
	}
	if requestSeq <= newest.RequestSeq {
		return false // the state machine would reject it as answered
	}
	return newest.Amount != 0 || granted.amount != 0
}

// freeCapacity is what a plan can still grant of a quota: the ledger's sums with all that is planned so far.
type freeCapacity struct {
	ledger  *quotaLedger
	state   *StateMachine
	limit   usage // less all floors
	total   usage
	current usage
}

func newFreeCapacity(quota *Quota, ledger *quotaLedger, state *StateMachine) *freeCapacity {
	return &freeCapacity{
		ledger: ledger, state: state, limit: quota.unreservedUsage(ledger),
		total: ledger.total, current: ledger.current,
	}
}

// usagesOf returns what a process has outstanding, in all and under the current configuration.
func (c *freeCapacity) usagesOf(id HolderID) (own, ownCurrent usage) {
	entry := c.ledger.entries[id]
	if entry == nil {
		return usage{}, usage{}
	}
	return entry.maxUsage(c.state.mutations), entry.usageSince(c.state.configVersion, c.state.mutations)
}

// fit returns the part of a process's due share that the state machine would accept now; nothing if that part could
// not be spent.
func (c *freeCapacity) fit(quota *Quota, due usage, id HolderID) usage {
	own, ownCurrent := c.usagesOf(id)
	amount := grantable(c.limit.amount, c.total.amount, own.amount, c.current.amount, ownCurrent.amount)
	burst := grantable(c.limit.burst, c.total.burst, own.burst, c.current.burst, ownCurrent.burst)
	granted := usage{amount: min(due.amount, amount), burst: min(due.burst, burst)}
	if quota.Kind == InFlight {
		granted.amount = granted.amount.roundDown()
		return granted
	}
	if granted.burst < min(Unit, due.burst) {
		return usage{}
	}
	return granted
}

// grantable returns the most that a process can be granted so that neither the total grows above the limit (or above
// what it is, if that is more), nor what is granted under the current configuration.
func grantable(limit, total, own, current, ownCurrent Amount) Amount {
	byTotal := max(limit, total) - total + own
	byCurrent := limit - current + ownCurrent
	return max(0, min(byTotal, byCurrent))
}

// take counts a planned lease.
func (c *freeCapacity) take(id HolderID, granted usage) {
	own, ownCurrent := c.usagesOf(id)
	c.total.sub(own)
	c.total.add(own.atLeast(granted))
	c.current.sub(ownCurrent)
	c.current.add(ownCurrent.atLeast(granted))
}
