package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"lapisspread/internal/admission"
	"lapisspread/internal/listener"
	"lapisspread/internal/proxy/rawsocket"
)

// peerListener accepts connections of Diameter peers under admission control, as for all other clients.
type peerListener struct {
	net.Listener
	conns *clientConns
}

// Accept waits for the next connection that admission control admits. It closes the others.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil || l.conns.admission == nil {
			return nc, err
		}
		c := &peerConn{Conn: nc, admission: l.conns.admission}
		if c.id, _ = c.admission.Arrive(nc.RemoteAddr(), c); c.id != 0 {
			return c, nil
		}
		_ = nc.Close()
	}
}

// peerConn is a peer's connection under admission control. It counts as in use once the proxy has answered the peer's
// capabilities exchange, with its first write.
type peerConn struct {
	net.Conn
	admission *listener.ConnLimiter
	id        admission.ID
	answered  atomic.Bool
	once      sync.Once
}

// Write sends bytes to the peer. The first successful write marks the connection as in use.
func (c *peerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil && !c.answered.Swap(true) {
		c.admission.RequestReceived(c.id)
	}
	return n, err
}

// SyscallConn returns the connection's socket.
func (c *peerConn) SyscallConn() (syscall.RawConn, error) { return rawsocket.Conn(c.Conn) }

// Evict closes the connection to make room for another, unless it is in use, and reports whether it was closed.
func (c *peerConn) Evict() bool {
	if c.answered.Load() {
		return false
	}
	_ = c.Close()
	return true
}

// Close closes the connection and removes it from admission control. Repeated calls have no further effect there.
func (c *peerConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.admission.Remove(c.id) })
	return err
}
