package proxy

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// gatedConn is a connection whose reads stop after they took bytes from the socket, until the test lets them return.
type gatedConn struct {
	*net.TCPConn
	bytesTaken chan struct{} // receives when a read has taken its bytes and waits for resume
	resume     chan struct{} // closed to let reads return
}

func (h gatedConn) waitForResume() {
	h.bytesTaken <- struct{}{}
	<-h.resume
}

func (h gatedConn) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	h.waitForResume()
	return n, err
}

func (h gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := h.TCPConn.SyscallConn()
	return gatedRawConn{raw, h}, err
}

type gatedRawConn struct {
	syscall.RawConn
	gated gatedConn
}

func (r gatedRawConn) Read(f func(fd uintptr) bool) error {
	err := r.RawConn.Read(f)
	r.gated.waitForResume()
	return err
}

// A connection must not be closed as idle while a request's bytes have been read from its socket but not yet recorded.
func TestRequestBeingReadIsNotIdle(t *testing.T) {
	hourAgo := time.Now().Add(-time.Hour)
	for name, tc := range map[string]struct {
		unused bool // no request was read on the connection before
		close  func(c *clientConn)
	}{
		"Evict, unused connection":       {true, func(c *clientConn) { c.Evict() }},
		"Evict, idle connection":         {false, func(c *clientConn) { c.Evict() }},
		"evictIfIdle, unused connection": {true, func(c *clientConn) { c.evictIfIdle() }},
		"evictIfIdle, idle connection":   {false, func(c *clientConn) { c.evictIfIdle() }},
		"closeIfIdle, unused connection": {true, func(c *clientConn) { c.closeIfIdle(time.Now()) }},
		"closeIfIdle, idle connection":   {false, func(c *clientConn) { c.closeIfIdle(time.Now()) }},
	} {
		t.Run(name, func(t *testing.T) {
			client, c := clientPair(t, newClientConns(4))
			defer func() { _ = c.Close() }()
			h := gatedConn{c.Conn.(*net.TCPConn), make(chan struct{}), make(chan struct{})}
			c.Conn, c.unused, c.idle, c.stateSince = h, tc.unused, !tc.unused, hourAgo
			const text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
			if _, err := client.Write([]byte(text)); err != nil {
				t.Fatalf("writing the request: %v", err)
			}
			got := make(chan error, 1)
			buffer := make([]byte, 256)
			n := 0
			go func() {
				var err error
				n, err = c.Read(buffer)
				got <- err
			}()
			<-h.bytesTaken
			tc.close(c)
			close(h.resume)
			if err := <-got; err != nil || string(buffer[:n]) != text {
				t.Errorf("Read = %q, %v, want %q: the connection was closed while a request was being read", buffer[:n], err, text)
			}
		})
	}
}
