package distribution

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"lapisspread/internal/policy/merkle"
)

// buildTree returns a tree of n items; value returns the value of item i.
func buildTree(t testing.TB, n int, value func(i int) string) *merkle.Tree {
	t.Helper()
	var items []merkle.Item
	for i := range n {
		items = append(items, merkle.Item{Key: fmt.Sprint("k", i), Value: []byte(value(i))})
	}
	built, err := merkle.Build(items)
	if err != nil {
		t.Fatalf("merkle.Build(%d items) failed: %v", n, err)
	}
	return built
}

// withItem returns the tree with another value for item i.
func withItem(t testing.TB, tree *merkle.Tree, i int, value string) *merkle.Tree {
	t.Helper()
	changed, err := tree.With([]merkle.Item{{Key: fmt.Sprint("k", i), Value: []byte(value)}}, nil)
	if err != nil {
		t.Fatalf("Tree.With(item %d) failed: %v", i, err)
	}
	return changed
}

// longValue returns a value of 300 bytes, so that a tree needs many chunks.
func longValue(i int) string { return fmt.Sprintf("%0300d", i) }

// fetch assembles the tree target as a proxy does that has the tree current (nil for none): from the chunks that
// ChunksBetween pushes, up to maxPushedBytes, and the remaining ones by name. It returns the number of chunks of each
// kind.
func fetch(t testing.TB, d *Distributor, current, target *merkle.Tree, maxPushedBytes int) (pushed, requested int) {
	t.Helper()
	assembly := merkle.NewAssembly(target.Root(), current)
	root := ""
	if current != nil {
		root = current.Root().String()
	}
	for _, chunk := range d.ChunksBetween(root, target.Root().String(), maxPushedBytes) {
		if err := assembly.Add(chunk); err != nil {
			t.Fatalf("Assembly.Add(chunk from ChunksBetween) failed: %v", err)
		}
		pushed++
	}
	now := time.Duration(0)
	for missingNames := assembly.Missing(256); len(missingNames) > 0; missingNames = assembly.Missing(256) {
		var names [][]byte
		for _, name := range missingNames {
			names = append(names, name[:])
		}
		chunks, missing, retryAfter := d.ChunksByName(now, "p", target.Root().String(), names)
		if now += retryAfter; missing > 0 || len(chunks) == 0 && retryAfter == 0 {
			t.Fatalf("ChunksByName(%d names) = %d chunks, %d missing, retry after %v; "+
				"want none missing, and chunks or a time to retry", len(names), len(chunks), missing, retryAfter)
		}
		size := 0
		for _, chunk := range chunks {
			size += len(chunk)
			if err := assembly.Add(chunk); err != nil {
				t.Fatalf("Assembly.Add(chunk from ChunksByName) failed: %v", err)
			}
		}
		if size > d.settings.MaxBytes {
			t.Fatalf("ChunksByName(%d names) returned %d bytes, want at most %d", len(names), size, d.settings.MaxBytes)
		}
		requested += len(chunks)
	}
	got, err := assembly.Tree()
	if err != nil {
		t.Fatalf("Assembly.Tree() failed after all chunks were added: %v", err)
	}
	if got.Root() != target.Root() {
		t.Fatalf("Assembly.Tree() has root %v, want %v", got.Root(), target.Root())
	}
	return pushed, requested
}

// Chunks are pushed if the distributor remembers both trees. All others are fetched by name, also by a proxy whose tree
// the distributor no longer remembers.
func TestProxiesGetTheChunksThatTheyLack(t *testing.T) {
	d := New(DefaultSettings())
	first := buildTree(t, 3000, longValue)
	second := withItem(t, first, 7, "other")
	d.Retain([]*merkle.Tree{first, second})
	if pushed, requested := fetch(t, d, first, second, 1<<20); pushed == 0 || pushed > 5 || requested != 0 {
		t.Errorf("proxy one change behind: %d chunks pushed, %d fetched by name; want 1 to 5 pushed, 0 by name",
			pushed, requested)
	}
	if pushed, requested := fetch(t, d, first, second, 1); pushed != 0 || requested == 0 || requested > 5 {
		t.Errorf("maximum of 1 pushed byte: %d chunks pushed, %d fetched by name; want 0 pushed, 1 to 5 by name",
			pushed, requested)
	}
	unknown := withItem(t, withItem(t, first, 9, "gone"), 8, "gone")
	if pushed, requested := fetch(t, d, unknown, second, 1<<20); pushed != 0 || requested == 0 || requested > 15 {
		t.Errorf("proxy with an unknown root: %d chunks pushed, %d fetched by name; want 0 pushed, 1 to 15 by name",
			pushed, requested)
	}
	if pushed, requested := fetch(t, d, nil, second, 1<<20); pushed != 0 || requested < 500 {
		t.Errorf("proxy without a tree: %d chunks pushed, %d fetched by name; want 0 pushed, 500 or more by name",
			pushed, requested)
	}
	for i := range 100 { // only the last RecentTrees are remembered
		second = withItem(t, second, i, fmt.Sprint("more", i))
		d.Retain([]*merkle.Tree{second})
	}
	if n := len(d.recent); n > d.settings.RecentTrees+1 {
		t.Errorf("%d trees are remembered after 100 calls of Retain, want at most %d", n, d.settings.RecentTrees+1)
	}
	before := d.Counters().DiffsComputed
	for range 100 {
		d.ChunksBetween(d.recent[3].Root().String(), second.Root().String(), 1<<20)
	}
	if n := d.Counters().DiffsComputed - before; n != 1 {
		t.Errorf("100 calls of ChunksBetween with the same roots computed the difference %d times, want once", n)
	}
	if chunks, missing, _ := d.ChunksByName(
		0, "p", "no root", [][]byte{{1}, bytes.Repeat([]byte{2}, 32)},
	); len(chunks) != 0 || missing != 2 {
		t.Errorf("ChunksByName(2 unknown names) = %d chunks, %d missing; want 0 and 2", len(chunks), missing)
	}
	if chunks := d.ChunksBetween("no root", "none either", 1<<20); chunks != nil {
		t.Errorf("ChunksBetween(two malformed roots) = %d chunks, want nil", len(chunks))
	}
}

// A whole fleet requests a policy at one moment. At most MaxFetches proxies fetch it at a time, the others get a time
// to retry, and all get the policy in the end. Small requests are never deferred.
func TestConcurrentFetchesAreBounded(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxFetches = 8
	d := New(settings)
	policy := buildTree(t, 2000, longValue)
	d.Retain([]*merkle.Tree{policy})
	const (
		proxies         = 300
		repliesPerProxy = 6
	)
	var names [][]byte
	for name := range policy.Chunks() {
		if names = append(names, name[:]); len(names) == settings.MaxNames {
			break
		}
	}
	type proxyState struct {
		nextRequest      time.Duration
		remainingReplies int
	}
	states := make([]proxyState, proxies)
	for i := range states {
		states[i].remainingReplies = repliesPerProxy
	}
	now, unfinished, deferred := time.Duration(0), proxies, 0
	for ; unfinished > 0 && now < time.Hour; now += 20 * time.Millisecond {
		fetching := 0
		for i := range states {
			state := &states[i]
			if state.remainingReplies == 0 || now < state.nextRequest {
				continue
			}
			chunks, missing, retryAfter := d.ChunksByName(now, fmt.Sprint("p", i), policy.Root().String(), names)
			switch {
			case retryAfter > settings.MaxWait || missing > 0:
				t.Fatalf("ChunksByName at %v: retry after %v, %d missing; want at most %v and none missing",
					now, retryAfter, missing, settings.MaxWait)
			case retryAfter > 0:
				deferred++
				state.nextRequest = now + retryAfter
			case len(chunks) == 0:
				t.Fatalf("ChunksByName at %v returned neither chunks nor a time to retry, want one of them", now)
			default:
				fetching++
				if state.remainingReplies--; state.remainingReplies == 0 {
					unfinished--
				}
			}
		}
		if fetching > settings.MaxFetches || len(d.throttle.fetches) > settings.MaxFetches {
			t.Fatalf("at %v: %d proxies got chunks and %d fetches are active, want at most %d of each",
				now, fetching, len(d.throttle.fetches), settings.MaxFetches)
		}
		if chunks, _, retryAfter := d.ChunksByName(
			now, "light", policy.Root().String(), names[:settings.UnthrottledNames],
		); len(chunks) != settings.UnthrottledNames || retryAfter != 0 {
			t.Fatalf("ChunksByName(%d names) at %v = %d chunks, retry after %v; want all chunks and no wait",
				settings.UnthrottledNames, now, len(chunks), retryAfter)
		}
	}
	if unfinished > 0 || deferred == 0 {
		t.Errorf("after %v: %d proxies lack the policy and %d requests were deferred; want 0 proxies and some deferred",
			now, unfinished, deferred)
	}
	t.Logf("%d proxies, at most %d at a time: %v until all had the policy, %d requests deferred",
		proxies, settings.MaxFetches, now, deferred)
}
