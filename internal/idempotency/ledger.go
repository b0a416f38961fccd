package idempotency

import (
	"bytes"
	"container/list"
	"fmt"
	"time"
)

// Key names a request.
type Key struct {
	Origin string // the sender that sent it first
	ID     uint32 // its end-to-end identifier
}

// Verdict says what to do with a request that arrives.
type Verdict uint8

// The verdicts.
const (
	Begin      Verdict = iota // it is new: it may run, once its intent is persisted
	Join                      // it is in flight: its answer will be that of the first copy
	Answered                  // it has completed: its answer is returned
	MayHaveRun                // its outcome is unknown: it must not run again
	Full                      // the ledger is full: it must not run now, and has not run
	KeyTooLong                // its Key.Origin is longer than a DiameterIdentity may be
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	return [...]string{"begin", "join", "answered", "may-have-run", "full", "too-long"}[v]
}

// maxOriginBytes is the longest Key.Origin: the length of a DiameterIdentity.
const maxOriginBytes = 255

// state is how far a request has come.
type state uint8

const (
	inFlight  state = iota
	completed       // it has an answer
	uncertain       // its process died, or its answer was lost
)

// entry is a request that the ledger remembers.
type entry struct {
	key    Key
	state  state
	answer []byte
	// expiresAt is when it may be forgotten; unset while it is in flight.
	expiresAt time.Duration
	// element is its place in Ledger.completed or Ledger.uncertain; nil while it is in flight.
	element *list.Element
}

// Ledger remembers the requests of one service. It is not safe for concurrent use.
type Ledger struct {
	settings  Settings
	entries   map[Key]*entry
	completed list.List // of *entry, ordered by expiresAt
	uncertain list.List // of *entry, ordered by expiresAt
	bytes     int       // of all answers
	// firstTransmissions are the requests that arrived here as first transmissions while Settings.LostAt is less
	// than a window ago. No earlier process had them, so a retransmission of one of them is new.
	firstTransmissions map[Key]bool
}

// New returns an empty ledger. Its error names the invalid setting.
func New(s Settings) (*Ledger, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("effects: %w", err)
	}
	return &Ledger{settings: s, entries: map[Key]*entry{}, firstTransmissions: map[Key]bool{}}, nil
}

// Len returns how many requests are remembered, and how many bytes of answers.
func (l *Ledger) Len() (entries, bytes int) { return len(l.entries), l.bytes }

// Admit decides on a request that arrives; retransmitted is its T flag. The answer is set with Answered only. After
// Begin the request is in flight, and Complete, MarkUncertain or Cancel must follow.
func (l *Ledger) Admit(now time.Duration, key Key, retransmitted bool) (Verdict, []byte) {
	l.expire(now)
	if len(key.Origin) > maxOriginBytes {
		return KeyTooLong, nil
	}
	if e := l.entries[key]; e != nil {
		return e.verdict()
	}
	if l.mayLackEntries(now) {
		if retransmitted && !l.firstTransmissions[key] {
			return MayHaveRun, nil // the earlier process may have run it
		}
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

// verdict is what a further copy of a remembered request gets.
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

// mayLackEntries reports whether requests that an earlier process ran may still be retransmitted.
func (l *Ledger) mayLackEntries(now time.Duration) bool {
	return l.settings.LostAt >= 0 && now < l.settings.LostAt+l.settings.Window
}

// NoteFirstTransmission records that a request arrived without the T flag, also if it was then rejected: its
// retransmission is new.
func (l *Ledger) NoteFirstTransmission(key Key) {
	if len(l.firstTransmissions) < l.settings.MaxEntries {
		l.firstTransmissions[key] = true
	}
}

// Complete records a request's answer, of which it keeps a copy for the window. An answer beyond Settings.MaxBytes
// is not kept; its request then counts as of unknown outcome.
func (l *Ledger) Complete(now time.Duration, key Key, answer []byte) {
	e := l.entries[key]
	if e == nil || e.state == completed {
		return
	}
	if l.bytes+len(answer) > l.settings.MaxBytes {
		l.end(now, e, uncertain)
		return
	}
	e.answer = bytes.Clone(answer)
	l.bytes += len(answer)
	l.end(now, e, completed)
}

// MarkUncertain records that the outcome of a request in flight will not be known.
func (l *Ledger) MarkUncertain(now time.Duration, key Key) {
	if e := l.entries[key]; e != nil && e.state == inFlight {
		l.end(now, e, uncertain)
	}
}

// Cancel forgets a request in flight that has not run and will not. Its next copy is new.
func (l *Ledger) Cancel(key Key) {
	if e := l.entries[key]; e != nil && e.state == inFlight {
		delete(l.entries, key)
	}
}

// end moves an entry to a state in which it expires. All entries of one list have the same window, so appending
// keeps the list ordered.
func (l *Ledger) end(now time.Duration, e *entry, s state) {
	if e.element != nil { // only an uncertain entry ends twice: its answer was found
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

// expire forgets the entries whose window has passed.
func (l *Ledger) expire(now time.Duration) {
	for _, ended := range []*list.List{&l.completed, &l.uncertain} {
		for element := ended.Front(); element != nil; element = ended.Front() {
			e := element.Value.(*entry)
			if e.expiresAt > now {
				break
			}
			ended.Remove(element)
			l.bytes -= len(e.answer)
			delete(l.entries, e.key)
		}
	}
}
