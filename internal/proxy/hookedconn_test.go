package proxy

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// hookedConn is a connection to a backend that calls the test at a point of an attempt.
type hookedConn struct {
	*net.TCPConn
	chosen func()    // for an attempt, of which nothing is written yet
	came   func(int) // so many bytes were read, and are not yet handed over
}

// RemoteAddr is called once for each attempt, between the choice of the connection and the first byte.
func (c *hookedConn) RemoteAddr() net.Addr {
	if c.chosen != nil {
		c.chosen()
	}
	return c.TCPConn.RemoteAddr()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.came != nil {
		c.came(n)
	}
	return n, err
}

// hookedPool returns a pool whose connections pass through with, in the order in which they are made.
func hookedPool(t *testing.T, addr string, with func(n int, c *hookedConn)) (*pool, *backend) {
	t.Helper()
	p, b := testPool(t, addr)
	dial, n := p.dialer, 0
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		h := &hookedConn{TCPConn: c.(*net.TCPConn)}
		with(n, h)
		n++
		return h, nil
	}
	return p, b
}

// waitUntilSeen waits until bytes or the peer's close have arrived on a connection.
func waitUntilSeen(t *testing.T, c net.Conn) {
	for start := time.Now(); rawsocket.Silent(c); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Error("what came was not noticed")
			return
		}
	}
}

// testUpload returns a long body that is complete.
func testUpload() *upload {
	return &upload{prefix: make([]byte, maxBufferedBody), length: maxBufferedBody + 4, startedAt: time.Now(),
		remainder:       strings.NewReader("rest"),
		setReadDeadline: func(time.Time) error { return nil }, onComplete: func() {}, failed: make(chan error, 1)}
}
