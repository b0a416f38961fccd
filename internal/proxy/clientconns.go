package proxy

import (
	"context"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"time"

	"lapisspread/internal/listener"
	"lapisspread/internal/membudget"
	"lapisspread/internal/slowpeer"
)

const (
	maxEvictAttempts       = 4    // bounds the search for an idle connection; each attempt scans all connections
	maxRejectionsPerSecond = 1000 // further rejected connections get no response: the senders of a flood need none
)

// clientConns is the registry of all client connections. It limits their number.
type clientConns struct {
	mu            sync.Mutex
	open          map[*clientConn]bool
	maxOpen       int            // limit on the number of open connections
	shared        bool           // another process of this proxy has client connections too
	lingerTimeout time.Duration  // how long a closed connection with unread bytes stays open for its last response
	writeLimit    slowpeer.Limit // the least that a client must take of what is written to it

	draining           bool      // the process is ending
	lateAfter          time.Time // requests that arrive later are late
	drainEnd           time.Time // responses to late requests must be sent by then
	operatorDrainSince time.Time // when an operator started a drain; zero without one

	memory            *membudget.Budget     // for heads; nil is not limited
	admission         *listener.ConnLimiter // if nil, a full registry evicts the connection idle for longest
	rejectedInWindow  int                   // number of rejected connections in the second from rejectionWindow on
	rejectionWindow   time.Time
	rejectionResponse []byte // complete HTTP response for rejected connections
}

// newClientConns returns an empty registry of at most maxOpen connections.
func newClientConns(maxOpen int) *clientConns {
	return &clientConns{
		open:          map[*clientConn]bool{},
		maxOpen:       maxOpen,
		lingerTimeout: rejectReadTimeout,
		writeLimit:    slowpeer.Limit{Interval: writeStallTimeout, Bytes: copyChunkBytes},
	}
}

// admit registers a connection, or returns nil if the limit is reached. Without admission control a full registry
// evicts the connection that was unused for longest, else the one that was idle for longest, but none with a request in
// flight.
func (s *clientConns) admit(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, registry: s, unused: true, stateSince: time.Now(), headMemory: s.memory.Open()}
	if s.admission != nil {
		id, _ := s.admission.Arrive(nc.RemoteAddr(), c)
		if id == 0 {
			return nil
		}
		c.admissionID = id
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		return c
	}
	for range maxEvictAttempts {
		if s.tryAdd(c, s.idleLimit()) {
			return c
		}
		victim := s.longestIdle()
		if victim == nil {
			break
		}
		victim.evictIfIdle()
	}
	if s.tryAdd(c, s.maxOpen) {
		return c
	}
	return nil
}

// tryAdd registers a connection if fewer than limit are open, and reports whether it did.
func (s *clientConns) tryAdd(c *clientConn, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= limit {
		return false
	}
	s.open[c] = true
	return true
}

// remove unregisters a connection.
func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// setMaxOpen sets the limit on the number of open connections.
func (s *clientConns) setMaxOpen(maxOpen int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOpen = maxOpen
}

// idleLimit returns how many connections may be open while one of them is idle. During a hot restart two processes
// share the descriptors, and idle clients must not use them up in both.
func (s *clientConns) idleLimit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared {
		return s.maxOpen / 2
	}
	return s.maxOpen
}

// setShared sets whether another process of this proxy has client connections too. If so, idle connections beyond half
// of the limit are closed.
func (s *clientConns) setShared(shared bool) {
	s.mu.Lock()
	s.shared = shared
	s.mu.Unlock()
	limit := s.idleLimit()
	for s.count() > limit {
		if !s.evictIdle() {
			return
		}
	}
}

// count returns the number of open connections.
func (s *clientConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// evictIdle closes the connection that was unused or idle for longest, and reports whether there was one.
func (s *clientConns) evictIdle() bool {
	for range maxEvictAttempts {
		victim := s.longestIdle()
		if victim == nil {
			return false
		}
		if victim.evictIfIdle() {
			return true
		}
	}
	return false
}

// longestIdle returns the connection to evict first, or nil: of the lowest evictionRank, that for longest.
func (s *clientConns) longestIdle() *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *clientConn
	var victimRank evictionRank
	var victimSince time.Time
	for c := range s.open {
		c.mu.Lock()
		rank := c.evictionRank()
		if victim == nil || rank < victimRank || rank == victimRank && c.stateSince.Before(victimSince) {
			victim = c
			victimRank = rank
			victimSince = c.stateSince
		}
		c.mu.Unlock()
	}
	if victimRank == notEvictable {
		return nil
	}
	return victim
}

// rejectConn sends a short rejection, which fits into the send buffer of a new connection, at most
// maxRejectionsPerSecond times a second.
func (s *clientConns) rejectConn(nc net.Conn) {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.rejectionWindow) >= time.Second {
		s.rejectedInWindow = 0
		s.rejectionWindow = now
	}
	s.rejectedInWindow++
	send := s.rejectedInWindow <= maxRejectionsPerSecond
	s.mu.Unlock()
	if send {
		_ = nc.SetWriteDeadline(time.Now().Add(idleCloseDelay))
		_, _ = nc.Write(s.rejectionResponse)
	}
}

// snapshot returns all connections.
func (s *clientConns) snapshot() []*clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// withConn is the ConnContext of the HTTP server: it stores the connection in the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, nc)
}

// connOf returns the connection of a request, or nil if no clientListener accepted it.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return c
}

// admittedConn returns the connection of a request if there is admission control, else nil.
func (s *clientConns) admittedConn(r *http.Request) *clientConn {
	if s.admission == nil {
		return nil
	}
	return connOf(r)
}

// state is the ConnState of the HTTP server. A connection is idle once net/http is done with a request. net/http may
// already have read part of the next one; it then calls state again with StateActive.
func (s *clientConns) state(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle(true)
		// A client that sends its requests without a pause keeps this goroutine busy, and others, which run several
		// goroutines for a request, would wait for a time slice at each step.
		runtime.Gosched()
	case http.StateActive:
		c.setIdle(false)
	}
}

// clientListener accepts connections within the limit of their registry, so that the process doesn't run out of
// descriptors. It never waits until a connection closes: otherwise silent connections would keep out all others.
type clientListener struct {
	net.Listener
	conns *clientConns
}

// Accept waits for the next connection that the registry admits. It closes the others.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		l.conns.rejectConn(nc)
		_ = nc.Close()
	}
}
