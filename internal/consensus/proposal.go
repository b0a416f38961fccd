package consensus

import (
	"encoding/binary"
	"errors"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Reply is the result of a command or a read.
type Reply struct {
	// RequestID is the ID that was passed to Propose or ReadIndex.
	RequestID uint64
	// Index is the index of the command's entry, or the applied index at which a read may be served.
	Index uint64
	// Data is the result of Machine.Apply for a command.
	Data []byte
	// Err is nil if the request was carried out, else an UndecidedError or the error of Core.Err.
	Err error
}

// requestHeaderBytes is the length of the header before a command in its entry, and of the context of a read. It holds
// the nonce of the server's start and the ID of the request.
const requestHeaderBytes = 8 + 8

func encodeProposal(nonce, requestID uint64, command []byte) []byte {
	data := make([]byte, 0, requestHeaderBytes+len(command))
	data = binary.BigEndian.AppendUint64(data, nonce)
	data = binary.BigEndian.AppendUint64(data, requestID)
	return append(data, command...)
}

// decodeProposal splits the result of encodeProposal. ok is false for an entry without a command.
func decodeProposal(data []byte) (nonce, requestID uint64, command []byte, ok bool) {
	if len(data) < requestHeaderBytes {
		return 0, 0, nil, false
	}
	return binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:]), data[requestHeaderBytes:], true
}

// checkAccepting returns nil if a request can be accepted, else the reason: the error of Err, SilentError,
// NotLeaderError or QueueFullError.
func (c *Core) checkAccepting() error {
	if c.failure != nil {
		return c.failure
	}
	if c.silent {
		return SilentError{c.unconfirmedPeers(), c.truncationSilence}
	}
	if status := c.raft.BasicStatus(); status.RaftState != raft.StateLeader {
		return NotLeaderError{status.Lead}
	}
	if len(c.pendingRequests) >= c.config.MaxPendingRequests {
		return QueueFullError{c.config.MaxPendingRequests}
	}
	return nil
}

// Propose starts to replicate a command under a request ID that no pending request has. A later Outbound holds its
// Reply, unless Forget is called for it. An error means that the command was not accepted: NotLeaderError,
// SilentError, QueueFullError, CommandTooLargeError, or the error of Err.
func (c *Core) Propose(requestID uint64, command []byte) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	if len(command) > c.config.MaxCommandBytes {
		return CommandTooLargeError{len(command), c.config.MaxCommandBytes}
	}
	defer c.recoverPanic(&err)
	err = c.raft.Propose(encodeProposal(c.version.Nonce, requestID, command))
	if errors.Is(err, raft.ErrProposalDropped) {
		return QueueFullError{len(c.pendingRequests)}
	}
	if err != nil {
		return err
	}
	c.pendingRequests[requestID] = true
	return nil
}

// ReadIndex starts a linearizable read under a request ID that no pending request has. Its Reply comes once a majority
// has confirmed that this server was still the leader, and this server has applied all entries that were committed on
// any server when ReadIndex was called. Errors are as for Propose.
func (c *Core) ReadIndex(requestID uint64) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	defer c.recoverPanic(&err)
	c.raft.ReadIndex(encodeProposal(c.version.Nonce, requestID, nil))
	c.pendingRequests[requestID] = true
	return nil
}

// Forget drops a request whose caller no longer waits. Its command may still be carried out.
func (c *Core) Forget(requestID uint64) {
	delete(c.pendingRequests, requestID)
}

// ProposeConfChange proposes to add a learner, to promote it (by adding it as a voter) or to remove a member. Only
// one change may be in progress; it is applied once Status shows it. Errors are as for Propose.
func (c *Core) ProposeConfChange(kind pb.ConfChangeType, id uint64) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	defer c.recoverPanic(&err)
	return c.raft.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: new(id)})
}

// completeRequest adds the reply to a pending request, which is pending no longer. Replies to other requests are
// dropped.
func (c *Core) completeRequest(reply Reply) {
	if !c.pendingRequests[reply.RequestID] {
		return
	}
	c.Forget(reply.RequestID)
	c.replies = append(c.replies, reply)
}
