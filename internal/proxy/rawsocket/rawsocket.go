// Package rawsocket accesses the socket below a net.Conn: it shows what has arrived without reading it, shows how much
// of what was written the peer has not acknowledged, and reads without blocking. All functions may be called while
// another goroutine reads from the connection.
package rawsocket

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn returns the socket of a connection, or an error if the connection has none, as with net.Pipe or TLS.
func Conn(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no socket", nc)
	}
	return sc.SyscallConn()
}

// Silent reports whether a connection is open and nothing unread has arrived, neither bytes nor the peer's close.
// A connection without a socket counts as silent.
func Silent(nc net.Conn) bool {
	empty, _ := peek(nc)
	return empty
}

// PeerClosed reports whether the peer has closed or reset the connection and no unread bytes are left. It is false for
// a connection without a socket.
func PeerClosed(nc net.Conn) bool {
	_, closed := peek(nc)
	return closed
}

// HungUp reports whether the peer has closed its side of the connection or has reset it, whatever lies unread. Unlike
// PeerClosed it shows a close behind unread bytes. It is false for a connection without an open socket. See POLLRDHUP in
// poll(2).
func HungUp(nc net.Conn) bool {
	raw, err := Conn(nc)
	if err != nil {
		return false
	}
	hungUp := false
	_ = raw.Control(func(fd uintptr) { hungUp = pollHungUp(int32(fd)) })
	return hungUp
}

// pollHungUp asks the state of a socket without waiting.
func pollHungUp(fd int32) bool {
	state := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(state, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	}
}

// peek reports whether the socket has nothing to read, and whether the peer has closed it, without reading any bytes.
func peek(nc net.Conn) (empty, closed bool) {
	raw, err := Conn(nc)
	if err != nil {
		return true, false
	}
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && empty, err == nil && closed
}

// Read reads once from a non-blocking socket without waiting. If nothing has arrived the error is syscall.EAGAIN.
func Read(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// Unread returns the number of bytes that have arrived and were not read; 0 for a connection without an open TCP socket.
// See SIOCINQ in tcp(7), which has the value of TIOCINQ.
func Unread(nc net.Conn) (bytes int) {
	raw, err := Conn(nc)
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Unacknowledged returns the number of bytes in the socket's send buffer: those that were written and that the peer has
// not acknowledged yet. It is not supported for a connection without an open TCP socket. See SIOCOUTQ in tcp(7), which
// has the value of TIOCOUTQ.
func Unacknowledged(nc net.Conn) (bytes int, supported bool) {
	raw, err := Conn(nc)
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		bytes, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return bytes, controlErr == nil && err == nil
}
