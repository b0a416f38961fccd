package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// maxTermRuns bounds the terms with commands that a snapshot names. Older ones are no longer known.
const maxTermRuns = 1024

// termRun is what remains of a term's entries once they are compacted. Term and Nonce together name one leader,
// which writes each entry once; the term alone does not once a store was rolled back. It is part of stored
// snapshots.
type termRun struct {
	_     struct{} `cbor:",toarray"`
	Term  uint64
	Nonce uint64 // of the leader's start
	// LastIndex is the entry of the term's last command.
	LastIndex uint64
}

// chainLink is what digestChain holds of one entry.
type chainLink struct {
	term   uint64
	digest uint64 // of the log up to this entry
	nonce  uint64 // of the start that proposed the command; 0 of an entry without one
}

// digestChain holds a digest of the log up to each entry. Raft takes entries of equal index and term for the same;
// two leaders of one term, which a store that was rolled back makes possible, break that, and the digests show it. A
// digest has 64 bits of xxh3: it finds faults, not attacks. It is computed from the entries, so that only snapshots
// store one.
type digestChain struct {
	runs  []termRun // of the entries up to base
	base  uint64
	links []chainLink // of entry base and those after it
}

func newDigestChain(index, term, digest uint64, runs []termRun) digestChain {
	return digestChain{runs: runs, base: index, links: []chainLink{{term: term, digest: digest}}}
}

func (c *digestChain) lastIndex() uint64 { return c.base + uint64(len(c.links)) - 1 }

// lookup gives an entry's term and the digest of the log up to it. ok is false if the chain doesn't reach there.
func (c *digestChain) lookup(index uint64) (term, digest uint64, ok bool) {
	if index < c.base || index > c.lastIndex() {
		return 0, 0, false
	}
	link := c.links[index-c.base]
	return link.term, link.digest, true
}

// chainDigest is the digest of a log whose last entry is e and whose digest without it is given.
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

// replaceFrom puts entries in the place of those from the first one's index on. It panics if there is a gap before
// them; Core makes a LogConflictError of that.
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

// proposerNonce is the nonce of the start that proposed an entry's command; 0 if the entry has none.
func proposerNonce(e *pb.Entry) uint64 {
	if e.GetType() != pb.EntryNormal {
		return 0
	}
	nonce, _, _, _ := decodeProposal(e.GetData())
	return nonce
}

// runsUpTo are the runs of all entries up to an index.
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

// compactTo drops the entries before an index.
func (c *digestChain) compactTo(index uint64) {
	if index <= c.base || index > c.lastIndex() {
		return
	}
	c.runs = c.runsUpTo(index)
	c.links = slices.Clone(c.links[index-c.base:])
	c.base = index
}

// containsLastRun reports whether the last command of own is among those of runs. It is also true if own has none.
func containsLastRun(runs, own []termRun) bool {
	if len(own) == 0 {
		return true
	}
	last := own[len(own)-1]
	return slices.ContainsFunc(runs, func(r termRun) bool {
		return r.Term == last.Term && r.Nonce == last.Nonce && r.LastIndex >= last.LastIndex
	})
}
