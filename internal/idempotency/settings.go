package idempotency

import (
	"errors"
	"fmt"
	"time"
)

// MinWindow is the least time for which a completed request must be remembered: end-to-end identifiers stay unique
// for four minutes, across restarts too (RFC 6733, section 3).
const MinWindow = 4 * time.Minute

// Settings configure a Ledger.
type Settings struct {
	// Window is how long a completed request is remembered; at least MinWindow.
	Window time.Duration
	// UncertainWindow is how long a request of unknown outcome is remembered; at least Window. It is longer because
	// somebody has to look the outcome up elsewhere.
	UncertainWindow time.Duration
	// MaxEntries is the most requests that are remembered; at least 1.
	MaxEntries int
	// MaxBytes is the most bytes of answers that are kept; at least 1.
	MaxBytes int
	// LostAt is when the ledger began without the entries of an earlier process, on the callers' clock. For one
	// Window after it, a retransmission that the ledger does not know may have run. Below 0 nothing was lost: the
	// ledger is durable, or there was no earlier process.
	LostAt time.Duration
}

// Validate returns an error that names each invalid field, or nil.
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
