package client

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
)

// A proxy fetches only the chunks that differ from its installed policy. This also holds for a proxy that missed many
// versions, and for one whose stored policy no server has any more.
func TestOnlyChangedChunksAreFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dir := newTestServer(t), t.TempDir()
		proxy := server.newProxy(dir, nil)
		version := uint64(1)
		offerNext := func() rollout.Version {
			version++
			return server.offerPolicy(1, version, policyVersion(1000, version))
		}
		proxy.awaitOffer(t, "the first version, of which all chunks are fetched", offerNext())
		totalChunks := proxy.chunksAccepted.Load()
		for range 5 {
			chunksBefore := proxy.chunksAccepted.Load()
			var bytesBefore, bytesAfter int
			server.withLock(func() { bytesBefore = server.replyBytes })
			proxy.awaitOffer(t, "a version with one changed route", offerNext())
			if n := proxy.chunksAccepted.Load() - chunksBefore; n == 0 || n > 8 {
				t.Errorf("chunks fetched for one changed route: %d of %d, want 1 to 8", n, totalChunks)
			}
			server.withLock(func() { bytesAfter = server.replyBytes })
			if n := bytesAfter - bytesBefore; n > 16<<10 {
				t.Errorf("reply bytes for one changed route: %d, want at most %d", n, 16<<10)
			}
		}
		if n := proxy.diffs.Load(); n != 5 {
			t.Errorf("policies built from the previous one after 5 changes: %d, want 5", n)
		}
		chunksBefore := proxy.chunksAccepted.Load()
		server.withLock(func() { server.down = true })
		for range 20 {
			offerNext()
		}
		last := offerNext()
		server.withLock(func() { server.down = false })
		proxy.awaitOffer(t, "the last of 21 versions offered while the server was down", last)
		if n := proxy.chunksAccepted.Load() - chunksBefore; n > totalChunks/2 {
			t.Errorf("chunks fetched for 21 missed versions: %d of %d, want at most %d", n, totalChunks, totalChunks/2)
		}
		proxy.stop()
		for range 3 {
			offerNext()
		}
		server.forgetTrees()
		last = offerNext()
		next := server.newProxy(dir, nil)
		if next.restored.Epoch == 0 {
			t.Errorf("version restored after a restart: %+v, want the stored one", next.restored)
		}
		next.awaitOffer(t, "the newest version after a restart", last)
		if n := next.chunksAccepted.Load(); n > totalChunks/4 || next.diffs.Load() != 1 {
			t.Errorf("update from a stored policy that no server has: %d of %d chunks, %d policies built by diff; "+
				"want at most %d chunks and 1 policy", n, totalChunks, next.diffs.Load(), totalChunks/4)
		}
		next.stopAndCheck(t)
		proxy.checkViolations(t)
	})
}

// replyChunks returns a pointer to the chunks of a reply; nil for a reply without chunks.
func replyChunks(reply any) *[][]byte {
	switch reply := reply.(type) {
	case *api.PolicyReply:
		return &reply.Chunks
	case *api.ChunksReply:
		return &reply.Chunks
	}
	return nil
}

// damageRandomChunk flips a bit of a random chunk of a reply, truncates it, drops it with all later chunks, or replaces
// it by one that is too long.
func damageRandomChunk(rng *rand.Rand, chunks *[][]byte) {
	*chunks = slices.Clone(*chunks)
	at := rng.IntN(len(*chunks))
	chunk := (*chunks)[at]
	switch rng.IntN(4) {
	case 0:
		damaged := bytes.Clone(chunk)
		damaged[rng.IntN(len(damaged))] ^= 1 << rng.IntN(8)
		(*chunks)[at] = damaged
	case 1:
		(*chunks)[at] = chunk[:len(chunk)-1]
	case 2:
		*chunks = (*chunks)[:at]
	case 3:
		(*chunks)[at] = make([]byte, merkle.MaxChunkBytes+1)
	}
}

// Chunks that are damaged in transit are rejected and fetched again. After a truncated reply, the
// missing chunks are fetched too.
func TestDamagedChunkIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		rng := rand.New(rand.NewPCG(1, 2))
		server.alter = func(_ *http.Request, reply any) {
			chunks := replyChunks(reply)
			if len(*chunks) > 0 && rng.IntN(2) > 0 {
				damageRandomChunk(rng, chunks)
			}
		}
		proxy := server.newProxy(t.TempDir(), nil)
		proxy.awaitOffer(t, "the first version", server.offerPolicy(1, 1, policyVersion(300, 1)))
		for version := uint64(2); version < 12; version++ {
			proxy.awaitOffer(t, "a later version", server.offerPolicy(1, version, policyVersion(300, version)))
		}
		if proxy.PolicyStatus().ChunksRejected == 0 {
			t.Error("PolicyStatus().ChunksRejected = 0, want above 0: otherwise no chunk was damaged")
		}
		proxy.stopAndCheck(t)
	})
}

// On a link so slow that fetching a version takes longer than the time between two versions, chunks fetched for one
// version are used for the next. Reports continue meanwhile.
func TestSlowLinks(t *testing.T) {
	const bytesPerSecond = 20 << 10
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		server.delay = func(_ string, bytes int) time.Duration {
			return 300*time.Millisecond + time.Duration(bytes)*time.Second/bytesPerSecond
		}
		proxy := server.newProxy("", nil)
		version := uint64(1)
		for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); version++ {
			server.offerPolicy(1, version, policyVersion(1000, version))
			time.Sleep(5 * time.Second)
		}
		if proxy.installed.Load() == 0 {
			t.Errorf("policies installed in 2m with a new version every 5s: 0 (%d chunks fetched), want at least 1",
				proxy.chunksAccepted.Load())
		}
		proxy.awaitOffer(t, "the last version", server.offerPolicy(1, version, policyVersion(1000, version)))
		proxy.stopAndCheck(t)
		for i := 1; i < len(server.reports); i++ {
			gap := server.reports[i].Sub(server.reports[i-1])
			if gap > rollout.DefaultSettings().SilenceTimeout {
				t.Errorf("time between reports %d and %d: %v, want at most the silence timeout %v",
					i-1, i, gap, rollout.DefaultSettings().SilenceTimeout)
			}
		}
	})
}

// A proxy does not request chunks from a server before the retry time that the server gave, and keeps reporting.
func TestRetryAfterIsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		retryAt := map[string]time.Time{} // by host
		tooEarly, deferred := 0, 0
		server.alter = func(r *http.Request, reply any) {
			chunks, ok := reply.(*api.ChunksReply)
			if !ok || deferred >= 12 {
				return
			}
			if time.Now().Before(retryAt[r.URL.Host]) {
				tooEarly++
			}
			deferred++
			*chunks = api.ChunksReply{RetryAfterNanos: int64(3 * time.Second)}
			retryAt[r.URL.Host] = time.Now().Add(3 * time.Second)
		}
		proxy := server.newProxy("", nil)
		proxy.awaitOffer(t, "the first version", server.offerPolicy(1, 1, policyVersion(300, 1)))
		proxy.stopAndCheck(t)
		if tooEarly > 0 || deferred < 12 {
			t.Errorf("chunk requests before the retry time: %d, deferred requests: %d; want 0 and at least 12",
				tooEarly, deferred)
		}
		if n := len(server.reports); n < 8 {
			t.Errorf("reports sent while chunk requests were deferred: %d, want at least 8", n)
		}
	})
}

// An offer whose content is not a policy or whose hash is invalid is rejected, and its content is not fetched
// repeatedly. The next valid version is installed.
func TestUnreadablePolicyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		proxy := server.newProxy(t.TempDir(), nil)
		first := server.offerPolicy(1, 1, policyVersion(300, 1))
		proxy.awaitOffer(t, "the first version", first)
		unreadable, err := proxy.Current().Tree.With([]merkle.Item{{Key: "route a/r00001", Value: []byte("{}")}}, nil)
		if err != nil {
			t.Fatalf("building a tree with an empty route: Tree.With() = error %v, want nil", err)
		}
		server.currentDistributor().Retain([]*merkle.Tree{unreadable})
		server.withLock(func() {
			server.offer = rollout.Version{Generation: 1, Epoch: 2, Hash: unreadable.Root().String()}
		})
		before := proxy.chunksAccepted.Load()
		time.Sleep(time.Minute)
		if offer := proxy.Current().Offer; offer != first {
			t.Fatalf("installed version after an unreadable offer: %+v, want the previous version %+v", offer, first)
		}
		if n := proxy.chunksAccepted.Load() - before; n == 0 || n > 40 {
			t.Errorf("chunks fetched in 1m for an unreadable offer: %d, want 1 to 40", n)
		}
		if status := proxy.PolicyStatus(); len(status.Faults) == 0 || status.Faults[0].Advice == "" {
			t.Errorf("PolicyStatus().Faults after an unreadable offer = %+v, want a fault with advice", status.Faults)
		}
		server.withLock(func() { server.offer = rollout.Version{Generation: 1, Epoch: 3, Hash: "no root"} })
		time.Sleep(10 * time.Second)
		proxy.awaitOffer(t, "a valid version after invalid offers", server.offerPolicy(1, 4, policyVersion(300, 4)))
		proxy.stopAndCheck(t)
	})
}

// A proxy accepts a policy as one text from a server of an earlier release and as chunks from a newer server, in any
// order of their leadership. A version of a new bootstrap supersedes every installed version.
func TestMixedServerReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dir := newTestServer(t), t.TempDir()
		proxy := server.newProxy(dir, nil)
		for version := uint64(1); version <= 8; version++ {
			server.withLock(func() { server.textOnly = version%4 >= 2 })
			proxy.awaitOffer(t, "a version as text or chunks",
				server.offerPolicy(1, version, policyVersion(200, version)))
		}
		server.withLock(func() { server.textOnly = true })
		last := server.offerPolicy(1, 9, policyVersion(200, 9))
		proxy.awaitOffer(t, "a version as text", last)
		proxy.stop()
		next := server.newProxy(dir, nil)
		if next.restored != last {
			t.Errorf("version restored after a restart: %+v, want %+v", next.restored, last)
		}
		server.withLock(func() { server.textOnly = false })
		next.awaitOffer(t, "the first version of a new bootstrap", server.offerPolicy(1<<32, 1, policyVersion(200, 3)))
		next.awaitOffer(t, "the second version of a new bootstrap", server.offerPolicy(1<<32, 2, policyVersion(200, 4)))
		next.stopAndCheck(t)
		proxy.checkViolations(t)
	})
}
