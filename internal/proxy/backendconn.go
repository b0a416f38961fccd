package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"lapisspread/internal/proxy/rawsocket"
	"lapisspread/internal/slowpeer"
)

const (
	maxResponseHeadBytes = 8 << 10          // bytes; limit for each response head, also of an interim response
	maxPooledBuffer      = 16 << 10         // bytes; larger request buffers are not pooled
	sendStallTimeout     = 10 * time.Second // in which a backend must take copyChunkBytes of a request's body
)

// conn is a connection to a backend that carries one request at a time.
//
// net/http's client is not used: its reader buffers the bytes after a response and may take them for the next response,
// and http.Transport itself retries requests that it considers idempotent.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	addrEpoch int       // the backend's addrEpoch when the connection was dialed
	idleSince time.Time // when the connection last became idle; zero before its first request has ended
	closeOnce sync.Once
	release   func()         // removes the connection from the pool's count
	sendLimit slowpeer.Limit // the least that the backend must take of a streamed request

	mu          sync.Mutex
	interrupted bool // set by interrupt; the deadlines must not be changed afterwards
}

func newConn(nc net.Conn, addrEpoch int, release func()) *conn {
	return &conn{
		Conn:      nc,
		reader:    bufio.NewReaderSize(nc, maxResponseHeadBytes),
		addrEpoch: addrEpoch,
		release:   release,
	}
}

// Close closes the connection and removes it from the pool's count. Repeated calls do not count again.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.release)
	return err
}

// interrupt makes reads and writes in progress and all later ones fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// isSilent reports whether the connection is open and has no unread bytes.
func (c *conn) isSilent() bool { return c.reader.Buffered() == 0 && rawsocket.Silent(c.Conn) }

// limitWrite sets the deadline of writes, unless the connection was interrupted. The zero time is no deadline.
func (c *conn) limitWrite(deadline time.Time) {
	_ = c.unlessInterrupted(func() error { return c.SetWriteDeadline(deadline) })
}

// limitRead sets the deadline of reads, unless the connection was interrupted. The zero time is no deadline.
func (c *conn) limitRead(deadline time.Time) {
	_ = c.unlessInterrupted(func() error { return c.SetReadDeadline(deadline) })
}

// unlessInterrupted calls set and returns its error, or returns os.ErrDeadlineExceeded if the connection was
// interrupted.
func (c *conn) unlessInterrupted(set func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return os.ErrDeadlineExceeded
	}
	return set()
}

// requestBuffers holds buffers in which requests are formatted.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeRequest sends a request in one write. It returns how many bytes were written and whether that was the complete
// request: a backend can't have run a request that it got only in part.
func (c *conn) writeRequest(req *http.Request) (int, bool, error) {
	buf := requestBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBuffer {
			requestBuffers.Put(buf)
		}
	}()
	buf.Reset()
	if err := req.Write(buf); err != nil {
		return 0, false, fmt.Errorf("formatting the request: %w", err)
	}
	n, err := c.Write(buf.Bytes())
	return n, n == buf.Len(), err
}

// isTimeout reports whether an error is a deadline that has passed.
func isTimeout(err error) bool {
	ne := net.Error(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
