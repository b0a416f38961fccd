package node

import (
	"context"
	"errors"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
)

// Propose returns the reply to a command once a majority has it on disk and this server's Machine has applied it. While
// there is no leader, or this server is silent, it tries again until ctx ends.
//
// After NotLeaderError, QueueFullError and CommandTooLargeError the command was not accepted; after NoQuorumError,
// UndecidedError, ErrClosed and the cause of a canceled ctx it may still be carried out. SilentError, and the error in
// Status.Err, mean that this server takes no part.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	reply, err := n.submit(ctx, func(requestID uint64) error { return n.core.Propose(requestID, command) })
	return reply.Data, err
}

// Barrier returns once this server's Machine has applied all entries that were committed on any server when it was
// called, so that reads from the Machine after it are linearizable. It works on the leader only. Errors are as for
// Propose.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.ReadIndex(ctx)
	return err
}

// ReadIndex does the same as Barrier, and returns the index up to which the Machine had to apply the log.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	reply, err := n.submit(ctx, n.core.ReadIndex)
	return reply.Index, err
}

// submit begins a request and waits for its reply. It begins the request again, under a new ID, while it is rejected
// for a transient reason (see isTransient).
func (n *Node) submit(ctx context.Context, begin func(requestID uint64) error) (consensus.Reply, error) {
	for {
		requestID := n.lastRequestID.Add(1)
		waiter := make(chan consensus.Reply, 1)
		var beginErr error
		callErr := n.onRaftLoop(ctx, func() {
			if beginErr = begin(requestID); beginErr == nil {
				n.waiters[requestID] = waiter
			}
		})
		switch {
		case errors.Is(callErr, ErrClosed):
			return consensus.Reply{}, callErr
		case callErr != nil:
			return consensus.Reply{}, n.timeoutError(ctx, nil)
		case beginErr == nil:
			return n.awaitReply(ctx, requestID, waiter)
		case !isTransient(beginErr):
			return consensus.Reply{}, beginErr
		}
		if err := n.awaitRetry(ctx, beginErr); err != nil {
			return consensus.Reply{}, err
		}
	}
}

// isTransient reports whether a request that was rejected with err may be accepted by this server later: no leader is
// known, or the server is silent.
func isTransient(err error) bool {
	var notLeader consensus.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader == 0 {
		return true
	}
	return errors.As(err, &consensus.SilentError{})
}

// awaitReply waits for the reply to a request, and forgets the request if ctx ends first.
func (n *Node) awaitReply(
	ctx context.Context, requestID uint64, waiter <-chan consensus.Reply,
) (consensus.Reply, error) {
	select {
	case reply := <-waiter:
		return reply, reply.Err
	case <-n.raftStopped:
		return consensus.Reply{}, ErrClosed
	case <-ctx.Done():
		_ = n.onRaftLoop(context.Background(), func() { // a closed Node has nothing to forget
			n.core.Forget(requestID)
			delete(n.waiters, requestID)
		})
		return consensus.Reply{}, n.timeoutError(ctx, nil)
	}
}

// awaitRetry waits one TickInterval before a request that was rejected with beginErr is begun again. It returns an
// error if ctx ends or the Node is closed before.
func (n *Node) awaitRetry(ctx context.Context, beginErr error) error {
	retry := time.NewTimer(n.config.TickInterval)
	defer retry.Stop()
	select {
	case <-retry.C:
		return nil
	case <-n.raftStopped:
		return ErrClosed
	case <-ctx.Done():
		return n.timeoutError(ctx, beginErr)
	}
}

// timeoutError returns the error of a request that was not decided before ctx ended: the cause of ctx if the caller
// canceled it, which is no fault of the servers, else beginErr if that is a SilentError, else a NoQuorumError.
func (n *Node) timeoutError(ctx context.Context, beginErr error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return context.Cause(ctx)
	}
	if errors.As(beginErr, &consensus.SilentError{}) {
		return beginErr
	}
	status := n.Status()
	return consensus.NoQuorumError{Active: status.ActiveVoters, Needed: len(status.Voters)/2 + 1}
}

// AddLearner proposes to add a server that receives the log and does not vote. All changes of membership work on the
// leader only, one at a time, and are applied once Status shows them. Errors are as for
// consensus.Core.ProposeConfChange, ErrClosed, and the cause of ctx.
func (n *Node) AddLearner(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeAddLearnerNode, id)
}

// Promote proposes to make a learner a voter; see AddLearner.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeAddNode, id)
}

// Remove proposes to remove a server for good: its ID must not be used again. See AddLearner.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeRemoveNode, id)
}

func (n *Node) changeMembership(ctx context.Context, kind pb.ConfChangeType, id uint64) error {
	var proposeErr error
	if err := n.onRaftLoop(ctx, func() { proposeErr = n.core.ProposeConfChange(kind, id) }); err != nil {
		return err
	}
	return proposeErr
}
