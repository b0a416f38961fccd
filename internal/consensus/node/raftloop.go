package node

import (
	"context"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
)

// runStore writes the batches of writeQueue to the store until the Node is closed.
func (n *Node) runStore() {
	for {
		select {
		case ready := <-n.writeQueue:
			err := n.store.Write(&ready.Batch)
			if ready.Batch.Sync {
				n.metrics.syncedWrites.Add(1)
			}
			n.writeResults <- err // does not block: only one batch is in progress
		case <-n.ctx.Done():
			return
		}
	}
}

// runRaft is the goroutine that owns the Core: it passes ticks, messages and calls to it, and runs its rounds.
func (n *Node) runRaft() {
	defer close(n.raftStopped)
	ticker := time.NewTicker(n.config.TickInterval)
	defer ticker.Stop()
	var writing *consensus.Ready
	for {
		if ready, ok := n.core.Ready(); ok {
			writing = ready
			n.writeQueue <- ready // does not block: only one batch is in progress
		}
		select {
		case <-ticker.C:
			_ = n.core.Tick() // Status reports the error
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

// step passes a received message to the Core. A message that is rejected is only counted.
func (n *Node) step(m consensus.Message) {
	if err := n.core.Step(m); err != nil {
		n.metrics.rejected.Add(1)
	}
}

// finishRound advances a round whose batch was written, sends its messages and delivers its replies. After a failed
// write the Core fails, and only replies are left.
func (n *Node) finishRound(ready *consensus.Ready, writeErr error) {
	if writeErr != nil {
		// The contents of the disk are unknown, so no message may be sent from now on.
		n.core.Fail(writeErr)
	}
	outbound, _ := n.core.Advance(ready) // Status reports the error
	for _, m := range outbound.Messages {
		n.send(m)
	}
	for _, reply := range outbound.Replies {
		if waiter := n.waiters[reply.RequestID]; waiter != nil {
			delete(n.waiters, reply.RequestID)
			waiter <- reply // does not block: the channel has room for the only reply
		}
	}
}

// send queues a message for its peer. If the queue is full or the peer has no address, it drops the message and reports
// that to the Core.
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

// onRaftLoop runs f on the goroutine that owns the Core, and waits until it has returned. It returns ErrClosed if the
// Node is closed before, or the cause of ctx if ctx ends before the call is queued.
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
