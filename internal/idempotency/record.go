package idempotency

import (
	"fmt"
	"time"
)

// Record is a persisted state of a request: the intent to run it, its answer (Completed), or the fact that its outcome
// is unknown (Uncertain). A record that is neither Completed nor Uncertain is an intent.
type Record struct {
	Key       Key
	Completed bool
	Uncertain bool
	Answer    []byte // the answer of a completed request
}

// RestoreLimitError is returned by Restore if the records have more requests than Settings.MaxEntries.
type RestoreLimitError struct {
	Records    int // number of records passed to Restore
	MaxEntries int
}

// Error implements error.
func (e RestoreLimitError) Error() string {
	return fmt.Sprintf("idempotency: restoring %d records: the ledger holds at most %d entries",
		e.Records, e.MaxEntries)
}

// Restore adds the records of an earlier process, in the order in which they were persisted. The outcome of a request
// with an intent and no answer is unknown. If the records have more requests than Settings.MaxEntries, Restore returns
// a RestoreLimitError; the ledger must then not be used, because it would let a request that it lacks run again.
func (l *Ledger) Restore(now time.Duration, records []Record) error {
	for _, r := range records {
		e := l.entries[r.Key]
		if e == nil {
			if len(l.entries) >= l.settings.MaxEntries {
				return RestoreLimitError{Records: len(records), MaxEntries: l.settings.MaxEntries}
			}
			e = &entry{key: r.Key}
			l.entries[r.Key] = e
			l.finish(now, e, uncertain)
		}
		if r.Completed && e.state != completed {
			l.Complete(now, r.Key, r.Answer)
		}
	}
	return nil
}
