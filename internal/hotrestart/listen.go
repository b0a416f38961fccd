package hotrestart

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// Listen returns the listener of the socket whose descriptor the text names, which it takes over. With an empty text it
// listens on addr.
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
		return nil, fmt.Errorf("the passed socket: %q is no descriptor of one", descriptor)
	}
	file := os.NewFile(uintptr(fd), "passed socket")
	defer func() { _ = file.Close() }() // the listener has a copy of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("the passed socket, descriptor %d: %w", fd, err)
	}
	return listener, nil
}
