package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// acknowledges reports whether a message grants a vote or acknowledges entries.
func (m Message) acknowledges() bool {
	if m.Kind != MessageRaft || m.Raft.GetReject() {
		return false
	}
	return m.Raft.GetType() == pb.MsgAppResp || m.Raft.GetType() == pb.MsgVoteResp
}

// send puts a message into the outbox. The next Ready adds the sender's version.
func (c *Core) send(m Message) {
	m.Fleet = c.config.Fleet
	m.Epoch = c.config.Epoch
	m.From = c.config.ID
	c.outbox = append(c.outbox, m)
}

// Step handles a message of another server. An error is the reason why the message was dropped: FleetMismatchError,
// SilentError, an error of the Raft library, or the error of Err, after which the server takes no part.
func (c *Core) Step(m Message) (err error) {
	switch {
	case c.failure != nil:
		return c.failure
	case m.Fleet != c.config.Fleet || m.Epoch != c.config.Epoch:
		return FleetMismatchError{m.Fleet, m.Epoch}
	case m.To != c.config.ID || m.From == 0 || m.From == c.config.ID:
		return fmt.Errorf("consensus: server %d received a message from server %d to server %d", c.config.ID, m.From, m.To)
	}
	defer c.recoverPanic(&err)
	if !c.config.skipStoreChecks && !c.observeVersion(m) {
		return nil
	}
	switch m.Kind {
	case MessageVersionQuery:
		c.replyVersion(m, c.peerVersions[m.From])
		return nil
	case MessageVersionReply:
		return c.handleVersionReply(m)
	case MessageRaft:
		return c.stepRaft(m)
	case MessageDigestMismatch:
		return c.handleDigestMismatch(m)
	default:
		return fmt.Errorf("consensus: message of unknown kind %d", m.Kind)
	}
}

// stepRaft passes a message to the Raft library, unless this server is silent or the message contradicts its log.
func (c *Core) stepRaft(m Message) error {
	r := m.Raft
	if r == nil || r.GetFrom() != m.From || r.GetTo() != m.To {
		return errors.New("consensus: the sender or receiver of a message differs from that of the Raft message inside")
	}
	if c.silent {
		return SilentError{c.unconfirmedPeers(), c.truncationSilence}
	}
	switch r.GetType() {
	case pb.MsgVote, pb.MsgPreVote:
		// A server whose store has never held the fleet's members must not vote.
		if len(c.confState.GetVoters()) == 0 {
			return nil
		}
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTransferLeader:
		return fmt.Errorf("consensus: a message of type %v is not accepted from another server", r.GetType())
	}
	if err := c.checkDigests(m); err != nil {
		return err
	}
	err := c.raft.Step(r)
	if errors.Is(err, raft.ErrStepPeerNotFound) || errors.Is(err, raft.ErrProposalDropped) {
		return nil
	}
	return err
}
