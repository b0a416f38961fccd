package consensus

import "fmt"

// NotLeaderError is the answer of a steward that does not lead. The command was not taken.
type NotLeaderError struct {
	Leader uint64 // whom it believes to lead; 0 is nobody that it knows of
}

func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: this steward does not lead, and knows of none that does"
	}
	return fmt.Sprintf("consensus: this steward does not lead, steward %d does", e.Leader)
}

// Advice implements advice.Error.
func (NotLeaderError) Advice() string {
	return "Ask the steward that leads; if none does, see that a majority of the stewards run and reach each other."
}

// UndecidedError is the answer to a command whose leader has lost its lead before it knew: it may yet be carried out, or never.
type UndecidedError struct {
	Leader uint64
}

func (e UndecidedError) Error() string {
	return "consensus: the lead was lost before the command was decided: it may yet be carried out"
}

// Advice implements advice.Error.
func (UndecidedError) Advice() string {
	return "Look up at the steward that leads whether it was carried out, or send it again if it bears being carried out twice."
}

// NoQuorumError is that no majority has agreed within the caller's time: the command may yet be carried out.
type NoQuorumError struct {
	Active, Needed int // stewards that answered lately, itself included, and the majority
}

func (e NoQuorumError) Error() string {
	return fmt.Sprintf("consensus: no majority of the stewards has agreed in time: %d heard of, %d needed", e.Active, e.Needed)
}

// Advice implements advice.Error.
func (NoQuorumError) Advice() string {
	return "Start the stewards that are down, or mend the links between them: a minority grants nothing. " +
		"If the stores of a majority are lost for good, found the fleet anew under a higher epoch."
}

// QueueFullError is that as many commands wait as may: this one was not taken.
type QueueFullError struct {
	Limit int
}

func (e QueueFullError) Error() string {
	return fmt.Sprintf("consensus: %d commands wait, which is the limit", e.Limit)
}

// Advice implements advice.Error.
func (QueueFullError) Advice() string {
	return "Ask again later and less often; if it goes on, see what slows the stewards' disks or links."
}

// CommandTooLargeError is that a command is larger than the log takes: it was not taken.
type CommandTooLargeError struct {
	Size, Limit int // bytes
}

func (e CommandTooLargeError) Error() string {
	return fmt.Sprintf("consensus: a command of %d bytes, the limit is %d", e.Size, e.Limit)
}

// Advice implements advice.Error.
func (CommandTooLargeError) Advice() string { return "Split the command." }

// SilentError is the answer of a steward that has not yet been told that its store is the latest, or whose log was cut below what it had
// confirmed.
type SilentError struct {
	UnconfirmedPeers []uint64 // stewards that have not confirmed it
	Truncated        bool
}

func (e SilentError) Error() string {
	if e.Truncated {
		return "consensus: silent since its log was cut below what it had confirmed, until what was granted by that is over"
	}
	return fmt.Sprintf("consensus: silent since the start, until stewards %v have confirmed that the store is the latest", e.UnconfirmedPeers)
}

// Advice implements advice.Error.
func (e SilentError) Advice() string {
	if e.Truncated {
		return "Wait out the silence that is set: nothing shortens it. A cut comes of an older store that was put back at some steward: find which, " +
			"and have it join anew under a new number."
	}
	return "Start the stewards that are missing; without them this one takes part after the silence that is set."
}

// StoreRolledBackError is that another steward has seen this one promise what its store does not hold: an older copy was put back, or
// the store was lost. The steward takes no part any more.
type StoreRolledBackError struct {
	Witness    uint64       // who proves it
	Held, Seen StoreVersion // what the store holds, and what the witness has seen
}

func (e StoreRolledBackError) Error() string {
	if e.Held.StoreID != e.Seen.StoreID {
		return fmt.Sprintf("consensus: the store was lost: steward %d has seen another one under this name", e.Witness)
	}
	return fmt.Sprintf("consensus: the store is older than it was: it holds write %d of start %d, steward %d has seen write %d of start %d",
		e.Held.WriteSeq, e.Held.Incarnation, e.Witness, e.Seen.WriteSeq, e.Seen.Incarnation)
}

// Advice implements advice.Error.
func (StoreRolledBackError) Advice() string {
	return "Put this store away, remove the steward from the fleet and have it join anew under a new number, as a learner with an empty store."
}

// FleetMismatchError is a message of another fleet, or of another epoch of this one: it was dropped.
type FleetMismatchError struct {
	Fleet string
	Epoch uint64
}

func (e FleetMismatchError) Error() string {
	return fmt.Sprintf("consensus: a message of fleet %q, epoch %d", e.Fleet, e.Epoch)
}

// Advice implements advice.Error.
func (FleetMismatchError) Advice() string {
	return "See that the addresses of the stewards are those of this fleet, and that none runs on a store of before the founding anew."
}

// LogConflictError is that the log and what others say of it can't both be true; this steward takes no part any more.
type LogConflictError struct {
	Reason string
}

func (e LogConflictError) Error() string { return "consensus: the log contradicts itself: " + e.Reason }

// Advice implements advice.Error.
func (LogConflictError) Advice() string {
	return "Put this store away, remove the steward from the fleet and have it join anew under a new number; if more than one says so, " +
		"found the fleet anew under a higher epoch."
}
