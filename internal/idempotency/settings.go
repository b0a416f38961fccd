package idempotency

import (
	"errors"
	"fmt"
	"time"
)

// MinWindow is the minimum of Settings.Window: end-to-end identifiers stay unique for at least four minutes, even if
// the sender restarts (RFC 6733, section 3).
const MinWindow = 4 * time.Minute

// Settings configure a Ledger.
type Settings struct {
	// Window is the time for which a completed request is remembered; at least MinWindow.
	Window time.Duration
	// UncertainWindow is the time for which a request of unknown outcome is remembered; at least Window. It is longer
	// because an operator has to find out the outcome from another system.
	UncertainWindow time.Duration
	// MaxEntries is the maximum number of requests that are remembered; at least 1.
	MaxEntries int
	// MaxBytes is the maximum total length in bytes of the answers that are kept; at least 1.
	MaxBytes int
	// LostAt is the time, on the callers' clock, at which the ledger started without the entries of an earlier process.
	// For one Window after it, a retransmission without an entry may have run. A negative value means that no entries
	// were lost: the ledger is durable, or there was no earlier process.
	LostAt time.Duration
	// Shared is set if senders also use other processes, which have ledgers of their own. A retransmission without an
	// entry may then have run there: RFC 6733, section 5.5.4, lets a sender fail over to another peer, and section 3 has
	// it set the T flag then, but not after an error answer.
	Shared bool
}

// Validate returns an error that names each invalid field, or nil.
func (s *Settings) Validate() error {
	var errs []error
	if s.Window < MinWindow {
		errs = append(errs, fmt.Errorf("window: %v is below the minimum of %v", s.Window, MinWindow))
	}
	if s.UncertainWindow < s.Window {
		errs = append(errs, fmt.Errorf("uncertain: %v is below the window of %v", s.UncertainWindow, s.Window))
	}
	if s.MaxEntries < 1 || s.MaxBytes < 1 {
		errs = append(errs, fmt.Errorf("entries %d and bytes %d must be above 0", s.MaxEntries, s.MaxBytes))
	}
	return errors.Join(errs...)
}
