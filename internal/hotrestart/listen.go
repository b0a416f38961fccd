package hotrestart

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// Listen returns a listener for an inherited socket. descriptor is the decimal number of the socket's file descriptor,
// which Listen closes, since the listener has a copy of its own. With an empty descriptor Listen listens on the TCP
// address addr.
func Listen(descriptor, addr string) (net.Listener, error) {
	if descriptor == "" {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return listener, nil
	}
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd <= int(os.Stderr.Fd()) {
		return nil, fmt.Errorf("inherited socket: %q is not the number of a file descriptor above 2", descriptor)
	}
	file := os.NewFile(uintptr(fd), "inherited socket")
	defer func() { _ = file.Close() }() // the listener has a copy of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("inherited socket, file descriptor %d: %w", fd, err)
	}
	return listener, nil
}
