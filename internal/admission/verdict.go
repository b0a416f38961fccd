package admission

// ID names a connection that a ConnLimiter holds; 0 is none.
type ID uint64

// Reason says why a connection was rejected or evicted.
type Reason uint8

// The reasons.
const (
	NoReason     Reason = iota
	Blocked             // an operator blocked its address
	RateExceeded        // its address or network opens too many connections while they are scarce
	NoCapacity          // nothing is free for it, and no connection can be evicted
	Evicted             // it was evicted to make room
	reasonCount
)

// String returns the reason's name in reports.
func (r Reason) String() string {
	return [...]string{"none", "blocked", "rate", "full", "room"}[r]
}

// Verdict says what to do with a connection that arrives. If neither Admitted nor Evict is set, it is rejected.
type Verdict struct {
	// Admitted is its ID if it is admitted.
	Admitted ID
	// Evict is a connection to close first. The caller calls Remove once it is closed, or EvictionRefused if it must
	// not be closed, and then Arrive again.
	Evict ID
	// Reason says why it is rejected, or Evicted if Evict is set.
	Reason Reason
}
