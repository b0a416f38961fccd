package client

import (
	"fmt"
	"testing"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
)

func acceptAll(*InstalledPolicy) error { return nil }

// missingChunks are those of a tree that one who has another lacks.
func missingChunks(tree, base *merkle.Tree) (chunks [][]byte) {
	for _, chunk := range tree.ChunksNotIn(base) {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// BenchmarkInstall is one changed route at a proxy: the chunks that came with a reply are put together, installed
// and kept. What the process then routes by is not in it.
func BenchmarkInstall(b *testing.B) {
	for _, routes := range []int{1000, 4000, 13000, 26000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) { benchmarkInstall(b, routes) })
	}
}

func benchmarkInstall(b *testing.B, routes int) {
	c := NewPolicyClient(testConfig(b.TempDir()), acceptAll)
	f := newFetcher(c)
	contents := [2]policyContent{
		contentOf(b, 1, policyVersion(routes, 2)),
		contentOf(b, 1, policyVersion(routes, 3)),
	}
	chunks := [2][][]byte{
		missingChunks(contents[0].tree, contents[1].tree),
		missingChunks(contents[1].tree, contents[0].tree),
	}
	epoch := uint64(1)
	if err := c.installContent(contents[0], always); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		epoch++
		i := int(epoch+1) % 2
		target := contents[i].offer
		target.Epoch = epoch
		reply := api.PolicyReply{Fleet: "north", Target: target, Chunked: true, Chunks: chunks[i]}
		err := c.handleOffer(b.Context(), f, reply, always)
		if current := c.Current(); err != nil || current.Offer != target || current.Diff == nil {
			b.Fatalf("%+v: %v", current.Offer, err)
		}
	}
}

// BenchmarkRestore is a start on what the process before has kept.
func BenchmarkRestore(b *testing.B) {
	for _, routes := range []int{1000, 13000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			dir := b.TempDir()
			if err := newPolicyStore(dir, "p1").save(contentOf(b, 1, policyVersion(routes, 2))); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				c := NewPolicyClient(testConfig(dir), acceptAll)
				c.Restore()
				if c.Current().Offer.Epoch != 1 {
					b.Fatal("nothing was kept")
				}
			}
		})
	}
}
