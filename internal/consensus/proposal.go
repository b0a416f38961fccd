package consensus

import (
	"encoding/binary"
	"errors"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Reply is how a command or a read has ended.
type Reply struct {
	RequestID uint64
	// Index is the command's entry, or the entry up to which a read sees the log.
	Index uint64
	// Data is what Machine.Apply returned.
	Data []byte
	// Err is nil if the request was carried out; else UndecidedError, or what Err of the Core returns.
	Err error
}

// requestHeaderBytes is the length of what stands before a command in its entry, and of a read's context: the nonce
// of the server's start and the request's ID.
const requestHeaderBytes = 8 + 8

func encodeProposal(nonce, requestID uint64, command []byte) []byte {
	data := make([]byte, 0, requestHeaderBytes+len(command))
	data = binary.BigEndian.AppendUint64(data, nonce)
	data = binary.BigEndian.AppendUint64(data, requestID)
	return append(data, command...)
}

// decodeProposal splits what encodeProposal made; ok is false for an entry without a command.
func decodeProposal(data []byte) (nonce, requestID uint64, command []byte, ok bool) {
	if len(data) < requestHeaderBytes {
		return 0, 0, nil, false
	}
	return binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:]), data[requestHeaderBytes:], true
}

// checkAccepting returns why no request is taken now, nil if one is: what Err returns, SilentError, NotLeaderError or QueueFullError.
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

// Propose takes a command under a request ID that is not in use. A Reply ends it, unless Forget does. On an error
// the command was not taken: NotLeaderError, SilentError, QueueFullError, CommandTooLargeError, or what Err returns
// too.
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

// ReadIndex takes a read under a request ID that is not in use. Its Reply comes once this server has applied all
// that was committed anywhere when ReadIndex was called, and was still the leader then. Errors are as of Propose.
func (c *Core) ReadIndex(requestID uint64) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	defer c.recoverPanic(&err)
	c.raft.ReadIndex(encodeProposal(c.version.Nonce, requestID, nil))
	c.pendingRequests[requestID] = true
	return nil
}

// Forget drops a request that nobody waits for any more. Its command may still be carried out.
func (c *Core) Forget(requestID uint64) {
	delete(c.pendingRequests, requestID)
}

// ProposeConfChange proposes to add a learner, to promote it (by adding it as a voter) or to remove a member. Only
// one change may be under way; Status shows when it is applied. Errors are as of Propose.
func (c *Core) ProposeConfChange(kind pb.ConfChangeType, id uint64) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	defer c.recoverPanic(&err)
	return c.raft.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: new(id)})
}

// completeRequest ends a request, unless it was ended or forgotten before.
func (c *Core) completeRequest(reply Reply) {
	if !c.pendingRequests[reply.RequestID] {
		return
	}
	c.Forget(reply.RequestID)
	c.replies = append(c.replies, reply)
}
