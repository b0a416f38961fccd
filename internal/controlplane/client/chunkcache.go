package client

import (
	"sync"

	"lapisspread/internal/policy/merkle"
)

// maxCachedBytes bounds the chunks of a chunkCache.
const maxCachedBytes = 16 << 20

// chunkCache holds chunks that were received and are not part of an installed policy yet: what came for one version
// serves the next. It is safe for concurrent use.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[merkle.Hash][]byte
	bytes  int
}

// put adds a chunk. A cache that is full is emptied first: chunks can be fetched again.
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

// get returns a chunk; nil if it is not there.
func (c *chunkCache) get(name merkle.Hash) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks[name]
}

func (c *chunkCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks = nil
	c.bytes = 0
}
