package proxy

import (
	"context"
	"math"
	"slices"
	"time"
)

const (
	maxIdlePerBackend  = 32                    // further connections are closed after their response
	idleSettleTime     = 10 * time.Millisecond // minimum idle time before a connection is reused
	idleTimeoutDivisor = 2                     // connections are closed after the configured idle timeout divided by this

	staleConnWindow    = 10 * time.Millisecond // a break this soon after a write means that it was closed before
	minIdleLimit       = 20 * time.Millisecond // lower bound of the reuse limit
	idleLimitDivisor   = 2                     // the reuse limit falls to a broken connection's idle time divided by this
	idleLimitDoubling  = 2 * time.Second       // time in which a lowered reuse limit doubles
	maxLimitDoublings  = 32                    // more would overflow a time.Duration
	minCleanupInterval = 10 * time.Millisecond
	cleanupsPerTimeout = 4 // calls of closeExpired per idle timeout
)

// closeExpired closes connections that were idle for idleTimeout or that the backend has closed. A request written to a
// connection that the backend has closed ends in a reset, after which it is unknown whether the request ran.
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

// runCleanup calls closeExpired periodically until ctx ends, and then closes all idle connections. It blocks.
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

// dropIdle removes the idle connection with index i from the list.
func (b *backend) dropIdle(i int) { b.idle = slices.Delete(b.idle, i, i+1) }

// takeIdle returns the most recently used connection that has been idle for at least idleSettleTime, else the one idle
// for longest, or nil. The caller must call awaitSettled before it writes. An error means that nothing may be sent to
// the backend.
func (p *pool) takeIdle(b *backend) (*conn, error) {
	var stale []*conn
	defer func() { closeAll(stale) }() // after the unlock: closing a connection takes the lock
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

// awaitSettled blocks until a connection has been idle for idleSettleTime, or returns errNotSettled if ctx ends first.
//
// A backend may close a connection, or send a second copy of its response, some milliseconds after the response. Bytes
// that have arrived by the time of the write are noticed by checkSendable. A copy that arrives later would be taken for
// the response to the next request, and so would be each response for the one after it.
func (c *conn) awaitSettled(ctx context.Context) error {
	wait := idleSettleTime - time.Since(c.idleSince)
	if wait <= 0 {
		return nil
	}
	if sleep(ctx, wait) != nil {
		return errNotSettled
	}
	return nil
}

// currentReuseLimit returns the maximum idle time of a connection that is reused. Backends may close connections sooner
// than configured, and a request that is written to a closing connection may not be retried; a new connection is cheap
// compared to that. The limit grows exponentially up to idleTimeout. The lock must be held.
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

// noteBrokenIdleConn lowers the reuse limit after a connection broke while a request was written to it. idle is how
// long the connection had been idle before.
func (p *pool) noteBrokenIdleConn(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.reuseLimit = min(p.currentReuseLimit(now), max(idle/idleLimitDivisor, minIdleLimit))
	p.reuseLimitAt = now
}

// putIdle keeps a connection for the next request, or closes it. A connection on which bytes arrived after the response
// can't be reused.
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
