package consensus

import (
	"maps"
	"slices"
)

// maxPeerVersions bounds the peers, removed ones included, whose versions a store remembers. The member list is no
// bound: a member that this server's log does not name yet may lead already.
const maxPeerVersions = 256

// beginSilence starts the silence after a start. It goes on after a truncation if that one's had not ended.
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

// beginTruncationSilence starts the silence after a truncation, before anything of the new log goes out.
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
// confirmed the store. After a truncation their confirmations don't end it: they say nothing of what was truncated.
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

// otherVoters are all voters but this server.
func (c *Core) otherVoters() []uint64 {
	ids := c.raft.Status().Config.Voters.IDs()
	delete(ids, c.config.ID)
	return slices.Sorted(maps.Keys(ids))
}

// unconfirmedPeers are the voters that have not yet confirmed that they know of no newer version of the store.
func (c *Core) unconfirmedPeers() []uint64 {
	return slices.DeleteFunc(c.otherVoters(), func(id uint64) bool { return c.confirmedBy[id] })
}

// queryVersions asks the unconfirmed peers which version of this store they remember.
func (c *Core) queryVersions() {
	for _, id := range c.unconfirmedPeers() {
		c.send(Message{To: id, Kind: MessageVersionQuery})
	}
}

// replyVersion tells the sender of a message which version of its store this server remembers.
func (c *Core) replyVersion(m Message, known StoreVersion) {
	c.send(Message{To: m.From, Kind: MessageVersionReply, KnownVersion: known, QueryNonce: m.SenderVersion.Nonce})
}

// handleVersionReply takes what a peer remembers of this store.
func (c *Core) handleVersionReply(m Message) error {
	if m.QueryNonce != c.version.Nonce {
		return nil // it answers a former start
	}
	if c.version.isBehind(m.KnownVersion) {
		c.Fail(StoreRolledBackError{Witness: m.From, Stored: c.version, Seen: m.KnownVersion})
		return c.failure
	}
	c.confirmedBy[m.From] = true
	c.endSilenceIfDue()
	return nil
}

// observeVersion remembers the version that a message bears of its sender's store, and reports whether the message
// counts.
func (c *Core) observeVersion(m Message) bool {
	known, isKnown := c.peerVersions[m.From]
	if !isKnown && len(c.peerVersions) >= maxPeerVersions {
		return false
	}
	sender := m.SenderVersion
	formerCounts := c.config.acceptFormerIncarnations && sender.StoreID == known.StoreID &&
		sender.Incarnation <= known.Incarnation
	switch {
	case sender.sameIncarnation(known) || formerCounts:
		if sender.WriteSeq > known.WriteSeq {
			known.WriteSeq = sender.WriteSeq
			c.peerVersions[m.From] = known
			c.dirtyPeers[m.From] = true
		}
		// The sender's version must be on disk before anything that rests on its vote or acknowledgement goes out,
		// else both servers could forget it.
		if c.dirtyPeers[m.From] && m.acknowledges() && !c.config.deferWitnessWrites {
			c.syncNeeded = true
		}
		return true
	case sender.isBehind(known):
		// A late message of a former start, or a store that was rolled back: the sender is told, and the message
		// dropped.
		if m.Kind != MessageVersionReply {
			c.replyVersion(m, known)
		}
		return false
	default:
		// A new start. No message of a former one counts from here on, so that it must be on disk first.
		c.syncNeeded = true
		c.peerVersions[m.From] = sender
		c.dirtyPeers[m.From] = true
		return true
	}
}
