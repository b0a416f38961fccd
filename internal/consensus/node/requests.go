package node

import (
	"context"
	"errors"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
)

// Propose returns the reply to a command once a majority has it on disk and the Machine here has applied it. While
// there is no leader, or this server is silent, it tries again until ctx ends.
//
// NotLeaderError, QueueFullError and CommandTooLargeError say that the command was not taken; NoQuorumError and
// UndecidedError that it may still be carried out; SilentError, and what Status gives as Err, that this server
// takes no part.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	reply, err := n.submit(ctx, func(requestID uint64) error { return n.core.Propose(requestID, command) })
	return reply.Data, err
}

// Barrier returns once the Machine here has applied all that any server had acknowledged when it was called; at the
// leader only. What is read from the Machine after it is linearizable. Errors are as of Propose.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.ReadIndex(ctx)
	return err
}

// ReadIndex is Barrier, and returns the entry up to which the Machine has applied the log.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	reply, err := n.submit(ctx, n.core.ReadIndex)
	return reply.Index, err
}

// submit begins a request and waits for its reply. It begins anew while nobody could have taken it.
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

// isTransient reports whether a request that was not taken may be taken here later: no leader is known, or the
// server is silent.
func isTransient(err error) bool {
	var notLeader consensus.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader == 0 {
		return true
	}
	return errors.As(err, &consensus.SilentError{})
}

func (n *Node) awaitReply(
	ctx context.Context, requestID uint64, waiter <-chan consensus.Reply,
) (consensus.Reply, error) {
	select {
	case reply := <-waiter:
		return reply, reply.Err
	case <-n.raftStopped:
		return consensus.Reply{}, ErrClosed
	case <-ctx.Done():
		_ = n.onRaftLoop(context.Background(), func() { // a closed node has nothing to forget
			n.core.Forget(requestID)
			delete(n.waiters, requestID)
		})
		return consensus.Reply{}, n.timeoutError(ctx, nil)
	}
}

// awaitRetry waits for a tick before a request that was not taken is begun anew.
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

// timeoutError is why a request was not decided before ctx ended. A caller that has gone away says nothing of the
// servers.
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

// AddLearner proposes that a server joins that receives the log and does not vote. Like all changes of membership
// it is for the leader, one at a time, and in force once Status shows it. Errors are as of
// consensus.Core.ProposeConfChange.
func (n *Node) AddLearner(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeAddLearnerNode, id)
}

// Promote proposes that a learner becomes a voter; see AddLearner.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeAddNode, id)
}

// Remove proposes that a server leaves for good: its number must not be used again. See AddLearner.
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
