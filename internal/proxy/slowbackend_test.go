package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// longUpload returns a message with an upload of the given length, which the client has sent completely.
func longUpload(length int64) *message {
	u := testUpload()
	u.length = length
	remainder := io.LimitReader(readerFunc(func(p []byte) (int, error) {
		return copy(p, strings.Repeat("x", len(p))), nil
	}), length-maxBufferedBody)
	u.remainder = iotest.DataErrReader(remainder) // as net/http's bodies, it ends with its last bytes
	u.readBytes.Store(maxBufferedBody)
	m := testMessage("POST", nil)
	m.upload = u
	return m
}

// dialThrough makes a pool wrap the connections that it dials.
func dialThrough(p *pool, wrap func(*net.TCPConn) net.Conn) {
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wrap(nc.(*net.TCPConn)), nil
	}
}

// Guards against long bodies being cut off for backends that read slowly: writes to them last longer than any deadline,
// although the backend takes bytes all the time.
func TestUploadToSlowBackendIsNotCutOff(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			writeText(c, served)
		}
	}))
	dialThrough(p, func(c *net.TCPConn) net.Conn { return expiringConn{c} })
	result, body := p.exchange(t.Context(), b, longUpload(3<<20))
	if result != decision.OK || string(body) != "fine" {
		t.Errorf("exchange() with a slow backend = %s, body %q, want OK, body \"fine\"", resultName(result), body)
	}
}

// The write of a long body to a backend that reads nothing fails, and the connection is closed.
func TestBackendThatReadsNothingIsLetGo(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	p, b := testPool(t, rawBackend(t, func(int, net.Conn, *bufio.Reader) { <-release }))
	p.sendLimit.Interval = 100 * time.Millisecond
	ended := make(chan decision.Result, 1)
	go func() {
		result, _ := p.exchange(t.Context(), b, longUpload(maxBodyBytes))
		ended <- result
	}()
	result := within(t, ended, "the proxy kept the connection of a backend that reads nothing")
	if result != decision.ConnectFailed {
		t.Errorf("exchange() with a backend that reads nothing = %s, want ConnectFailed", resultName(result))
	}
	if p.open != 0 {
		t.Errorf("pool counts %d open connections after exchange(), want 0", p.open)
	}
}

// blockingConn is a connection that takes no byte of a body beyond its prefix: writes block until bytes have arrived
// from the peer, and then their deadline passes.
type blockingConn struct {
	*net.TCPConn
	t       *testing.T
	written int
}

func (c *blockingConn) Write(p []byte) (int, error) {
	if c.written <= maxBufferedBody {
		n, err := c.TCPConn.Write(p)
		c.written += n
		return n, err
	}
	waitForInput(c.t, c.TCPConn)
	return 0, os.ErrDeadlineExceeded
}

// Guards against an early response being held back: a backend that rejects a long body and reads no further blocks the
// write of the body, and its response is passed on all the same.
func TestEarlyResponseEndsBlockedUpload(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_, _ = io.ReadFull(in, make([]byte, maxBufferedBody))
		writeText(c, "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 0\n\n")
		<-release
	}))
	dialThrough(p, func(c *net.TCPConn) net.Conn { return &blockingConn{TCPConn: c, t: t} })
	result, _ := p.exchange(t.Context(), b, longUpload(maxBodyBytes))
	if result != decision.Rejected {
		t.Errorf("exchange() with an early response = %s, want Rejected", resultName(result))
	}
}

// An attempt that is cancelled while a slow backend takes its body ends at once.
func TestCancelledUploadEndsAtOnce(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	p, b := testPool(t, rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		_, _ = io.ReadFull(in, make([]byte, 2*maxBufferedBody))
		cancel()
		<-release
	}))
	p.sendLimit.Interval = time.Hour
	ended := make(chan decision.Result, 1)
	go func() {
		result, _ := p.exchange(ctx, b, longUpload(maxBodyBytes))
		ended <- result
	}()
	if result := within(t, ended, "the cancelled attempt did not end"); result != decision.Cancelled {
		t.Errorf("exchange() cancelled while its body is sent = %s, want Cancelled", resultName(result))
	}
}

// Guards against clients being blamed for slow backends: the time that a backend takes for a body does not shorten the
// time in which the client has to send its next bytes.
func TestSlowBackendDoesNotShortenBodyDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := testUpload()
		var left time.Duration // until the deadline of the last read
		u.setReadDeadline = func(deadline time.Time) error {
			left = time.Until(deadline)
			return nil
		}
		for range 3 {
			time.Sleep(time.Minute) // the backend takes its time
			if _, err := u.readRemainder(make([]byte, 1)); err != nil {
				t.Fatalf("reading the body: %v", err)
			}
			if left != bodyStallTimeout {
				t.Errorf("the client has %v for its next bytes, want %v", left, bodyStallTimeout)
			}
		}
	})
}

// A body fails if its client sends less than minBodyRate in the time that the proxy waits for it, however long backends
// took before.
func TestSlowBodyIsLetGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := testUpload()
		u.length = maxBodyBytes
		u.readBytes.Store(maxBufferedBody)
		deadline := time.Time{}
		u.setReadDeadline = func(d time.Time) error {
			deadline = d
			return nil
		}
		u.remainder = readerFunc(func([]byte) (int, error) { // a byte a second
			time.Sleep(time.Second)
			if time.Now().After(deadline) {
				return 0, os.ErrDeadlineExceeded
			}
			return 1, nil
		})
		startedAt := time.Now()
		err := error(nil)
		for err == nil && time.Since(startedAt) < time.Hour {
			_, err = u.readRemainder(make([]byte, 1))
		}
		allowed := bodyGracePeriod + maxBufferedBody/minBodyRate*time.Second + 2*time.Second
		if took := time.Since(startedAt); !isTimeout(err) || took > allowed {
			t.Errorf("a body of one byte a second ended after %v with error %v, want a timeout within %v", took, err, allowed)
		}
	})
}
