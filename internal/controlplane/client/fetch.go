package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
)

const (
	maxUnusedBytes = 16 << 20               // bytes of pieces that came and are not taken up yet
	maxFetchTime   = 500 * time.Millisecond // for fetching between two reports: a proxy that fetches must not look silent in a step
	minChunkNames  = 4                      // names that are asked for at once over a link that is slow
	minReportBytes = 1 << 10                // bytes of pieces that a report has come along over one
)

// chunkCache holds pieces that came and are not taken up yet, by name: what came for one root serves the next one.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[merkle.Name][]byte
	size   int
}

func (b *chunkCache) put(piece []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := merkle.NameOf(piece)
	if b.chunks[n] != nil || len(piece) > merkle.MostPiece {
		return
	}
	if b.size+len(piece) > maxUnusedBytes {
		b.chunks, b.size = nil, 0 // it can be fetched
	}
	if b.chunks == nil {
		b.chunks = map[merkle.Name][]byte{}
	}
	b.chunks[n] = piece
	b.size += len(piece)
}

func (b *chunkCache) get(n merkle.Name) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chunks[n]
}

func (b *chunkCache) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks, b.size = nil, 0
}

// treeAssembly is a *pieces.Assembly, or what a test has in its place.
type treeAssembly interface {
	Wants(most int) []merkle.Name
	Add(piece []byte) error
	Tree() (*merkle.Tree, error)
}

// fetcher is one duty's: what it is putting together, over as many reports as it takes.
type fetcher struct {
	*PolicyClient
	root            merkle.Name
	base            *merkle.Tree
	target          treeAssembly    // nil is none
	serverIndex     int             // the steward that is asked
	retryAt         []time.Duration // when each may be asked again
	namesPerRequest int             // that are asked for at once
	reportBytes     int             // bytes that a report's answer may have; 0 is any
}

func newFetcher(p *PolicyClient) *fetcher {
	n := len(p.config.File.Servers)
	return &fetcher{PolicyClient: p, serverIndex: rand.IntN(n), retryAt: make([]time.Duration, n), namesPerRequest: api.MaxChunkNames}
}

// adjustReportBytes has reports bring less over a link on which they take too long, and more again.
func (f *fetcher) adjustReportBytes(slow bool) {
	switch {
	case slow && f.reportBytes == 0:
		f.reportBytes = api.MaxChunkBytes / 4
	case slow:
		f.reportBytes = max(f.reportBytes/4, minReportBytes)
	case f.reportBytes >= api.MaxChunkBytes/2:
		f.reportBytes = 0
	default:
		f.reportBytes *= 2
	}
}

// reset forgets what was on its way.
func (f *fetcher) reset() {
	f.target = nil
	f.cache.clear()
}

// fetch goes on with what an offer comes to: of the pieces that came along, of what came before, and of what stewards give by name. The
// tree is nil as long as it is not whole; the next report goes on. Errors are of package pieces, and of the last steward that was asked.
func (f *fetcher) fetch(ctx context.Context, r api.PolicyReply) (*merkle.Tree, error) {
	root, err := merkle.ParseName(r.Target.Hash)
	if err != nil {
		return nil, err
	}
	has := f.current.Load().Tree
	if f.target == nil || f.root != root || f.base != has {
		f.root, f.base, f.target = root, has, f.newAssembly(root, has)
	}
	if err := f.addCached(); err != nil {
		return nil, err
	}
	wrong := f.addChunks(r.Chunks)
	var malformed merkle.Malformed
	if errors.As(wrong, &malformed) {
		return nil, wrong
	}
	if err := f.addCached(); err != nil {
		return nil, err
	}
	end := f.clock() + maxFetchTime
	for ctx.Err() == nil {
		f.worker.Heartbeat()
		names := f.target.Wants(f.namesPerRequest)
		if len(names) == 0 {
			return f.target.Tree()
		}
		if f.clock() >= end || !f.selectServer() {
			return nil, wrong
		}
		if err := f.requestChunks(ctx, names); err != nil {
			wrong = err
			if errors.As(err, &malformed) {
				return nil, err
			}
		}
		if err := f.addCached(); err != nil {
			return nil, err
		}
	}
	return nil, wrong
}

// canFetch tells whether something is on its way that a steward may be asked for now.
func (f *fetcher) canFetch() bool { return f.target != nil && f.selectServer() }

// selectServer looks for a steward that may be asked.
func (f *fetcher) selectServer() bool {
	now := f.clock()
	for range f.retryAt {
		if f.retryAt[f.serverIndex] <= now {
			return true
		}
		f.serverIndex = (f.serverIndex + 1) % len(f.retryAt)
	}
	return false
}

// suspendServer has a steward not be asked for a time, which differs between proxies.
func (f *fetcher) suspendServer(least time.Duration) {
	f.retryAt[f.serverIndex] = f.clock() + time.Duration(float64(least)*(1+rand.Float64()/2))
}

// requestChunks asks a steward for pieces by name. One that hasn't all of them, or fails, rests until the others were asked.
func (f *fetcher) requestChunks(ctx context.Context, names []merkle.Name) error {
	in := api.ChunksRequest{Fleet: f.config.File.Fleet, Proxy: f.config.ProxyName, Root: f.root.String()}
	for i := range names {
		in.Names = append(in.Names, names[i][:])
	}
	inner, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var out api.ChunksReply
	err := api.Call(inner, f.httpClient, f.config.File.Servers[f.serverIndex].Address, api.PathPolicyChunks, in, &out)
	switch {
	case err != nil:
		if inner.Err() != nil {
			f.namesPerRequest = max(f.namesPerRequest/2, minChunkNames)
		}
		f.suspendServer(maxReportInterval)
		return err
	case out.RetryAfterNanos > 0:
		f.suspendServer(min(time.Duration(out.RetryAfterNanos), maxRetryAfter))
		return nil
	case len(out.Chunks) == 0 || out.Missing > 0: // it is behind, or ahead
		f.suspendServer(maxReportInterval)
	}
	f.namesPerRequest = min(f.namesPerRequest+f.namesPerRequest/8+1, api.MaxChunkNames)
	if err := f.addChunks(out.Chunks); err != nil {
		f.suspendServer(maxReportInterval)
		return fmt.Errorf("steward %s: %w", f.config.File.Servers[f.serverIndex].Name, err)
	}
	return nil
}

// maxRetryAfter bounds when a steward may have a proxy come back.
const maxRetryAfter = 10 * time.Second

// addChunks takes pieces that came. What is not wanted is left out; the error is the last of these.
func (f *fetcher) addChunks(all [][]byte) (wrong error) {
	for _, piece := range all {
		if f.cache.get(merkle.NameOf(piece)) != nil {
			continue // it came before
		}
		if err := f.target.Add(piece); err != nil {
			f.chunksRejected.Add(1)
			wrong = err
			var malformed merkle.Malformed
			if errors.As(err, &malformed) {
				return err
			}
			continue
		}
		f.chunksAccepted.Add(1)
		f.cache.put(piece)
	}
	return wrong
}

// addCached takes what came before for another root.
func (f *fetcher) addCached() error {
	for added := true; added; {
		added = false
		for _, n := range f.target.Wants(maxUnusedBytes) {
			if piece := f.cache.get(n); piece != nil {
				if err := f.target.Add(piece); err != nil {
					return err
				}
				added = true
			}
		}
	}
	return nil
}
