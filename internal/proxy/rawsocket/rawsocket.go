// Package rawsocket looks at a connection's socket below net.Conn: what has arrived on it can be seen without being
// read, and read without waiting. All functions may be called while another goroutine reads from the connection.
package rawsocket

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Conn returns the socket of a connection. It fails if the connection has none.
func Conn(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T is no socket", nc)
	}
	return sc.SyscallConn()
}

// Silent reports whether a connection is open and nothing has arrived that is not read yet, neither bytes nor the
// peer's close. A connection without a socket counts as silent.
func Silent(nc net.Conn) bool {
	empty, _ := peek(nc)
	return empty
}

// PeerClosed reports whether the peer has closed the connection or reset it and no bytes are left to be read.
func PeerClosed(nc net.Conn) bool {
	_, closed := peek(nc)
	return closed
}

// peek looks at what has arrived without reading it.
func peek(nc net.Conn) (empty, closed bool) {
	raw, err := Conn(nc)
	if err != nil {
		return true, false
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && empty, err == nil && closed
}

// Read reads once from a socket and doesn't wait: with nothing to be read the error is syscall.EAGAIN.
func Read(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
