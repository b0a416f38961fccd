// Package mutation takes single safeguards out of package quotalease, so that a checker of its invariant can be tested:
// without a safeguard the checker must find a violation. Only packages below internal/quotalease can import it.
package mutation

// Set names the safeguards that are out. The zero value has all of them in.
type Set struct {
	NoDriftMargin            bool // servers expire a lease by their own clock, without the margin for drift
	LeaseFromReply           bool // holders count a lease from the reply, not from their request
	FullBucketOnLease        bool // a lease arrives with a full token bucket
	AnyTokenOrder            bool // holders take leases in whatever order they arrive
	ReplyBeforeCommit        bool // servers send a lease before it is committed
	NoStartupSilence         bool // a server that starts takes part at once
	NoSilenceAfterTruncation bool // a server whose confirmed entries were overwritten takes part at once
	CountNewestLeaseOnly     bool // a holder counts with its newest lease alone
	AckDropsNewest           bool // an acknowledgement drops the newest leases too
	NoLimitCheck             bool // the state machine accepts leases that break the limit
	ForgetInFlightAtLeaseEnd bool // units in flight are forgotten when their lease expires
}
