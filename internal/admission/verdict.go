package admission

// ID identifies an open connection of a ConnLimiter; 0 means no connection.
type ID uint64

// Reason is the reason for rejecting or evicting a connection.
type Reason uint8

// Reasons of verdicts and in Counts.Rejected.
const (
	NoReason     Reason = iota // the connection was admitted
	Blocked                    // an operator blocked its address or network
	RateExceeded               // too many new connections of its address or network while connections are scarce
	NoCapacity                 // no connection is free for it, and none can be evicted
	Evicted                    // an open connection was, or is to be, evicted to admit another
	reasonCount
)

// String returns the name of the reason in the admin protocol, see Report.Rejected.
func (r Reason) String() string {
	return [...]string{"none", "blocked", "rate", "full", "room"}[r]
}

// Verdict is the decision on a new connection. If neither Admitted nor Evict is set, it is rejected.
type Verdict struct {
	// Admitted is the ID of the new connection if it is admitted, else 0.
	Admitted ID
	// Evict is the ID of an open connection to close first, or 0. The caller calls Remove once it is closed, or
	// EvictionRefused if it must not be closed, and then Arrive with repeated set.
	Evict ID
	// Reason is the reason for the rejection; Evicted if Evict is set, NoReason if the connection is admitted.
	Reason Reason
}
