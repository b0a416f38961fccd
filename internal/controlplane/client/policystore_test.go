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

// buildContent returns a policy's content as a version of generation 1 and the given epoch.
func buildContent(t testing.TB, epoch uint64, p *namespace.Policy) policyContent {
	t.Helper()
	tree := buildTree(t, p)
	hash := tree.Root().String()
	return policyContent{rollout.Version{Generation: 1, Epoch: epoch, Hash: hash}, hash, tree}
}

// A policy text stored by an earlier release is restored, and later versions are fetched as changes of it.
func TestTextOfEarlierReleaseIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dir := newTestServer(t), t.TempDir()
		policy := policyVersion(1000, 3)
		stored := rollout.Version{Generation: 1, Epoch: 3, Hash: policy.Hash()}
		file := newPolicyStore(dir, "p1").textFile
		if err := file.Save(textRecord{stored, policy.Encode()}); err != nil {
			t.Fatalf("saving the policy text of an earlier release: %v", err)
		}
		server.offered[stored.Hash] = true
		proxy := server.newProxy(dir, nil)
		if proxy.restored != stored {
			t.Fatalf("version restored from the text: %+v, want %+v", proxy.restored, stored)
		}
		proxy.awaitOffer(t, "the version after the restored one", server.offerPolicy(1, 4, policyVersion(1000, 4)))
		if n := proxy.chunksAccepted.Load(); n > 100 {
			t.Errorf("chunks fetched for one change of the restored policy: %d, want at most 100", n)
		}
		proxy.stopAndCheck(t)
		next := server.newProxy(dir, nil)
		if next.restored.Epoch != 4 {
			t.Errorf("version restored after a restart: %+v, want epoch 4", next.restored)
		}
		next.stop()
	})
}

// saveVersions saves the given number of versions in turn. It returns the last version's content, the hashes of all
// versions and the number of bytes written. It fails the test if the journal exceeds its size limit.
func saveVersions(
	t *testing.T, store *policyStore, versions uint64,
) (last policyContent, hashes map[string]bool, written int64) {
	t.Helper()
	hashes = map[string]bool{}
	size := int64(0)
	for version := uint64(1); version <= versions; version++ {
		last = buildContent(t, version, policyVersion(400, version))
		hashes[last.hash] = true
		if err := store.save(last); err != nil {
			t.Fatalf("save(version %d) = %v, want nil", version, err)
		}
		before := size
		size = store.journal.Size()
		if size > before {
			written += size - before
		} else {
			written += size
		}
		if size > int64(2*last.tree.Size()+journalSlackBytes+16<<10) {
			t.Fatalf("journal after save(version %d): %d bytes, want at most %d for a policy of %d bytes",
				version, size, 2*last.tree.Size()+journalSlackBytes+16<<10, last.tree.Size())
		}
	}
	return last, hashes, written
}

// On average a save writes about as many bytes as changed. An older version does not overwrite a newer one.
func TestPolicyStoreAppendsChanges(t *testing.T) {
	const versions = 400
	dir := t.TempDir()
	store := newPolicyStore(dir, "p1")
	last, _, written := saveVersions(t, store, versions)
	if mean := written / versions; mean > int64(last.tree.Size()/10) {
		t.Errorf("mean bytes written per change: %d, want at most a tenth of the policy's %d", mean, last.tree.Size())
	}
	size := store.journal.Size()
	if err := store.save(last); err != nil || store.journal.Size() != size {
		t.Errorf("save of the stored version again = %v, journal %d bytes; want nil and %d bytes as before",
			err, store.journal.Size(), size)
	}
	other := newPolicyStore(dir, "p1") // another process with the same proxy name, as during an upgrade
	if content, _, err := other.load(); err != nil || content.offer != last.offer {
		t.Fatalf("load() by another process = version %+v, error %v; want %+v, nil", content.offer, err, last.offer)
	}
	next := last
	next.offer.Epoch++
	if err := other.save(next); err != nil {
		t.Fatalf("save(newer version) by another process = %v, want nil", err)
	}
	older := policyContent{rollout.Version{Generation: 1, Epoch: versions, Hash: "x"}, "x", last.tree}
	if err := store.save(older); err != nil {
		t.Fatalf("save(older version) after another process saved a newer one = %v, want nil", err)
	}
	if content, _, err := newPolicyStore(dir, "p1").load(); err != nil || content.offer != next.offer {
		t.Errorf("load() after saving a newer and then an older version = %+v, error %v; want %+v, nil",
			content.offer, err, next.offer)
	}
}

// A journal that is truncated or damaged anywhere yields a policy that was saved, or chunks that need not be fetched
// again.
func TestDamagedPolicyStore(t *testing.T) {
	dir := t.TempDir()
	store := newPolicyStore(dir, "p1")
	_, hashes, _ := saveVersions(t, store, 400)
	intact, err := os.ReadFile(store.journal.Path)
	if err != nil {
		t.Fatalf("reading the intact journal: %v", err)
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
			t.Fatalf("writing the damaged journal: %v", err)
		}
		content, chunks, err := newPolicyStore(dir, "p1").load()
		if content.tree != nil && (content.tree.Root().String() != content.hash || !hashes[content.hash]) {
			t.Fatalf("load() of a damaged journal = version %+v with root %s, want the content of a saved version",
				content.offer, content.tree.Root())
		}
		if content.tree == nil && err == nil {
			t.Error("load() of a damaged journal = no policy and no error, want a policy or an error")
		}
		headerIntact := bytes.HasPrefix(data, []byte("lapisspread-pieces 1\n"))
		if !cut && content.tree == nil && headerIntact && len(chunks) < 100 {
			t.Errorf("load() of a journal with one flipped bit = no policy and %d chunks, want at least 100 chunks",
				len(chunks))
		}
	}
}
