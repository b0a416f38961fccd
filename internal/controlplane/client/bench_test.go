package client

import (
	"fmt"
	"testing"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
)

// acceptAll is an install function that accepts every policy.
func acceptAll(*InstalledPolicy) error { return nil }

// missingChunks returns the chunks of tree that are not in base.
func missingChunks(tree, base *merkle.Tree) (chunks [][]byte) {
	for _, chunk := range tree.ChunksNotIn(base) {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// BenchmarkInstall measures a proxy's update by one changed route: assembling the chunks of a reply, installing the
// policy and saving it. It excludes building the routing tables from the policy.
func BenchmarkInstall(b *testing.B) {
	for _, routes := range []int{1000, 4000, 13000, 26000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) { benchmarkInstall(b, routes) })
	}
}

// benchmarkInstall installs two policies that differ in one route alternately.
func benchmarkInstall(b *testing.B, routes int) {
	c := NewPolicyClient(testConfig(b.TempDir()), acceptAll)
	f := newFetcher(c)
	contents := [2]policyContent{
		buildContent(b, 1, policyVersion(routes, 2)),
		buildContent(b, 1, policyVersion(routes, 3)),
	}
	chunks := [2][][]byte{
		missingChunks(contents[0].tree, contents[1].tree),
		missingChunks(contents[1].tree, contents[0].tree),
	}
	epoch := uint64(1)
	if err := c.installContent(contents[0], always); err != nil {
		b.Fatalf("installContent(first policy) = %v, want nil", err)
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
			b.Fatalf("handleOffer(%+v) = %v, installed %+v, by a diff: %v; want nil, the offered version and true",
				target, err, current.Offer, current.Diff != nil)
		}
	}
}

// BenchmarkRestore measures installing the stored policy when a process starts.
func BenchmarkRestore(b *testing.B) {
	for _, routes := range []int{1000, 13000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			dir := b.TempDir()
			if err := newPolicyStore(dir, "p1").save(buildContent(b, 1, policyVersion(routes, 2))); err != nil {
				b.Fatalf("saving the policy to restore: save() = %v, want nil", err)
			}
			for b.Loop() {
				c := NewPolicyClient(testConfig(dir), acceptAll)
				c.Restore()
				if c.Current().Offer.Epoch != 1 {
					b.Fatalf("Restore() installed epoch %d, want 1", c.Current().Offer.Epoch)
				}
			}
		})
	}
}
