package quotalease

import (
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease/internal/mutation"
)

// StateMachine is the replicated state of the log: the leases and floors of each quota and the holders that may use
// them. Equal logs produce equal states. It checks every command itself, whichever server proposed it, and rejects
// commands that would exceed a limit. Only Expire commands are not checked, because the state machine has no clock.
//
// Calls do not block, and must not run concurrently with each other.
type StateMachine struct {
	fleetID     string
	epoch       uint64 // 0 before the first bootstrap
	maxDrift    float64
	maxLifetime time.Duration

	// bootstrapToken is the token of the last bootstrap until its waiting time is over, then the zero token. During the
	// waiting time no lease is granted.
	bootstrapToken Token
	appliedIndex   uint64
	// tokenOffset is the difference between the index of a token and the log index. It is above 0 after a store was
	// restored from an older copy and a holder reported a token above those that this log has issued.
	tokenOffset uint64

	configVersion uint64
	seenVersion   uint64 // the newest configuration version that a holder has reported
	config        FleetConfig
	ledgers       map[string]*quotaLedger // by quota

	mutations mutation.Set
}

// NewStateMachine returns the state of an empty log.
func NewStateMachine() *StateMachine { return &StateMachine{ledgers: map[string]*quotaLedger{}} }

// SetMutations disables safeguards, to test that the model checker finds the resulting violations.
func (m *StateMachine) SetMutations(mutations mutation.Set) { m.mutations = mutations }

// Bootstrapped returns the name of the fleet and the epoch of its last bootstrap, or NotBootstrappedError.
func (m *StateMachine) Bootstrapped() (fleetID string, epoch uint64, err error) {
	if m.epoch == 0 {
		return "", 0, NotBootstrappedError{}
	}
	return m.fleetID, m.epoch, nil
}

// Config returns the current configuration and its version, 0 if none was set.
func (m *StateMachine) Config() (FleetConfig, uint64) { return m.config, m.configVersion }

// AppliedIndex returns the log index of the last command that was applied.
func (m *StateMachine) AppliedIndex() uint64 { return m.appliedIndex }

// Outstanding returns the amount of a quota that all holders together may still spend, floors included, and the sum of
// the bursts of their token buckets. Both are 0 for an unknown quota.
func (m *StateMachine) Outstanding(quota string) (amount, burst Amount) {
	ledger := m.ledgers[quota]
	if ledger == nil {
		return 0, 0
	}
	return ledger.total.amount + ledger.reserved.amount, ledger.total.burst + ledger.reserved.burst
}

// Apply applies the command at a log index. index must be above that of the last call. A rejected command changes only
// the applied index, and the error has one of this package's types. Errors of the parts of a Batch, a GrantBatch or an
// AckBatch are in ApplyResult.Rejected instead.
func (m *StateMachine) Apply(index uint64, command Command) (ApplyResult, error) {
	if index <= m.appliedIndex {
		return ApplyResult{}, invalidCommand("log index %d is not above the last applied index %d",
			index, m.appliedIndex)
	}
	m.appliedIndex = index
	var result ApplyResult
	var err error
	if command.Batch == nil {
		err = m.applySingle(command, &result)
	}
	for _, part := range command.Batch {
		if err := m.applySingle(part, &result); err != nil {
			result.Rejected = append(result.Rejected, err)
		}
	}
	result.Token = m.nextToken()
	return result, err
}

// nextToken returns the fencing token of the current log entry.
func (m *StateMachine) nextToken() Token {
	return Token{Epoch: m.epoch, Index: m.appliedIndex + m.tokenOffset}
}

// applySingle applies a command that is not a Batch, or a single command of a Batch.
func (m *StateMachine) applySingle(command Command, result *ApplyResult) error {
	if command.Bootstrap != nil {
		return m.bootstrap(command.Bootstrap, result)
	}
	if m.epoch == 0 {
		return NotBootstrappedError{}
	}
	switch {
	case command.SetQuotas != nil:
		return m.setQuotas(command.SetQuotas)
	case command.Grant != nil:
		return m.grant(*command.Grant, result)
	case command.Expire != nil:
		m.expire(command.Expire)
	case command.Ack != nil:
		return m.acknowledge(acknowledgement{Ack: *command.Ack}, result)
	case command.Release != nil:
		released := acknowledgement{Ack: command.Release.Ack, ended: true, all: command.Release.All}
		return m.acknowledge(released, result)
	case command.ObserveConfig != nil:
		m.observeConfig(command.ObserveConfig)
	case command.GrantBatch != nil:
		m.grantBatch(command.GrantBatch, result)
	case command.AckBatch != nil:
		m.ackBatch(command.AckBatch, result)
	default:
		return invalidCommand("it is empty")
	}
	return nil
}

// bootstrap starts a new epoch and its waiting time, after which all leases of earlier epochs have expired.
func (m *StateMachine) bootstrap(command *Bootstrap, result *ApplyResult) error {
	switch {
	case m.epoch > 0 && command.FleetID != m.fleetID:
		return FleetMismatchError{Ours: m.fleetID, Theirs: command.FleetID}
	case command.Epoch <= m.epoch:
		return StaleEpochError{Got: command.Epoch, Have: m.epoch}
	case command.FleetID == "" || !validDrift(command.MaxDrift) || command.MaxLifetime < minDuration:
		return invalidCommand("fleet %q, drift %v or longest %v is not valid",
			command.FleetID, command.MaxDrift, command.MaxLifetime)
	case command.MaxLifetime < m.maxLifetime || command.MaxDrift < m.maxDrift:
		return invalidCommand("longest %v or drift %v is less than that of the previous founding",
			command.MaxLifetime, command.MaxDrift)
	}
	m.fleetID = command.FleetID
	m.epoch = command.Epoch
	m.maxDrift = command.MaxDrift
	m.maxLifetime = command.MaxLifetime
	for _, ledger := range m.ledgers {
		ledger.clearEntries()
	}
	m.bootstrapToken = m.nextToken()
	result.Started = append(result.Started, Expiry{Token: m.bootstrapToken, Duration: command.MaxLifetime})
	return nil
}

// waitingAfterBootstrap reports whether the waiting time after a bootstrap is not over: leases of an earlier epoch may
// not have expired yet.
func (m *StateMachine) waitingAfterBootstrap() bool { return m.bootstrapToken != Token{} }

// expire drops the lease, residual or waiting time that a server reports as expired. It does nothing if an
// acknowledgement has already dropped it.
func (m *StateMachine) expire(command *Expire) {
	if command.Token == m.bootstrapToken && command.Quota == "" {
		m.bootstrapToken = Token{}
		return
	}
	entry := m.entryOf(command.Quota, command.HolderID)
	if entry == nil {
		return
	}
	m.updateEntry(m.ledgers[command.Quota], entry, func() {
		entry.Leases = slices.DeleteFunc(slices.Clone(entry.Leases), func(lease Lease) bool {
			return lease.Token == command.Token
		})
		if entry.ResidualToken == command.Token {
			entry.Residual = 0
			entry.ResidualToken = Token{}
		}
	})
}

// observeConfig records which configuration versions a process has received and adopted. No lease is granted while a
// holder has reported a newer version than this state machine has, because then its store is an older copy.
func (m *StateMachine) observeConfig(observed *ObserveConfig) {
	m.seenVersion = max(m.seenVersion, observed.SeenVersion)
	if observed.FloorsVersion == 0 {
		return
	}
	for _, ledger := range m.ledgers {
		ledger.adoptFloors(observed.Holder, observed.FloorsVersion)
	}
}

// ledgerOf returns the ledger of a quota. It creates the ledger if there is none.
func (m *StateMachine) ledgerOf(quota string) *quotaLedger {
	ledger := m.ledgers[quota]
	if ledger == nil {
		ledger = newQuotaLedger()
		m.ledgers[quota] = ledger
	}
	return ledger
}

// entryOf returns the entry of a process in the ledger of a quota, or nil if there is none.
func (m *StateMachine) entryOf(quota string, id HolderID) *holderEntry {
	if ledger := m.ledgers[quota]; ledger != nil {
		return ledger.entries[id]
	}
	return nil
}

// updateEntry calls update, which modifies the entry, and updates the sums of the ledger. It removes an entry that is
// empty afterwards.
func (m *StateMachine) updateEntry(ledger *quotaLedger, entry *holderEntry, update func()) {
	ledger.total.sub(entry.maxUsage(m.mutations))
	ledger.current.sub(entry.usageUnder(m.configVersion, m.mutations))
	update()
	ledger.total.add(entry.maxUsage(m.mutations))
	ledger.current.add(entry.usageUnder(m.configVersion, m.mutations))
	if len(entry.Leases) == 0 && entry.Residual == 0 {
		delete(ledger.entries, entry.HolderID)
	}
}

// quotaNames returns the sorted names of all quotas in config and of all quotas that have a ledger.
func (m *StateMachine) quotaNames(config *FleetConfig) []string {
	names := slices.Collect(maps.Keys(m.ledgers))
	for i := range config.Quotas {
		names = append(names, config.Quotas[i].Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ReplyTo returns the reply to a process, with all its leases and floors. Servers must call it only on a state of
// committed entries: a lease that is sent before its entry is committed may never be counted as outstanding.
func (m *StateMachine) ReplyTo(id HolderID) Reply {
	reply := Reply{FleetID: m.fleetID, Epoch: m.epoch, HolderID: id, ConfigVersion: m.configVersion}
	for _, name := range m.quotaNames(&m.config) {
		if lease := m.entryOf(name, id).newestLease(); lease != nil {
			reply.Leases = append(reply.Leases, *lease)
		}
		quota := m.config.Quota(name)
		if quota == nil {
			continue
		}
		amount, burst := quota.floorOf(id.Holder)
		if amount == 0 {
			continue
		}
		if reply.Floors == nil {
			reply.Floors = map[string]Floor{}
		}
		reply.Floors[name] = Floor{Kind: quota.Kind, Amount: amount, Burst: burst, MaxHoldTime: quota.MaxHoldTime}
	}
	return reply
}

// PendingExpiries returns the expiries of all that the state machine counts as outstanding. A server that starts with
// this state must start a timer with the full duration for each.
func (m *StateMachine) PendingExpiries() []Expiry {
	var pending []Expiry
	if m.waitingAfterBootstrap() {
		pending = append(pending, Expiry{Token: m.bootstrapToken, Duration: m.maxLifetime})
	}
	for _, name := range slices.Sorted(maps.Keys(m.ledgers)) {
		for _, entry := range m.ledgers[name].sortedEntries() {
			for i := range entry.Leases {
				pending = append(pending, m.leaseExpiry(&entry.Leases[i]))
			}
			if entry.Residual > 0 {
				pending = append(pending, entry.residualExpiry(name))
			}
		}
	}
	return pending
}

// leaseExpiry returns the expiry of a lease. Units in flight may be acquired just before the lease ends, so it counts
// for its duration plus the maximum hold time.
func (m *StateMachine) leaseExpiry(lease *Lease) Expiry {
	duration := lease.Duration + lease.MaxHoldTime
	if m.mutations.ForgetInFlightAtLeaseEnd {
		duration = lease.Duration
	}
	return Expiry{HolderID: lease.HolderID, Quota: lease.Quota, Token: lease.Token, Duration: duration}
}

// residualExpiry returns the expiry of the entry's residual, after the maximum hold time.
func (e *holderEntry) residualExpiry(quota string) Expiry {
	return Expiry{HolderID: e.HolderID, Quota: quota, Token: e.ResidualToken, Duration: e.MaxHoldTime}
}

// isPending reports whether the state machine still counts what the expiry is for.
func (m *StateMachine) isPending(expiry Expiry) bool {
	if expiry.Quota == "" {
		return m.waitingAfterBootstrap() && m.bootstrapToken == expiry.Token
	}
	entry := m.entryOf(expiry.Quota, expiry.HolderID)
	if entry == nil {
		return false
	}
	if entry.Residual > 0 && entry.ResidualToken == expiry.Token {
		return true
	}
	return slices.ContainsFunc(entry.Leases, func(lease Lease) bool { return lease.Token == expiry.Token })
}
