package quotalease

import (
	"encoding/json"
	"fmt"
	"time"
)

// snapshot is the JSON form of a StateMachine in a snapshot of the log.
type snapshot struct {
	FleetID        string                    `json:"Fleet"`
	Epoch          uint64                    `json:"Epoch"`
	MaxDrift       float64                   `json:"Drift"`
	MaxLifetime    time.Duration             `json:"Longest"`
	BootstrapToken Token                     `json:"Past"`
	AppliedIndex   uint64                    `json:"Index"`
	TokenOffset    uint64                    `json:"Lift"`
	ConfigVersion  uint64                    `json:"Version"`
	SeenVersion    uint64                    `json:"Seen"`
	Config         FleetConfig               `json:"Config"`
	Ledgers        map[string]ledgerSnapshot `json:"Ledgers"`
}

// ledgerSnapshot is the JSON form of a quotaLedger. Its sums are not stored; Restore computes them.
type ledgerSnapshot struct {
	Entries []*holderEntry              `json:"Entries"`
	Floors  map[string][]versionedFloor `json:"Floors"`
}

// Snapshot returns the state as JSON. Equal states have equal snapshots. An error wraps that of json.Marshal.
func (m *StateMachine) Snapshot() ([]byte, error) {
	state := snapshot{
		FleetID:        m.fleetID,
		Epoch:          m.epoch,
		MaxDrift:       m.maxDrift,
		MaxLifetime:    m.maxLifetime,
		BootstrapToken: m.bootstrapToken,
		AppliedIndex:   m.appliedIndex,
		TokenOffset:    m.tokenOffset,
		ConfigVersion:  m.configVersion,
		SeenVersion:    m.seenVersion,
		Config:         m.config,
		Ledgers:        map[string]ledgerSnapshot{},
	}
	for name, ledger := range m.ledgers {
		state.Ledgers[name] = ledgerSnapshot{Entries: ledger.sortedEntries(), Floors: ledger.floors}
	}
	data, err := json.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("quotalease: cannot encode the snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by that of a snapshot. It returns an error and changes nothing if the snapshot is
// malformed or its configuration is invalid. Afterwards the caller must call Allocator.RestartTimers.
func (m *StateMachine) Restore(data []byte) error {
	var state snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("quotalease: cannot decode the snapshot: %w", err)
	}
	if state.Epoch > 0 && state.ConfigVersion > 0 {
		if err := state.Config.Check(); err != nil {
			return fmt.Errorf("quotalease: the configuration in the snapshot is invalid: %w", err)
		}
	}
	restored := &StateMachine{
		fleetID:        state.FleetID,
		epoch:          state.Epoch,
		maxDrift:       state.MaxDrift,
		maxLifetime:    state.MaxLifetime,
		bootstrapToken: state.BootstrapToken,
		appliedIndex:   state.AppliedIndex,
		tokenOffset:    state.TokenOffset,
		configVersion:  state.ConfigVersion,
		seenVersion:    state.SeenVersion,
		config:         state.Config,
		ledgers:        map[string]*quotaLedger{},
		mutations:      m.mutations,
	}
	for name, saved := range state.Ledgers {
		restored.ledgers[name] = restored.restoreLedger(saved)
	}
	*m = *restored
	return nil
}

// restoreLedger returns the ledger of a snapshot, with its sums computed.
func (m *StateMachine) restoreLedger(saved ledgerSnapshot) *quotaLedger {
	ledger := newQuotaLedger()
	for _, entry := range saved.Entries {
		ledger.entries[entry.HolderID] = entry
		ledger.total.add(entry.maxUsage(m.mutations))
		ledger.current.add(entry.usageUnder(m.configVersion, m.mutations))
	}
	if saved.Floors != nil {
		ledger.floors = saved.Floors
	}
	ledger.sumFloors()
	return ledger
}

// Clone returns an independent copy. It is for model checking.
func (m *StateMachine) Clone() *StateMachine {
	copied := *m
	copied.ledgers = make(map[string]*quotaLedger, len(m.ledgers))
	for name, ledger := range m.ledgers {
		copied.ledgers[name] = ledger.clone()
	}
	return &copied
}
