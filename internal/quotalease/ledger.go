package quotalease

import (
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease/internal/mutation"
)

// holderEntry records what one process has outstanding of a quota: the leases and units in flight that, as far as the
// state machine can determine, the process may still use.
type holderEntry struct {
	HolderID
	// Leases are the leases that are neither acknowledged as replaced nor expired, in the order of their tokens.
	Leases []Lease `json:"Grants"`
	// Residual is the units in flight if they exceed the amount of the acknowledged lease, else 0.
	Residual Amount `json:"Rest"`
	// ResidualToken identifies the residual in its Expire command.
	ResidualToken Token `json:"RestBy"`
	// MaxHoldTime is the maximum hold time of any unit that may be in flight.
	MaxHoldTime time.Duration `json:"Life"`
	// LastAck is the number of the request that reported the last acknowledgement.
	LastAck uint64 `json:"Seq"`
	// LastGrant is the number of the request that the newest lease answers.
	LastGrant uint64 `json:"Ask"`
}

// maxUsage returns the maximum that the process may still spend. The process uses one lease at a time and the servers
// cannot determine which one, so the largest counts.
func (e *holderEntry) maxUsage(mutations mutation.Set) usage {
	largest := usage{amount: e.Residual}
	if mutations.CountNewestLeaseOnly && len(e.Leases) > 0 {
		newest := e.newestLease()
		return usage{amount: newest.Amount, burst: newest.Burst}
	}
	for i := range e.Leases {
		largest = largest.maxWith(usage{amount: e.Leases[i].Amount, burst: e.Leases[i].Burst})
	}
	return largest
}

// usageUnder returns the largest amount and burst of the leases that were granted under a configuration version.
func (e *holderEntry) usageUnder(version uint64, mutations mutation.Set) usage {
	if mutations.CountNewestLeaseOnly {
		return e.maxUsage(mutations)
	}
	var largest usage
	for i := range e.Leases {
		if e.Leases[i].ConfigVersion == version {
			largest = largest.maxWith(usage{amount: e.Leases[i].Amount, burst: e.Leases[i].Burst})
		}
	}
	return largest
}

// newestLease returns the newest lease, or nil if there is none. The receiver may be nil.
func (e *holderEntry) newestLease() *Lease {
	if e == nil || len(e.Leases) == 0 {
		return nil
	}
	return &e.Leases[len(e.Leases)-1]
}

// versionedFloor is the floor of a holder as set by a configuration version.
type versionedFloor struct {
	ConfigVersion uint64 `json:"Version"`
	Amount        Amount `json:"Amount"`
	Burst         Amount `json:"Burst"`
}

// quotaLedger records what is outstanding of one quota, even if the quota is no longer configured.
type quotaLedger struct {
	entries map[HolderID]*holderEntry
	// floors are the floors that each holder may still use, by the holder's name, oldest first. Clones of a ledger
	// share the slices, so they are never modified in place.
	floors   map[string][]versionedFloor
	total    usage // sum of maxUsage of all entries
	current  usage // sum of usageUnder the current configuration version, of all entries
	reserved usage // sum of all floors
}

func newQuotaLedger() *quotaLedger {
	return &quotaLedger{entries: map[HolderID]*holderEntry{}, floors: map[string][]versionedFloor{}}
}

// sortedEntries returns all entries, sorted by holder.
func (l *quotaLedger) sortedEntries() []*holderEntry {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b *holderEntry) int {
		return a.Compare(b.HolderID)
	})
}

// clearEntries drops all leases and residuals.
func (l *quotaLedger) clearEntries() {
	l.entries = map[HolderID]*holderEntry{}
	l.total = usage{}
	l.current = usage{}
}

// setFloors adds the floors of a configuration to those that holders may still use, and removes all floors of
// removedHolders first. quota is nil if it is no longer configured.
func (l *quotaLedger) setFloors(quota *Quota, version uint64, removedHolders []string) {
	for _, holder := range removedHolders {
		delete(l.floors, holder)
	}
	holders := slices.Collect(maps.Keys(l.floors))
	if quota != nil {
		holders = slices.AppendSeq(holders, maps.Keys(quota.Floors))
	}
	slices.Sort(holders)
	for _, holder := range slices.Compact(holders) {
		next := versionedFloor{ConfigVersion: version}
		if quota != nil {
			next.Amount, next.Burst = quota.floorOf(holder)
		}
		heldFloors := l.floors[holder]
		if len(heldFloors) == 0 && next.Amount == 0 {
			continue
		}
		if len(heldFloors) > 0 && heldFloors[len(heldFloors)-1].sameSize(next) {
			continue
		}
		l.floors[holder] = append(slices.Clone(heldFloors), next)
	}
	l.sumFloors()
}

// sameSize reports whether both floors have the same amount and burst.
func (f versionedFloor) sameSize(other versionedFloor) bool {
	return f.Amount == other.Amount && f.Burst == other.Burst
}

// adoptFloors drops the floors of a holder that it no longer uses, because it has adopted the floors of a newer
// configuration version.
func (l *quotaLedger) adoptFloors(holder string, version uint64) {
	heldFloors := l.floors[holder]
	adopted := 0
	for i, floor := range heldFloors {
		if floor.ConfigVersion <= version {
			adopted = i
		}
	}
	removed := len(heldFloors) == 1 && heldFloors[0].Amount == 0 && heldFloors[0].ConfigVersion <= version
	if adopted == 0 && !removed {
		return
	}
	heldFloors = slices.Clone(heldFloors[adopted:])
	l.floors[holder] = heldFloors
	if len(heldFloors) == 1 && heldFloors[0].Amount == 0 {
		delete(l.floors, holder)
	}
	l.sumFloors()
}

// sumFloors sets reserved to the sum, over all holders, of the largest floor that the holder may still use.
func (l *quotaLedger) sumFloors() {
	l.reserved = usage{}
	for _, floors := range l.floors {
		var largest usage
		for _, floor := range floors {
			largest = largest.maxWith(usage{amount: floor.Amount, burst: floor.Burst})
		}
		l.reserved.add(largest)
	}
}

// clone returns a copy that shares only data that is never modified in place.
func (l *quotaLedger) clone() *quotaLedger {
	copied := *l
	copied.entries = make(map[HolderID]*holderEntry, len(l.entries))
	for id, entry := range l.entries {
		copiedEntry := *entry
		copiedEntry.Leases = slices.Clone(entry.Leases)
		copied.entries[id] = &copiedEntry
	}
	copied.floors = maps.Clone(l.floors)
	return &copied
}
