package proxy

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// gatedConn is a socket whose reader is stopped between reading bytes and recording them.
type gatedConn struct {
	*net.TCPConn
	taken, goOn chan struct{}
}

func (h gatedConn) stop() {
	h.taken <- struct{}{}
	<-h.goOn
}

func (h gatedConn) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	h.stop()
	return n, err
}

func (h gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := h.TCPConn.SyscallConn()
	return gatedRawConn{raw, h}, err
}

type gatedRawConn struct {
	syscall.RawConn
	h gatedConn
}

func (r gatedRawConn) Read(f func(fd uintptr) bool) error {
	err := r.RawConn.Read(f)
	r.h.stop()
	return err
}

// A request that has come in time does not count as silence while its reader is stopped.
func TestRequestBeingReadIsNotIdle(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	for name, x := range map[string]struct {
		fresh bool
		close func(c *clientConn)
	}{
		"for one that comes, by the door, new": {true, func(c *clientConn) { c.Evict() }},
		"for one that comes, by the door":      {false, func(c *clientConn) { c.Evict() }},
		"for one that comes, new":              {true, func(c *clientConn) { c.evictIfIdle() }},
		"for one that comes":                   {false, func(c *clientConn) { c.evictIfIdle() }},
		"as the proxy ends, new":               {true, func(c *clientConn) { c.closeIfIdle(time.Now()) }},
		"as the proxy ends":                    {false, func(c *clientConn) { c.closeIfIdle(time.Now()) }},
	} {
		t.Run(name, func(t *testing.T) {
			client, c := clientPair(t, newClientConns(4))
			defer func() { _ = c.Close() }()
			h := gatedConn{c.Conn.(*net.TCPConn), make(chan struct{}), make(chan struct{})}
			c.Conn, c.unused, c.idle, c.stateSince = h, x.fresh, !x.fresh, long
			const text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
			if _, err := client.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
			got := make(chan error, 1)
			buffer := make([]byte, 256)
			n := 0
			go func() {
				var err error
				n, err = c.Read(buffer)
				got <- err
			}()
			<-h.taken
			x.close(c)
			close(h.goOn)
			if err := <-got; err != nil || string(buffer[:n]) != text {
				t.Errorf("%q, %v", buffer[:n], err)
			}
		})
	}
}
