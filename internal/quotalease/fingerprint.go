package quotalease

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

// fingerprint encodes the state of a value that determines its future behavior, for model checking: values with equal
// fingerprints behave alike.
type fingerprint []byte

func (f *fingerprint) addNumbers(values ...int64) {
	for _, value := range values {
		*f = binary.AppendVarint(*f, value)
	}
}

func (f *fingerprint) addText(text string) { *f = append(*f, text...) }

func (f *fingerprint) addToken(token Token) { f.addNumbers(int64(token.Epoch), int64(token.Index)) }

func (f *fingerprint) addFlag(set bool) {
	if set {
		f.addNumbers(1)
	} else {
		f.addNumbers(0)
	}
}

// AppendState appends an encoding of the state that determines the future behavior of the allocator, without its state
// machine. It is for model checking.
func (a *Allocator) AppendState(out []byte) []byte {
	state := fingerprint(out)
	state.addNumbers(int64(a.silentUntil))
	state.addFlag(a.lastPlanOnlyFreed)
	state.addNumbers(int64(len(a.timers)), int64(len(a.expired)))
	timers := slices.Clone(a.timers) // the slice order of a heap depends on the order of insertions
	slices.SortFunc(timers, func(x, y expiryTimer) int {
		return cmp.Or(cmp.Compare(x.endsAt, y.endsAt), x.Token.Compare(y.Token), x.Compare(y.HolderID),
			cmp.Compare(x.Quota, y.Quota))
	})
	for _, timer := range timers {
		state.addNumbers(int64(timer.endsAt))
		state.addToken(timer.Token)
		state.addNumbers(int64(timer.Incarnation))
		state.addText(timer.Holder + timer.Quota)
	}
	for _, id := range slices.SortedFunc(maps.Keys(a.requesters), HolderID.Compare) {
		sender := a.requesters[id]
		state.addNumbers(int64(sender.Incarnation), int64(sender.Seq), int64(sender.receivedAt))
		state.addFlag(sender.pending)
		state.addText(sender.Holder)
	}
	return state
}

// AppendState appends an encoding of the state that determines the future behavior of the holder. It is for model
// checking.
func (h *Holder) AppendState(out []byte) []byte {
	state := fingerprint(out)
	state.addNumbers(int64(h.settings.Incarnation), int64(h.epoch), int64(h.configVersion), int64(h.adoptedFloors),
		int64(h.seq), int64(h.measuredAt))
	state.addFlag(h.floorClaim)
	state.addNumbers(int64(h.claimedAt))
	state.addFlag(h.leaving)
	for _, sent := range h.sentRequests {
		if sent.seq > 0 {
			state.addNumbers(int64(sent.seq), int64(sent.sentAt))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.quotas)) {
		quota := h.quotas[name]
		state.addText(name)
		state.addFlag(quota.active)
		state.addNumbers(int64(quota.expiresAt))
		state.addToken(quota.highestToken)
		state.addNumbers(int64(quota.bucket.level), int64(quota.bucket.filledAt), int64(quota.inFlight),
			int64(quota.floor.Amount), int64(quota.floorBucket.level), int64(quota.floorBucket.filledAt),
			int64(quota.floorInFlight), int64(quota.wanted), int64(quota.lease.Amount))
	}
	return state
}
