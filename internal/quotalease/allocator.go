package quotalease

import (
	"maps"
	"slices"
	"time"
)

// requester is a process that sends requests, with its latest one.
type requester struct {
	Request
	heardAt time.Duration
	pending bool // the request is not answered by leases yet
}

// Allocator is what a server keeps beside the log and never shares: when, by its own clock, each lease has
// certainly expired, and the latest request of each process. Every server keeps timers from when it applied an
// entry, so any of them can lead; one that restarts starts all timers from the beginning. A wrong plan is harmless,
// because the state machine rejects it. Only its Expire commands are trusted.
//
// Calls do not block, and must not run concurrently with each other or with calls of the StateMachine.
type Allocator struct {
	state       *StateMachine
	silentUntil time.Duration
	timers      timerHeap
	due         []Expiry // expired, but still counted by the state machine
	requesters  map[HolderID]*requester
	onlyFreed   bool // the last plan only freed room; the next one grants, even if there is more to free
}

// NewAllocator returns the allocator of a server that starts now. It stays silent for a time: StartupSilence of the
// longest lifetime that was ever configured, or 0 if the caller keeps that silence itself.
func NewAllocator(now, silence time.Duration, state *StateMachine) *Allocator {
	a := &Allocator{state: state, silentUntil: now + silence, requesters: map[HolderID]*requester{}}
	if state.mutations.NoStartupSilence {
		a.silentUntil = now
	}
	a.RestartTimers(now)
	return a
}

// Silent reports whether the server must not take part yet: neither vote, nor confirm entries, nor lead.
func (a *Allocator) Silent(now time.Duration) bool { return now < a.silentUntil }

// RestartTimers counts all that the state machine has outstanding from now on, in full. It is called after
// StateMachine.Restore.
func (a *Allocator) RestartTimers(now time.Duration) {
	a.timers = nil
	a.due = nil
	a.ObserveApplied(now, ApplyResult{Started: a.state.PendingExpiries()})
}

// ObserveApplied begins the timers of a command that was applied now. It is called after each StateMachine.Apply.
func (a *Allocator) ObserveApplied(now time.Duration, result ApplyResult) {
	for _, expiry := range result.Started {
		a.startExpiry(now, expiry)
	}
}

// HandleRequest takes a request for the next plan. It returns NotBootstrappedError, FleetMismatchError or
// StaleEpochError if the servers must not answer it. A request that is older than the last one of its process is dropped without an error.
func (a *Allocator) HandleRequest(now time.Duration, request Request) error {
	state := a.state
	switch {
	case state.epoch == 0:
		return NotBootstrappedError{}
	case request.FleetID != state.fleetID:
		return FleetMismatchError{Ours: state.fleetID, Theirs: request.FleetID}
	case request.Epoch > state.epoch:
		return StaleEpochError{Got: state.epoch, Have: request.Epoch}
	}
	from := a.requesters[request.HolderID]
	if from == nil {
		from = &requester{}
		a.requesters[request.HolderID] = from
	}
	if request.Seq > from.Seq {
		*from = requester{Request: request, heardAt: now, pending: true}
	}
	return nil
}

// HasWork reports whether a plan may have commands.
func (a *Allocator) HasWork(now time.Duration) bool {
	if len(a.due) > 0 || a.timerDue(now) {
		return true
	}
	for _, from := range a.requesters {
		if from.pending {
			return true
		}
	}
	return false
}

// Plan returns what the leader proposes now: first what frees room (acknowledgements and expiries), then, in the
// next plan, leases for those who requested. What is not committed is proposed again: expiries in the next plan,
// the rest when the holder requests again.
func (a *Allocator) Plan(now time.Duration) []Command {
	if a.Silent(now) || a.state.epoch == 0 {
		return nil
	}
	commands := a.expireCommands(now)
	a.forgetSilent(now)
	var pending []*requester
	for _, id := range slices.SortedFunc(maps.Keys(a.requesters), HolderID.Compare) {
		if from := a.requesters[id]; from.pending {
			pending = append(pending, from)
			commands = append(commands, a.ackCommands(from)...)
		}
	}
	if len(commands) > 0 && !a.onlyFreed {
		a.onlyFreed = true
		return commands
	}
	a.onlyFreed = false
	return append(commands, a.grantCommands(now, pending)...)
}

// forgetSilent forgets processes that have sent no request for the longest lifetime.
func (a *Allocator) forgetSilent(now time.Duration) {
	maps.DeleteFunc(a.requesters, func(_ HolderID, from *requester) bool {
		return now-from.heardAt > a.state.maxLifetime
	})
}

// dropSettledExpiries drops the due expiries that the state machine no longer counts.
func (a *Allocator) dropSettledExpiries() {
	a.due = slices.DeleteFunc(a.due, func(expiry Expiry) bool { return !a.state.isPending(expiry) })
}

// ackCommands returns what a request says and the state machine does not know.
func (a *Allocator) ackCommands(from *requester) []Command {
	var commands []Command
	state := a.state
	seesNewer := from.SeenVersion > state.seenVersion && from.SeenVersion > state.configVersion
	if seesNewer || a.adoptsFloors(from) {
		observed := &ObserveConfig{
			HolderID: from.HolderID, SeenVersion: from.SeenVersion, FloorsVersion: from.FloorsVersion,
		}
		commands = append(commands, Command{ObserveConfig: observed})
	}
	batch := AckBatch{Epoch: state.epoch, HolderID: from.HolderID, RequestSeq: from.Seq, All: from.Leaving}
	for i := range from.Quotas {
		if one := &from.Quotas[i]; a.changesState(from, one) {
			ack := QuotaAck{Quota: one.Quota, Token: one.Token, InFlight: one.InFlight, Ended: one.Ended}
			batch.Acks = append(batch.Acks, ack)
		}
	}
	if len(batch.Acks) > 0 {
		commands = append(commands, Command{AckBatch: &batch})
	}
	return commands
}

// adoptsFloors reports whether a request frees a floor that was lowered.
func (a *Allocator) adoptsFloors(from *requester) bool {
	for _, ledger := range a.state.ledgers {
		if floors := ledger.floors[from.Holder]; len(floors) > 1 && floors[1].ConfigVersion <= from.FloorsVersion {
			return true
		}
	}
	return false
}

// changesState reports whether what a request says of one quota would change the state.
func (a *Allocator) changesState(from *requester, one *QuotaRequest) bool {
	state := a.state
	if one.Token.Epoch == state.epoch && one.Token.Index > state.appliedIndex+state.tokenOffset {
		return true // a token that this log never gave: new ones must go above it
	}
	entry := state.entryOf(one.Quota, from.HolderID)
	if entry == nil || from.Seq <= entry.LastAck {
		return false
	}
	if one.InFlight.roundUp() < entry.Residual {
		return true
	}
	for i := range entry.Leases {
		order := entry.Leases[i].Token.Compare(one.Token)
		if order < 0 || one.Ended && order == 0 || from.Leaving {
			return true
		}
	}
	return false
}

// Clone returns a copy beside a copy of its state machine, for model checking.
func (a *Allocator) Clone(state *StateMachine) *Allocator {
	copied := *a
	copied.state = state
	copied.timers = slices.Clone(a.timers)
	copied.due = slices.Clone(a.due)
	copied.requesters = make(map[HolderID]*requester, len(a.requesters))
	for id, from := range a.requesters {
		one := *from
		copied.requesters[id] = &one
	}
	return &copied
}
