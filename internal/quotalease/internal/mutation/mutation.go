// Package mutation disables single safeguards of package quotalease, to test the checks of its invariant: without a
// safeguard they must find a violation. Only packages below internal/quotalease can import it.
package mutation

// Set is the set of disabled safeguards. The zero value disables none.
type Set struct {
	NoDriftMargin            bool // servers do not extend the duration of a lease by the margin for clock drift
	LeaseFromReply           bool // holders count the duration of a lease from the reply, not from their request
	FullBucketOnLease        bool // each new lease starts with a full token bucket
	AnyTokenOrder            bool // holders accept leases with older tokens than their current one
	ReplyBeforeCommit        bool // servers send a lease before it is committed
	NoStartupSilence         bool // a server takes part immediately after its start
	NoSilenceAfterTruncation bool // a server takes part immediately after its confirmed entries were overwritten
	CountNewestLeaseOnly     bool // the state machine counts only the newest lease of a holder
	AckDropsNewest           bool // an acknowledgement also drops the leases that it should keep
	NoLimitCheck             bool // the state machine accepts leases that exceed the limit
	ForgetInFlightAtLeaseEnd bool // units in flight are no longer counted when their lease expires
}
