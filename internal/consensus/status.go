package consensus

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
)

// roleSilent stands in Status.Role in place of a role of Raft while the server is silent.
const roleSilent = "StateSilent"

// Status is the state of a server; entries are named by their index.
type Status struct {
	ID uint64
	// Leader is the server that this one takes for the leader; 0 is none.
	Leader uint64
	Term   uint64
	// Commit and Applied are the last entries that are committed and applied here.
	Commit  uint64
	Applied uint64
	// FirstIndex and LastIndex are the log in memory.
	FirstIndex uint64
	LastIndex  uint64
	// Role is the name of the library's state, such as "StateLeader", or "StateSilent".
	Role string
	// UnconfirmedPeers are the voters that have not confirmed the store; set while the server is silent.
	UnconfirmedPeers []uint64
	// TruncationSilence reports whether the server is silent since a truncation of its log.
	TruncationSilence bool
	// Truncations counts the truncations below what was acknowledged, since the start.
	Truncations int
	// Match is, at the leader, the last entry that each member is known to hold.
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

// Status returns the server's state as of the last call of one of Core's methods. It may be called after a failure too.
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
