// Package loopbackaddr gives addresses of loopback that nothing connects from. A port that is found free, for another process to take, may
// meanwhile become some connection's own end where connections come from the same address.
package loopbackaddr

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

var last atomic.Int64

// IP is an address for listeners of one purpose; the next call gives another one, and so does another process, mostly.
func IP() net.IP { return net.IPv4(127, 99, byte(os.Getpid()), byte(last.Add(1))) }

// Ports below those that the system gives to connections and listeners that name none.
const firstPort, ports = 20000, 12000

// Addr is a port at such an address on which nobody listens.
//
// Danger: it must not be opened here to see whether it is free. A child that another goroutine forks meanwhile has it open too, until
// some time within its exec, and nobody else can listen on it until then; syscall.ForkLock is let go of before that.
func Addr() (string, error) {
	var err error
	for range 50 {
		at := net.JoinHostPort(IP().String(), strconv.Itoa(firstPort+rand.IntN(ports)))
		var c net.Conn
		if c, err = net.DialTimeout("tcp4", at, time.Second); errors.Is(err, syscall.ECONNREFUSED) {
			return at, nil
		}
		if err == nil {
			c.Close()
			err = syscall.EADDRINUSE
		}
	}
	return "", err
}
