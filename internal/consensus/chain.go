package consensus

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// maxTermRuns bounds how many terms a snapshot names: those with commands. What is older is not known any more.
const maxTermRuns = 1024

// termRun is what is known of a term's entries without them. Term and nonce name one leader, which writes each entry once; a term alone does
// not, once a store was put back.
type termRun struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Nonce     uint64 // of the start of whoever proposed its commands
	LastIndex uint64 // its last command's entry
}

// digestChain holds, for each entry of the log, a digest (xxh3, 64 bits: it finds what went wrong, not who lies) over it and all before it.
// Raft takes entries of one index and one term for the same; two leaders of one term, which a store that was put back makes possible,
// break that, and the digest shows it. It is counted from the entries, so that it costs nothing on disk.
type digestChain struct {
	runs    []termRun // of the entries up to base
	base    uint64
	terms   []uint64 // of entry base and those after it
	digests []uint64
	nonces  []uint64 // of whoever proposed the command; 0 is another entry
}

func newDigestChain(index, term, sum uint64, runs []termRun) digestChain {
	return digestChain{runs, index, []uint64{term}, []uint64{sum}, []uint64{0}}
}

func (c *digestChain) lastIndex() uint64 { return c.base + uint64(len(c.terms)) - 1 }

func (c *digestChain) lookup(index uint64) (term, sum uint64, ok bool) {
	if index < c.base || index > c.lastIndex() {
		return 0, 0, false
	}
	return c.terms[index-c.base], c.digests[index-c.base], true
}

// chainDigest is the digest with one entry more.
func chainDigest(sum uint64, e *pb.Entry) uint64 {
	var h xxh3.Hasher
	var b [32]byte
	for i, n := range [...]uint64{sum, e.GetIndex(), e.GetTerm(), uint64(e.GetType())} {
		binary.BigEndian.PutUint64(b[8*i:], n)
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write(e.GetData())
	return h.Sum64()
}

// replaceFrom takes entries in place of those from the first one's index on.
func (c *digestChain) replaceFrom(entries []*pb.Entry) {
	if len(entries) == 0 {
		return
	}
	from := entries[0].GetIndex()
	_, sum, ok := c.lookup(from - 1)
	if !ok {
		panic(fmt.Sprintf("entry %d follows %d", from, c.lastIndex())) // New, Ready and Step make an error of it
	}
	c.terms, c.digests, c.nonces = c.terms[:from-c.base], c.digests[:from-c.base], c.nonces[:from-c.base]
	for _, e := range entries {
		sum = chainDigest(sum, e)
		nonce := uint64(0)
		if e.GetType() == pb.EntryNormal && len(e.GetData()) >= 16 {
			nonce = binary.BigEndian.Uint64(e.GetData())
		}
		c.terms, c.digests, c.nonces = append(c.terms, e.GetTerm()), append(c.digests, sum), append(c.nonces, nonce)
	}
}

// runsUpTo are those of all entries up to index.
func (c *digestChain) runsUpTo(index uint64) []termRun {
	runs := append([]termRun{}, c.runs...)
	for i := c.base + 1; i <= min(index, c.lastIndex()); i++ {
		term, nonce := c.terms[i-c.base], c.nonces[i-c.base]
		if nonce == 0 {
			continue
		}
		if len(runs) == 0 || runs[len(runs)-1].Term != term {
			runs = append(runs, termRun{Term: term, Nonce: nonce})
		}
		runs[len(runs)-1].LastIndex = i
	}
	return runs[max(0, len(runs)-maxTermRuns):]
}

// compactTo drops what is before index.
func (c *digestChain) compactTo(index uint64) {
	if index > c.base && index <= c.lastIndex() {
		c.runs = c.runsUpTo(index)
		c.terms, c.digests = append([]uint64{}, c.terms[index-c.base:]...), append([]uint64{}, c.digests[index-c.base:]...)
		c.nonces, c.base = append([]uint64{}, c.nonces[index-c.base:]...), index
	}
}

// snapshotEnvelope is what a snapshot's data is wrapped in.
type snapshotEnvelope struct {
	_      struct{}  `cbor:",toarray"`
	Digest uint64    // at its last entry
	Runs   []termRun // of all before
	Data   []byte    // of Machine.Snapshot
}

// decodeSnapshot gives the chain that begins at a snapshot, and the Machine's part of it; none is that of a fleet's founding.
func decodeSnapshot(snap *pb.Snapshot) (c digestChain, data []byte, err error) {
	index, term := snap.GetMetadata().GetIndex(), snap.GetMetadata().GetTerm()
	var v snapshotEnvelope
	if len(snap.GetData()) > 0 {
		if err := cbor.Unmarshal(snap.GetData(), &v); err != nil {
			return c, nil, fmt.Errorf("consensus: the snapshot of entry %d: %w", index, err)
		}
	}
	return newDigestChain(index, term, v.Digest, v.Runs), v.Data, nil
}

// containsLastRun tells whether the last command of own is among those of runs. What they don't reach back to is not known.
func containsLastRun(runs, own []termRun) bool {
	if len(own) == 0 {
		return true
	}
	last := own[len(own)-1]
	for _, r := range runs {
		if r.Term == last.Term && r.Nonce == last.Nonce && r.LastIndex >= last.LastIndex {
			return true
		}
	}
	return false
}
