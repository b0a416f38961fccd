package modelcheck

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"lapisspread/internal/quotalease"
)

// silent reports whether the startup silence of a server is still in effect.
func (c *cluster) silent(s *server) bool { return s.allocator.Silent(s.clockTime(c.now)) }

// majority returns the minimum number of servers that form a quorum.
func (c *cluster) majority() int { return c.settings.Servers/2 + 1 }

// connected reports whether two servers can reach each other.
func (c *cluster) connected(a, b int) bool {
	return !c.cutLinks[[2]int{a, b}] && !c.cutLinks[[2]int{b, a}]
}

// lastEntry returns the term of the last log entry and the length of the log.
func (s *server) lastEntry() (term uint64, length int) {
	length = len(s.log)
	if length > 0 {
		term = s.log[length-1].term
	}
	return term, length
}

// append appends a command to the log of a leader.
func (c *cluster) append(leader *server, command quotalease.Command) {
	data, err := json.Marshal(command)
	if err != nil {
		panic(fmt.Sprintf("cannot encode a command: %v", err)) // commands are plain data
	}
	previous := uint64(0)
	if n := len(leader.log); n > 0 {
		previous = leader.log[n-1].id
	}
	data = binary.AppendUvarint(data, previous)
	data = binary.AppendUvarint(data, leader.term)
	entry := logEntry{term: leader.term, id: xxh3.Hash(data), command: command}
	leader.log = append(leader.log[:len(leader.log):len(leader.log)], entry)
	leader.matchLengths[leader.id] = len(leader.log)
}

// makeLeader makes a server the leader of its term. lastContact is the time, by its clock, at which the other servers
// count as having last confirmed.
func (c *cluster) makeLeader(s *server, lastContact time.Duration) {
	s.leader = true
	s.matchLengths = make([]int, c.settings.Servers)
	s.lastContact = make([]time.Duration, c.settings.Servers)
	for i := range s.lastContact {
		s.lastContact[i] = lastContact
	}
}

// electLeader has a server request votes. Other servers vote for it if its log is at least as up to date as theirs.
// (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014, 5.2 and 5.4; with a pre-vote, so a
// failed election changes no state.) It reports whether the server was elected.
func (c *cluster) electLeader(candidate *server) bool {
	if !candidate.running || candidate.leader || c.silent(candidate) {
		return false
	}
	var votes []*server
	for _, voter := range c.servers {
		if voter != candidate && c.votesFor(voter, candidate) {
			votes = append(votes, voter)
		}
	}
	if len(votes)+1 < c.majority() {
		return false
	}
	candidate.term++
	for _, voter := range votes {
		voter.term = candidate.term
		voter.leader = false
	}
	c.makeLeader(candidate, candidate.clockTime(c.now))
	// Committing an entry of its own term lets the leader commit all entries before it.
	c.append(candidate, quotalease.Command{Batch: []quotalease.Command{}})
	return true
}

// votesFor reports whether voter votes for candidate.
func (c *cluster) votesFor(voter, candidate *server) bool {
	if !voter.running || c.silent(voter) || !c.connected(candidate.id, voter.id) || voter.term > candidate.term {
		return false
	}
	term, length := candidate.lastEntry()
	ownTerm, ownLength := voter.lastEntry()
	return ownTerm < term || ownTerm == term && ownLength <= length
}

// replicate copies the leader's log to a follower and passes the follower's confirmation to the leader. It reports
// whether a message was exchanged.
func (c *cluster) replicate(leader, follower *server) bool {
	if !leader.running || !leader.leader || leader == follower || !follower.running {
		return false
	}
	if c.silent(follower) || !c.connected(leader.id, follower.id) {
		return false
	}
	if follower.term > leader.term {
		leader.term = follower.term
		leader.leader = false
		return true
	}
	follower.term = leader.term
	follower.leader = false
	if follower.truncatedBy(leader) {
		// A store was lost or restored from an older copy: entries that the follower confirmed, and that may have been
		// committed, are no longer in the log. As after a start, the follower confirms nothing until the leases of
		// those entries have expired.
		follower.log = leader.log
		silence := c.startupSilence()
		if c.settings.mutations.NoSilenceAfterTruncation {
			silence = 0
		}
		c.startServer(follower, silence)
		return true
	}
	follower.log = leader.log
	follower.confirmed = len(leader.log)
	leader.matchLengths[follower.id] = len(leader.log)
	leader.lastContact[follower.id] = leader.clockTime(c.now)
	// The follower receives the commit index of this round with the next message.
	follower.commit = max(follower.commit, min(leader.commit, len(follower.log)))
	c.advanceCommit(leader)
	c.applyCommitted(leader)
	c.recordLimit(leader)
	c.applyCommitted(follower)
	return true
}

// truncatedBy reports whether the leader's log lacks an entry that the follower confirmed.
func (s *server) truncatedBy(leader *server) bool {
	n := s.confirmed
	return n > 0 && (len(leader.log) < n || leader.log[n-1].id != s.log[n-1].id)
}

// advanceCommit commits all entries up to the last one that a majority has confirmed, if that one is of the leader's
// term.
func (c *cluster) advanceCommit(leader *server) {
	for n := len(leader.log); n > leader.commit && leader.log[n-1].term == leader.term; n-- {
		confirmations := 0
		for _, matchLength := range leader.matchLengths {
			if matchLength >= n {
				confirmations++
			}
		}
		if confirmations >= c.majority() {
			leader.commit = n
			leader.confirmed = max(leader.confirmed, n)
			return
		}
	}
}

// applyCommitted applies all committed entries to the state machine of a server.
func (c *cluster) applyCommitted(s *server) {
	for s.applied < s.commit {
		command := s.log[s.applied].command
		s.applied++
		if command.SetQuotas != nil && s.leader {
			c.recordLimit(s) // earlier entries granted leases under the previous configuration
		}
		result, _ := s.state.Apply(uint64(s.applied), command) // a rejected command changes nothing
		s.allocator.ObserveApplied(s.clockTime(c.now), result)
		_, version := s.state.Config()
		c.version = max(c.version, version)
	}
}

// stepDownWithoutQuorum has each leader step down if no majority has confirmed it within the maximum lifetime of
// a lease.
func (c *cluster) stepDownWithoutQuorum() {
	for _, s := range c.servers {
		if !s.leader || !s.running {
			continue
		}
		recent := 1
		for i, lastContact := range s.lastContact {
			if i != s.id && s.clockTime(c.now)-lastContact <= c.settings.maxLifetime() {
				recent++
			}
		}
		if recent < c.majority() {
			s.leader = false
		}
	}
}
