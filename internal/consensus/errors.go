package consensus

import "fmt"

// The package documentation explains the terms in the texts of these errors.

// NotLeaderError is returned by a server that does not lead. The request was not accepted.
type NotLeaderError struct {
	// Leader is the leader as far as this server knows; 0 is none.
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

// UndecidedError is the result of a request whose leader stepped down before it was committed. The request may still be
// carried out.
type UndecidedError struct {
	// Leader is the next leader; 0 if it is not known.
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

// NoQuorumError reports that no majority agreed before the caller's deadline. The command may still be carried out.
type NoQuorumError struct {
	// Active is Status.ActiveVoters: the number of voters that answered within an election timeout, this server
	// included.
	Active int
	// Needed is the number of voters that form a majority.
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

// QueueFullError reports that the maximum number of requests is pending, or that the Raft library dropped the proposal,
// for example because the uncommitted entries reach Config.MaxUncommittedBytes. The request was not accepted.
type QueueFullError struct {
	// Limit is the number of pending requests at which this one was rejected.
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

// CommandTooLargeError reports that a command is larger than Config.MaxCommandBytes. It was not accepted.
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
// was truncated below the index up to which it had acknowledged it. The request was not accepted.
type SilentError struct {
	// UnconfirmedPeers are the voters that have not confirmed the store.
	UnconfirmedPeers []uint64
	// Truncated reports whether the server is silent because of a truncation.
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

// StoreRolledBackError reports that a peer remembers a newer version of this server's store, or a different store: an
// older copy was restored, or the store was lost. The server stops taking part.
type StoreRolledBackError struct {
	// Witness is the peer that remembers the other version.
	Witness uint64
	// Stored is the version of the store.
	Stored StoreVersion
	// Seen is the version that the witness remembers.
	Seen StoreVersion
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

// FleetMismatchError is returned for a message of another fleet, or of another epoch of this fleet. The message was
// dropped.
type FleetMismatchError struct {
	// Fleet and Epoch are those of the message.
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

// LogConflictError reports that this server's log is inconsistent, or that it differs from another server's log where
// the two must be equal. The server stops taking part.
type LogConflictError struct {
	// Reason names the entry and the difference, or is the text of the Raft library's panic.
	Reason string
}

// Error implements error.
func (e LogConflictError) Error() string { return "consensus: the log contradicts itself: " + e.Reason }

// Advice implements operatorerror.Error.
func (LogConflictError) Advice() string {
	return "Put this store away, remove the steward from the fleet and have it join anew under a new number; " +
		"if more than one says so, found the fleet anew under a higher epoch."
}
