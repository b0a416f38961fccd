package quotalease

import (
	"maps"
	"slices"
	"time"
)

// requester is the latest request of a holder process and its state.
type requester struct {
	Request
	receivedAt time.Duration // when the request arrived, by the server's clock
	pending    bool          // no plan has granted leases for the request yet
}

// Allocator is the local, unreplicated state of a control-plane server: for each lease, the time by the server's own
// clock at which it has expired for certain, and the latest request of each holder process. It plans the commands that
// a leader proposes. Every server starts a timer when it applies a log entry, so that any of them can become the
// leader; a server that restarts also restarts all timers with their full durations. The StateMachine checks the
// planned commands and rejects those that would exceed a limit. Only Expire commands are not checked: the state machine
// has no clock, so it relies on these timers.
//
// Calls do not block. They must not run concurrently with each other or with calls of the StateMachine.
type Allocator struct {
	state             *StateMachine
	silentUntil       time.Duration // the end of the startup silence, by the server's clock
	timers            timerHeap
	expired           []Expiry // expired, but the state machine still counts them as outstanding
	requesters        map[HolderID]*requester
	lastPlanOnlyFreed bool // the last plan only freed capacity; the next one grants even if it can free more
}

// NewAllocator returns the allocator of a server that starts at now. silence is how long the server must not take part
// (see Silent): the StartupSilence of the longest lifetime that was ever configured, or 0 if the caller ensures that
// silence itself.
func NewAllocator(now, silence time.Duration, state *StateMachine) *Allocator {
	a := &Allocator{state: state, silentUntil: now + silence, requesters: map[HolderID]*requester{}}
	if state.mutations.NoStartupSilence {
		a.silentUntil = now
	}
	a.RestartTimers(now)
	return a
}

// Silent reports whether the startup silence is still in effect. During it the server must not vote, confirm entries or
// lead.
func (a *Allocator) Silent(now time.Duration) bool { return now < a.silentUntil }

// RestartTimers restarts the timers of all that the state machine counts as outstanding, with their full durations. The
// caller must call it after StateMachine.Restore.
func (a *Allocator) RestartTimers(now time.Duration) {
	a.timers = nil
	a.expired = nil
	a.ObserveApplied(now, ApplyResult{Started: a.state.PendingExpiries()})
}

// ObserveApplied starts the timers of a command that was applied at now. The caller must call it after each
// StateMachine.Apply.
func (a *Allocator) ObserveApplied(now time.Duration, result ApplyResult) {
	for _, expiry := range result.Started {
		a.startExpiry(now, expiry)
	}
}

// HandleRequest stores a request for the next plan. It returns NotBootstrappedError, FleetMismatchError or
// StaleEpochError if the servers must not answer it. It ignores, without an error, a request that is not newer than the
// last one of its process.
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
	sender := a.requesters[request.HolderID]
	if sender == nil {
		sender = &requester{}
		a.requesters[request.HolderID] = sender
	}
	if request.Seq > sender.Seq {
		*sender = requester{Request: request, receivedAt: now, pending: true}
	}
	return nil
}

// HasWork reports whether Plan may return commands: an expiry or a request is pending.
func (a *Allocator) HasWork(now time.Duration) bool {
	if len(a.expired) > 0 || a.timerDue(now) {
		return true
	}
	for _, sender := range a.requesters {
		if sender.pending {
			return true
		}
	}
	return false
}

// Plan returns the commands that the leader must propose at now. A plan that frees capacity (acknowledgements and
// expiries) comes first; the next plan grants leases for the pending requests. Plan repeats commands that were not
// committed: expiries in the next plan, the others once the holder sends its next request. It returns nil during the
// startup silence and before the fleet is bootstrapped.
func (a *Allocator) Plan(now time.Duration) []Command {
	if a.Silent(now) || a.state.epoch == 0 {
		return nil
	}
	commands := a.expireCommands(now)
	a.dropInactive(now)
	var pending []*requester
	for _, id := range slices.SortedFunc(maps.Keys(a.requesters), HolderID.Compare) {
		if sender := a.requesters[id]; sender.pending {
			pending = append(pending, sender)
			commands = append(commands, a.ackCommands(sender)...)
		}
	}
	if len(commands) > 0 && !a.lastPlanOnlyFreed {
		a.lastPlanOnlyFreed = true
		return commands
	}
	a.lastPlanOnlyFreed = false
	return append(commands, a.grantCommands(now, pending)...)
}

// dropInactive removes the requests of processes that have sent no request for longer than the maximum lifetime of a
// lease (Bootstrap.MaxLifetime).
func (a *Allocator) dropInactive(now time.Duration) {
	maps.DeleteFunc(a.requesters, func(_ HolderID, sender *requester) bool {
		return now-sender.receivedAt > a.state.maxLifetime
	})
}

// dropSettledExpiries removes the expiries that the state machine no longer counts as outstanding.
func (a *Allocator) dropSettledExpiries() {
	a.expired = slices.DeleteFunc(a.expired, func(expiry Expiry) bool { return !a.state.isPending(expiry) })
}

// ackCommands returns the commands for the acknowledgements and configuration versions of a request that would change
// the state machine.
func (a *Allocator) ackCommands(sender *requester) []Command {
	var commands []Command
	state := a.state
	seesNewer := sender.SeenVersion > state.seenVersion && sender.SeenVersion > state.configVersion
	if seesNewer || a.adoptsFloors(sender) {
		observed := &ObserveConfig{
			HolderID: sender.HolderID, SeenVersion: sender.SeenVersion, FloorsVersion: sender.FloorsVersion,
		}
		commands = append(commands, Command{ObserveConfig: observed})
	}
	batch := AckBatch{Epoch: state.epoch, HolderID: sender.HolderID, RequestSeq: sender.Seq, All: sender.Leaving}
	for i := range sender.Quotas {
		if quotaRequest := &sender.Quotas[i]; a.changesState(sender, quotaRequest) {
			batch.Acks = append(batch.Acks, QuotaAck{
				Quota: quotaRequest.Quota, Token: quotaRequest.Token,
				InFlight: quotaRequest.InFlight, Ended: quotaRequest.Ended,
			})
		}
	}
	if len(batch.Acks) > 0 {
		commands = append(commands, Command{AckBatch: &batch})
	}
	return commands
}

// adoptsFloors reports whether the floors version of a request allows the state machine to drop an older floor of the
// holder that it still counts.
func (a *Allocator) adoptsFloors(sender *requester) bool {
	for _, ledger := range a.state.ledgers {
		if floors := ledger.floors[sender.Holder]; len(floors) > 1 && floors[1].ConfigVersion <= sender.FloorsVersion {
			return true
		}
	}
	return false
}

// changesState reports whether the acknowledgement of one quota in a request would change the state machine.
func (a *Allocator) changesState(sender *requester, quotaRequest *QuotaRequest) bool {
	state := a.state
	if quotaRequest.Token.Epoch == state.epoch && quotaRequest.Token.Index > state.appliedIndex+state.tokenOffset {
		return true // this log never issued the token, so later tokens must be above it
	}
	entry := state.entryOf(quotaRequest.Quota, sender.HolderID)
	if entry == nil || sender.Seq <= entry.LastAck {
		return false
	}
	if quotaRequest.InFlight.roundUp() < entry.Residual {
		return true
	}
	for i := range entry.Leases {
		order := entry.Leases[i].Token.Compare(quotaRequest.Token)
		if order < 0 || quotaRequest.Ended && order == 0 || sender.Leaving {
			return true
		}
	}
	return false
}

// Clone returns a copy that uses state, a copy of its state machine. It is for model checking.
func (a *Allocator) Clone(state *StateMachine) *Allocator {
	copied := *a
	copied.state = state
	copied.timers = slices.Clone(a.timers)
	copied.expired = slices.Clone(a.expired)
	copied.requesters = make(map[HolderID]*requester, len(a.requesters))
	for id, sender := range a.requesters {
		copiedRequester := *sender
		copied.requesters[id] = &copiedRequester
	}
	return &copied
}
