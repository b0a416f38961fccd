// Package idempotency remembers which requests that must never run twice have begun, and how they ended: whoever sends one
// again gets the answer that it had, or joins the one in hand, or hears that it may have run. It is pure: no I/O, no
// goroutine, no clock; one caller at a time.
//
// A request is known by who has sent it and by its end-to-end identifier (RFC 6733, section 6.2 and 3: for four minutes at
// least no other has the same), whether it says that it is a repeat (the T flag) or not.
//
// What a Ledger promises, whatever comes in whatever order:
//
//   - One request is never told to begin twice, within the window and as long as its intent is remembered.
//   - Nothing is forgotten before the window has passed since its end. When there is no room, what is unsafe is turned away.
//   - An entry whose end is not known (its process died) says that it may have run, and never that it may begin.
//   - Memory is bounded by entries and bytes.
package idempotency

import (
	"container/list"
	"errors"
	"fmt"
	"time"
)

// Key names a request.
type Key struct {
	Origin string // who has sent it first
	ID     uint32 // its end-to-end identifier
}

// MinWindow is the least time for which what has ended is remembered (RFC 6733, section 3: identifiers stay unique for four
// minutes, across restarts too).
const MinWindow = 4 * time.Minute

// Settings are what a Ledger goes by.
type Settings struct {
	Window time.Duration // for which what has ended is remembered
	// Uncertain is for how long that of which nobody knows how it ended is: longer, since somebody must look into the books.
	UncertainWindow time.Duration
	MaxEntries      int // at most
	MaxBytes        int // of the answers that are kept, at most
	// Lost is when the ledger began without what a process before knew; a repeat of what it does not know may have run
	// up to a window after that. Below 0 nothing was lost: the ledger is durable, or this is the first process.
	LostAt time.Duration
}

// Validate tells what makes no sense, by the field's name.
func (s *Settings) Validate() error {
	var errs []error
	if s.Window < MinWindow {
		errs = append(errs, fmt.Errorf("window: %v is under %v", s.Window, MinWindow))
	}
	if s.UncertainWindow < s.Window {
		errs = append(errs, fmt.Errorf("uncertain: %v is under the window, %v", s.UncertainWindow, s.Window))
	}
	if s.MaxEntries < 1 || s.MaxBytes < 1 {
		errs = append(errs, fmt.Errorf("entries %d and bytes %d must be above 0", s.MaxEntries, s.MaxBytes))
	}
	return errors.Join(errs...)
}

// Verdict is what becomes of a request that comes.
type Verdict uint8

// The verdicts.
const (
	Begin      Verdict = iota // it is new: it may run, once its intent is safe
	Join                      // it is in hand: its answer will be that one's
	Answered                  // it has ended: this is its answer
	MayHaveRun                // nobody knows: it must not run again
	Full                      // there is no room to remember it: it must not run now, and has not
	KeyTooLong                // its name is longer than any that is remembered
)

func (v Verdict) String() string {
	return [...]string{"begin", "join", "answered", "may-have-run", "full", "too-long"}[v]
}

// mostOrigin is the longest name of a sender: that of a DiameterIdentity.
const mostOrigin = 255

type state uint8

const (
	inHand  state = iota
	ended         // with an answer
	unknown       // its process died, or its answer was lost
)

type entry struct {
	key    Key
	state  state
	answer []byte
	until  time.Duration // when it may be forgotten; of one in hand it does not count
	at     *list.Element // among those that have ended, by until
}

// Ledger is the requests of one service.
type Ledger struct {
	set     Settings
	entries map[Key]*entry
	over    list.List // of *entry that have ended, those to be forgotten first in front
	lost    list.List // of *entry of which nobody knows how they ended, likewise
	bytes   int
	firsts  map[Key]bool // that came here as no repeat while it is in doubt what was lost: no process before had them
}

// New makes a ledger. An error names the setting.
func New(s Settings) (*Ledger, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("effects: %w", err)
	}
	return &Ledger{set: s, entries: map[Key]*entry{}, firsts: map[Key]bool{}}, nil
}

// Len is how many requests it remembers, and how many bytes of answers.
func (l *Ledger) Len() (entries, bytes int) { return len(l.entries), l.bytes }

// Admit decides on a request. With Begin it is in hand from now on: End or Lose must follow. repeat is the T flag.
func (l *Ledger) Admit(now time.Duration, k Key, repeat bool) (Verdict, []byte) {
	l.forget(now)
	if len(k.Origin) > mostOrigin {
		return KeyTooLong, nil
	}
	if e := l.entries[k]; e != nil {
		switch e.state {
		case inHand:
			return Join, nil
		case ended:
			return Answered, e.answer
		default:
			return MayHaveRun, nil
		}
	}
	if l.set.LostAt >= 0 && now < l.set.LostAt+l.set.Window {
		if repeat && !l.firsts[k] {
			return MayHaveRun, nil // it may have been in hand of the process before
		}
		l.NoteFirstTransmission(k)
	} else if len(l.firsts) > 0 {
		clear(l.firsts)
	}
	if len(l.entries) >= l.set.MaxEntries || l.bytes >= l.set.MaxBytes {
		return Full, nil
	}
	l.entries[k] = &entry{key: k}
	return Begin, nil
}

// NoteFirstTransmission notes a request that came as no repeat and was turned away: a repeat of it is new.
func (l *Ledger) NoteFirstTransmission(k Key) {
	if len(l.firsts) < l.set.MaxEntries {
		l.firsts[k] = true
	}
}

// Complete notes a request's answer. It is kept for the window. Where the answer is longer than what may be kept, the request
// counts as one that may have run: that is true, if less than all.
func (l *Ledger) Complete(now time.Duration, k Key, answer []byte) {
	e := l.entries[k]
	if e == nil || e.state == ended {
		return
	}
	if l.bytes+len(answer) > l.set.MaxBytes {
		l.settle(now, e, unknown)
		return
	}
	e.answer = append([]byte(nil), answer...)
	l.bytes += len(answer)
	l.settle(now, e, ended)
}

// MarkUncertain notes that a request's end will not be known.
func (l *Ledger) MarkUncertain(now time.Duration, k Key) {
	if e := l.entries[k]; e != nil && e.state == inHand {
		l.settle(now, e, unknown)
	}
}

// Cancel forgets a request in hand that has not run and will not: it was refused, and may come again as a new one.
func (l *Ledger) Cancel(k Key) {
	if e := l.entries[k]; e != nil && e.state == inHand {
		delete(l.entries, k)
	}
}

func (l *Ledger) settle(now time.Duration, e *entry, s state) {
	if e.at != nil { // one that may have run, and its answer is found
		l.lost.Remove(e.at)
	}
	e.state = s
	if s == unknown {
		e.until = now + l.set.UncertainWindow
		e.at = l.lost.PushBack(e)
		return
	}
	e.until = now + l.set.Window
	e.at = l.over.PushBack(e) // all of a list have the same span: the order is that of their ends
}

// forget drops what has ended a window ago.
func (l *Ledger) forget(now time.Duration) {
	for _, ended := range []*list.List{&l.over, &l.lost} {
		for at := ended.Front(); at != nil; at = ended.Front() {
			e := at.Value.(*entry)
			if e.until > now {
				break
			}
			ended.Remove(at)
			l.bytes -= len(e.answer)
			delete(l.entries, e.key)
		}
	}
}

// Record is an entry as it is written down: an intent, an end, or that its end will not be known.
type Record struct {
	Key       Key
	Completed bool
	Uncertain bool
	Answer    []byte
}

// Restore takes in what a process before has written down, in order. An intent without an end may have run. What does not
// fit is an error: a ledger that has forgotten something must not say that anything may begin.
func (l *Ledger) Restore(now time.Duration, records []Record) error {
	for _, r := range records {
		e := l.entries[r.Key]
		if e == nil {
			if len(l.entries) >= l.set.MaxEntries {
				return fmt.Errorf("effects: %d entries were written down; there is room for %d", len(records), l.set.MaxEntries)
			}
			e = &entry{key: r.Key}
			l.entries[r.Key] = e
			l.settle(now, e, unknown)
		}
		if r.Completed && e.state != ended {
			l.Complete(now, r.Key, r.Answer)
		}
	}
	return nil
}
