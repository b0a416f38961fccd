// Package mutation takes single guards out of the grants' machine, so that a checker can be tried: with a guard out it must
// convict. Only packages below internal/quotalease can make a Set.
package mutation

// Set names the guards that are out. The zero value is the sound machine.
type Set struct {
	Margin  bool // the steward ends a lease by its own clock without the margin for drift
	Reply   bool // the holder counts its lease from the reply, not from its ask
	Full    bool // a share that arrives brings a full bucket
	Order   bool // the holder takes grants in whatever order they come
	Commit  bool // a grant is told before it is committed
	Silence bool // a steward that starts takes part at once
	Cut     bool // a steward whose confirmed entries are cut back takes part at once
	Max     bool // a holder is counted by its newest grant alone
	Ack     bool // an acknowledgement drops the newest grants too
	Sum     bool // the log takes grants that break the sum
	Life    bool // work in hand is forgotten with its lease
}
