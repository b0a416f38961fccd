package consensus

import "fmt"

// NotLeaderError is returned by a server that does not lead. The request was not taken.
type NotLeaderError struct {
	// Leader is the server that this one takes for the leader; 0 is none.
	Leader uint64
}

// Error implements error.
func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: this steward does not lead, and knows of none that does"
	}
	return fmt.Sprintf("consensus: this steward does not lead, steward %d does", e.Leader)
}

// Advice implements operatorerror.Error.
func (NotLeaderError) Advice() string {
	return "Ask the steward that leads; if none does, see that a majority of the stewards run and reach each other."
}

// UndecidedError ends a request whose leader stepped down before it was committed: it may still be carried out, or
// never.
type UndecidedError struct {
	// Leader is the next leader; 0 is not known.
	Leader uint64
}

// Error implements error.
func (e UndecidedError) Error() string {
	return "consensus: the lead was lost before the command was decided: it may yet be carried out"
}

// Advice implements operatorerror.Error.
func (UndecidedError) Advice() string {
	return "Look up at the steward that leads whether it was carried out, " +
		"or send it again if it bears being carried out twice."
}

// NoQuorumError reports that no majority has agreed within the caller's time: the command may still be carried out.
type NoQuorumError struct {
	// Active is the number of voters that answered lately, this server included.
	Active int
	// Needed is the majority.
	Needed int
}

// Error implements error.
func (e NoQuorumError) Error() string {
	return fmt.Sprintf("consensus: no majority of the stewards has agreed in time: %d heard of, %d needed",
		e.Active, e.Needed)
}

// Advice implements operatorerror.Error.
func (NoQuorumError) Advice() string {
	return "Start the stewards that are down, or mend the links between them: a minority grants nothing. " +
		"If the stores of a majority are lost for good, found the fleet anew under a higher epoch."
}

// QueueFullError reports that as many requests are pending as may be: this one was not taken.
type QueueFullError struct {
	// Limit is the number of requests that may be pending.
	Limit int
}

// Error implements error.
func (e QueueFullError) Error() string {
	return fmt.Sprintf("consensus: %d commands wait, which is the limit", e.Limit)
}

// Advice implements operatorerror.Error.
func (QueueFullError) Advice() string {
	return "Ask again later and less often; if it goes on, see what slows the stewards' disks or links."
}

// CommandTooLargeError reports that a command is larger than the log takes: it was not taken.
type CommandTooLargeError struct {
	// Size and Limit are in bytes.
	Size  int
	Limit int
}

// Error implements error.
func (e CommandTooLargeError) Error() string {
	return fmt.Sprintf("consensus: a command of %d bytes, the limit is %d", e.Size, e.Limit)
}

// Advice implements operatorerror.Error.
func (CommandTooLargeError) Advice() string { return "Split the command." }

// SilentError is returned by a server whose peers have not yet confirmed that its store is the latest, or whose log
// was truncated below what it had acknowledged. The request was not taken.
type SilentError struct {
	// UnconfirmedPeers are the voters that have not confirmed the store.
	UnconfirmedPeers []uint64
	// Truncated reports whether the silence is one after a truncation.
	Truncated bool
}

// Error implements error.
func (e SilentError) Error() string {
	if e.Truncated {
		return "consensus: silent since its log was cut below what it had confirmed, " +
			"until what was granted by that is over"
	}
	return fmt.Sprintf("consensus: silent since the start, until stewards %v have confirmed "+
		"that the store is the latest", e.UnconfirmedPeers)
}

// Advice implements operatorerror.Error.
func (e SilentError) Advice() string {
	if e.Truncated {
		return "Wait out the silence that is set: nothing shortens it. A cut comes of an older store that was " +
			"put back at some steward: find which, and have it join anew under a new number."
	}
	return "Start the stewards that are missing; without them this one takes part after the silence that is set."
}

// StoreRolledBackError reports that a peer has seen this server write what its store does not hold: an older copy
// was put back, or the store was lost. The server stops taking part.
type StoreRolledBackError struct {
	// Witness is the peer that has seen a newer version.
	Witness uint64
	// Stored is the version of the store, Seen the one that the witness remembers.
	Stored StoreVersion
	Seen   StoreVersion
}

// Error implements error.
func (e StoreRolledBackError) Error() string {
	if e.Stored.StoreID != e.Seen.StoreID {
		return fmt.Sprintf("consensus: the store was lost: steward %d has seen another one under this name", e.Witness)
	}
	return fmt.Sprintf("consensus: the store is older than it was: it holds write %d of start %d, "+
		"steward %d has seen write %d of start %d",
		e.Stored.WriteSeq, e.Stored.Incarnation, e.Witness, e.Seen.WriteSeq, e.Seen.Incarnation)
}

// Advice implements operatorerror.Error.
func (StoreRolledBackError) Advice() string {
	return "Put this store away, remove the steward from the fleet and have it join anew under a new number, " +
		"as a learner with an empty store."
}

// FleetMismatchError is returned for a message of another fleet, or of another epoch of this one: it was dropped.
type FleetMismatchError struct {
	Fleet string
	Epoch uint64
}

// Error implements error.
func (e FleetMismatchError) Error() string {
	return fmt.Sprintf("consensus: a message of fleet %q, epoch %d", e.Fleet, e.Epoch)
}

// Advice implements operatorerror.Error.
func (FleetMismatchError) Advice() string {
	return "See that the addresses of the stewards are those of this fleet, " +
		"and that none runs on a store of before the founding anew."
}

// LogConflictError reports that this server's log contradicts itself or what another server holds. This server takes
// no part any more.
type LogConflictError struct {
	Reason string
}

// Error implements error.
func (e LogConflictError) Error() string { return "consensus: the log contradicts itself: " + e.Reason }

// Advice implements operatorerror.Error.
func (LogConflictError) Advice() string {
	return "Put this store away, remove the steward from the fleet and have it join anew under a new number; " +
		"if more than one says so, found the fleet anew under a higher epoch."
}
