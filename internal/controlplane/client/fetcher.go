package client

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
)

const (
	// maxFetchTime bounds the time spent fetching chunks between two reports, so that the servers do not consider the
	// proxy silent.
	maxFetchTime = 500 * time.Millisecond
	// minChunkNames is the minimum to which a slow link reduces the number of chunks per request.
	minChunkNames = 4
	// minReportBytes is the minimum, in bytes, to which a slow link reduces the limit on chunks in the reply to a
	// report.
	minReportBytes = 1 << 10
	// slowLinkDivisor is the divisor of that limit after a report that timed out.
	slowLinkDivisor = 4
	// maxRetryAfter bounds the time that a server may ask a proxy to wait before its next chunk request.
	maxRetryAfter = 10 * time.Second
)

// treeAssembly assembles a tree from chunks. It is a *merkle.Assembly, except in tests.
type treeAssembly interface {
	Missing(limit int) []merkle.Hash
	Add(chunk []byte) error
	Tree() (*merkle.Tree, error)
}

// fetcher assembles the content of an offered policy from chunks, which may take several reports. Only the goroutine of
// its worker uses it.
type fetcher struct {
	client *PolicyClient
	root   merkle.Hash
	base   *merkle.Tree // of the installed policy, whose chunks are not fetched
	target treeAssembly // nil while nothing is being fetched

	serverIndex     int             // of the server for the next request
	retryAt         []time.Duration // the earliest time of the next request to each server
	namesPerRequest int
	reportBytes     int // limit on the chunks in the reply to a report, in bytes; 0 means the servers' own limit
}

func newFetcher(c *PolicyClient) *fetcher {
	servers := len(c.config.File.Servers)
	return &fetcher{
		client:          c,
		serverIndex:     rand.IntN(servers),
		retryAt:         make([]time.Duration, servers),
		namesPerRequest: api.MaxChunkNames,
	}
}

// adjustReportBytes lowers the limit on chunks in replies to reports after a report that timed out (slow), and raises
// it after one that did not.
func (f *fetcher) adjustReportBytes(slow bool) {
	switch {
	case slow && f.reportBytes == 0:
		f.reportBytes = api.MaxChunkBytes / slowLinkDivisor
	case slow:
		f.reportBytes = max(f.reportBytes/slowLinkDivisor, minReportBytes)
	case f.reportBytes >= api.MaxChunkBytes/2:
		f.reportBytes = 0
	default:
		f.reportBytes *= 2
	}
}

// reset discards the tree that is being assembled and all cached chunks.
func (f *fetcher) reset() {
	f.target = nil
	f.client.cache.clear()
}

// fetch continues to assemble the content of an offer, from the chunks in the reply, from cached chunks and from chunks
// requested by name. It blocks for about maxFetchTime plus one call at most. It returns a nil tree while chunks are
// missing; the worker calls it again after the next report. The error is a merkle.MalformedChunkError if the content
// cannot be assembled, otherwise the error of the last server that was called.
func (f *fetcher) fetch(ctx context.Context, reply api.PolicyReply) (*merkle.Tree, error) {
	if err := f.begin(reply); err != nil {
		return nil, err
	}
	if err := f.addCached(); err != nil {
		return nil, err
	}
	lastErr := f.addChunks(reply.Chunks)
	if isMalformed(lastErr) {
		return nil, lastErr
	}
	if err := f.addCached(); err != nil {
		return nil, err
	}
	for end := f.client.clock() + maxFetchTime; ctx.Err() == nil; {
		f.client.worker.Heartbeat()
		names := f.target.Missing(f.namesPerRequest)
		if len(names) == 0 {
			return f.target.Tree()
		}
		if f.client.clock() >= end || !f.selectServer() {
			return nil, lastErr
		}
		if err := f.requestChunks(ctx, names); err != nil {
			lastErr = err
			if isMalformed(err) {
				return nil, err
			}
		}
		if err := f.addCached(); err != nil {
			return nil, err
		}
	}
	return nil, lastErr
}

// begin starts a new assembly if the offer or the installed policy has changed.
func (f *fetcher) begin(reply api.PolicyReply) error {
	root, err := merkle.ParseHash(reply.Target.Hash)
	if err != nil {
		return err
	}
	base := f.client.current.Load().Tree
	if f.target == nil || f.root != root || f.base != base {
		f.root = root
		f.base = base
		f.target = f.client.newAssembly(root, base)
	}
	return nil
}

// isMalformed reports whether the offered content cannot be assembled, whatever further chunks arrive.
func isMalformed(err error) bool {
	var malformed merkle.MalformedChunkError
	return errors.As(err, &malformed)
}

// canFetch reports whether content is being fetched and at least one server may be called now.
func (f *fetcher) canFetch() bool { return f.target != nil && f.selectServer() }

// selectServer advances serverIndex to a server that may be called now. It returns false if there is none.
func (f *fetcher) selectServer() bool {
	now := f.client.clock()
	for range f.retryAt {
		if f.retryAt[f.serverIndex] <= now {
			return true
		}
		f.serverIndex = (f.serverIndex + 1) % len(f.retryAt)
	}
	return false
}

// suspendServer defers the next request to the current server by a random time between delay and 1.5 times delay, so
// that proxies do not retry at the same time.
func (f *fetcher) suspendServer(delay time.Duration) {
	f.retryAt[f.serverIndex] = f.client.clock() + time.Duration(float64(delay)*(1+rand.Float64()/2))
}

// requestChunks requests chunks by name from the current server. A server that fails or does not have all of them is
// suspended.
func (f *fetcher) requestChunks(ctx context.Context, names []merkle.Hash) error {
	config := f.client.config
	server := config.File.Servers[f.serverIndex]
	request := api.ChunksRequest{Fleet: config.File.Fleet, Proxy: config.ProxyName, Root: f.root.String()}
	for i := range names {
		request.Names = append(request.Names, names[i][:])
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply api.ChunksReply
	err := api.Call(callCtx, f.client.httpClient, server.Address, api.PathPolicyChunks, request, &reply)
	if err != nil {
		if callCtx.Err() != nil {
			f.namesPerRequest = max(f.namesPerRequest/2, minChunkNames)
		}
		f.suspendServer(maxReportInterval)
		return err
	}
	if reply.RetryAfterNanos > 0 {
		f.suspendServer(min(time.Duration(reply.RetryAfterNanos), maxRetryAfter))
		return nil
	}
	if len(reply.Chunks) == 0 || reply.Missing > 0 { // the server has an older or a newer policy
		f.suspendServer(maxReportInterval)
	}
	f.namesPerRequest = min(f.namesPerRequest+f.namesPerRequest/8+1, api.MaxChunkNames)
	if err := f.addChunks(reply.Chunks); err != nil {
		f.suspendServer(maxReportInterval)
		// The text is shown in the admin protocol and stays as it is; a steward is a control-plane server.
		return fmt.Errorf("steward %s: %w", server.Name, err)
	}
	return nil
}

// addChunks adds received chunks to the tree and to the cache. It skips chunks that the tree rejects and returns the
// error of the last one. A malformed chunk ends it at once.
func (f *fetcher) addChunks(chunks [][]byte) (lastErr error) {
	for _, chunk := range chunks {
		if f.client.cache.get(merkle.HashOf(chunk)) != nil {
			continue
		}
		if err := f.target.Add(chunk); err != nil {
			f.client.chunksRejected.Add(1)
			lastErr = err
			if isMalformed(err) {
				return err
			}
			continue
		}
		f.client.chunksAccepted.Add(1)
		f.client.cache.put(chunk)
	}
	return lastErr
}

// addCached adds all cached chunks that the tree lacks, which were received earlier for this or another version.
func (f *fetcher) addCached() error {
	for added := true; added; {
		added = false
		for _, name := range f.target.Missing(math.MaxInt) {
			chunk := f.client.cache.get(name)
			if chunk == nil {
				continue
			}
			if err := f.target.Add(chunk); err != nil {
				return err
			}
			added = true
		}
	}
	return nil
}
