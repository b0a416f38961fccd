package quotalease

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

// fingerprint encodes the state of a value that decides its future behavior, for model checking: values with equal
// fingerprints behave alike.
type fingerprint []byte

func (f *fingerprint) numbers(values ...int64) {
	for _, value := range values {
		*f = binary.AppendVarint(*f, value)
	}
}

func (f *fingerprint) text(text string) { *f = append(*f, text...) }

func (f *fingerprint) token(token Token) { f.numbers(int64(token.Epoch), int64(token.Index)) }

func (f *fingerprint) flag(set bool) {
	if set {
		f.numbers(1)
	} else {
		f.numbers(0)
	}
}

// AppendState appends an encoding of the state that decides the future behavior of the allocator, without its state
// machine. It is for model checking.
func (a *Allocator) AppendState(out []byte) []byte {
	state := fingerprint(out)
	state.numbers(int64(a.silentUntil))
	state.flag(a.onlyFreed)
	state.numbers(int64(len(a.timers)), int64(len(a.due)))
	timers := slices.Clone(a.timers) // the slice order of a heap depends on the order of insertions
	slices.SortFunc(timers, func(x, y expiryTimer) int {
		return cmp.Or(cmp.Compare(x.at, y.at), x.Token.Compare(y.Token), x.Compare(y.HolderID),
			cmp.Compare(x.Quota, y.Quota))
	})
	for _, timer := range timers {
		state.numbers(int64(timer.at))
		state.token(timer.Token)
		state.numbers(int64(timer.Incarnation))
		state.text(timer.Holder + timer.Quota)
	}
	for _, id := range slices.SortedFunc(maps.Keys(a.requesters), HolderID.Compare) {
		from := a.requesters[id]
		state.numbers(int64(from.Incarnation), int64(from.Seq), int64(from.heardAt))
		state.flag(from.pending)
		state.text(from.Holder)
	}
	return state
}

// AppendState appends an encoding of the state that decides the future behavior of the holder. It is for model
// checking.
func (h *Holder) AppendState(out []byte) []byte {
	state := fingerprint(out)
	state.numbers(int64(h.settings.Incarnation), int64(h.epoch), int64(h.configVersion), int64(h.adoptedFloors),
		int64(h.seq), int64(h.measuredAt))
	state.flag(h.floorClaim)
	state.numbers(int64(h.claimedAt))
	state.flag(h.leaving)
	for _, sent := range h.sentRequests {
		if sent.seq > 0 {
			state.numbers(int64(sent.seq), int64(sent.sentAt))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.quotas)) {
		quota := h.quotas[name]
		state.text(name)
		state.flag(quota.active)
		state.numbers(int64(quota.expiresAt))
		state.token(quota.highestToken)
		state.numbers(int64(quota.bucket.level), int64(quota.bucket.filledAt), int64(quota.inFlight),
			int64(quota.floor.Amount), int64(quota.floorBucket.level), int64(quota.floorBucket.filledAt),
			int64(quota.floorInFlight), int64(quota.wanted), int64(quota.lease.Amount))
	}
	return state
}
