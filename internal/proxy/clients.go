package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/listener"
)

const (
	evictTries = 4                     // bounds the search for a place, whose cost grows with the connections
	closeRest  = 5 * time.Millisecond  // a connection that is to be closed was silent for so long,
	freshRest  = time.Second           // or for so long if nothing ever came on it
	duckLook   = 20 * time.Millisecond // how often a lame duck looks for idle connections
	heldBytes  = headerBytes           // behind a request in hand; whoever sends more ahead of its answer is served no further
	heldPiece  = 1 << 10
)

// clientConns keeps track of the clients' connections, within a limit on their number.
type clientConns struct {
	mu       sync.Mutex
	all      map[*clientConn]bool
	most     int
	shared   bool          // with another process of this proxy
	linger   time.Duration // for the last answer on a connection, where bytes stand unread
	draining bool          // the process ends
	lastIn   time.Duration // by the front end's clock: who comes after it has no time for a long answer,
	ends     time.Duration // and a short one must be out by then
	duckFrom time.Time     // lame duck since then; zero if it is none

	door     *listener.ConnLimiter // who gets a place; nil is whoever comes, for whom nothing was heard of for longest
	told     int                   // who were turned away with an answer in the second of toldAt
	toldAt   time.Time
	turnAway []byte
}

func newClientConns(most int) *clientConns {
	return &clientConns{all: map[*clientConn]bool{}, most: most, linger: rejectDrain}
}

// clientConn is a client's connection. It knows whether it stands between two requests.
type clientConn struct {
	net.Conn
	conns *clientConns
	id    admission.ID // at the door
	once  sync.Once

	mu      sync.Mutex
	waiting bool      // no byte of a next request has been read
	fresh   bool      // nor of any request
	since   time.Time // it waits; else of the request in hand, from which its time counts
	closed  bool
	serving bool // a whole request's head was handed to the server, and it has not done with it
	served  bool // and was served
	framer  framer
	pending []byte // read, but of a next message: net/http gets one at a time, each after its framing is known
	inHand  bool   // the last byte of a request was handed to the server, and it has not done with it
	wrote   bool   // something of an answer to it
	overrun bool   // more came behind a request than is held
	lingers bool   // its last answer is on its way out; it serves no more
}

// Read gives what has come, up to the end of a message. While a request is in hand it gives nothing but the client's end.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.inHand {
		c.mu.Unlock()
		return 0, c.watch()
	}
	if c.overrun { // what would come next was thrown away
		c.mu.Unlock()
		return 0, io.EOF
	}
	if n := copy(p, c.pending); n > 0 {
		defer c.mu.Unlock()
		c.pending = c.pending[n:]
		return c.note(p[:n], nil)
	}
	c.mu.Unlock()
	n, err := c.receive(p)
	if n > 0 || !timedOut(err) {
		return n, err
	}
	// Danger: a process that had no processor for a moment finds the time of an idle connection up and a request in it at
	// once. The deadline is told first, and the close that follows would lose the request; so what has come by then is
	// read, in a new request's time.
	c.mu.Lock()
	between := c.waiting || c.fresh
	c.mu.Unlock()
	if !between || silent(c.Conn) {
		return n, err
	}
	c.Conn.SetReadDeadline(time.Now().Add(headerTimeout))
	return c.receive(p)
}

// watch reads on behind the request in hand until the client's end, or until the server has done with the request.
//
// Danger: the server looks for a client's end by a read of one byte, and by none any more once it has that byte. A
// client that has sent something behind its request and left would be taken for one that waits. So these bytes are held
// back here and the look goes on.
func (c *clientConn) watch() error {
	raw, err := rawOf(c.Conn)
	if err != nil {
		return err
	}
	var piece []byte
	for full := false; err == nil && !full; {
		failed := raw.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			// A client that has its answer may send its next request before the server has done with this one.
			if full = c.wrote && len(c.pending)+heldPiece > heldBytes; full {
				return true
			}
			if piece == nil {
				piece = make([]byte, heldPiece)
			}
			var n int
			n, err = read(fd, piece)
			if errors.Is(err, syscall.EAGAIN) {
				err = nil
				return false
			}
			switch {
			case err != nil:
				err = readError(os.NewSyscallError("read", err), c)
			case n == 0:
				err = io.EOF
			case c.overrun || len(c.pending)+n > heldBytes:
				c.overrun, c.pending = true, nil
			default:
				c.pending = append(c.pending, piece[:n]...)
			}
			return true
		})
		if failed != nil { // the server has done with the request, or the connection is closed
			return readError(failed, c)
		}
	}
	return err
}

// read is one read from a socket.
func read(fd uintptr, p []byte) (n int, err error) {
	for n, err = syscall.Read(int(fd), p); errors.Is(err, syscall.EINTR); n, err = syscall.Read(int(fd), p) {
	}
	return n, err
}

// receive reads from the socket. Danger: what is read has to be noted under the lock of those who look whether the
// connection is quiet. Between the two it stands nowhere, and a request that has come in time would be closed as silence.
func (c *clientConn) receive(p []byte) (n int, err error) {
	raw, err := rawOf(c.Conn)
	if err != nil {
		return 0, err
	}
	failed := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = read(fd, p)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		switch {
		case err != nil:
			err = readError(os.NewSyscallError("read", err), c)
		case n == 0 && len(p) > 0:
			err = io.EOF
		}
		n, err = c.note(p[:max(0, n)], err)
		return true
	})
	if failed != nil { // its time is up, or it is closed
		return 0, readError(failed, c)
	}
	return n, err
}

// readError is an error as net.Conn's Read tells it: net/http knows by that name that nobody is there to be answered.
func readError(err error, c net.Conn) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// note takes in what was read, and tells how much of it is the message under way. The lock is held. What comes in once
// the connection was closed between two requests is dropped. Danger: the client sends such a request again elsewhere; if
// it were served here too, it would run twice.
func (c *clientConn) note(b []byte, err error) (int, error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(b) > 0 && (c.waiting || c.fresh) {
		if !c.fresh { // a first request's time counts from the connection's start
			c.since = time.Now()
		}
		if c.waiting && c.conns.door != nil {
			c.conns.door.RequestStarted(c.id)
		}
		c.waiting, c.fresh = false, false
	}
	whole := c.framer.scan(b)
	c.inHand = c.inHand || len(b) > 0 && c.framer.between()
	if whole < len(b) {
		c.pending = append(slices.Clone(b[whole:]), c.pending...)
	}
	return whole, err
}

// Write sends what belongs to an answer.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// framing is that of the request being handled. Each may be asked for once.
func (c *clientConn) framing() (framing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	return c.framer.next()
}

// Evict closes the connection for one that comes, unless a whole request of it is in hand or something stands to be
// read on it. Part of a head is no request yet: nobody is owed an answer to it.
func (c *clientConn) Evict() bool {
	c.mu.Lock()
	whole := c.serving || len(c.framer.ended) > 0 || c.framer.state != inHead && c.framer.state != lost
	evicted := !c.closed && (c.lingers || !whole) && (c.lingers || c.quiet() || len(c.pending) == 0 && over(c.Conn))
	c.closed = c.closed || evicted
	c.mu.Unlock()
	if evicted {
		c.Close()
	}
	return evicted
}

// quiet tells whether nothing stands to be read. The lock must be held.
func (c *clientConn) quiet() bool { return len(c.pending) == 0 && silent(c.Conn) }

// Close closes the connection. Danger: a close over unread bytes resets it, and what of an answer has not reached the client
// is lost with that. So where there are some, the sending is ended first and the rest comes a little later. They are not
// read: the client sends such a request again elsewhere.
func (c *clientConn) Close() error {
	c.mu.Lock()
	linger := c.wrote && !c.closed && !c.lingers && (len(c.pending) > 0 || !silent(c.Conn) && !over(c.Conn))
	c.lingers = c.lingers || linger
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		time.AfterFunc(c.conns.linger, func() { c.finish() })
		return nil
	}
	return c.finish()
}

// CloseWrite ends the sending: the server does so before it closes what it has not read to its end.
func (c *clientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *clientConn) finish() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.conns.mu.Lock()
		delete(c.conns.all, c)
		c.conns.mu.Unlock()
		if c.conns.door != nil {
			c.conns.door.Remove(c.id)
		}
	})
	return err
}

// closeWaiting closes the connection if it is between requests and nothing stands to be read on it. One on which
// nothing has come yet is given more time: its first request is most likely on its way.
func (c *clientConn) closeWaiting(now time.Time) {
	c.mu.Lock()
	waits := c.waiting && now.Sub(c.since) >= closeRest || c.fresh && now.Sub(c.since) >= freshRest
	closed := waits && !c.closed && c.quiet()
	c.closed = c.closed || closed
	c.mu.Unlock()
	if closed {
		c.Close()
	}
}

// evict closes the connection for one that comes, unless something stands to be read on it.
func (c *clientConn) evict() bool {
	c.mu.Lock()
	evicted := c.lingers || (c.waiting || c.fresh) && c.quiet()
	c.closed = c.closed || evicted
	c.since = time.Now()
	c.mu.Unlock()
	if evicted {
		c.Close()
	}
	return evicted
}

// begun is the time at which a request's own time began.
func (c *clientConn) begun() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// connKey is where a request's context has its connection.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// state follows the server: a connection waits once the server has done with a request. The server may by
// then have read into the next one; it then calls again with StateActive.
func (s *clientConns) state(nc net.Conn, state http.ConnState) {
	c, ours := nc.(*clientConn)
	if !ours || state != http.StateIdle && state != http.StateActive {
		return
	}
	c.mu.Lock()
	if waits := state == http.StateIdle; waits != c.waiting {
		c.waiting, c.since = waits, time.Now()
	}
	c.serving = c.serving && state != http.StateIdle
	c.inHand = c.inHand && state != http.StateIdle
	c.wrote = c.wrote && state != http.StateIdle
	c.mu.Unlock()
}

// guest is a request's connection as the door has it; nil where there is no door.
func (s *clientConns) guest(r *http.Request) *clientConn {
	if s.door == nil {
		return nil
	}
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// begin tells the door of a whole request's head.
func (c *clientConn) begin() {
	if c != nil {
		c.conns.door.RequestReceived(c.id)
	}
}

// hold counts a body against the client's address, or tells that it may hold no more.
func (c *clientConn) hold(bytes int64) bool { return c == nil || c.conns.door.AcquireBody(c.id, bytes) }

// noteServed has the request in hand count for its client.
func (c *clientConn) noteServed() {
	if c != nil {
		c.mu.Lock()
		c.served = true
		c.mu.Unlock()
	}
}

// end tells the door of the request's end.
func (c *clientConn) end() {
	if c == nil {
		return
	}
	c.mu.Lock()
	served := c.served
	c.served = false
	c.mu.Unlock()
	c.conns.door.RequestDone(c.id, served)
}

// add enters a connection, or gives nil if there is no place for it: if all are taken, the one that has been
// silent from its start for longest makes place, else the one that has been idle for longest, but none with
// a request begun.
func (s *clientConns) add(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, conns: s, fresh: true, since: time.Now()}
	if s.door != nil {
		id, _ := s.door.Arrive(nc.RemoteAddr(), c)
		if id == 0 {
			s.refuse(nc)
			return nil
		}
		c.id = id
		s.mu.Lock()
		s.all[c] = true
		s.mu.Unlock()
		return c
	}
	for range evictTries {
		if s.enter(c, s.places()) {
			return c
		}
		s.mu.Lock()
		victim := s.longestWaiting()
		s.mu.Unlock()
		if victim == nil {
			break
		}
		victim.evict()
	}
	if s.enter(c, s.most) {
		return c
	}
	return nil
}

// enter takes a connection in if there are fewer than so many.
func (s *clientConns) enter(c *clientConn, places int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) >= places {
		return false
	}
	s.all[c] = true
	return true
}

// places is how many connections there may be as long as one of them is idle. Danger: in an upgrade two processes share the
// descriptors, and idle clients could fill the places of both.
func (s *clientConns) places() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared {
		return s.most / 2
	}
	return s.most
}

// setShared tells whether another process of this proxy has clients too. What is idle beyond the half makes place.
func (s *clientConns) setShared(shared bool) {
	s.mu.Lock()
	s.shared = shared
	s.mu.Unlock()
	for places := s.places(); s.number() > places && s.evictIdle(); {
	}
}

func (s *clientConns) number() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// evictIdle closes the connection that has been silent or idle for longest, if there is one.
func (s *clientConns) evictIdle() bool {
	for range evictTries {
		s.mu.Lock()
		victim := s.longestWaiting()
		s.mu.Unlock()
		if victim == nil {
			return false
		}
		if victim.evict() {
			return true
		}
	}
	return false
}

// mostTold is how many of those that are turned away in a second are told so: a flood need not be answered.
const mostTold = 1000

// refuse tells somebody that no place is free, in the few bytes that a new connection has room for.
func (s *clientConns) refuse(nc net.Conn) {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.toldAt) >= time.Second {
		s.told, s.toldAt = 0, now
	}
	s.told++
	tell := s.told <= mostTold
	s.mu.Unlock()
	if tell {
		nc.SetWriteDeadline(time.Now().Add(closeRest))
		nc.Write(s.turnAway)
	}
}

// longestWaiting is the connection to close first, or nil. The lock must be held.
func (s *clientConns) longestWaiting() *clientConn {
	var found *clientConn
	fresh, since := false, time.Time{}
	for c := range s.all {
		c.mu.Lock()
		first := c.fresh || c.lingers
		if (c.waiting || first) && !c.closed &&
			(found == nil || first && !fresh || first == fresh && c.since.Before(since)) {
			found, fresh, since = c, first, c.since
		}
		c.mu.Unlock()
	}
	return found
}

// list gives all connections.
func (s *clientConns) list() []*clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.all))
}

// closeIdle closes the connections that wait for a request, and tells how many remain.
func (s *clientConns) closeIdle(now time.Time) int {
	for _, c := range s.list() {
		c.closeWaiting(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// setDraining has the connections end from now on, and the answers to what comes late within most.
func (s *clientConns) setDraining(now, most time.Duration) {
	s.mu.Lock()
	s.draining, s.lastIn, s.ends = true, now+acceptOn, now+most
	s.mu.Unlock()
}

// isLate tells whether a request that came then comes late in a drain.
func (s *clientConns) isLate(came time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && came > s.lastIn
}

// left is how much time a request that comes now has at most, if it comes late in a drain.
func (s *clientConns) left(now time.Duration) (left time.Duration, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends - now, s.draining && now > s.lastIn
}

// closeUnread closes all connections but those with a whole request in hand or with something that stands to be read.
func (s *clientConns) closeUnread() {
	for _, c := range s.list() {
		c.Evict()
	}
}

// isDraining tells whether clients are sent away, for good or for a time.
func (s *clientConns) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || !s.duckFrom.IsZero()
}

// setLameDuck has clients sent away, or taken again. Unlike a drain it goes on taking connections: the front
// asks after the proxy's health on new ones, and the way back must be open.
func (s *clientConns) setLameDuck(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.duckFrom = time.Time{}
	case s.duckFrom.IsZero():
		s.duckFrom = time.Now()
	}
}

// runLameDuck closes idle connections while the proxy is a lame duck, once those that were on their way are there.
func (s *clientConns) runLameDuck(ctx context.Context) {
	tick := time.NewTicker(duckLook)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		due := !s.duckFrom.IsZero() && time.Since(s.duckFrom) >= acceptOn
		s.mu.Unlock()
		if due {
			s.closeIdle(time.Now())
		}
	}
}

// clientListener takes no more connections than there are sockets for. It never waits for a place: silent
// connections would shut out all others.
type clientListener struct {
	net.Listener
	conns *clientConns
}

func (l *clientListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}
