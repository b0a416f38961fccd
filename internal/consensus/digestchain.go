package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// maxTermRuns is the maximum number of termRuns in a snapshot. Older ones are dropped.
const maxTermRuns = 1024

// termRun is the record of a term's commands that remains after their entries are compacted. Term and Nonce together
// identify one leader, which writes each entry once. The term alone is not enough: after a store was rolled back, a
// term may have two leaders. It is part of stored snapshots.
type termRun struct {
	_     struct{} `cbor:",toarray"`
	Term  uint64
	Nonce uint64 // Config.Nonce of the leader at the time
	// LastIndex is the index of the term's last command.
	LastIndex uint64
}

// chainLink is what digestChain holds about one entry.
type chainLink struct {
	term   uint64
	digest uint64 // of the log up to and including this entry
	nonce  uint64 // Config.Nonce of the server that proposed the command; 0 if the entry has no command
}

// digestChain holds a digest of the log up to each entry. Raft assumes that entries of equal index and term are the
// same. After a store was rolled back, a term may have two leaders, which breaks that assumption; the digests detect
// it. A digest is a 64-bit xxh3 hash: it detects faults, not attacks. Digests are computed from the entries; only
// snapshots store one.
type digestChain struct {
	runs  []termRun   // of the entries up to base
	base  uint64      // index of the entry of links[0]
	links []chainLink // of entry base and those after it
}

func newDigestChain(index, term, digest uint64, runs []termRun) digestChain {
	return digestChain{runs: runs, base: index, links: []chainLink{{term: term, digest: digest}}}
}

func (c *digestChain) lastIndex() uint64 { return c.base + uint64(len(c.links)) - 1 }

// lookup returns an entry's term and the digest of the log up to it. ok is false if the chain does not hold the entry.
func (c *digestChain) lookup(index uint64) (term, digest uint64, ok bool) {
	if index < c.base || index > c.lastIndex() {
		return 0, 0, false
	}
	link := c.links[index-c.base]
	return link.term, link.digest, true
}

// chainDigest returns the digest of a log that ends with e, given the digest of the log before e.
func chainDigest(before uint64, e *pb.Entry) uint64 {
	var header [4 * 8]byte
	for i, n := range [...]uint64{before, e.GetIndex(), e.GetTerm(), uint64(e.GetType())} {
		binary.BigEndian.PutUint64(header[8*i:], n)
	}
	var hash xxh3.Hasher
	_, _ = hash.Write(header[:]) // never fails
	_, _ = hash.Write(e.GetData())
	return hash.Sum64()
}

// replaceFrom replaces all entries from the index of the first given entry on. It panics if there is a gap before the
// first one; Core turns the panic into a LogConflictError.
func (c *digestChain) replaceFrom(entries []*pb.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].GetIndex()
	_, digest, ok := c.lookup(first - 1)
	if !ok {
		panic(fmt.Sprintf("entry %d follows %d", first, c.lastIndex()))
	}
	c.links = c.links[:first-c.base]
	for _, e := range entries {
		digest = chainDigest(digest, e)
		c.links = append(c.links, chainLink{term: e.GetTerm(), digest: digest, nonce: proposerNonce(e)})
	}
}

// proposerNonce returns the Config.Nonce of the server that proposed an entry's command, 0 if the entry has no command.
func proposerNonce(e *pb.Entry) uint64 {
	if e.GetType() != pb.EntryNormal {
		return 0
	}
	nonce, _, _, _ := decodeProposal(e.GetData())
	return nonce
}

// runsUpTo returns the runs of all entries up to and including an index, at most the last maxTermRuns.
func (c *digestChain) runsUpTo(index uint64) []termRun {
	runs := append([]termRun{}, c.runs...) // never nil: snapshots store an empty list as such
	for i := c.base + 1; i <= min(index, c.lastIndex()); i++ {
		link := c.links[i-c.base]
		if link.nonce == 0 {
			continue
		}
		if len(runs) == 0 || runs[len(runs)-1].Term != link.term {
			runs = append(runs, termRun{Term: link.term, Nonce: link.nonce})
		}
		runs[len(runs)-1].LastIndex = i
	}
	return runs[max(0, len(runs)-maxTermRuns):]
}

// compactTo drops the links of the entries before an index, and keeps their runs.
func (c *digestChain) compactTo(index uint64) {
	if index <= c.base || index > c.lastIndex() {
		return
	}
	c.runs = c.runsUpTo(index)
	c.links = slices.Clone(c.links[index-c.base:])
	c.base = index
}

// containsLastRun reports whether the last command of own is also one of runs. It is true if own is empty.
func containsLastRun(runs, own []termRun) bool {
	if len(own) == 0 {
		return true
	}
	last := own[len(own)-1]
	return slices.ContainsFunc(runs, func(r termRun) bool {
		return r.Term == last.Term && r.Nonce == last.Nonce && r.LastIndex >= last.LastIndex
	})
}
