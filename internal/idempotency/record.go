package idempotency

import (
	"fmt"
	"time"
)

// Record is one persisted step of a request: the intent to run it, its answer, or that its outcome will not be known.
// A record that is neither Completed nor Uncertain is an intent.
type Record struct {
	Key       Key
	Completed bool
	Uncertain bool
	Answer    []byte // of a completed request
}

// RestoreLimitError is returned by Restore for more entries than the ledger may remember.
type RestoreLimitError struct {
	Records    int // to be restored
	MaxEntries int
}

// Error implements error.
func (e RestoreLimitError) Error() string {
	return fmt.Sprintf("effects: %d entries were written down; there is room for %d", e.Records, e.MaxEntries)
}

// Restore takes in the records of an earlier process, in the order in which they were persisted. A request with an
// intent and no answer is of unknown outcome. If the records do not fit, it returns a RestoreLimitError, and the
// ledger must not be used: it would let a forgotten request run again.
func (l *Ledger) Restore(now time.Duration, records []Record) error {
	for _, r := range records {
		e := l.entries[r.Key]
		if e == nil {
			if len(l.entries) >= l.settings.MaxEntries {
				return RestoreLimitError{Records: len(records), MaxEntries: l.settings.MaxEntries}
			}
			e = &entry{key: r.Key}
			l.entries[r.Key] = e
			l.end(now, e, uncertain)
		}
		if r.Completed && e.state != completed {
			l.Complete(now, r.Key, r.Answer)
		}
	}
	return nil
}
