package client

import (
	"sync"

	"lapisspread/internal/policy/merkle"
)

// maxCachedBytes bounds the total size of the chunks in a chunkCache.
const maxCachedBytes = 16 << 20

// chunkCache holds chunks that were received and are not part of an installed policy yet, so that chunks received for
// one version can be used for the next. It is safe for concurrent use.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[merkle.Hash][]byte
	bytes  int
}

// put adds a chunk. A full cache is emptied first, since chunks can be fetched again. Chunks that are too long are
// ignored.
func (c *chunkCache) put(chunk []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := merkle.HashOf(chunk)
	if c.chunks[name] != nil || len(chunk) > merkle.MaxChunkBytes {
		return
	}
	if c.bytes+len(chunk) > maxCachedBytes {
		c.chunks = nil
		c.bytes = 0
	}
	if c.chunks == nil {
		c.chunks = map[merkle.Hash][]byte{}
	}
	c.chunks[name] = chunk
	c.bytes += len(chunk)
}

// get returns the chunk with a hash, or nil if the cache does not have it.
func (c *chunkCache) get(name merkle.Hash) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks[name]
}

// clear removes all chunks.
func (c *chunkCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks = nil
	c.bytes = 0
}
