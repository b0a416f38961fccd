// Package quiet gives addresses of loopback that nothing connects from. A port that is found free, and closed for another
// process to take, may meanwhile become some connection's own end where connections come from the same address.
package quiet

import (
	"net"
	"os"
	"sync/atomic"
)

var last atomic.Int64

// IP is an address for listeners of one purpose; the next call gives another one, and so does another process, mostly.
func IP() net.IP { return net.IPv4(127, 99, byte(os.Getpid()), byte(last.Add(1))) }

// Addr is a free port at such an address.
func Addr() (string, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: IP()})
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
