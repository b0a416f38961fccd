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
)

const (
	maxResponseHeadBytes = 8 << 10          // of one response, with interim responses that came ahead of it
	maxPooledBuffer      = 16 << 10         // larger request buffers are not pooled
	sendStallTimeout     = 10 * time.Second // for a backend to take a chunk of a body
)

// conn is a connection to a backend that carries one request at a time.
//
// net/http's client is not used: its reader takes in the bytes behind a response and may give them to the next request,
// and http.Transport repeats by itself what it holds to be idempotent.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	addrEpoch int // of the backend as the connection was made
	idleSince time.Time
	closeOnce sync.Once
	release   func() // gives the connection back to the pool's count

	mu          sync.Mutex
	interrupted bool
}

func newConn(nc net.Conn, addrEpoch int, release func()) *conn {
	return &conn{
		Conn:      nc,
		reader:    bufio.NewReaderSize(nc, maxResponseHeadBytes),
		addrEpoch: addrEpoch,
		release:   release,
	}
}

// Close closes the connection and gives it back to the pool's count, once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.release)
	return err
}

// interrupt ends reads and writes that are in progress, and all later ones.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// isSilent reports whether the connection is open and nothing has arrived on it that was not read.
func (c *conn) isSilent() bool { return c.reader.Buffered() == 0 && rawsocket.Silent(c.Conn) }

// limitWrite sets the deadline of writes, unless the connection was interrupted. The zero time is none.
func (c *conn) limitWrite(deadline time.Time) {
	c.unlessInterrupted(func() { _ = c.SetWriteDeadline(deadline) })
}

// limitRead sets the deadline of reads, unless the connection was interrupted. The zero time is none.
func (c *conn) limitRead(deadline time.Time) {
	c.unlessInterrupted(func() { _ = c.SetReadDeadline(deadline) })
}

func (c *conn) unlessInterrupted(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		set()
	}
}

// requestBuffers are reused for requests that are being sent.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeRequest sends a request in one write. It returns how many bytes were written and whether that was the whole
// request: a backend can't have run a request that it does not have whole.
func (c *conn) writeRequest(req *http.Request) (int, bool, error) {
	buf := requestBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBuffer {
			requestBuffers.Put(buf)
		}
	}()
	buf.Reset()
	if err := req.Write(buf); err != nil {
		return 0, false, fmt.Errorf("wording the request: %w", err)
	}
	n, err := c.Write(buf.Bytes())
	return n, n == buf.Len(), err
}

// isTimeout reports whether an error is a deadline that has passed.
func isTimeout(err error) bool {
	ne := net.Error(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
