package proxy

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// hookedConn is a connection to a backend that calls the test's hooks during an attempt.
type hookedConn struct {
	*net.TCPConn
	onChosen func()    // called once the connection is chosen for an attempt, before anything is written
	onRead   func(int) // called after each read with its number of bytes, before they are returned
}

// RemoteAddr is called once for each attempt, between the choice of the connection and the first byte.
func (c *hookedConn) RemoteAddr() net.Addr {
	if c.onChosen != nil {
		c.onChosen()
	}
	return c.TCPConn.RemoteAddr()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.onRead != nil {
		c.onRead(n)
	}
	return n, err
}

// hookedPool returns a pool with one backend. onConnect is called for each new connection with its number, from 0.
func hookedPool(t *testing.T, addr string, onConnect func(n int, c *hookedConn)) (*pool, *backend) {
	t.Helper()
	p, b := testPool(t, addr)
	dial, n := p.dialer, 0
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		h := &hookedConn{TCPConn: c.(*net.TCPConn)}
		onConnect(n, h)
		n++
		return h, nil
	}
	return p, b
}

// waitForInput waits until unread bytes or the peer's close have arrived on a connection.
func waitForInput(t *testing.T, c net.Conn) {
	for start := time.Now(); rawsocket.Silent(c); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Errorf("neither bytes nor a close arrived on the connection within %v, want one of them", patience)
			return
		}
	}
}

// testUpload returns an upload whose remainder, the last 4 bytes, can be read at once.
func testUpload() *upload {
	return &upload{prefix: make([]byte, maxBufferedBody), length: maxBufferedBody + 4,
		remainder:       strings.NewReader("rest"),
		setReadDeadline: func(time.Time) error { return nil }, onComplete: func() {}, failed: make(chan error, 1)}
}
