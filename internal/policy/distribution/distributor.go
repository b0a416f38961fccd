// Package distribution serves the chunks of policies (package policy/merkle) to proxies. The reply to a proxy's report
// carries chunks that the proxy lacks, and a proxy can request any chunk by name. The package bounds how many proxies
// fetch a whole policy at one time and returns to the others how long to wait before they retry.
//
// A Distributor is deterministic: it does no I/O, starts no goroutine and reads no clock. Callers pass the time.
package distribution

import (
	"slices"
	"sync"
	"time"

	"lapisspread/internal/policy/merkle"
)

// Settings bound what a Distributor keeps and serves.
type Settings struct {
	// RecentTrees is the number of earlier trees that are remembered in addition to the retained ones.
	RecentTrees int
	// MaxNames is the maximum number of chunks in one request.
	MaxNames int
	// UnthrottledNames is the maximum number of chunks in a request that is never deferred. A request for more counts
	// as part of the fetch of a whole policy.
	UnthrottledNames int
	// MaxBytes bounds the total size of the chunks in one reply.
	MaxBytes int
	// MaxFetches is the maximum number of proxies that fetch a whole policy at one time.
	MaxFetches int
	// FetchIdle is the time without a request after which a fetch counts as ended.
	FetchIdle time.Duration
	// MaxWait is the maximum time that a proxy has to wait before it retries.
	MaxWait time.Duration
}

// DefaultSettings returns settings for thousands of proxies at one server. A policy of 5 MB takes about twenty replies.
func DefaultSettings() Settings {
	return Settings{
		RecentTrees:      32,
		MaxNames:         256,
		UnthrottledNames: 32,
		MaxBytes:         256 << 10,
		MaxFetches:       32,
		FetchIdle:        200 * time.Millisecond,
		MaxWait:          8 * time.Second,
	}
}

// maxCachedDiffs bounds the cache of differences between two trees. In a rollout thousands of proxies need the
// same one or two differences.
const maxCachedDiffs = 8

// Distributor serves chunks. Its methods are safe for concurrent use.
type Distributor struct {
	settings Settings

	mu       sync.Mutex // never held over I/O
	retained []*merkle.Tree
	recent   []*merkle.Tree // newest last, including the retained trees
	diffs    []cachedDiff   // most recently used last
	throttle throttle
	counters Counters
}

// cachedDiff holds the first chunks, up to Settings.MaxBytes, that the tree with root to has and the tree with root
// from lacks.
type cachedDiff struct {
	from, to string // roots
	chunks   [][]byte
}

// Counters are the totals since the Distributor was created.
type Counters struct {
	Pushed        uint64 // chunks sent with replies to reports
	Requested     uint64 // chunks sent because they were requested by name
	Bytes         uint64 // bytes of the pushed and the requested chunks
	Missing       uint64 // requested names that no tree has
	Deferred      uint64 // requests that got a time to retry instead of chunks
	DiffsComputed uint64 // differences between two trees that were not in the cache
}

// New returns a distributor without trees.
func New(settings Settings) *Distributor {
	return &Distributor{settings: settings, throttle: newThrottle(settings)}
}

// Retain replaces the trees that are served; the oldest tree comes first. Up to Settings.RecentTrees earlier trees are
// remembered, so that proxies which still have one of them get only the chunks that they lack.
func (d *Distributor) Retain(trees []*merkle.Tree) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retained = trees
	for _, tree := range trees {
		if n := len(d.recent); n > 0 && d.recent[n-1] == tree {
			continue
		}
		d.recent = slices.DeleteFunc(d.recent, func(t *merkle.Tree) bool { return t.Root() == tree.Root() })
		d.recent = append(d.recent, tree)
	}
	if excess := len(d.recent) - d.settings.RecentTrees - len(trees); excess > 0 {
		d.recent = slices.Delete(d.recent, 0, excess)
	}
}

// treeByRoot returns the remembered tree with the given root, or nil if there is none. The caller holds mu.
func (d *Distributor) treeByRoot(root string) *merkle.Tree {
	name, err := merkle.ParseHash(root)
	if err != nil {
		return nil
	}
	for _, tree := range slices.Backward(d.recent) {
		if tree.Root() == name {
			return tree
		}
	}
	return nil
}

// ChunksBetween returns chunks that the tree with root to has and the tree with root from lacks, parents first, up to
// maxBytes and Settings.MaxBytes. It returns nil if either tree is unknown; then the proxy has to fetch the chunks by
// name.
func (d *Distributor) ChunksBetween(from, to string, maxBytes int) [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from == to {
		return nil
	}
	chunks, ok := d.diff(from, to)
	if !ok {
		return nil
	}
	chunks, size := firstChunks(chunks, min(maxBytes, d.settings.MaxBytes))
	d.counters.Pushed += uint64(len(chunks))
	d.counters.Bytes += uint64(size)
	return chunks
}

// diff returns the first chunks, up to Settings.MaxBytes, that the tree with root to has and the tree with root from
// lacks. It uses the cache and adds to it. It returns false if either tree is unknown. The caller holds mu.
func (d *Distributor) diff(from, to string) ([][]byte, bool) {
	cached := slices.IndexFunc(d.diffs, func(c cachedDiff) bool { return c.from == from && c.to == to })
	if cached >= 0 {
		used := d.diffs[cached]
		d.diffs = append(slices.Delete(d.diffs, cached, cached+1), used)
		return used.chunks, true
	}
	fromTree := d.treeByRoot(from)
	toTree := d.treeByRoot(to)
	if fromTree == nil || toTree == nil {
		return nil, false
	}
	computed := cachedDiff{from: from, to: to}
	size := 0
	for _, chunk := range toTree.ChunksNotIn(fromTree) {
		size += len(chunk)
		if size > d.settings.MaxBytes {
			break
		}
		computed.chunks = append(computed.chunks, chunk)
	}
	d.counters.DiffsComputed++
	d.diffs = append(d.diffs, computed)
	if len(d.diffs) > maxCachedDiffs {
		d.diffs = slices.Delete(d.diffs, 0, 1)
	}
	return computed.chunks, true
}

// firstChunks returns the leading chunks whose total size is at most maxBytes, and that size in bytes.
func firstChunks(chunks [][]byte, maxBytes int) (fitting [][]byte, size int) {
	for i, chunk := range chunks {
		if size+len(chunk) > maxBytes {
			return chunks[:i], size
		}
		size += len(chunk)
	}
	return chunks, size
}

// ChunksByName returns the chunks with the given names, in that order, until the reply has Settings.MaxBytes. It
// searches the tree with the given root and all retained trees; missing is the number of names that none of them has.
// If too many proxies are fetching whole policies, it returns no chunks and how long the proxy has to wait before its
// next request. Now is the time on the caller's clock.
func (d *Distributor) ChunksByName(
	now time.Duration, proxy, root string, names [][]byte,
) (chunks [][]byte, missing int, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(names) > d.settings.MaxNames {
		names = names[:d.settings.MaxNames]
	}
	if len(names) > d.settings.UnthrottledNames {
		if retryAfter := d.throttle.admit(now, proxy); retryAfter > 0 {
			d.counters.Deferred++
			return nil, 0, retryAfter
		}
	}
	trees := d.retained
	if tree := d.treeByRoot(root); tree != nil {
		trees = append([]*merkle.Tree{tree}, trees...)
	}
	size := 0
	for _, name := range names {
		chunk := findChunk(trees, name)
		if chunk == nil {
			missing++
			continue
		}
		size += len(chunk)
		if size > d.settings.MaxBytes {
			break
		}
		chunks = append(chunks, chunk)
		d.counters.Bytes += uint64(len(chunk))
	}
	d.counters.Requested += uint64(len(chunks))
	d.counters.Missing += uint64(missing)
	return chunks, missing, 0
}

// findChunk returns the chunk with the given name from the first tree that has it, or nil.
func findChunk(trees []*merkle.Tree, name []byte) []byte {
	if len(name) != len(merkle.Hash{}) {
		return nil
	}
	for _, tree := range trees {
		if chunk, ok := tree.Chunk(merkle.Hash(name)); ok {
			return chunk
		}
	}
	return nil
}

// Counters returns a copy of the current counters.
func (d *Distributor) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counters
}
