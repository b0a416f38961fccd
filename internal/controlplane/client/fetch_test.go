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

// A change costs what changed, also for a proxy that missed many versions, or whose kept policy no server knows any
// more.
func TestOnlyChangedChunksAreFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dir := newTestServer(t), t.TempDir()
		proxy := server.newProxy(dir, nil)
		version := uint64(1)
		offerNext := func() rollout.Version {
			version++
			return server.offerPolicy(1, version, policyVersion(1000, version))
		}
		proxy.awaitOffer(t, "the first, whole", offerNext())
		whole := proxy.chunksAccepted.Load()
		for range 5 {
			chunksBefore := proxy.chunksAccepted.Load()
			var bytesBefore, bytesAfter int
			server.locked(func() { bytesBefore = server.replyBytes })
			proxy.awaitOffer(t, "a change", offerNext())
			if n := proxy.chunksAccepted.Load() - chunksBefore; n == 0 || n > 8 {
				t.Errorf("a changed route took %d chunks; all are %d", n, whole)
			}
			server.locked(func() { bytesAfter = server.replyBytes })
			if n := bytesAfter - bytesBefore; n > 16<<10 {
				t.Errorf("a changed route took %d bytes", n)
			}
		}
		if n := proxy.diffs.Load(); n != 5 {
			t.Errorf("%d of 5 changes were made of what was there", n)
		}
		chunksBefore := proxy.chunksAccepted.Load()
		server.locked(func() { server.down = true })
		for range 20 {
			offerNext()
		}
		last := offerNext()
		server.locked(func() { server.down = false })
		proxy.awaitOffer(t, "the last of 21 changes", last)
		if n := proxy.chunksAccepted.Load() - chunksBefore; n > whole/2 {
			t.Errorf("21 changes took %d chunks; all are %d", n, whole)
		}
		proxy.stop()
		for range 3 {
			offerNext()
		}
		server.forgetTrees()
		last = offerNext()
		next := server.newProxy(dir, nil)
		if next.restored.Epoch == 0 {
			t.Error("nothing was kept")
		}
		next.awaitOffer(t, "what is offered now", last)
		if n := next.chunksAccepted.Load(); n > whole/4 || next.diffs.Load() != 1 {
			t.Errorf("a kept policy that no server knows was no base: %d chunks; all are %d", n, whole)
		}
		next.stopAndCheck(t)
		proxy.checkViolations(t)
	})
}

// chunksOf are the chunks that a reply carries.
func chunksOf(reply any) *[][]byte {
	switch reply := reply.(type) {
	case *api.PolicyReply:
		return &reply.Chunks
	case *api.ChunksReply:
		return &reply.Chunks
	}
	return nil
}

// damageOne damages, cuts, drops or replaces one chunk of a reply.
func damageOne(rng *rand.Rand, chunks *[][]byte) {
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

// Chunks that are damaged on their way are rejected and fetched again, and replies that are cut change nothing.
func TestDamagedChunkIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		rng := rand.New(rand.NewPCG(1, 2))
		server.alter = func(_ *http.Request, reply any) {
			chunks := chunksOf(reply)
			if len(*chunks) > 0 && rng.IntN(2) > 0 {
				damageOne(rng, chunks)
			}
		}
		proxy := server.newProxy(t.TempDir(), nil)
		proxy.awaitOffer(t, "the first", server.offerPolicy(1, 1, policyVersion(300, 1)))
		for version := uint64(2); version < 12; version++ {
			proxy.awaitOffer(t, "a change", server.offerPolicy(1, version, policyVersion(300, version)))
		}
		if proxy.PolicyStatus().ChunksRejected == 0 {
			t.Error("nothing was damaged: it proves nothing")
		}
		proxy.stopAndCheck(t)
	})
}

// Over a link on which a reply takes longer than there is between two changes, what came for one version serves the
// next, and reports go on.
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
			t.Errorf("nothing got through while it changed: %d chunks", proxy.chunksAccepted.Load())
		}
		proxy.awaitOffer(t, "the last", server.offerPolicy(1, version, policyVersion(1000, version)))
		proxy.stopAndCheck(t)
		for i := 1; i < len(server.reports); i++ {
			gap := server.reports[i].Sub(server.reports[i-1])
			if gap > rollout.DefaultSettings().SilenceTimeout {
				t.Errorf("no report for %v", gap)
			}
		}
	})
}

// A proxy that is told to retry later does, not before, and goes on reporting.
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
		proxy.awaitOffer(t, "the first", server.offerPolicy(1, 1, policyVersion(300, 1)))
		proxy.stopAndCheck(t)
		if tooEarly > 0 || deferred < 12 {
			t.Errorf("it came back %d times too early, told %d times", tooEarly, deferred)
		}
		if n := len(server.reports); n < 8 {
			t.Errorf("%d reports meanwhile", n)
		}
	})
}

// What the servers offer that is no policy, or that has no valid hash, is rejected without being fetched again and
// again; the next version is installed.
func TestUnreadablePolicyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		proxy := server.newProxy(t.TempDir(), nil)
		first := server.offerPolicy(1, 1, policyVersion(300, 1))
		proxy.awaitOffer(t, "the first", first)
		unreadable, err := proxy.Current().Tree.With([]merkle.Item{{Key: "route a/r00001", Value: []byte("{}")}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		server.currentDistributor().Retain([]*merkle.Tree{unreadable})
		server.locked(func() {
			server.offer = rollout.Version{Generation: 1, Epoch: 2, Hash: unreadable.Root().String()}
		})
		before := proxy.chunksAccepted.Load()
		time.Sleep(time.Minute)
		if offer := proxy.Current().Offer; offer != first {
			t.Fatalf("%+v was installed", offer)
		}
		if n := proxy.chunksAccepted.Load() - before; n == 0 || n > 40 {
			t.Errorf("%d chunks came in a minute", n)
		}
		if status := proxy.PolicyStatus(); len(status.Faults) == 0 || status.Faults[0].Advice == "" {
			t.Errorf("nobody is told: %+v", status)
		}
		server.locked(func() { server.offer = rollout.Version{Generation: 1, Epoch: 3, Hash: "no root"} })
		time.Sleep(10 * time.Second)
		proxy.awaitOffer(t, "the next", server.offerPolicy(1, 4, policyVersion(300, 4)))
		proxy.stopAndCheck(t)
	})
}

// A proxy takes whole texts from a server of an earlier release and chunks from a newer one, in whatever order they
// come to lead; a new bootstrap goes before all that is installed.
func TestMixedServerReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dir := newTestServer(t), t.TempDir()
		proxy := server.newProxy(dir, nil)
		for version := uint64(1); version <= 8; version++ {
			server.locked(func() { server.textOnly = version%4 >= 2 })
			proxy.awaitOffer(t, "a change", server.offerPolicy(1, version, policyVersion(200, version)))
		}
		server.locked(func() { server.textOnly = true })
		last := server.offerPolicy(1, 9, policyVersion(200, 9))
		proxy.awaitOffer(t, "a text", last)
		proxy.stop()
		next := server.newProxy(dir, nil)
		if next.restored != last {
			t.Errorf("the next process begins with %+v", next.restored)
		}
		server.locked(func() { server.textOnly = false })
		next.awaitOffer(t, "of a new bootstrap", server.offerPolicy(1<<32, 1, policyVersion(200, 3)))
		next.awaitOffer(t, "a change after", server.offerPolicy(1<<32, 2, policyVersion(200, 4)))
		next.stopAndCheck(t)
		proxy.checkViolations(t)
	})
}
