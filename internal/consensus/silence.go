package consensus

import (
	"maps"
	"slices"
)

// maxPeerVersions is the maximum number of peers, removed ones included, whose versions a store remembers. The member
// list can't serve as the limit: a member that this server's log does not name yet may already be the leader.
const maxPeerVersions = 256

// beginSilence starts the silence after a start. With truncated, the silence after a truncation had not ended before
// the start, and starts over.
func (c *Core) beginSilence(truncated bool) {
	if c.config.skipStoreChecks {
		return
	}
	c.silent = true
	if truncated && !c.config.skipTruncationSilence {
		c.truncationSilence = true
		c.silenceEnd = c.config.SilenceTicks
	}
	c.queryVersions()
	c.endSilenceIfDue()
}

// beginTruncationSilence starts the silence after a truncation, before any message about the new log is sent.
func (c *Core) beginTruncationSilence() {
	if c.config.skipStoreChecks || c.config.skipTruncationSilence {
		return
	}
	c.silent = true
	c.truncationSilence = true
	c.silenceEnd = c.elapsedTicks + c.config.SilenceTicks
	c.unsavedTruncationSilence = new(true)
}

// endSilenceIfDue ends the silence once its time has passed, or, after a start, once all other voters have
// confirmed the store. After a truncation confirmations don't end it, because they don't cover the truncated entries.
func (c *Core) endSilenceIfDue() {
	if c.truncationSilence {
		if c.config.SilenceTicks == 0 || c.elapsedTicks < c.silenceEnd {
			return
		}
		c.truncationSilence = false
		c.unsavedTruncationSilence = new(false)
	}
	timePassed := c.config.SilenceTicks > 0 && c.elapsedTicks >= c.config.SilenceTicks
	if c.silent && (timePassed || len(c.unconfirmedPeers()) == 0) {
		c.silent = false
	}
}

// otherVoters returns the IDs of all voters except this server, in ascending order.
func (c *Core) otherVoters() []uint64 {
	ids := c.raft.Status().Config.Voters.IDs()
	delete(ids, c.config.ID)
	return slices.Sorted(maps.Keys(ids))
}

// unconfirmedPeers returns the voters that have not yet confirmed that they remember no newer version of the store.
func (c *Core) unconfirmedPeers() []uint64 {
	return slices.DeleteFunc(c.otherVoters(), func(id uint64) bool { return c.confirmedBy[id] })
}

// queryVersions asks the unconfirmed peers which version of this store they remember.
func (c *Core) queryVersions() {
	for _, id := range c.unconfirmedPeers() {
		c.send(Message{To: id, Kind: MessageVersionQuery})
	}
}

// replyVersion sends the sender of a message the version of its store that this server remembers.
func (c *Core) replyVersion(m Message, known StoreVersion) {
	c.send(Message{To: m.From, Kind: MessageVersionReply, KnownVersion: known, QueryNonce: m.SenderVersion.Nonce})
}

// handleVersionReply handles a peer's report of the version of this store that it remembers: it confirms the store, or
// makes the server fail with a StoreRolledBackError.
func (c *Core) handleVersionReply(m Message) error {
	if m.QueryNonce != c.version.Nonce {
		return nil // the reply is to a query of a former start
	}
	if c.version.isBehind(m.KnownVersion) {
		c.Fail(StoreRolledBackError{Witness: m.From, Stored: c.version, Seen: m.KnownVersion})
		return c.failure
	}
	c.confirmedBy[m.From] = true
	c.endSilenceIfDue()
	return nil
}

// observeVersion records the version of the sender's store that a message carries, and reports whether the message is
// to be handled. If not, the message is dropped.
func (c *Core) observeVersion(m Message) bool {
	known, isKnown := c.peerVersions[m.From]
	if !isKnown && len(c.peerVersions) >= maxPeerVersions {
		return false
	}
	sender := m.SenderVersion
	acceptFormer := c.config.acceptFormerIncarnations && sender.StoreID == known.StoreID &&
		sender.Incarnation <= known.Incarnation
	switch {
	case sender.sameIncarnation(known) || acceptFormer:
		if sender.WriteSeq > known.WriteSeq {
			known.WriteSeq = sender.WriteSeq
			c.peerVersions[m.From] = known
			c.dirtyPeers[m.From] = true
		}
		// The sender's version must be on disk before anything that depends on its vote or acknowledgement is sent.
		// Otherwise both servers could lose the record of it.
		if c.dirtyPeers[m.From] && m.acknowledges() && !c.config.deferWitnessWrites {
			c.syncNeeded = true
		}
		return true
	case sender.isBehind(known):
		// A late message of a former start, or a store that was rolled back: the sender is notified, and the message
		// is dropped.
		if m.Kind != MessageVersionReply {
			c.replyVersion(m, known)
		}
		return false
	default:
		// A new start of the sender. Messages of its former starts are dropped from now on, so the new version must
		// be on disk before anything else is sent.
		c.syncNeeded = true
		c.peerVersions[m.From] = sender
		c.dirtyPeers[m.From] = true
		return true
	}
}
