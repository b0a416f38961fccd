package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/membudget"
	"lapisspread/internal/proxy/httpframe"
	"lapisspread/internal/proxy/rawsocket"
	"lapisspread/internal/slowpeer"
)

const (
	idleCloseDelay    = 5 * time.Millisecond // time without bytes after which a drain may close an idle connection
	newConnCloseDelay = time.Second          // the same for a connection on which no byte has ever arrived

	// limit on the bytes buffered after the request in flight; if more arrive, the connection is closed after it
	maxReadAheadBytes   = maxHeaderBytes
	readAheadChunkBytes = 1 << 10
)

// clientConn is one client's connection. It wraps the socket that net/http reads, and tracks whether the connection is
// between two requests, so that it can be closed or evicted without losing a request.
type clientConn struct {
	net.Conn
	registry    *clientConns
	admissionID admission.ID // set if the registry has admission control
	finishOnce  sync.Once

	mu               sync.Mutex
	idle             bool      // a request has ended and no byte of the next one has been read
	unused           bool      // no byte has been read at all
	stateSince       time.Time // start of the idle or unused time, or of the request in flight
	closed           bool
	handling         bool // net/http has a whole request head and is not done with the request
	served           bool // the request in flight got a successful response
	scanner          httpframe.Scanner
	buffered         []byte // bytes of later requests: net/http gets one request at a time, so that its framing is known
	requestInFlight  bool   // net/http has the last byte of a request and is not done with it
	responseStarted  bool   // part of the response to the request in flight has been written
	readAheadOverrun bool   // more than maxReadAheadBytes arrived after a request
	arrival          arrivalTracker
	headMemory       *membudget.Account // for the head of the request in flight
	headCharged      httpframe.HeadSize // the part of the head that headMemory has taken
	headRefusal      *rejection         // the head must not be read further; nil if it may, or once it is answered
	refused          bool               // a head was answered by refuseHead
	lingering        bool               // closed, but the socket stays open for the last response; no further request is served
}

// Read returns bytes up to the end of the current request. While a request is in flight it blocks until the client
// closes the connection or net/http interrupts it with a deadline, and returns no bytes. It answers a head that must not
// be read further itself.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readRequest(p)
	if refusal := c.takeRefusal(); refusal != nil {
		return 0, c.refuseHead(refusal)
	}
	return n, err
}

// readRequest is Read without the check of the head.
func (c *clientConn) readRequest(p []byte) (int, error) {
	c.mu.Lock()
	if c.requestInFlight {
		c.mu.Unlock()
		return 0, c.watchForClose()
	}
	if c.readAheadOverrun || c.refused { // the next bytes were discarded
		c.mu.Unlock()
		return 0, io.EOF
	}
	if n := copy(p, c.buffered); n > 0 {
		defer c.mu.Unlock()
		c.buffered = c.buffered[n:]
		return c.recordRead(p[:n], nil)
	}
	c.mu.Unlock()
	n, err := c.readSocket(p)
	if n > 0 || !isTimeout(err) {
		return n, err
	}
	c.mu.Lock()
	between := c.idle || c.unused
	c.mu.Unlock()
	if !between || rawsocket.Silent(c.Conn) {
		return n, err
	}
	// A process that was not scheduled for a while sees the idle timeout and a new request at the same time: closing
	// the connection would lose that request.
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
	return c.readSocket(p)
}

// watchForClose buffers what the client sends after the request in flight, and returns once the client has closed the
// connection, net/http is done with the request, or the buffer is full.
//
// net/http detects a client's close by a read of one byte, and stops watching once it has that byte. Without the
// buffer, the close of a client that sent something after its request would go undetected.
func (c *clientConn) watchForClose() error {
	raw, err := rawsocket.Conn(c.Conn)
	if err != nil {
		return err
	}
	var chunk []byte
	for full := false; err == nil && !full; {
		readErr := raw.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			// A client that has its response may send its next request before net/http is done with this one.
			full = c.responseStarted && len(c.buffered)+readAheadChunkBytes > maxReadAheadBytes
			if full {
				return true
			}
			if chunk == nil {
				chunk = make([]byte, readAheadChunkBytes)
			}
			var n int
			n, err = rawsocket.Read(fd, chunk)
			if errors.Is(err, syscall.EAGAIN) {
				err = nil
				return false
			}
			switch {
			case err != nil:
				err = readError(os.NewSyscallError("read", err), c)
			case n == 0:
				err = io.EOF
			default:
				c.readAhead(chunk[:n])
			}
			return true
		})
		if readErr != nil { // net/http is done with the request, or the connection is closed
			return readError(readErr, c)
		}
	}
	return err
}

// readAhead buffers bytes that arrived after the request in flight. The lock must be held.
func (c *clientConn) readAhead(b []byte) {
	if c.readAheadOverrun || len(c.buffered)+len(b) > maxReadAheadBytes {
		c.readAheadOverrun = true
		c.buffered = nil
		return
	}
	c.buffered = append(c.buffered, b...)
}

// readSocket reads from the socket under the lock. Otherwise bytes could be in neither the socket nor the buffer while
// another goroutine checks for silence, and the connection would be closed as idle although a request has arrived.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	raw, err := rawsocket.Conn(c.Conn)
	if err != nil {
		return 0, err
	}
	waited := false
	readErr := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = rawsocket.Read(fd, p)
		if errors.Is(err, syscall.EAGAIN) {
			c.arrival.foundEmpty(time.Now())
			waited = true
			return false
		}
		c.arrival.foundBytes(time.Now(), n, len(p))
		switch {
		case err != nil:
			err = readError(os.NewSyscallError("read", err), c)
		case n == 0 && len(p) > 0:
			err = io.EOF
		}
		n, err = c.recordRead(p[:max(0, n)], err)
		return true
	})
	if !waited {
		runtime.Gosched() // see clientConns.state: a client that sends without a pause must not keep others waiting
	}
	if readErr != nil { // the deadline has passed, or the connection is closed
		return 0, readError(readErr, c)
	}
	return n, err
}

// readError wraps an error as net.Conn's Read does. net/http recognizes this form as the loss of the client, and then
// sends no error response.
func readError(err error, c net.Conn) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// recordRead updates the state for bytes that were read, and returns how many of them belong to the current request.
// The lock must be held. Bytes that arrive after the connection was closed between two requests are dropped: the client
// sends such a request again on another connection, and it must not run twice.
func (c *clientConn) recordRead(b []byte, err error) (int, error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(b) > 0 && (c.idle || c.unused) {
		if !c.unused { // the time of a first request counts from the connection's start
			c.stateSince = time.Now()
		}
		if c.idle && c.registry.admission != nil {
			c.registry.admission.RequestStarted(c.admissionID)
		}
		c.idle = false
		c.unused = false
	}
	n := c.scanner.Scan(b)
	if len(b) > 0 {
		c.chargeHead()
	}
	c.requestInFlight = c.requestInFlight || len(b) > 0 && c.scanner.BetweenRequests()
	if n < len(b) {
		c.buffered = append(slices.Clone(b[n:]), c.buffered...)
	}
	return n, err
}

// Write sends part of a response. It fails with a slowpeer.StalledError if the client takes less of it than the
// registry's write limit.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responseStarted = true
	c.mu.Unlock()
	return slowpeer.Write(slowpeer.Socket{Conn: c.Conn}, p, c.registry.writeLimit)
}

// nextFraming returns the framing of the request that net/http is handling, or false if it is unknown. It may be called
// once per request.
func (c *clientConn) nextFraming() (httpframe.Framing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
	return c.scanner.NextFraming()
}

// Evict closes the connection to make room for another, and reports whether it did. It stays open if a whole request
// head has been read from it or unread bytes have arrived, unless it is lingering.
func (c *clientConn) Evict() bool {
	c.mu.Lock()
	hasRequest := c.handling || c.scanner.HeadComplete()
	evicted := !c.closed && (c.lingering || !hasRequest && (c.nothingToRead() || c.clientLeft()))
	c.closed = c.closed || evicted
	c.mu.Unlock()
	if evicted {
		_ = c.Close()
	}
	return evicted
}

// nothingToRead reports whether the connection is open and nothing has arrived. The lock must be held.
func (c *clientConn) nothingToRead() bool { return len(c.buffered) == 0 && rawsocket.Silent(c.Conn) }

// clientLeft reports whether the client has closed the connection and nothing is left to be read. The lock must be
// held.
func (c *clientConn) clientLeft() bool { return len(c.buffered) == 0 && rawsocket.PeerClosed(c.Conn) }

// Close closes the connection. Closing a socket with unread bytes resets the connection, and the part of the response
// that has not reached the client would be lost. So if there are unread bytes, Close only closes the write side, and
// the socket is closed after lingerTimeout, or later once the client has taken the response. Requests in the unread
// bytes are not served: the client sends them again on another connection.
func (c *clientConn) Close() error {
	c.mu.Lock()
	// The client may still be sending a head that was refused.
	linger := c.responseStarted && !c.closed && !c.lingering && (c.hasUnread() || c.refused)
	c.lingering = c.lingering || linger
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		time.AfterFunc(c.registry.lingerTimeout, func() {
			_ = slowpeer.AwaitAcknowledged(slowpeer.Socket{Conn: c.Conn}, c.registry.writeLimit)
			_ = c.finish()
		})
		return nil
	}
	return c.finish()
}

// isDelivering reports whether the connection was closed and its client still has to take part of the last response.
func (c *clientConn) isDelivering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering {
		return false
	}
	unacknowledged, _ := rawsocket.Unacknowledged(c.Conn)
	return unacknowledged > 0
}

// hasUnread reports whether bytes have arrived that were not read. The lock must be held.
func (c *clientConn) hasUnread() bool {
	return len(c.buffered) > 0 || !rawsocket.Silent(c.Conn) && !rawsocket.PeerClosed(c.Conn)
}

// CloseWrite closes the write side. net/http calls it before it closes a connection that it has not read to the end.
func (c *clientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// finish closes the socket and removes the connection from the registry.
func (c *clientConn) finish() error {
	err := c.Conn.Close()
	c.finishOnce.Do(func() {
		c.headMemory.Close()
		c.registry.remove(c)
		if c.registry.admission != nil {
			c.registry.admission.Remove(c.admissionID)
		}
	})
	return err
}

// closeIfIdle closes the connection if it is between requests and nothing has arrived on it. An unused connection gets
// more time: its first request is probably on its way.
func (c *clientConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	silence := now.Sub(c.stateSince)
	due := c.idle && silence >= idleCloseDelay || c.unused && silence >= newConnCloseDelay
	closed := due && !c.closed && c.nothingToRead()
	c.closed = c.closed || closed
	c.mu.Unlock()
	if closed {
		_ = c.Close()
	}
}

// evictIfIdle closes the connection to make room for another, if it is between requests and nothing has arrived on it.
// It reports whether it did. Otherwise the connection's idle time restarts, so that the next search tries another one.
func (c *clientConn) evictIfIdle() bool {
	c.mu.Lock()
	evicted := c.lingering || (c.idle || c.unused) && c.nothingToRead()
	c.closed = c.closed || evicted
	c.stateSince = time.Now()
	c.mu.Unlock()
	if evicted {
		_ = c.Close()
	}
	return evicted
}

// evictionRank orders connections by which is evicted first to make room for another.
type evictionRank uint8

const (
	delivered       evictionRank = iota // closed, and its client has the whole last response
	withoutRequest                      // unused, or closed with part of the last response still under way
	betweenRequests                     // idle
	notEvictable                        // in the middle of a request, or closed
)

// evictionRank returns the connection's rank. The lock must be held.
func (c *clientConn) evictionRank() evictionRank {
	switch {
	case c.closed:
		return notEvictable
	case c.lingering:
		if unacknowledged, _ := rawsocket.Unacknowledged(c.Conn); unacknowledged == 0 {
			return delivered
		}
		return withoutRequest
	case c.unused:
		return withoutRequest
	case c.idle:
		return betweenRequests
	}
	return notEvictable
}

// requestStart returns when the request in flight started: at its first byte, or at the start of a new connection.
func (c *clientConn) requestStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateSince
}

// setIdle is called when net/http starts to handle a request (false) or is done with one (true).
func (c *clientConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle != c.idle {
		c.idle = idle
		c.stateSince = time.Now()
	}
	if idle {
		c.handling = false
		c.requestInFlight = false
		c.responseStarted = false
		c.headMemory.Reset()
		c.headCharged = httpframe.HeadSize{}
	}
}

// requestStarted notifies admission control that a whole request head has arrived. c may be nil.
func (c *clientConn) requestStarted() {
	if c != nil {
		c.registry.admission.RequestReceived(c.admissionID)
	}
}

// reserveBytes counts a body against the limit of the client's address, and reports whether it is within that limit. c
// may be nil.
func (c *clientConn) reserveBytes(bytes int64) bool {
	return c == nil || c.registry.admission.AcquireBody(c.admissionID, bytes)
}

// markServed records that the request in flight was served; requestEnded then credits its client. c may be nil.
func (c *clientConn) markServed() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.served = true
	c.mu.Unlock()
}

// requestEnded notifies admission control that the request has ended. c may be nil.
func (c *clientConn) requestEnded() {
	if c == nil {
		return
	}
	c.mu.Lock()
	served := c.served
	c.served = false
	c.mu.Unlock()
	c.registry.admission.RequestDone(c.admissionID, served)
}
