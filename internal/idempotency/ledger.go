package idempotency

import (
	"bytes"
	"container/list"
	"fmt"
	"time"
)

// Key identifies a request.
type Key struct {
	Origin string // identity of the original sender
	ID     uint32 // end-to-end identifier, chosen by the original sender
}

// Verdict is the decision on a request that arrives.
type Verdict uint8

// Verdicts of Ledger.Admit.
const (
	Begin      Verdict = iota // the request is new, and may run once its intent is persisted
	Join                      // another copy is in flight, whose answer is also the answer of this one
	Answered                  // the request has completed, and its answer is returned
	MayHaveRun                // the outcome of the request is unknown, and it must not run again
	Full                      // the ledger is full; the request has not run, and must not run now
	KeyTooLong                // Key.Origin is longer than the maximum length of a DiameterIdentity
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	return [...]string{"begin", "join", "answered", "may-have-run", "full", "too-long"}[v]
}

// maxOriginBytes is the maximum length of Key.Origin, which is that of a DiameterIdentity.
const maxOriginBytes = 255

// state is the state of an entry.
type state uint8

const (
	inFlight  state = iota
	completed       // the request has an answer
	uncertain       // the outcome is unknown: the process died, or the answer was lost
)

// entry is the entry of one request in a Ledger.
type entry struct {
	key    Key
	state  state
	answer []byte
	// expiresAt is the time after which the entry is deleted; unset while the request is in flight.
	expiresAt time.Duration
	// element is the element of the entry in Ledger.completed or Ledger.uncertain; nil while the request is in flight.
	element *list.Element
}

// Ledger remembers the requests of one service. It is not safe for concurrent use.
type Ledger struct {
	settings  Settings
	entries   map[Key]*entry
	completed list.List // of *entry, ordered by expiresAt
	uncertain list.List // of *entry, ordered by expiresAt
	bytes     int       // total length of all answers
	// firstTransmissions are the requests that arrived without the T flag within one window after Settings.LostAt. No
	// earlier process of this ledger can have run them, so a retransmission of one of them is admitted as new. It is
	// empty with Settings.Shared: another process can have run a request after its first copy was rejected here.
	firstTransmissions map[Key]bool
}

// New returns an empty ledger. The error names each invalid setting.
func New(s Settings) (*Ledger, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("idempotency: %w", err)
	}
	return &Ledger{settings: s, entries: map[Key]*entry{}, firstTransmissions: map[Key]bool{}}, nil
}

// Len returns the number of entries, and the total length of their answers in bytes.
func (l *Ledger) Len() (entries, bytes int) { return len(l.entries), l.bytes }

// Admit decides on a request that arrives; retransmitted is its T flag. The answer is set only with Answered, and must
// not be modified. After Begin the request is in flight until the caller calls Complete, MarkUncertain or Cancel.
func (l *Ledger) Admit(now time.Duration, key Key, retransmitted bool) (Verdict, []byte) {
	l.expire(now)
	if len(key.Origin) > maxOriginBytes {
		return KeyTooLong, nil
	}
	if e := l.entries[key]; e != nil {
		return e.verdict()
	}
	if retransmitted && l.mayHaveRunUnseen(now, key) {
		return MayHaveRun, nil
	}
	if l.mayLackEntries(now) {
		l.NoteFirstTransmission(key)
	} else if len(l.firstTransmissions) > 0 {
		clear(l.firstTransmissions)
	}
	if len(l.entries) >= l.settings.MaxEntries || l.bytes >= l.settings.MaxBytes {
		return Full, nil
	}
	l.entries[key] = &entry{key: key}
	return Begin, nil
}

// MayReject reports whether a copy of a request may be rejected, without Admit, as one that has not run. Its sender sends
// it again as a new one then, to this process or to another. retransmitted is the copy's T flag.
func (l *Ledger) MayReject(now time.Duration, key Key, retransmitted bool) bool {
	if !retransmitted {
		return true
	}
	l.expire(now)
	// A new copy is decided by the entry, but only here.
	return !l.settings.Shared && (l.entries[key] != nil || !l.mayHaveRunUnseen(now, key))
}

// verdict returns the decision on a further copy of the request, and its answer if it has completed.
func (e *entry) verdict() (Verdict, []byte) {
	switch e.state {
	case inFlight:
		return Join, nil
	case completed:
		return Answered, e.answer
	default:
		return MayHaveRun, nil
	}
}

// mayHaveRunUnseen reports whether a request without an entry may have run in another process: an earlier one whose
// entries are lost, or one that senders also use.
func (l *Ledger) mayHaveRunUnseen(now time.Duration, key Key) bool {
	return l.settings.Shared || l.mayLackEntries(now) && !l.firstTransmissions[key]
}

// mayLackEntries reports whether requests that an earlier process ran, and whose entries are lost, may still be
// retransmitted.
func (l *Ledger) mayLackEntries(now time.Duration) bool {
	return l.settings.LostAt >= 0 && now < l.settings.LostAt+l.settings.Window
}

// NoteFirstTransmission records that a request arrived without the T flag, so that its retransmission is admitted as
// new. Admit calls it; callers call it for requests that they rejected without Admit.
func (l *Ledger) NoteFirstTransmission(key Key) {
	if !l.settings.Shared && len(l.firstTransmissions) < l.settings.MaxEntries {
		l.firstTransmissions[key] = true
	}
}

// Complete records the answer of a request, and keeps a copy of it for Settings.Window. If the answers would exceed
// Settings.MaxBytes, this answer is not kept, and the outcome of the request counts as unknown.
func (l *Ledger) Complete(now time.Duration, key Key, answer []byte) {
	e := l.entries[key]
	if e == nil || e.state == completed {
		return
	}
	if l.bytes+len(answer) > l.settings.MaxBytes {
		l.finish(now, e, uncertain)
		return
	}
	e.answer = bytes.Clone(answer)
	l.bytes += len(answer)
	l.finish(now, e, completed)
}

// MarkUncertain records that the outcome of a request in flight is unknown and will stay so.
func (l *Ledger) MarkUncertain(now time.Duration, key Key) {
	if e := l.entries[key]; e != nil && e.state == inFlight {
		l.finish(now, e, uncertain)
	}
}

// Cancel deletes the entry of a request in flight that has not run and will not run. Its next copy is new.
func (l *Ledger) Cancel(key Key) {
	if e := l.entries[key]; e != nil && e.state == inFlight {
		delete(l.entries, key)
	}
}

// finish changes the state of an entry to completed or uncertain, and sets its expiry time. All entries of one list
// have the same window, so appending keeps the list ordered.
func (l *Ledger) finish(now time.Duration, e *entry, s state) {
	if e.element != nil { // only an uncertain entry is finished twice, when its answer arrives later
		l.uncertain.Remove(e.element)
	}
	e.state = s
	if s == uncertain {
		e.expiresAt = now + l.settings.UncertainWindow
		e.element = l.uncertain.PushBack(e)
		return
	}
	e.expiresAt = now + l.settings.Window
	e.element = l.completed.PushBack(e)
}

// expire deletes the entries whose window has passed.
func (l *Ledger) expire(now time.Duration) {
	for _, finished := range []*list.List{&l.completed, &l.uncertain} {
		for element := finished.Front(); element != nil; element = finished.Front() {
			e := element.Value.(*entry)
			if e.expiresAt > now {
				break
			}
			finished.Remove(element)
			l.bytes -= len(e.answer)
			delete(l.entries, e.key)
		}
	}
}
