package node

import (
	"context"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
)

// runStore writes batches.
func (n *Node) runStore() {
	for {
		select {
		case ready := <-n.writeQueue:
			err := n.store.Write(&ready.Batch)
			if ready.Batch.Sync {
				n.metrics.syncedWrites.Add(1)
			}
			n.writeResults <- err // has room: one batch is under way
		case <-n.ctx.Done():
			return
		}
	}
}

// runRaft owns the Core: it gives it ticks, messages and calls, and drives its rounds.
func (n *Node) runRaft() {
	defer close(n.raftStopped)
	ticker := time.NewTicker(n.config.TickInterval)
	defer ticker.Stop()
	var writing *consensus.Ready
	for {
		if ready, ok := n.core.Ready(); ok {
			writing = ready
			n.writeQueue <- ready // has room: one batch is under way
		}
		select {
		case <-ticker.C:
			_ = n.core.Tick() // the error is in Status
		case m := <-n.inbox:
			n.step(m)
			for range len(n.inbox) {
				n.step(<-n.inbox)
			}
		case call := <-n.raftCalls:
			call()
			for range len(n.raftCalls) {
				(<-n.raftCalls)()
			}
		case err := <-n.writeResults:
			n.finishRound(writing, err)
			writing = nil
		case <-n.ctx.Done():
			n.lastStatus = n.core.Status()
			return
		}
	}
}

func (n *Node) step(m consensus.Message) {
	if err := n.core.Step(m); err != nil {
		n.metrics.rejected.Add(1)
	}
}

// finishRound sends and answers what a round that was written gives.
func (n *Node) finishRound(ready *consensus.Ready, writeErr error) {
	if writeErr != nil {
		// It is not known what is on disk: nothing may go out from here on.
		n.core.Fail(writeErr)
	}
	outbound, _ := n.core.Advance(ready) // the error is in Status
	for _, m := range outbound.Messages {
		n.send(m)
	}
	for _, reply := range outbound.Replies {
		if waiter := n.waiters[reply.RequestID]; waiter != nil {
			delete(n.waiters, reply.RequestID)
			waiter <- reply // has room for one
		}
	}
}

// send queues a message for its peer, or tells the Core that it is lost.
func (n *Node) send(m consensus.Message) {
	if p := n.peers[m.To]; p != nil {
		select {
		case p.queue <- m:
			return
		default:
		}
	}
	n.metrics.dropped.Add(1)
	n.core.ReportUnreachable(m.To)
	if isSnapshot(m) {
		n.core.ReportSnapshot(m.To, false)
	}
}

func isSnapshot(m consensus.Message) bool { return m.Raft.GetType() == pb.MsgSnap }

// onRaftLoop has the goroutine of the Core call f, and waits for it. It returns ErrClosed, or ctx's cause if that
// ends before the call is queued.
func (n *Node) onRaftLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	call := func() {
		f()
		close(done)
	}
	select {
	case n.raftCalls <- call:
	case <-n.raftStopped:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-done:
		return nil
	case <-n.raftStopped:
		return ErrClosed
	}
}
