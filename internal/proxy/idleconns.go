package proxy

import (
	"context"
	"math"
	"slices"
	"time"
)

const (
	maxIdlePerBackend  = 32                    // connections; further ones are closed after their response
	idleSettleTime     = 10 * time.Millisecond // that a connection should rest before it is reused
	idleTimeoutDivisor = 2                     // connections are closed after this part of the configured idle timeout

	staleConnWindow    = 10 * time.Millisecond // a connection that breaks so soon after a write was closed before it
	minIdleLimit       = 20 * time.Millisecond // to which the reuse limit falls at least
	idleLimitDivisor   = 2                     // the reuse limit falls to this part of the idle time at which one broke
	idleLimitDoubling  = 2 * time.Second       // in which the reuse limit doubles again
	maxLimitDoublings  = 32                    // more would overflow
	minCleanupInterval = 10 * time.Millisecond
	cleanupsPerTimeout = 4
)

// closeExpired closes connections that were idle for idleTimeout or that the backend has closed. A request written to a
// connection that the backend has closed ends in a reset, after which nobody knows whether it ran.
func (p *pool) closeExpired(now time.Time) {
	var stale []*conn
	p.mu.Lock()
	for _, b := range p.backends {
		b.idle = slices.DeleteFunc(b.idle, func(c *conn) bool {
			expired := now.Sub(c.idleSince) >= p.idleTimeout || !c.isSilent()
			if expired {
				stale = append(stale, c)
			}
			return expired
		})
	}
	p.mu.Unlock()
	closeAll(stale)
}

// runCleanup calls closeExpired until ctx ends, and closes all idle connections then.
func (p *pool) runCleanup(ctx context.Context) {
	tick := time.NewTicker(max(p.idleTimeout/cleanupsPerTimeout, minCleanupInterval))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			p.closeExpired(now)
		case <-ctx.Done():
			p.Update(List{Full: true})
			return
		}
	}
}

// dropIdle removes the idle connection of that index from the list.
func (b *backend) dropIdle(i int) { b.idle = slices.Delete(b.idle, i, i+1) }

// takeIdle returns the idle connection used last of those that have rested for idleSettleTime, else the one that has
// rested for longest, or nil. A backend's close may follow its response a moment later; checkSendable looks for that
// right before the write. The error says that nothing may be sent to the backend.
func (p *pool) takeIdle(b *backend) (*conn, error) {
	var stale []*conn
	defer func() { closeAll(stale) }() // without the lock, which a close takes
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.draining {
		return nil, errBackendClosed
	}
	now := time.Now()
	for len(b.idle) > 0 {
		i := len(b.idle) - 1
		for i > 0 && now.Sub(b.idle[i].idleSince) < idleSettleTime {
			i--
		}
		c := b.idle[i]
		b.dropIdle(i)
		if now.Sub(c.idleSince) < p.currentReuseLimit(now) {
			return c, nil
		}
		stale = append(stale, c)
	}
	return nil, nil
}

// currentReuseLimit returns how long a connection may have been idle to be reused. Backends may close connections
// sooner than configured, and a request that meets the close may not be repeated; a new connection costs little beside
// that. The limit grows exponentially up to idleTimeout. The lock must be held.
func (p *pool) currentReuseLimit(now time.Time) time.Duration {
	if p.reuseLimit >= p.idleTimeout {
		return p.idleTimeout
	}
	doublings := float64(now.Sub(p.reuseLimitAt)) / float64(idleLimitDoubling)
	grown := float64(p.reuseLimit) * math.Exp2(min(max(doublings, 0), maxLimitDoublings))
	p.reuseLimit = time.Duration(min(grown, float64(p.idleTimeout)))
	p.reuseLimitAt = now
	return p.reuseLimit
}

// noteBrokenIdleConn lowers the reuse limit after a connection broke right as a request was written to it, when it had
// been idle for so long.
func (p *pool) noteBrokenIdleConn(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.reuseLimit = min(p.currentReuseLimit(now), max(idle/idleLimitDivisor, minIdleLimit))
	p.reuseLimitAt = now
}

// putIdle keeps a connection for the next request, or closes it. A connection on which more than the response came is
// of no further use.
func (p *pool) putIdle(b *backend, c *conn) {
	silent := c.isSilent()
	p.mu.Lock()
	keep := silent && !b.draining && c.addrEpoch == b.addrEpoch && len(b.idle) < maxIdlePerBackend
	if keep {
		c.idleSince = time.Now()
		b.idle = append(b.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}
