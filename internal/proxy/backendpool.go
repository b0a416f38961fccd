package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/slowpeer"
)

var (
	errNoSockets     = errors.New("no socket left for another backend connection")
	errBackendClosed = errors.New("backend is draining, was removed or has moved")
	errStaleConn     = errors.New("bytes or a close arrived on the idle connection")
	errSendTooLate   = errors.New("attempt no longer allowed")
	errNotSettled    = errors.New("attempt ended before an idle connection could be reused")
)

// pool holds the connections to all backends of a service, within a limit on their number. It is the engine's upstream
// for HTTP. All methods may be called by any goroutine.
type pool struct {
	dialer         func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout time.Duration
	idleTimeout    time.Duration  // idle connections are closed after this time
	staleWindow    time.Duration  // a reused connection that breaks within this time was stale; see staleConnWindow
	sendLimit      slowpeer.Limit // the least that a backend must take of a streamed request
	attempts       *atomic.Int64  // counts the requests that were written completely, without health checks
	fleetHeaders   bool           // the X-Fleet-* headers of attempts are set by the proxy; a client's own are removed
	quota          *connQuota     // limit shared by all services' pools; nil if this pool may use all connections

	mu       sync.Mutex
	backends map[decision.BackendID]*backend
	open     int // number of connections, including those being dialed
	maxOpen  int

	reuseLimit   time.Duration // longest idle time after which a connection is reused, as of reuseLimitAt
	reuseLimitAt time.Time
}

// backend is one backend's address and idle connections. The pool's lock guards it.
type backend struct {
	addr      string
	addrEpoch int // counts changes of the address; connections to an earlier address are not reused
	draining  bool
	idle      []*conn // the most recently used connection is last
}

func newPool(maxOpen int, connectTimeout, idleTimeout time.Duration) *pool {
	return &pool{
		dialer:         new(net.Dialer).DialContext,
		connectTimeout: connectTimeout,
		idleTimeout:    idleTimeout / idleTimeoutDivisor,
		staleWindow:    staleConnWindow,
		sendLimit:      slowpeer.Limit{Interval: sendStallTimeout, Bytes: copyChunkBytes},
		attempts:       new(atomic.Int64),
		backends:       map[decision.BackendID]*backend{},
		maxOpen:        maxOpen,
		reuseLimit:     idleTimeout / idleTimeoutDivisor,
	}
}

// Update applies an endpoint list. The idle connections of a backend that drains, is removed or moves to another
// address are closed, and attempts that wait for a connection to it are no longer sent.
func (p *pool) Update(list List) {
	closeAll(p.update(list))
}

// update applies a list and returns the connections that the caller must close.
func (p *pool) update(list List) (stale []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[decision.BackendID]bool{}
	for _, m := range list.Endpoints {
		id := backendID(m.ID)
		listed[id] = true
		b := p.backends[id]
		if m.State == decision.Removed {
			stale = append(stale, p.remove(id)...)
			continue
		}
		if b == nil {
			b = &backend{addr: m.Addr}
			p.backends[id] = b
		}
		b.draining = m.State == decision.Draining
		moved := m.Addr != "" && m.Addr != b.addr
		if moved || b.draining {
			stale = append(stale, b.idle...)
			b.idle = nil
		}
		if moved {
			b.addr = m.Addr
			b.addrEpoch++
		}
	}
	if list.Full {
		for id := range p.backends {
			if !listed[id] {
				stale = append(stale, p.remove(id)...)
			}
		}
	}
	return stale
}

// remove deletes a backend from the pool and returns its idle connections. The lock must be held.
func (p *pool) remove(id decision.BackendID) []*conn {
	b := p.backends[id]
	if b == nil {
		return nil
	}
	delete(p.backends, id)
	b.draining = true // attempts that still refer to this backend must not be sent
	return b.idle
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// Find returns the backend with an ID, or nil if there is none.
func (p *pool) Find(id decision.BackendID) engine.Backend {
	if b := p.lookup(id); b != nil {
		return poolBackend{pool: p, backend: b}
	}
	return nil // a poolBackend without a backend would be a non-nil interface value
}

func (p *pool) lookup(id decision.BackendID) *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[id]
}

// Release closes the idle connections of a backend.
func (p *pool) Release(id decision.BackendID) {
	p.mu.Lock()
	var stale []*conn
	if b := p.backends[id]; b != nil {
		stale = b.idle
		b.idle = nil
	}
	p.mu.Unlock()
	closeAll(stale)
}

// setMaxOpen sets the limit on the number of connections. Existing connections beyond a lower limit are not closed.
func (p *pool) setMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
}

// reserve counts a connection that is about to be dialed. At the limit it closes the connection that was idle for
// longest, of any backend; it reports false if there is none.
func (p *pool) reserve() bool {
	var evicted *conn
	defer func() {
		if evicted != nil {
			_ = evicted.Close() // after unlocking: Close takes the lock
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen {
		b := p.longestIdle()
		if b == nil {
			return false
		}
		evicted = b.idle[0]
		b.dropIdle(0)
	}
	if p.quota != nil && !p.quota.acquire() {
		return false
	}
	p.open++
	return true
}

// longestIdle returns the backend of the connection that was idle for longest, or nil if no connection is idle. The
// lock must be held.
func (p *pool) longestIdle() *backend {
	var found *backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (found == nil || b.idle[0].idleSince.Before(found.idle[0].idleSince)) {
			found = b
		}
	}
	return found
}

// releaseReservation removes a connection that reserve counted.
func (p *pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.quota != nil {
		p.quota.release()
	}
}

// dial opens a new connection to a backend within connectTimeout. The error is errNoSockets at the connection limit.
func (p *pool) dial(ctx context.Context, b *backend) (*conn, error) {
	p.mu.Lock()
	addr := b.addr
	addrEpoch := b.addrEpoch
	p.mu.Unlock()
	if !p.reserve() {
		return nil, errNoSockets
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	nc, err := p.dialer(ctx, "tcp", addr)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	c := newConn(nc, addrEpoch, p.releaseReservation)
	c.sendLimit = p.sendLimit
	return c, nil
}

// checkSendable returns an error if a request's first byte must not be written to a connection. It is called right
// before the write: since the connection was chosen the backend may have started to drain or have moved, the client may
// have left, and bytes that arrived on the connection would be taken for the response.
func (p *pool) checkSendable(ctx context.Context, b *backend, c *conn) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	p.mu.Lock()
	closed := b.draining || b.addrEpoch != c.addrEpoch
	p.mu.Unlock()
	switch {
	case closed:
		return errBackendClosed
	case !c.isSilent():
		return errStaleConn
	}
	return nil
}
