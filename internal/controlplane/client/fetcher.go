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
	// maxFetchTime bounds the fetching between two reports: a proxy that fetches must not look silent.
	maxFetchTime = 500 * time.Millisecond
	// minChunkNames is the least number of chunks that one request names, over a slow link.
	minChunkNames = 4
	// minReportBytes is the least limit of the chunks that come with the reply to a report, over a slow link.
	minReportBytes = 1 << 10
	// slowLinkDivisor is by how much a report that took too long reduces that limit.
	slowLinkDivisor = 4
	// maxRetryAfter bounds the time for which a server may have a proxy wait.
	maxRetryAfter = 10 * time.Second
)

// treeAssembly puts a tree together from chunks. It is a *merkle.Assembly, or what a test has in its place.
type treeAssembly interface {
	Missing(most int) []merkle.Hash
	Add(chunk []byte) error
	Tree() (*merkle.Tree, error)
}

// fetcher puts the content of a policy together, over as many reports as it takes. Only its worker uses it.
type fetcher struct {
	client *PolicyClient
	root   merkle.Hash
	base   *merkle.Tree // of the installed policy: chunks of it are not fetched
	target treeAssembly // nil while nothing is fetched

	serverIndex     int             // of the server that is asked next
	retryAt         []time.Duration // when each server may be asked again
	namesPerRequest int
	reportBytes     int // of chunks that may come with the reply to a report; 0 is the servers' own limit
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

// adjustReportBytes lowers the limit on chunks in replies to reports while a link is slow, and raises it again after.
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

// reset forgets what was being fetched.
func (f *fetcher) reset() {
	f.target = nil
	f.client.cache.clear()
}

// fetch goes on with the content of an offer: from the chunks that came with it, from those that came before, and
// from those that servers give by name. It returns nil while some are missing; the next report goes on. The error
// is a merkle.MalformedChunkError if the content can't be put together, else that of the last server that was asked.
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

// begin starts another tree if the offer or the installed policy has changed.
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

// isMalformed reports whether what the servers have can't be put together, so that no further chunk helps.
func isMalformed(err error) bool {
	var malformed merkle.MalformedChunkError
	return errors.As(err, &malformed)
}

// canFetch reports whether something is being fetched and a server may be asked for it now.
func (f *fetcher) canFetch() bool { return f.target != nil && f.selectServer() }

// selectServer moves on to a server that may be asked now, and reports whether there is one.
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

// suspendServer defers the next request to the current server by a random time between least and 1.5 times that, so
// that proxies do not retry in step.
func (f *fetcher) suspendServer(least time.Duration) {
	f.retryAt[f.serverIndex] = f.client.clock() + time.Duration(float64(least)*(1+rand.Float64()/2))
}

// requestChunks asks a server for chunks by name. One that fails or does not have all of them is suspended.
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
	if len(reply.Chunks) == 0 || reply.Missing > 0 { // the server is behind, or ahead
		f.suspendServer(maxReportInterval)
	}
	f.namesPerRequest = min(f.namesPerRequest+f.namesPerRequest/8+1, api.MaxChunkNames)
	if err := f.addChunks(reply.Chunks); err != nil {
		f.suspendServer(maxReportInterval)
		return fmt.Errorf("steward %s: %w", server.Name, err)
	}
	return nil
}

// addChunks takes chunks that came. One that is not wanted is left out; the error is that of the last of these.
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

// addCached takes chunks that came before, for this or another version.
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
