package client

import (
	"bytes"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// contentOf is a policy's content as version 1.epoch.
func contentOf(t testing.TB, epoch uint64, p *namespace.Policy) policyContent {
	t.Helper()
	tree := treeOf(t, p)
	hash := tree.Root().String()
	return policyContent{rollout.Version{Generation: 1, Epoch: epoch, Hash: hash}, hash, tree}
}

// What an earlier release has kept is installed, and is the base of what comes.
func TestTextOfEarlierReleaseIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dir := newTestServer(t), t.TempDir()
		policy := policyVersion(1000, 3)
		kept := rollout.Version{Generation: 1, Epoch: 3, Hash: policy.Hash()}
		file := newPolicyStore(dir, "p1").textFile
		if err := file.Save(textRecord{kept, policy.Encode()}); err != nil {
			t.Fatal(err)
		}
		server.offered[kept.Hash] = true
		proxy := server.newProxy(dir, nil)
		if proxy.restored != kept {
			t.Fatalf("it begins with %+v", proxy.restored)
		}
		proxy.awaitOffer(t, "the next", server.offerPolicy(1, 4, policyVersion(1000, 4)))
		if n := proxy.chunksAccepted.Load(); n > 100 {
			t.Errorf("%d chunks: what was kept was no base", n)
		}
		proxy.stopAndCheck(t)
		next := server.newProxy(dir, nil)
		if next.restored.Epoch != 4 {
			t.Errorf("the next process begins with %+v", next.restored)
		}
		next.stop()
	})
}

// saveVersions saves so many versions one after another, and returns the last one, the hashes of all, and the bytes
// that were written.
func saveVersions(
	t *testing.T, store *policyStore, versions uint64,
) (last policyContent, hashes map[string]bool, written int64) {
	t.Helper()
	hashes = map[string]bool{}
	size := int64(0)
	for version := uint64(1); version <= versions; version++ {
		last = contentOf(t, version, policyVersion(400, version))
		hashes[last.hash] = true
		if err := store.save(last); err != nil {
			t.Fatal(err)
		}
		before := size
		size = store.journal.Size()
		if size > before {
			written += size - before
		} else {
			written += size
		}
		if size > int64(2*last.tree.Size()+journalSlackBytes+16<<10) {
			t.Fatalf("%d bytes for %d", size, last.tree.Size())
		}
	}
	return last, hashes, written
}

// In the mean the journal costs what changed, and an older version does not take the place of a newer one.
func TestPolicyStoreAppendsChanges(t *testing.T) {
	const versions = 400
	dir := t.TempDir()
	store := newPolicyStore(dir, "p1")
	last, _, written := saveVersions(t, store, versions)
	if mean := written / versions; mean > int64(last.tree.Size()/10) {
		t.Errorf("%d bytes were written for each change, of %d", mean, last.tree.Size())
	}
	size := store.journal.Size()
	if err := store.save(last); err != nil || store.journal.Size() != size {
		t.Errorf("what is kept was written again: %v", err)
	}
	other := newPolicyStore(dir, "p1") // another process of this name, as at an upgrade
	if content, _, err := other.load(); err != nil || content.offer != last.offer {
		t.Fatal(content.offer, err)
	}
	next := last
	next.offer.Epoch++
	if err := other.save(next); err != nil {
		t.Fatal(err)
	}
	older := policyContent{rollout.Version{Generation: 1, Epoch: versions, Hash: "x"}, "x", last.tree}
	if err := store.save(older); err != nil {
		t.Fatal(err)
	}
	if content, _, err := newPolicyStore(dir, "p1").load(); err != nil || content.offer != next.offer {
		t.Errorf("an older one took the place of a newer: %+v, %v", content.offer, err)
	}
}

// Cut or damaged anywhere, the journal gives what was kept once, or chunks that need not be fetched again.
func TestDamagedPolicyStore(t *testing.T) {
	dir := t.TempDir()
	store := newPolicyStore(dir, "p1")
	_, hashes, _ := saveVersions(t, store, 400)
	intact, err := os.ReadFile(store.journal.Path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		data := bytes.Clone(intact)
		cut := rng.IntN(2) == 0
		if cut {
			data = data[:rng.IntN(len(data))]
		} else {
			data[rng.IntN(len(data))] ^= 1 << rng.IntN(8)
		}
		if err := os.WriteFile(store.journal.Path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		content, chunks, err := newPolicyStore(dir, "p1").load()
		if content.tree != nil && (content.tree.Root().String() != content.hash || !hashes[content.hash]) {
			t.Fatalf("%+v came of damage", content.offer)
		}
		if content.tree == nil && err == nil {
			t.Error("there is nothing, and nobody is told")
		}
		headerIntact := bytes.HasPrefix(data, []byte("lapisspread-pieces 1\n"))
		if !cut && content.tree == nil && headerIntact && len(chunks) < 100 {
			t.Errorf("one flipped bit cost all but %d chunks", len(chunks))
		}
	}
}
