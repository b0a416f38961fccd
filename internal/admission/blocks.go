package admission

import (
	"fmt"
	"net/netip"
	"time"
)

// maxBlocks is the maximum number of blocks at a time.
const maxBlocks = 1024

// InvalidBlockError is returned by ConnLimiter.Block for an invalid block, and when no more blocks can be set.
type InvalidBlockError struct{ Reason string }

// Error implements error.
func (e InvalidBlockError) Error() string { return "admission: " + e.Reason }

// Block rejects new connections from an address or network for a duration of at most MaxBlockDuration. Open connections
// stay open. It returns an InvalidBlockError if the prefix or the duration is invalid, or if maxBlocks blocks exist.
func (l *ConnLimiter) Block(now time.Duration, p netip.Prefix, duration time.Duration) error {
	switch {
	case !p.IsValid():
		return InvalidBlockError{"invalid address or prefix"}
	case duration <= 0 || duration > MaxBlockDuration:
		return InvalidBlockError{
			fmt.Sprintf("block duration %v must be above 0s and at most %v", duration, MaxBlockDuration),
		}
	}
	for blocked, until := range l.blocks {
		if until <= now {
			delete(l.blocks, blocked)
		}
	}
	p = p.Masked()
	if _, exists := l.blocks[p]; !exists && len(l.blocks) >= maxBlocks {
		return InvalidBlockError{fmt.Sprintf("the maximum of %d blocks is reached", maxBlocks)}
	}
	l.blocks[p] = now + duration
	return nil
}

// Unblock removes the block of exactly this address or network, and reports whether there was one.
func (l *ConnLimiter) Unblock(p netip.Prefix) bool {
	_, exists := l.blocks[p.Masked()]
	delete(l.blocks, p.Masked())
	return exists
}

// Blocked reports whether an address is in a block that has not expired.
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

// Blocks returns the remaining duration of each block that has not expired.
func (l *ConnLimiter) Blocks(now time.Duration) map[netip.Prefix]time.Duration {
	out := map[netip.Prefix]time.Duration{}
	for p, until := range l.blocks {
		if until > now {
			out[p] = until - now
		}
	}
	return out
}
