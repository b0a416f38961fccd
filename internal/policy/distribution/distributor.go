// Package distribution serves the chunks of policies (package policy/merkle) to proxies: chunks that a proxy lacks
// along with the reply to its report, and any chunk by name. It bounds how many proxies fetch a whole policy at one
// time and tells the others when to retry.
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
	// RecentTrees is how many trees are remembered besides those that are retained.
	RecentTrees int
	// MaxNames is how many chunks one request may ask for.
	MaxNames int
	// UnthrottledNames is how many chunks a request may ask for at any time. A request for more counts as part of the
	// fetch of a whole policy.
	UnthrottledNames int
	// MaxBytes bounds the chunks in one reply.
	MaxBytes int
	// MaxFetches is how many proxies may fetch a whole policy at one time.
	MaxFetches int
	// FetchIdle is the time without a request after which a fetch counts as ended.
	FetchIdle time.Duration
	// MaxWait is the longest time that a proxy is told to wait.
	MaxWait time.Duration
}

// DefaultSettings suit thousands of proxies at one server: a policy of 5 MB is about twenty replies.
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

// maxCachedDiffs bounds the cache of differences between two trees. In a rollout thousands of proxies need the same one
// or two.
const maxCachedDiffs = 8

// Distributor serves chunks. Its methods are safe for concurrent use.
type Distributor struct {
	settings Settings

	mu       sync.Mutex // never held over I/O
	retained []*merkle.Tree
	recent   []*merkle.Tree // the newest last, including those that are retained
	diffs    []cachedDiff   // the last used last
	throttle throttle
	counters Counters
}

// cachedDiff has the first chunks, up to Settings.MaxBytes, that a tree has and another one lacks.
type cachedDiff struct {
	from, to string // roots
	chunks   [][]byte
}

// Counters count since the start.
type Counters struct {
	Pushed        uint64 // chunks along with replies to reports
	Requested     uint64 // chunks by name
	Bytes         uint64 // of both
	Missing       uint64 // names that no tree has
	Deferred      uint64 // requests that were told to retry later
	DiffsComputed uint64
}

// New returns a distributor without trees.
func New(settings Settings) *Distributor {
	return &Distributor{settings: settings, throttle: newThrottle(settings)}
}

// Retain replaces the trees that are served, given with the oldest first. A few of the earlier ones are remembered, so
// that proxies which still have them get only what they lack.
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

// treeOf returns the tree of a root, nil if it is unknown. The caller holds mu.
func (d *Distributor) treeOf(root string) *merkle.Tree {
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

// ChunksBetween returns chunks of the tree with root to that the tree with root from lacks, parents first, up to
// maxBytes and Settings.MaxBytes. It returns none if either tree is unknown; then the proxy has to fetch them by name.
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

// diff returns the first chunks that are in a tree and not in another one, from the cache if it can. The caller holds
// mu.
func (d *Distributor) diff(from, to string) ([][]byte, bool) {
	cached := slices.IndexFunc(d.diffs, func(c cachedDiff) bool { return c.from == from && c.to == to })
	if cached >= 0 {
		used := d.diffs[cached]
		d.diffs = append(slices.Delete(d.diffs, cached, cached+1), used)
		return used.chunks, true
	}
	fromTree := d.treeOf(from)
	toTree := d.treeOf(to)
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

// firstChunks returns as many of the chunks as fit in a size, and their size in bytes.
func firstChunks(chunks [][]byte, maxBytes int) (fitting [][]byte, size int) {
	for i, chunk := range chunks {
		if size+len(chunk) > maxBytes {
			return chunks[:i], size
		}
		size += len(chunk)
	}
	return chunks, size
}

// ChunksByName returns chunks in the order of their names, until a reply is full. It looks in the tree of root and in
// all that are retained; missing counts names that none of them has. If too many proxies are fetching whole policies,
// it returns none, and how long to wait before the next request.
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
	if tree := d.treeOf(root); tree != nil {
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

// Counters returns the counters.
func (d *Distributor) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counters
}
