// Package mutation takes single guards out of the grants' machine, so that a checker can be tried: with a guard out it must
// convict. Only packages below internal/quotalease can make a Set.
package mutation

// Set names the guards that are out. The zero value is the sound machine.
type Set struct {
	NoDriftMargin            bool // the steward ends a lease by its own clock without the margin for drift
	LeaseFromReply           bool // the holder counts its lease from the reply, not from its ask
	FullBucketOnLease        bool // a share that arrives brings a full bucket
	AnyTokenOrder            bool // the holder takes grants in whatever order they come
	ReplyBeforeCommit        bool // a grant is told before it is committed
	NoStartupSilence         bool // a steward that starts takes part at once
	NoSilenceAfterTruncation bool // a steward whose confirmed entries are cut back takes part at once
	CountNewestLeaseOnly     bool // a holder is counted by its newest grant alone
	AckDropsNewest           bool // an acknowledgement drops the newest grants too
	NoLimitCheck             bool // the log takes grants that break the sum
	ForgetInFlightAtLeaseEnd bool // work in hand is forgotten with its lease
}
