package consensus

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
)

// roleSilent is Status.Role while the server is silent; else Status.Role is a role of Raft.
const roleSilent = "StateSilent"

// Status is the state of a server. Log entries are given by their index, servers by their ID.
type Status struct {
	ID uint64
	// Leader is the leader as far as this server knows; 0 is none.
	Leader uint64
	Term   uint64
	// Commit and Applied are the last entries that this server knows to be committed, and has applied.
	Commit  uint64
	Applied uint64
	// FirstIndex and LastIndex are the first and the last entry of the log in memory.
	FirstIndex uint64
	LastIndex  uint64
	// Role is the name of the Raft library's state, such as "StateLeader", or "StateSilent" while the server is silent.
	Role string
	// UnconfirmedPeers are the voters that have not confirmed the store; set while the server is silent.
	UnconfirmedPeers []uint64
	// TruncationSilence reports whether the server is silent because of a truncation of its log.
	TruncationSilence bool
	// Truncations counts the truncations of the log below the acknowledged index since the start.
	Truncations int
	// Match is, at the leader, the last entry that each member is known to hold, by the member's ID.
	Match map[uint64]uint64
	// ActiveVoters is, at the leader, the number of voters that answered within an election timeout, itself
	// included.
	ActiveVoters int
	Voters       []uint64
	Learners     []uint64
	// PendingRequests is the number of commands and reads without a Reply.
	PendingRequests int
	// Err is why the server has stopped taking part; nil while it takes part.
	Err error
}

// Status returns the server's state. It may also be called after a failure.
func (c *Core) Status() Status {
	raftStatus := c.raft.Status()
	status := Status{
		ID:                c.config.ID,
		Leader:            raftStatus.Lead,
		Term:              raftStatus.GetTerm(),
		Commit:            raftStatus.GetCommit(),
		Applied:           c.appliedIndex,
		Role:              raftStatus.RaftState.String(),
		TruncationSilence: c.truncationSilence,
		Truncations:       c.truncations,
		ActiveVoters:      1,
		Voters:            slices.Sorted(maps.Keys(raftStatus.Config.Voters.IDs())),
		Learners:          slices.Sorted(maps.Keys(raftStatus.Config.Learners)),
		PendingRequests:   len(c.pendingRequests),
		Err:               c.failure,
	}
	status.FirstIndex, _ = c.storage.FirstIndex() // MemoryStorage returns no error here
	status.LastIndex, _ = c.storage.LastIndex()
	if c.silent {
		status.UnconfirmedPeers = c.unconfirmedPeers()
		status.Role = roleSilent
	}
	if raftStatus.RaftState == raft.StateLeader {
		status.Match = map[uint64]uint64{}
		for id, progress := range raftStatus.Progress {
			status.Match[id] = progress.Match
			if id != c.config.ID && !progress.IsLearner && progress.RecentActive {
				status.ActiveVoters++
			}
		}
	}
	return status
}
