package admission

import (
	"fmt"
	"net/netip"
	"time"
)

// maxBlocks is the most blocks at a time.
const maxBlocks = 1024

// InvalidBlockError is returned by ConnLimiter.Block for a block that it cannot set.
type InvalidBlockError struct{ Reason string }

// Error implements error.
func (e InvalidBlockError) Error() string { return "admission: " + e.Reason }

// Block rejects new connections of an address or network for a duration, MaxBlockDuration at most. Connections that
// are held go on. Its error is an InvalidBlockError.
func (l *ConnLimiter) Block(now time.Duration, p netip.Prefix, duration time.Duration) error {
	switch {
	case !p.IsValid():
		return InvalidBlockError{"no address or prefix"}
	case duration <= 0 || duration > MaxBlockDuration:
		return InvalidBlockError{
			fmt.Sprintf("a block lasts for above 0s and at most %v, not %v", MaxBlockDuration, duration),
		}
	}
	for q, until := range l.blocks {
		if until <= now {
			delete(l.blocks, q)
		}
	}
	p = p.Masked()
	if _, exists := l.blocks[p]; !exists && len(l.blocks) >= maxBlocks {
		return InvalidBlockError{fmt.Sprintf("there are %d blocks; that is the most", maxBlocks)}
	}
	l.blocks[p] = now + duration
	return nil
}

// Unblock ends a block, and reports whether there was one.
func (l *ConnLimiter) Unblock(p netip.Prefix) bool {
	_, exists := l.blocks[p.Masked()]
	delete(l.blocks, p.Masked())
	return exists
}

// Blocked reports whether a block holds for an address.
func (l *ConnLimiter) Blocked(now time.Duration, address netip.Addr) bool {
	if len(l.blocks) == 0 {
		return false
	}
	address = address.Unmap().WithZone("")
	for bits := range address.BitLen() + 1 {
		p, err := address.Prefix(bits)
		if err != nil {
			return false
		}
		if until, exists := l.blocks[p]; exists && until > now {
			return true
		}
	}
	return false
}

// Blocks returns the blocks that hold, with the time that each has left.
func (l *ConnLimiter) Blocks(now time.Duration) map[netip.Prefix]time.Duration {
	out := map[netip.Prefix]time.Duration{}
	for p, until := range l.blocks {
		if until > now {
			out[p] = until - now
		}
	}
	return out
}
