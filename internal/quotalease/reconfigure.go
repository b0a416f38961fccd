package quotalease

import "maps"

// setQuotas applies a new configuration, or rejects it with an error and changes nothing.
func (m *StateMachine) setQuotas(command *SetQuotas) error {
	if err := m.checkConfig(command); err != nil {
		return err
	}
	ledgers := map[string]*quotaLedger{}
	for _, name := range m.quotaNames(&command.Config) {
		ledger, err := m.reconfigured(name, command)
		if err != nil {
			return err
		}
		ledgers[name] = ledger
	}
	m.ledgers = ledgers
	m.config = command.Config
	m.configVersion = command.Version
	for _, ledger := range m.ledgers {
		ledger.current = usage{} // nothing is granted under this version yet
	}
	return nil
}

// checkConfig rejects a configuration that is invalid, is for another fleet, exceeds the bounds of the bootstrap or
// does not have a newer version.
func (m *StateMachine) checkConfig(command *SetQuotas) error {
	config := &command.Config
	newestVersion := max(m.configVersion, m.seenVersion)
	switch {
	case config.FleetID != m.fleetID:
		return FleetMismatchError{Ours: m.fleetID, Theirs: config.FleetID}
	case m.waitingAfterBootstrap():
		return BootstrapPendingError{MaxLifetime: m.maxLifetime}
	case command.Version <= newestVersion:
		return StaleConfigError{Have: command.Version, Seen: newestVersion}
	case config.MaxDrift > m.maxDrift || config.MaxLifetime > m.maxLifetime:
		return invalidCommand("drift %v or longest %v is above the value that the fleet was founded with",
			config.MaxDrift, config.MaxLifetime)
	}
	if err := config.Check(); err != nil {
		return InvalidCommandError{Reason: err.Error()}
	}
	return nil
}

// reconfigured returns a copy of the ledger of a quota with the floors of a new configuration, or an error if the
// configuration cannot be applied while current leases or floors are outstanding.
func (m *StateMachine) reconfigured(name string, command *SetQuotas) (*quotaLedger, error) {
	next := command.Config.Quota(name)
	previous := m.config.Quota(name)
	ledger := newQuotaLedger()
	var reserved usage
	if old := m.ledgers[name]; old != nil {
		*ledger = *old
		ledger.floors = maps.Clone(old.floors)
		reserved = old.reserved
	}
	kindChanges := next != nil && previous != nil && next.Kind != previous.Kind
	if kindChanges && (len(ledger.entries) > 0 || len(ledger.floors) > 0) {
		return nil, invalidCommand("%s: its kind cannot change while grants or floors of it are outstanding", name)
	}
	ledger.setFloors(next, command.Version, command.RemovedHolders)
	if next == nil {
		return ledger, nil
	}
	return ledger, next.checkReserved(ledger, reserved)
}

// checkReserved rejects floors whose sum has grown if the floors and the outstanding leases together exceed the limit
// or the burst. before is the sum of the floors before the change. The holder may use a floor from the commit on, while
// leases free capacity only when they expire.
func (q *Quota) checkReserved(ledger *quotaLedger, before usage) error {
	floors := ledger.reserved
	limit := FromUnits(q.Limit)
	if floors.amount > before.amount && ledger.total.amount+floors.amount > limit {
		return LimitExceededError{Quota: q.Name, Dimension: "whole", Limit: limit,
			Outstanding: ledger.total.amount, Requested: floors.amount}
	}
	burst := FromUnits(q.Burst)
	if floors.burst > before.burst && ledger.total.burst+floors.burst > burst {
		return LimitExceededError{Quota: q.Name, Dimension: "burst", Limit: burst,
			Outstanding: ledger.total.burst, Requested: floors.burst}
	}
	return nil
}
